"""How far each copy of a shard has come, and since when it surely had all that its primary had.

An observation is a moment at which the head was surely no further than told: when the request went out that
was answered with it. A copy that has applied as much lacks nothing that is older than that moment.
"""

from __future__ import annotations

import re
from array import array
from bisect import bisect_right
from collections.abc import Callable, Iterable, Mapping
from typing import Annotated, Protocol

import msgspec

# Observations of a head, thinned evenly by age: from 10 ms to a minute two for each doubling.
_MOST_HEADS = 24
# Shards beyond are unknown, and told once: 5,000 are asked for. A shard with three copies takes some 1.5 kB.
_MOST_SHARDS = 8192
# A copy that told what can't be is back after so long, and so many plausible positions in a row.
_TRIAL, _PLAUSIBLE = 10_000_000, 3
# A head seldom moves four times as fast as it did lately; what is beyond waits for the primary's next word.
_BURST = 4
_ID = re.compile("s-[0-9a-f]{8}")
# Positions are whole numbers that a float holds exactly, as engines' reports are read as floats.
MOST_POSITION = 2**53 - 1


class Shard(Protocol):
    """As `placement` in force has it."""

    copies: tuple[str, ...]
    primary: str
    epoch: int
    reads: tuple[str, ...]


# Danger: what a peer tells goes into our own reckoning; a time below 0 would make a copy fresh for good.
_Age = Annotated[int, msgspec.Meta(ge=-1, le=2**40)]
_Position = Annotated[int, msgspec.Meta(ge=-1, le=MOST_POSITION)]
_Number = Annotated[int, msgspec.Meta(ge=0, lt=2**32)]
_Name = Annotated[str, msgspec.Meta(max_length=64)]


class Item(msgspec.Struct, array_like=True, frozen=True):
    """What one process tells another of a shard. Ages in milliseconds when it was told, rounded up."""

    shard: _Name
    epoch: _Position
    age: _Age  # of the newest word on the head
    head: _Position  # -1: unknown
    # Copy, applied, age of the moment at which it had all, -1: unknown; or -1, for how long it is left out.
    copies: Annotated[tuple[tuple[_Number | _Name, _Position, _Age], ...], msgspec.Meta(max_length=16)]


def _short(copy: str) -> int | str:
    """Engines' ids as numbers: most of an item's bytes would be their names."""
    return int(copy[2:], 16) if _ID.fullmatch(copy) else copy


class _Copy:
    __slots__ = (
        "applied",
        "heard",
        "fresh",
        "ahead",
        "ahead_at",
        "last",
        "last_at",
        "out",
        "was_out",
        "plausible",
    )

    def __init__(self, out: int | None = None) -> None:
        self.applied, self.heard = -1, 0  # the furthest that is believed, and when it had come in
        self.fresh: int | None = None  # the last moment at which it surely had all that the primary had
        self.ahead, self.ahead_at = -1, 0  # the first position beyond all heads known, and when it came in
        self.last, self.last_at = -1, 0  # the furthest of these
        self.out = self.was_out = out  # since when it is left out, and when that was last so
        self.plausible = 0


class _Shard:
    """One shard in one epoch."""

    def __init__(self, placed: Shard) -> None:
        self.placed = placed
        self.times, self.heads = array("q"), array("q")  # both only grow
        self.copies: dict[str, _Copy] = {}
        self.top, self.top_at = -1, 0  # the furthest head, and when it had come in
        self.waiting: dict[str, tuple] = {}  # the last word of each copy in an epoch that is not in force yet
        self.stamp = 0  # of the board, when this last changed

    def reaches(self, now: int) -> int:
        """As far as the head may have come by now; -1: nothing is known of it."""
        if not self.heads:
            return -1
        span = self.times[-1] - self.times[0]
        grown = (self.heads[-1] - self.heads[0]) * (now - self.times[-1]) * _BURST // span if span else 0
        return self.heads[-1] + grown


class Cursor:
    """How far one peer has been told of a board."""

    def __init__(self) -> None:
        self.at = 0  # the place of the next shard in the board's order
        self.since = 0  # what changed up to this stamp has been told in rounds before
        self.round = 0  # the board's stamp when this round began


class Board:
    """What one process knows of all shards. `drift`: by how much two clocks may differ in pace.

    `say` hears of what can't be, a line each. `passes_on`: what peers have told is told on, as keepers do.
    """

    def __init__(
        self, say: Callable[[str], None] = lambda text: None, drift: float = 0.01, passes_on: bool = False
    ) -> None:
        self._say, self._drift, self._passes_on = say, drift, passes_on
        self._taking = False
        self._shards: dict[str, _Shard] = {}
        self._order: list[str] = []
        self._placed: Mapping[str, Shard] | None = None
        self.stamp = 0  # grows with each change that peers are told of
        self.lies = 0  # how often a copy was left out

    # Placement in force: whose word counts.

    def place(self, shards: Mapping[str, Shard], now: int) -> None:
        """What is in force from now on; other epochs' positions are forgotten."""
        if shards is self._placed:
            return
        self._placed = shards
        if len(shards) > _MOST_SHARDS:
            self._say(f"{len(shards) - _MOST_SHARDS} shards too many: nothing is known of their copies")
        kept = sorted(shards)[:_MOST_SHARDS]
        for name in kept:
            placed, known = shards[name], self._shards.get(name)
            if known is None:
                self._shards[name] = _Shard(placed)
            elif placed.epoch != known.placed.epoch:
                # Danger: positions of two epochs can't be compared; nothing of the other one counts.
                self._shards[name] = _Shard(placed)
                for copy, word in known.waiting.items():
                    self.heard(name, copy, *word)
            elif placed.epoch == known.placed.epoch and placed is not known.placed:
                known.placed = placed
                known.copies = {
                    copy: one
                    for copy, one in known.copies.items()
                    if copy in placed.copies and copy != placed.primary
                }
                known.waiting = {copy: word for copy, word in known.waiting.items() if copy in placed.copies}
        if kept != self._order:
            for name in set(self._order) - set(kept):
                del self._shards[name]
            self._order = kept

    # What engines tell with their answers.

    def heard(
        self, shard: str, copy: str, epoch: int, applied: int, head: int | None, at: int, now: int
    ) -> None:
        """`at`: when the request went out that was answered with it; `now`: when that answer came.

        `head` counts only from the primary in force.
        """
        known = self._shards.get(shard)
        if known is None or copy not in known.placed.copies or at > now:
            return
        if epoch > known.placed.epoch:
            known.waiting[copy] = (epoch, applied, head, at, now)
        elif epoch == known.placed.epoch:
            if copy != known.placed.primary:
                self._applied(shard, known, copy, applied, at, now)
            elif head is not None:
                self._observed(shard, known, head, at, now)

    def _observed(self, shard: str, known: _Shard, head: int, at: int, now: int) -> None:
        """At `at` the head was no further than this."""
        if at >= known.top_at and head < known.top:
            # Danger: a primary that was set back has lost what its copies may show, or tells lies.
            self._say(f"the primary of shard {shard} told head {head} after {known.top}; nothing is known")
            self.lies += 1
            del known.times[:], known.heads[:]
            known.copies, known.top = {}, -1
        if head > known.top:
            known.top, known.top_at = head, now
        times, heads = known.times, known.heads
        for name, copy in known.copies.items():
            if copy.out is None and copy.ahead >= 0:
                if head >= copy.last:
                    copy.ahead = -1
                    self._believe(known, copy, copy.last, copy.last_at)
                elif head >= copy.ahead:
                    self._believe(known, copy, copy.ahead, copy.ahead_at)
                    copy.ahead, copy.ahead_at = copy.last, copy.last_at
                elif at >= copy.ahead_at:
                    self._leave_out(
                        known,
                        copy,
                        now,
                        f"copy {name} of shard {shard} told position "
                        f"{copy.ahead}, and the primary later {head}",
                    )
        place = bisect_right(times, at)
        if (
            place < len(times)
            and heads[place] <= head
            or place
            and times[place - 1] == at
            and heads[place - 1] <= head
        ):
            return  # a later one is no further
        first = place
        while first and heads[first - 1] >= head:
            first -= 1
        del times[first:place], heads[first:place]
        times.insert(first, at)
        heads.insert(first, head)
        for copy in known.copies.values():
            if copy.out is None and copy.applied >= head and (copy.fresh is None or at > copy.fresh):
                copy.fresh = at
        if len(times) > _MOST_HEADS:
            # The one whose loss widens the gap least, for how old it is.
            newest = times[-1]
            least = min(
                range(1, len(times) - 1),
                key=lambda one: ((times[one + 1] - times[one - 1]) / (newest - times[one] + 1000), one),
            )
            del times[least], heads[least]
        self._changed(known)

    def _applied(self, shard: str, known: _Shard, name: str, applied: int, at: int | None, now: int) -> None:
        """`at`: None where another process has told it, no one knows when the copy did."""
        copy = known.copies.get(name)
        if copy is None:
            copy = known.copies[name] = _Copy()
        if copy.out is not None:
            self._try(shard, known, name, applied, at, now)
            return
        if at is not None and at >= copy.heard and applied < copy.applied:
            # Danger: a copy that was set back would be read as if it still had what it lost.
            self._leave_out(
                known, copy, now, f"copy {name} of shard {shard} told position {applied} after {copy.applied}"
            )
        elif known.heads and applied <= known.heads[-1]:
            self._believe(known, copy, applied, now)
        else:
            if copy.ahead < 0:
                copy.ahead, copy.ahead_at = applied, now
                copy.last, copy.last_at = applied, now
            elif applied > copy.last:
                copy.last, copy.last_at = applied, now
            # Danger: a position that no head can have reached would make this copy fresh for good.
            if applied <= known.reaches(now):
                self._believe(known, copy, applied, now)

    def _believe(self, known: _Shard, copy: _Copy, applied: int, now: int) -> None:
        if applied <= copy.applied:
            return
        copy.applied, copy.heard = applied, now
        place = bisect_right(known.heads, applied)
        if place and (copy.fresh is None or known.times[place - 1] > copy.fresh):
            copy.fresh = known.times[place - 1]
        self._changed(known)

    def _leave_out(self, known: _Shard, copy: _Copy, out: int, text: str) -> None:
        self._say(text + "; it is left out")
        self.lies += 1
        copy.__init__(out)
        self._changed(known)

    def _try(self, shard: str, known: _Shard, name: str, applied: int, at: int | None, now: int) -> None:
        """Of one that is left out: back once it has told what can be for a while."""
        copy = known.copies[name]
        if at is None:
            # Others have tried it. Who left it out and told so has no older word on it.
            good = now - copy.out >= 2 * _TRIAL
        elif at < copy.out:
            return
        else:
            copy.plausible = copy.plausible + 1 if copy.last <= applied <= known.reaches(now) else 0
            copy.last = applied
            good = copy.plausible >= _PLAUSIBLE and now - copy.out >= _TRIAL
        if good:
            copy.out, copy.last = None, -1
            self._applied(shard, known, name, applied, at, now)

    # What is known.

    def bound(self, shard: str, copy: str, now: int) -> int | None:
        """How old what this copy shows is at most, in microseconds; None: unknown."""
        known = self._shards.get(shard)
        found = known.copies.get(copy) if known is not None else None
        if found is None or found.fresh is None:
            return None
        age = now - found.fresh
        return age + int(age * self._drift)

    def applied(self, shard: str, copy: str) -> tuple[int, int] | None:
        """Epoch and position that this copy surely has; None: unknown."""
        known = self._shards.get(shard)
        found = known.copies.get(copy) if known is not None else None
        return None if found is None or found.applied < 0 else (known.placed.epoch, found.applied)

    # Between processes: a join of maxima, so order, repeats and losses do no harm.

    def _changed(self, known: _Shard) -> None:
        if not self._taking or self._passes_on:
            self.stamp += 1
            known.stamp = self.stamp

    def told(self, now: int, most: int, cursor: Cursor, wanted: Iterable[str] | None = None) -> list[Item]:
        """At most so many shards that changed since this peer was told, the least recently told first.

        `wanted`: those that it asks for; None: all.
        """
        order = self._order if wanted is None else [name for name in wanted if name in self._shards]
        items: list[Item] = []
        for _ in order:
            if cursor.at >= len(order):
                cursor.at, cursor.since = 0, cursor.round
            if cursor.at == 0:
                if cursor.since == self.stamp:
                    break
                cursor.round = self.stamp
            if len(items) >= most:
                break
            known = self._shards[order[cursor.at]]
            if known.stamp > cursor.since:
                items.append(self._item(order[cursor.at], known, now))
            cursor.at += 1
        return items

    def changed(self, since: Mapping[str, int], now: int) -> list[Item]:
        """Of these shards, those of which more is known than at each one's stamp."""
        return [
            self._item(name, self._shards[name], now)
            for name, stamp in since.items()
            if name in self._shards and self._shards[name].stamp > stamp
        ]

    def _item(self, name: str, known: _Shard, now: int) -> Item:
        # The newest head only: what older ones show is in the copies' own moments.
        age, head = (_milli(now - known.times[-1]), known.heads[-1]) if known.heads else (0, -1)
        copies = tuple(
            (_short(copy), one.applied, -1 if one.fresh is None else _milli(now - one.fresh))
            if one.out is None
            else (_short(copy), -1, _milli(max(0, now - one.out)))
            for copy, one in sorted(known.copies.items())
            if one.applied >= 0 or one.out is not None
        )
        return Item(name, known.placed.epoch, age, head, copies)

    def take(self, items: Iterable[Item], at: int, now: int) -> None:
        """What a peer has told. `at`: a moment before it told them: when that went out here which it has
        heard before. Danger: reckoned from their arrival, their way here would make all look fresher."""
        self._taking = True
        for item in items:
            known = self._shards.get(item.shard)
            if known is None or item.epoch != known.placed.epoch:
                continue
            if item.head >= 0:
                self._observed(item.shard, known, item.head, self._moment(at, item.age), now)
            for name, applied, age in item.copies:
                name = f"s-{name:08x}" if isinstance(name, int) else name
                if name in known.placed.copies and name != known.placed.primary:
                    self._take_copy(item.shard, known, name, applied, age, at, now)
        self._taking = False

    def _take_copy(
        self, shard: str, known: _Shard, name: str, applied: int, age: int, at: int, now: int
    ) -> None:
        moment = self._moment(at, age)
        if applied >= 0:
            self._applied(shard, known, name, applied, None, now)
        copy = known.copies.get(name)
        if applied < 0:
            if copy is None:
                copy = known.copies[name] = _Copy()
            # Danger: told around between peers, one lie would leave it out for good; each counts once.
            if copy.out is None and (copy.was_out is None or moment > copy.was_out):
                self._leave_out(known, copy, moment, f"copy {name} of shard {shard} is left out by a peer")
        elif (
            copy is not None
            and copy.out is None
            and age >= 0
            and copy.applied >= applied
            and (copy.fresh is None or moment > copy.fresh)
        ):
            copy.fresh = moment
            self._changed(known)

    def _moment(self, at: int, age: int) -> int:
        return at - int(1000 * max(0, age) * (1 + self._drift)) - 1


def _milli(age: int) -> int:
    return -(-age // 1000)
