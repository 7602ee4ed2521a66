"""The membership of one gateway: recovery from a snapshot; joins the estimate, probes and snapshots."""

from __future__ import annotations

import time
from collections import deque
from collections.abc import Callable, Mapping, Sequence
from functools import partial
from typing import Any

from anyio.abc import TaskGroup

from cresstray.discovery.endpoint_list import Endpoint, EndpointEvent
from cresstray.membership import inspection
from cresstray.membership.background_writer import WriteSchedule
from cresstray.membership.confidence import HANDOVER_VALIDITY_US, UNKNOWN_AGE_US, ClockReading, age_us
from cresstray.membership.connection_probe import probe_connection
from cresstray.membership.estimate import MembershipEstimate
from cresstray.membership.estimate_states import ContactResult, EstimateState, EvidenceSource
from cresstray.membership.learned_state import collect_latencies, collect_limits, restore_latencies
from cresstray.membership.listed_engines import ListedEngines
from cresstray.membership.persistence import SnapshotPersistence
from cresstray.membership.settings import from_settings
from cresstray.membership.snapshot import Snapshot, newest_entries, to_endpoints
from cresstray.membership.snapshot_builder import SnapshotContent
from cresstray.membership.snapshot_files import ReadResult, SnapshotWriter
from cresstray.observability.counters import Counters
from cresstray.policy.controller import PolicyController
from cresstray.policy.types import Attempt, EndpointState, Engine, Outcome, Request

# The evidence that the outcome of an attempt gives of its endpoint. A failed request was run, so the engine
# is there. A malformed answer may be another service's, which may have the address for a moment only.
_CONTACT_BY_OUTCOME = {
    Outcome.SUCCEEDED: ContactResult.SERVED,
    Outcome.OVERLOADED: ContactResult.SERVED,
    Outcome.FAILED: ContactResult.SERVED,
    Outcome.UNREACHABLE: ContactResult.REFUSED,
    Outcome.TIMED_OUT: ContactResult.TIMED_OUT,
    Outcome.CONNECTION_LOST: ContactResult.TIMED_OUT,
    Outcome.PROTOCOL_ERROR: ContactResult.TIMED_OUT,
}
# The connections started in one turn of the event loop, and the cost of each: together the budget of a tick.
MAX_PROBES_AT_ONCE = 2
PROBE_COST_US = 100
# The endpoints listed in one turn, which take router and controller a quarter of a millisecond.
MAX_LISTED_AT_ONCE = 8


class Membership:
    """One gateway's endpoint list across restarts. Times are microseconds of the controller's clock.

    Attributes:
        estimate: The state of each endpoint.
        recovered_request_names: The request names that a predecessor had in use a few seconds ago, for the
            gateway to take once.
    """

    def __init__(
        self,
        writer: SnapshotWriter,
        settings: Mapping[str, Any],
        controller: PolicyController,
        chance: Callable[[], float],
        counters: Counters,
        log_line: Callable[[str], None],
        read_clocks: Callable[[], ClockReading],
        now_us: int,
    ) -> None:
        """Recovers nothing yet; `recover` does.

        Args:
            writer: Writes the snapshots, and has the folder to recover from.
            settings: The settings of the gateway.
            controller: The policy controller of the gateway.
            chance: Returns a random number in [0, 1).
            counters: Counts probes, states, rejected requests and snapshots.
            log_line: Logs a line for operators.
            read_clocks: Returns the present time by all clocks.
            now_us: The present time.
        """
        self._settings = from_settings(settings)
        self._folder = writer.folder
        self._controller = controller
        self._counters = counters
        self._log_line = log_line
        self._read_clocks = read_clocks
        self.estimate = MembershipEstimate(
            self._settings.drain_grace_us, self._settings.max_retry_after_us, chance, now_us
        )
        self._persistence = SnapshotPersistence(
            writer, WriteSchedule(chance, now_us), counters, log_line, self.snapshot_builder
        )
        self._listed_engines = ListedEngines(chance, now_us)
        # The endpoints to be listed, or to be taken off the list, by id.
        self._pending: dict[int, Endpoint] = {}
        self._queued_probes: deque[Endpoint] = deque()
        self._applied_serial = 0
        self._watch_frame_count = 0
        self.recovered_request_names: list[str] = []

    # Recovery at the start, and from the last snapshot of a predecessor that is shutting down.

    def recover(self, now_us: int) -> None:
        """Applies the newest snapshot of the folder."""
        self._apply_snapshot(self._folder.read(), now_us)

    def _apply_snapshot(self, found: ReadResult, now_us: int) -> None:
        for line in found.skipped_lines:
            self._counters.add("membership: snapshot files skipped")
            self._log_line(line)
        snapshot = found.snapshot
        if snapshot is None or found.serial <= self._applied_serial:
            return
        self._applied_serial = found.serial
        now = self._read_clocks()
        snapshot_age_us = age_us(snapshot.written_at, now)
        remembered = [
            (endpoint, min(UNKNOWN_AGE_US, snapshot_age_us + entry_age_us))
            for endpoint, entry_age_us in to_endpoints(
                snapshot, self._settings.zones, self._settings.instance_types
            )
        ]
        is_handed_over = _is_fresh_handover(snapshot, snapshot_age_us, now)
        changed = self.estimate.merge_remembered(
            remembered, snapshot.index, snapshot.tombstones, EvidenceSource.DISK, now_us, is_handed_over
        )
        self._add_pending(changed)
        self._listed_engines.remember_limits(snapshot.limits, snapshot_age_us)
        restored_count = restore_latencies(
            self._controller, self._settings.request_class_names, snapshot.latencies, snapshot_age_us
        )
        self.recovered_request_names = snapshot.request_names if is_handed_over else []
        self._log_line(_recovery_line(len(remembered), restored_count, snapshot_age_us, is_handed_over))

    # Events of discovery.

    def on_endpoint_event(self, event: EndpointEvent, now_us: int) -> EndpointEvent:
        """Applies an event; returns it as router and controller must apply it."""
        started_before = {
            endpoint.id: estimate.endpoint.started_us
            for endpoint in event.endpoints
            if (estimate := self.estimate.endpoints.get(endpoint.id)) is not None
            and estimate.state in (EstimateState.PROBING, EstimateState.CONFIRMED)
        }
        applied_event = self.estimate.apply_event(event, now_us)
        self._listed_engines.set_same_start(
            {
                endpoint.id
                for endpoint in applied_event.endpoints
                if started_before.get(endpoint.id) == endpoint.started_us
            }
        )
        left_out_count = len(event.endpoints) - len(applied_event.endpoints)
        if left_out_count:
            self._counters.add("membership: outdated endpoints left out", left_out_count)
        for endpoint in applied_event.endpoints:
            self._pending.pop(endpoint.id, None)
        if applied_event.is_complete:
            self._pending.clear()
        self.write_schedule.on_change(now_us)
        return applied_event

    def on_endpoints_listed(self, event: EndpointEvent, engines: Mapping[int, Engine], now_us: int) -> None:
        """Restores limits once the controller has applied `event`; `engines` are the router's, by id."""
        self._listed_engines.on_listed(event, engines, self._is_registered, now_us)

    def _is_registered(self, endpoint_id: int) -> bool:
        return self.estimate.state_of(endpoint_id) is EstimateState.REGISTERED

    def take_changes(self, now_us: int, limit: int | None = None) -> EndpointEvent | None:
        """Returns the endpoints whose listing is to change now, if any; called ten times a second.

        Args:
            now_us: The present time.
            limit: The maximum number of endpoints other than removed ones; the rest waits for the next call.
        """
        frame_count = self._counters.counts["coordinator frames"]
        if frame_count != self._watch_frame_count:
            self._watch_frame_count = frame_count
            self.estimate.on_watch_frame(now_us)
        settled_event = self.estimate.settle_index(now_us)
        if settled_event is not None:
            self._log_line(
                "discovery keeps to a smaller index than the snapshot: endpoints it has not named are removed"
            )
            self._add_pending(settled_event.endpoints)
            self.write_schedule.on_change(now_us)
        endpoints = list(self._pending.values())
        if limit is not None and len(endpoints) > limit:
            # Removed endpoints must not wait behind others.
            removed = [endpoint for endpoint in endpoints if endpoint.state is EndpointState.REMOVED]
            others = [endpoint for endpoint in endpoints if endpoint.state is not EndpointState.REMOVED]
            endpoints = removed + others[:limit]
        for endpoint in endpoints:
            del self._pending[endpoint.id]
        return EndpointEvent(0, False, endpoints) if endpoints else None

    @property
    def has_changes(self) -> bool:
        """Whether the listing of any endpoint is still to change."""
        return bool(self._pending)

    def _add_pending(self, endpoints: Sequence[Endpoint]) -> None:
        self._pending.update((endpoint.id, endpoint) for endpoint in endpoints)

    # Requests and their attempts.

    def on_attempt_finished(self, attempt: Attempt, outcome: Outcome, now_us: int) -> None:
        """Applies the outcome of an attempt as evidence, unless discovery has named the endpoint."""
        endpoint_id = self._listed_engines.id_of(attempt.engine)
        result = _CONTACT_BY_OUTCOME.get(outcome)
        if endpoint_id is not None and result is not None and not self._is_registered(endpoint_id):
            self._on_contact(endpoint_id, result, now_us)

    def _on_contact(self, endpoint_id: int, result: ContactResult, now_us: int) -> None:
        state_before = self.estimate.state_of(endpoint_id)
        self._add_pending(self.estimate.on_contact(endpoint_id, result, now_us))
        state_after = self.estimate.state_of(endpoint_id)
        if state_before is not state_after and state_after is not None:
            self._counters.add(f"membership: endpoints {state_after.value}")
            self.write_schedule.on_change(now_us)

    def retry_after_us(self, request: Request, now_us: int) -> int | None:
        """Returns after how long the client should retry if no endpoint is proven enough; else None."""
        request_class = request.request_class
        can_repeat = request_class.is_idempotent or request_class.is_deduplicated
        delay_us = self.estimate.retry_after_us(can_repeat, now_us)
        if delay_us is not None:
            self._counters.add("membership: requests rejected")
        return delay_us

    def is_unproven(self, engine: Engine) -> bool:
        """Returns whether neither discovery nor a served request vouches for the engine."""
        endpoint_id = self._listed_engines.id_of(engine)
        if endpoint_id is None:
            # While the controller applies an event it may send queued requests, before `on_endpoints_listed`.
            return engine.forwarding is None
        # A failed attempt makes the endpoint unreachable, and the controller may send to it until it is told.
        return self.estimate.state_of(endpoint_id) not in (EstimateState.REGISTERED, EstimateState.CONFIRMED)

    # Probes.

    def queue_due_probes(self, now_us: int) -> bool:
        """Queues the probes of one round for `start_probes`; returns whether any probe is queued."""
        for endpoint in self.estimate.start_due_probes(now_us):
            self._counters.add("membership: probes")
            self._queued_probes.append(endpoint)
        return bool(self._queued_probes)

    def start_probes(self, tasks: TaskGroup, clock: Callable[[], int]) -> int:
        """Starts some of the queued probes, each in a task; returns the number of started probes."""
        started_count = min(MAX_PROBES_AT_ONCE, len(self._queued_probes))
        for _ in range(started_count):
            tasks.start_soon(self._probe, self._queued_probes.popleft(), clock)
        return started_count

    async def _probe(self, endpoint: Endpoint, clock: Callable[[], int]) -> None:
        result = await probe_connection(endpoint.host, endpoint.port, self._settings.probe_timeout_us)
        estimate = self.estimate.endpoints.get(endpoint.id)
        # Discovery may have named the endpoint at another address meanwhile.
        if estimate is not None and (estimate.endpoint.host, estimate.endpoint.port) == (
            endpoint.host,
            endpoint.port,
        ):
            self._on_contact(endpoint.id, result, clock())

    # Operators.

    def forget(self, endpoint_id: int, now_us: int) -> bool:
        """Removes an endpoint at an operator's request; returns False if it is registered or unknown."""
        state = self.estimate.state_of(endpoint_id)
        if state in (None, EstimateState.REGISTERED, EstimateState.REMOVED):
            return False
        self._add_pending(self.estimate.forget(endpoint_id, now_us))
        self.write_schedule.on_change(now_us)
        return True

    def status(self, now_us: int) -> list[dict[str, Any]]:
        """Returns the report of `inspection.status`."""
        return inspection.status(self.estimate, now_us)

    # Snapshots, and the handover to a successor.

    @property
    def write_schedule(self) -> WriteSchedule:
        """Decides when the next snapshot is due."""
        return self._persistence.schedule

    def step(self, now_us: int) -> EndpointEvent | None:
        """Calls `take_changes` without a limit, and `write_snapshots`."""
        event = self.take_changes(now_us)
        self.write_snapshots(now_us)
        return event

    def write_snapshots(self, now_us: int) -> None:
        """Handles finished writes and starts due ones.

        Called ten times a second, and more often while the last write is running.
        """
        newer = self._persistence.poll(now_us)
        if newer is not None:
            self._apply_snapshot(newer, now_us)
            self.write_schedule.on_change(now_us)
        self._persistence.start_due_write(now_us, self._applied_serial)

    def snapshot_builder(
        self, now_us: int, request_names: Sequence[str] = (), is_handed_over: bool = False
    ) -> Callable[[], Snapshot]:
        """Collects the present state; returns a function that builds the snapshot, in any thread."""
        tombstones, names = newest_entries(self.estimate.tombstones.unexpired(now_us), list(request_names))
        content = SnapshotContent(
            owner=self._folder.owner,
            written_at=self._read_clocks(),
            now_us=now_us,
            discovery_index=self.estimate.index_tracker.highest,
            is_handed_over=is_handed_over,
            zones=self._settings.zones,
            instance_types=self._settings.instance_types,
            evidence=self.estimate.evidence(now_us),
            tombstones=tombstones,
            latencies=collect_latencies(self._controller, self._settings.request_class_names),
            limits=collect_limits(self._listed_engines.by_id, self.estimate.endpoints),
            request_names=names,
        )
        return partial(content.build, time.sleep)

    def hand_over(self, request_names: Sequence[str], now_us: int) -> None:
        """Starts the last write, for the successor, once no more requests are sent.

        `write_snapshots` must be called until `is_handover_complete`, or until the shutdown's time is up.

        Args:
            request_names: The request names that were in use lately.
            now_us: The present time.
        """
        self._persistence.hand_over(request_names)
        self.write_snapshots(now_us)

    @property
    def is_handing_over(self) -> bool:
        """Whether the last write has been requested."""
        return self._persistence.is_handing_over

    @property
    def is_handover_complete(self) -> bool:
        """Whether the last write has ended."""
        return self._persistence.is_complete

    def close(self) -> None:
        """Releases the folder for the successor, unless a write is still running."""
        self._persistence.close()


def _is_fresh_handover(snapshot: Snapshot, snapshot_age_us: int, now: ClockReading) -> bool:
    # An age of a few seconds is certain only by the uptime, which cannot be set, and so within one boot.
    is_same_boot = snapshot.boot_id == now.boot_id and now.boot_id != ""
    return snapshot.is_handed_over and is_same_boot and snapshot_age_us < HANDOVER_VALIDITY_US


def _recovery_line(
    endpoint_count: int, request_class_count: int, snapshot_age_us: int, is_handed_over: bool
) -> str:
    is_age_known = snapshot_age_us < UNKNOWN_AGE_US
    age_text = f"{snapshot_age_us / 1e6:.0f} s old" if is_age_known else "of unknown age"
    handover_text = ", handed over" if is_handed_over else ""
    return (
        f"recovered {endpoint_count} endpoints and {request_class_count} request classes"
        f" from a snapshot, {age_text}{handover_text}"
    )
