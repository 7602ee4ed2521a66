"""The life of clients' connections: what they ask, what they are owed, and who makes room. Free of I/O.

A connection hands in what it read, and is told whether to read on; what goes out are straight calls on its
wire. `House` has what all connections of one door share.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from enum import Enum
from typing import Protocol

from cresstray.clients import codec
from cresstray.observability.counters import Counters

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
# Whoever sends parts of a line all the time is closed so long after that, three seconds after connecting.
_DRIPS = 400_000
# Some times as long as a usual client takes to ask; in need whoever pauses longer makes room.
_PAUSE = 300_000


class Front(Protocol):
    """What connections hand on to. A submission is named by its connection and its id there."""

    def take(self, connection: Talk, number: int, query: codec.Query) -> None: ...
    def withdraw(self, connection: Talk, number: int | None, name: str | None) -> None: ...
    def gone(self, connection: Talk) -> None: ...


class Wire(Protocol):
    """What a connection is written to; streams.Line is one. `put` takes all, now or by and by.

    `finish` asks for the end: once all is written, the connection reads what has come, and asks `may_shut`.
    """

    waiting: bytearray  # put, and not yet taken by the other side

    def put(self, message: bytes) -> object: ...
    def finish(self) -> None: ...
    def close(self) -> None: ...
    def has_more(self) -> bool: ...
    def has_ended(self) -> bool: ...


class Next(Enum):
    """What the connection is to do after it has handed in what it read."""

    READ = "read on"
    CLOSE = "close at once"


class Talk:
    """One client. `open` holds what is owed an answer here, by id."""

    def __init__(self, house: House, wire: Wire) -> None:
        self._house, self._wire = house, wire
        self.open: dict[int, object] = {}
        self.since = house.now()  # of the connection; later of its last line or answer, or of half a line
        self.spoken = False  # whether it has sent a line that could be read
        self.more = False  # whole lines have come that are left for the next turn
        self._buffer = bytearray()
        self._skips = False  # all up to the end of a line that was given up
        self._faults = self._in_vain = 0
        self._closing = False  # it is to end, once nothing is owed
        self._finishing = False  # the wire has been asked to
        self._shut = self._left = False  # our sending side; the client

    def fulfil(self, number: int, result: bytes, at: str | None = None) -> None:
        self._answer(number, codec.fulfilled(number, result, at))

    def deny(self, number: int, come_back: int) -> None:
        """`come_back` in microseconds."""
        self._answer(number, codec.denied(number, come_back // 1000))

    def abandon(self, number: int) -> None:
        self._answer(number, codec.failed(number, codec.ABANDONED, "failed"))

    def reject(self, number: int | None, text: str, code: int = codec.INVALID_PARAMS) -> None:
        """For what can't be taken in."""
        self._faults += 1
        self._house.counters.add("clients malformed")
        self._house.say("client", f"malformed, {code}: {text}")
        self._wire.put(codec.failed(number, code, text))
        if self._faults == _MOST_FAULTS:
            self._turn_out()

    def _turn_out(self) -> None:
        # Danger: a flood of bad lines costs the others their time. What is open is still answered.
        self._faults = max(self._faults, _MOST_FAULTS)
        if not self._closing:
            self._closing = True
            self._house.counters.add("clients turned out")

    def _answer(self, number: int, line: bytes) -> None:
        del self.open[number]
        self.since = self._house.now()
        self._wire.put(line)
        self._mind_end()

    def has_left(self) -> bool:
        """Whether the client has closed its side, or the connection has ended."""
        return self._left or self._wire.has_ended()

    def has_room(self) -> bool:
        """Whether more may be read ahead of what is taken."""
        return len(self._buffer) < _MOST_AHEAD and self._house.unfinished < _MOST_UNFINISHED

    def is_turned_out(self) -> bool:
        """Whether it has made too many faults; it ends once what is open is answered."""
        return self._faults >= _MOST_FAULTS

    def receive(self, data: bytes, ended: bool = False) -> Next:
        """What has come, in any cut; lines that are whole are taken. `ended`: the client's end is behind it.

        While there is `more`, it is called again, with what has come since or nothing.
        """
        self._left = self._left or ended
        if self._shut:
            return Next.READ
        if self._skips:
            data = self._after_the_line(data)
        house = self._house
        if self.spoken and not self._buffer:
            self.since = house.now()
        self._buffer += data
        house.unfinished += len(data)
        if self.more or b"\n" in data:
            self.since = house.now()
            self._take_all(self._next_lines())
        elif self.is_turned_out():
            self._in_vain += 1
        self._mind_bounds()
        if self._in_vain > _MOST_IN_VAIN:
            house.counters.add("clients cut off")
            return Next.CLOSE
        self._mind_end()
        return Next.READ

    def _after_the_line(self, data: bytes) -> bytes:
        """What comes behind the end of the line that is skipped."""
        end = data.find(b"\n") + 1
        self._skips = not end
        return data[end:] if end else b""

    def _next_lines(self) -> list[bytes]:
        """Whole lines off the buffer, as many as belong to one turn."""
        house = self._house
        # Danger: lines that wait for their turn, on all connections at once, would fill the memory.
        most = _MOST_A_TURN if house.unfinished <= _MOST_UNFINISHED else -1
        *lines, rest = bytes(self._buffer).split(b"\n", most)
        house.unfinished -= len(self._buffer) - len(rest)
        self._buffer[:] = rest
        self.more = b"\n" in rest
        return lines

    def _take_all(self, lines: list[bytes]) -> None:
        for line in lines:
            if line.strip():
                self._take(line)

    def _mind_bounds(self) -> None:
        if not self.more and len(self._buffer) > _LONGEST_LINE:
            self.end_line()
        if self._house.unfinished > _MOST_UNFINISHED:
            self._house.end_longest_line()

    def half_line(self) -> int:
        """Bytes of a line that has begun and not ended."""
        return len(self._buffer) - (self._buffer.rfind(b"\n") + 1)

    def end_line(self) -> None:
        """Gives up the line that has begun: it has no end, or there is no room. So ends the connection."""
        self._refuse_line()
        half = self.half_line()
        del self._buffer[len(self._buffer) - half :]
        self._house.unfinished -= half
        self._skips = True
        self._mind_end()

    def _refuse_line(self) -> None:
        if not self.is_turned_out():
            self.reject(None, "a line without an end", codec.INVALID_REQUEST)
            self._turn_out()

    def _take(self, line: bytes) -> None:
        house = self._house
        if len(line) > _LONGEST_LINE:
            self._refuse_line()
            return
        try:
            number, message = codec.decode(line, house.tariffs)
        except codec.MalformedError as trouble:
            if self.is_turned_out():
                self._in_vain += 1
            else:
                self.reject(trouble.number, trouble.text, trouble.code)
            return
        self.spoken = True
        if isinstance(message, codec.Status):
            if number is not None:
                self._in_vain += self._is_behind()
                self._wire.put(codec.healthy(number))
        elif isinstance(message, codec.Withdrawal):
            house.front.withdraw(self, message.id, message.req)
        elif number in self.open:
            # Danger: an answer under this number could be taken for that to either; both are given up.
            house.front.withdraw(self, number, None)
            self.reject(number, "two requests under one id", codec.INVALID_REQUEST)
            self.reject(number, "two requests under one id", codec.INVALID_REQUEST)
        elif self._refuses():
            self._in_vain += 1
            self._wire.put(codec.denied(number, 0))
        elif len(self.open) >= _MOST_OPEN:
            self.reject(number, "too many open requests", codec.INVALID_REQUEST)
        else:
            self._in_vain = 0
            house.front.take(self, number, message)

    def _refuses(self) -> bool:
        # Danger: what is asked on a connection that is to end, or whose client has gone, would be sent on and
        # lost with the connection.
        return self._closing or self._left or self._house.closing or self._is_behind()

    def _is_behind(self) -> bool:
        # Danger: answers that a client does not read would fill the memory of all. It is read from all the
        # same: it may withdraw, or go.
        return len(self._wire.waiting) > _MOST_UNREAD

    def close(self) -> None:
        """What is open is still answered, what is asked from here on is denied; then the connection ends."""
        self._closing = True
        self._mind_end()

    def _mind_end(self) -> None:
        if self._closing and not (self.open or self.more):
            self._finish()

    def _finish(self) -> None:
        if not (self._finishing or self._shut):
            self._finishing = True
            self._wire.finish()

    def goes_on(self) -> None:
        """Asked to end, it has more to say than may be read in one go; it is asked again after that."""
        self._finishing = False
        self._house.stays(self)
        self._mind_end()

    def may_shut(self, came: bool) -> bool:
        """Asked after `finish`, once what had come has been read, in which `came` something.

        If so, what is read from now on is thrown away.
        """
        busy = self.open or self.more or self._wire.waiting
        if busy or came and not self._closing:
            self.goes_on()
            return False
        self._shut = True
        self._house.leaves(self)
        if not self._closing:
            self._house.counters.add("clients silent, closed")
        return True

    def gone(self) -> None:
        """The connection has ended; nothing it waited for is owed any more."""
        self._house.unfinished -= len(self._buffer)
        self._house.forget(self)
        self._house.front.gone(self)

    def silent_for(self, now: int) -> int:
        """How long it has said nothing beyond what it may; below 0: not yet so long, or something is open."""
        if self.open or self.more:
            return -1
        if self._wire.waiting:
            return now - self.since - _STALLED
        return now - self.since - (_IDLE if self.spoken and not self._buffer else _SILENT)

    def is_idle(self, now: int) -> bool:
        """Whether it pauses with nothing open and nothing left to write."""
        return not (self.open or self.more or self._wire.waiting) and now - self.since > _PAUSE

    def end_silence(self, surely: bool) -> None:
        """Ends it in order; unless `surely`, it stays if something turns out to have come."""
        if self._wire.waiting:
            self.cut_off()
        elif surely:
            self._house.counters.add("clients silent, closed")
            self._house.leaves(self)
            self.close()
        else:
            self._house.leaves(self)
            self._finish()

    def cut_off(self) -> None:
        """Closes at once."""
        if not self._shut:
            self._house.counters.add("clients silent, closed")
        self._house.forget(self)
        # Danger: of a crowd in one turn of the loop, each takes the place of another, whose descriptor would
        # be free only once its task has run.
        self._wire.close()

    def make_way(self) -> bool:
        """Closes at once if it is shut, or if nothing is open, to be read or to be written."""
        wire = self._wire
        if not self._shut and (self.open or self.more or wire.waiting or wire.has_more()):
            return False
        self.cut_off()
        return True


class House:
    """All connections of one door: `most()` at once, and not `many` that only stay."""

    def __init__(
        self,
        tariffs: frozenset[str],
        front: Front,
        most: Callable[[], int],
        many: int,
        now: Callable[[], int],
        counters: Counters,
        say: Callable[[str, str], None],
    ) -> None:
        self.tariffs, self.front, self.now, self.counters, self.say = tariffs, front, now, counters, say
        self._most, self._many = most, many
        self.connections: dict[Talk, None] = {}  # in the order they came
        self.leaving: dict[Talk, None] = {}  # that we end: about to be shut, or shut and not yet closed
        self.closing = False  # all that is asked from here on is denied
        self.unfinished = 0  # bytes of half lines and of lines that wait for their turn, on all connections

    def leaves(self, connection: Talk) -> None:
        self.connections.pop(connection, None)
        self.leaving[connection] = None

    def stays(self, connection: Talk) -> None:
        """It was to leave, and has something to say."""
        self.leaving.pop(connection, None)
        self.connections[connection] = None

    def forget(self, connection: Talk) -> None:
        self.connections.pop(connection, None)
        self.leaving.pop(connection, None)

    def excess(self) -> int:
        """How many connections are there beyond what there is room for; below 0: so much room is left."""
        return len(self.connections) + len(self.leaving) - self._most()

    def end_longest_line(self) -> None:
        """There is no room for all half lines."""
        longest = max(self.connections, key=Talk.half_line, default=None)
        if longest is not None and longest.half_line():
            longest.end_line()

    def close_silent(self) -> None:
        now = self.now()
        for connection in [one for one in self.connections if one.silent_for(now) >= 0]:
            connection.end_silence(surely=connection.silent_for(now) >= _DRIPS)
        # Danger: clients may hold a third of the descriptors; who stays after an answer keeps others out.
        too_many = len(self.connections) - self._many
        if too_many > 0:
            idle = [one for one in self._silent_first() if one.is_idle(now)]
            for connection in idle[:too_many]:
                connection.end_silence(surely=False)
        self._make_room()

    def _make_room(self) -> None:
        # Danger: links take descriptors as well, and leave fewer to clients than have come.
        excess = self.excess()
        for connection in self.first_to_go() if excess > 0 else ():
            if excess <= 0:
                return
            excess -= connection.make_way()

    def first_to_go(self) -> Iterator[Talk]:
        """Who makes way first: whoever leaves anyway, then who has been silent longest."""
        yield from list(self.leaving)
        yield from self._silent_first()

    def _silent_first(self) -> list[Talk]:
        """Who has been silent longest first: who never spoke before who has been answered."""
        # Danger: of a crowd that says nothing, the last may be about to send their first request. A client
        # speaks at once.
        now = self.now()
        return sorted(
            self.connections,
            key=lambda one: (one.spoken if now - one.since > _PAUSE else 2 - one.spoken, one.since),
        )
