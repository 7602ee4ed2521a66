"""A gateway's link to the control plane: one node at a time, another when it is silent.

Gateways that come back at once are spread over time.
"""

from __future__ import annotations

import asyncio
import time
import traceback
from collections.abc import Callable
from functools import partial
from hashlib import blake2b
from typing import TYPE_CHECKING, Any

import anyio

from cresstray.config.fleet import Fleet, Keeper
from cresstray.fleet_config.active_config import ActiveConfig, Mode
from cresstray.fleet_config.codec import (
    ConfigPart,
    Greeting,
    LeaseBehind,
    LeaseGranted,
    LeaseRefused,
    ReplicaPositions,
)
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

# What a node may send to a gateway.
_FRAMES = (Greeting, LeaseGranted, LeaseBehind, LeaseRefused, ConfigPart, ReplicaPositions)
# A link that worked is made again, to the next node, within this: a lease of two seconds outlives it.
_RECONNECT_S = 0.2
# After all nodes were tried in vain: doubled each time around, by chance from nothing to it. 230 gateways
# that come back are some 80 links a second for all nodes together.
_FIRST_PAUSE_S = 0.5
_MAX_PAUSE_S = 3.0
# What was seen of replicas goes out so often, in a message of some hundred bytes, as docs/replicas.md has
# measured; asked for at once, not more often than the latter.
_POSITIONS_INTERVAL_US = 250_000
_MIN_POSITIONS_INTERVAL_US = 20_000


def boottime_us() -> int:
    """Microseconds of a clock that neither a stopped process nor a sleeping machine stops."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1000


def preference_order(name: str, nodes: tuple[Keeper, ...]) -> list[Keeper]:
    """The nodes in this gateway's order, by rendezvous hashing: gateways spread over them evenly."""
    return sorted(nodes, key=lambda node: blake2b(f"{name} {node.name}".encode(), digest_size=8).digest())


class ConfigFollower:
    """Follows the control plane for one gateway, and renews its lease.

    `now` is the clock that the gateway acts by, in microseconds. `talks` makes what exchanges replicas'
    positions on a new link. `linked` is told whether there is a link now. OSError where the keys can't be
    used.
    """

    def __init__(
        self,
        given: Fleet,
        name: str,
        active_config: ActiveConfig,
        chance: Callable[[], float],
        now: Callable[[], int] = boottime_us,
        counters: Counters | None = None,
        talks: Callable[[], PositionExchange] | None = None,
        linked: Callable[[bool], None] = lambda up: None,
    ) -> None:
        self._given = given
        self.name = name
        self.active_config = active_config
        self._linked = linked
        self._chance = chance
        self._now = now
        self._talks = talks
        self.counters = counters or Counters()
        self._said = EventLog(now, gateway=name)
        contexts = None
        if given.tls is not None:
            from cresstray.sites.tls import TlsContexts

            contexts = TlsContexts(given.tls)
        # A node that is silent holds up the way to the next one; a lease is to outlive two of them.
        self._ends = PeerLinkManager(_FRAMES, contexts, chance, self._said, self.counters, given.lease / 4e6)
        self._hello = make_greeting(
            "gateway", given.name, name, active_config.incarnation, settings_digest(given)
        )
        self._nodes = preference_order(name, given.keepers)
        self._link: Link | None = None
        self._node = ""
        self._talk: PositionExchange | None = None
        self._heard_at = self._leader_at = self._send_positions_at = self._sent_positions_at = 0
        self._requested_turn = -1  # for which the rest has been asked for on this link
        self._timer: asyncio.TimerHandle | None = None
        self._was: tuple[Mode, int] | None = None
        self._refused: tuple[str, int] | None = None  # why, and at which turn
        self._silent_until = 0  # no renewal before this
        self._line = ""

    async def run(self, tasks: TaskGroup) -> None:
        """Follows until it is cancelled; `tasks` write what a link does not take at once."""
        tried, pause = 0, _FIRST_PAUSE_S
        self._tick()
        while True:
            node = self._nodes[tried % len(self._nodes)]
            began = self._now()
            await self._ends.run_outgoing(
                node.address,
                node.name,
                self._hello,
                partial(self._check, node),
                partial(self._up, node),
                self._taken,
                self._down,
                tasks,
            )
            tried += 1
            if self._leader_at >= began:
                tried, pause = tried % len(self._nodes), _FIRST_PAUSE_S
                # All that followed one node find it gone in the same moment, and would come at once.
                await anyio.sleep(self._chance() * _RECONNECT_S)
            elif tried % len(self._nodes):
                await anyio.sleep(self._chance() * _RECONNECT_S)
            else:
                await anyio.sleep(self._chance() * pause)
                pause = min(2 * pause, _MAX_PAUSE_S)

    def _check(self, node: Keeper, greeting: Frame, names: set[str] | None) -> None:
        greet = check_greeting(greeting, self._given, names)
        if greet.role != "keeper" or greet.name != node.name:
            raise FramingError(f"the {greet.role} {greet.name!r} where {node.name!r} should be")

    def _up(self, node: Keeper, link: Link) -> None:
        at = self._now()
        self._link = link
        self._node = node.name
        self._requested_turn = -1
        self._heard_at = self._leader_at = at
        self._talk = self._talks() if self._talks is not None else None
        self._linked(True)
        self._said.log("link", "made", to=node.name)
        self.active_config.on_connected(at)
        link.put(self.active_config.make_request())
        self._tick()

    def _down(self, link: Link) -> None:
        if self._link is link:
            self._link = None
            self._node = ""
            self._talk = None
            self._linked(False)

    def _taken(self, link: Link, frame: Frame) -> None:
        at = self._heard_at = self._now()
        if isinstance(frame, Greeting):
            raise FramingError("a second greeting")
        if isinstance(frame, ReplicaPositions):
            if self._talk is not None:
                self._talk.on_message(frame.body, at)
            return
        if not isinstance(frame, LeaseRefused) or frame.reason != "no leader":
            self._leader_at = at
        if isinstance(frame, LeaseGranted):
            self.counters.add("leases granted")
        try:
            self.active_config.receive(frame, at)
        except FramingError:
            raise
        except Exception:
            # A fault here must not end the gateway; without a lease it divides by the count without one.
            self.counters.add("faults")
            self._said.log("fault", traceback.format_exc())
            raise FramingError("a fault of ours") from None
        refused = (frame.reason, frame.turn) if isinstance(frame, LeaseRefused) else None
        # A refusal that is answered by the next renewal at once would go round without end.
        if refused is not None and refused == self._refused:
            self._silent_until = at + self._given.lease // 3
        self._refused = (
            refused if isinstance(frame, (LeaseGranted, LeaseBehind, LeaseRefused)) else self._refused
        )
        self._tick()

    def _tick(self) -> None:
        """Whatever is due; it calls itself again when more is."""
        at = self._now()
        if self._timer is not None:
            self._timer.cancel()
        wait = self._given.lease // 12
        try:
            if self._link is not None and not self._link.close_reason:
                self._ask(self._link, at)
                wait = max(1000, min(wait, max(self.active_config.due_us, self._silent_until) - at))
            self._look(at)
        except Exception:
            self.counters.add("faults")
            self._said.log("fault", traceback.format_exc())
        self._timer = asyncio.get_running_loop().call_later(wait / 1e6, self._tick)

    def _ask(self, link: Link, at: int) -> None:
        use = self.active_config
        renew = use.renewal_due(at) if at >= self._silent_until else None
        if renew is not None:
            link.put(renew)
        if use.is_behind and self._requested_turn < use.highest_turn_heard:
            self._requested_turn = use.highest_turn_heard
            link.put(use.make_request())
        if self._talk is not None and at >= self._send_positions_at:
            self._send_positions(link, self._talk, at)
        # A renewal goes out each third of a lease; a sixth later its answer is overdue, and half of the lease
        # is left to find a node that answers.
        quiet = self._given.lease // 2
        if at - self._heard_at > quiet:
            link.end("silent")
        elif at - self._leader_at > max(quiet, 4 * self._given.election):
            link.end("it knows no leader")

    def _send_positions(self, link: Link, talk: PositionExchange, at: int) -> None:
        self._sent_positions_at, self._send_positions_at = at, at + _POSITIONS_INTERVAL_US
        link.put(ReplicaPositions(talk.next_message(at)))

    def request_positions(self) -> None:
        """Sends, and so asks for, what is known of replicas now, where there is a node to hear it."""
        at = self._now()
        if (
            self._link is not None
            and self._talk is not None
            and at - self._sent_positions_at >= _MIN_POSITIONS_INTERVAL_US
        ):
            self._send_positions(self._link, self._talk, at)

    def _look(self, at: int) -> None:
        in_use = self.active_config.effective_at(at)
        for line in self.active_config.take_log_lines():
            if line != self._line:
                self._said.log("rules", line)
            self._line = line
        now_is = in_use.mode, in_use.turn
        if now_is != self._was:
            if self._was is not None and now_is[0] is not self._was[0]:
                self.counters.add(f"rules {now_is[0].value}")
            self._was = now_is

    def status(self) -> dict[str, Any]:
        """What an operator sees of the link and of the configuration in use."""
        at = self._now()
        in_use = self.active_config.effective_at(at)
        return {
            "member": self.name,
            "keeper": self._node or None,
            "mode": in_use.mode.value,
            "turn": in_use.turn,
            "version": in_use.turn // 2,
            "joint": bool(in_use.turn % 2),
            "heard": self.active_config.highest_turn_heard,
            "gateways": in_use.gateway_count,
            "lease ms": self.active_config.lease_left_us(at) // 1000,
            "age ms": (at - self._heard_at) // 1000 if self._heard_at else None,
            "versions": dict(in_use.documents.versions),
        }
