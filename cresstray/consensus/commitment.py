"""Commitment of log entries that a majority of voters has stored."""

from __future__ import annotations

from cresstray.consensus.codec import TimeoutNow
from cresstray.consensus.read_index import ReadIndex


class Commitment(ReadIndex):
    """Advances the leader's commit index."""

    def _advance_commit_index(self, now_us: int) -> None:
        """Commits the entries that a majority of voters has synced, up to an entry of this term."""
        log = self._log
        quorum_index = self._quorum_value(
            [
                log.persisted_index if name == self.name else self._peers[name].match_index
                for name in self.members.voters
            ]
        )
        # An entry of an earlier term can still be overwritten, however many voters have it (Raft, 5.4.2).
        if quorum_index <= self.commit_index or log.term_at(quorum_index) != self.term:
            return
        self._release_proposed(quorum_index)
        self.commit_index = quorum_index
        self._serve_reads()
        # Followers learn of the commit index now instead of with the next heartbeat, and apply it sooner.
        self._start_round(now_us, False)
        for to, peer in self._peers.items():
            if peer.is_replicating():
                self._send_to_peer(to, now_us, True)
        if self.name not in self.members.voters and log.members_index <= self.commit_index:
            self._resign(now_us)

    def _release_proposed(self, quorum_index: int) -> None:
        """Stops counting the entries up to `quorum_index` as uncommitted."""
        for index in range(self.commit_index + 1, quorum_index + 1):
            entry = self._log.entry(index)
            if entry.term == self.term:
                self._uncommitted_bytes -= len(entry.data)

    def _resign(self, now_us: int) -> None:
        """Steps down, no longer being a voter; asks the most up-to-date voter to start an election."""
        successor = max(self.members.voters, key=lambda name: self._peers[name].match_index)
        self._messages.append((successor, TimeoutNow(self.term)))
        self._step_down(now_us)
