"""Beside the stages: hinted reads on their way, only where an operator's file asks for them."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from cresstray.discovery.endpoint_list import Event
from cresstray.pipeline.request_context import Query
from cresstray.policy.types import Engine, Relay, Submission, Tariff
from cresstray.replicas.read import Read, Reads

# Danger: engines come under new ids for days. Pins follow some that are gone: the zones of the last thousand.
_MOST_GONE = 1000


class Directory:
    """Engines by id and back. Rules and reads name engines by id, the module knows none.

    `zones`: the names of zones, by their number in the list of engines.
    """

    def __init__(self, zones: Sequence[str]) -> None:
        self._zones = zones
        self.engines: dict[str, Engine] = {}
        self.ids: dict[Engine, str] = {}
        self._gone: dict[str, int] = {}  # zones of those that were listed once

    def listed(self, event: Event, engines: Mapping[int, Engine]) -> None:
        """After an event; `engines`: all that Route has then, by number."""
        for member in event.members:
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
        return engine.limiter.cores if engine is not None and engine.limiter is not None else 0.0

    def full(self, name: str, submission: Submission, now: int) -> bool:
        """Whether its limit lets no such work onto it now."""
        engine = self.engines.get(name)
        return engine is None or engine.limiter is None or not engine.limiter.permits(submission, now)


class Pinned:
    def __init__(self, reads: Reads, directory: Directory) -> None:
        self.reads, self.directory = reads, directory

    def take(self, statement: str, query: Query, tariff: Tariff, now: int) -> Read | None:
        """The hint of a statement that a client asks for here; HintError where it can't be followed."""
        return self.reads.hint(statement, tariff, now, query.tariff, query.tenant)

    def made(self, submission: Submission, read: Read | None) -> None:
        submission.read = read
        if read is not None:
            read.submission = submission

    def sent(self, relay: Relay, now: int) -> None:
        """As it goes out, at the moment at which the module chose its engine."""
        read, name = relay.submission.read, self.directory.ids.get(relay.engine)
        if read is not None and name is not None:
            read.sent(name, now)

    def came_back(self, relay: Relay, report: Mapping[str, float] | None, now: int) -> None:
        """Each relay that ends, before an answer goes out."""
        name, read = self.directory.ids.get(relay.engine), relay.submission.read
        if name is not None and report:
            self.reads.heard(name, report, relay.sent, now)
        if read is not None:
            read.came_back(report or {}, now - relay.sent, now)

    def at(self, submission: Submission) -> str | None:
        """For the answer of a hinted read."""
        return submission.read.at() if submission.read is not None else None
