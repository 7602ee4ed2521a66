"""The connections to one engine: which takes a request, when an idle one is closed, when another one is made.

Free of I/O. A connection belongs to its engine, not to an address.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from typing import TYPE_CHECKING, Any, TypeVar

from cresstray.engines.connection_state import EngineConnection
from cresstray.engines.in_flight import InFlightRequest
from cresstray.observability.counters import Counters

if TYPE_CHECKING:
    from cresstray.clock import Timers

_DEFAULT_MAX_STREAMS = 32
_DEFAULT_IDLE_TIMEOUT_MS = 15_000
_Item = TypeVar("_Item")


class DescriptorQuota:
    """The connections to all engines together.

    From `per_engine` on requests share the connections of their engine; from `total` on an idle connection
    makes room for another. With hundreds of engines idle connections would take the clients' descriptors.
    Where none is idle there is one more, and the listener accepts one client less.
    """

    def __init__(self, per_engine: int, total: int) -> None:
        self.per_engine = per_engine
        self.total = total
        self.used = 0
        self.idle: dict[EngineConnection, None] = {}  # idle for longest first

    def make_room(self) -> None:
        """Closes an idle connection if there are as many as there may be."""
        if self.used >= self.total:
            self.close_idle()

    def close_idle(self) -> None:
        """Closes the connection that has been idle for longest, if any is."""
        if self.idle:
            next(iter(self.idle)).close()


class ConnectionPool:
    """All connections to one engine. A subclass has the sockets, and defines `connect`.

    `settings` has the operator's `Limits`; times that are given in them are in milliseconds.
    """

    def __init__(
        self,
        address: tuple[str, int],
        settings: Mapping[str, Any],
        quota: DescriptorQuota,
        timers: Timers,
        now_us: Callable[[], int],
        counters: Counters,
    ) -> None:
        limits = settings.get("Limits", {})
        self.address = address
        self.now_us = now_us
        self.counters = counters
        self.max_streams = max(1, limits.get("StreamsPerConn", _DEFAULT_MAX_STREAMS))
        # Well before the engine's own timeout, as a request may cross its close of an idle connection.
        idle_timeout_ms = limits.get("ConnIdle", _DEFAULT_IDLE_TIMEOUT_MS)
        self._idle_timeout_us = int(idle_timeout_ms * 1000) * 2 // 3
        self.connections: list[EngineConnection] = []
        self.quota = quota
        self._timers = timers
        self._is_sweep_scheduled = False

    def connect(self) -> EngineConnection:
        """Begins to make a new connection, which says by `on_connected` or `on_closed` how that went."""
        raise NotImplementedError

    def start(self, request: InFlightRequest) -> None:
        """Starts a request on one of the connections, or on a new one."""
        while not self._pick(request.name).start(request):
            pass
        if not self._is_sweep_scheduled:
            self._is_sweep_scheduled = True
            self._timers.call_after(self._idle_timeout_us, self._sweep)

    def _pick(self, name: bytes) -> EngineConnection:
        """Picks an idle connection or a new one; where that would be too many, the least loaded one.

        One corrupt answer ends all requests on its connection, so they share one only where they must.
        """
        least_loaded = None
        for connection in self.connections:
            if connection.has_room_for(name):
                open_requests = connection.in_flight.open
                if not open_requests:
                    return connection
                if least_loaded is None or len(open_requests) < len(least_loaded.in_flight.open):
                    least_loaded = connection
        if least_loaded is not None and self.quota.used >= self.quota.per_engine:
            return least_loaded
        self.quota.make_room()
        connection = self.connect()
        self.connections.append(connection)
        self.quota.used += 1
        return connection

    def on_removed(self, connection: EngineConnection) -> None:
        """A connection has ended."""
        self.connections.remove(connection)
        self.quota.used -= 1

    def change_address(self, address: tuple[str, int]) -> None:
        """The engine has restarted, maybe elsewhere: what runs may end, new requests take new connections.

        Another engine may have the old address by now, so nothing more is sent to it.
        """
        self.address = address
        outdated = list(self.connections)
        for connection in outdated:
            connection.is_outdated = True
            connection.retire()
        # The policy hears of what was not sent once it has been told of the endpoint list.
        self._timers.call_after(0, lambda _: self._cancel_unwritten(outdated))

    def cancel_unwritten(self) -> None:
        """Ends what has not been sent on any connection as never sent, as the engine drains or is removed.

        To be called once the policy has been told, which may send it elsewhere at once.
        """
        self._cancel_unwritten(list(self.connections))

    def _cancel_unwritten(self, connections: list[EngineConnection]) -> None:
        for connection in connections:
            connection.cancel_unwritten()

    def for_each(self, items: Iterable[_Item], handle: Callable[[_Item], None]) -> None:
        """Handles all items, also where one fails: the others must not be left without an end."""
        for item in items:
            try:
                handle(item)
            except Exception as error:
                self.on_fault(error)

    def on_fault(self, error: Exception) -> None:
        """The gateway's own code has failed with one request; the others go on."""
        self.counters.add("faults")

    def retire(self) -> None:
        """Takes no more requests on the present connections; each closes once its last one has ended."""
        for connection in list(self.connections):
            connection.retire()

    def _sweep(self, now_us: int) -> None:
        for connection in list(self.connections):
            is_idle = not connection.in_flight.open
            if is_idle and now_us - connection.idle_since_us >= self._idle_timeout_us:
                connection.close()
        self._is_sweep_scheduled = bool(self.connections)
        if self._is_sweep_scheduled:
            self._timers.call_after(self._idle_timeout_us // 4, self._sweep)
