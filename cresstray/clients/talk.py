"""The life of clients' connections: what they ask, what they are owed, and who makes room. Free of I/O.

A connection hands in what it read, and is told whether to read on; what goes out are straight calls on its
wire. `House` has what all connections of one door share.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from typing import Protocol

from cresstray.clients import codec
from cresstray.counters import Counters

# A statement is some kilobytes, and a line that is longer by far than any has no end that can be found.
_LONGEST_LINE = 256 * 1024
# Danger: lines that never end, on all connections at once, would fill the memory.
_MOST_UNFINISHED = 2 * 1024 * 1024
# What a client may leave unread before nothing more is read from it: some whole results.
_MOST_UNREAD = 256 * 1024
# Open requests on a connection, as the protocol has it.
_MOST_OPEN = 32
# One mistake may happen to any client; whoever makes ten on a connection does not speak the protocol.
_MOST_FAULTS = 10
# A client that has not said a whole line by then is owed a close within three seconds of connecting. One that
# has been answered closes after four seconds by itself, so ours does not cross its next request.
_SILENT, _IDLE = 2_200_000, 5_000_000
# Some times as long as a usual client takes to ask; in need whoever pauses longer makes room.
_PAUSE = 300_000


class Front(Protocol):
    """What connections hand on to. A submission is named by its connection and its id there."""

    def take(self, connection: Talk, number: int, query: codec.Query) -> None: ...
    def withdraw(self, connection: Talk, number: int | None, name: str | None) -> None: ...
    def gone(self, connection: Talk) -> None: ...


class Wire(Protocol):
    """What a connection is written to; streams.Line is one. `put` takes all, now or by and by."""

    waiting: bytearray  # put, and not yet taken by the other side

    def put(self, message: bytes) -> object: ...
    def finish(self) -> None: ...
    def close(self) -> None: ...
    def has_more(self) -> bool: ...


class Next(Enum):
    """What the connection is to do after it has handed in what it read."""

    READ = "read on"
    ANSWER = "close once nothing is owed"
    CLOSE = "close"


class Talk:
    """One client. `open` holds what is owed an answer here, by id."""

    def __init__(self, house: House, wire: Wire) -> None:
        self._house, self._wire = house, wire
        self.open: dict[int, object] = {}
        self.since = house.now()  # of the connection; later of its last line or answer, or of half a line
        self.spoken = False  # whether it has sent a line that could be read
        self._buffer = bytearray()
        self._faults = 0
        self._closing = False

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

    def _answer(self, number: int, line: bytes) -> None:
        del self.open[number]
        self.since = self._house.now()
        self._wire.put(line)

    def may_read(self) -> bool:
        # Danger: answers that a client does not read would fill the memory of all.
        return len(self._wire.waiting) <= _MOST_UNREAD

    def owes(self) -> bool:
        """Whether an answer is still to be given or to be written."""
        return bool(self.open or self._wire.waiting)

    def receive(self, data: bytes) -> Next:
        """What has come, in any cut; lines that are whole are taken."""
        buffer, house = self._buffer, self._house
        if self.spoken and not buffer:
            self.since = house.now()
        before, end = len(buffer), data.rfind(b"\n")
        buffer += data
        if end >= 0:
            lines = bytes(buffer[: before + end]).split(b"\n")
            del buffer[: before + end + 1]
            self.since = house.now()
            self._take_all(lines)
        house.unfinished += len(buffer) - before
        if len(buffer) > _LONGEST_LINE or house.unfinished > _MOST_UNFINISHED:
            self.reject(None, "a line without an end", codec.INVALID_REQUEST)
            return Next.CLOSE
        if self._faults >= _MOST_FAULTS:
            # Danger: a flood of bad lines costs the others their time. What is open is still answered.
            house.counters.add("clients turned out")
            return Next.ANSWER
        return Next.READ

    def _take_all(self, lines: list[bytes]) -> None:
        for line in lines:
            if self._faults >= _MOST_FAULTS:
                return
            if line.strip():
                self._take(line)

    def _take(self, line: bytes) -> None:
        house = self._house
        try:
            number, message = codec.decode(line, house.tariffs)
        except codec.MalformedError as trouble:
            self.reject(trouble.number, trouble.text, trouble.code)
            return
        self.spoken = True
        if isinstance(message, codec.Status):
            if number is not None:
                self._wire.put(codec.healthy(number))
        elif isinstance(message, codec.Withdrawal):
            house.front.withdraw(self, message.id, message.req)
        elif number in self.open:
            # Danger: an answer under this number could be taken for that to either; both are given up.
            house.front.withdraw(self, number, None)
            self.reject(number, "two requests under one id", codec.INVALID_REQUEST)
            self.reject(number, "two requests under one id", codec.INVALID_REQUEST)
        elif len(self.open) >= _MOST_OPEN:
            self.reject(number, "too many open requests", codec.INVALID_REQUEST)
        elif self._closing:
            # Danger: while a slow client reads its last answers, what it asks would be sent on, and lost with
            # the connection.
            self._wire.put(codec.denied(number, 0))
        else:
            house.front.take(self, number, message)

    def close(self) -> None:
        """What has been answered is still written; what is asked from here on is denied."""
        self._closing = True
        self._wire.finish()

    def gone(self) -> None:
        """The connection has ended; nothing it waited for is owed any more."""
        self._house.unfinished -= len(self._buffer)
        self._house.connections.pop(self, None)
        self._house.front.gone(self)

    def silent_for(self, now: int) -> int:
        """How long it has said nothing beyond what it may; below 0: not yet so long, or something is open."""
        if self.open:
            return -1
        return now - self.since - (_IDLE if self.spoken and not self._buffer else _SILENT)

    def drop(self, surely: bool) -> bool:
        """Ends it unless something is open or, if not `surely`, still to be read."""
        if self.open or not surely and self._wire.has_more():
            return False
        self._house.counters.add("clients silent, closed")
        self._house.connections.pop(self, None)
        # Danger: of a crowd in one turn of the loop, each takes the place of another, whose descriptor would
        # be free only once its task has run.
        self._wire.close()
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
        self.unfinished = 0  # bytes of half lines, on all connections

    def is_full(self) -> bool:
        return len(self.connections) >= self._most()

    def close_silent(self) -> None:
        now = self.now()
        for connection in [one for one in self.connections if one.silent_for(now) >= 0]:
            # What is not read within a second more is left unread on purpose.
            connection.drop(surely=connection.silent_for(now) >= 1_000_000)
        # Danger: clients may hold a third of the descriptors; who stays after an answer keeps others out.
        too_many = len(self.connections) - self._many
        if too_many > 0:
            idle = [one for one in self.silent_first() if not one.open and now - one.since > _PAUSE]
            for connection in idle[:too_many]:
                connection.drop(surely=False)

    def silent_first(self) -> list[Talk]:
        """Who has been silent longest first: who never spoke before who has been answered."""
        # Danger: of a crowd that says nothing, the last may be about to send their first request. A client
        # speaks at once.
        now = self.now()
        return sorted(
            self.connections,
            key=lambda one: (one.spoken if now - one.since > _PAUSE else 2 - one.spoken, one.since),
        )
