"""Third stage: the engine that the module chose becomes the links to it."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING

from cresstray.coordinator.known import Event
from cresstray.engines.links import Pool
from cresstray.interface import Engine, Relay, Standing
from cresstray.passage.send import Send

if TYPE_CHECKING:  # a gateway without links loads none of it
    from cresstray.passage.across import Across
    from cresstray.passage.pinned import Pinned


class Route:
    def __init__(self, make_pool: Callable[[str, tuple[str, int]], Pool], onward: Send) -> None:
        self._make_pool, self._onward = make_pool, onward
        self.across: Across | None = None  # where there are links to other halls
        self.pinned: Pinned | None = None  # where there are rules of a fleet
        self._engines: dict[int, Engine] = {}
        self._pools: dict[Engine, Pool] = {}

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
        """The entries of an event as the module takes them; new engines get links, moved ones new ones."""
        entries = []
        for member in event.members:
            address = (member.host, member.port)
            engine = self._engines.get(member.id)
            if engine is None:
                if member.standing is Standing.GONE:
                    continue  # a late word on one that was forgotten
                engine = self._engines[member.id] = Engine()
                self._pools[engine] = self._make_pool(f"engine s-{member.id:08x}", address)
            elif self._pools[engine].address != address or member.started > engine.started:
                self._pools[engine].move(address)
            entry = (member.machine, member.zone, member.cell, member.started, member.standing)
            entries.append((engine, entry))
        if event.complete:
            named = {member.id for member in event.members}
            gone = [number for number in self._engines if number not in named]
        else:
            gone = [member.id for member in event.members if member.standing is Standing.GONE]
        for number in gone:
            # Danger: engines come under new ids for days. What is out on one that is gone still comes back on
            # its old links, which know what they need; here it is forgotten.
            engine = self._engines.pop(number, None)
            if engine is not None:
                self._pools.pop(engine).retire()
        if self.pinned is not None:
            self.pinned.directory.listed(event, self._engines)
        return entries
