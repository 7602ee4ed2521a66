"""When what is kept is written: seldom enough to cost nothing, later where the disk is slow or refuses."""

from __future__ import annotations

from collections.abc import Callable

from cresstray.membership.confidence import SECOND

# News wait so long, so that a rollout of hundreds of engines is one write; what is learnt may wait longer.
_NEWS, _LEARNT = 2 * SECOND, 30 * SECOND
# Of the time, at most a fiftieth is spent writing: a disk that takes 5 s a sync is left alone for four
# minutes.
_SHARE = 50
# A full or read-only disk is tried again after so long, doubled each time, and drawn from half of it on.
# One that ends as planned lets go within some four seconds; asking costs a thread and three system calls.
_LOCKED = SECOND
_RETRY, _LONGEST = 5 * SECOND, 300 * SECOND


class Behind:
    """What is unwritten and since when; one write at a time."""

    def __init__(self, chance: Callable[[], float], now: int) -> None:
        self._chance = chance
        self.news: int | None = None  # since when the list is newer than the disk
        self.learnt = now  # when what was learnt was last written
        self.writing: int | None = None
        self._rest, self._failed = now, 0

    def changed(self, now: int) -> None:
        if self.news is None:
            self.news = now

    def wants(self, now: int) -> bool:
        return (
            self.writing is None
            and now >= self._rest
            and (self.news is not None and now - self.news >= _NEWS or now - self.learnt >= _LEARNT)
        )

    def began(self, now: int) -> None:
        """All that is known until now goes; what changes from here on is news again."""
        assert self.writing is None, "two writes at once"
        self.writing, self.news = now, None

    def locked_out(self, now: int) -> None:
        """Another process still keeps the folder, for some seconds if this one is its successor."""
        self.news, self.writing, self._rest = self.writing, None, now + _LOCKED

    def ended(self, well: bool, took: int, now: int) -> None:
        """`took`: microseconds at the disk."""
        assert self.writing is not None, "a write ended that was not begun"
        begun, self.writing = self.writing, None
        if well:
            self.learnt, self._failed, self._rest = begun, 0, now + _SHARE * took
            return
        self.news = begun if self.news is None else min(begun, self.news)
        self._failed += 1
        pause = min(_LONGEST, _RETRY << min(self._failed - 1, 6))
        self._rest = now + max(_SHARE * took, int(pause * (0.5 + 0.5 * self._chance())))
