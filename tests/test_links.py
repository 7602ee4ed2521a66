"""Tests of engine connections without sockets: sending, late answers, and the end of connections."""

import unittest

import hiredis

from cresstray.clock import Timers
from cresstray.engines import codec
from cresstray.engines.codec import EngineProtocolError
from cresstray.engines.connection_pool import ConnectionPool, DescriptorQuota
from cresstray.engines.connection_state import MAX_QUEUED_BEHIND_BYTES, EngineConnection
from cresstray.engines.in_flight import InFlightRequest
from cresstray.model_checking.world import VirtualClock
from cresstray.observability.counters import Counters


class FakeTransport:
    """A transport that sends `room` more bytes; all bytes if `room` is None."""

    def __init__(self) -> None:
        self.sent, self.unsent = b"", bytearray()
        self.room: int | None = None
        self.is_broken = self.is_closed_by_engine = False

    def write(self, message: bytes) -> bool:
        if not self.unsent and self.is_broken:
            return False
        self.unsent += message
        self.send_unsent()
        return True

    def send_unsent(self) -> None:
        """Sends as many of the waiting bytes as there is room for."""
        count = len(self.unsent) if self.room is None else min(self.room, len(self.unsent))
        self.sent += bytes(self.unsent[:count])
        del self.unsent[:count]
        self.room = None if self.room is None else self.room - count

    def has_ended(self) -> bool:
        return self.is_closed_by_engine

    def received_commands(self) -> list[str]:
        """Returns the commands that the engine has received in full."""
        reader, commands = hiredis.Reader(), []
        reader.feed(self.sent)
        while (command := reader.gets()) is not False:
            commands.append(" ".join(part.decode() for part in command[:2]))
        return commands


class FakeConnection(EngineConnection):
    """A connection whose transport is a FakeTransport; the test connects it and answers on it."""

    fake_transport: FakeTransport
    is_aborted = False

    def abort(self) -> None:
        self.is_aborted = True

    def come_up(self) -> FakeTransport:
        """Establishes the connection."""
        self.fake_transport = FakeTransport()
        self.on_connected(self.fake_transport)
        return self.fake_transport

    def answer(self, name: str, kind: str, fields: str = "-", body: str = "") -> None:
        """Receives an answer."""
        self.on_received(hiredis.pack_command((name, kind, fields, body)))


class FakePool(ConnectionPool):
    """A pool of FakeConnections, which the test connects and ends."""

    def __init__(self, clock: VirtualClock, per_engine: int = 64, total: int = 64, **limits: int) -> None:
        self.timers, counters = Timers(clock), Counters()
        quota = DescriptorQuota(per_engine, total)
        super().__init__(("e", 1), {"Limits": limits}, quota, self.timers, clock.now, counters)
        self.created: list[FakeConnection] = []
        self.faults: list[Exception] = []

    def connect(self) -> FakeConnection:
        self.created.append(FakeConnection(self))
        return self.created[-1]

    def on_fault(self, error: Exception) -> None:
        super().on_fault(error)
        self.faults.append(error)


class RecordingListener:
    """Records events. `may_send` returns `allowed`; events of requests named in `raises` raise."""

    def __init__(self) -> None:
        self.notified: list[str] = []
        self.allowed = True
        self.raises: set[str] = set()
        self.on_ended = None  # called with each request that has ended

    def _record(self, request: InFlightRequest, event: str) -> None:
        name = request.name.decode()
        self.notified.append(f"{name} {event}")
        if name in self.raises:
            raise ZeroDivisionError(name)
        if self.on_ended is not None:
            self.on_ended(request)

    def may_send(self, request: InFlightRequest) -> bool:
        return self.allowed

    def encode_late(self, request: InFlightRequest) -> bytes:
        return request.message

    def on_sent(self, request: InFlightRequest) -> None:
        """Does nothing: tests look at the commands that the engine has received."""

    def on_answer(self, request: InFlightRequest, answer: codec.Answer) -> bool:
        request.connection.finish(request)
        self._record(request, answer.kind.decode())
        return True

    def on_unreachable(self, request: InFlightRequest) -> None:
        self._record(request, "unreached")

    def on_connection_lost(self, request: InFlightRequest, is_corrupt: bool) -> None:
        self._record(request, "corrupt" if is_corrupt else "cut")

    def on_unsent(self, request: InFlightRequest) -> None:
        self._record(request, "unsent")


class ConnectionTestCase(unittest.TestCase):
    """Makes pools and starts requests, with one clock and one listener."""

    def setUp(self) -> None:
        self.clock = VirtualClock(1_000_000)
        self.listener = RecordingListener()

    def pool(self, per_engine: int = 64) -> FakePool:
        return FakePool(self.clock, per_engine)

    def start(self, pool: FakePool, name: str, size: int = 8) -> InFlightRequest:
        message = hiredis.pack_command(("ASK", name, "-", "x" * size))
        request = InFlightRequest(name.encode(), message, self.listener, None)
        pool.start(request)
        return request


class LateWriteTest(ConnectionTestCase):
    """Requests that are sent later than they were handed over, or not any more."""

    def test_new_connection_checks_may_send_before_it_writes(self) -> None:
        for allowed, notified, received in ((True, [], ["ASK one"]), (False, ["one unsent"], [])):
            self.listener.notified, self.listener.allowed = [], allowed
            pool = self.pool()
            self.start(pool, "one")
            transport = pool.created[0].come_up()
            self.assertEqual((notified, received), (self.listener.notified, transport.received_commands()))

    def test_request_checks_may_send_before_it_moves_to_another_connection(self) -> None:
        """The connection breaks at the write, before anything was sent; by then `may_send` may be false."""
        for allowed, notified, connections in ((True, [], 2), (False, ["two unsent"], 1)):
            self.listener.notified, self.listener.allowed = [], True
            pool = self.pool(per_engine=1)
            self.start(pool, "one")
            connection = pool.created[0]
            connection.come_up()
            connection.fake_transport.is_broken = True
            self.start(pool, "two")
            self.listener.allowed = allowed
            connection.on_closed()
            self.assertEqual(
                (["one cut", *notified], connections), (self.listener.notified, len(pool.created))
            )

    def test_request_abandoned_during_connect_is_not_sent(self) -> None:
        pool = self.pool()
        request = self.start(pool, "one")
        request.connection.abandon(request)
        transport = pool.created[0].come_up()
        self.assertEqual(([], []), (transport.received_commands(), self.listener.notified))
        self.assertIn(pool.created[0], pool.quota.idle)

    def test_abandon_is_harmless_when_repeated_or_after_the_connection_ended(self) -> None:
        pool = self.pool()
        request = self.start(pool, "one")
        connection = pool.created[0]
        connection.come_up()
        connection.abandon(request)
        connection.abandon(request)
        self.assertEqual(["ASK one", "QUIT one"], connection.fake_transport.received_commands())
        other = self.start(pool, "two")
        pool.created[1].on_closed()
        other.connection.abandon(other)
        self.assertEqual(["two unreached"], self.listener.notified)

    def test_request_abandoned_after_a_move_is_cancelled_on_its_new_connection(self) -> None:
        pool = self.pool(per_engine=1)
        self.start(pool, "one")
        first = pool.created[0]
        first.come_up()
        first.fake_transport.is_broken = True
        moved_request = self.start(pool, "two")
        first.on_closed()
        second = pool.created[1]
        self.assertIs(second, moved_request.connection)
        second.come_up()
        moved_request.connection.abandon(moved_request)
        self.assertEqual(["ASK two", "QUIT two"], second.fake_transport.received_commands())
        self.assertEqual([], first.fake_transport.received_commands()[1:])

    def test_nothing_is_sent_to_the_old_address_of_an_engine(self) -> None:
        pool = self.pool()
        self.start(pool, "one")
        connection = pool.created[0]
        pool.change_address(("e", 2))
        transport = connection.come_up()  # in the same turn of the event loop
        self.assertEqual((["one unsent"], []), (self.listener.notified, transport.received_commands()))
        self.assertTrue(connection.is_aborted)

    def test_failure_at_the_old_address_is_no_evidence_against_the_engine(self) -> None:
        for close_old in (FakeConnection.on_closed, None):
            self.listener.notified = []
            pool = self.pool()
            self.start(pool, "one")
            pool.change_address(("e", 2))
            self.start(pool, "two")
            if close_old is not None:
                close_old(pool.created[0])
            pool.timers.run_due()
            self.assertEqual(["one unsent"], self.listener.notified)
            self.assertEqual(["ASK two"], pool.created[1].come_up().received_commands())


class CancelUnwrittenTest(ConnectionTestCase):
    def test_cancel_unwritten_ends_only_unwritten_requests(self) -> None:
        pool = self.pool()
        self.start(pool, "out")
        pool.created[0].come_up()
        self.start(pool, "one")
        self.start(pool, "two")
        pool.retire()
        pool.cancel_unwritten()
        self.assertEqual(["one unsent", "two unsent"], self.listener.notified)
        self.assertEqual([False, True, True], [connection.is_aborted for connection in pool.created])
        pool.created[0].answer("out", "served")
        self.assertEqual("out served", self.listener.notified[-1])
        self.assertTrue(pool.created[0].is_aborted)

    def test_listener_may_start_and_abandon_requests_when_one_ends(self) -> None:
        """The policy starts a request on this pool again, and abandons another one that is about to end."""
        for is_cancelled in (True, False):
            self.listener.notified, self.listener.allowed = [], True
            pool = self.pool(per_engine=1)
            requests = [self.start(pool, name) for name in ("one", "two", "three")]

            def on_ended(request: InFlightRequest, pool=pool, requests=requests) -> None:
                if request is requests[0]:
                    requests[1].connection.abandon(requests[1])
                    self.start(pool, "new")

            self.listener.on_ended = on_ended
            self.listener.allowed = is_cancelled
            if is_cancelled:
                pool.cancel_unwritten()
            transport = pool.created[0].come_up()
            self.assertEqual(["one unsent", "three unsent"], self.listener.notified)
            self.assertEqual((["ASK new"], []), (transport.received_commands(), pool.faults))


class EngineNotReadingTest(ConnectionTestCase):
    """An engine that does not read, so that data waits to be sent."""

    def connection_with_room(self, pool: FakePool, room: int | None) -> FakeConnection:
        """Returns a connection that sends `room` more bytes after its first request; all if None."""
        self.start(pool, "first")
        connection = pool.created[-1]
        connection.come_up()
        connection.fake_transport.room = room
        return connection

    def test_no_request_is_queued_behind_a_partly_sent_request(self) -> None:
        pool = self.pool(per_engine=1)
        connection = self.connection_with_room(pool, 10)
        self.start(pool, "partly")
        self.assertTrue(connection.fake_transport.unsent)
        self.start(pool, "next")
        self.assertEqual(["first", "partly"], [name.decode() for name in connection.in_flight.open])
        self.assertEqual(["ASK next"], pool.created[1].come_up().received_commands())
        connection.fake_transport.room = None
        connection.fake_transport.send_unsent()
        connection.answer("first", "served")
        self.start(pool, "after")
        self.assertIn(b"after", pool.created[1].fake_transport.sent + connection.fake_transport.sent)
        self.assertEqual((2, False), (len(pool.created), connection.in_flight.is_retired))

    def test_request_of_which_nothing_was_sent_takes_another_connection(self) -> None:
        pool = self.pool(per_engine=1)
        connection = self.connection_with_room(pool, 0)
        self.start(pool, "second")
        self.assertEqual(
            (b"", True), (bytes(connection.fake_transport.unsent), connection.in_flight.is_retired)
        )
        self.assertEqual(["ASK second"], pool.created[1].come_up().received_commands())

    def test_second_request_moves_if_a_new_connection_sends_part_of_the_first_only(self) -> None:
        pool = self.pool(per_engine=1)
        self.start(pool, "one")
        self.start(pool, "two")
        connection = pool.created[0]
        self.assertEqual(2, len(connection.in_flight.open))
        connection.fake_transport = FakeTransport()
        connection.fake_transport.room = 10
        connection.on_connected(connection.fake_transport)
        self.assertEqual(["one"], [name.decode() for name in connection.in_flight.open])
        self.assertEqual(["ASK two"], pool.created[1].come_up().received_commands())
        connection.fake_transport.room = None
        connection.fake_transport.send_unsent()
        self.assertEqual(["ASK one"], connection.fake_transport.received_commands())

    def test_abandoning_a_partly_sent_request_closes_the_connection(self) -> None:
        """The rest of the request must never be sent to the engine."""
        pool = self.pool(per_engine=1)
        connection = self.connection_with_room(pool, None)
        self.start(pool, "other")
        connection.fake_transport.room = 10
        partly = self.start(pool, "partly")
        connection.abandon(partly)
        self.assertTrue(connection.is_aborted)
        connection.abandon(connection.in_flight.open[b"first"])
        connection.fake_transport.room = None
        sent_before = connection.fake_transport.sent
        connection.fake_transport.send_unsent()  # before the connection has ended
        self.assertEqual(
            (["ASK first", "ASK other"], sent_before),
            (connection.fake_transport.received_commands(), connection.fake_transport.sent),
        )
        connection.on_closed()
        self.assertEqual(["other cut"], self.listener.notified)

    def test_answer_to_a_fully_sent_request_counts_while_later_messages_wait(self) -> None:
        """Part of a cancellation that was queued behind the request still waits."""
        pool = self.pool(per_engine=1)
        connection = self.connection_with_room(pool, 10)
        partly = self.start(pool, "partly")
        connection.fake_transport.room = len(partly.message) - 10 + 5
        connection.fake_transport.send_unsent()
        connection.in_flight.received_count += 1  # the engine is alive
        connection.abandon(connection.in_flight.open[b"first"])
        self.assertTrue(connection.fake_transport.unsent)
        connection.answer("partly", "served")
        self.assertEqual(["partly served"], self.listener.notified)

    def test_abandoning_a_fully_sent_request_cancels_it_while_later_messages_wait(self) -> None:
        """Another cancellation waits by then."""
        pool = self.pool(per_engine=1)
        connection = self.connection_with_room(pool, 10)
        partly = self.start(pool, "partly")
        connection.in_flight.received_count += 1  # the engine is alive
        connection.abandon(connection.in_flight.open[b"first"])
        connection.fake_transport.room = len(partly.message) - 10
        connection.fake_transport.send_unsent()
        self.assertTrue(connection.fake_transport.unsent)
        connection.in_flight.received_count += 1
        connection.abandon(partly)
        self.assertFalse(connection.is_aborted)
        connection.fake_transport.room = None
        connection.fake_transport.send_unsent()
        self.assertEqual(
            ["ASK first", "ASK partly", "QUIT first", "QUIT partly"],
            connection.fake_transport.received_commands(),
        )

    def test_answer_to_a_partly_sent_request_is_a_protocol_error(self) -> None:
        """As a rejection it would be retried, while the rest is sent and runs beside the next attempt."""
        pool = self.pool(per_engine=1)
        connection = self.connection_with_room(pool, 10)
        self.start(pool, "partly")
        with self.assertRaises(EngineProtocolError):
            connection.answer("partly", "overload")
        connection.is_corrupt = True
        connection.on_closed()
        self.assertEqual(["first corrupt", "partly corrupt"], self.listener.notified)

    def test_answer_to_an_unwritten_request_is_dropped(self) -> None:
        pool = self.pool(per_engine=1)
        self.start(pool, "first")
        connection = pool.created[0]
        connection.come_up()
        connection.fake_transport.is_broken = True
        self.start(pool, "second")
        connection.answer("second", "served")
        self.assertEqual(([], 1), (self.listener.notified, pool.counters.counts["answers not awaited"]))

    def test_partly_sent_request_counts_as_maybe_run(self) -> None:
        """The kernel accepts a part; the connection breaks while the rest waits."""
        pool = self.pool(per_engine=1)
        connection = self.connection_with_room(pool, 1)
        self.start(pool, "partly")
        connection.fake_transport.is_broken = True
        connection.on_closed()
        self.assertEqual(["first cut", "partly cut"], self.listener.notified)
        self.assertEqual(1, len(pool.created))

    def test_data_that_waits_for_an_engine_is_bounded(self) -> None:
        pool = self.pool()
        connection = self.connection_with_room(pool, 0)
        max_unsent = 0
        for _ in range(100_000):
            connection.send(b"*3\r\n$4\r\nNEXT\r\n$16\r\n0123456789abcdef\r\n$1\r\n1\r\n")
            max_unsent = max(max_unsent, len(connection.fake_transport.unsent))
        self.assertTrue(connection.is_aborted)
        self.assertLess(max_unsent, MAX_QUEUED_BEHIND_BYTES + 100)
        connection.on_closed()
        self.assertEqual(["first cut"], self.listener.notified)

    def test_long_request_that_is_sent_slowly_keeps_its_connection(self) -> None:
        pool = self.pool(per_engine=1)
        connection = self.connection_with_room(pool, 10)
        self.start(pool, "long", 4 * MAX_QUEUED_BEHIND_BYTES)
        connection.abandon(connection.in_flight.open[b"first"])
        connection.fake_transport.room = None
        connection.fake_transport.send_unsent()
        self.assertEqual(
            ["ASK first", "ASK long", "QUIT first"], connection.fake_transport.received_commands()
        )


class ConnectionEndTest(ConnectionTestCase):
    """The end of connections, late and partial answers."""

    def test_exception_for_one_request_does_not_keep_the_others_from_their_end(self) -> None:
        for event in ("gone", "up", "recalled", "moved"):
            with self.subTest(event):
                self.listener = RecordingListener()
                self.listener.raises = {"one"}
                pool = self.pool(per_engine=1)
                for name in ("one", "two", "three"):
                    self.start(pool, name)
                if event == "up":
                    self.listener.allowed = False
                    pool.created[0].come_up()
                elif event == "recalled":
                    pool.cancel_unwritten()
                elif event == "moved":
                    pool.change_address(("e", 2))
                    pool.timers.run_due()
                else:
                    pool.created[0].on_closed()
                end = "unreached" if event == "gone" else "unsent"
                self.assertEqual(
                    [f"{name} {end}" for name in ("one", "two", "three")], self.listener.notified
                )
                self.assertEqual((1, 1), (len(pool.faults), pool.counters.counts["faults"]))

    def test_missing_descriptor_is_no_evidence_against_the_engine(self) -> None:
        """An idle connection is closed to free one."""
        pool = self.pool()
        self.start(pool, "idle")
        pool.created[0].come_up()
        pool.created[0].answer("idle", "served")
        pool.created[0].transport.unsent += b"QUIT"
        self.start(pool, "one")
        pool.created[1].is_out_of_descriptors = True
        pool.created[1].on_closed()
        self.assertEqual(["idle served", "one unsent"], self.listener.notified)
        self.assertTrue(pool.created[0].is_aborted)

    def test_late_and_duplicate_answers_are_dropped(self) -> None:
        """A duplicate, an answer to a name that is used on another connection, and one to an unknown name."""
        pool = self.pool()
        first = self.start(pool, "one")
        connection = pool.created[0]
        connection.come_up()
        connection.answer("one", "overload")
        connection.answer("one", "overload")
        second = self.start(pool, "one")
        self.assertIsNot(first.connection, second.connection)
        pool.created[1].come_up()
        connection.answer("one", "overload")
        connection.answer("other", "served")
        pool.created[1].answer("one", "served")
        pool.created[1].answer("one", "served")
        self.assertEqual(["one overload", "one served"], self.listener.notified)
        self.assertEqual(4, pool.counters.counts["answers not awaited"])

    def test_answer_to_an_abandoned_request_is_dropped(self) -> None:
        pool = self.pool()
        request = self.start(pool, "one")
        connection = pool.created[0]
        connection.come_up()
        request.connection.abandon(request)
        connection.answer("one", "served")
        self.assertEqual([], self.listener.notified)
        again = self.start(pool, "one")
        self.assertIsNot(connection, again.connection)

    def test_answer_in_single_bytes_is_decoded_and_half_an_answer_times_out(self) -> None:
        pool = self.pool()
        self.start(pool, "one")
        self.start(pool, "two")
        for connection in pool.created:
            connection.come_up()
        answer = hiredis.pack_command(("one", "served", "-", "a\tb\tc\n"))
        for position in range(len(answer)):
            self.assertEqual([], self.listener.notified)
            pool.created[0].on_received(answer[position : position + 1])
        self.assertEqual(["one served"], self.listener.notified)
        pool.created[1].on_received(answer[:-1])
        self.clock.at += 250_000
        self.assertEqual(0.0, pool.created[1].seconds_left())
        for end in (pool.created[1].on_stalled, pool.created[1].on_end_of_stream):
            with self.assertRaises(EngineProtocolError):
                end()

    def test_idle_connection_closed_by_the_engine_is_not_used(self) -> None:
        pool = self.pool()
        self.start(pool, "one")
        connection = pool.created[0]
        connection.come_up()
        connection.answer("one", "served")
        connection.fake_transport.is_closed_by_engine = True
        self.start(pool, "two")
        self.assertEqual(
            (True, ["ASK one"]), (connection.is_aborted, connection.fake_transport.received_commands())
        )
        self.assertEqual(["ASK two"], pool.created[1].come_up().received_commands())

    def test_names_of_abandoned_requests_are_bounded(self) -> None:
        pool = self.pool()
        for number in range(600):
            request = self.start(pool, f"{number}")
            connection = request.connection
            if connection.transport is None:
                connection.come_up()
            connection.in_flight.received_count += 1  # the engine is alive
            connection.abandon(request)
        self.assertEqual([True, False], [connection.is_aborted for connection in pool.created])
        self.assertEqual(500, len(pool.created[0].in_flight.abandoned))


if __name__ == "__main__":
    unittest.main()
