"""Periods and margins that several parts of the policy share, in microseconds, and deadlines of requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cresstray.policy.types import Request

# Length of a sample window of the concurrency limit.
WINDOW_US = 1_000_000
# Between two sweeps over the queue and the attempts in flight.
SWEEP_INTERVAL_US = 100_000
# An attempt ends this long before the deadline of its request, as a late event loop must not carry a
# response past it.
ATTEMPT_MARGIN_US = 100_000
# A queued request must be sent this long before its deadline: it may wait for one more sweep.
DEADLINE_MARGIN_US = SWEEP_INTERVAL_US + ATTEMPT_MARGIN_US


def limit_deadline(request: Request, shutdown_us: int) -> None:
    """Has the request answered by the time the gateway shuts down."""
    request.deadline_us = min(request.deadline_us, shutdown_us)
    # Dispatched at the very end, it would have no time left to run.
    request.latest_dispatch_us = min(request.latest_dispatch_us, request.deadline_us - DEADLINE_MARGIN_US)
