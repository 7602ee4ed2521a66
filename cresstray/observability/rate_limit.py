"""The bound on how many lines of one kind are logged."""

from __future__ import annotations

from typing import NamedTuple

# Enough to see what happens; a flood of one kind must not take the CPU time of what it reports on.
_MAX_LINES_PER_SECOND = 5
_SECOND_US = 1_000_000


class Decision(NamedTuple):
    """What to do with one line."""

    is_allowed: bool
    left_out: int  # lines of the kind that were left out and are to be reported now, before this one


class LineRateLimit:
    """Allows some lines of each kind in each second, and counts those that are left out."""

    def __init__(self) -> None:
        self._second: dict[str, int] = {}
        self._count: dict[str, int] = {}

    def decide(self, kind: str, now_us: int) -> Decision:
        """Counts one line of this kind and decides on it."""
        second = now_us // _SECOND_US
        left_out = 0
        if self._second.get(kind) != second:
            left_out = max(0, self._count.get(kind, 0) - _MAX_LINES_PER_SECOND)
            self._second[kind] = second
            self._count[kind] = 0
        self._count[kind] += 1
        return Decision(self._count[kind] <= _MAX_LINES_PER_SECOND, left_out)
