"""The parts of a gateway that is a member of a fleet: control-plane client, admission rules, hinted reads.

Imported only where the operator's file names control-plane nodes and this gateway as a member.
"""

from __future__ import annotations

import random
import time
from collections.abc import Callable, Mapping
from typing import Any

from anyio.abc import TaskGroup

from cresstray.background.schedule import Priority
from cresstray.background.worker import Worker
from cresstray.clock import Clock, Timers
from cresstray.config.fleet import Fleet
from cresstray.fleet_config.active_config import ActiveConfig
from cresstray.fleet_config.admission import ConfigAdmissionRules
from cresstray.fleet_config.follower import ConfigFollower
from cresstray.observability.counters import Counters
from cresstray.observability.log import Log
from cresstray.pipeline.ingress import Ingress
from cresstray.pipeline.replica_reads import EngineDirectory, ReplicaReads
from cresstray.pipeline.response import ResponseHandler
from cresstray.pipeline.routing import Router
from cresstray.policy.controller import PolicyController
from cresstray.policy.types import Engine, Request
from cresstray.replicas.positions import PositionTable
from cresstray.replicas.read import HintedReads
from cresstray.replicas.spread import LinkPositionExchange

# Shards whose positions one message to a control-plane node sends or requests. Four messages a second then
# take about a kilobyte, see docs/replicas.md.
_MAX_SHARDS_PER_MESSAGE = 4
# How long a read that no known replica can serve waits for positions from control-plane nodes: some round
# trips within a site.
_POSITIONS_TIMEOUT_US = 30_000
# Added to that timeout, so that the nodes' answer arrives before the policy checks the waiting read.
_POSITIONS_MARGIN_US = 1_000
# Pause before a request for positions that came too soon after the previous one is sent again.
_POSITIONS_RETRY_US = 5_000


class FleetAdmissionRules:
    """Applies the fleet's rules by the current time of this process's clock, not by the time of an event."""

    def __init__(
        self,
        admission: ConfigAdmissionRules,
        reads: HintedReads,
        now_us: Callable[[], int],
        request_positions: Callable[[], None],
    ) -> None:
        self._admission = admission
        self._reads = reads
        self._now_us = now_us
        self._request_positions = request_positions
        self._decision_start_us = 0  # when the current decision started

    def gateway_count(self, now_us: int) -> int:
        """Returns how many gateways share the engines; starts a decision."""
        # The clock is read again: the caller's `now_us` is outdated if the process was stopped in between.
        self._decision_start_us = self._now_us()
        return self._admission.gateway_count(self._decision_start_us)

    def admits(self, request: Request, now_us: int) -> bool:
        """Returns whether the request may be admitted; starts a decision."""
        self._decision_start_us = self._now_us()
        return self._admission.admits(request, self._decision_start_us)

    def allows(self, request: Request, engine: Engine, now_us: int) -> bool:
        """Returns whether the request may be sent to the engine, at the time when the decision started."""
        is_allowed = self._admission.allows(request, engine, self._decision_start_us)
        if self._reads.needs_urgent_request:
            self._reads.needs_urgent_request = False
            self._request_positions()
        return is_allowed

    def still_allows(self, request: Request, engine: Engine, now_us: int) -> bool:
        """Returns whether an attempt that has waited for its connection may be sent to this engine now."""
        return self._admission.still_allows(request, engine, self._now_us())

    def retry_budget_scale(self, request: Request, now_us: int) -> float:
        """Returns the factor by which the fleet scales the retry budget at present."""
        return self._admission.retry_budget_scale(request, self._now_us())


class _PositionExchange(LinkPositionExchange):
    """Exchanges replica positions on one link; calls back if reads were waiting for the received ones."""

    def __init__(
        self, table: PositionTable, reads: HintedReads, on_awaited_positions: Callable[[], None]
    ) -> None:
        super().__init__(
            table,
            _MAX_SHARDS_PER_MESSAGE,
            lambda now_us: reads.wanted_shards(now_us)[:_MAX_SHARDS_PER_MESSAGE],
            lambda now_us: reads.max_ages_ms(now_us, _MAX_SHARDS_PER_MESSAGE),
        )
        self._reads = reads
        self._on_awaited_positions = on_awaited_positions

    def on_message(self, body: bytes, now_us: int) -> None:
        super().on_message(body, now_us)
        if self._reads.is_waiting(now_us):
            self._on_awaited_positions()


class FleetMember:
    """Joins one gateway to its fleet: the fleet's rules to the policy, hinted reads to the pipeline.

    Attributes:
        active_config: the fleet configuration in force.
        directory: the engines that replicas lie on.
        follower: the client of the control-plane nodes.
    """

    def __init__(
        self,
        config: Fleet,
        settings: Mapping[str, Any],
        seed: int,
        clock: Clock,
        controller: PolicyController,
        router: Router,
        responses: ResponseHandler,
        ingress: Ingress,
        timers: Timers,
        worker: Worker,
        counters: Counters,
        log: Log,
    ) -> None:
        self._config = config
        self._timers = timers
        self._controller = controller
        self._worker = worker
        # The clock makes the incarnation differ between two starts that the operator gave the same seed.
        incarnation = f"{seed & 0xFFFFFFFF:08x}{clock.now():014x}"
        random_fraction = random.Random(seed).random
        self.active_config = self._make_active_config(incarnation)
        self.directory = EngineDirectory(settings.get("Localities", []))
        table = PositionTable(lambda text: log.log("replicas", text), config.drift)
        self._reads = self._make_reads(table, counters, random_fraction)
        self._is_retry_scheduled = False  # of a request for positions
        admission = self._make_admission(settings, counters)
        self.follower = self._make_follower(table, clock, counters, random_fraction)
        rules = FleetAdmissionRules(admission, self._reads, clock.now, self._request_positions)
        controller.admission_rules = rules
        replica_reads = ReplicaReads(self._reads, self.directory)
        router.replica_reads = replica_reads
        responses.replica_reads = replica_reads
        ingress.replica_reads = replica_reads

    def _make_follower(
        self, table: PositionTable, clock: Clock, counters: Counters, random_fraction: Callable[[], float]
    ) -> ConfigFollower:
        return ConfigFollower(
            self._config,
            self._config.member,
            self.active_config,
            random_fraction,
            clock.now,
            counters,
            lambda: _PositionExchange(table, self._reads, self._schedule_dispatch),
            self._on_link_changed,
        )

    def _make_reads(
        self, table: PositionTable, counters: Counters, random_fraction: Callable[[], float]
    ) -> HintedReads:
        directory = self.directory
        return HintedReads(
            table,
            self.active_config,
            counters,
            random_fraction,
            directory.cores,
            directory.zone_of,
            directory.is_full,
            time.time,
        )

    def _make_active_config(self, incarnation: str) -> ActiveConfig:
        config = self._config
        return ActiveConfig(
            config.member,
            config.lease,
            config.floor_lease,
            config.drift,
            config.most,
            requires_list=True,
            incarnation=incarnation,
        )

    def _make_admission(self, settings: Mapping[str, Any], counters: Counters) -> ConfigAdmissionRules:
        return ConfigAdmissionRules(
            self.active_config,
            [tenant["Name"] for tenant in settings.get("Tenants", [])],
            [service.get("Name", "") for service in settings.get("Services", [])],
            lambda engine: self.directory.ids.get(engine, ""),
            counters,
        )

    def _on_link_changed(self, is_linked: bool) -> None:
        self._reads.positions_timeout_us = _POSITIONS_TIMEOUT_US if is_linked else 0

    def _request_positions(self) -> None:
        """Requests positions from a control-plane node at once, for a read that waits for them only."""
        self._send_positions_request()
        # Dispatches the read when the wait ends, rather than with the policy's next sweep.
        self._timers.call_after(_POSITIONS_TIMEOUT_US + _POSITIONS_MARGIN_US, self._dispatch_queued)

    def _send_positions_request(self) -> None:
        self.follower.request_positions()
        # A request too soon after another is not sent. It is retried unless no node is connected.
        if (
            self._reads.has_unsent_requests()
            and self._reads.positions_timeout_us
            and not self._is_retry_scheduled
        ):
            self._is_retry_scheduled = True
            self._timers.call_after(_POSITIONS_RETRY_US, self._retry_positions_request)

    def _retry_positions_request(self, now_us: int) -> None:
        self._is_retry_scheduled = False
        if self._reads.has_unsent_requests():
            self._send_positions_request()

    def _schedule_dispatch(self) -> None:
        self._timers.call_after(0, self._dispatch_queued)

    def _dispatch_queued(self, now_us: int) -> None:
        """Makes the policy dispatch from its queue, by an update that changes no endpoint."""
        self._controller.on_endpoints_updated((), False, now_us)

    def start(self, tasks: TaskGroup) -> None:
        """Starts the connections to control-plane nodes."""
        # A gateway that no configuration document lists would send in addition to all listed ones. Reachable
        # nodes say so in a lease; if none is reachable, the gateway serves with the smallest quota there is.
        fallback = self._worker.add_job(
            "fallback quota", Priority.SAFETY, 0, lambda now_us: self.active_config.stop_waiting_for_list()
        )
        self._worker.wake_after(fallback, self._config.lease)
        tasks.start_soon(self.follower.run, tasks)
