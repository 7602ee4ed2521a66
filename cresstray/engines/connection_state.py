"""One connection to an engine without its socket: what it takes, when it is idle, what its end means.

Free of I/O: whoever has the socket says what was received and lost, and is called for the rest. What becomes
of a request is told to its listener once.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NoReturn, Protocol

from cresstray.engines import codec
from cresstray.engines.in_flight import Disposition, InFlightRequest, InFlightRequests

if TYPE_CHECKING:
    from cresstray.engines.connection_pool import ConnectionPool

# An answer comes in one piece; the rest of one that has begun is not a quarter of a second late.
_PARTIAL_ANSWER_TIMEOUT_US = 250_000
_RESULT_KINDS = (codec.SERVED, codec.ROWS)
# Bound of what is kept for an engine that does not read: requests for all pages of two long results, or a
# thousand cancellations.
MAX_QUEUED_BEHIND_BYTES = 64 * 1024


class Transport(Protocol):
    """What a connection writes to; `transport.streams.SocketStream` is one."""

    unsent: bytearray  # written, and not yet taken by the kernel

    def write(self, message: bytes) -> bool:
        """Takes all of the message and sends it now or later; False if it is broken and nothing has left."""

    def has_ended(self) -> bool:
        """Whether the engine has closed its side, or the connection has broken."""


class EngineConnection:
    """One connection to an engine. A subclass has the socket, and defines `abort`."""

    def __init__(self, pool: ConnectionPool) -> None:
        self.pool = pool
        self.in_flight = InFlightRequests(pool.max_streams)
        self.is_corrupt = False  # what came on it cannot be an answer
        self.is_out_of_descriptors = False  # there was none for it, which says nothing about its engine
        self.is_outdated = False  # its engine has another address by now, or has restarted
        self.idle_since_us = 0
        self.transport: Transport | None = None  # once it is connected
        self.answer_deadline_us = 0  # for the rest of an answer that has begun
        self._decoder = codec.AnswerDecoder()
        self._partly_sent: InFlightRequest | None = None  # the last one written, if part of it had to wait
        self._queued_behind_bytes = 0  # written behind what waits of it

    def abort(self) -> None:
        """Ends the connection, or does not make it; `on_closed` follows."""
        raise NotImplementedError

    def has_room_for(self, name: bytes) -> bool:
        """Whether a request of this name may start here.

        Behind what the engine does not read, a request would leave when it may not be sent any more.
        """
        if self.transport is not None and self.transport.unsent:
            return False
        return self.in_flight.has_room_for(name)

    def start(self, request: InFlightRequest) -> bool:
        """Starts a request; False, and nothing of it has left, if the connection is dead or not read."""
        transport = self.transport
        # What is written to a connection that the engine has closed is lost, and may have run.
        if transport is not None and not self.in_flight.open and transport.has_ended():
            self.close()
            return False
        request.connection = self
        self.pool.quota.idle.pop(self, None)
        self.in_flight.add(request)
        return transport is None or self._write(request, transport)

    def _write(self, request: InFlightRequest, transport: Transport) -> bool:
        """Writes it; False, and no more is taken here, if nothing has left as the engine does not read."""
        if not transport.unsent:
            has_left = transport.write(request.message)
            if not transport.unsent or len(transport.unsent) < len(request.message):
                self.in_flight.on_written(request, has_left)
                self._partly_sent = request if transport.unsent else None
                self._queued_behind_bytes = 0
                if has_left:
                    request.listener.on_sent(request)
                return True
            transport.unsent.clear()
        self.in_flight.finish(request)
        self.retire()
        return False

    def _is_partly_sent(self, request: InFlightRequest) -> bool:
        """Whether part of its message still waits to be sent."""
        if request is not self._partly_sent or self.transport is None:
            return False
        return len(self.transport.unsent) > self._queued_behind_bytes

    def send(self, message: bytes) -> None:
        """Sends a further message of a request that was sent.

        Nothing is sent on a connection that is closing: behind a request that was cut short it would be read
        as its rest, and the end of the connection tells the engine.
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
        """All that was to come for the request has come."""
        self.in_flight.finish(request)
        self._forget(request)

    def abandon(self, request: InFlightRequest) -> bool:
        """Drops what still comes for it. True, as the engine hears of that before it hears of another."""
        is_partly_sent = self._is_partly_sent(request)
        message = self.in_flight.abandon(request)
        if is_partly_sent and not self.in_flight.is_closed:
            # Its rest would leave once the engine reads again, and be run for nobody.
            self.close()
        elif message is not None:
            self.send(message)
        self._forget(request)
        return True

    def _forget(self, request: InFlightRequest) -> None:
        if self._partly_sent is request:
            self._partly_sent = None
        self._update_idle()

    def cancel_unwritten(self) -> None:
        """Ends what has not been sent yet as never sent."""
        self.pool.for_each(self.in_flight.unwritten(), self._cancel)

    def _cancel(self, request: InFlightRequest) -> None:
        # What the end of another request set off may have ended this one.
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
        """Takes no more requests; closes once the last one has ended."""
        self.in_flight.is_retired = True
        self._update_idle()

    def close(self) -> None:
        """Closes at once; nothing of what waits to be sent leaves."""
        self.in_flight.is_closed = True
        self.pool.quota.idle.pop(self, None)
        if self.transport is not None:
            self.transport.unsent.clear()
        self.abort()

    # What whoever has the socket says.

    def on_connected(self, transport: Transport) -> None:
        """The connection is made; what has waited for it is written."""
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
        """Whether a request may be sent later than it was handed over.

        A connection takes a while to be made, and a process may be stopped meanwhile. By then the engine may
        drain, the client have disconnected, or the window for a retry be over.
        """
        return not self.is_outdated and request.listener.may_send(request)

    def seconds_left(self) -> float | None:
        """Returns the time in which the rest of an answer must come; None where none has begun."""
        if not self._decoder.has_partial_answer():
            return None
        return max(0.0, (self.answer_deadline_us - self.pool.now_us()) / 1e6)

    def has_partial_answer(self) -> bool:
        """Whether part of an answer has come, and the rest has not."""
        return self._decoder.has_partial_answer()

    def on_received(self, data: bytes) -> None:
        """Hands on the answers in what has come.

        Raises:
            EngineProtocolError: it cannot be an answer.
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
            # Taken for a rejection, it would be retried, and its rest here be run as well.
            raise codec.EngineProtocolError("an answer to what has not been asked whole")
        if request is not None and not request.is_written:
            request = None
        if request is not None and answer.kind not in _RESULT_KINDS:
            self.in_flight.on_rejected(request)
        if request is None or not request.listener.on_answer(request, answer):
            # A duplicate, or an answer that comes too late: no fault of what else is open.
            self.pool.counters.add("answers not awaited")

    def on_stalled(self) -> NoReturn:
        """The rest of an answer has not come in time; always raises EngineProtocolError."""
        raise codec.EngineProtocolError("it stopped within an answer")

    def on_end_of_stream(self) -> None:
        """The engine has closed its side.

        Raises:
            EngineProtocolError: part of an answer had come.
        """
        if self._decoder.has_partial_answer():
            raise codec.EngineProtocolError("it ended within an answer")

    def on_closed(self) -> None:
        """The connection has ended, or could not be made; tells the listeners of all that was open."""
        self.in_flight.is_closed = True
        self.pool.quota.idle.pop(self, None)
        self.pool.on_removed(self)
        if self.is_out_of_descriptors:
            self.pool.quota.close_idle()
        was_connected = self.transport is not None
        self.pool.for_each(self.in_flight.on_connection_closed(was_connected), self._dispose)

    def _dispose(self, ended: tuple[InFlightRequest, Disposition]) -> None:
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
