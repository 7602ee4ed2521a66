"""The endpoint watch and the routing of its events, with scripted coordinators on loopback."""

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
from tests.scripted import TIMEOUT_S, run_loop_turns, wait_until
from tests.test_codecs import frame
from tests.test_service import GatewayHarness

READY, DRAINING, REMOVED = 0, 1, 2  # states in a record of a frame
LOOPBACK = 0x7F000001


def record(endpoint_id: int, state: int = READY, port: int = 7001, started_ms: int = 0) -> tuple:
    return (endpoint_id, LOOPBACK, port, state, 0, 0, 0, 1000, started_ms)


class Coordinator:
    """A coordinator that accepts connections one at a time and sends what the test makes it send."""

    def __init__(self) -> None:
        self._listener = socket.create_server(("127.0.0.1", 0))
        self._listener.setblocking(False)
        self.address = "127.0.0.1:{}".format(*self._listener.getsockname()[1:])
        self.connection_count = 0

    async def accept(self) -> tuple[socket.socket, int]:
        """Accepts a connection; returns it with the index of the last event that the watch has."""
        await anyio.wait_readable(self._listener)
        connection = self._listener.accept()[0]
        connection.setblocking(False)
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.connection_count += 1
        await anyio.wait_readable(connection)
        return connection, struct.unpack(">Q", connection.recv(8))[0]

    def close(self) -> None:
        self._listener.close()


class WatchHarness:
    """An endpoint watch; `handled` records its events as index and states by endpoint id."""

    def __init__(self, address: str, last_index: int = 1, **timeouts: object) -> None:
        self.handled: list[tuple[int, dict[int, str]]] = []
        self.failing_indexes: list[int] = []  # events whose handling fails, once for each entry
        self.counters, self._event_handled = Counters(), anyio.Event()
        self.endpoint_watch = EndpointWatch(
            address, last_index, self._on_event, self.counters, Log("n0", Clock()), **timeouts
        )

    def _on_event(self, event: EndpointEvent) -> None:
        self._event_handled.set()
        self._event_handled = anyio.Event()
        if event.index in self.failing_indexes:
            self.failing_indexes.remove(event.index)
            raise RuntimeError("half way")
        self.handled.append(
            (event.index, {endpoint.id: endpoint.state.value for endpoint in event.endpoints})
        )

    async def wait_for_event(self, index: int) -> None:
        while index not in [handled_index for handled_index, _ in self.handled]:
            await self._event_handled.wait()

    def run(self, scenario: Callable[[anyio.abc.TaskGroup], Awaitable]) -> str:
        """Runs the scenario together with the watch; returns what was written to standard error."""

        async def main() -> None:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.endpoint_watch.run, tasks)
                with anyio.fail_after(5):
                    await scenario(tasks)
                tasks.cancel_scope.cancel()

        with contextlib.redirect_stderr(io.StringIO()) as log_output:
            anyio.run(main, backend_options={"use_uvloop": True})
        return log_output.getvalue()


class InitialWaitTest(unittest.TestCase):
    """How long a starting gateway waits for new events."""

    def setUp(self) -> None:
        self.coordinator = Coordinator()
        self.addCleanup(self.coordinator.close)

    def measure_wait_s(self, watch: WatchHarness, answer: bytes | None, timeout_s: float) -> float:
        """Returns the seconds until the watch is current, or until the timeout.

        The coordinator answers the subscription with these bytes; with None it accepts no connection.
        """
        duration_s = 0.0

        async def scenario(tasks: anyio.abc.TaskGroup) -> None:
            nonlocal duration_s
            start_s = anyio.current_time()
            if answer is not None:
                tasks.start_soon(answer_subscription)
            await watch.endpoint_watch.wait_until_current(timeout_s)
            duration_s = anyio.current_time() - start_s

        async def answer_subscription() -> None:
            connection, _ = await self.coordinator.accept()
            connection.send(answer)
            await anyio.sleep_forever()

        watch.run(scenario)
        return duration_s

    def test_new_events_are_handled_before_the_wait_ends(self) -> None:
        for number, answer in enumerate(
            (frame(2, 2, record(5)) + frame(3, 2, record(5, DRAINING)), frame(2, 2, record(5, DRAINING))), 1
        ):
            watch = WatchHarness(self.coordinator.address)
            self.assertLess(self.measure_wait_s(watch, answer, TIMEOUT_S), TIMEOUT_S)
            self.assertEqual("draining", watch.handled[-1][1][5], number)

    def test_wait_ends_with_a_frame_without_an_event(self) -> None:
        with mock.patch.object(discovery_watch, "_SETTLED_AFTER_S", TIMEOUT_S):
            self.assertLess(
                self.measure_wait_s(WatchHarness(self.coordinator.address), frame(1, 0), TIMEOUT_S), TIMEOUT_S
            )

    def test_wait_is_bounded_if_the_coordinator_is_silent_or_unreachable(self) -> None:
        self.assertLess(
            self.measure_wait_s(WatchHarness(self.coordinator.address), b"", TIMEOUT_S), TIMEOUT_S
        )
        with mock.patch.object(discovery_watch, "_SETTLED_AFTER_S", TIMEOUT_S):
            self.assertGreater(self.measure_wait_s(WatchHarness(self.coordinator.address), None, 0.1), 0.09)
        self.coordinator.close()
        self.assertGreater(self.measure_wait_s(WatchHarness(self.coordinator.address), None, 0.1), 0.09)
        self.assertLess(self.measure_wait_s(WatchHarness(None), None, TIMEOUT_S), TIMEOUT_S)

    def test_wait_does_not_end_within_an_event(self) -> None:
        """Received data that was not read yet counts as well."""

        async def scenario(tasks: anyio.abc.TaskGroup) -> None:
            event = frame(2, 2, record(5, DRAINING))
            connection, _ = await self.coordinator.accept()
            connection.send(event[:9])
            while not watch.endpoint_watch._last_received_s:
                await run_loop_turns(1)
            tasks.start_soon(watch.endpoint_watch.wait_until_current, TIMEOUT_S)
            await run_loop_turns(3)
            connection.send(event[9:])
            time.sleep(0.1)  # the event loop is late: the wait is over while data is unread
            self.assertFalse(watch.endpoint_watch._has_caught_up())
            await watch.wait_for_event(2)

        watch = WatchHarness(self.coordinator.address)
        watch.run(scenario)
        self.assertEqual([(2, {5: "draining"})], watch.handled)


async def wait_until_closed(connection: socket.socket) -> None:
    """Waits until the other side has closed."""
    while True:
        await anyio.wait_readable(connection)
        try:
            if not connection.recv(100):
                return
        except ConnectionError:
            return


class ConnectionTest(unittest.TestCase):
    """When a connection is given up, and which index the next one subscribes with."""

    def setUp(self) -> None:
        self.coordinator = Coordinator()
        self.addCleanup(self.coordinator.close)

    def test_silent_connection_is_replaced_and_a_drain_follows(self) -> None:
        async def scenario(_: anyio.abc.TaskGroup) -> None:
            first, last_index = await self.coordinator.accept()
            first.send(frame(1, 0) + frame(2, 2, record(5)))
            second, next_last_index = await self.coordinator.accept()
            second.send(frame(3, 2, record(5, DRAINING)))
            await watch.wait_for_event(3)
            self.assertEqual((1, 2), (last_index, next_last_index))
            await wait_until_closed(first)

        watch = WatchHarness(self.coordinator.address, silence_timeout_s=0.3)
        watch.run(scenario)
        self.assertEqual([(2, {5: "ready"}), (3, {5: "draining"})], watch.handled)

    def test_connection_without_any_data_is_replaced(self) -> None:
        async def scenario(_: anyio.abc.TaskGroup) -> None:
            self.assertEqual(1, (await self.coordinator.accept())[1])
            connection, last_index = await self.coordinator.accept()
            self.assertEqual(1, last_index)
            connection.send(frame(2, 2))
            await watch.wait_for_event(2)

        watch = WatchHarness(self.coordinator.address, silence_timeout_s=0.3, frame_timeout_s=30)
        watch.run(scenario)

    def test_connection_that_never_completes_a_frame_is_replaced(self) -> None:
        async def trickle(connection: socket.socket) -> None:
            with contextlib.suppress(OSError):
                for byte in frame(2, 2, *[record(endpoint_id) for endpoint_id in range(50)]):
                    connection.send(bytes([byte]))
                    await anyio.sleep(0.02)

        async def scenario(tasks: anyio.abc.TaskGroup) -> None:
            connection, _ = await self.coordinator.accept()
            connection.send(frame(1, 0))
            tasks.start_soon(trickle, connection)
            other, last_index = await self.coordinator.accept()
            self.assertEqual(1, last_index)
            other.send(frame(2, 2, record(5, DRAINING)))
            await watch.wait_for_event(2)

        # Fifty records take 27 s; the time between two bytes never reaches the silence timeout.
        watch = WatchHarness(self.coordinator.address, silence_timeout_s=2, frame_timeout_s=0.3)
        watch.run(scenario)
        self.assertEqual([(2, {5: "draining"})], watch.handled)

    def test_complete_list_arrives_over_a_slow_network(self) -> None:
        async def scenario(_: anyio.abc.TaskGroup) -> None:
            connection, _ = await self.coordinator.accept()
            data = frame(2, 1, *[record(endpoint_id, port=1 + endpoint_id) for endpoint_id in range(1024)])
            for offset in range(0, len(data), 2800):
                connection.send(data[offset : offset + 2800])
                await anyio.sleep(0.02)
            await watch.wait_for_event(2)

        watch = WatchHarness(self.coordinator.address, frame_timeout_s=2)
        watch.run(scenario)
        self.assertEqual((1, 1024), (self.coordinator.connection_count, len(watch.handled[0][1])))

    def test_connection_is_kept_while_frames_arrive(self) -> None:
        async def scenario(_: anyio.abc.TaskGroup) -> None:
            connection, _ = await self.coordinator.accept()
            for _ in range(10):
                connection.send(frame(1, 0))
                await anyio.sleep(0.1)
            connection.send(frame(2, 2))
            await watch.wait_for_event(2)

        watch = WatchHarness(self.coordinator.address, frame_timeout_s=0.8)
        watch.run(scenario)
        self.assertEqual(1, self.coordinator.connection_count)

    def test_timeouts_allow_a_new_connection_in_time(self) -> None:
        """Events count as known four seconds after the coordinator stops sending, and two after a break."""
        longest_reconnect_s = discovery_watch._MAX_BACKOFF_S * 1.5 + discovery_watch._CONNECT_TIMEOUT_S
        self.assertLess(
            discovery_watch._FRAME_TIMEOUT_S
            + discovery_watch._FIRST_BACKOFF_S * 1.5
            + discovery_watch._CONNECT_TIMEOUT_S,
            4,
        )
        self.assertLess(
            discovery_watch._SILENCE_TIMEOUT_S + longest_reconnect_s + discovery_watch._SILENCE_TIMEOUT_S, 4
        )
        self.assertLess(longest_reconnect_s, 2)
        self.assertLess(
            1024 * 27 / discovery_watch._FRAME_TIMEOUT_S, 10_000, "bytes a second for a list of 1,024 engines"
        )

    def test_connection_that_ends_within_a_frame_loses_no_event(self) -> None:
        async def scenario(_: anyio.abc.TaskGroup) -> None:
            data = frame(2, 2, record(5)) + frame(3, 2, record(5, DRAINING))
            for end, requested_index in ((3, 1), (20, 1), (len(data) - 1, 1), (len(data), 2)):
                connection, last_index = await self.coordinator.accept()
                self.assertEqual(requested_index, last_index)
                connection.send(data[:end] if requested_index == 1 else data[len(data) // 2 :])
                connection.close()
            await watch.wait_for_event(3)

        watch = WatchHarness(self.coordinator.address)
        watch.run(scenario)
        self.assertEqual([(2, {5: "ready"}), (3, {5: "draining"})], watch.handled)

    def test_backoff_grows_if_each_connection_ends_without_an_event(self) -> None:
        async def scenario(_: anyio.abc.TaskGroup) -> None:
            start_s = anyio.current_time()
            for _ in range(5):
                connection, _ = await self.coordinator.accept()
                connection.send(frame(1, 0) + frame(2, 2, record(5))[:20])
                connection.close()
            self.assertGreater(anyio.current_time() - start_s, 0.5)

        WatchHarness(self.coordinator.address).run(scenario)

    def test_backoff_is_randomized(self) -> None:
        async def scenario(_: anyio.abc.TaskGroup) -> None:
            connection, _ = await self.coordinator.accept()
            start_s = anyio.current_time()
            connection.close()
            await self.coordinator.accept()
            self.assertGreater(anyio.current_time() - start_s, 0.39)

        WatchHarness(self.coordinator.address, random=lambda: 9.5).run(scenario)

    def test_old_and_repeated_events_are_ignored(self) -> None:
        async def scenario(_: anyio.abc.TaskGroup) -> None:
            connection, _ = await self.coordinator.accept()
            draining, ready = record(5, DRAINING), record(5)
            connection.send(2 * frame(8, 2, draining))
            await watch.wait_for_event(8)
            for data in (
                frame(7, 2, ready) + frame(8, 1, ready),
                frame(2, 1, record(6)),
                frame(9, 2),
            ):
                connection.send(data)
            await watch.wait_for_event(9)

        watch = WatchHarness(self.coordinator.address, last_index=7)
        watch.run(scenario)
        self.assertEqual([(8, {5: "draining"}), (9, {})], watch.handled)
        self.assertEqual(1, self.coordinator.connection_count)

    def test_event_before_a_malformed_frame_is_handled(self) -> None:
        """Each malformed frame follows a drain; the next connection subscribes with the drain's index."""
        malformed = (
            frame(3, 3),
            frame(3, 0xFF, record(5)),
            frame(3, 2, record(5, state=3)),
            struct.pack(">IQB", 9 + 26, 3, 2) + bytes(26),
            struct.pack(">I", 4_000_001) + bytes(9),
            struct.pack(">I", 8) + bytes(8),
            struct.pack(">I", 0),
            bytes([255]) * 40,
        )

        async def scenario(_: anyio.abc.TaskGroup) -> None:
            for position, data in enumerate(malformed):
                connection, last_index = await self.coordinator.accept()
                self.assertEqual(1 + position, last_index)
                connection.send(frame(2 + position, 2, record(position, DRAINING)) + data)
                await watch.wait_for_event(2 + position)
                await wait_until_closed(connection)

        watch = WatchHarness(self.coordinator.address)
        log_text = watch.run(scenario)
        self.assertEqual(
            [(2 + position, {position: "draining"}) for position in range(len(malformed))], watch.handled
        )
        self.assertEqual(0, watch.counters.counts["faults"])
        self.assertIn("MalformedEventError", log_text)

    def test_coordinator_that_is_unreachable_at_first_is_tried_again(self) -> None:
        self.coordinator.close()
        port = int(self.coordinator.address.rpartition(":")[2])

        async def scenario(_: anyio.abc.TaskGroup) -> None:
            while not watch.counters.counts["coordinator connections ended"]:
                await anyio.sleep(0.01)
            self.coordinator._listener = socket.create_server(("127.0.0.1", port))
            self.coordinator._listener.setblocking(False)
            connection, last_index = await self.coordinator.accept()
            connection.send(frame(2, 1, record(5, DRAINING)))
            await watch.wait_for_event(2)
            self.assertEqual(1, last_index)

        watch = WatchHarness(self.coordinator.address)
        watch.run(scenario)
        self.assertEqual([(2, {5: "draining"})], watch.handled)


def hanging_address(case: unittest.TestCase) -> str:
    """Returns an address to which connecting hangs, as its accept queue is full and nothing is accepted."""
    full = socket.create_server(("127.0.0.1", 0), backlog=0)
    case.addCleanup(full.close)
    for _ in range(2):
        waiting = socket.socket()
        case.addCleanup(waiting.close)
        waiting.setblocking(False)
        with contextlib.suppress(BlockingIOError):
            waiting.connect(full.getsockname())
    return "127.0.0.1:{}".format(*full.getsockname()[1:])


class AddressChangeTest(unittest.TestCase):
    """The address is replaced by a reload: by another one, or by the same."""

    def setUp(self) -> None:
        self.old, self.new = Coordinator(), Coordinator()
        self.addCleanup(self.old.close)
        self.addCleanup(self.new.close)

    def test_change_within_a_frame_loses_no_event(self) -> None:
        async def scenario(_: anyio.abc.TaskGroup) -> None:
            first, _ = await self.old.accept()
            event = frame(3, 2, record(6, DRAINING))
            first.send(frame(2, 2, record(5)) + event[:20])
            await watch.wait_for_event(2)
            watch.endpoint_watch.reconnect_to(self.new.address)
            second, last_index = await self.new.accept()
            self.assertEqual(2, last_index)
            await wait_until_closed(first)
            second.send(event)
            await watch.wait_for_event(3)

        watch = WatchHarness(self.old.address)
        watch.run(scenario)
        self.assertEqual([(2, {5: "ready"}), (3, {6: "draining"})], watch.handled)

    def test_change_to_the_same_address_reconnects(self) -> None:
        """The present connection may deliver nothing more; the next one is made at once."""

        async def scenario(_: anyio.abc.TaskGroup) -> None:
            first, _ = await self.old.accept()
            watch.endpoint_watch.reconnect_to(self.old.address)
            second, last_index = await self.old.accept()
            second.send(frame(2, 2, record(5, DRAINING)))
            await watch.wait_for_event(2)
            await wait_until_closed(first)
            self.assertEqual(1, last_index)

        watch = WatchHarness(self.old.address, silence_timeout_s=30, frame_timeout_s=30)
        watch.run(scenario)

    def test_repeated_changes_use_the_last_address(self) -> None:
        async def scenario(_: anyio.abc.TaskGroup) -> None:
            await self.old.accept()
            for address in (self.new.address, self.old.address):
                watch.endpoint_watch.reconnect_to(address)
            connection, _ = await self.old.accept()
            for address in (self.old.address, self.new.address):
                watch.endpoint_watch.reconnect_to(address)
            await wait_until_closed(connection)
            connection, last_index = await self.new.accept()
            connection.send(frame(2, 2))
            await watch.wait_for_event(2)
            self.assertEqual(1, last_index)

        watch = WatchHarness(self.old.address, silence_timeout_s=30, frame_timeout_s=30)
        watch.run(scenario)
        self.assertEqual((2, 1), (self.old.connection_count, self.new.connection_count))

    def test_change_while_connecting_hangs(self) -> None:
        async def scenario(_: anyio.abc.TaskGroup) -> None:
            await anyio.sleep(0.05)
            watch.endpoint_watch.reconnect_to(self.new.address)
            await self.new.accept()
            self.assertEqual(0, watch.counters.counts["coordinator connections ended"])

        watch = WatchHarness(hanging_address(self), connect_timeout_s=30)
        watch.run(scenario)

    def test_connection_attempt_that_hangs_is_repeated(self) -> None:
        async def scenario(_: anyio.abc.TaskGroup) -> None:
            while watch.counters.counts["coordinator connections ended"] < 2:
                await anyio.sleep(0.01)

        watch = WatchHarness(hanging_address(self), connect_timeout_s=0.1)
        self.assertIn("TimeoutError", watch.run(scenario))

    def test_change_during_the_backoff_takes_effect_at_once(self) -> None:
        async def scenario(_: anyio.abc.TaskGroup) -> None:
            while not watch.counters.counts["coordinator connections ended"]:
                await anyio.sleep(0.01)
            watch.endpoint_watch.reconnect_to(self.new.address)
            await self.new.accept()

        self.old.close()
        watch = WatchHarness(self.old.address, random=lambda: 1000.0)  # the pause is 40 s
        watch.run(scenario)

    def test_change_to_none_and_back(self) -> None:
        async def scenario(_: anyio.abc.TaskGroup) -> None:
            connection, _ = await self.old.accept()
            watch.endpoint_watch.reconnect_to(None)
            await wait_until_closed(connection)
            watch.endpoint_watch.reconnect_to(None)
            watch.endpoint_watch.reconnect_to(self.old.address)
            await self.old.accept()

        watch = WatchHarness(self.old.address)
        self.assertEqual(1, watch.run(scenario).count("now follows None"))

    def test_invalid_addresses_raise_value_error(self) -> None:
        """At the start and in a change, which leaves the present address; the error names the value."""
        watch = WatchHarness(self.old.address)
        for invalid in (
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
            with self.subTest(invalid):
                for call in (
                    lambda invalid=invalid: EndpointWatch(invalid, 0, None, None, None),
                    watch.endpoint_watch.reconnect_to,
                ):
                    with self.assertRaises(ValueError) as caught:
                        call(invalid) if call == watch.endpoint_watch.reconnect_to else call()
                    self.assertTrue(
                        any(part and part in str(caught.exception) for part in invalid.split(":"))
                    )
                    self.assertNotIn("\n", str(caught.exception))
        self.assertEqual(self.old.address, "{}:{}".format(*watch.endpoint_watch._address))


class EventHandlingFaultTest(unittest.TestCase):
    """A fault in handling an event is contained, and the event is not lost."""

    def setUp(self) -> None:
        self.coordinator = Coordinator()
        self.addCleanup(self.coordinator.close)

    def test_event_whose_handling_fails_is_requested_again(self) -> None:
        async def scenario(_: anyio.abc.TaskGroup) -> None:
            data = frame(2, 2, record(5, DRAINING))
            for _ in range(2):
                connection, last_index = await self.coordinator.accept()
                self.assertEqual(1, last_index)
                connection.send(data)
            await watch.wait_for_event(2)

        watch = WatchHarness(self.coordinator.address)
        watch.failing_indexes = [2]
        log_text = watch.run(scenario)
        self.assertEqual([(2, {5: "draining"})], watch.handled)
        self.assertEqual((1, 1), (watch.counters.counts["faults"], log_text.count("RuntimeError: half way")))

    def test_event_whose_handling_always_fails_is_skipped(self) -> None:
        async def scenario(_: anyio.abc.TaskGroup) -> None:
            last_indexes = []
            for _ in range(4):
                connection, last_index = await self.coordinator.accept()
                last_indexes.append(last_index)
                for index in range(last_index + 1, 4):
                    connection.send(frame(index, 2, record(index, DRAINING)))
            await watch.wait_for_event(3)
            self.assertEqual([1, 1, 1, 2], last_indexes)

        watch = WatchHarness(self.coordinator.address)
        watch.failing_indexes = 9 * [2]
        watch.run(scenario)
        self.assertEqual([(3, {3: "draining"})], watch.handled)
        self.assertEqual(3, watch.counters.counts["faults"])

    def test_final_states_apply_to_all_events_received_together(self) -> None:
        async def scenario(_: anyio.abc.TaskGroup) -> None:
            connection, _ = await self.coordinator.accept()
            connection.send(frame(2, 2, record(5)) + frame(3, 2, record(5, DRAINING), record(6)))
            await watch.wait_for_event(3)

        watch = WatchHarness(self.coordinator.address)
        watch.run(scenario)
        self.assertEqual([(2, {5: "draining"}), (3, {6: "ready", 5: "draining"})], watch.handled)


def make_endpoint(
    endpoint_id: int, state: EndpointState = EndpointState.READY, port: int = 7001, started_us: int = 0
) -> Endpoint:
    return Endpoint(endpoint_id, "127.0.0.1", port, state, 0, 0, 0, started_us)


class FinalStatesTest(unittest.TestCase):
    def states(self, *events: EndpointEvent) -> list[tuple[int, dict[int, str]]]:
        final = apply_final_states(events)
        return [
            (event.index, {endpoint.id: endpoint.state.value for endpoint in event.endpoints})
            for event in final
        ]

    def test_final_states_are_added_to_each_event(self) -> None:
        draining, removed = make_endpoint(1, EndpointState.DRAINING), make_endpoint(1, EndpointState.REMOVED)
        for text, events, expected in (
            (
                "a single event",
                (EndpointEvent(1, False, [make_endpoint(1), draining]),),
                [(1, {1: "draining"})],
            ),
            (
                "an endpoint that the first event does not have",
                (EndpointEvent(1, False, [make_endpoint(2)]), EndpointEvent(2, False, [draining])),
                [(1, {2: "ready", 1: "draining"}), (2, {1: "draining"})],
            ),
            (
                "a complete list, and the removal of one of its endpoints",
                (EndpointEvent(1, True, [make_endpoint(1)]), EndpointEvent(2, False, [removed])),
                [(1, {1: "removed"}), (2, {1: "removed"})],
            ),
            (
                "an event before a complete list",
                (EndpointEvent(1, False, [make_endpoint(1)]), EndpointEvent(2, True, [make_endpoint(2)])),
                [(2, {2: "ready"})],
            ),
            (
                "removed, then started again",
                (
                    EndpointEvent(1, False, [removed]),
                    EndpointEvent(2, False, [make_endpoint(1, started_us=9)]),
                ),
                [(1, {1: "removed"}), (2, {1: "ready"})],
            ),
        ):
            with self.subTest(text):
                self.assertEqual(expected, self.states(*events))

    def test_frames_before_a_malformed_one_are_returned_first(self) -> None:
        decoder = EventDecoder()
        self.assertEqual([2], [event.index for event in decoder.feed(frame(2, 2) + frame(3, 9))])
        for _ in range(2):
            with self.assertRaises(MalformedEventError):
                decoder.feed(b"")


class RecordingPool(list):
    """A connection pool that records the calls of the router."""

    def __init__(self, label: str, address: tuple[str, int]) -> None:
        self.label, self.address = label, address

    def change_address(self, address: tuple[str, int]) -> None:
        self.address = address
        self.append("move")

    def retire(self) -> None:
        self.append("retire")

    def cancel_unwritten(self) -> None:
        self.append("recall")


class RouterEventTest(unittest.TestCase):
    """How the router applies events, whatever they contain."""

    def setUp(self) -> None:
        self.pools: list[RecordingPool] = []
        self.router = Router(self.make_pool, None)

    def make_pool(self, label: str, address: tuple[str, int]) -> RecordingPool:
        self.pools.append(RecordingPool(label, address))
        return self.pools[-1]

    def apply(self, *endpoints: Endpoint, complete: bool = False) -> dict[int, str]:
        """Applies an event as the gateway does; returns the engines in use afterwards, with their states."""
        event = EndpointEvent(1, complete, list(endpoints))
        previous_engines = dict(self.router.engines)
        self.entries = []
        for engine, (_, _, _, started_us, state) in self.router.apply_event(event):
            engine.started_us, engine.state = started_us, state
            self.entries.append(state.value)
        self.router.cancel_unsent(event)
        removed = [
            engine
            for engine_id, engine in previous_engines.items()
            if self.router.engines.get(engine_id) is not engine
        ]
        if not complete:
            self.assertTrue(
                all(engine.state is EndpointState.REMOVED for engine in removed), "the policy is notified"
            )
        self.assertEqual(len(self.router.engines), len(self.router._pools))
        return {engine_id: engine.state.value for engine_id, engine in self.router.engines.items()}

    def pool_calls(self) -> dict[str, list[str]]:
        """Returns the router's calls on each pool."""
        return {f"{pool.label[-2:]} {pool.address[1]}": list(pool) for pool in self.pools}

    def test_endpoint_at_the_address_of_another_replaces_it(self) -> None:
        self.apply(make_endpoint(1), make_endpoint(2, port=7002), complete=True)
        self.assertEqual({2: "ready", 3: "ready"}, self.apply(make_endpoint(3, started_us=5)))
        self.assertEqual(["ready", "removed"], self.entries)
        self.assertEqual({"01 7001": ["retire", "recall"], "02 7002": [], "03 7001": []}, self.pool_calls())
        # The coordinator still lists the replaced endpoint.
        for complete in (True, False):
            states = self.apply(
                make_endpoint(1),
                make_endpoint(2, port=7002),
                make_endpoint(3, started_us=5),
                complete=complete,
            )
            self.assertEqual({2: "ready", 3: "ready"}, states)
        self.assertEqual({2: "ready", 3: "ready"}, self.apply(make_endpoint(1, EndpointState.DRAINING)))
        self.assertEqual({2: "ready", 3: "ready"}, self.apply(make_endpoint(1, EndpointState.REMOVED)))
        self.assertEqual(3, len(self.pools))
        self.assertEqual({}, self.router._addresses._displaced)

    def test_replaced_endpoint_comes_back(self) -> None:
        for text, endpoints, expected in (
            ("elsewhere", [make_endpoint(1, port=7009)], {3: "ready", 1: "ready"}),
            ("started later", [make_endpoint(1, started_us=9)], {1: "ready"}),
            ("at a free address", [make_endpoint(3, EndpointState.REMOVED), make_endpoint(1)], {1: "ready"}),
        ):
            with self.subTest(text):
                self.setUp()
                self.apply(make_endpoint(1), complete=True)
                self.apply(make_endpoint(3, started_us=5))
                self.assertEqual(expected, self.apply(*endpoints))
                self.assertEqual([], self.pools[-1])

    def test_two_endpoints_at_one_address_in_one_event(self) -> None:
        old, new = make_endpoint(1, started_us=2), make_endpoint(3, started_us=5)
        for text, endpoints in (
            ("old first", [old, new]),
            ("new first", [new, old]),
            ("removed first", [make_endpoint(1, EndpointState.REMOVED), new]),
            ("removed last", [new, make_endpoint(1, EndpointState.REMOVED)]),
            ("draining", [new, make_endpoint(1, EndpointState.DRAINING)]),
        ):
            for known_before in (True, False):
                for complete in (True, False):
                    with self.subTest(text, known_before=known_before, complete=complete):
                        self.setUp()
                        if known_before:
                            self.apply(old, complete=True)
                        self.assertEqual({3: "ready"}, self.apply(*endpoints, complete=complete))

    def test_endpoints_that_swap_addresses_stay(self) -> None:
        self.apply(make_endpoint(1), make_endpoint(2, port=7002), complete=True)
        self.assertEqual({1: "ready", 2: "ready"}, self.apply(make_endpoint(1, port=7002), make_endpoint(2)))
        self.assertEqual({"01 7002": ["move"], "02 7001": ["move"]}, self.pool_calls())

    def test_two_records_of_an_endpoint_in_one_event(self) -> None:
        draining, removed = make_endpoint(1, EndpointState.DRAINING), make_endpoint(1, EndpointState.REMOVED)
        for text, endpoints, expected in (
            ("draining and ready", [draining, make_endpoint(1)], {1: "draining"}),
            ("ready and draining", [make_endpoint(1), draining], {1: "draining"}),
            ("removed and ready", [removed, make_endpoint(1)], {}),
            ("ready and removed", [make_endpoint(1), removed], {}),
            ("ready with a later start, then removed", [make_endpoint(1, started_us=9), removed], {}),
            (
                "removed, then ready with a later start",
                [removed, make_endpoint(1, started_us=9)],
                {1: "ready"},
            ),
        ):
            for complete in (True, False):
                with self.subTest(text, complete=complete):
                    self.setUp()
                    self.apply(make_endpoint(1), complete=True)
                    self.assertEqual(expected, self.apply(*endpoints, complete=complete))

    def test_unsent_attempts_are_cancelled(self) -> None:
        """Those to engines that are draining or removed; pools whose address changes do so themselves."""
        draining = make_endpoint(1, EndpointState.DRAINING)
        for text, endpoints, complete, expected in (
            ("draining", [draining], False, [["recall"]]),
            ("removed", [make_endpoint(1, EndpointState.REMOVED)], False, [["retire", "recall"]]),
            ("not listed", [], True, [["retire", "recall"]]),
            ("another address", [make_endpoint(1, port=7009)], False, [["move"]]),
            ("restarted", [make_endpoint(1, started_us=9)], False, [["move"]]),
            (
                "restarted and removed",
                [make_endpoint(1, EndpointState.REMOVED, 7009, 9)],
                False,
                [["retire", "recall"]],
            ),
            ("no change", [make_endpoint(1)], False, [[]]),
        ):
            with self.subTest(text):
                self.setUp()
                self.apply(make_endpoint(1), complete=True)
                self.apply(*endpoints, complete=complete)
                self.assertEqual(expected, [list(pool) for pool in self.pools])
                self.assertEqual([], self.router._retired)

    def test_removed_endpoint_in_a_complete_list_is_forgotten(self) -> None:
        self.apply(make_endpoint(1), make_endpoint(2, port=7002), complete=True)
        states = self.apply(
            make_endpoint(1, EndpointState.REMOVED), make_endpoint(2, port=7002), complete=True
        )
        self.assertEqual({2: "ready"}, states)

    def test_endpoints_that_were_never_listed(self) -> None:
        self.assertEqual({}, self.apply(make_endpoint(1, EndpointState.REMOVED)))
        self.assertEqual({2: "draining"}, self.apply(make_endpoint(2, EndpointState.DRAINING)))


class InitialListTest(unittest.TestCase):
    def test_unusable_values_are_reported_at_startup(self) -> None:
        """In one line and with exit code 2, not as a traceback when a connection is made later."""
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
                known = {"index": 1, "updates": [update]}
                path = Path(folder) / "config.json"
                path.write_text(
                    json.dumps(
                        {"name": "n0", "listen": "127.0.0.1:0", "seed": "1", "settings": {}, "known": known}
                    )
                )
                os.environ["GW_CONFIG"] = str(path)
                with (
                    contextlib.redirect_stderr(io.StringIO()) as error_output,
                    mock.patch("cresstray.gateway.startup.anyio.run"),
                ):
                    self.assertEqual(2, program.main())
                self.assertEqual(1, error_output.getvalue().count("\n"), error_output.getvalue())

    def test_initial_list_accepts_all_values_that_fit_a_frame(self) -> None:
        engine = endpoint_list._Member("s-fFffffff", "255.255.255.255:65535", up_since_ms=2.0**63)
        (event,) = endpoint_list.initial_events(
            endpoint_list.InitialList(
                1, [endpoint_list._Update(2**64 - 1, endpoint_list._Endpoints(True, [engine]))]
            ),
            {},
        )
        endpoint = event.endpoints[0]
        self.assertEqual((2**32 - 1, 65_535, 2**63 * 1000), (endpoint.id, endpoint.port, endpoint.started_us))


class GatewayWatchTest(unittest.TestCase):
    """A whole gateway with engines and a scripted coordinator."""

    def run_gateway(
        self, scenario: Callable[[GatewayHarness, ClientStandIn], Awaitable], engines: int, **parts: object
    ) -> GatewayHarness:
        harness, self.coordinator = GatewayHarness(engines, **parts), Coordinator()
        self.addCleanup(self.coordinator.close)
        with contextlib.redirect_stderr(io.StringIO()) as log_output:
            anyio.run(harness.run, scenario, self.coordinator.address)
        self.log_text = log_output.getvalue()
        return harness

    async def assert_served(self, client: ClientStandIn, numbers: range) -> None:
        for number in numbers:
            await client.send_request(number, "plain", timeout=20_000)
            response = await client.receive_response()
            self.assertIn("result", response)

    def test_endpoint_at_the_address_of_another_replaces_it(self) -> None:
        async def scenario(harness: GatewayHarness, client: ClientStandIn) -> None:
            connection, _ = await self.coordinator.accept()
            port = harness.engines[0].port
            connection.send(frame(2, 2, record(5, port=port)))
            await self.assert_served(client, range(1, 3))
            old = harness.service.parts.router.engines[5]
            connection.send(frame(3, 2, record(6, port=port)))
            while 6 not in harness.service.parts.router.engines:
                await anyio.sleep(0.01)
            self.assertEqual(
                [harness.service.parts.router.engines[6]], harness.service.parts.controller.ready_engines
            )
            self.assertEqual(EndpointState.REMOVED, old.state)
            connection.send(frame(4, 1, record(6, port=port), record(5, port=port)))
            await self.assert_served(client, range(3, 5))
            self.assertEqual([6], list(harness.service.parts.router.engines))

        self.run_gateway(scenario, 1)

    def test_engine_that_drains_during_startup_gets_no_request(self) -> None:
        """Clients are refused until the coordinator has sent its events; one of them drains the engine."""

        async def main() -> None:
            async with anyio.create_task_group() as tasks:
                for engine in engines:
                    await tasks.start(engine.run)
                numbered = enumerate(engines, 1)
                endpoints = [
                    Endpoint(endpoint_id, "127.0.0.1", engine.port, EndpointState.READY, 0, 0, 0, 0)
                    for endpoint_id, engine in numbered
                ]
                service = self.make_service(harness, coordinator, EndpointEvent(1, True, endpoints))
                tasks.start_soon(service.run)
                connection, last_index = await coordinator.accept()
                with self.assertRaises(OSError):
                    await connect(*service.listen)
                connection.send(frame(2, 2, record(1, DRAINING, engines[0].port)) + frame(2, 0))
                await wait_until(lambda: service.parts.listener._listener)
                async with await anyio.connect_tcp(*service.listen) as stream:
                    client = ClientStandIn(stream, harness.lines)
                    for request in range(1, 9):
                        await client.send_request(request, "plain", timeout=20_000)
                    for _ in range(8):
                        self.assertIn("result", await client.receive_response())
                self.assertEqual(1, last_index)
                tasks.cancel_scope.cancel()

        harness, coordinator = GatewayHarness(2), Coordinator()
        self.addCleanup(coordinator.close)
        engines = harness.engines
        self.run_with_long_waits(main)
        self.assertEqual(([], 8), (engines[0].lines, len(engines[1].lines)))

    def test_startup_fails_if_another_process_listens_before_the_first_frame(self) -> None:
        async def main() -> None:
            service = self.make_service(GatewayHarness(0), coordinator)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(run_service, service)
                connection, _ = await coordinator.accept()
                with socket.create_server(service.listen):
                    connection.send(frame(1, 0))
                    await wait_until(lambda: errors)

        async def run_service(service: Service) -> None:
            try:
                await service.run()
            except AddressError as error:
                errors.append(str(error))

        errors: list[str] = []
        coordinator = Coordinator()
        self.addCleanup(coordinator.close)
        self.run_with_long_waits(main)
        self.assertIn("can't be listened on", errors[0])

    def make_service(
        self, harness: GatewayHarness, coordinator: Coordinator, *events: EndpointEvent
    ) -> Service:
        """Returns a service whose listen address is known before it serves."""
        with socket.create_server(("127.0.0.1", 0)) as reservation:
            address = reservation.getsockname()
        return Service("n0", address, 7, harness.settings, list(events), coordinator.address)

    def run_with_long_waits(self, main: Callable[[], Awaitable]) -> None:
        """Runs `main` while only a frame of the coordinator ends the wait for the initial list."""
        with (
            mock.patch.object(discovery_watch, "_SETTLED_AFTER_S", TIMEOUT_S),
            mock.patch.object(services, "_INITIAL_LIST_SECONDS", TIMEOUT_S),
            contextlib.redirect_stderr(io.StringIO()),
        ):
            anyio.run(main, backend_options={"use_uvloop": True})

    def test_sites_and_clients_are_accepted_after_the_first_frame(self) -> None:
        order: list[str] = []

        async def record_step(step: str) -> None:
            order.append(step)

        async def main() -> None:
            service = Service("n0", ("127.0.0.1", 0), 7, GatewayHarness(0).settings, [], "127.0.0.1:1")
            service.parts.links = mock.Mock()
            service._start_links = lambda links: record_step("halls")
            service.parts.watch.wait_until_current = lambda timeout_s: record_step("first word")
            service.parts.listener.run = lambda listener: record_step("clients")
            async with anyio.create_task_group() as tasks:
                await tasks.start(service.run)
                await run_loop_turns()
                tasks.cancel_scope.cancel()

        with contextlib.redirect_stderr(io.StringIO()):
            anyio.run(main, backend_options={"use_uvloop": True})
        self.assertEqual(["first word", "halls", "clients"], order)

    def test_attempt_that_waits_for_a_connection_is_retried_on_another_engine(self) -> None:
        """Nothing of it has been sent when an event withdraws its engine, so it is retried at once."""
        port = int(hanging_address(self).rpartition(":")[2])

        def event_frame(change: str, other_port: int) -> bytes:
            other = record(2, port=other_port)
            return {
                "drains": frame(3, 2, record(1, DRAINING, port), other),
                "removed": frame(3, 2, record(1, REMOVED, port), other),
                "not named": frame(3, 1, other),
                "its address is another's": frame(3, 2, record(3, port=port, started_ms=1), other),
            }[change]

        async def scenario(harness: GatewayHarness, client: ClientStandIn) -> None:
            connection, _ = await self.coordinator.accept()
            connection.send(frame(2, 2, record(1, port=port)))
            while not harness.service.parts.controller.ready_engines:
                await anyio.sleep(0.01)
            await client.send_request(1, "plain", timeout=20_000)
            while not harness.service.parts.counters.counts["attempts sent"]:
                await anyio.sleep(0.01)
            connection.send(event_frame(change, harness.engines[0].port))
            self.assertIn("result", await client.receive_response())

        for change in ("drains", "removed", "not named", "its address is another's"):
            with self.subTest(change):
                # Connecting would time out long after the end of the scenario.
                harness = self.run_gateway(scenario, 1, Limits={"ConnectTimeout": 60_000, "MaxAttempts": 3})
                counts = harness.service.parts.counters.counts
                self.assertEqual(
                    (1, 1), (counts["attempts expired before send"], counts["attempts succeeded"])
                )

    def test_drain_after_a_reconnect_and_before_a_malformed_frame(self) -> None:
        async def scenario(harness: GatewayHarness, client: ClientStandIn) -> None:
            connection, _ = await self.coordinator.accept()
            first, second = (engine.port for engine in harness.engines)
            connection.send(frame(2, 2, record(1, port=first))[:20])
            harness.service.parts.watch.reconnect_to(self.coordinator.address)
            connection, last_index = await self.coordinator.accept()
            self.assertEqual(1, last_index)
            events = frame(2, 2, record(1, port=first)) + frame(3, 2, record(2, port=second))
            connection.send(events + frame(4, 2, record(1, DRAINING, first)) + frame(5, 7))
            _, last_index = await self.coordinator.accept()
            self.assertEqual(4, last_index)
            await self.assert_served(client, range(1, 9))
            self.assertEqual(([], 8), (harness.engines[0].lines, len(harness.engines[1].lines)))

        self.run_gateway(scenario, 2)

    def test_event_whose_handling_fails_half_way_is_handled_again(self) -> None:
        """The router has removed the engine and the policy has not; the event is requested again."""

        async def scenario(harness: GatewayHarness, client: ClientStandIn) -> None:
            controller = harness.service.parts.controller
            connection, _ = await self.coordinator.accept()
            first, second = (engine.port for engine in harness.engines)
            connection.send(frame(2, 2, record(1, port=first), record(2, port=second)))
            while len(controller.ready_engines) < 2:
                await anyio.sleep(0.01)

            def fail(*_: object) -> None:
                del controller.on_endpoints_updated
                raise RuntimeError("half way")

            controller.on_endpoints_updated = fail
            connection.send(frame(3, 2, record(1, REMOVED, first)))
            connection, last_index = await self.coordinator.accept()
            self.assertEqual(2, last_index)
            # Before the event is repeated: the policy still lists the engine and must not send to it.
            await self.assert_served(client, range(1, 5))
            connection.send(frame(3, 2, record(1, REMOVED, first)))
            while len(controller.ready_engines) > 1:
                await anyio.sleep(0.01)
            await self.assert_served(client, range(5, 9))
            self.assertEqual(([], 8), (harness.engines[0].lines, len(harness.engines[1].lines)))

        harness = self.run_gateway(scenario, 2)
        self.assertEqual(1, harness.service.parts.counters.counts["faults"])
        self.assertIn("RuntimeError: half way", self.log_text)


if __name__ == "__main__":
    unittest.main()
