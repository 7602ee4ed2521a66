"""States of a client's session, without sockets."""

import json
from base64 import b64encode

from cresstray.clients.connection_registry import ConnectionRegistry
from cresstray.clients.ports import NextAction
from cresstray.clients.session import ClientSession
from cresstray.observability.counters import Counters
from tests.harness import TraceCase


class FakeTransport:
    """Records what is written; if the client does not read (`reads` is False), it stays unsent."""

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
    """Accepts all requests and records the calls."""

    def __init__(self, lines: list[str]) -> None:
        self.lines = lines

    def accept(self, session: ClientSession, request_id: int, query: object, *, received_us: int) -> None:
        self.lines.append(f"asks {request_id}")
        session.open_requests[request_id] = query

    def cancel(self, session: ClientSession, request_id: int | None, name: str | None) -> None:
        self.lines.append(f"withdraws {request_id or name}")
        session.open_requests.pop(request_id, None)

    def on_disconnected(self, session: ClientSession) -> None:
        self.lines.append(f"is gone, {len(session.open_requests)} open")


def request(number: int, statement: bytes = b"select 1") -> bytes:
    params = {"req": f"{number:016x}", "timeout": 900, "data": b64encode(statement).decode()}
    return json.dumps({"jsonrpc": "2.0", "id": number, "method": "lookup", "params": params}).encode() + b"\n"


def cancellation(number: int) -> bytes:
    message = {"jsonrpc": "2.0", "method": "withdraw", "params": {"id": number}}
    return json.dumps(message).encode() + b"\n"


def status() -> bytes:
    return b'{"jsonrpc":"2.0","id":1,"method":"status"}\n'


class ClientSessionTest(TraceCase):
    def setUp(self) -> None:
        self.lines: list[str] = []
        self.now_us = 0
        self.registry = ConnectionRegistry(
            frozenset(("lookup",)),
            RecordingHandler(self.lines),
            lambda: 2,
            2,
            lambda: self.now_us,
            Counters(),
            lambda kind, text: None,
        )

    def session(self, reads: bool = True) -> ClientSession:
        session = ClientSession(self.registry, FakeTransport(self.lines, reads))
        self.registry.connections[session] = None
        return session

    def test_requests_split_anywhere_are_accepted(self) -> None:
        data = request(1) + b"\n" + request(2)
        for split in range(len(data) + 1):
            self.lines.clear()
            session = self.session()
            self.assertEqual(
                [NextAction.READ] * 2, [session.receive(data[:split]), session.receive(data[split:])]
            )
            session.succeed(1, b"a\tb\tc\n")
            session.on_disconnected()
            self.assertEqual(
                ["asks 1", "asks 2", "is gone, 1 open"],
                [line for line in self.lines if not line.startswith("hears")],
            )
            self.assertEqual((0, {}), (self.registry.buffered_bytes, self.registry.connections))

    def test_requests_after_close_are_rejected(self) -> None:
        """A client that reads slowly sends more requests while its last response is being written."""
        session = self.session(reads=False)
        session.receive(request(1))
        session.reject(1, 0)
        session.close()
        self.assertEqual(NextAction.READ, session.receive(request(2)))
        self.assertEqual({}, session.open_requests)
        self.check("talk_closing", self.lines)

    def test_too_many_malformed_messages_ban_the_client(self) -> None:
        """Open requests are answered, cancellations handled, all else is rejected; then the session ends."""
        session = self.session()
        session.receive(request(1) + request(2))
        for _ in range(9):
            self.assertEqual(NextAction.READ, session.receive(b"no JSON\n"))
        self.assertFalse(session.is_banned())
        del self.lines[:]
        self.assertEqual(NextAction.READ, session.receive(3 * b"no JSON\n" + request(3) + cancellation(2)))
        self.assertEqual(
            [-32700, -32000, "withdraws 2"],
            [line if line.startswith("w") else error_code_of(line) for line in self.lines],
        )
        self.assertEqual([1], list(session.open_requests))
        session.fail(1)
        self.assertEqual("ends once it is written", self.lines[-1])
        self.assertTrue(session.can_shut_down(has_received=False))
        self.assertEqual(
            ({}, [session]), (self.registry.connections, list(self.registry.closing_connections))
        )
        line_count = len(self.lines)
        self.assertEqual(NextAction.READ, session.receive(request(4)))
        self.assertEqual(line_count, len(self.lines))

    def test_messages_without_effect_are_bounded(self) -> None:
        for data in (b"no JSON\n", request(2), b"a"):  # the last: parts of a line
            session = self.session()
            session.receive(request(1) + 10 * b"no JSON\n")
            actions = [session.receive(data) for _ in range(2001)]
            self.assertEqual(({NextAction.READ}, NextAction.CLOSE), (set(actions[:-1]), actions[-1]))

    def test_requests_of_a_client_that_does_not_read_are_rejected(self) -> None:
        """Until it reads again; its cancellations are handled. It is disconnected if it goes on."""
        slow = self.session(reads=False)
        slow.receive(request(1) + request(2))
        slow._transport.write(b" " * (256 * 1024 + 1))
        slow.receive(request(3) + cancellation(2))
        self.assertEqual("withdraws 2", self.lines[-1])
        self.assertEqual(-32000, error_code_of(self.lines[-2]))
        slow._transport.unsent.clear()
        slow.receive(request(3))
        self.assertEqual("asks 3", self.lines[-1])
        slow._transport.write(b" " * (256 * 1024 + 1))
        actions = [slow.receive(line) for _ in range(667) for line in (request(9), request(10), status())]
        self.assertEqual(NextAction.CLOSE, actions[-1])
        self.assertEqual(2000, actions.index(NextAction.CLOSE))

    def test_overlong_line_is_rejected_once_and_bans_the_client(self) -> None:
        """Whether its end is received or not. Open requests are answered, later ones are rejected."""
        for pieces in ((b"a" * 256 * 1024, b"a"), (b"a" * (256 * 1024 + 1) + b"\n",)):
            session = self.session()
            session.receive(request(1))
            del self.lines[:]
            for piece in pieces:
                self.assertEqual(NextAction.READ, session.receive(piece))
            self.assertEqual([-32600], list(map(error_code_of, self.lines)))
            self.assertEqual(0, self.registry.buffered_bytes)
            session.receive(b"a" * 100_000)
            session.receive(b"a" if len(pieces) > 1 else b"")
            session.receive(b"\n" + request(2))
            self.assertEqual([1], list(session.open_requests))
            self.assertEqual(-32000, error_code_of(self.lines[-1]))
            session.fail(1)
            self.assertEqual("ends once it is written", self.lines[-1])
            session.on_disconnected()
            self.assertEqual(0, self.registry.buffered_bytes)

    def test_overlong_request_is_answered_under_its_id(self) -> None:
        """Guards against a request without any answer on a connection that is kept open for another one."""
        overlong = request(2, b"a" * 200_000)
        for pieces in ([overlong], [overlong[:-1], b"\n"], [overlong[:200_000], overlong[200_000:]]):
            session = self.session()
            session.receive(request(1))
            del self.lines[:]
            for piece in pieces:
                session.receive(piece)
            self.assertEqual([-32600] * len(self.lines), list(map(error_code_of, self.lines)))
            self.assertEqual(1, sum('"id":2' in line for line in self.lines))
            self.assertTrue(session.is_banned())
            session.fail(1)
            self.assertEqual("ends once it is written", self.lines[-1])
            session.on_disconnected()
            self.assertEqual(0, self.registry.buffered_bytes)

    def test_longest_partial_line_is_dropped_when_the_buffers_are_full(self) -> None:
        """Not the line of the client that sends next."""
        sessions = [self.session() for _ in range(9)]
        longest, other = sessions[3], self.session()
        for session in sessions:
            session.receive(b"a" * (250_000 if session is longest else 230_000))
        self.assertFalse(longest.is_banned())
        other.receive(request(1)[:50])
        self.assertFalse(longest.is_banned())
        sessions[-1].receive(b"a" * 10_000)
        self.assertEqual([longest], [session for session in (*sessions, other) if session.is_banned()])
        other.receive(request(1)[50:])
        self.assertEqual([1], list(other.open_requests))
        self.assertLess(self.registry.buffered_bytes, 2 * 1024 * 1024)

    def fill_buffers(self, line_bytes: int, greeting: bytes = b"") -> list[ClientSession]:
        """Returns sessions that together hold 2 MB of partial lines, each of which could become a request."""
        sessions = [self.session() for _ in range(2 * 1024 * 1024 // line_bytes)]
        for session in sessions:
            session.receive(greeting + request(1, b"a" * 300_000)[:line_bytes])
        return sessions

    def test_request_arriving_while_strangers_fill_the_buffers_is_accepted(self) -> None:
        """Guards against a request that is thrown away as it arrives, for what other clients have sent."""
        client = self.session()
        client.receive(request(1))
        strangers = self.fill_buffers(9_000)
        arriving = request(2, b"a" * 13_000)
        client.receive(arriving[:15_000])
        client.receive(arriving[15_000:])
        self.assertEqual([1, 2], list(client.open_requests))
        self.assertEqual([], [session for session in (client, *strangers) if session.is_banned()])
        self.assertLessEqual(self.registry.buffered_bytes, 2 * 1024 * 1024)

    def test_request_shortened_as_it_arrives_is_rejected_under_its_id(self) -> None:
        """Guards against a request without any answer, where all the others have sent requests as well."""
        statement_first = json.dumps(json.loads(request(2, b"a" * 50_000)), sort_keys=True)
        self.assertLess(statement_first.index("params"), len(statement_first) - 50)
        for arriving in (request(2, b"a" * 50_000), statement_first.encode() + b"\n"):
            client = self.session()
            client.receive(request(1))
            others = self.fill_buffers(9_000, greeting=request(9))
            for offset in range(0, len(arriving), 4_000):
                client.receive(arriving[offset : offset + 4_000])
            self.assertEqual(-32000, error_code_of(self.lines[-1]))
            self.assertIn('"id":2', self.lines[-1])
            client.receive(request(3))
            self.assertEqual(([1, 3], False), (list(client.open_requests), client.is_banned()))
            self.assertLessEqual(self.registry.buffered_bytes, 2 * 1024 * 1024)
            for session in (client, *others):
                session.on_disconnected()
            self.assertEqual(0, self.registry.buffered_bytes)

    def test_shortened_line_counts_as_long_as_it_was_received(self) -> None:
        """A line without an end is dropped as before; one without an id gets an error under no id."""
        self.fill_buffers(200_000)
        endless, without_id = self.session(), self.session()
        endless.receive(request(1, b"a" * 300_000)[:220_000])
        self.assertFalse(endless.is_banned())
        endless.receive(b"a" * 50_000)
        self.assertTrue(endless.is_banned())
        without_id.receive(b'["' + b"a" * 240_000)
        del self.lines[:]
        without_id.receive(b'"]\n')
        self.assertEqual([-32600], list(map(error_code_of, self.lines)))
        self.assertFalse(without_id.is_banned())

    def test_partial_line_of_a_connection_that_is_shut_down_leaves_room(self) -> None:
        """Guards against buffers that stay full of what can never be handled any more."""
        session = self.session()
        session.receive(request(1)[:50])
        session.close()
        self.assertTrue(session.can_shut_down(has_received=False))
        self.assertEqual(0, self.registry.buffered_bytes)
        session.on_disconnected()
        self.assertEqual(0, self.registry.buffered_bytes)

    def test_memory_of_lines_that_are_handled_or_dropped_is_free_for_others(self) -> None:
        """Guards against buffers that, emptied in place, keep a remainder amid the memory that they had."""
        for line_end in (b"\n", b""):
            sessions = [self.session() for _ in range(4)]
            held = []
            for session in sessions:
                session.receive(b'"a":1,' * 10_000)
                held.append(session._buffer.data)
                session.receive(b'"a":1,' * 40_000 + line_end)
            for session, data in zip(sessions, held):
                self.assertEqual(0, session.partial_line_bytes())
                self.assertIsNot(data, session._buffer.data)
                session.on_disconnected()

    def test_many_lines_are_handled_in_several_turns(self) -> None:
        session = self.session()
        session.receive(250 * status() + status()[:9])
        self.assertEqual((100, True), (len(self.lines), session.has_buffered_lines))
        session.close()  # takes effect only after all lines have been handled
        session.receive(b"")
        session.receive(status()[9:])
        self.assertEqual((252, "ends once it is written"), (len(self.lines), self.lines[-1]))
        self.assertEqual((False, 0), (session.has_buffered_lines, self.registry.buffered_bytes))

    def test_client_that_never_stops_sending_does_not_keep_its_connection_from_ending(self) -> None:
        """Guards against a reset at the end of the process, which would cost the client its answers."""
        for has_time in (True, False):
            session = self.session()
            session.receive(request(1) + 250 * status())
            session.close()
            session.fail(1)
            session.discard_unread()
            self.assertFalse(session.can_read_ahead())
            self.assertNotIn("ends once it is written", self.lines)  # lines that were read are handled
            while has_time and session.has_buffered_lines:
                session.receive(b"")
            if not has_time:
                session.discard_buffered_lines()
            self.assertEqual("ends once it is written", self.lines.pop())
            self.assertTrue(session.can_shut_down(has_received=True))
            self.assertEqual(250 if has_time else 99, sum("pass" in line for line in self.lines))
            self.assertEqual(0, self.registry.buffered_bytes)
            del self.lines[:]

    def test_request_followed_by_end_of_stream_is_not_accepted(self) -> None:
        session = self.session()
        session.receive(request(1) + status(), ended=True)
        self.assertEqual(({}, True), (session.open_requests, session.has_left(1)))

    def test_silent_client_is_closed(self) -> None:
        """After 2.2 s it is closed unless data turns out to have been received; 0.4 s later in any case."""
        session = self.session()
        for self.now_us, has_received in (
            (2_199_999, False),
            (2_200_000, True),
            (2_599_999, True),
            (2_600_000, True),
        ):
            self.registry.close_idle()
            if self.lines and self.lines[-1] == "ends once it is written":
                self.lines.append(f"may be shut: {session.can_shut_down(has_received)}")
            counts = len(self.registry.connections), len(self.registry.closing_connections)
            self.lines.append(f"{self.now_us} us: {counts[0]} there, {counts[1]} leaving")
        self.check("talk_silent", self.lines)

    def test_client_that_does_not_read_its_last_response_is_closed_after_ten_seconds(self) -> None:
        session = self.session(reads=False)
        session.receive(request(1))
        session.succeed(1, b"a\tb\tc\n")
        for self.now_us, connection_count in ((9_999_999, 1), (10_000_000, 0)):
            self.registry.close_idle()
            self.assertEqual(connection_count, len(self.registry.connections))
        self.assertEqual("is closed", self.lines[-1])

    def test_unsent_responses_are_written_before_the_shutdown(self) -> None:
        session = self.session(reads=False)
        session.receive(request(1))
        session.close()
        self.assertNotIn("ends once it is written", self.lines)  # a request is open
        session.reject(1, 0)
        self.assertFalse(session.can_shut_down(has_received=False))
        session._transport.unsent.clear()
        self.assertTrue(session.can_shut_down(has_received=True))
        self.assertEqual(2, self.lines.count("ends once it is written"))

    def test_only_idle_sessions_are_evicted(self) -> None:
        """Not one with an open request, unread data or unsent data."""
        requesting, unread, unsent, idle = (self.session(reads=position != 2) for position in range(4))
        requesting.receive(request(1))
        unread._transport.unread = True
        unsent._transport.write(b"answer")
        evicted = [session.try_evict() for session in (requesting, unread, unsent, idle)]
        self.assertEqual([False, False, False, True], evicted)


def error_code_of(line: str) -> int:
    return json.loads(line.removeprefix("hears "))["error"]["code"]
