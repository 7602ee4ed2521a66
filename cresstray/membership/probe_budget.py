"""How many remembered endpoints are probed at once, and when a failed probe is repeated."""

from __future__ import annotations

from collections.abc import Callable

from cresstray.membership.confidence import SECOND_US

# A connection costs an engine some ten microseconds: probes of 200 gateways at once cost it two milliseconds.
# With all of 500 endpoints gone each is probed within seven seconds at ten rounds a second.
_MIN_PROBES = 8
_MAX_PROBES = 64
# If half of the probes fail the budget still grows: the endpoints that are there are found in a few rounds.
_GROWTH_ON_SUCCESS = 1.0
_GROWTH_ON_FAILURE = -0.5
# Of the expected endpoints this share is probed in the first round.
_FIRST_ROUND_SHARE = 4
_MIN_RETRY_DELAY_US = SECOND_US // 2
_MAX_RETRY_DELAY_US = 30 * SECOND_US
_MAX_DOUBLINGS = 6
# Delays are drawn from this share of the full delay on, so that gateways don't retry together.
_MIN_DELAY_SHARE = 0.5


class ProbeBudget:
    """The number of probes that may be in flight; it grows with each success.

    Attributes:
        size: The limit on probes in flight.
        in_flight: When each probe in flight started, in microseconds, by endpoint id.
    """

    def __init__(self) -> None:
        self.size = float(_MIN_PROBES)
        self.in_flight: dict[int, int] = {}

    def open(self, endpoint_count: int, mean_confidence: float) -> None:
        """Raises the limit for a list: the fresher it is, the more are probed at once."""
        wanted = endpoint_count * mean_confidence / _FIRST_ROUND_SHARE
        self.size = min(_MAX_PROBES, max(self.size, wanted))

    def available(self) -> int:
        """Returns how many probes may start now."""
        return max(0, int(self.size) - len(self.in_flight))

    def on_started(self, endpoint_id: int, now_us: int) -> None:
        """Counts a probe as in flight."""
        self.in_flight[endpoint_id] = now_us

    def on_finished(self, endpoint_id: int, is_success: bool) -> None:
        """Adjusts the limit by the result of a probe; ignores what was not in flight."""
        if self.in_flight.pop(endpoint_id, None) is None:
            return
        growth = _GROWTH_ON_SUCCESS if is_success else _GROWTH_ON_FAILURE
        self.size = min(_MAX_PROBES, max(_MIN_PROBES, self.size + growth))


def retry_delay_us(failure_count: int, chance: Callable[[], float]) -> int:
    """Returns microseconds until the next probe after `failure_count` failures in a row, at least one."""
    doublings = min(failure_count - 1, _MAX_DOUBLINGS)
    delay_us = min(_MAX_RETRY_DELAY_US, _MIN_RETRY_DELAY_US << doublings)
    return int(delay_us * (_MIN_DELAY_SHARE + (1 - _MIN_DELAY_SHARE) * chance()))
