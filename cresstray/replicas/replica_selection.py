"""Chooses the replicas that may serve a read now."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from cresstray.replicas.hints import Fallback, ReadHint
from cresstray.replicas.positions import PositionTable, ShardPlacement
from cresstray.replicas.sessions import SessionToken, rendezvous_order


class ReplicaChoice(NamedTuple):
    """The replicas that may serve a read, or what happens if there are none.

    Attributes:
        replicas: Their engines.
        fallback: None if there are replicas.
    """

    replicas: tuple[str, ...]
    fallback: Fallback | None


def choose_replicas(
    hint: ReadHint,
    name: str,
    shard: ShardPlacement,
    table: PositionTable,
    now_us: int,
    duration_us: int,
    apply_pins: Callable[[list[str]], list[str]] = lambda replicas: replicas,
) -> ReplicaChoice:
    """Returns the shard's replicas that are known to be fresh enough when the read will end.

    The primary is not among them: its fallback reads are limited over the fleet, otherwise all reads would go
    there.

    Args:
        hint: The read's hint.
        name: The shard's name.
        shard: Its placement in force.
        table: The known positions.
        now_us: The current time.
        duration_us: How long the read is expected to take.
        apply_pins: Returns the replicas that operators' pins allow.
    """
    fresh = [
        replica
        for replica in shard.reads
        if replica != shard.primary and _is_fresh(hint, name, shard, replica, table, now_us + duration_us)
    ]
    chosen = apply_pins(fresh)
    if chosen and hint.session is not None:
        chosen = rendezvous_order(hint.session, chosen)[:1]
    return ReplicaChoice(tuple(chosen), None if chosen else hint.fallback)


def _is_fresh(
    hint: ReadHint, name: str, shard: ShardPlacement, replica: str, table: PositionTable, end_us: int
) -> bool:
    bound_us = table.staleness_bound_us(name, replica, end_us)
    if bound_us is None or bound_us > hint.max_staleness_us:
        return False
    return hint.after is None or covers_token(hint.after, table.applied_position(name, replica))


def covers_token(after: SessionToken, applied: tuple[int, int] | None) -> bool:
    """Returns whether a replica with this epoch and position has all that a session saw before.

    A later epoch includes an earlier one up to the switch, as it begins once its primary has all of that.
    """
    return applied is not None and (
        applied[0] > after.epoch or applied[0] == after.epoch and applied[1] >= after.position
    )


def primary_covers_token(after: SessionToken | None, shard: ShardPlacement) -> bool:
    """Returns whether the primary in force surely has all that a session saw before.

    A token of a later epoch than the one in force here proves that this gateway's configuration is outdated,
    and that its primary may have been deposed.
    """
    return after is None or shard.epoch >= after.epoch
