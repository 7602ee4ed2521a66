"""Hinted reads of a gateway: what each requests, which engines may serve it, and what its response shows."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING

from cresstray.fleet_config.active_config import EffectiveConfig, Mode
from cresstray.observability.counters import Counters
from cresstray.policy.types import Request, RequestClass
from cresstray.replicas.fallback import FallbackQuota
from cresstray.replicas.hints import Fallback, HintError, ReadHint, parse_hint
from cresstray.replicas.pins import apply_pins, matching_pins
from cresstray.replicas.positions import MAX_POSITION, PositionTable, ShardPlacement
from cresstray.replicas.replica_selection import ReplicaChoice, choose_replicas, primary_covers_token
from cresstray.replicas.sessions import SessionToken, format_token
from cresstray.replicas.spread import MAX_WANTED_SHARDS
from cresstray.tables import find_table_group

if TYPE_CHECKING:
    from cresstray.fleet_config.active_config import ActiveConfig

# Positions of a shard are requested from control-plane nodes for this long after its last hinted read here.
_WANTED_US = 60_000_000
# Requested positions may be as old as this part of the smallest recent staleness bound; the rest is for
# the replica's lag, the read's duration and the delay of messages. They are requested in the messages of this
# time after a read. The smallest bound counts as recent for the last of these times.
_MAX_AGE_DIVISOR, _MAX_AGE_LIFETIME_US, _MIN_STALENESS_LIFETIME_US = 5, 1_000_000, 5_000_000
# A read that still waits requests positions again at this interval, as a lagging replica has caught up since.
_REQUEST_INTERVAL_US = 150_000


class _ShardDemand:
    """The hinted reads of one shard.

    Attributes:
        read_us: The time of the last read.
        min_staleness_us: The smallest recent staleness bound.
        min_staleness_read_us: The time of the read that had it.
        has_unsent_request: Whether a read waits for positions that no message has requested since.
    """

    __slots__ = ("read_us", "min_staleness_us", "min_staleness_read_us", "has_unsent_request")

    def __init__(self) -> None:
        self.read_us = self.min_staleness_read_us = 0
        self.min_staleness_us = 2**62
        self.has_unsent_request = False


class HintedReads:
    """The hinted reads of a gateway, and the positions they are served by.

    Args:
        table: The replica positions known to this gateway.
        active_config: The fleet configuration in force.
        counters: Receive the numbers of reads.
        random_fraction: Returns random numbers in [0, 1).
        cores: Returns an engine's number of cores.
        zone_of: Returns an engine's zone.
        is_full: Returns whether an engine's limit has no permit for a request at a time.
        unix_time_s: Returns the wall-clock time; only for the expiry of pins.

    Attributes:
        positions_timeout_us: How long a read waits for positions from control-plane nodes before it falls
            back; 0 if no node is connected.
        needs_urgent_request: Whether a read waits, so that positions are to be requested at once rather than
            with the next regular message.
    """

    def __init__(
        self,
        table: PositionTable,
        active_config: ActiveConfig,
        counters: Counters,
        random_fraction: Callable[[], float],
        cores: Callable[[str], float],
        zone_of: Callable[[str], str | None],
        is_full: Callable[[str, Request, int], bool],
        unix_time_s: Callable[[], float],
    ) -> None:
        self.table, self.active_config, self.counters = table, active_config, counters
        self.cores, self.zone_of, self.is_full, self.unix_time_s = cores, zone_of, is_full, unix_time_s
        self.fallback_quota = FallbackQuota(random_fraction)
        self._demands: dict[str, _ShardDemand] = {}  # by shard, the most recently read last
        self.positions_timeout_us = 0
        self.needs_urgent_request = False
        self._wait_until_us = 0  # the latest timeout of the reads that wait

    def parse_hint(
        self,
        statement: str,
        request_class: RequestClass,
        now_us: int,
        class_name: str = "",
        tenant: str = "",
    ) -> HintedRead | None:
        """Returns the read that a statement's hint asks for; None without a hint.

        `class_name` and `tenant` select the pins that apply to the read.

        Raises:
            HintError: the hint can't be followed.
        """
        hint = parse_hint(statement)
        if hint is None:
            return None
        group = find_table_group(statement)
        if not request_class.is_idempotent:
            raise HintError("a hint on a tariff that writes")
        if not group:
            raise HintError("a hint on a statement that names no shard's table")
        if hint.after is not None and hint.after.shard != group:
            raise HintError(f"after is of shard {hint.after.shard}, the statement of {group}")
        self.counters.add("reads hinted")
        shard = str(group)
        if not hint.is_primary:
            demand = self._demands.pop(shard, None) or _ShardDemand()
            demand.read_us = now_us
            if (
                hint.max_staleness_us <= demand.min_staleness_us
                or now_us - demand.min_staleness_read_us > _MIN_STALENESS_LIFETIME_US
            ):
                demand.min_staleness_us, demand.min_staleness_read_us = hint.max_staleness_us, now_us
            self._demands[shard] = demand
            if len(self._demands) > MAX_WANTED_SHARDS:
                del self._demands[next(iter(self._demands))]
        return HintedRead(self, hint, shard, class_name, tenant)

    def wanted_shards(self, now_us: int) -> tuple[str, ...]:
        """Returns the shards to request in the next message: those of recent hinted reads.

        Shards that a read waits for come first, then the most recently read.
        """
        self.needs_urgent_request = False
        recent = [
            shard for shard, demand in reversed(self._demands.items()) if now_us - demand.read_us < _WANTED_US
        ]
        return tuple(sorted(recent, key=lambda shard: not self._demands[shard].has_unsent_request))

    def max_ages_ms(self, now_us: int, max_shards: int) -> list[tuple[int, int]]:
        """Returns the maximum ages of positions to request for the first wanted shards.

        Each is an index in `wanted_shards` and an age in milliseconds; 0: a read waits.
        """
        max_ages = []
        for index, shard in enumerate(self.wanted_shards(now_us)[:max_shards]):
            demand = self._demands[shard]
            if demand.has_unsent_request:
                max_ages.append((index, 0))
            if now_us - demand.read_us < _MAX_AGE_LIFETIME_US:
                max_ages.append((index, demand.min_staleness_us // (1000 * _MAX_AGE_DIVISOR)))
            demand.has_unsent_request = False
        return max_ages

    def request_positions(self, shard: str, until_us: int) -> None:
        """Requests positions of a shard that a read waits for until a time."""
        if self.positions_timeout_us and shard in self._demands:
            demand = self._demands.pop(shard)
            demand.has_unsent_request = self.needs_urgent_request = True
            self._demands[shard] = demand
            self._wait_until_us = max(until_us, self._wait_until_us)

    def has_unsent_requests(self) -> bool:
        """Returns whether a read waits for a shard that no message has requested since."""
        return any(demand.has_unsent_request for demand in self._demands.values())

    def is_waiting(self, now_us: int) -> bool:
        """Returns whether a read may wait for positions from control-plane nodes."""
        return now_us < self._wait_until_us

    def record_report(self, engine: str, report: Mapping[str, float], sent_us: int, now_us: int) -> None:
        """Records the positions in a response; `sent_us`: when its request was sent, or earlier."""
        positions = parse_report(report)
        if positions is not None:
            shard, epoch, applied, head = positions
            self.update_placement(now_us)
            self.table.record_report(str(shard), engine, epoch, applied, head, sent_us, now_us)

    def update_placement(self, now_us: int) -> EffectiveConfig:
        """Returns the configuration that may be used now, after passing its placement to the table."""
        config = self.active_config.effective_at(now_us)
        self.table.set_placement(config.documents.placement.items, now_us)
        return config


def parse_report(report: Mapping[str, float]) -> tuple[int, int, int, int | None] | None:
    """Returns shard, epoch, applied position and head of a report; None if they are missing or invalid."""
    if "shard" not in report or "epoch" not in report or not ("applied" in report or "head" in report):
        return None
    head = report.get("head")
    values = [report["shard"], report["epoch"], report.get("applied", head), head]
    if any(
        value is not None and not (0 <= value <= MAX_POSITION and value == int(value)) for value in values
    ):
        return None
    return int(values[0]), int(values[1]), int(values[2]), None if head is None else int(head)


class HintedRead:
    """One hinted read. The rules are evaluated at each decision, as they may change while the read waits.

    Attributes:
        hint: Its hint.
        shard: The name of its shard.
        request: Its request; set after creation.
    """

    def __init__(
        self, reads: HintedReads, hint: ReadHint, shard: str, request_class: str, tenant: str
    ) -> None:
        self._reads, self.hint, self.shard = reads, hint, shard
        self._request_class, self._tenant = request_class, tenant
        self.request: Request | None = None
        # Of a read that fell back: the primary, the thread time charged, its cores, the number of gateways.
        self._fallback_charge: tuple[str, int, float, int] | None = None
        self._fresh_until_us = 0
        # Until when it waits for positions, once no replica was known to be fresh enough.
        self._wait_until_us: int | None = None
        self._next_request_us = 0  # when positions are requested while no replica is fresh enough
        self._seen_token: SessionToken | None = None
        self._cache_key: tuple | None = None  # of the last decision
        self._allowed_engines: tuple[str, ...] = ()  # the last decision

    def may_run_on(self, engine: str, now_us: int) -> bool:
        """Returns whether the engine may serve the read now."""
        config = self._reads.active_config.effective_at(now_us)
        # Cached, as the policy checks one engine after the other at the same time.
        key = (now_us, config.turn, config.mode)
        if key != self._cache_key:
            self._cache_key, self._allowed_engines = key, self._find_allowed_engines(now_us)
        return engine in self._allowed_engines

    def _find_allowed_engines(self, now_us: int) -> tuple[str, ...]:
        config = self._reads.update_placement(now_us)
        shard = self._placement(config)
        if shard is None:
            return ()
        primary = (shard.primary,) if shard.primary and primary_covers_token(self.hint.after, shard) else ()
        if self.hint.is_primary:
            return primary
        choice = self._choose_replicas(config, shard, now_us)
        if choice.replicas:
            return choice.replicas
        if self._wait_until_us is None:
            self._wait_until_us = now_us + self._reads.positions_timeout_us
        if now_us >= self._next_request_us:
            self._next_request_us = now_us + max(self._reads.positions_timeout_us, _REQUEST_INTERVAL_US)
            self._reads.request_positions(self.shard, now_us + self._reads.positions_timeout_us)
        if choice.fallback is not Fallback.PRIMARY or now_us < self._wait_until_us:
            return ()
        return tuple(
            engine
            for engine in primary
            if self._reads.fallback_quota.admits(
                engine, self._thread_time_us(), self._reads.cores(engine), config.gateway_count, now_us
            )
        )

    def admits(self, now_us: int) -> bool:
        """Returns whether the read may be queued; otherwise it is rejected at once."""
        config = self._reads.update_placement(now_us)
        shard = self._placement(config)
        if self.hint.is_primary:
            return True
        replicas = self._choose_replicas(config, shard, now_us).replicas if shard is not None else ()
        if not replicas:
            return self.hint.fallback is not Fallback.DENY
        pins = self._matching_pins(config)
        # Reads of a strict pin take capacity of its replicas from other reads. They are shed first when these
        # replicas reach their limits.
        if any(pin.is_strict for pin in pins) and all(self._is_full(name, now_us) for name in replicas):
            self._reads.counters.add("reads of pins shed")
            return False
        return True

    def on_sent(self, engine: str, now_us: int) -> None:
        """The read is sent to this engine, on which it may run at this time."""
        reads, config = self._reads, self._reads.update_placement(now_us)
        shard = self._placement(config)
        self._fallback_charge, self._fresh_until_us, self._cache_key = None, 0, None
        if self.hint.is_primary or shard is None:
            return
        if engine == shard.primary:
            thread_time_us, cores = self._thread_time_us(), reads.cores(engine)
            self._fallback_charge = (engine, thread_time_us, cores, config.gateway_count)
            reads.fallback_quota.charge(*self._fallback_charge, now_us)
            reads.counters.add("reads fallen back")
        else:
            bound_us = reads.table.staleness_bound_us(self.shard, engine, now_us)
            self._fresh_until_us = (
                now_us + self.hint.max_staleness_us - bound_us if bound_us is not None else now_us
            )
            reads.counters.add("reads by copies")

    def on_finished(self, report: Mapping[str, float], duration_us: int, now_us: int) -> None:
        """The attempt has ended, `duration_us` after it was sent."""
        if self._fallback_charge is not None:
            primary, charged_us, cores, gateway_count = self._fallback_charge
            excess_us = duration_us * self.request.request_class.threads - charged_us
            if excess_us > 0:
                self._reads.fallback_quota.charge(primary, excess_us, cores, gateway_count, now_us)
            self._fallback_charge = None
        elif self._fresh_until_us and now_us > self._fresh_until_us:
            self._reads.counters.add("reads longer than their bound")
        positions = parse_report(report)
        self._seen_token = None
        if positions is not None and str(positions[0]) == self.shard:
            # The read may have seen anything up to the replica's position when it responded. With a token of
            # an earlier position the session could go back; without a position there is no token.
            self._seen_token = SessionToken(positions[0], positions[1], max(positions[2], positions[3] or 0))

    def token(self) -> str | None:
        """Returns the token that the client may send as `after`; None if the response had no position."""
        return None if self._seen_token is None else format_token(self._seen_token)

    def _placement(self, config: EffectiveConfig) -> ShardPlacement | None:
        # Without a lease another engine may be the primary, and replicas may have been dropped or set back.
        return config.documents.placement.items.get(self.shard) if config.mode is Mode.LEASE else None

    def _choose_replicas(self, config: EffectiveConfig, shard: ShardPlacement, now_us: int) -> ReplicaChoice:
        pins = self._matching_pins(config)
        return choose_replicas(
            self.hint,
            self.shard,
            shard,
            self._reads.table,
            now_us,
            self.request.expected_latency_us,
            lambda fresh: apply_pins(
                pins,
                fresh,
                shard.reads,
                self._reads.zone_of,
                lambda name: self._is_full(name, now_us),
                config.turn % 2 == 1,
            ),
        )

    def _matching_pins(self, config: EffectiveConfig) -> list:
        items = config.documents.replicas.items
        return (
            matching_pins(items, self._request_class, self._tenant, self._reads.unix_time_s())
            if items
            else []
        )

    def _is_full(self, name: str, now_us: int) -> bool:
        return self._reads.is_full(name, self.request, now_us)

    def _thread_time_us(self) -> int:
        return self.request.expected_latency_us * self.request.request_class.threads
