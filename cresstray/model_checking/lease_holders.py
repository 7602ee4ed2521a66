"""Model of leases: two processes of one gateway's name, and leaders that follow one another.

The lease table, the renewal handler and the configuration state are the real ones. Renewals and replies
arrive as late as the world likes, a leader may lose its office at any time, and what it had proposed is then
committed or lost. A process holds its lease from when it sent the renewal that was granted.
"""

from __future__ import annotations

from typing import Any, NamedTuple

import msgspec

from cresstray.fleet_config import commands
from cresstray.fleet_config.codec import Frame, LeaseGranted, RenewLease
from cresstray.fleet_config.documents import EMPTY, FleetInventory, Gateway, GatewayList, encode_delta
from cresstray.fleet_config.leases import LeaseTable
from cresstray.fleet_config.renewals import PendingRenewal, RenewalHandler
from cresstray.fleet_config.state import ConfigState
from cresstray.model_checking.patching import Mutant, lines
from cresstray.model_checking.world import Bounds, Copied

_GATEWAY = "g1"
_START_US, _LEASE_US = 10_000_000, 2_000_000
# Time passes in halves of a lease.
_STEP_US = _LEASE_US // 2


class _Proposal(NamedTuple):
    data: bytes
    callback: Any


class _Process:
    """One process of the gateway: renewals that it sent, and until when it holds a lease."""

    def __init__(self, name: str, renewals_left: int) -> None:
        self.name, self.renewals_left = name, renewals_left
        self.lease_until_us = 0
        # On their way: renewals, and of replies, that are granted, when their renewals were sent.
        self.renewals: list[RenewLease] = []
        self.grants_us: list[int] = []

    def renew(self, turn: int, now_us: int) -> None:
        # Its number is the time, which tells when the lease of its grant begins.
        self.renewals.append(RenewLease(now_us, turn, self.name))

    def reply(self, frame: Frame) -> None:
        if isinstance(frame, LeaseGranted):
            self.grants_us.append(frame.number)

    def receive(self) -> None:
        self.lease_until_us = max(self.lease_until_us, self.grants_us.pop(0) + _LEASE_US)

    def forget_ended(self, now_us: int) -> None:
        """Makes states equal that differ only in leases that are over."""
        self.grants_us = [sent_us for sent_us in self.grants_us if now_us < sent_us + _LEASE_US]
        if self.lease_until_us <= now_us:
            self.lease_until_us = 0


class LeaseWorld(Copied):
    """Both processes, the network, the log and the leader in office."""

    def __init__(self, bounds: Bounds) -> None:
        self.broken: list[str] = []
        self.now_us = _START_US
        self.steps_left = 3 if bounds.words is None else bounds.words
        self.elections_left = 1 if bounds.faults is None else bounds.faults
        self.state = ConfigState(FleetInventory())
        self._name_gateway()
        renewals = 2 if bounds.submissions is None else bounds.submissions
        self.processes = {name: _Process(name, renewals) for name in ("a", "b")}
        self.proposals: list[_Proposal] = []
        self._elect()

    def _name_gateway(self) -> None:
        documents = msgspec.structs.replace(EMPTY, gateways=GatewayList({_GATEWAY: Gateway()}))
        change = encode_delta(EMPTY, documents)
        self.state.apply(1, commands.encode_proposal("list", EMPTY.versions, change, "the first list"))
        self.state.apply(2, commands.encode_advance(1))
        self.state.apply(3, commands.encode_advance(2))

    def _elect(self) -> None:
        self.proposals = []
        leases = LeaseTable(_LEASE_US, _LEASE_US, 0.0)
        leases.on_elected(self.state.counting_gateways(), self.now_us)
        self.handler = RenewalHandler(leases, self.state, self._propose)

    def _propose(self, data: bytes, callback: Any) -> bool:
        self.proposals.append(_Proposal(data, callback))
        return True

    # Choices.

    def choices(self) -> list[str]:
        """Returns the steps that the world may take."""
        found = []
        for name, process in self.processes.items():
            if process.renewals_left:
                found.append(f"{name} renews")
            if process.renewals:
                found.append(f"leader hears {name}")
            if process.grants_us:
                found.append(f"{name} hears")
        if self.proposals:
            found.append("log commits")
        if self.elections_left:
            found += ["leader changes"] + ["leader changes and keeps the log"] * bool(self.proposals)
        if self.steps_left:
            found.append("time passes")
        return found

    def do(self, choice: str) -> None:
        """Takes a step; what it breaks is added to `broken`."""
        try:
            self._do(choice)
        except Exception as error:
            self.broken.append(f"sound: {error!r}")
        holders = [name for name, one in self.processes.items() if self.now_us < one.lease_until_us]
        if len(holders) > 1:
            self.broken.append("one_holder: both processes have a lease")

    def _do(self, choice: str) -> None:
        match choice.split():
            case [name, "renews"]:
                self.processes[name].renewals_left -= 1
                self.processes[name].renew(self.state.turn, self.now_us)
            case [name, "hears"]:
                self.processes[name].receive()
            case ["leader", "hears", name]:
                frame = self.processes[name].renewals.pop(0)
                self.handler.add(PendingRenewal(self.processes[name].reply, _GATEWAY, frame))
                self.handler.answer(True, True, self.now_us)
            case ["log", "commits"]:
                proposal = self.proposals.pop(0)
                proposal.callback(self.state.apply(0, proposal.data))
                self.handler.answer(True, True, self.now_us)
            case ["leader", "changes", *how]:
                self.elections_left -= 1
                for proposal in self.proposals if how else ():
                    self.state.apply(0, proposal.data)
                self._elect()
            case ["time", "passes"]:
                self.steps_left -= 1
                self.now_us += _STEP_US
                for process in self.processes.values():
                    process.forget_ended(self.now_us)

    # States.

    def quiet(self) -> bool:
        """Returns whether nothing is under way."""
        return not (self.proposals or any(one.renewals for one in self.processes.values()))

    def moment(self) -> float:
        """Milliseconds since the start, for traces."""
        return (self.now_us - _START_US) / 1000


CONFIGURATIONS = {"holders": LeaseWorld}
MUTANTS = (
    Mutant(
        "holder_known_to_one_leader_only",
        "one_holder",
        "holders",
        lines(
            (
                LeaseTable._is_held_by_another,
                'holder.incarnation or state.lease_holders.get(gateway, "")',
                "holder.incarnation",
            )
        ),
    ),
    Mutant(
        "granted_before_it_is_recorded",
        "one_holder",
        "holders",
        lines((LeaseTable.must_record, "bool(incarnation)", "False")),
    ),
    Mutant(
        "granted_while_another_is_recorded",
        "one_holder",
        "holders",
        lines((RenewalHandler._must_wait, "if gateway in self._proposed_holders:", "if False:")),
    ),
)
