"""Clients' sockets: accepted, read, shut, closed. What is read and when to end is talk.py's."""

from __future__ import annotations

import socket
from collections.abc import Callable, Iterator

import anyio
from anyio.abc import TaskGroup

from cresstray.clients.session import ClientSession, ConnectionRegistry, NextAction, RequestHandler
from cresstray.observability.counters import Counters
from cresstray.observability.log import Log
from cresstray.transport.streams import ENDED, SocketStream, contained

_SWEEP = 0.2
# Some ten milliseconds of accepting: what a busy loop takes for a turn anyway.
_MOST_A_TURN = 64
# Readings in one go: what is behind a request may be its client's end.
_MOST_READINGS = 16
# Between two turns of a flood, in seconds: the others' time.
_PACE = 0.002
# What a client still sends when we have shut the connection is thrown away for so long, and so many times. It
# has read our end within a round trip; one that has not by then gets a reset.
_DRAIN, _MOST_DRAINED = 1.0, 500
# Danger: a listener that is closed resets who waits in its queue: all are accepted first, and these are more.
_LONGEST_QUEUE = 4096


class ClientConnection:
    """One client's socket, with its life in `talk`."""

    def __init__(self, house: ConnectionRegistry, accepted: socket.socket, tasks: TaskGroup) -> None:
        self._counters = house.counters
        self._reading = anyio.CancelScope()  # until it is to end
        self._line = SocketStream(accepted, tasks, self._stop_reading)
        self.session = ClientSession(house, self._line)

    def _stop_reading(self) -> None:
        self._reading.cancel()

    async def run(self) -> None:
        self._counters.add("clients connected")
        try:
            with self._line:
                try:
                    if await self._live():
                        await self._drain()
                except ENDED:
                    self._counters.add("clients ended")
        finally:
            self.session.on_disconnected()

    async def _live(self) -> bool:
        """Serves until the end; whether that is ours, and our sending side is shut."""
        while True:
            with self._reading:
                await self._read()
            if self._line.is_broken or not self._reading.cancel_called:
                return False
            self._reading = anyio.CancelScope()
            if self._may_shut():
                self._line.shutdown_write()
                return True

    async def _read(self) -> None:
        """Until the connection is cut off; EndOfStream once its client has gone."""
        talk = self.session
        while True:
            data = b"" if talk.has_buffered_lines else await self._line.receive()
            data, ended = self._read_on(data)
            then = talk.receive(data, ended)
            if ended:
                raise anyio.EndOfStream
            if then is NextAction.CLOSE:
                return
            if talk.has_buffered_lines or talk.is_banned():
                await anyio.sleep(_PACE)

    def _read_on(self, data: bytes) -> tuple[bytes, bool]:
        """What has come behind it as well, and whether the client's end has."""
        # Danger: a client may write much and go; what is taken in before its end is read would be sent on.
        for _ in range(_MOST_READINGS):
            more = self._line.take() if self.session.can_read_ahead() else None
            if more is None:
                break
            if not more:
                return data, True
            data += more
        return data, False

    def _may_shut(self) -> bool:
        """Reads what has come before the sending side is shut; whether it may be."""
        talk = self.session
        data, ended = self._read_on(b"")
        then = talk.receive(data, ended) if data else NextAction.READ
        if ended or then is NextAction.CLOSE:
            raise anyio.EndOfStream
        if self._line.has_more():
            talk.resume()
            return False
        return talk.can_shut_down(came=bool(data))

    async def _drain(self) -> None:
        # Danger: a close over unread bytes resets the connection, and takes along what was written last.
        with anyio.move_on_after(_DRAIN):
            for _ in range(_MOST_DRAINED):
                await self._line.receive()
                await anyio.sleep(_PACE)


class Listener(ConnectionRegistry):
    """Where clients connect."""

    def __init__(
        self,
        request_classes: frozenset[str],
        front: RequestHandler,
        most: Callable[[], int],
        many: int,
        now: Callable[[], int],
        counters: Counters,
        log: Log,
    ) -> None:
        super().__init__(request_classes, front, most, many, now, counters, log.log)
        self._log = log
        self._listener: socket.socket | None = None
        self._tasks: TaskGroup

    async def run(self, listener: socket.socket) -> None:
        """Accepts until it is told to stop; what it accepted lives on until it is cancelled."""
        self._listener = listener
        async with anyio.create_task_group() as self._tasks:
            self._tasks.start_soon(self._sweep)
            while not self.is_closing:
                try:
                    await anyio.wait_readable(listener)
                    if not self._accept(listener):
                        # Who waits is turned to again once others have been answered.
                        self.log("listener", "no room for a client, all others have requests open")
                        await anyio.sleep(0.02)
                except BlockingIOError:
                    continue
                except anyio.ClosedResourceError:
                    return
                except OSError as trouble:
                    # Danger: out of descriptors for a moment must not end the service.
                    self.log("listener", f"can't accept: {trouble!r}")
                    await anyio.sleep(0.02)

    def stop_listening(self) -> None:
        """Takes in who waits and no more. What is asked from here on, by whomever, is denied at once."""
        self.is_closing = True
        listener = self._listener
        if listener is None:
            return
        try:
            for _ in range(_LONGEST_QUEUE // _MOST_A_TURN):
                self._accept(listener)
        except OSError:
            pass  # none waits any more, or there is no descriptor
        anyio.notify_closing(listener)
        listener.close()

    def close(self) -> None:
        """Ends all connections in order."""
        for connection in list(self.connections):
            connection.close()

    def _accept(self, listener: socket.socket) -> bool:
        """Takes in who waits; False where there is no room."""
        first_to_go = self.eviction_order()
        # Danger: a client's time runs, accepted or not. One connection a turn of a busy loop leaves the last
        # of a crowd waiting for 0.3 s; all the crowd at once keeps the others waiting.
        for _ in range(_MOST_A_TURN):
            accepted = listener.accept()[0]
            if not self._has_room(first_to_go):
                accepted.close()
                return False
            connection = ClientConnection(self, accepted, self._tasks)
            self.connections[connection.session] = None
            self._tasks.start_soon(self._serve, connection)
        return True

    def _has_room(self, first_to_go: Iterator[ClientSession]) -> bool:
        """For one more, whoever has to make way for it."""
        while self.excess_connections() >= 0:
            one = next(first_to_go, None)
            if one is None:
                return False
            one.try_evict()
        return True

    async def _serve(self, connection: ClientConnection) -> None:
        with contained("a client's connection", self.counters, self._log):
            await connection.run()

    async def _sweep(self) -> None:
        while True:
            await anyio.sleep(_SWEEP)
            with contained("the sweep of the connections", self.counters, self._log):
                self.close_idle()
