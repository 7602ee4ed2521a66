"""What all gateways together send to a cold engine, on the decision module and a virtual clock."""

from __future__ import annotations

import heapq
import unittest
from collections.abc import Callable
from itertools import count

from cresstray.policy.controller import PolicyController
from cresstray.policy.settings import parse_settings
from cresstray.policy.types import Attempt, EndpointState, Engine, Outcome, Request

SECOND = 1_000_000
# One kind of engine and class, as a deployment states them.
CORES, COLD_SHARE, FACTOR, WARM_UP = 12, 0.33, 2.0, 13 * SECOND
WORK = SECOND // 4
SETTINGS = {
    "FamilyInfo": {"CpuOfKind": [CORES], "Dop": [1]},
    "Limits": {"Cancel": True, "MaxAttempts": 4},
    "Safety": {"ColdShare": COLD_SHARE, "WarmUp": WARM_UP / 1000, "OverloadFactor": FACTOR, "Fall": 1000.0},
    "Services": [{"Effect": "idempotent", "GoalTime": 1200.0, "GiveUp": 20000.0, "Worth": 1.0}],
}


class Site:
    """One gateway's port: a warm engine, one that is to start cold, and what was sent to the cold one."""

    def __init__(self, fleet: Fleet, seed: int) -> None:
        self._fleet = fleet
        self.warm, self.cold = Engine(), Engine()
        self.gateway = PolicyController(
            self, parse_settings(SETTINGS | {"Balancers": fleet.size}), seed, fleet.now
        )
        self.gateway.on_endpoints_updated([(self.warm, (0, 0, 0, 0, EndpointState.READY))], True, fleet.now)

    def ask(self) -> None:
        now, request_class = self._fleet.now, self.gateway.request_classes[0]
        self.gateway.accept(Request(request_class, now, now + 20 * SECOND), now)

    def learns_of_the_cold_one(self) -> None:
        now = self._fleet.now
        self.gateway.on_endpoints_updated([(self.cold, (0, 0, 0, now, EndpointState.READY))], False, now)

    def send_attempt(self, attempt: Attempt, patience: int) -> None:
        if attempt.engine is self.cold:
            self._fleet.sent.append(self._fleet.now)
        report = {"concurrent": 1.0, "load_share": 0.5, "x0": self._fleet.memory_granted}
        self.call_later(
            WORK,
            lambda now: self.gateway.on_attempt_finished(attempt, Outcome.SUCCEEDED, WORK, True, report, now),
        )

    def call_later(self, delay: int, call: Callable[[int], None]) -> None:
        self._fleet.after(delay, call)

    def cancel_attempt(self, attempt: Attempt) -> None: ...
    def reject_request(self, request: Request, come_back: int) -> None: ...
    def fail_request(self, request: Request) -> None: ...
    def assign_resources(self, request: Request, megabytes: float, priority: int) -> None: ...
    def probe_engine(self, engine: Engine) -> None: ...
    def subscribe_to_endpoints(self) -> None: ...
    def log_event(self, text: str) -> None: ...


class Fleet:
    """Gateways that share two engines and know nothing of each other."""

    def __init__(self, size: int, seed: int = 1) -> None:
        self.size, self.now, self.sent = size, 100 * SECOND, []
        self.memory_granted = 0.1  # as engines report it; over 1 the limits bind
        self._order = count()
        self._calls: list[tuple[int, int, Callable[[int], None]]] = []
        self.sites = [Site(self, 1000 * seed + number) for number in range(size)]
        for _ in range(12):  # enough for all to know what the class usually takes
            self.ask(1)
            self.run(WORK + SECOND // 5)

    def after(self, delay: int, call: Callable[[int], None]) -> None:
        heapq.heappush(self._calls, (self.now + delay, next(self._order), call))

    def run(self, time: int) -> None:
        until = self.now + time
        while self._calls and self._calls[0][0] <= until:
            self.now, _, call = heapq.heappop(self._calls)
            call(self.now)
        self.now = until

    def ask(self, each: int) -> None:
        for site in self.sites:
            for _ in range(each):
                site.ask()

    def most_in_a_second(self) -> int:
        return max(
            sum(at - SECOND < earlier <= at for earlier in self.sent[: number + 1])
            for number, at in enumerate(self.sent)
        )


def bound() -> float:
    """How many calls of this work an engine bears in a second, just started: its budget, and chance."""
    budget = FACTOR * COLD_SHARE * CORES * SECOND / WORK
    return budget + 2 * budget**0.5 + 2


class ColdEngine(unittest.TestCase):
    def test_the_end_of_pressure_does_not_let_all_turns_go_at_once(self) -> None:
        """Two hundred gateways hold work while memory is short everywhere, and then it is not."""
        fleet = Fleet(200)
        fleet.memory_granted = 1.5
        for site in fleet.sites:
            site.learns_of_the_cold_one()
        for step in range(85):
            if step == 60:
                fleet.memory_granted = 0.1
            fleet.ask(1)
            fleet.run(SECOND // 10)
        self.assertLessEqual(fleet.most_in_a_second(), bound())
        self.assertGreater(len(fleet.sent), 20)

    def test_a_burst_after_silence(self) -> None:
        """Thirty gateways hear of the engine, have nothing to send for five seconds, then much at once."""
        fleet = Fleet(30)
        for site in fleet.sites:
            site.learns_of_the_cold_one()
        fleet.run(5 * SECOND)
        fleet.ask(40)
        fleet.run(5 * SECOND)
        self.assertLessEqual(fleet.most_in_a_second(), bound())
        self.assertGreater(len(fleet.sent), 20)


if __name__ == "__main__":
    unittest.main()
