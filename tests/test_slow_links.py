"""Requests that cross a link whose delay changes: nothing is begun for a client that has its answer."""

import random
import unittest
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from cresstray.sites.ledger import ForwardingState
from tests.halls import TwoSites

# Each way, in milliseconds.
CALM_MS, PEAKS_MS = 5, (0, 20, 100, 250, 400, 700, 1250, 2000, 3000)
DIRECTIONS = ("there", "back", "both")
# An attempt that begins later than this after the client's answer is a broken promise.
MAX_START_AFTER_ANSWER_US = 100_000
STEP_MS, CHANGING_MS, SETTLING_MS, RUN_MS = 20, 2_400, 5_000, 60
TIMEOUTS_MS = (360, 1_200, 3_000)

# The delay at a time, both in milliseconds, on the way to the peak delay or back from it.
Shape = Callable[[float, float], float]


def at_once(peak_ms: float, elapsed_ms: float) -> float:
    return peak_ms if elapsed_ms >= 400 else CALM_MS


def growing(peak_ms: float, elapsed_ms: float) -> float:
    return CALM_MS + (peak_ms - CALM_MS) * min(1.0, elapsed_ms / CHANGING_MS)


def falling(peak_ms: float, elapsed_ms: float) -> float:
    return peak_ms if elapsed_ms < 400 else growing(peak_ms, CHANGING_MS - elapsed_ms)


SHAPES: tuple[Shape, ...] = (at_once, growing, falling)


@dataclass(frozen=True)
class Profile:
    """How the delay of a link changes."""

    shape: Shape
    peak_ms: int
    direction: str

    def apply(self, world: TwoSites, elapsed_ms: float) -> None:
        """Sets the delay of both ways for this time after the beginning."""
        delay_us = int(1000 * max(0.0, self.shape(self.peak_ms, elapsed_ms)))
        world.delay_us = delay_us if self.direction != "back" else 1000 * CALM_MS
        world.delay_back_us = delay_us if self.direction != "there" else 1000 * CALM_MS

    def __str__(self) -> str:
        return f"{self.shape.__name__}, {self.peak_ms} ms, {self.direction}"


def profiles() -> Iterator[Profile]:
    for shape in SHAPES:
        for peak_ms in PEAKS_MS:
            for direction in DIRECTIONS:
                yield Profile(shape, peak_ms, direction)


def answer_finished(world: TwoSites) -> None:
    """The engines answer what has run for long enough."""
    now_us = world.clocks[0].time_us
    for engine in (*world.a.fake_engines, *world.b.fake_engines):
        for name in list(engine.open):
            if now_us - world.run_started_us[name] >= 1000 * RUN_MS:
                engine.answer(name)


def run_answering(world: TwoSites, milliseconds: int) -> None:
    """Advances the clocks while the engines answer."""
    for _ in range(0, milliseconds, STEP_MS):
        world.run(STEP_MS, step_us=5_000)
        answer_finished(world)


def late_starts(world: TwoSites) -> dict[str, int]:
    """By label, for how many milliseconds a client had its answer when an attempt began."""
    late_us = {
        world.names[name]: started_us - world.answered_us[name]
        for name, started_us in world.run_started_us.items()
        if name in world.answered_us
    }
    return {label: late // 1000 for label, late in late_us.items() if late > MAX_START_AFTER_ANSWER_US}


class ChangingDelayTest(unittest.TestCase):
    """The real pipeline, policy and link of two gateways on a virtual clock."""

    def play(self, profile: Profile, cores: int = 2) -> TwoSites:
        world = TwoSites(trace=False, cores=cores)
        if profile.shape is falling:
            profile.apply(world, 0)
        world.connect()
        world.run(1_500 + 4 * profile.peak_ms, step_us=5_000)
        for elapsed_ms in range(0, CHANGING_MS + SETTLING_MS, STEP_MS):
            profile.apply(world, elapsed_ms)
            if elapsed_ms < CHANGING_MS and elapsed_ms % 80 == 0:
                timeout_ms = TIMEOUTS_MS[elapsed_ms // 80 % len(TIMEOUTS_MS)]
                for request_class in ("lookup", "load", "post"):
                    world.a.submit(f"{request_class} at {elapsed_ms}", request_class, timeout_ms)
            run_answering(world, STEP_MS)
        return world

    def assert_promises_kept(self, world: TwoSites) -> None:
        """Each request of hall-a's client has one answer, and nothing began after it."""
        self.assertEqual({}, late_starts(world))
        self.assertEqual(set(world.names.values()), set(world.answers()))
        self.assertEqual({1}, set(map(len, world.answers().values())))

    def test_no_attempt_begins_after_the_answer_whatever_the_delay_does(self) -> None:
        """Guards against a far gateway that adds the time on the way to the time that a request has left."""
        for profile in profiles():
            with self.subTest(str(profile)):
                world = self.play(profile)
                self.assert_promises_kept(world)

    def test_steady_link_serves_what_it_can_serve_in_time(self) -> None:
        """The greatest age of a frame is the round trip, also when heartbeats were rare before it."""
        for delay_ms in (5, 20, 50, 100, 150, 200, 250):
            for idle_ms in (0, 60_000):
                with self.subTest(delay_ms=delay_ms, idle_ms=idle_ms):
                    world = TwoSites(trace=False, delay_us=1000 * delay_ms)
                    world.connect()
                    world.run(5_500 + idle_ms, step_us=10_000)
                    # Two round trips, the first of which reports the far capacity, and a calm link's time.
                    timeout_ms = 4 * delay_ms + 700
                    for number in range(10):
                        world.a.submit(f"request {number}", "lookup", timeout_ms)
                        run_answering(world, timeout_ms + STEP_MS)
                    self.assertEqual({"fulfilled, 8 bytes"}, {one for (one,) in world.answers().values()})

    def test_no_attempt_begins_after_the_answer_through_cuts_silences_and_restarts(self) -> None:
        """The bound on a frame's age starts anew with each connection and each life of the far gateway."""
        for seed in range(40):
            with self.subTest(seed=seed):
                rng = random.Random(seed)
                world = TwoSites(trace=False, cores=1)
                world.establish_link()
                for number in range(120):
                    self._disturb(world, rng)
                    if rng.random() < 0.6:
                        request_class = rng.choice(("lookup", "load", "post"))
                        world.a.submit(f"request {number}", request_class, rng.choice(TIMEOUTS_MS))
                    world.run(rng.choice((10, 40, 120)), step_us=5_000)
                    answer_finished(world)
                world.silenced.clear()
                run_answering(world, SETTLING_MS)
                self.assert_promises_kept(world)

    def test_remote_gateway_that_was_stopped_sends_nothing_for_requests_that_have_ended(self) -> None:
        """One is queued there and one on its way; what it handles first when it wakes is by chance."""
        for stopped_ms in (300, 900, 2_000, 5_000):
            for first in ("frames", "timers", "engines"):
                for timeout_ms in TIMEOUTS_MS:
                    with self.subTest(stopped_ms=stopped_ms, first=first, timeout_ms=timeout_ms):
                        world = self._stop_remote(stopped_ms, timeout_ms)
                        self._wake_remote(world, first)
                        run_answering(world, SETTLING_MS)
                        self.assertEqual({}, late_starts(world))
                        self.assertEqual({1}, set(map(len, world.answers().values())))

    def _stop_remote(self, stopped_ms: int, timeout_ms: int) -> TwoSites:
        """Stops the far gateway while its engine is busy with its own work."""
        world = TwoSites(trace=False, cores=1)
        world.establish_link()
        for number in range(3):
            world.b.submit(f"own {number}", "lookup")
        world.refresh_capacity()
        world.outbound.route.available_threads = 50.0
        world.a.controller.site_forwarding.sites[0].policy_state.limit.value = 50.0
        world.a.submit("queued there", "load", timeout_ms)
        world.run(8)
        self.assertEqual(
            [ForwardingState.ACCEPTED], [one.state for one in world.inbound.ledger.open.values()]
        )
        world.is_remote_stopped = True
        world.a.submit("on its way", "lookup", timeout_ms)
        world.run(stopped_ms, step_us=5_000)
        return world

    def _wake_remote(self, world: TwoSites, first: str) -> None:
        if first == "engines":
            for name in list(world.b.fake_engines[0].open):
                world.b.fake_engines[0].answer(name)
        elif first == "timers":
            world.b.timers.run_due()
        world.is_remote_stopped = False

    def _disturb(self, world: TwoSites, rng: random.Random) -> None:
        if rng.random() < 0.15:
            world.delay_us, world.delay_back_us = (1000 * rng.choice((5, 50, 300, 900)) for _ in range(2))
        if rng.random() < 0.06:
            world.silenced.symmetric_difference_update({rng.choice(("there", "back"))})
        if not world.is_connected:
            world.silenced.clear()
            world.connect()
        elif rng.random() < 0.03:
            world.disconnect()
            if rng.random() < 0.4:
                world.restart_remote_gateway()
