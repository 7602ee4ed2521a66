"""Background jobs of a gateway that persists its endpoint list: list updates, probes and snapshot writes.

Imported only where the operator's file names a folder for the snapshots.
"""

from __future__ import annotations

from anyio.abc import TaskGroup

from cresstray.background.schedule import JobResult, Priority
from cresstray.background.worker import Worker
from cresstray.clock import Clock
from cresstray.gateway.endpoint_updates import EndpointUpdates
from cresstray.membership.recovery import MAX_LISTED_AT_ONCE, PROBE_COST_US, Membership
from cresstray.pipeline.ingress import Ingress

# Ten rounds a second probe the largest number of endpoints that may wait for a probe within seconds, see
# docs/membership.md.
_INTERVAL_US = 100_000
# Longest pause after failures of a job: what a round of probes lacked may be available in the next one, and a
# gateway that has no endpoint list yet depends on the probes.
_MAX_RETRY_PAUSE_US = 1_000_000


class MembershipJobs:
    """Runs the jobs of the persisted membership between requests, and a last time as the process ends."""

    def __init__(
        self,
        membership: Membership,
        worker: Worker,
        updates: EndpointUpdates,
        ingress: Ingress,
        clock: Clock,
    ) -> None:
        self._membership = membership
        self._worker = worker
        self._updates = updates
        self._ingress = ingress
        self._clock = clock

    def start(self, tasks: TaskGroup) -> None:
        """Registers the jobs in the order in which they run at the end; `tasks` runs the probes."""
        self._tasks = tasks
        self._remember_request_names()
        self._worker.add_job(
            "endpoint updates", Priority.SAFETY, _INTERVAL_US, self._apply_changes, _MAX_RETRY_PAUSE_US
        )
        self._worker.add_job(
            "probe selection", Priority.SAFETY, _INTERVAL_US, self._queue_due_probes, _MAX_RETRY_PAUSE_US
        )
        self._probe_job = self._worker.add_job(
            "connection probes", Priority.SAFETY, 0, self._start_probes, _MAX_RETRY_PAUSE_US
        )
        self._worker.add_job(
            "membership snapshot", Priority.STATE, _INTERVAL_US, self._write_snapshots, final=self._hand_over
        )

    def _apply_changes(self, now_us: int) -> JobResult:
        event = self._membership.take_changes(now_us, MAX_LISTED_AT_ONCE)
        if event is not None:
            self._updates.apply_filtered(self._membership, event, now_us)
        return JobResult.MORE if self._membership.has_changes else JobResult.DONE

    def _queue_due_probes(self, now_us: int) -> None:
        if self._membership.queue_due_probes(now_us):
            self._worker.wake(self._probe_job)

    def _start_probes(self, now_us: int) -> JobResult:
        started_count = self._membership.start_probes(self._tasks, self._clock.now)
        self._worker.charge(PROBE_COST_US * started_count)
        return JobResult.MORE if started_count else JobResult.DONE

    def _write_snapshots(self, now_us: int) -> None:
        self._membership.write_snapshots(now_us)
        self._remember_request_names()

    def _hand_over(self, now_us: int) -> JobResult:
        """Writes the snapshot that the succeeding process starts from."""
        if self._membership.is_handing_over:
            self._membership.write_snapshots(now_us)
        else:
            self._membership.hand_over(self._ingress.recent_names(), now_us)
        return JobResult.DONE if self._membership.is_handover_complete else JobResult.MORE

    def _remember_request_names(self) -> None:
        # The preceding process may hand over the request names it has used after this process has started.
        if self._membership.recovered_request_names:
            self._ingress.remember_names(self._membership.recovered_request_names)
            self._membership.recovered_request_names = []
