"""How a Raft leader sends its log, snapshots and heartbeats to the other members."""

from __future__ import annotations

from zlib import crc32

from cresstray.consensus.codec import Append, Install
from cresstray.consensus.entries import MOST_DATA, Entry
from cresstray.consensus.node_state import NodeState
from cresstray.consensus.peers import Peer, Way

# Rounds of one leader begin no closer than this: an older one only makes the lease shorter.
_MIN_ROUND_INTERVAL_US = 1_000
# A follower that was silent for so many election timeouts gets the newest snapshot, not an older one's rest.
_SILENT_ELECTIONS = 10


class LogSending(NodeState):
    """Sends to each member what it may be sent now, in rounds that its answers name."""

    def _know_peers(self) -> None:
        names = [name for name in self.members.names() if name != self.name]
        self._peers = {name: self._peers.get(name) or Peer(self._log.last + 1) for name in names}

    def _broadcast(self, now: int, fresh: bool = False) -> None:
        """Sends to all members; `fresh`: at least a heartbeat, of a round that begins now."""
        self._begin_round(now, fresh)
        for to in self._peers:
            self._feed(to, now, fresh)

    def _begin_round(self, now: int, fresh: bool) -> None:
        is_due = not self._rounds or now - self._rounds[-1][1] >= _MIN_ROUND_INTERVAL_US
        if not fresh and not is_due:
            return
        self._round += 1
        self._rounds.append((self._round, now))
        while self._rounds[0][1] < now - 2 * self._times.election:
            self._rounds.popleft()

    def _feed(self, to: str, now: int, beat: bool = False) -> None:
        """Sends what this member lacks; `beat`: at least a heartbeat."""
        peer = self._peers[to]
        self._switch_to_snapshot(peer, now)
        if peer.way is Way.SNAPSHOT:
            self._send_part(to, peer, beat)
        elif peer.way is Way.PROBE:
            if beat or not peer.asked:
                peer.asked = True
                self._append(to, peer, [])
        else:
            self._replicate(to, peer, beat)

    def _switch_to_snapshot(self, peer: Peer, now: int) -> None:
        """Starts a snapshot where its next entries are gone, or where it was silent during an older one."""
        log = self._log
        if peer.way is Way.SNAPSHOT:
            is_silent = peer.acked is None or now - peer.acked > _SILENT_ELECTIONS * self._times.election
            is_needed = peer.snapshot is not log.snapshot and is_silent
        else:
            is_needed = log.term_at(peer.next - 1) is None
        if is_needed:
            peer.install(log.snapshot, crc32(log.snapshot.data))

    def _replicate(self, to: str, peer: Peer, beat: bool) -> None:
        while peer.next <= self._log.last and peer.room():
            entries, size = self._log.batch(peer.next)
            self._append(to, peer, entries)
            peer.flies(peer.next + len(entries) - 1, size)
            beat = False
        if beat:
            self._append(to, peer, [])

    def _append(self, to: str, peer: Peer, entries: list[Entry]) -> None:
        index = peer.next - 1
        term = self._log.term_at(index)
        assert term is not None, "what is sent is here"
        self._frames.append((to, Append(self.term, self._round, index, term, self.commit, entries)))

    def _send_part(self, to: str, peer: Peer, beat: bool) -> None:
        """Sends the next part of a snapshot, if the last one has arrived; a heartbeat only asks."""
        snapshot = peer.snapshot
        assert snapshot is not None
        data = b""
        if peer.sent == peer.offset and not peer.part_round:
            data = snapshot.data[peer.offset : peer.offset + MOST_DATA]
            peer.sent = peer.offset + len(data)
            peer.part_round = self._round
        elif not beat:
            return
        part = Install(
            self.term,
            self._round,
            snapshot.index,
            snapshot.term,
            snapshot.members,
            len(snapshot.data),
            peer.check,
            peer.offset,
            data,
        )
        self._frames.append((to, part))
