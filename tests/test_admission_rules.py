"""Admission rules: the controller asks the rules of the fleet's configuration for each decision."""

from cresstray.policy.types import Engine, Outcome, Request
from tests.harness import PolicyHarness, TraceCase, settings

SAFETY = {"BudgetWindow": 10_000.0, "ResendRatio": 0.5, "FreeResends": 2}


class FakeAdmissionRules:
    """Admission rules that a test sets directly."""

    def __init__(self) -> None:
        self.gateways, self.denied_engines, self.denied_classes, self.budget_scale = 4, set(), set(), 1.0

    def gateway_count(self, now_us: int) -> int:
        return self.gateways

    def admits(self, request: Request, now_us: int) -> bool:
        return request.request_class.index not in self.denied_classes

    def allows(self, request: Request, engine: Engine, now_us: int) -> bool:
        return engine not in self.denied_engines and request.replica_read is None

    def still_allows(self, request: Request, engine: Engine, now_us: int) -> bool:
        return self.gateways > 0 and self.allows(request, engine, now_us)

    def retry_budget_scale(self, request: Request, now_us: int) -> float:
        return self.budget_scale


def make_harness(**sections: object) -> tuple[PolicyHarness, FakeAdmissionRules]:
    harness = PolicyHarness(settings(Balancers=4, Safety=SAFETY, **sections), engines=3)
    harness.gateway.admission_rules = rules = FakeAdmissionRules()
    return harness, rules


class AdmissionRulesTest(TraceCase):
    def test_rules_apply_from_the_next_attempt_on(self) -> None:
        harness, rules = make_harness()
        first_request = harness.submit("any engine")
        rules.denied_engines = set(harness.engines[:2])
        for number in range(4):
            harness.submit(f"one engine, {number}")
        rules.denied_classes = {0}
        harness.submit("a stopped class")
        rules.denied_classes = set()
        rules.denied_engines = set(harness.engines)
        queued_request = harness.submit("none may take it")
        harness.run(300)
        rules.denied_engines = set(harness.engines[:2])
        harness.run(200)
        self.assertTrue(first_request.current_attempt and queued_request.current_attempt)
        self.check("agreed_engines", harness.lines)

    def test_limits_follow_the_gateway_count_and_zero_stops_sending(self) -> None:
        harness, rules = make_harness()
        limits = []
        for gateways in (4, 8, 2, 0, 4):
            rules.gateways = gateways
            harness.submit(f"{gateways} count")
            harness.run(200)
            limits.append([round(engine.policy_state.limit.value, 6) for engine in harness.engines])
        self.assertEqual(limits, [[1.0] * 3, [0.5] * 3, [2.0] * 3, [2.0] * 3, [1.0] * 3])
        self.assertEqual(harness.gateway.gateway_count, 4)
        self.check("agreed_count", harness.lines)

    def test_read_that_waits_for_a_replica_does_not_delay_other_requests(self) -> None:
        harness, _ = make_harness()
        queued_read = harness.submit("a read", replica_read=object())
        for name in ("a second read", "the like without a hint"):
            harness.submit(name, replica_read=object() if "read" in name else None)
        self.assertTrue(queued_read.is_queued)
        self.assertEqual(
            ["the like without a hint"],
            [
                harness.names[request]
                for request in harness.names
                if isinstance(request, Request) and request.current_attempt
            ],
        )

    def test_retry_budget_is_scaled(self) -> None:
        retry_counts = []
        for budget_scale in (1.0, 0.5, 0.0):
            harness, rules = make_harness()
            rules.budget_scale = budget_scale
            for number in range(8):
                harness.finish_attempt(harness.submit(f"{number}"), Outcome.OVERLOADED)
            retry_counts.append(sum(" #1 to" in line for line in harness.lines))
        self.assertEqual(retry_counts, [6, 3, 0])
