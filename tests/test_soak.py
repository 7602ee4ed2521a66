"""Some seeds of the soak; `python -m tests.soak` plays many."""

import asyncio
import unittest

from tests import soak

_SEEDS = range(1, 9)


class SoakTest(unittest.TestCase):
    def test_schedules_to_the_end_of_the_process_break_no_rule(self) -> None:
        self.assertEqual({}, asyncio.run(soak.play(_SEEDS)))


if __name__ == "__main__":
    unittest.main()
