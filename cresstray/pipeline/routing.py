"""Third stage: the engine that the module chose becomes the links to it."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from typing import TYPE_CHECKING

from cresstray.discovery.endpoint_list import Endpoint, EndpointEvent
from cresstray.discovery.resolver import AddressResolver, Placement
from cresstray.engines.connection import SocketConnectionPool
from cresstray.pipeline.dispatch import Dispatcher
from cresstray.policy.types import Attempt, EndpointState, Engine

if TYPE_CHECKING:  # a gateway without links loads none of it
    from cresstray.pipeline.forwarding import Forwarder
    from cresstray.pipeline.replica_reads import ReplicaReads


class Router:
    def __init__(
        self, make_pool: Callable[[str, tuple[str, int]], SocketConnectionPool], onward: Dispatcher
    ) -> None:
        self._make_pool, self._onward = make_pool, onward
        self.forwarder: Forwarder | None = None  # where there are links to other halls
        self.replica_reads: ReplicaReads | None = None  # where there are rules of a fleet
        self._engines: dict[int, Engine] = {}
        self._pools: dict[Engine, SocketConnectionPool] = {}
        self._addresses = AddressResolver()
        self._retired: list[SocketConnectionPool] = []  # since `recall`

    @property
    def engines(self) -> Mapping[int, Engine]:
        """By the coordinator's ids."""
        return self._engines

    def route(self, attempt: Attempt, statement_of: Mapping, patience: int) -> None:
        if attempt.engine.forwarding is not None:
            self.forwarder.send(attempt, statement_of[attempt.request], patience)
            return
        if self.replica_reads is not None:
            self.replica_reads.on_attempt_sent(attempt, attempt.sent_us)
        self._onward.send(attempt, statement_of[attempt.request], self._pools[attempt.engine], patience)

    def apply_event(self, event: EndpointEvent) -> list[tuple[Engine, tuple]]:
        """The entries of an event as the module takes them; new engines get links, moved ones new ones.

        Once the module has been told, `recall` is to be called.
        """
        members, lost = self._addresses.resolve(event, self._places())
        entries = []
        for member in members:
            engine = self._engine(member)
            if engine is not None:
                entry = (member.instance_type, member.zone, member.cell, member.started_us, member.state)
                entries.append((engine, entry))
        # Danger: an address has gone to another engine, and the one before is not told gone. What is sent to
        # that one would reach the new one, which may be cold: it counts as gone.
        for engine in [self._engines[number] for number in lost if number in self._engines]:
            entry = (engine.instance_type, engine.zone, engine.cell, engine.started_us, EndpointState.REMOVED)
            entries.append((engine, entry))
        for engine, (*_, standing) in entries:
            # Danger: should the module's hearing of it fail, it must not choose what has no links any more.
            if standing is EndpointState.REMOVED:
                engine.state = standing
        for number in self._gone(event, members, lost):
            # Danger: engines come under new ids for days. What is out on one that is gone still comes back on
            # its old links, which know what they need; here it is forgotten.
            engine = self._engines.pop(number, None)
            if engine is not None:
                self._retired.append(self._pools[engine])
                self._pools.pop(engine).retire()
        if self.replica_reads is not None:
            self.replica_reads.directory.apply_event(event, self._engines)
        return entries

    def _engine(self, member: Endpoint) -> Engine | None:
        """The engine of this record, with links to where it is now; None for one long gone."""
        engine, gone = self._engines.get(member.id), member.state is EndpointState.REMOVED
        address = (member.host, member.port)
        if engine is None:
            if gone:
                return None  # a late word on one that was forgotten
            engine = self._engines[member.id] = Engine()
            self._pools[engine] = self._make_pool(f"engine s-{member.id:08x}", address)
        elif not gone and (self._pools[engine].address != address or member.started_us > engine.started_us):
            self._pools[engine].move(address)
        return engine

    def _gone(self, event: EndpointEvent, members: Iterable[Endpoint], lost: Iterable[int]) -> list[int]:
        if event.is_complete:
            used = {member.id for member in members if member.state is not EndpointState.REMOVED}
            return [number for number in self._engines if number not in used]
        return [member.id for member in members if member.state is EndpointState.REMOVED] + list(lost)

    def cancel_unsent(self, event: EndpointEvent) -> None:
        """After the module has heard of `event`: what has not left yet, and may not any more, never ran.

        That is what waits for links to engines that drain or are gone.
        """
        for member in event.endpoints:
            engine = self._engines.get(member.id)
            if engine is not None and engine.state is not EndpointState.READY:
                self._retired.append(self._pools[engine])
        pools, self._retired = self._retired, []
        for pool in pools:
            pool.cancel_unwritten()

    def _places(self) -> dict[int, Placement]:
        return {
            number: (self._pools[engine].address, engine.started_us)
            for number, engine in self._engines.items()
        }
