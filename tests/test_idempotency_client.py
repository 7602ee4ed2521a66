"""The store's client against a stand-in in processes of its own: order, time limits, faults, copies."""

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

# A call may be so much later than this process's loop was at its latest, in us.
_LATE = 20_000


class Codec(unittest.TestCase):
    REPLIES = [b"a value\r\n*9999999\r\n", None, 7, [1, 1796180145883], [0, None, 5], {b"proto": 3}, []]

    def test_replies_however_they_are_cut(self) -> None:
        for protocol in (2, 3):
            stream = b"".join(encode(reply, protocol) for reply in self.REPLIES) + b"-OOM no\r\n"
            expected = [*self.REPLIES, ErrorReply(ErrorKind.OOM, "OOM no")]
            if protocol == 2:
                expected[5] = [b"proto", 3]
            for size in range(1, 40):
                reader, found = codec.ReplyReader(), []
                for at in range(0, len(stream), size):
                    found += reader.feed(stream[at : at + size])
                self.assertEqual(expected, found)

    def test_what_is_pushed_is_left_out(self) -> None:
        self.assertEqual([b"x"], codec.ReplyReader().feed(b">2\r\n+invalidate\r\n*0\r\n$1\r\nx\r\n"))

    def test_malformed_replies_take_no_room(self) -> None:
        tracemalloc.start()
        long = b"*20\r\n" + b"$100000\r\n%b\r\n" % (b"x" * 100_000) * 12
        for wrong in (
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
            long,
        ):
            with self.assertRaises(ProtocolError, msg=wrong[:20]):
                codec.ReplyReader().feed(wrong)
        self.assertLess(tracemalloc.get_traced_memory()[1], 5_000_000)
        tracemalloc.stop()

    def greet(self, password: bytes, *told: list) -> tuple[list, object]:
        talk, said = codec.perform_handshake("default", password), []
        try:
            commands = next(talk)
            for replies in told:
                said += [command.arguments[:2] for command in commands]
                commands = talk.send(replies)
        except StopIteration as over:
            return said, over.value
        except HandshakeError as trouble:
            return said, str(trouble)
        return said, None

    def test_greetings(self) -> None:
        unknown, master = ErrorReply(ErrorKind.OTHER, "ERR unknown command 'HELLO'"), [b"master", 0, []]
        loaded, loading = codec.COMPARE_AND_SET_SHA, ErrorReply(ErrorKind.LOADING, "LOADING")
        self.assertEqual((3, True), self.greet(b"", [{}], [master, loaded])[1])
        self.assertEqual((3, False), self.greet(b"", [{}], [[b"slave"], loaded])[1])
        info = b"# Replication\r\nrole:master\r\n"
        said, told = self.greet(b"x", [unknown], [b"OK"], [unknown, loaded], [info])
        self.assertEqual(((2, True), (b"AUTH", b"x")), (told, said[1]))
        self.assertEqual("LOADING", self.greet(b"", [{}], [master, loading])[1])
        self.assertEqual("WRONGPASS", self.greet(b"x", [ErrorReply(ErrorKind.DENIED, "WRONGPASS")])[1])


class Order(unittest.TestCase):
    def play(self, seed: int, faulty: bool) -> tuple[int, bool]:
        """Reads of keys of their own, answered in order with the key; `faulty`: some too many or too few."""
        chance, flight = random.Random(seed), CommandPipeline(50)
        many = chance.random() < 0.5
        told: dict[int, list] = {}
        replies: list = []
        asked: list[CommandBatch] = []
        delivered, spoilt = 0, False
        for step in range(400):
            if chance.random() < 0.5 and flight.has_capacity():
                names = [b"%d.%d" % (step, one) for one in range(chance.randint(1, 3))]
                made = CommandBatch([codec.get_value(name) for name in names], 0, lambda _: None)
                asked.append(made)
                told[id(made)] = names
                flight.start(made, step)
                replies += [*names, b"%d" % len(asked)]
            elif asked and chance.random() < 0.2:
                chance.choice(asked).release()
            elif replies:
                reply = replies.pop(0)
                if faulty and chance.random() < 0.03:
                    if not many:
                        continue
                    replies[:0] = chance.choice(([reply], [b"other"]))
                try:
                    over, _ = flight.on_reply(reply, step)
                except ProtocolError:
                    spoilt = True
                    break
                if over is not None:
                    delivered += 1
                    self.assertEqual(told[id(over)], over.replies)
        return delivered, spoilt

    def test_no_reply_under_anothers_command(self) -> None:
        for seed in range(40):
            self.assertFalse(self.play(seed, False)[1])
        found = [self.play(seed, True) for seed in range(300)]
        self.assertGreater(sum(spoilt for _, spoilt in found), 200)
        self.assertGreater(sum(delivered for delivered, _ in found), 1000)

    def test_reply_of_another_shape(self) -> None:
        swap = codec.compare_and_set(b"a", b"", b"b", 1)
        for command, reply in (
            (codec.get_time(), b"1"),
            (codec.get_time(), [b"1"]),
            (codec.get_value(b"a"), 1),
            (codec.get_role(), []),
            (swap, [0, 1]),
            (swap, [1, None, 1]),
        ):
            flight = CommandPipeline(1)
            flight.start(CommandBatch([command], 0, lambda _: None), 0)
            self.assertFalse(flight.has_capacity())
            with self.assertRaises(ProtocolError):
                flight.on_reply(reply, 0)

    def test_primary_and_pauses(self) -> None:
        places = PrimaryTracker([("a", 1), ("b", 2)])
        self.assertEqual([0, 1], places.connection_order())
        self.assertFalse(places.on_handshake_finished(0, False))
        self.assertTrue(places.on_handshake_finished(1, True) and places.on_handshake_finished(1, True))
        self.assertFalse(places.on_handshake_finished(0, True), "a second primary")
        places.on_connection_closed(1)
        self.assertEqual([1], places.connection_order())
        self.assertTrue(places.on_demoted(1))
        self.assertFalse(places.on_demoted(1))
        self.assertEqual([1, 0], places.connection_order())
        pause = ReconnectBackoff(lambda: 0.5)
        self.assertEqual(
            [50_000, 100_000, 200_000, 400_000, 800_000, 1_000_000, 1_000_000],
            [pause.next_delay_us(0) for _ in range(7)],
        )
        self.assertEqual(50_000, pause.next_delay_us(2_000_000))


class Desk:
    """A client that runs, and what came of each submission."""

    def __init__(self, *ports: int, **more: object) -> None:
        self.clock = Clock()
        self.timers, self.counters = Timers(self.clock), Counters()
        given = StoreSettings(
            addresses=tuple((str(more.pop("host", "127.0.0.1")), port) for port in ports),
            request_classes=("manifest-load",),
            **more,
        )
        self.client = StoreClient(
            given, random.Random(7).random, self.clock, self.timers, self.counters, Log("n0", self.clock)
        )
        self.calls: list[tuple[int, int, object]] = []  # how often, how late in us, replies
        self.asked: list[CommandBatch] = []
        self.said = io.StringIO()
        self.stalled = 0  # by how much the loop was late at the most, in us

    def submit(self, commands: list, within: int = 100_000) -> int:
        number, by = len(self.calls), self.clock.now() + within
        self.calls.append((0, 0, None))

        def call(replies: object) -> None:
            self.calls[number] = (self.calls[number][0] + 1, self.clock.now() - by, replies)

        self.asked.append(self.client.submit(commands, by, call))
        assert not self.calls[number][0], "called within submit"
        return number

    async def answer(self, commands: list, within: int = 1_000_000) -> object:
        number = self.submit(commands, within)
        while not self.calls[number][0]:
            await anyio.sleep(0.002)
        return self.calls[number][2]

    async def swap(self, name: bytes, expected: bytes, new: bytes) -> object:
        replies = await self.answer([codec.compare_and_set(name, expected, new, 60_000)])
        return replies and (
            replies[0] if type(replies[0]) is ErrorReply else codec.parse_compare_and_set(replies[0])
        )

    async def ready(self, within: float = 5) -> None:
        with anyio.fail_after(within):
            while not self.client.is_connected():
                await anyio.sleep(0.005)

    async def _beat(self) -> None:
        while True:
            before = self.clock.now()
            await anyio.sleep(0.005)
            self.stalled = max(self.stalled, self.clock.now() - before - 5_000)

    async def _look(self) -> None:
        while True:
            await anyio.sleep(0.2)
            self.client.check_connections(self.clock.now())

    def run(self, scene: Callable[[], Awaitable[None]]) -> str:
        """What was logged."""

        async def main() -> None:
            async with anyio.create_task_group() as tasks:
                for part in (self.timers.run, self.client.run, self._look, self._beat):
                    tasks.start_soon(part)
                await scene()
                tasks.cancel_scope.cancel()

        with contextlib.redirect_stderr(self.said):
            anyio.run(main)
        return self.said.getvalue()


class AgainstStandIn(unittest.TestCase):
    def setUp(self) -> None:
        self.store = self.enterContext(StoreProcess())

    def check(self, desk: Desk, late: int = _LATE) -> list:
        """Each was called once, by its time; the replies."""
        self.assertEqual({1}, {count for count, _, _ in desk.calls})
        self.assertLess(max(by for _, by, _ in desk.calls), desk.stalled + late)
        self.assertEqual(0, desk.counters.counts["faults"])
        return [replies for _, _, replies in desk.calls]

    # What is told, how it is healed, and whether some of what is asked meanwhile is still answered.
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

    def test_each_fault(self) -> None:
        async def scene() -> None:
            for turn, (fault, healed, some) in enumerate(self.FAULTS):
                await desk.ready()
                first = len(desk.calls)
                for step in range(45):
                    if step == 10:
                        self.store.tell(fault)
                    if step == 35:
                        self.store.tell(healed)
                    name = b"%d.%d" % (turn, step)
                    swap = codec.compare_and_set(name, b"", b"of " + name, 60_000)
                    desk.submit([swap, codec.get_value(name), codec.get_time()], 50_000)
                    await anyio.sleep(0.005)
                await anyio.sleep(0.11)
                seen[fault] = self.outcomes(turn, desk.calls[first:])
                with anyio.fail_after(5):
                    while await desk.answer([codec.get_value(b"x")], 200_000) != [None]:
                        await anyio.sleep(0.02)
                self.assertGreater(seen[fault][0], 5, fault)
                if fault != "slow uniform 1 30":
                    self.assertGreater(sum(seen[fault][1:]), 0, f"{fault} was not felt")
                if not some:
                    self.assertLess(seen[fault][0], 30, fault)

        desk, seen = Desk(self.store.port), {}
        desk.run(scene)
        self.check(desk)
        self.assertGreater(desk.counters.counts["store: protocol errors"], 1)
        self.assertGreater(desk.counters.counts["store: primaries lost"], 0)

    def outcomes(self, turn: int, calls: list) -> list[int]:
        """Of these submissions: answered as they must be, refused, without an answer."""
        found = [0, 0, 0]
        for step, (_, _, replies) in enumerate(calls):
            if replies is None:
                found[2] += 1
            elif any(type(reply) is ErrorReply for reply in replies):
                found[1] += 1
            else:
                found[0] += 1
                self.assertEqual(1, replies[0][0])
                self.assertIn(replies[1], (b"of %d.%d" % (turn, step), None))
        return found

    def test_frozen_process_and_ten_thousand_submissions(self) -> None:
        async def scene() -> None:
            await desk.ready()
            self.store.process.send_signal(signal.SIGSTOP)
            tracemalloc.start()
            for number in range(10_000):
                desk.submit([codec.compare_and_set(b"%d" % number, b"", b"x" * 1000, 60_000)], 2_000_000)
                if number % 500 == 499:
                    await anyio.sleep(0.005)
            self.assertLess(tracemalloc.get_traced_memory()[1], 24_000_000)
            tracemalloc.stop()
            await anyio.sleep(2.1)
            self.store.process.send_signal(signal.SIGCONT)
            begun = time.monotonic()
            while await desk.swap(b"after", b"", b"y") is None:
                await anyio.sleep(0.02)
            self.assertLess(time.monotonic() - begun, 3)

        desk = Desk(self.store.port)
        desk.run(scene)
        replies = self.check(desk)
        self.assertGreater(desk.counters.counts["store: rejected, queue full"], 7000)
        self.assertGreater(replies.count(None), 9_000)
        self.assertEqual(0, desk.client.pending_bytes())

    def test_what_was_not_written_is_told_apart(self) -> None:
        async def scene() -> None:
            await desk.ready()
            self.store.tell("mute")
            desk.submit([codec.compare_and_set(b"muted", b"", b"x", 60_000)])
            await anyio.sleep(0.15)
            self.store.tell("refuse")
            await anyio.sleep(0.05)
            desk.submit([codec.compare_and_set(b"refused", b"", b"x", 60_000)])
            await anyio.sleep(0.15)

        desk = Desk(self.store.port)
        desk.run(scene)
        self.assertEqual([None, None], self.check(desk))
        self.assertEqual([True, False], [asked.may_have_been_sent for asked in desk.asked])
        held = {bytes.fromhex(one["key"]) for one in self.store.tell("copy")}
        line = mock.Mock(unsent=b"", **{"has_ended.return_value": False, "write.return_value": False})
        link = StoreConnection(0, line, line, mock.Mock(), 0)
        asked = CommandBatch([codec.get_time()], 0, lambda _: None)
        link.write(link.pipeline.start(asked, 0), [asked])
        self.assertFalse(asked.may_have_been_sent, "on a broken connection")
        self.assertEqual({b"muted"}, held)

    def test_connections_that_the_store_has_closed_get_nothing(self) -> None:
        async def scene() -> None:
            await desk.ready()
            self.store.tell("close")
            time.sleep(0.1)  # their end has come, and this loop has not looked yet
            self.assertTrue((await desk.swap(b"a", b"", b"1")).is_applied, "it was lost, not moved")

        desk = Desk(self.store.port)
        desk.run(scene)

    def test_stopped_while_the_reply_came(self) -> None:
        """It is late then, whatever the loop looks at first when it goes on."""

        async def scene() -> None:
            await desk.ready()
            desk.submit([codec.get_time()], 50_000)
            await anyio.sleep(0)
            time.sleep(0.1)
            await anyio.sleep(0.05)

        desk = Desk(self.store.port)
        desk.run(scene)
        self.assertEqual([None], self.check(desk))

    def test_script_forgotten(self) -> None:
        async def scene() -> None:
            await desk.ready()
            self.store.tell("forget")
            self.assertEqual((True, None), (await desk.swap(b"a", b"", b"1"))[:2])
            self.assertEqual((False, b"1"), (await desk.swap(b"a", b"", b"2"))[:2])
            self.assertEqual((True, None), (await desk.swap(b"a", b"1", b"2"))[:2])
            self.store.tell("spoil b")
            self.assertEqual(ErrorKind.WRONGTYPE, (await desk.swap(b"b", b"", b"2")).kind)

        desk = Desk(self.store.port)
        desk.run(scene)
        self.assertEqual(1, desk.counters.counts["store: scripts sent whole"])

    def test_ends_at_once(self) -> None:
        """The gateway's stop waits for nothing here; all that wait are told."""

        async def scene() -> None:
            await desk.ready()
            self.store.process.send_signal(signal.SIGSTOP)
            for _ in range(20):
                desk.submit([codec.get_time()], 60_000_000)
            await anyio.sleep(0.05)
            self.ended = time.monotonic()

        desk = Desk(self.store.port)
        desk.run(scene)
        self.assertLess(time.monotonic() - self.ended, 0.3)
        self.assertEqual([None] * 20, self.check(desk))

    def test_ends_without_a_store(self) -> None:
        async def scene() -> None:
            desk.submit([codec.get_time()], 60_000_000)
            await anyio.sleep(0.02)

        self.store.kill()
        desk = Desk(self.store.port)
        desk.run(scene)
        self.assertEqual([None], self.check(desk))

    def test_another_client_unmodified(self) -> None:
        for protocol in (2, 3):
            with contextlib.closing(redis.Redis(port=self.store.port, protocol=protocol)) as other:
                self.assertTrue(other.set("a", "b", px=60_000) and other.ping())
                self.assertEqual(b"b", other.get("a"))
                self.assertTrue(0 < other.pttl("a") <= 60_000)
                self.assertIsNone(other.set("a", "c", nx=True))
                swap = other.register_script(codec.COMPARE_AND_SET_SCRIPT)
                self.assertEqual([0, b"b"], swap(["a"], [b"x", b"n", 50])[:2])
                self.assertEqual(1, swap(["a"], [b"b", b"n", 50])[0])
                time.sleep(0.06)
                self.assertIsNone(other.get("a"))
                with other.pipeline(transaction=False) as pipe:
                    self.assertEqual(2, len(pipe.get("a").time().execute()))
                self.assertEqual("master", other.info("replication")["role"])
                self.assertRaises(redis.ResponseError, other.eval, "return 1", 0)
                self.store.tell("answer READONLY")
                self.assertRaises(redis.exceptions.ReadOnlyError, other.set, "a", "b")
                self.store.tell("answer -")


class Copies(unittest.TestCase):
    def test_failed_over_to_a_lagging_copy(self) -> None:
        async def scene() -> None:
            await desk.ready()
            for number in range(40):
                self.assertTrue((await desk.swap(b"%d" % number, b"", b"x")).is_applied)
                await anyio.sleep(0.01)
            first.kill()
            lost = second.tell("promote")["lost"]
            begun = time.monotonic()
            while (done := await desk.swap(b"40", b"", b"x")) is None:
                await anyio.sleep(0.01)
            self.assertTrue(done.is_applied)
            self.assertLess(time.monotonic() - begun, 2)
            there = [await desk.answer([codec.get_value(b"%d" % number)]) for number in range(40)]
            gone = there.count([None])
            self.assertEqual(lost, gone)
            self.assertTrue(5 <= gone < 40, gone)
            self.assertEqual([None], there[-1])
            # The old one is back as a copy of the new: it is left alone. Then they change places.
            first.start()
            first.tell(f"follow 127.0.0.1:{second.control}")
            await anyio.sleep(0.3)
            self.assertEqual(0, first.tell("account")["counts"].get("EVALSHA", 0))
            second.tell(f"follow 127.0.0.1:{first.control}")
            first.tell("promote")
            with anyio.fail_after(3):
                while not (done := await desk.swap(b"41", b"", b"x")) or type(done) is ErrorReply:
                    await anyio.sleep(0.01)
            self.assertEqual(b"x", (await desk.answer([codec.get_value(b"40")]))[0])

        with StoreProcess() as first, StoreProcess() as second:
            second.tell("lag 200")
            second.tell(f"follow 127.0.0.1:{first.control}")
            time.sleep(0.3)
            desk = Desk(first.port, second.port)
            said = desk.run(scene)
        self.assertEqual({1}, {count for count, _, _ in desk.calls})
        self.assertIn(f"127.0.0.1:{second.port} is the primary", said)

    def test_killed_and_started_with_a_stale_copy(self) -> None:
        async def scene() -> None:
            await desk.ready()
            await desk.swap(b"old", b"", b"x")
            await anyio.sleep(0.3)
            await desk.swap(b"new", b"", b"x")
            copy = store.tell("copy 200")
            store.kill()
            self.assertIsNone(await desk.swap(b"away", b"", b"x"))
            store.start(copy)
            await desk.ready()
            self.assertEqual(
                [b"x", None], (await desk.answer([codec.get_value(b"old"), codec.get_value(b"new")]))
            )

        with StoreProcess() as store:
            desk = Desk(store.port)
            desk.run(scene)


class Doors(unittest.TestCase):
    def test_password_and_older_stores(self) -> None:
        for old in ((), ("--old",)):
            with tempfile.TemporaryDirectory() as folder, StoreProcess("--password", "right", *old) as store:
                said = self.admitted(store.port, Path(folder) / "password")
            self.assertNotIn("right", said)
            self.assertIn("RESP2" if old else "RESP3", said)

    def admitted(self, port: int, path: Path) -> str:
        async def scene() -> None:
            with anyio.fail_after(5):
                while "WRONGPASS" not in desk.said.getvalue():
                    await anyio.sleep(0.01)
            self.assertFalse(desk.client.is_connected())
            path.write_text("right\n")  # read again for each connection
            await desk.ready()
            self.assertTrue((await desk.swap(b"a", b"", b"1")).is_applied)

        path.write_text("wrong\n")
        desk = Desk(port, password_path=str(path))
        return desk.run(scene)

    def test_tls(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            authority.make(f"{folder}/keys", ["localhost", "ga0"])
            authority.make(f"{folder}/others", ["localhost"])

            def files(keys: str, name: str) -> list[str]:
                return [f"{folder}/{keys}/{one}" for one in ("authority.pem", f"{name}.pem", f"{name}.key")]

            async def scene() -> None:
                with anyio.move_on_after(0.5):
                    await desk.ready()
                ready.append(desk.client.is_connected() and (await desk.swap(b"a", b"", b"1")).is_applied)

            ready: list[bool] = []
            here = "localhost"
            for keys, name, host in (
                ("keys", here, here),
                ("keys", "ga0", here),
                ("others", here, here),
                ("keys", here, "127.0.0.1"),
            ):
                with StoreProcess("--tls", *files(keys, name)) as store:
                    desk = Desk(store.port, host=host, tls=StoreTlsFiles(*files("keys", "ga0")))
                    desk.run(scene)
            # Its own name and our authority; another's name, another's authority, a host it does not name.
            self.assertEqual([True, False, False, False], ready)


if __name__ == "__main__":
    unittest.main()
