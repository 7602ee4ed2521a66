"""Commands of the replicated log, and their results. Entries are arrays: positions count, names do not."""

from __future__ import annotations

from typing import Annotated

import msgspec

from cresstray.fleet_config.documents import FleetInventory

# What decoding raises for bytes that are not what they should be.
MALFORMED = (msgspec.MsgspecError, UnicodeDecodeError, RecursionError)

_Name = Annotated[str, msgspec.Meta(max_length=128)]


class CommandResult(msgspec.Struct, array_like=True, frozen=True):
    """What became of a proposal: the version that it will be in force as, or every reason against it."""

    is_accepted: bool
    version: int = 0
    reasons: list[str] = []


class ProposeChange(msgspec.Struct, array_like=True, frozen=True, tag=1):
    """A change of documents; see `encode_proposal`."""

    request: _Name
    bases: dict[str, int]
    change: bytes
    reason: Annotated[str, msgspec.Meta(max_length=1024)]
    author: _Name = ""
    fleet_inventory: FleetInventory | None = None


class AdvanceTurn(msgspec.Struct, array_like=True, frozen=True, tag=2):
    """The next turn is taken: a change becomes joint, or is in force."""

    turn: int


class RemoveDeparted(msgspec.Struct, array_like=True, frozen=True, tag=3):
    """A gateway that no list names any more is known to have stopped."""

    gateway: _Name
    reason: str = ""


class SectionCommand(msgspec.Struct, array_like=True, frozen=True, tag=4):
    """A command of another package's section of the state."""

    name: _Name
    request: _Name
    data: bytes


Command = ProposeChange | AdvanceTurn | RemoveDeparted | SectionCommand

encode = msgspec.msgpack.Encoder(order="sorted").encode
_decode_command = msgspec.msgpack.Decoder(Command).decode
decode_result = msgspec.msgpack.Decoder(CommandResult).decode


def decode_command(data: bytes) -> Command:
    """The command in an entry; ValueError where there is none."""
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
    """The step to this turn as an entry of the log."""
    return encode(AdvanceTurn(turn))


def encode_departed(gateway: str, reason: str = "") -> bytes:
    """That a gateway has stopped, as an entry of the log."""
    return encode(RemoveDeparted(gateway, reason))


def encode_section_command(name: str, request: str, data: bytes) -> bytes:
    """A command of the section `name`, as an entry of the log."""
    return encode(SectionCommand(name, request, data))
