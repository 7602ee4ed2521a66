"""Evaluates the progress of an attempt in flight: finds bad plans, heavy requests and late ones."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

from cresstray.policy.deadlines import WINDOW_US

if TYPE_CHECKING:
    from cresstray.policy.types import Attempt

# An attempt of this many times its expected latency has a bad plan, or its request is heavy in itself.
BAD_PLAN_FACTOR = 4
# A request is too heavy beyond this multiple of BAD_PLAN_FACTOR: one that is as heavy as a dozen usual
# requests delays a dozen of them.
HEAVY_FACTOR = 3
# Projections are rough: a request counts as late if this fraction of its projected latency ends after the
# deadline.
CERTAIN_FRACTION = 0.7
MIN_FRACTION = 0.01


class ProgressDecision(Enum):
    """What to do with an attempt in flight."""

    CONTINUE = "continue"
    RETRY = "retry"  # the attempt has a bad plan
    GIVE_UP = "give up"  # the request is too heavy in itself, or will be late


def evaluate_progress(
    attempt: Attempt, fraction_done: float, slowdown: float, has_queue: bool, now_us: int
) -> ProgressDecision:
    """Projects the latency of an attempt from its progress, and returns what to do with it.

    An engine plans each attempt anew. A bad plan holds threads and memory many times longer than usual, and a
    retry may get a better one. A request that was as heavy in an earlier attempt is heavy in itself.
    """
    request = attempt.request
    projected_us = (now_us - attempt.sent_us) / max(fraction_done, MIN_FRACTION)
    attempt.projected_latency_us = projected_us
    earlier_projected_us = min(
        (other.projected_latency_us for other in request.attempts[:-1] if other.projected_latency_us),
        default=0,
    )
    bad_plan_us = BAD_PLAN_FACTOR * request.expected_latency_us * max(1.0, slowdown)
    if projected_us > max(bad_plan_us, 2 * earlier_projected_us):
        return ProgressDecision.RETRY
    is_past_window = now_us > attempt.sent_us + WINDOW_US
    is_late = is_past_window and attempt.sent_us + CERTAIN_FRACTION * projected_us > request.deadline_us
    is_heavy = bool(earlier_projected_us) and has_queue and projected_us > HEAVY_FACTOR * bad_plan_us
    return ProgressDecision.GIVE_UP if is_late or is_heavy else ProgressDecision.CONTINUE
