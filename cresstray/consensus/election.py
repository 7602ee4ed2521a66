"""Leader election with pre-votes, which keep a partitioned node from increasing its term."""

from __future__ import annotations

from cresstray.consensus.codec import PreVoteRequest, PreVoteResponse, TimeoutNow, VoteRequest, VoteResponse
from cresstray.consensus.entries import Entry, EntryKind
from cresstray.consensus.node_state import Role
from cresstray.consensus.replication import Replication
from cresstray.transport.framing import Frame


class Election(Replication):
    """Grants votes and starts elections."""

    def _start_pre_vote(self, now_us: int) -> None:
        """Asks the voters whether they would elect this node."""
        self.role = Role.PRE_CANDIDATE
        self.leader = None
        self._votes = {self.name}
        self._send_to_voters(PreVoteRequest(self.term + 1, self._log.last_index, self._log.last_term))
        if self._has_majority():
            self._start_election(now_us, False)

    def _start_election(self, now_us: int, transfer: bool) -> None:
        assert transfer or not self._has_active_leader(now_us), (
            "a vote within the election timeout would break the leader's lease"
        )
        self._enter_term(self.term + 1)
        self.role = Role.CANDIDATE
        self._voted_for = self.name
        self._votes = {self.name}
        self._reset_election_timer(now_us)
        self._send_to_voters(VoteRequest(self.term, self._log.last_index, self._log.last_term, transfer))

    def _send_to_voters(self, frame: Frame) -> None:
        self._messages += [(to, frame) for to in self.members.voters if to != self.name]

    def _has_majority(self) -> bool:
        voters = self.members.voters
        return sum(name in self._votes for name in voters) > len(voters) // 2

    def _has_won(self) -> bool:
        return self._persisted_term == self.term and self._has_majority()

    def _has_active_leader(self, now_us: int) -> bool:
        """Returns whether this node leads, or heard from a leader within the election timeout.

        Such a node grants no vote, which the leader's lease relies on.
        """
        return (
            self.role is Role.LEADER or now_us - self._leader_contact_at_us < self._timing.election_timeout_us
        )

    def _is_up_to_date(self, index: int, term: int) -> bool:
        return (term, index) >= (self._log.last_term, self._log.last_index)

    def _become_leader(self, now_us: int) -> None:
        self.role = Role.LEADER
        self.leader = self.name
        self.elected_at_us = now_us
        self._peers = {}
        self._uncommitted_bytes = 0
        self._update_peers()
        self._log.append(Entry(self.term, EntryKind.NO_OP, b""))
        self._next_heartbeat_us = now_us + self._timing.heartbeat_interval_us
        self._broadcast(now_us, with_heartbeat=True)

    def _on_pre_vote_request(self, sender: str, frame: PreVoteRequest, now_us: int) -> None:
        granted = (
            frame.term > self.term
            and not self._has_active_leader(now_us)
            and self._is_up_to_date(frame.last_log_index, frame.last_log_term)
        )
        self._messages.append((sender, PreVoteResponse(frame.term if granted else self.term, granted)))

    def _on_vote_request(self, sender: str, frame: VoteRequest, now_us: int) -> None:
        # A vote within the election timeout would break the lease of the leader that this node heard, even
        # if it has learnt of the later term by another message since.
        transfer = frame.is_transfer and sender in self.members.names()
        if frame.term >= self.term and self._has_active_leader(now_us) and not transfer:
            return
        if frame.term > self.term:
            self._become_follower(frame.term, None, now_us)
        granted = (
            frame.term == self.term
            and self.role in (Role.FOLLOWER, Role.PRE_CANDIDATE)
            and self.leader is None
            and self._voted_for in (None, sender)
            and self._is_up_to_date(frame.last_log_index, frame.last_log_term)
        )
        if granted:
            self.role = Role.FOLLOWER
            if self._voted_for is None:
                self._voted_for = sender
                self._hard_state_changed = True
            self._reset_election_timer(now_us)
        self._messages.append((sender, VoteResponse(self.term, granted)))

    def _on_pre_vote_response(self, sender: str, frame: PreVoteResponse, now_us: int) -> None:
        """Counts a granted pre-vote; with a majority, starts the election."""
        if self.role is Role.PRE_CANDIDATE and frame.term == self.term + 1:
            self._votes.add(sender)
            if self._has_majority() and not self._has_active_leader(now_us):
                self._start_election(now_us, False)

    def _on_vote_response(self, sender: str, frame: VoteResponse, now_us: int) -> None:
        """Counts a vote of this term; with a majority, becomes the leader."""
        if self.role is Role.CANDIDATE and frame.granted:
            self._votes.add(sender)
            if self._has_won():
                self._become_leader(now_us)

    def _on_timeout_now(self, sender: str, frame: TimeoutNow, now_us: int) -> None:
        is_of_leader = frame.term == self.term and self.role is Role.FOLLOWER and sender == self.leader
        if is_of_leader and self.name in self.members.voters:
            self._start_election(now_us, True)
