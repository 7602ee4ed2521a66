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
    Append,
    Appended,
    Install,
    Installed,
    Now,
    PreVote,
    PreVoted,
    Vote,
    Voted,
)
from cresstray.consensus.election import Election
from cresstray.consensus.entries import Members, Ready
from cresstray.consensus.node_state import Role, Times
from cresstray.transport.framing import Frame, FramingError, encode_frame

__all__ = ["Node", "Role", "Times"]


class Node(Election):
    """One node. All times are microseconds of the caller's clock, which never goes back."""

    @property
    def due(self) -> int:
        """When tick() is wanted next."""
        if self.role is Role.LEADER:
            return self._beat_at
        # Alone, its own vote is the majority as soon as it is synced.
        is_elected = self.role is Role.CANDIDATE and self._won()
        return self._now if is_elected else self._deadline

    def propose(self, data: bytes, now: int) -> tuple[int, int] | None:
        """Returns index and term of a new entry.

        None where it is not the leader, hands over, or has too much that is not yet committed. Raises
        ValueError for an entry that is too large.
        """
        self._begin(now)
        return self._propose_data(data, now)

    def change(self, members: Members, now: int) -> tuple[int, int] | None:
        """Returns index and term of a new list of members; None where it is not the leader.

        Raises ValueError where the list cannot follow the present one now.
        """
        self._begin(now)
        return self._propose_members(members, now)

    def transfer(self, to: str, now: int) -> bool:
        """Hands over to another voter, or gives up after an election timeout; False where it can't begin."""
        self._begin(now)
        return self._start_transfer(to, now)

    def read(self, ticket: object, now: int) -> bool:
        """Asks for a linearizable read; False where it is not the leader.

        Ready.reads has the answer: the index to have applied, or None if leadership was lost.
        """
        self._begin(now)
        return self._request_read(ticket, now)

    def compact(self, index: int, data: bytes) -> None:
        """Takes what was applied up to `index` as a snapshot; some entries stay for slow followers."""
        self._settle()
        if index > self._log.snapshot.index:
            assert index <= self._applied, "only what was applied"
            self._log.compact(index, data)

    def take(self) -> Ready:
        """Returns all that is to be done now.

        The module's docstring has the order, and when to call again.
        """
        self._settle()
        ready = Ready(frames=self._frames, restored=self._restored, reads=self._answers)
        ready.keep = self._log.hand_out(self.term, self._voted_for, self._dirty)
        self._dirty = False
        self._term_out = self.term
        self._frames = []
        self._restored = None
        self._answers = []
        ready.committed = [
            (index, self._log.entry(index)) for index in range(self._applied + 1, self.commit + 1)
        ]
        self._applied = self.commit
        return ready

    # Time.

    def tick(self, now: int) -> None:
        """Does what is due: a heartbeat, an election, or leading once its own vote is stored."""
        self._begin(now)
        if self.role is Role.LEADER:
            if now >= self._beat_at:
                self._beat(now)
        elif self.role is Role.CANDIDATE and self._won():
            self._lead(now)
        elif now >= self._deadline:
            self._put_off(now)
            # A learner, a stranger, or one that was removed waits to be told.
            if self.name in self.members.voters:
                self._ask(now)

    def _begin(self, now: int) -> None:
        assert now >= self._now, "time goes forward"
        self._now = now
        self._settle()

    def _settle(self) -> None:
        """What the last take() handed out has been synced, or nobody would call."""
        self._term_stored = self._term_out
        if self._log.settle() and self.role is Role.LEADER:
            self._count(self._now)

    def _beat(self, now: int) -> None:
        acked = self._acked(now)
        silent_us = now - max(self.led_since, self.led_since if acked is None else acked)
        # A leader that hears and is not heard would keep its followers from electing another.
        if silent_us > self._times.election:
            self._step_down(now)
            return
        if self._heir is not None and now >= self._heir_until:
            self._heir = None
            # The request to stand may still be on its way; its term must not hold a lease again.
            if self._sent_now:
                self._step_down(now)
                return
        self._beat_at = now + self._times.beat
        if self._heir is not None:
            self._hand_over(now)
        self._broadcast(now, fresh=True)

    # Messages.

    def receive(self, sender: str, frame: Frame, now: int) -> None:
        """Handles a message; FramingError where no correct node can have sent it."""
        self._begin(now)
        if sender == self.name:
            return
        match frame:
            case PreVote():
                self._on_pre_vote(sender, frame, now)
            case Vote():
                self._on_vote(sender, frame, now)
            case Append():
                self._on_append(sender, frame, now)
            case Install():
                self._on_install(sender, frame, now)
            case Now():
                self._on_now(sender, frame, now)
            case PreVoted() | Voted() | Appended() | Installed():
                # The answer of one that is not a member counts for nothing.
                if sender in self.members.names():
                    self._on_answer(sender, frame, now)
            case _:
                raise FramingError(f"a frame of kind {frame.kind} in the log's place")

    def _on_answer(self, sender: str, frame: PreVoted | Voted | Appended | Installed, now: int) -> None:
        if isinstance(frame, PreVoted) and frame.granted:
            self._on_pre_voted(sender, frame, now)
        elif frame.term > self.term:
            self._follow(frame.term, None, now)
        elif frame.term < self.term:
            return
        elif isinstance(frame, Voted):
            self._on_voted(sender, frame, now)
        elif isinstance(frame, Appended | Installed) and self.role is Role.LEADER:
            self._acknowledged(self._peers[sender], frame.round)
            if isinstance(frame, Appended):
                self._on_appended(sender, frame, now)
            else:
                self._on_installed(sender, frame, now)

    def fingerprint(self) -> tuple[Any, ...]:
        """Returns a value equal for two nodes that will do the same; times as spans from the last call."""
        now = self._now
        return (
            self.name,
            self.role.value,
            self.term,
            self._voted_for,
            self.leader,
            self.commit,
            self._applied,
            self._log.fingerprint(),
            tuple(sorted(self._votes)),
            max(0, self._heard + self._times.election - now),
            self._deadline - now,
            self._part and (self._part[0].index, self._part[0].check, len(self._part[1])),
            tuple(
                (name, *peer.fingerprint(), None if peer.acked is None else now - peer.acked)
                for name, peer in self._peers.items()
            ),
            self._heir,
            self._sent_now,
            tuple((to, encode_frame(frame)) for to, frame in self._frames),
            tuple(number for _, number in self._reads),
            self._open,
            self._term_stored == self.term,
            tuple((number, now - at) for number, at in self._rounds),
        )
