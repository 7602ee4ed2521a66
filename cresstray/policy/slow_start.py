"""Slow start: an engine that has just started gets little work until it is warm.

All gateways together could overload such an engine. So each may send it work at a limited rate: after each
request it waits for as long as its share of that rate takes to cover the work of the request.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING

from cresstray.policy.settings import SlowStartSettings

if TYPE_CHECKING:
    from cresstray.policy.engine_state import EngineState
    from cresstray.policy.types import Engine, RequestClass

# Until an engine must be warm, its capacity is taken to be what it starts with, at 0.85 utilisation and 0.9
# of its nominal speed; 0.7 of that is used.
USABLE_FRACTION = 0.85 * 0.9 * 0.7
# With fewer samples, the latency objective of a class stands in for its latency, as work of unknown size may
# be heavy.
MIN_LATENCY_SAMPLES = 5
# One request may take as much work as one gateway may send in an overload window, or, if that is more, as all
# gateways may send divided by this.
MAX_REQUEST_DIVISOR = 10


class SlowStart:
    """The slow start of one engine as this gateway sees it."""

    __slots__ = ("next_send_us",)

    def __init__(self) -> None:
        self.next_send_us = 0  # while it warms up: the earliest time of the next request to it; 0: it is warm


class SlowStartPolicy:
    """Limits what this gateway sends to engines that are warming up."""

    __slots__ = ("warm_up_us", "gateway_count", "_max_load", "_window_us", "_request_classes")

    def __init__(
        self, settings: SlowStartSettings, request_classes: Sequence[RequestClass], gateway_count: int
    ) -> None:
        self.warm_up_us = settings.warm_up_us
        self.gateway_count = gateway_count
        self._max_load = settings.max_load
        self._window_us = settings.overload_window_us
        self._request_classes = request_classes

    def start(self, state: EngineState, started_us: int, now_us: int, random: Callable[[], float]) -> None:
        """Starts the slow start of an engine, if it is not warm.

        All gateways learn of the engine at once, so each sends its first request at a random time of its
        first interval.
        """
        if now_us < started_us + self.warm_up_us:
            state.slow_start.next_send_us = now_us + 1 + int(self.min_send_interval_us(state) * random())

    def has_capacity(self, engine: Engine, request_class: RequestClass, now_us: int) -> bool:
        """Returns whether the engine is warm, or may get a request of this class now although it is not."""
        state = engine.policy_state
        slow_start = state.slow_start
        if not slow_start.next_send_us or now_us >= engine.started_us + self.warm_up_us:
            slow_start.next_send_us = 0
            return True
        max_work_us = (
            self.work_rate(state) * self._window_us * max(1.0, self.gateway_count / MAX_REQUEST_DIVISOR)
        )
        return now_us >= slow_start.next_send_us and self.expected_work_us(request_class) <= max_work_us

    def on_sent(self, state: EngineState, request_class: RequestClass, now_us: int) -> None:
        """Starts the interval until the next request, in proportion to the work of the one just sent."""
        send_interval_us = int(self.expected_work_us(request_class) / self.work_rate(state))
        state.slow_start.next_send_us = now_us + send_interval_us

    def on_limit_refused(self, state: EngineState, now_us: int, random: Callable[[], float]) -> None:
        """Draws a new send time if the last one passed long ago while the engine's limit admitted nothing.

        Gateways whose send times pass while an engine counts as busy would all send at once when that ends.
        So a send time that passed an overload window ago is drawn anew, if one request from each gateway
        would exceed the allowed rate by more than the rule on overload attributes to chance.
        """
        slow_start = state.slow_start
        if not slow_start.next_send_us or now_us <= slow_start.next_send_us + self._window_us:
            return
        min_send_interval_us = self.min_send_interval_us(state)
        requests_per_window = self.gateway_count * self._window_us / (min_send_interval_us * USABLE_FRACTION)
        if self.gateway_count > requests_per_window + 2 * requests_per_window**0.5 + 2:
            slow_start.next_send_us = now_us + 1 + int(min_send_interval_us * random())

    def work_rate(self, state: EngineState) -> float:
        """Returns the work that this gateway may send per unit of time, in threads."""
        return self._max_load * state.limit.cores * USABLE_FRACTION / self.gateway_count

    def min_send_interval_us(self, state: EngineState) -> float:
        """Returns the interval that the work rate allows between requests of the lightest class."""
        min_work_us = min(map(self.expected_work_us, self._request_classes), default=1.0)
        return max(1.0, min_work_us) / self.work_rate(state)

    def expected_work_us(self, request_class: RequestClass) -> float:
        """Returns the expected work of one request of a class, in thread-microseconds."""
        latency = request_class.latency
        has_samples = latency.sample_count >= MIN_LATENCY_SAMPLES
        return request_class.threads * (
            latency.mean_us if has_samples else request_class.latency_objective_us
        )
