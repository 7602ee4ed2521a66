"""Checks the policy against the tables in tests/conformance/design*.toml, which broken variants must fail."""

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

FAR_FUTURE_US = START_US * 100
Row = dict[str, Any]
TABLES: dict[str, list[Row]] = {}
for _file in sorted((Path(__file__).parent / "conformance").glob("design*.toml")):
    for _name, _tables in tomllib.loads(_file.read_text()).items():
        TABLES.setdefault(_name, []).extend(_tables)


class AnswerRecordingHarness(PolicyHarness):
    """A harness that also records answers: kind, time since the start and retry_after in milliseconds."""

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        self.answers: list[tuple[str, float, float]] = []
        super().__init__(*args, **kwargs)

    def reject_request(self, request: Request, retry_after_us: int) -> None:
        self.answers.append(("reject", (self.now - START_US) / 1000, retry_after_us / 1000))

    def fail_request(self, request: Request) -> None:
        self.answers.append(("fail", (self.now - START_US) / 1000, 0))

    def cancel_attempt_silently(self, request: Request) -> None:
        """Ends the attempt of a request without a sample or a retry."""
        self.gateway.on_attempt_finished(request.attempts[-1], Outcome.CANCELLED, 0, True, {}, self.now)

    def fill(self) -> list[Request]:
        """Takes all permits of engine 0, with its limit enforced for the rest of the test."""
        self.engines[0].policy_state.signals.overloaded_until_us = FAR_FUTURE_US
        return [self.submit(f"filler {number}", left_ms=FAR_FUTURE_US // 1000) for number in range(4)]


# Drivers: each runs the case of one row, and returns results by the names under the row's `expected`.


def running_threads(row: Row) -> Row:
    harness = AnswerRecordingHarness(settings(), engines=1)
    requests = [
        harness.submit(str(number), request_class)
        for number, request_class in enumerate(row["request_classes"])
    ]
    for request in requests[: row["finished"]]:
        harness.cancel_attempt_silently(request)
    state = harness.engines[0].policy_state
    return {"threads": state.limit.running_threads, "in_flight": len(state.limit.attempts)}


def sample_windows(row: Row) -> Row:
    harness = AnswerRecordingHarness(settings(), engines=1)
    for number in range(row["responses"]):
        harness.finish_attempt(harness.submit(str(number)), Outcome.SUCCEEDED)
    harness.run(row["run_ms"])
    return {"open_samples": harness.engines[0].policy_state.limit.window_count}


def limit_bounds(row: Row) -> Row:
    settings_document = settings(Balancers=row["gateways"], FamilyInfo={"CpuOfKind": [row["cores"]]})
    state = AnswerRecordingHarness(settings_document, engines=1).engines[0].policy_state
    initial, bounds = state.limit.value, []
    for _ in range(10):
        state.limit.record_sample(1.0)
    for has_failed in (True, False):
        for _ in range(200):
            state.limit.has_window_failed = has_failed
            state.limit.record_sample(1.0)
            state.limit.close_window()
        bounds.append(state.limit.value)
    return {"initial": initial, "min": bounds[0], "max": bounds[1]}


def pressure(row: Row) -> Row:
    harness = AnswerRecordingHarness(settings(), engines=1)
    state = harness.engines[0].policy_state
    state.limit.average_ratio, state.limit.best_ratio = (
        row.get("average_ratio", 0.0),
        row.get("best_ratio", 0.0),
    )
    state.limit.running_threads = row.get("threads", 0)
    for report in row.get("reports", ()):
        harness.gateway.on_probe_finished(harness.engines[0], Outcome.SUCCEEDED, report, harness.now)
    if "overloaded_ms_ago" in row:
        harness.finish_attempt(harness.submit("refused"), Outcome.OVERLOADED)
    now_us = harness.now + int(1000 * (row.get("overloaded_ms_ago", 0) or row.get("report_age_ms", 0)))
    return {
        "is_enforced": state.is_under_pressure(now_us),
        "other_threads": state.signals.other_threads_now(now_us),
    }


def admission(row: Row) -> Row:
    fleet = FleetSignals()
    fleet.running_threads, fleet.total_limit = row.get("fleet_running", 0), row.get("total_limit", 1e9)
    state = EngineState(4, 1, fleet)
    state.limit.value, state.limit.running_threads = row["limit"], row["running"]
    state.signals.overloaded_until_us = FAR_FUTURE_US if row.get("under_pressure", True) else 0
    request_class = AnswerRecordingHarness(settings()).gateway.request_classes[0]
    request_class.threads = row["threads"]
    request = Request(
        request_class,
        START_US,
        FAR_FUTURE_US,
        expected_latency_us=int(row.get("duration_s", 1.0) * 1e6),
        queue_rank=STARVED_RANK if row.get("is_starved") else 0.0,
    )
    admitted = 0
    for draw in range(1000):
        state.limit.random_draw = (draw + 0.5) / 1000
        admitted += state.permits(request, START_US)
    return {"admitted": admitted}


def random_draws(row: Row) -> Row:
    harness = AnswerRecordingHarness(settings(), engines=1)
    state = harness.engines[0].policy_state
    state.signals.overloaded_until_us, state.limit.value, state.limit.random_draw = (
        FAR_FUTURE_US,
        row["limit"],
        1e-9,
    )
    for number in range(row["sent"]):
        harness.submit(str(number), 1, left_ms=9000)
    assert len(state.limit.attempts) == row["sent"], "nothing was sent"
    harness.run(row["run_ms"])
    return {"is_redrawn": state.limit.random_draw != 1e-9}


def samples(row: Row) -> Row:
    harness = AnswerRecordingHarness(settings(), engines=1)
    state, ratio = harness.engines[0].policy_state, 0.0
    for estimate_ms, latency_ms in (*row.get("earlier", ()), (row["estimate_ms"], row["latency_ms"])):
        request = harness.submit(
            "work", row["request_class"], left_ms=9000, estimated_work_us=estimate_ms * 1000
        )
        total_before = state.limit.window_total
        # The open window must not be closed while time passes, as its total is read.
        with patch.object(ConcurrencyLimit, "close_window", lambda limit: None):
            harness.run(latency_ms)
            harness.finish_attempt(request, Outcome.SUCCEEDED)
        ratio = state.limit.window_total - total_before
    return {"ratio": ratio}


def engine_choice(row: Row) -> Row:
    harness = AnswerRecordingHarness(settings(Zone=row.get("zone", 9)), engines=len(row["engines"]))
    harness.update_endpoints(
        {
            engine: {
                "zone": engine_row.get("zone", 0),
                "state": EndpointState(engine_row.get("state", "ready")),
            }
            for engine, engine_row in zip(harness.engines, row["engines"])
        }
    )
    for engine, engine_row in zip(harness.engines, row["engines"]):
        state, state.limit.slowdown = engine.policy_state, engine_row.get("slowdown", 1.0)
        state.limit.running_threads, state.health.is_suspected = (
            engine_row["threads"],
            engine_row.get("is_suspected", False),
        )
        state.health.next_probe_us = FAR_FUTURE_US
        state.signals.updated_us, state.signals.other_threads_per_core = (
            harness.now,
            engine_row.get("other_threads", 0.0),
        )
        state.signals.overloaded_until_us = FAR_FUTURE_US if engine_row.get("is_full") else 0
    harness.gateway.outlier_detector.is_enforced = 2 * sum(
        engine.policy_state.health.is_suspected for engine in harness.engines
    ) <= len(harness.engines)
    harness.gateway.load_balancer.least_loaded = (
        [harness.engines[row["least_loaded"]]] if "least_loaded" in row else []
    )
    chosen_counts = dict.fromkeys(harness.engines, 0)
    for number in range(1500):
        request = harness.submit(str(number))
        if request.attempts:
            chosen_counts[request.attempts[0].engine] += 1
            harness.cancel_attempt_silently(request)
        else:
            harness.gateway.on_client_cancelled(request, harness.now)
    return {"shares": [count / 1500 for count in chosen_counts.values()]}


def queue_order(row: Row) -> Row:
    # All requests have one thread, so that each needs the one permit that another frees.
    harness = AnswerRecordingHarness(settings(FamilyInfo={"Dop": [1, 1]}), engines=1)
    fillers = harness.fill()
    for request_class, dispatched, never_dispatched in zip(
        harness.gateway.request_classes, row.get("dispatched", (0, 0)), row.get("never_dispatched", (0, 0))
    ):
        request_class.latency.dispatched.add(
            harness.now, dispatched - (len(fillers) if request_class.index == 0 else 0)
        )
        request_class.latency.never_dispatched.add(harness.now, never_dispatched)
    requests = [
        harness.submit(
            f"work {number}",
            request_row["request_class"],
            left_ms=90_000,
            estimated_work_us=request_row.get("estimate_ms", 0) * 1000,
        )
        for number, request_row in enumerate(row["requests"])
    ]
    assert not any(request.attempts for request in requests), "a permit was free"
    del harness.lines[:]
    if row.get("has_retry"):
        harness.finish_attempt(fillers[0], Outcome.OVERLOADED)
        harness.engines[0].policy_state.signals.overloaded_until_us = FAR_FUTURE_US
    for request in (*fillers, *requests):
        if request.current_attempt:
            harness.cancel_attempt_silently(request)
    sent_requests = [line.split()[3:5] for line in harness.lines if " send " in line]
    return {"order": [int(number) if kind == "work" else -1 for kind, number in sent_requests]}


def latest_dispatch(row: Row) -> Row:
    harness = AnswerRecordingHarness(settings(), engines=1)
    if not row.get("has_permit"):
        harness.fill()
    forwarding_fields = (
        {"is_forwarded_in": True, "max_queue_us": row["max_queue_ms"] * 1000} if "max_queue_ms" in row else {}
    )
    request = harness.submit(
        "work",
        left_ms=row["left_ms"],
        estimated_work_us=row.get("estimate_ms", 0) * 1000,
        **forwarding_fields,
    )
    is_sent, latest_dispatch_ms = bool(request.attempts), (request.latest_dispatch_us - START_US) / 1000
    harness.run(2000 if not is_sent else 0)
    answer, answered_ms, _ = ("sent", 0, 0) if is_sent else harness.answers[0]
    return {"latest_dispatch_ms": latest_dispatch_ms, "answered_ms": answered_ms, "answer": answer}


def final_answer(row: Row) -> Row:
    service = {"Effect": row["effect"], "Group": row.get("scope", "all"), "KeyTtl": 60_000.0}
    harness = AnswerRecordingHarness(settings(service, Limits={"MaxAttempts": 1}), engines=1)
    harness.finish_attempt(harness.submit("work", left_ms=9000), Outcome(row["outcome"]))
    return {"answer": harness.answers[0][0]}


def retry_after(row: Row) -> Row:
    harness = AnswerRecordingHarness(settings(Limits={"RetryAfter": row["is_honoured"]}), engines=1)
    for number in range(300):
        harness.submit(str(number), left_ms=50)
    delays_ms = [delay_ms for _, _, delay_ms in harness.answers]
    return {"min_ms": min(delays_ms), "max_ms": max(delays_ms)}


def gradient_law(row: Row) -> Row:
    state, limits, averages = EngineState(20, 1, FleetSignals()), [], []
    if "warm_up_ratio" in row:
        for _ in range(10):
            state.limit.record_sample(row["warm_up_ratio"])
        state.limit.close_window()
    for number, window in enumerate(row["windows"]):
        for ratio in window:
            state.limit.record_sample(ratio)
        state.limit.has_window_failed = number in row.get("failed_windows", ())
        state.limit.close_window()
        limits.append(state.limit.value)
        averages.append(state.limit.average_ratio)
    return {"limits": limits, "averages": averages}


def window_failures(row: Row) -> Row:
    harness = AnswerRecordingHarness(
        settings(FamilyInfo={"CpuOfKind": [20]}, Limits={"MaxAttempts": 1}), engines=1
    )
    state = harness.engines[0].policy_state
    state.limit.sample_count, state.limit.average_ratio = 10, 1.0
    requests = [harness.submit(str(number), left_ms=60_000) for number in range(len(row["outcomes"]))]
    for request, outcome in zip(requests, row["outcomes"]):
        harness.finish_attempt(request, Outcome(outcome))
    state.limit.close_window()
    state.limit.close_window()  # a second window, in which the failures of the first must not count again
    return {"remaining": state.limit.value / state.limit.initial}


def gateway_count(row: Row) -> Row:
    harness = AnswerRecordingHarness(settings(), engines=1)
    harness.gateway.admission_rules = Mock(
        gateway_count=lambda now_us: row["gateways"],
        admits=lambda request, now_us: True,
        allows=lambda request, engine, now_us: True,
    )
    request, state = harness.submit("work"), harness.engines[0].policy_state
    return {"limit": state.limit.value, "initial": state.limit.initial, "is_sent": bool(request.attempts)}


DRIVERS = {
    driver.__name__: driver
    for driver in (
        running_threads,
        sample_windows,
        limit_bounds,
        pressure,
        admission,
        random_draws,
        samples,
        engine_choice,
        queue_order,
        latest_dispatch,
        final_answer,
        retry_after,
        gradient_law,
        window_failures,
        gateway_count,
    )
}


def is_close(expected: Any, actual: Any, tolerance: float) -> bool:
    if isinstance(expected, list):
        return len(expected) == len(actual) and all(
            is_close(*pair, tolerance) for pair in zip(expected, actual)
        )
    if isinstance(expected, (str, bool)):
        return expected == actual
    return abs(expected - actual) <= tolerance


def find_failures(name: str) -> list[str]:
    """Returns a message for each result of a driver's tables that differs from the expected one."""
    failures = []
    for table in TABLES[name]:
        for row in table["rows"]:
            actual, tolerance = DRIVERS[name](row), row.get("tolerance", 1e-6)
            failures += [
                f"{table['place']}, '{table['says']}': {row} > {key}: {actual[key]}"
                for key, expected in row["expected"].items()
                if not is_close(expected, actual[key], tolerance)
            ]
    return failures


def patch_source(owner: type, method: str, original: str, replacement: str) -> Any:
    """Returns a patch of a method by its own source, with one piece of it replaced."""
    source = textwrap.dedent(inspect.getsource(getattr(owner, method)))
    assert source.count(original) == 1, f"{method} has no single {original!r}"
    namespace: dict[str, Any] = {}
    exec(source.replace(original, replacement), vars(sys.modules[owner.__module__]), namespace)
    return patch.object(owner, method, namespace[method])


VARIANTS = {
    "warm-up of nine samples": (
        "gradient_law",
        ConcurrencyLimit,
        "close_window",
        "self.sample_count < MIN_SAMPLES",
        "self.sample_count < 9",
    ),
    "faster moving average": (
        "gradient_law",
        ConcurrencyLimit,
        "_update_average",
        "AVERAGE_WEIGHT * mean + (1 - AVERAGE_WEIGHT)",
        "0.3 * mean + 0.7",
    ),
    "first window changes the limit": (
        "gradient_law",
        ConcurrencyLimit,
        "close_window",
        "elif not is_first_average",
        "else",
    ),
    "growth by two at the tolerance": (
        "gradient_law",
        ConcurrencyLimit,
        "_apply_gradient",
        "gradient < -TOLERANCE",
        "gradient <= -TOLERANCE",
    ),
    "decrease at the tolerance": (
        "gradient_law",
        ConcurrencyLimit,
        "_apply_gradient",
        "gradient > TOLERANCE",
        "gradient >= TOLERANCE",
    ),
    "decrease by more than half": (
        "gradient_law",
        ConcurrencyLimit,
        "_apply_gradient",
        ", DECREASE_RATIO)",
        ", 0.4)",
    ),
    "failure and gradient step together": (
        "gradient_law",
        ConcurrencyLimit,
        "close_window",
        "elif not is_first_average",
        "if not is_first_average",
    ),
    "failure counted in two windows": (
        "window_failures",
        ConcurrencyLimit,
        "close_window",
        "self.has_window_failed = False",
        "self.has_window_failed = has_failed",
    ),
    "upper bound of three times": (
        "limit_bounds",
        ConcurrencyLimit,
        "close_window",
        "MAX_RATIO_TO_INITIAL",
        "3.0",
    ),
    "lower bound of a fifth": (
        "limit_bounds",
        ConcurrencyLimit,
        "close_window",
        "MIN_RATIO_TO_INITIAL * self.initial",
        "0.2 * self.initial",
    ),
    "limit not divided by gateways": (
        "limit_bounds",
        ConcurrencyLimit,
        "__init__",
        "cores / gateway_count",
        "cores",
    ),
    "limit enforced without pressure": (
        "admission",
        EngineState,
        "permits",
        "not self.is_under_pressure(now_us)",
        "False",
    ),
    "random admission beside own requests": (
        "admission",
        ConcurrencyLimit,
        "admits_by_chance",
        "self.running_threads == 0",
        "True",
    ),
    "random admission regardless of threads": (
        "admission",
        ConcurrencyLimit,
        "admits_by_chance",
        "self.random_draw * request.request_class.threads",
        "self.random_draw",
    ),
    "no bound on the fleet": (
        "admission",
        EngineState,
        "permits",
        "MAX_FLEET_LIMITS * fleet.total_limit",
        "1e9",
    ),
    "overloaded for half a window": (
        "pressure",
        EngineState,
        "is_under_pressure",
        "signals.overloaded_until_us",
        "signals.overloaded_until_us - 5e5",
    ),
    "latency counts despite load reports": (
        "pressure",
        EngineState,
        "is_under_pressure",
        "self.fleet.updated_us",
        "(self.fleet.updated_us and not self.limit.best_ratio)",
    ),
    "more loaded engine chosen": (
        "engine_choice",
        LoadBalancer,
        "_select_less_loaded",
        "min(candidates)",
        "max(candidates)",
    ),
    "one random engine": ("engine_choice", LoadBalancer, "choose", "CANDIDATE_COUNT + len(", "1 + len("),
    "unbounded samples": (
        "samples",
        OutcomeRecorder,
        "on_outcome",
        "min(MAX_LATENCY_RATIO, latency_us / request.expected_latency_us)",
        "latency_us / request.expected_latency_us",
    ),
    "queued for a fifth": ("latest_dispatch", AdmissionQueue, "schedule", "// MIN_WAIT_DIVISOR", "// 5"),
    "queued in arrival order": (
        "queue_order",
        AdmissionQueue,
        "push",
        "queued.queue_rank",
        "queued.arrived_us",
    ),
    "lost connection counted as failure": (
        "window_failures",
        OutcomeRecorder,
        "on_fault",
        "state.limit.has_window_failed or is_failed_request",
        "True",
    ),
    "limits not scaled": ("gateway_count", ConcurrencyLimit, "scale", "self.value *=", "self.best_ratio *="),
    "rejected although possibly executed": (
        "final_answer",
        PolicyController,
        "_reject_or_fail",
        "not self.retry_policy.may_reject(request)",
        "False",
    ),
}


class ConformanceTest(unittest.TestCase):
    def test_each_table_has_a_driver_and_rows(self) -> None:
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

    def test_each_broken_variant_fails_its_tables(self) -> None:
        for name, (table, *change) in VARIANTS.items():
            with self.subTest(name), patch_source(*change):
                self.assertTrue(find_failures(table), "no row fails")


def _make_test(name: str) -> Any:
    return lambda self: self.assertEqual([], find_failures(name))


for _name in DRIVERS:
    setattr(ConformanceTest, f"test_{_name}", _make_test(_name))
