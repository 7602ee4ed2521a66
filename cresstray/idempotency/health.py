"""Circuit breaker, concurrency limit and time budget of the shared store, and bounds of its clock. Pure.

Requests must never hang on the store: a lookup may take only a part of a request's slack, and while the store
fails or is slow, requests do not use it until probes have succeeded.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from cresstray.policy.sliding_window import SlidingWindow

if TYPE_CHECKING:
    from cresstray.config.idempotency import IdempotencySettings

_WINDOW_US = 2_000_000
_WINDOW_BUCKETS = 10
# One lookup may take at most this part of a request's slack.
_SLACK_DIVISOR = 4
# Time budget of a lookup in mean round trips: the two that it needs, and as much again for variation. The
# budget is never below the threshold for slow replies, because some milliseconds in which the event loop was
# busy must not count against the store.
_BUDGET_ROUND_TRIPS = 4
# Failed or slow round trips in the window that open the breaker, if they are also this part of all. Fewer may
# be accidental; with a higher threshold, more requests would lose their slack first.
_MIN_FAULTS = 5
_MIN_FAULT_RATIO = 0.5
# Consecutive successful probes that close the breaker; a single one may succeed by chance.
_PROBES_TO_CLOSE = 3
# After startup one is enough, as there was no failure.
_PROBES_TO_CLOSE_AT_START = 1
_PROBE_INTERVAL_US = 250_000
_MAX_PROBE_INTERVAL_US = 4_000_000
_MAX_INTERVAL_DOUBLINGS = 4
# Limits the requests held in memory when the store has just stopped and no round trip has failed yet.
_MAX_ROUND_TRIPS = 1_000
# A synchronized clock is set back by less. The guard's safety margin for a window of 20 s is 15 times as
# long.
_CLOCK_TOLERANCE_MS = 20
# A published regression further ahead is ignored. A clock that is a day off is corrected by operators, who
# also take care of the records.
_MAX_REGRESSION_AHEAD_MS = 86_400_000
_MAX_REGRESSION_DIGITS = 15
_MAX_READING_AGE_US = 60_000_000


class StoreHealth:
    """Circuit breaker of the store; open at first, as the store's state is unknown before its first reply."""

    def __init__(self, settings: IdempotencySettings, next_random: Callable[[], float], now_us: int) -> None:
        """Creates an open breaker; `next_random` returns numbers in [0, 1)."""
        self._max_lookup_us = settings.max_lookup_us
        self._slow_us = settings.slow_us
        self._next_random = next_random
        self._round_trip_sum = SlidingWindow(_WINDOW_US, _WINDOW_BUCKETS)
        self._round_trip_count = SlidingWindow(_WINDOW_US, _WINDOW_BUCKETS)
        self._fault_count = SlidingWindow(_WINDOW_US, _WINDOW_BUCKETS)
        self._started_us: dict[int, int] = {}  # by round trip id
        self._last_round_trip_id = 0
        self.is_open = True
        self._consecutive_successes = 0
        self._consecutive_failures = 0
        self._successes_needed = _PROBES_TO_CLOSE_AT_START
        self._probe_id: int | None = None
        self._next_probe_us = now_us
        self._last_success_us = now_us

    def time_budget_us(self, slack_us: int, now_us: int) -> int:
        """Returns how much of a request's slack a lookup may take; 0 if the store must not be used."""
        if self.is_open or len(self._started_us) >= _MAX_ROUND_TRIPS:
            return 0
        round_trip_count = self._round_trip_count.lower_bound(now_us)
        mean_round_trip_us = (
            self._round_trip_sum.lower_bound(now_us) / round_trip_count if round_trip_count else 0.0
        )
        usual_duration_us = max(self._slow_us, int(_BUDGET_ROUND_TRIPS * mean_round_trip_us))
        budget_us = min(self._max_lookup_us, slack_us // _SLACK_DIVISOR, usual_duration_us)
        return budget_us if budget_us > mean_round_trip_us else 0

    def on_round_trip_started(self, now_us: int) -> int:
        """Returns the id to pass to `on_round_trip_finished`."""
        self._last_round_trip_id += 1
        self._started_us[self._last_round_trip_id] = now_us
        return self._last_round_trip_id

    def on_round_trip_finished(self, round_trip_id: int, has_succeeded: bool, now_us: int) -> None:
        """Records the end of a round trip; may open or close the breaker."""
        started_us = self._started_us.pop(round_trip_id, None)
        assert started_us is not None, "a round trip finished that was not started, or twice"
        if started_us is None:
            return
        duration_us = now_us - started_us
        is_good = has_succeeded and duration_us <= self._slow_us
        if round_trip_id == self._probe_id:
            self._on_probe_finished(is_good, now_us)
            return
        self._round_trip_sum.add(now_us, duration_us)
        self._round_trip_count.add(now_us)
        if is_good:
            self._last_success_us = now_us
            return
        self._on_fault(now_us)

    def _on_fault(self, now_us: int) -> None:
        self._fault_count.add(now_us)
        faults = self._fault_count.upper_bound(now_us)
        if self.is_open or faults < _MIN_FAULTS:
            return
        if faults >= _MIN_FAULT_RATIO * self._round_trip_count.upper_bound(now_us):
            self.is_open = True
            self._consecutive_successes = 0
            self._consecutive_failures = 0
            self._successes_needed = _PROBES_TO_CLOSE
            self._schedule_probe(now_us)

    def start_probe(self, now_us: int) -> int | None:
        """Returns the round trip id of a probe if one is due; lookups of requests never serve as probes."""
        if not self.is_open or self._probe_id is not None or now_us < self._next_probe_us:
            return None
        self._probe_id = self.on_round_trip_started(now_us)
        return self._probe_id

    def _on_probe_finished(self, is_good: bool, now_us: int) -> None:
        self._probe_id = None
        if is_good:
            self._consecutive_successes += 1
            self._consecutive_failures = 0
        else:
            self._consecutive_successes = 0
            self._consecutive_failures += 1
        if self._consecutive_successes < self._successes_needed:
            self._schedule_probe(now_us)
            return
        self.is_open = False
        self._last_success_us = now_us
        # Statistics from before the breaker opened do not describe the store's present state.
        self._round_trip_sum = SlidingWindow(_WINDOW_US, _WINDOW_BUCKETS)
        self._round_trip_count = SlidingWindow(_WINDOW_US, _WINDOW_BUCKETS)
        self._fault_count = SlidingWindow(_WINDOW_US, _WINDOW_BUCKETS)

    def _schedule_probe(self, now_us: int) -> None:
        # Hundreds of gateways may lose the store at once, so their probes are spread at random.
        doublings = min(self._consecutive_failures, _MAX_INTERVAL_DOUBLINGS)
        interval_us = min(_MAX_PROBE_INTERVAL_US, _PROBE_INTERVAL_US << doublings)
        self._next_probe_us = now_us + int(interval_us * (0.5 + 0.5 * self._next_random()))

    def unavailable_us_at(self, now_us: int) -> int:
        """Returns the microseconds since the last good reply."""
        return max(0, now_us - self._last_success_us)


class StoreClock:
    """Bounds of the store's time, estimated from its replies, and detection of regressions of its clock.

    The offset between the store's clock and this gateway's may have any size; their speeds differ by at most
    a hundredth.
    """

    def __init__(self) -> None:
        # The last reading in ms, and the two times of this gateway's clock between which it was taken.
        self._reading_ms = 0
        self._requested_us = 0
        self._received_us = 0
        self.age_unknown_before_ms = 0  # records dated before this may be older than they seem
        self.regressions = 0

    def is_known(self, now_us: int) -> bool:
        """Returns whether a recent reading exists, from which fences can be derived.

        The drift since a reading of the greatest allowed age is under a second.
        """
        return self._reading_ms > 0 and now_us - self._received_us < _MAX_READING_AGE_US

    def lower_bound_ms(self, now_us: int) -> int:
        """Returns the earliest possible store time at `now_us`."""
        elapsed_us = now_us - self._received_us
        return self._reading_ms + int(elapsed_us * (0.99 if elapsed_us > 0 else 1.01)) // 1000

    def upper_bound_ms(self, now_us: int) -> int:
        """Returns the latest possible store time at `now_us`."""
        elapsed_us = now_us - self._requested_us
        return self._reading_ms + int(elapsed_us * (1.01 if elapsed_us > 0 else 0.99)) // 1000 + 1

    def on_published_regression(self, value: bytes | None) -> None:
        """Applies a clock regression that another gateway has observed and published in the store."""
        if value is None or not value.isdigit() or len(value) > _MAX_REGRESSION_DIGITS:
            return
        cutoff_ms = int(value)
        # A wrong value far in the future would make the age of all records unknown permanently.
        if cutoff_ms < self._reading_ms + _MAX_REGRESSION_AHEAD_MS:
            self.age_unknown_before_ms = max(self.age_unknown_before_ms, cutoff_ms)

    def on_reading(self, store_now_ms: int, requested_us: int, now_us: int) -> None:
        """Records a reading of the store's clock that was requested at `requested_us` and received now."""
        has_regressed = self._reading_ms > 0 and store_now_ms + _CLOCK_TOLERANCE_MS < self.lower_bound_ms(
            requested_us
        )
        if has_regressed:
            # After a failover to another machine, or a change of the store's clock, older records seem
            # younger than they are. The age of all records that may date from before now is unknown.
            self.regressions += 1
            self.age_unknown_before_ms = max(self.age_unknown_before_ms, self.upper_bound_ms(now_us))
        elif store_now_ms <= self._reading_ms:
            return  # a later reading was processed first
        self._reading_ms = store_now_ms
        self._requested_us = requested_us
        self._received_us = now_us
