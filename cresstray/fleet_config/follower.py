"""A gateway's link to the keepers: one at a time, another when it is silent, spread when all come back."""

from __future__ import annotations

import asyncio
import time
import traceback
from collections.abc import Callable
from hashlib import blake2b
from typing import TYPE_CHECKING, Any

import anyio

from cresstray.config.fleet import Fleet, Keeper
from cresstray.fleet_config.active_config import Mode, Use
from cresstray.fleet_config.codec import Behind, Content, Granted, Greet, Heard, Refused
from cresstray.observability.counters import Counters
from cresstray.observability.event_log import EventLog
from cresstray.transport.framing import Frame, FramingError
from cresstray.transport.peers import (
    Link,
    PeerLinkManager,
    PositionExchange,
    check_greeting,
    make_greeting,
    settings_digest,
)

if TYPE_CHECKING:
    from anyio.abc import TaskGroup

# What a keeper may send to a gateway.
_KINDS = (Greet, Granted, Behind, Refused, Content, Heard)
# A link that worked is made again, to the next keeper, within this: a lease of two seconds outlives it.
_AT_ONCE = 0.2
# After all keepers were tried in vain: doubled each time around, by chance from nothing to it. 230 gateways
# that come back are some 80 links a second for all keepers together.
_PAUSE, _PAUSE_MOST = 0.5, 3.0
# What was seen of copies goes out so often, a word of some hundred bytes, as docs/replicas.md has measured;
# asked at once, not more often than the latter.
_TELL, _TELL_LEAST = 250_000, 20_000


def boottime() -> int:
    """Microseconds of a clock that neither a stopped process nor a sleeping machine stops."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1000


def order(name: str, keepers: tuple[Keeper, ...]) -> list[Keeper]:
    """By rendezvous hashing: all gateways agree on nothing, and still spread over the keepers evenly."""
    return sorted(keepers, key=lambda one: blake2b(f"{name} {one.name}".encode(), digest_size=8).digest())


class Follower:
    """`now` is the clock that the gateway acts by. `talks` makes what is said of positions on a new link.

    `linked` hears whether there is a link now. OSError where the keys can't be used.
    """

    def __init__(
        self,
        given: Fleet,
        name: str,
        use: Use,
        chance: Callable[[], float],
        now: Callable[[], int] = boottime,
        counters: Counters | None = None,
        talks: Callable[[], PositionExchange] | None = None,
        linked: Callable[[bool], None] = lambda up: None,
    ) -> None:
        self._given, self.name, self.use, self._linked = given, name, use, linked
        self._chance, self._now, self._talks = chance, now, talks
        self.counters = counters or Counters()
        self._said = EventLog(now, gateway=name)
        contexts = None
        if given.tls is not None:
            from cresstray.sites.tls import Contexts

            contexts = Contexts(given.tls)
        # Danger: a keeper that is silent holds up the way to the next one; a lease is to outlive two of them.
        self._ends = PeerLinkManager(_KINDS, contexts, chance, self._said, self.counters, given.lease / 4e6)
        self._hello = make_greeting("gateway", given.name, name, use.life, settings_digest(given))
        self._keepers = order(name, given.keepers)
        self._link: Link | None = None
        self._keeper = ""
        self._talk: PositionExchange | None = None
        self._heard_at = self._leader_at = self._tell_at = self._told_at = 0
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
            began = self._now()
            await self._ends.run_outgoing(
                keeper.address,
                keeper.name,
                self._hello,
                lambda greeting, names, keeper=keeper: self._check(keeper, greeting, names),
                lambda link, keeper=keeper: self._up(keeper, link),
                self._taken,
                self._down,
                tasks,
            )
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
        greet = check_greeting(greeting, self._given, names)
        if greet.role != "keeper" or greet.name != keeper.name:
            raise FramingError(f"the {greet.role} {greet.name!r} where {keeper.name!r} should be")

    def _up(self, keeper: Keeper, link: Link) -> None:
        at = self._now()
        self._link, self._keeper, self._got = link, keeper.name, -1
        self._heard_at = self._leader_at = at
        self._talk = self._talks() if self._talks is not None else None
        self._linked(True)
        self._said.log("link", "made", to=keeper.name)
        self.use.connected(at)
        link.put(self.use.gets())
        self._tick()

    def _down(self, link: Link) -> None:
        if self._link is link:
            self._link, self._keeper, self._talk = None, "", None
            self._linked(False)

    def _taken(self, link: Link, frame: Frame) -> None:
        at = self._heard_at = self._now()
        if isinstance(frame, Greet):
            raise FramingError("a second greeting")
        if isinstance(frame, Heard):
            if self._talk is not None:
                self._talk.hears(frame.body, at)
            return
        if not isinstance(frame, Refused) or frame.reason != "no leader":
            self._leader_at = at
        if isinstance(frame, Granted):
            self.counters.add("leases granted")
        try:
            self.use.take(frame, at)
        except FramingError:
            raise
        except Exception:
            # Danger: a fault of ours must not end the gateway; without a lease it goes by the floor.
            self.counters.add("faults")
            self._said.log("fault", traceback.format_exc())
            raise FramingError("a fault of ours") from None
        refused = (frame.reason, frame.turn) if isinstance(frame, Refused) else None
        # Danger: a refusal that is answered by the next question at once would go round without end.
        if refused is not None and refused == self._refused:
            self._hush = at + self._given.lease // 3
        self._refused = refused if isinstance(frame, (Granted, Behind, Refused)) else self._refused
        self._tick()

    def _tick(self) -> None:
        """Whatever is due; it calls itself again when more is."""
        at = self._now()
        if self._timer is not None:
            self._timer.cancel()
        wait = self._given.lease // 12
        try:
            if self._link is not None and not self._link.why:
                self._ask(self._link, at)
                wait = max(1000, min(wait, max(self.use.due, self._hush) - at))
            self._look(at)
        except Exception:
            self.counters.add("faults")
            self._said.log("fault", traceback.format_exc())
        self._timer = asyncio.get_running_loop().call_later(wait / 1e6, self._tick)

    def _ask(self, link: Link, at: int) -> None:
        use = self.use
        renew = use.asks(at) if at >= self._hush else None
        if renew is not None:
            link.put(renew)
        if use.behind and self._got < use.heard:
            self._got = use.heard
            link.put(use.gets())
        if self._talk is not None and at >= self._tell_at:
            self._tell(link, self._talk, at)
        # A renewal goes out each third of a lease; a sixth later its answer is overdue, and half of the lease
        # is left to find a keeper that answers.
        quiet = self._given.lease // 2
        if at - self._heard_at > quiet:
            link.end("silent")
        elif at - self._leader_at > max(quiet, 4 * self._given.election):
            link.end("it knows no leader")

    def _tell(self, link: Link, talk: PositionExchange, at: int) -> None:
        self._told_at, self._tell_at = at, at + _TELL
        link.put(Heard(talk.says(at)))

    def asks_at_once(self) -> None:
        """Tells, and so asks, what is known of copies now, where there is a keeper to hear it."""
        at = self._now()
        if self._link is not None and self._talk is not None and at - self._told_at >= _TELL_LEAST:
            self._tell(self._link, self._talk, at)

    def _look(self, at: int) -> None:
        in_use = self.use.at(at)
        for line in self.use.told():
            if line != self._line:
                self._said.log("rules", line)
            self._line = line
        now_is = in_use.mode, in_use.turn
        if now_is != self._was:
            if self._was is not None and now_is[0] is not self._was[0]:
                self.counters.add(f"rules {now_is[0].value}")
            self._was = now_is

    def status(self) -> dict[str, Any]:
        at = self._now()
        in_use = self.use.at(at)
        return {
            "member": self.name,
            "keeper": self._keeper or None,
            "mode": in_use.mode.value,
            "turn": in_use.turn,
            "version": in_use.turn // 2,
            "joint": bool(in_use.turn % 2),
            "heard": self.use.heard,
            "gateways": in_use.gateways,
            "lease ms": self.use.lease_left(at) // 1000,
            "age ms": (at - self._heard_at) // 1000 if self._heard_at else None,
            "versions": dict(in_use.documents.versions),
        }
