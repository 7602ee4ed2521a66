"""Periods and margins that several modules of the policy share, and the deadlines of requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cresstray.policy.types import Request

# Length of a sample window of the concurrency limit.
WINDOW_US = 1_000_000
# Time between two sweeps over the admission queue and the attempts in flight.
SWEEP_INTERVAL_US = 100_000
# An attempt times out this long before the deadline of its request, so that a response is not late when the
# event loop is delayed.
ATTEMPT_MARGIN_US = 100_000
# A queued request must be sent this long before its deadline, as it may have to wait for one more sweep.
DEADLINE_MARGIN_US = SWEEP_INTERVAL_US + ATTEMPT_MARGIN_US


# An engine is always given a millisecond, the least that its protocol can say.
_MIN_TIMEOUT_US = 1_000


def attempt_timeout_us(request: Request, now_us: int) -> int:
    """Returns how long an attempt that is sent now may take, in microseconds."""
    return max(_MIN_TIMEOUT_US, request.deadline_us - now_us - ATTEMPT_MARGIN_US)


def limit_deadline(request: Request, shutdown_us: int) -> None:
    """Moves the deadline of a request forward, so that it is answered before the gateway shuts down."""
    request.deadline_us = min(request.deadline_us, shutdown_us)
    # A request that is dispatched at its deadline would have no time left to run.
    request.latest_dispatch_us = min(request.latest_dispatch_us, request.deadline_us - DEADLINE_MARGIN_US)
