"""Tracks how far each replica of a shard has applied the log, and bounds how stale it is.

An observation is a moment at which the primary's head was certainly no further than reported: the time when
the request was sent whose response reported the head. A replica that has applied that position lacks nothing
older than that moment.
"""

from __future__ import annotations

import re
from array import array
from bisect import bisect_right
from collections.abc import Callable, Iterable, Mapping
from typing import Annotated, Protocol

import msgspec

# Observations of a head, thinned evenly by age: two for each doubling of age from 10 ms to a minute.
_MAX_HEADS = 24
# Shards beyond this number have no known positions, which is logged: 5,000 are required. A shard with three
# replicas takes about 1.5 kB.
_MAX_SHARDS = 8192
# A replica that reported an impossible position is used again after this time, once it has also reported this
# many plausible positions in a row.
_TRIAL_US, _MIN_PLAUSIBLE_REPORTS = 10_000_000, 3
# A head seldom advances four times as fast as it did recently; positions further ahead are believed only once
# the primary reports them.
_MAX_SPEEDUP = 4
_ENGINE_ID = re.compile("s-[0-9a-f]{8}")
# Engines' reports are read as floats, which represent integers exactly up to this one.
MAX_POSITION = 2**53 - 1


class ShardPlacement(Protocol):
    """A shard as the `placement` document in force has it."""

    copies: tuple[str, ...]
    primary: str
    epoch: int
    reads: tuple[str, ...]


# Peers' messages enter this process's own calculations: a negative age would make a replica fresh for ever.
_AgeMs = Annotated[int, msgspec.Meta(ge=-1, le=2**40)]
_Position = Annotated[int, msgspec.Meta(ge=-1, le=MAX_POSITION)]
_EngineNumber = Annotated[int, msgspec.Meta(ge=0, lt=2**32)]
_Name = Annotated[str, msgspec.Meta(max_length=64)]


class ShardPositions(msgspec.Struct, array_like=True, frozen=True):
    """The positions of one shard in a message between processes.

    Ages are in milliseconds at the time of sending, rounded up.

    Attributes:
        shard: The shard's name.
        epoch: The epoch of the positions.
        head_age_ms: The age of the latest observation of the head.
        head: The primary's position; -1: unknown.
        replicas: Of each replica its engine, applied position, and the age of the moment at which it had
            everything (-1: unknown). A position of -1 marks an excluded replica, whose age is the time since
            the exclusion.
    """

    shard: _Name
    epoch: _Position
    head_age_ms: _AgeMs
    head: _Position
    replicas: Annotated[
        tuple[tuple[_EngineNumber | _Name, _Position, _AgeMs], ...], msgspec.Meta(max_length=16)
    ]


def _encode_engine(engine: str) -> int | str:
    """Returns an engine's id as a number, as names would take most of a message's bytes."""
    return int(engine[2:], 16) if _ENGINE_ID.fullmatch(engine) else engine


class _ReplicaState:
    """What is known of one replica; all times are in microseconds.

    Attributes:
        applied: The furthest applied position that is believed.
        heard: When that position was received.
        fresh: The last moment at which the replica certainly had everything that the primary had.
        ahead: The first position beyond all known heads; -1: none.
        ahead_at: When that position was received.
        last: The furthest of these positions.
        last_at: When the furthest one was received.
        out: Since when the replica is excluded; None: it is not.
        was_out: When it was last excluded.
        plausible: Plausible positions in a row since it was excluded.
    """

    __slots__ = (
        "applied",
        "heard",
        "fresh",
        "ahead",
        "ahead_at",
        "last",
        "last_at",
        "out",
        "was_out",
        "plausible",
    )

    def __init__(self, out: int | None = None) -> None:
        self.applied, self.heard = -1, 0
        self.fresh: int | None = None
        self.ahead, self.ahead_at = -1, 0
        self.last, self.last_at = -1, 0
        self.out = self.was_out = out
        self.plausible = 0


class _ShardState:
    """What is known of one shard in one epoch."""

    def __init__(self, placement: ShardPlacement) -> None:
        self.placement = placement
        # Observations of the head, in increasing order of both times and positions.
        self.head_times_us, self.heads = array("q"), array("q")
        self.replicas: dict[str, _ReplicaState] = {}
        self.max_head, self.max_head_received_us = -1, 0
        # The last report of each engine in an epoch that is not in force yet.
        self.early_reports: dict[str, tuple] = {}
        self.version = 0  # of the table, when this shard last changed

    def max_plausible_head(self, now_us: int) -> int:
        """Returns how far the head may have advanced by now; -1 if nothing is known of it."""
        if not self.heads:
            return -1
        span_us = self.head_times_us[-1] - self.head_times_us[0]
        advance = (
            (self.heads[-1] - self.heads[0]) * (now_us - self.head_times_us[-1]) * _MAX_SPEEDUP // span_us
            if span_us
            else 0
        )
        return self.heads[-1] + advance


class SyncCursor:
    """How far one peer has been sent the contents of a table.

    Attributes:
        index: The index of the next shard in the table's order.
        synced_version: Changes up to this version were sent in earlier rounds.
        round_version: The table's version when the current round started.
    """

    def __init__(self) -> None:
        self.index = 0
        self.synced_version = 0
        self.round_version = 0


class PositionTable:
    """The positions of all shards as one process knows them.

    Args:
        log: Called with a line about each impossible report.
        clock_drift: By how much the rates of two clocks may differ.
        forwards_peer_positions: Whether positions that peers sent are sent on, as control-plane nodes do.

    Attributes:
        version: Increases with each change that peers are sent.
        exclusion_count: How often a replica was excluded, or a shard's positions were discarded, because of
            an impossible report.
    """

    def __init__(
        self,
        log: Callable[[str], None] = lambda text: None,
        clock_drift: float = 0.01,
        forwards_peer_positions: bool = False,
    ) -> None:
        self._log, self._clock_drift, self._forwards_peer_positions = (
            log,
            clock_drift,
            forwards_peer_positions,
        )
        self._is_merging = False
        self._shards: dict[str, _ShardState] = {}
        self._order: list[str] = []
        self._placement: Mapping[str, ShardPlacement] | None = None
        self.version = 0
        self.exclusion_count = 0

    # The placement in force decides whose reports count.

    def set_placement(self, shards: Mapping[str, ShardPlacement], now_us: int) -> None:
        """Sets the placement in force; positions of other epochs are discarded."""
        if shards is self._placement:
            return
        self._placement = shards
        if len(shards) > _MAX_SHARDS:
            self._log(f"{len(shards) - _MAX_SHARDS} shards too many: nothing is known of their copies")
        tracked = sorted(shards)[:_MAX_SHARDS]
        for name in tracked:
            placement, state = shards[name], self._shards.get(name)
            if state is None:
                self._shards[name] = _ShardState(placement)
            elif placement.epoch != state.placement.epoch:
                # Positions of two epochs can't be compared, so nothing is kept from the other one.
                self._shards[name] = _ShardState(placement)
                for engine, report in state.early_reports.items():
                    self.record_report(name, engine, *report)
            elif placement.epoch == state.placement.epoch and placement is not state.placement:
                state.placement = placement
                state.replicas = {
                    engine: replica
                    for engine, replica in state.replicas.items()
                    if engine in placement.copies and engine != placement.primary
                }
                state.early_reports = {
                    engine: report
                    for engine, report in state.early_reports.items()
                    if engine in placement.copies
                }
        if tracked != self._order:
            for name in set(self._order) - set(tracked):
                del self._shards[name]
            self._order = tracked

    # Reports of engines, which come with their responses.

    def record_report(
        self, shard: str, engine: str, epoch: int, applied: int, head: int | None, sent_us: int, now_us: int
    ) -> None:
        """Records an engine's report of its replica of a shard.

        Args:
            shard: The shard's name.
            engine: The engine that holds the replica.
            epoch: The epoch that the engine is in.
            applied: The position that the replica has applied.
            head: The primary's position; ignored unless the engine is the primary in force.
            sent_us: When the request was sent whose response carried the report.
            now_us: When the response was received.
        """
        state = self._shards.get(shard)
        if state is None or engine not in state.placement.copies or sent_us > now_us:
            return
        if epoch > state.placement.epoch:
            state.early_reports[engine] = (epoch, applied, head, sent_us, now_us)
        elif epoch == state.placement.epoch:
            if engine != state.placement.primary:
                self._record_applied(shard, state, engine, applied, sent_us, now_us)
            elif head is not None:
                self._record_head(shard, state, head, sent_us, now_us)

    def _record_head(self, shard: str, state: _ShardState, head: int, observed_us: int, now_us: int) -> None:
        """Records that the head was no further than `head` at `observed_us`."""
        if observed_us >= state.max_head_received_us and head < state.max_head:
            # The primary was set back and lost what its replicas may show, or its reports are wrong.
            self._log(
                f"the primary of shard {shard} told head {head} after {state.max_head}; nothing is known"
            )
            self.exclusion_count += 1
            del state.head_times_us[:], state.heads[:]
            state.replicas, state.max_head = {}, -1
        if head > state.max_head:
            state.max_head, state.max_head_received_us = head, now_us
        times_us, heads = state.head_times_us, state.heads
        for engine, replica in state.replicas.items():
            if replica.out is None and replica.ahead >= 0:
                if head >= replica.last:
                    replica.ahead = -1
                    self._accept_applied(state, replica, replica.last, replica.last_at)
                elif head >= replica.ahead:
                    self._accept_applied(state, replica, replica.ahead, replica.ahead_at)
                    replica.ahead, replica.ahead_at = replica.last, replica.last_at
                elif observed_us >= replica.ahead_at:
                    self._exclude(
                        state,
                        replica,
                        now_us,
                        f"copy {engine} of shard {shard} told position "
                        f"{replica.ahead}, and the primary later {head}",
                    )
        index = bisect_right(times_us, observed_us)
        if (
            index < len(times_us)
            and heads[index] <= head
            or index
            and times_us[index - 1] == observed_us
            and heads[index - 1] <= head
        ):
            return  # a later observation is no further
        first = index
        while first and heads[first - 1] >= head:
            first -= 1
        del times_us[first:index], heads[first:index]
        times_us.insert(first, observed_us)
        heads.insert(first, head)
        for replica in state.replicas.values():
            if (
                replica.out is None
                and replica.applied >= head
                and (replica.fresh is None or observed_us > replica.fresh)
            ):
                replica.fresh = observed_us
        if len(times_us) > _MAX_HEADS:
            # Removes the observation whose loss widens the gap least in proportion to its age.
            newest_us = times_us[-1]
            removed = min(
                range(1, len(times_us) - 1),
                key=lambda number: (
                    (times_us[number + 1] - times_us[number - 1]) / (newest_us - times_us[number] + 1000),
                    number,
                ),
            )
            del times_us[removed], heads[removed]
        self._mark_changed(state)

    def _record_applied(
        self, shard: str, state: _ShardState, engine: str, applied: int, sent_us: int | None, now_us: int
    ) -> None:
        """Records an applied position.

        `sent_us` is None if a peer sent the position, as it is unknown when the replica reported it.
        """
        replica = state.replicas.get(engine)
        if replica is None:
            replica = state.replicas[engine] = _ReplicaState()
        if replica.out is not None:
            self._record_on_trial(shard, state, engine, applied, sent_us, now_us)
            return
        if sent_us is not None and sent_us >= replica.heard and applied < replica.applied:
            # A replica that was set back would otherwise be read as if it still had what it lost.
            self._exclude(
                state,
                replica,
                now_us,
                f"copy {engine} of shard {shard} told position {applied} after {replica.applied}",
            )
        elif state.heads and applied <= state.heads[-1]:
            self._accept_applied(state, replica, applied, now_us)
        else:
            if replica.ahead < 0:
                replica.ahead, replica.ahead_at = applied, now_us
                replica.last, replica.last_at = applied, now_us
            elif applied > replica.last:
                replica.last, replica.last_at = applied, now_us
            # A position that no head can have reached would make this replica fresh for ever.
            if applied <= state.max_plausible_head(now_us):
                self._accept_applied(state, replica, applied, now_us)

    def _accept_applied(
        self, state: _ShardState, replica: _ReplicaState, applied: int, received_us: int
    ) -> None:
        if applied <= replica.applied:
            return
        replica.applied, replica.heard = applied, received_us
        index = bisect_right(state.heads, applied)
        if index and (replica.fresh is None or state.head_times_us[index - 1] > replica.fresh):
            replica.fresh = state.head_times_us[index - 1]
        self._mark_changed(state)

    def _exclude(self, state: _ShardState, replica: _ReplicaState, since_us: int, reason: str) -> None:
        self._log(reason + "; it is left out")
        self.exclusion_count += 1
        replica.__init__(since_us)
        self._mark_changed(state)

    def _record_on_trial(
        self, shard: str, state: _ShardState, engine: str, applied: int, sent_us: int | None, now_us: int
    ) -> None:
        """Records a position of an excluded replica, which is used again after plausible positions."""
        replica = state.replicas[engine]
        if sent_us is None:
            # Peers have had it on trial. The peer that excluded it and sent this has no older report of it.
            is_reliable = now_us - replica.out >= 2 * _TRIAL_US
        elif sent_us < replica.out:
            return
        else:
            replica.plausible = (
                replica.plausible + 1 if replica.last <= applied <= state.max_plausible_head(now_us) else 0
            )
            replica.last = applied
            is_reliable = replica.plausible >= _MIN_PLAUSIBLE_REPORTS and now_us - replica.out >= _TRIAL_US
        if is_reliable:
            replica.out, replica.last = None, -1
            self._record_applied(shard, state, engine, applied, sent_us, now_us)

    # Queries.

    def staleness_bound_us(self, shard: str, engine: str, now_us: int) -> int | None:
        """Returns how old the data of this replica is at most; None if unknown."""
        state = self._shards.get(shard)
        replica = state.replicas.get(engine) if state is not None else None
        if replica is None or replica.fresh is None:
            return None
        age_us = now_us - replica.fresh
        return age_us + int(age_us * self._clock_drift)

    def applied_position(self, shard: str, engine: str) -> tuple[int, int] | None:
        """Returns the epoch and the position that this replica certainly has; None if unknown."""
        state = self._shards.get(shard)
        replica = state.replicas.get(engine) if state is not None else None
        return None if replica is None or replica.applied < 0 else (state.placement.epoch, replica.applied)

    # Between processes positions are merged by maximum, so reordered, repeated and lost messages do no harm.

    def _mark_changed(self, state: _ShardState) -> None:
        if not self._is_merging or self._forwards_peer_positions:
            self.version += 1
            state.version = self.version

    def next_changes(
        self, now_us: int, max_shards: int, cursor: SyncCursor, wanted: Iterable[str] | None = None
    ) -> list[ShardPositions]:
        """Returns shards that changed since the peer was sent them, the least recently sent ones first.

        Args:
            now_us: The current time.
            max_shards: The maximum number of shards.
            cursor: The peer's cursor, which is advanced.
            wanted: The shards that the peer requests; None: all.
        """
        order = self._order if wanted is None else [name for name in wanted if name in self._shards]
        changes: list[ShardPositions] = []
        for _ in order:
            if cursor.index >= len(order):
                cursor.index, cursor.synced_version = 0, cursor.round_version
            if cursor.index == 0:
                if cursor.synced_version == self.version:
                    break
                cursor.round_version = self.version
            if len(changes) >= max_shards:
                break
            state = self._shards[order[cursor.index]]
            if state.version > cursor.synced_version:
                changes.append(self._export(order[cursor.index], state, now_us))
            cursor.index += 1
        return changes

    def changes_since(self, versions: Mapping[str, int], now_us: int) -> list[ShardPositions]:
        """Returns those of the shards that have changed since the version given for each."""
        return [
            self._export(name, self._shards[name], now_us)
            for name, version in versions.items()
            if name in self._shards and self._shards[name].version > version
        ]

    def _export(self, name: str, state: _ShardState, now_us: int) -> ShardPositions:
        # Only the latest head: what earlier ones show is contained in the replicas' fresh times.
        age_ms, head = (_to_ms(now_us - state.head_times_us[-1]), state.heads[-1]) if state.heads else (0, -1)
        replicas = tuple(
            (
                _encode_engine(engine),
                replica.applied,
                -1 if replica.fresh is None else _to_ms(now_us - replica.fresh),
            )
            if replica.out is None
            else (_encode_engine(engine), -1, _to_ms(max(0, now_us - replica.out)))
            for engine, replica in sorted(state.replicas.items())
            if replica.applied >= 0 or replica.out is not None
        )
        return ShardPositions(name, state.placement.epoch, age_ms, head, replicas)

    def merge(self, positions: Iterable[ShardPositions], sent_us: int, now_us: int) -> None:
        """Merges positions that a peer sent.

        Args:
            positions: The positions.
            sent_us: A moment before the peer sent them: when the message was sent that the peer had received
                last. Counted from their arrival, ages would be too small by the delay of the message.
            now_us: The current time.
        """
        self._is_merging = True
        for shard_positions in positions:
            state = self._shards.get(shard_positions.shard)
            if state is None or shard_positions.epoch != state.placement.epoch:
                continue
            if shard_positions.head >= 0:
                self._record_head(
                    shard_positions.shard,
                    state,
                    shard_positions.head,
                    self._earliest_us(sent_us, shard_positions.head_age_ms),
                    now_us,
                )
            for engine, applied, age_ms in shard_positions.replicas:
                engine = f"s-{engine:08x}" if isinstance(engine, int) else engine
                if engine in state.placement.copies and engine != state.placement.primary:
                    self._merge_replica(
                        shard_positions.shard, state, engine, applied, age_ms, sent_us, now_us
                    )
        self._is_merging = False

    def _merge_replica(
        self,
        shard: str,
        state: _ShardState,
        engine: str,
        applied: int,
        age_ms: int,
        sent_us: int,
        now_us: int,
    ) -> None:
        earliest_us = self._earliest_us(sent_us, age_ms)
        if applied >= 0:
            self._record_applied(shard, state, engine, applied, None, now_us)
        replica = state.replicas.get(engine)
        if applied < 0:
            if replica is None:
                replica = state.replicas[engine] = _ReplicaState()
            # Each exclusion counts once. Otherwise one wrong report, passed around between peers, would
            # exclude the replica for ever.
            if replica.out is None and (replica.was_out is None or earliest_us > replica.was_out):
                self._exclude(
                    state, replica, earliest_us, f"copy {engine} of shard {shard} is left out by a peer"
                )
        elif (
            replica is not None
            and replica.out is None
            and age_ms >= 0
            and replica.applied >= applied
            and (replica.fresh is None or earliest_us > replica.fresh)
        ):
            replica.fresh = earliest_us
            self._mark_changed(state)

    def _earliest_us(self, sent_us: int, age_ms: int) -> int:
        """Returns the earliest time that an age may refer to, given the drift between the clocks."""
        return sent_us - int(1000 * max(0, age_ms) * (1 + self._clock_drift)) - 1


def _to_ms(age_us: int) -> int:
    return -(-age_us // 1000)
