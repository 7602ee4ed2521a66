"""Lines of keepers and of what follows them: key=value on standard error by structlog, rate-limited by kind.

Danger: structlog takes memory that a gateway without an operator's file may not have; only what that file
asks for imports this.
"""

from __future__ import annotations

import sys
from collections.abc import Callable

import structlog

# Five a second tell what happens; a flood of one kind must not cost the core it reports on.
_MOST = 5


class EventLog:
    """`said.say("link", "ended", name="k2")`: a line of that kind. `now` in microseconds, for the rate."""

    def __init__(self, now: Callable[[], int], **always: object) -> None:
        self._now = now
        rendered = structlog.processors.LogfmtRenderer(key_order=["timestamp", *always, "kind", "event"])
        self._log = structlog.wrap_logger(
            structlog.PrintLogger(sys.stderr),
            processors=[structlog.processors.TimeStamper(fmt="iso", utc=True), rendered],
        ).bind(**always)
        self._second: dict[str, int] = {}
        self._count: dict[str, int] = {}

    def log(self, kind: str, event: str, **more: object) -> None:
        """Prints a line, unless this kind had its lines of this second; the next tells how many it lost."""
        second = self._now() // 1_000_000
        if self._second.get(kind) != second:
            left_out = max(0, self._count.get(kind, 0) - _MOST)
            self._second[kind], self._count[kind] = second, 0
            if left_out:
                self._log.info("more lines were left out", kind=kind, lines=left_out)
        self._count[kind] += 1
        if self._count[kind] <= _MOST:
            self._log.info(event, kind=kind, **more)
