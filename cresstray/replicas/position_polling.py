"""Which engines a keeper asks for positions now, out of what its gateways want.

A shard is wanted with how young its positions are to be. Its primary is asked again and again by that, as a
head that nobody saw then can't be asked for later. Its copies are asked when a read waits for them, and the
primary before them where its head is not young either: a head tells how old all copies are, a position only
its own copy's.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterable, Mapping

from cresstray.replicas.positions import Shard

# Questions to one engine are so far apart, in microseconds: 40 a second at the most, beside those that the
# hands put each half second. A read waits for 30 ms, and finds the answer to the question before.
_APART = 25_000
# Over all engines a second, and at once. An answer with 8 copies takes a keeper 40 us, with 50 copies 220 us:
# 2 or 11 in 100 of a core, whatever is wanted. 80 engines get six a second each of it (docs/replicas.md).
_IN_ALL, _AT_ONCE = 500, 50
# A shard that no word has named for so long is not asked for: gateways name theirs four times in that.
_HELD = 1_000_000
# How young positions are to be where nobody said, and the youngest that may be asked for again and again: for
# a bound of 0.3 s and above that is as much as copies that follow each 50 ms need.
_YOUNG, _YOUNGEST = 500_000, 60_000
# An engine that has not answered within this is asked half as often each time, at last each 8 s. Its line is
# given up after three seconds.
_SILENT, _LONGEST = 250_000, 8_000_000
# Once the bound over all is reached, engines are looked at each so often.
_STEP = 5_000
# Shards that came since engines were last looked at. Danger: 1,024 gateways may want anything.
_MOST = 4096
# What has been passed on to the leader is not passed on again for so long; for a read that waits, and else.
_AGAIN_WAITS, _AGAIN = 20_000, 250_000


class _Engine:
    __slots__ = ("asked", "out", "silent", "period", "until", "waits", "head", "queued")

    def __init__(self) -> None:
        self.asked, self.out = -_LONGEST, False  # when the last question went out, and whether it is still
        self.silent = 0  # questions in a row without an answer
        self.period, self.until = _LONGEST, 0  # asked so often, until then
        self.waits = self.head = False  # a read waits for it; for a head
        self.queued: int | None = None  # when it is looked at next

    def due(self, now: int) -> int | None:
        """When it is to be asked; None: not at all."""
        if not self.waits and now >= self.until:
            return None
        at = self.asked + (_APART if self.waits else max(_APART, self.period))
        if self.out:
            # Danger: one that hangs would be asked without end, and others would wait for their part of all.
            at = max(at, self.asked + min(_LONGEST, _SILENT << self.silent))
        return at


class Asking:
    """`next`: when `due` is to be asked again, None: once more is wanted; `asked`: questions so far."""

    def __init__(self) -> None:
        self._came: dict[str, tuple[int, bool]] = {}  # since the last look: how young, whether a read waits
        self._engines: dict[str, _Engine] = {}
        self._queue: list[tuple[int, str]] = []  # when to look at each; others of the same engine are stale
        self._passed: dict[tuple[str, bool], tuple[int, int]] = {}  # to the leader: how young, when
        self._left, self._left_at = float(_AT_ONCE), 0
        self.next: int | None = None
        self.asked = 0

    def wanted(self, shards: Iterable[str], now: int, young: int = _YOUNG) -> None:
        """Positions not older than `young` microseconds; 0: a read waits for them now."""
        for shard in shards:
            before = self._came.get(shard)
            if before is None and len(self._came) >= _MOST:
                continue
            period, waits = before or (_LONGEST, False)
            self._came[shard] = (min(period, young or _LONGEST), waits or not young)
            self.next = now

    def heard(self, engine: str, at: int) -> None:
        """It has answered what went out at `at`, whoever asked it: with one out at a time none is out now."""
        one = self._engines.get(engine)
        if one is not None:
            one.asked, one.out, one.silent = at, False, 0
            self._look_at(engine, one, at)
            self.next = self._queue[0][0] if self.next is None else min(self._queue[0][0], self.next)

    def due(self, placed: Mapping[str, Shard], now: int) -> list[str]:
        """Engines to be asked now, the most pressing first. Shards that are not placed are forgotten."""
        for shard, (young, waits) in self._came.items():
            if shard in placed:
                self._want(placed[shard], max(young, _YOUNGEST), waits, now)
        self._came.clear()
        self._left = min(_AT_ONCE, self._left + max(0, now - self._left_at) * _IN_ALL / 1e6)
        self._left_at = now
        found = []
        # Danger: looked at for each question that may go, a flood would cost a look at all engines for each.
        enough = self._left >= _IN_ALL * _STEP / 1e6
        while enough and self._queue and self._queue[0][0] <= now:
            queued, name = heapq.heappop(self._queue)
            one = self._engines.get(name)
            if one is None or one.queued != queued:
                continue
            one.queued, at = None, one.due(now)
            if at is not None and at <= now:
                found.append((not one.waits, not one.head, at, name))
            elif at is None and now >= one.asked + _LONGEST:
                del self._engines[name]  # nobody wants it, or it is gone
            else:
                self._look_at(name, one, now)
        found.sort()
        asked = [name for *_, name in found[: int(self._left)]]
        for name in asked:
            one = self._engines[name]
            if one.out:
                one.silent = min(one.silent + 1, 5)
            one.asked, one.out, one.waits, one.head = now, True, False, False
            self._look_at(name, one, now)
        for *_, name in found[len(asked) :]:
            self._look_at(name, self._engines[name], now, now + _STEP)
        self._left -= len(asked)
        self.asked += len(asked)
        self.next = (
            max(self._queue[0][0], now + (0 if enough and self._left >= 1 else _STEP))
            if self._queue
            else None
        )
        return asked

    def _look_at(self, name: str, one: _Engine, now: int, least: int = 0) -> None:
        """When it is due; one that nobody wants is looked at to be forgotten."""
        due = one.due(now)
        at = max(least, one.asked + _LONGEST if due is None else due)
        if one.queued is None or at < one.queued:
            one.queued = at
            heapq.heappush(self._queue, (at, name))

    def _want(self, shard: Shard, young: int, waits: bool, now: int) -> None:
        if shard.primary:
            one = self._engine(shard.primary)
            if young < _LONGEST and (young <= one.period or now >= one.until):
                one.period, one.until = young, now + _HELD
            if waits and now - one.asked > 2 * _YOUNGEST:
                one.waits = one.head = True
            self._look_at(shard.primary, one, now)
        for copy in shard.reads if waits else ():
            if copy != shard.primary:
                one = self._engine(copy)
                one.waits = True
                self._look_at(copy, one, now)

    def _engine(self, name: str) -> _Engine:
        one = self._engines.get(name)
        if one is None:
            one = self._engines[name] = _Engine()
        return one

    def carried(self, most: int, now: int) -> list[tuple[str, int]]:
        """What a keeper that does not lead tells the leader: at most so many times a shard and how young it
        is to be; 0: a read waits."""
        found: list[tuple[str, int]] = []
        for shard, (young, waits) in list(self._came.items()):
            if len(found) >= most - 1:  # one shard may take two
                break
            del self._came[shard]
            for wanted, again in ((0, _AGAIN_WAITS), (young, _AGAIN)):
                if wanted == _LONGEST or wanted == 0 and not waits:
                    continue
                key = shard, wanted == 0
                before = self._passed.get(key)
                if before is None or wanted < before[0] or now - before[1] >= again:
                    self._passed.pop(key, None)
                    self._passed[key] = (wanted, now)
                    found.append((shard, wanted))
        while len(self._passed) > _MOST:
            del self._passed[next(iter(self._passed))]
        self.next = now if self._came else None
        return found
