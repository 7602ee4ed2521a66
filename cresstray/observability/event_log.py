"""Structured log events: key=value lines on standard error, formatted by structlog, rate-limited by kind.

A module of its own, imported only by features that the operator's configuration file enables: structlog
takes memory that a gateway without that file may not have.
"""

from __future__ import annotations

import sys
from collections.abc import Callable

import structlog

from cresstray.observability.rate_limit import LineRateLimit


class EventLog:
    """Prints events with fields, as in `event_log.log("link", "ended", name="k2")`.

    Args:
        get_time_us: returns the time in microseconds, for the rate limit.
        common_fields: fields of all events.
    """

    def __init__(self, get_time_us: Callable[[], int], **common_fields: object) -> None:
        self._get_time_us = get_time_us
        renderer = structlog.processors.LogfmtRenderer(
            key_order=["timestamp", *common_fields, "kind", "event"]
        )
        self._logger = structlog.wrap_logger(
            structlog.PrintLogger(sys.stderr),
            processors=[structlog.processors.TimeStamper(fmt="iso", utc=True), renderer],
        ).bind(**common_fields)
        self._rate_limit = LineRateLimit()

    def log(self, kind: str, event: str, **fields: object) -> None:
        """Prints an event, unless the rate limit of its kind is exceeded; reports suppressed events later."""
        decision = self._rate_limit.decide(kind, self._get_time_us())
        if decision.suppressed_count:
            self._logger.info("more lines were left out", kind=kind, lines=decision.suppressed_count)
        if decision.is_allowed:
            self._logger.info(event, kind=kind, **fields)
