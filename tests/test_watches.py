"""The watch on the list of engines at rare moments: scripted coordinators on loopback, and what they tell."""

import contextlib
import io
import json
import os
import socket
import struct
import tempfile
import time
import unittest
from collections.abc import Awaitable, Callable
from pathlib import Path
from unittest import mock

import anyio
import anyio.abc

from cresstray import __main__ as program
from cresstray.clock import Clock
from cresstray.discovery import endpoint_list
from cresstray.discovery import watch as discovery_watch
from cresstray.discovery.codec import EventDecoder
from cresstray.discovery.endpoint_list import Endpoint, EndpointEvent, MalformedEventError, apply_final_states
from cresstray.discovery.watch import EndpointWatch
from cresstray.gateway import service as services
from cresstray.gateway.errors import AddressError
from cresstray.gateway.service import Service
from cresstray.observability.counters import Counters
from cresstray.observability.log import Log
from cresstray.pipeline.routing import Router
from cresstray.policy.types import EndpointState
from cresstray.transport.streams import connect
from tests.harness import ClientStandIn
from tests.scripted import LONG, turns, until
from tests.test_codecs import frame
from tests.test_service import GatewayHarness

READY, DRAINING, GONE = 0, 1, 2
LOOPBACK = 0x7F000001


def record(number: int, state: int = READY, port: int = 7001, started: int = 0) -> tuple:
    return (number, LOOPBACK, port, state, 0, 0, 0, 1000, started)


class Coordinator:
    """Takes links one at a time, each with the number that it asks for; the test says what goes out."""

    def __init__(self) -> None:
        self._listener = socket.create_server(("127.0.0.1", 0))
        self._listener.setblocking(False)
        self.address = "127.0.0.1:{}".format(*self._listener.getsockname()[1:])
        self.links = 0

    async def link(self) -> tuple[socket.socket, int]:
        await anyio.wait_readable(self._listener)
        made = self._listener.accept()[0]
        made.setblocking(False)
        made.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.links += 1
        await anyio.wait_readable(made)
        return made, struct.unpack(">Q", made.recv(8))[0]

    def close(self) -> None:
        self._listener.close()


class Watch:
    """One feed, what it has told as (number, states by engine), and what it says."""

    def __init__(self, address: str, last: int = 1, **limits: object) -> None:
        self.told: list[tuple[int, dict[int, str]]] = []
        self.fails: list[int] = []  # numbers whose telling fails, once each
        self.counters, self._changed = Counters(), anyio.Event()
        self.feed = EndpointWatch(address, last, self._told, self.counters, Log("n0", Clock()), **limits)

    def _told(self, event: EndpointEvent) -> None:
        self._changed.set()
        self._changed = anyio.Event()
        if event.index in self.fails:
            self.fails.remove(event.index)
            raise RuntimeError("half way")
        self.told.append((event.index, {one.id: one.state.value for one in event.endpoints}))

    async def until(self, number: int) -> None:
        while number not in [one for one, _ in self.told]:
            await self._changed.wait()

    def play(self, scene: Callable[[anyio.abc.TaskGroup], Awaitable]) -> str:
        """What was said on standard error while the scene was played; the feed runs to its end."""

        async def main() -> None:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.feed.run, tasks)
                with anyio.fail_after(5):
                    await scene(tasks)
                tasks.cancel_scope.cancel()

        with contextlib.redirect_stderr(io.StringIO()) as said:
            anyio.run(main, backend_options={"use_uvloop": True})
        return said.getvalue()


class Starts(unittest.TestCase):
    """How long a gateway that starts waits for what is new."""

    def setUp(self) -> None:
        self.coordinator = Coordinator()
        self.addCleanup(self.coordinator.close)

    def waits(self, watch: Watch, says: bytes | None, within: float) -> float:
        """Seconds until it has caught up with a coordinator that answers a hello so; None: not at all."""
        taken = 0.0

        async def scene(tasks: anyio.abc.TaskGroup) -> None:
            nonlocal taken
            begun = anyio.current_time()
            if says is not None:
                tasks.start_soon(tells)
            await watch.feed.wait_until_current(within)
            taken = anyio.current_time() - begun

        async def tells() -> None:
            made, _ = await self.coordinator.link()
            made.send(says)
            await anyio.sleep_forever()

        watch.play(scene)
        return taken

    def test_what_is_new_is_told_first(self) -> None:
        for number, says in enumerate(
            (frame(2, 2, record(5)) + frame(3, 2, record(5, DRAINING)), frame(2, 2, record(5, DRAINING))), 1
        ):
            watch = Watch(self.coordinator.address)
            self.assertLess(self.waits(watch, says, LONG), LONG)
            self.assertEqual("draining", watch.told[-1][1][5], number)

    def test_nothing_new_is_an_end_of_the_wait(self) -> None:
        with mock.patch.object(discovery_watch, "_SETTLED_AFTER_S", LONG):
            self.assertLess(self.waits(Watch(self.coordinator.address), frame(1, 0), LONG), LONG)

    def test_a_coordinator_that_is_silent_or_away_is_not_waited_for(self) -> None:
        self.assertLess(self.waits(Watch(self.coordinator.address), b"", LONG), LONG)
        with mock.patch.object(discovery_watch, "_SETTLED_AFTER_S", LONG):
            self.assertGreater(self.waits(Watch(self.coordinator.address), None, 0.1), 0.09)
        self.coordinator.close()
        self.assertGreater(self.waits(Watch(self.coordinator.address), None, 0.1), 0.09)
        self.assertLess(self.waits(Watch(None), None, LONG), LONG)

    def test_half_an_event_is_waited_for(self) -> None:
        """What has come, and was not read yet, counts as well."""

        async def scene(tasks: anyio.abc.TaskGroup) -> None:
            event = frame(2, 2, record(5, DRAINING))
            made, _ = await self.coordinator.link()
            made.send(event[:9])
            while not watch.feed._last_received_s:
                await turns(1)
            tasks.start_soon(watch.feed.wait_until_current, LONG)
            await turns(3)
            made.send(event[9:])
            time.sleep(0.1)  # the loop is late: it finds the end of the wait beside what has come
            self.assertFalse(watch.feed._has_caught_up())
            await watch.until(2)

        watch = Watch(self.coordinator.address)
        watch.play(scene)
        self.assertEqual([(2, {5: "draining"})], watch.told)


async def ended(made: socket.socket) -> None:
    """Waits until the other side has closed."""
    while True:
        await anyio.wait_readable(made)
        try:
            if not made.recv(100):
                return
        except ConnectionError:
            return


class Links(unittest.TestCase):
    """When a link is left, and what is asked for on the next one."""

    def setUp(self) -> None:
        self.coordinator = Coordinator()
        self.addCleanup(self.coordinator.close)

    def test_silent_while_open_and_a_drain_right_after(self) -> None:
        async def scene(_: anyio.abc.TaskGroup) -> None:
            first, number = await self.coordinator.link()
            first.send(frame(1, 0) + frame(2, 2, record(5)))
            second, again = await self.coordinator.link()
            second.send(frame(3, 2, record(5, DRAINING)))
            await watch.until(3)
            self.assertEqual((1, 2), (number, again))
            await ended(first)

        watch = Watch(self.coordinator.address, silence_timeout_s=0.3)
        watch.play(scene)
        self.assertEqual([(2, {5: "ready"}), (3, {5: "draining"})], watch.told)

    def test_accepted_and_nothing_said(self) -> None:
        async def scene(_: anyio.abc.TaskGroup) -> None:
            self.assertEqual(1, (await self.coordinator.link())[1])
            made, number = await self.coordinator.link()
            self.assertEqual(1, number)
            made.send(frame(2, 2))
            await watch.until(2)

        watch = Watch(self.coordinator.address, silence_timeout_s=0.3, frame_timeout_s=30)
        watch.play(scene)

    def test_a_trickle_that_never_ends_a_frame(self) -> None:
        async def trickle(made: socket.socket) -> None:
            with contextlib.suppress(OSError):
                for byte in frame(2, 2, *[record(number) for number in range(50)]):
                    made.send(bytes([byte]))
                    await anyio.sleep(0.02)

        async def scene(tasks: anyio.abc.TaskGroup) -> None:
            made, _ = await self.coordinator.link()
            made.send(frame(1, 0))
            tasks.start_soon(trickle, made)
            other, number = await self.coordinator.link()
            self.assertEqual(1, number)
            other.send(frame(2, 2, record(5, DRAINING)))
            await watch.until(2)

        # Fifty records take 27 s; the silence between two bytes never reaches its limit.
        watch = Watch(self.coordinator.address, silence_timeout_s=2, frame_timeout_s=0.3)
        watch.play(scene)
        self.assertEqual([(2, {5: "draining"})], watch.told)

    def test_a_whole_list_over_a_slow_network_gets_through(self) -> None:
        async def scene(_: anyio.abc.TaskGroup) -> None:
            made, _ = await self.coordinator.link()
            data = frame(2, 1, *[record(number, port=1 + number) for number in range(1024)])
            for at in range(0, len(data), 2800):
                made.send(data[at : at + 2800])
                await anyio.sleep(0.02)
            await watch.until(2)

        watch = Watch(self.coordinator.address, frame_timeout_s=2)
        watch.play(scene)
        self.assertEqual((1, 1024), (self.coordinator.links, len(watch.told[0][1])))

    def test_frames_that_go_on_coming_hold_the_link(self) -> None:
        async def scene(_: anyio.abc.TaskGroup) -> None:
            made, _ = await self.coordinator.link()
            for _ in range(10):
                made.send(frame(1, 0))
                await anyio.sleep(0.1)
            made.send(frame(2, 2))
            await watch.until(2)

        watch = Watch(self.coordinator.address, frame_timeout_s=0.8)
        watch.play(scene)
        self.assertEqual(1, self.coordinator.links)

    def test_a_stop_is_heard_of_in_time(self) -> None:
        """What there is to tell counts as told four seconds after a stop, two after a break."""
        longest = discovery_watch._MAX_BACKOFF_S * 1.5 + discovery_watch._CONNECT_TIMEOUT_S
        self.assertLess(
            discovery_watch._FRAME_TIMEOUT_S
            + discovery_watch._FIRST_BACKOFF_S * 1.5
            + discovery_watch._CONNECT_TIMEOUT_S,
            4,
        )
        self.assertLess(discovery_watch._SILENCE_TIMEOUT_S + longest + discovery_watch._SILENCE_TIMEOUT_S, 4)
        self.assertLess(longest, 2)
        self.assertLess(
            1024 * 27 / discovery_watch._FRAME_TIMEOUT_S, 10_000, "bytes a second for a list of 1,024 engines"
        )

    def test_cut_within_a_frame(self) -> None:
        async def scene(_: anyio.abc.TaskGroup) -> None:
            data = frame(2, 2, record(5)) + frame(3, 2, record(5, DRAINING))
            for cut, asked in ((3, 1), (20, 1), (len(data) - 1, 1), (len(data), 2)):
                made, number = await self.coordinator.link()
                self.assertEqual(asked, number)
                made.send(data[:cut] if asked == 1 else data[len(data) // 2 :])
                made.close()
            await watch.until(3)

        watch = Watch(self.coordinator.address)
        watch.play(scene)
        self.assertEqual([(2, {5: "ready"}), (3, {5: "draining"})], watch.told)

    def test_a_word_and_a_close_each_time_is_no_reason_to_hurry(self) -> None:
        async def scene(_: anyio.abc.TaskGroup) -> None:
            began = anyio.current_time()
            for _ in range(5):
                made, _ = await self.coordinator.link()
                made.send(frame(1, 0) + frame(2, 2, record(5))[:20])
                made.close()
            self.assertGreater(anyio.current_time() - began, 0.5)

        Watch(self.coordinator.address).play(scene)

    def test_chance_spreads_the_pauses(self) -> None:
        async def scene(_: anyio.abc.TaskGroup) -> None:
            made, _ = await self.coordinator.link()
            began = anyio.current_time()
            made.close()
            await self.coordinator.link()
            self.assertGreater(anyio.current_time() - began, 0.39)

        Watch(self.coordinator.address, random=lambda: 9.5).play(scene)

    def test_old_numbers_and_events_twice(self) -> None:
        async def scene(_: anyio.abc.TaskGroup) -> None:
            made, _ = await self.coordinator.link()
            drains, ready = record(5, DRAINING), record(5)
            made.send(2 * frame(8, 2, drains))
            await watch.until(8)
            for data in (
                frame(7, 2, ready) + frame(8, 1, ready),
                frame(2, 1, record(6)),
                frame(9, 2),
            ):
                made.send(data)
            await watch.until(9)

        watch = Watch(self.coordinator.address, last=7)
        watch.play(scene)
        self.assertEqual([(8, {5: "draining"}), (9, {})], watch.told)
        self.assertEqual(1, self.coordinator.links)

    def test_bad_frames(self) -> None:
        """Each right behind a drain, which is told; the link is made again, and asks for what comes next."""
        bad = (
            frame(3, 3),
            frame(3, 0xFF, record(5)),
            frame(3, 2, record(5, state=3)),
            struct.pack(">IQB", 9 + 26, 3, 2) + bytes(26),
            struct.pack(">I", 4_000_001) + bytes(9),
            struct.pack(">I", 8) + bytes(8),
            struct.pack(">I", 0),
            bytes([255]) * 40,
        )

        async def scene(_: anyio.abc.TaskGroup) -> None:
            for turn, data in enumerate(bad):
                made, number = await self.coordinator.link()
                self.assertEqual(1 + turn, number)
                made.send(frame(2 + turn, 2, record(turn, DRAINING)) + data)
                await watch.until(2 + turn)
                await ended(made)

        watch = Watch(self.coordinator.address)
        said = watch.play(scene)
        self.assertEqual([(2 + turn, {turn: "draining"}) for turn in range(len(bad))], watch.told)
        self.assertEqual(0, watch.counters.counts["faults"])
        self.assertIn("MalformedEventError", said)

    def test_away_at_the_start_and_back_later(self) -> None:
        self.coordinator.close()
        port = int(self.coordinator.address.rpartition(":")[2])

        async def scene(_: anyio.abc.TaskGroup) -> None:
            while not watch.counters.counts["coordinator connections ended"]:
                await anyio.sleep(0.01)
            self.coordinator._listener = socket.create_server(("127.0.0.1", port))
            self.coordinator._listener.setblocking(False)
            made, number = await self.coordinator.link()
            made.send(frame(2, 1, record(5, DRAINING)))
            await watch.until(2)
            self.assertEqual(1, number)

        watch = Watch(self.coordinator.address)
        watch.play(scene)
        self.assertEqual([(2, {5: "draining"})], watch.told)


def hanging(case: unittest.TestCase) -> str:
    """An address where connections never come up: nobody takes them, and no more may wait."""
    full = socket.create_server(("127.0.0.1", 0), backlog=0)
    case.addCleanup(full.close)
    for _ in range(2):
        waiting = socket.socket()
        case.addCleanup(waiting.close)
        waiting.setblocking(False)
        with contextlib.suppress(BlockingIOError):
            waiting.connect(full.getsockname())
    return "127.0.0.1:{}".format(*full.getsockname()[1:])


class Moves(unittest.TestCase):
    """The configuration is replaced: another coordinator, or the same, at once."""

    def setUp(self) -> None:
        self.old, self.new = Coordinator(), Coordinator()
        self.addCleanup(self.old.close)
        self.addCleanup(self.new.close)

    def test_while_a_frame_is_half_read(self) -> None:
        async def scene(_: anyio.abc.TaskGroup) -> None:
            first, _ = await self.old.link()
            event = frame(3, 2, record(6, DRAINING))
            first.send(frame(2, 2, record(5)) + event[:20])
            await watch.until(2)
            watch.feed.move(self.new.address)
            second, number = await self.new.link()
            self.assertEqual(2, number)
            await ended(first)
            second.send(event)
            await watch.until(3)

        watch = Watch(self.old.address)
        watch.play(scene)
        self.assertEqual([(2, {5: "ready"}), (3, {6: "draining"})], watch.told)

    def test_to_the_same_address(self) -> None:
        """It may have stopped telling: the next link asks at once."""

        async def scene(_: anyio.abc.TaskGroup) -> None:
            first, _ = await self.old.link()
            watch.feed.move(self.old.address)
            second, number = await self.old.link()
            second.send(frame(2, 2, record(5, DRAINING)))
            await watch.until(2)
            await ended(first)
            self.assertEqual(1, number)

        watch = Watch(self.old.address, silence_timeout_s=30, frame_timeout_s=30)
        watch.play(scene)

    def test_twice_in_a_row_and_back(self) -> None:
        async def scene(_: anyio.abc.TaskGroup) -> None:
            await self.old.link()
            for address in (self.new.address, self.old.address):
                watch.feed.move(address)
            made, _ = await self.old.link()
            for address in (self.old.address, self.new.address):
                watch.feed.move(address)
            await ended(made)
            made, number = await self.new.link()
            made.send(frame(2, 2))
            await watch.until(2)
            self.assertEqual(1, number)

        watch = Watch(self.old.address, silence_timeout_s=30, frame_timeout_s=30)
        watch.play(scene)
        self.assertEqual((2, 1), (self.old.links, self.new.links))

    def test_while_a_connection_never_comes_up(self) -> None:
        async def scene(_: anyio.abc.TaskGroup) -> None:
            await anyio.sleep(0.05)
            watch.feed.move(self.new.address)
            await self.new.link()
            self.assertEqual(0, watch.counters.counts["coordinator connections ended"])

        watch = Watch(hanging(self), connect_timeout_s=30)
        watch.play(scene)

    def test_a_connection_that_never_comes_up_is_tried_again(self) -> None:
        async def scene(_: anyio.abc.TaskGroup) -> None:
            while watch.counters.counts["coordinator connections ended"] < 2:
                await anyio.sleep(0.01)

        watch = Watch(hanging(self), connect_timeout_s=0.1)
        self.assertIn("TimeoutError", watch.play(scene))

    def test_during_the_pause(self) -> None:
        async def scene(_: anyio.abc.TaskGroup) -> None:
            while not watch.counters.counts["coordinator connections ended"]:
                await anyio.sleep(0.01)
            watch.feed.move(self.new.address)
            await self.new.link()

        self.old.close()
        watch = Watch(self.old.address, random=lambda: 1000.0)  # the pause is 40 s
        watch.play(scene)

    def test_to_none_and_back(self) -> None:
        async def scene(_: anyio.abc.TaskGroup) -> None:
            made, _ = await self.old.link()
            watch.feed.move(None)
            await ended(made)
            watch.feed.move(None)
            watch.feed.move(self.old.address)
            await self.old.link()

        watch = Watch(self.old.address)
        self.assertEqual(1, watch.play(scene).count("now follows None"))

    def test_no_address(self) -> None:
        """ValueError that names the value, at the start and in a new configuration, whose old one stays."""
        watch = Watch(self.old.address)
        for wrong in (
            "127.0.0.1:65536",
            "127.0.0.1:99999999999999999999",
            "127.0.0.1:0",
            "127.0.0.1:-1",
            "127.0.0.1:x",
            "no address",
            ":7001",
            "coordinator.east:7001",
            "caf\u00e9.example:7001",
            "127.0.0:7001",
            "127.0.0.256:7001",
            "[::1]:7001",
            "x" * 300 + ":7001",
            "\x00:7001",
        ):
            with self.subTest(wrong):
                for call in (lambda wrong=wrong: EndpointWatch(wrong, 0, None, None, None), watch.feed.move):
                    with self.assertRaises(ValueError) as caught:
                        call(wrong) if call == watch.feed.move else call()
                    self.assertTrue(any(part and part in str(caught.exception) for part in wrong.split(":")))
                    self.assertNotIn("\n", str(caught.exception))
        self.assertEqual(self.old.address, "{}:{}".format(*watch.feed._address))


class Telling(unittest.TestCase):
    """A fault in telling an event is contained, and the event is not lost."""

    def setUp(self) -> None:
        self.coordinator = Coordinator()
        self.addCleanup(self.coordinator.close)

    def test_an_event_whose_telling_fails_comes_again(self) -> None:
        async def scene(_: anyio.abc.TaskGroup) -> None:
            data = frame(2, 2, record(5, DRAINING))
            for _ in range(2):
                made, number = await self.coordinator.link()
                self.assertEqual(1, number)
                made.send(data)
            await watch.until(2)

        watch = Watch(self.coordinator.address)
        watch.fails = [2]
        said = watch.play(scene)
        self.assertEqual([(2, {5: "draining"})], watch.told)
        self.assertEqual((1, 1), (watch.counters.counts["faults"], said.count("RuntimeError: half way")))

    def test_one_that_can_never_be_told_keeps_nothing_behind_it_away(self) -> None:
        async def scene(_: anyio.abc.TaskGroup) -> None:
            numbers = []
            for _ in range(4):
                made, number = await self.coordinator.link()
                numbers.append(number)
                for late in range(number + 1, 4):
                    made.send(frame(late, 2, record(late, DRAINING)))
            await watch.until(3)
            self.assertEqual([1, 1, 1, 2], numbers)

        watch = Watch(self.coordinator.address)
        watch.fails = 9 * [2]
        watch.play(scene)
        self.assertEqual([(3, {3: "draining"})], watch.told)
        self.assertEqual(3, watch.counters.counts["faults"])

    def test_what_has_come_together_is_known_from_the_first(self) -> None:
        async def scene(_: anyio.abc.TaskGroup) -> None:
            made, _ = await self.coordinator.link()
            made.send(frame(2, 2, record(5)) + frame(3, 2, record(5, DRAINING), record(6)))
            await watch.until(3)

        watch = Watch(self.coordinator.address)
        watch.play(scene)
        self.assertEqual([(2, {5: "draining"}), (3, {6: "ready", 5: "draining"})], watch.told)


def member(
    number: int, state: EndpointState = EndpointState.READY, port: int = 7001, started: int = 0
) -> Endpoint:
    return Endpoint(number, "127.0.0.1", port, state, 0, 0, 0, started)


class Foreseen(unittest.TestCase):
    def states(self, *events: EndpointEvent) -> list[tuple[int, dict[int, str]]]:
        told = apply_final_states(events)
        return [(event.index, {one.id: one.state.value for one in event.endpoints}) for event in told]

    def test_events_of_one_reading(self) -> None:
        drains, gone = member(1, EndpointState.DRAINING), member(1, EndpointState.REMOVED)
        for text, events, wanted in (
            ("one", (EndpointEvent(1, False, [member(1), drains]),), [(1, {1: "draining"})]),
            (
                "an engine of none of the first",
                (EndpointEvent(1, False, [member(2)]), EndpointEvent(2, False, [drains])),
                [(1, {2: "ready", 1: "draining"}), (2, {1: "draining"})],
            ),
            (
                "a whole list, and one that is gone from it",
                (EndpointEvent(1, True, [member(1)]), EndpointEvent(2, False, [gone])),
                [(1, {1: "removed"}), (2, {1: "removed"})],
            ),
            (
                "what a whole list follows",
                (EndpointEvent(1, False, [member(1)]), EndpointEvent(2, True, [member(2)])),
                [(2, {2: "ready"})],
            ),
            (
                "back again",
                (EndpointEvent(1, False, [gone]), EndpointEvent(2, False, [member(1, started=9)])),
                [(1, {1: "removed"}), (2, {1: "ready"})],
            ),
        ):
            with self.subTest(text):
                self.assertEqual(wanted, self.states(*events))

    def test_frames_before_a_bad_one_are_told_first(self) -> None:
        frames = EventDecoder()
        self.assertEqual([2], [event.index for event in frames.feed(frame(2, 2) + frame(3, 9))])
        for _ in range(2):
            with self.assertRaises(MalformedEventError):
                frames.feed(b"")


class PoolStandIn(list):
    """Links to one engine, as the route sees them: what is asked of them."""

    def __init__(self, label: str, address: tuple[str, int]) -> None:
        self.label, self.address = label, address

    def change_address(self, address: tuple[str, int]) -> None:
        self.address = address
        self.append("move")

    def retire(self) -> None:
        self.append("retire")

    def cancel_unwritten(self) -> None:
        self.append("recall")


class Listed(unittest.TestCase):
    """What the route makes of an event, whatever is in it."""

    def setUp(self) -> None:
        self.pools: list[PoolStandIn] = []
        self.route = Router(self.pool, None)

    def pool(self, label: str, address: tuple[str, int]) -> PoolStandIn:
        self.pools.append(PoolStandIn(label, address))
        return self.pools[-1]

    def tell(self, *members: Endpoint, complete: bool = False) -> dict[int, str]:
        """As the module would take it; the engines in use afterwards, with their states."""
        event = EndpointEvent(1, complete, list(members))
        before = dict(self.route.engines)
        self.entries = []
        for engine, (_, _, _, started, standing) in self.route.apply_event(event):
            engine.started_us, engine.state = started, standing
            self.entries.append(standing.value)
        self.route.cancel_unsent(event)
        gone = [engine for number, engine in before.items() if self.route.engines.get(number) is not engine]
        if not complete:
            self.assertTrue(
                all(engine.state is EndpointState.REMOVED for engine in gone), "the module is told"
            )
        self.assertEqual(len(self.route.engines), len(self.route._pools))
        return {number: engine.state.value for number, engine in self.route.engines.items()}

    def asked(self) -> dict[str, list[str]]:
        """What was asked of each pool."""
        return {f"{pool.label[-2:]} {pool.address[1]}": list(pool) for pool in self.pools}

    def test_an_address_of_another_id(self) -> None:
        self.tell(member(1), member(2, port=7002), complete=True)
        self.assertEqual({2: "ready", 3: "ready"}, self.tell(member(3, started=5)))
        self.assertEqual(["ready", "removed"], self.entries)
        self.assertEqual({"01 7001": ["retire", "recall"], "02 7002": [], "03 7001": []}, self.asked())
        # The coordinator has not told it gone yet, and lists it.
        for complete in (True, False):
            told = self.tell(member(1), member(2, port=7002), member(3, started=5), complete=complete)
            self.assertEqual({2: "ready", 3: "ready"}, told)
        self.assertEqual({2: "ready", 3: "ready"}, self.tell(member(1, EndpointState.DRAINING)))
        self.assertEqual({2: "ready", 3: "ready"}, self.tell(member(1, EndpointState.REMOVED)))
        self.assertEqual(3, len(self.pools))
        self.assertEqual({}, self.route._addresses._displaced)

    def test_who_lost_its_address_comes_back(self) -> None:
        for text, back, wanted in (
            ("elsewhere", [member(1, port=7009)], {3: "ready", 1: "ready"}),
            ("started later", [member(1, started=9)], {1: "ready"}),
            ("where nobody is", [member(3, EndpointState.REMOVED), member(1)], {1: "ready"}),
        ):
            with self.subTest(text):
                self.setUp()
                self.tell(member(1), complete=True)
                self.tell(member(3, started=5))
                self.assertEqual(wanted, self.tell(*back))
                self.assertEqual([], self.pools[-1])

    def test_both_in_one_event(self) -> None:
        old, new = member(1, started=2), member(3, started=5)
        for text, members in (
            ("old first", [old, new]),
            ("new first", [new, old]),
            ("told gone first", [member(1, EndpointState.REMOVED), new]),
            ("told gone last", [new, member(1, EndpointState.REMOVED)]),
            ("draining", [new, member(1, EndpointState.DRAINING)]),
        ):
            for known_before in (True, False):
                for complete in (True, False):
                    with self.subTest(text, known_before=known_before, complete=complete):
                        self.setUp()
                        if known_before:
                            self.tell(old, complete=True)
                        self.assertEqual({3: "ready"}, self.tell(*members, complete=complete))

    def test_two_that_change_places_stay(self) -> None:
        self.tell(member(1), member(2, port=7002), complete=True)
        self.assertEqual({1: "ready", 2: "ready"}, self.tell(member(1, port=7002), member(2)))
        self.assertEqual({"01 7002": ["move"], "02 7001": ["move"]}, self.asked())

    def test_an_engine_twice_in_one_event(self) -> None:
        drains, gone = member(1, EndpointState.DRAINING), member(1, EndpointState.REMOVED)
        for text, members, wanted in (
            ("draining and ready", [drains, member(1)], {1: "draining"}),
            ("ready and draining", [member(1), drains], {1: "draining"}),
            ("gone and ready", [gone, member(1)], {}),
            ("ready and gone", [member(1), gone], {}),
            ("ready later, and gone", [member(1, started=9), gone], {}),
            ("gone, and back later", [gone, member(1, started=9)], {1: "ready"}),
        ):
            for complete in (True, False):
                with self.subTest(text, complete=complete):
                    self.setUp()
                    self.tell(member(1), complete=True)
                    self.assertEqual(wanted, self.tell(*members, complete=complete))

    def test_what_has_not_left_is_recalled(self) -> None:
        """From engines that drain or are gone; links to those that moved see to it themselves."""
        drains = member(1, EndpointState.DRAINING)
        for text, members, complete, wanted in (
            ("drains", [drains], False, [["recall"]]),
            ("gone", [member(1, EndpointState.REMOVED)], False, [["retire", "recall"]]),
            ("not named", [], True, [["retire", "recall"]]),
            ("elsewhere", [member(1, port=7009)], False, [["move"]]),
            ("anew", [member(1, started=9)], False, [["move"]]),
            ("anew, and gone", [member(1, EndpointState.REMOVED, 7009, 9)], False, [["retire", "recall"]]),
            ("no change", [member(1)], False, [[]]),
        ):
            with self.subTest(text):
                self.setUp()
                self.tell(member(1), complete=True)
                self.tell(*members, complete=complete)
                self.assertEqual(wanted, [list(pool) for pool in self.pools])
                self.assertEqual([], self.route._retired)

    def test_gone_in_a_whole_list_is_forgotten(self) -> None:
        self.tell(member(1), member(2, port=7002), complete=True)
        told = self.tell(member(1, EndpointState.REMOVED), member(2, port=7002), complete=True)
        self.assertEqual({2: "ready"}, told)

    def test_engines_that_were_never_listed(self) -> None:
        self.assertEqual({}, self.tell(member(1, EndpointState.REMOVED)))
        self.assertEqual({2: "draining"}, self.tell(member(2, EndpointState.DRAINING)))


class Known(unittest.TestCase):
    def test_what_can_not_be_used_is_said_at_the_start(self) -> None:
        """In one line, with exit code 2: not as a traceback once a link is made."""
        for name, value in (
            ("host_port", "10.1.0.9:65536"),
            ("host_port", "10.1.0.9:0"),
            ("host_port", "10.1.0.9:"),
            ("host_port", "engine.east:7001"),
            ("host_port", "caf\u00e9:7001"),
            ("host_port", ":7001"),
            ("id", "s-"),
            ("id", "s-100000000"),
            ("id", "s--5"),
            ("id", "s-0x5"),
            ("id", "s-1_0"),
            ("id", "s- 5"),
            ("up_since_ms", -1),
            ("up_since_ms", 1e300),
            ("up_since_ms", "soon"),
            ("index", -1),
            ("index", 2**64),
        ):
            with self.subTest(f"{name} {value!r}"), tempfile.TemporaryDirectory() as folder:
                update = {"index": 1, "endpoints": {"complete": True}}
                engine = {"id": "s-00000001", "host_port": "10.1.0.9:7001", name: value}
                engine.pop("index", None)
                update["endpoints"]["members"] = [engine]
                update |= {name: value} if name == "index" else {}
                given = {"index": 1, "updates": [update]}
                path = Path(folder) / "config.json"
                path.write_text(
                    json.dumps(
                        {"name": "n0", "listen": "127.0.0.1:0", "seed": "1", "settings": {}, "known": given}
                    )
                )
                os.environ["GW_CONFIG"] = str(path)
                with (
                    contextlib.redirect_stderr(io.StringIO()) as said,
                    mock.patch("cresstray.gateway.startup.anyio.run"),
                ):
                    self.assertEqual(2, program.main())
                self.assertEqual(1, said.getvalue().count("\n"), said.getvalue())

    def test_all_that_a_frame_can_hold_can_be_known(self) -> None:
        engine = endpoint_list._Member("s-fFffffff", "255.255.255.255:65535", up_since_ms=2.0**63)
        (event,) = endpoint_list.initial_events(
            endpoint_list.InitialList(
                1, [endpoint_list._Update(2**64 - 1, endpoint_list._Endpoints(True, [engine]))]
            ),
            {},
        )
        told = event.endpoints[0]
        self.assertEqual((2**32 - 1, 65_535, 2**63 * 1000), (told.id, told.port, told.started_us))


class Whole(unittest.TestCase):
    """The whole gateway, with engines that listen."""

    def play(
        self, scene: Callable[[GatewayHarness, ClientStandIn], Awaitable], engines: int, **parts: object
    ) -> GatewayHarness:
        stage, self.coordinator = GatewayHarness(engines, **parts), Coordinator()
        self.addCleanup(self.coordinator.close)
        with contextlib.redirect_stderr(io.StringIO()) as said:
            anyio.run(stage.run, scene, self.coordinator.address)
        self.said = said.getvalue()
        return stage

    async def served(self, client: ClientStandIn, numbers: range) -> None:
        for number in numbers:
            await client.send_request(number, "plain", timeout=20_000)
            answer = await client.receive_response()
            self.assertIn("result", answer)

    def test_an_address_of_another_id(self) -> None:
        async def scene(stage: GatewayHarness, client: ClientStandIn) -> None:
            made, _ = await self.coordinator.link()
            port = stage.engines[0].port
            made.send(frame(2, 2, record(5, port=port)))
            await self.served(client, range(1, 3))
            old = stage.service.parts.router.engines[5]
            made.send(frame(3, 2, record(6, port=port)))
            while 6 not in stage.service.parts.router.engines:
                await anyio.sleep(0.01)
            self.assertEqual(
                [stage.service.parts.router.engines[6]], stage.service.parts.controller.ready_engines
            )
            self.assertEqual(EndpointState.REMOVED, old.state)
            made.send(frame(4, 1, record(6, port=port), record(5, port=port)))
            await self.served(client, range(3, 5))
            self.assertEqual([6], list(stage.service.parts.router.engines))

        self.play(scene, 1)

    def test_a_drain_that_is_told_as_it_starts(self) -> None:
        """Clients are refused before the first word of the coordinator; nothing goes to what drains by it."""

        async def main() -> None:
            async with anyio.create_task_group() as tasks:
                for engine in engines:
                    await tasks.start(engine.run)
                places = enumerate(engines, 1)
                listed = [
                    Endpoint(n, "127.0.0.1", one.port, EndpointState.READY, 0, 0, 0, 0) for n, one in places
                ]
                service = self.starts(stage, coordinator, EndpointEvent(1, True, listed))
                tasks.start_soon(service.run)
                made, number = await coordinator.link()
                with self.assertRaises(OSError):
                    await connect(*service.listen)
                made.send(frame(2, 2, record(1, DRAINING, engines[0].port)) + frame(2, 0))
                await until(lambda: service.parts.listener._listener)
                async with await anyio.connect_tcp(*service.listen) as stream:
                    client = ClientStandIn(stream, stage.lines)
                    for request in range(1, 9):
                        await client.send_request(request, "plain", timeout=20_000)
                    for _ in range(8):
                        self.assertIn("result", await client.receive_response())
                self.assertEqual(1, number)
                tasks.cancel_scope.cancel()

        stage, coordinator = GatewayHarness(2), Coordinator()
        self.addCleanup(coordinator.close)
        engines = stage.engines
        self.run_slowly(main)
        self.assertEqual(([], 8), (engines[0].lines, len(engines[1].lines)))

    def test_another_listens_under_its_address_before_the_first_word(self) -> None:
        async def main() -> None:
            service = self.starts(GatewayHarness(0), coordinator)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(ends, service)
                made, _ = await coordinator.link()
                with socket.create_server(service.listen):
                    made.send(frame(1, 0))
                    await until(lambda: told)

        async def ends(service: Service) -> None:
            try:
                await service.run()
            except AddressError as error:
                told.append(str(error))

        told: list[str] = []
        coordinator = Coordinator()
        self.addCleanup(coordinator.close)
        self.run_slowly(main)
        self.assertIn("can't be listened on", told[0])

    def starts(self, stage: GatewayHarness, coordinator: Coordinator, *events: EndpointEvent) -> Service:
        """A gateway under an address that is known before it serves."""
        with socket.create_server(("127.0.0.1", 0)) as place:
            address = place.getsockname()
        return Service("n0", address, 7, stage.settings, list(events), coordinator.address)

    def run_slowly(self, main: Callable[[], Awaitable]) -> None:
        """Only the coordinator's word ends the wait for it."""
        with (
            mock.patch.object(discovery_watch, "_SETTLED_AFTER_S", LONG),
            mock.patch.object(services, "_INITIAL_LIST_SECONDS", LONG),
            contextlib.redirect_stderr(io.StringIO()),
        ):
            anyio.run(main, backend_options={"use_uvloop": True})

    def test_other_halls_and_clients_come_after_the_first_word(self) -> None:
        order: list[str] = []

        async def noted(word: str) -> None:
            order.append(word)

        async def main() -> None:
            service = Service("n0", ("127.0.0.1", 0), 7, GatewayHarness(0).settings, [], "127.0.0.1:1")
            service.parts.links = mock.Mock()
            service._start_links = lambda links: noted("halls")
            service.parts.watch.wait_until_current = lambda within: noted("first word")
            service.parts.listener.run = lambda listener: noted("clients")
            async with anyio.create_task_group() as tasks:
                await tasks.start(service.run)
                await turns()
                tasks.cancel_scope.cancel()

        with contextlib.redirect_stderr(io.StringIO()):
            anyio.run(main, backend_options={"use_uvloop": True})
        self.assertEqual(["first word", "halls", "clients"], order)

    def test_an_attempt_whose_link_is_in_the_making(self) -> None:
        """Nothing of it has left when its engine may get nothing more: it goes elsewhere, at once."""
        port = int(hanging(self).rpartition(":")[2])

        def words(how: str, other: int) -> bytes:
            late = record(2, port=other)
            return {
                "drains": frame(3, 2, record(1, DRAINING, port), late),
                "removed": frame(3, 2, record(1, GONE, port), late),
                "not named": frame(3, 1, late),
                "its address is another's": frame(3, 2, record(3, port=port, started=1), late),
            }[how]

        async def scene(stage: GatewayHarness, client: ClientStandIn) -> None:
            made, _ = await self.coordinator.link()
            made.send(frame(2, 2, record(1, port=port)))
            while not stage.service.parts.controller.ready_engines:
                await anyio.sleep(0.01)
            await client.send_request(1, "plain", timeout=20_000)
            while not stage.service.parts.counters.counts["attempts sent"]:
                await anyio.sleep(0.01)
            made.send(words(how, stage.engines[0].port))
            self.assertIn("result", await client.receive_response())

        for how in ("drains", "removed", "not named", "its address is another's"):
            with self.subTest(how):
                # A connection that never comes up would be given up far later than the scene is.
                stage = self.play(scene, 1, Limits={"ConnectTimeout": 60_000, "MaxAttempts": 3})
                counts = stage.service.parts.counters.counts
                self.assertEqual(
                    (1, 1), (counts["attempts expired before send"], counts["attempts succeeded"])
                )

    def test_a_drain_right_after_a_move_and_before_a_bad_frame(self) -> None:
        async def scene(stage: GatewayHarness, client: ClientStandIn) -> None:
            made, _ = await self.coordinator.link()
            first, second = (engine.port for engine in stage.engines)
            made.send(frame(2, 2, record(1, port=first))[:20])
            stage.service.parts.watch.move(self.coordinator.address)
            made, number = await self.coordinator.link()
            self.assertEqual(1, number)
            events = frame(2, 2, record(1, port=first)) + frame(3, 2, record(2, port=second))
            made.send(events + frame(4, 2, record(1, DRAINING, first)) + frame(5, 7))
            _, number = await self.coordinator.link()
            self.assertEqual(4, number)
            await self.served(client, range(1, 9))
            self.assertEqual(([], 8), (stage.engines[0].lines, len(stage.engines[1].lines)))

        self.play(scene, 2)

    def test_an_event_whose_telling_fails_half_way(self) -> None:
        """The route has heard that one is gone, the module has not: the event comes again, and it is gone."""

        async def scene(stage: GatewayHarness, client: ClientStandIn) -> None:
            gateway = stage.service.parts.controller
            made, _ = await self.coordinator.link()
            first, second = (engine.port for engine in stage.engines)
            made.send(frame(2, 2, record(1, port=first), record(2, port=second)))
            while len(gateway.ready_engines) < 2:
                await anyio.sleep(0.01)

            def fails(*_: object) -> None:
                del gateway.on_endpoints_updated
                raise RuntimeError("half way")

            gateway.on_endpoints_updated = fails
            made.send(frame(3, 2, record(1, GONE, first)))
            made, number = await self.coordinator.link()
            self.assertEqual(2, number)
            # Before it comes again: the module still lists it, and must not send to it.
            await self.served(client, range(1, 5))
            made.send(frame(3, 2, record(1, GONE, first)))
            while len(gateway.ready_engines) > 1:
                await anyio.sleep(0.01)
            await self.served(client, range(5, 9))
            self.assertEqual(([], 8), (stage.engines[0].lines, len(stage.engines[1].lines)))

        stage = self.play(scene, 2)
        self.assertEqual(1, stage.service.parts.counters.counts["faults"])
        self.assertIn("RuntimeError: half way", self.said)


if __name__ == "__main__":
    unittest.main()
