"""The links to one engine: which takes an exchange, when one is idle, retired, closed, what its end means.

Free of I/O: whoever has the sockets says what was received and lost, and is called for the rest. A link
belongs to its engine, not to an address. What becomes of an exchange is told to its keeper once.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from typing import TYPE_CHECKING, Protocol, TypeVar

from cresstray.engines import codec
from cresstray.engines.in_flight import Exchange, Exchanges, Fate
from cresstray.observability.counters import Counters

if TYPE_CHECKING:
    from cresstray.clock import Timers

# An answer comes in one piece; the rest of one that was begun is not late by a quarter of a second.
_HALF_WAY = 250_000
_Thing = TypeVar("_Thing")
_OF_RESULTS = (b"served", b"rows")
# Danger: an engine that never reads would have our memory filled with what it is told. All pages of two long
# results asked for, or a thousand requests given up.
_MOST_BEHIND = 64 * 1024


class Wire(Protocol):
    """What a link is written to; streams.Line is one. `put` takes all, now or by and by."""

    waiting: bytearray  # put, and not yet taken by the other side

    def put(self, message: bytes) -> bool: ...
    def has_ended(self) -> bool: ...


class AnyLink:
    """One connection to an engine. Whoever has its socket gives it `hang_up`."""

    def __init__(self, pool: AnyPool) -> None:
        self.pool = pool
        self.life = Exchanges(pool.streams)
        self.spoilt = False
        self.lacking = False  # there was no descriptor for it: that says nothing of its engine
        self.outdated = False  # its engine has another address by now, or has started anew
        self.idle_since = 0
        self.line: Wire | None = None  # once it is up
        self._answers, self._due = codec.Answers(), 0
        self._leaving: Exchange | None = None  # the last one written, if part of it had to wait
        self._behind = 0  # bytes put behind what waits

    def hang_up(self) -> None:
        """The connection is to end, or not to be made; `gone` follows."""
        raise NotImplementedError

    def takes(self, name: bytes) -> bool:
        # Danger: behind what its engine does not read, a request would leave when nothing is as it was.
        return self.life.room_for(name) and not (self.line is not None and self.line.waiting)

    def start(self, exchange: Exchange) -> bool:
        """False where the link proves dead, or its engine reads nothing: nothing of the exchange has left."""
        # Danger: what is written to a link that the other side has closed is lost, and may have run.
        if self.line is not None and not self.life.open and self.line.has_ended():
            self.close()
            return False
        exchange.link = self
        self.pool.quota.idle.pop(self, None)
        self.life.begin(exchange)
        return self.line is None or self._write(exchange)

    def _write(self, exchange: Exchange) -> bool:
        """False where nothing of it has left, since the engine reads nothing: the link takes no more."""
        line = self.line
        if not line.waiting:
            left = line.put(exchange.message)
            if not line.waiting or len(line.waiting) < len(exchange.message):
                self.life.wrote(exchange, left)
                self._leaving, self._behind = exchange if line.waiting else None, 0
                if left:
                    exchange.keeper.leaves(exchange)
                return True
            line.waiting.clear()
        self.life.finish(exchange)
        self.retire()
        return False

    def _is_leaving(self, exchange: Exchange) -> bool:
        """Whether part of its message still waits to be written."""
        return exchange is self._leaving and len(self.line.waiting) > self._behind

    def send(self, message: bytes) -> None:
        if self.life.ended:
            # Danger: behind a request that was cut short it would be read as the rest of that. That the link
            # closes tells the engine.
            return
        if not self.line.waiting:
            self._leaving, self._behind = None, 0
        else:
            self._behind += len(message)
            if self._behind > _MOST_BEHIND:
                self.pool.counters.add("links never read")
                self.close()
                return
        self.line.put(message)

    def finish(self, exchange: Exchange) -> None:
        """All that was to come has come."""
        self.life.finish(exchange)
        self._forget(exchange)

    def give_up(self, exchange: Exchange) -> bool:
        """What comes under this name from now on is dropped. True: the engine hears of it before the next."""
        leaving = self._is_leaving(exchange)
        told = self.life.give_up(exchange)
        if leaving and not self.life.ended:
            # Danger: its rest would leave once the engine reads again, and be run for nobody.
            self.close()
        elif told is not None:
            self.send(told)
        self._forget(exchange)
        return True

    def _forget(self, exchange: Exchange) -> None:
        if self._leaving is exchange:
            self._leaving = None
        self._mind_idle()

    def recall_unwritten(self) -> None:
        """What has not been written yet ends as never sent."""
        self.pool.for_each(self.life.unwritten(), self._recall)

    def _recall(self, exchange: Exchange) -> None:
        # Danger: what the end of another set off may have ended this one.
        if self.life.holds(exchange):
            self._end_unsent(exchange)

    def _end_unsent(self, exchange: Exchange) -> None:
        self.finish(exchange)
        exchange.keeper.unsent(exchange)

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
        if self.line is not None:
            self.line.waiting.clear()  # none of it leaves before the connection has ended
        self.hang_up()

    # What its connection says.

    def up(self, line: Wire) -> None:
        self.line = line
        self.pool.for_each(self.life.unwritten(), self._write_late)

    def _write_late(self, exchange: Exchange) -> None:
        if not self.life.holds(exchange):
            return
        if not self._may_leave(exchange):
            self._end_unsent(exchange)
        elif not self._write(exchange):
            self.pool.start(exchange)

    def _may_leave(self, exchange: Exchange) -> bool:
        # Danger: a connection takes a while to come up, and a process may be stopped meanwhile. By then the
        # engine may drain, the client be gone, or the window for a repeat be over.
        return not self.outdated and exchange.keeper.may_leave(exchange)

    def left(self) -> float | None:
        """Seconds in which the rest of an answer is to come; None where none has begun."""
        return max(0.0, (self._due - self.pool.now()) / 1e6) if self._answers.begun() else None

    def received(self, data: bytes) -> None:
        """Hands on the answers in it; BrokenError where it can't be one."""
        self.life.heard += 1
        if not self._answers.begun():
            self._due = self.pool.now() + _HALF_WAY
        while answers := self._answers.feed(data):
            data, self._due = b"", self.pool.now() + _HALF_WAY
            for answer in answers:
                self._answered(answer)

    def _answered(self, answer: codec.Answer) -> None:
        exchange = self.life.open.get(answer.name)
        if exchange is not None and self._is_leaving(exchange):
            # Danger: taken for a refusal, it would be sent again, and its rest here be run as well.
            raise codec.BrokenError("an answer to what has not been asked whole")
        if exchange is not None and not exchange.written:
            exchange = None
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
        if self.lacking:
            self.pool.quota.close_idle()
        self.pool.for_each(self.life.end(self.line is not None), self._end)

    def _end(self, ended: tuple[Exchange, Fate]) -> None:
        exchange, fate = ended
        if fate is Fate.CUT:
            exchange.keeper.cut(exchange, self.spoilt)
        elif self.outdated or self.lacking:
            exchange.keeper.unsent(exchange)
        elif fate is Fate.UNREACHED:
            exchange.keeper.unreached(exchange)
        elif self._may_leave(exchange):
            self.pool.start(exchange)
        else:
            exchange.keeper.unsent(exchange)


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
        if self.used >= self.most:
            self.close_idle()

    def close_idle(self) -> None:
        if self.idle:
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
            if link.takes(name):
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
        outdated = list(self.links)
        for link in outdated:
            # Danger: another may have its old address by now.
            link.outdated = True
            link.retire()
        # The module hears of it once it has been told of the list.
        self._timers.after(0, lambda _: self._recall(outdated))

    def recall_unwritten(self) -> None:
        """What has not been written on any link ends as never sent: the engine drains or is gone.

        To be called once the module has been told, which may send it elsewhere at once.
        """
        self._recall(list(self.links))

    def _recall(self, links: list[AnyLink]) -> None:
        for link in links:
            link.recall_unwritten()

    def for_each(self, things: Iterable[_Thing], do: Callable[[_Thing], None]) -> None:
        # Danger: a fault of ours with one exchange would leave the others without an end.
        for thing in things:
            try:
                do(thing)
            except Exception as trouble:
                self.fault(trouble)

    def fault(self, trouble: Exception) -> None:
        """Something of ours failed with one exchange; the others go on."""
        self.counters.add("faults")

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
