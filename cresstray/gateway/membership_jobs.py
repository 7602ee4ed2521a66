"""Background jobs of a gateway whose endpoint list is persisted: probing, listing and writing.

Imported only where the operator's file names a folder for it.
"""

from __future__ import annotations

from anyio.abc import TaskGroup

from cresstray.background.schedule import JobResult, Priority
from cresstray.background.worker import Worker
from cresstray.clock import Clock
from cresstray.gateway.endpoint_updates import EndpointUpdates
from cresstray.membership.recovery import MAX_LISTED_AT_ONCE, PROBE_COST_US, Membership
from cresstray.pipeline.ingress import Ingress

# Ten rounds a second: the most endpoints that may wait for a probe are probed within seconds, see
# docs/membership.md.
_INTERVAL_US = 100_000
# What a round of probes lacked may be there at the next one; a gateway without an endpoint list waits for it.
_MAX_RETRY_PAUSE_US = 1_000_000


class MembershipJobs:
    """Gives the persisted membership its turns beside requests, and a last one at the end of the process."""

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
        """Adds the jobs, in the order in which they have their last turns; `tasks` runs the probes."""
        self._tasks = tasks
        self._remember_names()
        self._worker.does("endpoint updates", Priority.SAFETY, _INTERVAL_US, self._list, _MAX_RETRY_PAUSE_US)
        self._worker.does(
            "probe selection", Priority.SAFETY, _INTERVAL_US, self._choose_probes, _MAX_RETRY_PAUSE_US
        )
        self._probe_job = self._worker.does(
            "connection probes", Priority.SAFETY, 0, self._probe, _MAX_RETRY_PAUSE_US
        )
        self._worker.does(
            "membership snapshot", Priority.STATE, _INTERVAL_US, self._write, last=self._hand_over
        )

    def _list(self, now: int) -> JobResult:
        event = self._membership.take_changes(now, MAX_LISTED_AT_ONCE)
        if event is not None:
            self._updates.apply_filtered(self._membership, event, now)
        return JobResult.MORE if self._membership.has_changes else JobResult.DONE

    def _choose_probes(self, now: int) -> None:
        if self._membership.queue_due_probes(now):
            self._worker.wake(self._probe_job)

    def _probe(self, now: int) -> JobResult:
        started = self._membership.start_probes(self._tasks, self._clock.now)
        self._worker.begun(PROBE_COST_US * started)
        return JobResult.MORE if started else JobResult.DONE

    def _write(self, now: int) -> None:
        self._membership.write_snapshots(now)
        self._remember_names()

    def _hand_over(self, now: int) -> JobResult:
        """Writes the snapshot that the succeeding process starts from."""
        if self._membership.is_handing_over:
            self._membership.write_snapshots(now)
        else:
            self._membership.hand_over(self._ingress.recent_names(), now)
        return JobResult.DONE if self._membership.is_handover_complete else JobResult.MORE

    def _remember_names(self) -> None:
        # The preceding process may hand over the names it has used after this one has started.
        if self._membership.recovered_request_names:
            self._ingress.remember_names(self._membership.recovered_request_names)
            self._membership.recovered_request_names = []
