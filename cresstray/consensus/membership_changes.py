"""Proposals, membership changes (one name at a time) and leadership transfer of a Raft leader."""

from __future__ import annotations

from cresstray.consensus.codec import Now
from cresstray.consensus.commitment import Commitment
from cresstray.consensus.entries import MOST_DATA, Entry, Kind, Members
from cresstray.consensus.node_state import Role

# Without a majority a leader would keep all that is proposed until it steps down.
_MAX_OPEN_BYTES = 16 * 1024 * 1024
_MAX_OPEN_ENTRIES = 10_000
# A learner that is further behind than this would hold up commits as soon as it votes.
_MAX_LEARNER_LAG = 100


class MembershipChanges(Commitment):
    """What a caller asks of a leader that appends to the log, or ends its leadership."""

    def _accepts_proposals(self) -> bool:
        return self.role is Role.LEADER and self._heir is None

    def _propose_data(self, data: bytes, now: int) -> tuple[int, int] | None:
        if len(data) > MOST_DATA:
            raise ValueError(f"an entry of {len(data)} bytes; {MOST_DATA} at most")
        if not self._accepts_proposals():
            return None
        is_full = self._open + len(data) > _MAX_OPEN_BYTES
        if is_full or self._log.last - self.commit >= _MAX_OPEN_ENTRIES:
            return None
        return self._propose(Kind.DATA, data, now)

    def _propose_members(self, members: Members, now: int) -> tuple[int, int] | None:
        if not self._accepts_proposals():
            return None
        self._check(members, now)
        made = self._propose(Kind.MEMBERS, members.encoded(), now)
        self._know_peers()
        self._broadcast(now)
        self._count(now)
        return made

    def _propose(self, kind: Kind, data: bytes, now: int) -> tuple[int, int]:
        index = self._log.append(Entry(self.term, kind, data))
        self._open += len(data)
        if kind is Kind.DATA:
            self._broadcast(now)
        return index, self.term

    def _start_transfer(self, to: str, now: int) -> bool:
        if not self._accepts_proposals() or to == self.name or to not in self.members.voters:
            return False
        self._heir = to
        self._heir_until = now + self._times.election
        self._hand_over(now)
        self._feed(to, now)
        return True

    def _hand_over(self, now: int) -> None:
        """Tells the target to stand once it has all of the log; from then on there is no lease."""
        assert self._heir is not None
        if self._peers[self._heir].match == self._log.last:
            self._sent_now = True
            self._frames.append((self._heir, Now(self.term)))

    def _check(self, members: Members, now: int) -> None:
        """Raises ValueError where the list cannot follow the present one now."""
        _check_names(members)
        if self._log.term_at(self.commit) != self.term:
            raise ValueError("this leader has committed nothing yet; try again")
        if self._log.changed > self.commit:
            raise ValueError("another change of members is not yet committed")
        changed = _changed_names(self.members, members)
        if len(changed) != 1:
            raise ValueError(f"one name at a time; {len(changed)} would change")
        if changed[0] in members.voters:
            self._check_new_voter(changed[0], now)

    def _check_new_voter(self, name: str, now: int) -> None:
        if name not in self.members.learners:
            raise ValueError(f"{name} is to be a learner first")
        if not self.hears(name, now):
            raise ValueError(f"{name} is not heard of")
        peer = self._peers[name]
        if peer.match + _MAX_LEARNER_LAG < self._log.last:
            raise ValueError(f"{name} is {self._log.last - peer.match} entries behind")


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
    """Returns the names whose part differs between the two lists."""
    return [
        name
        for name in dict.fromkeys(old.names() + new.names())
        if (name in old.voters, name in old.learners) != (name in new.voters, name in new.learners)
    ]
