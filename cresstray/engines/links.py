"""Links to engines: one pool for each engine, some connections in it, many exchanges on each.

A link belongs to its engine, not to an address. What becomes of an exchange is told to its keeper once.
"""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import Protocol

import anyio
from anyio.abc import TaskGroup

from cresstray.clock import Timers
from cresstray.counters import Counters
from cresstray.engines import codec
from cresstray.log import Log
from cresstray.streams import ENDED, Line, connect, contained


class Keeper(Protocol):
    """Who is told of an exchange. After `refused` and `cut` nothing more comes of it."""

    def answered(self, exchange: Exchange, answer: codec.Answer) -> None: ...
    def unreached(self, exchange: Exchange) -> None: ...
    def cut(self, exchange: Exchange) -> None: ...


class Exchange:
    """One request on one link, from its first byte to its end or until it is given up."""

    __slots__ = ("name", "message", "keeper", "link", "written", "pages", "relay", "due")

    def __init__(self, name: bytes, message: bytes, keeper: Keeper, relay: object) -> None:
        self.name, self.message, self.keeper, self.relay = name, message, keeper, relay
        self.link: Link | None = None
        self.written = False
        self.pages = None  # of its result, once the first has come
        self.due = None  # the call at its time limit


class Link:
    """One connection to an engine."""

    def __init__(self, pool: Pool) -> None:
        self.pool = pool
        self.open: dict[bytes, Exchange] = {}
        # Danger: an answer that crosses its QUIT would be taken for that of a second relay of the same name.
        # A name once given up is not used again on this link, and what still comes under it is dropped.
        self.given_up: set[bytes] = set()
        self.ended = self.retired = False
        self.idle_since = 0
        self.line: Line | None = None  # once it is up
        self._scope = anyio.CancelScope()

    def room_for(self, name: bytes) -> bool:
        return not (self.ended or self.retired or len(self.open) >= self.pool.streams or name in self.open
                    or name in self.given_up)

    def start(self, exchange: Exchange) -> None:
        exchange.link = self
        self.open[exchange.name] = exchange
        if self.line is not None:
            self._write(exchange)

    def _write(self, exchange: Exchange) -> None:
        exchange.written = True
        self.line.put(exchange.message)

    def send(self, message: bytes) -> None:
        self.line.put(message)

    def finish(self, exchange: Exchange) -> None:
        """All that was to come has come."""
        del self.open[exchange.name]
        self._mind_idle()

    def give_up(self, exchange: Exchange) -> None:
        """Whatever comes under this name from now on is dropped."""
        del self.open[exchange.name]
        if exchange.written:
            self.given_up.add(exchange.name)
            self.send(codec.quit_(exchange.name) if exchange.pages is None else codec.free(exchange.name))
            # Danger: names given up pile up on a link that lives for days; some hundred are no burden.
            self.retired = self.retired or len(self.given_up) >= 500
        self._mind_idle()

    def _mind_idle(self) -> None:
        if not self.open:
            self.idle_since = self.pool.now()
            if self.retired:
                self.close()

    def retire(self) -> None:
        """Takes no new exchange; closed once the last one has ended."""
        self.retired = True
        self._mind_idle()

    def close(self) -> None:
        self.ended = True
        self._scope.cancel()

    async def run(self) -> None:
        try:
            with contained("a link", self.pool.counters, self.pool.log), self._scope:
                await self._live()
        finally:
            self.ended = True
            self.pool.links.remove(self)
            left, self.open = list(self.open.values()), {}
            for exchange in left:
                (exchange.keeper.cut if exchange.written else exchange.keeper.unreached)(exchange)

    async def _live(self) -> None:
        made = await self._connect()
        if made is None:
            return
        with Line(made) as self.line:
            for exchange in self.open.values():
                self._write(exchange)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._pump, self.line)
                try:
                    await self._read(self.line)
                except ENDED as trouble:
                    self.pool.log.say("link", f"a link to {self.pool.label} ended: {trouble!r}")
                except codec.BrokenError as trouble:
                    self.pool.log.say("link", f"a link to {self.pool.label} is dropped: {trouble}")
                self._scope.cancel()

    async def _connect(self) -> socket.socket | None:
        with anyio.move_on_after(self.pool.connect_timeout / 1e6):
            try:
                return await connect(*self.pool.address)
            except OSError as trouble:
                self.pool.log.say("link", f"{self.pool.label} can't be reached: {trouble!r}")
                return None
        self.pool.log.say("link", f"{self.pool.label} can't be reached: no connection in time")
        return None

    async def _pump(self, line: Line) -> None:
        try:
            await line.pump()
        except ENDED as trouble:
            self.pool.log.say("link", f"a link to {self.pool.label} takes nothing more: {trouble!r}")
            self._scope.cancel()

    async def _read(self, line: Line) -> None:
        answers = codec.Answers()
        while True:
            for answer in answers.feed(await line.receive()):
                exchange = self.open.get(answer.name)
                if exchange is not None:
                    exchange.keeper.answered(exchange, answer)
                elif answer.name not in self.given_up:
                    raise codec.BrokenError(f"an answer to {answer.name[:40]!r}, which is not open")


class Pool:
    """All links to one engine."""

    def __init__(self, label: str, address: tuple[str, int], settings: dict, tasks: TaskGroup, timers: Timers,
                 now: Callable[[], int], counters: Counters, log: Log) -> None:
        limits = settings.get("Limits", {})
        self.label, self.address, self.now = label, address, now
        self.counters, self.log = counters, log
        self.streams = max(1, limits.get("StreamsPerConn", 32))
        self.connect_timeout = int(limits.get("ConnectTimeout", 250) * 1000)
        # Danger: a request may cross the engine's own close of an idle link, so ours comes well before.
        self._idle = int(limits.get("ConnIdle", 15000) * 1000) * 2 // 3
        self.links: list[Link] = []
        self._last: Link | None = None  # that took an exchange, and likely has room for the next
        self._tasks, self._timers = tasks, timers
        self._swept = False

    def start(self, exchange: Exchange) -> None:
        link = self._last
        if link is None or not link.room_for(exchange.name):
            link = next((link for link in self.links if link.room_for(exchange.name)), None) or self._add()
            self._last = link
        link.start(exchange)
        if not self._swept:
            self._swept = True
            self._timers.after(self._idle, self._sweep)

    def _add(self) -> Link:
        link = Link(self)
        self.links.append(link)
        self._tasks.start_soon(link.run)
        return link

    def move(self, address: tuple[str, int]) -> None:
        """The engine has started anew, maybe elsewhere: what runs may end, new work takes new links."""
        self.address = address
        self.retire()

    def retire(self) -> None:
        for link in list(self.links):
            link.retire()

    def _sweep(self, now: int) -> None:
        for link in list(self.links):
            if not link.open and now - link.idle_since >= self._idle:
                link.close()
        self._swept = bool(self.links)
        if self._swept:
            self._timers.after(self._idle // 4, self._sweep)
