"""State of a Raft node that all roles share: term, vote, log, timers, and what waits to be handed out."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from enum import Enum
from typing import NamedTuple

from cresstray.consensus.codec import Install
from cresstray.consensus.entries import Durable, Members, Snapshot
from cresstray.consensus.log import Log
from cresstray.consensus.peers import Peer
from cresstray.transport.framing import Frame

# Rounds of heartbeats that a leader remembers, to know when an acknowledged one began.
_MAX_ROUNDS = 2_048


class Role(Enum):
    """What a node is in its term."""

    FOLLOWER = "follower"  # voter or learner
    ASKING = "asking"  # pre-candidate: asks whether it would be elected
    CANDIDATE = "candidate"
    LEADER = "leader"


class Times(NamedTuple):
    """In microseconds: heartbeat interval, election timeout (elections wait for one to two of it).

    `drift` is how wrong a clock's rate may be.
    """

    beat: int = 50_000
    election: int = 300_000
    drift: float = 0.01


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

    def __init__(self, durable: Durable, times: Times, chance: Callable[[], float], now: int) -> None:
        self.name = durable.name
        self.term = durable.term
        self._voted_for = durable.voted_for
        self._times = times
        self._chance = chance
        self._now = now
        self._log = Log(durable)
        self.role = Role.FOLLOWER
        self.leader: str | None = None
        self.commit = durable.snapshot.index
        self._applied = durable.snapshot.index
        self._restored: Snapshot | None = durable.snapshot if durable.snapshot.index else None
        self.led_since = 0
        # What it promised a leader before a restart still binds it.
        self._heard = now
        self._put_off(now)
        self._dirty = False  # term or vote changed and were not handed out
        self._term_out = self.term  # handed out to be stored
        self._term_stored = self.term
        self._votes: set[str] = set()
        self._part: tuple[Install, bytearray] | None = None  # a snapshot that is being received
        self._frames: list[tuple[str, Frame]] = []
        self._answers: list[tuple[object, int | None]] = []  # to reads
        # As a leader.
        self._peers: dict[str, Peer] = {}
        self._beat_at = 0
        self._round = 0
        self._rounds: deque[tuple[int, int]] = deque(maxlen=_MAX_ROUNDS)  # number, and when it began
        self._open = 0  # bytes proposed and not yet committed
        self._reads: deque[tuple[object, int]] = deque()  # ticket, and the round to be confirmed
        self._heir: str | None = None  # target of a leadership transfer
        self._heir_until = 0
        self._sent_now = False  # the target was told to stand for election

    @property
    def members(self) -> Members:
        """The latest list in the log, committed or not: majorities go by it."""
        return self._log.members

    def _put_off(self, now: int) -> None:
        """Draws the next election timeout by chance, so that voters seldom stand at once."""
        self._deadline = now + self._times.election + int(self._chance() * self._times.election)

    def _new_term(self, term: int) -> None:
        assert term > self.term
        self.term = term
        self._voted_for = None
        self.leader = None
        self._dirty = True

    def _follow(self, term: int, leader: str | None, now: int) -> None:
        """Steps down to a follower of that term, which is not an earlier one."""
        if self.role is Role.LEADER:
            self._step_down(now)
        if term > self.term:
            self._new_term(term)
        self.role = Role.FOLLOWER
        self.leader = leader

    def _step_down(self, now: int) -> None:
        self.role = Role.FOLLOWER
        self.leader = None
        self._answers += [(ticket, None) for ticket, _ in self._reads]
        self._reads.clear()
        self._peers.clear()
        self._rounds.clear()
        self._heir = None
        self._sent_now = False
        self._open = 0
        self._put_off(now)

    def _quorum(self, values: list[int]) -> int:
        """Returns what a majority of the voters has reached, of what each has."""
        return sorted(values, reverse=True)[len(values) // 2]
