"""State of a Raft node that all roles share: term, vote, log, timers, and pending output."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from enum import Enum
from typing import NamedTuple

from cresstray.consensus.codec import InstallSnapshot
from cresstray.consensus.entries import Members, PersistentState, Snapshot
from cresstray.consensus.log import Log
from cresstray.consensus.peers import PeerProgress
from cresstray.transport.framing import Frame

# Rounds whose start a leader remembers, to find when an acknowledged round began.
_MAX_ROUNDS = 2_048
# A round waits for the sync of the sender and for that of the receiver.
_SYNCS_IN_A_ROUND = 2
# The longest sync counts in full up to this, for so long, and less with each shorter one that follows it.
_MAX_SYNC_US, _SYNC_MEMORY_US, _SYNC_DECAY_PERCENT = 1_000_000, 600_000_000, 90


class Role(Enum):
    """A node's role in its term."""

    FOLLOWER = "follower"  # a voter or a learner
    PRE_CANDIDATE = "asking"  # asks for pre-votes before it starts an election
    CANDIDATE = "candidate"
    LEADER = "leader"


class Timing(NamedTuple):
    """Timing parameters.

    Attributes:
        heartbeat_interval_us: Between two heartbeats of a leader.
        election_timeout_us: A follower waits for one to two of these before it asks for votes.
        clock_drift: Bound of the relative error of a clock's rate.
    """

    heartbeat_interval_us: int = 50_000
    election_timeout_us: int = 300_000
    clock_drift: float = 0.01


class NodeState:
    """Term, vote, log and role of one node, and the state that only a leader has.

    Attributes:
        name: Name of this node.
        term: The latest term this node knows.
        role: The role in this term.
        leader: The term's leader, if known.
        commit_index: Index of the last entry known to be committed.
        elected_at_us: When this node became the leader.
    """

    def __init__(
        self, state: PersistentState, timing: Timing, random: Callable[[], float], now_us: int
    ) -> None:
        self.name = state.name
        self.term = state.term
        self._voted_for = state.voted_for
        self._timing = timing
        self._random = random
        self._now_us = now_us
        self._log = Log(state)
        self.role = Role.FOLLOWER
        self.leader: str | None = None
        self.commit_index = state.snapshot.index
        self._applied_index = state.snapshot.index
        self._restored_snapshot: Snapshot | None = state.snapshot if state.snapshot.index else None
        self.elected_at_us = 0
        self._sync_us, self._synced_at_us = 0, now_us  # the longest of the recent syncs, and the last one
        # A restarted node may have heard from a leader just before, whose lease relies on its not voting.
        self._leader_contact_at_us = now_us
        self._reset_election_timer(now_us)
        self._hard_state_changed = False  # term or vote changed since they were last handed out
        self._handed_out_term = self.term  # last term that was handed out to be written
        self._persisted_term = self.term
        self._votes: set[str] = set()
        self._incoming_snapshot: tuple[InstallSnapshot, bytearray] | None = (
            None  # first chunk and the data so far
        )
        self._messages: list[tuple[str, Frame]] = []
        self._read_results: list[tuple[object, int | None]] = []  # token and index, or None
        # Used by a leader only.
        self._peers: dict[str, PeerProgress] = {}
        self._next_heartbeat_us = 0
        self._round = 0
        self._round_starts: deque[tuple[int, int]] = deque(maxlen=_MAX_ROUNDS)  # number and start time
        self._uncommitted_bytes = 0  # of entries of this term
        self._pending_reads: deque[tuple[object, int]] = deque()  # token, and the round to be acknowledged
        self._transfer_target: str | None = None
        self._transfer_deadline_us = 0
        self._sent_timeout_now = False  # to the transfer target

    @property
    def members(self) -> Members:
        """The latest members in the log, committed or not; majorities are counted among them."""
        return self._log.members

    def on_stalled(self, duration_us: int) -> None:
        """Notes for how long the caller delivered no messages, so that the leader only seems to be silent."""
        self._election_due_us += duration_us

    def on_synced(self, duration_us: int) -> None:
        """Notes how long the last pending write took, during which the caller delivered no messages.

        The disks of other members are taken to be alike: silence counts only beyond what syncs take.
        """
        self.on_stalled(duration_us)
        earlier_us = self._remembered_sync_us() * _SYNC_DECAY_PERCENT // 100
        self._sync_us = max(min(duration_us, _MAX_SYNC_US), earlier_us)
        self._synced_at_us = self._now_us

    def _remembered_sync_us(self) -> int:
        return self._sync_us if self._now_us - self._synced_at_us < _SYNC_MEMORY_US else 0

    def _patience_us(self) -> int:
        """Returns for how long another member may be silent before it is taken to have failed.

        Only availability depends on it: votes and leases go by the election timeout itself.
        """
        return self._timing.election_timeout_us + _SYNCS_IN_A_ROUND * self._remembered_sync_us()

    def _reset_election_timer(self, now_us: int) -> None:
        """Restarts the election timer, randomized so that voters seldom start elections together."""
        patience_us = self._patience_us()
        self._election_due_us = now_us + patience_us + int(self._random() * patience_us)

    def _enter_term(self, term: int) -> None:
        assert term > self.term
        self.term = term
        self._voted_for = None
        self.leader = None
        self._hard_state_changed = True

    def _become_follower(self, term: int, leader: str | None, now_us: int) -> None:
        """Becomes a follower in `term`, which is not earlier than the current one."""
        if self.role is Role.LEADER:
            self._step_down(now_us)
        if term > self.term:
            self._enter_term(term)
        self.role = Role.FOLLOWER
        self.leader = leader

    def _step_down(self, now_us: int) -> None:
        self.role = Role.FOLLOWER
        self.leader = None
        self._read_results += [(token, None) for token, _ in self._pending_reads]
        self._pending_reads.clear()
        self._peers.clear()
        self._round_starts.clear()
        self._transfer_target = None
        self._sent_timeout_now = False
        self._uncommitted_bytes = 0
        self._reset_election_timer(now_us)

    def _quorum_value(self, values: list[int]) -> int:
        """Returns the greatest value that a majority has reached, given one value for each voter."""
        return sorted(values, reverse=True)[len(values) // 2]
