"""Entry point of the package: idempotency checks of one gateway's requests, for the stages of its pipeline.

Connects the parts: `record_lookup` reads and claims records, `execution_guard` decides, `open_requests`
checks each dispatch against the claim and makes reports, `record_writer` writes the reports, `store_fallback`
decides without the store, and `store_monitor` watches the store.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import TYPE_CHECKING, Any

from cresstray.idempotency import records
from cresstray.idempotency.execution_guard import (
    ClaimHolder,
    ExecutionGuard,
    GuardMode,
    RequestTiming,
    guard_mode_of,
)
from cresstray.idempotency.guarded_request import GuardedRequest, OnDecision
from cresstray.idempotency.health import StoreClock, StoreHealth
from cresstray.idempotency.journal_codec import JournalEntry
from cresstray.idempotency.open_requests import OpenRequests
from cresstray.idempotency.ports import (
    ClaimJournal,
    Clock,
    CommandClient,
    JournalSlot,
    RequestContext,
    Timers,
)
from cresstray.idempotency.record_lookup import RecordLookup
from cresstray.idempotency.record_writer import RecordWriter
from cresstray.idempotency.records import EventKind, RecordEvent
from cresstray.idempotency.store_fallback import StoreFallback
from cresstray.idempotency.store_monitor import StoreMonitor
from cresstray.idempotency.store_session import StoreSession
from cresstray.idempotency.write_behind import WriteBehindQueue
from cresstray.observability.counters import Counters
from cresstray.policy.types import Outcome, Request, RequestClass

if TYPE_CHECKING:
    from cresstray.config.idempotency import IdempotencySettings

# Same value as in the policy, whose periodic sweep ends requests this close to their deadline.
_DEADLINE_MARGIN_US = 200_000
# At least this part of the time before the deadline remains for lookups in the store.
_MIN_SLACK_DIVISOR = 10
# Expected duration of an attempt without a latency estimate: this part of the latency objective.
_DEFAULT_DURATION_DIVISOR = 4
# Another site may send a forwarded request until its deadline, so a request is only forwarded if its claim is
# valid until then by this gateway's calculation. Claims therefore extend beyond the deadline: by a fiftieth
# for the different speeds of two clocks, and by 0.1 s because the store's time is only estimated when the
# claim is written.
_CLAIM_EXTENSION_DIVISOR = 50
_CLAIM_EXTENSION_US = 100_000


def _discard_line(_line: str) -> None:
    """Default for `log`: ignores lines for operators."""


class _DeploymentNames:
    """The values read from the deployment settings, whose keys are fixed."""

    def __init__(self, settings: Mapping[str, Any]) -> None:
        limits = settings.get("Limits", {})
        self.max_retry_after_us = 0
        if limits.get("RetryAfter"):
            self.max_retry_after_us = int(limits.get("MaxRetryAfter", 0) * 1000)
        self.classes = [str(service.get("Name", "")) for service in settings.get("Services", [])]
        self._tenants = [str(tenant.get("Name", "")) for tenant in settings.get("Tenants", [])]

    def tenant(self, index: int) -> str:
        """Returns the name of a tenant; "" if it is not in the settings."""
        return self._tenants[index] if index < len(self._tenants) else ""


class IdempotencyCoordinator:
    """Lets requests with the same idempotency key be executed once, across gateways that share a store."""

    def __init__(
        self,
        client: CommandClient,
        operator_settings: IdempotencySettings,
        deployment_settings: Mapping[str, Any],
        request_classes: Sequence[RequestClass],
        owner: str,
        incarnation: str,
        next_random: Callable[[], float],
        clock: Clock,
        timers: Timers,
        counters: Counters,
        journal: ClaimJournal | None = None,
        log: Callable[[str], None] = _discard_line,
    ) -> None:
        """Connects the parts.

        `owner` is this gateway's name; `incarnation` is unique to this process among all that had the name.
        `request_classes` are in the order of the deployment settings. `next_random` returns numbers in
        [0, 1); `log` takes lines for operators.
        """
        self._holder = ClaimHolder(owner, incarnation)
        self._settings = operator_settings
        self._clock = clock
        self._timers = timers
        self._counters = counters
        self._deployment = _DeploymentNames(deployment_settings)
        self.guard_modes = self._guard_modes(request_classes)
        self._journal_slot = JournalSlot(journal)
        self.health = StoreHealth(operator_settings, next_random, clock.now())
        self.store_clock = StoreClock()
        self.write_behind = WriteBehindQueue()
        self.open_requests = self._make_open_requests()
        session = StoreSession(
            client, operator_settings.namespace, self.health, self.store_clock, clock, counters
        )
        self._lookup = self._make_lookup(session, next_random)
        self.writer = self._make_writer(session)
        self._monitor = self._make_monitor(session, log)

    def _guard_modes(self, request_classes: Sequence[RequestClass]) -> list[GuardMode]:
        return [
            guard_mode_of(request_class, name, self._settings)
            for request_class, name in zip(request_classes, self._deployment.classes)
        ]

    def _make_open_requests(self) -> OpenRequests:
        return OpenRequests(
            self._holder,
            self._settings.max_result_bytes,
            self._settings.retention_ms,
            self.store_clock,
            self.write_behind,
            self._journal_slot,
            self._counters,
        )

    def _make_lookup(self, session: StoreSession, next_random: Callable[[], float]) -> RecordLookup:
        guard = ExecutionGuard(self._settings, self._deployment.max_retry_after_us, next_random)
        fallback = StoreFallback(
            self._holder,
            guard,
            self.open_requests,
            self.write_behind,
            self.health,
            self.store_clock,
            self._journal_slot,
            self._timers,
        )
        return RecordLookup(
            self._holder,
            guard,
            self.open_requests,
            self.write_behind,
            session,
            fallback,
            self._settings.retention_ms,
            self._timers,
            self._counters,
        )

    def _make_writer(self, session: StoreSession) -> RecordWriter:
        return RecordWriter(
            self.write_behind,
            session,
            self._settings.retention_ms,
            self._journal_slot,
            self.open_requests.on_dispatch_written,
            self._counters,
        )

    def _make_monitor(self, session: StoreSession, log: Callable[[str], None]) -> StoreMonitor:
        return StoreMonitor(
            session,
            self._settings.namespace,
            self._settings.retention_ms,
            self.write_behind,
            self._journal_slot,
            self._clock,
            self._counters,
            log,
        )

    def check(self, context: RequestContext, now_us: int, on_decision: OnDecision) -> bool:
        """Returns False for a request that needs no record; otherwise calls `on_decision` once.

        The call may come before this method returns. After Proceed or ProceedUnguarded the request may be
        dispatched; Reject, Fail and ReplayResult end it.
        """
        request = context.request
        mode = self.guard_modes[request.request_class.index]
        idempotency_key = context.query.idempotency_key
        # A request forwarded by another site was checked at the site that accepted it.
        if mode is GuardMode.NOT_NEEDED or not idempotency_key or request.is_forwarded_in:
            return False
        class_name = self._deployment.classes[request.request_class.index]
        scope = class_name + "/" + request.request_class.dedup_scope
        tenant = self._deployment.tenant(request.tenant)
        guarded = GuardedRequest(
            request,
            class_name,
            mode,
            _make_timing(request, now_us),
            records.digest_key(self._settings.namespace, tenant, scope, idempotency_key),
            on_decision,
        )
        self.open_requests.add(guarded)
        self._lookup.start(guarded, now_us)
        return True

    def on_deadlines_limited(self, now_us: int) -> None:
        """Plans what is left of each undecided request anew: its deadline may have been moved forward."""
        for guarded in self.open_requests.by_request.values():
            if guarded.on_decision is not None:
                guarded.timing = _make_timing(guarded.request, now_us)

    def may_dispatch(self, request: Request, now_us: int) -> bool:
        """Returns whether an attempt may be sent now; `now_us` must be a fresh reading of the clock.

        If not, the attempt must not be sent, and ends as one that no engine has received.
        """
        return self.open_requests.may_dispatch(request, now_us)

    def remaining_us(self, request: Request, now_us: int) -> int | None:
        """Returns for how long attempts may still be sent, by this gateway or another site.

        Returns None for a request without a record.
        """
        guarded = self.open_requests.by_request.get(request)
        return None if guarded is None else max(0, guarded.dispatch_until_us - now_us)

    def on_attempt_sent(self, request: Request, now_us: int) -> None:
        """Records that an attempt is being sent; `on_attempt_finished` must follow."""
        self.open_requests.on_attempt_sent(request, now_us)

    def on_attempt_finished(self, request: Request, outcome: Outcome, now_us: int) -> None:
        """Records the outcome of an attempt."""
        self.open_requests.on_attempt_finished(request, outcome, now_us)

    def on_request_finished(
        self, request: Request, final_state: str, result: bytes | None, now_us: int
    ) -> None:
        """Records that the request was answered, or that its client has left.

        `final_state` is the name used by the accounting.
        """
        self.open_requests.on_request_finished(request, final_state, result, now_us)

    # Journal and crash recovery.

    def use_journal(self, journal: ClaimJournal) -> None:
        """Replaces the journal; nothing is taken over from the previous one."""
        self._journal_slot.journal = journal

    def recover(self, entries: Iterable[JournalEntry], now_us: int) -> None:
        """Reports claims that an earlier process never settled in the journal as possibly executed."""
        for entry in entries:
            event = RecordEvent(EventKind.UNKNOWN, *self._holder, entry.fence)
            self._counters.add("idempotency: unknown after a crash")
            expires_us = now_us + self._settings.retention_ms * 1000
            journal_ids = (entry.entry_id,)
            self.write_behind.add(entry.digest, event, entry.tenant, expires_us, now_us, b"", journal_ids)

    # Background work.

    def run_background_step(self, now_us: int) -> bool:
        """Runs one background step; returns True while there is more to do.

        It is called about fifty times a second as long as it returns True.
        """
        self.writer.return_failed()
        self._monitor.start_probe(now_us)
        self._monitor.log_changes()
        self._monitor.publish_regression(now_us)
        self.writer.start_writes(now_us)
        return self.writer.is_busy() or self._monitor.is_publishing or self.health.is_open

    def run_shutdown_step(self, now_us: int) -> bool:
        """Runs a background step before the process ends; returns whether another one would be of use."""
        return self.run_background_step(now_us) and not self.health.is_open


def _make_timing(request: Request, now_us: int) -> RequestTiming:
    """Divides the time from now on until the request's deadline between the store and an attempt."""
    request_class = request.request_class
    if request_class.latency:
        expected_us = request_class.latency.expected_us(request)
    else:
        expected_us = request_class.latency_objective_us // _DEFAULT_DURATION_DIVISOR
    # A request that has missed its latency objective may still be answered before its deadline.
    stretched_objective_us = (
        request_class.latency_objective_us + request_class.objective_stretch * expected_us
    )
    objective_end_us = request.arrived_us + int(stretched_objective_us)
    end_us = min(request.deadline_us - _DEADLINE_MARGIN_US, objective_end_us)
    time_left_us = request.deadline_us - now_us
    latest_dispatch_us = max(end_us - expected_us, now_us + time_left_us // _MIN_SLACK_DIVISOR)
    claim_extension_us = _CLAIM_EXTENSION_US + time_left_us // _CLAIM_EXTENSION_DIVISOR
    return RequestTiming(
        now_us,
        min(latest_dispatch_us, request.deadline_us),
        request.deadline_us + claim_extension_us,
        request_class.dedup_window_us,
    )
