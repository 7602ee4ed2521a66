"""One client's socket: read, shut down, closed. Its session decides what is done and when it ends."""

from __future__ import annotations

import socket

import anyio
from anyio.abc import TaskGroup

from cresstray.clients.connection_registry import ConnectionRegistry
from cresstray.clients.session import ClientSession, NextAction
from cresstray.transport.streams import CONNECTION_ENDED, SocketStream

# Reads ahead of one handling: the client's end may come right behind a request.
_MAX_READS_AHEAD = 16
# Pause between two turns of a client that sends much, for the other connections.
_TURN_PAUSE_S = 0.002
# After its sending side is shut, a connection discards what comes for so long, and so many reads. A client
# has read the end within a round trip; one that has not by then gets a reset.
_DRAIN_TIMEOUT_S = 1.0
_MAX_DRAIN_READS = 500


class ClientConnection:
    """One client's socket, with the `session` that it serves."""

    def __init__(self, registry: ConnectionRegistry, accepted: socket.socket, tasks: TaskGroup) -> None:
        self._counters = registry.counters
        self._read_scope = anyio.CancelScope()  # cancelled when the session is to end
        self._stream = SocketStream(accepted, tasks, self._stop_reading)
        self.session = ClientSession(registry, self._stream)

    def _stop_reading(self) -> None:
        self._read_scope.cancel()

    async def run(self) -> None:
        """Serves the client until its connection has ended."""
        self._counters.add("clients connected")
        try:
            with self._stream:
                try:
                    if await self._serve():
                        await self._drain()
                except CONNECTION_ENDED:
                    self._counters.add("clients ended")
        finally:
            self.session.on_disconnected()

    async def _serve(self) -> bool:
        """Serves until the end; whether this side ends it, and its sending side is shut."""
        while True:
            with self._read_scope:
                await self._read()
            if self._stream.is_broken or not self._read_scope.cancel_called:
                return False
            self._read_scope = anyio.CancelScope()
            if self._can_shut_down():
                self._stream.shutdown_write()
                return True

    async def _read(self) -> None:
        """Reads until the connection is to be cut off.

        Raises:
            anyio.EndOfStream: the client has disconnected.
        """
        session = self.session
        while True:
            data = b"" if session.has_buffered_lines else await self._stream.receive()
            data, ended = self._read_ahead(data)
            action = session.receive(data, ended)
            if ended:
                raise anyio.EndOfStream
            if action is NextAction.CLOSE:
                return
            if session.has_buffered_lines or session.is_banned():
                await anyio.sleep(_TURN_PAUSE_S)

    def _read_ahead(self, data: bytes) -> tuple[bytes, bool]:
        """Returns `data` with what has come behind it, and whether the client's end has.

        A client may send much and disconnect: what is handled before its end is read would be sent on.
        """
        for _ in range(_MAX_READS_AHEAD):
            more = self._stream.receive_available() if self.session.can_read_ahead() else None
            if more is None:
                break
            if not more:
                return data, True
            data += more
        return data, False

    def _can_shut_down(self) -> bool:
        """Reads what has come before the sending side is shut; whether it may be."""
        session = self.session
        data, ended = self._read_ahead(b"")
        action = session.receive(data, ended) if data else NextAction.READ
        if ended or action is NextAction.CLOSE:
            raise anyio.EndOfStream
        if self._stream.has_unread():
            session.resume()
            return False
        return session.can_shut_down(has_received=bool(data))

    async def _drain(self) -> None:
        """Discards what still comes: closing over unread bytes would reset it and lose the last responses."""
        with anyio.move_on_after(_DRAIN_TIMEOUT_S):
            for _ in range(_MAX_DRAIN_READS):
                await self._stream.receive()
                await anyio.sleep(_TURN_PAUSE_S)
