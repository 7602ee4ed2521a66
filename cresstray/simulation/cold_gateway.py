"""A simulated gateway: the real policy, router, membership estimate and admission guard, without sockets."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from random import Random
from typing import Any, Protocol, cast

from cresstray.discovery.endpoint_list import Endpoint, EndpointEvent
from cresstray.membership.estimate import MembershipEstimate
from cresstray.membership.estimate_states import ContactResult, EstimateState, EvidenceSource
from cresstray.membership.guard import AdmissionGuard
from cresstray.membership.learned_state import delay_first_turn, restore_latencies
from cresstray.membership.reconciliation import Tombstone
from cresstray.membership.snapshot import LatencyEntry
from cresstray.pipeline.routing import Router
from cresstray.policy.controller import PolicyController
from cresstray.policy.settings import parse_settings, to_microseconds
from cresstray.policy.types import Attempt, EndpointState, Engine, Outcome, Request
from cresstray.simulation.cold_engine import AddressOnly, EngineWorld, Job, SimulatedEngine
from cresstray.simulation.cold_workload import (
    DRAIN_GRACE_US,
    MAX_ATTEMPTS,
    MAX_RETRY_AFTER_US,
    MILLISECOND_US,
    REQUEST_CLASSES,
    SECOND_US,
    make_settings,
)

# The index of discovery when the snapshot was written.
SNAPSHOT_INDEX = 5_000
_STEP_US = 100 * MILLISECOND_US
# What the outcome of an attempt says of its endpoint, as cresstray.membership.recovery has it.
_CONTACT_BY_OUTCOME = {
    Outcome.SUCCEEDED: ContactResult.SERVED,
    Outcome.UNREACHABLE: ContactResult.REFUSED,
    Outcome.TIMED_OUT: ContactResult.TIMED_OUT,
    Outcome.CONNECTION_LOST: ContactResult.TIMED_OUT,
    Outcome.PROTOCOL_ERROR: ContactResult.TIMED_OUT,
}


class GatewayWorld(EngineWorld, Protocol):
    """What a gateway needs of the simulation."""

    seed: int
    gateway_count: int
    is_discovery_up: bool
    known_removed: int
    strangers: int

    def listener_at(self, address: tuple[str, int]) -> SimulatedEngine | str | None:
        """Returns what listens at an address: an engine, a stranger's name, or nothing."""

    def on_succeeded(self, request: Request) -> None:
        """Counts a request that was answered."""


class SimulatedGateway:
    """The port of the policy controller and, with a snapshot, what joins it to the membership estimate.

    Attributes:
        router: The real one, with addresses in place of connections.
    """

    def __init__(self, world: GatewayWorld, number: int, has_snapshot: bool) -> None:
        self._world = world
        # Seconds of work of each request that is not finished.
        self._work_s: dict[Request, float] = {}
        self._chance = Random(f"{world.seed} gateway {number}").random
        self._controller = PolicyController(
            self, parse_settings(make_settings(world.gateway_count)), world.seed * 1000 + number, world.now
        )
        # The router is typed for connections; addresses have what it calls.
        make_pool = cast(Any, lambda label, address: AddressOnly(address))
        self.router = Router(make_pool, cast(Any, self))
        self._estimate: MembershipEstimate | None = None
        if has_snapshot:
            self._estimate = MembershipEstimate(DRAIN_GRACE_US, MAX_RETRY_AFTER_US, self._chance, world.now)
            self._controller.admission_rules = AdmissionGuard(self, self._controller)
        # Endpoints that discovery has removed, and not named again.
        self._removed: set[int] = set()
        self._id_by_engine: dict[Engine, int] = {}
        self._pending: dict[int, Endpoint] = {}
        self._last_index = 0

    # The endpoint list.

    def recover(
        self,
        remembered: list[tuple[Endpoint, int]],
        tombstones: list[Tombstone],
        latencies: list[LatencyEntry],
        age_us: int,
    ) -> None:
        """Starts from a snapshot; only for a gateway that has one."""
        assert self._estimate is not None, "a gateway without a snapshot"
        self._estimate.merge_remembered(
            remembered, SNAPSHOT_INDEX, tombstones, EvidenceSource.DISK, self._world.now
        )
        self._removed |= {tombstone.id for tombstone in tombstones}
        names = [one.name for one in REQUEST_CLASSES]
        restore_latencies(self._controller, names, latencies, age_us)
        self._world.after(int(_STEP_US * self._chance()), partial(self._step, self._estimate))

    def on_endpoint_event(self, event: EndpointEvent) -> None:
        """Applies an event of discovery."""
        newest_index = max(self._last_index, SNAPSHOT_INDEX if self._estimate is not None else 0)
        is_older = event.index < newest_index
        self._last_index = event.index
        if self._estimate is not None:
            event = self._estimate.apply_event(event, self._world.now)
        if not is_older:
            self._update_removed(event)
        self._apply(event)

    def _update_removed(self, event: EndpointEvent) -> None:
        named = {one.id for one in event.endpoints if one.state is not EndpointState.REMOVED}
        self._removed -= named
        self._removed |= {one.id for one in event.endpoints if one.state is EndpointState.REMOVED}
        if event.is_complete:
            self._removed |= set(self.router.engines) - named

    def _apply(self, event: EndpointEvent) -> None:
        now_us = self._world.now
        states_before = {number: engine.policy_state for number, engine in self.router.engines.items()}
        entries = self.router.apply_event(event)
        # Queued requests may be sent while the controller is told of the event.
        self._id_by_engine = {engine: number for number, engine in self.router.engines.items()}
        self._controller.on_endpoints_updated(entries, event.is_complete, now_us)
        self.router.cancel_unsent(event)
        if self._estimate is None:
            return
        for endpoint in event.endpoints:
            engine = self.router.engines.get(endpoint.id)
            if engine is None or engine.policy_state is states_before.get(endpoint.id):
                continue
            if self.is_unproven(engine):
                delay_first_turn(engine.policy_state, self._chance, now_us)

    def is_unproven(self, engine: Engine) -> bool:
        """Returns whether the engine is listed by a probe only."""
        number = self._id_by_engine.get(engine)
        if number is None or self._estimate is None:
            return False
        return self._estimate.state_of(number) is EstimateState.PROBING

    def _step(self, estimate: MembershipEstimate) -> None:
        world = self._world
        if world.is_discovery_up:
            estimate.on_watch_frame(world.now)
        for endpoint in estimate.start_due_probes(world.now):
            is_listening = world.listener_at((endpoint.host, endpoint.port)) is not None
            result = ContactResult.LISTENING if is_listening else ContactResult.REFUSED
            world.after(2 * world.delay(), partial(self._on_contact, estimate, endpoint.id, result))
        settled = estimate.settle_index(world.now)
        if settled is not None:
            self._pending.update((endpoint.id, endpoint) for endpoint in settled.endpoints)
        endpoints = list(self._pending.values())
        self._pending = {}
        if endpoints:
            self._apply(EndpointEvent(0, False, endpoints))
        world.after(_STEP_US, partial(self._step, estimate))

    def _on_contact(self, estimate: MembershipEstimate, number: int, result: ContactResult) -> None:
        changed = estimate.on_contact(number, result, self._world.now)
        self._pending.update((endpoint.id, endpoint) for endpoint in changed)

    # Requests, and the port of the policy controller.

    def submit(self, class_number: int, work_s: float, estimated_work_s: float) -> None:
        """Takes in a request of a class, unless no endpoint is known well enough."""
        now_us = self._world.now
        request_class = self._controller.request_classes[class_number]
        request = Request(
            request_class,
            now_us,
            now_us + to_microseconds(REQUEST_CLASSES[class_number].deadline_s * 1000),
            estimated_work_us=int(estimated_work_s * SECOND_US),
        )
        if self._estimate is not None:
            if self._estimate.retry_after_us(request_class.is_idempotent, now_us) is not None:
                return
        self._work_s[request] = work_s
        self._controller.accept(request, now_us)

    def send_attempt(self, attempt: Attempt, timeout_us: int) -> None:
        """Routes an attempt."""
        self.router.route(attempt, self._work_s, timeout_us)

    def send(self, attempt: Attempt, work_s: float, pool: AddressOnly, timeout_us: int) -> None:
        """Sends an attempt that the router has found an address for."""
        world = self._world
        world.known_removed += self._id_by_engine[attempt.engine] in self._removed
        world.after(world.delay(), lambda: self._arrive(attempt, work_s, pool.address))
        world.after(timeout_us, partial(self.end, attempt, Outcome.TIMED_OUT))

    def _arrive(self, attempt: Attempt, work_s: float, address: tuple[str, int]) -> None:
        if attempt.outcome is not None:
            return
        world = self._world
        listener = world.listener_at(address)
        if isinstance(listener, SimulatedEngine):
            listener.accept(Job(self, attempt, work_s * SECOND_US, attempt.request.request_class.threads))
            return
        world.strangers += listener is not None
        outcome = Outcome.UNREACHABLE if listener is None else Outcome.PROTOCOL_ERROR
        world.after(world.delay(), partial(self.end, attempt, outcome))

    def end(self, attempt: Attempt, outcome: Outcome) -> None:
        """Takes the outcome of an attempt, unless it has one."""
        if attempt.outcome is not None:
            return
        now_us = self._world.now
        request = attempt.request
        number = self._id_by_engine.get(attempt.engine)
        if outcome in (Outcome.TIMED_OUT, Outcome.CANCELLED) and number is not None:
            listener = self._world.listener_at(self.router._pools[attempt.engine].address)
            if isinstance(listener, SimulatedEngine):
                listener.drop(attempt)
        self._take_evidence(number, outcome)
        has_succeeded = outcome is Outcome.SUCCEEDED
        if has_succeeded and not request.is_finished:
            self._world.on_succeeded(request)
        is_over = request.is_finished or has_succeeded or len(request.attempts) >= MAX_ATTEMPTS
        elapsed_us = now_us - attempt.sent_us
        self._controller.on_attempt_finished(attempt, outcome, elapsed_us, is_over, {}, now_us)
        if request.is_finished or has_succeeded:
            self._work_s.pop(request, None)

    def _take_evidence(self, number: int | None, outcome: Outcome) -> None:
        result = _CONTACT_BY_OUTCOME.get(outcome)
        if self._estimate is None or number is None or result is None:
            return
        if self._estimate.state_of(number) is not EstimateState.REGISTERED:
            self._on_contact(self._estimate, number, result)

    def cancel_attempt(self, attempt: Attempt) -> None:
        """Cancels an attempt."""
        self._world.after(0, partial(self.end, attempt, Outcome.CANCELLED))

    def reject_request(self, request: Request, retry_after_us: int) -> None:
        """Ends a request."""
        self._work_s.pop(request, None)

    def fail_request(self, request: Request) -> None:
        """Ends a request."""
        self._work_s.pop(request, None)

    def call_later(self, delay_us: int, call: Callable[[int], None]) -> None:
        """Calls `call` with the time after a delay."""
        self._world.after(delay_us, lambda: call(self._world.now))

    def assign_resources(self, request: Request, megabytes: float, priority: int) -> None:
        """Does nothing."""

    def probe_engine(self, engine: Engine) -> None:
        """Does nothing."""

    def subscribe_to_endpoints(self) -> None:
        """Does nothing."""

    def log_event(self, text: str) -> None:
        """Does nothing."""
