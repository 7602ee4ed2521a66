"""The life of clients' connections: what they ask, what they are owed, and who makes room. Free of I/O.

A connection hands in what it read, and is told whether to read on; what goes out are straight calls on its
wire. `House` has what all connections of one door share.
"""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING, Protocol

from cresstray.clients import codec

if TYPE_CHECKING:
    from cresstray.clients.connection_registry import ConnectionRegistry

# A statement is some kilobytes, and a line that is longer by far than any has no end that can be found.
_LONGEST_LINE = 256 * 1024
# Danger: lines that never end, on all connections at once, would fill the memory.
_MOST_UNFINISHED = 2 * 1024 * 1024
# What a client may leave unread before what it asks is refused: some whole results.
_MOST_UNREAD = 256 * 1024
# Open requests on a connection, as the protocol has it.
_MOST_OPEN = 32
# One mistake may happen to any client; whoever makes ten on a connection does not speak the protocol.
_MOST_FAULTS = 10
# Lines taken in one turn of the loop: some milliseconds of work, then it is the others' turn.
_MOST_A_TURN = 100
# What may be read ahead on one connection, to see whether its client is still there behind it.
_MOST_AHEAD = 1024 * 1024
# What is sent in vain, as it is refused anyway, before the connection ends: some times what a client has
# open, again and again. Its answers may take 200 kB.
_MOST_IN_VAIN = 2000
# A client that has not said a whole line by then is owed a close within three seconds of connecting. One that
# has been answered closes after four seconds by itself, so ours does not cross its next request.
_SILENT, _IDLE = 2_200_000, 5_000_000
# What is answered and still waits after so long is not read any more: three times the longest time limit.
_STALLED = 10_000_000
# Some times as long as a usual client takes to ask; in need whoever pauses longer makes room.
PAUSE = 300_000


class RequestHandler(Protocol):
    """What connections hand on to. A submission is named by its connection and its id there."""

    def accept(self, connection: ClientSession, number: int, query: codec.Query) -> None: ...
    def cancel(self, connection: ClientSession, number: int | None, name: str | None) -> None: ...
    def on_disconnected(self, connection: ClientSession) -> None: ...


class Transport(Protocol):
    """What a connection is written to; streams.Line is one. `put` takes all, now or by and by.

    `finish` asks for the end: once all is written, the connection reads what has come, and asks `may_shut`.
    """

    unsent: bytearray  # put, and not yet taken by the other side

    def write(self, message: bytes) -> object: ...
    def write_eof_when_drained(self) -> None: ...
    def close(self) -> None: ...
    def has_more(self) -> bool: ...
    def has_ended(self) -> bool: ...


class NextAction(Enum):
    """What the connection is to do after it has handed in what it read."""

    READ = "read on"
    CLOSE = "close at once"


class ClientSession:
    """One client. `open` holds what is owed an answer here, by id."""

    def __init__(self, house: ConnectionRegistry, wire: Transport) -> None:
        self._house, self._wire = house, wire
        self.open: dict[int, object] = {}
        self.last_activity_us = (
            house.now()
        )  # of the connection; later of its last line or answer, or of half a line
        self.has_sent_request = False  # whether it has sent a line that could be read
        self.has_buffered_lines = False  # whole lines have come that are left for the next turn
        self._buffer = bytearray()
        self._skips = False  # all up to the end of a line that was given up
        self._faults = self._in_vain = 0
        self._closing = False  # it is to end, once nothing is owed
        self._finishing = False  # the wire has been asked to
        self._shut = self._left = False  # our sending side; the client

    def succeed(self, number: int, result: bytes, at: str | None = None) -> None:
        self._answer(number, codec.encode_success(number, result, at))

    def reject(self, number: int, come_back: int) -> None:
        """`come_back` in microseconds."""
        self._answer(number, codec.encode_rejection(number, come_back // 1000))

    def fail(self, number: int) -> None:
        self._answer(number, codec.encode_error(number, codec.FAILED, "failed"))

    def reject_malformed(self, number: int | None, text: str, code: int = codec.INVALID_PARAMS) -> None:
        """For what can't be taken in."""
        self._faults += 1
        self._house.counters.add("clients malformed")
        self._house.log("client", f"malformed, {code}: {text}")
        self._wire.write(codec.encode_error(number, code, text))
        if self._faults == _MOST_FAULTS:
            self._turn_out()

    def _turn_out(self) -> None:
        # Danger: a flood of bad lines costs the others their time. What is open is still answered.
        self._faults = max(self._faults, _MOST_FAULTS)
        if not self._closing:
            self._closing = True
            self._house.counters.add("clients banned")

    def _answer(self, number: int, line: bytes) -> None:
        del self.open[number]
        self.last_activity_us = self._house.now()
        self._wire.write(line)
        self._mind_end()

    def has_disconnected(self) -> bool:
        """Whether the client has closed its side, or the connection has ended."""
        return self._left or self._wire.has_ended()

    def can_read_ahead(self) -> bool:
        """Whether more may be read ahead of what is taken."""
        return len(self._buffer) < _MOST_AHEAD and self._house.buffered_bytes < _MOST_UNFINISHED

    def is_banned(self) -> bool:
        """Whether it has made too many faults; it ends once what is open is answered."""
        return self._faults >= _MOST_FAULTS

    def receive(self, data: bytes, ended: bool = False) -> NextAction:
        """What has come, in any cut; lines that are whole are taken. `ended`: the client's end is behind it.

        While there is `more`, it is called again, with what has come since or nothing.
        """
        self._left = self._left or ended
        if self._shut:
            return NextAction.READ
        if self._skips:
            data = self._after_the_line(data)
        house = self._house
        if self.has_sent_request and not self._buffer:
            self.last_activity_us = house.now()
        self._buffer += data
        house.buffered_bytes += len(data)
        if self.has_buffered_lines or b"\n" in data:
            self.last_activity_us = house.now()
            self._take_all(self._next_lines())
        elif self.is_banned():
            self._in_vain += 1
        self._mind_bounds()
        if self._in_vain > _MOST_IN_VAIN:
            house.counters.add("clients cut off")
            return NextAction.CLOSE
        self._mind_end()
        return NextAction.READ

    def _after_the_line(self, data: bytes) -> bytes:
        """What comes behind the end of the line that is skipped."""
        end = data.find(b"\n") + 1
        self._skips = not end
        return data[end:] if end else b""

    def _next_lines(self) -> list[bytes]:
        """Whole lines off the buffer, as many as belong to one turn."""
        house = self._house
        # Danger: lines that wait for their turn, on all connections at once, would fill the memory.
        most = _MOST_A_TURN if house.buffered_bytes <= _MOST_UNFINISHED else -1
        *lines, rest = bytes(self._buffer).split(b"\n", most)
        house.buffered_bytes -= len(self._buffer) - len(rest)
        self._buffer[:] = rest
        self.has_buffered_lines = b"\n" in rest
        return lines

    def _take_all(self, lines: list[bytes]) -> None:
        for line in lines:
            if line.strip():
                self._take(line)

    def _mind_bounds(self) -> None:
        if not self.has_buffered_lines and len(self._buffer) > _LONGEST_LINE:
            self.abandon_line()
        if self._house.buffered_bytes > _MOST_UNFINISHED:
            self._house.abandon_longest_line()

    def partial_line_bytes(self) -> int:
        """Bytes of a line that has begun and not ended."""
        return len(self._buffer) - (self._buffer.rfind(b"\n") + 1)

    def abandon_line(self) -> None:
        """Gives up the line that has begun: it has no end, or there is no room. So ends the connection."""
        self._refuse_line()
        half = self.partial_line_bytes()
        del self._buffer[len(self._buffer) - half :]
        self._house.buffered_bytes -= half
        self._skips = True
        self._mind_end()

    def _refuse_line(self) -> None:
        if not self.is_banned():
            self.reject_malformed(None, "a line without an end", codec.INVALID_REQUEST)
            self._turn_out()

    def _take(self, line: bytes) -> None:
        house = self._house
        if len(line) > _LONGEST_LINE:
            self._refuse_line()
            return
        try:
            number, message = codec.decode(line, house.class_names)
        except codec.MalformedMessageError as trouble:
            if self.is_banned():
                self._in_vain += 1
            else:
                self.reject_malformed(trouble.number, trouble.text, trouble.code)
            return
        self.has_sent_request = True
        if isinstance(message, codec.Status):
            if number is not None:
                self._in_vain += self._is_behind()
                self._wire.write(codec.encode_status(number))
        elif isinstance(message, codec.Cancellation):
            house.handler.cancel(self, message.id, message.name)
        elif number in self.open:
            # Danger: an answer under this number could be taken for that to either; both are given up.
            house.handler.cancel(self, number, None)
            self.reject_malformed(number, "two requests under one id", codec.INVALID_REQUEST)
            self.reject_malformed(number, "two requests under one id", codec.INVALID_REQUEST)
        elif self._refuses():
            self._in_vain += 1
            self._wire.write(codec.encode_rejection(number, 0))
        elif len(self.open) >= _MOST_OPEN:
            self.reject_malformed(number, "too many open requests", codec.INVALID_REQUEST)
        else:
            self._in_vain = 0
            house.handler.accept(self, number, message)

    def _refuses(self) -> bool:
        # Danger: what is asked on a connection that is to end, or whose client has gone, would be sent on and
        # lost with the connection.
        return self._closing or self._left or self._house.is_closing or self._is_behind()

    def _is_behind(self) -> bool:
        # Danger: answers that a client does not read would fill the memory of all. It is read from all the
        # same: it may withdraw, or go.
        return len(self._wire.unsent) > _MOST_UNREAD

    def close(self) -> None:
        """What is open is still answered, what is asked from here on is denied; then the connection ends."""
        self._closing = True
        self._mind_end()

    def _mind_end(self) -> None:
        if self._closing and not (self.open or self.has_buffered_lines):
            self._finish()

    def _finish(self) -> None:
        if not (self._finishing or self._shut):
            self._finishing = True
            self._wire.write_eof_when_drained()

    def resume(self) -> None:
        """Asked to end, it has more to say than may be read in one go; it is asked again after that."""
        self._finishing = False
        self._house.on_staying(self)
        self._mind_end()

    def can_shut_down(self, came: bool) -> bool:
        """Asked after `finish`, once what had come has been read, in which `came` something.

        If so, what is read from now on is thrown away.
        """
        busy = self.open or self.has_buffered_lines or self._wire.unsent
        if busy or came and not self._closing:
            self.resume()
            return False
        self._shut = True
        self._house.on_leaving(self)
        if not self._closing:
            self._house.counters.add("clients silent, closed")
        return True

    def on_disconnected(self) -> None:
        """The connection has ended; nothing it waited for is owed any more."""
        self._house.buffered_bytes -= len(self._buffer)
        self._house.forget(self)
        self._house.handler.on_disconnected(self)

    def idle_overdue_us(self, now: int) -> int:
        """How long it has said nothing beyond what it may; below 0: not yet so long, or something is open."""
        if self.open or self.has_buffered_lines:
            return -1
        if self._wire.unsent:
            return now - self.last_activity_us - _STALLED
        return (
            now - self.last_activity_us - (_IDLE if self.has_sent_request and not self._buffer else _SILENT)
        )

    def is_idle(self, now: int) -> bool:
        """Whether it pauses with nothing open and nothing left to write."""
        return (
            not (self.open or self.has_buffered_lines or self._wire.unsent)
            and now - self.last_activity_us > PAUSE
        )

    def close_idle(self, surely: bool) -> None:
        """Ends it in order; unless `surely`, it stays if something turns out to have come."""
        if self._wire.unsent:
            self.abort()
        elif surely:
            self._house.counters.add("clients silent, closed")
            self._house.on_leaving(self)
            self.close()
        else:
            self._house.on_leaving(self)
            self._finish()

    def abort(self) -> None:
        """Closes at once."""
        if not self._shut:
            self._house.counters.add("clients silent, closed")
        self._house.forget(self)
        # Danger: of a crowd in one turn of the loop, each takes the place of another, whose descriptor would
        # be free only once its task has run.
        self._wire.close()

    def try_evict(self) -> bool:
        """Closes at once if it is shut, or if nothing is open, to be read or to be written."""
        wire = self._wire
        if not self._shut and (self.open or self.has_buffered_lines or wire.unsent or wire.has_more()):
            return False
        self.abort()
        return True
