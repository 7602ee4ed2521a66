"""The leader's table of leases: who may act at which turn, and until when. Never in the log, gone with it."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import NamedTuple

from cresstray.fleet_config.codec import Behind, Frame, Granted, Refused
from cresstray.fleet_config.state import State

# How a refusal says that the gateway must stop.
NOT_NAMED = "not named"


@dataclass(slots=True)
class Holder:
    """`until`, `floor_until`: what the gateway was granted is over by then, whatever its clock does."""

    until: int
    floor_until: int
    turn: int = -1  # it last said; -1: nothing yet
    heard: int = -1  # when
    life: str = ""
    stopped: bool = False


class Where(NamedTuple):
    gateway: str
    turn: int  # -1: not heard of
    left: int  # microseconds of its lease, 0: over
    age: int  # since it was heard, -1: never


class Leases:
    """`lease`, `floor_lease` in microseconds; `drift`: how much a clock may run wrong, as a part."""

    def __init__(self, lease: int, floor_lease: int, drift: float) -> None:
        self._lease = int(lease * (1 + drift)) + 1
        self._floor_lease = int(max(lease, floor_lease) * (1 + drift)) + 1
        self._holders: dict[str, Holder] = {}
        self._until = self._floor_until = 0  # of those that the leader before may have granted one

    def lead(self, gateways: Iterable[str], now: int) -> None:
        """Elected: each may hold a lease of the old leader's until it is over or has spoken to this one."""
        self._until, self._floor_until = now + self._lease, now + self._floor_lease
        self._holders = {name: self._unknown() for name in sorted(gateways)}

    def _unknown(self) -> Holder:
        return Holder(self._until, self._floor_until)

    def renew(
        self,
        gateway: str,
        number: int,
        turn: int,
        state: State,
        leads: bool,
        now: int,
        life: str = "",
        stopped: bool = False,
    ) -> Frame:
        """The answer. What the gateway says of its turn counts even where it gets no lease.

        `leads`: Node.leads(now), and all entries up to the leader's own first one are applied.
        """
        if not leads:
            return Refused(number, state.turn, "no leader")
        if not state.listed():
            return Refused(number, state.turn, "no list of gateways yet")
        if gateway not in state.gateways():
            return Refused(number, state.turn, NOT_NAMED)
        holder = self._holders.setdefault(gateway, self._unknown())
        # Danger: two of one name would each take that name's share. The second waits for the first's lease.
        if holder.life and life != holder.life and now < holder.until:
            return Refused(number, state.turn, "another of that name has a lease")
        if life != holder.life:
            holder.life, holder.turn = life, -1
        # Danger: a word that was long on its way says less than what came after it.
        holder.turn, holder.heard, holder.stopped = max(holder.turn, turn), now, stopped
        if gateway not in state.named():
            return Refused(number, state.turn, NOT_NAMED)
        if turn != state.turn:
            return Behind(number, state.turn)
        holder.until = max(holder.until, now + self._lease)
        holder.floor_until = max(holder.floor_until, now + self._floor_lease)
        return Granted(number, turn)

    def is_out(self, gateway: str, state: State) -> bool:
        """Whether a ghost has said that it has stopped, at a turn that doesn't name it: time for `gone`."""
        holder = self._holders.get(gateway)
        return (
            gateway in state.ghosts
            and gateway not in state.named()
            and holder is not None
            and holder.stopped
            and holder.turn >= state.turn
        )

    def _open(self, state: State, now: int) -> list[int]:
        """When what is not confirmed will be over, for each gateway that is waited for."""
        floor = state.touches_floor()
        ends = []
        for name in state.gateways():
            holder = self._holders.get(name) or self._unknown()
            end = holder.floor_until if floor else holder.until
            if holder.turn < state.turn and now < end:
                ends.append(end)
        return ends

    def may_turn(self, state: State, now: int) -> bool:
        """Whether each gateway acts at the present turn at least, or by nothing that it was granted."""
        return not self._open(state, now)

    def due(self, state: State, now: int) -> int | None:
        """When `may_turn` becomes true if nothing more is heard; None: no turn waits, or it may go now."""
        if state.wants_turn() is None:
            return None
        return max(self._open(state, now), default=None)

    def waits_for(self, state: State, now: int) -> list[str]:
        """The gateways that the next turn waits for, for logs and `where`."""
        floor = state.touches_floor()
        return [
            name
            for name in sorted(state.gateways())
            for holder in [self._holders.get(name) or self._unknown()]
            if holder.turn < state.turn and now < (holder.floor_until if floor else holder.until)
        ]

    def where(self, state: State, now: int) -> list[Where]:
        made = []
        for name in sorted(state.gateways()):
            holder = self._holders.get(name) or self._unknown()
            made.append(
                Where(
                    name,
                    holder.turn,
                    max(0, holder.until - now),
                    now - holder.heard if holder.heard >= 0 else -1,
                )
            )
        return made
