"""The sockets of links to engines: made, read, ended. What becomes of an exchange is pool.py's."""

from __future__ import annotations

import errno
import socket
from collections.abc import Callable, Mapping

import anyio
from anyio.abc import TaskGroup

from cresstray.clock import Timers
from cresstray.engines import codec
from cresstray.engines.connection_pool import ConnectionPool, DescriptorQuota
from cresstray.engines.connection_state import EngineConnection
from cresstray.observability.counters import Counters
from cresstray.observability.log import Log
from cresstray.transport.streams import ENDED, SocketStream, connect, contained, tell_fault

__all__ = ["SocketConnection", "SocketConnectionPool", "DescriptorQuota"]

# What this process or machine lacks for a connection.
_LACKING = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL))


class SocketConnection(EngineConnection):
    """One connection to an engine."""

    pool: SocketConnectionPool

    def __init__(self, pool: SocketConnectionPool) -> None:
        super().__init__(pool)
        self._scope = anyio.CancelScope()

    def abort(self) -> None:
        self._scope.cancel()

    async def run(self) -> None:
        try:
            with contained("a link", self.pool.counters, self.pool.log), self._scope:
                await self._live()
        finally:
            self.on_closed()

    async def _live(self) -> None:
        made = await self._connect()
        if made is None:
            return
        with SocketStream(made, self.pool.tasks, self._scope.cancel) as line:
            self.on_connected(line)
            try:
                await self._read(line)
            except ENDED as trouble:
                self.pool.log.log("link", f"a link to {self.pool.label} ended: {trouble!r}")
            except codec.EngineProtocolError as trouble:
                self.is_corrupt = True
                self.pool.counters.add("links spoilt")
                self.pool.log.log("link", f"a link to {self.pool.label} is dropped: {trouble}")

    async def _connect(self) -> socket.socket | None:
        with anyio.move_on_after(self.pool.connect_timeout / 1e6):
            try:
                return await connect(*self.pool.address)
            except OSError as trouble:
                # Danger: an engine would be in doubt for a lack of ours.
                self.is_out_of_descriptors = trouble.errno in _LACKING
                self.pool.log.log("link", f"{self.pool.label} can't be reached: {trouble!r}")
                return None
        self.pool.log.log("link", f"{self.pool.label} can't be reached: no connection in time")
        return None

    async def _read(self, line: SocketStream) -> None:
        while True:
            try:
                data = await line.receive(self.seconds_left())
            except TimeoutError:
                self.on_stalled()
            except ENDED:
                self.on_end_of_stream()
                raise
            self.on_received(data)


class SocketConnectionPool(ConnectionPool):
    """All links to one engine."""

    def __init__(
        self,
        label: str,
        address: tuple[str, int],
        settings: Mapping,
        quota: DescriptorQuota,
        tasks: TaskGroup,
        timers: Timers,
        now: Callable[[], int],
        counters: Counters,
        log: Log,
    ) -> None:
        super().__init__(address, settings, quota, timers, now, counters)
        self.label, self.log, self.tasks = label, log, tasks
        self.connect_timeout = int(settings.get("Limits", {}).get("ConnectTimeout", 250) * 1000)

    def connect(self) -> SocketConnection:
        link = SocketConnection(self)
        self.tasks.start_soon(link.run)
        return link

    def on_fault(self, trouble: Exception) -> None:
        tell_fault(f"an exchange with {self.label}", trouble, self.counters, self.log)
