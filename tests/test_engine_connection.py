"""States of a connection to an engine, without sockets."""

import unittest

from cresstray.engines import codec
from cresstray.engines.codec import EngineProtocolError
from cresstray.engines.connection_pool import ConnectionPool, DescriptorQuota
from cresstray.engines.connection_state import EngineConnection
from cresstray.engines.in_flight import InFlightRequest
from cresstray.observability.counters import Counters


class RecordingRequest(InFlightRequest):
    """A request in flight that is its own listener."""

    def __init__(self, name: bytes) -> None:
        super().__init__(name, b"ASK " + name, self, None)

    def may_send(self, in_flight: InFlightRequest) -> bool:
        return True

    def encode_late(self, in_flight: InFlightRequest) -> bytes:
        return in_flight.message

    def on_sent(self, in_flight: InFlightRequest) -> None:
        """Does nothing: the pool records what is written."""

    def on_answer(self, in_flight: InFlightRequest, answer: codec.Answer) -> bool:
        in_flight.connection.finish(in_flight)
        return True


class FakeConnection(EngineConnection):
    def abort(self) -> None:
        self.pool.lines.append("hangs up")


class FakePool(ConnectionPool):
    """A pool whose connections the test completes; what is written is recorded in `lines`."""

    def __init__(self, lines: list[str]) -> None:
        timers = type("Timers", (), {"call_after": lambda *_: None})()
        super().__init__(("e", 1), {}, DescriptorQuota(1, 2), timers, lambda: 0, Counters())
        self.lines, self.has_peer_ended, self.unsent = lines, False, bytearray()

    def connect(self) -> FakeConnection:
        return FakeConnection(self)

    def write(self, message: bytes) -> bool:
        self.lines.append(message.decode())
        return True

    def has_ended(self) -> bool:
        return self.has_peer_ended


class EngineConnectionTest(unittest.TestCase):
    def test_retry_of_a_rejected_request_takes_another_connection(self) -> None:
        """On the same one a duplicate of the rejection would be taken for the answer to the retry."""
        pool = FakePool([])
        for outcome, is_same in ((b"overload", False), (b"crashed", False), (b"served", True)):
            first, second = RecordingRequest(b"one"), RecordingRequest(b"one")
            pool.start(first)
            if first.connection.transport is None:
                first.connection.on_connected(pool)
            first.connection.on_received(
                b"*4\r\n$3\r\none\r\n$%d\r\n%b\r\n$1\r\n-\r\n$0\r\n\r\n" % (len(outcome), outcome)
            )
            pool.start(second)
            self.assertEqual(is_same, second.connection is first.connection, outcome)
            second.connection.finish(second)
            first.connection.close()
            first.connection.on_closed()

    def test_number_of_remembered_rejections_is_bounded(self) -> None:
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

    def test_end_of_stream_within_an_answer_is_a_protocol_error(self) -> None:
        pool = FakePool([])
        in_flight = RecordingRequest(b"one")
        pool.start(in_flight)
        connection = in_flight.connection
        connection.on_connected(pool)
        connection.on_end_of_stream()  # no answer has begun
        self.assertIsNone(connection.seconds_left())
        connection.on_received(b"*4\r\n$3\r\n")
        self.assertEqual(0.25, connection.seconds_left())
        for report_end in (connection.on_end_of_stream, connection.on_stalled):
            with self.assertRaises(EngineProtocolError):
                report_end()
        pool.has_peer_ended = True
        connection.in_flight.finish(in_flight)
        self.assertFalse(connection.start(RecordingRequest(b"two")))
        self.assertEqual(["ASK one", "hangs up"], pool.lines)
