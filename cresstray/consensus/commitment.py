"""Commitment: which entries a majority of voters has stored."""

from __future__ import annotations

from cresstray.consensus.codec import TimeoutNow
from cresstray.consensus.read_index import ReadIndex


class Commitment(ReadIndex):
    """Advances the leader's commit index."""

    def _advance_commit_index(self, now_us: int) -> None:
        """Commits what a majority of voters has synced, as long as it is of this term."""
        log = self._log
        quorum_index = self._quorum_value(
            [
                log.persisted_index if name == self.name else self._peers[name].match_index
                for name in self.members.voters
            ]
        )
        # An entry of an earlier term can still be replaced, however many have it.
        if quorum_index <= self.commit_index or log.term_at(quorum_index) != self.term:
            return
        self._release_proposed(quorum_index)
        self.commit_index = quorum_index
        self._serve_reads()
        # At once, not with the next heartbeat: followers apply it that much sooner.
        self._start_round(now_us, False)
        for to, peer in self._peers.items():
            if peer.is_replicating():
                self._send_to_peer(to, now_us, True)
        if self.name not in self.members.voters and log.members_index <= self.commit_index:
            self._resign(now_us)

    def _release_proposed(self, quorum_index: int) -> None:
        """Entries up to there do not count as proposed and uncommitted any more."""
        for index in range(self.commit_index + 1, quorum_index + 1):
            entry = self._log.entry(index)
            if entry.term == self.term:
                self._uncommitted_bytes -= len(entry.data)

    def _resign(self, now_us: int) -> None:
        """It is no voter any more, for good: whoever has most of the log is to be elected."""
        successor = max(self.members.voters, key=lambda name: self._peers[name].match_index)
        self._messages.append((successor, TimeoutNow(self.term)))
        self._step_down(now_us)
