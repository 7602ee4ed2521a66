"""Log entries, members and snapshots, a node's persistent state, and the work that a node hands out."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import IntEnum
from typing import Annotated

import msgspec

from cresstray.transport.framing import Frame

# Bytes of one entry, of the entries of one frame, and of one snapshot chunk: half of the frame limit.
MAX_DATA_BYTES = 128 * 1024
# Bounds the memory that a wrong size could reserve. The configuration, moves and pins of 300 engines take
# a few MB.
MAX_SNAPSHOT_BYTES = 64 * 1024 * 1024

UnsignedInt = Annotated[int, msgspec.Meta(ge=0, le=2**53)]
NodeName = Annotated[str, msgspec.Meta(min_length=1, max_length=64)]
_NodeNames = Annotated[tuple[NodeName, ...], msgspec.Meta(max_length=32)]


class EntryKind(IntEnum):
    """What a log entry holds."""

    NO_OP = 0  # a new leader's first entry, so that it can commit an entry of its own term
    DATA = 1
    MEMBERS = 2  # in force as soon as it is in the log, committed or not


class Entry(msgspec.Struct, array_like=True, frozen=True):
    """One log entry. Its index is its position in the log."""

    term: UnsignedInt
    kind: Annotated[int, msgspec.Meta(ge=0, le=2)]
    data: Annotated[bytes, msgspec.Meta(max_length=MAX_DATA_BYTES)]


class Members(msgspec.Struct, array_like=True, frozen=True):
    """The cluster membership: voters and non-voting learners, each sorted and without duplicates."""

    voters: _NodeNames
    learners: _NodeNames = ()

    def names(self) -> tuple[str, ...]:
        """Returns the voters, then the learners."""
        return self.voters + self.learners

    def encode(self) -> bytes:
        """Returns the data of an entry of kind MEMBERS."""
        return msgspec.msgpack.encode(self)


_members_decoder = msgspec.msgpack.Decoder(Members)


def decode_members(data: bytes) -> Members:
    """Decodes the data of an entry of kind MEMBERS.

    Raises:
        ValueError: it is no list of members.
    """
    return _members_decoder.decode(data)


class Snapshot(msgspec.Struct, array_like=True, frozen=True):
    """The state machine's encoded state after the entry `index`, and the members as of that entry."""

    index: UnsignedInt
    term: UnsignedInt
    members: Members
    data: bytes


@dataclass
class PersistentState:
    """What a node has on disk. `entries` follow the snapshot without a gap.

    A new node has an empty snapshot of index 0 or 1.
    """

    name: str
    term: int
    voted_for: str | None
    snapshot: Snapshot
    entries: list[Entry] = field(default_factory=list)


@dataclass
class PendingWrite:
    """Changes to write and sync atomically, applied in this order.

    Entries from `truncate_from` on are deleted; `entries` are inserted from `first_index` on; `snapshot`
    replaces the old one and all entries up to its index; then the term and the vote are set.
    """

    term: int
    voted_for: str | None
    snapshot: Snapshot | None = None
    truncate_from: int | None = None
    first_index: int = 0
    entries: list[Entry] = field(default_factory=list)


@dataclass
class Ready:
    """Work for the caller, to be done in the order of the fields; false if there is none.

    Attributes:
        pending_write: To write and sync.
        messages: To send: receiver and frame.
        restored_snapshot: Replaces the state machine's state.
        committed_entries: To apply: index and entry.
        read_results: Per requested read its token, and the index to have applied or None if it failed.
    """

    pending_write: PendingWrite | None = None
    messages: list[tuple[str, Frame]] = field(default_factory=list)
    restored_snapshot: Snapshot | None = None
    committed_entries: list[tuple[int, Entry]] = field(default_factory=list)
    read_results: list[tuple[object, int | None]] = field(default_factory=list)

    def __bool__(self) -> bool:
        return bool(
            self.pending_write
            or self.messages
            or self.restored_snapshot
            or self.committed_entries
            or self.read_results
        )
