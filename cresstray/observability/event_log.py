"""Structured log events: key=value on standard error by structlog, rate-limited by kind.

structlog takes memory that a gateway without an operator's file may not have, so this is a module of its own,
and imported only by what that file asks for.
"""

from __future__ import annotations

import sys
from collections.abc import Callable

import structlog

from cresstray.observability.rate_limit import LineRateLimit


class EventLog:
    """`said.say("link", "ended", name="k2")`: a line of that kind. `now` in microseconds, for the rate."""

    def __init__(self, now: Callable[[], int], **always: object) -> None:
        self._now = now
        renderer = structlog.processors.LogfmtRenderer(key_order=["timestamp", *always, "kind", "event"])
        self._logger = structlog.wrap_logger(
            structlog.PrintLogger(sys.stderr),
            processors=[structlog.processors.TimeStamper(fmt="iso", utc=True), renderer],
        ).bind(**always)
        self._rate_limit = LineRateLimit()

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
