"""The pool of connections to one engine: selects, creates and closes connections. Free of I/O.

A connection belongs to an engine, not to an address: a restarted engine may have another address.
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
    """The quota of file descriptors for the connections to all engines together.

    Once `per_engine` connections are open, requests share the connections of their engine. Once `total` are
    open, an idle connection is closed before another one is made: with hundreds of engines, idle connections
    would take the descriptors that clients need. Where none is idle the total is exceeded, and the listener
    accepts one client less.

    Attributes:
        used: the connections that are open or being made.
        idle: the idle connections, the one that has been idle for longest first.
    """

    def __init__(self, per_engine: int, total: int) -> None:
        self.per_engine = per_engine
        self.total = total
        self.used = 0
        self.idle: dict[EngineConnection, None] = {}

    def make_room(self) -> None:
        """Closes an idle connection if the total quota is used up."""
        if self.used >= self.total:
            self.close_idle()

    def close_idle(self) -> None:
        """Closes the connection that has been idle for longest, if any connection is idle."""
        if self.idle:
            next(iter(self.idle)).close()


class ConnectionPool:
    """All connections to one engine. A subclass has the sockets and defines `connect`.

    `Limits` is read from `settings`; times in it are in milliseconds. `now_us` returns the present time in
    microseconds.
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
        # Well before the engine's own idle timeout: a request that is sent while the engine closes an idle
        # connection would be lost.
        idle_timeout_ms = limits.get("ConnIdle", _DEFAULT_IDLE_TIMEOUT_MS)
        self._idle_timeout_us = int(idle_timeout_ms * 1000) * 2 // 3
        self.connections: list[EngineConnection] = []
        self.quota = quota
        self._timers = timers
        self._is_sweep_scheduled = False

    def connect(self) -> EngineConnection:
        """Starts to connect; `on_connected` or `on_closed` of the returned connection is called later."""
        raise NotImplementedError

    def start(self, request: InFlightRequest) -> None:
        """Starts a request on one of the connections, or on a new connection."""
        while not self._pick(request.name).start(request):
            pass
        if not self._is_sweep_scheduled:
            self._is_sweep_scheduled = True
            self._timers.call_after(self._idle_timeout_us, self._sweep)

    def _pick(self, name: bytes) -> EngineConnection:
        """Picks an idle connection or a new one; the least loaded one where the quota is used up.

        A corrupt answer ends all requests on its connection, so requests share one only where they must.
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
        """Drops a connection that has ended."""
        self.connections.remove(connection)
        self.quota.used -= 1

    def change_address(self, address: tuple[str, int]) -> None:
        """Takes the address of an engine that has restarted, maybe on another host.

        Requests in flight may end on the old connections; new requests take new ones. Another engine may have
        the old address by now, so nothing more is sent to it.
        """
        self.address = address
        outdated = list(self.connections)
        for connection in outdated:
            connection.is_outdated = True
            connection.retire()
        # Deferred, so that the policy has the new endpoint list before it is told of unsent requests.
        self._timers.call_after(0, lambda _: self._cancel_unwritten(outdated))

    def cancel_unwritten(self) -> None:
        """Ends the requests that are not sent yet as unsent, because the engine drains or is removed.

        To be called once the policy knows of that, as it may send the requests to other engines at once.
        """
        self._cancel_unwritten(list(self.connections))

    def _cancel_unwritten(self, connections: list[EngineConnection]) -> None:
        for connection in connections:
            connection.cancel_unwritten()

    def for_each(self, items: Iterable[_Item], handle: Callable[[_Item], None]) -> None:
        """Handles every item: an exception for one must not leave the others without an end."""
        for item in items:
            try:
                handle(item)
            except Exception as error:
                self.on_fault(error)

    def on_fault(self, error: Exception) -> None:
        """Counts an exception of the gateway's own code while it handled one request; the others go on."""
        self.counters.add("faults")

    def retire(self) -> None:
        """Retires the present connections: each takes no more requests, and closes after its last one."""
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
