"""The leader's table of leases: which gateway may act at which turn, and until when.

It is never in the log and is gone with the leader.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import NamedTuple

from cresstray.fleet_config.codec import Frame, LeaseBehind, LeaseGranted, LeaseRefused
from cresstray.fleet_config.state import ConfigState

# The reason on the wire for a refusal after which the gateway must stop.
NOT_NAMED = "not named"


@dataclass(slots=True)
class LeaseHolder:
    """One gateway.

    By `lease_until_us` and `fallback_until_us` what it was granted is over, whatever its clock does.
    """

    lease_until_us: int
    fallback_until_us: int
    turn: int = -1  # that it last said it acts at; -1: nothing yet
    heard_us: int = -1
    incarnation: str = ""
    has_stopped: bool = False


class GatewayStatus(NamedTuple):
    """What the leader knows of one gateway."""

    gateway: str
    turn: int  # -1: not heard of
    lease_left_us: int  # 0: over
    heard_ago_us: int  # -1: never


class LeaseTable:
    """The leases of all gateways, as the leader knows them.

    Args:
        lease_us: Length of a lease.
        fallback_lease_us: How long after a renewal `count_without_lease` may be used, at least a lease.
        drift: Largest rate error of a clock, as a fraction.
    """

    def __init__(self, lease_us: int, fallback_lease_us: int, drift: float) -> None:
        self._lease_us = int(lease_us * (1 + drift)) + 1
        self._fallback_lease_us = int(max(lease_us, fallback_lease_us) * (1 + drift)) + 1
        self._holders: dict[str, LeaseHolder] = {}
        # Until when gateways may hold a lease that the leader before granted.
        self._lease_until_us = 0
        self._fallback_until_us = 0

    def on_elected(self, gateways: Iterable[str], now: int) -> None:
        """Elected: each may hold a lease of the old leader's until it is over or has spoken to this one."""
        self._lease_until_us = now + self._lease_us
        self._fallback_until_us = now + self._fallback_lease_us
        self._holders = {name: self._unknown() for name in sorted(gateways)}

    def _unknown(self) -> LeaseHolder:
        return LeaseHolder(self._lease_until_us, self._fallback_until_us)

    def renew(
        self,
        gateway: str,
        number: int,
        turn: int,
        state: ConfigState,
        is_leader: bool,
        now: int,
        incarnation: str = "",
        has_stopped: bool = False,
    ) -> Frame:
        """The answer to a renewal. What the gateway says of its turn counts even where it gets no lease.

        `is_leader`: this node leads, and all entries up to the leader's own first one are applied.
        """
        if not is_leader:
            return LeaseRefused(number, state.turn, "no leader")
        if not state.has_gateway_list():
            return LeaseRefused(number, state.turn, "no list of gateways yet")
        if gateway not in state.counting_gateways():
            return LeaseRefused(number, state.turn, NOT_NAMED)
        holder = self._holders.setdefault(gateway, self._unknown())
        # Two of one name would each take that name's share: the second waits until the first's lease is over.
        if holder.incarnation and incarnation != holder.incarnation and now < holder.lease_until_us:
            return LeaseRefused(number, state.turn, "another of that name has a lease")
        if incarnation != holder.incarnation:
            holder.incarnation = incarnation
            holder.turn = -1
        # A renewal that was long on its way says less than what came after it.
        holder.turn = max(holder.turn, turn)
        holder.heard_us = now
        holder.has_stopped = has_stopped
        if gateway not in state.named_gateways():
            return LeaseRefused(number, state.turn, NOT_NAMED)
        if turn != state.turn:
            return LeaseBehind(number, state.turn)
        holder.lease_until_us = max(holder.lease_until_us, now + self._lease_us)
        holder.fallback_until_us = max(holder.fallback_until_us, now + self._fallback_lease_us)
        return LeaseGranted(number, turn)

    def has_departed(self, gateway: str, state: ConfigState) -> bool:
        """Whether a departed gateway has said that it stopped, at a turn that doesn't name it."""
        holder = self._holders.get(gateway)
        return (
            gateway in state.departed_gateways
            and gateway not in state.named_gateways()
            and holder is not None
            and holder.has_stopped
            and holder.turn >= state.turn
        )

    def _unconfirmed(self, state: ConfigState, now: int) -> list[tuple[str, int]]:
        """Gateways that may still act at an earlier turn, each with the time at which that is over."""
        with_count = state.changes_count_without_lease()
        found = []
        for name in state.counting_gateways():
            holder = self._holders.get(name) or self._unknown()
            end = holder.fallback_until_us if with_count else holder.lease_until_us
            if holder.turn < state.turn and now < end:
                found.append((name, end))
        return found

    def can_advance(self, state: ConfigState, now: int) -> bool:
        """Whether each gateway acts at the present turn at least, or by nothing that it was granted."""
        return not self._unconfirmed(state, now)

    def next_expiry_us(self, state: ConfigState, now: int) -> int | None:
        """When `can_advance` becomes true if nothing more is heard; None: no turn waits, or it may go now."""
        if state.pending_turn() is None:
            return None
        return max((end for _, end in self._unconfirmed(state, now)), default=None)

    def blocking_gateways(self, state: ConfigState, now: int) -> list[str]:
        """The gateways that the next turn waits for, sorted, for logs and status."""
        return sorted(name for name, _ in self._unconfirmed(state, now))

    def gateway_statuses(self, state: ConfigState, now: int) -> list[GatewayStatus]:
        """What is known of each gateway that counts, sorted by name."""
        return [self._status(name, now) for name in sorted(state.counting_gateways())]

    def _status(self, name: str, now: int) -> GatewayStatus:
        holder = self._holders.get(name) or self._unknown()
        heard_ago_us = now - holder.heard_us if holder.heard_us >= 0 else -1
        return GatewayStatus(name, holder.turn, max(0, holder.lease_until_us - now), heard_ago_us)
