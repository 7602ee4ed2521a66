"""The gateway of the world of the membership: its process, and the port of its policy controller."""

from __future__ import annotations

from typing import Any, NamedTuple, cast

from cresstray.discovery.endpoint_list import Endpoint, EndpointEvent
from cresstray.membership.confidence import HANDOVER_VALIDITY_US, ClockReading
from cresstray.membership.guard import AdmissionGuard
from cresstray.membership.recovery import Membership
from cresstray.membership.snapshot import Snapshot, to_entry
from cresstray.model_checking.membership_account import Account, Named, Written
from cresstray.model_checking.membership_parts import CLASS_NAMES, Disk, Pool, shared_settings
from cresstray.model_checking.world import (
    Bounds,
    Copied,
    Uncounted,
    VirtualClock,
    VirtualTimers,
    fixed,
    untold,
)
from cresstray.pipeline.routing import Router
from cresstray.policy.controller import PolicyController
from cresstray.policy.settings import parse_settings
from cresstray.policy.types import Attempt, EndpointState, Outcome, Request

START_US = 1_000_000_000_000
MILLISECOND_US = 1_000
LISTED_INDEX = 5  # the index of discovery, as the disk was written
_UP_US = START_US - 100_000 * MILLISECOND_US  # the start of both engines, as the disk has them


class Submission:
    """One request: its place in CLASS_NAMES."""

    __slots__ = ("kind", "request", "over")

    def __init__(self, kind: int) -> None:
        self.kind = kind
        self.over = False
        self.request: Request | None = None


class LastWrite(NamedTuple):
    """What a process that ends writes after its successor has started."""

    snapshot: Snapshot
    account: Written
    handed_at: int


class MembershipProcess(Copied):
    """One gateway, its disk, its engines and discovery. It is the policy controller's port as well."""

    def __init__(self, bounds: Bounds, faults: int, words: int, changes: int, steps: int) -> None:
        self.clock = VirtualClock(START_US)
        self.broken: list[str] = []
        self.disk = Disk()
        self.faults = faults if bounds.faults is None else bounds.faults  # failed probes and attempts
        self.lives = 1 if bounds.leaves is None else bounds.leaves  # restarts
        self.words = words if bounds.words is None else bounds.words  # events of discovery
        self.changes = min(changes, self.words)
        self.steps = steps
        self.longs = 1
        self.asking = 1 if bounds.submissions is None else bounds.submissions  # requests that still come
        self.list = {n: Endpoint(n, "e", 1 + n, EndpointState.READY, 0, 0, 0, _UP_US) for n in (0, 1)}
        self.before = list(self.list.values())
        self.news: list[Endpoint] = []
        self.index = LISTED_INDEX
        self.account = Account()
        self.written = Written(LISTED_INDEX, {0: Named(_UP_US, 1), 1: Named(_UP_US, 2)}, {})
        self.handed_at: int | None = None  # when what is on disk was handed over
        self.unread: LastWrite | None = None  # of a process that still ends
        self._make_process()
        self.disk.write(
            Snapshot(
                owner=Disk.owner,
                wall_us=START_US - 5_000 * MILLISECOND_US,
                boot_id="b",
                uptime_us=START_US - 5_000 * MILLISECOND_US,
                index=LISTED_INDEX,
                is_handed_over=False,
                zones=["z"],
                instance_types=["m"],
                endpoints=[to_entry(one, 0) for one in self.before],
                tombstones=[],
                latencies=[],
                limits=[],
                request_names=[],
            )
        )
        self._start()

    # A process.

    def _make_process(self) -> None:
        self.begun = now = self.clock.at
        self.timers = VirtualTimers(self.clock)
        self.counters = Uncounted()
        # Stand-ins have what the real ones are called by.
        self.route = Router(cast(Any, Pool), cast(Any, self))
        self.gateway = PolicyController(cast(Any, self), parse_settings(shared_settings("")), 0, now)
        self.gateway.random = fixed
        self.membership = Membership(
            cast(Any, self.disk),
            shared_settings(""),
            self.gateway,
            fixed,
            self.counters,
            untold,
            self._moment,
            now,
        )
        self.gateway.admission_rules = AdmissionGuard(self.membership, self.gateway)
        self.submissions = [Submission(kind) for kind in range(len(CLASS_NAMES))]
        self.probes: list[Endpoint] = []
        self.in_flight: dict[Attempt, int] = {}  # and the engine that has it

    def _start(self) -> None:
        self.membership.recover(self.clock.at)
        self.account.read(self.written)
        self._start_probes()

    def _moment(self) -> ClockReading:
        return ClockReading(self.clock.at, "b", self.clock.at)

    def _start_probes(self) -> None:
        self.membership.queue_due_probes(self.clock.at)
        while self.membership._queued_probes:
            self.probes.append(self.membership._queued_probes.popleft())

    def _list_changes(self) -> None:
        event = self.membership.take_changes(self.clock.at)
        if event is not None:
            self._apply(event)

    def _apply(self, event: EndpointEvent) -> None:
        now, account = self.clock.at, self.account
        for endpoint in event.endpoints:
            if endpoint.state is EndpointState.REMOVED:
                account.cold_from_us.pop(endpoint.id, None)
                continue
            known, told = account.cold_from_us.get(endpoint.id), endpoint.id in account.registered
            warm = self._warm(endpoint.id)
            if endpoint.id in account.removed:
                self.breaks(f"{endpoint_name(endpoint.id)} is known gone and listed")
            if endpoint.started_us < account.named.get(endpoint.id, Named(0, 0)).started_us:
                self.breaks(f"{endpoint_name(endpoint.id)} is listed by an older start than is known")
            if not told and not warm and endpoint.started_us < account.listening_us.get(endpoint.id, now):
                self.breaks(
                    f"{endpoint_name(endpoint.id)} is listed as started before it was found to listen"
                )
            if known is not None and endpoint.started_us < known:
                self.breaks(f"{endpoint_name(endpoint.id)} was listed as cold and is warm by an old start")
            if not told and not warm:
                account.cold_from_us[endpoint.id] = account.listening_us.get(endpoint.id, now)
        self.gateway.on_endpoints_updated(self.route.apply_event(event), event.is_complete, now)
        self.route.cancel_unsent(event)
        self.membership.on_endpoints_listed(event, self.route.engines, now)

    def _warm(self, engine: int) -> bool:
        """Whether it was found to listen as one that was handed over, and has not failed since."""
        account = self.account
        found = account.listening_us.get(engine)
        return (
            account.is_handed_over
            and found is not None
            and found - self.begun < HANDOVER_VALIDITY_US
            and engine not in account.failed
        )

    def breaks(self, seen: str, name: str = "belief") -> None:
        """Records a breach of a property."""
        self.broken.append(f"{name}: {seen}")

    # The policy controller's port, and the stage behind the router.

    def send_attempt(self, attempt: Attempt, timeout_us: int) -> None:
        """Routes an attempt."""
        self.route.route(attempt, dict.fromkeys([attempt.request]), timeout_us)

    def send(self, attempt: Attempt, _context: None, pool: Pool, _timeout_us: int) -> None:
        """Sends an attempt that the router has found a pool for."""
        engine, account = pool.engine, self.account
        submission = self._of(attempt.request)
        if engine in account.removed:
            self.breaks(
                f"{CLASS_NAMES[submission.kind]} is sent to {endpoint_name(engine)}, which is known gone"
            )
        if submission.kind == 2 and engine not in account.registered and engine not in account.served:
            self.breaks(
                f"{CLASS_NAMES[submission.kind]} is sent to {endpoint_name(engine)}, which is on trial"
            )
        self.in_flight[attempt] = engine

    def reject_request(self, request: Request, _retry_after_us: int) -> None:
        """Answers a request."""
        self._answer(request)

    def fail_request(self, request: Request) -> None:
        """Answers a request."""
        self._answer(request)

    def cancel_attempt(self, attempt: Attempt) -> None:
        """Cancels an attempt."""
        self.timers.call_after(0, lambda _: self._finish(attempt, Outcome.CANCELLED))

    def call_later(self, delay: int, call: Any) -> None:
        """Calls `call` after a delay."""
        self.timers.call_after(delay, call)

    def assign_resources(self, request: Request, megabytes: float, priority: int) -> None:
        """Does nothing."""

    def log_event(self, _text: str) -> None:
        """Does nothing."""

    def _of(self, request: Request) -> Submission:
        return self.submissions[request.request_class.index]

    def _answer(self, request: Request) -> None:
        submission = self._of(request)
        if submission.over:
            self.breaks(f"{CLASS_NAMES[submission.kind]} is answered twice", "one_answer")
        submission.over = True

    def _finish(self, attempt: Attempt, outcome: Outcome) -> None:
        engine, now = self.in_flight.pop(attempt, None), self.clock.at
        if engine is None:
            return
        if outcome is Outcome.SUCCEEDED:
            if self.route.engines.get(engine) is attempt.engine:
                self.account.served.add(engine)
        else:
            self.faults -= outcome is not Outcome.CANCELLED
            if outcome is Outcome.UNREACHABLE:
                self.account.served.discard(engine)
                self.account.failed.add(engine)
        self.membership.on_attempt_finished(attempt, outcome, now)
        no_more = attempt.request.is_finished
        if outcome is Outcome.SUCCEEDED and not no_more:
            self._answer(attempt.request)
            no_more = True
        self.gateway.on_attempt_finished(attempt, outcome, now - attempt.sent_us, no_more, {}, now)


def endpoint_name(engine: int) -> str:
    """Returns the name of an endpoint in choices and breaches."""
    return f"e{engine}"
