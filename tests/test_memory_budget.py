"""The account of what is held for clients: one client's share, and that all of it is released."""

import json
import os
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

from hypothesis import given
from hypothesis import strategies as st

from cresstray.clients.connection_registry import ConnectionRegistry
from cresstray.clients.session import ClientSession
from cresstray.memory_budget import MEGABYTE, Holding, MemoryBudget
from cresstray.observability.counters import Counters
from tests.test_client_session import FakeTransport, RecordingHandler, cancellation, request, status

_STEPS = st.lists(
    st.tuples(
        st.integers(0, 3),  # the client
        st.sampled_from(["half", "rest", "request", "large", "cancel", "status", "answer", "read", "leave"]),
        st.integers(1, 40),
    ),
    max_size=60,
)


class MemoryBudgetTest(unittest.TestCase):
    def test_share_of_a_client_falls_with_what_others_hold(self) -> None:
        budget = MemoryBudget(1_000_000)
        self.assertTrue(budget.can_hold(0, 250_000))
        self.assertFalse(budget.can_hold(0, 250_001))
        held = [0] * 300
        for _ in range(10):
            for client, held_bytes in enumerate(held):
                if budget.can_hold(held_bytes, 5_000):
                    held[client] += 5_000
                    budget.add(Holding.REQUESTS, 5_000)
        self.assertLess(max(held), 250_000)
        self.assertGreater(budget.free_bytes, 0)
        self.assertTrue(budget.can_hold(0, 1_000), "who holds nothing is still served")

    def test_capacity_follows_the_limit_and_what_is_resident(self) -> None:
        capacities = []
        for limit_mb in (20, 32, 64, 192, 2048):
            budget = MemoryBudget()
            budget.set_limit(limit_mb * MEGABYTE, 27 * MEGABYTE)
            capacities.append(budget.capacity_bytes)
            self.assertLess(budget.capacity_bytes, max(1, limit_mb - 26) * MEGABYTE)
        self.assertEqual(sorted(capacities), capacities)
        self.assertGreater(capacities[0], 0)

    def test_limit_below_what_the_process_needs_ends_with_exit_code_2(self) -> None:
        configuration = {
            "name": "n0",
            "listen": "127.0.0.1:0",
            "seed": "1",
            "settings": {},
            "limits": {"memory_mb": 8},
        }
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "config.json"
            path.write_text(json.dumps(configuration))
            ended = subprocess.run(
                [sys.executable, "-O", "-m", "cresstray"],
                env=os.environ | {"GW_CONFIG": str(path)},
                capture_output=True,
                text=True,
                timeout=20,
            )
        self.assertEqual((2, 1), (ended.returncode, ended.stderr.count("\n")), ended.stderr)
        self.assertIn("`$.limits.memory_mb`", ended.stderr)

    @given(_STEPS)
    def test_all_is_released_when_all_clients_have_left(self, steps: list[tuple[int, str, int]]) -> None:
        """Guards against a reservation that outlives its client, after any order of events."""
        budget = MemoryBudget(2_000_000)
        lines: list[str] = []
        registry = ConnectionRegistry(
            frozenset(("lookup",)),
            RecordingHandler(lines),
            lambda: 4,
            4,
            lambda: 0,
            Counters(),
            lambda kind, text: None,
            budget,
        )
        sessions: dict[int, ClientSession] = {}
        for client, step, number in steps:
            if client not in sessions:
                transport = FakeTransport(lines, reads=client % 2 == 0)
                sessions[client] = ClientSession(registry, transport)
                registry.connections[sessions[client]] = None
            session = sessions[client]
            if step == "half":
                session.receive(request(number)[:60])
            elif step == "rest":
                session.receive(request(number)[60:])
            elif step == "request":
                session.receive(request(number))
            elif step == "large":
                session.receive(request(number, b"a" * 90_000))
            elif step == "cancel":
                session.receive(cancellation(number))
            elif step == "status":
                session.receive(status() * number)
            elif step == "answer" and session.open_requests:
                session.succeed(next(iter(session.open_requests)), b"a\tb\tc\n" * 100)
            elif step == "read":
                session._transport.unsent.clear()
                registry.cut_off_unread()
            elif step == "leave":
                sessions.pop(client).on_disconnected()
        for session in sessions.values():
            session.on_disconnected()
        self.assertEqual(dict.fromkeys(Holding, 0), budget.held_bytes)
        self.assertEqual(budget.capacity_bytes, budget.free_bytes)


if __name__ == "__main__":
    unittest.main()
