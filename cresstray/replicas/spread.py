"""What one peer is told of positions and tells: every word names the last one heard, so its age is bounded by
this side's own clock."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Annotated

import msgspec

from cresstray.frames import BrokenError
from cresstray.replicas.positions import Board, Cursor, Item

# Shards that a gateway asks for: those of its hinted reads of late.
MOST_WANTED = 32
_MOST_ITEMS = 256
_Name = Annotated[str, msgspec.Meta(max_length=64)]
# Words on their way at once; of older ones the moment is forgotten, and what refers to them is dropped.
_MOST_KEPT = 64


class Word(msgspec.Struct, array_like=True, frozen=True):
    """The body of a Heard frame. `echo`: number of the last one heard from who gets this, 0: none."""

    number: Annotated[int, msgspec.Meta(ge=1, le=2**53)]
    echo: Annotated[int, msgspec.Meta(ge=0, le=2**53)]
    items: Annotated[tuple[Item, ...], msgspec.Meta(max_length=_MOST_ITEMS)]
    # None: all, as keepers do.
    wants: Annotated[tuple[_Name, ...], msgspec.Meta(max_length=MOST_WANTED)] | None = None


class Peer:
    """One peer on one link; new with each link, so that nothing of an earlier one is echoed."""

    def __init__(self, board: Board) -> None:
        self._board, self._cursor = board, Cursor()
        self._number = self._heard = 0
        self._said: dict[int, int] = {}  # when each word went out
        self._wants: tuple[str, ...] | None = ()

    def says(self, most: int, wants: Iterable[str] | None, now: int) -> Word:
        """The next word, with at most so many shards of what the peer wants. `wants`: here, from now on."""
        self._number += 1
        self._said[self._number] = now
        if len(self._said) > _MOST_KEPT:
            del self._said[next(iter(self._said))]
        items = []
        if self._heard:
            items = self._board.told(now, min(most, _MOST_ITEMS), self._cursor, self._wants)
        named = None if wants is None else tuple(wants)[:MOST_WANTED]
        return Word(self._number, self._heard, tuple(items), named)

    def hears(self, word: Word, now: int) -> None:
        """What is out of turn, or names a word that was never said, is dropped."""
        if word.number <= self._heard:
            return
        self._heard = word.number
        wants = None if word.wants is None else word.wants[:MOST_WANTED]
        if self._wants is not None and (wants is None or set(wants) - set(self._wants)):
            self._cursor = Cursor()  # what it did not want before may never have been told
        self._wants = wants
        at = self._said.get(word.echo)
        if at is not None:
            self._board.take(word.items, at, now)
            for number in [number for number in self._said if number < word.echo]:
                del self._said[number]


_word = msgspec.msgpack.Decoder(Word).decode
_encode = msgspec.msgpack.Encoder().encode


class Talk:
    """A peer's words as the bodies of frames, at most so many shards in each.

    `wants`: the shards that this side wants to hear of at that moment; left out: all, as keepers do.
    """

    def __init__(self, board: Board, most: int,
                 wants: Callable[[int], tuple[str, ...]] | None = None) -> None:
        self._peer, self._most, self._wants = Peer(board), most, wants

    def says(self, now: int) -> bytes:
        wants = self._wants(now) if self._wants is not None else None
        return _encode(self._peer.says(self._most, wants, now))

    def hears(self, body: bytes, now: int) -> None:
        """BrokenError where that is no word."""
        try:
            word = _word(body)
        except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as trouble:
            raise BrokenError(f"no word on positions: {trouble}") from None
        self._peer.hears(word, now)
