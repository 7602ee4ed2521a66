"""The safety rules of the policy, each with cases in which a plausible decision would break it."""

from cresstray.policy.types import EndpointState, Outcome
from tests.harness import START_US, PolicyHarness, TraceCase, settings


def fill(harness: PolicyHarness, request_class: int = 0) -> list:
    """Takes every permit: marks the engines as overloaded, so that limits are enforced, and fills them."""
    for engine in harness.engines:
        engine.policy_state.signals.overloaded_until_us = harness.now + 60_000_000
    return [
        harness.submit(f"filler {number}", request_class, left_ms=60_000)
        for number in range(4 * len(harness.engines))
    ]


class SafetyRuleTest(TraceCase):
    def test_each_request_gets_one_final_answer_before_its_deadline(self) -> None:
        harness = PolicyHarness(settings(), engines=1)
        fill(harness)
        harness.submit("queued", left_ms=5000)
        harness.submit("short of time", left_ms=160)
        harness.submit("out of time", left_ms=100)
        harness.run(3000)
        timed_out_request = harness.submit("timed out", left_ms=2000)
        harness.engines[0].policy_state.signals.overloaded_until_us = 0
        harness.run(100)
        harness.run(1990)
        harness.finish_attempt(timed_out_request, Outcome.TIMED_OUT)
        harness.gateway.on_client_cancelled(timed_out_request, harness.now)
        self.check("final_answer", harness.lines)

    def test_request_never_takes_effect_twice(self) -> None:
        harness = PolicyHarness(
            settings(
                {"Effect": "at_most_once", "LateValue": 1},
                {"Effect": "deduplicated", "Group": "zone", "KeyTtl": 1500.0, "LateValue": 1},
            ),
            engines=3,
        )
        harness.update_endpoints(
            {
                harness.engines[0]: {"zone": 1},
                harness.engines[1]: {"zone": 2},
                harness.engines[2]: {"zone": 1},
            }
        )
        for outcome in (Outcome.UNREACHABLE, Outcome.CONNECTION_LOST, Outcome.FAILED):
            harness.finish_attempt(harness.submit(f"at most once, {outcome.value}", left_ms=9000), outcome)
        repeated_request = harness.submit("at most once unreached then timed out", left_ms=9000)
        harness.run(3000)
        harness.finish_attempt(repeated_request, Outcome.OVERLOADED)
        harness.finish_attempt(repeated_request, Outcome.TIMED_OUT)
        harness.update_endpoints(
            {engine: {"zone": number % 2} for number, engine in enumerate(harness.engines)}
        )
        for number in range(3):
            harness.finish_attempt(harness.submit(f"deduplicated {number}", 1, left_ms=9000), Outcome.FAILED)
        expired_request = harness.submit("deduplicated past its memory", 1, left_ms=9000)
        harness.run(1460)
        harness.finish_attempt(expired_request, Outcome.FAILED)
        harness.run(3000)
        self.check("no_effect_twice", harness.lines)

    def test_draining_and_removed_engines_get_no_requests(self) -> None:
        harness = PolicyHarness(settings())
        harness.update_endpoints({harness.engines[0]: {"state": EndpointState.DRAINING}})
        harness.gateway.on_probe_finished(
            harness.engines[1], Outcome.SUCCEEDED, {"concurrent": 9.0}, harness.now
        )
        harness.gateway.on_probe_finished(
            harness.engines[0], Outcome.SUCCEEDED, {"concurrent": 0.0}, harness.now
        )
        for number in range(3):
            harness.submit(f"during the drain {number}")
        harness.update_endpoints({harness.engines[0]: {}}, is_complete=True)
        for number in range(3):
            harness.submit(f"after a complete list without engine 1, {number}")
        harness.update_endpoints({harness.engines[0]: {"state": EndpointState.REMOVED}})
        harness.submit("with no engine at all", left_ms=1000)
        harness.run(1000)
        self.check("drains", harness.lines)

    def test_cold_engine_gets_limited_work_until_it_is_warm(self) -> None:
        harness = PolicyHarness(settings(), engines=1)
        harness.update_endpoints({harness.engines[0]: {"started_us": START_US - 100_000}})
        for number in range(3):
            harness.submit(f"of unknown weight {number}", 1, left_ms=9000)
        harness.run(1000)
        for request_class in harness.gateway.request_classes:
            request_class.latency.sample_count, request_class.latency.mean_us = (
                10,
                300_000 * (1 + 4 * request_class.index),
            )
        for number in range(9):
            harness.submit(f"light {number}", 0, left_ms=6000)
        harness.submit("heavy", 1, left_ms=9000)
        harness.run(1500)
        harness.run(9000)
        harness.submit("heavy, once warm", 1, left_ms=9000)
        self.check("cold", harness.lines)

    def test_requests_of_one_ordering_key_run_in_order(self) -> None:
        harness = PolicyHarness(settings({"ByArrival": True, "LateValue": 1}, Safety={"TurnGap": 500.0}))
        first_request, second_request = (
            harness.submit(name, ordering_key=5, left_ms=9000) for name in ("first", "second")
        )
        independent_requests = [
            harness.submit("of another key", ordering_key=6, left_ms=9000),
            harness.submit("of no key", left_ms=9000),
        ]
        harness.run(200)
        for request in independent_requests:
            harness.finish_attempt(request, Outcome.SUCCEEDED)
        harness.finish_attempt(first_request, Outcome.SUCCEEDED)
        third_request = harness.submit("third", ordering_key=5, left_ms=9000)
        harness.gateway.on_client_cancelled(second_request, harness.now)
        harness.run(100)
        harness.finish_attempt(second_request, Outcome.CANCELLED)
        harness.run(700)
        harness.finish_attempt(third_request, Outcome.SUCCEEDED)
        self.check("order", harness.lines)

    def test_requests_run_only_in_allowed_zones_and_instance_types(self) -> None:
        harness = PolicyHarness(settings({"StaysIn": [1]}, {"FlavorsOpen": [1]}), engines=3)
        harness.update_endpoints(dict(zip(harness.engines, ({"zone": 0}, {"zone": 1}, {"instance_type": 1}))))
        zone_bound_requests = [harness.submit(f"bound to zone 1, {number}") for number in range(2)]
        for number in range(2):
            harness.submit(f"bound to machine 1, {number}", 1)
        harness.finish_attempt(zone_bound_requests[0], Outcome.UNREACHABLE)
        harness.update_endpoints({harness.engines[1]: {"zone": 1, "state": EndpointState.REMOVED}})
        harness.submit("with its zone gone", left_ms=1500)
        harness.run(1500)
        self.check("placement", harness.lines)

    def test_retries_stay_within_the_budget(self) -> None:
        retry_budget = {"BudgetWindow": 5000.0, "FreeResends": 1.0, "ResendRatio": 0.25}
        harness = PolicyHarness(settings(Safety=retry_budget), engines=4)
        requests = [harness.submit(f"s{number}", left_ms=60_000) for number in range(8)]
        for request in requests:
            harness.finish_attempt(request, Outcome.OVERLOADED)
        for engine in harness.engines:
            engine.policy_state.signals.overloaded_until_us = 0
        harness.run(5600)
        self.check("budget", harness.lines)

    def test_cancelled_requests_add_nothing_to_the_retry_budget(self) -> None:
        retry_budget = {"BudgetWindow": 5000.0, "FreeResends": 1.0, "ResendRatio": 0.25}
        harness = PolicyHarness(settings(Safety=retry_budget), engines=4)
        for number in range(40):
            flood_request = harness.submit(f"flood {number}", left_ms=60_000)
            harness.gateway.on_client_cancelled(flood_request, harness.now)
            harness.finish_attempt(flood_request, Outcome.CANCELLED)
        harness.lines.clear()
        for request in [harness.submit(f"s{number}", left_ms=60_000) for number in range(4)]:
            harness.finish_attempt(request, Outcome.OVERLOADED)
        self.check("withdrawn", harness.lines)

    def test_attempts_time_out_before_the_deadline(self) -> None:
        harness = PolicyHarness(settings(), engines=1)
        harness.send_attempt = lambda attempt, timeout_us: harness.record(
            f"send may take {timeout_us / 1000:.0f} ms"
        )
        for remaining_ms in (2000, 100, 20):
            harness.submit(f"{remaining_ms} ms left", left_ms=remaining_ms)
        self.check("patience", harness.lines)
