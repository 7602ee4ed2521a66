"""The state of a client's connection and of a connection to an engine, stepped without sockets."""

import json
from base64 import b64encode

from cresstray.clients.connection_registry import ConnectionRegistry
from cresstray.clients.session import ClientSession, NextAction
from cresstray.engines import codec
from cresstray.engines.codec import EngineProtocolError
from cresstray.engines.connection_pool import ConnectionPool, DescriptorQuota
from cresstray.engines.connection_state import EngineConnection
from cresstray.engines.in_flight import InFlightRequest
from cresstray.observability.counters import Counters
from tests.harness import TraceCase


class FakeTransport:
    """Records what is written; a client that `reads` nothing leaves it waiting."""

    def __init__(self, lines: list[str], reads: bool = True) -> None:
        self.lines, self.reads, self.unsent = lines, reads, bytearray()
        self.unread = False

    def write(self, message: bytes) -> bool:
        self.lines.append(f"hears {message.decode().rstrip()}")
        if not self.reads:
            self.unsent += message
        return True

    def write_eof_when_drained(self) -> None:
        self.lines.append("ends once it is written")

    def close(self) -> None:
        self.lines.append("is closed")

    def has_unread(self) -> bool:
        return self.unread

    def has_ended(self) -> bool:
        return False


class RecordingHandler:
    def __init__(self, lines: list[str]) -> None:
        self.lines = lines

    def accept(self, connection: ClientSession, number: int, query: object) -> None:
        self.lines.append(f"asks {number}")
        connection.open_requests[number] = query

    def cancel(self, connection: ClientSession, number: int | None, name: str | None) -> None:
        self.lines.append(f"withdraws {number or name}")
        connection.open_requests.pop(number, None)

    def on_disconnected(self, connection: ClientSession) -> None:
        self.lines.append(f"is gone, {len(connection.open_requests)} open")


def request(number: int) -> bytes:
    params = {"req": f"{number:016x}", "timeout": 900, "data": b64encode(b"select 1").decode()}
    return json.dumps({"jsonrpc": "2.0", "id": number, "method": "lookup", "params": params}).encode() + b"\n"


def withdrawal(number: int) -> bytes:
    told = {"jsonrpc": "2.0", "method": "withdraw", "params": {"id": number}}
    return json.dumps(told).encode() + b"\n"


def status() -> bytes:
    return b'{"jsonrpc":"2.0","id":1,"method":"status"}\n'


class ClientSessions(TraceCase):
    def setUp(self) -> None:
        self.lines: list[str] = []
        self.now = 0
        self.registry = ConnectionRegistry(
            frozenset(("lookup",)),
            RecordingHandler(self.lines),
            lambda: 2,
            2,
            lambda: self.now,
            Counters(),
            lambda kind, text: None,
        )

    def session(self, reads: bool = True) -> ClientSession:
        session = ClientSession(self.registry, FakeTransport(self.lines, reads))
        self.registry.connections[session] = None
        return session

    def test_every_cut_of_two_requests_is_the_same(self) -> None:
        data = request(1) + b"\n" + request(2)
        for at in range(len(data) + 1):
            self.lines.clear()
            session = self.session()
            self.assertEqual([NextAction.READ] * 2, [session.receive(data[:at]), session.receive(data[at:])])
            session.succeed(1, b"a\tb\tc\n")
            session.on_disconnected()
            self.assertEqual(
                ["asks 1", "asks 2", "is gone, 1 open"],
                [line for line in self.lines if not line.startswith("hears")],
            )
            self.assertEqual((0, {}), (self.registry.buffered_bytes, self.registry.connections))

    def test_what_is_asked_after_the_close_is_rejected(self) -> None:
        """A client that reads slowly goes on asking while its last answer is written; none is accepted."""
        session = self.session(reads=False)
        session.receive(request(1))
        session.reject(1, 0)
        session.close()
        self.assertEqual(NextAction.READ, session.receive(request(2)))
        self.assertEqual({}, session.open_requests)
        self.check("talk_closing", self.lines)

    def test_too_many_malformed_messages(self) -> None:
        """Open requests are still answered, cancellations handled, the rest is rejected; then it ends."""
        session = self.session()
        session.receive(request(1) + request(2))
        for _ in range(9):
            self.assertEqual(NextAction.READ, session.receive(b"no JSON\n"))
        self.assertFalse(session.is_banned())
        del self.lines[:]
        self.assertEqual(NextAction.READ, session.receive(3 * b"no JSON\n" + request(3) + withdrawal(2)))
        self.assertEqual(
            [-32700, -32000, "withdraws 2"],
            [line if line.startswith("w") else code_of(line) for line in self.lines],
        )
        self.assertEqual([1], list(session.open_requests))
        session.fail(1)
        self.assertEqual("ends once it is written", self.lines[-1])
        self.assertTrue(session.can_shut_down(has_received=False))
        self.assertEqual(({}, [session]), (self.registry.connections, list(self.registry.leaving)))
        seen = len(self.lines)
        self.assertEqual(NextAction.READ, session.receive(request(4)))
        self.assertEqual(seen, len(self.lines))

    def test_messages_without_effect_are_bounded(self) -> None:
        for data in (b"no JSON\n", request(2), b"a"):  # the latter: parts of a line
            session = self.session()
            session.receive(request(1) + 10 * b"no JSON\n")
            found = [session.receive(data) for _ in range(2001)]
            self.assertEqual(({NextAction.READ}, NextAction.CLOSE), (set(found[:-1]), found[-1]))

    def test_a_client_that_does_not_read(self) -> None:
        """Its requests are rejected until it reads again; its cancellations are handled."""
        slow = self.session(reads=False)
        slow.receive(request(1) + request(2))
        slow._transport.write(b" " * (256 * 1024 + 1))
        slow.receive(request(3) + withdrawal(2))
        self.assertEqual("withdraws 2", self.lines[-1])
        self.assertEqual(-32000, code_of(self.lines[-2]))
        slow._transport.unsent.clear()
        slow.receive(request(3))
        self.assertEqual("asks 3", self.lines[-1])
        slow._transport.write(b" " * (256 * 1024 + 1))
        found = [slow.receive(one) for _ in range(667) for one in (request(9), request(10), status())]
        self.assertEqual(NextAction.CLOSE, found[-1])
        self.assertEqual(2000, found.index(NextAction.CLOSE))

    def test_a_line_without_an_end(self) -> None:
        """Whether its end comes or not: one error, open requests are answered, those behind it rejected."""
        for pieces in ((b"a" * 256 * 1024, b"a"), (b"a" * (256 * 1024 + 1) + b"\n",)):
            session = self.session()
            session.receive(request(1))
            del self.lines[:]
            for piece in pieces:
                self.assertEqual(NextAction.READ, session.receive(piece))
            self.assertEqual([-32600], list(map(code_of, self.lines)))
            self.assertEqual(0, self.registry.buffered_bytes)
            session.receive(b"a" * 100_000)
            session.receive(b"a" if len(pieces) > 1 else b"")
            session.receive(b"\n" + request(2))
            self.assertEqual([1], list(session.open_requests))
            self.assertEqual(-32000, code_of(self.lines[-1]))
            session.fail(1)
            self.assertEqual("ends once it is written", self.lines[-1])
            session.on_disconnected()
            self.assertEqual(0, self.registry.buffered_bytes)

    def test_of_too_many_partial_lines_the_longest_is_dropped(self) -> None:
        """Not that of whoever sends next."""
        many = [self.session() for _ in range(9)]
        longest, other = many[3], self.session()
        for session in many:
            session.receive(b"a" * (250_000 if session is longest else 230_000))
        self.assertFalse(longest.is_banned())
        other.receive(request(1)[:50])
        self.assertFalse(longest.is_banned())
        many[-1].receive(b"a" * 10_000)
        self.assertEqual([longest], [session for session in (*many, other) if session.is_banned()])
        other.receive(request(1)[50:])
        self.assertEqual([1], list(other.open_requests))
        self.assertLess(self.registry.buffered_bytes, 2 * 1024 * 1024)

    def test_many_lines_take_many_turns(self) -> None:
        session = self.session()
        session.receive(250 * status() + status()[:9])
        self.assertEqual((100, True), (len(self.lines), session.has_buffered_lines))
        session.close()  # not before all has been read
        session.receive(b"")
        session.receive(status()[9:])
        self.assertEqual((252, "ends once it is written"), (len(self.lines), self.lines[-1]))
        self.assertEqual((False, 0), (session.has_buffered_lines, self.registry.buffered_bytes))

    def test_behind_the_end_of_the_client(self) -> None:
        session = self.session()
        session.receive(request(1) + status(), ended=True)
        self.assertEqual(({}, True), (session.open_requests, session.has_disconnected()))

    def test_silence(self) -> None:
        """Who says nothing is ended after 2.2 s, and stays if something has come; not 0.4 s later."""
        session = self.session()
        for self.now, came in ((2_199_999, False), (2_200_000, True), (2_599_999, True), (2_600_000, True)):
            self.registry.close_idle()
            if self.lines and self.lines[-1] == "ends once it is written":
                self.lines.append(f"may be shut: {session.can_shut_down(came)}")
            there = len(self.registry.connections), len(self.registry.leaving)
            self.lines.append(f"{self.now} us: {there[0]} there, {there[1]} leaving")
        self.check("talk_silent", self.lines)

    def test_who_does_not_read_the_last_answer(self) -> None:
        """It has ten seconds for it, then it is closed."""
        session = self.session(reads=False)
        session.receive(request(1))
        session.succeed(1, b"a\tb\tc\n")
        for self.now, there in ((9_999_999, 1), (10_000_000, 0)):
            self.registry.close_idle()
            self.assertEqual(there, len(self.registry.connections))
        self.assertEqual("is closed", self.lines[-1])

    def test_what_waits_is_written_before_it_is_shut(self) -> None:
        session = self.session(reads=False)
        session.receive(request(1))
        session.close()
        self.assertNotIn("ends once it is written", self.lines)  # it is owed an answer
        session.reject(1, 0)
        self.assertFalse(session.can_shut_down(has_received=False))
        session._transport.unsent.clear()
        self.assertTrue(session.can_shut_down(has_received=True))
        self.assertEqual(2, self.lines.count("ends once it is written"))

    def test_which_are_evicted(self) -> None:
        """Nobody who has something open, unread or unwritten."""
        asking, unread, unwritten, idle = (self.session(reads=at != 2) for at in range(4))
        asking.receive(request(1))
        unread._transport.unread = True
        unwritten._transport.write(b"answer")
        made = [session.try_evict() for session in (asking, unread, unwritten, idle)]
        self.assertEqual([False, False, False, True], made)


def code_of(line: str) -> int:
    return json.loads(line.removeprefix("hears "))["error"]["code"]


class RecordingRequest(InFlightRequest):
    """A request in flight that is its own listener."""

    def __init__(self, name: bytes) -> None:
        super().__init__(name, b"ASK " + name, self, None)

    def may_send(self, in_flight: InFlightRequest) -> bool:
        return True

    def on_sent(self, in_flight: InFlightRequest) -> None:
        """What is written is recorded by the pool."""

    def on_answer(self, in_flight: InFlightRequest, answer: codec.Answer) -> bool:
        in_flight.connection.finish(in_flight)
        return True


class FakeConnection(EngineConnection):
    def abort(self) -> None:
        self.pool.lines.append("hangs up")


class FakePool(ConnectionPool):
    """Connections that are made by the test's hand; what is written goes to `lines`."""

    def __init__(self, lines: list[str]) -> None:
        timers = type("Timers", (), {"call_after": lambda *_: None})()
        super().__init__(("e", 1), {}, DescriptorQuota(1, 2), timers, lambda: 0, Counters())
        self.lines, self.ended, self.unsent = lines, False, bytearray()

    def connect(self) -> FakeConnection:
        return FakeConnection(self)

    def write(self, message: bytes) -> bool:
        self.lines.append(message.decode())
        return True

    def has_ended(self) -> bool:
        return self.ended


class EngineConnections(TraceCase):
    def test_a_rejected_name_takes_another_connection(self) -> None:
        """A duplicate of the rejection would be taken for the next attempt's answer, while that runs."""
        pool = FakePool([])
        for word, same in ((b"overload", False), (b"crashed", False), (b"served", True)):
            first, second = RecordingRequest(b"one"), RecordingRequest(b"one")
            pool.start(first)
            if first.connection.transport is None:
                first.connection.on_connected(pool)
            first.connection.on_received(
                b"*4\r\n$3\r\none\r\n$%d\r\n%b\r\n$1\r\n-\r\n$0\r\n\r\n" % (len(word), word)
            )
            pool.start(second)
            self.assertEqual(same, second.connection is first.connection, word)
            second.connection.finish(second)
            first.connection.close()
            first.connection.on_closed()

    def test_rejected_names_are_bounded(self) -> None:
        connection = FakePool([]).connect()
        for number in range(1000):
            connection.in_flight.on_rejected(RecordingRequest(b"%d" % number))
        self.assertEqual(
            (200, False, True),
            (
                len(connection.in_flight.rejected),
                connection.in_flight.has_room_for(b"999"),
                connection.in_flight.has_room_for(b"1"),
            ),
        )

    def test_the_end_of_a_connection_within_an_answer(self) -> None:
        pool = FakePool([])
        in_flight = RecordingRequest(b"one")
        pool.start(in_flight)
        connection = in_flight.connection
        connection.on_connected(pool)
        connection.on_end_of_stream()  # nothing has begun
        self.assertIsNone(connection.seconds_left())
        connection.on_received(b"*4\r\n$3\r\n")
        self.assertEqual(0.25, connection.seconds_left())
        for end in (connection.on_end_of_stream, connection.on_stalled):
            with self.assertRaises(EngineProtocolError):
                end()
        pool.ended = True
        connection.in_flight.finish(in_flight)
        self.assertFalse(connection.start(RecordingRequest(b"two")))
        self.assertEqual(["ASK one", "hangs up"], pool.lines)
