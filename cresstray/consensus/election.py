"""Leader election of Raft, with pre-votes: a node that is cut off does not drive up the term."""

from __future__ import annotations

from cresstray.consensus.codec import Now, PreVote, PreVoted, Vote, Voted
from cresstray.consensus.entries import Entry, Kind
from cresstray.consensus.node_state import Role
from cresstray.consensus.replication import Replication
from cresstray.transport.framing import Frame


class Election(Replication):
    """Votes, and stands for election."""

    def _ask(self, now: int) -> None:
        """Asks the voters whether it would be elected."""
        self.role = Role.ASKING
        self.leader = None
        self._votes = {self.name}
        self._to_voters(PreVote(self.term + 1, self._log.last, self._log.last_term))
        if self._majority():
            self._stand(now, False)

    def _stand(self, now: int, transfer: bool) -> None:
        assert transfer or not self._keeps_to_leader(now), "it promised not to vote so soon"
        self._new_term(self.term + 1)
        self.role = Role.CANDIDATE
        self._voted_for = self.name
        self._votes = {self.name}
        self._put_off(now)
        self._to_voters(Vote(self.term, self._log.last, self._log.last_term, transfer))

    def _to_voters(self, frame: Frame) -> None:
        self._frames += [(to, frame) for to in self.members.voters if to != self.name]

    def _majority(self) -> bool:
        voters = self.members.voters
        return sum(name in self._votes for name in voters) > len(voters) // 2

    def _won(self) -> bool:
        return self._term_stored == self.term and self._majority()

    def _keeps_to_leader(self, now: int) -> bool:
        """Returns whether it heard a leader within the election timeout, or is one.

        The lease rests on this.
        """
        return self.role is Role.LEADER or now - self._heard < self._times.election

    def _up_to_date(self, index: int, term: int) -> bool:
        return (term, index) >= (self._log.last_term, self._log.last)

    def _lead(self, now: int) -> None:
        self.role = Role.LEADER
        self.leader = self.name
        self.led_since = now
        self._peers = {}
        self._open = 0
        self._know_peers()
        self._log.append(Entry(self.term, Kind.NOTHING, b""))
        self._beat_at = now + self._times.beat
        self._broadcast(now, fresh=True)

    def _on_pre_vote(self, sender: str, frame: PreVote, now: int) -> None:
        granted = (
            frame.term > self.term
            and not self._keeps_to_leader(now)
            and self._up_to_date(frame.index, frame.log_term)
        )
        self._frames.append((sender, PreVoted(frame.term if granted else self.term, granted)))

    def _on_vote(self, sender: str, frame: Vote, now: int) -> None:
        # A vote within the election timeout would break the lease of the leader it heard, also where it has
        # learnt of the later term in other ways meanwhile.
        transfer = frame.transfer and sender in self.members.names()
        if frame.term >= self.term and self._keeps_to_leader(now) and not transfer:
            return
        if frame.term > self.term:
            self._follow(frame.term, None, now)
        granted = (
            frame.term == self.term
            and self.role in (Role.FOLLOWER, Role.ASKING)
            and self.leader is None
            and self._voted_for in (None, sender)
            and self._up_to_date(frame.index, frame.log_term)
        )
        if granted:
            self.role = Role.FOLLOWER
            if self._voted_for is None:
                self._voted_for = sender
                self._dirty = True
            self._put_off(now)
        self._frames.append((sender, Voted(self.term, granted)))

    def _on_pre_voted(self, sender: str, frame: PreVoted, now: int) -> None:
        """Counts a granted pre-vote."""
        if self.role is Role.ASKING and frame.term == self.term + 1:
            self._votes.add(sender)
            if self._majority() and not self._keeps_to_leader(now):
                self._stand(now, False)

    def _on_voted(self, sender: str, frame: Voted, now: int) -> None:
        """Counts a vote of this term."""
        if self.role is Role.CANDIDATE and frame.granted:
            self._votes.add(sender)
            if self._won():
                self._lead(now)

    def _on_now(self, sender: str, frame: Now, now: int) -> None:
        is_of_leader = frame.term == self.term and self.role is Role.FOLLOWER and sender == self.leader
        if is_of_leader and self.name in self.members.voters:
            self._stand(now, True)
