"""A mark as the store has it, and its life: each change is one step, made by compare-and-set. Pure.

Times in a mark are milliseconds of the store's clock. Nothing here compares them with one of this machine.
"""

from __future__ import annotations

from enum import IntEnum
from hashlib import blake2b
from typing import Any

import msgspec

# A clean-up leaves the fence for so long: more than any estimate of the store's time, by which the next one
# is drawn, is off.
_FENCE_KEPT = 60_000
# 160 bits: no two of a fleet's marks meet, and a key stays short.
_DIGEST = 20


class State(IntEnum):
    """What is known of a mark's work. No key in the store is UNSEEN, and so is one that has expired."""

    UNSEEN = 0  # none has run, or none is known
    INTENDED = 1  # its holder may relay it until `until`
    SENT = 2  # a relay has gone out
    ENDED = 3  # it has run
    UNKNOWN = 4  # it may have run, and nobody will tell


class Mark(msgspec.Struct, frozen=True, array_like=True):
    """`fence` grows with each intention; `since`: no relay that may have run was sent before, 0: not known.

    `doubted`: one of an earlier holder may have run as well. `outcome`: see `kept_result`.
    """

    state: State
    owner: str
    life: str  # of the process: what an earlier one of that name intended is not this one's
    fence: int
    until: int = 0
    since: int = 0
    doubted: bool = False
    outcome: bytes = b""


class Kind(IntEnum):
    INTEND = 1
    SENT = 2
    RAN = 3
    UNKNOWN = 4
    UNRUN = 5  # its holder has ended it and surely ran nothing
    HAND_RAN = 6  # an operator's word, of the mark with this fence
    HAND_UNRUN = 7


class Event(msgspec.Struct, frozen=True, array_like=True):
    """What a holder tells of its intention. Fence 0: it never had one in the store.

    `until` of HAND_UNRUN: no sooner than that, by when no engine's memory lets a gateway send it again.
    """

    kind: Kind
    owner: str
    life: str
    fence: int
    since: int = 0
    until: int = 0
    outcome: bytes = b""


_HELD = (State.INTENDED, State.SENT)


def step(mark: Mark | None, event: Event, store_now: int) -> Mark | None:
    """The mark after this event; None: not allowed, or it changes nothing. `store_now`: the store's ms."""
    if mark is UNREADABLE:
        return None
    state = State.UNSEEN if mark is None else mark.state
    if event.kind is Kind.INTEND:
        return _intended(mark, event, state)
    if event.kind is Kind.UNRUN:
        # Danger: whoever was late would clear the way while the next holder's relay is out.
        if state not in _HELD or not _holds(mark, event):
            return None
        return _replaced(mark, State.UNKNOWN if mark.doubted else State.UNSEEN)
    if event.kind in (Kind.HAND_RAN, Kind.HAND_UNRUN):
        return _by_hand(mark, event, state, store_now)
    return _told(mark, event, state)


def _intended(mark: Mark | None, event: Event, state: State) -> Mark | None:
    if state in (State.ENDED, State.UNKNOWN) or mark is not None and event.fence <= mark.fence:
        return None
    # Danger: a relay of the holder before may be out; the engines' memory counts from its time, not from
    # ours.
    taken_over = state in _HELD
    since = min(mark.since, event.since) if taken_over else event.since
    return Mark(State.INTENDED, event.owner, event.life, event.fence, event.until, since, taken_over)


def _told(mark: Mark | None, event: Event, state: State) -> Mark | None:
    """A relay went out, has run, or may have. It is true whoever holds the mark by now."""
    if state is State.UNSEEN:
        # What its holder wrote was lost, or cleared by hand. What it tells is as true.
        fence = event.fence if mark is None else max(mark.fence, event.fence)
        return _made(event, fence, event.since, False)
    since, fence = min(mark.since, event.since), max(mark.fence, event.fence)
    if event.kind is Kind.RAN:
        if state is State.ENDED and (mark.outcome or not event.outcome):
            return None
        return _made(event, fence, since, mark.doubted)
    if state is State.ENDED:
        return None
    if state is State.UNKNOWN:
        return None if since == mark.since else _replaced(mark, state, since=since)
    if _holds(mark, event):
        # From when its relay went out the engines remember; until then, from when it was intended.
        if event.kind is Kind.SENT:
            return (
                None
                if state is State.SENT
                else _replaced(
                    mark, State.SENT, since=mark.since if mark.doubted else max(mark.since, event.since)
                )
            )
        return _replaced(mark, State.UNKNOWN)
    if event.fence < mark.fence:
        # Danger: where the store lost the earlier intention, the present holder does not know of its relay.
        return (
            None
            if mark.doubted and since == mark.since
            else _replaced(mark, state, since=since, doubted=True)
        )
    return _made(event, fence, since, True)


def _by_hand(mark: Mark | None, event: Event, state: State, store_now: int) -> Mark | None:
    # Danger: an operator settles what was looked at, not what another gateway has made of it since; and none
    # is run again by hand whose holder may still send it, or which is known to have run.
    if mark is None or event.fence != mark.fence or state in (State.UNSEEN, State.ENDED):
        return None
    if event.kind is Kind.HAND_RAN:
        return _replaced(mark, State.ENDED)
    return None if store_now < max(mark.until, event.until) else _replaced(mark, State.UNSEEN)


def _holds(mark: Mark, event: Event) -> bool:
    return (mark.fence, mark.owner, mark.life) == (event.fence, event.owner, event.life)


def _made(event: Event, fence: int, since: int, doubted: bool) -> Mark:
    state = {Kind.SENT: State.SENT, Kind.RAN: State.ENDED, Kind.UNKNOWN: State.UNKNOWN}[event.kind]
    until = event.until if state is State.SENT else 0
    return Mark(state, event.owner, event.life, fence, until, since, doubted, event.outcome)


def _replaced(mark: Mark, state: State, **other: Any) -> Mark:
    if state not in _HELD:
        other |= {"until": 0, "doubted": state is not State.UNSEEN and mark.doubted}
    return msgspec.structs.replace(mark, state=state, **other)


def lasts(mark: Mark, kept: int) -> int:
    """Milliseconds that the store is to keep it, of `kept` for what may have run."""
    return min(kept, _FENCE_KEPT) if mark.state is State.UNSEEN else kept


def digest(namespace: str, tenant: str, group: str, name: str) -> bytes:
    """What stands for a client's mark in the store: no raw key leaves the gateway."""
    # Danger: parts that are only joined let one tenant make up the mark of another.
    parts = msgspec.msgpack.encode((tenant, group, name))
    return blake2b(parts, digest_size=_DIGEST, key=namespace.encode()[:64]).digest()


_decoder = msgspec.msgpack.Decoder(Mark)
# Of a later build, or not a mark: nothing is known but that something is there. It is never written over.
UNREADABLE = Mark(State.UNKNOWN, "", "", 1 << 62)


def encoded(mark: Mark) -> bytes:
    return msgspec.msgpack.encode(mark)


def decoded(value: bytes | None) -> Mark | None:
    if not value:
        return None
    try:
        mark = _decoder.decode(value)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return UNREADABLE
    return mark if 0 <= mark.fence < UNREADABLE.fence and mark.since >= 0 else UNREADABLE


def kept_result(outcome: bytes) -> bytes | None:
    """The result in a mark's outcome; None: none is kept, which an empty result is not."""
    return outcome[1:] if outcome else None


def outcome_of(result: bytes | None, most: int) -> bytes:
    """`most`: bytes of a result that is kept; 0: none is."""
    return b"+" + result if result is not None and 0 < most and len(result) <= most else b""
