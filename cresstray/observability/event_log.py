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
    """Prints events with fields, as in `event_log.log("link", "ended", name="k2")`.

    Args:
        now: returns microseconds, for the rate limit.
        always: fields of all events.
    """

    def __init__(self, now: Callable[[], int], **always: object) -> None:
        self._now = now
        renderer = structlog.processors.LogfmtRenderer(key_order=["timestamp", *always, "kind", "event"])
        self._logger = structlog.wrap_logger(
            structlog.PrintLogger(sys.stderr),
            processors=[structlog.processors.TimeStamper(fmt="iso", utc=True), renderer],
        ).bind(**always)
        self._rate_limit = LineRateLimit()

    def log(self, kind: str, event: str, **fields: object) -> None:
        """Prints an event, unless too many of this kind came; a later one says how many were left out."""
        decision = self._rate_limit.decide(kind, self._now())
        if decision.left_out:
            self._logger.info("more lines were left out", kind=kind, lines=decision.left_out)
        if decision.is_allowed:
            self._logger.info(event, kind=kind, **fields)
