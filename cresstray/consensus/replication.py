"""Replication of a Raft log.

A follower's side of entries and snapshots, and a leader's side of the answers.
"""

from __future__ import annotations

from zlib import crc32

from cresstray.consensus.codec import Append, Appended, Install, Installed
from cresstray.consensus.entries import Kind, Snapshot, members_of
from cresstray.consensus.membership_changes import MembershipChanges
from cresstray.consensus.node_state import Role
from cresstray.transport.framing import FramingError


class Replication(MembershipChanges):
    """Handles Append and Install as a follower, Appended and Installed as a leader."""

    def _hear(self, sender: str, term: int, now: int) -> bool:
        """Takes a leader's message; returns False where its term is over."""
        if term < self.term:
            return False
        if term == self.term and (self.role is Role.LEADER or self.leader not in (None, sender)):
            raise FramingError(f"a second leader of term {term}")
        self._follow(term, sender, now)
        self._heard = now
        self._put_off(now)
        return True

    # As a follower: entries.

    def _on_append(self, sender: str, frame: Append, now: int) -> None:
        _check_entries(frame)
        previous = frame.index
        if not self._hear(sender, frame.term, now):
            self._frames.append((sender, Appended(self.term, frame.round, False, previous, 0, 0)))
            return
        self._check_against_committed(frame)
        if previous >= self.commit and self._log.term_at(previous) != frame.log_term:
            self._reject_append(sender, frame)
            return
        end = previous + len(frame.entries)
        self._take_entries(frame)
        self.commit = max(self.commit, min(frame.commit, end))
        match = max(end, self.commit)
        self._frames.append((sender, Appended(self.term, frame.round, True, match, 0, 0)))

    def _check_against_committed(self, frame: Append) -> None:
        terms = [frame.log_term, *(entry.term for entry in frame.entries)]
        for index, term in enumerate(terms, frame.index):
            if self._log.base <= index <= self.commit and self._log.term_at(index) != term:
                raise FramingError(f"another entry {index} than was committed here")

    def _reject_append(self, sender: str, frame: Append) -> None:
        """Answers with a hint from where on the logs may agree."""
        log = self._log
        previous = frame.index
        known_term = log.term_at(previous)
        hint = log.last + 1
        if known_term is not None:
            hint = log.first_of(known_term, self.commit + 1, previous)
        answer = Appended(self.term, frame.round, False, previous, known_term or 0, hint)
        self._frames.append((sender, answer))

    def _take_entries(self, frame: Append) -> None:
        log = self._log
        for index, entry in enumerate(frame.entries, frame.index + 1):
            # What is committed here is the leader's as well.
            if index <= self.commit:
                continue
            if index <= log.last and log.term_at(index) != entry.term:
                log.cut(index)
            if index > log.last:
                log.append(entry)

    # As a follower: snapshots.

    def _on_install(self, sender: str, frame: Install, now: int) -> None:
        received = 0
        if self._hear(sender, frame.term, now):
            if frame.index <= self.commit:
                self._part = None
                received = frame.size
            else:
                received = self._collect(frame)
        answer = Installed(self.term, frame.round, frame.index, frame.check, received)
        self._frames.append((sender, answer))

    def _collect(self, frame: Install) -> int:
        """Returns how many bytes of that snapshot have arrived; with all of them it is in use."""
        if self._part is not None and _snapshot_id(self._part[0]) != _snapshot_id(frame):
            self._part = None
        if self._part is None:
            self._part = frame, bytearray()
        data = self._part[1]
        if frame.offset == len(data):
            if len(data) + len(frame.data) > frame.size:
                raise FramingError("a snapshot that is longer than it says")
            data += frame.data
        if len(data) < frame.size:
            return len(data)
        self._part = None
        if crc32(data) != frame.check:
            return 0
        self._restored = Snapshot(frame.index, frame.log_term, frame.members, bytes(data))
        self._log.restore(self._restored)
        self.commit = frame.index
        self._applied = frame.index
        return len(data)

    # As a leader: answers.

    def _on_appended(self, sender: str, frame: Appended, now: int) -> None:
        peer = self._peers[sender]
        log = self._log
        if frame.ok:
            if frame.index > log.last:
                raise FramingError("more of the log than there is")
            if peer.matched(frame.index):
                self._count(now)
            if self._is_leading(sender):
                if self._heir == sender:
                    self._hand_over(now)
                self._feed(sender, now)
            return
        following = frame.hint_index
        if frame.hint_term:
            known = log.last_of(frame.hint_term, min(frame.index, log.last))
            following = frame.hint_index if known is None else known + 1
        if peer.differs(frame.index, max(1, following)):
            self._feed(sender, now)

    def _on_installed(self, sender: str, frame: Installed, now: int) -> None:
        peer = self._peers[sender]
        snapshot = peer.snapshot
        if snapshot is None or (frame.index, frame.check) != (snapshot.index, peer.check):
            return
        if frame.offset >= len(snapshot.data):
            peer.matched(snapshot.index)
            self._count(now)
        elif frame.offset > peer.offset or frame.round > peer.part_round:
            # Further on; or a later question shows that the part was lost, or that all begins anew.
            peer.offset = frame.offset
            peer.sent = frame.offset
            peer.part_round = 0
        if self._is_leading(sender):
            self._feed(sender, now)

    def _is_leading(self, name: str) -> bool:
        """Counting may have ended its leadership, or removed the member."""
        return self.role is Role.LEADER and name in self._peers


def _snapshot_id(frame: Install) -> tuple[int, int, int, int]:
    return frame.index, frame.log_term, frame.size, frame.check


def _check_entries(frame: Append) -> None:
    previous_term = frame.log_term
    for entry in frame.entries:
        if not previous_term <= entry.term <= frame.term:
            raise FramingError("entries whose terms don't grow")
        previous_term = entry.term
        if entry.kind == Kind.MEMBERS:
            try:
                members_of(entry.data)
            except ValueError as error:
                raise FramingError(f"an entry that is no list of members: {error}") from None
