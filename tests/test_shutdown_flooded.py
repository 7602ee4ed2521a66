"""The end of a process while connections wait for their turn to be read from."""

import types
import unittest
from unittest import mock

import anyio

from cresstray.clients.turn_pacing import FairTurns, TurnShare
from cresstray.clock import Clock
from cresstray.gateway.shutdown import GracefulShutdown
from tests.scripted import ListenerHarness, cancellation, receive_all, request, run_scenario, wait_until

# Requests arrive up to 0.6 s after SIGTERM; this one's turn comes long after the shutdown stops to listen.
_TURN_AFTER_S = 1.6
_LONGEST_TIMEOUT_MS = 3000
# SIGKILL comes no sooner.
_KILL_AFTER_S = 3.7


def _parts(harness: ListenerHarness) -> types.SimpleNamespace:
    """The parts of a gateway that the shutdown uses, without requests in flight."""
    return types.SimpleNamespace(
        listener=harness.client_listener,
        settings={"Services": [{"GiveUp": _LONGEST_TIMEOUT_MS}]},
        clock=Clock(),
        log=mock.Mock(),
        counters=mock.Mock(),
        timers=mock.Mock(),
        ingress=mock.Mock(),
        accounting=mock.Mock(unanswered_count=lambda: 0),
        dispatcher=mock.Mock(),
        links=None,
        idempotency=None,
        worker=None,
    )


class FloodedShutdownTest(unittest.TestCase):
    def run_shutdown(self, has_late_turn: bool) -> tuple[list[str], str, float]:
        """Returns a client's answers, how its connection ended, and how long the shutdown took."""
        ends: list[tuple[list[str], str]] = []
        seconds: list[float] = []

        async def scenario(harness: ListenerHarness) -> None:
            clock = Clock()
            harness.clock[0] = clock.now()
            usual = harness.client()
            await wait_until(lambda: harness.client_listener.connections)
            share = next(iter(harness.client_listener.connections)).turn_share
            wait = FairTurns.wait

            async def wait_for_late_turn(turns: FairTurns, asking: TurnShare, is_large: bool) -> None:
                if asking is share:
                    await anyio.sleep(max(0.0, began_s + _TURN_AFTER_S - anyio.current_time()))
                await wait(turns, asking, is_large)

            async def advance_clock() -> None:
                while not seconds:
                    harness.clock[0] = clock.now()
                    await anyio.sleep(0.001)

            async def receive() -> None:
                ends.append(await receive_all(usual))
                usual.close()

            with mock.patch.object(FairTurns, "wait", wait_for_late_turn if has_late_turn else wait):
                began_s = anyio.current_time()
                if has_late_turn:
                    harness.client_listener.turns._has_had_large_turn = True
                usual.sendall(
                    b"".join(request(number, "", b"s" * 2000) for number in (1, 2, 3)) + cancellation(2)
                )
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(receive)
                    tasks.start_soon(advance_clock)
                    if not has_late_turn:
                        await wait_until(lambda: len(harness.handler.accepted) == 3)
                        for number in (1, 3):
                            harness.handler.sessions[0].reject(number, 0)
                    await GracefulShutdown(_parts(harness)).run()
                    seconds.append(anyio.current_time() - began_s)

        run_scenario(scenario)
        return *ends[0], seconds[0]

    def test_requests_of_a_connection_that_waits_for_its_turn_are_answered(self) -> None:
        """Guards against a shutdown that ends connections with requests which nobody has read."""
        answers, end, seconds = self.run_shutdown(has_late_turn=True)
        self.assertEqual((["1 -32000", "2 -32000", "3 -32000"], "closed"), (answers, end))
        self.assertLess(_TURN_AFTER_S, seconds)
        self.assertLess(seconds, _KILL_AFTER_S)

    def test_shutdown_without_waiting_connections_takes_no_longer(self) -> None:
        answers, end, seconds = self.run_shutdown(has_late_turn=False)
        self.assertEqual((["1 -32000", "3 -32000"], "closed"), (answers, end))
        self.assertLess(seconds, _TURN_AFTER_S)


if __name__ == "__main__":
    unittest.main()
