"""Connections to an engine without sockets: what leaves and when, what a late answer or an end means."""

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
    """A transport of which the engine takes `room` more bytes, or all."""

    def __init__(self) -> None:
        self.sent, self.unsent = b"", bytearray()
        self.room: int | None = None
        self.is_broken = self.ended = False

    def write(self, message: bytes) -> bool:
        if not self.unsent and self.is_broken:
            return False
        self.unsent += message
        self.flow()
        return True

    def flow(self) -> None:
        """What there is room for leaves."""
        count = len(self.unsent) if self.room is None else min(self.room, len(self.unsent))
        self.sent += bytes(self.unsent[:count])
        del self.unsent[:count]
        self.room = None if self.room is None else self.room - count

    def has_ended(self) -> bool:
        return self.ended

    def received_commands(self) -> list[str]:
        """The commands that have come whole."""
        reader, found = hiredis.Reader(), []
        reader.feed(self.sent)
        while (command := reader.gets()) is not False:
            found.append(" ".join(part.decode() for part in command[:2]))
        return found


class FakeConnection(EngineConnection):
    fake_transport: FakeTransport
    is_aborted = False

    def abort(self) -> None:
        self.is_aborted = True

    def come_up(self) -> FakeTransport:
        self.fake_transport = FakeTransport()
        self.on_connected(self.fake_transport)
        return self.fake_transport

    def answer(self, name: str, word: str, fields: str = "-", body: str = "") -> None:
        self.on_received(hiredis.pack_command((name, word, fields, body)))


class FakePool(ConnectionPool):
    """Connections are made and end by the test's hand."""

    def __init__(self, clock: VirtualClock, share: int = 64, most: int = 64, **limits: int) -> None:
        self.timers, counters = Timers(clock), Counters()
        quota = DescriptorQuota(share, most)
        super().__init__(("e", 1), {"Limits": limits}, quota, self.timers, clock.now, counters)
        self.created: list[FakeConnection] = []
        self.faults: list[Exception] = []

    def connect(self) -> FakeConnection:
        self.created.append(FakeConnection(self))
        return self.created[-1]

    def on_fault(self, trouble: Exception) -> None:
        super().on_fault(trouble)
        self.faults.append(trouble)


class RecordingListener:
    """Records what it is told, and allows to send what `allowed` says; `raises` for names that are faulty."""

    def __init__(self) -> None:
        self.notified: list[str] = []
        self.allowed = True
        self.raises: set[str] = set()
        self.then = None  # called with each end

    def _note(self, request: InFlightRequest, what: str) -> None:
        name = request.name.decode()
        self.notified.append(f"{name} {what}")
        if name in self.raises:
            raise ZeroDivisionError(name)
        if self.then is not None:
            self.then(request)

    def may_send(self, request: InFlightRequest) -> bool:
        return self.allowed

    def on_sent(self, request: InFlightRequest) -> None:
        """What leaves is seen at the other end of the transport."""

    def on_answer(self, request: InFlightRequest, answer: codec.Answer) -> bool:
        request.connection.finish(request)
        self._note(request, answer.kind.decode())
        return True

    def on_unreachable(self, request: InFlightRequest) -> None:
        self._note(request, "unreached")

    def on_connection_lost(self, request: InFlightRequest, is_corrupt: bool) -> None:
        self._note(request, "corrupt" if is_corrupt else "cut")

    def on_unsent(self, request: InFlightRequest) -> None:
        self._note(request, "unsent")


class ConnectionCase(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = VirtualClock(1_000_000)
        self.listener = RecordingListener()

    def pool(self, share: int = 64) -> FakePool:
        return FakePool(self.clock, share)

    def start(self, pool: FakePool, name: str, size: int = 8) -> InFlightRequest:
        message = hiredis.pack_command(("ASK", name, "-", "x" * size))
        request = InFlightRequest(name.encode(), message, self.listener, None)
        pool.start(request)
        return request


class LateWrites(ConnectionCase):
    def test_a_link_that_comes_up_asks_before_it_writes(self) -> None:
        for allowed, notified, heard in ((True, [], ["ASK one"]), (False, ["one unsent"], [])):
            self.listener.notified, self.listener.allowed = [], allowed
            pool = self.pool()
            self.start(pool, "one")
            transport = pool.created[0].come_up()
            self.assertEqual((notified, heard), (self.listener.notified, transport.received_commands()))

    def test_what_moves_to_another_link_asks_as_well(self) -> None:
        """A link breaks under the write, before anything has left; by then nothing may leave any more."""
        for allowed, notified, links in ((True, [], 2), (False, ["two unsent"], 1)):
            self.listener.notified, self.listener.allowed = [], True
            pool = self.pool(share=1)
            self.start(pool, "one")
            link = pool.created[0]
            link.come_up()
            link.fake_transport.is_broken = True
            self.start(pool, "two")
            self.listener.allowed = allowed
            link.on_closed()
            self.assertEqual((["one cut", *notified], links), (self.listener.notified, len(pool.created)))

    def test_given_up_while_it_is_dialled(self) -> None:
        pool = self.pool()
        request = self.start(pool, "one")
        request.connection.abandon(request)
        transport = pool.created[0].come_up()
        self.assertEqual(([], []), (transport.received_commands(), self.listener.notified))
        self.assertIn(pool.created[0], pool.quota.idle)

    def test_given_up_twice_and_after_its_link_has_ended(self) -> None:
        pool = self.pool()
        request = self.start(pool, "one")
        link = pool.created[0]
        link.come_up()
        link.abandon(request)
        link.abandon(request)
        self.assertEqual(["ASK one", "QUIT one"], link.fake_transport.received_commands())
        other = self.start(pool, "two")
        pool.created[1].on_closed()
        other.connection.abandon(other)
        self.assertEqual(["two unreached"], self.listener.notified)

    def test_given_up_after_it_has_moved(self) -> None:
        pool = self.pool(share=1)
        self.start(pool, "one")
        first = pool.created[0]
        first.come_up()
        first.fake_transport.is_broken = True
        moved = self.start(pool, "two")
        first.on_closed()
        second = pool.created[1]
        self.assertIs(second, moved.connection)
        second.come_up()
        moved.connection.abandon(moved)
        self.assertEqual(["ASK two", "QUIT two"], second.fake_transport.received_commands())
        self.assertEqual([], first.fake_transport.received_commands()[1:])

    def test_an_engine_that_has_moved_gets_nothing_at_its_old_address(self) -> None:
        pool = self.pool()
        self.start(pool, "one")
        link = pool.created[0]
        pool.change_address(("e", 2))
        transport = link.come_up()  # in the same turn of the loop
        self.assertEqual((["one unsent"], []), (self.listener.notified, transport.received_commands()))
        self.assertTrue(link.is_aborted)

    def test_an_old_address_that_does_not_answer_says_nothing_of_the_engine(self) -> None:
        for ends in (FakeConnection.on_closed, None):
            self.listener.notified = []
            pool = self.pool()
            self.start(pool, "one")
            pool.change_address(("e", 2))
            self.start(pool, "two")
            if ends is not None:
                ends(pool.created[0])
            pool.timers.run_due()
            self.assertEqual(["one unsent"], self.listener.notified)
            self.assertEqual(["ASK two"], pool.created[1].come_up().received_commands())


class Recalls(ConnectionCase):
    def test_only_what_was_not_written_ends(self) -> None:
        pool = self.pool()
        self.start(pool, "out")
        pool.created[0].come_up()
        self.start(pool, "one")
        self.start(pool, "two")
        pool.retire()
        pool.cancel_unwritten()
        self.assertEqual(["one unsent", "two unsent"], self.listener.notified)
        self.assertEqual([False, True, True], [link.is_aborted for link in pool.created])
        pool.created[0].answer("out", "served")
        self.assertEqual("out served", self.listener.notified[-1])
        self.assertTrue(pool.created[0].is_aborted)

    def test_an_end_may_start_and_end_others(self) -> None:
        """The policy sends what is freed to this pool again, and abandons another of those that end."""
        for recalled in (True, False):
            self.listener.notified, self.listener.allowed = [], True
            pool = self.pool(share=1)
            requests = [self.start(pool, name) for name in ("one", "two", "three")]

            def then(request: InFlightRequest, pool=pool, requests=requests) -> None:
                if request is requests[0]:
                    requests[1].connection.abandon(requests[1])
                    self.start(pool, "new")

            self.listener.then = then
            self.listener.allowed = recalled
            if recalled:
                pool.cancel_unwritten()
            transport = pool.created[0].come_up()
            self.assertEqual(["one unsent", "three unsent"], self.listener.notified)
            self.assertEqual((["ASK new"], []), (transport.received_commands(), pool.faults))


class Unread(ConnectionCase):
    """An engine that does not read what it is sent."""

    def busy(self, pool: FakePool, room: int | None) -> FakeConnection:
        """A link whose engine takes `room` bytes after its first request, or all."""
        self.start(pool, "first")
        link = pool.created[-1]
        link.come_up()
        link.fake_transport.room = room
        return link

    def test_nothing_is_put_behind_what_waits(self) -> None:
        pool = self.pool(share=1)
        link = self.busy(pool, 10)
        self.start(pool, "partly")
        self.assertTrue(link.fake_transport.unsent)
        self.start(pool, "next")
        self.assertEqual(["first", "partly"], [name.decode() for name in link.in_flight.open])
        self.assertEqual(["ASK next"], pool.created[1].come_up().received_commands())
        link.fake_transport.room = None
        link.fake_transport.flow()
        link.answer("first", "served")
        self.start(pool, "after")
        self.assertIn(b"after", pool.created[1].fake_transport.sent + link.fake_transport.sent)
        self.assertEqual((2, False), (len(pool.created), link.in_flight.is_retired))

    def test_what_has_not_left_at_all_takes_another_link(self) -> None:
        pool = self.pool(share=1)
        link = self.busy(pool, 0)
        self.start(pool, "second")
        self.assertEqual((b"", True), (bytes(link.fake_transport.unsent), link.in_flight.is_retired))
        self.assertEqual(["ASK second"], pool.created[1].come_up().received_commands())

    def test_of_two_on_a_link_that_comes_up_the_second_goes_elsewhere(self) -> None:
        pool = self.pool(share=1)
        self.start(pool, "one")
        self.start(pool, "two")
        link = pool.created[0]
        self.assertEqual(2, len(link.in_flight.open))
        link.fake_transport = FakeTransport()
        link.fake_transport.room = 10
        link.on_connected(link.fake_transport)
        self.assertEqual(["one"], [name.decode() for name in link.in_flight.open])
        self.assertEqual(["ASK two"], pool.created[1].come_up().received_commands())
        link.fake_transport.room = None
        link.fake_transport.flow()
        self.assertEqual(["ASK one"], link.fake_transport.received_commands())

    def test_given_up_before_all_of_it_has_left(self) -> None:
        """Its rest never comes to the engine."""
        pool = self.pool(share=1)
        link = self.busy(pool, None)
        self.start(pool, "other")
        link.fake_transport.room = 10
        partly = self.start(pool, "partly")
        link.abandon(partly)
        self.assertTrue(link.is_aborted)
        link.abandon(link.in_flight.open[b"first"])
        link.fake_transport.room = None
        sent = link.fake_transport.sent
        link.fake_transport.flow()  # before the connection has ended
        self.assertEqual(
            (["ASK first", "ASK other"], sent),
            (link.fake_transport.received_commands(), link.fake_transport.sent),
        )
        link.on_closed()
        self.assertEqual(["other cut"], self.listener.notified)

    def test_answered_once_its_rest_has_left(self) -> None:
        """Of what was put after that, a part waits."""
        pool = self.pool(share=1)
        link = self.busy(pool, 10)
        partly = self.start(pool, "partly")
        link.fake_transport.room = len(partly.message) - 10 + 5
        link.fake_transport.flow()
        link.in_flight.received_count += 1  # the engine lives
        link.abandon(link.in_flight.open[b"first"])
        self.assertTrue(link.fake_transport.unsent)
        link.answer("partly", "served")
        self.assertEqual(["partly served"], self.listener.notified)

    def test_given_up_once_its_rest_has_left(self) -> None:
        """Other words wait by then."""
        pool = self.pool(share=1)
        link = self.busy(pool, 10)
        partly = self.start(pool, "partly")
        link.in_flight.received_count += 1  # the engine lives
        link.abandon(link.in_flight.open[b"first"])
        link.fake_transport.room = len(partly.message) - 10
        link.fake_transport.flow()
        self.assertTrue(link.fake_transport.unsent)
        link.in_flight.received_count += 1
        link.abandon(partly)
        self.assertFalse(link.is_aborted)
        link.fake_transport.room = None
        link.fake_transport.flow()
        self.assertEqual(
            ["ASK first", "ASK partly", "QUIT first", "QUIT partly"], link.fake_transport.received_commands()
        )

    def test_an_answer_before_all_of_it_has_left(self) -> None:
        """It is no refusal: the rest would leave, and run beside the next attempt."""
        pool = self.pool(share=1)
        link = self.busy(pool, 10)
        self.start(pool, "partly")
        with self.assertRaises(EngineProtocolError):
            link.answer("partly", "overload")
        link.is_corrupt = True
        link.on_closed()
        self.assertEqual(["first corrupt", "partly corrupt"], self.listener.notified)

    def test_an_answer_to_what_was_not_written(self) -> None:
        pool = self.pool(share=1)
        self.start(pool, "first")
        link = pool.created[0]
        link.come_up()
        link.fake_transport.is_broken = True
        self.start(pool, "second")
        link.answer("second", "served")
        self.assertEqual(([], 1), (self.listener.notified, pool.counters.counts["answers not awaited"]))

    def test_a_part_that_left_may_have_run(self) -> None:
        """The kernel takes a part; the connection breaks while the rest waits."""
        pool = self.pool(share=1)
        link = self.busy(pool, 1)
        self.start(pool, "partly")
        link.fake_transport.is_broken = True
        link.on_closed()
        self.assertEqual(["first cut", "partly cut"], self.listener.notified)
        self.assertEqual(1, len(pool.created))

    def test_what_waits_for_an_engine_that_never_reads_is_bounded(self) -> None:
        pool = self.pool()
        link = self.busy(pool, 0)
        most = 0
        for _ in range(100_000):
            link.send(b"*3\r\n$4\r\nNEXT\r\n$16\r\n0123456789abcdef\r\n$1\r\n1\r\n")
            most = max(most, len(link.fake_transport.unsent))
        self.assertTrue(link.is_aborted)
        self.assertLess(most, MAX_QUEUED_BEHIND_BYTES + 100)
        link.on_closed()
        self.assertEqual(["first cut"], self.listener.notified)

    def test_a_long_request_that_leaves_slowly_keeps_its_link(self) -> None:
        pool = self.pool(share=1)
        link = self.busy(pool, 10)
        self.start(pool, "long", 4 * MAX_QUEUED_BEHIND_BYTES)
        link.abandon(link.in_flight.open[b"first"])
        link.fake_transport.room = None
        link.fake_transport.flow()
        self.assertEqual(["ASK first", "ASK long", "QUIT first"], link.fake_transport.received_commands())


class Ends(ConnectionCase):
    def test_a_fault_with_one_leaves_the_others_their_end(self) -> None:
        for how in ("gone", "up", "recalled", "moved"):
            with self.subTest(how):
                self.listener = RecordingListener()
                self.listener.raises = {"one"}
                pool = self.pool(share=1)
                for name in ("one", "two", "three"):
                    self.start(pool, name)
                if how == "up":
                    self.listener.allowed = False
                    pool.created[0].come_up()
                elif how == "recalled":
                    pool.cancel_unwritten()
                elif how == "moved":
                    pool.change_address(("e", 2))
                    pool.timers.run_due()
                else:
                    pool.created[0].on_closed()
                end = "unreached" if how == "gone" else "unsent"
                self.assertEqual(
                    [f"{name} {end}" for name in ("one", "two", "three")], self.listener.notified
                )
                self.assertEqual((1, 1), (len(pool.faults), pool.counters.counts["faults"]))

    def test_no_descriptor_for_a_link_says_nothing_of_its_engine(self) -> None:
        """And one that idles makes room."""
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

    def test_late_words(self) -> None:
        """Twice, under a name that is used again on another link, or an unknown one: none of it counts."""
        pool = self.pool()
        first = self.start(pool, "one")
        link = pool.created[0]
        link.come_up()
        link.answer("one", "overload")
        link.answer("one", "overload")
        second = self.start(pool, "one")
        self.assertIsNot(first.connection, second.connection)
        pool.created[1].come_up()
        link.answer("one", "overload")
        link.answer("other", "served")
        pool.created[1].answer("one", "served")
        pool.created[1].answer("one", "served")
        self.assertEqual(["one overload", "one served"], self.listener.notified)
        self.assertEqual(4, pool.counters.counts["answers not awaited"])

    def test_an_answer_after_its_end_by_time(self) -> None:
        pool = self.pool()
        request = self.start(pool, "one")
        link = pool.created[0]
        link.come_up()
        request.connection.abandon(request)
        link.answer("one", "served")
        self.assertEqual([], self.listener.notified)
        again = self.start(pool, "one")
        self.assertIsNot(link, again.connection)

    def test_an_answer_in_single_bytes_and_half_of_one(self) -> None:
        pool = self.pool()
        self.start(pool, "one")
        self.start(pool, "two")
        for link in pool.created:
            link.come_up()
        answer = hiredis.pack_command(("one", "served", "-", "a\tb\tc\n"))
        for at in range(len(answer)):
            self.assertEqual([], self.listener.notified)
            pool.created[0].on_received(answer[at : at + 1])
        self.assertEqual(["one served"], self.listener.notified)
        pool.created[1].on_received(answer[:-1])
        self.clock.at += 250_000
        self.assertEqual(0.0, pool.created[1].seconds_left())
        for ends in (pool.created[1].on_stalled, pool.created[1].on_end_of_stream):
            with self.assertRaises(EngineProtocolError):
                ends()

    def test_an_idle_link_that_its_engine_has_closed_is_not_written_to(self) -> None:
        pool = self.pool()
        self.start(pool, "one")
        link = pool.created[0]
        link.come_up()
        link.answer("one", "served")
        link.fake_transport.ended = True
        self.start(pool, "two")
        self.assertEqual((True, ["ASK one"]), (link.is_aborted, link.fake_transport.received_commands()))
        self.assertEqual(["ASK two"], pool.created[1].come_up().received_commands())

    def test_names_given_up_are_bounded(self) -> None:
        pool = self.pool()
        for number in range(600):
            request = self.start(pool, f"{number}")
            link = request.connection
            if link.transport is None:
                link.come_up()
            link.in_flight.received_count += 1  # the engine lives
            link.abandon(request)
        self.assertEqual([True, False], [link.is_aborted for link in pool.created])
        self.assertEqual(500, len(pool.created[0].in_flight.abandoned))


if __name__ == "__main__":
    unittest.main()
