"""The frames of the log, kinds 32 to 47, as docs/consensus.md writes them down. Decides nothing."""

from __future__ import annotations

from typing import Annotated

import msgspec

from cresstray.consensus.entries import MOST_DATA, MOST_SNAPSHOT, Entry, Members, Number
from cresstray.transport.framing import Frame

# Entries of one frame; small ones cost some ten bytes each beside their data.
MOST_ENTRIES = 1_024

_Size = Annotated[int, msgspec.Meta(ge=0, le=MOST_SNAPSHOT)]


class PreVote(Frame):
    """Would you vote for me in `term`? My log ends at `index`, whose entry is of `log_term`."""

    kind = 32
    term: Number
    index: Number
    log_term: Number


class PreVoted(Frame):
    """`term` is the one asked for where granted, else the answerer's own."""

    kind = 33
    term: Number
    granted: bool


class Vote(Frame):
    """Vote for me. `transfer`: the leader itself wants it, so no one keeps to it."""

    kind = 34
    term: Number
    index: Number
    log_term: Number
    transfer: bool


class Voted(Frame):
    kind = 35
    term: Number
    granted: bool


class Append(Frame):
    """Entries behind `index`, whose entry is of `log_term`; a beat has none. The answer names `round`."""

    kind = 36
    term: Number
    round: Number
    index: Number
    log_term: Number
    commit: Number
    entries: Annotated[list[Entry], msgspec.Meta(max_length=MOST_ENTRIES)]


class Appended(Frame):
    """`ok`: the log is the leader's up to `index`. Else it is not at `index`, which was asked for: of term
    `hint_term` there (0: it is shorter), and may be the leader's before `hint_index`."""

    kind = 37
    term: Number
    round: Number
    ok: bool
    index: Number
    hint_term: Number
    hint_index: Number


class Install(Frame):
    """Part of a snapshot from `offset` on; without data it asks what has come. `check`: CRC-32 of all."""

    kind = 38
    term: Number
    round: Number
    index: Number
    log_term: Number
    members: Members
    size: _Size
    check: Number
    offset: _Size
    data: Annotated[bytes, msgspec.Meta(max_length=MOST_DATA)]


class Installed(Frame):
    """Bytes up to `offset` of that snapshot are here; with all of them it is synced and in use."""

    kind = 39
    term: Number
    round: Number
    index: Number
    check: Number
    offset: _Size


class Now(Frame):
    """The leader of `term` wants this voter to be elected at once."""

    kind = 40
    term: Number


KINDS = (PreVote, PreVoted, Vote, Voted, Append, Appended, Install, Installed, Now)
