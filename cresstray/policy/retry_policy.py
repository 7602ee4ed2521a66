"""Retries: whether a request may be sent again or rejected, and the budget of retries."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cresstray.policy.deadlines import DEADLINE_MARGIN_US
from cresstray.policy.sliding_window import SlidingWindow
from cresstray.policy.types import NOT_EXECUTED, Outcome

if TYPE_CHECKING:
    from cresstray.policy.settings import RetrySettings
    from cresstray.policy.types import Attempt, Engine, Request

# A repeat must reach its engine within the deduplication window of the first attempt; it leaves this long
# before its end.
DEDUP_MARGIN_US = 50_000
# So many engines that fail a request show that no engine can run it.
MAX_FAILED_ATTEMPTS = 2
# Buckets of the budget's windows: rounding costs a twentieth.
BUDGET_BUCKETS = 20


class RetryPolicy:
    """The retry budget, and which requests may be sent again or rejected."""

    __slots__ = ("_settings", "accepted", "retries")

    def __init__(self, settings: RetrySettings) -> None:
        self._settings = settings
        # A retry that is forwarded is sent later than it is counted: by so much, one window is shorter and
        # the other longer.
        window_us = settings.budget_window_us or 0
        delay_us = settings.forwarding_delay_us
        self.accepted = SlidingWindow(max(0, window_us - delay_us), BUDGET_BUCKETS)
        self.retries = SlidingWindow(window_us + delay_us, BUDGET_BUCKETS)

    def on_accepted(self, request: Request) -> None:
        """Counts a request, which earns retries."""
        self.accepted.add(request.arrived_us)

    def on_client_cancelled(self, request: Request) -> None:
        """Takes back what a request has earned: a flood of cancelled ones would earn retries for others."""
        self.accepted.add(request.arrived_us, -1)

    def on_retry(self, now_us: int) -> None:
        """Counts a retry as it is decided."""
        self.retries.add(now_us)

    def on_retry_sent(self, attempt: Attempt, now_us: int) -> None:
        """Counts a retry as it is sent: a slow connection may have carried it into the next window."""
        self.retries.add(attempt.sent_us, -1)
        self.retries.add(now_us)

    def has_budget(self, now_us: int, scale: float) -> bool:
        """Returns whether one more retry keeps within the budget, scaled, over any window.

        The windows round to the safe side.
        """
        settings = self._settings
        max_retries = settings.free_retries + settings.retry_ratio * self.accepted.lower_bound(now_us)
        if scale <= 0 or settings.budget_window_us is None:
            return scale > 0
        return self.retries.upper_bound(now_us) + 1 <= max_retries * scale

    def is_worth_retrying(self, request: Request, now_us: int) -> bool:
        """Returns whether a retry may still be in time, of use and safe."""
        request_class = request.request_class
        end_us = request.deadline_us if request_class.late_value > 0 else request.objective_deadline_us
        if now_us + request.expected_latency_us >= end_us:
            return False
        if now_us >= request.deadline_us - DEADLINE_MARGIN_US:
            return False
        max_attempts = 1 if request.is_forwarded_in else self._settings.max_attempts
        failed = [attempt.outcome for attempt in request.attempts].count(Outcome.FAILED)
        if len(request.attempts) >= max_attempts or failed >= MAX_FAILED_ATTEMPTS:
            return False
        return request_class.is_deduplicated or self.may_reject(request)

    def may_reject(self, request: Request) -> bool:
        """Returns whether the client may send the request again: it did not run, or a repeat does no harm."""
        request_class = request.request_class
        if request_class.is_idempotent:
            return True
        if request_class.is_deduplicated and request_class.dedup_scope == "all":
            return True
        return all(attempt.outcome in NOT_EXECUTED for attempt in request.attempts)

    def may_repeat_on(self, request: Request, engine: Engine, now_us: int) -> bool:
        """Returns whether an engine will discard a repeat of what may have been executed."""
        request_class = request.request_class
        if not request_class.is_deduplicated:
            return True
        for attempt in request.attempts:
            if attempt.outcome in NOT_EXECUTED:
                continue
            # Outside the scope, or after the window, a repeat would take effect twice.
            if now_us >= attempt.sent_us + request_class.dedup_window_us - DEDUP_MARGIN_US:
                return False
            if not _is_in_scope(request_class.dedup_scope, attempt.engine, engine):
                return False
        return True


def _is_in_scope(scope: str, first: Engine, second: Engine) -> bool:
    if scope == "zone":
        return first.zone == second.zone
    if scope == "cell":
        return first.cell == second.cell
    return scope == "all"
