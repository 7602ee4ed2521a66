"""One gateway that starts with a snapshot, two engines, and discovery that comes back as it will.

The policy, the router, the membership and the snapshots are the real ones. An engine may do with a probe or
an attempt what it will; discovery's list changes, and it sends all of it, its last news, or an earlier list.
The process is killed, or ends as planned, and starts again from what it wrote. `belief` is the property that
is judged by the world's own account of what this process has been told; a restart takes that account back to
what was written. Choices keep the words that recorded schedules have.
"""

from __future__ import annotations

import traceback
from typing import Any, NamedTuple, cast
from unittest import mock

from cresstray.discovery.endpoint_list import Endpoint, EndpointEvent
from cresstray.membership import recovery
from cresstray.membership.confidence import HANDOVER_VALIDITY_US, ClockReading
from cresstray.membership.estimate_states import ContactResult
from cresstray.membership.guard import AdmissionGuard
from cresstray.membership.recovery import Membership
from cresstray.membership.snapshot import Snapshot, to_entry
from cresstray.model_checking.membership_account import Account, Named, Written
from cresstray.model_checking.membership_mutants import MUTANTS as MUTANTS
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
from cresstray.policy.types import Attempt, EndpointState, Outcome, Request

START_US = 1_000_000_000_000
MILLISECOND_US = 1_000
# Probes are repeated after 0.375 s, and half of a request's time is over after 1 s: a step may bring either.
_STEP_US = 500 * MILLISECOND_US
# Past what is handed over, drains and warm-ups.
_LONG_US = HANDOVER_VALIDITY_US + 1_000 * MILLISECOND_US
_UP_US = START_US - 100_000 * MILLISECOND_US  # the start of both engines, as the disk has them
_LISTED_INDEX = 5  # the index of discovery, as the disk was written
_DEADLINE_US = 10_000 * MILLISECOND_US
# How a probe and an attempt may end, by the words of a trace.
_PROBE_RESULTS = {"listens to": ContactResult.LISTENING, "refuses": ContactResult.REFUSED}
_OUTCOMES = {
    "serves": Outcome.SUCCEEDED,
    "is not reached by": Outcome.UNREACHABLE,
    "cuts": Outcome.CONNECTION_LOST,
}


class Submission:
    """One request: its place in CLASS_NAMES."""

    __slots__ = ("kind", "request", "over")

    def __init__(self, kind: int) -> None:
        self.kind = kind
        self.over = False
        self.request: Request | None = None


class _LastWrite(NamedTuple):
    """What a process that ends writes after its successor has started."""

    snapshot: Snapshot
    account: Written
    handed_at: int


class MembershipWorld(Copied):
    """One gateway, its disk, its engines and discovery. The world is the policy controller's port as well."""

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
        self.index = _LISTED_INDEX
        self.account = Account()
        self.written = Written(_LISTED_INDEX, {0: Named(_UP_US, 1), 1: Named(_UP_US, 2)}, {})
        self.handed_at: int | None = None  # when what is on disk was handed over
        self.unread: _LastWrite | None = None  # of a process that still ends
        self._make_process()
        self.disk.write(
            Snapshot(
                owner=Disk.owner,
                wall_us=START_US - 5_000 * MILLISECOND_US,
                boot_id="b",
                uptime_us=START_US - 5_000 * MILLISECOND_US,
                index=_LISTED_INDEX,
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
        self.gateway = PolicyController(cast(Any, self), shared_settings(""), 0, now)
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
                self.breaks(f"{_name(endpoint.id)} is known gone and listed")
            if endpoint.started_us < account.named.get(endpoint.id, Named(0, 0)).started_us:
                self.breaks(f"{_name(endpoint.id)} is listed by an older start than is known")
            if not told and not warm and endpoint.started_us < account.listening_us.get(endpoint.id, now):
                self.breaks(f"{_name(endpoint.id)} is listed as started before it was found to listen")
            if known is not None and endpoint.started_us < known:
                self.breaks(f"{_name(endpoint.id)} was listed as cold and is warm by an old start")
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
            self.breaks(f"{CLASS_NAMES[submission.kind]} is sent to {_name(engine)}, which is known gone")
        if submission.kind == 2 and engine not in account.registered and engine not in account.served:
            self.breaks(f"{CLASS_NAMES[submission.kind]} is sent to {_name(engine)}, which is on trial")
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

    # Choices.

    def choices(self) -> list[str]:
        """Returns the steps that the world may take, none once nothing can be sent any more."""
        if self._is_over():
            return []
        found = self._engine_choices()
        # In one order: any other is the same, or comes of another moment.
        last = max((one.kind for one in self.submissions if one.request), default=-1)
        found += [
            f"{CLASS_NAMES[kind]} is asked" for kind in range(last + 1, len(CLASS_NAMES)) if self.asking
        ]
        if self.membership.has_changes:
            found.append("gateway lists")
        if self.words:
            found += self._discovery_choices()
        found += self._process_choices()
        if not self.probes:  # a connection is given up far sooner than time passes here
            found += self._time_choices()
        return found

    def _is_over(self) -> bool:
        is_answer_due = any(one.request and not one.over for one in self.submissions)
        return not (self.words or self.lives or self.asking or self.in_flight or self.unread or is_answer_due)

    def _engine_choices(self) -> list[str]:
        found = [
            f"{_name(endpoint.id)} {how} the trial"
            for endpoint in self.probes
            for how in _PROBE_RESULTS
            if how == "listens to" or self.faults
        ]
        found += [
            f"{_name(engine)} {how} {CLASS_NAMES[attempt.request.request_class.index]}"
            for attempt, engine in self.in_flight.items()
            for how in _OUTCOMES
            if how == "serves" or self.faults
        ]
        return found

    def _discovery_choices(self) -> list[str]:
        found = ["register tells all", "register tells before"]
        if self.news:
            found.append("register tells news")
        return found + self._changes() if self.changes else found

    def _process_choices(self) -> list[str]:
        found = []
        if self.lives:
            found += ["gateway is killed", "gateway ends"]
            if self.account.written() != self.written:
                found.append("gateway writes")
            if self.unread is None:
                found.append("gateway ends slowly")
        if self.unread is not None:
            found.append("last write is read")
        return found

    def _time_choices(self) -> list[str]:
        found = ["time passes"] if self.steps else []
        # A long time ends what was handed over, drains and warm-ups; a last write is over within seconds.
        is_draining = any(
            one.endpoint.state is EndpointState.DRAINING
            for one in self.membership.estimate.endpoints.values()
        )
        if self.longs and self.unread is None and (self.account.is_handed_over or is_draining):
            found.append("long time passes")
        return found

    def _changes(self) -> list[str]:
        found = []
        # The two engines are alike at first: what changes is e0, and the one that takes its place.
        for number, endpoint in self.list.items():
            if number != 1:
                found += [f"register: {_name(number)} goes", f"register: {_name(number)} starts anew"]
                if endpoint.state is EndpointState.READY:
                    found.append(f"register: {_name(number)} drains")
                if 2 not in self.list:
                    found.append(f"register: {_name(number)} is replaced")
        return found

    def do(self, choice: str) -> None:
        """One step. What leaves the code as an exception is a breach as well."""
        try:
            self._do(choice, choice.split(" "))
        except Exception as error:
            *_, (frame, _line) = traceback.walk_tb(error.__traceback__)
            self.breaks(f"{type(error).__name__} in {frame.f_code.co_qualname}", "sound")

    def _do(self, choice: str, parts: list[str]) -> None:
        if choice.endswith("is asked"):
            self._submit(CLASS_NAMES.index(parts[0]))
        elif choice.endswith(" the trial"):
            self._finish_probe(int(parts[0][1:]), _PROBE_RESULTS[" ".join(parts[1:-2])])
        elif parts[0] == "register:":
            self._change(int(parts[1][1:]), " ".join(parts[2:]))
        elif parts[0] == "register":
            self._send_event(parts[2])
        elif choice == "gateway lists":
            self._list_changes()
        elif choice == "gateway writes":
            self._write(False)
        elif parts[0] == "gateway":
            self._restart(parts)
        elif choice == "last write is read":
            self._read_last()
        elif choice.endswith("time passes"):
            self._pass_time(parts[0] == "long")
        else:
            attempt = next(
                one for one in self.in_flight if CLASS_NAMES[one.request.request_class.index] == parts[-1]
            )
            self._finish(attempt, _OUTCOMES[" ".join(parts[1:-1])])

    def _submit(self, kind: int) -> None:
        self.asking -= 1
        now = self.clock.at
        submission = self.submissions[kind]
        submission.request = Request(self.gateway.request_classes[kind], now, now + _DEADLINE_US)
        if self.membership.retry_after_us(submission.request, now) is not None:
            self._answer(submission.request)
        else:
            self.gateway.accept(submission.request, now)

    def _finish_probe(self, engine: int, how: ContactResult) -> None:
        endpoint = next(one for one in self.probes if one.id == engine)
        self.probes.remove(endpoint)
        if how is ContactResult.LISTENING:
            self.account.listening_us[engine] = self.clock.at
        else:
            self.faults -= 1
            self.account.failed.add(engine)

        async def probed(*_: object) -> ContactResult:
            return how

        with mock.patch.object(recovery, "probe_connection", probed):
            try:
                self.membership._probe(endpoint, self.clock.now).send(None)
            except StopIteration:
                return
        raise AssertionError("a probe waits for more than its connection")

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

    def _change(self, engine: int, how: str) -> None:
        self.changes, self.index = self.changes - 1, self.index + 1
        endpoint, now = self.list[engine], self.clock.at
        if how == "goes":
            del self.list[engine]
            self.news = [_changed(endpoint, state=EndpointState.REMOVED)]
        elif how == "is replaced":
            del self.list[engine]
            self.list[2] = _changed(endpoint, id=2, started_us=now, state=EndpointState.READY)
            self.news = [self.list[2]]
        else:
            changes: dict[str, dict[str, Any]] = {
                "starts anew": {"started_us": now, "state": EndpointState.READY},
                "drains": {"state": EndpointState.DRAINING},
            }
            self.list[engine] = _changed(endpoint, **changes[how])
            self.news = [self.list[engine]]

    def _send_event(self, what: str) -> None:
        self.words -= 1
        # The watch brings frames.
        self.counters.counts["coordinator frames"] ^= 1
        event = {
            "all": EndpointEvent(self.index, True, list(self.list.values())),
            "news": EndpointEvent(self.index, False, self.news),
            "before": EndpointEvent(_LISTED_INDEX - 1, True, self.before),
        }[what]
        older, before = event.index < self.account.index, self.account.failed.copy()
        cold = dict(self.account.cold_from_us)
        self.account.hear(event)
        passed = self.membership.on_endpoint_event(event, self.clock.at)
        for endpoint in passed.endpoints:
            # What only an older list names, or what has failed us, may have started since discovery knew.
            if (
                endpoint.state is not EndpointState.REMOVED
                and (older or endpoint.id in before)
                and endpoint.id not in cold
                and self.route.engines.get(endpoint.id) is None
                and not self._warm(endpoint.id)
                and endpoint.started_us < self.clock.at
            ):
                self.breaks(f"{_name(endpoint.id)} is warm by the word of a list that is behind")
        self._apply(passed)

    def _write(self, handed: bool) -> None:
        self.disk.write(self.membership.snapshot_builder(self.clock.at, (), handed)())
        self.written = self.account.written()
        self.handed_at = self.clock.at if handed else None

    def _restart(self, parts: list[str]) -> None:
        self.lives -= 1
        handed = parts[1] == "ends"
        self.unread = None
        if parts[-1] == "slowly":
            # Its successor reads what is there; the last write comes later.
            self.unread = _LastWrite(
                self.membership.snapshot_builder(self.clock.at, (), True)(),
                self.account.written(),
                self.clock.at,
            )
        elif handed:
            self._write(True)
        self.clock.at += _STEP_US
        self.account = Account()
        self._make_process()
        # Who hands over may be followed by several, for some seconds.
        self.account.is_handed_over = (
            self.handed_at is not None and self.clock.at - self.handed_at < HANDOVER_VALIDITY_US
        )
        self._start()

    def _read_last(self) -> None:
        assert self.unread is not None, "there is no last write"
        last, self.unread = self.unread, None
        self.handed_at = last.handed_at
        self.disk.write(last.snapshot)
        self.account.is_handed_over = self.clock.at - last.handed_at < HANDOVER_VALIDITY_US
        self.written = last.account
        self.account.read(last.account)
        self.membership._apply_snapshot(self.disk.read(), self.clock.at)
        self._list_changes()
        self._start_probes()

    def _pass_time(self, long: bool) -> None:
        self.steps, self.longs = self.steps - (not long), self.longs - long
        self.clock.at += _LONG_US if long else _STEP_US
        self.timers.run_due()
        self._list_changes()
        self._start_probes()

    # States.

    def quiet(self) -> bool:
        """Returns whether nothing is under way."""
        return not self.in_flight and not self.probes

    def moment(self) -> float:
        """Milliseconds since the start, for traces."""
        return (self.clock.at - START_US) / MILLISECOND_US


def _name(engine: int) -> str:
    return f"e{engine}"


def _changed(endpoint: Endpoint, **changes: Any) -> Endpoint:
    fields = {name: getattr(endpoint, name) for name in endpoint.__struct_fields__}
    return Endpoint(**fields | changes)


CONFIGURATIONS = {
    # What discovery sends and what is read again; and engines that fail while it is heard of once.
    "belief": lambda bounds: MembershipWorld(bounds, 0, 2, 1, 1),
    "trials": lambda bounds: MembershipWorld(bounds, 1, 1, 0, 3),
}
