"""Requests in flight on one connection to an engine: which may start, what is awaited, what its end means.

Free of I/O: the connection says what it wrote, received and lost, and writes what it is given.
"""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING, Protocol

from cresstray.engines import codec

if TYPE_CHECKING:
    from cresstray.engines.result_pages import ResultPages
    from cresstray.policy.types import Attempt

# Connections that were reset before anything was sent, one after the other: then the engine is unreachable.
_MAX_RECONNECTS = 2
# The names of abandoned requests are kept as long as the connection, which may live for days.
_MAX_ABANDONED = 500
# A duplicate of an answer comes soon after it: some seconds of rejections on one connection.
_MAX_REJECTED = 200


class Cancellable(Protocol):
    """A call that is scheduled, as `clock.TimerHandle` is one."""

    def cancel(self) -> None:
        """Keeps it from being made."""


class RequestConnection(Protocol):
    """The connection of a request in flight, as its listener needs it."""

    def send(self, message: bytes) -> None:
        """Sends a further message of a request."""

    def finish(self, request: InFlightRequest) -> None:
        """All that was to come for the request has come."""

    def abandon(self, request: InFlightRequest) -> bool:
        """Drops what still comes for it; False if the engine may start it before it hears of that."""


class InFlightListener(Protocol):
    """Who is told of a request in flight.

    Nothing more comes of it after `on_unreachable`, `on_connection_lost` and `on_unsent`, one of which is
    called once at most.
    """

    def may_send(self, request: InFlightRequest) -> bool:
        """Whether its first bytes may still leave, later than it was handed over."""

    def on_sent(self, request: InFlightRequest) -> None:
        """Its first bytes have left, at once or later."""

    def on_answer(self, request: InFlightRequest, answer: codec.Answer) -> bool:
        """An answer under its name has come; False if it is not awaited."""

    def on_unreachable(self, request: InFlightRequest) -> None:
        """The engine cannot be reached; nothing of the request has left."""

    def on_connection_lost(self, request: InFlightRequest, is_corrupt: bool) -> None:
        """The connection has ended, or is dropped for what came on it; the request may have run."""

    def on_unsent(self, request: InFlightRequest) -> None:
        """Nothing of the request has left, which says nothing about the engine."""


class InFlightRequest:
    """One request on one connection, from its first byte to its end or until it is abandoned.

    | state     | seen by                                  | left by                                      |
    | --------- | ---------------------------------------- | -------------------------------------------- |
    | unsent    | `is_written` is false                    | its first bytes leave; `cancel_unwritten`    |
    | sent      | `is_written` is true                     | an answer, `abandon`, end of the connection  |
    | in pages  | `pages` is set                           | last page, `abandon`, end of the connection  |
    | finished  | it is not in `InFlightRequests.open`     | -                                            |
    | abandoned | its name in `InFlightRequests.abandoned` | the end of the connection                    |
    """

    __slots__ = (
        "name",
        "message",
        "listener",
        "connection",
        "is_written",
        "received_before",
        "reconnects",
        "pages",
        "attempt",
        "timeout",
        "latest_send_us",
    )

    def __init__(self, name: bytes, message: bytes, listener: InFlightListener, attempt: Attempt) -> None:
        self.name = name
        self.message = message
        self.listener = listener
        self.attempt = attempt
        self.connection: RequestConnection | None = None
        self.is_written = False
        self.received_before = 0  # its connection's `received_count` when it was sent
        self.reconnects = 0  # connections that ended before anything of it was sent
        self.pages: ResultPages | None = None  # once the first page has come
        self.timeout: Cancellable | None = None
        self.latest_send_us: int | None = None  # nothing of it may leave from then on


class Disposition(Enum):
    """What the end of its connection means for a request that was open on it.

    | disposition       | has anything left      | was connected | reconnects       | then                 |
    | ----------------- | ---------------------- | ------------- | ---------------- | -------------------- |
    | `CONNECTION_LOST` | maybe: it may have run | yes           | any              | `on_connection_lost` |
    | `UNREACHABLE`     | no                     | no            | any              | `on_unreachable`     |
    | `UNREACHABLE`     | no                     | yes           | at their maximum | `on_unreachable`     |
    | `RETRY_ELSEWHERE` | no                     | yes           | fewer            | another connection   |

    Where the connection was outdated, or there was no descriptor for it, whatever has not left ends by
    `on_unsent` instead, which says nothing about the engine; so does what may not be sent any more.
    """

    CONNECTION_LOST = "connection lost"
    UNREACHABLE = "unreachable"
    RETRY_ELSEWHERE = "retried elsewhere"


class InFlightRequests:
    """All requests that are open on one connection, by name."""

    def __init__(self, max_open: int) -> None:
        self._max_open = max_open
        self.open: dict[bytes, InFlightRequest] = {}
        # An answer that crosses its cancellation would be taken for that of a second attempt of the same
        # name. So a name that was abandoned is not used again on this connection, and what comes under it is
        # dropped.
        self.abandoned: set[bytes] = set()
        # A duplicate of a rejection would be taken for the answer to the next attempt of that name, which
        # runs and might be rejected or retried for it. That attempt takes another connection.
        self.rejected: dict[bytes, None] = {}
        self.is_closed = False
        self.is_retired = False  # takes no more requests
        self.received_count = 0  # how often something was received

    def has_room_for(self, name: bytes) -> bool:
        """Whether a request of this name may start here."""
        return not (
            self.is_closed
            or self.is_retired
            or len(self.open) >= self._max_open
            or name in self.open
            or name in self.abandoned
            or name in self.rejected
        )

    def add(self, request: InFlightRequest) -> None:
        """The request is open from now on."""
        self.open[request.name] = request

    def is_open(self, request: InFlightRequest) -> bool:
        """Whether the request is open here."""
        return self.open.get(request.name) is request

    def unwritten(self) -> list[InFlightRequest]:
        """Returns the open requests of which nothing has left."""
        return [request for request in self.open.values() if not request.is_written]

    def on_written(self, request: InFlightRequest, has_left: bool) -> None:
        """The request was written; `has_left`: whether any of it may have left."""
        request.is_written = has_left
        request.received_before = self.received_count

    def finish(self, request: InFlightRequest) -> None:
        """All that was to come for the request has come, or nothing of it has left."""
        del self.open[request.name]

    def on_rejected(self, request: InFlightRequest) -> None:
        """The engine's answer is no result; the request's listener is still to be told."""
        self.rejected[request.name] = None
        if len(self.rejected) > _MAX_REJECTED:
            del self.rejected[next(iter(self.rejected))]

    def abandon(self, request: InFlightRequest) -> bytes | None:
        """Drops what still comes for it; returns what to send, None if the engine never heard of it."""
        if not self.is_open(request):
            return None
        del self.open[request.name]
        if not request.is_written:
            return None
        self.abandoned.add(request.name)
        # A connection that stays open may be dead, and would swallow the next request.
        is_maybe_dead = self.received_count == request.received_before
        self.is_retired = self.is_retired or is_maybe_dead or len(self.abandoned) >= _MAX_ABANDONED
        if request.pages is None:
            return codec.encode_cancellation(request.name)
        return codec.encode_release(request.name)

    def on_connection_closed(self, was_connected: bool) -> list[tuple[InFlightRequest, Disposition]]:
        """The connection has ended, or was never made; returns what that means for each open request."""
        self.is_closed = True
        left = list(self.open.values())
        self.open = {}
        return [(request, self._disposition_of(request, was_connected)) for request in left]

    def _disposition_of(self, request: InFlightRequest, was_connected: bool) -> Disposition:
        if request.is_written:
            return Disposition.CONNECTION_LOST
        if not was_connected or request.reconnects >= _MAX_RECONNECTS:
            return Disposition.UNREACHABLE
        request.reconnects += 1
        return Disposition.RETRY_ELSEWHERE
