"""The law, holding, choosing and the defences, and what the wire's host says to malformed frames."""

import contextlib
import io
import struct
from unittest import mock

from cresstray.policy.admission_queue import OrderingKeyQueues
from cresstray.policy.deadlines import WINDOW_US
from cresstray.policy.engine_state import EngineState
from cresstray.policy.load_signals import FleetSignals
from cresstray.policy.types import Outcome, ProgressKind, Request
from cresstray.simulator import host as wirehost
from cresstray.simulator import wire
from tests.harness import PolicyHarness, TraceCase, settings
from tests.test_rules import fill


class Decisions(TraceCase):
    def test_gradient_window(self) -> None:
        state, lines = EngineState(8, 2, FleetSignals()), []
        plan = [
            ("warmup, nine samples", [1.0] * 9, False),
            ("first average only holds", [1.0] * 4, False),
            ("steady adds one", [1.0] * 4, False),
            ("far below adds two", [0.5] * 4, False),
            ("capped below twice the start", [0.5] * 4, False),
            ("risen cuts in proportion", [1.5] * 4, False),
            ("far risen cuts by half at most", [9.0] * 4, False),
            ("a failure halves, once", [1.0] * 4, True),
            ("a failure with no sample", [], True),
            ("nothing seen, nothing moved", [], False),
            ("floored at a tenth", [], True),
            ("floored at a tenth", [], True),
        ]
        for text, samples, failed in plan:
            for ratio in samples:
                state.limit.record_sample(ratio)
            state.limit.has_window_failed = failed
            state.limit.close_window()
            lines.append(f"{text}: limit {state.limit.value:.2f}, average {state.limit.average_ratio:.2f}")
        self.check("gradient", lines)

    def test_queueing_and_rejection(self) -> None:
        harness = PolicyHarness(settings(), engines=1)
        running = fill(harness)
        again = harness.submit("retry", left_ms=6000, estimated_work_us=1000)
        harness.submit("heavy first attempt", 1, left_ms=9000, estimated_work_us=4_000_000)
        harness.submit("light first attempt", 0, left_ms=6000, estimated_work_us=100_000)
        harness.submit(
            "huge, rejected when its time to wait is over", 1, left_ms=6000, estimated_work_us=90_000_000
        )
        for request in running[:3]:
            harness.run(20)
            if request is running[0]:
                harness.finish_attempt(request, Outcome.OVERLOADED)
                harness.engines[0].policy_state.signals.overloaded_until_us = harness.now + 60_000_000
            else:
                harness.finish_attempt(request, Outcome.SUCCEEDED)
        harness.finish_attempt(running[3], Outcome.SUCCEEDED)
        harness.finish_attempt(again, Outcome.SUCCEEDED)
        harness.run(6000)
        self.check("holding", harness.lines)

    def test_less_loaded_of_two(self) -> None:
        harness = PolicyHarness(settings(), engines=3)
        for threads, engine in zip((1, 2, 3), harness.engines):
            engine.policy_state.limit.running_threads = threads
        drawn = [harness.gateway._choose_engine(harness.submit("one"), harness.now) for _ in range(12)]
        self.check("two_choice", [f"engine {harness.engines.index(engine)}" for engine in drawn])

    def test_fast_errors_raise_suspicion(self) -> None:
        harness = PolicyHarness(settings(), engines=3)
        for number in range(12):
            request = harness.submit(f"s{number}")
            while (
                request.current_attempt
                and request.current_attempt.engine is harness.engines[0]
                and harness.now < 108_000_000
            ):
                harness.finish_attempt(request, Outcome.FAILED)
            harness.run(150)
            if request.current_attempt:
                harness.finish_attempt(request, Outcome.SUCCEEDED)
        harness.lines.append(
            "suspected: "
            + ", ".join(str(engine.policy_state.health.is_suspected) for engine in harness.engines)
        )
        self.check("fast_errors", harness.lines)

    def test_silence_raises_suspicion_and_cancels(self) -> None:
        harness = PolicyHarness(settings(), engines=3)
        out = [
            harness.submit(f"s{number}", 1, left_ms=9000, estimated_work_us=200_000) for number in range(3)
        ]
        for request in out:
            if request.current_attempt.engine is not harness.engines[0]:
                harness.run(100)
                harness.finish_attempt(request, Outcome.SUCCEEDED)
        harness.run(700)
        for request in out:
            if request.current_attempt and request.current_attempt.cancel_requested:
                harness.finish_attempt(request, Outcome.CANCELLED)
        harness.submit("after the suspicion")
        harness.lines.append(
            "suspected: "
            + ", ".join(str(engine.policy_state.health.is_suspected) for engine in harness.engines)
        )
        self.check("silence", harness.lines)

    def test_bad_plan_called_back_once(self) -> None:
        harness = PolicyHarness(settings(FamilyInfo={"TellsEvery": 500.0}))
        (
            harness.gateway.request_classes[1].latency.sample_count,
            harness.gateway.request_classes[1].latency.mean_us,
        ) = 20, 400_000
        slow = harness.submit("bad plan, then heavy by itself", 1, left_ms=9000)
        for _ in range(2):
            harness.run(500)
            harness.gateway.on_progress(slow.attempts[-1], ProgressKind.FRACTION_DONE, 0.05, harness.now)
            if slow.attempts[-1].cancel_requested:
                harness.finish_attempt(slow, Outcome.CANCELLED)
        harness.run(500)
        harness.finish_attempt(slow, Outcome.SUCCEEDED)
        self.check("bad_plan", harness.lines)

    def test_old_reports_go_over_into_the_fleet(self) -> None:
        harness, lines = PolicyHarness(settings(), engines=4), []
        busy, *others = harness.engines
        harness.gateway.on_probe_finished(busy, Outcome.SUCCEEDED, {"concurrent": 13.0}, harness.now)
        for crowd in (1.0, 13.0):
            for seconds in range(4):
                signals = busy.policy_state.signals
                freshness = signals.freshness(harness.now)
                told = (
                    f"{signals.other_threads_now(harness.now):.2f}, "
                    f"{signals.resource_pressure_at(freshness):.2f}, {freshness:.2f}"
                )
                pressed = busy.policy_state.is_under_pressure(harness.now)
                lines.append(f"{seconds} s on, others with {crowd}: {told}, pressed {pressed}")
                for engine in others:
                    harness.gateway.on_probe_finished(
                        engine, Outcome.SUCCEEDED, {"concurrent": crowd}, harness.now
                    )
                harness.run(1000)
        self.check("old_reports", lines)

    def test_third_choice_and_last_choice(self) -> None:
        harness, lines = PolicyHarness(settings(), engines=12), []
        for number, engine in enumerate(harness.engines):
            report = {"concurrent": 1.0 if number == 5 else 5.0}
            harness.gateway.on_probe_finished(engine, Outcome.SUCCEEDED, report, harness.now)
        lines.append(
            "seldom heard of: "
            + ", ".join(
                str(harness.engines.index(harness.gateway._choose_engine(harness.submit("one"), harness.now)))
                for _ in range(6)
            )
        )
        suspected = harness.engines[3].policy_state
        for engine in harness.engines:
            engine.policy_state.limit.value, engine.policy_state.signals.overloaded_until_us = (
                0.0,
                harness.now + WINDOW_US,
            )
        suspected.limit.value, suspected.health.is_suspected, suspected.health.next_probe_us = (
            9.0,
            True,
            harness.now + WINDOW_US,
        )
        for suspected.health.is_unresponsive in (False, True):
            waits = harness.submit("two")
            for at, text in ((harness.now, "it can wait"), (waits.latest_dispatch_us, "it can't")):
                chosen = harness.gateway._choose_engine(waits, at)
                kind = "unresponsive" if suspected.health.is_unresponsive else "failing"
                lines.append(f"the rest full, one {kind}, {text}: {chosen and harness.engines.index(chosen)}")
        self.check("choices", lines)

    def test_what_waits_is_not_given_to_an_engine_that_fails(self) -> None:
        harness = PolicyHarness(settings(), engines=2)
        failing, full = harness.engines
        for engine in harness.engines:
            engine.policy_state.signals.overloaded_until_us = harness.now + 10 * WINDOW_US
        full.policy_state.limit.value = 0.0
        (
            failing.policy_state.health.is_suspected,
            failing.policy_state.health.next_probe_us,
            failing.policy_state.health.probe_streak,
        ) = True, 2**60, -3
        for number in range(3):
            harness.submit(f"s{number}", left_ms=4000)
        harness.run(200)
        full.policy_state.limit.value = 2.0
        harness.run(4000)
        self.check("last_chance", harness.lines)

    def test_two_errors_are_enough(self) -> None:
        harness = PolicyHarness(settings(), engines=4)
        nobody_can = harness.submit("what no engine can run", left_ms=9000)
        while nobody_can.current_attempt:
            harness.finish_attempt(nobody_can, Outcome.FAILED)
        self.check("two_errors", harness.lines)

    def test_faults_of_links_are_none_of_queries(self) -> None:
        lines = []
        for outcome in (Outcome.FAILED, Outcome.PROTOCOL_ERROR, Outcome.CONNECTION_LOST, Outcome.UNREACHABLE):
            for good in (8, 0):
                harness = PolicyHarness(settings(), engines=1)
                for number in range(good + 3):
                    request = harness.submit(f"s{number}")
                    if request.current_attempt:  # else queued: the only engine is suspected
                        harness.finish_attempt(request, Outcome.SUCCEEDED if number < good else outcome)
                state = harness.engines[0].policy_state
                lines.append(
                    f"up to 3 {outcome.value} behind {good} good: cut {state.limit.has_window_failed}, "
                    f"suspected {state.health.is_suspected}, unresponsive {state.health.is_unresponsive}"
                )
        self.check("links_of_late", lines)

    def test_failing_engine_gone_silent(self) -> None:
        harness, lines = PolicyHarness(settings(), engines=3), []
        for lost, text in ((0, "an error"), (2, "no connection"), (0, "an error again")):
            harness.gateway.recorder.on_fault(harness.engines[0], lost, True, harness.now)
            state = harness.engines[0].policy_state
            lines.append(
                f"after {text}: suspected {state.health.is_suspected}, "
                f"unresponsive {state.health.is_unresponsive}"
            )
        self.check("gone_silent", lines)

    def test_malformed_frames(self) -> None:
        def frame(count: int, body: bytes) -> bytes:
            return wire.HEADER.pack(wire.HEADER.size + len(body), 1000.0, count) + body

        on = struct.pack("<BI", wire.INSTANCE_SELECTED, 3)
        odd = {
            "empty batch": frame(0, b""),
            "ends within its length": b"\x10\x00",
            "ends within its body": frame(1, on)[:-2],
            "length below a header": struct.pack("<I", 3),
            "unknown event": frame(2, on + b"\xc8"),
            "event cut short": frame(2, on + bytes([wire.TIMER, 1])),
            "fewer records than counted": frame(2, on),
            "more bytes than records": frame(1, on + b"\x00"),
            "event before any on": frame(1, struct.pack("<BI", wire.REQUEST_CANCELLED, 1)),
            "unknown list": frame(2, on + struct.pack("<BBIH", wire.ENDPOINTS, 1, 1, 9)),
            "instance never created": frame(2, on + struct.pack("<BI", wire.REQUEST_CANCELLED, 1)),
            "failing decisions": frame(2, on + struct.pack("<BQI", wire.CREATE, 1, 2) + b"[]"),
        }
        lines = []
        for name, raw in odd.items():
            out, err = io.BytesIO(), io.StringIO()
            with contextlib.redirect_stderr(err):
                code = wirehost.serve(io.BytesIO(raw), out)
            said = err.getvalue().strip()
            lines.append(f"{name}: exit {code}, {len(out.getvalue())} bytes answered, {said}")
            if len(out.getvalue()) > 8:
                lines.append(f"    {out.getvalue()[13 + 3 :].decode()}")
        self.check("malformed", lines)

    def test_out_of_the_way_of_loads(self) -> None:
        harness = PolicyHarness(
            settings(FamilyInfo={"Loads": [False, True], "WaitsForLoads": [True, False], "TellsEvery": 500.0})
        )
        harness.submit("load of set 7", 1, left_ms=9000, data_set=7)
        for number in range(3):
            harness.submit(f"of set 7, {number}", data_set=7)
        waits = harness.submit("of set 9", data_set=9)
        harness.gateway.on_progress(waits.current_attempt, ProgressKind.WAITING_FOR_DATA_SET, 2, harness.now)
        if waits.current_attempt.cancel_requested:
            harness.finish_attempt(waits, Outcome.CANCELLED)
        for number in range(3):
            harness.submit(f"of set 9, {number}", data_set=9)
        self.check("loads", harness.lines)

    def test_own_zone_first_while_it_has_room(self) -> None:
        harness = PolicyHarness(settings(Zone=1), engines=3)
        harness.update_endpoints({engine: {"zone": number} for number, engine in enumerate(harness.engines)})
        for number in range(5):
            harness.submit(f"s{number}")
        self.check("own_zone", harness.lines)

    def test_loads_of_a_hot_set_wait(self) -> None:
        harness = PolicyHarness(
            settings(FamilyInfo={"Loads": [False, True], "WaitsForLoads": [True, False]}), engines=3
        )
        loads = [
            harness.submit(f"load of set 7, {number}", 1, left_ms=9000, data_set=7) for number in range(3)
        ]
        harness.submit("load of set 8", 1, left_ms=9000, data_set=8)
        harness.run(200)
        harness.finish_attempt(loads[0], Outcome.SUCCEEDED)
        self.check("hot_set", harness.lines)

    def test_what_cannot_run_again_avoids_faults(self) -> None:
        harness = PolicyHarness(settings({"Effect": "at_most_once"}))
        lost = harness.submit("cut off", left_ms=9000)
        harness.gateway.on_probe_finished(lost.current_attempt.engine, Outcome.SUCCEEDED, {}, harness.now)
        harness.finish_attempt(lost, Outcome.FAILED)
        for number in range(4):
            harness.submit(f"at most once {number}", left_ms=9000)
        self.check("avoids_faults", harness.lines)

    def test_signs_of_pressure(self) -> None:
        harness, lines = PolicyHarness(settings(), engines=1), []
        state = harness.engines[0].policy_state
        for report in (
            {"concurrent": 7.0},
            {"concurrent": 7.0, "load_share": 0.5},
            {"load_share": 0.95},
            {"concurrent": 7.0, "load_share": 0.95},
            {"concurrent": 9.0, "load_share": 0.5},
            {"x0": 1.3},
            {"x0": 1.1},
            {"depth": 2.0},
        ):
            state.signals.updated_us = harness.gateway.fleet.updated_us = 0
            harness.gateway.on_probe_finished(harness.engines[0], Outcome.SUCCEEDED, report, harness.now)
            lines.append(f"{report}: pressed {state.is_under_pressure(harness.now)}")
            harness.run(2000)
        self.check("pressure", lines)

    def test_probes_by_traffic(self) -> None:
        harness = PolicyHarness(settings(Limits={"Probes": True}, Report={"Source": "on_probe"}), engines=10)
        for number in range(5):
            harness.submit(f"s{number}")
        harness.run(1000)
        for number in range(40):
            harness.submit(f"t{number}")
        harness.run(1000)
        self.check("probes", [line for line in harness.lines if "probe" in line])

    def test_heavy_by_itself_given_up_while_others_are_queued(self) -> None:
        harness = PolicyHarness(settings(FamilyInfo={"TellsEvery": 500.0}))
        (
            harness.gateway.request_classes[1].latency.sample_count,
            harness.gateway.request_classes[1].latency.mean_us,
        ) = 20, 400_000
        heavy = harness.submit("heavy", 1, left_ms=20_000)
        for _ in range(2):
            harness.run(300)
            harness.gateway.on_progress(heavy.current_attempt, ProgressKind.FRACTION_DONE, 0.01, harness.now)
            if not heavy.is_finished:
                harness.finish_attempt(heavy, Outcome.CANCELLED)
                fill(harness)
        harness.finish_attempt(heavy, Outcome.CANCELLED)
        self.check("heavy", [line for line in harness.lines if "filler" not in line])

    def test_given_up_when_its_notes_show_it_too_late(self) -> None:
        harness = PolicyHarness(settings(FamilyInfo={"TellsEvery": 500.0}))
        (
            harness.gateway.request_classes[1].latency.sample_count,
            harness.gateway.request_classes[1].latency.mean_us,
        ) = 20, 3_000_000
        for name, share in (("too late", 0.15), ("in time", 0.5)):
            slow = harness.submit(name, 1, left_ms=6000)
            for passed in (500, 1000):
                harness.run(passed)
                if not slow.is_finished:
                    harness.gateway.on_progress(
                        slow.current_attempt, ProgressKind.FRACTION_DONE, share, harness.now
                    )
            harness.finish_attempt(slow, Outcome.CANCELLED if slow.is_finished else Outcome.SUCCEEDED)
        self.check("too_late", harness.lines)

    def test_a_response_tries_few_of_many_queued(self) -> None:
        harness = PolicyHarness(settings(), engines=1)
        running = fill(harness)
        for number in range(200):
            harness.submit(f"queued {number}", left_ms=9000, estimated_work_us=1000)
        tried = []

        def may_run(queues: OrderingKeyQueues, request: Request, now_us: int) -> bool:
            tried.append(request)
            return False

        with mock.patch.object(OrderingKeyQueues, "may_run", may_run):
            harness.finish_attempt(running[0], Outcome.SUCCEEDED)
            few = len(tried)
            harness.run(100)
        self.check("few_tried", [f"an answer looks at {few}, the sweep at {len(tried) - few}"])
