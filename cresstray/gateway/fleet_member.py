"""What a gateway of a fleet has beside: its follower of the keepers, the module's hook, pinned reads.

Loaded only where the operator's file names keepers and this gateway as a member.
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
from cresstray.config.fleet import Fleet as Given
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

# Shards in a word to a keeper, told and asked for: four times a second some kilobyte, as docs/replicas.md has
# measured.
_MOST_SHARDS = 4
# A read for which no copy is known to do waits so long for what keepers know: some round trips within a site.
_PATIENCE = 30_000
# One that came too soon behind another's word is asked for so much later, until there is a word for it.
_SOON = 5_000


class FleetAdmissionRules:
    """interface.Rules at the moment of acting, by this process's clock and not by when an event was read."""

    def __init__(
        self, admission: ConfigAdmissionRules, reads: Reads, now: Callable[[], int], ask: Callable[[], None]
    ) -> None:
        self._admission, self._reads, self._now, self._ask = admission, reads, now, ask
        self._moment = 0  # of the send or the offer that is being decided

    def gateway_count(self, now: int) -> int:
        # Danger: a process that was frozen in the middle of a turn still holds the time from before.
        self._moment = self._now()
        return self._admission.gateway_count(self._moment)

    def admits(self, request: Request, now: int) -> bool:
        self._moment = self._now()
        return self._admission.admits(request, self._moment)

    def allows(self, request: Request, engine: Engine, now: int) -> bool:
        takes = self._admission.allows(request, engine, self._moment)
        if self._reads.urgent:
            self._reads.urgent = False
            self._ask()
        return takes

    def retry_budget_scale(self, request: Request, now: int) -> float:
        return self._admission.retry_budget_scale(request, self._now())


class _Heard(Talk):
    """What a keeper tells; reads that wait for it are looked at as it comes."""

    def __init__(self, board: Board, reads: Reads, look: Callable[[], None]) -> None:
        super().__init__(
            board,
            _MOST_SHARDS,
            lambda now: reads.wanted(now)[:_MOST_SHARDS],
            lambda now: reads.needs(now, _MOST_SHARDS),
        )
        self._reads, self._look = reads, look

    def hears(self, body: bytes, now: int) -> None:
        super().hears(body, now)
        if self._reads.waits(now):
            self._look()


class FleetMember:
    """One gateway's part in its fleet."""

    def __init__(
        self,
        given: Given,
        settings: Mapping[str, Any],
        seed: int,
        clock: Clock,
        gateway: PolicyController,
        route: Router,
        back: ResponseHandler,
        take_in: Ingress,
        timers: Timers,
        worker: Worker,
        counters: Counters,
        log: Log,
    ) -> None:
        self._timers, self._lease, self._gateway, self._worker = timers, given.lease, gateway, worker
        # Seeds are new with each start; the clock parts two starts that an operator gave the same one.
        life = f"{seed & 0xFFFFFFFF:08x}{clock.now():014x}"
        chance = random.Random(seed).random
        self.use = use = ActiveConfig(
            given.member,
            given.lease,
            given.floor_lease,
            given.drift,
            given.most,
            waits=True,
            incarnation=life,
        )
        self.directory = directory = EngineDirectory(settings.get("Localities", []))
        board = Board(lambda text: log.log("replicas", text), given.drift)
        reads = Reads(
            board, use, counters, chance, directory.cores, directory.zone_of, directory.is_full, time.time
        )
        self._reads, self._asks_again = reads, False
        admission = ConfigAdmissionRules(
            use,
            [tenant["Name"] for tenant in settings.get("Tenants", [])],
            [service.get("Name", "") for service in settings.get("Services", [])],
            lambda engine: directory.ids.get(engine, ""),
            counters,
        )
        self.follower = ConfigFollower(
            given,
            given.member,
            use,
            chance,
            clock.now,
            counters,
            lambda: _Heard(board, reads, lambda: timers.call_after(0, self._look)),
            lambda up: setattr(reads, "patience", _PATIENCE if up else 0),
        )
        gateway.admission_rules = FleetAdmissionRules(admission, reads, clock.now, self._ask)
        route.replica_reads = back.replica_reads = take_in.replica_reads = ReplicaReads(reads, directory)

    def _ask(self) -> None:
        """Keepers are asked for positions at once, for a read that waits for no more than their answer."""
        self._ask_now()
        # What waits is looked at then, and not with the next sweep only.
        self._timers.call_after(_PATIENCE + 1000, self._look)

    def _ask_now(self) -> None:
        self.follower.request_positions()
        # Too soon behind another word: tried again, unless no keeper is there to hear it.
        if self._reads.untold() and self._reads.patience and not self._asks_again:
            self._asks_again = True
            self._timers.call_after(_SOON, self._ask_again)

    def _ask_again(self, now: int) -> None:
        self._asks_again = False
        if self._reads.untold():
            self._ask_now()

    def _look(self, now: int) -> None:
        self._gateway.on_endpoints_updated((), False, now)

    def start(self, tasks: TaskGroup) -> None:
        # Danger: one that no list names would relay beside all that are named. Keepers within reach say so in
        # a lease; where there are none, service goes on, by the smallest share there is.
        floor = self._worker.does("floor", Priority.SAFETY, 0, lambda now: self.use.stop_waiting_for_list())
        self._worker.later(floor, self._lease)
        tasks.start_soon(self.follower.run, tasks)
