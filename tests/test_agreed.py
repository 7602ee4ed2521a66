"""The module's one hook: what the fleet has agreed on, asked at the moment of acting."""

from cresstray.policy.types import Engine, Outcome, Request
from tests.harness import PolicyHarness, TraceCase, settings

SAFETY = {"BudgetWindow": 10_000.0, "ResendRatio": 0.5, "FreeResends": 2}


class Agreed:
    """Rules as a test sets them."""

    def __init__(self) -> None:
        self.count, self.barred, self.stopped, self.scale = 4, set(), set(), 1.0

    def gateway_count(self, now: int) -> int:
        return self.count

    def admits(self, request: Request, now: int) -> bool:
        return request.request_class.index not in self.stopped

    def allows(self, request: Request, engine: Engine, now: int) -> bool:
        return engine not in self.barred and request.replica_read is None

    def retry_budget_scale(self, request: Request, now: int) -> float:
        return self.scale


def desk_under(**more: object) -> tuple[PolicyHarness, Agreed]:
    harness = PolicyHarness(settings(Balancers=4, Safety=SAFETY, **more), engines=3)
    harness.gateway.admission_rules = agreed = Agreed()
    return harness, agreed


class Hook(TraceCase):
    def test_what_is_agreed_holds_from_the_next_attempt_on(self) -> None:
        harness, agreed = desk_under()
        first = harness.submit("any engine")
        agreed.barred = set(harness.engines[:2])
        for number in range(4):
            harness.submit(f"one engine, {number}")
        agreed.stopped = {0}
        harness.submit("a stopped class")
        agreed.stopped = set()
        agreed.barred = set(harness.engines)
        held = harness.submit("none may take it")
        harness.run(300)
        agreed.barred = set(harness.engines[:2])
        harness.run(200)
        self.assertTrue(first.current_attempt and held.current_attempt)
        self.check("agreed_engines", harness.lines)

    def test_shares_follow_the_count_and_none_is_sent_at_none(self) -> None:
        harness, agreed = desk_under()
        limits = []
        for count in (4, 8, 2, 0, 4):
            agreed.count = count
            harness.submit(f"{count} count")
            harness.run(200)
            limits.append([round(engine.policy_state.limit.value, 6) for engine in harness.engines])
        self.assertEqual(limits, [[1.0] * 3, [0.5] * 3, [2.0] * 3, [2.0] * 3, [1.0] * 3])
        self.assertEqual(harness.gateway.gateway_count, 4)
        self.check("agreed_count", harness.lines)

    def test_a_read_that_waits_for_a_copy_holds_up_itself_only(self) -> None:
        harness, _ = desk_under()
        waits = harness.submit("a read", replica_read=object())
        for name in ("a second read", "the like without a hint"):
            harness.submit(name, replica_read=object() if "read" in name else None)
        self.assertTrue(waits.is_queued)
        self.assertEqual(
            ["the like without a hint"],
            [harness.names[one] for one in harness.names if isinstance(one, Request) and one.current_attempt],
        )

    def test_the_retry_budget_is_scaled(self) -> None:
        made = []
        for scale in (1.0, 0.5, 0.0):
            harness, agreed = desk_under()
            agreed.scale = scale
            for number in range(8):
                harness.finish_attempt(harness.submit(f"{number}"), Outcome.OVERLOADED)
            made.append(sum(" #1 to" in line for line in harness.lines))
        self.assertEqual(made, [6, 3, 0])
