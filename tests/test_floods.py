"""One real gateway under floods of bad clients: its memory, and the answers of a client beside them."""

from __future__ import annotations

import asyncio
import unittest

from cresstray.emulators.flood_scene import FloodResult, measure
from cresstray.emulators.floods import FLOODS

_CONNECTIONS = 300
_SECONDS = 3.0
_SEED = 1
_SOME_CONNECTIONS = 40


_CONCURRENT_RUNS = 3


async def _measure_all(memory_mb: int) -> dict[tuple[str, int], FloodResult]:
    """Plays all floods, a few at a time, each with a gateway of its own."""
    runs = [(kind, _CONNECTIONS) for kind in FLOODS] + [("leavers", _SOME_CONNECTIONS)]
    slots = asyncio.Semaphore(_CONCURRENT_RUNS)

    async def play(kind: str, connections: int) -> FloodResult:
        async with slots:
            return await measure(kind, connections, memory_mb, _SECONDS, _SEED)

    return dict(zip(runs, await asyncio.gather(*(play(*run) for run in runs))))


class FloodTest(unittest.TestCase):
    """With the most memory that a scored day gives."""

    memory_mb = 192

    @classmethod
    def setUpClass(cls) -> None:
        cls.results = asyncio.run(_measure_all(cls.memory_mb))

    def check_flood(self, kind: str, connections: int = _CONNECTIONS) -> None:
        result = self.results[kind, connections]
        summary = result.summary()
        self.assertTrue(result.has_survived, result.log[-2000:])
        self.assertLess(result.peak_mb, self.memory_mb, summary)
        self.assertEqual(0, result.missing, summary)
        self.assertEqual(0, result.repeated, summary)
        self.assertEqual(0, result.unwanted, summary)
        self.assertNotIn("fault:", result.log)

    def test_line_without_an_end_on_300_connections(self) -> None:
        self.check_flood("endless-line")

    def test_statement_without_an_end_on_300_connections(self) -> None:
        self.check_flood("endless-statement")

    def test_short_strings_without_an_end_on_300_connections(self) -> None:
        self.check_flood("endless-short-strings")

    def test_half_a_large_request_on_300_connections(self) -> None:
        self.check_flood("half-request")

    def test_large_requests_written_slowly_on_300_connections(self) -> None:
        self.check_flood("slow-request")

    def test_heads_of_many_short_fields_on_300_connections(self) -> None:
        self.check_flood("short-fields")

    def test_32_large_open_requests_on_300_connections(self) -> None:
        self.check_flood("open-requests")

    def test_unread_status_responses_on_300_connections(self) -> None:
        self.check_flood("unread-status")

    def test_unread_results_on_300_connections(self) -> None:
        self.check_flood("unread-results")

    def test_requests_of_clients_that_have_left_are_not_sent(self) -> None:
        self.check_flood("leavers")

    def test_requests_of_some_clients_that_have_left_are_not_sent(self) -> None:
        self.check_flood("leavers", _SOME_CONNECTIONS)

    def test_bodies_of_60_mb_on_300_connections(self) -> None:
        self.check_flood("large-bodies")

    def test_deep_nesting_on_300_connections(self) -> None:
        self.check_flood("deep-nesting")

    def test_300_silent_connections(self) -> None:
        self.check_flood("silent")

    def test_one_client_that_sends_malformed_lines_at_full_speed(self) -> None:
        self.check_flood("one-malformed")

    def test_one_client_that_sends_status_lines_at_full_speed(self) -> None:
        self.check_flood("one-status")

    def test_one_client_that_sends_requests_under_ever_new_names(self) -> None:
        self.check_flood("one-new-names")

    def test_one_client_that_cancels_unknown_requests_at_full_speed(self) -> None:
        self.check_flood("one-cancellations")


class LeastMemoryTest(FloodTest):
    """With the least memory that the platform's pages name."""

    memory_mb = 32


if __name__ == "__main__":
    unittest.main()
