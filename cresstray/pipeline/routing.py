"""Third stage: the engine that the module chose becomes the links to it."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from typing import TYPE_CHECKING

from cresstray.discovery.endpoint_list import Event, Member
from cresstray.discovery.resolver import Addresses, Place
from cresstray.engines.connection import Pool
from cresstray.pipeline.dispatch import Send
from cresstray.policy.types import Engine, Relay, Standing

if TYPE_CHECKING:  # a gateway without links loads none of it
    from cresstray.pipeline.forwarding import Across
    from cresstray.pipeline.replica_reads import Pinned


class Route:
    def __init__(self, make_pool: Callable[[str, tuple[str, int]], Pool], onward: Send) -> None:
        self._make_pool, self._onward = make_pool, onward
        self.across: Across | None = None  # where there are links to other halls
        self.pinned: Pinned | None = None  # where there are rules of a fleet
        self._engines: dict[int, Engine] = {}
        self._pools: dict[Engine, Pool] = {}
        self._addresses = Addresses()
        self._retired: list[Pool] = []  # since `recall`

    @property
    def engines(self) -> Mapping[int, Engine]:
        """By the coordinator's ids."""
        return self._engines

    def route(self, relay: Relay, statement_of: Mapping, patience: int) -> None:
        if relay.engine.far is not None:
            self.across.send(relay, statement_of[relay.submission], patience)
            return
        if self.pinned is not None:
            self.pinned.sent(relay, relay.sent)
        self._onward.send(relay, statement_of[relay.submission], self._pools[relay.engine], patience)

    def listed(self, event: Event) -> list[tuple[Engine, tuple]]:
        """The entries of an event as the module takes them; new engines get links, moved ones new ones.

        Once the module has been told, `recall` is to be called.
        """
        members, lost = self._addresses.settle(event, self._places())
        entries = []
        for member in members:
            engine = self._engine(member)
            if engine is not None:
                entry = (member.machine, member.zone, member.cell, member.started, member.standing)
                entries.append((engine, entry))
        # Danger: an address has gone to another engine, and the one before is not told gone. What is sent to
        # that one would reach the new one, which may be cold: it counts as gone.
        for engine in [self._engines[number] for number in lost if number in self._engines]:
            entry = (engine.machine, engine.zone, engine.cell, engine.started, Standing.GONE)
            entries.append((engine, entry))
        for engine, (*_, standing) in entries:
            # Danger: should the module's hearing of it fail, it must not choose what has no links any more.
            if standing is Standing.GONE:
                engine.standing = standing
        for number in self._gone(event, members, lost):
            # Danger: engines come under new ids for days. What is out on one that is gone still comes back on
            # its old links, which know what they need; here it is forgotten.
            engine = self._engines.pop(number, None)
            if engine is not None:
                self._retired.append(self._pools[engine])
                self._pools.pop(engine).retire()
        if self.pinned is not None:
            self.pinned.directory.listed(event, self._engines)
        return entries

    def _engine(self, member: Member) -> Engine | None:
        """The engine of this record, with links to where it is now; None for one long gone."""
        engine, gone = self._engines.get(member.id), member.standing is Standing.GONE
        address = (member.host, member.port)
        if engine is None:
            if gone:
                return None  # a late word on one that was forgotten
            engine = self._engines[member.id] = Engine()
            self._pools[engine] = self._make_pool(f"engine s-{member.id:08x}", address)
        elif not gone and (self._pools[engine].address != address or member.started > engine.started):
            self._pools[engine].move(address)
        return engine

    def _gone(self, event: Event, members: Iterable[Member], lost: Iterable[int]) -> list[int]:
        if event.complete:
            used = {member.id for member in members if member.standing is not Standing.GONE}
            return [number for number in self._engines if number not in used]
        return [member.id for member in members if member.standing is Standing.GONE] + list(lost)

    def recall(self, event: Event) -> None:
        """After the module has heard of `event`: what has not left yet, and may not any more, never ran.

        That is what waits for links to engines that drain or are gone.
        """
        for member in event.members:
            engine = self._engines.get(member.id)
            if engine is not None and engine.standing is not Standing.READY:
                self._retired.append(self._pools[engine])
        pools, self._retired = self._retired, []
        for pool in pools:
            pool.recall_unwritten()

    def _places(self) -> dict[int, Place]:
        return {
            number: (self._pools[engine].address, engine.started) for number, engine in self._engines.items()
        }
