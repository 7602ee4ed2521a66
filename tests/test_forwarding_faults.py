"""Requests that run at the other site while the link fails, with gateways and engines as real processes."""

import asyncio
import tempfile
import unittest
from pathlib import Path

from benchmarks.forwarding_faults import FAULTS, PlayResult, play

# Cancelling is not permitted in any of them, so the remote attempt runs to its end.
PLAYED = ("cut", "cut for 3.0 s", "silent back for 3.0 s")


async def _play(name: str) -> PlayResult:
    with tempfile.TemporaryDirectory() as folder:
        return await play(FAULTS[name], False, Path(folder))


async def _play_all() -> list[PlayResult]:
    return await asyncio.gather(*map(_play, PLAYED))


class ForwardingFaultsTest(unittest.TestCase):
    def test_nothing_is_sent_twice_nor_lost_where_the_remote_site_may_not_cancel(self) -> None:
        """Guards against two attempts out after a lease, and against others' work ended for it."""
        for result in asyncio.run(_play_all()):
            with self.subTest(result.fault):
                self.assertEqual({}, result.broken)
                self.assertEqual({1}, set(result.attempts.values()))
                self.assertIn("fulfilled", result.own_answer)
                if result.fault != "cut":
                    self.assertEqual({"fulfilled"}, {answer.split()[0] for answer in result.answers.values()})


if __name__ == "__main__":
    unittest.main()
