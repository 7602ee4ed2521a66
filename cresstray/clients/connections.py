"""Connections of clients: each reads lines, hands on what they ask, and writes the answers it is given."""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import Protocol

import anyio
from anyio.abc import TaskGroup

from cresstray.clients import codec
from cresstray.counters import Counters
from cresstray.log import Log
from cresstray.streams import ENDED, Line, contained

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
_SWEEP = 0.2
# Some times as long as a usual client takes to ask; in need whoever pauses longer makes room.
_PAUSE = 300_000
# Some ten milliseconds of accepting: what a busy loop takes for a turn anyway.
_MOST_A_TURN = 64


class Front(Protocol):
    """What connections hand on to. A submission is named by its connection and its id there."""

    def take(self, connection: Connection, number: int, query: codec.Query) -> None: ...
    def withdraw(self, connection: Connection, number: int | None, name: str | None) -> None: ...
    def gone(self, connection: Connection) -> None: ...


class Connection:
    """One client. `open` holds what is owed an answer here, by id."""

    def __init__(self, door: Door, accepted: socket.socket, tasks: TaskGroup) -> None:
        self._door, self._scope = door, anyio.CancelScope()
        self._line = Line(accepted, tasks, self._scope.cancel)
        self.open: dict[int, object] = {}
        self.since = door.now()  # of the connection; later of its last line or answer, or of half a line
        self.spoken = False  # whether it has sent a line that could be read
        self._buffer = bytearray()
        self._faults = 0

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
        self._door.counters.add("clients malformed")
        self._door.log.say("client", f"malformed, {code}: {text}")
        self._line.put(codec.failed(number, code, text))

    def _answer(self, number: int, line: bytes) -> None:
        del self.open[number]
        self.since = self._door.now()
        self._line.put(line)

    async def run(self) -> None:
        counters = self._door.counters
        counters.add("clients connected")
        try:
            with self._scope, self._line:
                try:
                    await self._read()
                except ENDED:
                    counters.add("clients ended")
        finally:
            self._door.unfinished -= len(self._buffer)
            self._door.connections.pop(self, None)
            self._door.front.gone(self)

    async def _read(self) -> None:
        buffer, door = self._buffer, self._door
        while True:
            while len(self._line.waiting) > _MOST_UNREAD:
                # Danger: answers that a client does not read would fill the memory of all.
                await anyio.sleep(0.01)
            data = await self._line.receive()
            if self.spoken and not buffer:
                self.since = door.now()
            before, end = len(buffer), data.rfind(b"\n")
            buffer += data
            if end >= 0:
                lines = bytes(buffer[:before + end]).split(b"\n")
                del buffer[:before + end + 1]
                self.since = door.now()
                self._take_all(lines)
            door.unfinished += len(buffer) - before
            if len(buffer) > _LONGEST_LINE or door.unfinished > _MOST_UNFINISHED:
                self.reject(None, "a line without an end", codec.INVALID_REQUEST)
                return
            if self._faults >= _MOST_FAULTS:
                # Danger: a flood of bad lines costs the others their time. What is open is still answered.
                door.counters.add("clients turned out")
                while self.open or self._line.waiting:
                    await anyio.sleep(0.05)
                return

    def _take_all(self, lines: list[bytes]) -> None:
        for line in lines:
            if self._faults >= _MOST_FAULTS:
                return
            if line.strip():
                self._take(line)

    def _take(self, line: bytes) -> None:
        try:
            number, message = codec.decode(line, self._door.tariffs)
        except codec.MalformedError as trouble:
            self.reject(trouble.number, trouble.text, trouble.code)
            return
        self.spoken = True
        if isinstance(message, codec.Status):
            if number is not None:
                self._line.put(codec.healthy(number))
        elif isinstance(message, codec.Withdrawal):
            self._door.front.withdraw(self, message.id, message.req)
        elif number in self.open:
            # Danger: an answer under this number could be taken for that to either; both are given up.
            self._door.front.withdraw(self, number, None)
            self.reject(number, "two requests under one id", codec.INVALID_REQUEST)
            self.reject(number, "two requests under one id", codec.INVALID_REQUEST)
        elif len(self.open) >= _MOST_OPEN:
            self.reject(number, "too many open requests", codec.INVALID_REQUEST)
        else:
            self._door.front.take(self, number, message)

    def close(self) -> None:
        """What has been answered is still written."""
        self._line.finish()

    def silent_for(self, now: int) -> int:
        """How long it has said nothing beyond what it may; below 0: not yet so long, or something is open."""
        if self.open:
            return -1
        return now - self.since - (_IDLE if self.spoken and not self._buffer else _SILENT)

    def drop(self, surely: bool) -> bool:
        """Ends it unless something is open or, if not `surely`, still to be read."""
        if self.open or not surely and self._line.has_more():
            return False
        self._door.counters.add("clients silent, closed")
        self._door.connections.pop(self, None)
        # Danger: of a crowd in one turn of the loop, each takes the place of another, whose descriptor would
        # be free only once its task has run.
        self._line.close()
        return True


class Door:
    """Where clients connect; `most()` connections at once, and not `many` that only stay."""

    def __init__(self, tariffs: frozenset[str], front: Front, most: Callable[[], int], many: int,
                 now: Callable[[], int], counters: Counters, log: Log) -> None:
        self.tariffs, self.front, self.now, self.counters, self.log = tariffs, front, now, counters, log
        self._most, self._many = most, many
        self.connections: dict[Connection, None] = {}  # in the order they came
        self.unfinished = 0  # bytes of half lines, on all connections

    async def run(self, listener: socket.socket) -> None:
        """Accepts until it is cancelled; what it accepted lives on in the same task group."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._sweep)
            while True:
                await anyio.wait_readable(listener)
                try:
                    if not self._accept(listener, tasks):
                        # Who waits is turned to again once others have been answered.
                        self.log.say("door", "no room for a client, all others have requests open")
                        await anyio.sleep(0.02)
                except BlockingIOError:
                    continue
                except OSError as trouble:
                    # Danger: out of descriptors for a moment must not end the service.
                    self.log.say("door", f"can't accept: {trouble!r}")
                    await anyio.sleep(0.02)

    def _accept(self, listener: socket.socket, tasks: TaskGroup) -> bool:
        """Takes in who waits; False where there is no room."""
        silent = None
        # Danger: a client's time runs, accepted or not. One connection a turn of a busy loop leaves the last
        # of a crowd waiting for 0.3 s; all the crowd at once keeps the others waiting.
        for _ in range(_MOST_A_TURN):
            accepted = listener.accept()[0]
            if len(self.connections) >= self._most():
                silent = iter(self._silent_first()) if silent is None else silent
                if not any(one.drop(surely=False) for one in silent):
                    accepted.close()
                    return False
            connection = Connection(self, accepted, tasks)
            self.connections[connection] = None
            tasks.start_soon(self._serve, connection)
        return True

    async def _serve(self, connection: Connection) -> None:
        with contained("a client's connection", self.counters, self.log):
            await connection.run()

    async def _sweep(self) -> None:
        while True:
            await anyio.sleep(_SWEEP)
            self.close_silent()

    def close_silent(self) -> None:
        now = self.now()
        for connection in [one for one in self.connections if one.silent_for(now) >= 0]:
            # What is not read within a second more is left unread on purpose.
            connection.drop(surely=connection.silent_for(now) >= 1_000_000)
        # Danger: clients may hold a third of the descriptors; who stays after an answer keeps others out.
        too_many = len(self.connections) - self._many
        if too_many > 0:
            idle = [one for one in self._silent_first() if not one.open and now - one.since > _PAUSE]
            for connection in idle[:too_many]:
                connection.drop(surely=False)

    def _silent_first(self) -> list[Connection]:
        """Who has been silent longest first: who never spoke before who has been answered."""
        # Danger: of a crowd that says nothing, the last may be about to send their first request. A client
        # speaks at once.
        now = self.now()
        return sorted(self.connections, key=lambda one: (
            one.spoken if now - one.since > _PAUSE else 2 - one.spoken, one.since))
