"""The module's one hook: what the fleet has agreed on, asked at the moment of acting."""

from cresstray.policy.types import Engine, Outcome, Request
from tests.desk import Desk, TraceCase, settings

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


def desk_under(**more: object) -> tuple[Desk, Agreed]:
    desk = Desk(settings(Balancers=4, Safety=SAFETY, **more), engines=3)
    desk.gateway.admission_rules = agreed = Agreed()
    return desk, agreed


class Hook(TraceCase):
    def test_what_is_agreed_holds_from_the_next_attempt_on(self) -> None:
        desk, agreed = desk_under()
        first = desk.submit("any engine")
        agreed.barred = set(desk.engines[:2])
        for number in range(4):
            desk.submit(f"one engine, {number}")
        agreed.stopped = {0}
        desk.submit("a stopped class")
        agreed.stopped = set()
        agreed.barred = set(desk.engines)
        held = desk.submit("none may take it")
        desk.run(300)
        agreed.barred = set(desk.engines[:2])
        desk.run(200)
        self.assertTrue(first.current_attempt and held.current_attempt)
        self.check("agreed_engines", desk.lines)

    def test_shares_follow_the_count_and_none_is_sent_at_none(self) -> None:
        desk, agreed = desk_under()
        limits = []
        for count in (4, 8, 2, 0, 4):
            agreed.count = count
            desk.submit(f"{count} count")
            desk.run(200)
            limits.append([round(engine.policy_state.limit.value, 6) for engine in desk.engines])
        self.assertEqual(limits, [[1.0] * 3, [0.5] * 3, [2.0] * 3, [2.0] * 3, [1.0] * 3])
        self.assertEqual(desk.gateway.gateway_count, 4)
        self.check("agreed_count", desk.lines)

    def test_a_read_that_waits_for_a_copy_holds_up_itself_only(self) -> None:
        desk, _ = desk_under()
        waits = desk.submit("a read", replica_read=object())
        for name in ("a second read", "the like without a hint"):
            desk.submit(name, replica_read=object() if "read" in name else None)
        self.assertTrue(waits.is_queued)
        self.assertEqual(
            ["the like without a hint"],
            [desk.names[one] for one in desk.names if isinstance(one, Request) and one.current_attempt],
        )

    def test_the_retry_budget_is_scaled(self) -> None:
        made = []
        for scale in (1.0, 0.5, 0.0):
            desk, agreed = desk_under()
            agreed.scale = scale
            for number in range(8):
                desk.back(desk.submit(f"{number}"), Outcome.OVERLOADED)
            made.append(sum(" #1 to" in line for line in desk.lines))
        self.assertEqual(made, [6, 3, 0])
