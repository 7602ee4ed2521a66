"""When what is kept is written: seldom enough to cost nothing, later where the disk is slow or refuses."""

from __future__ import annotations

from collections.abc import Callable

from cresstray.membership.confidence import SECOND_US

# News wait so long, so that a rollout of hundreds of engines is one write; what is learnt may wait longer.
_NEWS, _LEARNT = 2 * SECOND_US, 30 * SECOND_US
# Of the time, at most a fiftieth is spent writing: a disk that takes 5 s a sync is left alone for four
# minutes.
_SHARE = 50
# A full or read-only disk is tried again after so long, doubled each time, and drawn from half of it on.
# One that ends as planned lets go within some four seconds; asking costs a thread and three system calls.
_LOCKED = SECOND_US
_RETRY, _LONGEST = 5 * SECOND_US, 300 * SECOND_US


class WriteSchedule:
    """What is unwritten and since when; one write at a time."""

    def __init__(self, chance: Callable[[], float], now: int) -> None:
        self._chance = chance
        self.changed_at_us: int | None = None  # since when the list is newer than the disk
        self.last_write_us = now  # when what was learnt was last written
        self.write_started_us: int | None = None
        self._rest, self._failed = now, 0

    def on_change(self, now: int) -> None:
        if self.changed_at_us is None:
            self.changed_at_us = now

    def is_due(self, now: int) -> bool:
        return (
            self.write_started_us is None
            and now >= self._rest
            and (
                self.changed_at_us is not None
                and now - self.changed_at_us >= _NEWS
                or now - self.last_write_us >= _LEARNT
            )
        )

    def on_write_started(self, now: int) -> None:
        """All that is known until now goes; what changes from here on is news again."""
        assert self.write_started_us is None, "two writes at once"
        self.write_started_us, self.changed_at_us = now, None

    def on_folder_locked(self, now: int) -> None:
        """Another process still keeps the folder, for some seconds if this one is its successor."""
        self.changed_at_us, self.write_started_us, self._rest = self.write_started_us, None, now + _LOCKED

    def on_write_finished(self, well: bool, took: int, now: int) -> None:
        """`took`: microseconds at the disk."""
        assert self.write_started_us is not None, "a write ended that was not begun"
        begun, self.write_started_us = self.write_started_us, None
        if well:
            self.last_write_us, self._failed, self._rest = begun, 0, now + _SHARE * took
            return
        self.changed_at_us = begun if self.changed_at_us is None else min(begun, self.changed_at_us)
        self._failed += 1
        pause = min(_LONGEST, _RETRY << min(self._failed - 1, 6))
        self._rest = now + max(_SHARE * took, int(pause * (0.5 + 0.5 * self._chance())))
