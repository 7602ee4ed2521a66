"""A gateway's connection to the control plane: to one node at a time, and to the next one if it fails.

Reconnects are delayed at random, so that gateways that lose a node at the same moment don't return at once.
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

# Frames that a node may send to a gateway.
_NODE_FRAMES = (Greeting, LeaseGranted, LeaseBehind, LeaseRefused, ConfigPart, ReplicaPositions)
# Longest delay before connecting to the next node after a connection is lost; a lease of 2 s outlasts it.
_MAX_RECONNECT_DELAY_S = 0.2
# Bounds of the random backoff after all nodes were tried without success; it doubles after each round. With
# 230 gateways reconnecting, all nodes together get about 80 connections a second.
_MIN_BACKOFF_S = 0.5
_MAX_BACKOFF_S = 3.0
# Interval between messages of replica positions, of some hundred bytes each (see docs/replicas.md), and the
# least interval before a message that `request_positions` sends early.
_POSITIONS_INTERVAL_US = 250_000
_MIN_POSITIONS_INTERVAL_US = 20_000


def boottime_us() -> int:
    """Returns the time of a clock that also advances while the process is stopped or the machine sleeps."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1000


def preference_order(name: str, nodes: tuple[Keeper, ...]) -> list[Keeper]:
    """Returns the nodes in this gateway's order, by rendezvous hashing, which spreads gateways evenly."""
    return sorted(nodes, key=lambda node: blake2b(f"{name} {node.name}".encode(), digest_size=8).digest())


class ConfigFollower:
    """Follows the configuration of the control plane for one gateway, and renews its lease.

    Args:
        fleet: The fleet section of the operator's file.
        name: This gateway's name.
        active_config: The configuration in use, which this class keeps up to date.
        random: Returns random numbers from 0 to 1.
        clock: The clock that the gateway acts by, in microseconds.
        counters: Counts granted leases, changes of mode and faults.
        new_position_exchange: Makes the object that exchanges replica positions on a new link.
        on_link_changed: Called with whether there is a link to a node now.

    Raises:
        OSError: The TLS keys can't be used.
    """

    def __init__(
        self,
        fleet: Fleet,
        name: str,
        active_config: ActiveConfig,
        random: Callable[[], float],
        clock: Callable[[], int] = boottime_us,
        counters: Counters | None = None,
        new_position_exchange: Callable[[], PositionExchange] | None = None,
        on_link_changed: Callable[[bool], None] = lambda is_linked: None,
    ) -> None:
        self._fleet = fleet
        self.name = name
        self.active_config = active_config
        self._on_link_changed = on_link_changed
        self._random = random
        self._clock = clock
        self._new_position_exchange = new_position_exchange
        self.counters = counters or Counters()
        self._event_log = EventLog(clock, gateway=name)
        contexts = None
        if fleet.tls is not None:
            from cresstray.sites.tls import TlsContexts

            contexts = TlsContexts(fleet.tls)
        # Connecting to an unresponsive node delays the next attempt; a lease must outlast two such delays.
        self._link_manager = PeerLinkManager(
            _NODE_FRAMES, contexts, random, self._event_log, self.counters, fleet.lease / 4e6
        )
        self._greeting = make_greeting(
            "gateway", fleet.name, name, active_config.incarnation, settings_digest(fleet)
        )
        self._nodes = preference_order(name, fleet.keepers)
        self._link: Link | None = None
        self._node_name = ""
        self._position_exchange: PositionExchange | None = None
        self._last_received_us = self._last_leader_us = self._next_positions_us = self._last_positions_us = 0
        self._requested_turn = -1  # highest turn whose changes were requested on this link
        self._timer: asyncio.TimerHandle | None = None
        self._last_mode_and_turn: tuple[Mode, int] | None = None
        self._last_refusal: tuple[str, int] | None = None  # reason and turn
        self._no_renewal_before_us = 0
        self._last_log_line = ""

    async def run(self, tasks: TaskGroup) -> None:
        """Follows until cancelled; `tasks` runs the writers for frames that a link can't send at once."""
        attempts, backoff_s = 0, _MIN_BACKOFF_S
        self._run_due()
        while True:
            node = self._nodes[attempts % len(self._nodes)]
            started_us = self._clock()
            await self._link_manager.run_outgoing(
                node.address,
                node.name,
                self._greeting,
                partial(self._check_greeting, node),
                partial(self._on_link_made, node),
                self._on_frame,
                self._on_link_lost,
                tasks,
            )
            attempts += 1
            if self._last_leader_us >= started_us:
                attempts, backoff_s = attempts % len(self._nodes), _MIN_BACKOFF_S
                # All gateways that followed this node lose it at the same moment; the delay spreads them.
                await anyio.sleep(self._random() * _MAX_RECONNECT_DELAY_S)
            elif attempts % len(self._nodes):
                await anyio.sleep(self._random() * _MAX_RECONNECT_DELAY_S)
            else:
                await anyio.sleep(self._random() * backoff_s)
                backoff_s = min(2 * backoff_s, _MAX_BACKOFF_S)

    def _check_greeting(self, node: Keeper, greeting: Frame, names: set[str] | None) -> None:
        peer = check_greeting(greeting, self._fleet, names)
        if peer.role != "keeper" or peer.name != node.name:
            raise FramingError(f"the {peer.role} {peer.name!r} where {node.name!r} should be")

    def _on_link_made(self, node: Keeper, link: Link) -> None:
        now_us = self._clock()
        self._link = link
        self._node_name = node.name
        self._requested_turn = -1
        self._last_received_us = self._last_leader_us = now_us
        self._position_exchange = (
            self._new_position_exchange() if self._new_position_exchange is not None else None
        )
        self._on_link_changed(True)
        self._event_log.log("link", "made", to=node.name)
        self.active_config.on_connected(now_us)
        link.put(self.active_config.config_request())
        self._run_due()

    def _on_link_lost(self, link: Link) -> None:
        if self._link is link:
            self._link = None
            self._node_name = ""
            self._position_exchange = None
            self._on_link_changed(False)

    def _on_frame(self, link: Link, frame: Frame) -> None:
        now_us = self._last_received_us = self._clock()
        if isinstance(frame, Greeting):
            raise FramingError("a second greeting")
        if isinstance(frame, ReplicaPositions):
            if self._position_exchange is not None:
                self._position_exchange.on_message(frame.body, now_us)
            return
        if not isinstance(frame, LeaseRefused) or frame.reason != "no leader":
            self._last_leader_us = now_us
        if isinstance(frame, LeaseGranted):
            self.counters.add("leases granted")
        try:
            self.active_config.receive(frame, now_us)
        except FramingError:
            raise
        except Exception:
            # An internal error must not stop the gateway; without a lease it uses `count_without_lease`.
            self.counters.add("faults")
            self._event_log.log("fault", traceback.format_exc())
            raise FramingError("internal error of this gateway") from None
        refusal = (frame.reason, frame.turn) if isinstance(frame, LeaseRefused) else None
        # A renewal sent at once after each refusal would be refused again without end.
        if refusal is not None and refusal == self._last_refusal:
            self._no_renewal_before_us = now_us + self._fleet.lease // 3
        self._last_refusal = (
            refusal if isinstance(frame, (LeaseGranted, LeaseBehind, LeaseRefused)) else self._last_refusal
        )
        self._run_due()

    def _run_due(self) -> None:
        """Sends and logs what is due, and schedules the next call."""
        now_us = self._clock()
        if self._timer is not None:
            self._timer.cancel()
        wait_us = self._fleet.lease // 12
        try:
            if self._link is not None and not self._link.close_reason:
                self._send_due_frames(self._link, now_us)
                wait_us = max(
                    1000, min(wait_us, max(self.active_config.due_us, self._no_renewal_before_us) - now_us)
                )
            self._log_changes(now_us)
        except Exception:
            self.counters.add("faults")
            self._event_log.log("fault", traceback.format_exc())
        self._timer = asyncio.get_running_loop().call_later(wait_us / 1e6, self._run_due)

    def _send_due_frames(self, link: Link, now_us: int) -> None:
        config = self.active_config
        renewal = config.renewal_due(now_us) if now_us >= self._no_renewal_before_us else None
        if renewal is not None:
            link.put(renewal)
        if config.is_behind and self._requested_turn < config.highest_turn_heard:
            self._requested_turn = config.highest_turn_heard
            link.put(config.config_request())
        if self._position_exchange is not None and now_us >= self._next_positions_us:
            self._send_positions(link, self._position_exchange, now_us)
        # Renewals are sent every third of a lease. A sixth of a lease later the reply is overdue, and half of
        # the lease is left to find a node that replies.
        silence_us = self._fleet.lease // 2
        if now_us - self._last_received_us > silence_us:
            link.end("silent")
        elif now_us - self._last_leader_us > max(silence_us, 4 * self._fleet.election):
            link.end("it knows no leader")

    def _send_positions(self, link: Link, exchange: PositionExchange, now_us: int) -> None:
        self._last_positions_us, self._next_positions_us = now_us, now_us + _POSITIONS_INTERVAL_US
        link.put(ReplicaPositions(exchange.next_message(now_us)))

    def request_positions(self) -> None:
        """Sends the known replica positions now, if linked to a node; the node replies with its own."""
        now_us = self._clock()
        if (
            self._link is not None
            and self._position_exchange is not None
            and now_us - self._last_positions_us >= _MIN_POSITIONS_INTERVAL_US
        ):
            self._send_positions(self._link, self._position_exchange, now_us)

    def _log_changes(self, now_us: int) -> None:
        effective = self.active_config.effective_at(now_us)
        for line in self.active_config.take_log_lines():
            if line != self._last_log_line:
                self._event_log.log("rules", line)
            self._last_log_line = line
        mode_and_turn = effective.mode, effective.turn
        if mode_and_turn != self._last_mode_and_turn:
            if self._last_mode_and_turn is not None and mode_and_turn[0] is not self._last_mode_and_turn[0]:
                self.counters.add(f"rules {mode_and_turn[0].value}")
            self._last_mode_and_turn = mode_and_turn

    def status(self) -> dict[str, Any]:
        """Returns the state of the link and of the configuration in use, for an operator."""
        now_us = self._clock()
        effective = self.active_config.effective_at(now_us)
        return {
            "member": self.name,
            "keeper": self._node_name or None,
            "mode": effective.mode.value,
            "turn": effective.turn,
            "version": effective.turn // 2,
            "joint": bool(effective.turn % 2),
            "heard": self.active_config.highest_turn_heard,
            "gateways": effective.gateway_count,
            "lease ms": self.active_config.lease_left_us(now_us) // 1000,
            "age ms": (now_us - self._last_received_us) // 1000 if self._last_received_us else None,
            "versions": dict(effective.documents.versions),
        }
