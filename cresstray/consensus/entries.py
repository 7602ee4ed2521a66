"""Entries, members and snapshots of the log, what a file holds of it, and what a node hands out."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import IntEnum
from typing import Annotated

import msgspec

from cresstray.transport.framing import Frame

# Bytes of one entry, of the entries of one frame, and of one part of a snapshot: half a frame.
MOST_DATA = 128 * 1024
# A wrong size would have memory reserved for it. The configuration, moves and pins of 300 engines take a
# few MB.
MOST_SNAPSHOT = 64 * 1024 * 1024

Number = Annotated[int, msgspec.Meta(ge=0, le=2**53)]
Name = Annotated[str, msgspec.Meta(min_length=1, max_length=64)]
_Names = Annotated[tuple[Name, ...], msgspec.Meta(max_length=32)]


class Kind(IntEnum):
    """What an entry is."""

    NOTHING = 0  # a leader's first, so that something of its own term can be committed
    DATA = 1
    MEMBERS = 2  # in force for the log as soon as it is in it


class Entry(msgspec.Struct, array_like=True, frozen=True):
    """One entry of the log; its index is its place."""

    term: Number
    kind: Annotated[int, msgspec.Meta(ge=0, le=2)]
    data: Annotated[bytes, msgspec.Meta(max_length=MOST_DATA)]


class Members(msgspec.Struct, array_like=True, frozen=True):
    """Voters and learners. Names are sorted, each there once."""

    voters: _Names
    learners: _Names = ()

    def names(self) -> tuple[str, ...]:
        """Returns voters, then learners."""
        return self.voters + self.learners

    def encoded(self) -> bytes:
        """Returns the data of an entry of kind MEMBERS."""
        return msgspec.msgpack.encode(self)


_members = msgspec.msgpack.Decoder(Members)


def members_of(data: bytes) -> Members:
    """Returns the list in an entry of kind MEMBERS; ValueError where there is none."""
    return _members.decode(data)


class Snapshot(msgspec.Struct, array_like=True, frozen=True):
    """The applied state up to `index`, as bytes of the state machine, and the members as of there."""

    index: Number
    term: Number
    members: Members
    data: bytes


@dataclass
class Durable:
    """The content of a file. `entries` follow the snapshot without a gap; the first snapshot has index 0."""

    name: str
    term: int
    voted_for: str | None
    snapshot: Snapshot
    entries: list[Entry] = field(default_factory=list)


@dataclass
class Keep:
    """What is to be synced, in this order, all or nothing.

    Entries from `cut` on are dropped; `entries` are put from index `first` on; `snapshot` takes the place of
    the old one and of all entries up to its index; then term and vote.
    """

    term: int
    voted_for: str | None
    snapshot: Snapshot | None = None
    cut: int | None = None
    first: int = 0
    entries: list[Entry] = field(default_factory=list)


@dataclass
class Ready:
    """What is to be done after a call, in the order of its fields. False where there is nothing."""

    keep: Keep | None = None
    frames: list[tuple[str, Frame]] = field(default_factory=list)
    restored: Snapshot | None = None
    committed: list[tuple[int, Entry]] = field(default_factory=list)
    reads: list[tuple[object, int | None]] = field(default_factory=list)

    def __bool__(self) -> bool:
        return bool(self.keep or self.frames or self.restored or self.committed or self.reads)
