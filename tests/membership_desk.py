"""What the tests of the membership share: endpoints, estimates, snapshots, and a gateway without sockets."""

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

SECOND, START = 1_000_000, 1_800_000_000_000_000
GRACE, WAIT = 10 * SECOND, 2 * SECOND
STORED = Path(__file__).parent / "kept_files"
READY, DRAINING, REMOVED = EndpointState.READY, EndpointState.DRAINING, EndpointState.REMOVED


def member(number: int, state: EndpointState = READY, started: int = 5, port: int = 0) -> Endpoint:
    return Endpoint(number, "127.0.0.1", port or 1000 + number, state, 0, 0, 0, started)


def remembered(
    *given: Endpoint, age: int = SECOND, number: int = 50, seed: int = 1, **more: object
) -> MembershipEstimate:
    made = MembershipEstimate(GRACE, WAIT, random.Random(seed).random, START)
    made.merge_remembered([(one, age) for one in given], number, [], EvidenceSource.DISK, START, **more)
    return made


def make_snapshot(**more: object) -> snapshot.Snapshot:
    plain = snapshot.Snapshot(
        owner="g1",
        wall_us=START,
        boot_id="b1",
        uptime_us=70 * SECOND,
        index=50,
        is_handed_over=False,
        zones=["here", "there"],
        instance_types=["std"],
        endpoints=[snapshot.to_entry(member(n), SECOND) for n in range(3)],
        tombstones=[Tombstone(9, 5, 49, 0)],
        latencies=[],
        limits=[],
        request_names=[],
    )
    return msgspec.structs.replace(plain, **more)


class Fleet(PolicyHarness):
    """The module with a route, and a keep beside it, as the service joins them."""

    def __init__(
        self,
        path: str,
        wall: int = START,
        boot: str = "b1",
        ticked: int = 100 * SECOND,
        seed: int = 1,
        owner: str = "g1",
        **given: object,
    ) -> None:
        self.given = settings(Balancers=given.pop("gateways", 1), Flavors=["std"], Localities=["here"])
        for number, service in enumerate(self.given["Services"]):
            service["Name"] = f"t{number}"
        super().__init__(self.given, engines=0, seed=seed)
        self.at, self.counters, self.logged = ClockReading(wall, boot, ticked), Counters(), []
        self.route = Router(lambda label, address: AddressOnly(address), None)
        self.writer = SnapshotWriter(SnapshotFolder(path, owner))
        self.membership = Membership(
            self.writer,
            self.given,
            self.gateway,
            random.Random(seed).random,
            self.counters,
            self.logged.append,
            lambda: self.at,
            self.now,
        )
        self.membership.recover(self.now)

    def send_attempt(self, attempt: object, patience: int) -> None:
        self.sent = getattr(self, "sent", [])
        self.sent.append((self.now, attempt))

    def tell(self, event: EndpointEvent) -> None:
        passed = self.membership.on_endpoint_event(event, self.now)
        self.give(passed)

    def give(self, event: EndpointEvent) -> None:
        self.gateway.on_endpoints_updated(self.route.apply_event(event), event.is_complete, self.now)
        self.route.cancel_unsent(event)
        self.membership.on_endpoints_listed(event, self.route._engines, self.now)

    def step(self) -> None:
        event = self.membership.step(self.now)
        if event is not None:
            self.give(event)

    def written(self) -> None:
        """Steps until what is unwritten is on the disk."""
        self.now += 3 * SECOND
        self.step()
        self.writer._thread.join(5)
        self.step()

    def engine(self, number: int) -> object:
        return self.route._engines[number]
