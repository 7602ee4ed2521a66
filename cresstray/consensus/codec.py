"""Messages of the Raft protocol, frames of kinds 32 to 47; docs/consensus.md has their form."""

from __future__ import annotations

from typing import Annotated

import msgspec

from cresstray.consensus.entries import MOST_DATA, MOST_SNAPSHOT, Entry, Members, Number
from cresstray.transport.framing import Frame

# Entries of one frame; small ones cost some ten bytes each beside their data.
MOST_ENTRIES = 1_024

_Size = Annotated[int, msgspec.Meta(ge=0, le=MOST_SNAPSHOT)]


class PreVote(Frame):
    """Asks for a pre-vote in `term`. The sender's log ends at `index`, whose entry is of `log_term`."""

    kind = 32
    term: Number
    index: Number
    log_term: Number


class PreVoted(Frame):
    """Answers a PreVote. `term` is the one asked for where granted, else the answerer's own."""

    kind = 33
    term: Number
    granted: bool


class Vote(Frame):
    """Asks for a vote. With `transfer` the leader itself wants it, so that no voter keeps to the leader."""

    kind = 34
    term: Number
    index: Number
    log_term: Number
    transfer: bool


class Voted(Frame):
    """Answers a Vote."""

    kind = 35
    term: Number
    granted: bool


class Append(Frame):
    """Entries after `index`, whose entry is of `log_term`; a heartbeat has none. The answer names `round`."""

    kind = 36
    term: Number
    round: Number
    index: Number
    log_term: Number
    commit: Number
    entries: Annotated[list[Entry], msgspec.Meta(max_length=MOST_ENTRIES)]


class Appended(Frame):
    """Answers an Append.

    With `ok` the log equals the leader's up to `index`. Else it differs at `index`, which was asked for:
    its entry there is of `hint_term` (0: the log is shorter), and before `hint_index` the logs may be
    equal.
    """

    kind = 37
    term: Number
    round: Number
    ok: bool
    index: Number
    hint_term: Number
    hint_index: Number


class Install(Frame):
    """Part of a snapshot from `offset` on; without data it asks what has arrived. `check`: CRC-32 of all."""

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
    """Answers an Install: bytes up to `offset` have arrived; with all of them it is synced and in use."""

    kind = 39
    term: Number
    round: Number
    index: Number
    check: Number
    offset: _Size


class Now(Frame):
    """The leader of `term` asks this voter to stand for election at once (leadership transfer)."""

    kind = 40
    term: Number


KINDS = (PreVote, PreVoted, Vote, Voted, Append, Appended, Install, Installed, Now)
