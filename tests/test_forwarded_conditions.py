"""Conditions of a forwarded request that must hold as its bytes are written to an engine."""

import unittest

from cresstray.policy.types import EndpointState
from cresstray.sites.routing import RETRY_SEND_WINDOW_US
from tests.halls import TwoSites

# The engines' deduplication window, and the steps of the clock.
DEDUP_WINDOW_MS, STEP_MS = 2_500, 5
CONNECT_TIMES_MS = (0, 100, 290, 310, 400, 1_000, 1_500)


class LateConnectionTest(unittest.TestCase):
    """The first attempt runs at hall-a and is lost; the retry crosses to an engine that connects late."""

    def _retry_across(
        self, request_class: str, lost_after_ms: int, connect_ms: int, delay_ms: int = 5
    ) -> TwoSites:
        world = TwoSites(
            trace=False, local_engines=1, delay_us=1000 * delay_ms, dedup_window_ms=DEDUP_WINDOW_MS
        )
        world.establish_link()
        world.b.fake_engines[0].connect_us = 1000 * connect_ms
        world.a.submit("request", request_class, 8_000)
        world.run(lost_after_ms, step_us=1000 * STEP_MS)
        world.a.update_endpoints(EndpointState.DRAINING)
        world.refresh_capacity()
        self.lost_us = world.clocks[0].time_us
        world.a.fake_engines[0].reset()
        world.run(10_000 - lost_after_ms, step_us=1000 * STEP_MS)
        return world

    def _sent_after_ms(self, world: TwoSites) -> float | None:
        """Returns how long after the loss the far engine got the request, in milliseconds."""
        if len(world.runs) == 1:
            return None
        return (world.run_started_us[world.name("request")] - self.lost_us) / 1000

    def test_far_gateway_sends_no_retry_after_the_deduplication_window_behind_a_late_connection(self) -> None:
        """Guards against a keyed request that runs twice: the far connection comes up after the window."""
        for connect_ms in CONNECT_TIMES_MS:
            for left_ms in (150, 250, 800):
                with self.subTest(connect_ms=connect_ms, left_ms=left_ms):
                    world = self._retry_across("load", DEDUP_WINDOW_MS - left_ms, connect_ms)
                    sent_after_ms = self._sent_after_ms(world)
                    if sent_after_ms is not None:
                        self.assertLess(sent_after_ms, left_ms)
                    # The near gateway's margin of 100 ms, and a round trip as the frame's greatest age.
                    may_send = connect_ms + 10 < min(left_ms - 100, RETRY_SEND_WINDOW_US / 1000)
                    self.assertEqual(may_send, sent_after_ms is not None)

    def test_far_gateway_sends_no_retry_after_the_delay_that_the_budget_allows(self) -> None:
        """Guards against a retry that the near gateway's budget counts up to a second too early."""
        for connect_ms in CONNECT_TIMES_MS:
            for delay_ms in (5, 100):
                with self.subTest(connect_ms=connect_ms, delay_ms=delay_ms):
                    world = self._retry_across("lookup", 1_000, connect_ms, delay_ms)
                    sent_after_ms = self._sent_after_ms(world)
                    if sent_after_ms is not None:
                        self.assertLess(sent_after_ms, RETRY_SEND_WINDOW_US / 1000)
                    self.assertEqual(connect_ms + 2 * delay_ms < 300, sent_after_ms is not None)

    def test_request_that_the_far_gateway_may_not_send_gets_one_answer_in_time(self) -> None:
        """Guards against a crossing without an end: it ends as not executed, and counts as nothing run."""
        world = self._retry_across("load", DEDUP_WINDOW_MS - 800, 1_000)
        self.assertEqual({"request": ["denied"]}, world.answers())
        self.assertLess(world.answered_us[world.name("request")] - self.lost_us, 8_000_000)
        self.assertEqual(0, world.b.counters.counts["attempts connection lost"])
        self.assertEqual(1, world.b.counters.counts["attempts expired before send"])


if __name__ == "__main__":
    unittest.main()
