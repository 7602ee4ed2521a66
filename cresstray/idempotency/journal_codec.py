"""File format of the journal of claims: entries of fixed length, each with its own checksum. Pure.

The file begins with a header as long as an entry. The numbers of the kinds and the order of the fields must
not change, because of existing files. Names that earlier builds used:

    earlier    here
    what       kind: INTENDED 1 > CLAIMED, SETTLED 2
    number     entry_id
    digest     digest
    fence      fence
    tenant     tenant
"""

from __future__ import annotations

import struct
from collections.abc import Iterable
from enum import IntEnum
from typing import NamedTuple
from zlib import crc32

# Kind, entry id, digest of 20 bytes, fence, tenant; followed by a checksum of these.
_BODY = struct.Struct(">BQ20sQI")
_CHECKSUM = struct.Struct(">I")
ENTRY_SIZE = _BODY.size + _CHECKSUM.size
HEADER = b"cresstray marks 1\n".ljust(ENTRY_SIZE, b"\0")


class EntryKind(IntEnum):
    """Kind of an entry: a claim, or the settlement of an earlier one."""

    CLAIMED = 1
    SETTLED = 2


class JournalEntry(NamedTuple):
    """One entry.

    `entry_id` is unique among the claims of a file, also for two claims of the same key. A settlement has the
    id of its claim; its other fields are empty.
    """

    kind: EntryKind
    entry_id: int
    digest: bytes
    fence: int
    tenant: int


class ReplayedFile(NamedTuple):
    """Content of a file: unsettled claims by entry id, and its damage.

    Attributes:
        unsettled: The claims, in the order of the file.
        damaged_offsets: Offsets of damaged entries that are followed by intact ones.
        intact_bytes: Length to which the file must be truncated.
    """

    unsettled: dict[int, JournalEntry]
    damaged_offsets: list[int]
    intact_bytes: int


def encode_entry(entry: JournalEntry) -> bytes:
    """Returns the bytes of an entry in the file."""
    body = _BODY.pack(*entry)
    return body + _CHECKSUM.pack(crc32(body))


def encode_file(entries: Iterable[JournalEntry]) -> bytes:
    """Returns the bytes of a file with these entries."""
    return HEADER + b"".join(map(encode_entry, entries))


def decode_entry(data: bytes) -> JournalEntry | None:
    """Returns the entry, or None if it is damaged."""
    body = data[: _BODY.size]
    (checksum,) = _CHECKSUM.unpack(data[_BODY.size :])
    if checksum != crc32(body) or body[0] not in (EntryKind.CLAIMED, EntryKind.SETTLED):
        return None
    kind, entry_id, digest, fence, tenant = _BODY.unpack(body)
    return JournalEntry(EntryKind(kind), entry_id, digest, fence, tenant)


def apply_entries(
    unsettled: dict[int, JournalEntry], entries: Iterable[JournalEntry]
) -> dict[int, JournalEntry]:
    """Returns the claims that are still unsettled after these entries."""
    remaining = dict(unsettled)
    for entry in entries:
        if entry.kind is EntryKind.CLAIMED:
            remaining[entry.entry_id] = entry
        else:
            remaining.pop(entry.entry_id, None)
    return remaining


def replay(data: bytes) -> ReplayedFile:
    """Reads the content of a file whose header was checked."""
    size = len(data)
    intact: list[JournalEntry] = []
    damaged_offsets: list[int] = []
    for offset in range(ENTRY_SIZE, size - ENTRY_SIZE + 1, ENTRY_SIZE):
        entry = decode_entry(data[offset : offset + ENTRY_SIZE])
        if entry is None:
            damaged_offsets.append(offset)
        else:
            intact.append(entry)
    # After a crash the file may have its full length, with zeros where data was not yet written.
    intact_bytes = size
    while damaged_offsets and damaged_offsets[-1] == (intact_bytes - ENTRY_SIZE) // ENTRY_SIZE * ENTRY_SIZE:
        intact_bytes = damaged_offsets.pop()
    intact_bytes = min(intact_bytes, intact_bytes // ENTRY_SIZE * ENTRY_SIZE)
    return ReplayedFile(apply_entries({}, intact), damaged_offsets, intact_bytes)
