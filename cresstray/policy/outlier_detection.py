"""Outlier detection: engines that fail or fall silent are suspected, and get probe requests only.

A suspected engine is trusted again after successful probe requests.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from cresstray.policy.deadlines import WINDOW_US
from cresstray.policy.sliding_window import SlidingWindow

if TYPE_CHECKING:
    from cresstray.policy.types import Attempt

# Lost attempts or health checks in a row that make an engine unresponsive: a single one may be a heavy
# request or a broken connection, and all that this gateway has on the engine.
LOST_IN_A_ROW = 2
# Faults that make an engine an outlier: this part of its answers, far above stray errors, and this many; or
# one failed request where answers are so few that three would take too long.
FAULT_PART = 0.2
MIN_FAULTS = 3
FEW_ANSWERS = 5
# Successful probe requests in a row that clear a failing engine: one can succeed by luck where half fail.
CLEARING_STREAK = 3
# Time to the next probe request, doubled with each failed one, at most three times.
PROBE_DELAY_US = 500_000
MAX_PROBE_DOUBLINGS = 3
# A probe request counts as lost after this long.
PROBE_TIMEOUT_US = 4 * WINDOW_US
PROBES_PER_REQUEST = 0.1
MAX_PROBE_BUDGET = 2.0
OVERDUE_FACTOR = 4
OVERDUE_MARGIN_US = 200_000


def _recent() -> SlidingWindow:
    return SlidingWindow(5 * WINDOW_US, 10)


class EngineHealth:
    """Faults and answers of one engine, and whether it is suspected."""

    __slots__ = (
        "last_answer_us",
        "lost_in_a_row",
        "faults",
        "answers",
        "is_suspected",
        "is_unresponsive",
        "next_probe_us",
        "probe_streak",
    )

    def __init__(self) -> None:
        self.last_answer_us = 0
        self.lost_in_a_row = 0  # attempts and health checks since then
        self.faults = _recent()
        self.answers = _recent()  # faults included
        self.is_suspected = False
        self.is_unresponsive = False  # suspected because it is silent, not because it fails
        self.next_probe_us = 0
        self.probe_streak = 0  # successes in a row, or if negative failed probe requests

    def on_answer(self, now_us: int) -> None:
        """Records that the engine has sent anything."""
        self.last_answer_us = now_us
        self.lost_in_a_row = 0

    def on_success(self, now_us: int) -> None:
        """Records a completed attempt, which may clear the engine."""
        self.answers.add(now_us)
        self.on_answer(now_us)
        self.next_probe_us = now_us
        self.probe_streak = max(0, self.probe_streak) + 1
        if self.is_suspected and (self.probe_streak >= CLEARING_STREAK or self.is_unresponsive):
            self.is_suspected = False
            self.faults = _recent()

    def on_check_success(self, now_us: int) -> None:
        """Records a successful health check: an engine that was silent may get its next probe request."""
        self.on_answer(now_us)
        if self.is_unresponsive:
            self.next_probe_us = now_us

    def on_fault(self, lost: int, is_failed_request: bool, now_us: int) -> bool:
        """Records a fault with so many lost attempts; returns whether the engine becomes suspected."""
        self.lost_in_a_row += lost
        is_unresponsive = lost > 0 and self.lost_in_a_row >= LOST_IN_A_ROW
        self.answers.add(now_us)
        self.faults.add(now_us)
        was_suspected = self.is_suspected
        if not (was_suspected or is_unresponsive or self._is_outlier(is_failed_request, now_us)):
            return False
        if was_suspected:
            self.is_unresponsive = is_unresponsive or self.is_unresponsive
            self.probe_streak = min(0, self.probe_streak) - 1
        else:
            self.is_suspected = True
            self.is_unresponsive = is_unresponsive
            self.probe_streak = 0
        self.next_probe_us = now_us + (PROBE_DELAY_US << min(-self.probe_streak, MAX_PROBE_DOUBLINGS))
        return not was_suspected

    def _is_outlier(self, is_failed_request: bool, now_us: int) -> bool:
        faults = self.faults.upper_bound(now_us)
        answers = self.answers.upper_bound(now_us)
        if faults < FAULT_PART * answers:
            return False
        return faults >= MIN_FAULTS or (is_failed_request and answers <= FEW_ANSWERS)


class OutlierDetector:
    """The budget of probe requests, and whether suspicion counts at all."""

    __slots__ = ("probe_budget", "is_enforced")

    def __init__(self) -> None:
        self.probe_budget = 0.0  # probe requests that may be sent
        self.is_enforced = True

    def on_accepted(self) -> None:
        """Earns probe requests: one for ten accepted requests, or all gateways' would be a share of work."""
        self.probe_budget = min(self.probe_budget + PROBES_PER_REQUEST, MAX_PROBE_BUDGET)

    def on_probe_sent(self, health: EngineHealth, now_us: int) -> None:
        """Counts a request sent to a suspected engine; one at a time, unless it is answered sooner."""
        self.probe_budget = max(0.0, self.probe_budget - 1)
        health.next_probe_us = now_us + PROBE_TIMEOUT_US

    def may_probe(self, health: EngineHealth, now_us: int) -> bool:
        """Returns whether a suspected engine may get a probe request."""
        return now_us >= health.next_probe_us and self.probe_budget >= 1

    def update(self, suspected_count: int, engine_count: int, has_other_site: bool) -> None:
        """Decides whether suspicion counts.

        Where half of the engines are suspected they are no outliers, and it does not. With another site to
        forward to it does, as most engines here may be dead.
        """
        self.is_enforced = has_other_site or 2 * suspected_count <= engine_count


def is_overdue(attempt: Attempt, slowdown: float, progress_interval_us: int, now_us: int) -> bool:
    """Returns whether an attempt should long have ended.

    An engine that is dead, stuck or cut off, or a connection that loses responses, gives no samples. Four
    times the expected latency, as work spreads widely, and no progress update of late.
    """
    is_silent = now_us - attempt.last_progress_us > 1.5 * progress_interval_us
    expected_us = OVERDUE_FACTOR * attempt.request.expected_latency_us * max(1.0, slowdown)
    return is_silent and now_us - attempt.sent_us > expected_us + OVERDUE_MARGIN_US
