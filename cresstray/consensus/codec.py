"""Messages of the Raft protocol, frames of kinds 32 to 47; docs/consensus.md has their form."""

from __future__ import annotations

from typing import Annotated

import msgspec

from cresstray.consensus.entries import MAX_DATA_BYTES, MAX_SNAPSHOT_BYTES, Entry, Members, UnsignedInt
from cresstray.transport.framing import Frame

# Entries of one frame; small ones cost some ten bytes each beside their data.
MAX_FRAME_ENTRIES = 1_024

_SnapshotSize = Annotated[int, msgspec.Meta(ge=0, le=MAX_SNAPSHOT_BYTES)]


class PreVoteRequest(Frame):
    """Asks for a pre-vote in `term`. The sender's log ends at `index`, whose entry is of `log_term`."""

    kind = 32
    term: UnsignedInt
    last_log_index: UnsignedInt
    last_log_term: UnsignedInt


class PreVoteResponse(Frame):
    """Answers a PreVote. `term` is the one asked for where granted, else the answerer's own."""

    kind = 33
    term: UnsignedInt
    granted: bool


class VoteRequest(Frame):
    """Asks for a vote. With `transfer` the leader itself wants it, so that no voter keeps to the leader."""

    kind = 34
    term: UnsignedInt
    last_log_index: UnsignedInt
    last_log_term: UnsignedInt
    is_transfer: bool


class VoteResponse(Frame):
    """Answers a Vote."""

    kind = 35
    term: UnsignedInt
    granted: bool


class AppendEntries(Frame):
    """Entries after `index`, whose entry is of `log_term`; a heartbeat has none. The answer names `round`."""

    kind = 36
    term: UnsignedInt
    round: UnsignedInt
    prev_log_index: UnsignedInt
    prev_log_term: UnsignedInt
    leader_commit: UnsignedInt
    entries: Annotated[list[Entry], msgspec.Meta(max_length=MAX_FRAME_ENTRIES)]


class AppendEntriesResponse(Frame):
    """Answers an Append.

    With `ok` the log equals the leader's up to `index`. Else it differs at `index`, which was asked for:
    its entry there is of `hint_term` (0: the log is shorter), and before `hint_index` the logs may be
    equal.
    """

    kind = 37
    term: UnsignedInt
    round: UnsignedInt
    is_success: bool
    index: UnsignedInt
    hint_term: UnsignedInt
    hint_index: UnsignedInt


class InstallSnapshot(Frame):
    """Part of a snapshot from `offset` on; without data it asks what has arrived. `check`: CRC-32 of all."""

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
    """Answers an Install: bytes up to `offset` have arrived; with all of them it is synced and in use."""

    kind = 39
    term: UnsignedInt
    round: UnsignedInt
    last_included_index: UnsignedInt
    checksum: UnsignedInt
    offset: _SnapshotSize


class TimeoutNow(Frame):
    """The leader of `term` asks this voter to stand for election at once (leadership transfer)."""

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
