"""The module's hook: what the documents in use say of a submission and an engine, at the moment of acting."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from hashlib import blake2b

from cresstray.fleet_config.active_config import InUse, Mode, Use
from cresstray.fleet_config.documents import Documents, EngineRule, Shard, TariffRule, TenantRule
from cresstray.observability.counters import Counters
from cresstray.policy.sliding_window import SlidingWindow
from cresstray.policy.types import Engine, Request

# A tenant's share is of the work accepted over five seconds, as long as a burst lasts that is no trend.
_SPAN, _PARTS = 5_000_000, 20
# So many submissions of a tenant in that time always pass, or a quiet gateway's only tenant would get none.
_ALWAYS = 10
# What no answer has told the time of weighs as little as the least that does.
_LEAST = 1_000
# Threads a core that an engine is given at the most where nothing is limited: twice the start of logic.py.
_FULL = 2


class _View:
    """The documents of one turn, by the indexes that submissions carry."""

    def __init__(self, documents: Documents, tenants: Sequence[str], request_classes: Sequence[str]) -> None:
        self.documents = documents
        self.tenants = [documents.tenants.items.get(name, TenantRule()) for name in tenants]
        self.tariffs = [documents.tariffs.items.get(name, TariffRule()) for name in request_classes]
        self.capped = any(rule.share < 1 for rule in self.tenants)
        self.shards = documents.placement.items
        # Nothing is said of any engine, tenant, tariff or shard: most fleets' most of the time.
        self.plain = not (
            documents.engines.items or documents.tenants.items or documents.tariffs.items or self.shards
        )
        self.ranks: dict[str, int] = {}  # of this gateway among all, for the seats of an engine


class _Taken:
    """What was accepted of late of one tenant, or of all."""

    def __init__(self) -> None:
        self.work, self.count = SlidingWindow(_SPAN, _PARTS), SlidingWindow(_SPAN, _PARTS)

    def add(self, now: int, work: float) -> None:
        self.work.add(now, work)
        self.count.add(now)


class Admission:
    """interface.Rules. `tenants`, `tariffs`: names by index; `engine_id` gives "" for one of another hall."""

    def __init__(
        self,
        use: Use,
        tenants: Sequence[str],
        request_classes: Sequence[str],
        engine_id: Callable[[Engine], str],
        counters: Counters | None = None,
    ) -> None:
        self.use, self._engine_id = use, engine_id
        self._tenants, self._tariffs = tuple(tenants), tuple(request_classes)
        self._counters = counters or Counters()
        self._view = _View(use.documents, self._tenants, self._tariffs)
        self._judged: tuple[Request | None, InUse | None, bool, Shard | None] = None, None, False, None
        self._all, self._of = _Taken(), [_Taken() for _ in self._tenants]

    def _at(self, now: int) -> InUse:
        found = self.use.at(now)
        if found.documents is not self._view.documents:
            self._view = _View(found.documents, self._tenants, self._tariffs)
        return found

    def gateway_count(self, now: int) -> int:
        """By how many the shares are divided; 0: relay nothing."""
        return self._at(now).gateways

    def retry_budget_scale(self, request: Request, now: int) -> float:
        """Scales the budget of further relays, 0 to 1."""
        return self._rule(request, self._at(now)).further

    def _rule(self, request: Request, use: InUse) -> TariffRule:
        if use.mode is Mode.STOP:
            return _STOPPED
        index = request.request_class.index
        # What the deploy file has and no name is known of, no rule is about.
        return self._view.tariffs[index] if index < len(self._view.tariffs) else TariffRule()

    def _tenant(self, request: Request) -> TenantRule:
        known = self._view.tenants
        return known[request.tenant] if 0 <= request.tenant < len(known) else TenantRule()

    def admits(self, request: Request, now: int) -> bool:
        """Whether it may go on, each time it is offered; its first time counts for its tenant's share."""
        use = self._at(now)
        if self._view.plain and request.replica_read is None and use.mode is not Mode.STOP:
            return True
        against = self._against(request, use, now)
        if against:
            self._counters.add(f"rules: denied, {against}")
            return False
        if self._view.capped and not request.attempts:
            work = _work(request)
            self._all.add(now, work)
            if 0 <= request.tenant < len(self._of):
                self._of[request.tenant].add(now, work)
        return True

    def _against(self, request: Request, use: InUse, now: int) -> str:
        if use.mode is Mode.STOP:
            return "this gateway is not named"
        if self._rule(request, use).stopped:
            return "tariff stopped"
        tenant = self._tenant(request)
        if tenant.barred:
            return "tenant barred"
        if tenant.share < 1 and not request.attempts and self._over(request, tenant.share, now):
            return "tenant over its share"
        if request.replica_read is not None and not request.replica_read.admits(now):
            return "no copy is fresh enough"
        if use.mode is not Mode.LEASE and str(request.data_set) in self._view.shards:
            return "placement without a lease"
        return ""

    def _over(self, request: Request, share: float, now: int) -> bool:
        own, work = self._of[request.tenant], _work(request)
        # Danger: sums of buckets are too long or too short. Its own are taken long, those of all short.
        return own.count.upper_bound(now) >= (_ALWAYS if share else 0) and own.work.upper_bound(
            now
        ) + work > share * (self._all.work.lower_bound(now) + work)

    def allows(self, request: Request, engine: Engine, now: int) -> bool:
        """Whether a relay of it may go to this engine now; what was held is judged anew."""
        use = self._at(now)
        if self._view.plain and request.replica_read is None:
            return use.mode is not Mode.STOP
        # Asked for one engine after the other: what is said of the submission is found once for a moment.
        if self._judged[0] is not request or self._judged[1] is not use:
            may = not (
                use.mode is Mode.STOP or self._rule(request, use).stopped or self._tenant(request).barred
            )
            self._judged = request, use, may, self._view.shards.get(str(request.data_set))
        _, _, may, shard = self._judged
        read = request.replica_read
        if not may or shard is None and read is None and not use.documents.engines.items:
            return may
        name = self._engine_id(engine)
        # Danger: under an old placement it would write to a primary that is none any more, or read a copy
        # that has been dropped. Without a lease nobody can say.
        if (shard is not None or read is not None) and (
            use.mode is not Mode.LEASE
            or not name
            or (
                name != shard.primary
                if read is None
                else shard is None or name not in (*shard.reads, shard.primary) or not read.takes(name, now)
            )
        ):
            return False
        rule = use.documents.engines.items.get(name)
        return (
            rule is None
            or not rule.barred
            and (rule.work >= 1 or self._room(request, engine, name, rule, use))
        )

    def _room(self, request: Request, engine: Engine, name: str, rule: EngineRule, use: InUse) -> bool:
        """All gateways together have at most that part of what the engine is given on it, and as much again
        in seats, or one: where a gateway's part is less than a thread, a few of them have a whole."""
        own, threads = engine.policy_state.limit.running_threads, request.request_class.threads
        whole = rule.work * _FULL * engine.policy_state.limit.cores
        if own + threads <= whole / use.gateways:
            return True
        # Danger: one each for 230 gateways would be many times what a limited engine is to have.
        return own == 0 and rule.work > 0 and self._rank(name) < max(1, int(whole / threads))

    def _rank(self, engine: str) -> int:
        ranks = self._view.ranks
        if engine not in ranks:
            # By a draw that all gateways make alike: others have the seats of another engine.
            drawn = {one: _draw(engine, one) for one in self._view.documents.gateways.items}
            mine = drawn.get(self.use.name)
            ranks[engine] = len(drawn) if mine is None else sum(one < mine for one in drawn.values())
        return ranks[engine]


_STOPPED = TariffRule(stopped=True, further=0.0)


def _work(request: Request) -> float:
    return float(max(_LEAST, request.expected_latency_us) * request.request_class.threads)


def _draw(engine: str, gateway: str) -> bytes:
    return blake2b(f"{engine} {gateway}".encode(), digest_size=8).digest()
