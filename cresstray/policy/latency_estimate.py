"""Latency estimates by request class, from the completed attempts of this gateway."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cresstray.policy.deadlines import WINDOW_US
from cresstray.policy.sliding_window import SlidingWindow

if TYPE_CHECKING:
    from cresstray.policy.types import Request, RequestClass

# The mean covers about this many samples: enough for widely varying work, few enough to follow a workload
# that changes within a day.
MEAN_SAMPLES = 200
MIN_EXPECTED_US = 1000
# Without samples the estimate is the latency objective divided by this, as objectives leave a reserve.
INITIAL_OBJECTIVE_DIVISOR = 4.0
# The averages over all classes cover about 200 samples, the slowdown about 100.
AVERAGE_WEIGHT = 0.005
SLOWDOWN_WEIGHT = 0.01


class LatencyEstimate:
    """The expected latency of one request class, and how often its requests are dispatched."""

    __slots__ = (
        "threads",
        "sample_count",
        "mean_us",
        "mean_work_us",
        "work_factor",
        "dispatched",
        "never_dispatched",
    )

    def __init__(self, request_class: RequestClass) -> None:
        self.threads = request_class.threads
        self.sample_count = 0
        self.mean_us = request_class.latency_objective_us / INITIAL_OBJECTIVE_DIVISOR
        self.mean_work_us = 0.0  # of the requests' own estimates, divided by their threads
        self.work_factor = 1.0  # mean latency over mean estimate
        self.dispatched = SlidingWindow(5 * WINDOW_US, 10)  # first attempts
        self.never_dispatched = SlidingWindow(5 * WINDOW_US, 10)  # requests finished without an attempt

    def expected_us(self, request: Request) -> int:
        """Returns the expected latency: from the request's own estimate if it has one, otherwise the mean."""
        return max(
            MIN_EXPECTED_US,
            int(request.estimated_work_us / self.threads * self.work_factor or self.mean_us),
        )

    def record_latency(self, request: Request, latency_us: int) -> None:
        """Includes the latency of a completed attempt."""
        self.sample_count += 1
        weight = 1.0 / min(self.sample_count, MEAN_SAMPLES)
        estimate_us = request.estimated_work_us / self.threads
        self.mean_us += weight * (latency_us - self.mean_us)
        self.mean_work_us += weight * (estimate_us - self.mean_work_us)
        self.work_factor = self.mean_us / max(1.0, self.mean_work_us)


class WorkloadAverages:
    """Moving averages over the completed attempts of all classes."""

    __slots__ = ("value", "work_us", "expected_us", "slowdown")

    def __init__(self) -> None:
        self.value = 1.0
        self.work_us = 1.0  # expected thread-microseconds of a request
        self.expected_us = 1.0  # expected latency of a request
        self.slowdown = 1.0  # latency over expected latency

    def record_attempt(self, request: Request, latency_ratio: float) -> None:
        """Includes a completed attempt; `latency_ratio` is its latency over the expected latency."""
        request_class = request.request_class
        expected_us = request.expected_latency_us
        self.slowdown += SLOWDOWN_WEIGHT * (latency_ratio - self.slowdown)
        self.value += AVERAGE_WEIGHT * (request_class.value - self.value)
        self.expected_us += AVERAGE_WEIGHT * (expected_us - self.expected_us)
        self.work_us += AVERAGE_WEIGHT * (expected_us * request_class.threads - self.work_us)
