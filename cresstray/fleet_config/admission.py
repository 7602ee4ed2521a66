"""Admission rules by the configuration in effect: whether a request may run, and on which engines."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from hashlib import blake2b
from typing import NamedTuple

from cresstray.fleet_config.active_config import ActiveConfig, EffectiveConfig, Mode
from cresstray.fleet_config.documents import Documents, EngineRule, RequestClassRule, Shard, TenantRule
from cresstray.observability.counters import Counters
from cresstray.policy.sliding_window import SlidingWindow
from cresstray.policy.types import Engine, Request

# A tenant's share is measured over this window, long enough that a short burst is not taken for a trend.
_SHARE_WINDOW_US = 5_000_000
_SHARE_BUCKETS = 20
# Requests of a tenant per window that its share never rejects; without them, the only tenant of a quiet
# gateway would get none admitted.
_MIN_ADMITTED_PER_WINDOW = 10
# Used for requests whose latency has not been measured yet.
_MIN_EXPECTED_LATENCY_US = 1_000
# Most threads per core on an engine without a limited work fraction: twice the initial value of its limit.
_MAX_THREADS_PER_CORE = 2

_STOPPED_CLASS_RULE = RequestClassRule(is_stopped=True, retry_budget_scale=0.0)


class _EffectiveRules:
    """The rules of one turn's documents, by the tenant and class indexes that requests carry."""

    def __init__(self, documents: Documents, tenants: Sequence[str], request_classes: Sequence[str]) -> None:
        self.documents = documents
        self.tenants = [documents.tenants.items.get(name, TenantRule()) for name in tenants]
        self.request_classes = [
            documents.request_classes.items.get(name, RequestClassRule()) for name in request_classes
        ]
        self.has_share_limits = any(rule.share < 1 for rule in self.tenants)
        self.shards = documents.placement.items
        # No rule for any engine, tenant, class or shard; so it is in most fleets most of the time.
        self.is_empty = not (
            documents.engines.items
            or documents.tenants.items
            or documents.request_classes.items
            or self.shards
        )
        self.gateway_ranks: dict[str, int] = {}  # this gateway's rank among all, by engine


class _AdmittedWork:
    """The recently admitted work of one tenant, or of all tenants."""

    def __init__(self) -> None:
        self.work = SlidingWindow(_SHARE_WINDOW_US, _SHARE_BUCKETS)
        self.count = SlidingWindow(_SHARE_WINDOW_US, _SHARE_BUCKETS)

    def add(self, now_us: int, work: float) -> None:
        self.work.add(now_us, work)
        self.count.add(now_us)


class _RequestDecision(NamedTuple):
    """What the rules say of one request, independent of the engine."""

    request: Request | None
    config: EffectiveConfig | None
    is_allowed: bool
    shard: Shard | None


class ConfigAdmissionRules:
    """The AdmissionRules that follow from the configuration in effect.

    Args:
        active_config: The configuration in use at this gateway.
        tenants: Tenant names by index.
        request_classes: Request class names by index.
        engine_id: Returns the id of an engine, or "" for an engine of another site.
        counters: Counts rejected requests by reason.
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
        self._rules = self._effective_rules(active_config.documents)
        self._decision = _RequestDecision(None, None, False, None)
        self._total_admitted = _AdmittedWork()
        self._admitted_by_tenant = [_AdmittedWork() for _ in self._tenants]

    def _effective_rules(self, documents: Documents) -> _EffectiveRules:
        return _EffectiveRules(documents, self._tenants, self._request_classes)

    def _effective_config(self, now_us: int) -> EffectiveConfig:
        config = self.active_config.effective_at(now_us)
        if config.documents is not self._rules.documents:
            self._rules = self._effective_rules(config.documents)
        return config

    def gateway_count(self, now_us: int) -> int:
        """Returns how many gateways share the engines; 0 if this gateway may not send."""
        return self._effective_config(now_us).gateway_count

    def retry_budget_scale(self, request: Request, now_us: int) -> float:
        """Returns the factor, from 0 to 1, by which the retry budget is scaled for this request."""
        return self._class_rule(request, self._effective_config(now_us)).retry_budget_scale

    def _class_rule(self, request: Request, config: EffectiveConfig) -> RequestClassRule:
        if config.mode is Mode.STOPPED:
            return _STOPPED_CLASS_RULE
        index = request.request_class.index
        rules = self._rules.request_classes
        # A request class without a known name has no rule.
        return rules[index] if index < len(rules) else RequestClassRule()

    def _tenant_rule(self, request: Request) -> TenantRule:
        rules = self._rules.tenants
        return rules[request.tenant] if 0 <= request.tenant < len(rules) else TenantRule()

    def admits(self, request: Request, now_us: int) -> bool:
        """Returns whether the request may run; asked again before each attempt.

        A request's first admission counts towards its tenant's share.
        """
        config = self._effective_config(now_us)
        has_no_rules = self._rules.is_empty and request.replica_read is None
        if has_no_rules and config.mode is not Mode.STOPPED:
            return True
        reason = self._rejection_reason(request, config, now_us)
        if reason:
            self._counters.add(f"rules: denied, {reason}")
            return False
        if self._rules.has_share_limits and not request.attempts:
            self._count_admitted(request, now_us)
        return True

    def _count_admitted(self, request: Request, now_us: int) -> None:
        work = _expected_thread_us(request)
        self._total_admitted.add(now_us, work)
        if 0 <= request.tenant < len(self._admitted_by_tenant):
            self._admitted_by_tenant[request.tenant].add(now_us, work)

    def _rejection_reason(self, request: Request, config: EffectiveConfig, now_us: int) -> str:
        if config.mode is Mode.STOPPED:
            return "this gateway is not named"
        if self._class_rule(request, config).is_stopped:
            return "tariff stopped"
        tenant = self._tenant_rule(request)
        if tenant.is_barred:
            return "tenant barred"
        is_first = not request.attempts
        if tenant.share < 1 and is_first and self._is_over_share(request, tenant.share, now_us):
            return "tenant over its share"
        if request.replica_read is not None and not request.replica_read.admits(now_us):
            return "no copy is fresh enough"
        if config.mode is not Mode.LEASE and str(request.data_set) in self._rules.shards:
            return "placement without a lease"
        return ""

    def _is_over_share(self, request: Request, share: float, now_us: int) -> bool:
        admitted = self._admitted_by_tenant[request.tenant]
        work = _expected_thread_us(request)
        # The window yields only bounds of a sum: with the upper bound for the tenant and the lower bound for
        # the total, the tenant never gets more than its share.
        if admitted.count.upper_bound(now_us) < (_MIN_ADMITTED_PER_WINDOW if share else 0):
            return False
        return admitted.work.upper_bound(now_us) + work > share * (
            self._total_admitted.work.lower_bound(now_us) + work
        )

    def allows(self, request: Request, engine: Engine, now_us: int) -> bool:
        """Returns whether an attempt may be sent to this engine now; asked again after queueing."""
        if not self.still_allows(request, engine, now_us):
            return False
        engine_rules = self._rules.documents.engines.items
        if not engine_rules:
            return True
        engine_id = self._engine_id(engine)
        rule = engine_rules.get(engine_id)
        if rule is None or rule.work_fraction >= 1:
            return True
        return self._has_capacity(request, engine, engine_id, rule, self._effective_config(now_us))

    def still_allows(self, request: Request, engine: Engine, now_us: int) -> bool:
        """Returns whether an attempt that has waited for its connection may be sent to this engine now.

        A gateway without a lease, a class or a tenant that was stopped, and an engine that was barred or is
        no longer the primary of the request's shard: none of these lets an earlier decision stand.
        """
        config = self._effective_config(now_us)
        if self._rules.is_empty and request.replica_read is None:
            return config.mode is not Mode.STOPPED
        decision = self._decide(request, config)
        shard = decision.shard
        has_no_placement = shard is None and request.replica_read is None
        if not decision.is_allowed:
            return False
        engine_rules = config.documents.engines.items
        if has_no_placement and not engine_rules:
            return True
        engine_id = self._engine_id(engine)
        if not has_no_placement and not self._placement_allows(request, shard, engine_id, config, now_us):
            return False
        rule = engine_rules.get(engine_id)
        return rule is None or not rule.is_barred

    def _decide(self, request: Request, config: EffectiveConfig) -> _RequestDecision:
        # The same request is checked against one engine after the other, so its decision is cached.
        decision = self._decision
        if decision.request is not request or decision.config is not config:
            is_forbidden = (
                config.mode is Mode.STOPPED
                or self._class_rule(request, config).is_stopped
                or self._tenant_rule(request).is_barred
            )
            shard = self._rules.shards.get(str(request.data_set))
            self._decision = decision = _RequestDecision(request, config, not is_forbidden, shard)
        return decision

    @staticmethod
    def _placement_allows(
        request: Request, shard: Shard | None, engine_id: str, config: EffectiveConfig, now_us: int
    ) -> bool:
        # With an outdated placement, the request could write to a former primary or read a dropped replica.
        # Without a lease the placement may be outdated.
        if config.mode is not Mode.LEASE or not engine_id:
            return False
        replica_read = request.replica_read
        if replica_read is None:
            return shard is None or engine_id == shard.primary
        if shard is None or engine_id not in (*shard.reads, shard.primary):
            return False
        return bool(replica_read.may_run_on(engine_id, now_us))

    def _has_capacity(
        self, request: Request, engine: Engine, engine_id: str, rule: EngineRule, config: EffectiveConfig
    ) -> bool:
        """Returns whether this gateway's share of the engine's limited work has room for the request.

        Where a gateway's share is less than one request, the gateways with the lowest ranks may run one
        request each. So all gateways together use at most twice the engine's work fraction, or one request.
        """
        running_threads = engine.policy_state.limit.running_threads
        threads = request.request_class.threads
        engine_threads = rule.work_fraction * _MAX_THREADS_PER_CORE * engine.policy_state.limit.cores
        if running_threads + threads <= engine_threads / config.gateway_count:
            return True
        # One thread for each of 230 gateways would be many times what the limited engine may get.
        return (
            running_threads == 0
            and rule.work_fraction > 0
            and self._gateway_rank(engine_id) < max(1, int(engine_threads / threads))
        )

    def _gateway_rank(self, engine_id: str) -> int:
        ranks = self._rules.gateway_ranks
        if engine_id not in ranks:
            # Rendezvous hashing: all gateways compute the same ranks, which differ from engine to engine.
            hashes = {
                name: _rendezvous_hash(engine_id, name) for name in self._rules.documents.gateways.items
            }
            own_hash = hashes.get(self.active_config.name)
            ranks[engine_id] = (
                len(hashes) if own_hash is None else sum(other < own_hash for other in hashes.values())
            )
        return ranks[engine_id]


def _expected_thread_us(request: Request) -> float:
    return float(max(_MIN_EXPECTED_LATENCY_US, request.expected_latency_us) * request.request_class.threads)


def _rendezvous_hash(engine_id: str, gateway: str) -> bytes:
    return blake2b(f"{engine_id} {gateway}".encode(), digest_size=8).digest()
