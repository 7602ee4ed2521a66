"""Outlier detection: engines that fail or stop answering are suspected, and get probe requests only.

Successful probe requests clear the suspicion.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from cresstray.policy.deadlines import WINDOW_US
from cresstray.policy.sliding_window import SlidingWindow

if TYPE_CHECKING:
    from cresstray.policy.types import Attempt

# Consecutive lost attempts or health checks that make an engine unresponsive. A single one may be a heavy
# request or a broken connection, and the only attempt that this gateway has on the engine.
UNRESPONSIVE_LOSSES = 2
# An engine is an outlier if at least this fraction of its answers are faults, far above stray errors, and
# they are at least MIN_FAULTS; or one failed request if there are at most FEW_ANSWERS, as three would take
# too long.
MIN_FAULT_FRACTION = 0.2
MIN_FAULTS = 3
FEW_ANSWERS = 5
# Consecutive successful probe requests that clear a failing engine: a single one succeeds by chance on an
# engine that fails half of its requests.
RECOVERY_STREAK = 3
# Delay until the next probe request, doubled with each failed one up to MAX_PROBE_DOUBLINGS times.
PROBE_DELAY_US = 500_000
MAX_PROBE_DOUBLINGS = 3
# A probe request without an answer counts as lost after this time.
PROBE_TIMEOUT_US = 4 * WINDOW_US
PROBES_PER_REQUEST = 0.1
MAX_PROBE_BUDGET = 2.0
OVERDUE_FACTOR = 4
OVERDUE_MARGIN_US = 200_000


def _new_window() -> SlidingWindow:
    return SlidingWindow(5 * WINDOW_US, 10)


class EngineHealth:
    """Faults and answers of one engine, and whether it is suspected."""

    __slots__ = (
        "last_answer_us",
        "consecutive_losses",
        "faults",
        "answers",
        "is_suspected",
        "is_unresponsive",
        "next_probe_us",
        "probe_streak",
    )

    def __init__(self) -> None:
        self.last_answer_us = 0
        self.consecutive_losses = 0  # attempts and health checks lost since the last answer
        self.faults = _new_window()
        self.answers = _new_window()  # faults included
        self.is_suspected = False
        self.is_unresponsive = False  # suspected because it does not answer, not because it fails
        self.next_probe_us = 0
        self.probe_streak = 0  # consecutive successes; if negative, consecutive failed probe requests

    def on_answer(self, now_us: int) -> None:
        """Records that the engine has sent something, be it an error."""
        self.last_answer_us = now_us
        self.consecutive_losses = 0

    def on_success(self, now_us: int) -> None:
        """Records a completed attempt, which may clear the suspicion."""
        self.answers.add(now_us)
        self.on_answer(now_us)
        self.next_probe_us = now_us
        self.probe_streak = max(0, self.probe_streak) + 1
        if self.is_suspected and (self.probe_streak >= RECOVERY_STREAK or self.is_unresponsive):
            self.is_suspected = False
            self.faults = _new_window()

    def on_check_success(self, now_us: int) -> None:
        """Records a successful health check; an unresponsive engine may then get its next probe request."""
        self.on_answer(now_us)
        if self.is_unresponsive:
            self.next_probe_us = now_us

    def on_fault(self, lost_count: int, is_failed_request: bool, now_us: int) -> bool:
        """Records a fault with `lost_count` lost attempts; returns whether the engine becomes suspected."""
        self.consecutive_losses += lost_count
        is_unresponsive = lost_count > 0 and self.consecutive_losses >= UNRESPONSIVE_LOSSES
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
        if faults < MIN_FAULT_FRACTION * answers:
            return False
        return faults >= MIN_FAULTS or (is_failed_request and answers <= FEW_ANSWERS)


class OutlierDetector:
    """The budget of probe requests, and whether suspicion of engines is enforced."""

    __slots__ = ("probe_budget", "is_enforced")

    def __init__(self) -> None:
        self.probe_budget = 0.0  # probe requests that may be sent
        self.is_enforced = True

    def on_accepted(self) -> None:
        """Adds one probe request for ten accepted requests, which bounds the probe load from all gateways."""
        self.probe_budget = min(self.probe_budget + PROBES_PER_REQUEST, MAX_PROBE_BUDGET)

    def on_probe_sent(self, health: EngineHealth, now_us: int) -> None:
        """Spends budget on a probe request; the next one has to wait until this one is answered or lost."""
        self.probe_budget = max(0.0, self.probe_budget - 1)
        health.next_probe_us = now_us + PROBE_TIMEOUT_US

    def may_probe(self, health: EngineHealth, now_us: int) -> bool:
        """Returns whether a suspected engine may get a probe request."""
        return now_us >= health.next_probe_us and self.probe_budget >= 1

    def update(self, suspected_count: int, engine_count: int, has_other_site: bool) -> None:
        """Decides whether suspicion is enforced.

        It is not while more than half of the engines are suspected, as they are no outliers then. With
        another site to forward to it always is, as most engines here may be dead.
        """
        self.is_enforced = has_other_site or 2 * suspected_count <= engine_count


def is_overdue(attempt: Attempt, slowdown: float, progress_interval_us: int, now_us: int) -> bool:
    """Returns whether an attempt should have ended long ago.

    An engine that is dead, stuck or unreachable, or a connection that loses responses, returns no samples. An
    attempt is overdue after OVERDUE_FACTOR times its expected latency, as work varies widely, unless it has
    sent a progress update recently.
    """
    is_silent = now_us - attempt.last_progress_us > 1.5 * progress_interval_us
    expected_us = OVERDUE_FACTOR * attempt.request.expected_latency_us * max(1.0, slowdown)
    return is_silent and now_us - attempt.sent_us > expected_us + OVERDUE_MARGIN_US
