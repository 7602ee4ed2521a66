"""Commitment: which entries a majority of voters has stored."""

from __future__ import annotations

from cresstray.consensus.codec import Now
from cresstray.consensus.read_index import ReadIndex


class Commitment(ReadIndex):
    """Advances the leader's commit index."""

    def _count(self, now: int) -> None:
        """Commits what a majority of voters has synced, as long as it is of this term."""
        log = self._log
        reached = self._quorum(
            [log.stored if name == self.name else self._peers[name].match for name in self.members.voters]
        )
        # An entry of an earlier term can still be replaced, however many have it.
        if reached <= self.commit or log.term_at(reached) != self.term:
            return
        self._release_proposed(reached)
        self.commit = reached
        self._serve_reads()
        # At once, not with the next heartbeat: followers apply it that much sooner.
        self._begin_round(now, False)
        for to, peer in self._peers.items():
            if peer.is_replicating():
                self._feed(to, now, True)
        if self.name not in self.members.voters and log.changed <= self.commit:
            self._resign(now)

    def _release_proposed(self, reached: int) -> None:
        """Entries up to there do not count as proposed and uncommitted any more."""
        for index in range(self.commit + 1, reached + 1):
            entry = self._log.entry(index)
            if entry.term == self.term:
                self._open -= len(entry.data)

    def _resign(self, now: int) -> None:
        """It is no voter any more, for good: whoever has most of the log is to be elected."""
        heir = max(self.members.voters, key=lambda name: self._peers[name].match)
        self._frames.append((heir, Now(self.term)))
        self._step_down(now)
