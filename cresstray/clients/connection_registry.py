"""All connections of one listener: their number, idle timeouts and evictions. Free of I/O."""

from __future__ import annotations

from collections.abc import Callable, Iterator

from cresstray.clients.ports import RequestHandler
from cresstray.clients.session import MIN_IDLE_US, ClientSession
from cresstray.clients.turn_pacing import FairTurns
from cresstray.memory_budget import Holding, MemoryBudget
from cresstray.observability.counters import Counters

# A client that keeps sending parts of a line is closed this long after its idle timeout. It must be closed
# within three seconds of connecting.
_FORCE_CLOSE_AFTER_US = 400_000
# As many open requests as one connection may have, with statements as long as the longest result.
_MAX_READ_AHEAD_BYTES = 2 * 1024 * 1024
_READ_AHEAD_SHARE = 0.5
# A connection with less unread is not closed for a lack of memory, which it would hardly end.
_MIN_CUT_OFF_BYTES = 4096


class ConnectionRegistry:
    """All connections of one listener.

    `max_connections()` returns how many there may be at once. While there are more than
    `idle_close_threshold`, idle ones are closed.
    """

    def __init__(
        self,
        request_class_names: frozenset[str],
        handler: RequestHandler,
        max_connections: Callable[[], int],
        idle_close_threshold: int,
        now_us: Callable[[], int],
        counters: Counters,
        log: Callable[[str, str], None],
        memory: MemoryBudget | None = None,
    ) -> None:
        self.request_class_names = request_class_names
        self.handler = handler
        self.now_us = now_us
        self.counters = counters
        self.log = log
        self._max_connections = max_connections
        self._idle_close_threshold = idle_close_threshold
        self.connections: dict[ClientSession, None] = {}  # in the order they were accepted
        # Connections that this side ends and that are not closed yet.
        self.closing_connections: dict[ClientSession, None] = {}
        self.turns = FairTurns(now_us)
        self.is_closing = False  # whether all new requests are rejected
        self.memory = memory or MemoryBudget()
        self.shed_retry_after_us = 0  # told to clients whose requests are rejected for a lack of memory

    @property
    def buffered_bytes(self) -> int:
        """Bytes of partial lines and of lines not yet handled, on all connections."""
        return self.memory.held_bytes[Holding.RECEIVED]

    def on_closing(self, session: ClientSession) -> None:
        """Moves a connection to those that this side ends."""
        self.connections.pop(session, None)
        self.closing_connections[session] = None

    def on_resumed(self, session: ClientSession) -> None:
        """Moves a connection back from those that this side ends, as its client has sent something."""
        self.closing_connections.pop(session, None)
        self.connections[session] = None

    def remove(self, session: ClientSession) -> None:
        """Removes a connection that has ended."""
        self.connections.pop(session, None)
        self.closing_connections.pop(session, None)

    def excess_connections(self) -> int:
        """Returns by how many the connections exceed the limit; negative if there may be more."""
        return len(self.connections) + len(self.closing_connections) - self._max_connections()

    def max_read_ahead_bytes(self, held_bytes: int) -> int:
        """Returns how much one connection may buffer of lines that are not handled yet.

        It is a share of what the other connections leave free, so that a few cannot take all of it.

        Args:
            held_bytes: what the connection has buffered already.
        """
        memory = self.memory
        free_bytes = memory.max_received_bytes - memory.held_bytes[Holding.RECEIVED] + held_bytes
        return min(_MAX_READ_AHEAD_BYTES, int(free_bytes * _READ_AHEAD_SHARE))

    def limit_buffered_bytes(self) -> None:
        """Shortens partial lines while the buffers of all connections hold more than they may."""
        memory = self.memory
        while memory.held_bytes[Holding.RECEIVED] > memory.max_received_bytes:
            session = max(self.connections, key=_shortening_rank, default=None)
            if session is None or not session.can_shorten_partial_line():
                return
            self.counters.add("client lines shortened")
            session.shorten_partial_line()

    def close_idle(self) -> None:
        """Closes connections whose idle timeout has expired, and idle ones if there are too many."""
        self.cut_off_unread()
        now_us = self.now_us()
        overdue = [session for session in self.connections if session.idle_overdue_us(now_us) >= 0]
        for session in overdue:
            session.close_idle(force=session.idle_overdue_us(now_us) >= _FORCE_CLOSE_AFTER_US)
        # Clients may hold a third of the descriptors. Those that stay connected after a response would keep
        # other clients out.
        excess = len(self.connections) - self._idle_close_threshold
        if excess > 0:
            idle = [session for session in self._by_idle_time() if session.is_idle(now_us)]
            for session in idle[:excess]:
                session.close_idle(force=False)
        self._make_room()

    def cut_off_unread(self) -> None:
        """Closes connections whose clients read nothing of their responses, while more is held than may be.

        Responses are owed, so this is the last resort: without it the process would be killed, and all
        responses be lost.
        """
        for session in self.connections:
            session.count_unsent()
        while self.memory.free_bytes < 0:
            largest = max(self.connections, key=ClientSession.unsent_bytes, default=None)
            if largest is None or largest.unsent_bytes() < _MIN_CUT_OFF_BYTES:
                return
            self.counters.add("clients not reading, cut off")
            largest.abort()

    def _make_room(self) -> None:
        """Evicts connections beyond the limit, which falls as connections to engines use more descriptors."""
        excess = self.excess_connections()
        if excess <= 0:
            return
        for session in self.eviction_order():
            if excess <= 0:
                return
            excess -= session.try_evict()

    def eviction_order(self) -> Iterator[ClientSession]:
        """Yields connections that are being ended, then the others by idle time, the longest idle first."""
        yield from list(self.closing_connections)
        yield from self._by_idle_time()

    def evict_dispensable(self) -> bool:
        """Closes the oldest connection whose client keeps others out; returns whether there is one.

        Its client has never sent a whole request, or does not read its responses.
        """
        now_us = self.now_us()
        for session in self.connections:
            if session.is_dispensable(now_us):
                self.counters.add("clients without a request or not reading, evicted")
                session.abort()
                return True
        return False

    def _by_idle_time(self) -> list[ClientSession]:
        """Returns all connections to evict, in order: those that never sent a request, then the longest idle.

        A client sends its first request right after connecting, so connections that are too young to have
        sent one come last.
        """
        now_us = self.now_us()

        def rank(session: ClientSession) -> tuple[int, int]:
            if now_us - session.last_activity_us > MIN_IDLE_US:
                return int(session.has_sent_request), session.last_activity_us
            return 2 - session.has_sent_request, session.last_activity_us

        return sorted(self.connections, key=rank)


def _shortening_rank(session: ClientSession) -> tuple[bool, bool, int]:
    """Ranks highest the longest partial line among those of clients that have never sent a request."""
    return (
        session.can_shorten_partial_line(),
        not session.has_sent_request,
        session.partial_line_bytes(),
    )
