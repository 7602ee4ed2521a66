"""The leader's table of leases: who may act at which turn, and until when. Never in the log, gone with it."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import NamedTuple

from cresstray.fleet_config.codec import Frame, LeaseBehind, LeaseGranted, LeaseRefused
from cresstray.fleet_config.state import ConfigState

# How a refusal says that the gateway must stop.
NOT_NAMED = "not named"


@dataclass(slots=True)
class LeaseHolder:
    """`until`, `floor_until`: what the gateway was granted is over by then, whatever its clock does."""

    until_us: int
    count_until_us: int
    turn: int = -1  # it last said; -1: nothing yet
    heard_us: int = -1  # when
    incarnation: str = ""
    has_stopped: bool = False


class GatewayStatus(NamedTuple):
    gateway: str
    turn: int  # -1: not heard of
    lease_left_us: int  # microseconds of its lease, 0: over
    heard_ago_us: int  # since it was heard, -1: never


class LeaseTable:
    """`lease`, `floor_lease` in microseconds; `drift`: how much a clock may run wrong, as a part."""

    def __init__(self, lease: int, floor_lease: int, drift: float) -> None:
        self._lease = int(lease * (1 + drift)) + 1
        self._floor_lease = int(max(lease, floor_lease) * (1 + drift)) + 1
        self._holders: dict[str, LeaseHolder] = {}
        self._until = self._floor_until = 0  # of those that the leader before may have granted one

    def on_elected(self, gateways: Iterable[str], now: int) -> None:
        """Elected: each may hold a lease of the old leader's until it is over or has spoken to this one."""
        self._until, self._floor_until = now + self._lease, now + self._floor_lease
        self._holders = {name: self._unknown() for name in sorted(gateways)}

    def _unknown(self) -> LeaseHolder:
        return LeaseHolder(self._until, self._floor_until)

    def renew(
        self,
        gateway: str,
        number: int,
        turn: int,
        state: ConfigState,
        leads: bool,
        now: int,
        life: str = "",
        stopped: bool = False,
    ) -> Frame:
        """The answer. What the gateway says of its turn counts even where it gets no lease.

        `leads`: Node.leads(now), and all entries up to the leader's own first one are applied.
        """
        if not leads:
            return LeaseRefused(number, state.turn, "no leader")
        if not state.has_gateway_list():
            return LeaseRefused(number, state.turn, "no list of gateways yet")
        if gateway not in state.counting_gateways():
            return LeaseRefused(number, state.turn, NOT_NAMED)
        holder = self._holders.setdefault(gateway, self._unknown())
        # Danger: two of one name would each take that name's share. The second waits for the first's lease.
        if holder.incarnation and life != holder.incarnation and now < holder.until_us:
            return LeaseRefused(number, state.turn, "another of that name has a lease")
        if life != holder.incarnation:
            holder.incarnation, holder.turn = life, -1
        # Danger: a word that was long on its way says less than what came after it.
        holder.turn, holder.heard_us, holder.has_stopped = max(holder.turn, turn), now, stopped
        if gateway not in state.named_gateways():
            return LeaseRefused(number, state.turn, NOT_NAMED)
        if turn != state.turn:
            return LeaseBehind(number, state.turn)
        holder.until_us = max(holder.until_us, now + self._lease)
        holder.count_until_us = max(holder.count_until_us, now + self._floor_lease)
        return LeaseGranted(number, turn)

    def has_departed(self, gateway: str, state: ConfigState) -> bool:
        """Whether a ghost has said that it has stopped, at a turn that doesn't name it: time for `gone`."""
        holder = self._holders.get(gateway)
        return (
            gateway in state.departed_gateways
            and gateway not in state.named_gateways()
            and holder is not None
            and holder.has_stopped
            and holder.turn >= state.turn
        )

    def _open(self, state: ConfigState, now: int) -> list[int]:
        """When what is not confirmed will be over, for each gateway that is waited for."""
        floor = state.changes_count_without_lease()
        ends = []
        for name in state.counting_gateways():
            holder = self._holders.get(name) or self._unknown()
            end = holder.count_until_us if floor else holder.until_us
            if holder.turn < state.turn and now < end:
                ends.append(end)
        return ends

    def can_advance(self, state: ConfigState, now: int) -> bool:
        """Whether each gateway acts at the present turn at least, or by nothing that it was granted."""
        return not self._open(state, now)

    def next_expiry_us(self, state: ConfigState, now: int) -> int | None:
        """When `may_turn` becomes true if nothing more is heard; None: no turn waits, or it may go now."""
        if state.pending_turn() is None:
            return None
        return max(self._open(state, now), default=None)

    def blocking_gateways(self, state: ConfigState, now: int) -> list[str]:
        """The gateways that the next turn waits for, for logs and `where`."""
        floor = state.changes_count_without_lease()
        return [
            name
            for name in sorted(state.counting_gateways())
            for holder in [self._holders.get(name) or self._unknown()]
            if holder.turn < state.turn and now < (holder.count_until_us if floor else holder.until_us)
        ]

    def gateway_statuses(self, state: ConfigState, now: int) -> list[GatewayStatus]:
        made = []
        for name in sorted(state.counting_gateways()):
            holder = self._holders.get(name) or self._unknown()
            made.append(
                GatewayStatus(
                    name,
                    holder.turn,
                    max(0, holder.until_us - now),
                    now - holder.heard_us if holder.heard_us >= 0 else -1,
                )
            )
        return made
