"""Attempts beside the end of their request, engine, client or window: what still leaves, who ends, how, once.

All stages and the policy are the real ones. `Desk` has connections that come up by hand; `Scenes` play
over loopback, with connections that wait for the test.
"""

from __future__ import annotations

import contextlib
import errno
import io
import socket
import unittest
from collections.abc import Awaitable, Callable
from unittest import mock

import anyio
import hiredis

from cresstray.discovery.endpoint_list import Endpoint, EndpointEvent
from cresstray.engines import connection as links
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
from tests import desk
from tests.desk import ClientStandIn, settings
from tests.test_links import FakeConnection, FakePool
from tests.test_service import GatewayHarness, make_endpoint

MILLI = 1_000
EFFECTS = {"read": "idempotent", "post": "at_most_once", "keyed": "deduplicated"}
SERVICES = [{"Name": name, "Effect": effect, "KeyTtl": 1000.0} for name, effect in EFFECTS.items()]


class Query:
    def __init__(self, name: str, class_name: str, timeout_ms: float) -> None:
        self.name, self.class_name, self.timeout_ms, self.tenant = name, class_name, timeout_ms, ""
        self.idempotency_key = name if class_name == "keyed" else ""
        self.estimated_work_ms, self.memory_mb, self.statement = 0.0, 0.0, b"select 1"


class RecordingClient:
    """A client; `shut`: it has closed its connection, and nobody has read that yet."""

    def __init__(self) -> None:
        self.open_requests: dict[int, object] = {}
        self.answers: list[str] = []
        self.has_closed = False
        self.disconnect_checks = 0

    def has_disconnected(self) -> bool:
        self.disconnect_checks += 1
        return self.has_closed

    def _answer(self, number: int, how: str) -> None:
        self.answers.append(f"{self.open_requests.pop(number).query.name} {how}")

    def succeed(self, number: int, result: bytes, at: str | None = None) -> None:
        self._answer(number, "succeeded")

    def reject(self, number: int, come_back: int) -> None:
        self._answer(number, "rejected")

    def fail(self, number: int) -> None:
        self._answer(number, "failed")

    def reject_malformed(self, number: int | None, text: str) -> None:
        raise AssertionError(text)


class Desk:
    """A gateway between one client and engines whose links the test has in its hands."""

    def __init__(self, engines: int = 1, cancel: bool = True, **safety: float) -> None:
        given = settings(*SERVICES, Limits={"Cancel": cancel, "StreamsPerConn": 32}, Safety=safety)
        self.clock, self.counters = VirtualClock(desk.START), Counters()
        self.pools: list[FakePool] = []
        self.accounting = RequestAccounting(self.counters)
        self.responses = ResponseHandler(self.clock, self.counters, self.accounting)
        timers = self.timers = FakePool(self.clock).timers
        self.dispatcher = Dispatcher(self.clock, timers, self.counters, self.responses)
        self.router = Router(self._make_pool, self.dispatcher)
        log = type("NoLog", (), {"log": lambda self, kind, text: None})()
        port = PipelinePolicyPort(self.router, self.dispatcher, self.accounting, timers, self.counters, log)
        self.controller = PolicyController(port, parse_settings(given), 7, self.clock.now())
        admit = Admission(self.accounting)
        self.responses.controller = admit.controller = self.controller
        self.ingress = Ingress(given, self.controller.request_classes, self.clock, admit)
        self.client, self.request_count = RecordingClient(), 0
        self.list(*(EndpointState.READY for _ in range(engines)), complete=True)

    def _make_pool(self, label: str, address: tuple[str, int]) -> FakePool:
        self.pools.append(FakePool(self.clock))
        self.pools[-1].address, self.pools[-1]._timers = address, self.timers
        return self.pools[-1]

    def list(self, *states: EndpointState, complete: bool = False) -> None:
        """As EndpointUpdates applies an event."""
        members = [Endpoint(n, "e", n, state, 0, 0, 0, 0) for n, state in enumerate(states)]
        event = EndpointEvent(1, complete, members)
        self.controller.on_endpoints_updated(self.router.apply_event(event), complete, self.clock.now())

    def ask(self, name: str, class_name: str = "read", timeout_ms: float = 3000) -> None:
        self.request_count += 1
        self.ingress.accept(self.client, self.request_count, Query(name, class_name, timeout_ms))

    def cancel(self, number: int = 1) -> None:
        self.ingress.cancel(self.client, number, None)

    def leave(self) -> None:
        self.ingress.on_disconnected(self.client)

    def wait(self, milliseconds: float) -> None:
        until = self.clock.at + int(milliseconds * MILLI)
        while (left := self.timers.run_due()) is not None and self.clock.at + left <= until:
            self.clock.at += left
        self.clock.at = until

    def stop_process(self, milliseconds: int) -> None:
        """The process gets no turn: no timer runs."""
        self.clock.at += milliseconds * MILLI

    def connection(self, engine: int = 0, number: int = -1) -> FakeConnection:
        return self.pools[engine].created[number]

    def connections(self) -> list[FakeConnection]:
        return [link for pool in self.pools for link in pool.created]

    def sent_lines(self) -> list[str]:
        return [
            line
            for link in self.connections()
            if link.transport is not None
            for line in link.fake_transport.received_commands()
        ]

    def outcomes(self) -> dict[str, int]:
        """How attempts have ended."""
        how = {outcome.value: self.counters.counts[f"attempts {outcome.value}"] for outcome in Outcome}
        return {name: count for name, count in how.items() if count}


class DeskCase(unittest.TestCase):
    def assert_at_rest(self, made: Desk) -> None:
        """Nothing is owed, out, or open on a link."""
        kept = [
            made.accounting.open_requests,
            made.responses.in_flight,
            made.responses._reports,
            made.client.open_requests,
            made.controller.admission_queue.first_attempts,
        ]
        kept += [link.in_flight.open for pool in made.pools for link in pool.connections]
        self.assertEqual([], [one for one in kept if one])
        self.assertEqual([], [error for pool in made.pools for error in pool.faults])
        limiters = [engine.policy_state for engine in made.controller.engines]
        self.assertEqual([], [one for one in limiters if one.limit.running_threads or one.limit.attempts])


class LateConnections(DeskCase):
    """A connection comes up after something has ended; the engine's side of it must stay silent."""

    def test_its_client_has_withdrawn(self) -> None:
        for cancel in (True, False):
            made = Desk(cancel=cancel)
            made.ask("a")
            made.cancel()
            made.connection().come_up()  # before the timer of the withdrawal
            self.assertEqual(([], {"expired before send": 1}), (made.sent_lines(), made.outcomes()))
            made.wait(100)
            self.assertEqual([], made.client.answers)
            self.assert_at_rest(made)

    def test_its_client_has_closed_and_that_was_read(self) -> None:
        for cancel in (True, False):
            made = Desk(cancel=cancel)
            made.ask("a")
            made.leave()
            if cancel:
                made.wait(1)
            made.connection().come_up()
            self.assertEqual([], made.sent_lines())
            self.assert_at_rest(made)

    def test_its_client_has_closed_and_that_was_not_read_yet(self) -> None:
        made = Desk()
        made.ask("a")
        made.client.has_closed = True
        made.wait(30)
        made.connection().come_up()
        made.wait(10)
        self.assertEqual(
            ([], {"expired before send": 1}, []), (made.sent_lines(), made.outcomes(), made.client.answers)
        )
        self.assertEqual(1, made.counters.counts["requests cancelled"])
        self.assert_at_rest(made)

    def test_what_was_written_stays_out_without_cancel(self) -> None:
        made = Desk(cancel=False)
        made.ask("a")
        made.connection().come_up()
        made.cancel()
        made.wait(10)
        self.assertEqual(["ASK a"], made.sent_lines())
        made.connection().answer("a", "served", "sheets=1", "a\tb\tc\n")
        self.assertEqual(([], {"succeeded": 1}), (made.client.answers, made.outcomes()))
        self.assert_at_rest(made)

    def test_its_time_is_over_before_it_is_up(self) -> None:
        """It never ran: what may run once only is rejected, so that its client may come again."""
        for class_name in ("read", "post"):
            made = Desk()
            made.ask("a", class_name, timeout_ms=1000)
            made.wait(1000)
            self.assertEqual(
                (["a rejected"], {"expired before send": 1}), (made.client.answers, made.outcomes())
            )
            made.connection().come_up()
            self.assertEqual([], made.sent_lines())
            self.assert_at_rest(made)

    def test_its_time_is_over_when_it_is_out(self) -> None:
        for class_name, answer in (("read", "rejected"), ("post", "failed")):
            made = Desk()
            made.ask("a", class_name, timeout_ms=1000)
            made.connection().come_up()
            made.wait(1000)
            self.assertEqual(([f"a {answer}"], {"timed out": 1}), (made.client.answers, made.outcomes()))
            self.assert_at_rest(made)

    def test_its_engine_drains_is_gone_or_replaced(self) -> None:
        for state in (EndpointState.DRAINING, EndpointState.REMOVED):
            made = Desk(engines=2)
            made.ask("a", "post")
            first = next(link for link in made.connections())
            pool = first.pool
            gone = made.pools.index(pool)
            states = [EndpointState.READY, EndpointState.READY]
            states[gone] = state
            made.list(*states)
            first.come_up()
            other = made.connection(1 - gone)
            self.assertEqual([], first.fake_transport.received_commands())
            self.assertEqual(["ASK a"], other.come_up().received_commands())
            other.answer("a", "served", "sheets=1", "a\tb\tc\n")
            self.assertEqual(["a succeeded"], made.client.answers)
            self.assert_at_rest(made)

    def test_recalled_when_its_engine_drains(self) -> None:
        """At once, not when its connection has come up; what the policy frees goes elsewhere only."""
        made = Desk(engines=2)
        for name in "abcd":
            made.ask(name, "post")
        drained = made.pools.index(made.connections()[0].pool)
        states = [EndpointState.READY, EndpointState.READY]
        states[drained] = EndpointState.DRAINING
        made.list(*states)
        made.pools[drained].cancel_unwritten()
        made.pools[drained].cancel_unwritten()
        self.assertEqual(
            {}, {name: link for link in made.pools[drained].connections for name in link.in_flight.open}
        )
        made.wait(1)
        for link in made.pools[1 - drained].created:
            link.come_up()
        self.assertEqual(["ASK a", "ASK b", "ASK c", "ASK d"], sorted(made.sent_lines()))

    def test_its_engine_has_started_anew_elsewhere(self) -> None:
        made = Desk()
        made.ask("a", "post")
        first = made.connection()
        event = EndpointEvent(2, False, [Endpoint(0, "f", 9, EndpointState.READY, 0, 0, 0, 0)])
        made.controller.on_endpoints_updated(made.router.apply_event(event), False, made.clock.now())
        made.wait(1)
        self.assertEqual([], first.come_up().received_commands())
        self.assertEqual(["ASK a"], made.connection().come_up().received_commands())
        self.assertEqual({"expired before send": 1}, made.outcomes())

    def test_the_window_for_repeats_is_over(self) -> None:
        """A part of a second before engines forget the first; with the window open it leaves."""
        for late, heard in ((949, ["ASK a", "ASK a"]), (950, ["ASK a"])):
            made = Desk(engines=2)
            made.ask("a", "keyed")
            first = made.connections()[0]
            first.come_up()
            made.wait(5)
            first.on_closed()
            second = next(link for link in made.connections() if link is not first)
            made.stop_process(late - 5)
            second.come_up()
            self.assertEqual(heard, made.sent_lines())

    def test_the_window_ends_while_the_process_is_stopped_within_a_turn(self) -> None:
        made = Desk(engines=2)
        made.ask("a", "keyed")
        made.connections()[0].come_up()
        attempt, then = next(iter(made.responses.in_flight)), made.clock.now()
        made.responses.in_flight.pop(attempt).timeout.cancel()
        made.stop_process(1000)
        made.controller.on_attempt_finished(attempt, Outcome.CONNECTION_LOST, 0, False, {}, then)
        self.assertEqual(1, len(made.connections()))
        made.wait(0)
        self.assertEqual(({"expired before send": 1}, ["ASK a"]), (made.outcomes(), made.sent_lines()))

    def test_a_window_counts_from_attempts_that_may_have_run_only(self) -> None:
        made = Desk(engines=2)
        made.ask("a", "keyed")
        first = made.connections()[0]
        first.come_up()
        first.answer("a", "overload")
        second = next(link for link in made.connections() if link is not first)
        made.stop_process(1500)
        second.come_up()
        self.assertEqual(["ASK a", "ASK a"], made.sent_lines())

    def test_its_time_is_over_and_no_timer_has_run(self) -> None:
        made = Desk()
        made.ask("a", "post", 1000)
        made.stop_process(950)
        made.connection().come_up()
        self.assertEqual(([], ["a rejected"]), (made.sent_lines(), made.client.answers))
        self.assert_at_rest(made)

    def test_called_back_while_it_is_dialled(self) -> None:
        made = Desk(engines=2)
        made.ask("a")
        first = made.connections()[0]
        attempt = next(iter(made.responses.in_flight))
        made.controller._cancel_and_retry(attempt, made.clock.now())
        first.come_up()
        made.wait(1)
        self.assertEqual(([], {"expired before send": 1}), (made.sent_lines(), made.outcomes()))

    def test_it_is_never_up(self) -> None:
        """A refused connection proves that nothing ran: one that is unsafe to repeat goes elsewhere."""
        made = Desk(engines=2)
        made.ask("a", "post")
        first = made.connections()[0]
        first.on_closed()
        second = next(link for link in made.connections() if link is not first)
        second.come_up()
        self.assertEqual((["ASK a"], {"unreachable": 1}), (made.sent_lines(), made.outcomes()))


class Repeats(DeskCase):
    def test_the_client_is_gone_beside_a_repeat(self) -> None:
        """It has closed its connection, which nobody has read; its attempt ends, the next never begins."""
        made = Desk(engines=2)
        made.ask("a")
        made.connections()[0].come_up()
        made.wait(30)
        made.client.has_closed = True
        made.connections()[0].answer("a", "crashed")
        made.wait(0)
        self.assertEqual(
            (1, {"failed": 1, "expired before send": 1}), (len(made.connections()), made.outcomes())
        )
        self.assertEqual(([], 1), (made.client.answers, made.counters.counts["requests cancelled"]))
        made.leave()
        self.assert_at_rest(made)

    def test_the_client_of_a_held_request_is_gone(self) -> None:
        made = Desk()
        made.list(EndpointState.DRAINING)
        made.ask("a")
        made.wait(30)
        made.client.has_closed = True
        made.list(EndpointState.READY)
        made.wait(0)
        self.assertEqual(([], []), (made.connections(), made.client.answers))
        self.assert_at_rest(made)

    def test_it_is_read_that_the_client_is_gone_before_the_relay_has_ended(self) -> None:
        for cancel in (True, False):
            made = Desk(cancel=cancel)
            made.list(EndpointState.DRAINING)
            made.ask("a")
            made.wait(30)
            made.client.has_closed = True
            made.list(EndpointState.READY)
            made.leave()
            made.wait(0)
            self.assertEqual(([], 1), (made.connections(), made.counters.counts["requests cancelled"]))
            self.assert_at_rest(made)

    def test_what_is_sent_at_once_asks_nobody(self) -> None:
        made = Desk()
        made.ask("a")
        made.connection().come_up()
        made.ask("b")
        self.assertEqual(0, made.client.disconnect_checks)

    def test_which_ends_are_proofs(self) -> None:
        """(what comes, how it ends, whether an unsafe request is sent again, what it is answered else)."""
        table = (
            (lambda link: link.answer("a", "overload"), "overloaded", True),
            (lambda link: link.answer("a", "nobody"), "expired before send", True),
            (lambda link: link.answer("a", "crashed"), "failed", False),
            (lambda link: link.on_closed(), "connection lost", False),
            (self._spoils, "protocol error", False),
        )
        for comes, how, again in table:
            with self.subTest(how):
                made = Desk(engines=2)
                made.ask("a", "post")
                first = made.connections()[0]
                first.come_up()
                comes(first)
                self.assertEqual({how: 1}, made.outcomes())
                self.assertEqual(2 if again else 1, len(made.connections()))
                self.assertEqual([] if again else ["a failed"], made.client.answers)

    def _spoils(self, link: FakeConnection) -> None:
        with self.assertRaises(links.codec.EngineProtocolError):
            link.answer("a", "served", "sheets=1", "\0")
        link.is_corrupt = True
        link.on_closed()

    def test_words_after_part_of_a_result(self) -> None:
        """It has run: a refusal, or that it was over, proves nothing any more."""
        for word in ("overload", "nobody", "green", "served"):
            made = Desk(engines=2)
            made.ask("a", "post", 1000)
            first = made.connections()[0]
            first.come_up()
            first.answer("a", "rows", "sheet=1", "x\ty\tz\n")  # before there is a result
            first.answer("a", "served", "sheets=2", "a\tb\tc\n")
            first.answer("a", word, "-", "")
            self.assertEqual(({}, 1, 2), (made.outcomes(), len(made.connections()), self._unawaited(made)))
            made.wait(1000)
            self.assertEqual(({"timed out": 1}, ["a failed"]), (made.outcomes(), made.client.answers))
            self.assertEqual(["ASK a", "NEXT a", "FREE a"], made.sent_lines())
            self.assert_at_rest(made)

    def test_an_error_after_part_of_a_result(self) -> None:
        made = Desk(engines=2)
        made.ask("a", "post")
        first = made.connections()[0]
        first.come_up()
        first.answer("a", "served", "sheets=3", "a\tb\tc\n")
        first.answer("a", "crashed")
        first.answer("a", "crashed")  # to the other page
        first.answer("a", "rows", "sheet=1", "x\ty\tz\n")
        self.assertEqual((["a failed"], {"failed": 1}), (made.client.answers, made.outcomes()))
        self.assertEqual(2, self._unawaited(made))
        self.assert_at_rest(made)

    def test_pages_twice_and_beyond(self) -> None:
        made = Desk()
        made.ask("a")
        link = made.connection()
        link.come_up()
        link.answer("a", "served", "sheets=3", "0\t0\t0\n")
        link.answer("a", "rows", "sheet=2", "2\t2\t2\n")
        link.answer("a", "rows", "sheet=2", "3\t3\t3\n")
        link.answer("a", "rows", "sheet=1", "1\t1\t1\n")
        self.assertEqual((["a succeeded"], 1), (made.client.answers, self._unawaited(made)))

    def test_pages_that_cannot_be(self) -> None:
        """They end the link, as spoilt; what is unsafe to repeat has failed then."""
        for first, second in (
            ("sheets=0", ""),
            ("sheets=1000000000", ""),
            ("sheets=2", "sheet=2"),
            ("sheets=2", "sheet=1000000000"),
            ("sheets=2", "sheet=0"),
        ):
            made = Desk(engines=2)
            made.ask("a", "post")
            link = made.connections()[0]
            link.come_up()
            with self.assertRaises(links.codec.EngineProtocolError):
                link.answer("a", "served", first, "x\ty\tz\n")
                link.answer("a", "rows", second, "x\ty\tz\n")
            link.is_corrupt = True
            link.on_closed()
            self.assertEqual((["a failed"], {"protocol error": 1}), (made.client.answers, made.outcomes()))
            self.assert_at_rest(made)

    def test_an_answer_beside_a_cancel_and_a_time_out(self) -> None:
        """Whichever is first ends it; the other finds nothing."""
        for first, ends, answers in (
            ("answer", {"succeeded": 1}, ["a succeeded"]),
            ("cancel", {"succeeded": 1}, []),
            ("cancel is due", {"cancelled": 1}, []),
            ("time", {"timed out": 1}, ["a rejected"]),
        ):
            with self.subTest(first):
                made = Desk()
                made.ask("a", timeout_ms=1000)
                link = made.connection()
                link.come_up()
                if first.startswith("cancel"):
                    made.cancel()
                if first == "cancel is due":
                    made.wait(0)
                if first == "time":
                    made.wait(900)
                link.answer("a", "served", "sheets=1", "a\tb\tc\n")
                made.cancel()
                made.wait(1000)
                self.assertEqual((ends, answers), (made.outcomes(), made.client.answers))
                self.assert_at_rest(made)

    def test_the_budget_at_the_edge_of_its_window(self) -> None:
        """Two retries are never closer than the window, to the millisecond."""
        made = Desk(engines=3, BudgetWindow=1000.0, FreeResends=1, ResendRatio=0.0)
        sent: list[int] = []
        for turn in range(60):
            made.ask(f"n{turn}", timeout_ms=60_000)
            for _ in range(83):
                for attempt, exchange in list(made.responses.in_flight.items()):
                    if exchange.connection.transport is None:
                        exchange.connection.come_up()
                    sent += [attempt.sent_us] if attempt.number else []
                    word = "served" if attempt.number else "nobody"
                    exchange.connection.answer(
                        exchange.name.decode(), word, "-", "a\tb\tc\n" * attempt.number
                    )
                made.wait(1)
        gaps = [after - before for before, after in zip(sent, sent[1:])]
        self.assertGreater(len(gaps), 2)
        self.assertGreaterEqual(min(gaps), 1000 * MILLI)
        self.assertLess(min(gaps), 1200 * MILLI)

    def test_the_budget_counts_a_further_attempt_as_it_leaves(self) -> None:
        """Its connection comes up 200 ms late; the next one is a whole window behind that."""
        made = Desk(engines=2, BudgetWindow=1000.0, FreeResends=1, ResendRatio=0.0)
        began = made.clock.at
        made.ask("a", timeout_ms=60_000)
        first = next(iter(made.connections()))
        first.come_up()
        first.answer("a", "nobody")
        late = next(link for link in made.connections() if link is not first)
        made.wait(200)
        self.assertEqual(["ASK a"], late.come_up().received_commands())
        late.answer("a", "served", "sheets=1", "a\tb\tc\n")
        made.wait(830)
        made.ask("b", timeout_ms=60_000)
        taken = next(link for link in made.connections() if link.in_flight.open)
        taken.answer("b", "nobody")
        while made.sent_lines().count("ASK b") < 2:
            made.wait(1)
        self.assertGreaterEqual(made.clock.at - began, 1200 * MILLI)
        self.assertLess(made.clock.at - began, 1400 * MILLI)

    def _unawaited(self, made: Desk) -> int:
        return sum(pool.counters.counts["answers not awaited"] for pool in made.pools)


class Dials:
    """In the place of streams.connect: dials wait until they are let, or fail as told."""

    def __init__(self) -> None:
        self.begun, self.let = anyio.Event(), anyio.Event()
        self.fails: OSError | None = None
        self.count = 0

    async def __call__(self, host: str, port: int) -> socket.socket:
        self.count += 1
        self.begun.set()
        if self.fails is not None:
            raise self.fails
        await self.let.wait()
        return await connect(host, port)


class Scenes(unittest.TestCase):
    def play(
        self,
        scene: Callable[[GatewayHarness, ClientStandIn, Dials], Awaitable],
        engines: int = 1,
        **parts: object,
    ) -> GatewayHarness:
        stage = GatewayHarness(engines, **parts)

        async def main() -> None:
            dials = Dials()

            async def with_dials(stage: GatewayHarness, client: ClientStandIn) -> None:
                await scene(stage, client, dials)

            with mock.patch.object(links, "connect", dials):
                await stage.run(with_dials, None)

        with contextlib.redirect_stderr(io.StringIO()):
            anyio.run(main)
        self.assertEqual(0, stage.service.parts.counters.counts["faults"])
        return stage

    async def answered(self, stage: GatewayHarness, text: str) -> None:
        with anyio.fail_after(5):
            while not stage.service.parts.counters.counts[text]:
                await anyio.sleep(0.001)

    def test_the_client_withdraws_while_its_engine_is_dialled(self) -> None:
        for cancel in (True, False):

            async def scene(stage: GatewayHarness, client: ClientStandIn, dials: Dials) -> None:
                await client.ask(1, "plain one")
                await dials.begun.wait()
                await client.say({"jsonrpc": "2.0", "method": "withdraw", "params": {"id": 1}})
                await self.answered(stage, "requests cancelled")
                dials.let.set()
                await client.ask(2, "plain two")
                self.assertEqual(2, (await client.hear())["id"])

            stage = self.play(scene, Limits={"Cancel": cancel, "ConnectTimeout": 10_000})
            self.assertEqual(1, len(stage.engines[0].lines))
            self.assertIn("plain two", stage.engines[0].lines[0])

    def test_the_client_shuts_while_its_engine_is_dialled(self) -> None:
        async def scene(stage: GatewayHarness, client: ClientStandIn, dials: Dials) -> None:
            async with await anyio.connect_tcp(*stage.address) as stream:
                await ClientStandIn(stream, stage.lines, names=16).ask(1, "plain one")
                await dials.begun.wait()
            await self.answered(stage, "requests cancelled")
            dials.let.set()
            await client.ask(2, "plain two")
            self.assertEqual(2, (await client.hear())["id"])

        stage = self.play(scene, Limits={"Cancel": False, "ConnectTimeout": 10_000})
        self.assertEqual(1, len(stage.engines[0].lines))
        self.assertIn("plain two", stage.engines[0].lines[0])

    def test_the_engine_drains_while_it_is_dialled(self) -> None:
        """The request goes to the other one, although its class is unsafe to repeat."""
        for state in (EndpointState.DRAINING, EndpointState.REMOVED):

            async def scene(stage: GatewayHarness, client: ClientStandIn, dials: Dials, state=state) -> None:
                second = make_endpoint(stage.engines[1].port, 1, EndpointState.DRAINING)
                stage.service.parts.endpoint_updates.on_event(EndpointEvent(2, False, [second]))
                await client.ask(1, "plain")
                await dials.begun.wait()
                told = [
                    make_endpoint(stage.engines[0].port, 0, state),
                    make_endpoint(stage.engines[1].port, 1),
                ]
                stage.service.parts.endpoint_updates.on_event(EndpointEvent(3, False, told))
                dials.let.set()
                self.assertIn("result", await client.hear())

            service = {"Effect": "at_most_once"}
            stage = self.play(scene, 2, Services=[service], Limits={"ConnectTimeout": 10_000})
            self.assertEqual([0, 1], [len(engine.lines) for engine in stage.engines])

    def test_no_descriptor_is_no_doubt_about_the_engine(self) -> None:
        async def scene(stage: GatewayHarness, client: ClientStandIn, dials: Dials) -> None:
            dials.fails = OSError(errno.EMFILE, "too many open files")
            await client.ask(1, "plain")
            self.assertIn("error", await client.hear())
            self.assertEqual(4, dials.count)  # as many attempts as there may be
            dials.fails = None
            dials.let.set()
            await client.ask(2, "plain")
            self.assertIn("result", await client.hear())

        stage = self.play(scene, Services=[{"Effect": "at_most_once"}])
        counts = stage.service.parts.counters.counts
        self.assertEqual((0, 4), (counts["attempts unreachable"], counts["attempts expired before send"]))

    def test_an_engine_that_never_reads(self) -> None:
        """Its connections are taken and nothing on them is read; no request is half sent and then whole."""

        async def scene(stage: GatewayHarness, client: ClientStandIn, dials: Dials) -> None:
            dials.let.set()
            with socket.create_server(("127.0.0.1", 0)) as server:
                server.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
                stage.service.parts.endpoint_updates.on_event(
                    EndpointEvent(2, True, [make_endpoint(server.getsockname()[1], 7)])
                )
                await client.ask(1, "x" * 150_000)
                server.settimeout(5)
                accepted = (await anyio.to_thread.run_sync(server.accept))[0]
                pool = next(iter(stage.service.parts.router._pools.values()))
                while not (pool.connections and pool.connections[0].transport):
                    await anyio.sleep(0.001)
                await client.say({"jsonrpc": "2.0", "method": "withdraw", "params": {"id": 1}})
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
            # A kernel that takes it all leaves nothing to be seen here.
            self.assertEqual(1, len(unsent))
            self.assertEqual(unsent[0] > 0, reader.gets() is False)

        unsent: list[int] = []
        abandon = EngineConnection.abandon

        def record_unsent(connection: EngineConnection, request: InFlightRequest) -> bool:
            # Until the request is withdrawn, more of it may leave.
            unsent.append(len(connection.transport.unsent))
            return abandon(connection, request)

        with (
            mock.patch.object(socket.socket, "send", _sparing),
            mock.patch.object(EngineConnection, "abandon", record_unsent),
        ):
            self.play(scene, Limits={"Cancel": True, "ConnectTimeout": 10_000})


def _receive(accepted: socket.socket) -> bytes:
    try:
        return accepted.recv(65536)
    except ConnectionResetError:
        return b""


_send = socket.socket.send


def _sparing(self: socket.socket, data: bytes, *flags: int) -> int:
    """As a kernel with little room: a part of what is long, once."""
    if len(data) > 100_000:
        return _send(self, bytes(data[:1000]), *flags)
    return _send(self, data, *flags)


if __name__ == "__main__":
    unittest.main()
