"""Fixtures of the membership tests: endpoints, estimates, snapshots, and a gateway without sockets."""

from __future__ import annotations

import random
from pathlib import Path

import msgspec

from cresstray.discovery.endpoint_list import Endpoint, EndpointEvent
from cresstray.membership import snapshot
from cresstray.membership.confidence import ClockReading
from cresstray.membership.estimate import MembershipEstimate
from cresstray.membership.estimate_states import EvidenceSource
from cresstray.membership.reconciliation import Tombstone
from cresstray.membership.recovery import Membership
from cresstray.membership.snapshot_files import SnapshotFolder, SnapshotWriter
from cresstray.observability.counters import Counters
from cresstray.pipeline.routing import Router
from cresstray.policy.types import EndpointState
from cresstray.simulation.cold_engine import AddressOnly
from tests.harness import PolicyHarness, settings

SECOND_US, START_US = 1_000_000, 1_800_000_000_000_000
DRAIN_GRACE_US, MAX_RETRY_AFTER_US = 10 * SECOND_US, 2 * SECOND_US
STORED_FILES = Path(__file__).parent / "kept_files"
READY, DRAINING, REMOVED = EndpointState.READY, EndpointState.DRAINING, EndpointState.REMOVED


def make_endpoint(
    endpoint_id: int, state: EndpointState = READY, started_us: int = 5, port: int = 0
) -> Endpoint:
    """Returns an endpoint on this host, at a port by its id if none is given."""
    return Endpoint(endpoint_id, "127.0.0.1", port or 1000 + endpoint_id, state, 0, 0, 0, started_us)


def make_estimate(
    *endpoints: Endpoint, age_us: int = SECOND_US, index: int = 50, seed: int = 1, **arguments: object
) -> MembershipEstimate:
    """Returns an estimate that has recovered these endpoints from a snapshot."""
    estimate = MembershipEstimate(DRAIN_GRACE_US, MAX_RETRY_AFTER_US, random.Random(seed).random, START_US)
    estimate.merge_remembered(
        [(endpoint, age_us) for endpoint in endpoints],
        index,
        [],
        EvidenceSource.DISK,
        START_US,
        **arguments,
    )
    return estimate


def make_snapshot(**changes: object) -> snapshot.Snapshot:
    """Returns a snapshot of three endpoints and a tombstone, with some fields changed."""
    unchanged = snapshot.Snapshot(
        owner="g1",
        wall_us=START_US,
        boot_id="b1",
        uptime_us=70 * SECOND_US,
        index=50,
        is_handed_over=False,
        zones=["here", "there"],
        instance_types=["std"],
        endpoints=[snapshot.to_entry(make_endpoint(n), SECOND_US) for n in range(3)],
        tombstones=[Tombstone(9, 5, 49, 0)],
        latencies=[],
        limits=[],
        request_names=[],
    )
    return msgspec.structs.replace(unchanged, **changes)


class MembershipHarness(PolicyHarness):
    """Policy controller, router and membership joined as in the service, without sockets.

    Attributes:
        clock_reading: The present time as the membership reads it.
        logged_lines: The lines that the membership has logged.
        sent: The attempts that were sent, each with its time; set by the first one.
    """

    def __init__(
        self,
        path: str,
        wall_us: int = START_US,
        boot_id: str = "b1",
        uptime_us: int = 100 * SECOND_US,
        seed: int = 1,
        owner: str = "g1",
        **arguments: object,
    ) -> None:
        self.settings = settings(Balancers=arguments.pop("gateways", 1), Flavors=["std"], Localities=["here"])
        for number, request_class in enumerate(self.settings["Services"]):
            request_class["Name"] = f"t{number}"
        super().__init__(self.settings, engines=0, seed=seed)
        self.clock_reading, self.counters, self.logged_lines = (
            ClockReading(wall_us, boot_id, uptime_us),
            Counters(),
            [],
        )
        self.router = Router(lambda label, address: AddressOnly(address), None)
        self.writer = SnapshotWriter(SnapshotFolder(path, owner))
        self.membership = Membership(
            self.writer,
            self.settings,
            self.gateway,
            random.Random(seed).random,
            self.counters,
            self.logged_lines.append,
            lambda: self.clock_reading,
            self.now,
        )
        self.membership.recover(self.now)

    def send_attempt(self, attempt: object, timeout_us: int) -> None:
        self.sent = getattr(self, "sent", [])
        self.sent.append((self.now, attempt))

    def on_discovery_event(self, event: EndpointEvent) -> None:
        """Applies an event of discovery."""
        applied_event = self.membership.on_endpoint_event(event, self.now)
        self.apply_event(applied_event)

    def apply_event(self, event: EndpointEvent) -> None:
        """Applies an event of the membership to router and controller."""
        self.gateway.on_endpoints_updated(self.router.apply_event(event), event.is_complete, self.now)
        self.router.cancel_unsent(event)
        self.membership.on_endpoints_listed(event, self.router._engines, self.now)

    def step(self) -> None:
        """Applies the changes of the membership, and handles its snapshots."""
        event = self.membership.step(self.now)
        if event is not None:
            self.apply_event(event)

    def write_snapshot(self) -> None:
        """Waits until the state is on the disk."""
        self.now += 3 * SECOND_US
        self.step()
        self.writer._thread.join(5)
        self.step()

    def engine(self, endpoint_id: int) -> object:
        """Returns the engine of a listed endpoint."""
        return self.router._engines[endpoint_id]
