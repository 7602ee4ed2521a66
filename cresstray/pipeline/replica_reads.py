"""Beside the stages: hinted reads on their way, only where an operator's file asks for them."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from cresstray.discovery.endpoint_list import EndpointEvent
from cresstray.pipeline.request_context import Query
from cresstray.policy.types import Attempt, Engine, Request, RequestClass
from cresstray.replicas.read import Read, Reads

# Danger: engines come under new ids for days. Pins follow some that are gone: the zones of the last thousand.
_MOST_GONE = 1000


class EngineDirectory:
    """Engines by id and back. Rules and reads name engines by id, the module knows none.

    `zones`: the names of zones, by their number in the list of engines.
    """

    def __init__(self, zones: Sequence[str]) -> None:
        self._zones = zones
        self.engines: dict[str, Engine] = {}
        self.ids: dict[Engine, str] = {}
        self._gone: dict[str, int] = {}  # zones of those that were listed once

    def apply_event(self, event: EndpointEvent, engines: Mapping[int, Engine]) -> None:
        """After an event; `engines`: all that Route has then, by number."""
        for member in event.endpoints:
            engine, name = engines.get(member.id), f"s-{member.id:08x}"
            if engine is not None:
                self.engines[name], self.ids[engine] = engine, name
                self._gone.pop(name, None)
                self._gone[name] = member.zone
        if len(self.engines) > len(engines):
            for name in [name for name in self.engines if int(name[2:], 16) not in engines]:
                del self.ids[self.engines.pop(name)]
        spare = (name for name in list(self._gone) if name not in self.engines)
        while len(self._gone) > len(self.engines) + _MOST_GONE:
            del self._gone[next(spare)]

    def zone_of(self, name: str) -> str | None:
        """The zone's name, also of one that is gone; None where it is unknown."""
        zone = self._gone.get(name)
        return self._zones[zone] if zone is not None and zone < len(self._zones) else None

    def cores(self, name: str) -> float:
        """0 for one that is not listed."""
        engine = self.engines.get(name)
        return (
            engine.policy_state.limit.cores if engine is not None and engine.policy_state is not None else 0.0
        )

    def is_full(self, name: str, request: Request, now: int) -> bool:
        """Whether its limit lets no such work onto it now."""
        engine = self.engines.get(name)
        return engine is None or engine.policy_state is None or not engine.policy_state.permits(request, now)


class ReplicaReads:
    def __init__(self, reads: Reads, directory: EngineDirectory) -> None:
        self.reads, self.directory = reads, directory

    def parse_hint(self, statement: str, query: Query, request_class: RequestClass, now: int) -> Read | None:
        """The hint of a statement that a client asks for here; HintError where it can't be followed."""
        return self.reads.hint(statement, request_class, now, query.class_name, query.tenant)

    def attach(self, request: Request, read: Read | None) -> None:
        request.replica_read = read
        if read is not None:
            read.submission = request

    def on_attempt_sent(self, attempt: Attempt, now: int) -> None:
        """As it goes out, at the moment at which the module chose its engine."""
        read, name = attempt.request.replica_read, self.directory.ids.get(attempt.engine)
        if read is not None and name is not None:
            read.sent(name, now)

    def on_attempt_finished(self, attempt: Attempt, report: Mapping[str, float] | None, now: int) -> None:
        """Each relay that ends, before an answer goes out."""
        name, read = self.directory.ids.get(attempt.engine), attempt.request.replica_read
        if name is not None and report:
            self.reads.heard(name, report, attempt.sent_us, now)
        if read is not None:
            read.came_back(report or {}, now - attempt.sent_us, now)

    def position_of(self, request: Request) -> str | None:
        """For the answer of a hinted read."""
        return request.replica_read.at() if request.replica_read is not None else None
