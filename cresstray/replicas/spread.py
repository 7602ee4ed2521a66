"""What one peer is told of positions and tells: every word names the last one heard, so its age is bounded by
this side's own clock."""

from __future__ import annotations

from collections.abc import Callable, Container, Iterable, Mapping
from typing import Annotated

import msgspec

from cresstray.replicas.position_polling import Asking
from cresstray.replicas.positions import Board, Cursor, Item, Shard
from cresstray.transport.framing import FramingError

# Shards that a gateway asks for: those of its hinted reads of late.
MOST_WANTED = 32
_MOST_ITEMS = 256
_Name = Annotated[str, msgspec.Meta(max_length=64)]
_Place = Annotated[int, msgspec.Meta(ge=0, lt=MOST_WANTED)]
_Young = Annotated[int, msgspec.Meta(ge=0, le=2**20)]
# Words on their way at once; of older ones the moment is forgotten, and what refers to them is dropped. A
# keeper that leads may say one each few milliseconds, over a link of half a second there and back.
_MOST_KEPT = 256
# Of a shard that a read waits for, what is heard within this is told at once; the read has gone by then.
_WAITS = 100_000
# Told at once not more often than this: the answers of a shard's engines mostly go into one word.
_APART = 3_000


class Word(msgspec.Struct, array_like=True, frozen=True):
    """The body of a Heard frame. `echo`: number of the last one heard from who gets this, 0: none."""

    number: Annotated[int, msgspec.Meta(ge=1, le=2**53)]
    echo: Annotated[int, msgspec.Meta(ge=0, le=2**53)]
    items: Annotated[tuple[Item, ...], msgspec.Meta(max_length=_MOST_ITEMS)]
    # None: all, as keepers do.
    wants: Annotated[tuple[_Name, ...], msgspec.Meta(max_length=MOST_WANTED)] | None = None
    # Shards, by their place in `wants` or by name, and how old positions may be in ms; 0: a read waits.
    needs: Annotated[tuple[tuple[_Place | _Name, _Young], ...], msgspec.Meta(max_length=MOST_WANTED)] = ()


class Peer:
    """One peer on one link; new with each link, so that nothing of an earlier one is echoed."""

    def __init__(self, board: Board) -> None:
        self._board, self._cursor = board, Cursor()
        self._number = self._heard = 0
        self._said: dict[int, int] = {}  # when each word went out
        self._wants: tuple[str, ...] | None = ()
        self.needs: list[tuple[str, int]] = []  # of the last word heard: shards and microseconds
        # Shards that its reads wait for: until when, and the board's stamp when each was last told.
        self.waits: dict[str, tuple[int, int]] = {}
        self.told_at = 0  # when a word was said at once

    def says(
        self, most: int, wants: Iterable[str] | None, now: int, needs: Iterable[tuple[int, int]] = ()
    ) -> Word:
        """The next word, with at most so many shards of what the peer wants. `wants`: here, from now on;
        `needs`: of these, by place, how old positions may be in milliseconds."""
        items = []
        if self._heard:
            items = self._board.told(now, min(most, _MOST_ITEMS), self._cursor, self._wants)
            self._told({item.shard for item in items} if len(items) >= most else self.waits)
        named = None if wants is None else tuple(wants)[:MOST_WANTED]
        return self._word(now, items, named, needs)

    @property
    def wants_all(self) -> bool:
        """As keepers do."""
        return self._wants is None

    def asks(self, needs: Iterable[tuple[str, int]], now: int) -> Word:
        """A word that only names shards, and how old their positions may be in microseconds."""
        return self._word(now, (), None, [(shard, -(-young // 1000)) for shard, young in needs])

    def at_once(self, now: int) -> Word | None:
        """What its reads wait for, if more has been heard of that; None: nothing, or too soon."""
        self.waits = {shard: waits for shard, waits in self.waits.items() if now < waits[0]}
        if now - self.told_at < _APART or not self._heard:
            return None
        items = self._board.changed({shard: since for shard, (_, since) in self.waits.items()}, now)
        if not items:
            return None
        self.told_at = now
        self._told({item.shard for item in items})
        return self._word(now, items[:_MOST_ITEMS], None, ())

    def _told(self, shards: Container[str]) -> None:
        self.waits = {
            shard: (until, self._board.stamp if shard in shards else since)
            for shard, (until, since) in self.waits.items()
        }

    def _word(
        self,
        now: int,
        items: Iterable[Item],
        wants: tuple[str, ...] | None,
        needs: Iterable[tuple[int | str, int]],
    ) -> Word:
        self._number += 1
        self._said[self._number] = now
        if len(self._said) > _MOST_KEPT:
            del self._said[next(iter(self._said))]
        return Word(self._number, self._heard, tuple(items), wants, tuple(needs)[:MOST_WANTED])

    def hears(self, word: Word, now: int) -> None:
        """What is out of turn, or names a word that was never said, is dropped."""
        if word.number <= self._heard:
            return
        self._heard = word.number
        wants = None if word.wants is None else word.wants[:MOST_WANTED]
        if self._wants is not None and (wants is None or set(wants) - set(self._wants)):
            self._cursor = Cursor()  # what it did not want before may never have been told
        self._wants = wants
        self.needs = [
            (shard, 1000 * young) for one, young in word.needs if (shard := _named(one, wants)) is not None
        ]
        for shard, young in self.needs:
            if not young:
                self.waits[shard] = now + _WAITS, self.waits.get(shard, (0, 0))[1]
        at = self._said.get(word.echo)
        if at is not None:
            self._board.take(word.items, at, now)
            for number in [number for number in self._said if number < word.echo]:
                del self._said[number]


def _named(one: int | str, wants: tuple[str, ...] | None) -> str | None:
    if isinstance(one, str):
        return one
    return wants[one] if wants is not None and one < len(wants) else None


class Exchange:
    """What one keeper does of itself: asks for what its peers want, and tells those that wait.

    Peers are those of its links now; a link that has gone is left out by who calls.
    """

    def __init__(self, board: Board) -> None:
        self.board, self.asking = board, Asking()
        self._waiting: dict[Peer, None] = {}
        self._soon: int | None = None  # when what came too soon after another word is told

    def wanted(self, peer: Peer, leads: bool, now: int) -> None:
        """After each word that a peer says; `leads`: this keeper does."""
        # Danger: two that take each other for the leader would pass one want to and fro without end.
        if leads or not peer.wants_all:
            for shard, young in peer.needs:
                self.asking.wanted((shard,), now, young)
        peer.needs = []
        if peer.waits:
            self._waiting[peer] = None

    def heard(self, engine: str, at: int) -> bool:
        """An engine has told all its copies, asked at `at`. Whether a peer waits for any."""
        self.asking.heard(engine, at)
        return bool(self._waiting)

    def due(self, placed: Mapping[str, Shard], now: int) -> list[str]:
        """Engines that this keeper, which leads, asks now."""
        due = self.asking.next
        return self.asking.due(placed, now) if due is not None and now >= due else []

    def tells(self, now: int) -> list[tuple[Peer, Word]]:
        """What is said at once, and to whom."""
        found, self._soon = [], None
        for peer in list(self._waiting):
            word = peer.at_once(now)
            if word is not None:
                found.append((peer, word))
            if not peer.waits:
                del self._waiting[peer]
            elif peer.told_at + _APART > now and self._soon is None:
                self._soon = now + _APART
        return found

    def again(self) -> int | None:
        """When there is more to be done, if nothing comes before."""
        return min((at for at in (self.asking.next, self._soon) if at is not None), default=None)


_word = msgspec.msgpack.Decoder(Word).decode
encoded = msgspec.msgpack.Encoder().encode


class Talk:
    """A peer's words as the bodies of frames, at most so many shards in each.

    `wants`: the shards that this side wants to hear of at that moment; left out: all, as keepers do.
    `needs`: of these, by place, how old their positions may be in milliseconds.
    """

    def __init__(
        self,
        board: Board,
        most: int,
        wants: Callable[[int], tuple[str, ...]] | None = None,
        needs: Callable[[int], Iterable[tuple[int, int]]] | None = None,
    ) -> None:
        self.peer, self._most, self._wants, self._needs = Peer(board), most, wants, needs

    def next_message(self, now: int) -> bytes:
        wants = self._wants(now) if self._wants is not None else None
        needs = self._needs(now) if self._needs is not None else ()
        return encoded(self.peer.says(self._most, wants, now, needs))

    def on_message(self, body: bytes, now: int) -> None:
        """BrokenError where that is no word."""
        try:
            word = _word(body)
        except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as trouble:
            raise FramingError(f"no word on positions: {trouble}") from None
        self.peer.hears(word, now)
