"""The concurrency limit on this gateway's own threads on one engine, moved by the Gradient law.

The limit moves once per sample window. A sample is the latency of a completed attempt over the expected one.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from cresstray.policy.deadlines import WINDOW_US
from cresstray.policy.types import STARVED_RANK

if TYPE_CHECKING:
    from cresstray.policy.types import Attempt, Request

# The defaults of the Gradient law.
MIN_SAMPLES = 10
AVERAGE_WEIGHT = 0.2
TOLERANCE = 0.1
DECREASE_RATIO = 0.5
# The best average rises by this much per window, so that an old one does not count for ever.
BEST_RATIO_GROWTH = 1.01
# Bounds on the limit, as parts of the initial one.
MIN_PART_OF_INITIAL = 0.1
MAX_PART_OF_INITIAL = 1.99
# The slowdown covers about the last 20 samples: a window with few samples says too little to choose by.
SLOWDOWN_WEIGHT = 0.05
# Without load reports, latency over this many times the best one counts as pressure.
HIGH_LATENCY_RATIO = 1.5


class ConcurrencyLimit:
    """The limit, the attempts that run under it, and the samples of the open window."""

    __slots__ = (
        "cores",
        "initial",
        "value",
        "draw",
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
        self.initial = cores / gateway_count  # a thread per core, shared by the gateways
        self.value = self.initial
        self.draw = 1.0  # the random draw for requests wider than the free part of the limit
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
        """Counts the threads of an attempt that is sent."""
        self.attempts[attempt] = None
        self.running_threads += attempt.request.request_class.threads

    def finish_attempt(self, attempt: Attempt) -> None:
        """Frees the threads of an attempt that has ended."""
        del self.attempts[attempt]
        self.running_threads -= attempt.request.request_class.threads

    def take_over_attempts(self, earlier: ConcurrencyLimit) -> None:
        """Counts the attempts that were sent before the engine restarted: they are still to end."""
        self.attempts = earlier.attempts
        self.running_threads = earlier.running_threads

    def take_over_samples(self, earlier: ConcurrencyLimit) -> None:
        """Continues from what was learnt of the same engine."""
        self.value = earlier.value / earlier.initial * self.initial
        self.sample_count = earlier.sample_count
        self.average_ratio = earlier.average_ratio
        self.best_ratio = earlier.best_ratio
        self.slowdown = earlier.slowdown

    def record_sample(self, ratio: float) -> None:
        """Includes a sample in the open window."""
        self.sample_count += 1
        self.window_count += 1
        self.window_total += ratio
        self.slowdown += SLOWDOWN_WEIGHT * (ratio - self.slowdown)

    def close_window(self) -> None:
        """Moves the limit by the samples of the window; the first window with an average only holds it."""
        count = self.window_count
        mean = self.window_total / max(1, count)
        has_failed = self.has_window_failed
        self.window_count = 0
        self.window_total = 0.0
        self.has_window_failed = False
        if self.sample_count < MIN_SAMPLES or not (count or has_failed):
            return
        is_first = not self.average_ratio
        gradient = self._update_average(mean, is_first) if count else 0.0
        if has_failed:
            self.value *= 0.5
        elif not is_first:
            self._move(gradient)
        self.value = min(
            max(self.value, MIN_PART_OF_INITIAL * self.initial), MAX_PART_OF_INITIAL * self.initial
        )

    def _update_average(self, mean: float, is_first: bool) -> float:
        """Includes the mean of a window in the average; returns the gradient."""
        if is_first:
            self.average_ratio = mean
            self.best_ratio = mean
        else:
            self.average_ratio = AVERAGE_WEIGHT * mean + (1 - AVERAGE_WEIGHT) * self.average_ratio
            self.best_ratio = min(self.best_ratio * BEST_RATIO_GROWTH, self.average_ratio)
        return (mean - self.average_ratio) / self.average_ratio

    def _move(self, gradient: float) -> None:
        if gradient > TOLERANCE:
            self.value *= max(1 - gradient * DECREASE_RATIO, DECREASE_RATIO)
        elif gradient < -TOLERANCE:
            self.value += 2
        else:
            self.value += 1

    def scale(self, factor: float) -> None:
        """Scales the limit as the number of gateways changes."""
        self.initial *= factor
        self.value *= factor

    def resize(self, cores: float) -> None:
        """Scales the limit of another site's gateway to the cores that it offers."""
        self.value *= cores / self.cores
        self.cores = cores
        self.initial = cores

    def has_high_latency(self) -> bool:
        """Returns whether latency is far over the best seen."""
        return self.average_ratio > HIGH_LATENCY_RATIO * self.best_ratio > 0

    def admits_by_chance(self, request: Request) -> bool:
        """Returns whether a request that is wider than the free part of the limit is let in by the draw.

        The chance is limit / threads for each second that the request lasts, as a draw per window alone
        would keep short requests far under the limit. A starved request counts as one window at most: as
        latency rises, long requests would be shut out.
        """
        max_windows = 1.0 if request.queue_rank < STARVED_RANK / 2 else 1e9
        windows = min(request.expected_latency_us / WINDOW_US, max_windows)
        return self.running_threads == 0 and self.draw * request.request_class.threads * windows < self.value
