"""What the progress of an attempt in flight shows: a bad plan, a heavy request, or one that will be late."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

from cresstray.policy.deadlines import WINDOW_US

if TYPE_CHECKING:
    from cresstray.policy.types import Attempt

# An attempt that takes so many times its expected latency has a bad plan, or is heavy by itself.
BAD_PLAN_FACTOR = 4
# Requests as heavy as a dozen usual ones hold up a dozen.
HEAVY_FACTOR = 3
# Progress is rough: this part of the latency that it projects must fit before the deadline.
CERTAIN_PART = 0.7
MIN_FRACTION = 0.01


class ProgressVerdict(Enum):
    """What is to be done with an attempt in flight."""

    CONTINUE = "continue"
    RETRY = "retry"  # it has drawn a bad plan
    GIVE_UP = "give up"  # the request is too heavy by itself, or will be late


def judge_progress(
    attempt: Attempt, fraction_done: float, slowdown: float, has_queue: bool, now_us: int
) -> ProgressVerdict:
    """Projects the latency of an attempt from its progress, and returns what is to be done.

    A bad plan, drawn for each attempt anew, holds threads and memory many times as long. A request that was
    as heavy in an earlier attempt is heavy by itself.
    """
    request = attempt.request
    projected_us = (now_us - attempt.sent_us) / max(fraction_done, MIN_FRACTION)
    attempt.projected_latency_us = projected_us
    earlier_us = min(
        (other.projected_latency_us for other in request.attempts[:-1] if other.projected_latency_us),
        default=0,
    )
    slow_us = BAD_PLAN_FACTOR * request.expected_latency_us * max(1.0, slowdown)
    if projected_us > max(slow_us, 2 * earlier_us):
        return ProgressVerdict.RETRY
    is_past_window = now_us > attempt.sent_us + WINDOW_US
    is_late = is_past_window and attempt.sent_us + CERTAIN_PART * projected_us > request.deadline_us
    is_heavy = bool(earlier_us) and has_queue and projected_us > HEAVY_FACTOR * slow_us
    return ProgressVerdict.GIVE_UP if is_late or is_heavy else ProgressVerdict.CONTINUE
