"""Records the outcomes of attempts and health checks, and load reports, by engine and request class."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING

from cresstray.policy.deadlines import WINDOW_US
from cresstray.policy.load_balancing import RARE_REPORT_US
from cresstray.policy.types import Outcome

if TYPE_CHECKING:
    from cresstray.policy.latency_estimate import WorkloadAverages
    from cresstray.policy.load_balancing import LoadBalancer
    from cresstray.policy.types import Attempt, Engine

# Bound on a sample, so that one heavy request in a window with few samples does not cut the limit of a
# healthy engine.
MAX_LATENCY_RATIO = 4.0


class OutcomeRecorder:
    """Updates the limit, health and signals of the engine, and the averages, with each outcome."""

    __slots__ = ("_averages", "_load_balancer", "_log_event")

    def __init__(
        self, averages: WorkloadAverages, load_balancer: LoadBalancer, log_event: Callable[[str], None]
    ) -> None:
        self._averages = averages
        self._load_balancer = load_balancer
        self._log_event = log_event

    def on_outcome(self, attempt: Attempt, outcome: Outcome, latency_us: int, now_us: int) -> None:
        """Records the outcome of an attempt."""
        state = attempt.engine.policy_state
        if outcome is Outcome.SUCCEEDED:
            request = attempt.request
            latency_ratio = min(MAX_LATENCY_RATIO, latency_us / request.expected_latency_us)
            state.limit.record_sample(latency_ratio)
            self._averages.record_attempt(request, latency_ratio)
            request.request_class.latency.record_latency(request, latency_us)
            state.health.on_success(now_us)
        elif outcome is Outcome.OVERLOADED:
            state.limit.has_window_failed = True
            state.signals.overloaded_until_us = now_us + WINDOW_US
        elif outcome is Outcome.CONNECTION_LOST:
            # Connections between healthy ends are lost too, and cutting the limit for each would leave either
            # the whole limit or none of it. A dead engine is noticed, as it refuses the next connection.
            self.on_fault(attempt.engine, 0, False, now_us)
        elif outcome in (Outcome.FAILED, Outcome.PROTOCOL_ERROR):
            state.health.on_answer(now_us)
            self.on_fault(attempt.engine, 0, outcome is Outcome.FAILED, now_us)
        elif outcome is Outcome.UNREACHABLE:
            is_silent = state.health.last_answer_us < attempt.sent_us
            self.on_fault(attempt.engine, 2 * is_silent, True, now_us)

    def on_fault(self, engine: Engine, lost_count: int, is_failed_request: bool, now_us: int) -> None:
        """Records a fault of an engine; `lost_count` attempts or health checks got no answer."""
        state = engine.policy_state
        state.limit.has_window_failed = state.limit.has_window_failed or is_failed_request
        if state.health.on_fault(lost_count, is_failed_request, now_us):
            kind = "unresponsive" if state.health.is_unresponsive else "failing"
            self._log_event(f"{now_us / 1e6:.1f} s: an engine is suspected, {kind}")

    def on_report(self, engine: Engine, report: Mapping[str, float], now_us: int) -> None:
        """Records a load report; an empty one stands for none."""
        if not report:
            return
        state = engine.policy_state
        is_rare = now_us - state.signals.updated_us > RARE_REPORT_US
        state.on_report(report, self._averages, now_us)
        self._load_balancer.on_report(engine, is_rare, now_us)
