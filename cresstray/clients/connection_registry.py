"""All connections of one listener: how many there are, which are silent, which make room. Free of I/O."""

from __future__ import annotations

from collections.abc import Callable, Iterator

from cresstray.clients.session import PAUSE_US, ClientSession, RequestHandler
from cresstray.observability.counters import Counters

# A client that keeps sending parts of a line is closed so long after it was due, three seconds after
# connecting.
_FORCE_CLOSE_AFTER_US = 400_000


class ConnectionRegistry:
    """All connections of one listener.

    `max_connections()` is how many there may be at once; above `idle_close_threshold` idle ones are closed.
    """

    def __init__(
        self,
        class_names: frozenset[str],
        handler: RequestHandler,
        max_connections: Callable[[], int],
        idle_close_threshold: int,
        now: Callable[[], int],
        counters: Counters,
        log: Callable[[str, str], None],
    ) -> None:
        self.class_names = class_names
        self.handler = handler
        self.now = now
        self.counters = counters
        self.log = log
        self._max_connections = max_connections
        self._idle_close_threshold = idle_close_threshold
        self.connections: dict[ClientSession, None] = {}  # in the order they were accepted
        # Those that this side ends: about to be shut, or shut and not yet closed.
        self.leaving: dict[ClientSession, None] = {}
        self.is_closing = False  # whether all new requests are rejected
        # Bytes of partial lines and of lines that wait for their turn, on all connections.
        self.buffered_bytes = 0

    def on_leaving(self, session: ClientSession) -> None:
        """This side ends the connection."""
        self.connections.pop(session, None)
        self.leaving[session] = None

    def on_staying(self, session: ClientSession) -> None:
        """The connection was to end, and its client has sent something."""
        self.leaving.pop(session, None)
        self.connections[session] = None

    def forget(self, session: ClientSession) -> None:
        """The connection has ended."""
        self.connections.pop(session, None)
        self.leaving.pop(session, None)

    def excess_connections(self) -> int:
        """Returns how many connections there are beyond the limit; below 0, how many more there may be."""
        return len(self.connections) + len(self.leaving) - self._max_connections()

    def abandon_longest_line(self) -> None:
        """Drops the longest partial line, as there is no room for all."""
        longest = max(self.connections, key=ClientSession.partial_line_bytes, default=None)
        if longest is not None and longest.partial_line_bytes():
            longest.abandon_line()

    def close_idle(self) -> None:
        """Closes connections that have been silent too long, and idle ones where there are too many."""
        now_us = self.now()
        overdue = [session for session in self.connections if session.idle_overdue_us(now_us) >= 0]
        for session in overdue:
            session.close_idle(force=session.idle_overdue_us(now_us) >= _FORCE_CLOSE_AFTER_US)
        # Clients may hold a third of the descriptors; those that stay after a response keep others out.
        excess = len(self.connections) - self._idle_close_threshold
        if excess > 0:
            idle = [session for session in self._by_silence() if session.is_idle(now_us)]
            for session in idle[:excess]:
                session.close_idle(force=False)
        self._make_room()

    def _make_room(self) -> None:
        """Evicts what exceeds the limit, which falls as connections to engines take descriptors as well."""
        excess = self.excess_connections()
        if excess <= 0:
            return
        for session in self.eviction_order():
            if excess <= 0:
                return
            excess -= session.try_evict()

    def eviction_order(self) -> Iterator[ClientSession]:
        """Yields those that leave anyway, then those that have been silent longest."""
        yield from list(self.leaving)
        yield from self._by_silence()

    def _by_silence(self) -> list[ClientSession]:
        """Returns all by silence: those that never sent a request first, then the longest silent.

        A client sends its first request at once, so one that has just connected is about to: it comes last.
        """
        now_us = self.now()

        def rank(session: ClientSession) -> tuple[int, int]:
            if now_us - session.last_activity_us > PAUSE_US:
                return int(session.has_sent_request), session.last_activity_us
            return 2 - session.has_sent_request, session.last_activity_us

        return sorted(self.connections, key=rank)
