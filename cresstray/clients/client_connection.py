"""One client's socket: read, shut, closed. What is read and when to end is decided by its session."""

from __future__ import annotations

import socket

import anyio
from anyio.abc import TaskGroup

from cresstray.clients.connection_registry import ConnectionRegistry
from cresstray.clients.session import ClientSession, NextAction
from cresstray.transport.streams import ENDED, SocketStream

# Readings in one go: what is behind a request may be its client's end.
_MOST_READINGS = 16
# Between two turns of a flood, in seconds: the others' time.
_PACE = 0.002
# What a client still sends when we have shut the connection is thrown away for so long, and so many times. It
# has read our end within a round trip; one that has not by then gets a reset.
_DRAIN, _MOST_DRAINED = 1.0, 500


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
