"""A gateway's link to the keepers: one at a time, another one when it is silent, spread when all come back."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from hashlib import blake2b
from typing import TYPE_CHECKING, Any

import anyio

from cresstray.conf.fleet import Fleet, Keeper
from cresstray.counters import Counters
from cresstray.frames import BrokenError, Frame
from cresstray.peers import Ends, Link, agreed, greeted, hello
from cresstray.rules.codec import Behind, Content, Granted, Greet, Heard, Position, Refused
from cresstray.rules.use import Mode, Use
from cresstray.said import Said

if TYPE_CHECKING:
    from anyio.abc import TaskGroup

# What a keeper may send to a gateway.
_KINDS = (Greet, Granted, Behind, Refused, Content, Heard)
# A link that worked is made again at once, to the next keeper, within this: a lease of two seconds outlives it.
_AT_ONCE = 0.2
# After all keepers were tried in vain: doubled each time around, by chance from nothing to it. 230 gateways that
# come back are some 80 links a second for all keepers together.
_PAUSE, _PAUSE_MOST = 0.5, 3.0
# What was seen of copies goes out so often, and so much of it: some 1 kB a second.
_TELL, _TELL_MOST = 1_000_000, 16


def now() -> int:
    """Microseconds of a clock that neither a stopped process nor a sleeping machine stops."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1000


def order(name: str, keepers: tuple[Keeper, ...]) -> list[Keeper]:
    """By rendezvous hashing: all gateways agree on nothing, and still spread over the keepers evenly."""
    return sorted(keepers, key=lambda one: blake2b(f"{name} {one.name}".encode(), digest_size=8).digest())


class Follower:
    """`changed` is called when the turn or the mode has changed: what is held may be looked at again.

    `sees` gives positions of copies to be told (most), `hears` takes those that others saw; none without them.
    OSError where the keys can't be used.
    """

    def __init__(self, given: Fleet, name: str, use: Use, chance: Callable[[], float],
                 changed: Callable[[], None] = lambda: None, counters: Counters | None = None,
                 sees: Callable[[int, int], list[Position]] | None = None,
                 hears: Callable[[list[Position], int], object] | None = None) -> None:
        self._given, self.name, self.use, self._changed = given, name, use, changed
        self._chance, self._sees, self._hears = chance, sees, hears
        self.counters = counters or Counters()
        self._said = Said(now, gateway=name)
        contexts = None
        if given.tls is not None:
            from cresstray.halls.tls import Contexts
            contexts = Contexts(given.tls)
        self._contexts = contexts
        self._ends = Ends(_KINDS, contexts, chance, self._said, self.counters)
        self._hello = hello("gateway", given.name, name, use.life, agreed(given))
        self._keepers = order(name, given.keepers)
        self._link: Link | None = None
        self._keeper = ""
        self._heard_at = self._leader_at = self._tell_at = 0
        self._got = -1  # the turn for which the rest has been asked for on this link
        self._timer: asyncio.TimerHandle | None = None
        self._was: tuple[Mode, int] | None = None
        self._refused: tuple[str, int] | None = None  # why, and at which turn
        self._hush = 0  # no renewal before this
        self._line = ""

    async def run(self, tasks: TaskGroup) -> None:
        """Follows until it is cancelled; `tasks` write what a link does not take at once."""
        tried, pause = 0, _PAUSE
        self._tick()
        while True:
            keeper = self._keepers[tried % len(self._keepers)]
            began = now()
            await self._ends.made(
                keeper.address, keeper.name, self._hello,
                lambda greeting, names, keeper=keeper: self._check(keeper, greeting, names),
                lambda link, keeper=keeper: self._up(keeper, link), self._taken, self._down, tasks)
            tried += 1
            if self._leader_at >= began:
                tried, pause = tried % len(self._keepers), _PAUSE
                # Danger: all that followed one keeper find it gone at once, and would come at once.
                await anyio.sleep(self._chance() * _AT_ONCE)
            elif tried % len(self._keepers):
                await anyio.sleep(self._chance() * _AT_ONCE)
            else:
                await anyio.sleep(self._chance() * pause)
                pause = min(2 * pause, _PAUSE_MOST)

    def _check(self, keeper: Keeper, greeting: Frame, names: set[str] | None) -> None:
        greet = greeted(greeting, self._given, names)
        if greet.role != "keeper" or greet.name != keeper.name:
            raise BrokenError(f"the {greet.role} {greet.name!r} where {keeper.name!r} should be")

    def _up(self, keeper: Keeper, link: Link) -> None:
        at = now()
        self._link, self._keeper, self._got = link, keeper.name, -1
        self._heard_at = self._leader_at = at
        self._said.say("link", "made", to=keeper.name)
        self.use.connected(at)
        link.put(self.use.gets())
        self._tick()

    def _down(self, link: Link) -> None:
        if self._link is link:
            self._link, self._keeper = None, ""

    def _taken(self, link: Link, frame: Frame) -> None:
        at = self._heard_at = now()
        if isinstance(frame, Greet):
            raise BrokenError("a second greeting")
        if isinstance(frame, Heard):
            if self._hears is not None:
                self._hears(frame.items, at)
            return
        if not isinstance(frame, Refused) or frame.reason != "no leader":
            self._leader_at = at
        if isinstance(frame, Granted):
            self.counters.add("leases granted")
        self.use.take(frame, at)
        refused = (frame.reason, frame.turn) if isinstance(frame, Refused) else None
        # Danger: a refusal that is answered by the next question at once would go round without end.
        if refused is not None and refused == self._refused:
            self._hush = at + self._given.lease // 3
        self._refused = refused if isinstance(frame, (Granted, Behind, Refused)) else self._refused
        self._tick()

    def _tick(self) -> None:
        """Whatever is due; it calls itself again when more is."""
        at, use, link = now(), self.use, self._link
        if self._timer is not None:
            self._timer.cancel()
        quiet = self._given.lease // 3
        if link is not None and not link.why:
            renew = use.asks(at) if at >= self._hush else None
            if renew is not None:
                link.put(renew)
            if use.behind and self._got < use.heard:
                self._got = use.heard
                link.put(use.gets())
            if self._sees is not None and at >= self._tell_at:
                self._tell_at = at + _TELL
                seen = self._sees(at, _TELL_MOST)
                if seen:
                    link.put(Heard(seen))
            # A renewal goes out each third of a lease, so a third later its answer is overdue.
            if at - self._heard_at > 2 * quiet:
                link.end("silent")
            elif at - self._leader_at > max(2 * quiet, 4 * self._given.election):
                link.end("it knows no leader")
        self._look(at)
        wait = quiet // 4
        if link is not None:
            wait = max(1000, min(wait, max(use.due, self._hush) - at))
        self._timer = asyncio.get_running_loop().call_later(wait / 1e6, self._tick)

    def _look(self, at: int) -> None:
        in_use = self.use.at(at)
        for line in self.use.told():
            if line != self._line:
                self._said.say("rules", line)
            self._line = line
        now_is = in_use.mode, in_use.turn
        if now_is != self._was:
            if self._was is not None and now_is[0] is not self._was[0]:
                self.counters.add(f"rules {now_is[0].value}")
            self._was = now_is
            self._changed()

    def status(self) -> dict[str, Any]:
        at = now()
        in_use = self.use.at(at)
        return {"member": self.name, "keeper": self._keeper or None, "mode": in_use.mode.value, "turn": in_use.turn,
                "version": in_use.turn // 2, "joint": bool(in_use.turn % 2), "heard": self.use.heard,
                "gateways": in_use.gateways, "lease ms": self.use.lease_left(at) // 1000,
                "age ms": (at - self._heard_at) // 1000 if self._heard_at else None,
                "versions": dict(in_use.documents.versions)}
