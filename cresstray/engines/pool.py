"""The links to one engine: which takes an exchange, when one is idle, retired, closed, what its end means.

Free of I/O: whoever has the sockets says what was received and lost, and is called for the rest. A link
belongs to its engine, not to an address. What becomes of an exchange is told to its keeper once.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING, Protocol

from cresstray.counters import Counters
from cresstray.engines import codec
from cresstray.engines.exchanges import Exchange, Exchanges, Fate

if TYPE_CHECKING:
    from cresstray.clock import Timers

# An answer comes in one piece; the rest of one that was begun is not late by a quarter of a second.
_HALF_WAY = 250_000
_OF_RESULTS = (b"served", b"rows")


class Wire(Protocol):
    """What a link is written to; streams.Line is one."""

    def put(self, message: bytes) -> bool: ...
    def has_ended(self) -> bool: ...


class AnyLink:
    """One connection to an engine. Whoever has its socket gives it `hang_up`."""

    def __init__(self, pool: AnyPool) -> None:
        self.pool = pool
        self.life = Exchanges(pool.streams)
        self.spoilt = False
        self.idle_since = 0
        self.line: Wire | None = None  # once it is up
        self._answers, self._due = codec.Answers(), 0

    def hang_up(self) -> None:
        """The connection is to end, or not to be made; `gone` follows."""
        raise NotImplementedError

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
        self.hang_up()

    # What its connection says.

    def up(self, line: Wire) -> None:
        self.line = line
        for exchange in list(self.life.open.values()):
            if self._is_overdue(exchange):
                self.finish(exchange)
                exchange.keeper.overdue(exchange)
            else:
                self._write(exchange)

    def _is_overdue(self, exchange: Exchange) -> bool:
        # Danger: a connection takes a while to come up, and a process may be stopped meanwhile. What wakes
        # before any timer would leave on the strength of a mark that is another's by now.
        return exchange.until is not None and self.pool.now() >= exchange.until

    def left(self) -> float | None:
        """Seconds in which the rest of an answer is to come; None where none has begun."""
        return max(0.0, (self._due - self.pool.now()) / 1e6) if self._answers.begun() else None

    def received(self, data: bytes) -> None:
        """Hands on the answers in it; BrokenError where it can't be one."""
        self.life.heard += 1
        if not self._answers.begun():
            self._due = self.pool.now() + _HALF_WAY
        for answer in self._answers.feed(data):
            self._due = self.pool.now() + _HALF_WAY
            exchange = self.life.open.get(answer.name)
            if exchange is not None and answer.word not in _OF_RESULTS:
                self.life.refuse(exchange)
            if exchange is None or not exchange.keeper.answered(exchange, answer):
                # A second copy, or an answer that comes after its time: no fault of what else is open.
                self.pool.counters.add("answers not awaited")

    def stopped(self) -> None:
        """The rest has not come in time."""
        raise codec.BrokenError("it stopped within an answer")

    def cut_short(self) -> None:
        """The connection has ended; BrokenError where part of an answer had come."""
        if self._answers.begun():
            raise codec.BrokenError("it ended within an answer")

    def gone(self) -> None:
        """Nothing more comes of it."""
        self.life.ended = True
        self.pool.quota.idle.pop(self, None)
        self.pool.removed(self)
        for exchange, fate in self.life.end(self.line is not None):
            if fate is Fate.CUT:
                exchange.keeper.cut(exchange, self.spoilt)
            elif fate is Fate.UNREACHED:
                exchange.keeper.unreached(exchange)
            elif self._is_overdue(exchange):
                exchange.keeper.overdue(exchange)
            else:
                self.pool.start(exchange)


class Quota:
    """The links to all engines together.

    From `share` on exchanges share those of their engine; from `most` on an idle one makes room for another.
    """

    def __init__(self, share: int, most: int) -> None:
        self.share, self.most, self.used = share, most, 0
        self.idle: dict[AnyLink, None] = {}  # idle for longest first

    def make_room(self) -> None:
        # Danger: with hundreds of engines links that idle would take the clients' descriptors. Where none is
        # idle, all are at work: one more, and the door takes in one client less.
        if self.used >= self.most and self.idle:
            next(iter(self.idle)).close()


class AnyPool:
    """All links to one engine. Whoever has the sockets gives it `dial`."""

    def __init__(
        self,
        address: tuple[str, int],
        settings: Mapping,
        quota: Quota,
        timers: Timers,
        now: Callable[[], int],
        counters: Counters,
    ) -> None:
        limits = settings.get("Limits", {})
        self.address, self.now, self.counters = address, now, counters
        self.streams = max(1, limits.get("StreamsPerConn", 32))
        # Danger: a request may cross the engine's own close of an idle link, so ours comes well before.
        self._idle = int(limits.get("ConnIdle", 15000) * 1000) * 2 // 3
        self.links: list[AnyLink] = []
        self.quota, self._timers = quota, timers
        self._swept = False

    def dial(self) -> AnyLink:
        """A new link, whose connection is made from now on; `up` or `gone` tells how that went."""
        raise NotImplementedError

    def start(self, exchange: Exchange) -> None:
        while not self._pick(exchange.name).start(exchange):
            pass
        if not self._swept:
            self._swept = True
            self._timers.after(self._idle, self._sweep)

    def _pick(self, name: bytes) -> AnyLink:
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
        link = self.dial()
        self.links.append(link)
        self.quota.used += 1
        return link

    def removed(self, link: AnyLink) -> None:
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
