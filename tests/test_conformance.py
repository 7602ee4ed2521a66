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

from cresstray.policy.admission_queue import AdmissionQueue
from cresstray.policy.concurrency_limit import ConcurrencyLimit
from cresstray.policy.controller import PolicyController
from cresstray.policy.engine_state import EngineState
from cresstray.policy.load_balancing import LoadBalancer
from cresstray.policy.load_signals import FleetSignals
from cresstray.policy.outcome_recorder import OutcomeRecorder
from cresstray.policy.types import STARVED_RANK, EndpointState, Outcome, Request
from tests.harness import START_US, PolicyHarness, settings

FAR = START_US * 100
Row = dict[str, Any]
TABLES: dict[str, list[Row]] = {}
for _file in sorted((Path(__file__).parent / "conformance").glob("design*.toml")):
    for _name, _tables in tomllib.loads(_file.read_text()).items():
        TABLES.setdefault(_name, []).extend(_tables)


class Teller(PolicyHarness):
    """A harness that also keeps what it was told to answer: (what, ms since its start, ms to come back)."""

    def __init__(self, *given: Any, **more: Any) -> None:
        self.told: list[tuple[str, float, float]] = []
        super().__init__(*given, **more)

    def reject_request(self, request: Request, come_back: int) -> None:
        self.told.append(("deny", (self.now - START_US) / 1000, come_back / 1000))

    def fail_request(self, request: Request) -> None:
        self.told.append(("abandon", (self.now - START_US) / 1000, 0))

    def drop(self, request: Request) -> None:
        """Its relay ends, nothing is learnt and nothing further is sent."""
        self.gateway.on_attempt_finished(request.attempts[-1], Outcome.CANCELLED, 0, True, {}, self.now)

    def fill(self) -> list[Request]:
        """All permits of engine 0 taken, under pressure for good."""
        self.engines[0].policy_state.signals.overloaded_until_us = FAR
        return [self.submit(f"filler {n}", left_ms=FAR // 1000) for n in range(4)]


# Drivers: what came of one row, by the names under its `must`.


def counts(row: Row) -> Row:
    harness = Teller(settings(), engines=1)
    works = [harness.submit(str(n), request_class) for n, request_class in enumerate(row["works"])]
    for work in works[: row["back"]]:
        harness.drop(work)
    state = harness.engines[0].policy_state
    return {"threads": state.limit.running_threads, "out": len(state.limit.attempts)}


def windows(row: Row) -> Row:
    harness = Teller(settings(), engines=1)
    for n in range(row["answers"]):
        harness.finish_attempt(harness.submit(str(n)), Outcome.SUCCEEDED)
    harness.run(row["run"])
    return {"open": harness.engines[0].policy_state.limit.window_count}


def start(row: Row) -> Row:
    given = settings(Balancers=row["gateways"], FamilyInfo={"CpuOfKind": [row["cores"]]})
    state = Teller(given, engines=1).engines[0].policy_state
    began, ends = state.limit.value, []
    for _ in range(10):
        state.limit.record_sample(1.0)
    for failed in (True, False):
        for _ in range(200):
            state.limit.has_window_failed = failed
            state.limit.record_sample(1.0)
            state.limit.close_window()
        ends.append(state.limit.value)
    return {"start": began, "least": ends[0], "most": ends[1]}


def pressure(row: Row) -> Row:
    harness = Teller(settings(), engines=1)
    state = harness.engines[0].policy_state
    state.limit.average_ratio, state.limit.best_ratio = row.get("average", 0.0), row.get("best", 0.0)
    state.limit.running_threads = row.get("threads", 0)
    for report in row.get("reports", ()):
        harness.gateway.on_probe_finished(harness.engines[0], Outcome.SUCCEEDED, report, harness.now)
    if "full" in row:
        harness.finish_attempt(harness.submit("refused"), Outcome.OVERLOADED)
    now = harness.now + int(1000 * (row.get("full", 0) or row.get("since", 0)))
    return {"binds": state.is_under_pressure(now), "others": state.signals.other_threads_now(now)}


def permits(row: Row) -> Row:
    fleet = FleetSignals()
    fleet.running_threads, fleet.total_limit = row.get("all_running", 0), row.get("all_limits", 1e9)
    state = EngineState(4, 1, fleet)
    state.limit.value, state.limit.running_threads = row["limit"], row["running"]
    state.signals.overloaded_until_us = FAR if row.get("bound", True) else 0
    request_class = Teller(settings()).gateway.request_classes[0]
    request_class.threads = row["threads"]
    work = Request(
        request_class,
        START_US,
        FAR,
        expected_latency_us=int(row.get("lasts", 1.0) * 1e6),
        queue_rank=STARVED_RANK if row.get("passed_over") else 0.0,
    )
    chance = 0
    for drawn in range(1000):
        state.limit.random_draw = (drawn + 0.5) / 1000
        chance += state.permits(work, START_US)
    return {"chance": chance}


def draws(row: Row) -> Row:
    harness = Teller(settings(), engines=1)
    state = harness.engines[0].policy_state
    state.signals.overloaded_until_us, state.limit.value, state.limit.random_draw = FAR, row["limit"], 1e-9
    for n in range(row["sends"]):
        harness.submit(str(n), 1, left_ms=9000)
    assert len(state.limit.attempts) == row["sends"], "nothing was sent"
    harness.run(row["run"])
    return {"anew": state.limit.random_draw != 1e-9}


def samples(row: Row) -> Row:
    harness = Teller(settings(), engines=1)
    state, ratio = harness.engines[0].policy_state, 0.0
    for estimate, latency in (*row.get("taught", ()), (row["estimate"], row["latency"])):
        work = harness.submit("work", row["tariff"], left_ms=9000, estimated_work_us=estimate * 1000)
        before = state.limit.window_total
        # The open window is looked at, and not closed by the time that passes.
        with patch.object(ConcurrencyLimit, "close_window", lambda limit: None):
            harness.run(latency)
            harness.finish_attempt(work, Outcome.SUCCEEDED)
        ratio = state.limit.window_total - before
    return {"ratio": ratio}


def choose(row: Row) -> Row:
    harness = Teller(settings(Zone=row.get("zone", 9)), engines=len(row["engines"]))
    harness.update_endpoints(
        {
            engine: {"zone": given.get("zone", 0), "state": EndpointState(given.get("standing", "ready"))}
            for engine, given in zip(harness.engines, row["engines"])
        }
    )
    for engine, given in zip(harness.engines, row["engines"]):
        state, state.limit.slowdown = engine.policy_state, given.get("pace", 1.0)
        state.limit.running_threads, state.health.is_suspected = (
            given["threads"],
            given.get("doubted", False),
        )
        state.health.next_probe_us = FAR
        state.signals.updated_us, state.signals.other_threads_per_core = (
            harness.now,
            given.get("others", 0.0),
        )
        state.signals.overloaded_until_us = FAR if given.get("full") else 0
    harness.gateway.outlier_detector.is_enforced = 2 * sum(
        e.policy_state.health.is_suspected for e in harness.engines
    ) <= len(harness.engines)
    harness.gateway.load_balancer.least_loaded = [harness.engines[row["idlest"]]] if "idlest" in row else []
    wins = dict.fromkeys(harness.engines, 0)
    for n in range(1500):
        work = harness.submit(str(n))
        if work.attempts:
            wins[work.attempts[0].engine] += 1
            harness.drop(work)
        else:
            harness.gateway.on_client_cancelled(work, harness.now)
    return {"shares": [count / 1500 for count in wins.values()]}


def hold(row: Row) -> Row:
    harness = Teller(settings(FamilyInfo={"Dop": [1, 1]}), engines=1)  # each frees what the next takes
    fillers = harness.fill()
    for request_class, sent, lost in zip(
        harness.gateway.request_classes, row.get("sent", (0, 0)), row.get("lost", (0, 0))
    ):
        request_class.latency.dispatched.add(
            harness.now, sent - (len(fillers) if request_class.index == 0 else 0)
        )
        request_class.latency.never_dispatched.add(harness.now, lost)
    works = [
        harness.submit(
            f"work {n}", work["tariff"], left_ms=90_000, estimated_work_us=work.get("estimate", 0) * 1000
        )
        for n, work in enumerate(row["works"])
    ]
    assert not any(work.attempts for work in works), "a permit was free"
    del harness.lines[:]
    if row.get("again"):
        harness.finish_attempt(fillers[0], Outcome.OVERLOADED)
        harness.engines[0].policy_state.signals.overloaded_until_us = FAR
    for out in (*fillers, *works):
        if out.current_attempt:
            harness.drop(out)
    relayed = [line.split()[3:5] for line in harness.lines if " send " in line]
    return {"order": [int(number) if kind == "work" else -1 for kind, number in relayed]}


def leave(row: Row) -> Row:
    harness = Teller(settings(), engines=1)
    if not row.get("free"):
        harness.fill()
    more = {"is_forwarded_in": True, "max_queue_us": row["hold"] * 1000} if "hold" in row else {}
    work = harness.submit(
        "work", left_ms=row["left"], estimated_work_us=row.get("estimate", 0) * 1000, **more
    )
    sent, leaves = bool(work.attempts), (work.latest_dispatch_us - START_US) / 1000
    harness.run(2000 if not sent else 0)
    answer, told, _ = ("sent", 0, 0) if sent else harness.told[0]
    return {"leaves": leaves, "told": told, "answer": answer}


def refuse(row: Row) -> Row:
    service = {"Effect": row["effect"], "Group": row.get("group", "all"), "KeyTtl": 60_000.0}
    harness = Teller(settings(service, Limits={"MaxAttempts": 1}), engines=1)
    harness.finish_attempt(harness.submit("work", left_ms=9000), Outcome(row["ending"]))
    return {"answer": harness.told[0][0]}


def waits(row: Row) -> Row:
    harness = Teller(settings(Limits={"RetryAfter": row["honoured"]}), engines=1)
    for n in range(300):
        harness.submit(str(n), left_ms=50)
    times = [time for _, _, time in harness.told]
    return {"shortest": min(times), "longest": max(times)}


def law(row: Row) -> Row:
    state, limits, averages = EngineState(20, 1, FleetSignals()), [], []
    if "warm" in row:
        for _ in range(10):
            state.limit.record_sample(row["warm"])
        state.limit.close_window()
    for number, window in enumerate(row["windows"]):
        for ratio in window:
            state.limit.record_sample(ratio)
        state.limit.has_window_failed = number in row.get("failed", ())
        state.limit.close_window()
        limits.append(state.limit.value)
        averages.append(state.limit.average_ratio)
    return {"limits": limits, "averages": averages}


def failures(row: Row) -> Row:
    harness = Teller(settings(FamilyInfo={"CpuOfKind": [20]}, Limits={"MaxAttempts": 1}), engines=1)
    state = harness.engines[0].policy_state
    state.limit.sample_count, state.limit.average_ratio = 10, 1.0
    works = [harness.submit(str(n), left_ms=60_000) for n in range(len(row["endings"]))]
    for work, ending in zip(works, row["endings"]):
        harness.finish_attempt(work, Outcome(ending))
    state.limit.close_window()
    state.limit.close_window()  # a window of its own: what the first had is not counted again
    return {"left": state.limit.value / state.limit.initial}


def agreed(row: Row) -> Row:
    harness = Teller(settings(), engines=1)
    harness.gateway.admission_rules = Mock(
        gateway_count=lambda now: row["gateways"],
        admits=lambda request, now: True,
        allows=lambda request, engine, now: True,
    )
    work, state = harness.submit("work"), harness.engines[0].policy_state
    return {"limit": state.limit.value, "start": state.limit.initial, "sent": bool(work.attempts)}


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
    "a warm-up of nine": (
        "law",
        ConcurrencyLimit,
        "close_window",
        "self.sample_count < MIN_SAMPLES",
        "self.sample_count < 9",
    ),
    "a quicker average": (
        "law",
        ConcurrencyLimit,
        "_update_average",
        "AVERAGE_WEIGHT * mean + (1 - AVERAGE_WEIGHT)",
        "0.3 * mean + 0.7",
    ),
    "a first window that moves": (
        "law",
        ConcurrencyLimit,
        "close_window",
        "elif not is_first_average",
        "else",
    ),
    "two threads at the edge": (
        "law",
        ConcurrencyLimit,
        "_apply_gradient",
        "gradient < -TOLERANCE",
        "gradient <= -TOLERANCE",
    ),
    "a cut at the edge": (
        "law",
        ConcurrencyLimit,
        "_apply_gradient",
        "gradient > TOLERANCE",
        "gradient >= TOLERANCE",
    ),
    "cut by more than half": ("law", ConcurrencyLimit, "_apply_gradient", ", DECREASE_RATIO)", ", 0.4)"),
    "a failure and the law's step": (
        "law",
        ConcurrencyLimit,
        "close_window",
        "elif not is_first_average",
        "if not is_first_average",
    ),
    "a failure counted again": (
        "failures",
        ConcurrencyLimit,
        "close_window",
        "self.has_window_failed = False",
        "self.has_window_failed = has_failed",
    ),
    "a cap of three times": ("start", ConcurrencyLimit, "close_window", "MAX_RATIO_TO_INITIAL", "3.0"),
    "a floor of a fifth": (
        "start",
        ConcurrencyLimit,
        "close_window",
        "MIN_RATIO_TO_INITIAL * self.initial",
        "0.2 * self.initial",
    ),
    "no number of gateways": ("start", ConcurrencyLimit, "__init__", "cores / gateway_count", "cores"),
    "a limit that always binds": (
        "permits",
        EngineState,
        "permits",
        "not self.is_under_pressure(now_us)",
        "False",
    ),
    "a chance beside our own": (
        "permits",
        ConcurrencyLimit,
        "admits_by_chance",
        "self.running_threads == 0",
        "True",
    ),
    "a chance whatever the width": (
        "permits",
        ConcurrencyLimit,
        "admits_by_chance",
        "self.random_draw * request.request_class.threads",
        "self.random_draw",
    ),
    "no sum of all limits": (
        "permits",
        EngineState,
        "permits",
        "MAX_FLEET_LIMITS * fleet.total_limit",
        "1e9",
    ),
    "full for half a window": (
        "pressure",
        EngineState,
        "is_under_pressure",
        "signals.overloaded_until_us",
        "signals.overloaded_until_us - 5e5",
    ),
    "latency for all": (
        "pressure",
        EngineState,
        "is_under_pressure",
        "self.fleet.updated_us",
        "(self.fleet.updated_us and not self.limit.best_ratio)",
    ),
    "the more loaded": ("choose", LoadBalancer, "_select_less_loaded", "min(candidates)", "max(candidates)"),
    "one choice": ("choose", LoadBalancer, "choose", "CANDIDATE_COUNT + len(", "1 + len("),
    "samples of any size": (
        "samples",
        OutcomeRecorder,
        "on_outcome",
        "min(MAX_LATENCY_RATIO, latency_us / request.expected_latency_us)",
        "latency_us / request.expected_latency_us",
    ),
    "held for a fifth": ("leave", AdmissionQueue, "schedule", "// MIN_WAIT_DIVISOR", "// 5"),
    "held in arrival order": ("hold", AdmissionQueue, "push", "queued.queue_rank", "queued.arrived_us"),
    "a reset as a failure": (
        "failures",
        OutcomeRecorder,
        "on_fault",
        "state.limit.has_window_failed or is_failed_request",
        "True",
    ),
    "limits that stay": ("agreed", ConcurrencyLimit, "scale", "self.value *=", "self.best_ratio *="),
    "denied after a run": (
        "refuse",
        PolicyController,
        "_reject_or_fail",
        "not self.retry_policy.may_reject(request)",
        "False",
    ),
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
