"""The names of recent requests: how long and in how much memory they are remembered."""

import random
import tracemalloc
import unittest

from cresstray.pipeline.recent_names import RecentNames

_SECOND_US = 1_000_000
_MEMORY_BYTES = 4_000_000


class RecentNamesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.names = RecentNames(lambda: _MEMORY_BYTES)
        self.random = random.Random(5)

    def new_name(self) -> str:
        return f"{self.random.getrandbits(64):016x}"

    def test_name_is_remembered_for_ten_seconds_and_forgotten_after_twenty(self) -> None:
        name = self.new_name()
        self.assertTrue(self.names.add(name, 0))
        self.assertFalse(self.names.add(name, 9 * _SECOND_US))
        self.assertTrue(self.names.add(self.new_name(), 10 * _SECOND_US))
        self.assertFalse(self.names.add(name, 19 * _SECOND_US))
        self.assertTrue(self.names.add(self.new_name(), 20 * _SECOND_US))
        self.assertTrue(self.names.add(name, 21 * _SECOND_US))

    def test_name_is_remembered_beside_a_client_that_sends_ever_new_names(self) -> None:
        """Guards against a request that runs twice, as a flood of others made its name forgotten."""
        name = self.new_name()
        self.names.add(name, 0)
        tracemalloc.start()
        for number in range(100_000):
            self.assertTrue(self.names.add(self.new_name(), number * 90))
        held_bytes = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
        self.assertFalse(self.names.add(name, 9 * _SECOND_US))
        self.assertLess(held_bytes, _MEMORY_BYTES)

    def test_name_of_an_open_request_is_kept_however_long_it_is_open_and_however_many_follow(self) -> None:
        """Guards against a second request under the name of an open one, after 20 s or a flood of names."""
        for seconds_between, count in ((10, 4), (0, 1000)):
            names = RecentNames(lambda: 1800)
            names.add("0" * 16, 0)
            names.open("0" * 16)
            now_us = 0
            for _ in range(count):
                now_us += seconds_between * _SECOND_US
                self.assertTrue(names.add(self.new_name(), now_us))
            self.assertFalse(names.add("0" * 16, now_us))
            names.close("0" * 16)
            self.assertFalse(names.add("0" * 16, now_us + 10 * _SECOND_US))  # just behind its answer
            names.add(self.new_name(), now_us + 20 * _SECOND_US)
            self.assertTrue(names.add("0" * 16, now_us + 30 * _SECOND_US))

    def test_names_of_a_preceding_process_are_known(self) -> None:
        name = self.new_name()
        self.names.add_earlier([name], 0)
        self.assertFalse(self.names.add(name, 1))
        self.assertEqual([name], self.names.names())


if __name__ == "__main__":
    unittest.main()
