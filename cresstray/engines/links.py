"""Links to engines: one pool for each engine, with as many connections as it has exchanges, if there is room.

A link belongs to its engine, not to an address. What becomes of an exchange is told to its keeper once.
"""

from __future__ import annotations

import socket
from collections.abc import Callable, Mapping

import anyio
from anyio.abc import TaskGroup

from cresstray.clock import Timers
from cresstray.counters import Counters
from cresstray.engines import codec
from cresstray.engines.exchanges import Exchange, Exchanges, Fate
from cresstray.log import Log
from cresstray.streams import ENDED, Line, connect, contained

# An answer comes in one piece; the rest of one that was begun is not late by a quarter of a second.
_HALF_WAY = 250_000
class Link:
    """One connection to an engine."""

    def __init__(self, pool: Pool) -> None:
        self.pool = pool
        self.life = Exchanges(pool.streams)
        self._spoilt = False
        self.idle_since = 0
        self.line: Line | None = None  # once it is up
        self._scope = anyio.CancelScope()

    def start(self, exchange: Exchange) -> bool:
        """False where the link proves dead: then nothing of the exchange has left."""
        # Danger: what is written to a link that the other side has closed is lost, and may have run.
        if self.line is not None and not self.life.open and self.line.has_ended():
            self.close()
            return False
        exchange.link = self
        self.pool.quota.idle.pop(self, None)
        self.life.begin(exchange)
        if self.line is not None:
            self._write(exchange)
        return True

    def _write(self, exchange: Exchange) -> None:
        self.life.wrote(exchange, self.line.put(exchange.message))

    def send(self, message: bytes) -> None:
        self.line.put(message)

    def finish(self, exchange: Exchange) -> None:
        """All that was to come has come."""
        self.life.finish(exchange)
        self._mind_idle()

    def give_up(self, exchange: Exchange) -> bool:
        """What comes under this name from now on is dropped. True: the engine hears of it before the next."""
        told = self.life.give_up(exchange)
        if told is not None:
            self.send(told)
        self._mind_idle()
        return True

    def _mind_idle(self) -> None:
        if not self.life.open:
            self.idle_since = self.pool.now()
            if self.life.retired:
                self.close()
            elif not self.life.ended:
                self.pool.quota.idle[self] = None

    def retire(self) -> None:
        """Takes no new exchange; closed once the last one has ended."""
        self.life.retired = True
        self._mind_idle()

    def close(self) -> None:
        self.life.ended = True
        self.pool.quota.idle.pop(self, None)
        self._scope.cancel()

    async def run(self) -> None:
        try:
            with contained("a link", self.pool.counters, self.pool.log), self._scope:
                await self._live()
        finally:
            self.life.ended = True
            self.pool.quota.idle.pop(self, None)
            self.pool.removed(self)
            for exchange, fate in self.life.end(self.line is not None):
                if fate is Fate.CUT:
                    exchange.keeper.cut(exchange, self._spoilt)
                elif fate is Fate.UNREACHED:
                    exchange.keeper.unreached(exchange)
                else:
                    self.pool.start(exchange)

    async def _live(self) -> None:
        made = await self._connect()
        if made is None:
            return
        with Line(made, self.pool.tasks, self._scope.cancel) as self.line:
            for exchange in self.life.open.values():
                self._write(exchange)
            try:
                await self._read(self.line)
            except ENDED as trouble:
                self.pool.log.say("link", f"a link to {self.pool.label} ended: {trouble!r}")
            except codec.BrokenError as trouble:
                self._spoilt = True
                self.pool.counters.add("links spoilt")
                self.pool.log.say("link", f"a link to {self.pool.label} is dropped: {trouble}")

    async def _connect(self) -> socket.socket | None:
        with anyio.move_on_after(self.pool.connect_timeout / 1e6):
            try:
                return await connect(*self.pool.address)
            except OSError as trouble:
                self.pool.log.say("link", f"{self.pool.label} can't be reached: {trouble!r}")
                return None
        self.pool.log.say("link", f"{self.pool.label} can't be reached: no connection in time")
        return None

    async def _read(self, line: Line) -> None:
        answers, due = codec.Answers(), 0
        while True:
            try:
                left = max(0.0, (due - self.pool.now()) / 1e6) if answers.begun() else None
                data = await line.receive(left)
            except TimeoutError:
                raise codec.BrokenError("it stopped within an answer") from None
            except ENDED:
                if answers.begun():
                    raise codec.BrokenError("it ended within an answer") from None
                raise
            self.life.heard += 1
            if not answers.begun():
                due = self.pool.now() + _HALF_WAY
            for answer in answers.feed(data):
                due = self.pool.now() + _HALF_WAY
                exchange = self.life.open.get(answer.name)
                if exchange is None or not exchange.keeper.answered(exchange, answer):
                    # A second copy, or an answer that comes after its time: no fault of what else is open.
                    self.pool.counters.add("answers not awaited")


class Quota:
    """The links to all engines together.

    From `share` on exchanges share those of their engine; from `most` on an idle one makes room for another.
    """

    def __init__(self, share: int, most: int) -> None:
        self.share, self.most, self.used = share, most, 0
        self.idle: dict[Link, None] = {}  # idle for longest first

    def make_room(self) -> None:
        # Danger: with hundreds of engines links that idle would take the clients' descriptors. Where none is
        # idle, all are at work: one more, and the door takes in one client less.
        if self.used >= self.most and self.idle:
            next(iter(self.idle)).close()


class Pool:
    """All links to one engine."""

    def __init__(self, label: str, address: tuple[str, int], settings: Mapping, quota: Quota,
                 tasks: TaskGroup, timers: Timers, now: Callable[[], int], counters: Counters,
                 log: Log) -> None:
        limits = settings.get("Limits", {})
        self.label, self.address, self.now = label, address, now
        self.counters, self.log = counters, log
        self.streams = max(1, limits.get("StreamsPerConn", 32))
        self.connect_timeout = int(limits.get("ConnectTimeout", 250) * 1000)
        # Danger: a request may cross the engine's own close of an idle link, so ours comes well before.
        self._idle = int(limits.get("ConnIdle", 15000) * 1000) * 2 // 3
        self.links: list[Link] = []
        self.quota, self.tasks, self._timers = quota, tasks, timers
        self._swept = False

    def start(self, exchange: Exchange) -> None:
        while not self._pick(exchange.name).start(exchange):
            pass
        if not self._swept:
            self._swept = True
            self._timers.after(self._idle, self._sweep)

    def _pick(self, name: bytes) -> Link:
        """An idle link or a new one; where that would be too many, the one with the least on it."""
        # Danger: one spoilt answer ends all that is out on its link.
        least = None
        for link in self.links:
            life = link.life
            if life.room_for(name):
                if not life.open:
                    return link
                if least is None or len(life.open) < len(least.life.open):
                    least = link
        if least is not None and self.quota.used >= self.quota.share:
            return least
        self.quota.make_room()
        link = Link(self)
        self.links.append(link)
        self.quota.used += 1
        self.tasks.start_soon(link.run)
        return link

    def removed(self, link: Link) -> None:
        self.links.remove(link)
        self.quota.used -= 1

    def move(self, address: tuple[str, int]) -> None:
        """The engine has started anew, maybe elsewhere: what runs may end, new work takes new links."""
        self.address = address
        self.retire()

    def retire(self) -> None:
        for link in list(self.links):
            link.retire()

    def _sweep(self, now: int) -> None:
        for link in list(self.links):
            if not link.life.open and now - link.idle_since >= self._idle:
                link.close()
        self._swept = bool(self.links)
        if self._swept:
            self._timers.after(self._idle // 4, self._sweep)
