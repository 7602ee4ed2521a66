"""Sums over a sliding time window, kept in a ring of buckets."""

from __future__ import annotations


class SlidingWindow:
    """Sums over the last `span_us` microseconds, in buckets of equal length and the current, partial one."""

    __slots__ = ("_bucket_width_us", "_sums", "_current_bucket")

    def __init__(self, span_us: int, bucket_count: int) -> None:
        self._bucket_width_us = max(1, -(-span_us // bucket_count))
        self._sums = [0.0] * (bucket_count + 1)
        self._current_bucket = 0  # the current time divided by the bucket width

    def _advance(self, now_us: int) -> int:
        """Clears the buckets that have expired; returns the index of the current one in the ring."""
        bucket = now_us // self._bucket_width_us
        ring_size = len(self._sums)
        for age in range(min(bucket - self._current_bucket, ring_size)):
            self._sums[(bucket - age) % ring_size] = 0.0
        self._current_bucket = max(bucket, self._current_bucket)
        return self._current_bucket % ring_size

    def add(self, now_us: int, amount: float = 1.0) -> None:
        """Adds an amount at the given time, which may be in the past if its bucket has not expired."""
        bucket = now_us // self._bucket_width_us
        ring_size = len(self._sums)
        if bucket > self._current_bucket:
            self._advance(now_us)
        if bucket > self._current_bucket - ring_size:
            self._sums[bucket % ring_size] += amount

    def upper_bound(self, now_us: int) -> float:
        """Returns the sum over the span or slightly more: at least the sum of the exact window."""
        self._advance(now_us)
        return sum(self._sums)

    def lower_bound(self, now_us: int) -> float:
        """Returns the sum over the span or slightly less: at most the sum of the exact window."""
        current_index = self._advance(now_us)
        return sum(self._sums) - self._sums[(current_index + 1) % len(self._sums)]
