"""Connections to engines over sockets. EngineConnection, free of I/O, decides what each event means."""

from __future__ import annotations

import errno
import socket
from collections.abc import Callable, Mapping
from typing import Any

import anyio
from anyio.abc import TaskGroup

from cresstray.clock import Timers
from cresstray.engines import codec
from cresstray.engines.connection_pool import ConnectionPool, DescriptorQuota
from cresstray.engines.connection_state import EngineConnection
from cresstray.observability.counters import Counters
from cresstray.observability.log import Log
from cresstray.transport.streams import CONNECTION_ENDED, SocketStream, connect, faults_contained, log_fault

__all__ = ["SocketConnection", "SocketConnectionPool", "DescriptorQuota"]

# Shortages of this process or machine that prevent a connection; they are no evidence against the engine.
_LOCAL_SHORTAGE_ERRNOS = frozenset(
    (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL)
)
_DEFAULT_CONNECT_TIMEOUT_MS = 250


class SocketConnection(EngineConnection):
    """One connection to an engine over a socket."""

    pool: SocketConnectionPool

    def __init__(self, pool: SocketConnectionPool) -> None:
        super().__init__(pool)
        self._scope = anyio.CancelScope()

    def abort(self) -> None:
        """Ends the connection or the attempt to connect."""
        self._scope.cancel()

    async def run(self) -> None:
        """Connects and reads until the connection has ended."""
        try:
            with (
                faults_contained("a connection to an engine", self.pool.counters, self.pool.log),
                self._scope,
            ):
                await self._serve()
        finally:
            self.on_closed()

    async def _serve(self) -> None:
        connected_socket = await self._connect()
        if connected_socket is None:
            return
        with SocketStream(connected_socket, self.pool.tasks, self._scope.cancel) as stream:
            self.on_connected(stream)
            try:
                await self._read(stream)
            except CONNECTION_ENDED as error:
                self.pool.log.log("connection", f"a connection to {self.pool.label} ended: {error!r}")
            except codec.EngineProtocolError as error:
                self.is_corrupt = True
                self.pool.counters.add("engine connections corrupt")
                self.pool.log.log("connection", f"a connection to {self.pool.label} is dropped: {error}")

    async def _connect(self) -> socket.socket | None:
        with anyio.move_on_after(self.pool.connect_timeout_us / 1e6):
            try:
                return await connect(*self.pool.address)
            except OSError as error:
                self.is_out_of_descriptors = error.errno in _LOCAL_SHORTAGE_ERRNOS
                self.pool.log.log("connection", f"{self.pool.label} can't be reached: {error!r}")
                return None
        self.pool.log.log("connection", f"{self.pool.label} can't be reached: no connection in time")
        return None

    async def _read(self, stream: SocketStream) -> None:
        while True:
            try:
                data = await stream.receive(self.seconds_left())
            except TimeoutError:
                self.on_stalled()
            except CONNECTION_ENDED:
                self.on_end_of_stream()
                raise
            self.on_received(data)


class SocketConnectionPool(ConnectionPool):
    """All connections to one engine, over sockets.

    Attributes:
        label: names the engine in log lines.
        connect_timeout_us: an attempt to connect fails after it, in microseconds.
    """

    def __init__(
        self,
        label: str,
        address: tuple[str, int],
        settings: Mapping[str, Any],
        quota: DescriptorQuota,
        tasks: TaskGroup,
        timers: Timers,
        now_us: Callable[[], int],
        counters: Counters,
        log: Log,
    ) -> None:
        super().__init__(address, settings, quota, timers, now_us, counters)
        self.label = label
        self.log = log
        self.tasks = tasks
        limits = settings.get("Limits", {})
        self.connect_timeout_us = int(limits.get("ConnectTimeout", _DEFAULT_CONNECT_TIMEOUT_MS) * 1000)

    def connect(self) -> SocketConnection:
        """Starts to connect; returns the connection at once."""
        connection = SocketConnection(self)
        self.tasks.start_soon(connection.run)
        return connection

    def on_fault(self, error: Exception) -> None:
        """Logs and counts an exception of the gateway's own code while it handled one request."""
        log_fault(f"a request to {self.label}", error, self.counters, self.log)
