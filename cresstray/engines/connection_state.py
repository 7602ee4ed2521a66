"""The state of one connection to an engine: requests in flight, idle times, and what the end means for each.

Free of I/O: a subclass owns the socket, reports what was received and lost, and is called to write and close.
The listener of each request is told its outcome once.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NoReturn, Protocol

from cresstray.engines import codec
from cresstray.engines.in_flight import Disposition, InFlightRequest, InFlightRequests

if TYPE_CHECKING:
    from cresstray.engines.connection_pool import ConnectionPool

# Engines send an answer in one piece, so the rest of a partial answer arrives within a quarter of a second.
_PARTIAL_ANSWER_TIMEOUT_US = 250_000
_RESULT_KINDS = (codec.SERVED, codec.ROWS)
# Bound of the messages that wait behind a partly sent request while the engine does not read: enough for the
# page requests of two long results, or for a thousand cancellations.
MAX_QUEUED_BEHIND_BYTES = 64 * 1024


class Transport(Protocol):
    """What a connection writes to; `transport.streams.SocketStream` implements it."""

    unsent: bytearray  # written and not yet accepted by the kernel

    def write(self, message: bytes) -> bool:
        """Sends all of the message now or later; False if the transport is broken and nothing was sent."""

    def has_ended(self) -> bool:
        """Whether the engine has closed its side, or the connection has broken."""


class EngineConnection:
    """One connection to an engine. A subclass has the socket and defines `abort`.

    Attributes:
        is_corrupt: data was received that is no answer of the protocol.
        is_out_of_descriptors: no descriptor was available, which is no evidence against the engine.
        is_outdated: the engine has another address by now, or has restarted.
        idle_since_us: when the last request ended.
        transport: set once the connection is established.
        answer_deadline_us: when the rest of a partial answer must have been received.
    """

    def __init__(self, pool: ConnectionPool) -> None:
        self.pool = pool
        self.in_flight = InFlightRequests(pool.max_streams)
        self.is_corrupt = False
        self.is_out_of_descriptors = False
        self.is_outdated = False
        self.idle_since_us = 0
        self.transport: Transport | None = None
        self.answer_deadline_us = 0
        self._decoder = codec.AnswerDecoder()
        # The request written last, if part of it has to wait, and the size of the messages written after it.
        self._partly_sent: InFlightRequest | None = None
        self._queued_behind_bytes = 0

    def abort(self) -> None:
        """Ends the connection or the attempt to connect; `on_closed` follows."""
        raise NotImplementedError

    def has_room_for(self, name: bytes) -> bool:
        """Whether a request of this name may start on this connection.

        Queued behind data that the engine does not read, a request would be sent after it may no longer be.
        """
        if self.transport is not None and self.transport.unsent:
            return False
        return self.in_flight.has_room_for(name)

    def start(self, request: InFlightRequest) -> bool:
        """Starts a request; False, with nothing of it sent, if the connection is dead or not read."""
        transport = self.transport
        # A request written to a connection that the engine has closed is lost, but must count as maybe run.
        if transport is not None and not self.in_flight.open and transport.has_ended():
            self.close()
            return False
        request.connection = self
        self.pool.quota.idle.pop(self, None)
        self.in_flight.add(request)
        return transport is None or self._write(request, transport)

    def _write(self, request: InFlightRequest, transport: Transport) -> bool:
        """Writes a request.

        Returns False, and retires the connection, if nothing was sent because the engine does not read.
        """
        if not transport.unsent:
            is_sent = transport.write(request.message)
            if not transport.unsent or len(transport.unsent) < len(request.message):
                self.in_flight.on_written(request, is_sent)
                self._partly_sent = request if transport.unsent else None
                self._queued_behind_bytes = 0
                if is_sent:
                    request.listener.on_sent(request)
                return True
            transport.unsent.clear()
        self.in_flight.finish(request)
        self.retire()
        return False

    def _is_partly_sent(self, request: InFlightRequest) -> bool:
        """Whether part of the request's message still waits to be sent."""
        if request is not self._partly_sent or self.transport is None:
            return False
        return len(self.transport.unsent) > self._queued_behind_bytes

    def send(self, message: bytes) -> None:
        """Sends a further message of a request that was sent.

        Nothing is sent on a connection that is closing: after a truncated request the engine would read the
        message as the rest of that request. The end of the connection tells the engine enough.
        """
        if self.in_flight.is_closed:
            return
        transport = self.transport
        assert transport is not None, "a request was sent, so there is a connection"
        if not transport.unsent:
            self._partly_sent = None
            self._queued_behind_bytes = 0
        else:
            self._queued_behind_bytes += len(message)
            if self._queued_behind_bytes > MAX_QUEUED_BEHIND_BYTES:
                self.pool.counters.add("engine connections not reading")
                self.close()
                return
        transport.write(message)

    def finish(self, request: InFlightRequest) -> None:
        """Ends a request that is answered in full."""
        self.in_flight.finish(request)
        self._on_request_ended(request)

    def abandon(self, request: InFlightRequest) -> bool:
        """Drops all later answers to the request, and cancels it at the engine.

        Returns True: the engine receives the cancellation before any other request.
        """
        is_partly_sent = self._is_partly_sent(request)
        message = self.in_flight.abandon(request)
        if is_partly_sent and not self.in_flight.is_closed:
            # The rest would be sent once the engine reads again, and be run in vain.
            self.close()
        elif message is not None:
            self.send(message)
        self._on_request_ended(request)
        return True

    def _on_request_ended(self, request: InFlightRequest) -> None:
        if self._partly_sent is request:
            self._partly_sent = None
        self._update_idle()

    def cancel_unwritten(self) -> None:
        """Ends the requests that are not sent yet as unsent."""
        self.pool.for_each(self.in_flight.unwritten(), self._cancel)

    def _cancel(self, request: InFlightRequest) -> None:
        # The handling of another request's end may have ended this request.
        if self.in_flight.is_open(request):
            self._finish_unsent(request)

    def _finish_unsent(self, request: InFlightRequest) -> None:
        self.finish(request)
        request.listener.on_unsent(request)

    def _update_idle(self) -> None:
        if not self.in_flight.open:
            self.idle_since_us = self.pool.now_us()
            if self.in_flight.is_retired:
                self.close()
            elif not self.in_flight.is_closed:
                self.pool.quota.idle[self] = None

    def retire(self) -> None:
        """Takes no more requests; closes once the last request has ended."""
        self.in_flight.is_retired = True
        self._update_idle()

    def close(self) -> None:
        """Closes at once; data that waits to be sent is discarded."""
        self.in_flight.is_closed = True
        self.pool.quota.idle.pop(self, None)
        if self.transport is not None:
            self.transport.unsent.clear()
        self.abort()

    # Called by the subclass that owns the socket.

    def on_connected(self, transport: Transport) -> None:
        """Writes the requests that have waited for the connection to be established."""
        self.transport = transport
        self.pool.for_each(self.in_flight.unwritten(), self._write_late)

    def _write_late(self, request: InFlightRequest) -> None:
        transport = self.transport
        if transport is None or not self.in_flight.is_open(request):
            return
        if not self._may_send(request):
            self._finish_unsent(request)
        elif not self._write(request, transport):
            self.pool.start(request)

    def _may_send(self, request: InFlightRequest) -> bool:
        """Whether a request may still be sent later than it was handed over; if so, updates its message.

        Connecting takes time, and the process may be stopped meanwhile. By then the engine may be draining,
        the client may have disconnected, or the window for a retry may have passed.
        """
        if self.is_outdated or not request.listener.may_send(request):
            return False
        request.message = request.listener.encode_late(request)
        return True

    def seconds_left(self) -> float | None:
        """Returns the time left for the rest of a partial answer; None if no answer is partial."""
        if not self._decoder.has_partial_answer():
            return None
        return max(0.0, (self.answer_deadline_us - self.pool.now_us()) / 1e6)

    def has_partial_answer(self) -> bool:
        """Whether an answer has been received in part only."""
        return self._decoder.has_partial_answer()

    def on_received(self, data: bytes) -> None:
        """Hands the answers in received data to the listeners of their requests.

        Raises:
            EngineProtocolError: the data is no answer of the protocol.
        """
        self.in_flight.received_count += 1
        if not self._decoder.has_partial_answer():
            self.answer_deadline_us = self.pool.now_us() + _PARTIAL_ANSWER_TIMEOUT_US
        while answers := self._decoder.feed(data):
            data = b""
            self.answer_deadline_us = self.pool.now_us() + _PARTIAL_ANSWER_TIMEOUT_US
            for answer in answers:
                self._on_answer(answer)

    def _on_answer(self, answer: codec.Answer) -> None:
        request = self.in_flight.open.get(answer.name)
        if request is not None and self._is_partly_sent(request):
            # If this counted as a rejection the request would be retried, while the rest of the first attempt
            # is sent here and run as well.
            raise codec.EngineProtocolError("an answer to a request that is not sent in full")
        if request is not None and not request.is_written:
            request = None
        if request is not None and answer.kind not in _RESULT_KINDS:
            self.in_flight.on_rejected(request)
        if request is None or not request.listener.on_answer(request, answer):
            # A duplicate or late answer is no reason to fail the other requests on this connection.
            self.pool.counters.add("answers not awaited")

    def on_stalled(self) -> NoReturn:
        """Handles an answer whose rest is overdue.

        Raises:
            EngineProtocolError: always.
        """
        raise codec.EngineProtocolError("the rest of an answer was not received in time")

    def on_end_of_stream(self) -> None:
        """Handles that the engine has closed its side.

        Raises:
            EngineProtocolError: an answer was received in part only.
        """
        if self._decoder.has_partial_answer():
            raise codec.EngineProtocolError("the connection ended within an answer")

    def on_closed(self) -> None:
        """Handles the end of the connection, or of the attempt to connect, for all open requests."""
        self.in_flight.is_closed = True
        self.pool.quota.idle.pop(self, None)
        self.pool.on_removed(self)
        if self.is_out_of_descriptors:
            self.pool.quota.close_idle()
        was_connected = self.transport is not None
        self.pool.for_each(self.in_flight.on_connection_closed(was_connected), self._apply_disposition)

    def _apply_disposition(self, ended: tuple[InFlightRequest, Disposition]) -> None:
        request, disposition = ended
        if disposition is Disposition.CONNECTION_LOST:
            request.listener.on_connection_lost(request, self.is_corrupt)
        elif self.is_outdated or self.is_out_of_descriptors:
            request.listener.on_unsent(request)
        elif disposition is Disposition.UNREACHABLE:
            request.listener.on_unreachable(request)
        elif self._may_send(request):
            self.pool.start(request)
        else:
            request.listener.on_unsent(request)
