"""The state of one client's connection: received lines, open requests, and when it ends. Free of I/O.

The connection passes in the data it has read and is told whether to go on reading. The session writes by
direct calls on its transport. ConnectionRegistry holds what all connections of one listener share.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from cresstray.clients import codec
from cresstray.clients.line_buffer import MAX_QUOTES, LineBuffer, ReceivedLine
from cresstray.clients.ports import NextAction, Transport
from cresstray.memory_budget import CONNECTION_BYTES, REQUEST_BYTES, Holding

if TYPE_CHECKING:
    from cresstray.clients.connection_registry import ConnectionRegistry

# A statement has some kilobytes; a line far longer than any statement is missing its line feed.
_MAX_LINE_BYTES = 256 * 1024
# A request without its statement has some hundred bytes. On 1,024 connections, lines of this length do not
# exceed the limit above.
_MAX_SHORTENED_LINE_BYTES = 2 * 1024
# Unread responses, a few whole results, above which a client's requests are rejected.
_MAX_UNREAD_BYTES = 256 * 1024
# Open requests on one connection, as the protocol defines.
_MAX_OPEN_REQUESTS = 32
# Any client may send a malformed message; one that sends ten does not speak the protocol.
_MAX_MALFORMED = 10
# Lines handled in one turn of the event loop.
_MAX_LINES_PER_TURN = 100
# A turn ends with the line that is being handled after this time, so that other connections have theirs.
# Lines differ by a hundred times in what they cost.
_MAX_TURN_US = 5_000
# What is read of a line that is not complete, however little the buffers have left.
_MIN_READ_BYTES = 4096
# What a banned client may send until its connection ends even if it goes on: enough to get to the end of a
# statement of several times the usual size, so that it is answered under its id.
_MAX_BYTES_AFTER_BAN = 1024 * 1024
# Messages without effect in a row, after which the connection is closed at once. A client reaches this number
# only by repeating all its open requests many times. The responses to them may take 200 kB.
_MAX_IGNORED_MESSAGES = 2000
# A statement is kept as received and as sent to the engine; both are shorter than the line, in which it is in
# base64.
_LINE_COPIES = 1.5
# A client that sends no whole line must be closed within three seconds of connecting.
_SILENT_TIMEOUT_US = 2_200_000
# A client closes its connection four seconds after a response; a later close cannot cross its next request.
_IDLE_TIMEOUT_US = 5_000_000
# Three times the longest timeout of a request: a response unread for this long is never read.
_UNREAD_TIMEOUT_US = 10_000_000
# A client that reads takes what the kernel holds for it far sooner.
_NOT_READING_US = 500_000
# A connection counts as idle after several times the time a client usually takes to send its next request.
MIN_IDLE_US = 300_000


def _nothing() -> None:
    """Does nothing."""


class ClientSession:
    """One client's connection. `open_requests` holds the requests that wait for a response, by id.

    Its states are flags, since several may hold at once:

    | state        | flag               | entered                               | effect                     |
    | ------------ | ------------------ | ------------------------------------- | -------------------------- |
    | open         | none               | when the connection is accepted       | requests are accepted      |
    | closing      | `_is_closing`      | by `close` or a ban                   | new requests are rejected  |
    | finishing    | `_is_finishing`    | closing and no open requests, or idle | the transport drains       |
    | shut down    | `_is_shut_down`    | when `can_shut_down` returns True     | received data is discarded |
    | disconnected | `is_disconnected` | when end of stream has been read      | new requests are rejected  |

    A finishing session returns to open or closing by `resume`. One that is shut down stays so until
    `on_disconnected`.
    """

    def __init__(
        self,
        registry: ConnectionRegistry,
        transport: Transport,
        find_end_of_stream: Callable[[], None] = _nothing,
    ) -> None:
        self._registry = registry
        self._transport = transport
        # Buffers what was sent, and sets `is_disconnected` if the client's end of stream follows.
        self._find_end_of_stream = find_end_of_stream
        self.open_requests: dict[int, object] = {}
        # When the connection was accepted, or later its last line, part of a line, or response.
        self.last_activity_us = self._accepted_us = registry.now_us()
        self.has_sent_request = False  # whether the client has sent a line that could be decoded
        self.discards_unread = False  # whether the connection may end although the client is still sending
        self._buffer = LineBuffer()
        self._request_bytes: dict[int, int] = {}  # what each open request takes
        self._counted_unsent_bytes = 0
        self._last_read_us = self.last_activity_us  # when the client was last seen to read responses
        registry.memory.add(Holding.CONNECTIONS, CONNECTION_BYTES)
        self._malformed_count = 0
        self.received_bytes = 0
        # Since when the kernel may hold what is read next; None while that is noticed at once.
        self.unread_since_us: int | None = None
        # Whether the client has sent more than may be buffered: it may have disconnected behind that.
        self.is_backlogged = False
        self._bytes_after_ban = 0
        self.turn_share = registry.turns.new_share()
        # The part of the lines of the latest turn that were in vain by the client's own doing: they opened no
        # request that is still open, nor were they rejected for the end of the process.
        self.fruitless_part = 1.0
        self._accepted_ids: list[int] = []  # of the requests that the handler got in the latest turn
        self._rejected_at_end_count = 0
        self._ignored_count = 0  # messages without effect since the last accepted request
        self._is_closing = False
        self._is_finishing = False
        self._is_shut_down = False
        self.is_disconnected = False

    @property
    def has_buffered_lines(self) -> bool:
        """Whether whole lines are left for the next turn."""
        return self._buffer.has_lines

    # Responses.

    def succeed(self, request_id: int, result: bytes, position: str | None = None) -> None:
        """Responds with a result; `position` is the position up to which a read has seen."""
        self._respond(request_id, codec.encode_success(request_id, result, position))

    def reject(self, request_id: int, retry_after_us: int) -> None:
        """Responds with a rejection; with `retry_after_us` 0 the client is not told when to retry."""
        self._respond(request_id, codec.encode_rejection(request_id, retry_after_us // 1000))

    def fail(self, request_id: int) -> None:
        """Responds that the request has failed and may have run."""
        self._respond(request_id, codec.encode_error(request_id, codec.FAILED, "failed"))

    def reject_malformed(self, request_id: int | None, text: str, code: int = codec.INVALID_PARAMS) -> None:
        """Responds to a message that cannot be accepted. A client that sends too many of them is banned."""
        self._malformed_count += 1
        self._registry.counters.add("clients malformed")
        self._registry.log("client", f"malformed, {code}: {text}")
        self._write(codec.encode_error(request_id, code, text))
        if self._malformed_count == _MAX_MALFORMED:
            self._ban()

    def _ban(self) -> None:
        """Ends the connection once its open requests are answered: malformed lines delay other clients."""
        self._malformed_count = max(self._malformed_count, _MAX_MALFORMED)
        if not self._is_closing:
            self._is_closing = True
            self._registry.counters.add("clients banned")

    def _write(self, line: bytes) -> None:
        self._transport.write(line)
        if self._transport.unsent:
            self.count_unsent()

    def unsent_bytes(self) -> int:
        """Returns how much was written that the client has not read."""
        return len(self._transport.unsent)

    def count_unsent(self) -> None:
        """Accounts for the responses that are not sent yet, which are sent without the session's doing."""
        unsent_bytes = len(self._transport.unsent)
        if unsent_bytes < self._counted_unsent_bytes or not self._counted_unsent_bytes:
            self._last_read_us = self._registry.now_us()
        self._registry.memory.add(Holding.RESPONSES, unsent_bytes - self._counted_unsent_bytes)
        self._counted_unsent_bytes = unsent_bytes

    def _respond(self, request_id: int, line: bytes) -> None:
        del self.open_requests[request_id]
        self.last_activity_us = self._registry.now_us()
        self._write(line)
        self._finish_if_done()

    # Received data.

    def has_left(self, _request_id: int) -> bool:
        """Returns whether the client has closed its side or the connection has broken.

        May make a system call.
        """
        if self.is_disconnected or self._transport.has_ended():
            return True
        if self._transport.has_unread():
            # The end of stream may follow behind data that the kernel of the client's host still holds.
            self._find_end_of_stream()
        return self.is_disconnected

    def can_read_ahead(self) -> bool:
        """Returns whether more may be read before the buffered data is handled."""
        return self.max_read_bytes() > 0

    def max_read_bytes(self) -> int:
        """Returns how much may be read now, before the buffered data is handled."""
        if self.discards_unread or self.is_disconnected:
            return 0
        if self._transport.unsent and self.must_read_responses():
            return 0
        held_bytes = len(self._buffer.data)
        free_bytes = self._registry.max_read_ahead_bytes(held_bytes) - held_bytes
        if self._buffer.has_lines:
            return max(0, free_bytes)
        if held_bytes > _MAX_LINE_BYTES:
            return 0
        # A line that is not complete can always be continued: others are shortened in its place.
        return max(_MIN_READ_BYTES, free_bytes)

    def has_unhandled(self, before_us: int) -> bool:
        """Returns whether anything may be unhandled that the client had sent by that time."""
        if self._is_shut_down or self.is_disconnected or self.discards_unread:
            return False
        oldest_us = self._buffer.oldest_us()
        if oldest_us is not None and oldest_us < before_us:
            return True
        return self.unread_since_us is not None and self.unread_since_us < before_us

    @property
    def may_end_unread(self) -> bool:
        """Whether the connection may end although the client is still sending."""
        return self.discards_unread or self._bytes_after_ban > _MAX_BYTES_AFTER_BAN

    @property
    def is_finishing(self) -> bool:
        """Whether the connection ends once all is written."""
        return self._is_finishing

    def is_banned(self) -> bool:
        """Returns whether the client has sent too many malformed messages.

        Its connection ends once its open requests are answered.
        """
        return self._malformed_count >= _MAX_MALFORMED

    def receive(self, data: bytes, ended: bool = False) -> NextAction:
        """Buffers received data, which may be split anywhere, and handles the lines that are complete.

        While `has_buffered_lines` is set it must be called again, with data received since or with none.

        Args:
            data: the received data.
            ended: whether the client's end of stream follows the data.
        """
        self.buffer(data, self._registry.now_us())
        self.is_disconnected = self.is_disconnected or ended
        return self.handle_buffered()

    def buffer(self, data: bytes, received_us: int) -> None:
        """Adds received data, which may be split anywhere, to what is handled in the next turns.

        Args:
            data: the received data.
            received_us: when the first of it may have been received: clients count a timeout from then.
        """
        self.received_bytes += len(data)
        if self._is_shut_down:
            return
        registry = self._registry
        buffer = self._buffer
        buffered_bytes = len(buffer.data)
        if self.has_sent_request and not buffered_bytes:
            self.last_activity_us = registry.now_us()
        buffer.append(data, received_us)
        registry.memory.add(Holding.RECEIVED, len(buffer.data) - buffered_bytes)
        if self._malformed_count >= _MAX_MALFORMED:
            self._bytes_after_ban += len(data)

    def handle_buffered(self) -> NextAction:
        """Handles the buffered lines of one turn."""
        if self._is_shut_down:
            return NextAction.READ
        registry = self._registry
        self.fruitless_part = 1.0
        if self.is_disconnected and self.open_requests:
            registry.handler.on_disconnected(self)
        if self.has_buffered_lines:
            self.last_activity_us = registry.now_us()
            self._handle_next_lines()
        elif self.is_banned():
            self._ignored_count += 1
        self._enforce_buffer_limits()
        if self._ignored_count > _MAX_IGNORED_MESSAGES:
            registry.counters.add("clients cut off")
            return NextAction.CLOSE
        self._finish_if_done()
        return NextAction.READ

    def _handle_next_lines(self) -> None:
        """Handles buffered lines until the time of a turn is over."""
        now_us = self._registry.now_us
        ends_us = now_us() + _MAX_TURN_US
        self._accepted_ids.clear()
        dropped_bytes = self._buffer.dropped_bytes
        lines = self._next_lines()
        handled_count = 0
        self._rejected_at_end_count = 0
        for line in lines:
            if handled_count and now_us() >= ends_us:
                self._put_back(lines[handled_count:])
                break
            if dropped_bytes and not handled_count:
                self._reject_long_line(line.content, len(line.content) + dropped_bytes)
            elif line.content.strip():
                self._handle_line(line.content, line.received_us)
            handled_count += 1
        open_count = sum(request_id in self.open_requests for request_id in self._accepted_ids)
        self.fruitless_part = 1 - (open_count + self._rejected_at_end_count) / handled_count

    def _put_back(self, lines: list[ReceivedLine]) -> None:
        """Leaves lines that were taken from the buffer to the next turn."""
        buffered_bytes = len(self._buffer)
        self._buffer.put_back(lines)
        self._registry.memory.add(Holding.RECEIVED, len(self._buffer) - buffered_bytes)

    def _next_lines(self) -> list[ReceivedLine]:
        """Removes whole lines from the buffer, as many as are handled in one turn."""
        buffered_bytes = len(self._buffer)
        lines = self._buffer.take_lines(_MAX_LINES_PER_TURN)
        self._registry.memory.add(Holding.RECEIVED, len(self._buffer) - buffered_bytes)
        return lines

    def _enforce_buffer_limits(self) -> None:
        if not self.has_buffered_lines:
            is_overlong = len(self._buffer) + self._buffer.dropped_bytes > _MAX_LINE_BYTES
            if is_overlong:
                self._reject_overlong_line(None)
            if is_overlong or self._buffer.dropped_bytes:
                self.shorten_partial_line()
        self._registry.limit_buffered_bytes()

    def can_shorten_partial_line(self) -> bool:
        """Returns whether the line that is not complete holds more than is kept of a shortened one."""
        return self.partial_line_bytes() > _MAX_SHORTENED_LINE_BYTES

    def partial_line_bytes(self) -> int:
        """Returns how many bytes are held of a line that is not complete yet; 0 behind whole lines."""
        return 0 if self.has_buffered_lines else len(self._buffer)

    def shorten_partial_line(self) -> None:
        """Drops the statement of a request that is not complete yet: it is too long, or the buffers are full.

        The request is answered once its line is complete, whoever has filled the buffers. A line that stays
        long without its strings is no request: it is dropped, and the client banned.
        """
        buffered_bytes = len(self._buffer)
        self._buffer.shorten_partial_line()
        self._registry.memory.add(Holding.RECEIVED, len(self._buffer) - buffered_bytes)
        if self.can_shorten_partial_line():
            self._drop_partial_line()

    def _drop_partial_line(self) -> None:
        """Drops the line that is not complete, as it cannot be a request; bans the client."""
        self._reject_overlong_line(None)
        self._registry.memory.add(Holding.RECEIVED, -len(self._buffer))
        self._buffer.drop_partial_line()
        self._finish_if_done()

    def _reject_overlong_line(self, request_id: int | None) -> None:
        """Responds that a line is too long, under no id while it is not complete; bans the client."""
        if request_id is not None or not self.is_banned():
            self.reject_malformed(request_id, "a line without an end", codec.INVALID_REQUEST)
            self._ban()

    def _reject_long_line(self, line: bytes, size_bytes: int) -> None:
        """Responds to a complete line that is too long, or of which a part was dropped before its end."""
        request_id = codec.decode_request_id(line)
        if request_id in self.open_requests:
            self._reject_repeated_id(request_id)
        elif size_bytes > _MAX_LINE_BYTES:
            self._reject_overlong_line(request_id)
        elif request_id is None:
            self._on_malformed(codec.MalformedMessageError(codec.INVALID_REQUEST, "no id in a long line"))
        else:
            self.has_sent_request = True
            self._ignored_count += self._has_too_much_unread()
            self._write(codec.encode_rejection(request_id, 0))

    def _handle_line(self, line: bytes, received_us: int) -> None:
        if len(line) > _MAX_LINE_BYTES:
            self._reject_long_line(line, len(line))
            return
        if len(line) > _MAX_SHORTENED_LINE_BYTES and line.count(b'"') > MAX_QUOTES:
            self._on_malformed(codec.MalformedMessageError(codec.INVALID_REQUEST, "too many strings"))
            return
        try:
            request_id, message = codec.decode(line, self._registry.request_class_names)
        except codec.MalformedMessageError as error:
            self._on_malformed(error)
            return
        self.has_sent_request = True
        if isinstance(message, codec.Cancellation):
            self._registry.handler.cancel(self, message.id, message.name)
        elif request_id is None:
            return  # a status message without an id expects no response
        elif isinstance(message, codec.Status):
            self._ignored_count += self._has_too_much_unread()
            self._write(codec.encode_status(request_id))
        else:
            self._handle_request(request_id, message, len(line), received_us)

    def _on_malformed(self, error: codec.MalformedMessageError) -> None:
        if self.is_banned():
            self._ignored_count += 1
        else:
            self.reject_malformed(error.request_id, error.text, error.code)

    def _handle_request(self, request_id: int, query: codec.Query, size_bytes: int, received_us: int) -> None:
        handler = self._registry.handler
        if request_id in self.open_requests:
            self._reject_repeated_id(request_id)
        elif self._must_reject():
            self._ignored_count += 1
            self._rejected_at_end_count += self._registry.is_closing
            self._write(codec.encode_rejection(request_id, 0))
        elif len(self.open_requests) >= _MAX_OPEN_REQUESTS:
            self.reject_malformed(request_id, "too many open requests", codec.INVALID_REQUEST)
        elif not self._has_memory_for(request_id, size_bytes):
            self._registry.counters.add("requests rejected for a lack of memory")
            retry_after_ms = self._registry.shed_retry_after_us // 1000
            self._write(codec.encode_rejection(request_id, retry_after_ms))
        else:
            self._ignored_count = 0
            self._accepted_ids.append(request_id)
            handler.accept(self, request_id, query, received_us=received_us)

    def _has_memory_for(self, request_id: int, size_bytes: int) -> bool:
        """Returns whether a request may be accepted, and remembers what it takes."""
        request_bytes = REQUEST_BYTES + int(_LINE_COPIES * size_bytes)
        if len(self._request_bytes) > len(self.open_requests):
            for number in self._request_bytes.keys() - self.open_requests.keys():
                del self._request_bytes[number]
        if not self._registry.memory.can_hold(self._held_bytes(), request_bytes):
            return False
        self._request_bytes[request_id] = request_bytes
        return True

    def _reject_repeated_id(self, request_id: int) -> None:
        """Rejects both requests: the client could take a response with this id for that to either of them."""
        self._registry.handler.cancel(self, request_id, None)
        self.reject_malformed(request_id, "two requests under one id", codec.INVALID_REQUEST)
        self.reject_malformed(request_id, "two requests under one id", codec.INVALID_REQUEST)

    def _must_reject(self) -> bool:
        """Returns whether to reject a request because it could run and its response be lost."""
        is_ending = self._is_closing or self.is_disconnected or self._registry.is_closing
        return is_ending or self.is_backlogged or self._has_too_much_unread()

    def _has_too_much_unread(self) -> bool:
        """Returns whether the client leaves so many responses unread that they could fill the memory.

        Its connection is still read from: it may cancel a request, or disconnect.
        """
        if not self._transport.unsent:
            return False
        return self.unsent_bytes() > min(_MAX_UNREAD_BYTES, self._share_bytes())

    def must_read_responses(self) -> bool:
        """Returns whether the client must read responses before anything more is read from it.

        Rejections of what it sends would take memory that other clients need.
        """
        return bool(self._transport.unsent) and self.unsent_bytes() > self._share_bytes()

    def _share_bytes(self) -> int:
        """Returns how much may be held for this client."""
        return self._registry.memory.client_share_bytes(self._held_bytes())

    def _held_bytes(self) -> int:
        held_bytes = len(self._buffer) + len(self._transport.unsent)
        for number in self.open_requests:
            held_bytes += self._request_bytes.get(number, 0)
        return held_bytes

    # Orderly end.

    def close(self) -> None:
        """Ends the connection once its open requests are answered; new ones are rejected."""
        self._is_closing = True
        self._finish_if_done()

    def discard_unread(self) -> None:
        """Ends a connection that is being closed once its buffered lines are handled; reads no further."""
        self.discards_unread = True
        self._finish_if_done()

    def discard_buffered_lines(self) -> None:
        """Ends a connection that is being closed without handling its buffered lines."""
        self._clear_buffer()
        self._finish_if_done()

    def _clear_buffer(self) -> None:
        self._registry.memory.add(Holding.RECEIVED, -len(self._buffer))
        self._buffer.clear()

    def _finish_if_done(self) -> None:
        if self._is_closing and not (self.open_requests or self.has_buffered_lines):
            self._finish()

    def _finish(self) -> None:
        if not (self._is_finishing or self._is_shut_down):
            self._is_finishing = True
            self._transport.write_eof_when_drained()

    def resume(self) -> None:
        """Stops finishing, as more data was received than could be read at once; may finish again later."""
        self._is_finishing = False
        self._registry.on_resumed(self)
        self._finish_if_done()

    def can_shut_down(self, has_received: bool) -> bool:
        """Decides, after `write_eof_when_drained`, whether the sending side is shut down now.

        If so, data read from then on is discarded; otherwise the session resumes.

        Args:
            has_received: whether data was received in the meantime; it has been passed to `receive`.
        """
        is_busy = self.open_requests or self.has_buffered_lines or self._transport.unsent
        is_active_again = has_received and not self._is_closing
        if is_busy or is_active_again:
            self.resume()
            return False
        self._is_shut_down = True
        self._clear_buffer()
        self._registry.on_closing(self)
        if not self._is_closing:
            self._registry.counters.add("clients silent, closed")
        return True

    def on_disconnected(self) -> None:
        """Ends the session after its connection has ended; open requests get no response."""
        self._clear_buffer()
        self._registry.remove(self)
        self._release_memory()
        self._find_end_of_stream = _nothing  # it refers to the connection, which refers to this session
        self._registry.handler.on_disconnected(self)

    def _release_memory(self) -> None:
        memory = self._registry.memory
        memory.add(Holding.CONNECTIONS, -CONNECTION_BYTES)
        memory.add(Holding.RESPONSES, -self._counted_unsent_bytes)
        self._counted_unsent_bytes = 0

    # Idle timeouts.

    def idle_overdue_us(self, now_us: int) -> int:
        """Returns the time since the idle timeout expired; negative if it has not, or requests are open."""
        if self.open_requests or self.has_buffered_lines:
            return -1
        return now_us - self.last_activity_us - self._idle_timeout_us()

    def _idle_timeout_us(self) -> int:
        if self._transport.unsent:
            return _UNREAD_TIMEOUT_US
        if self.has_sent_request and not self._buffer:
            return _IDLE_TIMEOUT_US
        return _SILENT_TIMEOUT_US

    def is_idle(self, now_us: int) -> bool:
        """Returns whether the connection is inactive, with no open request and no unsent data."""
        is_busy = self.open_requests or self.has_buffered_lines or self._transport.unsent
        return not is_busy and now_us - self.last_activity_us > MIN_IDLE_US

    def is_dispensable(self, now_us: int) -> bool:
        """Returns whether the client may be closed where there is no room for others, though it is not idle.

        It has not sent a whole request some time after it connected, or does not read its responses.
        """
        if self.open_requests:
            return False
        if self._transport.unsent:
            return now_us - self._last_read_us > _NOT_READING_US
        is_old = now_us - self._accepted_us > MIN_IDLE_US
        return is_old and not (self.has_sent_request or self.has_buffered_lines)

    def close_idle(self, force: bool) -> None:
        """Ends the connection in order; without `force` it stays if data turns out to have been received."""
        if self._transport.unsent:
            self.abort()
        elif force:
            self._registry.counters.add("clients silent, closed")
            self._registry.on_closing(self)
            self.close()
        else:
            self._registry.on_closing(self)
            self._finish()

    def abort(self) -> None:
        """Closes at once. The descriptor is free when this returns, before the connection's task has run."""
        if not self._is_shut_down:
            self._registry.counters.add("clients silent, closed")
        self._registry.remove(self)
        self._transport.close()
        self._registry.turns.stop_waiting(self.turn_share)

    def try_evict(self) -> bool:
        """Closes at once if the connection is shut down or idle; returns whether it did.

        It is idle if no request is open and no data is unread or unsent. What is unread of a client that was
        banned or has left does not count.
        """
        transport = self._transport
        if not self._is_shut_down:
            is_busy = self.open_requests or self.has_buffered_lines or transport.unsent
            if is_busy or not (self.is_banned() or transport.has_ended() or not transport.has_unread()):
                return False
        self.abort()
        return True
