"""The concurrency limit on this gateway's threads on one engine, adjusted by the gradient law.

The limit is adjusted once per sample window. A sample is the ratio of the latency of a completed attempt to
its expected latency.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from cresstray.policy.deadlines import WINDOW_US
from cresstray.policy.types import STARVED_RANK

if TYPE_CHECKING:
    from cresstray.policy.types import Attempt, Request

# The default parameters of the gradient law.
MIN_SAMPLES = 10
AVERAGE_WEIGHT = 0.2
TOLERANCE = 0.1
DECREASE_RATIO = 0.5
# The best average grows by this factor per window, so that an old minimum expires.
BEST_RATIO_GROWTH = 1.01
# Bounds on the limit, relative to its initial value.
MIN_RATIO_TO_INITIAL = 0.1
MAX_RATIO_TO_INITIAL = 1.99
# The slowdown covers about the last 20 samples, as load balancing by the few samples of one window is too
# noisy.
SLOWDOWN_WEIGHT = 0.05
# Without load reports, latency above this multiple of the best average counts as pressure.
HIGH_LATENCY_RATIO = 1.5


class ConcurrencyLimit:
    """The limit, the attempts that count against it, and the samples of the open window."""

    __slots__ = (
        "cores",
        "initial",
        "value",
        "random_draw",
        "attempts",
        "running_threads",
        "window_total",
        "window_count",
        "has_window_failed",
        "sample_count",
        "average_ratio",
        "best_ratio",
        "slowdown",
    )

    def __init__(self, cores: float, gateway_count: int) -> None:
        self.cores = cores
        self.initial = cores / gateway_count  # one thread per core, divided among the gateways
        self.value = self.initial
        self.random_draw = 1.0  # from 0 to 1, for requests with more threads than the limit has free
        self.attempts: dict[Attempt, None] = {}  # in flight
        self.running_threads = 0
        self.window_total = 0.0
        self.window_count = 0
        self.has_window_failed = False
        self.sample_count = 0
        self.average_ratio = 0.0
        self.best_ratio = 0.0
        self.slowdown = 1.0

    def start_attempt(self, attempt: Attempt) -> None:
        """Counts an attempt and its threads against the limit."""
        self.attempts[attempt] = None
        self.running_threads += attempt.request.request_class.threads

    def finish_attempt(self, attempt: Attempt) -> None:
        """Releases the threads of an attempt that has ended."""
        del self.attempts[attempt]
        self.running_threads -= attempt.request.request_class.threads

    def take_over_attempts(self, earlier: ConcurrencyLimit) -> None:
        """Counts the attempts that were sent before the engine restarted and have yet to end."""
        self.attempts = earlier.attempts
        self.running_threads = earlier.running_threads

    def take_over_samples(self, earlier: ConcurrencyLimit) -> None:
        """Continues from the limit and the statistics of an earlier state of the same engine."""
        self.value = earlier.value / earlier.initial * self.initial
        self.sample_count = earlier.sample_count
        self.average_ratio = earlier.average_ratio
        self.best_ratio = earlier.best_ratio
        self.slowdown = earlier.slowdown

    def record_sample(self, ratio: float) -> None:
        """Adds a sample to the open window."""
        self.sample_count += 1
        self.window_count += 1
        self.window_total += ratio
        self.slowdown += SLOWDOWN_WEIGHT * (ratio - self.slowdown)

    def close_window(self) -> None:
        """Adjusts the limit by the samples of the window; the window that sets the first average does not."""
        count = self.window_count
        mean = self.window_total / max(1, count)
        has_failed = self.has_window_failed
        self.window_count = 0
        self.window_total = 0.0
        self.has_window_failed = False
        if self.sample_count < MIN_SAMPLES or not (count or has_failed):
            return
        is_first_average = not self.average_ratio
        gradient = self._update_average(mean, is_first_average) if count else 0.0
        if has_failed:
            self.value *= 0.5
        elif not is_first_average:
            self._apply_gradient(gradient)
        self.value = min(
            max(self.value, MIN_RATIO_TO_INITIAL * self.initial), MAX_RATIO_TO_INITIAL * self.initial
        )

    def _update_average(self, mean: float, is_first_average: bool) -> float:
        """Includes the mean of a window in the moving average; returns the gradient."""
        if is_first_average:
            self.average_ratio = mean
            self.best_ratio = mean
        else:
            self.average_ratio = AVERAGE_WEIGHT * mean + (1 - AVERAGE_WEIGHT) * self.average_ratio
            self.best_ratio = min(self.best_ratio * BEST_RATIO_GROWTH, self.average_ratio)
        return (mean - self.average_ratio) / self.average_ratio

    def _apply_gradient(self, gradient: float) -> None:
        if gradient > TOLERANCE:
            self.value *= max(1 - gradient * DECREASE_RATIO, DECREASE_RATIO)
        elif gradient < -TOLERANCE:
            self.value += 2
        else:
            self.value += 1

    def scale(self, factor: float) -> None:
        """Scales the limit after the number of gateways has changed."""
        self.initial *= factor
        self.value *= factor

    def resize(self, cores: float) -> None:
        """Scales the limit of a gateway of another site to the cores that it offers."""
        self.value *= cores / self.cores
        self.cores = cores
        self.initial = cores

    def has_high_latency(self) -> bool:
        """Returns whether latency is far above the best average."""
        return self.average_ratio > HIGH_LATENCY_RATIO * self.best_ratio > 0

    def admits_by_chance(self, request: Request) -> bool:
        """Returns whether the random draw admits a request with more threads than the limit has free.

        The probability is limit / threads for each second that the request lasts, as one draw per window
        would keep short requests far below the limit. A starved request counts as one window at most, as
        long requests would never be admitted while latency rises.
        """
        max_windows = 1.0 if request.queue_rank < STARVED_RANK / 2 else 1e9
        windows = min(request.expected_latency_us / WINDOW_US, max_windows)
        return (
            self.running_threads == 0
            and self.random_draw * request.request_class.threads * windows < self.value
        )
