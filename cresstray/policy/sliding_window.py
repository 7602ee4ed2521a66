"""Sums over a sliding time window, kept in a ring of buckets."""

from __future__ import annotations


class SlidingWindow:
    """Sums over the last `span_us` microseconds: buckets of equal length, and one that is filling."""

    __slots__ = ("_width_us", "_sums", "_stamp")

    def __init__(self, span_us: int, bucket_count: int) -> None:
        self._width_us = max(1, -(-span_us // bucket_count))
        self._sums = [0.0] * (bucket_count + 1)
        self._stamp = 0  # of the bucket that is filling: the time in widths

    def _advance(self, now_us: int) -> int:
        """Empties the buckets that have come round; returns the index of the one that is filling."""
        stamp = now_us // self._width_us
        size = len(self._sums)
        for passed in range(min(stamp - self._stamp, size)):
            self._sums[(stamp - passed) % size] = 0.0
        self._stamp = max(stamp, self._stamp)
        return self._stamp % size

    def add(self, now_us: int, amount: float = 1.0) -> None:
        """Counts an amount at this time, or at an earlier one if its bucket is still there."""
        stamp = now_us // self._width_us
        size = len(self._sums)
        if stamp > self._stamp:
            self._advance(now_us)
        if stamp > self._stamp - size:
            self._sums[stamp % size] += amount

    def upper_bound(self, now_us: int) -> float:
        """Returns the sum over the span or a little longer: at least that of the exact window."""
        self._advance(now_us)
        return sum(self._sums)

    def lower_bound(self, now_us: int) -> float:
        """Returns the sum over the span or a little less: at most that of the exact window."""
        filling = self._advance(now_us)
        return sum(self._sums) - self._sums[(filling + 1) % len(self._sums)]
