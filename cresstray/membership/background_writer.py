"""Decides when a snapshot is written: seldom enough to cost little, later if the disk is slow or fails."""

from __future__ import annotations

from collections.abc import Callable

from cresstray.membership.confidence import SECOND_US

# A change of the list is written after this delay, so that a rollout of hundreds of engines is one write.
_CHANGE_DELAY_US = 2 * SECOND_US
# Without a change of the list, learned state is written at this interval.
_WRITE_INTERVAL_US = 30 * SECOND_US
# After a write the disk is left alone for this multiple of the write's duration, so that writes take at most
# two per cent of the time: after a sync of 5 s the next write is four minutes later.
_REST_FACTOR = 50
# A predecessor that ends as planned releases the folder within about four seconds.
_LOCK_RETRY_DELAY_US = SECOND_US
# The delay after a failed write, as of a full or read-only disk; it doubles with each failure.
_MIN_RETRY_DELAY_US = 5 * SECOND_US
_MAX_RETRY_DELAY_US = 300 * SECOND_US
_MAX_DOUBLINGS = 6
# Delays are random between this share of the full delay and the full delay, so that gateways don't retry
# together.
_MIN_DELAY_SHARE = 0.5


class WriteSchedule:
    """Decides when the next snapshot is due; one write runs at a time.

    `chance` returns a number in [0, 1).

    Attributes:
        changed_at_us: Since when the list differs from the disk; None if it does not differ.
        last_write_us: When the last successful write started.
        write_started_us: When the running write started; None if no write is running.
    """

    def __init__(self, chance: Callable[[], float], now_us: int) -> None:
        self._chance = chance
        self.changed_at_us: int | None = None
        self.last_write_us = now_us
        self.write_started_us: int | None = None
        self._not_before_us = now_us
        self._failure_count = 0

    def on_change(self, now_us: int) -> None:
        """Records that the list differs from the disk."""
        if self.changed_at_us is None:
            self.changed_at_us = now_us

    def is_due(self, now_us: int) -> bool:
        """Returns whether a write should start now."""
        if self.write_started_us is not None or now_us < self._not_before_us:
            return False
        if self.changed_at_us is not None and now_us - self.changed_at_us >= _CHANGE_DELAY_US:
            return True
        return now_us - self.last_write_us >= _WRITE_INTERVAL_US

    def on_write_started(self, now_us: int) -> None:
        """Records that the present state is being written; later changes need another write."""
        assert self.write_started_us is None, "two writes at once"
        self.write_started_us = now_us
        self.changed_at_us = None

    def on_folder_locked(self, now_us: int) -> None:
        """Records that another process still has the folder locked; the write is repeated soon."""
        self.changed_at_us = self.write_started_us
        self.write_started_us = None
        self._not_before_us = now_us + _LOCK_RETRY_DELAY_US

    def on_write_finished(self, is_success: bool, duration_us: int, now_us: int) -> None:
        """Records the end of a write that kept the disk busy for `duration_us`."""
        assert self.write_started_us is not None, "a write has ended that was not started"
        started_us = self.write_started_us
        self.write_started_us = None
        if is_success:
            self.last_write_us = started_us
            self._failure_count = 0
            self._not_before_us = now_us + _REST_FACTOR * duration_us
            return
        self.changed_at_us = started_us if self.changed_at_us is None else min(started_us, self.changed_at_us)
        self._failure_count += 1
        delay_us = min(
            _MAX_RETRY_DELAY_US, _MIN_RETRY_DELAY_US << min(self._failure_count - 1, _MAX_DOUBLINGS)
        )
        retry_delay_us = int(delay_us * (_MIN_DELAY_SHARE + (1 - _MIN_DELAY_SHARE) * self._chance()))
        self._not_before_us = now_us + max(_REST_FACTOR * duration_us, retry_delay_us)
