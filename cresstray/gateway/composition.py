"""Composition root: creates all parts of one gateway and connects them.

Optional parts are imported only where the operator's file enables them, because the platform may limit the
process to 32 MB of memory.
"""

from __future__ import annotations

import contextlib
import random
from collections.abc import Mapping
from typing import TYPE_CHECKING, Any

from anyio.abc import TaskGroup

from cresstray.clients.listener import Listener
from cresstray.clock import Clock, Timers
from cresstray.discovery.watch import EndpointWatch
from cresstray.engines.connection import DescriptorQuota, SocketConnectionPool
from cresstray.gateway.endpoint_updates import EndpointUpdates
from cresstray.memory_budget import MemoryBudget
from cresstray.observability.counters import Counters
from cresstray.observability.log import Log
from cresstray.pipeline.accounting import RequestAccounting
from cresstray.pipeline.admission import Admission
from cresstray.pipeline.dispatch import Dispatcher
from cresstray.pipeline.ingress import Ingress
from cresstray.pipeline.policy_port import PipelinePolicyPort
from cresstray.pipeline.response import ResponseHandler
from cresstray.pipeline.routing import Router
from cresstray.policy.controller import PolicyController
from cresstray.policy.settings import parse_settings
from cresstray.transport.streams import log_fault

if TYPE_CHECKING:
    from cresstray.background.worker import Worker
    from cresstray.config.fleet import Fleet
    from cresstray.config.idempotency import StoreSettings
    from cresstray.config.operator import Halls, Operator
    from cresstray.gateway.fleet_member import FleetMember
    from cresstray.gateway.membership_jobs import MembershipJobs
    from cresstray.membership.recovery import Membership
    from cresstray.pipeline.idempotency_checks import IdempotencyChecks
    from cresstray.sites.links import SiteLinkManager

# Under overload, more than 64 connections to engines raise CPU use by half; at normal load 64 are enough.
_MAX_RESERVED_FOR_ENGINES = 64
# Descriptors other than those of clients and engines: signals, the endpoint watch, the log, the event loop.
_MIN_OTHER_DESCRIPTORS = 20
# When a client may come again whose request was rejected for a lack of memory, in milliseconds.
_SHED_RETRY_AFTER_MS = 500
_MAX_OTHER_DESCRIPTORS = 64


class DescriptorPlan:
    """Divides the process's file descriptors among clients, engines and everything else.

    Clients usually hold a third of the descriptors at most. Half of them are reserved for clients, which may
    also use what the connections to engines leave free. The other half has room for one connection to each
    of hundreds of engines.

    Attributes:
        engine_quota: the descriptors that connections to engines may use.
        idle_close_threshold: the number of clients above which idle ones are closed.
    """

    def __init__(self, descriptors: int) -> None:
        self._descriptors = descriptors
        other_count = min(descriptors // 8, _MAX_OTHER_DESCRIPTORS)
        self._other_count = max(other_count, min(descriptors // 4, _MIN_OTHER_DESCRIPTORS))
        self._reserved_for_engines = min(descriptors // 4, _MAX_RESERVED_FOR_ENGINES)
        self.engine_quota = DescriptorQuota(
            self._reserved_for_engines, max(self._reserved_for_engines, descriptors // 2 - self._other_count)
        )
        self.idle_close_threshold = descriptors // 4

    def max_clients(self) -> int:
        """Returns how many clients may be connected at present."""
        return self._descriptors - self._other_count - max(self._reserved_for_engines, self.engine_quota.used)


class GatewayParts:
    """All parts of one gateway.

    Parts are created in the order of their dependencies. The admission rules of the policy are chained in the
    order fleet configuration, membership, idempotency: each also consults the one before it.
    """

    tasks: TaskGroup  # set by the service as it starts to run

    def __init__(
        self,
        name: str,
        seed: int,
        settings: Mapping[str, Any],
        coordinator: str | None,
        last_event_index: int,
        descriptors: int,
        operator: Operator | None,
    ) -> None:
        self.settings = settings
        self.memory = MemoryBudget()
        self._seed = seed
        fleet = operator.fleet if operator and operator.fleet and operator.fleet.member else None
        store = operator.store if operator else None
        sites = operator.halls if operator else None
        folder = operator.kept.folder if operator and operator.kept else None
        # The lease of a fleet member or of an idempotency record also expires while the machine is suspended.
        self.clock = Clock(counts_suspend=fleet is not None or store is not None)
        self.counters = Counters()
        self.log = Log(name, self.clock)
        self.timers = Timers(self.clock, self._on_timer_fault)
        if sites:
            from cresstray.sites.routing import RETRY_SEND_WINDOW_US

            settings = {**settings, "CrossingAhead": RETRY_SEND_WINDOW_US / 1000}
        self._make_pipeline(settings)
        self._make_listener(settings, descriptors)
        has_optional_part = any(part is not None for part in (sites, fleet, folder, store))
        self.worker = self._make_worker() if has_optional_part else None
        self.links = self._make_links(sites) if sites else None
        self.fleet_member = self._make_fleet_member(fleet, settings) if fleet else None
        self._make_watch(coordinator, last_event_index)
        self.membership = self._make_membership(name, folder, settings) if folder is not None else None
        self.membership_jobs: MembershipJobs | None = None
        if self.membership is not None:
            self.membership_jobs = self._make_membership_jobs(self.membership)
        self.idempotency = self._make_idempotency(name, store, settings) if store else None

    def _make_watch(self, coordinator: str | None, last_event_index: int) -> None:
        self.endpoint_updates = EndpointUpdates(self.clock, self.router, self.controller)
        self.watch = EndpointWatch(
            coordinator,
            last_event_index,
            self.endpoint_updates.on_event,
            self.counters,
            self.log,
            self.controller.random,
        )

    def _make_pipeline(self, settings: Mapping[str, Any]) -> None:
        self.accounting = RequestAccounting(self.counters, self.memory)
        self.responses = ResponseHandler(self.clock, self.counters, self.accounting)
        self.dispatcher = Dispatcher(self.clock, self.timers, self.counters, self.responses)
        self.router = Router(self._make_pool, self.dispatcher)
        port = PipelinePolicyPort(
            self.router, self.dispatcher, self.accounting, self.timers, self.counters, self.log
        )
        self.controller = PolicyController(port, parse_settings(settings), self._seed, self.clock.now())
        self.admission = Admission(self.accounting)
        self.responses.controller = self.controller
        self.admission.controller = self.controller
        self.ingress = Ingress(settings, self.controller.request_classes, self.clock, self.admission)

    def _make_listener(self, settings: Mapping[str, Any], descriptors: int) -> None:
        request_class_names = frozenset(service["Name"] for service in settings.get("Services", []))
        plan = DescriptorPlan(descriptors)
        self._engine_quota = plan.engine_quota
        self.listener = Listener(
            request_class_names,
            self.ingress,
            lambda: min(plan.max_clients(), self.memory.max_connections()),
            plan.idle_close_threshold,
            self.clock.now,
            self.counters,
            self.log,
            self.memory,
        )
        limits = settings.get("Limits", {})
        if limits.get("RetryAfter"):
            retry_after_ms = min(_SHED_RETRY_AFTER_MS, limits.get("MaxRetryAfter", 0))
            self.listener.shed_retry_after_us = int(retry_after_ms * 1000)

    def _on_timer_fault(self, error: Exception) -> None:
        log_fault("a timer callback", error, self.counters, self.log)

    def _make_pool(self, label: str, address: tuple[str, int]) -> SocketConnectionPool:
        return SocketConnectionPool(
            label,
            address,
            self.settings,
            self._engine_quota,
            self.tasks,
            self.timers,
            self.clock.now,
            self.counters,
            self.log,
        )

    def _process_seed(self) -> str:
        # The clock makes the seed differ between two starts that the operator gave the same seed.
        return f"{self._seed}{self.clock.now()}"

    def _require_worker(self) -> Worker:
        assert self.worker is not None, "the worker is created with the first optional part"
        return self.worker

    def _make_worker(self) -> Worker:
        from cresstray.background import schedule, worker

        random_fraction = random.Random(self._process_seed()).random
        return worker.Worker(
            schedule.Schedule(random_fraction, worker.TICK_US, worker.BUDGET_US),
            self.timers,
            self.clock,
            self.counters,
            self.log,
        )

    def _make_links(self, sites: Halls) -> SiteLinkManager:
        from cresstray.pipeline.forwarding import Forwarder
        from cresstray.sites.links import SiteLinkManager

        forwarder = self.router.forwarder = Forwarder(
            self.clock, self.timers, self.counters, self.responses, self.dispatcher
        )
        # The clock makes the incarnation differ between two starts that the operator gave the same seed.
        incarnation = f"{self._seed & 0xFFFFFFFF:08x}{self.clock.now():014x}"
        links = SiteLinkManager(
            sites,
            incarnation,
            self.controller.settings.can_cancel,
            self._seed,
            self.ingress,
            forwarder,
            lambda: self.controller.spare_capacity(self.clock.now()),
            self.clock,
            self.timers,
            self.counters,
            self.log,
            self._require_worker(),
        )
        self.admission.forwarding_quota = links.quota
        return links

    def _make_fleet_member(self, fleet: Fleet, settings: Mapping[str, Any]) -> FleetMember:
        from cresstray.gateway.fleet_member import FleetMember

        return FleetMember(
            fleet,
            settings,
            self._seed,
            self.clock,
            self.controller,
            self.router,
            self.responses,
            self.ingress,
            self.timers,
            self._require_worker(),
            self.counters,
            self.log,
        )

    def _make_membership(self, name: str, folder: str, settings: Mapping[str, Any]) -> Membership:
        from cresstray.membership.guard import AdmissionGuard
        from cresstray.membership.recovery import Membership
        from cresstray.membership.snapshot_files import SnapshotFolder, SnapshotWriter, read_clocks

        now_us = self.clock.now()
        files = SnapshotFolder(folder, name)
        # The folder is locked now rather than at the first write: until then an operator's `forget` command
        # would find it unlocked and could change it. If the preceding process still holds the lock, the lock
        # is tried again later; a failing disk is reported by the first write.
        with contextlib.suppress(OSError):
            files.lock()
        membership = Membership(
            SnapshotWriter(files),
            settings,
            self.controller,
            random.Random(f"{self._seed}{now_us}").random,
            self.counters,
            lambda text: self.log.log("membership", text),
            read_clocks,
            now_us,
        )
        self.controller.admission_rules = AdmissionGuard(membership, self.controller)
        self.admission.membership = membership
        self.responses.membership = membership
        self.endpoint_updates.membership = membership
        self.watch.accepts_older_list = True
        return membership

    def _make_membership_jobs(self, membership: Membership) -> MembershipJobs:
        from cresstray.gateway.membership_jobs import MembershipJobs

        return MembershipJobs(
            membership, self._require_worker(), self.endpoint_updates, self.ingress, self.clock
        )

    def _make_idempotency(
        self, name: str, store: StoreSettings, settings: Mapping[str, Any]
    ) -> IdempotencyChecks:
        from cresstray.pipeline.idempotency_checks import IdempotencyChecks

        checks = IdempotencyChecks(
            store,
            settings,
            name,
            self._seed,
            self.clock,
            self.timers,
            self.counters,
            self.log,
            self.controller,
            self.accounting,
            self._require_worker(),
        )
        self.admission.idempotency = checks
        self.accounting.idempotency = checks
        self.responses.idempotency = checks
        self.dispatcher.idempotency = checks
        if self.router.forwarder is not None:
            self.router.forwarder.idempotency = checks
        return checks
