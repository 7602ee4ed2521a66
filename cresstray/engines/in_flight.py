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


class Keeper(Protocol):
    """Who is told of an exchange. After `unreached`, `cut` and `unsent` nothing more comes of it."""

    def may_leave(self, exchange: Exchange) -> bool:
        """Asked when its first bytes are about to leave later than it was handed over."""

    def leaves(self, exchange: Exchange) -> None:
        """Its first bytes have left, at once or later."""

    def answered(self, exchange: Exchange, answer: codec.Answer) -> bool: ...
    def unreached(self, exchange: Exchange) -> None: ...
    def cut(self, exchange: Exchange, spoilt: bool) -> None: ...
    def unsent(self, exchange: Exchange) -> None: ...


class Exchange:
    """One request on one link, from its first byte to its end or until it is given up."""

    __slots__ = (
        "name",
        "message",
        "keeper",
        "link",
        "written",
        "heard",
        "moves",
        "pages",
        "relay",
        "due",
        "until",
    )

    def __init__(self, name: bytes, message: bytes, keeper: Keeper, relay: object) -> None:
        self.name, self.message, self.keeper, self.relay = name, message, keeper, relay
        self.link: object = None
        self.written = False
        self.heard = 0  # how often its link had received something when it was written
        self.moves = 0  # links that it found dead
        self.pages = None  # of its result, once the first has come
        self.due = None  # the call at its time limit
        self.until: int | None = None  # nothing of it may leave from then on


class Fate(Enum):
    """What the end of its link means for an exchange that was open on it."""

    CUT = "cut"  # part of it may have left: it may have run
    UNREACHED = "unreached"  # nothing of it has left, and no further link is tried
    MOVES = "moves"  # nothing of it has left: another link


class Exchanges:
    """All that is open on one link, by name."""

    def __init__(self, streams: int) -> None:
        self._streams = streams
        self.open: dict[bytes, Exchange] = {}
        # Danger: an answer that crosses its QUIT would be taken for that of a second relay of the same name.
        # A name once given up is not used again on this link, and what still comes under it is dropped.
        self.given_up: set[bytes] = set()
        # Danger: a second copy of a refusal would be taken for the answer to the next relay of that name,
        # which runs, and may be denied or sent again for it. That one takes another link.
        self.refused: dict[bytes, None] = {}
        self.ended = self.retired = False
        self.heard = 0  # how often something was received

    def room_for(self, name: bytes) -> bool:
        return not (
            self.ended
            or self.retired
            or len(self.open) >= self._streams
            or name in self.open
            or name in self.given_up
            or name in self.refused
        )

    def begin(self, exchange: Exchange) -> None:
        self.open[exchange.name] = exchange

    def holds(self, exchange: Exchange) -> bool:
        return self.open.get(exchange.name) is exchange

    def unwritten(self) -> list[Exchange]:
        return [exchange for exchange in self.open.values() if not exchange.written]

    def wrote(self, exchange: Exchange, left: bool) -> None:
        """`left`: whether any of it may have gone out."""
        exchange.written, exchange.heard = left, self.heard

    def finish(self, exchange: Exchange) -> None:
        """All that was to come has come, or nothing has left."""
        del self.open[exchange.name]

    def refuse(self, exchange: Exchange) -> None:
        """The engine's answer is no result; its keeper is still to be told."""
        self.refused[exchange.name] = None
        if len(self.refused) > _MOST_REFUSED:
            del self.refused[next(iter(self.refused))]

    def give_up(self, exchange: Exchange) -> bytes | None:
        """What tells the engine; None where it has never heard of it. What still comes is dropped."""
        if not self.holds(exchange):
            return None
        del self.open[exchange.name]
        if not exchange.written:
            return None
        # Danger: a link that stays open may be dead, and would swallow the next. Nothing has come on this one
        # since the exchange was written: it gets no other.
        self.given_up.add(exchange.name)
        self.retired = self.retired or self.heard == exchange.heard or len(self.given_up) >= _MOST_GIVEN_UP
        return codec.quit_(exchange.name) if exchange.pages is None else codec.free(exchange.name)

    def end(self, came_up: bool) -> list[tuple[Exchange, Fate]]:
        """The link has ended; what that means for each that was open. `came_up`: whether it ever was up."""
        self.ended = True
        left, self.open = list(self.open.values()), {}
        return [(exchange, self._fate(exchange, came_up)) for exchange in left]

    def _fate(self, exchange: Exchange, came_up: bool) -> Fate:
        if exchange.written:
            return Fate.CUT
        if not came_up or exchange.moves >= _MOST_MOVES:
            return Fate.UNREACHED
        exchange.moves += 1
        return Fate.MOVES
