"""Turns of connections that send much: whose is next, and what a lack of turns does to another client."""

import asyncio
import unittest

import anyio

from cresstray.clients.turn_pacing import FairTurns, TurnShare
from tests.scripted import (
    ListenerHarness,
    RecordingHandler,
    cancellation,
    receive_response,
    request,
    run_scenario,
    status,
    wait_until,
)

_TURN_US = 5_000
_FLOODING_CONNECTIONS = 20
_LINES_OF_EACH = 60
_FEW_TURNS = 6
# What a statement takes whose group of tables is looked for token by token.
_REQUEST_COST_US = 4_500


class _TurnTaker:
    """Takes turns on a virtual clock and records who had them."""

    def __init__(self) -> None:
        self.now_us = 0
        self.turns = FairTurns(lambda: self.now_us)
        self.order: list[str] = []

    async def take(self, name: str, share: TurnShare, count: int, charged_part: float = 1.0) -> None:
        for _ in range(count):
            await self.turns.wait(share, is_large=True)
            self.order.append(name)
            began_us = self.now_us
            self.now_us += _TURN_US
            self.turns.on_turn(share, began_us, charged_part, is_large=True)


class FairTurnsTest(unittest.IsolatedAsyncioTestCase):
    async def test_connection_that_was_charged_nothing_waits_for_one_turn(self) -> None:
        taker = _TurnTaker()
        flood = [asyncio.ensure_future(taker.take(f"f{n}", taker.turns.new_share(), 20)) for n in range(50)]
        usual = taker.turns.new_share()
        for round_number in range(1, 10):
            while len(taker.order) < 100 * round_number:
                await asyncio.sleep(0)
            before = len(taker.order)
            await taker.take("usual", usual, 1, charged_part=0.0)
            self.assertLessEqual(taker.order.index("usual", before) - before, 2)
        await asyncio.gather(*flood)
        self.assertFalse(taker.turns.must_large_wait)

    async def test_connections_that_are_charged_alike_have_as_many_turns(self) -> None:
        taker = _TurnTaker()
        names = [f"f{n}" for n in range(7)]
        tasks = [asyncio.ensure_future(taker.take(name, taker.turns.new_share(), 30)) for name in names]
        while len(taker.order) < 100:
            await asyncio.sleep(0)
        counts = [taker.order.count(name) for name in names]
        self.assertLessEqual(max(counts) - min(counts), 1)
        await asyncio.gather(*tasks)

    async def test_connection_that_rested_gathers_no_claim(self) -> None:
        """One that comes back after a rest goes next, and then takes part as all others do."""
        taker = _TurnTaker()
        flood = [asyncio.ensure_future(taker.take(f"f{n}", taker.turns.new_share(), 60)) for n in range(3)]
        while len(taker.order) < 90:
            await asyncio.sleep(0)
        await taker.take("rested", taker.turns.new_share(), 10)
        since = taker.order[taker.order.index("rested") :]
        self.assertGreaterEqual(len(since), 10 + 3 * 8)
        await asyncio.gather(*flood)

    async def test_connection_that_was_charged_has_its_turn_beside_ever_new_ones(self) -> None:
        """Guards against clients that connect anew all the time and keep all others from their turns."""
        taker = _TurnTaker()
        newest: list[asyncio.Future[None]] = []
        charged = asyncio.ensure_future(taker.take("charged", taker.turns.new_share(), 20))
        while not charged.done() and len(taker.order) < 20 * 10 * 10:
            newest = [task for task in newest if not task.done()]
            while len(newest) < 10:
                newest.append(asyncio.ensure_future(taker.take("new", taker.turns.new_share(), 1)))
            await asyncio.sleep(0)
        self.assertTrue(charged.done())
        await asyncio.gather(*newest)

    async def test_connection_that_stops_waiting_does_not_keep_others_waiting(self) -> None:
        taker = _TurnTaker()
        waiting = [asyncio.ensure_future(taker.take(f"f{n}", taker.turns.new_share(), 1)) for n in range(6)]
        await asyncio.sleep(0)
        for task in waiting[::2]:
            task.cancel()
        await asyncio.gather(*waiting, return_exceptions=True)
        self.assertEqual(["f1", "f3", "f5"], taker.order)
        await asyncio.wait_for(taker.take("next", taker.turns.new_share(), 2), 5)

    async def test_iteration_of_the_loop_has_one_turn_at_most(self) -> None:
        taker = _TurnTaker()
        tasks = [asyncio.ensure_future(taker.take(f"f{n}", taker.turns.new_share(), 5)) for n in range(8)]
        while not all(task.done() for task in tasks):
            before = len(taker.order)
            await asyncio.sleep(0)
            self.assertLessEqual(len(taker.order) - before, 1)


class _CostlyHandler(RecordingHandler):
    """A request takes time, as its statement has to be parsed."""

    def __init__(self, clock: list[int]) -> None:
        super().__init__()
        self._clock = clock
        self.received_us: dict[int, int] = {}

    @classmethod
    def in_place_of(cls, harness: ListenerHarness) -> "_CostlyHandler":
        """Returns a new handler, which handles the requests of the harness from now on."""
        handler = harness.handler = harness.client_listener.handler = cls(harness.clock)
        return handler

    def accept(self, session: object, request_id: int, query: object, *, received_us: int) -> None:
        self._clock[0] += _REQUEST_COST_US
        self.received_us[request_id] = received_us
        super().accept(session, request_id, query, received_us=received_us)


def _withdrawn_requests(first: int, count: int) -> bytes:
    """Requests, each with its withdrawal behind it."""
    return b"".join(request(number) + cancellation(number) for number in range(first, first + count))


class FloodedListenerTest(unittest.TestCase):
    def test_requests_beside_clients_that_withdraw_hundreds_are_read_within_a_few_turns(self) -> None:
        """Guards against requests answered late: they waited for a long turn of each bad client."""

        async def scenario(harness: ListenerHarness) -> None:
            handler = _CostlyHandler.in_place_of(harness)
            usual = harness.client()
            await wait_until(lambda: len(harness.client_listener.connections) == 1)
            flood = _withdrawn_requests(1000, _LINES_OF_EACH)
            for _ in range(_FLOODING_CONNECTIONS):
                harness.client().sendall(flood + status(1))
            await wait_until(lambda: len(set(handler.sessions)) == _FLOODING_CONNECTIONS)
            sent_us = harness.clock[0]
            usual.sendall(b"".join(request(number, "", b"s" * 1500) for number in (1, 2, 3)))
            await wait_until(lambda: 3 in handler.accepted)
            # Its own requests, and a turn in each iteration until its connection has noticed them and has the
            # next turn.
            bound_us = 3 * _REQUEST_COST_US + _FEW_TURNS * (_TURN_US + _REQUEST_COST_US)
            self.assertLessEqual(harness.clock[0] - sent_us, bound_us)
            await wait_until(lambda: len(handler.cancelled) == _FLOODING_CONNECTIONS * _LINES_OF_EACH)

        run_scenario(scenario)

    def test_request_beside_many_clients_that_send_little_is_read_soon(self) -> None:
        """Guards against an iteration that is as long as a costly line of every other client."""

        async def scenario(harness: ListenerHarness) -> None:
            handler = _CostlyHandler.in_place_of(harness)
            usual = harness.client()
            await wait_until(lambda: len(harness.client_listener.connections) == 1)
            flood = [harness.client() for _ in range(90)]
            await wait_until(lambda: len(harness.client_listener.connections) == 91)
            for number in range(1000, 1005):
                for place, client in enumerate(flood):
                    client.sendall(request(number, f"{number * 100 + place:016x}") + cancellation(number))
                while len(handler.cancelled) < 20 + 90 * (number - 1000):
                    await anyio.sleep(0)
                sent_us = harness.clock[0]
                usual.sendall(request(number - 999))
                while number - 999 not in handler.accepted:
                    await anyio.sleep(0)
                # In each iteration: a turn that was granted, and small ones up to their limit.
                self.assertLessEqual(
                    harness.clock[0] - sent_us, _FEW_TURNS * (_TURN_US + 3 * _REQUEST_COST_US)
                )
                await wait_until(lambda number=number: len(handler.cancelled) == 90 * (number - 999))

        run_scenario(scenario)

    def test_connection_that_is_closed_as_it_waits_is_forgotten_at_once(self) -> None:
        """Guards against closed connections that hold their memory until a turn that is late to come."""

        async def scenario(harness: ListenerHarness) -> None:
            handler = _CostlyHandler.in_place_of(harness)
            for _ in range(30):
                harness.client().sendall(_withdrawn_requests(10, 190))
            await wait_until(lambda: len(set(handler.sessions)) == 30)
            evicted = list(harness.client_listener.connections)[:20]
            ended = harness.client_listener.counters.counts["clients ended"]
            for session in evicted:
                session.abort()
            handled = len(handler.sessions)
            iterations = 0
            while harness.client_listener.counters.counts["clients ended"] < ended + 20:
                iterations += 1
                await anyio.sleep(0)
            self.assertLess(iterations, 5)
            self.assertEqual([], [session for session in handler.sessions[handled:] if session in evicted])
            self.assertEqual(0, sum(len(session._buffer) for session in evicted))

        run_scenario(scenario)

    def test_request_counts_as_received_when_its_connection_began_to_wait(self) -> None:
        """Guards against a request sent on with its whole timeout although its client's time is over."""

        async def scenario(harness: ListenerHarness) -> None:
            handler = _CostlyHandler.in_place_of(harness)
            early, late = harness.client(), harness.client()
            late.sendall(request(1) + cancellation(1))
            await wait_until(lambda: handler.cancelled)
            # Long at rest: that does not count.
            harness.clock[0] += 3_000_000
            flood = _withdrawn_requests(10, 30)
            early.sendall(flood)
            late.sendall(flood)
            while 12 not in handler.accepted:
                await anyio.sleep(0)
            sent_us = harness.clock[0]
            late.sendall(request(2, "", b"s" * 5000))
            await wait_until(lambda: 2 in handler.accepted)
            received_us = handler.received_us[2]
            self.assertLessEqual(received_us, sent_us)
            self.assertGreater(received_us, 3_000_000)
            self.assertGreater(harness.clock[0], sent_us + 100_000)

        run_scenario(scenario)

    def test_lines_that_a_turn_leaves_are_handled_in_order(self) -> None:
        async def scenario(harness: ListenerHarness) -> None:
            handler = _CostlyHandler.in_place_of(harness)
            client = harness.client()
            client.sendall(_withdrawn_requests(1, 29) + status(30))
            self.assertEqual("30 pass", await receive_response(client))
            self.assertEqual(list(range(1, 30)), handler.accepted)
            self.assertEqual(list(range(1, 30)), handler.cancelled)
            await anyio.sleep(0)
            self.assertEqual(0, harness.client_listener.buffered_bytes)

        run_scenario(scenario)


if __name__ == "__main__":
    unittest.main()
