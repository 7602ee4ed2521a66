"""Hinted reads of replicas: called by the stages where the operator's configuration file enables them."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from cresstray.discovery.endpoint_list import EndpointEvent
from cresstray.pipeline.request_context import Query
from cresstray.policy.types import Attempt, Engine, Request, RequestClass
from cresstray.replicas.read import HintedRead, HintedReads

# Sticky reads may refer to engines that were removed. The zones of removed engines are bounded, because new
# engine ids keep appearing for as long as the process runs.
_MAX_REMOVED_ZONES = 1000


class EngineDirectory:
    """Maps engine ids to engines and back: configuration and reads use ids, which the policy does not know.

    Args:
        zones: the names of zones, by their number in the endpoint list.
    """

    def __init__(self, zones: Sequence[str]) -> None:
        self._zones = zones
        self.engines: dict[str, Engine] = {}
        self.ids: dict[Engine, str] = {}
        self._zone_numbers: dict[str, int] = {}  # of engines in use and of those removed last

    def apply_event(self, event: EndpointEvent, engines: Mapping[int, Engine]) -> None:
        """Applies an endpoint event; `engines` are all engines in use after it, by number."""
        for endpoint in event.endpoints:
            engine = engines.get(endpoint.id)
            name = f"s-{endpoint.id:08x}"
            if engine is not None:
                self.engines[name] = engine
                self.ids[engine] = name
                self._zone_numbers.pop(name, None)  # so that the latest entry comes last
                self._zone_numbers[name] = endpoint.zone
        if len(self.engines) > len(engines):
            for name in [name for name in self.engines if int(name[2:], 16) not in engines]:
                del self.ids[self.engines.pop(name)]
        removed_names = (name for name in list(self._zone_numbers) if name not in self.engines)
        while len(self._zone_numbers) > len(self.engines) + _MAX_REMOVED_ZONES:
            del self._zone_numbers[next(removed_names)]

    def zone_of(self, name: str) -> str | None:
        """Returns the name of an engine's zone, also of a removed engine; None where it is unknown."""
        number = self._zone_numbers.get(name)
        return self._zones[number] if number is not None and number < len(self._zones) else None

    def cores(self, name: str) -> float:
        """Returns the engine's number of cores; 0 for an engine that is not listed."""
        engine = self.engines.get(name)
        if engine is None or engine.policy_state is None:
            return 0.0
        return float(engine.policy_state.limit.cores)

    def is_full(self, name: str, request: Request, now_us: int) -> bool:
        """Whether the engine's limit has no permit for the request now; True for an engine not listed."""
        engine = self.engines.get(name)
        return (
            engine is None or engine.policy_state is None or not engine.policy_state.permits(request, now_us)
        )


class ReplicaReads:
    """Tracks hinted reads through the pipeline: which replica they were sent to and what it reported."""

    def __init__(self, reads: HintedReads, directory: EngineDirectory) -> None:
        self.reads = reads
        self.directory = directory

    def parse_hint(
        self, statement: str, query: Query, request_class: RequestClass, now_us: int
    ) -> HintedRead | None:
        """Returns the read that the statement's hint asks for; None without a hint.

        Raises:
            HintError: the hint cannot be followed.
        """
        return self.reads.parse_hint(statement, request_class, now_us, query.class_name, query.tenant)

    def attach(self, request: Request, read: HintedRead) -> None:
        """Links a request and its hinted read."""
        request.replica_read = read
        read.request = request

    def on_attempt_sent(self, attempt: Attempt, chosen_us: int) -> None:
        """An attempt is handed to the dispatcher; `chosen_us` is when the policy chose its engine."""
        read = attempt.request.replica_read
        name = self.directory.ids.get(attempt.engine)
        if read is not None and name is not None:
            read.on_sent(name, chosen_us)

    def on_attempt_finished(self, attempt: Attempt, report: Mapping[str, float] | None, now_us: int) -> None:
        """An attempt, hinted or not, has its outcome; called before its request is answered."""
        name = self.directory.ids.get(attempt.engine)
        read = attempt.request.replica_read
        if name is not None and report:
            self.reads.record_report(name, report, attempt.sent_us, now_us)
        if read is not None:
            read.on_finished(report or {}, now_us - attempt.sent_us, now_us)
