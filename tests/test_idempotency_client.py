"""Tests of the store client and its codec; the emulated store runs in separate processes."""

import contextlib
import io
import random
import signal
import tempfile
import time
import tracemalloc
import unittest
from collections.abc import Awaitable, Callable
from pathlib import Path
from unittest import mock

import anyio
import redis

from cresstray.cli import authority
from cresstray.clock import Clock, Timers
from cresstray.config.idempotency import StoreSettings, StoreTlsFiles
from cresstray.emulators.store_commands import encode
from cresstray.emulators.store_process import StoreProcess
from cresstray.idempotency import codec
from cresstray.idempotency.client import StoreClient
from cresstray.idempotency.codec import ErrorKind, ErrorReply, HandshakeError, ProtocolError
from cresstray.idempotency.connection import StoreConnection
from cresstray.idempotency.in_flight import CommandBatch, CommandPipeline, PrimaryTracker, ReconnectBackoff
from cresstray.observability.counters import Counters
from cresstray.observability.log import Log

# A callback may come this much later than the greatest lag of this process's event loop.
_LATENESS_TOLERANCE_US = 20_000


class CodecTest(unittest.TestCase):
    REPLIES = [b"a value\r\n*9999999\r\n", None, 7, [1, 1796180145883], [0, None, 5], {b"proto": 3}, []]

    def test_replies_are_parsed_however_they_are_split(self) -> None:
        for protocol in (2, 3):
            stream = b"".join(encode(reply, protocol) for reply in self.REPLIES) + b"-OOM no\r\n"
            expected = [*self.REPLIES, ErrorReply(ErrorKind.OOM, "OOM no")]
            if protocol == 2:
                expected[5] = [b"proto", 3]
            for size in range(1, 40):
                reader, parsed = codec.ReplyReader(), []
                for position in range(0, len(stream), size):
                    parsed += reader.feed(stream[position : position + size])
                self.assertEqual(expected, parsed)

    def test_push_messages_are_skipped(self) -> None:
        self.assertEqual([b"x"], codec.ReplyReader().feed(b">2\r\n+invalidate\r\n*0\r\n$1\r\nx\r\n"))

    def test_malformed_replies_are_rejected_without_much_memory(self) -> None:
        tracemalloc.start()
        too_long = b"*20\r\n" + b"$100000\r\n%b\r\n" % (b"x" * 100_000) * 12
        for malformed in (
            b"*2000000000\r\n",
            b"$999999999\r\n",
            b"*1000\r\n" * 3,
            b"HTTP/1.1 400\r\n",
            b"$x\r\n",
            b"$1\r\nabc",
            b"*-2\r\n",
            b"+" + b"x" * 5000,
            b"|1\r\n+a\r\n+b\r\n",
            b":x\r\n",
            b"%1\r\n*0\r\n+a\r\n",
            too_long,
        ):
            with self.assertRaises(ProtocolError, msg=malformed[:20]):
                codec.ReplyReader().feed(malformed)
        self.assertLess(tracemalloc.get_traced_memory()[1], 5_000_000)
        tracemalloc.stop()

    def run_handshake(self, password: bytes, *replies_by_step: list) -> tuple[list, object]:
        steps, sent_commands = codec.perform_handshake("default", password), []
        try:
            commands = next(steps)
            for replies in replies_by_step:
                sent_commands += [command.arguments[:2] for command in commands]
                commands = steps.send(replies)
        except StopIteration as finished:
            return sent_commands, finished.value
        except HandshakeError as error:
            return sent_commands, str(error)
        return sent_commands, None

    def test_handshake_results_and_errors(self) -> None:
        unknown_command, primary_role = (
            ErrorReply(ErrorKind.OTHER, "ERR unknown command 'HELLO'"),
            [b"master", 0, []],
        )
        script_digest, loading = codec.COMPARE_AND_SET_SHA, ErrorReply(ErrorKind.LOADING, "LOADING")
        self.assertEqual((3, True), self.run_handshake(b"", [{}], [primary_role, script_digest])[1])
        self.assertEqual((3, False), self.run_handshake(b"", [{}], [[b"slave"], script_digest])[1])
        info = b"# Replication\r\nrole:master\r\n"
        sent_commands, result = self.run_handshake(
            b"x", [unknown_command], [b"OK"], [unknown_command, script_digest], [info]
        )
        self.assertEqual(((2, True), (b"AUTH", b"x")), (result, sent_commands[1]))
        self.assertEqual("LOADING", self.run_handshake(b"", [{}], [primary_role, loading])[1])
        self.assertEqual(
            "WRONGPASS", self.run_handshake(b"x", [ErrorReply(ErrorKind.DENIED, "WRONGPASS")])[1]
        )


class CommandPipelineTest(unittest.TestCase):
    def run_random_sequence(self, seed: int, has_faults: bool) -> tuple[int, bool]:
        """Returns the number of delivered batches, and whether the pipeline detected a fault.

        Each command reads a key of its own and is answered with that key. With `has_faults`, some replies are
        surplus or missing.
        """
        random_source, pipeline = random.Random(seed), CommandPipeline(50)
        has_surplus_replies = random_source.random() < 0.5
        expected_replies: dict[int, list] = {}
        replies: list = []
        batches: list[CommandBatch] = []
        delivered_count, was_detected = 0, False
        for step in range(400):
            if random_source.random() < 0.5 and pipeline.has_capacity():
                keys = [b"%d.%d" % (step, number) for number in range(random_source.randint(1, 3))]
                batch = CommandBatch([codec.get_value(key) for key in keys], 0, lambda _: None)
                batches.append(batch)
                expected_replies[id(batch)] = keys
                pipeline.start(batch, step)
                replies += [*keys, b"%d" % len(batches)]
            elif batches and random_source.random() < 0.2:
                random_source.choice(batches).release()
            elif replies:
                reply = replies.pop(0)
                if has_faults and random_source.random() < 0.03:
                    if not has_surplus_replies:
                        continue
                    replies[:0] = random_source.choice(([reply], [b"other"]))
                try:
                    finished_batch, _ = pipeline.on_reply(reply, step)
                except ProtocolError:
                    was_detected = True
                    break
                if finished_batch is not None:
                    delivered_count += 1
                    self.assertEqual(expected_replies[id(finished_batch)], finished_batch.replies)
        return delivered_count, was_detected

    def test_no_reply_is_assigned_to_another_command(self) -> None:
        for seed in range(40):
            self.assertFalse(self.run_random_sequence(seed, False)[1])
        results = [self.run_random_sequence(seed, True) for seed in range(300)]
        self.assertGreater(sum(was_detected for _, was_detected in results), 200)
        self.assertGreater(sum(delivered_count for delivered_count, _ in results), 1000)

    def test_reply_that_does_not_fit_its_command_is_an_error(self) -> None:
        compare_and_set = codec.compare_and_set(b"a", b"", b"b", 1)
        for command, reply in (
            (codec.get_time(), b"1"),
            (codec.get_time(), [b"1"]),
            (codec.get_value(b"a"), 1),
            (codec.get_role(), []),
            (compare_and_set, [0, 1]),
            (compare_and_set, [1, None, 1]),
        ):
            pipeline = CommandPipeline(1)
            pipeline.start(CommandBatch([command], 0, lambda _: None), 0)
            self.assertFalse(pipeline.has_capacity())
            with self.assertRaises(ProtocolError):
                pipeline.on_reply(reply, 0)

    def test_one_primary_is_used_and_reconnect_delays_grow(self) -> None:
        tracker = PrimaryTracker([("a", 1), ("b", 2)])
        self.assertEqual([0, 1], tracker.connection_order())
        self.assertFalse(tracker.on_handshake_finished(0, False))
        self.assertTrue(tracker.on_handshake_finished(1, True) and tracker.on_handshake_finished(1, True))
        self.assertFalse(tracker.on_handshake_finished(0, True), "a second primary")
        tracker.on_connection_closed(1)
        self.assertEqual([1], tracker.connection_order())
        self.assertTrue(tracker.on_demoted(1))
        self.assertFalse(tracker.on_demoted(1))
        self.assertEqual([1, 0], tracker.connection_order())
        backoff = ReconnectBackoff(lambda: 0.5)
        self.assertEqual(
            [50_000, 100_000, 200_000, 400_000, 800_000, 1_000_000, 1_000_000],
            [backoff.next_delay_us(0) for _ in range(7)],
        )
        self.assertEqual(50_000, backoff.next_delay_us(2_000_000))


class ClientHarness:
    """A running client, with the result of each submission."""

    def __init__(self, *ports: int, **settings: object) -> None:
        self.clock = Clock()
        self.timers, self.counters = Timers(self.clock), Counters()
        store_settings = StoreSettings(
            addresses=tuple((str(settings.pop("host", "127.0.0.1")), port) for port in ports),
            request_classes=("manifest-load",),
            **settings,
        )
        self.client = StoreClient(
            store_settings,
            random.Random(7).random,
            self.clock,
            self.timers,
            self.counters,
            Log("n0", self.clock),
        )
        self.calls: list[tuple[int, int, object]] = []  # call count, lateness in us, replies
        self.batches: list[CommandBatch] = []
        self.log_output = io.StringIO()
        self.max_loop_lag_us = 0

    def submit(self, commands: list, timeout: int = 100_000) -> int:
        number, deadline_us = len(self.calls), self.clock.now() + timeout
        self.calls.append((0, 0, None))

        def on_done(replies: object) -> None:
            self.calls[number] = (self.calls[number][0] + 1, self.clock.now() - deadline_us, replies)

        self.batches.append(self.client.submit(commands, deadline_us, on_done))
        assert not self.calls[number][0], "on_done was called within submit"
        return number

    async def submit_and_wait(self, commands: list, timeout: int = 1_000_000) -> object:
        number = self.submit(commands, timeout)
        while not self.calls[number][0]:
            await anyio.sleep(0.002)
        return self.calls[number][2]

    async def compare_and_set(self, key: bytes, expected: bytes, new: bytes) -> object:
        replies = await self.submit_and_wait([codec.compare_and_set(key, expected, new, 60_000)])
        return replies and (
            replies[0] if type(replies[0]) is ErrorReply else codec.parse_compare_and_set(replies[0])
        )

    async def wait_until_connected(self, timeout: float = 5) -> None:
        with anyio.fail_after(timeout):
            while not self.client.is_connected():
                await anyio.sleep(0.005)

    async def _measure_loop_lag(self) -> None:
        while True:
            before_us = self.clock.now()
            await anyio.sleep(0.005)
            self.max_loop_lag_us = max(self.max_loop_lag_us, self.clock.now() - before_us - 5_000)

    async def _check_connections(self) -> None:
        while True:
            await anyio.sleep(0.2)
            self.client.check_connections(self.clock.now())

    def run(self, scenario: Callable[[], Awaitable[None]]) -> str:
        """Runs the client during the scenario; returns the log output."""

        async def main() -> None:
            async with anyio.create_task_group() as tasks:
                for task in (
                    self.timers.run,
                    self.client.run,
                    self._check_connections,
                    self._measure_loop_lag,
                ):
                    tasks.start_soon(task)
                await scenario()
                tasks.cancel_scope.cancel()

        with contextlib.redirect_stderr(self.log_output):
            anyio.run(main)
        return self.log_output.getvalue()


class StoreClientTest(unittest.TestCase):
    def setUp(self) -> None:
        self.store = self.enterContext(StoreProcess())

    def check_calls(self, harness: ClientHarness, tolerance_us: int = _LATENESS_TOLERANCE_US) -> list:
        """Checks that each callback was called once and in time; returns the replies."""
        self.assertEqual({1}, {count for count, _, _ in harness.calls})
        self.assertLess(
            max(lateness_us for _, lateness_us, _ in harness.calls), harness.max_loop_lag_us + tolerance_us
        )
        self.assertEqual(0, harness.counters.counts["faults"])
        return [replies for _, _, replies in harness.calls]

    # Command that starts the fault, command that ends it, and whether some submissions are still answered.
    FAULTS = (
        ("slow uniform 1 30", "slow fixed 0", True),
        ("late log 20 1.5", "slow fixed 0", True),
        ("slow fixed 300", "slow fixed 0", False),
        ("freeze", "thaw", False),
        ("mute", "speak", False),
        ("refuse", "accept", False),
        ("restart empty", "accept", True),
        ("cut 3", "speak", True),
        ("junk 2", "speak", True),
        ("twice 3", "speak", True),
        ("answer LOADING", "answer -", True),
        ("answer READONLY", "answer -", True),
        ("answer OOM", "answer -", True),
        ("answer BUSY", "answer -", True),
    )

    def test_each_fault_ends_calls_in_time_and_heals(self) -> None:
        async def scenario() -> None:
            for fault_number, (fault, healing, answers_continue) in enumerate(self.FAULTS):
                await harness.wait_until_connected()
                first_call = len(harness.calls)
                for step in range(45):
                    if step == 10:
                        self.store.tell(fault)
                    if step == 35:
                        self.store.tell(healing)
                    key = b"%d.%d" % (fault_number, step)
                    command = codec.compare_and_set(key, b"", b"of " + key, 60_000)
                    harness.submit([command, codec.get_value(key), codec.get_time()], 50_000)
                    await anyio.sleep(0.005)
                await anyio.sleep(0.11)
                outcomes_by_fault[fault] = self.count_outcomes(fault_number, harness.calls[first_call:])
                with anyio.fail_after(5):
                    while await harness.submit_and_wait([codec.get_value(b"x")], 200_000) != [None]:
                        await anyio.sleep(0.02)
                self.assertGreater(outcomes_by_fault[fault][0], 5, fault)
                if fault != "slow uniform 1 30":
                    self.assertGreater(sum(outcomes_by_fault[fault][1:]), 0, f"{fault} had no effect")
                if not answers_continue:
                    self.assertLess(outcomes_by_fault[fault][0], 30, fault)

        harness, outcomes_by_fault = ClientHarness(self.store.port), {}
        harness.run(scenario)
        self.check_calls(harness)
        self.assertGreater(harness.counters.counts["store: protocol errors"], 1)
        self.assertGreater(harness.counters.counts["store: primaries lost"], 0)

    def count_outcomes(self, fault_number: int, calls: list) -> list[int]:
        """Returns how many submissions have correct replies, error replies, and no replies."""
        counts = [0, 0, 0]
        for step, (_, _, replies) in enumerate(calls):
            if replies is None:
                counts[2] += 1
            elif any(type(reply) is ErrorReply for reply in replies):
                counts[1] += 1
            else:
                counts[0] += 1
                self.assertEqual(1, replies[0][0])
                self.assertIn(replies[1], (b"of %d.%d" % (fault_number, step), None))
        return counts

    def test_frozen_store_and_ten_thousand_submissions_take_bounded_memory(self) -> None:
        async def scenario() -> None:
            await harness.wait_until_connected()
            self.store.process.send_signal(signal.SIGSTOP)
            tracemalloc.start()
            for number in range(10_000):
                harness.submit([codec.compare_and_set(b"%d" % number, b"", b"x" * 1000, 60_000)], 2_000_000)
                if number % 500 == 499:
                    await anyio.sleep(0.005)
            self.assertLess(tracemalloc.get_traced_memory()[1], 24_000_000)
            tracemalloc.stop()
            await anyio.sleep(2.1)
            self.store.process.send_signal(signal.SIGCONT)
            started_s = time.monotonic()
            while await harness.compare_and_set(b"after", b"", b"y") is None:
                await anyio.sleep(0.02)
            self.assertLess(time.monotonic() - started_s, 3)

        harness = ClientHarness(self.store.port)
        harness.run(scenario)
        replies = self.check_calls(harness)
        self.assertGreater(harness.counters.counts["store: rejected, queue full"], 7000)
        self.assertGreater(replies.count(None), 9_000)
        self.assertEqual(0, harness.client.pending_bytes())

    def test_unsent_commands_are_distinguished(self) -> None:
        async def scenario() -> None:
            await harness.wait_until_connected()
            self.store.tell("mute")
            harness.submit([codec.compare_and_set(b"muted", b"", b"x", 60_000)])
            await anyio.sleep(0.15)
            self.store.tell("refuse")
            await anyio.sleep(0.05)
            harness.submit([codec.compare_and_set(b"refused", b"", b"x", 60_000)])
            await anyio.sleep(0.15)

        harness = ClientHarness(self.store.port)
        harness.run(scenario)
        self.assertEqual([None, None], self.check_calls(harness))
        self.assertEqual([True, False], [batch.may_have_been_sent for batch in harness.batches])
        stored_keys = {bytes.fromhex(entry["key"]) for entry in self.store.tell("copy")}
        stream = mock.Mock(unsent=b"", **{"has_ended.return_value": False, "write.return_value": False})
        connection = StoreConnection(0, stream, stream, mock.Mock(), 0)
        batch = CommandBatch([codec.get_time()], 0, lambda _: None)
        connection.write(connection.pipeline.start(batch, 0), [batch])
        self.assertFalse(batch.may_have_been_sent, "on a broken connection")
        self.assertEqual({b"muted"}, stored_keys)

    def test_nothing_is_sent_on_connections_that_the_store_has_closed(self) -> None:
        async def scenario() -> None:
            await harness.wait_until_connected()
            self.store.tell("close")
            time.sleep(0.1)  # the end of the connections has arrived but was not read yet
            self.assertTrue(
                (await harness.compare_and_set(b"a", b"", b"1")).is_applied,
                "the command was lost instead of sent on another connection",
            )

        harness = ClientHarness(self.store.port)
        harness.run(scenario)

    def test_reply_received_while_suspended_past_the_deadline_is_late(self) -> None:
        """The reply counts as late even if the event loop reads it before it runs the overdue timer."""

        async def scenario() -> None:
            await harness.wait_until_connected()
            harness.submit([codec.get_time()], 50_000)
            await anyio.sleep(0)
            time.sleep(0.1)
            await anyio.sleep(0.05)

        harness = ClientHarness(self.store.port)
        harness.run(scenario)
        self.assertEqual([None], self.check_calls(harness))

    def test_unknown_script_is_sent_again_whole(self) -> None:
        async def scenario() -> None:
            await harness.wait_until_connected()
            self.store.tell("forget")
            self.assertEqual((True, None), (await harness.compare_and_set(b"a", b"", b"1"))[:2])
            self.assertEqual((False, b"1"), (await harness.compare_and_set(b"a", b"", b"2"))[:2])
            self.assertEqual((True, None), (await harness.compare_and_set(b"a", b"1", b"2"))[:2])
            self.store.tell("spoil b")
            self.assertEqual(ErrorKind.WRONGTYPE, (await harness.compare_and_set(b"b", b"", b"2")).kind)

        harness = ClientHarness(self.store.port)
        harness.run(scenario)
        self.assertEqual(1, harness.counters.counts["store: scripts sent whole"])

    def test_cancelled_client_ends_at_once(self) -> None:
        """Cancellation does not wait for the store, and all pending submissions are answered with None."""

        async def scenario() -> None:
            await harness.wait_until_connected()
            self.store.process.send_signal(signal.SIGSTOP)
            for _ in range(20):
                harness.submit([codec.get_time()], 60_000_000)
            await anyio.sleep(0.05)
            self.cancelled_s = time.monotonic()

        harness = ClientHarness(self.store.port)
        harness.run(scenario)
        self.assertLess(time.monotonic() - self.cancelled_s, 0.3)
        self.assertEqual([None] * 20, self.check_calls(harness))

    def test_client_ends_without_a_store(self) -> None:
        async def scenario() -> None:
            harness.submit([codec.get_time()], 60_000_000)
            await anyio.sleep(0.02)

        self.store.kill()
        harness = ClientHarness(self.store.port)
        harness.run(scenario)
        self.assertEqual([None], self.check_calls(harness))

    def test_emulated_store_serves_an_unmodified_redis_client(self) -> None:
        for protocol in (2, 3):
            with contextlib.closing(redis.Redis(port=self.store.port, protocol=protocol)) as redis_client:
                self.assertTrue(redis_client.set("a", "b", px=60_000) and redis_client.ping())
                self.assertEqual(b"b", redis_client.get("a"))
                self.assertTrue(0 < redis_client.pttl("a") <= 60_000)
                self.assertIsNone(redis_client.set("a", "c", nx=True))
                script = redis_client.register_script(codec.COMPARE_AND_SET_SCRIPT)
                self.assertEqual([0, b"b"], script(["a"], [b"x", b"n", 50])[:2])
                self.assertEqual(1, script(["a"], [b"b", b"n", 50])[0])
                time.sleep(0.06)
                self.assertIsNone(redis_client.get("a"))
                with redis_client.pipeline(transaction=False) as pipeline:
                    self.assertEqual(2, len(pipeline.get("a").time().execute()))
                self.assertEqual("master", redis_client.info("replication")["role"])
                self.assertRaises(redis.ResponseError, redis_client.eval, "return 1", 0)
                self.store.tell("answer READONLY")
                self.assertRaises(redis.exceptions.ReadOnlyError, redis_client.set, "a", "b")
                self.store.tell("answer -")


class FailoverTest(unittest.TestCase):
    def test_failover_to_a_lagging_replica(self) -> None:
        async def scenario() -> None:
            await harness.wait_until_connected()
            for number in range(40):
                self.assertTrue((await harness.compare_and_set(b"%d" % number, b"", b"x")).is_applied)
                await anyio.sleep(0.01)
            first.kill()
            expected_lost_count = second.tell("promote")["lost"]
            started_s = time.monotonic()
            while (result := await harness.compare_and_set(b"40", b"", b"x")) is None:
                await anyio.sleep(0.01)
            self.assertTrue(result.is_applied)
            self.assertLess(time.monotonic() - started_s, 2)
            values = [
                await harness.submit_and_wait([codec.get_value(b"%d" % number)]) for number in range(40)
            ]
            lost_count = values.count([None])
            self.assertEqual(expected_lost_count, lost_count)
            self.assertTrue(5 <= lost_count < 40, lost_count)
            self.assertEqual([None], values[-1])
            # The old primary returns as a replica and gets no commands. Then the two change roles.
            first.start()
            first.tell(f"follow 127.0.0.1:{second.control}")
            await anyio.sleep(0.3)
            self.assertEqual(0, first.tell("account")["counts"].get("EVALSHA", 0))
            second.tell(f"follow 127.0.0.1:{first.control}")
            first.tell("promote")
            with anyio.fail_after(3):
                while (
                    not (result := await harness.compare_and_set(b"41", b"", b"x"))
                    or type(result) is ErrorReply
                ):
                    await anyio.sleep(0.01)
            self.assertEqual(b"x", (await harness.submit_and_wait([codec.get_value(b"40")]))[0])

        with StoreProcess() as first, StoreProcess() as second:
            second.tell("lag 200")
            second.tell(f"follow 127.0.0.1:{first.control}")
            time.sleep(0.3)
            harness = ClientHarness(first.port, second.port)
            log_output = harness.run(scenario)
        self.assertEqual({1}, {count for count, _, _ in harness.calls})
        self.assertIn(f"127.0.0.1:{second.port} is the primary", log_output)

    def test_store_restarted_with_stale_data(self) -> None:
        async def scenario() -> None:
            await harness.wait_until_connected()
            await harness.compare_and_set(b"old", b"", b"x")
            await anyio.sleep(0.3)
            await harness.compare_and_set(b"new", b"", b"x")
            stale_data = store.tell("copy 200")
            store.kill()
            self.assertIsNone(await harness.compare_and_set(b"away", b"", b"x"))
            store.start(stale_data)
            await harness.wait_until_connected()
            self.assertEqual(
                [b"x", None],
                (await harness.submit_and_wait([codec.get_value(b"old"), codec.get_value(b"new")])),
            )

        with StoreProcess() as store:
            harness = ClientHarness(store.port)
            harness.run(scenario)


class AuthenticationTest(unittest.TestCase):
    def test_password_is_read_again_and_older_stores_are_supported(self) -> None:
        for options in ((), ("--old",)):
            with (
                tempfile.TemporaryDirectory() as folder,
                StoreProcess("--password", "right", *options) as store,
            ):
                log_output = self.run_with_wrong_then_right_password(store.port, Path(folder) / "password")
            self.assertNotIn("right", log_output)
            self.assertIn("RESP2" if options else "RESP3", log_output)

    def run_with_wrong_then_right_password(self, port: int, path: Path) -> str:
        async def scenario() -> None:
            with anyio.fail_after(5):
                while "WRONGPASS" not in harness.log_output.getvalue():
                    await anyio.sleep(0.01)
            self.assertFalse(harness.client.is_connected())
            path.write_text("right\n")  # the file is read for each connection
            await harness.wait_until_connected()
            self.assertTrue((await harness.compare_and_set(b"a", b"", b"1")).is_applied)

        path.write_text("wrong\n")
        harness = ClientHarness(port, password_path=str(path))
        return harness.run(scenario)

    def test_tls_verifies_authority_and_host_name(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            authority.make(f"{folder}/keys", ["localhost", "ga0"])
            authority.make(f"{folder}/others", ["localhost"])

            def files(key_folder: str, host_in_certificate: str) -> list[str]:
                return [
                    f"{folder}/{key_folder}/{name}"
                    for name in ("authority.pem", f"{host_in_certificate}.pem", f"{host_in_certificate}.key")
                ]

            async def scenario() -> None:
                with anyio.move_on_after(0.5):
                    await harness.wait_until_connected()
                connected.append(
                    harness.client.is_connected()
                    and (await harness.compare_and_set(b"a", b"", b"1")).is_applied
                )

            connected: list[bool] = []
            local_host = "localhost"
            for key_folder, host_in_certificate, store_host in (
                ("keys", local_host, local_host),
                ("keys", "ga0", local_host),
                ("others", local_host, local_host),
                ("keys", local_host, "127.0.0.1"),
            ):
                with StoreProcess("--tls", *files(key_folder, host_in_certificate)) as store:
                    harness = ClientHarness(
                        store.port, host=store_host, tls=StoreTlsFiles(*files("keys", "ga0"))
                    )
                    harness.run(scenario)
            # In order: correct name and authority, wrong name, wrong authority, host not in the certificate.
            self.assertEqual([True, False, False, False], connected)


if __name__ == "__main__":
    unittest.main()
