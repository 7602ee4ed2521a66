"""Linearizable reads of a Raft leader: by its lease, or by a round that a majority confirms (ReadIndex)."""

from __future__ import annotations

from cresstray.consensus.log_sending import LogSending
from cresstray.consensus.node_state import Role
from cresstray.consensus.peers import Peer

_MAX_READS = 10_000


class ReadIndex(LogSending):
    """The leader's lease, and reads that wait for a confirmed round."""

    def leads(self, now: int) -> bool:
        """Returns whether it is the leader, and no other can have been elected by `now`."""
        if self.role is not Role.LEADER or self._sent_now or self._log.term_at(self.commit) != self.term:
            return False
        since = self._acked(now)
        # This clock may be slow by the drift, and a follower's, whose promise it counts on, fast.
        lease_us = int(self._times.election * (1 - 2 * self._times.drift))
        return since is not None and now < since + lease_us

    def hears(self, name: str, now: int) -> bool:
        """Returns whether another member has answered this leader within an election timeout."""
        peer = self._peers.get(name)
        return peer is not None and peer.acked is not None and now - peer.acked <= self._times.election

    def _request_read(self, ticket: object, now: int) -> bool:
        if self.role is not Role.LEADER or len(self._reads) >= _MAX_READS:
            return False
        if self.leads(now):
            self._answers.append((ticket, self.commit))
            return True
        # A round that began before the question proves nothing of what was committed in between.
        alone = not self._reads or self._reads[-1][1] <= self._confirmed()
        self._reads.append((ticket, self._round + 1))
        if alone:
            self._broadcast(now, fresh=True)
        self._serve_reads()
        return True

    def _acknowledged(self, peer: Peer, number: int) -> None:
        """Notes that it has received that round: it votes for no other within a timeout from its start."""
        if number > peer.round and self._rounds and self._rounds[0][0] <= number <= self._round:
            peer.round = number
            peer.acked = self._rounds[number - self._rounds[0][0]][1]
            self._serve_reads()

    def _acked(self, now: int) -> int | None:
        """Returns when the latest round began that a majority of voters has received; itself, now."""
        since = []
        for name in self.members.voters:
            at = now if name == self.name else self._peers[name].acked
            since.append(-1 if at is None else at)
        latest = self._quorum(since)
        return None if latest < 0 else latest

    def _confirmed(self) -> int:
        """Returns the latest round that a majority of voters has received."""
        return self._quorum(
            [self._round if name == self.name else self._peers[name].round for name in self.members.voters]
        )

    def _serve_reads(self) -> None:
        if not self._reads or self._log.term_at(self.commit) != self.term:
            return
        confirmed = self._confirmed()
        while self._reads and self._reads[0][1] <= confirmed:
            self._answers.append((self._reads.popleft()[0], self.commit))
        if self._reads and self._reads[0][1] > self._round:
            self._broadcast(self._now, fresh=True)
