"""The leader's table of leases: which gateway may act at which turn, and until when.

The table is not replicated; a new leader starts with an empty one. What is replicated is to which process of
each gateway leases were last granted (`ConfigState.lease_holders`), recorded before the first grant.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import NamedTuple

from cresstray.fleet_config.codec import Frame, LeaseBehind, LeaseGranted, LeaseRefused
from cresstray.fleet_config.state import ConfigState

# The wire reason of a refusal after which the gateway must stop sending.
NOT_NAMED = "not named"


@dataclass(slots=True)
class LeaseHolder:
    """The lease state of one gateway.

    `lease_until_us` and `fallback_until_us` include the largest clock drift: after them the gateway no longer
    acts on its lease or on `count_without_lease`, whatever its own clock does.
    """

    lease_until_us: int
    fallback_until_us: int
    turn: int = -1  # the latest turn that the gateway has confirmed; -1: none
    heard_us: int = -1  # time of the last renewal; -1: none
    incarnation: str = ""
    has_stopped: bool = False


class GatewayStatus(NamedTuple):
    """What the leader knows of one gateway, for status output."""

    gateway: str
    turn: int  # -1: none confirmed
    lease_left_us: int  # 0: expired
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
        # Until when a gateway may hold a lease that the previous leader granted.
        self._lease_until_us = 0
        self._fallback_until_us = 0

    def on_elected(self, gateways: Iterable[str], now_us: int) -> None:
        """Starts a new table when this node is elected.

        Each gateway may hold a lease from the previous leader until that has expired or the gateway has
        renewed its lease with this leader.
        """
        self._lease_until_us = now_us + self._lease_us
        self._fallback_until_us = now_us + self._fallback_lease_us
        self._holders = {name: self._new_holder() for name in sorted(gateways)}

    def _new_holder(self) -> LeaseHolder:
        return LeaseHolder(self._lease_until_us, self._fallback_until_us)

    def renew(
        self,
        gateway: str,
        number: int,
        turn: int,
        state: ConfigState,
        is_leader: bool,
        now_us: int,
        incarnation: str = "",
        has_stopped: bool = False,
    ) -> Frame:
        """Returns the reply to a renewal.

        The turn that the gateway reports is noted even if it gets no lease. `is_leader` says that this
        node leads and has applied all entries up to the first one of its own term. Where `must_record` is
        true, the process must be recorded as the holder first.
        """
        if not is_leader:
            return LeaseRefused(number, state.turn, "no leader")
        if not state.has_gateway_list():
            return LeaseRefused(number, state.turn, "no list of gateways yet")
        if gateway not in state.counting_gateways():
            return LeaseRefused(number, state.turn, NOT_NAMED)
        holder = self._holders.setdefault(gateway, self._new_holder())
        if self._is_held_by_another(gateway, incarnation, state, now_us):
            return LeaseRefused(number, state.turn, "another of that name has a lease")
        if incarnation != holder.incarnation:
            holder.incarnation = incarnation
            holder.turn = -1
        # A delayed renewal may arrive after a later one; its lower turn is outdated.
        holder.turn = max(holder.turn, turn)
        holder.heard_us = now_us
        holder.has_stopped = has_stopped
        if gateway not in state.named_gateways():
            return LeaseRefused(number, state.turn, NOT_NAMED)
        if turn != state.turn:
            return LeaseBehind(number, state.turn)
        holder.lease_until_us = max(holder.lease_until_us, now_us + self._lease_us)
        holder.fallback_until_us = max(holder.fallback_until_us, now_us + self._fallback_lease_us)
        return LeaseGranted(number, turn)

    def must_record(self, gateway: str, incarnation: str, turn: int, state: ConfigState, now_us: int) -> bool:
        """Returns whether a renewal would be granted to a process that is not recorded as the holder yet.

        A later leader would not know that this process has a lease.
        """
        return (
            bool(incarnation)
            and state.lease_holders.get(gateway) != incarnation
            and turn == state.turn
            and gateway in state.named_gateways()
            and not self._is_held_by_another(gateway, incarnation, state, now_us)
        )

    def _is_held_by_another(self, gateway: str, incarnation: str, state: ConfigState, now_us: int) -> bool:
        """Returns whether another process of this name may have an unexpired lease.

        Two processes with one name would each use that name's share of the engines. Until a process has
        renewed with this leader, the recorded one may have a lease that an earlier leader granted.
        """
        holder = self._holders.get(gateway) or self._new_holder()
        owner = holder.incarnation or state.lease_holders.get(gateway, "")
        return bool(owner) and incarnation != owner and now_us < holder.lease_until_us

    def has_departed(self, gateway: str, state: ConfigState) -> bool:
        """Returns whether a departed gateway has reported that it stopped at a turn without it."""
        holder = self._holders.get(gateway)
        return (
            gateway in state.departed_gateways
            and gateway not in state.named_gateways()
            and holder is not None
            and holder.has_stopped
            and holder.turn >= state.turn
        )

    def _unconfirmed(self, state: ConfigState, now_us: int) -> list[tuple[str, int]]:
        """Returns the gateways that may still act at an earlier turn, each with the time when that ends."""
        changes_fallback = state.changes_count_without_lease()
        unconfirmed = []
        for name in state.counting_gateways():
            holder = self._holders.get(name) or self._new_holder()
            end_us = holder.fallback_until_us if changes_fallback else holder.lease_until_us
            if holder.turn < state.turn and now_us < end_us:
                unconfirmed.append((name, end_us))
        return unconfirmed

    def can_advance(self, state: ConfigState, now_us: int) -> bool:
        """Returns whether every gateway has confirmed the current turn or holds no unexpired grant."""
        return not self._unconfirmed(state, now_us)

    def next_expiry_us(self, state: ConfigState, now_us: int) -> int | None:
        """Returns when `can_advance` becomes true if no gateway is heard from.

        None if no turn is pending, or if it can be taken now.
        """
        if state.pending_turn() is None:
            return None
        return max((end_us for _, end_us in self._unconfirmed(state, now_us)), default=None)

    def blocking_gateways(self, state: ConfigState, now_us: int) -> list[str]:
        """Returns the sorted names of the gateways that the next turn waits for, for logs and status."""
        return sorted(name for name, _ in self._unconfirmed(state, now_us))

    def gateway_statuses(self, state: ConfigState, now_us: int) -> list[GatewayStatus]:
        """Returns the status of each counted gateway, sorted by name."""
        return [self._status(name, now_us) for name in sorted(state.counting_gateways())]

    def _status(self, name: str, now_us: int) -> GatewayStatus:
        holder = self._holders.get(name) or self._new_holder()
        heard_ago_us = now_us - holder.heard_us if holder.heard_us >= 0 else -1
        return GatewayStatus(name, holder.turn, max(0, holder.lease_until_us - now_us), heard_ago_us)
