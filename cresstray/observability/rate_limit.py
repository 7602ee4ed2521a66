"""Rate limit of log lines by kind."""

from __future__ import annotations

from typing import NamedTuple

# Enough to see what happens; a flood of one kind must not take CPU time from the work that it reports on.
_MAX_LINES_PER_SECOND = 5
_SECOND_US = 1_000_000


class RateLimitDecision(NamedTuple):
    """Whether to print one line, and whether to report suppressed lines first."""

    is_allowed: bool
    suppressed_count: int  # lines of the kind that were suppressed earlier and are reported before this one


class LineRateLimit:
    """Allows some lines of each kind in each second, and counts those that it suppresses."""

    def __init__(self) -> None:
        self._current_second: dict[str, int] = {}
        self._line_count: dict[str, int] = {}  # in the current second, by kind

    def decide(self, kind: str, now_us: int) -> RateLimitDecision:
        """Counts one line of this kind and decides on it."""
        second = now_us // _SECOND_US
        suppressed_count = 0
        if self._current_second.get(kind) != second:
            suppressed_count = max(0, self._line_count.get(kind, 0) - _MAX_LINES_PER_SECOND)
            self._current_second[kind] = second
            self._line_count[kind] = 0
        self._line_count[kind] += 1
        return RateLimitDecision(self._line_count[kind] <= _MAX_LINES_PER_SECOND, suppressed_count)
