"""A Raft node: what a caller asks of it, and what it hands out.

After each call the caller does what take() returns, in the order of its fields, until that is nothing.
`keep` is synced before anything else is done or called: that the caller comes back tells the node that it
is. Where that fails, the node is given up, and a new one made of what the file holds. States:
docs/consensus.md.

The roles are layers, each a module: `node_state` (term, vote, log), `log_sending` (a leader's heartbeats,
entries and snapshots), `read_index` (lease and reads), `commitment`, `membership_changes` (and leadership
transfer), `replication` (a follower's side, and the answers to a leader), `election`.
"""

from __future__ import annotations

from typing import Any

from cresstray.consensus.codec import (
    AppendEntries,
    AppendEntriesResponse,
    InstallSnapshot,
    InstallSnapshotResponse,
    PreVoteRequest,
    PreVoteResponse,
    TimeoutNow,
    VoteRequest,
    VoteResponse,
)
from cresstray.consensus.election import Election
from cresstray.consensus.entries import Members, Ready
from cresstray.consensus.node_state import Role, Timing
from cresstray.transport.framing import Frame, FramingError, encode_frame

__all__ = ["Node", "Role", "Timing"]


class Node(Election):
    """One node. All times are microseconds of the caller's clock, which never goes back."""

    @property
    def next_tick_us(self) -> int:
        """When tick() is wanted next."""
        if self.role is Role.LEADER:
            return self._next_heartbeat_us
        # Alone, its own vote is the majority as soon as it is synced.
        is_elected = self.role is Role.CANDIDATE and self._has_won()
        return self._now_us if is_elected else self._election_due_us

    def propose(self, data: bytes, now_us: int) -> tuple[int, int] | None:
        """Returns index and term of a new entry.

        None where it is not the leader, hands over, or has too much that is not yet committed. Raises
        ValueError for an entry that is too large.
        """
        self._advance_clock(now_us)
        return self._propose_data(data, now_us)

    def propose_members(self, members: Members, now_us: int) -> tuple[int, int] | None:
        """Returns index and term of a new list of members; None where it is not the leader.

        Raises ValueError where the list cannot follow the present one now.
        """
        self._advance_clock(now_us)
        return self._propose_members(members, now_us)

    def transfer_leadership(self, to: str, now_us: int) -> bool:
        """Hands over to another voter, or gives up after an election timeout; False where it can't begin."""
        self._advance_clock(now_us)
        return self._start_transfer(to, now_us)

    def request_read(self, token: object, now_us: int) -> bool:
        """Asks for a linearizable read; False where it is not the leader.

        Ready.reads has the answer: the index to have applied, or None if leadership was lost.
        """
        self._advance_clock(now_us)
        return self._request_read(token, now_us)

    def compact(self, index: int, data: bytes) -> None:
        """Takes what was applied up to `index` as a snapshot; some entries stay for slow followers."""
        self._on_persisted()
        if index > self._log.snapshot.index:
            assert index <= self._applied_index, "only what was applied"
            self._log.compact(index, data)

    def ready(self) -> Ready:
        """Returns all that is to be done now.

        The module's docstring has the order, and when to call again.
        """
        self._on_persisted()
        ready = Ready(
            messages=self._messages,
            restored_snapshot=self._restored_snapshot,
            read_results=self._read_results,
        )
        ready.pending_write = self._log.take_pending_write(
            self.term, self._voted_for, self._hard_state_changed
        )
        self._hard_state_changed = False
        self._handed_out_term = self.term
        self._messages = []
        self._restored_snapshot = None
        self._read_results = []
        ready.committed_entries = [
            (index, self._log.entry(index)) for index in range(self._applied_index + 1, self.commit_index + 1)
        ]
        self._applied_index = self.commit_index
        return ready

    # Time.

    def tick(self, now_us: int) -> None:
        """Does what is due: a heartbeat, an election, or leading once its own vote is stored."""
        self._advance_clock(now_us)
        if self.role is Role.LEADER:
            if now_us >= self._next_heartbeat_us:
                self._on_heartbeat_due(now_us)
        elif self.role is Role.CANDIDATE and self._has_won():
            self._become_leader(now_us)
        elif now_us >= self._election_due_us:
            self._reset_election_timer(now_us)
            # A learner, a stranger, or one that was removed waits to be told.
            if self.name in self.members.voters:
                self._start_pre_vote(now_us)

    def _advance_clock(self, now_us: int) -> None:
        assert now_us >= self._now_us, "time goes forward"
        self._now_us = now_us
        self._on_persisted()

    def _on_persisted(self) -> None:
        """What the last take() handed out has been synced, or nobody would call."""
        self._persisted_term = self._handed_out_term
        if self._log.mark_persisted() and self.role is Role.LEADER:
            self._advance_commit_index(self._now_us)

    def _on_heartbeat_due(self, now_us: int) -> None:
        acked = self._quorum_acked_at_us(now_us)
        silent_us = now_us - max(self.elected_at_us, self.elected_at_us if acked is None else acked)
        # A leader that hears and is not heard would keep its followers from electing another.
        if silent_us > self._timing.election_timeout_us:
            self._step_down(now_us)
            return
        if self._transfer_target is not None and now_us >= self._transfer_deadline_us:
            self._transfer_target = None
            # The request to stand may still be on its way; its term must not hold a lease again.
            if self._sent_timeout_now:
                self._step_down(now_us)
                return
        self._next_heartbeat_us = now_us + self._timing.heartbeat_interval_us
        if self._transfer_target is not None:
            self._continue_transfer(now_us)
        self._broadcast(now_us, with_heartbeat=True)

    # Messages.

    def step(self, sender: str, frame: Frame, now_us: int) -> None:
        """Handles a message; FramingError where no correct node can have sent it."""
        self._advance_clock(now_us)
        if sender == self.name:
            return
        match frame:
            case PreVoteRequest():
                self._on_pre_vote_request(sender, frame, now_us)
            case VoteRequest():
                self._on_vote_request(sender, frame, now_us)
            case AppendEntries():
                self._on_append_entries(sender, frame, now_us)
            case InstallSnapshot():
                self._on_install_snapshot(sender, frame, now_us)
            case TimeoutNow():
                self._on_timeout_now(sender, frame, now_us)
            case PreVoteResponse() | VoteResponse() | AppendEntriesResponse() | InstallSnapshotResponse():
                # The answer of one that is not a member counts for nothing.
                if sender in self.members.names():
                    self._on_answer(sender, frame, now_us)
            case _:
                raise FramingError(f"a frame of kind {frame.kind} in the log's place")

    def _on_answer(
        self,
        sender: str,
        frame: PreVoteResponse | VoteResponse | AppendEntriesResponse | InstallSnapshotResponse,
        now_us: int,
    ) -> None:
        if isinstance(frame, PreVoteResponse) and frame.granted:
            self._on_pre_vote_response(sender, frame, now_us)
        elif frame.term > self.term:
            self._become_follower(frame.term, None, now_us)
        elif frame.term < self.term:
            return
        elif isinstance(frame, VoteResponse):
            self._on_vote_response(sender, frame, now_us)
        elif isinstance(frame, AppendEntriesResponse | InstallSnapshotResponse) and self.role is Role.LEADER:
            self._record_ack(self._peers[sender], frame.round)
            if isinstance(frame, AppendEntriesResponse):
                self._on_append_entries_response(sender, frame, now_us)
            else:
                self._on_install_snapshot_response(sender, frame, now_us)

    def fingerprint(self) -> tuple[Any, ...]:
        """Returns a value equal for two nodes that will do the same; times as spans from the last call."""
        now_us = self._now_us
        return (
            self.name,
            self.role.value,
            self.term,
            self._voted_for,
            self.leader,
            self.commit_index,
            self._applied_index,
            self._log.fingerprint(),
            tuple(sorted(self._votes)),
            max(0, self._leader_contact_at_us + self._timing.election_timeout_us - now_us),
            self._election_due_us - now_us,
            self._incoming_snapshot
            and (
                self._incoming_snapshot[0].last_included_index,
                self._incoming_snapshot[0].checksum,
                len(self._incoming_snapshot[1]),
            ),
            tuple(
                (name, *peer.fingerprint(), None if peer.acked_at_us is None else now_us - peer.acked_at_us)
                for name, peer in self._peers.items()
            ),
            self._transfer_target,
            self._sent_timeout_now,
            tuple((to, encode_frame(frame)) for to, frame in self._messages),
            tuple(number for _, number in self._pending_reads),
            self._uncommitted_bytes,
            self._persisted_term == self.term,
            tuple((number, now_us - started_at_us) for number, started_at_us in self._round_starts),
        )
