"""The state of one client's connection: what it has sent, what it is owed, when it ends. Free of I/O.

The connection passes in what it has read and is told whether to go on reading; what is sent are direct calls
on its transport. ConnectionRegistry has what all connections of one listener share.
"""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING, Protocol

from cresstray.clients import codec

if TYPE_CHECKING:
    from cresstray.clients.connection_registry import ConnectionRegistry

# A statement has some kilobytes; a line far longer than any statement has no end that can be found.
_MAX_LINE_BYTES = 256 * 1024
# Bound of the buffers of all connections together: lines without an end on all of them would fill the memory.
_MAX_BUFFERED_BYTES = 2 * 1024 * 1024
# Responses that a client may leave unread before its requests are rejected: a few whole results.
_MAX_UNREAD_BYTES = 256 * 1024
# Open requests on one connection, as the protocol has it.
_MAX_OPEN_REQUESTS = 32
# Any client may send a malformed message; one that sends ten does not speak the protocol.
_MAX_MALFORMED = 10
# Lines handled in one turn of the event loop: some milliseconds of work, then other connections have theirs.
_MAX_LINES_PER_TURN = 100
# What may be read ahead on one connection, to see whether its client has disconnected behind it.
_MAX_READ_AHEAD_BYTES = 1024 * 1024
# Messages without effect in a row, after which the connection is cut off: several times the number of
# requests a client has open, again and again. The responses to them may take 200 kB.
_MAX_IGNORED = 2000
# A client without a whole line is owed a close within three seconds of connecting.
_SILENT_TIMEOUT_US = 2_200_000
# A client closes its connection four seconds after a response; a later close cannot cross its next request.
_IDLE_TIMEOUT_US = 5_000_000
# A response that is not read for so long is never read: three times the longest timeout of a request.
_UNREAD_TIMEOUT_US = 10_000_000
# Several times as long as a client usually takes to send its next request.
PAUSE_US = 300_000


class RequestHandler(Protocol):
    """Takes the requests of all connections. A request is identified by its session and its id there."""

    def accept(self, session: ClientSession, request_id: int, query: codec.Query) -> None:
        """Accepts a request, or responds to it at once."""

    def cancel(self, session: ClientSession, request_id: int | None, name: str | None) -> None:
        """Cancels the request of this id, or else of this name."""

    def on_disconnected(self, session: ClientSession) -> None:
        """Nothing that is open in the session is owed a response any more."""


class Transport(Protocol):
    """What a session writes to; `transport.streams.SocketStream` is one."""

    unsent: bytearray  # written, and not yet taken by the kernel

    def write(self, message: bytes) -> object:
        """Takes all of the message and sends it now or later, in order."""

    def write_eof_when_drained(self) -> None:
        """Asks for the end: once all is sent, the connection reads what has come and asks `can_shut_down`."""

    def close(self) -> None:
        """Closes at once."""

    def has_unread(self) -> bool:
        """Whether something has come that was not read yet."""

    def has_ended(self) -> bool:
        """Whether the client has closed its side, or the connection has broken."""


class NextAction(Enum):
    """What the connection is to do after it has passed in what it read."""

    READ = "read on"
    CLOSE = "close at once"


class ClientSession:
    """One client's connection. `open` holds the requests that are owed a response, by id.

    Its states are flags, since several may hold at once:

    | state        | flag               | entered                             | effect                    |
    | ------------ | ------------------ | ----------------------------------- | ------------------------- |
    | open         | none               | when the connection is accepted     | requests are accepted     |
    | closing      | `_is_closing`      | by `close` or a ban                 | new requests are rejected |
    | finishing    | `_is_finishing`    | closing and nothing open, or idle   | the transport drains      |
    | shut         | `_is_shut_down`    | when `can_shut_down` agrees         | what comes is discarded   |
    | disconnected | `_has_client_left` | when the client's end has been read | new requests are rejected |

    A finishing session returns to open or closing by `resume`. A shut one stays so until `on_disconnected`.
    """

    def __init__(self, registry: ConnectionRegistry, transport: Transport) -> None:
        self._registry = registry
        self._transport = transport
        self.open_requests: dict[int, object] = {}
        # When the connection was made; later the time of its last line or response, or of part of a line.
        self.last_activity_us = registry.now()
        self.has_sent_request = False  # whether it has sent a line that could be decoded
        self.has_buffered_lines = False  # whether whole lines are left for the next turn
        self._buffer = bytearray()
        self._is_skipping_line = False  # what comes is dropped up to the end of an abandoned line
        self._malformed_count = 0
        self._ignored_count = 0  # messages without effect since the last accepted request
        self._is_closing = False
        self._is_finishing = False
        self._is_shut_down = False
        self._has_client_left = False

    # Responses.

    def succeed(self, request_id: int, result: bytes, position: str | None = None) -> None:
        """Responds with a result; `position` is how far a read has seen."""
        self._respond(request_id, codec.encode_success(request_id, result, position))

    def reject(self, request_id: int, retry_after_us: int) -> None:
        """Responds with a rejection; with `retry_after_us` 0 the client is not told when to retry."""
        self._respond(request_id, codec.encode_rejection(request_id, retry_after_us // 1000))

    def fail(self, request_id: int) -> None:
        """Responds that the request has failed and may have run."""
        self._respond(request_id, codec.encode_error(request_id, codec.FAILED, "failed"))

    def reject_malformed(self, request_id: int | None, text: str, code: int = codec.INVALID_PARAMS) -> None:
        """Responds to a message that cannot be accepted. Too many of them ban the client."""
        self._malformed_count += 1
        self._registry.counters.add("clients malformed")
        self._registry.log("client", f"malformed, {code}: {text}")
        self._transport.write(codec.encode_error(request_id, code, text))
        if self._malformed_count == _MAX_MALFORMED:
            self._ban()

    def _ban(self) -> None:
        """Ends it once its open requests are answered: malformed lines cost the other clients time."""
        self._malformed_count = max(self._malformed_count, _MAX_MALFORMED)
        if not self._is_closing:
            self._is_closing = True
            self._registry.counters.add("clients banned")

    def _respond(self, request_id: int, line: bytes) -> None:
        del self.open_requests[request_id]
        self.last_activity_us = self._registry.now()
        self._transport.write(line)
        self._finish_if_done()

    # What is read.

    def has_disconnected(self) -> bool:
        """Whether the client has closed its side or the connection has broken; may cost a system call."""
        return self._has_client_left or self._transport.has_ended()

    def can_read_ahead(self) -> bool:
        """Whether more may be read before what is buffered is handled."""
        return (
            len(self._buffer) < _MAX_READ_AHEAD_BYTES and self._registry.buffered_bytes < _MAX_BUFFERED_BYTES
        )

    def is_banned(self) -> bool:
        """Whether it has sent too much that is malformed; it ends once its open requests are answered."""
        return self._malformed_count >= _MAX_MALFORMED

    def receive(self, data: bytes, ended: bool = False) -> NextAction:
        """Takes what was read, cut anywhere, and handles the lines that are whole.

        While `has_buffered_lines` it must be called again, with what has come since or nothing.

        Args:
            data: what was read.
            ended: whether the client's end comes right behind it.
        """
        self._has_client_left = self._has_client_left or ended
        if self._is_shut_down:
            return NextAction.READ
        if self._is_skipping_line:
            data = self._skip_line(data)
        registry = self._registry
        if self.has_sent_request and not self._buffer:
            self.last_activity_us = registry.now()
        self._buffer += data
        registry.buffered_bytes += len(data)
        if self.has_buffered_lines or b"\n" in data:
            self.last_activity_us = registry.now()
            self._handle_lines(self._next_lines())
        elif self.is_banned():
            self._ignored_count += 1
        self._enforce_buffer_limits()
        if self._ignored_count > _MAX_IGNORED:
            registry.counters.add("clients cut off")
            return NextAction.CLOSE
        self._finish_if_done()
        return NextAction.READ

    def _skip_line(self, data: bytes) -> bytes:
        """Returns what comes behind the end of the line that is skipped."""
        line_end = data.find(b"\n") + 1
        self._is_skipping_line = not line_end
        return data[line_end:] if line_end else b""

    def _next_lines(self) -> list[bytes]:
        """Takes whole lines off the buffer, as many as are handled in one turn."""
        registry = self._registry
        # Where all buffers together are full, lines that wait for their turn would be added to them.
        max_lines = _MAX_LINES_PER_TURN if registry.buffered_bytes <= _MAX_BUFFERED_BYTES else -1
        *lines, rest = bytes(self._buffer).split(b"\n", max_lines)
        registry.buffered_bytes -= len(self._buffer) - len(rest)
        self._buffer[:] = rest
        self.has_buffered_lines = b"\n" in rest
        return lines

    def _handle_lines(self, lines: list[bytes]) -> None:
        for line in lines:
            if line.strip():
                self._handle_line(line)

    def _enforce_buffer_limits(self) -> None:
        if not self.has_buffered_lines and len(self._buffer) > _MAX_LINE_BYTES:
            self.abandon_line()
        if self._registry.buffered_bytes > _MAX_BUFFERED_BYTES:
            self._registry.abandon_longest_line()

    def partial_line_bytes(self) -> int:
        """Returns the size of a line that has begun and not ended."""
        return len(self._buffer) - (self._buffer.rfind(b"\n") + 1)

    def abandon_line(self) -> None:
        """Drops the line that has begun, as it has no end or there is no room for it, and bans the client."""
        self._reject_line()
        partial_bytes = self.partial_line_bytes()
        del self._buffer[len(self._buffer) - partial_bytes :]
        self._registry.buffered_bytes -= partial_bytes
        self._is_skipping_line = True
        self._finish_if_done()

    def _reject_line(self) -> None:
        if not self.is_banned():
            self.reject_malformed(None, "a line without an end", codec.INVALID_REQUEST)
            self._ban()

    def _handle_line(self, line: bytes) -> None:
        if len(line) > _MAX_LINE_BYTES:
            self._reject_line()
            return
        try:
            request_id, message = codec.decode(line, self._registry.class_names)
        except codec.MalformedMessageError as error:
            self._on_malformed(error)
            return
        self.has_sent_request = True
        if isinstance(message, codec.Cancellation):
            self._registry.handler.cancel(self, message.id, message.name)
        elif request_id is None:
            return  # a status without an id expects no response
        elif isinstance(message, codec.Status):
            self._ignored_count += self._has_too_much_unread()
            self._transport.write(codec.encode_status(request_id))
        else:
            self._handle_request(request_id, message)

    def _on_malformed(self, error: codec.MalformedMessageError) -> None:
        if self.is_banned():
            self._ignored_count += 1
        else:
            self.reject_malformed(error.request_id, error.text, error.code)

    def _handle_request(self, request_id: int, query: codec.Query) -> None:
        handler = self._registry.handler
        if request_id in self.open_requests:
            # A response under this id could be taken for that to either request; both are given up.
            handler.cancel(self, request_id, None)
            self.reject_malformed(request_id, "two requests under one id", codec.INVALID_REQUEST)
            self.reject_malformed(request_id, "two requests under one id", codec.INVALID_REQUEST)
        elif self._must_reject():
            self._ignored_count += 1
            self._transport.write(codec.encode_rejection(request_id, 0))
        elif len(self.open_requests) >= _MAX_OPEN_REQUESTS:
            self.reject_malformed(request_id, "too many open requests", codec.INVALID_REQUEST)
        else:
            self._ignored_count = 0
            handler.accept(self, request_id, query)

    def _must_reject(self) -> bool:
        """Whether a request is rejected, as it could run and its response be lost with the connection."""
        is_ending = self._is_closing or self._has_client_left or self._registry.is_closing
        return is_ending or self._has_too_much_unread()

    def _has_too_much_unread(self) -> bool:
        """Whether the client leaves responses unread, which would fill the memory.

        It is read from all the same: it may cancel a request, or disconnect.
        """
        return len(self._transport.unsent) > _MAX_UNREAD_BYTES

    # How it ends.

    def close(self) -> None:
        """Ends the connection once its open requests are answered; new ones are rejected."""
        self._is_closing = True
        self._finish_if_done()

    def _finish_if_done(self) -> None:
        if self._is_closing and not (self.open_requests or self.has_buffered_lines):
            self._finish()

    def _finish(self) -> None:
        if not (self._is_finishing or self._is_shut_down):
            self._is_finishing = True
            self._transport.write_eof_when_drained()

    def resume(self) -> None:
        """Returns from finishing, as more has come than could be read at once; it may finish again later."""
        self._is_finishing = False
        self._registry.on_staying(self)
        self._finish_if_done()

    def can_shut_down(self, has_received: bool) -> bool:
        """Decides, after `write_eof_when_drained`, whether the sending side is shut down now.

        If so, what is read from then on is discarded; otherwise the session resumes.

        Args:
            has_received: whether something had come since, which has been passed to `receive`.
        """
        is_busy = self.open_requests or self.has_buffered_lines or self._transport.unsent
        is_active_again = has_received and not self._is_closing
        if is_busy or is_active_again:
            self.resume()
            return False
        self._is_shut_down = True
        self._registry.on_leaving(self)
        if not self._is_closing:
            self._registry.counters.add("clients silent, closed")
        return True

    def on_disconnected(self) -> None:
        """The connection has ended; no response is owed any more."""
        self._registry.buffered_bytes -= len(self._buffer)
        self._registry.forget(self)
        self._registry.handler.on_disconnected(self)

    # How long it may stay silent.

    def idle_overdue_us(self, now_us: int) -> int:
        """Returns by how much its silence exceeds what is allowed; below 0 if it does not, or is busy."""
        if self.open_requests or self.has_buffered_lines:
            return -1
        return now_us - self.last_activity_us - self._silence_limit_us()

    def _silence_limit_us(self) -> int:
        if self._transport.unsent:
            return _UNREAD_TIMEOUT_US
        if self.has_sent_request and not self._buffer:
            return _IDLE_TIMEOUT_US
        return _SILENT_TIMEOUT_US

    def is_idle(self, now_us: int) -> bool:
        """Whether it pauses with nothing open and nothing left to send."""
        is_busy = self.open_requests or self.has_buffered_lines or self._transport.unsent
        return not is_busy and now_us - self.last_activity_us > PAUSE_US

    def close_idle(self, force: bool) -> None:
        """Ends it in order; unless `force`, it stays if something turns out to have come."""
        if self._transport.unsent:
            self.abort()
        elif force:
            self._registry.counters.add("clients silent, closed")
            self._registry.on_leaving(self)
            self.close()
        else:
            self._registry.on_leaving(self)
            self._finish()

    def abort(self) -> None:
        """Closes at once. Its descriptor is free when this returns, not only once its task has run."""
        if not self._is_shut_down:
            self._registry.counters.add("clients silent, closed")
        self._registry.forget(self)
        self._transport.close()

    def try_evict(self) -> bool:
        """Closes at once if it is shut, or if nothing is open, to be read or to be sent."""
        transport = self._transport
        if not self._is_shut_down:
            is_busy = (
                self.open_requests or self.has_buffered_lines or transport.unsent or transport.has_unread()
            )
            if is_busy:
                return False
        self.abort()
        return True
