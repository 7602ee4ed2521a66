"""Slow start: what all gateways together send to a cold engine, with the policy on a virtual clock."""

from __future__ import annotations

import heapq
import unittest
from collections.abc import Callable
from itertools import count

from cresstray.policy.controller import PolicyController
from cresstray.policy.settings import parse_settings
from cresstray.policy.types import Attempt, EndpointState, Engine, Outcome, Request

SECOND_US = 1_000_000
# One instance type and one request class, with values of a deployment.
CORES, COLD_SHARE, OVERLOAD_FACTOR, WARM_UP_US = 12, 0.33, 2.0, 13 * SECOND_US
WORK_US = SECOND_US // 4
SETTINGS = {
    "FamilyInfo": {"CpuOfKind": [CORES], "Dop": [1]},
    "Limits": {"Cancel": True, "MaxAttempts": 4},
    "Safety": {
        "ColdShare": COLD_SHARE,
        "WarmUp": WARM_UP_US / 1000,
        "OverloadFactor": OVERLOAD_FACTOR,
        "Fall": 1000.0,
    },
    "Services": [{"Effect": "idempotent", "GoalTime": 1200.0, "GiveUp": 20000.0, "Worth": 1.0}],
}


class SimulatedGateway:
    """The port of one gateway's policy, with a warm engine and a cold one that it learns of later."""

    def __init__(self, fleet: SimulatedFleet, seed: int) -> None:
        self._fleet = fleet
        self.warm_engine, self.cold_engine = Engine(), Engine()
        self.controller = PolicyController(
            self, parse_settings(SETTINGS | {"Balancers": fleet.size}), seed, fleet.now_us
        )
        self.controller.on_endpoints_updated(
            [(self.warm_engine, (0, 0, 0, 0, EndpointState.READY))], True, fleet.now_us
        )

    def submit(self) -> None:
        now_us, request_class = self._fleet.now_us, self.controller.request_classes[0]
        self.controller.accept(Request(request_class, now_us, now_us + 20 * SECOND_US), now_us)

    def list_cold_engine(self) -> None:
        now_us = self._fleet.now_us
        self.controller.on_endpoints_updated(
            [(self.cold_engine, (0, 0, 0, now_us, EndpointState.READY))], False, now_us
        )

    def send_attempt(self, attempt: Attempt, timeout_us: int) -> None:
        if attempt.engine is self.cold_engine:
            self._fleet.sent_to_cold_us.append(self._fleet.now_us)
        report = {"concurrent": 1.0, "load_share": 0.5, "x0": self._fleet.memory_granted}
        self.call_later(
            WORK_US,
            lambda now_us: self.controller.on_attempt_finished(
                attempt, Outcome.SUCCEEDED, WORK_US, True, report, now_us
            ),
        )

    def call_later(self, delay_us: int, callback: Callable[[int], None]) -> None:
        self._fleet.call_later(delay_us, callback)

    def cancel_attempt(self, attempt: Attempt) -> None: ...
    def reject_request(self, request: Request, retry_after_us: int) -> None: ...
    def fail_request(self, request: Request) -> None: ...
    def assign_resources(self, request: Request, memory_mb: float, priority: int) -> None: ...
    def probe_engine(self, engine: Engine) -> None: ...
    def subscribe_to_endpoints(self) -> None: ...
    def log_event(self, text: str) -> None: ...


class SimulatedFleet:
    """Gateways that share two engines and know nothing of each other."""

    def __init__(self, size: int, seed: int = 1) -> None:
        self.size, self.now_us, self.sent_to_cold_us = size, 100 * SECOND_US, []
        self.memory_granted = 0.1  # as engines report it; above 1 the limits are enforced
        self._sequence = count()
        self._timers: list[tuple[int, int, Callable[[int], None]]] = []
        self.gateways = [SimulatedGateway(self, 1000 * seed + number) for number in range(size)]
        for _ in range(12):  # enough samples for each gateway to know the latency of the class
            self.submit(1)
            self.run(WORK_US + SECOND_US // 5)

    def call_later(self, delay_us: int, callback: Callable[[int], None]) -> None:
        heapq.heappush(self._timers, (self.now_us + delay_us, next(self._sequence), callback))

    def run(self, duration_us: int) -> None:
        end_us = self.now_us + duration_us
        while self._timers and self._timers[0][0] <= end_us:
            self.now_us, _, callback = heapq.heappop(self._timers)
            callback(self.now_us)
        self.now_us = end_us

    def submit(self, requests_per_gateway: int) -> None:
        for gateway in self.gateways:
            for _ in range(requests_per_gateway):
                gateway.submit()

    def max_sent_in_a_second(self) -> int:
        return max(
            sum(
                sent_us - SECOND_US < earlier_us <= sent_us
                for earlier_us in self.sent_to_cold_us[: number + 1]
            )
            for number, sent_us in enumerate(self.sent_to_cold_us)
        )


def max_requests_in_a_second() -> float:
    """Returns how many requests a cold engine may get in a second: its allowed load, and random variation."""
    mean_requests = OVERLOAD_FACTOR * COLD_SHARE * CORES * SECOND_US / WORK_US
    return mean_requests + 2 * mean_requests**0.5 + 2


class ColdEngineTest(unittest.TestCase):
    def test_end_of_memory_pressure_does_not_release_all_gateways_at_once(self) -> None:
        """200 gateways queue requests while memory is short on all engines; then the shortage ends."""
        fleet = SimulatedFleet(200)
        fleet.memory_granted = 1.5
        for gateway in fleet.gateways:
            gateway.list_cold_engine()
        for step in range(85):
            if step == 60:
                fleet.memory_granted = 0.1
            fleet.submit(1)
            fleet.run(SECOND_US // 10)
        self.assertLessEqual(fleet.max_sent_in_a_second(), max_requests_in_a_second())
        self.assertGreater(len(fleet.sent_to_cold_us), 20)

    def test_burst_after_idle_time_stays_within_the_bound(self) -> None:
        """30 gateways learn of the engine, have no requests for five seconds, and then many at once."""
        fleet = SimulatedFleet(30)
        for gateway in fleet.gateways:
            gateway.list_cold_engine()
        fleet.run(5 * SECOND_US)
        fleet.submit(40)
        fleet.run(5 * SECOND_US)
        self.assertLessEqual(fleet.max_sent_in_a_second(), max_requests_in_a_second())
        self.assertGreater(len(fleet.sent_to_cold_us), 20)


if __name__ == "__main__":
    unittest.main()
