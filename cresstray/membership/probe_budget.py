"""Limits how many remembered endpoints are probed at once, and delays the repetition of failed probes."""

from __future__ import annotations

from collections.abc import Callable

from cresstray.membership.confidence import SECOND_US

# A connection costs an engine about ten microseconds, so concurrent probes of 200 gateways cost it two
# milliseconds. With the minimum and ten rounds a second, each of 500 unreachable endpoints is probed within
# seven seconds.
_MIN_PROBES = 8
_MAX_PROBES = 64
# The budget grows even if half of the probes fail, so that reachable endpoints are found in a few rounds.
_GROWTH_ON_SUCCESS = 1.0
_GROWTH_ON_FAILURE = -0.5
# The first round probes the expected number of reachable endpoints, divided by this.
_FIRST_ROUND_DIVISOR = 4
_MIN_RETRY_DELAY_US = SECOND_US // 2
_MAX_RETRY_DELAY_US = 30 * SECOND_US
_MAX_DOUBLINGS = 6
# Delays are random between this share of the full delay and the full delay, so that gateways don't retry
# together.
_MIN_DELAY_SHARE = 0.5


class ProbeBudget:
    """The number of probes that may be in flight; it grows with each success.

    Attributes:
        size: The limit of probes in flight.
        in_flight: The start of each probe in flight, in microseconds, by endpoint id.
    """

    def __init__(self) -> None:
        self.size = float(_MIN_PROBES)
        self.in_flight: dict[int, int] = {}

    def raise_for_list(self, endpoint_count: int, mean_confidence: float) -> None:
        """Raises the limit for the endpoints of a list: the fresher the list, the more are probed at once."""
        first_round_size = endpoint_count * mean_confidence / _FIRST_ROUND_DIVISOR
        self.size = min(_MAX_PROBES, max(self.size, first_round_size))

    def available(self) -> int:
        """Returns how many probes may start now."""
        return max(0, int(self.size) - len(self.in_flight))

    def on_started(self, endpoint_id: int, now_us: int) -> None:
        """Counts a probe as in flight."""
        self.in_flight[endpoint_id] = now_us

    def on_finished(self, endpoint_id: int, is_success: bool) -> None:
        """Adjusts the limit by the result of a probe; ignores endpoints without a probe in flight."""
        if self.in_flight.pop(endpoint_id, None) is None:
            return
        growth = _GROWTH_ON_SUCCESS if is_success else _GROWTH_ON_FAILURE
        self.size = min(_MAX_PROBES, max(_MIN_PROBES, self.size + growth))


def retry_delay_us(failure_count: int, chance: Callable[[], float]) -> int:
    """Returns the microseconds until the next probe after `failure_count` failures in a row, one or more."""
    doublings = min(failure_count - 1, _MAX_DOUBLINGS)
    delay_us = min(_MAX_RETRY_DELAY_US, _MIN_RETRY_DELAY_US << doublings)
    return int(delay_us * (_MIN_DELAY_SHARE + (1 - _MIN_DELAY_SHARE) * chance()))
