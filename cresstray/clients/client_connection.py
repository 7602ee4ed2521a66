"""One client's socket: reading, shutdown and close. Its session decides what is done and when it ends."""

from __future__ import annotations

import socket

import anyio
from anyio.abc import TaskGroup

from cresstray.clients.connection_registry import ConnectionRegistry
from cresstray.clients.ports import NextAction
from cresstray.clients.session import ClientSession
from cresstray.transport.streams import CONNECTION_ENDED, SocketStream

# Reads before what was read is handled: the client's end of stream may follow right after a request.
_MAX_READS_AHEAD = 16
# Pause between two turns of a client that sends much, to give other connections their turn.
_TURN_PAUSE_S = 0.002
# After the sending side is shut down, the connection discards received data for this time and this number of
# reads at most. A client reads the end of stream within a round trip; a later one gets a reset.
_DRAIN_TIMEOUT_S = 1.0
_MAX_DRAIN_READS = 500


class ClientConnection:
    """One client's socket, and the `session` that handles what is read from it."""

    def __init__(self, registry: ConnectionRegistry, accepted: socket.socket, tasks: TaskGroup) -> None:
        self._counters = registry.counters
        self._read_scope = anyio.CancelScope()  # cancelled when the connection is to be ended
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
        """Serves until the connection ends; returns whether this side has shut down its sending side."""
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
        """Reads until the connection is to be closed at once.

        Raises:
            anyio.EndOfStream: the client has disconnected.
        """
        session = self.session
        while True:
            # No variable of this coroutine holds the data, which would be kept as long as it waits.
            if session.has_buffered_lines:
                action = self._handle(b"")
            else:
                action = self._handle(await self._stream.receive())
            if action is NextAction.CLOSE:
                return
            if session.has_buffered_lines or session.is_banned():
                await self._pause()

    def _handle(self, data: bytes) -> NextAction:
        """Handles `data` and what is available after it.

        Raises:
            anyio.EndOfStream: the client has disconnected.
        """
        data, has_ended = self._read_ahead(data)
        action = self.session.receive(data, has_ended)
        if has_ended:
            raise anyio.EndOfStream
        return action

    def _read_ahead(self, data: bytes) -> tuple[bytes, bool]:
        """Returns `data` with the data available after it, and whether the client's end of stream follows.

        A client may send many requests and disconnect. Requests handled before its end of stream is read
        would be sent to engines in vain.
        """
        for _ in range(_MAX_READS_AHEAD):
            available = self._stream.receive_available() if self.session.can_read_ahead() else None
            if available is None:
                break
            if not available:
                return data, True
            data += available
        return data, False

    def _can_shut_down(self) -> bool:
        """Handles the data available before the sending side is shut down; returns whether it may be."""
        session = self.session
        data, has_ended = self._read_ahead(b"")
        action = session.receive(data, has_ended) if data else NextAction.READ
        if has_ended or action is NextAction.CLOSE:
            raise anyio.EndOfStream
        if self._stream.has_unread() and not session.discards_unread:
            session.resume()
            return False
        return session.can_shut_down(has_received=bool(data))

    async def _drain(self) -> None:
        """Discards received data: closing with unread data would reset the connection and lose responses."""
        with anyio.move_on_after(_DRAIN_TIMEOUT_S):
            for _ in range(_MAX_DRAIN_READS):
                await self._stream.receive()
                await self._pause()

    async def _pause(self) -> None:
        """Gives other connections their turn, only a short one where little time is left."""
        await anyio.sleep(0 if self.session.discards_unread else _TURN_PAUSE_S)
