"""A Raft node as a state machine without I/O: a caller feeds it messages and ticks, and does its work.

After each call the caller does the work that ready() returns, in the order of its fields, until there is
none. `pending_write` is synced before anything else is done; the next call tells the node that it was. If the
write fails, the caller discards the node and makes a new one from the file. States: docs/consensus.md.

The node is built of layers, each in a module: `node_state` (term, vote, log), `log_sending` (a leader's
heartbeats, entries and snapshots), `read_index` (lease and reads), `commitment`, `membership_changes` (also
proposals and leadership transfer), `replication` (a follower's side, and responses to a leader), `election`.
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
    """One node. All times are microseconds of the caller's monotonic clock."""

    @property
    def next_tick_us(self) -> int:
        """When tick() is to be called next."""
        if self.role is Role.LEADER:
            return self._next_heartbeat_us
        # The only voter has its majority as soon as its own vote is synced.
        is_elected = self.role is Role.CANDIDATE and self._has_won()
        return self._now_us if is_elected else self._election_due_us

    def propose(self, data: bytes, now_us: int) -> tuple[int, int] | None:
        """Appends an entry and returns its index and term.

        Returns None if this node does not lead, transfers leadership, or has too many uncommitted entries.

        Raises:
            ValueError: the entry is too large.
        """
        self._advance_clock(now_us)
        return self._propose_data(data, now_us)

    def propose_members(self, members: Members, now_us: int) -> tuple[int, int] | None:
        """Appends a membership change and returns its index and term, or None if this node is not the leader.

        Raises:
            ValueError: the members can't replace the present ones now.
        """
        self._advance_clock(now_us)
        return self._propose_members(members, now_us)

    def transfer_leadership(self, to: str, now_us: int) -> bool:
        """Starts a transfer of leadership to another voter, abandoned after an election timeout.

        Returns False if it can't start.
        """
        self._advance_clock(now_us)
        return self._start_transfer(to, now_us)

    def request_read(self, token: object, now_us: int) -> bool:
        """Requests a linearizable read; returns False if this node is not the leader.

        Ready.read_results has the result for `token`: the index to apply first, or None if leadership was
        lost.
        """
        self._advance_clock(now_us)
        return self._request_read(token, now_us)

    def compact(self, index: int, data: bytes) -> None:
        """Replaces the applied entries up to `index` by a snapshot of the state machine's state."""
        self._on_persisted()
        if index > self._log.snapshot.index:
            assert index <= self._applied_index, "only applied entries can be compacted"
            self._log.compact(index, data)

    def ready(self) -> Ready:
        """Returns the work to do now; the module's docstring describes how."""
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

    # Timers.

    def tick(self, now_us: int) -> None:
        """Does what is due: a heartbeat, an election, or leading once this node's own vote is synced."""
        self._advance_clock(now_us)
        if self.role is Role.LEADER:
            if now_us >= self._next_heartbeat_us:
                self._on_heartbeat_due(now_us)
        elif self.role is Role.CANDIDATE and self._has_won():
            self._become_leader(now_us)
        elif now_us >= self._election_due_us:
            self._reset_election_timer(now_us)
            # A learner, a node that was never admitted, or a removed one waits for a leader.
            if self.name in self.members.voters:
                self._start_pre_vote(now_us)

    def _advance_clock(self, now_us: int) -> None:
        assert now_us >= self._now_us, "the clock went backwards"
        self._now_us = now_us
        self._on_persisted()

    def _on_persisted(self) -> None:
        """Marks the work of the last ready() as synced, which a new call implies."""
        self._persisted_term = self._handed_out_term
        if self._log.mark_persisted() and self.role is Role.LEADER:
            self._advance_commit_index(self._now_us)

    def _on_heartbeat_due(self, now_us: int) -> None:
        quorum_acked_at_us = self._quorum_acked_at_us(now_us)
        silent_us = now_us - max(
            self.elected_at_us, self.elected_at_us if quorum_acked_at_us is None else quorum_acked_at_us
        )
        # A leader whose messages arrive but that hears no responses would keep others from being elected.
        if silent_us > self._patience_us():
            self._step_down(now_us)
            return
        if self._transfer_target is not None and now_us >= self._transfer_deadline_us:
            self._transfer_target = None
            # The TimeoutNow may still arrive and start an election, so this term must not have a lease again.
            if self._sent_timeout_now:
                self._step_down(now_us)
                return
        self._next_heartbeat_us = now_us + self._timing.heartbeat_interval_us
        if self._transfer_target is not None:
            self._continue_transfer(now_us)
        self._broadcast(now_us, with_heartbeat=True)

    # Messages.

    def step(self, sender: str, frame: Frame, now_us: int) -> None:
        """Handles a message.

        Raises:
            FramingError: no correct node can have sent it.
        """
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
                # Responses of nodes that are not members are ignored.
                if sender in self.members.names():
                    self._on_response(sender, frame, now_us)
            case _:
                raise FramingError(f"a frame of kind {frame.kind} is no consensus message")

    def _on_response(
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
        """Returns a value that is equal for two nodes that will behave the same.

        Times are relative to the last call.
        """
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
            self._remembered_sync_us(),
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
