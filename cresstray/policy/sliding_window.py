"""Counts over time, kept in fixed buckets that are used again in a ring."""

from __future__ import annotations


class SlidingWindow:
    """Sums over the last `span` microseconds, `parts` buckets of equal length and one that is filling."""

    __slots__ = ("_width", "_sums", "_stamp")

    def __init__(self, span: int, parts: int) -> None:
        self._width = max(1, -(-span // parts))
        self._sums = [0.0] * (parts + 1)
        self._stamp = 0

    def _turn(self, now: int) -> int:
        stamp = now // self._width
        size = len(self._sums)
        for passed in range(min(stamp - self._stamp, size)):
            self._sums[(stamp - passed) % size] = 0.0
        self._stamp = max(stamp, self._stamp)
        return self._stamp % size

    def add(self, now: int, amount: float = 1.0) -> None:
        """Counts an amount at this moment, or at one that has passed if the ring still holds that."""
        stamp, size = now // self._width, len(self._sums)
        if stamp > self._stamp:
            self._turn(now)
        if stamp > self._stamp - size:
            self._sums[stamp % size] += amount

    def upper_bound(self, now: int) -> float:
        """The sum over the span or a little longer: at least what a sliding window holds."""
        self._turn(now)
        return sum(self._sums)

    def lower_bound(self, now: int) -> float:
        """The sum over the span or a little less: at most what a sliding window holds."""
        at = self._turn(now)
        return sum(self._sums) - self._sums[(at + 1) % len(self._sums)]
