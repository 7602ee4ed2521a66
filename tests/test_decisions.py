"""The decisions of the policy, and how the simulator host handles malformed frames, against stored traces.

Covers the gradient law, queueing, load balancing, outlier detection, progress updates, data sets and health
checks.
"""

import contextlib
import io
import struct
from unittest import mock

from cresstray.policy.admission_queue import OrderingKeyQueues
from cresstray.policy.deadlines import WINDOW_US
from cresstray.policy.engine_state import EngineState
from cresstray.policy.load_signals import FleetSignals
from cresstray.policy.types import Outcome, ProgressKind, Request
from cresstray.simulator import host as simulator_host
from cresstray.simulator import wire
from tests.harness import PolicyHarness, TraceCase, settings
from tests.test_rules import fill


class PolicyDecisionTest(TraceCase):
    def test_gradient_law_adjusts_limit_once_per_window(self) -> None:
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

    def test_queue_orders_by_value_density_and_rejects_expired_requests(self) -> None:
        harness = PolicyHarness(settings(), engines=1)
        running = fill(harness)
        retried_request = harness.submit("retry", left_ms=6000, estimated_work_us=1000)
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
        harness.finish_attempt(retried_request, Outcome.SUCCEEDED)
        harness.run(6000)
        self.check("holding", harness.lines)

    def test_less_loaded_of_two_random_engines_is_chosen(self) -> None:
        harness = PolicyHarness(settings(), engines=3)
        for threads, engine in zip((1, 2, 3), harness.engines):
            engine.policy_state.limit.running_threads = threads
        chosen_engines = [
            harness.gateway._choose_engine(harness.submit("one"), harness.now) for _ in range(12)
        ]
        self.check("two_choice", [f"engine {harness.engines.index(engine)}" for engine in chosen_engines])

    def test_engine_that_fails_quickly_is_suspected(self) -> None:
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

    def test_silent_engine_is_suspected_and_its_attempts_are_retried(self) -> None:
        harness = PolicyHarness(settings(), engines=3)
        requests_in_flight = [
            harness.submit(f"s{number}", 1, left_ms=9000, estimated_work_us=200_000) for number in range(3)
        ]
        for request in requests_in_flight:
            if request.current_attempt.engine is not harness.engines[0]:
                harness.run(100)
                harness.finish_attempt(request, Outcome.SUCCEEDED)
        harness.run(700)
        for request in requests_in_flight:
            if request.current_attempt and request.current_attempt.cancel_requested:
                harness.finish_attempt(request, Outcome.CANCELLED)
        harness.submit("after the suspicion")
        harness.lines.append(
            "suspected: "
            + ", ".join(str(engine.policy_state.health.is_suspected) for engine in harness.engines)
        )
        self.check("silence", harness.lines)

    def test_attempt_with_bad_plan_is_retried_once(self) -> None:
        harness = PolicyHarness(settings(FamilyInfo={"TellsEvery": 500.0}))
        (
            harness.gateway.request_classes[1].latency.sample_count,
            harness.gateway.request_classes[1].latency.mean_us,
        ) = 20, 400_000
        slow_request = harness.submit("bad plan, then heavy by itself", 1, left_ms=9000)
        for _ in range(2):
            harness.run(500)
            harness.gateway.on_progress(
                slow_request.attempts[-1], ProgressKind.FRACTION_DONE, 0.05, harness.now
            )
            if slow_request.attempts[-1].cancel_requested:
                harness.finish_attempt(slow_request, Outcome.CANCELLED)
        harness.run(500)
        harness.finish_attempt(slow_request, Outcome.SUCCEEDED)
        self.check("bad_plan", harness.lines)

    def test_old_load_report_decays_to_fleet_mean(self) -> None:
        harness, lines = PolicyHarness(settings(), engines=4), []
        busy_engine, *other_engines = harness.engines
        harness.gateway.on_probe_finished(busy_engine, Outcome.SUCCEEDED, {"concurrent": 13.0}, harness.now)
        for concurrent_requests in (1.0, 13.0):
            for seconds in range(4):
                signals = busy_engine.policy_state.signals
                freshness = signals.freshness(harness.now)
                signal_values = (
                    f"{signals.other_threads_now(harness.now):.2f}, "
                    f"{signals.resource_pressure_at(freshness):.2f}, {freshness:.2f}"
                )
                is_under_pressure = busy_engine.policy_state.is_under_pressure(harness.now)
                lines.append(
                    f"{seconds} s on, others with {concurrent_requests}: {signal_values}, "
                    f"pressed {is_under_pressure}"
                )
                for engine in other_engines:
                    harness.gateway.on_probe_finished(
                        engine, Outcome.SUCCEEDED, {"concurrent": concurrent_requests}, harness.now
                    )
                harness.run(1000)
        self.check("old_reports", lines)

    def test_least_loaded_engine_is_third_candidate_and_suspected_one_last_resort(self) -> None:
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
        suspected_state = harness.engines[3].policy_state
        for engine in harness.engines:
            engine.policy_state.limit.value, engine.policy_state.signals.overloaded_until_us = (
                0.0,
                harness.now + WINDOW_US,
            )
        (
            suspected_state.limit.value,
            suspected_state.health.is_suspected,
            suspected_state.health.next_probe_us,
        ) = (
            9.0,
            True,
            harness.now + WINDOW_US,
        )
        for suspected_state.health.is_unresponsive in (False, True):
            queued_request = harness.submit("two")
            for now_us, text in (
                (harness.now, "it can wait"),
                (queued_request.latest_dispatch_us, "it can't"),
            ):
                chosen = harness.gateway._choose_engine(queued_request, now_us)
                kind = "unresponsive" if suspected_state.health.is_unresponsive else "failing"
                lines.append(f"the rest full, one {kind}, {text}: {chosen and harness.engines.index(chosen)}")
        self.check("choices", lines)

    def test_queued_requests_avoid_failing_engine_until_latest_dispatch(self) -> None:
        harness = PolicyHarness(settings(), engines=2)
        failing_engine, full_engine = harness.engines
        for engine in harness.engines:
            engine.policy_state.signals.overloaded_until_us = harness.now + 10 * WINDOW_US
        full_engine.policy_state.limit.value = 0.0
        (
            failing_engine.policy_state.health.is_suspected,
            failing_engine.policy_state.health.next_probe_us,
            failing_engine.policy_state.health.probe_streak,
        ) = True, 2**60, -3
        for number in range(3):
            harness.submit(f"s{number}", left_ms=4000)
        harness.run(200)
        full_engine.policy_state.limit.value = 2.0
        harness.run(4000)
        self.check("last_chance", harness.lines)

    def test_request_is_not_retried_after_two_failures(self) -> None:
        harness = PolicyHarness(settings(), engines=4)
        failing_request = harness.submit("what no engine can run", left_ms=9000)
        while failing_request.current_attempt:
            harness.finish_attempt(failing_request, Outcome.FAILED)
        self.check("two_errors", harness.lines)

    def test_connection_faults_count_differently_from_failed_requests(self) -> None:
        lines = []
        for outcome in (Outcome.FAILED, Outcome.PROTOCOL_ERROR, Outcome.CONNECTION_LOST, Outcome.UNREACHABLE):
            for successes in (8, 0):
                harness = PolicyHarness(settings(), engines=1)
                for number in range(successes + 3):
                    request = harness.submit(f"s{number}")
                    if request.current_attempt:  # otherwise it is queued, as the only engine is suspected
                        harness.finish_attempt(request, Outcome.SUCCEEDED if number < successes else outcome)
                state = harness.engines[0].policy_state
                lines.append(
                    f"up to 3 {outcome.value} behind {successes} good: cut {state.limit.has_window_failed}, "
                    f"suspected {state.health.is_suspected}, unresponsive {state.health.is_unresponsive}"
                )
        self.check("links_of_late", lines)

    def test_failing_engine_becomes_unresponsive(self) -> None:
        harness, lines = PolicyHarness(settings(), engines=3), []
        for lost_count, text in ((0, "an error"), (2, "no connection"), (0, "an error again")):
            harness.gateway.recorder.on_fault(harness.engines[0], lost_count, True, harness.now)
            state = harness.engines[0].policy_state
            lines.append(
                f"after {text}: suspected {state.health.is_suspected}, "
                f"unresponsive {state.health.is_unresponsive}"
            )
        self.check("gone_silent", lines)

    def test_simulator_host_rejects_malformed_frames(self) -> None:
        def frame(count: int, body: bytes) -> bytes:
            return wire.HEADER.pack(wire.HEADER.size + len(body), 1000.0, count) + body

        select_instance = struct.pack("<BI", wire.INSTANCE_SELECTED, 3)
        frames = {
            "empty batch": frame(0, b""),
            "ends within its length": b"\x10\x00",
            "ends within its body": frame(1, select_instance)[:-2],
            "length below a header": struct.pack("<I", 3),
            "unknown event": frame(2, select_instance + b"\xc8"),
            "event cut short": frame(2, select_instance + bytes([wire.TIMER, 1])),
            "fewer records than counted": frame(2, select_instance),
            "more bytes than records": frame(1, select_instance + b"\x00"),
            "event before any on": frame(1, struct.pack("<BI", wire.REQUEST_CANCELLED, 1)),
            "unknown list": frame(2, select_instance + struct.pack("<BBIH", wire.ENDPOINTS, 1, 1, 9)),
            "instance never created": frame(
                2, select_instance + struct.pack("<BI", wire.REQUEST_CANCELLED, 1)
            ),
            "failing decisions": frame(2, select_instance + struct.pack("<BQI", wire.CREATE, 1, 2) + b"[]"),
        }
        lines = []
        for name, frame_bytes in frames.items():
            reply, stderr = io.BytesIO(), io.StringIO()
            with contextlib.redirect_stderr(stderr):
                code = simulator_host.serve(io.BytesIO(frame_bytes), reply)
            error_text = stderr.getvalue().strip()
            lines.append(f"{name}: exit {code}, {len(reply.getvalue())} bytes answered, {error_text}")
            if len(reply.getvalue()) > 8:
                lines.append(f"    {reply.getvalue()[13 + 3 :].decode()}")
        self.check("malformed", lines)

    def test_requests_avoid_engines_with_locked_data_set(self) -> None:
        harness = PolicyHarness(
            settings(FamilyInfo={"Loads": [False, True], "WaitsForLoads": [True, False], "TellsEvery": 500.0})
        )
        harness.submit("load of set 7", 1, left_ms=9000, data_set=7)
        for number in range(3):
            harness.submit(f"of set 7, {number}", data_set=7)
        waiting_request = harness.submit("of set 9", data_set=9)
        harness.gateway.on_progress(
            waiting_request.current_attempt, ProgressKind.WAITING_FOR_DATA_SET, 2, harness.now
        )
        if waiting_request.current_attempt.cancel_requested:
            harness.finish_attempt(waiting_request, Outcome.CANCELLED)
        for number in range(3):
            harness.submit(f"of set 9, {number}", data_set=9)
        self.check("loads", harness.lines)

    def test_own_zone_is_preferred_while_it_has_capacity(self) -> None:
        harness = PolicyHarness(settings(Zone=1), engines=3)
        harness.update_endpoints({engine: {"zone": number} for number, engine in enumerate(harness.engines)})
        for number in range(5):
            harness.submit(f"s{number}")
        self.check("own_zone", harness.lines)

    def test_data_loads_wait_while_data_set_is_locked_on_a_third_of_engines(self) -> None:
        harness = PolicyHarness(
            settings(FamilyInfo={"Loads": [False, True], "WaitsForLoads": [True, False]}), engines=3
        )
        data_loads = [
            harness.submit(f"load of set 7, {number}", 1, left_ms=9000, data_set=7) for number in range(3)
        ]
        harness.submit("load of set 8", 1, left_ms=9000, data_set=8)
        harness.run(200)
        harness.finish_attempt(data_loads[0], Outcome.SUCCEEDED)
        self.check("hot_set", harness.lines)

    def test_request_that_must_not_repeat_avoids_engine_with_failures(self) -> None:
        harness = PolicyHarness(settings({"Effect": "at_most_once"}))
        failed_request = harness.submit("cut off", left_ms=9000)
        harness.gateway.on_probe_finished(
            failed_request.current_attempt.engine, Outcome.SUCCEEDED, {}, harness.now
        )
        harness.finish_attempt(failed_request, Outcome.FAILED)
        for number in range(4):
            harness.submit(f"at most once {number}", left_ms=9000)
        self.check("avoids_faults", harness.lines)

    def test_load_reports_that_enforce_the_limit(self) -> None:
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

    def test_health_checks_are_sent_in_proportion_to_requests(self) -> None:
        harness = PolicyHarness(settings(Limits={"Probes": True}, Report={"Source": "on_probe"}), engines=10)
        for number in range(5):
            harness.submit(f"s{number}")
        harness.run(1000)
        for number in range(40):
            harness.submit(f"t{number}")
        harness.run(1000)
        self.check("probes", [line for line in harness.lines if "probe" in line])

    def test_heavy_request_is_given_up_while_others_are_queued(self) -> None:
        harness = PolicyHarness(settings(FamilyInfo={"TellsEvery": 500.0}))
        (
            harness.gateway.request_classes[1].latency.sample_count,
            harness.gateway.request_classes[1].latency.mean_us,
        ) = 20, 400_000
        heavy_request = harness.submit("heavy", 1, left_ms=20_000)
        for _ in range(2):
            harness.run(300)
            harness.gateway.on_progress(
                heavy_request.current_attempt, ProgressKind.FRACTION_DONE, 0.01, harness.now
            )
            if not heavy_request.is_finished:
                harness.finish_attempt(heavy_request, Outcome.CANCELLED)
                fill(harness)
        harness.finish_attempt(heavy_request, Outcome.CANCELLED)
        self.check("heavy", [line for line in harness.lines if "filler" not in line])

    def test_request_is_given_up_when_progress_shows_it_will_be_late(self) -> None:
        harness = PolicyHarness(settings(FamilyInfo={"TellsEvery": 500.0}))
        (
            harness.gateway.request_classes[1].latency.sample_count,
            harness.gateway.request_classes[1].latency.mean_us,
        ) = 20, 3_000_000
        for name, fraction in (("too late", 0.15), ("in time", 0.5)):
            slow_request = harness.submit(name, 1, left_ms=6000)
            for duration_ms in (500, 1000):
                harness.run(duration_ms)
                if not slow_request.is_finished:
                    harness.gateway.on_progress(
                        slow_request.current_attempt, ProgressKind.FRACTION_DONE, fraction, harness.now
                    )
            harness.finish_attempt(
                slow_request, Outcome.CANCELLED if slow_request.is_finished else Outcome.SUCCEEDED
            )
        self.check("too_late", harness.lines)

    def test_response_tries_only_first_queued_requests(self) -> None:
        """With thousands queued, trying all of them for each response would be too slow."""
        harness = PolicyHarness(settings(), engines=1)
        running = fill(harness)
        for number in range(200):
            harness.submit(f"queued {number}", left_ms=9000, estimated_work_us=1000)
        tried_requests = []

        def may_run(queues: OrderingKeyQueues, request: Request, now_us: int) -> bool:
            tried_requests.append(request)
            return False

        with mock.patch.object(OrderingKeyQueues, "may_run", may_run):
            harness.finish_attempt(running[0], Outcome.SUCCEEDED)
            response_tries = len(tried_requests)
            harness.run(100)
        self.check(
            "few_tried",
            [f"an answer looks at {response_tries}, the sweep at {len(tried_requests) - response_tries}"],
        )
