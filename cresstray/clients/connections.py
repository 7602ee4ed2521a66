"""Connections of clients: each reads lines, hands on what they ask, and writes the answers it is given."""

from __future__ import annotations

import socket
from typing import Protocol

import anyio

from cresstray.clients import codec
from cresstray.counters import Counters
from cresstray.log import Log
from cresstray.streams import ENDED, Line, contained

# A statement is some kilobytes; a line that is longer by far than any has no end that can be found.
_LONGEST_LINE = 1_000_000
# What a client may leave unread before nothing more is read from it: some whole results.
_MOST_UNREAD = 256 * 1024


class Front(Protocol):
    """What connections hand on to. A submission is named by its connection and its id there."""

    def take(self, connection: Connection, number: int, query: codec.Query) -> None: ...
    def withdraw(self, connection: Connection, number: int | None, name: str | None) -> None: ...
    def gone(self, connection: Connection) -> None: ...


class Connection:
    """One client. `open` holds what is owed an answer here, by id."""

    def __init__(self, door: Door, line: Line) -> None:
        self._door, self._line = door, line
        self.open: dict[int, object] = {}

    def fulfil(self, number: int, result: bytes) -> None:
        self._answer(number, codec.fulfilled(number, result))

    def deny(self, number: int, come_back: int) -> None:
        """`come_back` in microseconds."""
        self._answer(number, codec.denied(number, come_back // 1000))

    def abandon(self, number: int) -> None:
        self._answer(number, codec.failed(number, codec.ABANDONED, "failed"))

    def reject(self, number: int | None, text: str) -> None:
        """For what could be read but can't be taken in."""
        self._door.counters.add("clients malformed")
        self._line.put(codec.failed(number, codec.INVALID_PARAMS, text))

    def _answer(self, number: int, line: bytes) -> None:
        del self.open[number]
        self._line.put(line)

    async def run(self) -> None:
        counters = self._door.counters
        counters.add("clients connected")
        self._door.connections.add(self)
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._pump, tasks.cancel_scope)
                try:
                    await self._read()
                except ENDED:
                    counters.add("clients ended")
                tasks.cancel_scope.cancel()
        finally:
            self._door.connections.discard(self)
            self._door.front.gone(self)

    async def _pump(self, scope: anyio.CancelScope) -> None:
        try:
            await self._line.pump()
        except ENDED:
            self._door.counters.add("clients cut")
        scope.cancel()

    async def _read(self) -> None:
        buffer = b""
        while True:
            while len(self._line.waiting) > _MOST_UNREAD:
                # Danger: answers that a client does not read would fill the memory of all.
                await anyio.sleep(0.01)
            buffer += await self._line.receive()
            *lines, buffer = buffer.split(b"\n")
            for line in lines:
                if line.strip():
                    self._take(line)
            if len(buffer) > _LONGEST_LINE:
                self._door.log.say("client", "a line without an end, its connection is closed")
                return

    def _take(self, line: bytes) -> None:
        try:
            number, message = codec.decode(line, self._door.tariffs)
        except codec.MalformedError as trouble:
            self._door.counters.add("clients malformed")
            self._door.log.say("client", f"malformed, {trouble.code}: {trouble.text}")
            self._line.put(codec.failed(trouble.number, trouble.code, trouble.text))
            return
        if isinstance(message, codec.Status):
            if number is not None:
                self._line.put(codec.healthy(number))
        elif isinstance(message, codec.Withdrawal):
            self._door.front.withdraw(self, message.id, message.req)
        elif number in self.open:
            self._door.counters.add("clients malformed")
            self._line.put(codec.failed(number, codec.INVALID_REQUEST, "an id that is in use"))
        else:
            self._door.front.take(self, number, message)

    def close(self) -> None:
        """What has been answered is still written."""
        self._line.finish()


class Door:
    """Where clients connect."""

    def __init__(self, tariffs: frozenset[str], front: Front, counters: Counters, log: Log) -> None:
        self.tariffs, self.front, self.counters, self.log = tariffs, front, counters, log
        self.connections: set[Connection] = set()

    async def run(self, listener: socket.socket) -> None:
        """Accepts until it is cancelled; what it accepted lives on in the same task group."""
        async with anyio.create_task_group() as tasks:
            while True:
                await anyio.wait_readable(listener)
                try:
                    # Danger: a client's time runs, accepted or not. One connection a turn of a busy loop
                    # leaves the last of a crowd waiting for 0.3 s; all that wait are taken at once.
                    while True:
                        tasks.start_soon(self._serve, listener.accept()[0])
                except BlockingIOError:
                    continue
                except OSError as trouble:
                    # Danger: out of descriptors for a moment must not end the service.
                    self.log.say("door", f"can't accept: {trouble!r}")
                    self._make_room()
                    await anyio.sleep(0.02)

    async def _serve(self, accepted: socket.socket) -> None:
        with contained("a client's connection", self.counters, self.log), accepted:
            await Connection(self, Line(accepted)).run()

    def _make_room(self) -> None:
        idle = next((one for one in self.connections if not one.open), None)
        if idle is not None:
            idle.close()
