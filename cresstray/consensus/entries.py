"""Entries, members and snapshots of the log, what a file holds of it, and what a node hands out."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import IntEnum
from typing import Annotated

import msgspec

from cresstray.transport.framing import Frame

# Bytes of one entry, of the entries of one frame, and of one part of a snapshot: half a frame.
MAX_DATA_BYTES = 128 * 1024
# A wrong size would have memory reserved for it. The configuration, moves and pins of 300 engines take a
# few MB.
MAX_SNAPSHOT_BYTES = 64 * 1024 * 1024

UnsignedInt = Annotated[int, msgspec.Meta(ge=0, le=2**53)]
NodeName = Annotated[str, msgspec.Meta(min_length=1, max_length=64)]
_NodeNames = Annotated[tuple[NodeName, ...], msgspec.Meta(max_length=32)]


class EntryKind(IntEnum):
    """What an entry is."""

    NO_OP = 0  # a leader's first, so that something of its own term can be committed
    DATA = 1
    MEMBERS = 2  # in force for the log as soon as it is in it


class Entry(msgspec.Struct, array_like=True, frozen=True):
    """One entry of the log; its index is its place."""

    term: UnsignedInt
    kind: Annotated[int, msgspec.Meta(ge=0, le=2)]
    data: Annotated[bytes, msgspec.Meta(max_length=MAX_DATA_BYTES)]


class Members(msgspec.Struct, array_like=True, frozen=True):
    """Voters and learners. Names are sorted, each there once."""

    voters: _NodeNames
    learners: _NodeNames = ()

    def names(self) -> tuple[str, ...]:
        """Returns voters, then learners."""
        return self.voters + self.learners

    def encode(self) -> bytes:
        """Returns the data of an entry of kind MEMBERS."""
        return msgspec.msgpack.encode(self)


_members_decoder = msgspec.msgpack.Decoder(Members)


def decode_members(data: bytes) -> Members:
    """Returns the list in an entry of kind MEMBERS; ValueError where there is none."""
    return _members_decoder.decode(data)


class Snapshot(msgspec.Struct, array_like=True, frozen=True):
    """The applied state up to `index`, as bytes of the state machine, and the members as of there."""

    index: UnsignedInt
    term: UnsignedInt
    members: Members
    data: bytes


@dataclass
class PersistentState:
    """The content of a file. `entries` follow the snapshot without a gap; the first snapshot has index 0."""

    name: str
    term: int
    voted_for: str | None
    snapshot: Snapshot
    entries: list[Entry] = field(default_factory=list)


@dataclass
class PendingWrite:
    """What is to be synced, in this order, all or nothing.

    Entries from `cut` on are dropped; `entries` are put from index `first` on; `snapshot` takes the place of
    the old one and of all entries up to its index; then term and vote.
    """

    term: int
    voted_for: str | None
    snapshot: Snapshot | None = None
    truncate_from: int | None = None
    first_index: int = 0
    entries: list[Entry] = field(default_factory=list)


@dataclass
class Ready:
    """What is to be done after a call, in the order of its fields. False where there is nothing."""

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
