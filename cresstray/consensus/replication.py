"""Log replication: a follower's handling of entries and snapshots, a leader's handling of the responses."""

from __future__ import annotations

from zlib import crc32

from cresstray.consensus.codec import (
    AppendEntries,
    AppendEntriesResponse,
    InstallSnapshot,
    InstallSnapshotResponse,
)
from cresstray.consensus.entries import EntryKind, Snapshot, decode_members
from cresstray.consensus.membership_changes import MembershipChanges
from cresstray.consensus.node_state import Role
from cresstray.transport.framing import FramingError


class Replication(MembershipChanges):
    """Handles AppendEntries and InstallSnapshot as a follower, and their responses as a leader."""

    def _accept_leader(self, sender: str, term: int, now_us: int) -> bool:
        """Follows the sender as the leader of `term`; returns False if that term is over."""
        if term < self.term:
            return False
        if term == self.term and (self.role is Role.LEADER or self.leader not in (None, sender)):
            raise FramingError(f"a second leader of term {term}")
        self._become_follower(term, sender, now_us)
        self._leader_contact_at_us = now_us
        self._reset_election_timer(now_us)
        return True

    # Entries, as a follower.

    def _on_append_entries(self, sender: str, frame: AppendEntries, now_us: int) -> None:
        _check_entries(frame)
        prev_log_index = frame.prev_log_index
        if not self._accept_leader(sender, frame.term, now_us):
            self._messages.append(
                (sender, AppendEntriesResponse(self.term, frame.round, False, prev_log_index, 0, 0))
            )
            return
        self._check_against_committed(frame)
        if prev_log_index >= self.commit_index and self._log.term_at(prev_log_index) != frame.prev_log_term:
            self._reject_append(sender, frame)
            return
        end = prev_log_index + len(frame.entries)
        self._store_entries(frame)
        self.commit_index = max(self.commit_index, min(frame.leader_commit, end))
        match_index = max(end, self.commit_index)
        self._messages.append(
            (sender, AppendEntriesResponse(self.term, frame.round, True, match_index, 0, 0))
        )

    def _check_against_committed(self, frame: AppendEntries) -> None:
        terms = [frame.prev_log_term, *(entry.term for entry in frame.entries)]
        for index, term in enumerate(terms, frame.prev_log_index):
            if self._log.base_index <= index <= self.commit_index and self._log.term_at(index) != term:
                raise FramingError(f"entry {index} differs from the one committed here")

    def _reject_append(self, sender: str, frame: AppendEntries) -> None:
        """Answers with a hint before which index the logs may match."""
        log = self._log
        prev_log_index = frame.prev_log_index
        known_term = log.term_at(prev_log_index)
        hint_index = log.last_index + 1
        if known_term is not None:
            hint_index = log.first_index_of_term(known_term, self.commit_index + 1, prev_log_index)
        answer = AppendEntriesResponse(
            self.term, frame.round, False, prev_log_index, known_term or 0, hint_index
        )
        self._messages.append((sender, answer))

    def _store_entries(self, frame: AppendEntries) -> None:
        log = self._log
        for index, entry in enumerate(frame.entries, frame.prev_log_index + 1):
            # Committed entries are the same in the leader's log.
            if index <= self.commit_index:
                continue
            if index <= log.last_index and log.term_at(index) != entry.term:
                log.truncate_from(index)
            if index > log.last_index:
                log.append(entry)

    # Snapshots, as a follower.

    def _on_install_snapshot(self, sender: str, frame: InstallSnapshot, now_us: int) -> None:
        received_bytes = 0
        if self._accept_leader(sender, frame.term, now_us):
            if frame.last_included_index <= self.commit_index:
                self._incoming_snapshot = None
                received_bytes = frame.size
            else:
                received_bytes = self._receive_chunk(frame)
        answer = InstallSnapshotResponse(
            self.term, frame.round, frame.last_included_index, frame.checksum, received_bytes
        )
        self._messages.append((sender, answer))

    def _receive_chunk(self, frame: InstallSnapshot) -> int:
        """Adds a chunk and returns how many bytes of the snapshot have arrived; installs it once all have."""
        if self._incoming_snapshot is not None and _snapshot_id(self._incoming_snapshot[0]) != _snapshot_id(
            frame
        ):
            self._incoming_snapshot = None
        if self._incoming_snapshot is None:
            self._incoming_snapshot = frame, bytearray()
        data = self._incoming_snapshot[1]
        if frame.offset == len(data):
            if len(data) + len(frame.data) > frame.size:
                raise FramingError("a snapshot that is longer than its stated size")
            data += frame.data
        if len(data) < frame.size:
            return len(data)
        self._incoming_snapshot = None
        if crc32(data) != frame.checksum:
            return 0
        self._restored_snapshot = Snapshot(
            frame.last_included_index, frame.last_included_term, frame.members, bytes(data)
        )
        self._log.restore(self._restored_snapshot)
        self.commit_index = frame.last_included_index
        self._applied_index = frame.last_included_index
        return len(data)

    # Responses, as a leader.

    def _on_append_entries_response(self, sender: str, frame: AppendEntriesResponse, now_us: int) -> None:
        peer = self._peers[sender]
        log = self._log
        if frame.is_success:
            if frame.index > log.last_index:
                raise FramingError("a match index beyond the leader's log")
            if peer.record_match(frame.index):
                self._advance_commit_index(now_us)
            if self._is_leading(sender):
                if self._transfer_target == sender:
                    self._continue_transfer(now_us)
                self._send_to_peer(sender, now_us)
            return
        next_index = frame.hint_index
        if frame.hint_term:
            last_known_index = log.last_index_of_term(frame.hint_term, min(frame.index, log.last_index))
            next_index = frame.hint_index if last_known_index is None else last_known_index + 1
        if peer.record_mismatch(frame.index, max(1, next_index)):
            self._send_to_peer(sender, now_us)

    def _on_install_snapshot_response(self, sender: str, frame: InstallSnapshotResponse, now_us: int) -> None:
        peer = self._peers[sender]
        snapshot = peer.snapshot
        if snapshot is None or (frame.last_included_index, frame.checksum) != (snapshot.index, peer.checksum):
            return
        if frame.offset >= len(snapshot.data):
            peer.record_match(snapshot.index)
            self._advance_commit_index(now_us)
        elif frame.offset > peer.received_bytes or frame.round > peer.chunk_round:
            # More has arrived, or the response to a later heartbeat shows that the chunk was lost or that the
            # receiver starts anew.
            peer.received_bytes = frame.offset
            peer.sent_bytes = frame.offset
            peer.chunk_round = 0
        if self._is_leading(sender):
            self._send_to_peer(sender, now_us)

    def _is_leading(self, name: str) -> bool:
        """Returns whether this node still leads and `name` is still a member.

        Advancing the commit index can end either.
        """
        return self.role is Role.LEADER and name in self._peers


def _snapshot_id(frame: InstallSnapshot) -> tuple[int, int, int, int]:
    return frame.last_included_index, frame.last_included_term, frame.size, frame.checksum


def _check_entries(frame: AppendEntries) -> None:
    previous_term = frame.prev_log_term
    for entry in frame.entries:
        if not previous_term <= entry.term <= frame.term:
            raise FramingError("entries whose terms are out of order")
        previous_term = entry.term
        if entry.kind == EntryKind.MEMBERS:
            try:
                decode_members(entry.data)
            except ValueError as error:
                raise FramingError(f"an entry with undecodable members: {error}") from None
