"""Third stage: the engine that the policy chose becomes the connections to it."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from typing import TYPE_CHECKING

from cresstray.discovery.endpoint_list import Endpoint, EndpointEvent
from cresstray.discovery.resolver import AddressResolver, EndpointLocation
from cresstray.engines.connection import SocketConnectionPool
from cresstray.pipeline.dispatch import Dispatcher
from cresstray.pipeline.request_context import RequestContext
from cresstray.policy.types import Attempt, EndpointState, Engine, Request

if TYPE_CHECKING:  # a gateway without links to other sites loads none of it
    from cresstray.pipeline.forwarding import Forwarder
    from cresstray.pipeline.replica_reads import ReplicaReads

# Instance type, zone, cell, start in microseconds and state: what the policy takes of an endpoint.
EngineEntry = tuple[int, int, int, int, EndpointState]


class Router:
    """Owns the engines of the endpoint list and one connection pool to each.

    Guarantees that nothing is sent to an engine by an address that another engine has taken over.
    """

    def __init__(
        self,
        make_pool: Callable[[str, tuple[str, int]], SocketConnectionPool],
        dispatcher: Dispatcher,
    ) -> None:
        self._make_pool = make_pool
        self._dispatcher = dispatcher
        self.forwarder: Forwarder | None = None  # set where there are links to other sites
        self.replica_reads: ReplicaReads | None = None  # set where fleet configuration places replicas
        self._engines: dict[int, Engine] = {}
        self._pools: dict[Engine, SocketConnectionPool] = {}
        self._addresses = AddressResolver()
        self._retired: list[SocketConnectionPool] = []  # since the last `cancel_unsent`

    @property
    def engines(self) -> Mapping[int, Engine]:
        """The engines in use, by the coordinator's ids."""
        return self._engines

    def route(self, attempt: Attempt, contexts: Mapping[Request, RequestContext], timeout_us: int) -> None:
        """Sends the attempt to the engine, or the other site, that the policy chose."""
        context = contexts[attempt.request]
        if attempt.engine.forwarding is not None:
            assert self.forwarder is not None, "an engine of another site has a link"
            self.forwarder.send(attempt, context, timeout_us)
            return
        if self.replica_reads is not None:
            self.replica_reads.on_attempt_sent(attempt, attempt.sent_us)
        self._dispatcher.send(attempt, context, self._pools[attempt.engine], timeout_us)

    def apply_event(self, event: EndpointEvent) -> list[tuple[Engine, EngineEntry]]:
        """Makes, moves and retires connection pools; returns the event as the policy takes it.

        Once the policy has taken the entries, `cancel_unsent` is to be called.
        """
        endpoints, lost_ids = self._addresses.resolve(event, self._places())
        entries = self._entries(endpoints, lost_ids)
        for engine, entry in entries:
            state = entry[-1]
            # At once: should the policy fail to take the entries, it must not choose an engine with no pool.
            if state is EndpointState.REMOVED:
                engine.state = state
        for engine_id in self._removed_ids(event, endpoints, lost_ids):
            # An attempt in flight on a removed engine still comes back by its connection, which knows what
            # it needs. Engines come under new ids for days, so here they are forgotten.
            removed = self._engines.pop(engine_id, None)
            if removed is not None:
                self._retired.append(self._pools[removed])
                self._pools.pop(removed).retire()
        if self.replica_reads is not None:
            self.replica_reads.directory.apply_event(event, self._engines)
        return entries

    def _entries(
        self, endpoints: Iterable[Endpoint], lost_ids: Iterable[int]
    ) -> list[tuple[Engine, EngineEntry]]:
        entries: list[tuple[Engine, EngineEntry]] = []
        for endpoint in endpoints:
            engine = self._engine(endpoint)
            if engine is not None:
                entries.append((engine, _entry(endpoint, endpoint.state)))
        # An address has gone to another engine, and its former engine was not reported as removed. What is
        # sent to the former one would reach the new one, which may be warming up: the former one counts as
        # removed.
        for engine in [self._engines[number] for number in lost_ids if number in self._engines]:
            entries.append((engine, _entry(engine, EndpointState.REMOVED)))
        return entries

    def _engine(self, endpoint: Endpoint) -> Engine | None:
        """Returns the endpoint's engine, with a pool to where it is now; None for one removed before."""
        engine = self._engines.get(endpoint.id)
        is_removed = endpoint.state is EndpointState.REMOVED
        address = (endpoint.host, endpoint.port)
        if engine is None:
            if is_removed:
                return None
            engine = self._engines[endpoint.id] = Engine()
            self._pools[engine] = self._make_pool(f"engine s-{endpoint.id:08x}", address)
        elif not is_removed:
            has_moved = self._pools[engine].address != address
            if has_moved or endpoint.started_us > engine.started_us:
                self._pools[engine].change_address(address)
        return engine

    def _removed_ids(
        self, event: EndpointEvent, endpoints: Iterable[Endpoint], lost_ids: Iterable[int]
    ) -> list[int]:
        if event.is_complete:
            used = {endpoint.id for endpoint in endpoints if endpoint.state is not EndpointState.REMOVED}
            return [engine_id for engine_id in self._engines if engine_id not in used]
        removed = [endpoint.id for endpoint in endpoints if endpoint.state is EndpointState.REMOVED]
        return removed + list(lost_ids)

    def cancel_unsent(self, event: EndpointEvent) -> None:
        """Ends attempts that wait for a connection to an engine that is draining or removed, as never sent.

        Called after the policy has heard of the event.
        """
        for endpoint in event.endpoints:
            engine = self._engines.get(endpoint.id)
            if engine is not None and engine.state is not EndpointState.READY:
                self._retired.append(self._pools[engine])
        pools = self._retired
        self._retired = []
        for pool in pools:
            pool.cancel_unwritten()

    def _places(self) -> dict[int, EndpointLocation]:
        return {
            engine_id: (self._pools[engine].address, engine.started_us)
            for engine_id, engine in self._engines.items()
        }


def _entry(described: Endpoint | Engine, state: EndpointState) -> EngineEntry:
    return (described.instance_type, described.zone, described.cell, described.started_us, state)
