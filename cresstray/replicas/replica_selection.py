"""Which copies may serve a read now, and what becomes of it where none may."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from cresstray.replicas.hints import Else, Hint
from cresstray.replicas.positions import Board, Shard
from cresstray.replicas.sessions import Token, rendezvous


class Choice(NamedTuple):
    copies: tuple[str, ...]
    otherwise: Else | None  # None where there are copies


def candidates(
    hint: Hint,
    name: str,
    shard: Shard,
    board: Board,
    now: int,
    ends_in: int,
    narrow: Callable[[list[str]], list[str]] = lambda copies: copies,
) -> Choice:
    """Of the shard's copies in force, those known to be fresh enough when the read will end.

    `ends_in`: microseconds that it is expected to take. `narrow`: what an operator's pin leaves of them. The
    primary is none of them: what it takes is bounded for the fleet, else all would go there.
    """
    fresh = [
        copy
        for copy in shard.reads
        if copy != shard.primary and _is_fresh(hint, name, shard, copy, board, now + ends_in)
    ]
    left = narrow(fresh)
    if left and hint.session is not None:
        left = rendezvous(hint.session, left)[:1]
    return Choice(tuple(left), None if left else hint.otherwise)


def _is_fresh(hint: Hint, name: str, shard: Shard, copy: str, board: Board, ends: int) -> bool:
    bound = board.bound(name, copy, ends)
    if bound is None or bound > hint.within:
        return False
    return hint.after is None or has_seen(hint.after, board.applied(name, copy))


def has_seen(after: Token, applied: tuple[int, int] | None) -> bool:
    """Whether a copy has all that a session saw before.

    A later epoch has all of an earlier one up to the switch: it begins only once its primary has all of that.
    """
    return applied is not None and (
        applied[0] > after.epoch or applied[0] == after.epoch and applied[1] >= after.position
    )


def primary_has(after: Token | None, shard: Shard) -> bool:
    """Whether the primary in force surely has it. Danger: a token of a later epoch than the one in force here
    proves that this gateway is behind, and that its primary may be a deposed one."""
    return after is None or shard.epoch >= after.epoch
