"""The leader's answers to lease renewals. Performs no I/O and reads no clock."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from cresstray.fleet_config import commands
from cresstray.fleet_config.codec import Frame, LeaseRefused, RenewLease
from cresstray.fleet_config.leases import LeaseTable
from cresstray.fleet_config.state import ConfigState

# Proposes a log entry. The callback gets its result once it is applied, or None if the outcome is unknown.
# Returns False if this node does not lead.
Propose = Callable[[bytes, Callable[[bytes | None], None]], bool]


@dataclass(frozen=True)
class PendingRenewal:
    """A renewal that waits for its reply."""

    reply: Callable[[Frame], None]
    gateway: str
    frame: RenewLease


class RenewalHandler:
    """Answers renewals, and proposes the log entries that follow from them.

    A process gets its first lease only after a log entry names it as the holder, so that the next leader
    knows which of several processes with one name may have a lease.
    """

    def __init__(self, leases: LeaseTable, state: ConfigState, propose: Propose) -> None:
        self._leases, self._state, self._propose = leases, state, propose
        self._pending: list[PendingRenewal] = []
        self._proposed_departures: set[str] = set()  # since this node was elected
        self._proposed_holders: set[str] = set()  # gateways whose holder is proposed and not applied yet

    def add(self, renewal: PendingRenewal) -> None:
        """Adds a renewal, to be answered by the next call of `answer`."""
        self._pending.append(renewal)

    @property
    def has_pending(self) -> bool:
        """Whether renewals wait for `answer`."""
        return bool(self._pending)

    def on_elected(self) -> None:
        """Forgets what was proposed in earlier terms, once all that was committed there is applied."""
        self._proposed_departures.clear()
        self._proposed_holders.clear()

    def answer(self, has_applied_earlier_terms: bool, is_leader: bool, now_us: int) -> None:
        """Answers all pending renewals.

        Args:
            has_applied_earlier_terms: Whether this node has been elected, and has applied all that was
                committed before that.
            is_leader: Whether it also has the leader's lease now.
            now_us: The current time.
        """
        renewals, self._pending = self._pending, []
        for renewal in renewals:
            if not has_applied_earlier_terms:
                self._refuse(renewal, "no leader")
            elif not (is_leader and self._must_wait(renewal, now_us)):
                renewal.reply(self._renew(renewal, is_leader, now_us))
                self._propose_departure(renewal.gateway)

    def _refuse(self, renewal: PendingRenewal, reason: str) -> None:
        renewal.reply(LeaseRefused(renewal.frame.number, self._state.turn, reason))

    def _renew(self, renewal: PendingRenewal, is_leader: bool, now_us: int) -> Frame:
        frame = renewal.frame
        return self._leases.renew(
            renewal.gateway,
            frame.number,
            frame.turn,
            self._state,
            is_leader,
            now_us,
            frame.incarnation,
            frame.has_stopped,
        )

    def _must_wait(self, renewal: PendingRenewal, now_us: int) -> bool:
        """Proposes the process as the holder where that is needed, and returns whether the reply waits."""
        gateway, frame = renewal.gateway, renewal.frame
        if gateway in self._proposed_holders:
            # Granted to another process now, the lease would be that of a process that is not recorded.
            self._refuse(renewal, "the holder of its lease is being recorded")
            return True
        if not self._leases.must_record(gateway, frame.incarnation, frame.turn, self._state, now_us):
            return False

        def on_applied(result: bytes | None) -> None:
            self._proposed_holders.discard(gateway)
            if result is None:
                self._refuse(renewal, "no leader")
            else:
                self.add(renewal)

        self._proposed_holders.add(gateway)
        if not self._propose(commands.encode_lease_holder(gateway, frame.incarnation), on_applied):
            on_applied(None)
        return True

    def _propose_departure(self, gateway: str) -> None:
        if self._leases.has_departed(gateway, self._state) and gateway not in self._proposed_departures:
            self._proposed_departures.add(gateway)
            self._propose(commands.encode_departed(gateway), lambda _: None)
