"""The life of exchanges on one link to an engine: what may start, what is awaited, what an end means.

Free of I/O: the link says what it wrote, received and lost, and writes what it is given.
"""

from __future__ import annotations

from enum import Enum
from typing import Protocol

from cresstray.engines import codec

# Links that were reset before anything was written, one after the other: then the engine can't be reached.
_MOST_MOVES = 2
# Danger: names given up pile up on a link that lives for days; some hundred are no burden.
_MOST_GIVEN_UP = 500
# A second copy comes soon after the first: some seconds of refusals on one link.
_MOST_REFUSED = 200


class InFlightListener(Protocol):
    """Who is told of an exchange. After `unreached`, `cut` and `unsent` nothing more comes of it."""

    def may_send(self, exchange: InFlightRequest) -> bool:
        """Asked when its first bytes are about to leave later than it was handed over."""

    def on_sent(self, exchange: InFlightRequest) -> None:
        """Its first bytes have left, at once or later."""

    def on_answer(self, exchange: InFlightRequest, answer: codec.Answer) -> bool: ...
    def on_unreachable(self, exchange: InFlightRequest) -> None: ...
    def on_connection_lost(self, exchange: InFlightRequest, spoilt: bool) -> None: ...
    def on_unsent(self, exchange: InFlightRequest) -> None: ...


class InFlightRequest:
    """One request on one link, from its first byte to its end or until it is given up."""

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

    def __init__(self, name: bytes, message: bytes, keeper: InFlightListener, attempt: object) -> None:
        self.name, self.message, self.listener, self.attempt = name, message, keeper, attempt
        self.connection: object = None
        self.is_written = False
        self.received_before = 0  # how often its link had received something when it was written
        self.reconnects = 0  # links that it found dead
        self.pages = None  # of its result, once the first has come
        self.timeout = None  # the call at its time limit
        self.latest_send_us: int | None = None  # nothing of it may leave from then on


class Disposition(Enum):
    """What the end of its link means for an exchange that was open on it."""

    CONNECTION_LOST = "cut"  # part of it may have left: it may have run
    UNREACHABLE = "unreached"  # nothing of it has left, and no further link is tried
    RETRY_ELSEWHERE = "moves"  # nothing of it has left: another link


class InFlightRequests:
    """All that is open on one link, by name."""

    def __init__(self, streams: int) -> None:
        self._streams = streams
        self.open: dict[bytes, InFlightRequest] = {}
        # Danger: an answer that crosses its QUIT would be taken for that of a second relay of the same name.
        # A name once given up is not used again on this link, and what still comes under it is dropped.
        self.abandoned: set[bytes] = set()
        # Danger: a second copy of a refusal would be taken for the answer to the next relay of that name,
        # which runs, and may be denied or sent again for it. That one takes another link.
        self.rejected: dict[bytes, None] = {}
        self.is_closed = self.is_retired = False
        self.received_count = 0  # how often something was received

    def has_room_for(self, name: bytes) -> bool:
        return not (
            self.is_closed
            or self.is_retired
            or len(self.open) >= self._streams
            or name in self.open
            or name in self.abandoned
            or name in self.rejected
        )

    def begin(self, exchange: InFlightRequest) -> None:
        self.open[exchange.name] = exchange

    def holds(self, exchange: InFlightRequest) -> bool:
        return self.open.get(exchange.name) is exchange

    def unwritten(self) -> list[InFlightRequest]:
        return [exchange for exchange in self.open.values() if not exchange.is_written]

    def on_written(self, exchange: InFlightRequest, left: bool) -> None:
        """`left`: whether any of it may have gone out."""
        exchange.is_written, exchange.received_before = left, self.received_count

    def finish(self, exchange: InFlightRequest) -> None:
        """All that was to come has come, or nothing has left."""
        del self.open[exchange.name]

    def on_rejected(self, exchange: InFlightRequest) -> None:
        """The engine's answer is no result; its keeper is still to be told."""
        self.rejected[exchange.name] = None
        if len(self.rejected) > _MOST_REFUSED:
            del self.rejected[next(iter(self.rejected))]

    def abandon(self, exchange: InFlightRequest) -> bytes | None:
        """What tells the engine; None where it has never heard of it. What still comes is dropped."""
        if not self.holds(exchange):
            return None
        del self.open[exchange.name]
        if not exchange.is_written:
            return None
        # Danger: a link that stays open may be dead, and would swallow the next. Nothing has come on this one
        # since the exchange was written: it gets no other.
        self.abandoned.add(exchange.name)
        self.is_retired = (
            self.is_retired
            or self.received_count == exchange.received_before
            or len(self.abandoned) >= _MOST_GIVEN_UP
        )
        return (
            codec.encode_cancellation(exchange.name)
            if exchange.pages is None
            else codec.encode_release(exchange.name)
        )

    def on_connection_closed(self, came_up: bool) -> list[tuple[InFlightRequest, Disposition]]:
        """The link has ended; what that means for each that was open. `came_up`: whether it ever was up."""
        self.is_closed = True
        left, self.open = list(self.open.values()), {}
        return [(exchange, self._fate(exchange, came_up)) for exchange in left]

    def _fate(self, exchange: InFlightRequest, came_up: bool) -> Disposition:
        if exchange.is_written:
            return Disposition.CONNECTION_LOST
        if not came_up or exchange.reconnects >= _MOST_MOVES:
            return Disposition.UNREACHABLE
        exchange.reconnects += 1
        return Disposition.RETRY_ELSEWHERE
