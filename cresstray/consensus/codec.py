"""Messages of the Raft protocol, frames of kinds 32 to 47; docs/consensus.md has their form."""

from __future__ import annotations

from typing import Annotated

import msgspec

from cresstray.consensus.entries import MAX_DATA_BYTES, MAX_SNAPSHOT_BYTES, Entry, Members, UnsignedInt
from cresstray.transport.framing import Frame

# Entries in one frame. Each costs about ten bytes besides its data.
MAX_FRAME_ENTRIES = 1_024

_SnapshotSize = Annotated[int, msgspec.Meta(ge=0, le=MAX_SNAPSHOT_BYTES)]


class PreVoteRequest(Frame):
    """Asks for a pre-vote in `term`, which the sender has not entered yet."""

    kind = 32
    term: UnsignedInt
    last_log_index: UnsignedInt
    last_log_term: UnsignedInt


class PreVoteResponse(Frame):
    """Answers a PreVoteRequest. `term` is the requested term if granted, else the responder's own term."""

    kind = 33
    term: UnsignedInt
    granted: bool


class VoteRequest(Frame):
    """Asks for a vote in `term`.

    With `is_transfer` the leader itself started the election, so voters ignore that they heard it recently.
    """

    kind = 34
    term: UnsignedInt
    last_log_index: UnsignedInt
    last_log_term: UnsignedInt
    is_transfer: bool


class VoteResponse(Frame):
    """Answers a VoteRequest."""

    kind = 35
    term: UnsignedInt
    granted: bool


class AppendEntries(Frame):
    """Entries that follow `prev_log_index`; a heartbeat has none. The response repeats `round`."""

    kind = 36
    term: UnsignedInt
    round: UnsignedInt
    prev_log_index: UnsignedInt
    prev_log_term: UnsignedInt
    leader_commit: UnsignedInt
    entries: Annotated[list[Entry], msgspec.Meta(max_length=MAX_FRAME_ENTRIES)]


class AppendEntriesResponse(Frame):
    """Answers an AppendEntries.

    On success the log equals the leader's up to `index`. Otherwise it differs at `index`, the request's
    `prev_log_index`: its entry there has the term `hint_term` (0 if the log is shorter), and the logs may
    be equal before `hint_index`.
    """

    kind = 37
    term: UnsignedInt
    round: UnsignedInt
    is_success: bool
    index: UnsignedInt
    hint_term: UnsignedInt
    hint_index: UnsignedInt


class InstallSnapshot(Frame):
    """A chunk of a snapshot, starting at `offset`; without data it asks how much has arrived.

    `size` and `checksum` (CRC-32) are of the whole snapshot.
    """

    kind = 38
    term: UnsignedInt
    round: UnsignedInt
    last_included_index: UnsignedInt
    last_included_term: UnsignedInt
    members: Members
    size: _SnapshotSize
    checksum: UnsignedInt
    offset: _SnapshotSize
    data: Annotated[bytes, msgspec.Meta(max_length=MAX_DATA_BYTES)]


class InstallSnapshotResponse(Frame):
    """Answers an InstallSnapshot: the bytes before `offset` have arrived.

    Once all have arrived, the snapshot is synced and in use.
    """

    kind = 39
    term: UnsignedInt
    round: UnsignedInt
    last_included_index: UnsignedInt
    checksum: UnsignedInt
    offset: _SnapshotSize


class TimeoutNow(Frame):
    """The leader of `term` asks this voter to start an election at once (leadership transfer)."""

    kind = 40
    term: UnsignedInt


KINDS = (
    PreVoteRequest,
    PreVoteResponse,
    VoteRequest,
    VoteResponse,
    AppendEntries,
    AppendEntriesResponse,
    InstallSnapshot,
    InstallSnapshotResponse,
    TimeoutNow,
)
