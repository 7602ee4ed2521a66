"""A leader's linearizable reads: by its lease, or by a round that a majority acknowledges (ReadIndex)."""

from __future__ import annotations

from cresstray.consensus.log_sending import LogSending
from cresstray.consensus.node_state import Role
from cresstray.consensus.peers import PeerProgress

_MAX_READS = 10_000


class ReadIndex(LogSending):
    """The leader's lease, and reads that wait for an acknowledged round."""

    def has_leader_lease(self, now_us: int) -> bool:
        """Returns whether this node leads, and no other node can have been elected by `now_us`."""
        if (
            self.role is not Role.LEADER
            or self._sent_timeout_now
            or self._log.term_at(self.commit_index) != self.term
        ):
            return False
        acked_at_us = self._quorum_acked_at_us(now_us)
        # Twice the drift: this clock may be slow, and a follower's, which must not vote meanwhile, fast.
        lease_us = int(self._timing.election_timeout_us * (1 - 2 * self._timing.clock_drift))
        return acked_at_us is not None and now_us < acked_at_us + lease_us

    def is_recently_active(self, name: str, now_us: int) -> bool:
        """Returns whether another member has responded to this leader within an election timeout."""
        peer = self._peers.get(name)
        return (
            peer is not None
            and peer.acked_at_us is not None
            and now_us - peer.acked_at_us <= self._timing.election_timeout_us
        )

    def _request_read(self, token: object, now_us: int) -> bool:
        if self.role is not Role.LEADER or len(self._pending_reads) >= _MAX_READS:
            return False
        if self.has_leader_lease(now_us):
            self._read_results.append((token, self.commit_index))
            return True
        # A round that began before the request says nothing of what another leader committed in between.
        needs_round = not self._pending_reads or self._pending_reads[-1][1] <= self._quorum_acked_round()
        self._pending_reads.append((token, self._round + 1))
        if needs_round:
            self._broadcast(now_us, with_heartbeat=True)
        self._serve_reads()
        return True

    def _record_ack(self, peer: PeerProgress, round_number: int) -> None:
        """Records that a member has received a round: it grants no vote until a timeout after its start."""
        if (
            round_number > peer.acked_round
            and self._round_starts
            and self._round_starts[0][0] <= round_number <= self._round
        ):
            peer.acked_round = round_number
            peer.acked_at_us = self._round_starts[round_number - self._round_starts[0][0]][1]
            self._serve_reads()

    def _quorum_acked_at_us(self, now_us: int) -> int | None:
        """Returns when the latest round began that a majority of voters has received, or None.

        This node counts as having received one just now.
        """
        acked_times_us = []
        for name in self.members.voters:
            acked_at_us = now_us if name == self.name else self._peers[name].acked_at_us
            acked_times_us.append(-1 if acked_at_us is None else acked_at_us)
        quorum_acked_at_us = self._quorum_value(acked_times_us)
        return None if quorum_acked_at_us < 0 else quorum_acked_at_us

    def _quorum_acked_round(self) -> int:
        """Returns the latest round that a majority of voters has received."""
        return self._quorum_value(
            [
                self._round if name == self.name else self._peers[name].acked_round
                for name in self.members.voters
            ]
        )

    def _serve_reads(self) -> None:
        if not self._pending_reads or self._log.term_at(self.commit_index) != self.term:
            return
        quorum_round = self._quorum_acked_round()
        while self._pending_reads and self._pending_reads[0][1] <= quorum_round:
            self._read_results.append((self._pending_reads.popleft()[0], self.commit_index))
        if self._pending_reads and self._pending_reads[0][1] > self._round:
            self._broadcast(self._now_us, with_heartbeat=True)
