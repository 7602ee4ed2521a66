"""Beside the stages: hinted reads of replicas, only where an operator's file asks for them."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from cresstray.discovery.endpoint_list import EndpointEvent
from cresstray.pipeline.request_context import Query
from cresstray.policy.types import Attempt, Engine, Request, RequestClass
from cresstray.replicas.read import Read, Reads

# Sticky reads refer to engines that were removed, and engines come under new ids for days. Their zones are
# bounded.
_MAX_REMOVED_ZONES = 1000


class EngineDirectory:
    """Engines by id and ids by engine: configuration and reads name engines by id, the policy knows no ids.

    `zones` are the names of zones, by their number in the endpoint list.
    """

    def __init__(self, zones: Sequence[str]) -> None:
        self._zones = zones
        self.engines: dict[str, Engine] = {}
        self.ids: dict[Engine, str] = {}
        self._zone_of: dict[str, int] = {}  # of engines in use and of the last that were removed

    def apply_event(self, event: EndpointEvent, engines: Mapping[int, Engine]) -> None:
        """Follows an event; `engines` are all engines in use after it, by number."""
        for endpoint in event.endpoints:
            engine = engines.get(endpoint.id)
            name = f"s-{endpoint.id:08x}"
            if engine is not None:
                self.engines[name] = engine
                self.ids[engine] = name
                self._zone_of.pop(name, None)  # so that the latest comes last
                self._zone_of[name] = endpoint.zone
        if len(self.engines) > len(engines):
            for name in [name for name in self.engines if int(name[2:], 16) not in engines]:
                del self.ids[self.engines.pop(name)]
        removed = (name for name in list(self._zone_of) if name not in self.engines)
        while len(self._zone_of) > len(self.engines) + _MAX_REMOVED_ZONES:
            del self._zone_of[next(removed)]

    def zone_of(self, name: str) -> str | None:
        """Returns the name of an engine's zone, also of a removed engine; None where it is unknown."""
        zone = self._zone_of.get(name)
        return self._zones[zone] if zone is not None and zone < len(self._zones) else None

    def cores(self, name: str) -> float:
        """Returns the engine's cores; 0 for one that is not listed."""
        engine = self.engines.get(name)
        if engine is None or engine.policy_state is None:
            return 0.0
        return float(engine.policy_state.limit.cores)

    def is_full(self, name: str, request: Request, now: int) -> bool:
        """Whether the engine's limit has no permit for the request now; True for one not listed."""
        engine = self.engines.get(name)
        return engine is None or engine.policy_state is None or not engine.policy_state.permits(request, now)


class ReplicaReads:
    """Follows hinted reads through the pipeline: which replica they were sent to and what it reported."""

    def __init__(self, reads: Reads, directory: EngineDirectory) -> None:
        self.reads = reads
        self.directory = directory

    def parse_hint(self, statement: str, query: Query, request_class: RequestClass, now: int) -> Read | None:
        """Returns the read that a statement's hint asks for, None without a hint.

        Raises:
            HintError: the hint cannot be followed.
        """
        return self.reads.hint(statement, request_class, now, query.class_name, query.tenant)

    def attach(self, request: Request, read: Read) -> None:
        """Joins a request and its hinted read."""
        request.replica_read = read
        read.submission = request

    def on_attempt_sent(self, attempt: Attempt, now: int) -> None:
        """An attempt is handed on; `now` is the moment at which the policy chose its engine."""
        read = attempt.request.replica_read
        name = self.directory.ids.get(attempt.engine)
        if read is not None and name is not None:
            read.sent(name, now)

    def on_attempt_finished(self, attempt: Attempt, report: Mapping[str, float] | None, now: int) -> None:
        """Any attempt has its outcome; called before its request is answered."""
        name = self.directory.ids.get(attempt.engine)
        read = attempt.request.replica_read
        if name is not None and report:
            self.reads.heard(name, report, attempt.sent_us, now)
        if read is not None:
            read.came_back(report or {}, now - attempt.sent_us, now)
