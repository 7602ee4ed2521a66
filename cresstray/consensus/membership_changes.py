"""A leader's proposals, single-server membership changes and leadership transfer."""

from __future__ import annotations

from cresstray.consensus.codec import TimeoutNow
from cresstray.consensus.commitment import Commitment
from cresstray.consensus.entries import MAX_DATA_BYTES, Entry, EntryKind, Members
from cresstray.consensus.node_state import Role

# Bounds the entries that a leader without a majority accepts until it steps down.
_MAX_UNCOMMITTED_BYTES = 16 * 1024 * 1024
_MAX_UNCOMMITTED_ENTRIES = 10_000
# A learner that lags by more would delay commits once it is a voter.
_MAX_LEARNER_LAG = 100


class MembershipChanges(Commitment):
    """Handles a caller's proposals, membership changes and leadership transfers."""

    def _accepts_proposals(self) -> bool:
        return self.role is Role.LEADER and self._transfer_target is None

    def _propose_data(self, data: bytes, now_us: int) -> tuple[int, int] | None:
        if len(data) > MAX_DATA_BYTES:
            raise ValueError(f"an entry of {len(data)} bytes; {MAX_DATA_BYTES} at most")
        if not self._accepts_proposals():
            return None
        exceeds_bytes = self._uncommitted_bytes + len(data) > _MAX_UNCOMMITTED_BYTES
        if exceeds_bytes or self._log.last_index - self.commit_index >= _MAX_UNCOMMITTED_ENTRIES:
            return None
        return self._propose(EntryKind.DATA, data, now_us)

    def _propose_members(self, members: Members, now_us: int) -> tuple[int, int] | None:
        if not self._accepts_proposals():
            return None
        self._check_members_change(members, now_us)
        proposed = self._propose(EntryKind.MEMBERS, members.encode(), now_us)
        self._update_peers()
        self._broadcast(now_us)
        self._advance_commit_index(now_us)
        return proposed

    def _propose(self, kind: EntryKind, data: bytes, now_us: int) -> tuple[int, int]:
        index = self._log.append(Entry(self.term, kind, data))
        self._uncommitted_bytes += len(data)
        if kind is EntryKind.DATA:
            self._broadcast(now_us)
        return index, self.term

    def _start_transfer(self, to: str, now_us: int) -> bool:
        if not self._accepts_proposals() or to == self.name or to not in self.members.voters:
            return False
        self._transfer_target = to
        self._transfer_deadline_us = now_us + self._timing.election_timeout_us
        self._continue_transfer(now_us)
        self._send_to_peer(to, now_us)
        return True

    def _continue_transfer(self, now_us: int) -> None:
        """Tells the target to start an election once it has the whole log; from then on there is no lease."""
        assert self._transfer_target is not None
        if self._peers[self._transfer_target].match_index == self._log.last_index:
            self._sent_timeout_now = True
            self._messages.append((self._transfer_target, TimeoutNow(self.term)))

    def _check_members_change(self, members: Members, now_us: int) -> None:
        """Raises ValueError if `members` can't replace the present members now."""
        _check_names(members)
        if self._log.term_at(self.commit_index) != self.term:
            raise ValueError("this leader has committed nothing yet; try again")
        if self._log.members_index > self.commit_index:
            raise ValueError("another change of members is not yet committed")
        changed = _changed_names(self.members, members)
        if len(changed) != 1:
            raise ValueError(f"one name at a time; {len(changed)} would change")
        if changed[0] in members.voters:
            self._check_new_voter(changed[0], now_us)

    def _check_new_voter(self, name: str, now_us: int) -> None:
        if name not in self.members.learners:
            raise ValueError(f"{name} is to be a learner first")
        if not self.is_recently_active(name, now_us):
            raise ValueError(f"{name} is not heard of")
        peer = self._peers[name]
        if peer.match_index + _MAX_LEARNER_LAG < self._log.last_index:
            raise ValueError(f"{name} is {self._log.last_index - peer.match_index} entries behind")


def _check_names(members: Members) -> None:
    if not members.voters:
        raise ValueError("no voters would be left")
    for names in (members.voters, members.learners):
        if list(names) != sorted(set(names)):
            raise ValueError("names are sorted, each there once")
    names = members.names()
    if len(set(names)) != len(names):
        raise ValueError("a name is a voter or a learner, not both")


def _changed_names(old: Members, new: Members) -> list[str]:
    """Returns the names whose role differs between the two lists."""
    return [
        name
        for name in dict.fromkeys(old.names() + new.names())
        if (name in old.voters, name in old.learners) != (name in new.voters, name in new.learners)
    ]
