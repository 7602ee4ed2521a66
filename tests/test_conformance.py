"""The design page against the module: rows of tests/conformance/design*.toml, which broken modules fail."""

from __future__ import annotations

import inspect
import sys
import textwrap
import tomllib
import unittest
from pathlib import Path
from typing import Any
from unittest.mock import Mock, patch

from cresstray.policy.controller import STARVED_RANK, Limiter, LoadSignals, PolicyController
from cresstray.policy.types import EndpointState, Outcome, Request
from tests.desk import START, Desk, settings

FAR = START * 100
Row = dict[str, Any]
TABLES: dict[str, list[Row]] = {}
for _file in sorted((Path(__file__).parent / "conformance").glob("design*.toml")):
    for _name, _tables in tomllib.loads(_file.read_text()).items():
        TABLES.setdefault(_name, []).extend(_tables)


class Teller(Desk):
    """A desk that also keeps what it was told to answer: (what, ms since its start, ms to come back)."""

    def __init__(self, *given: Any, **more: Any) -> None:
        self.told: list[tuple[str, float, float]] = []
        super().__init__(*given, **more)

    def reject_request(self, request: Request, come_back: int) -> None:
        self.told.append(("deny", (self.now - START) / 1000, come_back / 1000))

    def fail_request(self, request: Request) -> None:
        self.told.append(("abandon", (self.now - START) / 1000, 0))

    def drop(self, request: Request) -> None:
        """Its relay ends, nothing is learnt and nothing further is sent."""
        self.gateway.on_attempt_finished(request.attempts[-1], Outcome.CANCELLED, 0, True, {}, self.now)

    def fill(self) -> list[Request]:
        """All permits of engine 0 taken, under pressure for good."""
        self.engines[0].limiter.full_until = FAR
        return [self.submit(f"filler {n}", left=FAR // 1000) for n in range(4)]


# Drivers: what came of one row, by the names under its `must`.


def counts(row: Row) -> Row:
    desk = Teller(settings(), engines=1)
    works = [desk.submit(str(n), request_class) for n, request_class in enumerate(row["works"])]
    for work in works[: row["back"]]:
        desk.drop(work)
    limiter = desk.engines[0].limiter
    return {"threads": limiter.threads, "out": len(limiter.out)}


def windows(row: Row) -> Row:
    desk = Teller(settings(), engines=1)
    for n in range(row["answers"]):
        desk.back(desk.submit(str(n)), Outcome.SUCCEEDED)
    desk.run(row["run"])
    return {"open": desk.engines[0].limiter.count}


def start(row: Row) -> Row:
    given = settings(Balancers=row["gateways"], FamilyInfo={"CpuOfKind": [row["cores"]]})
    limiter = Teller(given, engines=1).engines[0].limiter
    began, ends = limiter.limit, []
    for _ in range(10):
        limiter.sample(1.0)
    for failed in (True, False):
        for _ in range(200):
            limiter.failed = failed
            limiter.sample(1.0)
            limiter.close_window()
        ends.append(limiter.limit)
    return {"start": began, "least": ends[0], "most": ends[1]}


def pressure(row: Row) -> Row:
    desk = Teller(settings(), engines=1)
    limiter = desk.engines[0].limiter
    limiter.average, limiter.best = row.get("average", 0.0), row.get("best", 0.0)
    limiter.threads = row.get("threads", 0)
    for report in row.get("reports", ()):
        desk.gateway.on_probe_finished(desk.engines[0], Outcome.SUCCEEDED, report, desk.now)
    if "full" in row:
        desk.back(desk.submit("refused"), Outcome.OVERLOADED)
    now = desk.now + int(1000 * (row.get("full", 0) or row.get("since", 0)))
    return {"binds": limiter.pressed(now), "others": limiter.by_now(now)[0]}


def permits(row: Row) -> Row:
    fleet = LoadSignals()
    fleet.running_threads, fleet.total_limit = row.get("all_running", 0), row.get("all_limits", 1e9)
    limiter = Limiter(4, 1, fleet)
    limiter.limit, limiter.threads = row["limit"], row["running"]
    limiter.full_until = FAR if row.get("bound", True) else 0
    request_class = Teller(settings()).gateway.request_classes[0]
    request_class.threads = row["threads"]
    work = Request(
        request_class,
        START,
        FAR,
        expected_latency_us=int(row.get("lasts", 1.0) * 1e6),
        queue_rank=STARVED_RANK if row.get("passed_over") else 0.0,
    )
    chance = 0
    for drawn in range(1000):
        limiter.draw = (drawn + 0.5) / 1000
        chance += limiter.permits(work, START)
    return {"chance": chance}


def draws(row: Row) -> Row:
    desk = Teller(settings(), engines=1)
    limiter = desk.engines[0].limiter
    limiter.full_until, limiter.limit, limiter.draw = FAR, row["limit"], 1e-9
    for n in range(row["sends"]):
        desk.submit(str(n), 1, left=9000)
    assert len(limiter.out) == row["sends"], "nothing was sent"
    desk.run(row["run"])
    return {"anew": limiter.draw != 1e-9}


def samples(row: Row) -> Row:
    desk = Teller(settings(), engines=1)
    limiter, ratio = desk.engines[0].limiter, 0.0
    for estimate, latency in (*row.get("taught", ()), (row["estimate"], row["latency"])):
        work = desk.submit("work", row["tariff"], left=9000, estimated_work_us=estimate * 1000)
        before, closed = limiter.total, limiter.close_window
        limiter.close_window = lambda: None  # the open window is looked at, not moved by
        desk.run(latency)
        desk.back(work, Outcome.SUCCEEDED)
        limiter.close_window, ratio = closed, limiter.total - before
    return {"ratio": ratio}


def choose(row: Row) -> Row:
    desk = Teller(settings(Zone=row.get("zone", 9)), engines=len(row["engines"]))
    desk.list(
        {
            engine: {"zone": given.get("zone", 0), "standing": EndpointState(given.get("standing", "ready"))}
            for engine, given in zip(desk.engines, row["engines"])
        }
    )
    for engine, given in zip(desk.engines, row["engines"]):
        limiter, limiter.pace = engine.limiter, given.get("pace", 1.0)
        limiter.threads, limiter.doubted = given["threads"], given.get("doubted", False)
        limiter.trial_at = FAR
        limiter.signs.updated_us, limiter.signs.other_threads_per_core = desk.now, given.get("others", 0.0)
        limiter.full_until = FAR if given.get("full") else 0
    desk.gateway.doubt_counts = 2 * sum(e.limiter.doubted for e in desk.engines) <= len(desk.engines)
    desk.gateway.idlest = [desk.engines[row["idlest"]]] if "idlest" in row else []
    wins = dict.fromkeys(desk.engines, 0)
    for n in range(1500):
        work = desk.submit(str(n))
        if work.attempts:
            wins[work.attempts[0].engine] += 1
            desk.drop(work)
        else:
            desk.gateway.on_client_cancelled(work, desk.now)
    return {"shares": [count / 1500 for count in wins.values()]}


def hold(row: Row) -> Row:
    desk = Teller(settings(FamilyInfo={"Dop": [1, 1]}), engines=1)  # each frees what the next takes
    fillers = desk.fill()
    for request_class, sent, lost in zip(
        desk.gateway.request_classes, row.get("sent", (0, 0)), row.get("lost", (0, 0))
    ):
        request_class.latency.dispatched.add(
            desk.now, sent - (len(fillers) if request_class.index == 0 else 0)
        )
        request_class.latency.never_dispatched.add(desk.now, lost)
    works = [
        desk.submit(
            f"work {n}", work["tariff"], left=90_000, estimated_work_us=work.get("estimate", 0) * 1000
        )
        for n, work in enumerate(row["works"])
    ]
    assert not any(work.attempts for work in works), "a permit was free"
    del desk.lines[:]
    if row.get("again"):
        desk.back(fillers[0], Outcome.OVERLOADED)
        desk.engines[0].limiter.full_until = FAR
    for out in (*fillers, *works):
        if out.current_attempt:
            desk.drop(out)
    relayed = [line.split()[3:5] for line in desk.lines if " relay " in line]
    return {"order": [int(number) if kind == "work" else -1 for kind, number in relayed]}


def leave(row: Row) -> Row:
    desk = Teller(settings(), engines=1)
    if not row.get("free"):
        desk.fill()
    more = {"is_forwarded_in": True, "max_queue_us": row["hold"] * 1000} if "hold" in row else {}
    work = desk.submit("work", left=row["left"], estimated_work_us=row.get("estimate", 0) * 1000, **more)
    sent, leaves = bool(work.attempts), (work.latest_dispatch_us - START) / 1000
    desk.run(2000 if not sent else 0)
    answer, told, _ = ("sent", 0, 0) if sent else desk.told[0]
    return {"leaves": leaves, "told": told, "answer": answer}


def refuse(row: Row) -> Row:
    service = {"Effect": row["effect"], "Group": row.get("group", "all"), "KeyTtl": 60_000.0}
    desk = Teller(settings(service, Limits={"MaxAttempts": 1}), engines=1)
    desk.back(desk.submit("work", left=9000), Outcome(row["ending"]))
    return {"answer": desk.told[0][0]}


def waits(row: Row) -> Row:
    desk = Teller(settings(Limits={"RetryAfter": row["honoured"]}), engines=1)
    for n in range(300):
        desk.submit(str(n), left=50)
    times = [time for _, _, time in desk.told]
    return {"shortest": min(times), "longest": max(times)}


def law(row: Row) -> Row:
    limiter, limits, averages = Limiter(20, 1, LoadSignals()), [], []
    if "warm" in row:
        for _ in range(10):
            limiter.sample(row["warm"])
        limiter.close_window()
    for number, window in enumerate(row["windows"]):
        for ratio in window:
            limiter.sample(ratio)
        limiter.failed = number in row.get("failed", ())
        limiter.close_window()
        limits.append(limiter.limit)
        averages.append(limiter.average)
    return {"limits": limits, "averages": averages}


def failures(row: Row) -> Row:
    desk = Teller(settings(FamilyInfo={"CpuOfKind": [20]}, Limits={"MaxAttempts": 1}), engines=1)
    limiter = desk.engines[0].limiter
    limiter.seen, limiter.average = 10, 1.0
    works = [desk.submit(str(n), left=60_000) for n in range(len(row["endings"]))]
    for work, ending in zip(works, row["endings"]):
        desk.back(work, Outcome(ending))
    limiter.close_window()
    limiter.close_window()  # a window of its own: what the first had is not counted again
    return {"left": limiter.limit / limiter.start}


def agreed(row: Row) -> Row:
    desk = Teller(settings(), engines=1)
    desk.gateway.admission_rules = Mock(
        gateway_count=lambda now: row["gateways"],
        admits=lambda request, now: True,
        allows=lambda request, engine, now: True,
    )
    work, limiter = desk.submit("work"), desk.engines[0].limiter
    return {"limit": limiter.limit, "start": limiter.start, "sent": bool(work.attempts)}


DRIVERS = {
    driver.__name__: driver
    for driver in (
        counts,
        windows,
        start,
        pressure,
        permits,
        draws,
        samples,
        choose,
        hold,
        leave,
        refuse,
        waits,
        law,
        failures,
        agreed,
    )
}


def same(wanted: Any, came: Any, within: float) -> bool:
    if isinstance(wanted, list):
        return len(wanted) == len(came) and all(same(*pair, within) for pair in zip(wanted, came))
    if isinstance(wanted, (str, bool)):
        return wanted == came
    return abs(wanted - came) <= within


def faults(name: str) -> list[str]:
    """The rows of a driver's tables for which something else came."""
    found = []
    for table in TABLES[name]:
        for row in table["rows"]:
            came, within = DRIVERS[name](row), row.get("within", 1e-6)
            found += [
                f"{table['place']}, '{table['says']}': {row} > {what}: {came[what]}"
                for what, wanted in row["must"].items()
                if not same(wanted, came[what], within)
            ]
    return found


def broken(owner: type, method: str, kept: str, put: str) -> Any:
    """Patches a method with its own source in which one piece is another."""
    source = textwrap.dedent(inspect.getsource(getattr(owner, method)))
    assert source.count(kept) == 1, f"{method} has no single {kept!r} any more"
    made: dict[str, Any] = {}
    exec(source.replace(kept, put), vars(sys.modules[owner.__module__]), made)
    return patch.object(owner, method, made[method])


VARIANTS = {
    "a warm-up of nine": ("law", Limiter, "close_window", "self.seen < 10", "self.seen < 9"),
    "a quicker average": ("law", Limiter, "close_window", "0.2 * mean + 0.8", "0.3 * mean + 0.7"),
    "a first window that moves": ("law", Limiter, "close_window", "elif not first", "else"),
    "two threads at the edge": ("law", Limiter, "close_window", "gradient < -0.1", "gradient <= -0.1"),
    "a cut at the edge": ("law", Limiter, "close_window", "gradient <= 0.1", "gradient < 0.1"),
    "cut by more than half": ("law", Limiter, "close_window", "0.5, 0.5)", "0.5, 0.4)"),
    "a failure and the law's step": ("law", Limiter, "close_window", "elif not first", "if not first"),
    "a failure counted again": ("failures", Limiter, "close_window", "0, 0.0, False", "0, 0.0, failed"),
    "a cap of three times": ("start", Limiter, "close_window", "1.99", "3.0"),
    "a floor of a fifth": ("start", Limiter, "close_window", "0.1 * self.start", "0.2 * self.start"),
    "no number of gateways": ("start", Limiter, "__init__", "cores / gateways", "cores"),
    "a limit that always binds": ("permits", Limiter, "permits", "or not self.pressed(now)", ""),
    "a chance beside our own": ("permits", Limiter, "permits", "self.threads == 0 and", ""),
    "a chance whatever the width": ("permits", Limiter, "permits", "self.draw * threads", "self.draw"),
    "no sum of all limits": ("permits", Limiter, "permits", "3 * self.fleet.total_limit", "1e9"),
    "full for half a window": ("pressure", Limiter, "pressed", "self.full_until", "self.full_until - 5e5"),
    "latency for all": (
        "pressure",
        Limiter,
        "pressed",
        "self.fleet.updated_us",
        "self.fleet.updated_us and not self.best",
    ),
    "the more loaded": ("choose", PolicyController, "_choose", "min(drawn, default", "max(drawn, default"),
    "one choice": ("choose", PolicyController, "_choose", "2 + len(", "1 + len("),
    "samples of any size": (
        "samples",
        PolicyController,
        "_learn",
        "min(4.0, latency / request.expected_latency_us)",
        "latency / request.expected_latency_us",
    ),
    "held for a fifth": ("leave", PolicyController, "accept", "// 10", "// 5"),
    "held in arrival order": ("hold", PolicyController, "_offer", "one.queue_rank", "one.arrived_us"),
    "a reset as a failure": ("failures", PolicyController, "_fault", "limiter.failed or counts", "True"),
    "limits that stay": ("agreed", PolicyController, "_counted", "limiter.limit *=", "limiter.best *="),
    "denied after a run": ("refuse", PolicyController, "_end", "not self._may_deny(request)", "False"),
}


class Conformance(unittest.TestCase):
    def test_tables_have_drivers(self) -> None:
        self.assertEqual(set(TABLES), set(DRIVERS))
        self.assertEqual(
            [],
            [
                table
                for tables in TABLES.values()
                for table in tables
                if not (table["place"] and table["says"] and table["rows"])
            ],
        )

    def test_broken_modules_fail(self) -> None:
        for what, (table, *change) in VARIANTS.items():
            with self.subTest(what), broken(*change):
                self.assertTrue(faults(table), "no row fails")


def _test(name: str) -> Any:
    return lambda self: self.assertEqual([], faults(name))


for _name in DRIVERS:
    setattr(Conformance, f"test_{_name}", _test(_name))
