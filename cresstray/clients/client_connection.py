"""One client's socket: reading, shutdown and close. Its session decides what is done and when it ends."""

from __future__ import annotations

import socket

import anyio
from anyio.abc import TaskGroup

from cresstray.clients.connection_registry import ConnectionRegistry
from cresstray.clients.ports import NextAction
from cresstray.clients.session import ClientSession
from cresstray.transport.streams import CONNECTION_ENDED, SocketStream

# Requests are mostly shorter. Whoever has sent more waits for a turn.
_USUAL_BYTES = 4096
# What one turn reads at most: as many requests as may be open at once, with statements as long as the longest
# result.
_MAX_READ_AHEAD_BYTES = 2 * 1024 * 1024
# After the sending side is shut down, the connection discards received data for this time and this number of
# reads at most. A client reads the end of stream within a round trip; a later one gets a reset.
_DRAIN_TIMEOUT_S = 1.0
_MAX_DRAIN_READS = 500
# How often it is checked whether a client has read its responses, while memory is scarce.
_UNREAD_CHECK_S = 0.05


class ClientConnection:
    """One client's socket, and the `session` that handles what is read from it."""

    def __init__(self, registry: ConnectionRegistry, accepted: socket.socket, tasks: TaskGroup) -> None:
        self._counters = registry.counters
        self._now_us = registry.now_us
        self._turns = registry.turns
        self._read_scope = anyio.CancelScope()  # cancelled to end the wait for data
        self._is_waiting_for_data = False
        self._has_more = False  # whether the client has probably sent more than one turn handles
        self._stream = SocketStream(accepted, tasks, self._stop_reading)
        self.session = ClientSession(registry, self._stream, self._find_end_of_stream)

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
            if not self.session.is_finishing:
                continue
            if self._stream.available_bytes(_USUAL_BYTES + 1) > _USUAL_BYTES:
                await self._wait_for_turn()
            if self._can_shut_down():
                self._stream.shutdown_write()
                return True
            await self._wait_for_turn()

    async def _read(self) -> None:
        """Reads until the connection is to be closed at once.

        Raises:
            anyio.EndOfStream: the client has disconnected.
        """
        session = self.session
        while True:
            if not session.has_buffered_lines:
                await self._wait_for_data()
            if self._has_more or self._turns.must_all_wait:
                await self._wait_for_turn(self._has_more)
            while session.must_read_responses():
                self._note_unread()
                await anyio.sleep(_UNREAD_CHECK_S)
            if self._take_turn() is NextAction.CLOSE:
                return

    async def _wait_for_data(self) -> None:
        """Waits until something can be read, which is left to the turn: a waiting connection holds nothing.

        Raises:
            anyio.ClosedResourceError: the connection was closed on this side.
        """
        self._is_waiting_for_data = True
        try:
            await self._stream.wait_for_data()
        finally:
            self._is_waiting_for_data = False
        if self._turns.must_large_wait and not self._has_more:
            available_bytes = self._stream.available_bytes(_USUAL_BYTES + 1)
            self._has_more = self.session.partial_line_bytes() + available_bytes > _USUAL_BYTES

    def _take_turn(self) -> NextAction:
        """Reads ahead, and handles the lines of one turn.

        Raises:
            anyio.EndOfStream: the client has disconnected, and all that it sent is handled.
        """
        session = self.session
        began_us = self._now_us()
        received_bytes = session.received_bytes
        had_more = self._has_more
        self._read_ahead()
        action = session.handle_buffered()
        self._has_more = session.has_buffered_lines or session.is_backlogged or session.is_banned()
        is_large = had_more or self._has_more or session.received_bytes - received_bytes > _USUAL_BYTES
        self._turns.on_turn(session.turn_share, began_us, session.fruitless_part, is_large)
        if session.is_disconnected and not session.has_buffered_lines:
            raise anyio.EndOfStream
        return action

    def _read_ahead(self) -> None:
        """Buffers what the client has sent, as far as the limits of the buffers allow.

        A client may send many requests and disconnect. Handled before its end of stream is read, they would
        be sent to engines in vain.
        """
        session = self.session
        session.is_backlogged = False
        unread_since_us = self._note_unread()
        end_bytes = session.received_bytes + _MAX_READ_AHEAD_BYTES
        max_bytes = session.max_read_bytes()
        while max_bytes and session.received_bytes < end_bytes:
            data = self._stream.receive_available(max_bytes)
            if data is None:
                session.unread_since_us = None
                return
            if not data:
                session.is_disconnected = True
                return
            session.buffer(data, unread_since_us)
            if len(data) == max_bytes or len(data) > _USUAL_BYTES:
                max_bytes = session.max_read_bytes()
        session.is_backlogged = self._stream.has_unread()
        if not session.is_backlogged:
            session.unread_since_us = None

    def _note_unread(self) -> int:
        """Returns since when the kernel may hold what is read next: from now on, unless it was before."""
        session = self.session
        if session.unread_since_us is None:
            session.unread_since_us = self._now_us()
        return session.unread_since_us

    def _find_end_of_stream(self) -> None:
        """Reads ahead between two turns, to find out whether the client has disconnected."""
        self._read_ahead()
        if self._is_waiting_for_data:
            self._read_scope.cancel()  # what was read is to be handled

    def _can_shut_down(self) -> bool:
        """Handles the data available before the sending side is shut down; returns whether it may be.

        Raises:
            anyio.EndOfStream: the client has disconnected, or the connection is to be closed at once.
        """
        session = self.session
        received_bytes = session.received_bytes
        if not session.discards_unread:
            self._read_ahead()
        has_received = session.received_bytes > received_bytes
        if has_received:
            began_us = self._now_us()
            action = session.handle_buffered()
            self._turns.on_turn(session.turn_share, began_us, session.fruitless_part, is_large=True)
            if action is NextAction.CLOSE:
                raise anyio.EndOfStream
        if session.is_disconnected and not session.has_buffered_lines:
            raise anyio.EndOfStream
        if session.is_backlogged and not session.may_end_unread:
            session.resume()
            return False
        return session.can_shut_down(has_received)

    async def _drain(self) -> None:
        """Discards received data: closing with unread data would reset the connection and lose responses."""
        with anyio.move_on_after(_DRAIN_TIMEOUT_S):
            for _ in range(_MAX_DRAIN_READS):
                await self._stream.receive()
                await self._wait_for_turn()

    async def _wait_for_turn(self, is_large: bool = True) -> None:
        """Gives other connections their turn, only a short one where little time is left.

        Raises:
            anyio.ClosedResourceError: the connection was closed on this side.
        """
        self._note_unread()
        if self.session.discards_unread:
            await anyio.sleep(0)
        else:
            await self._turns.wait(self.session.turn_share, is_large)
        if not self._stream.is_open():
            raise anyio.ClosedResourceError
