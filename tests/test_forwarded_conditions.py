"""Conditions of a forwarded request that must hold as its bytes are written to an engine."""

import unittest

from cresstray.policy.types import EndpointState
from cresstray.sites.routing import RETRY_SEND_WINDOW_US
from tests.halls import TwoSites

# The engines' deduplication window, and the steps of the clock.
DEDUP_WINDOW_MS, STEP_MS = 2_500, 5
CONNECT_TIMES_MS = (0, 100, 290, 310, 400, 1_000, 1_500)


class LateConnectionTest(unittest.TestCase):
    """The first attempt is lost at hall-a; the retry is forwarded to an engine that connects late."""

    def _retry_forwarded(
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
        """Returns how long after the loss the remote engine got the request, in milliseconds."""
        if len(world.runs) == 1:
            return None
        return (world.run_started_us[world.name("request")] - self.lost_us) / 1000

    def test_remote_gateway_sends_no_retry_after_the_deduplication_window_behind_a_late_connection(
        self,
    ) -> None:
        """Guards against a keyed request that runs twice: the remote connection comes up after the window."""
        for connect_ms in CONNECT_TIMES_MS:
            for left_ms in (150, 250, 800):
                with self.subTest(connect_ms=connect_ms, left_ms=left_ms):
                    world = self._retry_forwarded("load", DEDUP_WINDOW_MS - left_ms, connect_ms)
                    sent_after_ms = self._sent_after_ms(world)
                    if sent_after_ms is not None:
                        self.assertLess(sent_after_ms, left_ms)
                    # The forwarding gateway's margin of 100 ms, and a round trip as the frame's greatest age.
                    may_send = connect_ms + 10 < min(left_ms - 100, RETRY_SEND_WINDOW_US / 1000)
                    self.assertEqual(may_send, sent_after_ms is not None)

    def test_remote_gateway_sends_no_retry_after_the_delay_that_the_budget_allows(self) -> None:
        """Guards against a retry that the forwarding gateway's budget counts up to a second too early."""
        for connect_ms in CONNECT_TIMES_MS:
            for delay_ms in (5, 100):
                with self.subTest(connect_ms=connect_ms, delay_ms=delay_ms):
                    world = self._retry_forwarded("lookup", 1_000, connect_ms, delay_ms)
                    sent_after_ms = self._sent_after_ms(world)
                    if sent_after_ms is not None:
                        self.assertLess(sent_after_ms, RETRY_SEND_WINDOW_US / 1000)
                    self.assertEqual(connect_ms + 2 * delay_ms < 300, sent_after_ms is not None)

    def test_request_that_the_remote_gateway_may_not_send_gets_one_answer_in_time(self) -> None:
        """Guards against a forwarded request without an end: it ends as not executed."""
        world = self._retry_forwarded("load", DEDUP_WINDOW_MS - 800, 1_000)
        self.assertEqual({"request": ["denied"]}, world.answers())
        self.assertLess(world.answered_us[world.name("request")] - self.lost_us, 8_000_000)
        self.assertEqual(0, world.b.counters.counts["attempts connection lost"])
        self.assertEqual(1, world.b.counters.counts["attempts expired before send"])


class ClientLeftTest(unittest.TestCase):
    """The client withdraws what was forwarded and is queued there, or waits for a connection."""

    def test_remote_gateway_sends_nothing_for_a_client_that_left_whatever_may_be_cancelled(self) -> None:
        """Guards against a withdrawal that is not passed on where attempts may not be cancelled."""
        for cancel in (True, False):
            for connect_ms in (0, 1_000):
                with self.subTest(cancel=cancel, connect_ms=connect_ms):
                    world = TwoSites(trace=False, cores=1, Cancel=cancel)
                    world.establish_link()
                    if not connect_ms:
                        for number in range(3):
                            world.b.submit(f"own {number}", "lookup")
                        world.refresh_capacity()
                        world.outbound.route.available_threads = 50.0
                        world.a.controller.site_forwarding.sites[0].policy_state.limit.value = 50.0
                    world.b.fake_engines[0].connect_us = 1000 * connect_ms
                    world.a.submit("request", "lookup", 8_000)
                    world.run(20)
                    world.a.cancel("request")
                    world.run(50)
                    for name in list(world.b.fake_engines[0].open):
                        world.b.fake_engines[0].answer(name)
                    world.run(8_000, step_us=5_000)
                    self.assertNotIn(world.name("request"), [name for name, _ in world.runs])
                    self.assertFalse(world.outbound.ledger.open or world.a.accounting.open_requests)


class ForgottenLinkTest(unittest.TestCase):
    """The link is away for longer than the remote gateway remembers it, and a request still waits."""

    def test_request_that_ran_is_not_run_again_after_the_remote_gateway_forgot_the_link(self) -> None:
        """Guards against an unsafe request that runs twice, as a link that starts anew knows no numbers."""
        for request_class, answer in (("post", "abandoned"), ("load", "fulfilled, 8 bytes")):
            with self.subTest(request_class=request_class):
                world = TwoSites(trace=False, local_engines=1, dedup_window_ms=100_000)
                world.a.update_endpoints(EndpointState.DRAINING)
                world.establish_link()
                world.a.submit("request", request_class, 100_000)
                world.run(60)
                world.b.fake_engines[0].answer(world.name("request"))
                world.disconnect()
                world.forget_inbound_link()
                world.a.update_endpoints(EndpointState.READY)
                world.connect()
                world.run(1_000)
                for name in list(world.a.fake_engines[0].open):
                    world.a.fake_engines[0].answer(name)
                self.assertEqual({"request": [answer]}, world.answers())


# How the link is disturbed: silenced directions, or none for a cut, and when it is back, in milliseconds.
DISTURBANCES = tuple(
    (silenced, back_ms)
    for silenced in ((), ("there",), ("back",), ("there", "back"))
    for back_ms in (500, 1_600, 3_000, None)
)
RUN_MS, TIMEOUT_MS = 5_000, 9_000


class CancellationTest(unittest.TestCase):
    """The link is disturbed while a request runs at hall-b, with `Limits.Cancel` as it may be."""

    def _disturb(
        self, request_class: str, silenced: tuple[str, ...], back_ms: int | None, cancel: bool
    ) -> TwoSites:
        world = TwoSites(trace=False, local_engines=1, Cancel=cancel)
        world.a.update_endpoints(EndpointState.DRAINING)
        world.establish_link()
        world.a.submit("request", request_class, TIMEOUT_MS)
        world.run(60)
        self.assertEqual(1, len(world.runs))
        world.a.update_endpoints(EndpointState.READY)
        if silenced:
            world.silenced.update(silenced)
        else:
            world.disconnect()
        back_us = world.clocks[0].time_us + 1000 * back_ms if back_ms else None
        for _ in range(0, TIMEOUT_MS + 1_000, 20):
            if back_us is not None and world.clocks[0].time_us >= back_us:
                world.silenced.clear()
                if not world.is_connected:
                    world.connect()
            world.run(20, step_us=5_000)
            self._answer_finished(world)
        return world

    def _answer_finished(self, world: TwoSites) -> None:
        """The engines answer what has run for long enough; checks that none runs a request beside another."""
        engines = (*world.a.fake_engines, *world.b.fake_engines)
        self.assertLessEqual(sum(len(engine.open) for engine in engines), 1, "two attempts are out")
        for engine in engines:
            for name in list(engine.open):
                if world.clocks[0].time_us - world.run_started_us[name] >= 1000 * RUN_MS:
                    engine.answer(name)

    def test_no_second_attempt_where_the_remote_gateway_may_not_cancel_the_first(self) -> None:
        """Guards against a retry after the lease while the remote attempt runs on, uncancelled."""
        for silenced, back_ms in DISTURBANCES:
            for request_class in ("lookup", "load", "post"):
                with self.subTest(silenced=silenced, back_ms=back_ms, request_class=request_class):
                    world = self._disturb(request_class, silenced, back_ms, cancel=False)
                    self.assertEqual(1, len(world.runs))
                    (answers,) = world.answers().values()
                    self.assertEqual(1, len(answers))
                    if back_ms is not None:
                        self.assertEqual(["fulfilled, 8 bytes"], answers)
                    answered_ms = (world.answered_us[world.name("request")] - world.clocks[0].time_us) / 1000
                    self.assertLessEqual(answered_ms, -940)

    def test_request_that_its_site_would_retry_after_the_lease_is_refused_where_it_may_not_be_cancelled(
        self,
    ) -> None:
        """Guards against a second attempt by a forwarding gateway of an earlier build."""
        world = TwoSites(trace=False, Cancel=False)
        world.establish_link()
        world.outbound._can_remote_fence = True
        world.a.submit("request", "lookup", 1_000)
        world.run(1_500)
        self.assertEqual(([], {"request": ["denied"]}), (world.runs, world.answers()))
        self.assertEqual(1, world.b.counters.counts["crossings refused here"])
        self.assertIsNone(world.link_error)

    def test_request_is_retried_after_the_lease_where_the_remote_gateway_may_cancel_it(self) -> None:
        """Guards against a lease without use: a request whose remote attempt is cancelled is served here."""
        for silenced, back_ms in DISTURBANCES:
            for request_class in ("lookup", "load"):
                with self.subTest(silenced=silenced, back_ms=back_ms, request_class=request_class):
                    world = self._disturb(request_class, silenced, back_ms, cancel=True)
                    self.assertEqual({"request": ["fulfilled, 8 bytes"]}, world.answers())


if __name__ == "__main__":
    unittest.main()
