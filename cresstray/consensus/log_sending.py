"""How a leader sends entries, snapshots and heartbeats to the other members."""

from __future__ import annotations

from zlib import crc32

from cresstray.consensus.codec import AppendEntries, InstallSnapshot
from cresstray.consensus.entries import MAX_DATA_BYTES, Entry
from cresstray.consensus.node_state import NodeState
from cresstray.consensus.peers import PeerProgress, ProgressState

# Messages within this interval share a round. The lease counts from the start of the round, so a shared round
# only makes it shorter.
_MIN_ROUND_INTERVAL_US = 1_000
# A follower that was silent for so many election timeouts gets the newest snapshot instead of the rest of an
# older one.
_SNAPSHOT_RESTART_ELECTIONS = 10


class LogSending(NodeState):
    """Sends messages to the other members, in numbered rounds that their responses repeat."""

    def _update_peers(self) -> None:
        names = [name for name in self.members.names() if name != self.name]
        self._peers = {
            name: self._peers.get(name) or PeerProgress(self._log.last_index + 1) for name in names
        }

    def _broadcast(self, now_us: int, with_heartbeat: bool = False) -> None:
        """Sends to all other members; `with_heartbeat`: at least a heartbeat each, in a new round."""
        self._start_round(now_us, with_heartbeat)
        for to in self._peers:
            self._send_to_peer(to, now_us, with_heartbeat)

    def _start_round(self, now_us: int, force: bool) -> None:
        is_due = not self._round_starts or now_us - self._round_starts[-1][1] >= _MIN_ROUND_INTERVAL_US
        if not force and not is_due:
            return
        self._round += 1
        self._round_starts.append((self._round, now_us))
        while self._round_starts[0][1] < now_us - 2 * self._timing.election_timeout_us:
            self._round_starts.popleft()

    def _send_to_peer(self, to: str, now_us: int, with_heartbeat: bool = False) -> None:
        """Sends the entries or the snapshot that a member lacks; `with_heartbeat`: at least a heartbeat."""
        peer = self._peers[to]
        self._switch_to_snapshot(peer, now_us)
        if peer.state is ProgressState.SNAPSHOT:
            self._send_snapshot_chunk(to, peer, with_heartbeat)
        elif peer.state is ProgressState.PROBE:
            if with_heartbeat or not peer.is_probe_in_flight:
                peer.is_probe_in_flight = True
                self._send_entries(to, peer, [])
        else:
            self._replicate(to, peer, with_heartbeat)

    def _switch_to_snapshot(self, peer: PeerProgress, now_us: int) -> None:
        """Starts a snapshot if the next entries are compacted, or a newer one after a long silence."""
        log = self._log
        if peer.state is ProgressState.SNAPSHOT:
            is_silent = (
                peer.acked_at_us is None
                or now_us - peer.acked_at_us > _SNAPSHOT_RESTART_ELECTIONS * self._timing.election_timeout_us
            )
            is_needed = peer.snapshot is not log.snapshot and is_silent
        else:
            is_needed = log.term_at(peer.next_index - 1) is None
        if is_needed:
            peer.start_snapshot(log.snapshot, crc32(log.snapshot.data))

    def _replicate(self, to: str, peer: PeerProgress, with_heartbeat: bool) -> None:
        while peer.next_index <= self._log.last_index and peer.has_room():
            entries, size = self._log.batch(peer.next_index)
            self._send_entries(to, peer, entries)
            peer.record_sent(peer.next_index + len(entries) - 1, size)
            with_heartbeat = False
        if with_heartbeat:
            self._send_entries(to, peer, [])

    def _send_entries(self, to: str, peer: PeerProgress, entries: list[Entry]) -> None:
        index = peer.next_index - 1
        term = self._log.term_at(index)
        assert term is not None, "the preceding entry must be in the log"
        self._messages.append(
            (to, AppendEntries(self.term, self._round, index, term, self.commit_index, entries))
        )

    def _send_snapshot_chunk(self, to: str, peer: PeerProgress, with_heartbeat: bool) -> None:
        """Sends the next snapshot chunk if the last one has arrived; a heartbeat only asks how much has."""
        snapshot = peer.snapshot
        assert snapshot is not None
        data = b""
        if peer.sent_bytes == peer.received_bytes and not peer.chunk_round:
            data = snapshot.data[peer.received_bytes : peer.received_bytes + MAX_DATA_BYTES]
            peer.sent_bytes = peer.received_bytes + len(data)
            peer.chunk_round = self._round
        elif not with_heartbeat:
            return
        chunk = InstallSnapshot(
            self.term,
            self._round,
            snapshot.index,
            snapshot.term,
            snapshot.members,
            len(snapshot.data),
            peer.checksum,
            peer.received_bytes,
            data,
        )
        self._messages.append((to, chunk))
