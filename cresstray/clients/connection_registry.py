"""All connections of one listener: who has been silent, who makes room. Free of I/O."""

from __future__ import annotations

from collections.abc import Callable, Iterator

from cresstray.clients.session import PAUSE, ClientSession, RequestHandler
from cresstray.observability.counters import Counters

# Whoever sends parts of a line all the time is closed so long after that, three seconds after connecting.
_DRIPS = 400_000


class ConnectionRegistry:
    """All connections of one door: `most()` at once, and not `many` that only stay."""

    def __init__(
        self,
        request_classes: frozenset[str],
        front: RequestHandler,
        most: Callable[[], int],
        many: int,
        now: Callable[[], int],
        counters: Counters,
        say: Callable[[str, str], None],
    ) -> None:
        self.class_names, self.handler, self.now, self.counters, self.log = (
            request_classes,
            front,
            now,
            counters,
            say,
        )
        self._most, self._many = most, many
        self.connections: dict[ClientSession, None] = {}  # in the order they came
        self.leaving: dict[
            ClientSession, None
        ] = {}  # that we end: about to be shut, or shut and not yet closed
        self.is_closing = False  # all that is asked from here on is denied
        self.buffered_bytes = (
            0  # bytes of half lines and of lines that wait for their turn, on all connections
        )

    def on_leaving(self, connection: ClientSession) -> None:
        self.connections.pop(connection, None)
        self.leaving[connection] = None

    def on_staying(self, connection: ClientSession) -> None:
        """It was to leave, and has something to say."""
        self.leaving.pop(connection, None)
        self.connections[connection] = None

    def forget(self, connection: ClientSession) -> None:
        self.connections.pop(connection, None)
        self.leaving.pop(connection, None)

    def excess_connections(self) -> int:
        """How many connections are there beyond what there is room for; below 0: so much room is left."""
        return len(self.connections) + len(self.leaving) - self._most()

    def abandon_longest_line(self) -> None:
        """There is no room for all half lines."""
        longest = max(self.connections, key=ClientSession.partial_line_bytes, default=None)
        if longest is not None and longest.partial_line_bytes():
            longest.abandon_line()

    def close_idle(self) -> None:
        now = self.now()
        for connection in [one for one in self.connections if one.idle_overdue_us(now) >= 0]:
            connection.close_idle(surely=connection.idle_overdue_us(now) >= _DRIPS)
        # Danger: clients may hold a third of the descriptors; who stays after an answer keeps others out.
        too_many = len(self.connections) - self._many
        if too_many > 0:
            idle = [one for one in self._silent_first() if one.is_idle(now)]
            for connection in idle[:too_many]:
                connection.close_idle(surely=False)
        self._make_room()

    def _make_room(self) -> None:
        # Danger: links take descriptors as well, and leave fewer to clients than have come.
        excess = self.excess_connections()
        for connection in self.eviction_order() if excess > 0 else ():
            if excess <= 0:
                return
            excess -= connection.try_evict()

    def eviction_order(self) -> Iterator[ClientSession]:
        """Who makes way first: whoever leaves anyway, then who has been silent longest."""
        yield from list(self.leaving)
        yield from self._silent_first()

    def _silent_first(self) -> list[ClientSession]:
        """Who has been silent longest first: who never spoke before who has been answered."""
        # Danger: of a crowd that says nothing, the last may be about to send their first request. A client
        # speaks at once.
        now = self.now()
        return sorted(
            self.connections,
            key=lambda one: (
                one.has_sent_request if now - one.last_activity_us > PAUSE else 2 - one.has_sent_request,
                one.last_activity_us,
            ),
        )
