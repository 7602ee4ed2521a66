"""What the configuration in use says of a request and an engine, at the moment of acting."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from hashlib import blake2b
from typing import NamedTuple

from cresstray.fleet_config.active_config import ActiveConfig, EffectiveConfig, Mode
from cresstray.fleet_config.documents import Documents, EngineRule, RequestClassRule, Shard, TenantRule
from cresstray.observability.counters import Counters
from cresstray.policy.sliding_window import SlidingWindow
from cresstray.policy.types import Engine, Request

# A tenant's share is of the work accepted in this time, as long as a burst lasts that is no trend.
_SHARE_WINDOW_US = 5_000_000
_SHARE_BUCKETS = 20
# So many requests of a tenant in that time always pass, or a quiet gateway's only tenant would get none.
_ALWAYS_ADMITTED = 10
# Expected work of a request whose answers have not been timed yet.
_MIN_EXPECTED_US = 1_000
# Threads a core that an engine is given at the most where nothing is limited: twice the start of its limit.
_MAX_THREADS_PER_CORE = 2

_STOPPED = RequestClassRule(is_stopped=True, retry_budget_scale=0.0)


class _EffectiveRules:
    """The documents of one turn, by the indexes that requests carry."""

    def __init__(self, documents: Documents, tenants: Sequence[str], request_classes: Sequence[str]) -> None:
        self.documents = documents
        self.tenants = [documents.tenants.items.get(name, TenantRule()) for name in tenants]
        self.request_classes = [
            documents.request_classes.items.get(name, RequestClassRule()) for name in request_classes
        ]
        self.has_share_limits = any(rule.share < 1 for rule in self.tenants)
        self.shards = documents.placement.items
        # Nothing is said of any engine, tenant, class or shard: most fleets' most of the time.
        self.is_empty = not (
            documents.engines.items
            or documents.tenants.items
            or documents.request_classes.items
            or self.shards
        )
        self.ranks: dict[str, int] = {}  # of this gateway among all, for the seats of an engine


class _AdmittedWork:
    """What was admitted of late of one tenant, or of all."""

    def __init__(self) -> None:
        self.work = SlidingWindow(_SHARE_WINDOW_US, _SHARE_BUCKETS)
        self.count = SlidingWindow(_SHARE_WINDOW_US, _SHARE_BUCKETS)

    def add(self, now: int, work: float) -> None:
        self.work.add(now, work)
        self.count.add(now)


class _Judgement(NamedTuple):
    """What the rules say of one request, whatever the engine."""

    request: Request | None
    config: EffectiveConfig | None
    is_allowed: bool
    shard: Shard | None


class ConfigAdmissionRules:
    """AdmissionRules by the configuration in use.

    `tenants`, `request_classes`: names by index; `engine_id` gives "" for an engine of another site.
    """

    def __init__(
        self,
        active_config: ActiveConfig,
        tenants: Sequence[str],
        request_classes: Sequence[str],
        engine_id: Callable[[Engine], str],
        counters: Counters | None = None,
    ) -> None:
        self.active_config = active_config
        self._engine_id = engine_id
        self._tenants = tuple(tenants)
        self._request_classes = tuple(request_classes)
        self._counters = counters or Counters()
        self._rules = self._rules_of(active_config.documents)
        self._judgement = _Judgement(None, None, False, None)
        self._admitted = _AdmittedWork()
        self._admitted_of = [_AdmittedWork() for _ in self._tenants]

    def _rules_of(self, documents: Documents) -> _EffectiveRules:
        return _EffectiveRules(documents, self._tenants, self._request_classes)

    def _config_at(self, now: int) -> EffectiveConfig:
        config = self.active_config.effective_at(now)
        if config.documents is not self._rules.documents:
            self._rules = self._rules_of(config.documents)
        return config

    def gateway_count(self, now: int) -> int:
        """By how many the shares are divided; 0: nothing may be sent."""
        return self._config_at(now).gateway_count

    def retry_budget_scale(self, request: Request, now: int) -> float:
        """Scales the retry budget, 0 to 1."""
        return self._class_rule(request, self._config_at(now)).retry_budget_scale

    def _class_rule(self, request: Request, config: EffectiveConfig) -> RequestClassRule:
        if config.mode is Mode.STOPPED:
            return _STOPPED
        index = request.request_class.index
        rules = self._rules.request_classes
        # A class whose name is not known has no rule.
        return rules[index] if index < len(rules) else RequestClassRule()

    def _tenant_rule(self, request: Request) -> TenantRule:
        rules = self._rules.tenants
        return rules[request.tenant] if 0 <= request.tenant < len(rules) else TenantRule()

    def admits(self, request: Request, now: int) -> bool:
        """Whether it may go on, each time it is offered; its first time counts for its tenant's share."""
        config = self._config_at(now)
        is_unruled = self._rules.is_empty and request.replica_read is None
        if is_unruled and config.mode is not Mode.STOPPED:
            return True
        reason = self._reason_against(request, config, now)
        if reason:
            self._counters.add(f"rules: denied, {reason}")
            return False
        if self._rules.has_share_limits and not request.attempts:
            self._count_admitted(request, now)
        return True

    def _count_admitted(self, request: Request, now: int) -> None:
        work = _work(request)
        self._admitted.add(now, work)
        if 0 <= request.tenant < len(self._admitted_of):
            self._admitted_of[request.tenant].add(now, work)

    def _reason_against(self, request: Request, config: EffectiveConfig, now: int) -> str:
        if config.mode is Mode.STOPPED:
            return "this gateway is not named"
        if self._class_rule(request, config).is_stopped:
            return "tariff stopped"
        tenant = self._tenant_rule(request)
        if tenant.is_barred:
            return "tenant barred"
        is_first = not request.attempts
        if tenant.share < 1 and is_first and self._is_over_share(request, tenant.share, now):
            return "tenant over its share"
        if request.replica_read is not None and not request.replica_read.admits(now):
            return "no copy is fresh enough"
        if config.mode is not Mode.LEASE and str(request.data_set) in self._rules.shards:
            return "placement without a lease"
        return ""

    def _is_over_share(self, request: Request, share: float, now: int) -> bool:
        own = self._admitted_of[request.tenant]
        work = _work(request)
        # Sums of buckets are too long or too short: its own are taken long, those of all short.
        if own.count.upper_bound(now) < (_ALWAYS_ADMITTED if share else 0):
            return False
        return own.work.upper_bound(now) + work > share * (self._admitted.work.lower_bound(now) + work)

    def allows(self, request: Request, engine: Engine, now: int) -> bool:
        """Whether an attempt of it may go to this engine now; what was queued is judged anew."""
        config = self._config_at(now)
        if self._rules.is_empty and request.replica_read is None:
            return config.mode is not Mode.STOPPED
        judgement = self._judge(request, config)
        shard = judgement.shard
        is_unplaced = shard is None and request.replica_read is None
        if not judgement.is_allowed:
            return False
        if is_unplaced and not config.documents.engines.items:
            return True
        name = self._engine_id(engine)
        if not is_unplaced and not self._placement_allows(request, shard, name, config, now):
            return False
        rule = config.documents.engines.items.get(name)
        if rule is None:
            return True
        if rule.is_barred:
            return False
        return rule.work_fraction >= 1 or self._has_room(request, engine, name, rule, config)

    def _judge(self, request: Request, config: EffectiveConfig) -> _Judgement:
        # Asked for one engine after the other: what is said of the request is found once for a moment.
        known = self._judgement
        if known.request is not request or known.config is not config:
            is_forbidden = (
                config.mode is Mode.STOPPED
                or self._class_rule(request, config).is_stopped
                or self._tenant_rule(request).is_barred
            )
            shard = self._rules.shards.get(str(request.data_set))
            self._judgement = known = _Judgement(request, config, not is_forbidden, shard)
        return known

    @staticmethod
    def _placement_allows(
        request: Request, shard: Shard | None, name: str, config: EffectiveConfig, now: int
    ) -> bool:
        # By an old placement it would write to what is no primary any more, or read a replica that has been
        # dropped. Without a lease nobody can say.
        if config.mode is not Mode.LEASE or not name:
            return False
        read = request.replica_read
        if read is None:
            return shard is None or name == shard.primary
        if shard is None or name not in (*shard.reads, shard.primary):
            return False
        return bool(read.may_run_on(name, now))

    def _has_room(
        self, request: Request, engine: Engine, name: str, rule: EngineRule, config: EffectiveConfig
    ) -> bool:
        """Whether this gateway's part of what the engine is given leaves room.

        All gateways together have at most that part on it, and as much again in seats, or one: where a
        gateway's part is less than a thread, a few of them have a whole one.
        """
        own = engine.policy_state.limit.running_threads
        threads = request.request_class.threads
        whole = rule.work_fraction * _MAX_THREADS_PER_CORE * engine.policy_state.limit.cores
        if own + threads <= whole / config.gateway_count:
            return True
        # A thread each for 230 gateways would be many times what a limited engine is to have.
        return own == 0 and rule.work_fraction > 0 and self._rank(name) < max(1, int(whole / threads))

    def _rank(self, engine: str) -> int:
        ranks = self._rules.ranks
        if engine not in ranks:
            # By a draw that all gateways make alike: others have the seats of another engine.
            drawn = {name: _draw(engine, name) for name in self._rules.documents.gateways.items}
            own = drawn.get(self.active_config.name)
            ranks[engine] = len(drawn) if own is None else sum(draw < own for draw in drawn.values())
        return ranks[engine]


def _work(request: Request) -> float:
    return float(max(_MIN_EXPECTED_US, request.expected_latency_us) * request.request_class.threads)


def _draw(engine: str, gateway: str) -> bytes:
    return blake2b(f"{engine} {gateway}".encode(), digest_size=8).digest()
