"""Attempts that race with the end of their request, engine, client connection or deduplication window.

Guards against sending an attempt that must not be sent any more, and against two outcomes of one attempt.
All stages of the pipeline and the policy are the real ones. `PipelineHarness` has connections that the test
establishes; `LoopbackConnectionTest` runs a gateway over loopback with connects that wait for the test.
"""

from __future__ import annotations

import contextlib
import errno
import io
import json
import socket
import unittest
from collections.abc import Awaitable, Callable
from unittest import mock

import anyio
import hiredis

from cresstray.clients.connection_registry import ConnectionRegistry
from cresstray.clients.session import ClientSession
from cresstray.discovery.endpoint_list import Endpoint, EndpointEvent
from cresstray.engines import connection as engine_connection
from cresstray.engines.connection_state import EngineConnection
from cresstray.engines.in_flight import InFlightRequest
from cresstray.model_checking.world import VirtualClock
from cresstray.observability.counters import Counters
from cresstray.pipeline.accounting import RequestAccounting
from cresstray.pipeline.admission import Admission
from cresstray.pipeline.dispatch import Dispatcher
from cresstray.pipeline.ingress import Ingress
from cresstray.pipeline.policy_port import PipelinePolicyPort
from cresstray.pipeline.response import ResponseHandler
from cresstray.pipeline.routing import Router
from cresstray.policy.controller import PolicyController
from cresstray.policy.settings import parse_settings
from cresstray.policy.types import EndpointState, Outcome
from cresstray.transport.streams import connect
from tests.harness import START_US, ClientStandIn, settings
from tests.test_admission_rules import FakeAdmissionRules
from tests.test_client_session import FakeTransport
from tests.test_links import FakeConnection, FakePool
from tests.test_service import GatewayHarness, make_endpoint

MILLISECOND_US = 1_000
EFFECTS = {"read": "idempotent", "post": "at_most_once", "keyed": "deduplicated"}
SERVICES = [{"Name": name, "Effect": effect, "KeyTtl": 1000.0} for name, effect in EFFECTS.items()]


class Query:
    def __init__(self, name: str, class_name: str, timeout_ms: float) -> None:
        self.name, self.class_name, self.timeout_ms, self.tenant = name, class_name, timeout_ms, ""
        self.idempotency_key = name if class_name == "keyed" else ""
        self.estimated_work_ms, self.memory_mb, self.statement = 0.0, 0.0, b"select 1"


class RecordingClient:
    """A client that records its answers.

    `has_closed`: it has closed its connection, which the gateway has not read yet.
    """

    def __init__(self) -> None:
        self.open_requests: dict[int, object] = {}
        self.answers: list[str] = []
        self.has_closed = False
        self.disconnect_checks = 0

    def has_left(self, number: int) -> bool:
        self.disconnect_checks += 1
        return self.has_closed

    def _record_answer(self, number: int, outcome: str) -> None:
        self.answers.append(f"{self.open_requests.pop(number).query.name} {outcome}")

    def succeed(self, number: int, result: bytes, replica_position: str | None = None) -> None:
        self._record_answer(number, "succeeded")

    def reject(self, number: int, retry_after_us: int) -> None:
        self._record_answer(number, "rejected")

    def fail(self, number: int) -> None:
        self._record_answer(number, "failed")

    def reject_malformed(self, number: int | None, text: str) -> None:
        raise AssertionError(text)


class PipelineHarness:
    """The pipeline and the policy between one client and engines whose connections the test controls."""

    def __init__(self, engines: int = 1, cancel: bool = True, **safety: float) -> None:
        configuration = settings(*SERVICES, Limits={"Cancel": cancel, "StreamsPerConn": 32}, Safety=safety)
        self.clock, self.counters = VirtualClock(START_US), Counters()
        self.pools: list[FakePool] = []
        self.accounting = RequestAccounting(self.counters)
        self.responses = ResponseHandler(self.clock, self.counters, self.accounting)
        timers = self.timers = FakePool(self.clock).timers
        self.dispatcher = Dispatcher(self.clock, timers, self.counters, self.responses)
        self.router = Router(self._make_pool, self.dispatcher)
        log = type("NoLog", (), {"log": lambda self, kind, text: None})()
        port = PipelinePolicyPort(self.router, self.dispatcher, self.accounting, timers, self.counters, log)
        self.controller = PolicyController(port, parse_settings(configuration), 7, self.clock.now())
        admission = Admission(self.accounting)
        self.responses.controller = admission.controller = self.controller
        self.ingress = Ingress(configuration, self.controller.request_classes, self.clock, admission)
        self.client, self.request_count = RecordingClient(), 0
        self.set_engine_states(*(EndpointState.READY for _ in range(engines)), complete=True)

    def _make_pool(self, label: str, address: tuple[str, int]) -> FakePool:
        self.pools.append(FakePool(self.clock))
        self.pools[-1].address, self.pools[-1]._timers = address, self.timers
        return self.pools[-1]

    def set_engine_states(self, *states: EndpointState, complete: bool = False) -> None:
        """Applies an endpoint event in the way EndpointUpdates does."""
        endpoints = [Endpoint(number, "e", number, state, 0, 0, 0, 0) for number, state in enumerate(states)]
        event = EndpointEvent(1, complete, endpoints)
        self.controller.on_endpoints_updated(self.router.apply_event(event), complete, self.clock.now())

    def submit(self, name: str, class_name: str = "read", timeout_ms: float = 3000) -> None:
        self.request_count += 1
        self.ingress.accept(self.client, self.request_count, Query(name, class_name, timeout_ms))

    def cancel(self, number: int = 1) -> None:
        self.ingress.cancel(self.client, number, None)

    def disconnect(self) -> None:
        self.ingress.on_disconnected(self.client)

    def advance(self, milliseconds: float) -> None:
        end_us = self.clock.at + int(milliseconds * MILLISECOND_US)
        while (remaining_us := self.timers.run_due()) is not None and self.clock.at + remaining_us <= end_us:
            self.clock.at += remaining_us
        self.clock.at = end_us

    def stop_process(self, milliseconds: int) -> None:
        """The process is stopped: the time advances and no timer runs."""
        self.clock.at += milliseconds * MILLISECOND_US

    def connection(self, engine: int = 0, number: int = -1) -> FakeConnection:
        return self.pools[engine].created[number]

    def connections(self) -> list[FakeConnection]:
        return [connection for pool in self.pools for connection in pool.created]

    def sent_lines(self) -> list[str]:
        return [
            line
            for connection in self.connections()
            if connection.transport is not None
            for line in connection.fake_transport.received_commands()
        ]

    def outcomes(self) -> dict[str, int]:
        """The number of attempts by outcome."""
        counts = {outcome.value: self.counters.counts[f"attempts {outcome.value}"] for outcome in Outcome}
        return {name: count for name, count in counts.items() if count}


class PipelineTestCase(unittest.TestCase):
    def assert_nothing_left(self, harness: PipelineHarness) -> None:
        """No answer is owed, no attempt is in flight and no request is open on a connection."""
        remaining = [
            harness.accounting.open_requests,
            harness.responses.in_flight,
            harness.responses._reports,
            harness.client.open_requests,
            harness.controller.admission_queue.first_attempts,
        ]
        remaining += [connection.in_flight.open for pool in harness.pools for connection in pool.connections]
        self.assertEqual([], [collection for collection in remaining if collection])
        self.assertEqual([], [error for pool in harness.pools for error in pool.faults])
        policy_states = [engine.policy_state for engine in harness.controller.engines]
        self.assertEqual(
            [], [state for state in policy_states if state.limit.running_threads or state.limit.attempts]
        )


class LateHandlingTest(PipelineTestCase):
    """A request whose line is handled long after it was received, as its connection waits for a turn."""

    def submit_late(self, harness: PipelineHarness, timeout_ms: int, late_ms: int) -> list[str]:
        registry = ConnectionRegistry(
            frozenset(EFFECTS),
            harness.ingress,
            lambda: 10,
            10,
            harness.clock.now,
            harness.counters,
            lambda kind, text: None,
        )
        lines: list[str] = []
        session = ClientSession(registry, FakeTransport(lines))
        params = {"req": "0" * 16, "timeout": timeout_ms, "data": "c2VsZWN0IDE="}
        line = json.dumps({"jsonrpc": "2.0", "id": 1, "method": "read", "params": params}).encode()
        session.buffer(line + b"\n", harness.clock.now())
        harness.stop_process(late_ms)
        session.handle_buffered()
        return lines

    def test_engine_is_told_what_is_left_of_the_timeout(self) -> None:
        """Guards against a deadline that counts from the turn in which a request is handled."""
        harness = PipelineHarness()
        lines = self.submit_late(harness, 2000, late_ms=1200)
        harness.connection().come_up()
        harness.advance(500)
        self.assertEqual([], lines)
        harness.advance(300)
        self.assertEqual(1, len(lines))
        self.assert_nothing_left(harness)

    def test_request_whose_time_is_over_is_rejected_at_once_and_not_sent(self) -> None:
        harness = PipelineHarness()
        lines = self.submit_late(harness, 2000, late_ms=2100)
        codes = [json.loads(line.removeprefix("hears "))["error"]["code"] for line in lines]
        self.assertEqual([-32000], codes)
        self.assertEqual([], harness.connections())
        self.assert_nothing_left(harness)


class OpenNameTest(PipelineTestCase):
    def test_name_of_a_request_that_is_open_for_long_is_not_taken_again(self) -> None:
        """Guards against a request that is served under the name of one that another client waits for."""
        for open_until in ("answered", "cancelled, and its attempt runs on"):
            harness = PipelineHarness(cancel=False)
            harness.submit("0a", timeout_ms=60_000)
            harness.connection().come_up()
            for number in range(4):
                harness.advance(10_000)
                harness.submit(f"{number:016x}")
            if open_until != "answered":
                harness.cancel()
            with self.assertRaisesRegex(AssertionError, "used before"):
                harness.submit("0a")
            harness.connection(number=0).answer("0a", "served", "sheets=1", "a\tb\tc\n")
            with self.assertRaisesRegex(AssertionError, "used before"):
                harness.submit("0a")  # its client sent it before the answer
            self.assertEqual(1, harness.sent_lines().count("ASK 0a"))


class LateConnectionTest(PipelineTestCase):
    """A connection is established after its attempt has ended; nothing may be sent over it."""

    def test_request_cancelled_before_connect_is_not_sent(self) -> None:
        for cancel in (True, False):
            harness = PipelineHarness(cancel=cancel)
            harness.submit("a")
            harness.cancel()
            harness.connection().come_up()  # before the timer of the cancellation
            self.assertEqual(([], {"expired before send": 1}), (harness.sent_lines(), harness.outcomes()))
            harness.advance(100)
            self.assertEqual([], harness.client.answers)
            self.assert_nothing_left(harness)

    def test_request_is_not_sent_after_a_disconnect_that_was_read(self) -> None:
        for cancel in (True, False):
            harness = PipelineHarness(cancel=cancel)
            harness.submit("a")
            harness.disconnect()
            if cancel:
                harness.advance(1)
            harness.connection().come_up()
            self.assertEqual([], harness.sent_lines())
            self.assert_nothing_left(harness)

    def test_request_is_not_sent_after_a_disconnect_that_was_not_read(self) -> None:
        harness = PipelineHarness()
        harness.submit("a")
        harness.client.has_closed = True
        harness.advance(30)
        harness.connection().come_up()
        harness.advance(10)
        self.assertEqual(
            ([], {"expired before send": 1}, []),
            (harness.sent_lines(), harness.outcomes(), harness.client.answers),
        )
        self.assertEqual(1, harness.counters.counts["requests cancelled"])
        self.assert_nothing_left(harness)

    def test_written_attempt_runs_on_where_cancellation_is_disabled(self) -> None:
        harness = PipelineHarness(cancel=False)
        harness.submit("a")
        harness.connection().come_up()
        harness.cancel()
        harness.advance(10)
        self.assertEqual(["ASK a"], harness.sent_lines())
        harness.connection().answer("a", "served", "sheets=1", "a\tb\tc\n")
        self.assertEqual(([], {"succeeded": 1}), (harness.client.answers, harness.outcomes()))
        self.assert_nothing_left(harness)

    def test_timeout_before_connect_rejects_the_request(self) -> None:
        """It has not run, so an unsafe request is rejected as well, and its client may retry it."""
        for class_name in ("read", "post"):
            harness = PipelineHarness()
            harness.submit("a", class_name, timeout_ms=1000)
            harness.advance(1000)
            self.assertEqual(
                (["a rejected"], {"expired before send": 1}), (harness.client.answers, harness.outcomes())
            )
            harness.connection().come_up()
            self.assertEqual([], harness.sent_lines())
            self.assert_nothing_left(harness)

    def test_timeout_after_send_rejects_idempotent_and_fails_unsafe_requests(self) -> None:
        for class_name, answer in (("read", "rejected"), ("post", "failed")):
            harness = PipelineHarness()
            harness.submit("a", class_name, timeout_ms=1000)
            harness.connection().come_up()
            harness.advance(1000)
            self.assertEqual(
                ([f"a {answer}"], {"timed out": 1}), (harness.client.answers, harness.outcomes())
            )
            self.assert_nothing_left(harness)

    def test_request_goes_to_another_engine_when_its_engine_drains_or_is_removed(self) -> None:
        for state in (EndpointState.DRAINING, EndpointState.REMOVED):
            harness = PipelineHarness(engines=2)
            harness.submit("a", "post")
            first_connection = next(connection for connection in harness.connections())
            pool = first_connection.pool
            gone = harness.pools.index(pool)
            states = [EndpointState.READY, EndpointState.READY]
            states[gone] = state
            harness.set_engine_states(*states)
            first_connection.come_up()
            other = harness.connection(1 - gone)
            self.assertEqual([], first_connection.fake_transport.received_commands())
            self.assertEqual(["ASK a"], other.come_up().received_commands())
            other.answer("a", "served", "sheets=1", "a\tb\tc\n")
            self.assertEqual(["a succeeded"], harness.client.answers)
            self.assert_nothing_left(harness)

    def test_unsent_attempts_are_retried_at_once_when_their_engine_drains(self) -> None:
        """At once, not when the connection is established; the retries go to another engine only."""
        harness = PipelineHarness(engines=2)
        for name in "abcd":
            harness.submit(name, "post")
        drained = harness.pools.index(harness.connections()[0].pool)
        states = [EndpointState.READY, EndpointState.READY]
        states[drained] = EndpointState.DRAINING
        harness.set_engine_states(*states)
        harness.pools[drained].cancel_unwritten()
        harness.pools[drained].cancel_unwritten()
        self.assertEqual(
            {},
            {
                name: connection
                for connection in harness.pools[drained].connections
                for name in connection.in_flight.open
            },
        )
        harness.advance(1)
        for connection in harness.pools[1 - drained].created:
            connection.come_up()
        self.assertEqual(["ASK a", "ASK b", "ASK c", "ASK d"], sorted(harness.sent_lines()))

    def test_engine_is_told_what_is_left_when_its_connection_is_up(self) -> None:
        """Guards against a deadline passed on that is later than the client's by a dial."""
        for connect_ms in (0, 400, 1_500):
            with self.subTest(connect_ms=connect_ms):
                harness = PipelineHarness()
                harness.submit("a", timeout_ms=3_000)
                harness.advance(connect_ms)
                sent = harness.connection().come_up().sent
                self.assertIn(b"w=%d" % (3_000 - connect_ms - 100), sent)

    def test_request_is_not_sent_once_the_rules_of_the_fleet_forbid_it(self) -> None:
        """Guards against a write to a former primary: the placement changes while the connection is made."""
        for change in ("engine", "lease", "nothing"):
            with self.subTest(change=change):
                harness = PipelineHarness(engines=2)
                rules = harness.controller.admission_rules = FakeAdmissionRules()
                harness.submit("a", "post")
                first_connection = harness.connections()[0]
                if change == "engine":
                    rules.denied_engines = {next(iter(harness.responses.in_flight)).engine}
                elif change == "lease":
                    rules.gateways = 0
                sent = first_connection.come_up().received_commands()
                self.assertEqual(["ASK a"] if change == "nothing" else [], sent)
                if change == "engine":
                    second_connection = next(
                        connection
                        for connection in harness.connections()
                        if connection is not first_connection
                    )
                    self.assertEqual(["ASK a"], second_connection.come_up().received_commands())

    def test_request_goes_to_the_new_address_of_a_restarted_engine(self) -> None:
        harness = PipelineHarness()
        harness.submit("a", "post")
        first_connection = harness.connection()
        event = EndpointEvent(2, False, [Endpoint(0, "f", 9, EndpointState.READY, 0, 0, 0, 0)])
        harness.controller.on_endpoints_updated(harness.router.apply_event(event), False, harness.clock.now())
        harness.advance(1)
        self.assertEqual([], first_connection.come_up().received_commands())
        self.assertEqual(["ASK a"], harness.connection().come_up().received_commands())
        self.assertEqual({"expired before send": 1}, harness.outcomes())

    def test_retry_is_not_sent_after_the_deduplication_window(self) -> None:
        """A retry may be sent 949 ms after the first attempt but not 950 ms after it (window less margin)."""
        for delay_ms, sent_lines in ((949, ["ASK a", "ASK a"]), (950, ["ASK a"])):
            harness = PipelineHarness(engines=2)
            harness.submit("a", "keyed")
            first_connection = harness.connections()[0]
            first_connection.come_up()
            harness.advance(5)
            first_connection.on_closed()
            second_connection = next(
                connection for connection in harness.connections() if connection is not first_connection
            )
            harness.stop_process(delay_ms - 5)
            second_connection.come_up()
            self.assertEqual(sent_lines, harness.sent_lines())

    def test_retry_is_not_sent_if_the_window_ends_while_the_process_is_stopped(self) -> None:
        harness = PipelineHarness(engines=2)
        harness.submit("a", "keyed")
        harness.connections()[0].come_up()
        attempt, time_before_stop_us = next(iter(harness.responses.in_flight)), harness.clock.now()
        harness.responses.in_flight.pop(attempt).timeout.cancel()
        harness.stop_process(1000)
        harness.controller.on_attempt_finished(
            attempt, Outcome.CONNECTION_LOST, 0, False, {}, time_before_stop_us
        )
        self.assertEqual(1, len(harness.connections()))
        harness.advance(0)
        self.assertEqual(({"expired before send": 1}, ["ASK a"]), (harness.outcomes(), harness.sent_lines()))

    def test_rejected_attempt_does_not_start_the_deduplication_window(self) -> None:
        harness = PipelineHarness(engines=2)
        harness.submit("a", "keyed")
        first_connection = harness.connections()[0]
        first_connection.come_up()
        first_connection.answer("a", "overload")
        second_connection = next(
            connection for connection in harness.connections() if connection is not first_connection
        )
        harness.stop_process(1500)
        second_connection.come_up()
        self.assertEqual(["ASK a", "ASK a"], harness.sent_lines())

    def test_request_is_not_sent_after_its_timeout_if_no_timer_has_run(self) -> None:
        harness = PipelineHarness()
        harness.submit("a", "post", 1000)
        harness.stop_process(950)
        harness.connection().come_up()
        self.assertEqual(([], ["a rejected"]), (harness.sent_lines(), harness.client.answers))
        self.assert_nothing_left(harness)

    def test_attempt_cancelled_by_the_policy_while_connecting_is_not_sent(self) -> None:
        harness = PipelineHarness(engines=2)
        harness.submit("a")
        first_connection = harness.connections()[0]
        attempt = next(iter(harness.responses.in_flight))
        harness.controller._cancel_and_retry(attempt, harness.clock.now())
        first_connection.come_up()
        harness.advance(1)
        self.assertEqual(([], {"expired before send": 1}), (harness.sent_lines(), harness.outcomes()))

    def test_refused_connection_allows_a_retry_of_an_unsafe_request(self) -> None:
        """A refused connection proves that the request did not run, so another engine gets it."""
        harness = PipelineHarness(engines=2)
        harness.submit("a", "post")
        first_connection = harness.connections()[0]
        first_connection.on_closed()
        second_connection = next(
            connection for connection in harness.connections() if connection is not first_connection
        )
        second_connection.come_up()
        self.assertEqual((["ASK a"], {"unreachable": 1}), (harness.sent_lines(), harness.outcomes()))


class RetryTest(PipelineTestCase):
    def test_no_retry_after_a_disconnect_that_was_not_read(self) -> None:
        """The client has closed its connection, which the gateway has not read when the attempt ends."""
        harness = PipelineHarness(engines=2)
        harness.submit("a")
        harness.connections()[0].come_up()
        harness.advance(30)
        harness.client.has_closed = True
        harness.connections()[0].answer("a", "crashed")
        harness.advance(0)
        self.assertEqual(
            (1, {"failed": 1, "expired before send": 1}), (len(harness.connections()), harness.outcomes())
        )
        self.assertEqual(([], 1), (harness.client.answers, harness.counters.counts["requests cancelled"]))
        harness.disconnect()
        self.assert_nothing_left(harness)

    def test_queued_request_is_not_sent_after_a_disconnect_that_was_not_read(self) -> None:
        harness = PipelineHarness()
        harness.set_engine_states(EndpointState.DRAINING)
        harness.submit("a")
        harness.advance(30)
        harness.client.has_closed = True
        harness.set_engine_states(EndpointState.READY)
        harness.advance(0)
        self.assertEqual(([], []), (harness.connections(), harness.client.answers))
        self.assert_nothing_left(harness)

    def test_disconnect_read_before_the_attempt_ends_is_counted_once(self) -> None:
        for cancel in (True, False):
            harness = PipelineHarness(cancel=cancel)
            harness.set_engine_states(EndpointState.DRAINING)
            harness.submit("a")
            harness.advance(30)
            harness.client.has_closed = True
            harness.set_engine_states(EndpointState.READY)
            harness.disconnect()
            harness.advance(0)
            self.assertEqual(([], 1), (harness.connections(), harness.counters.counts["requests cancelled"]))
            self.assert_nothing_left(harness)

    def test_request_sent_at_once_does_not_check_the_client_connection(self) -> None:
        harness = PipelineHarness()
        harness.submit("a")
        harness.connection().come_up()
        harness.submit("b")
        self.assertEqual(0, harness.client.disconnect_checks)

    def test_unsafe_request_is_retried_only_if_it_has_certainly_not_run(self) -> None:
        """Each case: what the connection receives, the outcome, and whether an unsafe request is retried."""
        cases = (
            (lambda connection: connection.answer("a", "overload"), "overloaded", True),
            (lambda connection: connection.answer("a", "nobody"), "expired before send", True),
            (lambda connection: connection.answer("a", "crashed"), "failed", False),
            (lambda connection: connection.on_closed(), "connection lost", False),
            (self._receive_corrupt_answer, "protocol error", False),
        )
        for receive, outcome, is_retried in cases:
            with self.subTest(outcome):
                harness = PipelineHarness(engines=2)
                harness.submit("a", "post")
                first_connection = harness.connections()[0]
                first_connection.come_up()
                receive(first_connection)
                self.assertEqual({outcome: 1}, harness.outcomes())
                self.assertEqual(2 if is_retried else 1, len(harness.connections()))
                self.assertEqual([] if is_retried else ["a failed"], harness.client.answers)

    def _receive_corrupt_answer(self, connection: FakeConnection) -> None:
        with self.assertRaises(engine_connection.codec.EngineProtocolError):
            connection.answer("a", "served", "sheets=1", "\0")
        connection.is_corrupt = True
        connection.on_closed()

    def test_rejection_after_the_first_page_is_ignored(self) -> None:
        """The request has run; a later rejection or expiry does not prove the opposite."""
        for word in ("overload", "nobody", "green", "served"):
            harness = PipelineHarness(engines=2)
            harness.submit("a", "post", 1000)
            first_connection = harness.connections()[0]
            first_connection.come_up()
            first_connection.answer("a", "rows", "sheet=1", "x\ty\tz\n")  # before the first page
            first_connection.answer("a", "served", "sheets=2", "a\tb\tc\n")
            first_connection.answer("a", word, "-", "")
            self.assertEqual(
                ({}, 1, 2),
                (harness.outcomes(), len(harness.connections()), self._unexpected_answers(harness)),
            )
            harness.advance(1000)
            self.assertEqual(({"timed out": 1}, ["a failed"]), (harness.outcomes(), harness.client.answers))
            self.assertEqual(["ASK a", "NEXT a", "FREE a"], harness.sent_lines())
            self.assert_nothing_left(harness)

    def test_error_after_the_first_page_fails_the_request(self) -> None:
        harness = PipelineHarness(engines=2)
        harness.submit("a", "post")
        first_connection = harness.connections()[0]
        first_connection.come_up()
        first_connection.answer("a", "served", "sheets=3", "a\tb\tc\n")
        first_connection.answer("a", "crashed")
        first_connection.answer("a", "crashed")  # the answer for the other page
        first_connection.answer("a", "rows", "sheet=1", "x\ty\tz\n")
        self.assertEqual((["a failed"], {"failed": 1}), (harness.client.answers, harness.outcomes()))
        self.assertEqual(2, self._unexpected_answers(harness))
        self.assert_nothing_left(harness)

    def test_duplicate_page_is_ignored(self) -> None:
        harness = PipelineHarness()
        harness.submit("a")
        connection = harness.connection()
        connection.come_up()
        connection.answer("a", "served", "sheets=3", "0\t0\t0\n")
        connection.answer("a", "rows", "sheet=2", "2\t2\t2\n")
        connection.answer("a", "rows", "sheet=2", "3\t3\t3\n")
        connection.answer("a", "rows", "sheet=1", "1\t1\t1\n")
        self.assertEqual((["a succeeded"], 1), (harness.client.answers, self._unexpected_answers(harness)))

    def test_impossible_page_numbers_close_the_connection(self) -> None:
        """The connection is closed as corrupt, and an unsafe request has failed."""
        for first_fields, second_fields in (
            ("sheets=0", ""),
            ("sheets=1000000000", ""),
            ("sheets=2", "sheet=2"),
            ("sheets=2", "sheet=1000000000"),
            ("sheets=2", "sheet=0"),
        ):
            harness = PipelineHarness(engines=2)
            harness.submit("a", "post")
            connection = harness.connections()[0]
            connection.come_up()
            with self.assertRaises(engine_connection.codec.EngineProtocolError):
                connection.answer("a", "served", first_fields, "x\ty\tz\n")
                connection.answer("a", "rows", second_fields, "x\ty\tz\n")
            connection.is_corrupt = True
            connection.on_closed()
            self.assertEqual(
                (["a failed"], {"protocol error": 1}), (harness.client.answers, harness.outcomes())
            )
            self.assert_nothing_left(harness)

    def test_first_of_answer_cancellation_and_timeout_decides_the_outcome(self) -> None:
        """Whichever comes first ends the attempt; the others have no effect."""
        for first_event, outcomes, answers in (
            ("answer", {"succeeded": 1}, ["a succeeded"]),
            ("cancel", {"succeeded": 1}, []),
            ("cancel is due", {"cancelled": 1}, []),
            ("time", {"timed out": 1}, ["a rejected"]),
        ):
            with self.subTest(first_event):
                harness = PipelineHarness()
                harness.submit("a", timeout_ms=1000)
                connection = harness.connection()
                connection.come_up()
                if first_event.startswith("cancel"):
                    harness.cancel()
                if first_event == "cancel is due":
                    harness.advance(0)
                if first_event == "time":
                    harness.advance(900)
                connection.answer("a", "served", "sheets=1", "a\tb\tc\n")
                harness.cancel()
                harness.advance(1000)
                self.assertEqual((outcomes, answers), (harness.outcomes(), harness.client.answers))
                self.assert_nothing_left(harness)

    def test_retry_budget_spaces_retries_by_its_window(self) -> None:
        """Two retries are never closer together than the window, to the millisecond."""
        harness = PipelineHarness(engines=3, BudgetWindow=1000.0, FreeResends=1, ResendRatio=0.0)
        retry_times_us: list[int] = []
        for request_number in range(60):
            harness.submit(f"n{request_number}", timeout_ms=60_000)
            for _ in range(83):
                for attempt, in_flight in list(harness.responses.in_flight.items()):
                    if in_flight.connection.transport is None:
                        in_flight.connection.come_up()
                    retry_times_us += [attempt.sent_us] if attempt.number else []
                    word = "served" if attempt.number else "nobody"
                    in_flight.connection.answer(
                        in_flight.name.decode(), word, "-", "a\tb\tc\n" * attempt.number
                    )
                harness.advance(1)
        gaps_us = [later_us - earlier_us for earlier_us, later_us in zip(retry_times_us, retry_times_us[1:])]
        self.assertGreater(len(gaps_us), 2)
        self.assertGreaterEqual(min(gaps_us), 1000 * MILLISECOND_US)
        self.assertLess(min(gaps_us), 1200 * MILLISECOND_US)

    def test_retry_budget_counts_a_retry_when_it_is_sent(self) -> None:
        """The connection of a retry comes up 200 ms late; the next retry follows one window after that."""
        harness = PipelineHarness(engines=2, BudgetWindow=1000.0, FreeResends=1, ResendRatio=0.0)
        start_us = harness.clock.at
        harness.submit("a", timeout_ms=60_000)
        first_connection = next(iter(harness.connections()))
        first_connection.come_up()
        first_connection.answer("a", "nobody")
        retry_connection = next(
            connection for connection in harness.connections() if connection is not first_connection
        )
        harness.advance(200)
        self.assertEqual(["ASK a"], retry_connection.come_up().received_commands())
        retry_connection.answer("a", "served", "sheets=1", "a\tb\tc\n")
        harness.advance(830)
        harness.submit("b", timeout_ms=60_000)
        second_request_connection = next(
            connection for connection in harness.connections() if connection.in_flight.open
        )
        second_request_connection.answer("b", "nobody")
        while harness.sent_lines().count("ASK b") < 2:
            harness.advance(1)
        self.assertGreaterEqual(harness.clock.at - start_us, 1200 * MILLISECOND_US)
        self.assertLess(harness.clock.at - start_us, 1400 * MILLISECOND_US)

    def _unexpected_answers(self, harness: PipelineHarness) -> int:
        return sum(pool.counters.counts["answers not awaited"] for pool in harness.pools)


class HeldConnects:
    """Replaces streams.connect: each connect waits until `released` is set, or raises `error`."""

    def __init__(self) -> None:
        self.started, self.released = anyio.Event(), anyio.Event()
        self.error: OSError | None = None
        self.count = 0

    async def __call__(self, host: str, port: int) -> socket.socket:
        self.count += 1
        self.started.set()
        if self.error is not None:
            raise self.error
        await self.released.wait()
        return await connect(host, port)


class LoopbackConnectionTest(unittest.TestCase):
    def run_scenario(
        self,
        scenario: Callable[[GatewayHarness, ClientStandIn, HeldConnects], Awaitable],
        engines: int = 1,
        **parts: object,
    ) -> GatewayHarness:
        harness = GatewayHarness(engines, **parts)

        async def main() -> None:
            connects = HeldConnects()

            async def with_connects(harness: GatewayHarness, client: ClientStandIn) -> None:
                await scenario(harness, client, connects)

            with mock.patch.object(engine_connection, "connect", connects):
                await harness.run(with_connects, None)

        with contextlib.redirect_stderr(io.StringIO()):
            anyio.run(main)
        self.assertEqual(0, harness.service.parts.counters.counts["faults"])
        return harness

    async def wait_for_counter(self, harness: GatewayHarness, name: str) -> None:
        with anyio.fail_after(5):
            while not harness.service.parts.counters.counts[name]:
                await anyio.sleep(0.001)

    def test_request_cancelled_while_connecting_is_not_sent(self) -> None:
        for cancel in (True, False):

            async def scenario(
                harness: GatewayHarness, client: ClientStandIn, connects: HeldConnects
            ) -> None:
                await client.send_request(1, "plain one")
                await connects.started.wait()
                await client.send_line({"jsonrpc": "2.0", "method": "withdraw", "params": {"id": 1}})
                await self.wait_for_counter(harness, "requests cancelled")
                connects.released.set()
                await client.send_request(2, "plain two")
                self.assertEqual(2, (await client.receive_response())["id"])

            harness = self.run_scenario(scenario, Limits={"Cancel": cancel, "ConnectTimeout": 10_000})
            self.assertEqual(1, len(harness.engines[0].lines))
            self.assertIn("plain two", harness.engines[0].lines[0])

    def test_request_of_a_client_that_left_while_connecting_is_not_sent(self) -> None:
        async def scenario(harness: GatewayHarness, client: ClientStandIn, connects: HeldConnects) -> None:
            async with await anyio.connect_tcp(*harness.address) as stream:
                await ClientStandIn(stream, harness.lines, names=16).send_request(1, "plain one")
                await connects.started.wait()
            await self.wait_for_counter(harness, "requests cancelled")
            connects.released.set()
            await client.send_request(2, "plain two")
            self.assertEqual(2, (await client.receive_response())["id"])

        harness = self.run_scenario(scenario, Limits={"Cancel": False, "ConnectTimeout": 10_000})
        self.assertEqual(1, len(harness.engines[0].lines))
        self.assertIn("plain two", harness.engines[0].lines[0])

    def test_request_goes_to_another_engine_if_its_engine_drains_while_connecting(self) -> None:
        """The request goes to the other engine, although its class is unsafe to retry."""
        for state in (EndpointState.DRAINING, EndpointState.REMOVED):

            async def scenario(
                harness: GatewayHarness, client: ClientStandIn, connects: HeldConnects, state=state
            ) -> None:
                second = make_endpoint(harness.engines[1].port, 1, EndpointState.DRAINING)
                harness.service.parts.endpoint_updates.on_event(EndpointEvent(2, False, [second]))
                await client.send_request(1, "plain")
                await connects.started.wait()
                endpoints = [
                    make_endpoint(harness.engines[0].port, 0, state),
                    make_endpoint(harness.engines[1].port, 1),
                ]
                harness.service.parts.endpoint_updates.on_event(EndpointEvent(3, False, endpoints))
                connects.released.set()
                self.assertIn("result", await client.receive_response())

            service = {"Effect": "at_most_once"}
            harness = self.run_scenario(scenario, 2, Services=[service], Limits={"ConnectTimeout": 10_000})
            self.assertEqual([0, 1], [len(engine.lines) for engine in harness.engines])

    def test_lack_of_descriptors_is_not_counted_against_the_engine(self) -> None:
        async def scenario(harness: GatewayHarness, client: ClientStandIn, connects: HeldConnects) -> None:
            connects.error = OSError(errno.EMFILE, "too many open files")
            await client.send_request(1, "plain")
            self.assertIn("error", await client.receive_response())
            self.assertEqual(4, connects.count)  # the maximum number of attempts
            connects.error = None
            connects.released.set()
            await client.send_request(2, "plain")
            self.assertIn("result", await client.receive_response())

        harness = self.run_scenario(scenario, Services=[{"Effect": "at_most_once"}])
        counts = harness.service.parts.counters.counts
        self.assertEqual((0, 4), (counts["attempts unreachable"], counts["attempts expired before send"]))

    def test_partly_sent_request_is_not_completed_after_its_cancellation(self) -> None:
        """The engine accepts connections and reads nothing, so that only part of the request can be sent."""

        async def scenario(harness: GatewayHarness, client: ClientStandIn, connects: HeldConnects) -> None:
            connects.released.set()
            with socket.create_server(("127.0.0.1", 0)) as server:
                server.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
                harness.service.parts.endpoint_updates.on_event(
                    EndpointEvent(2, True, [make_endpoint(server.getsockname()[1], 7)])
                )
                await client.send_request(1, "x" * 150_000)
                server.settimeout(5)
                accepted = (await anyio.to_thread.run_sync(server.accept))[0]
                pool = next(iter(harness.service.parts.router._pools.values()))
                while not (pool.connections and pool.connections[0].transport):
                    await anyio.sleep(0.001)
                await client.send_line({"jsonrpc": "2.0", "method": "withdraw", "params": {"id": 1}})
                with anyio.fail_after(5):
                    while pool.connections:
                        await anyio.sleep(0.001)
                received = b""
                with accepted:
                    accepted.settimeout(5)
                    while data := await anyio.to_thread.run_sync(_receive, accepted):
                        received += data
            reader = hiredis.Reader()
            reader.feed(received)
            # If the kernel accepts the whole request, there is no partly sent request to check.
            self.assertEqual(1, len(unsent))
            self.assertEqual(unsent[0] > 0, reader.gets() is False)

        unsent: list[int] = []
        abandon = EngineConnection.abandon

        def record_unsent(connection: EngineConnection, request: InFlightRequest) -> bool:
            # Recorded at the cancellation, because until then more of the request may be sent.
            unsent.append(len(connection.transport.unsent))
            return abandon(connection, request)

        with (
            mock.patch.object(socket.socket, "send", _send_partially),
            mock.patch.object(EngineConnection, "abandon", record_unsent),
        ):
            self.run_scenario(scenario, Limits={"Cancel": True, "ConnectTimeout": 10_000})


def _receive(accepted: socket.socket) -> bytes:
    try:
        return accepted.recv(65536)
    except ConnectionResetError:
        return b""


_send = socket.socket.send


def _send_partially(self: socket.socket, data: bytes, *flags: int) -> int:
    """Behaves like a kernel with little buffer space: sends only a part of long data."""
    if len(data) > 100_000:
        return _send(self, bytes(data[:1000]), *flags)
    return _send(self, data, *flags)


if __name__ == "__main__":
    unittest.main()
