"""What a gateway has as a member of a fleet: its control-plane client, admission rules and hinted reads.

Loaded only where the operator's file names control-plane nodes and this gateway as a member.
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
from cresstray.replicas.positions import Board
from cresstray.replicas.read import Reads
from cresstray.replicas.spread import Talk

# Shards in one message to a control-plane node, sent and requested: four times a second some kilobyte, as
# docs/replicas.md has measured.
_MAX_SHARDS_PER_MESSAGE = 4
# A read that no known replica can serve waits so long for what control-plane nodes know: some round trips
# within a site.
_POSITIONS_TIMEOUT_US = 30_000
# Added to that wait, so that the nodes' answer comes before the read is looked at.
_POSITIONS_MARGIN_US = 1_000
# A question that follows the one before it too soon is asked again so much later.
_ASK_AGAIN_US = 5_000


class FleetAdmissionRules:
    """The fleet's rules at the moment of acting: by this process's clock, not by when an event was read."""

    def __init__(
        self,
        admission: ConfigAdmissionRules,
        reads: Reads,
        now: Callable[[], int],
        request_positions: Callable[[], None],
    ) -> None:
        self._admission = admission
        self._reads = reads
        self._now = now
        self._request_positions = request_positions
        self._decision_us = 0  # when the current decision was begun

    def gateway_count(self, now: int) -> int:
        """Returns how many gateways share the engines; begins a decision."""
        # Read anew: a process that was stopped in the middle of a turn still holds the time from before.
        self._decision_us = self._now()
        return self._admission.gateway_count(self._decision_us)

    def admits(self, request: Request, now: int) -> bool:
        """Whether the request may be admitted; begins a decision."""
        self._decision_us = self._now()
        return self._admission.admits(request, self._decision_us)

    def allows(self, request: Request, engine: Engine, now: int) -> bool:
        """Whether the request may be sent to the engine, by the time at which the decision was begun."""
        is_allowed = self._admission.allows(request, engine, self._decision_us)
        if self._reads.urgent:
            self._reads.urgent = False
            self._request_positions()
        return is_allowed

    def retry_budget_scale(self, request: Request, now: int) -> float:
        """Returns by how much the fleet scales the retry budget now."""
        return self._admission.retry_budget_scale(request, self._now())


class _PositionExchange(Talk):
    """Exchanges replica positions on one link; has reads that wait for positions looked at as they come."""

    def __init__(self, board: Board, reads: Reads, on_awaited_positions: Callable[[], None]) -> None:
        super().__init__(
            board,
            _MAX_SHARDS_PER_MESSAGE,
            lambda now: reads.wanted(now)[:_MAX_SHARDS_PER_MESSAGE],
            lambda now: reads.needs(now, _MAX_SHARDS_PER_MESSAGE),
        )
        self._reads = reads
        self._on_awaited_positions = on_awaited_positions

    def on_message(self, body: bytes, now: int) -> None:
        super().on_message(body, now)
        if self._reads.waits(now):
            self._on_awaited_positions()


class FleetMember:
    """Joins one gateway to its fleet: the fleet's rules to the policy, and hinted reads to the stages."""

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
        # Seeds are new with each start; the clock parts two starts that an operator gave the same seed.
        incarnation = f"{seed & 0xFFFFFFFF:08x}{clock.now():014x}"
        chance = random.Random(seed).random
        self.active_config = self._make_active_config(incarnation)
        self.directory = EngineDirectory(settings.get("Localities", []))
        board = Board(lambda text: log.log("replicas", text), config.drift)
        self._reads = self._make_reads(board, counters, chance)
        self._is_asking_again = False
        admission = self._make_admission(settings, counters)
        self.follower = self._make_follower(board, clock, counters, chance)
        rules = FleetAdmissionRules(admission, self._reads, clock.now, self._request_positions)
        controller.admission_rules = rules
        replica_reads = ReplicaReads(self._reads, self.directory)
        router.replica_reads = replica_reads
        responses.replica_reads = replica_reads
        ingress.replica_reads = replica_reads

    def _make_follower(
        self, board: Board, clock: Clock, counters: Counters, chance: Callable[[], float]
    ) -> ConfigFollower:
        return ConfigFollower(
            self._config,
            self._config.member,
            self.active_config,
            chance,
            clock.now,
            counters,
            lambda: _PositionExchange(board, self._reads, self._look_soon),
            self._on_link_changed,
        )

    def _make_reads(self, board: Board, counters: Counters, chance: Callable[[], float]) -> Reads:
        directory = self.directory
        return Reads(
            board,
            self.active_config,
            counters,
            chance,
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
        self._reads.patience = _POSITIONS_TIMEOUT_US if is_linked else 0

    def _request_positions(self) -> None:
        """Asks a node for positions at once, for a read that waits for no more than its answer."""
        self._ask_now()
        # The read is looked at then, and not with the policy's next sweep only.
        self._timers.call_after(_POSITIONS_TIMEOUT_US + _POSITIONS_MARGIN_US, self._look)

    def _ask_now(self) -> None:
        self.follower.request_positions()
        # Too soon after another question: asked again, unless there is no node to hear it.
        if self._reads.untold() and self._reads.patience and not self._is_asking_again:
            self._is_asking_again = True
            self._timers.call_after(_ASK_AGAIN_US, self._ask_again)

    def _ask_again(self, now: int) -> None:
        self._is_asking_again = False
        if self._reads.untold():
            self._ask_now()

    def _look_soon(self) -> None:
        self._timers.call_after(0, self._look)

    def _look(self, now: int) -> None:
        """Has the policy look at its queue."""
        self._controller.on_endpoints_updated((), False, now)

    def start(self, tasks: TaskGroup) -> None:
        """Starts the connections to control-plane nodes."""
        # A gateway that no document names would send beside all that are named. Nodes within reach say so
        # in a lease; where there are none, service goes on with the smallest quota there is.
        fallback = self._worker.does(
            "fallback quota", Priority.SAFETY, 0, lambda now: self.active_config.stop_waiting_for_list()
        )
        self._worker.later(fallback, self._config.lease)
        tasks.start_soon(self.follower.run, tasks)
