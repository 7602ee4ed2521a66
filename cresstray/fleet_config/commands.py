"""Commands of the replicated log, and their results.

Commands and results are encoded as arrays: the order of the fields is stored, their names are not.
"""

from __future__ import annotations

from typing import Annotated

import msgspec

from cresstray.fleet_config.documents import FleetInventory

# Exceptions that msgspec raises for malformed bytes.
MALFORMED = (msgspec.MsgspecError, UnicodeDecodeError, RecursionError)

_Name = Annotated[str, msgspec.Meta(max_length=128)]


class CommandResult(msgspec.Struct, array_like=True, frozen=True):
    """The result of a proposal: the version of the accepted change, or every reason for its rejection."""

    is_accepted: bool
    version: int = 0
    reasons: list[str] = []


class ProposeChange(msgspec.Struct, array_like=True, frozen=True, tag=1):
    """Proposes a change of documents; see `encode_proposal`."""

    request: _Name
    bases: dict[str, int]
    change: bytes
    reason: Annotated[str, msgspec.Meta(max_length=1024)]
    author: _Name = ""
    fleet_inventory: FleetInventory | None = None


class AdvanceTurn(msgspec.Struct, array_like=True, frozen=True, tag=2):
    """Advances to the next turn: the first pending change becomes joint, or the joint change takes effect."""

    turn: int


class RemoveDeparted(msgspec.Struct, array_like=True, frozen=True, tag=3):
    """States that a gateway, which no gateway list names any more, has stopped."""

    gateway: _Name
    reason: str = ""


class SectionCommand(msgspec.Struct, array_like=True, frozen=True, tag=4):
    """A command for a section of the state that another package owns."""

    name: _Name
    request: _Name
    data: bytes


class RecordLeaseHolder(msgspec.Struct, array_like=True, frozen=True, tag=5):
    """States which process of a gateway may be granted leases from here on."""

    gateway: _Name
    incarnation: _Name


Command = ProposeChange | AdvanceTurn | RemoveDeparted | SectionCommand | RecordLeaseHolder

encode = msgspec.msgpack.Encoder(order="sorted").encode
_decode_command = msgspec.msgpack.Decoder(Command).decode
decode_result = msgspec.msgpack.Decoder(CommandResult).decode


def decode_command(data: bytes) -> Command:
    """Decodes the command of a log entry; raises ValueError if the bytes are malformed."""
    try:
        return _decode_command(data)
    except MALFORMED as error:
        raise ValueError(str(error)) from None


def encode_proposal(
    request: str,
    bases: dict[str, int],
    change: bytes,
    reason: str,
    author: str = "",
    fleet_inventory: FleetInventory | None = None,
) -> bytes:
    """Encodes a proposal as a log entry.

    The inventory is part of the entry: nodes whose operator files differ, or that replay their log with a
    newer file, would otherwise validate the same entry differently and reach different states.

    Args:
        request: Name of the request; a repeated request is not applied twice.
        bases: For each document that changes, the version that the change was made against.
        change: The delta from the base documents; see `encode_delta`.
        reason: The operator's reason, kept in the history.
        author: Who proposed the change, kept in the history.
        fleet_inventory: The proposing node's inventory, which the change is validated against.
    """
    return encode(ProposeChange(request, bases, change, reason, author, fleet_inventory))


def encode_advance(turn: int) -> bytes:
    """Encodes the step to this turn as a log entry."""
    return encode(AdvanceTurn(turn))


def encode_departed(gateway: str, reason: str = "") -> bytes:
    """Encodes that a departed gateway has stopped as a log entry."""
    return encode(RemoveDeparted(gateway, reason))


def encode_section_command(name: str, request: str, data: bytes) -> bytes:
    """Encodes a command of the section `name` as a log entry."""
    return encode(SectionCommand(name, request, data))


def encode_lease_holder(gateway: str, incarnation: str) -> bytes:
    """Encodes as a log entry that leases of this name are granted to this process from here on."""
    return encode(RecordLeaseHolder(gateway, incarnation))
