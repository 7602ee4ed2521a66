"""State of a Raft node that all roles share: term, vote, log, timers, and what waits to be handed out."""

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

# Rounds of heartbeats that a leader remembers, to know when an acknowledged one began.
_MAX_ROUNDS = 2_048


class Role(Enum):
    """What a node is in its term."""

    FOLLOWER = "follower"  # voter or learner
    PRE_CANDIDATE = "asking"  # pre-candidate: asks whether it would be elected
    CANDIDATE = "candidate"
    LEADER = "leader"


class Timing(NamedTuple):
    """In microseconds: heartbeat interval, election timeout (elections wait for one to two of it).

    `drift` is how wrong a clock's rate may be.
    """

    heartbeat_interval_us: int = 50_000
    election_timeout_us: int = 300_000
    clock_drift: float = 0.01


class NodeState:
    """Term, vote, log and role of one node, and a leader's bookkeeping.

    Attributes:
        name: This node's.
        term: The latest term it knows.
        role: What it is in this term.
        leader: The term's leader, if known.
        commit: Index of the last committed entry.
        led_since: When it was elected, as a leader.
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
        # What it promised a leader before a restart still binds it.
        self._leader_contact_at_us = now_us
        self._reset_election_timer(now_us)
        self._hard_state_changed = False  # term or vote changed and were not handed out
        self._handed_out_term = self.term  # handed out to be stored
        self._persisted_term = self.term
        self._votes: set[str] = set()
        self._incoming_snapshot: tuple[InstallSnapshot, bytearray] | None = (
            None  # a snapshot that is being received
        )
        self._messages: list[tuple[str, Frame]] = []
        self._read_results: list[tuple[object, int | None]] = []  # to reads
        # As a leader.
        self._peers: dict[str, PeerProgress] = {}
        self._next_heartbeat_us = 0
        self._round = 0
        self._round_starts: deque[tuple[int, int]] = deque(maxlen=_MAX_ROUNDS)  # number, and when it began
        self._uncommitted_bytes = 0  # bytes proposed and not yet committed
        self._pending_reads: deque[tuple[object, int]] = deque()  # ticket, and the round to be confirmed
        self._transfer_target: str | None = None  # target of a leadership transfer
        self._transfer_deadline_us = 0
        self._sent_timeout_now = False  # the target was told to stand for election

    @property
    def members(self) -> Members:
        """The latest list in the log, committed or not: majorities go by it."""
        return self._log.members

    def _reset_election_timer(self, now_us: int) -> None:
        """Draws the next election timeout by chance, so that voters seldom stand at once."""
        self._election_due_us = (
            now_us + self._timing.election_timeout_us + int(self._random() * self._timing.election_timeout_us)
        )

    def _enter_term(self, term: int) -> None:
        assert term > self.term
        self.term = term
        self._voted_for = None
        self.leader = None
        self._hard_state_changed = True

    def _become_follower(self, term: int, leader: str | None, now_us: int) -> None:
        """Steps down to a follower of that term, which is not an earlier one."""
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
        """Returns what a majority of the voters has reached, of what each has."""
        return sorted(values, reverse=True)[len(values) // 2]
