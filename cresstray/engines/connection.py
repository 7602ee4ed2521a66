"""The sockets of links to engines: made, read, ended. What becomes of an exchange is pool.py's."""

from __future__ import annotations

import errno
import socket
from collections.abc import Callable, Mapping

import anyio
from anyio.abc import TaskGroup

from cresstray.clock import Timers
from cresstray.engines import codec
from cresstray.engines.connection_pool import AnyLink, AnyPool, Quota
from cresstray.observability.counters import Counters
from cresstray.observability.log import Log
from cresstray.transport.streams import ENDED, Line, connect, contained, tell_fault

__all__ = ["Link", "Pool", "Quota"]

# What this process or machine lacks for a connection.
_LACKING = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL))


class Link(AnyLink):
    """One connection to an engine."""

    pool: Pool

    def __init__(self, pool: Pool) -> None:
        super().__init__(pool)
        self._scope = anyio.CancelScope()

    def hang_up(self) -> None:
        self._scope.cancel()

    async def run(self) -> None:
        try:
            with contained("a link", self.pool.counters, self.pool.log), self._scope:
                await self._live()
        finally:
            self.gone()

    async def _live(self) -> None:
        made = await self._connect()
        if made is None:
            return
        with Line(made, self.pool.tasks, self._scope.cancel) as line:
            self.up(line)
            try:
                await self._read(line)
            except ENDED as trouble:
                self.pool.log.say("link", f"a link to {self.pool.label} ended: {trouble!r}")
            except codec.BrokenError as trouble:
                self.spoilt = True
                self.pool.counters.add("links spoilt")
                self.pool.log.say("link", f"a link to {self.pool.label} is dropped: {trouble}")

    async def _connect(self) -> socket.socket | None:
        with anyio.move_on_after(self.pool.connect_timeout / 1e6):
            try:
                return await connect(*self.pool.address)
            except OSError as trouble:
                # Danger: an engine would be in doubt for a lack of ours.
                self.lacking = trouble.errno in _LACKING
                self.pool.log.say("link", f"{self.pool.label} can't be reached: {trouble!r}")
                return None
        self.pool.log.say("link", f"{self.pool.label} can't be reached: no connection in time")
        return None

    async def _read(self, line: Line) -> None:
        while True:
            try:
                data = await line.receive(self.left())
            except TimeoutError:
                self.stopped()
            except ENDED:
                self.cut_short()
                raise
            self.received(data)


class Pool(AnyPool):
    """All links to one engine."""

    def __init__(
        self,
        label: str,
        address: tuple[str, int],
        settings: Mapping,
        quota: Quota,
        tasks: TaskGroup,
        timers: Timers,
        now: Callable[[], int],
        counters: Counters,
        log: Log,
    ) -> None:
        super().__init__(address, settings, quota, timers, now, counters)
        self.label, self.log, self.tasks = label, log, tasks
        self.connect_timeout = int(settings.get("Limits", {}).get("ConnectTimeout", 250) * 1000)

    def dial(self) -> Link:
        link = Link(self)
        self.tasks.start_soon(link.run)
        return link

    def fault(self, trouble: Exception) -> None:
        tell_fault(f"an exchange with {self.label}", trouble, self.counters, self.log)
