"""Retries: the retry budget, and whether a request may be sent again or rejected."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cresstray.policy.deadlines import DEADLINE_MARGIN_US
from cresstray.policy.sliding_window import SlidingWindow
from cresstray.policy.types import NOT_EXECUTED, Outcome

if TYPE_CHECKING:
    from cresstray.policy.settings import RetrySettings
    from cresstray.policy.types import Attempt, Engine, Request

# A repeated request must reach its engine within the deduplication window of the first attempt, so it is sent
# at least this long before the window ends.
DEDUP_MARGIN_US = 50_000
# After this many failed attempts, a request is taken to fail on any engine.
MAX_FAILED_ATTEMPTS = 2
# With this many buckets, rounding of the windows costs at most a twentieth of the budget.
BUDGET_BUCKETS = 20


class RetryPolicy:
    """The retry budget, and the rules on which requests may be sent again or rejected."""

    __slots__ = ("_settings", "accepted", "retries")

    def __init__(self, settings: RetrySettings) -> None:
        self._settings = settings
        # A forwarded retry may be sent up to `forwarding_delay_us` after it is counted. So the window of
        # accepted requests is shorter by that delay, and the window of retries longer.
        window_us = settings.budget_window_us or 0
        delay_us = settings.forwarding_delay_us
        self.accepted = SlidingWindow(max(0, window_us - delay_us), BUDGET_BUCKETS)
        self.retries = SlidingWindow(window_us + delay_us, BUDGET_BUCKETS)

    def on_accepted(self, request: Request) -> None:
        """Counts an accepted request, which adds to the retry budget."""
        self.accepted.add(request.arrived_us)

    def on_client_cancelled(self, request: Request) -> None:
        """Removes a request from the count, as a flood of cancelled ones would pay for retries of others."""
        self.accepted.add(request.arrived_us, -1)

    def on_retry(self, now_us: int) -> None:
        """Counts a retry when it is decided."""
        self.retries.add(now_us)

    def on_retry_sent(self, attempt: Attempt, now_us: int) -> None:
        """Counts a retry at its time of sending instead: a slow connection may delay it to another window."""
        self.retries.add(attempt.sent_us, -1)
        self.retries.add(now_us)

    def has_budget(self, now_us: int, scale: float) -> bool:
        """Returns whether one more retry fits into the scaled budget, over any window.

        Counts are rounded to the safe side: accepted requests down, retries up.
        """
        settings = self._settings
        max_retries = settings.free_retries + settings.retry_ratio * self.accepted.lower_bound(now_us)
        if scale <= 0 or settings.budget_window_us is None:
            return scale > 0
        return self.retries.upper_bound(now_us) + 1 <= max_retries * scale

    def is_worth_retrying(self, request: Request, now_us: int) -> bool:
        """Returns whether a retry could be in time, is likely to succeed, and is safe."""
        request_class = request.request_class
        useful_until_us = (
            request.deadline_us if request_class.late_value > 0 else request.objective_deadline_us
        )
        if now_us + request.expected_latency_us >= useful_until_us:
            return False
        if now_us >= request.deadline_us - DEADLINE_MARGIN_US:
            return False
        max_attempts = 1 if request.is_forwarded_in else self._settings.max_attempts
        failed_count = [attempt.outcome for attempt in request.attempts].count(Outcome.FAILED)
        if len(request.attempts) >= max_attempts or failed_count >= MAX_FAILED_ATTEMPTS:
            return False
        if request_class.is_deduplicated:
            return has_window_left(request, now_us)
        return self.may_reject(request)

    def may_reject(self, request: Request) -> bool:
        """Returns whether the client may repeat the request: it was not executed, or a repeat is harmless."""
        request_class = request.request_class
        if request_class.is_idempotent:
            return True
        if request_class.is_deduplicated and request_class.dedup_scope == "all":
            return True
        return all(attempt.outcome in NOT_EXECUTED for attempt in request.attempts)

    def may_repeat_on(self, request: Request, engine: Engine, now_us: int) -> bool:
        """Returns whether the engine will discard the request if an earlier attempt was executed."""
        request_class = request.request_class
        if not request_class.is_deduplicated:
            return True
        # Outside the scope or after the window, a repeated request would take effect twice.
        return has_window_left(request, now_us) and all(
            _is_in_scope(request_class.dedup_scope, attempt.engine, engine)
            for attempt in request.attempts
            if attempt.outcome not in NOT_EXECUTED
        )


def has_window_left(request: Request, now_us: int) -> bool:
    """Returns whether engines still discard a repeat of each attempt that may have been executed."""
    window_us = request.request_class.dedup_window_us - DEDUP_MARGIN_US
    return all(
        now_us < attempt.sent_us + window_us
        for attempt in request.attempts
        if attempt.outcome not in NOT_EXECUTED
    )


def _is_in_scope(scope: str, first: Engine, second: Engine) -> bool:
    if scope == "zone":
        return first.zone == second.zone
    if scope == "cell":
        return first.cell == second.cell
    return scope == "all"
