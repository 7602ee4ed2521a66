"""Each of the seven rules, with the case that tempts the module to break it."""

from cresstray.policy.types import EndpointState, Outcome
from tests.desk import START, Desk, TraceCase, settings


def fill(desk: Desk, request_class: int = 0) -> list:
    """Takes every permit: a full engine makes the limit bind."""
    for engine in desk.engines:
        engine.policy_state.signals.overloaded_until_us = desk.now + 60_000_000
    return [desk.submit(f"filler {n}", request_class, left=60_000) for n in range(4 * len(desk.engines))]


class Rules(TraceCase):
    def test_one_final_answer_in_time(self) -> None:
        desk = Desk(settings(), engines=1)
        fill(desk)
        desk.submit("queued", left=5000)
        desk.submit("short of time", left=160)
        desk.submit("out of time", left=100)
        desk.run(3000)
        late = desk.submit("timed out", left=2000)
        desk.engines[0].policy_state.signals.overloaded_until_us = 0
        desk.run(100)
        desk.run(1990)
        desk.back(late, Outcome.TIMED_OUT)
        desk.gateway.on_client_cancelled(late, desk.now)
        self.check("final_answer", desk.lines)

    def test_no_effect_twice(self) -> None:
        desk = Desk(
            settings(
                {"Effect": "at_most_once", "LateValue": 1},
                {"Effect": "deduplicated", "Group": "zone", "KeyTtl": 1500.0, "LateValue": 1},
            ),
            engines=3,
        )
        desk.list({desk.engines[0]: {"zone": 1}, desk.engines[1]: {"zone": 2}, desk.engines[2]: {"zone": 1}})
        for outcome in (Outcome.UNREACHABLE, Outcome.CONNECTION_LOST, Outcome.FAILED):
            desk.back(desk.submit(f"at most once, {outcome.value}", left=9000), outcome)
        twice = desk.submit("at most once unreached then timed out", left=9000)
        desk.run(3000)
        desk.back(twice, Outcome.OVERLOADED)
        desk.back(twice, Outcome.TIMED_OUT)
        desk.list({engine: {"zone": number % 2} for number, engine in enumerate(desk.engines)})
        for number in range(3):
            desk.back(desk.submit(f"deduplicated {number}", 1, left=9000), Outcome.FAILED)
        old = desk.submit("deduplicated past its memory", 1, left=9000)
        desk.run(1460)
        desk.back(old, Outcome.FAILED)
        desk.run(3000)
        self.check("no_effect_twice", desk.lines)

    def test_drains_kept(self) -> None:
        desk = Desk(settings())
        desk.list({desk.engines[0]: {"standing": EndpointState.DRAINING}})
        desk.gateway.on_probe_finished(desk.engines[1], Outcome.SUCCEEDED, {"concurrent": 9.0}, desk.now)
        desk.gateway.on_probe_finished(desk.engines[0], Outcome.SUCCEEDED, {"concurrent": 0.0}, desk.now)
        for number in range(3):
            desk.submit(f"during the drain {number}")
        desk.list({desk.engines[0]: {}}, complete=True)
        for number in range(3):
            desk.submit(f"after a complete list without engine 1, {number}")
        desk.list({desk.engines[0]: {"standing": EndpointState.REMOVED}})
        desk.submit("with no engine at all", left=1000)
        desk.run(1000)
        self.check("drains", desk.lines)

    def test_cold_engine_not_pushed_over(self) -> None:
        desk = Desk(settings(), engines=1)
        desk.list({desk.engines[0]: {"started": START - 100_000}})
        for number in range(3):
            desk.submit(f"of unknown weight {number}", 1, left=9000)
        desk.run(1000)
        for request_class in desk.gateway.request_classes:
            request_class.latency.sample_count, request_class.latency.mean_us = (
                10,
                300_000 * (1 + 4 * request_class.index),
            )
        for number in range(9):
            desk.submit(f"light {number}", 0, left=6000)
        desk.submit("heavy", 1, left=9000)
        desk.run(1500)
        desk.run(9000)
        desk.submit("heavy, once warm", 1, left=9000)
        self.check("cold", desk.lines)

    def test_order_kept(self) -> None:
        desk = Desk(settings({"ByArrival": True, "LateValue": 1}, Safety={"TurnGap": 500.0}))
        first, second = (desk.submit(name, ordering_key=5, left=9000) for name in ("first", "second"))
        others = [
            desk.submit("of another key", ordering_key=6, left=9000),
            desk.submit("of no key", left=9000),
        ]
        desk.run(200)
        for request in others:
            desk.back(request, Outcome.SUCCEEDED)
        desk.back(first, Outcome.SUCCEEDED)
        third = desk.submit("third", ordering_key=5, left=9000)
        desk.gateway.on_client_cancelled(second, desk.now)
        desk.run(100)
        desk.back(second, Outcome.CANCELLED)
        desk.run(700)
        desk.back(third, Outcome.SUCCEEDED)
        self.check("order", desk.lines)

    def test_placement_kept(self) -> None:
        desk = Desk(settings({"StaysIn": [1]}, {"FlavorsOpen": [1]}), engines=3)
        desk.list(dict(zip(desk.engines, ({"zone": 0}, {"zone": 1}, {"machine": 1}))))
        bound = [desk.submit(f"bound to zone 1, {number}") for number in range(2)]
        for number in range(2):
            desk.submit(f"bound to machine 1, {number}", 1)
        desk.back(bound[0], Outcome.UNREACHABLE)
        desk.list({desk.engines[1]: {"zone": 1, "standing": EndpointState.REMOVED}})
        desk.submit("with its zone gone", left=1500)
        desk.run(1500)
        self.check("placement", desk.lines)

    def test_retries_are_rationed(self) -> None:
        budget = {"BudgetWindow": 5000.0, "FreeResends": 1.0, "ResendRatio": 0.25}
        desk = Desk(settings(Safety=budget), engines=4)
        tried = [desk.submit(f"s{number}", left=60_000) for number in range(8)]
        for request in tried:
            desk.back(request, Outcome.OVERLOADED)
        for engine in desk.engines:
            engine.policy_state.signals.overloaded_until_us = 0
        desk.run(5600)
        self.check("budget", desk.lines)

    def test_cancelled_requests_earn_no_retries(self) -> None:
        budget = {"BudgetWindow": 5000.0, "FreeResends": 1.0, "ResendRatio": 0.25}
        desk = Desk(settings(Safety=budget), engines=4)
        for number in range(40):
            flood = desk.submit(f"flood {number}", left=60_000)
            desk.gateway.on_client_cancelled(flood, desk.now)
            desk.back(flood, Outcome.CANCELLED)
        desk.lines.clear()
        for request in [desk.submit(f"s{number}", left=60_000) for number in range(4)]:
            desk.back(request, Outcome.OVERLOADED)
        self.check("withdrawn", desk.lines)

    def test_attempts_end_before_the_deadline(self) -> None:
        desk = Desk(settings(), engines=1)
        desk.send_attempt = lambda attempt, timeout_us: desk.say(f"send may take {timeout_us / 1000:.0f} ms")
        for left in (2000, 100, 20):
            desk.submit(f"{left} ms left", left=left)
        self.check("patience", desk.lines)
