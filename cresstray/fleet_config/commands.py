"""Commands of the replicated log, and their results. Entries are arrays: positions count, names do not."""

from __future__ import annotations

from typing import Annotated

import msgspec

from cresstray.fleet_config.documents import FleetState

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
    fleet_state: FleetState | None = None


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
    fleet_state: FleetState | None = None,
) -> bytes:
    """A proposal as an entry of the log.

    `bases`: the version of each document that the change was made for; `change`: a delta. `fleet_state`: what
    it is checked by, the proposing node's. It goes with the proposal, since nodes whose files differ, or that
    read their log again with a newer file, would otherwise come to different states.
    """
    return encode(ProposeChange(request, bases, change, reason, author, fleet_state))


def encode_advance(turn: int) -> bytes:
    """The step to this turn as an entry of the log."""
    return encode(AdvanceTurn(turn))


def encode_departed(gateway: str, reason: str = "") -> bytes:
    """That a gateway has stopped, as an entry of the log."""
    return encode(RemoveDeparted(gateway, reason))


def encode_section_command(name: str, request: str, data: bytes) -> bytes:
    """A command of the section `name`, as an entry of the log."""
    return encode(SectionCommand(name, request, data))
