"""Clients' sockets: accepted, read, closed. What is read and when to close is talk.py's."""

from __future__ import annotations

import socket
from collections.abc import Callable

import anyio
from anyio.abc import TaskGroup

from cresstray.clients.talk import Front, House, Next, Talk
from cresstray.counters import Counters
from cresstray.log import Log
from cresstray.streams import ENDED, Line, contained

_SWEEP = 0.2
# Some ten milliseconds of accepting: what a busy loop takes for a turn anyway.
_MOST_A_TURN = 64


class Connection:
    """One client's socket, with its life in `talk`."""

    def __init__(self, house: House, accepted: socket.socket, tasks: TaskGroup) -> None:
        self._counters, self._scope = house.counters, anyio.CancelScope()
        self._line = Line(accepted, tasks, self._scope.cancel)
        self.talk = Talk(house, self._line)

    async def run(self) -> None:
        self._counters.add("clients connected")
        try:
            with self._scope, self._line:
                try:
                    await self._read(self.talk)
                except ENDED:
                    self._counters.add("clients ended")
        finally:
            self.talk.gone()

    async def _read(self, talk: Talk) -> None:
        then = Next.READ
        while then is Next.READ:
            while not talk.may_read():
                await anyio.sleep(0.01)
            then = talk.receive(await self._line.receive())
        while then is Next.ANSWER and talk.owes():
            await anyio.sleep(0.05)


class Door(House):
    """Where clients connect."""

    def __init__(
        self,
        tariffs: frozenset[str],
        front: Front,
        most: Callable[[], int],
        many: int,
        now: Callable[[], int],
        counters: Counters,
        log: Log,
    ) -> None:
        super().__init__(tariffs, front, most, many, now, counters, log.say)
        self._log = log

    async def run(self, listener: socket.socket) -> None:
        """Accepts until it is cancelled; what it accepted lives on in the same task group."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._sweep)
            while True:
                await anyio.wait_readable(listener)
                try:
                    if not self._accept(listener, tasks):
                        # Who waits is turned to again once others have been answered.
                        self.say("door", "no room for a client, all others have requests open")
                        await anyio.sleep(0.02)
                except BlockingIOError:
                    continue
                except OSError as trouble:
                    # Danger: out of descriptors for a moment must not end the service.
                    self.say("door", f"can't accept: {trouble!r}")
                    await anyio.sleep(0.02)

    def _accept(self, listener: socket.socket, tasks: TaskGroup) -> bool:
        """Takes in who waits; False where there is no room."""
        silent = None
        # Danger: a client's time runs, accepted or not. One connection a turn of a busy loop leaves the last
        # of a crowd waiting for 0.3 s; all the crowd at once keeps the others waiting.
        for _ in range(_MOST_A_TURN):
            accepted = listener.accept()[0]
            if self.is_full():
                silent = iter(self.silent_first()) if silent is None else silent
                if not any(one.drop(surely=False) for one in silent):
                    accepted.close()
                    return False
            connection = Connection(self, accepted, tasks)
            self.connections[connection.talk] = None
            tasks.start_soon(self._serve, connection)
        return True

    async def _serve(self, connection: Connection) -> None:
        with contained("a client's connection", self.counters, self._log):
            await connection.run()

    async def _sweep(self) -> None:
        while True:
            await anyio.sleep(_SWEEP)
            self.close_silent()
