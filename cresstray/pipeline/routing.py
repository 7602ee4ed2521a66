"""Third stage: finds the connection pool, or the link, of the engine that the policy chose."""

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

# What the policy needs to know of an endpoint: instance type, zone, cell, start in microseconds and state.
EngineEntry = tuple[int, int, int, int, EndpointState]


class Router:
    """Owns the engines of the endpoint list and one connection pool for each.

    Guarantees that nothing is sent to an engine at an address that another engine has taken over.
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
        """Creates, moves and retires connection pools; returns the entries to pass to the policy.

        The caller passes the entries to the policy and then calls `cancel_unsent`.
        """
        endpoints, lost_ids = self._addresses.resolve(event, self._locations())
        entries = self._entries(endpoints, lost_ids)
        for engine, entry in entries:
            state = entry[-1]
            # Set here already: if the policy fails to apply the entries, it must not choose an engine that
            # has no pool.
            if state is EndpointState.REMOVED:
                engine.state = state
        for engine_id in self._removed_ids(event, endpoints, lost_ids):
            # An attempt in flight on a removed engine still ends through its connection, which does not need
            # the router. Engines get new ids as long as the process runs, so removed ones are forgotten.
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
            engine = self._update_engine(endpoint)
            if engine is not None:
                entries.append((engine, _entry(endpoint, endpoint.state)))
        # An address was taken over by another engine, and its former engine was not reported as removed.
        # Requests to the former engine would reach the new one, which may be warming up, so the former one
        # counts as removed.
        for engine in [self._engines[engine_id] for engine_id in lost_ids if engine_id in self._engines]:
            entries.append((engine, _entry(engine, EndpointState.REMOVED)))
        return entries

    def _update_engine(self, endpoint: Endpoint) -> Engine | None:
        """Returns the endpoint's engine, its pool at the current address; None for one removed before."""
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
            used_ids = {endpoint.id for endpoint in endpoints if endpoint.state is not EndpointState.REMOVED}
            return [engine_id for engine_id in self._engines if engine_id not in used_ids]
        removed_ids = [endpoint.id for endpoint in endpoints if endpoint.state is EndpointState.REMOVED]
        return removed_ids + list(lost_ids)

    def cancel_unsent(self, event: EndpointEvent) -> None:
        """Ends, as never sent, the attempts that wait for a connection to a draining or removed engine.

        Called after the policy has applied the event.
        """
        for endpoint in event.endpoints:
            engine = self._engines.get(endpoint.id)
            if engine is not None and engine.state is not EndpointState.READY:
                self._retired.append(self._pools[engine])
        pools = self._retired
        self._retired = []
        for pool in pools:
            pool.cancel_unwritten()

    def _locations(self) -> dict[int, EndpointLocation]:
        return {
            engine_id: (self._pools[engine].address, engine.started_us)
            for engine_id, engine in self._engines.items()
        }


def _entry(source: Endpoint | Engine, state: EndpointState) -> EngineEntry:
    return (source.instance_type, source.zone, source.cell, source.started_us, state)
