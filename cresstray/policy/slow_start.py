"""Slow start: an engine that has just started gets little until it is warm.

Together the gateways could push such an engine over. Each sends to it in turns: after each request it waits
as long as its share of the engine's ration takes to earn that request.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING

from cresstray.policy.settings import SlowStartSettings

if TYPE_CHECKING:
    from cresstray.policy.engine_state import EngineState
    from cresstray.policy.types import Engine, RequestClass

# The capacity of an engine is taken as what it starts with until it must be warm, at 0.85 busy and 0.9 of its
# nominal speed, and 0.7 of the ration is used.
USED_PART = 0.85 * 0.9 * 0.7
# With fewer known answers, a class weighs as much as its latency objective allows: not to know is no proof of
# light work.
MIN_KNOWN_ANSWERS = 5
# One request may be as heavy as one gateway's part of a window, or this part of all gateways'.
MAX_PART_OF_WINDOW = 10


class SlowStart:
    """The slow start of one engine as this gateway sees it."""

    __slots__ = ("next_send_us",)

    def __init__(self) -> None:
        self.next_send_us = 0  # while it is warming up: when this gateway may send to it again; 0: it is warm


class SlowStartPolicy:
    """What this gateway may send to engines that are warming up."""

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
        """Begins the slow start of an engine, if it is not warm.

        All gateways hear of the engine at once, so each begins at some time of its first turn.
        """
        if now_us < started_us + self.warm_up_us:
            state.slow_start.next_send_us = now_us + 1 + int(self.send_interval_us(state) * random())

    def has_capacity(self, engine: Engine, request_class: RequestClass, now_us: int) -> bool:
        """Returns whether the engine is warm, or may get a request of this class now."""
        state = engine.policy_state
        slow_start = state.slow_start
        if not slow_start.next_send_us or now_us >= engine.started_us + self.warm_up_us:
            slow_start.next_send_us = 0
            return True
        max_weight = (
            self.work_rate(state) * self._window_us * max(1.0, self.gateway_count / MAX_PART_OF_WINDOW)
        )
        return now_us >= slow_start.next_send_us and self.expected_work_us(request_class) <= max_weight

    def on_sent(self, state: EngineState, request_class: RequestClass, now_us: int) -> None:
        """Starts the next turn, which lasts until the request sent is earned."""
        send_interval_us = int(self.expected_work_us(request_class) / self.work_rate(state))
        state.slow_start.next_send_us = now_us + send_interval_us

    def on_limit_refused(self, state: EngineState, now_us: int, random: Callable[[], float]) -> None:
        """Draws a turn again that has passed while the engine's limit let nothing in.

        Turns that wait while an engine counts as busy would be taken by all gateways at once when that ends.
        One that has waited for a window is drawn again, where one request of each gateway is more than the
        ration and what the rule on overload puts down to chance.
        """
        slow_start = state.slow_start
        if not slow_start.next_send_us or now_us <= slow_start.next_send_us + self._window_us:
            return
        send_interval_us = self.send_interval_us(state)
        requests = self.gateway_count * self._window_us / (send_interval_us * USED_PART)
        if self.gateway_count > requests + 2 * requests**0.5 + 2:
            slow_start.next_send_us = now_us + 1 + int(send_interval_us * random())

    def work_rate(self, state: EngineState) -> float:
        """Returns the work that this gateway may send in each unit of time."""
        return self._max_load * state.limit.cores * USED_PART / self.gateway_count

    def send_interval_us(self, state: EngineState) -> float:
        """Returns how long this gateway's ration takes to earn the lightest request."""
        lightest = min(map(self.expected_work_us, self._request_classes), default=1.0)
        return max(1.0, lightest) / self.work_rate(state)

    def expected_work_us(self, request_class: RequestClass) -> float:
        """Returns the work of one request, as thread-microseconds."""
        latency = request_class.latency
        is_known = latency.sample_count >= MIN_KNOWN_ANSWERS
        return request_class.threads * (latency.mean_us if is_known else request_class.latency_objective_us)
