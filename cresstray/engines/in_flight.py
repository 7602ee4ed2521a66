"""Requests in flight on one connection to an engine, and what the end of the connection means for each.

Free of I/O: the connection reports what was written, received and lost, and writes the messages.
"""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING, Protocol

from cresstray.engines import codec

if TYPE_CHECKING:
    from cresstray.engines.result_pages import ResultPages
    from cresstray.policy.types import Attempt

# After so many connections in a row that were reset before anything was sent, the engine is unreachable.
_MAX_RECONNECTS = 2
# Bounds the names of abandoned requests, which are kept as long as the connection; it may stay open for days.
_MAX_ABANDONED = 500
# A duplicate follows its answer soon: this many names are some seconds of rejections on one connection.
_MAX_REJECTED = 200


class Cancellable(Protocol):
    """A scheduled call; `clock.TimerHandle` implements it."""

    def cancel(self) -> None:
        """Cancels the call."""


class RequestConnection(Protocol):
    """What a listener may call on the connection of a request in flight."""

    def send(self, message: bytes) -> None:
        """Sends a further message of a request."""

    def finish(self, request: InFlightRequest) -> None:
        """Ends a request that is answered in full."""

    def abandon(self, request: InFlightRequest) -> bool:
        """Drops all later answers; False if the engine may start the request before it is told to cancel."""


class InFlightListener(Protocol):
    """Is told of the events of a request in flight.

    At most one of `on_unreachable`, `on_connection_lost` and `on_unsent` is called, once, as the last call.
    """

    def may_send(self, request: InFlightRequest) -> bool:
        """Whether the request may still be sent, later than it was handed over."""

    def encode_late(self, request: InFlightRequest) -> bytes:
        """Returns the message of a request that is sent later than it was handed over, with the time left."""

    def on_sent(self, request: InFlightRequest) -> None:
        """The first bytes of the request were sent, at once or later."""

    def on_answer(self, request: InFlightRequest, answer: codec.Answer) -> bool:
        """An answer by the request's name was received; returns False if it is not awaited."""

    def on_unreachable(self, request: InFlightRequest) -> None:
        """The engine is unreachable; nothing of the request was sent."""

    def on_connection_lost(self, request: InFlightRequest, is_corrupt: bool) -> None:
        """The connection has ended, or is dropped for corrupt data; the request may have run."""

    def on_unsent(self, request: InFlightRequest) -> None:
        """Nothing of the request was sent, which is no evidence against the engine."""


class InFlightRequest:
    """One request on one connection, until it is answered or abandoned.

    | state     | condition                                | ended by                                     |
    | --------- | ---------------------------------------- | -------------------------------------------- |
    | unsent    | `is_written` is false                    | its first bytes are sent; `cancel_unwritten` |
    | sent      | `is_written` is true                     | an answer; `abandon`; end of the connection  |
    | in pages  | `pages` is set                           | last page; `abandon`; end of the connection  |
    | finished  | it is not in `InFlightRequests.open`     | -                                            |
    | abandoned | its name in `InFlightRequests.abandoned` | the end of the connection                    |

    Attributes:
        received_before: `received_count` of its connection when it was sent.
        reconnects: connections that ended before anything of it was sent.
        pages: set once the first page has been received.
        latest_send_us: nothing of it may be sent from then on.
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
        self.received_before = 0
        self.reconnects = 0
        self.pages: ResultPages | None = None
        self.timeout: Cancellable | None = None
        self.latest_send_us: int | None = None


class Disposition(Enum):
    """What the end of a connection means for a request that was open on it.

    | disposition       | was anything sent      | was connected | reconnects       | consequence          |
    | ----------------- | ---------------------- | ------------- | ---------------- | -------------------- |
    | `CONNECTION_LOST` | maybe: it may have run | yes           | any              | `on_connection_lost` |
    | `UNREACHABLE`     | no                     | no            | any              | `on_unreachable`     |
    | `UNREACHABLE`     | no                     | yes           | at their maximum | `on_unreachable`     |
    | `RETRY_ELSEWHERE` | no                     | yes           | fewer            | another connection   |

    Where the connection was outdated, or no descriptor was available for it, unsent requests end by
    `on_unsent` instead, which is no evidence against the engine. So do requests that may not be sent any
    more.
    """

    CONNECTION_LOST = "connection lost"
    UNREACHABLE = "unreachable"
    RETRY_ELSEWHERE = "retried elsewhere"


class InFlightRequests:
    """All requests that are open on one connection, by name.

    Attributes:
        open: the open requests.
        abandoned: names that are not used again on this connection.
        rejected: names of the latest rejected requests, the oldest first.
        is_closed: the connection has ended or is being closed.
        is_retired: the connection takes no more requests.
        received_count: how often data was received.
    """

    def __init__(self, max_open: int) -> None:
        self._max_open = max_open
        self.open: dict[bytes, InFlightRequest] = {}
        # An answer that crosses its cancellation would be taken for the answer to a second attempt of that
        # name. So the name of an abandoned request is not used again on this connection, and answers by that
        # name are dropped.
        self.abandoned: set[bytes] = set()
        # A duplicate of a rejection would be taken for the answer to the next attempt of the same name: that
        # one would be rejected or retried although it runs. So it takes another connection.
        self.rejected: dict[bytes, None] = {}
        self.is_closed = False
        self.is_retired = False
        self.received_count = 0

    def has_room_for(self, name: bytes) -> bool:
        """Whether a request of this name may start on the connection."""
        return not (
            self.is_closed
            or self.is_retired
            or len(self.open) >= self._max_open
            or name in self.open
            or name in self.abandoned
            or name in self.rejected
        )

    def add(self, request: InFlightRequest) -> None:
        """Adds a request to the open ones."""
        self.open[request.name] = request

    def is_open(self, request: InFlightRequest) -> bool:
        """Whether the request is open on the connection."""
        return self.open.get(request.name) is request

    def unwritten(self) -> list[InFlightRequest]:
        """Returns the open requests of which nothing was sent."""
        return [request for request in self.open.values() if not request.is_written]

    def on_written(self, request: InFlightRequest, is_sent: bool) -> None:
        """Records that a request was written; `is_sent`: whether any of it may have been sent."""
        request.is_written = is_sent
        request.received_before = self.received_count

    def finish(self, request: InFlightRequest) -> None:
        """Removes a request that is answered in full, or of which nothing was sent."""
        del self.open[request.name]

    def on_rejected(self, request: InFlightRequest) -> None:
        """Records a rejection by the engine; the request's listener is told separately."""
        self.rejected[request.name] = None
        if len(self.rejected) > _MAX_REJECTED:
            del self.rejected[next(iter(self.rejected))]

    def abandon(self, request: InFlightRequest) -> bytes | None:
        """Drops all later answers to a request.

        Returns the message to send to the engine; None if nothing of the request was sent.
        """
        if not self.is_open(request):
            return None
        del self.open[request.name]
        if not request.is_written:
            return None
        self.abandoned.add(request.name)
        # Without any data since the request was sent the connection may be dead, and lose the next request.
        is_maybe_dead = self.received_count == request.received_before
        self.is_retired = self.is_retired or is_maybe_dead or len(self.abandoned) >= _MAX_ABANDONED
        if request.pages is None:
            return codec.encode_cancellation(request.name)
        return codec.encode_release(request.name)

    def on_connection_closed(self, was_connected: bool) -> list[tuple[InFlightRequest, Disposition]]:
        """Returns what the end of the connection, or of the attempt to connect, means for each request."""
        self.is_closed = True
        requests = list(self.open.values())
        self.open = {}
        return [(request, self._disposition_of(request, was_connected)) for request in requests]

    def _disposition_of(self, request: InFlightRequest, was_connected: bool) -> Disposition:
        if request.is_written:
            return Disposition.CONNECTION_LOST
        if not was_connected or request.reconnects >= _MAX_RECONNECTS:
            return Disposition.UNREACHABLE
        request.reconnects += 1
        return Disposition.RETRY_ELSEWHERE
