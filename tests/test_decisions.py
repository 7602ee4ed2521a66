"""The law, holding, choosing and the defences, and what the wire's host says to malformed frames."""

import contextlib
import io
import struct
from unittest import mock

from cresstray.policy.admission_queue import OrderedTurns
from cresstray.policy.deadlines import WINDOW_US
from cresstray.policy.engine_state import EngineState
from cresstray.policy.load_signals import FleetSignals
from cresstray.policy.types import Outcome, ProgressKind, Request
from cresstray.simulator import host as wirehost
from cresstray.simulator import wire
from tests.desk import Desk, TraceCase, settings
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
        desk = Desk(settings(), engines=1)
        running = fill(desk)
        again = desk.submit("retry", left=6000, estimated_work_us=1000)
        desk.submit("heavy first attempt", 1, left=9000, estimated_work_us=4_000_000)
        desk.submit("light first attempt", 0, left=6000, estimated_work_us=100_000)
        desk.submit(
            "huge, rejected when its time to wait is over", 1, left=6000, estimated_work_us=90_000_000
        )
        for request in running[:3]:
            desk.run(20)
            if request is running[0]:
                desk.back(request, Outcome.OVERLOADED)
                desk.engines[0].policy_state.signals.overloaded_until_us = desk.now + 60_000_000
            else:
                desk.back(request, Outcome.SUCCEEDED)
        desk.back(running[3], Outcome.SUCCEEDED)
        desk.back(again, Outcome.SUCCEEDED)
        desk.run(6000)
        self.check("holding", desk.lines)

    def test_less_loaded_of_two(self) -> None:
        desk = Desk(settings(), engines=3)
        for threads, engine in zip((1, 2, 3), desk.engines):
            engine.policy_state.limit.running_threads = threads
        drawn = [desk.gateway._choose(desk.submit("one"), desk.now) for _ in range(12)]
        self.check("two_choice", [f"engine {desk.engines.index(engine)}" for engine in drawn])

    def test_fast_errors_raise_suspicion(self) -> None:
        desk = Desk(settings(), engines=3)
        for number in range(12):
            request = desk.submit(f"s{number}")
            while (
                request.current_attempt
                and request.current_attempt.engine is desk.engines[0]
                and desk.now < 108_000_000
            ):
                desk.back(request, Outcome.FAILED)
            desk.run(150)
            if request.current_attempt:
                desk.back(request, Outcome.SUCCEEDED)
        desk.lines.append(
            "suspected: " + ", ".join(str(engine.policy_state.health.is_suspected) for engine in desk.engines)
        )
        self.check("fast_errors", desk.lines)

    def test_silence_raises_suspicion_and_cancels(self) -> None:
        desk = Desk(settings(), engines=3)
        out = [desk.submit(f"s{number}", 1, left=9000, estimated_work_us=200_000) for number in range(3)]
        for request in out:
            if request.current_attempt.engine is not desk.engines[0]:
                desk.run(100)
                desk.back(request, Outcome.SUCCEEDED)
        desk.run(700)
        for request in out:
            if request.current_attempt and request.current_attempt.cancel_requested:
                desk.back(request, Outcome.CANCELLED)
        desk.submit("after the suspicion")
        desk.lines.append(
            "suspected: " + ", ".join(str(engine.policy_state.health.is_suspected) for engine in desk.engines)
        )
        self.check("silence", desk.lines)

    def test_bad_plan_called_back_once(self) -> None:
        desk = Desk(settings(FamilyInfo={"TellsEvery": 500.0}))
        (
            desk.gateway.request_classes[1].latency.sample_count,
            desk.gateway.request_classes[1].latency.mean_us,
        ) = 20, 400_000
        slow = desk.submit("bad plan, then heavy by itself", 1, left=9000)
        for _ in range(2):
            desk.run(500)
            desk.gateway.on_progress(slow.attempts[-1], ProgressKind.FRACTION_DONE, 0.05, desk.now)
            if slow.attempts[-1].cancel_requested:
                desk.back(slow, Outcome.CANCELLED)
        desk.run(500)
        desk.back(slow, Outcome.SUCCEEDED)
        self.check("bad_plan", desk.lines)

    def test_old_reports_go_over_into_the_fleet(self) -> None:
        desk, lines = Desk(settings(), engines=4), []
        busy, *others = desk.engines
        desk.gateway.on_probe_finished(busy, Outcome.SUCCEEDED, {"concurrent": 13.0}, desk.now)
        for crowd in (1.0, 13.0):
            for seconds in range(4):
                signals = busy.policy_state.signals
                freshness = signals.freshness(desk.now)
                told = (
                    f"{signals.other_threads_now(desk.now):.2f}, "
                    f"{signals.resource_pressure_at(freshness):.2f}, {freshness:.2f}"
                )
                pressed = busy.policy_state.is_under_pressure(desk.now)
                lines.append(f"{seconds} s on, others with {crowd}: {told}, pressed {pressed}")
                for engine in others:
                    desk.gateway.on_probe_finished(engine, Outcome.SUCCEEDED, {"concurrent": crowd}, desk.now)
                desk.run(1000)
        self.check("old_reports", lines)

    def test_third_choice_and_last_choice(self) -> None:
        desk, lines = Desk(settings(), engines=12), []
        for number, engine in enumerate(desk.engines):
            report = {"concurrent": 1.0 if number == 5 else 5.0}
            desk.gateway.on_probe_finished(engine, Outcome.SUCCEEDED, report, desk.now)
        lines.append(
            "seldom heard of: "
            + ", ".join(
                str(desk.engines.index(desk.gateway._choose(desk.submit("one"), desk.now))) for _ in range(6)
            )
        )
        suspected = desk.engines[3].policy_state
        for engine in desk.engines:
            engine.policy_state.limit.value, engine.policy_state.signals.overloaded_until_us = (
                0.0,
                desk.now + WINDOW_US,
            )
        suspected.limit.value, suspected.health.is_suspected, suspected.health.next_probe_us = (
            9.0,
            True,
            desk.now + WINDOW_US,
        )
        for suspected.health.is_unresponsive in (False, True):
            waits = desk.submit("two")
            for at, text in ((desk.now, "it can wait"), (waits.latest_dispatch_us, "it can't")):
                chosen = desk.gateway._choose(waits, at)
                kind = "unresponsive" if suspected.health.is_unresponsive else "failing"
                lines.append(f"the rest full, one {kind}, {text}: {chosen and desk.engines.index(chosen)}")
        self.check("choices", lines)

    def test_what_waits_is_not_given_to_an_engine_that_fails(self) -> None:
        desk = Desk(settings(), engines=2)
        failing, full = desk.engines
        for engine in desk.engines:
            engine.policy_state.signals.overloaded_until_us = desk.now + 10 * WINDOW_US
        full.policy_state.limit.value = 0.0
        (
            failing.policy_state.health.is_suspected,
            failing.policy_state.health.next_probe_us,
            failing.policy_state.health.probe_streak,
        ) = True, 2**60, -3
        for number in range(3):
            desk.submit(f"s{number}", left=4000)
        desk.run(200)
        full.policy_state.limit.value = 2.0
        desk.run(4000)
        self.check("last_chance", desk.lines)

    def test_two_errors_are_enough(self) -> None:
        desk = Desk(settings(), engines=4)
        nobody_can = desk.submit("what no engine can run", left=9000)
        while nobody_can.current_attempt:
            desk.back(nobody_can, Outcome.FAILED)
        self.check("two_errors", desk.lines)

    def test_faults_of_links_are_none_of_queries(self) -> None:
        lines = []
        for outcome in (Outcome.FAILED, Outcome.PROTOCOL_ERROR, Outcome.CONNECTION_LOST, Outcome.UNREACHABLE):
            for good in (8, 0):
                desk = Desk(settings(), engines=1)
                for number in range(good + 3):
                    request = desk.submit(f"s{number}")
                    if request.current_attempt:  # else queued: the only engine is suspected
                        desk.back(request, Outcome.SUCCEEDED if number < good else outcome)
                state = desk.engines[0].policy_state
                lines.append(
                    f"up to 3 {outcome.value} behind {good} good: cut {state.limit.has_window_failed}, "
                    f"suspected {state.health.is_suspected}, unresponsive {state.health.is_unresponsive}"
                )
        self.check("links_of_late", lines)

    def test_failing_engine_gone_silent(self) -> None:
        desk, lines = Desk(settings(), engines=3), []
        for lost, text in ((0, "an error"), (2, "no connection"), (0, "an error again")):
            desk.gateway.recorder.on_fault(desk.engines[0], lost, True, desk.now)
            state = desk.engines[0].policy_state
            lines.append(
                f"after {text}: suspected {state.health.is_suspected}, "
                f"unresponsive {state.health.is_unresponsive}"
            )
        self.check("gone_silent", lines)

    def test_malformed_frames(self) -> None:
        def frame(count: int, body: bytes) -> bytes:
            return wire.HEADER.pack(wire.HEADER.size + len(body), 1000.0, count) + body

        on = struct.pack("<BI", wire.ON, 3)
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
        desk = Desk(
            settings(FamilyInfo={"Loads": [False, True], "WaitsForLoads": [True, False], "TellsEvery": 500.0})
        )
        desk.submit("load of set 7", 1, left=9000, data_set=7)
        for number in range(3):
            desk.submit(f"of set 7, {number}", data_set=7)
        waits = desk.submit("of set 9", data_set=9)
        desk.gateway.on_progress(waits.current_attempt, ProgressKind.WAITING_FOR_DATA_SET, 2, desk.now)
        if waits.current_attempt.cancel_requested:
            desk.back(waits, Outcome.CANCELLED)
        for number in range(3):
            desk.submit(f"of set 9, {number}", data_set=9)
        self.check("loads", desk.lines)

    def test_own_zone_first_while_it_has_room(self) -> None:
        desk = Desk(settings(Zone=1), engines=3)
        desk.list({engine: {"zone": number} for number, engine in enumerate(desk.engines)})
        for number in range(5):
            desk.submit(f"s{number}")
        self.check("own_zone", desk.lines)

    def test_loads_of_a_hot_set_wait(self) -> None:
        desk = Desk(settings(FamilyInfo={"Loads": [False, True], "WaitsForLoads": [True, False]}), engines=3)
        loads = [desk.submit(f"load of set 7, {number}", 1, left=9000, data_set=7) for number in range(3)]
        desk.submit("load of set 8", 1, left=9000, data_set=8)
        desk.run(200)
        desk.back(loads[0], Outcome.SUCCEEDED)
        self.check("hot_set", desk.lines)

    def test_what_cannot_run_again_avoids_faults(self) -> None:
        desk = Desk(settings({"Effect": "at_most_once"}))
        lost = desk.submit("cut off", left=9000)
        desk.gateway.on_probe_finished(lost.current_attempt.engine, Outcome.SUCCEEDED, {}, desk.now)
        desk.back(lost, Outcome.FAILED)
        for number in range(4):
            desk.submit(f"at most once {number}", left=9000)
        self.check("avoids_faults", desk.lines)

    def test_signs_of_pressure(self) -> None:
        desk, lines = Desk(settings(), engines=1), []
        state = desk.engines[0].policy_state
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
            state.signals.updated_us = desk.gateway.fleet.updated_us = 0
            desk.gateway.on_probe_finished(desk.engines[0], Outcome.SUCCEEDED, report, desk.now)
            lines.append(f"{report}: pressed {state.is_under_pressure(desk.now)}")
            desk.run(2000)
        self.check("pressure", lines)

    def test_probes_by_traffic(self) -> None:
        desk = Desk(settings(Limits={"Probes": True}, Report={"Source": "on_probe"}), engines=10)
        for number in range(5):
            desk.submit(f"s{number}")
        desk.run(1000)
        for number in range(40):
            desk.submit(f"t{number}")
        desk.run(1000)
        self.check("probes", [line for line in desk.lines if "probe" in line])

    def test_heavy_by_itself_given_up_while_others_are_queued(self) -> None:
        desk = Desk(settings(FamilyInfo={"TellsEvery": 500.0}))
        (
            desk.gateway.request_classes[1].latency.sample_count,
            desk.gateway.request_classes[1].latency.mean_us,
        ) = 20, 400_000
        heavy = desk.submit("heavy", 1, left=20_000)
        for _ in range(2):
            desk.run(300)
            desk.gateway.on_progress(heavy.current_attempt, ProgressKind.FRACTION_DONE, 0.01, desk.now)
            if not heavy.is_finished:
                desk.back(heavy, Outcome.CANCELLED)
                fill(desk)
        desk.back(heavy, Outcome.CANCELLED)
        self.check("heavy", [line for line in desk.lines if "filler" not in line])

    def test_given_up_when_its_notes_show_it_too_late(self) -> None:
        desk = Desk(settings(FamilyInfo={"TellsEvery": 500.0}))
        (
            desk.gateway.request_classes[1].latency.sample_count,
            desk.gateway.request_classes[1].latency.mean_us,
        ) = 20, 3_000_000
        for name, share in (("too late", 0.15), ("in time", 0.5)):
            slow = desk.submit(name, 1, left=6000)
            for passed in (500, 1000):
                desk.run(passed)
                if not slow.is_finished:
                    desk.gateway.on_progress(
                        slow.current_attempt, ProgressKind.FRACTION_DONE, share, desk.now
                    )
            desk.back(slow, Outcome.CANCELLED if slow.is_finished else Outcome.SUCCEEDED)
        self.check("too_late", desk.lines)

    def test_a_response_tries_few_of_many_queued(self) -> None:
        desk = Desk(settings(), engines=1)
        running = fill(desk)
        for number in range(200):
            desk.submit(f"queued {number}", left=9000, estimated_work_us=1000)
        tried = []

        def is_turn(turns: OrderedTurns, request: Request, now_us: int) -> bool:
            tried.append(request)
            return False

        with mock.patch.object(OrderedTurns, "is_turn", is_turn):
            desk.back(running[0], Outcome.SUCCEEDED)
            few = len(tried)
            desk.run(100)
        self.check("few_tried", [f"an answer looks at {few}, the sweep at {len(tried) - few}"])
