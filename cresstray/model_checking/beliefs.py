"""One gateway that starts with a snapshot, two engines, and discovery that comes back as it will.

The policy, the router, the membership and the snapshots are the real ones. An engine may do with a probe or
an attempt what it will; discovery's list changes, and it sends all of it, its last news, or an earlier list.
The process is killed, or ends as planned, and starts again from what it wrote. `belief` is the property that
is judged by the world's own account of what this process has been told; a restart takes that account back to
what was written. Choices keep the words that recorded schedules have.
"""

from __future__ import annotations

import traceback
from typing import Any
from unittest import mock

from cresstray.discovery.endpoint_list import Endpoint, EndpointEvent
from cresstray.membership import recovery
from cresstray.membership.confidence import HANDOVER_VALIDITY_US
from cresstray.membership.estimate_states import ContactResult
from cresstray.model_checking.membership_account import Account
from cresstray.model_checking.membership_mutants import MUTANTS as MUTANTS
from cresstray.model_checking.membership_parts import CLASS_NAMES
from cresstray.model_checking.membership_process import (
    LISTED_INDEX,
    MILLISECOND_US,
    START_US,
    LastWrite,
    MembershipProcess,
    endpoint_name,
)
from cresstray.policy.types import EndpointState, Outcome, Request

# Probes are repeated after 0.375 s, and half of a request's time is over after 1 s: a step may bring either.
_STEP_US = 500 * MILLISECOND_US
# Past what is handed over, drains and warm-ups.
_LONG_US = HANDOVER_VALIDITY_US + 1_000 * MILLISECOND_US
_DEADLINE_US = 10_000 * MILLISECOND_US
# How a probe and an attempt may end, by the words of a trace.
_PROBE_RESULTS = {"listens to": ContactResult.LISTENING, "refuses": ContactResult.REFUSED}
_OUTCOMES = {
    "serves": Outcome.SUCCEEDED,
    "is not reached by": Outcome.UNREACHABLE,
    "cuts": Outcome.CONNECTION_LOST,
}


class MembershipWorld(MembershipProcess):
    """The steps that the world may take."""

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
            f"{endpoint_name(endpoint.id)} {how} the trial"
            for endpoint in self.probes
            for how in _PROBE_RESULTS
            if how == "listens to" or self.faults
        ]
        found += [
            f"{endpoint_name(engine)} {how} {CLASS_NAMES[attempt.request.request_class.index]}"
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
                found += [
                    f"register: {endpoint_name(number)} goes",
                    f"register: {endpoint_name(number)} starts anew",
                ]
                if endpoint.state is EndpointState.READY:
                    found.append(f"register: {endpoint_name(number)} drains")
                if 2 not in self.list:
                    found.append(f"register: {endpoint_name(number)} is replaced")
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
            "before": EndpointEvent(LISTED_INDEX - 1, True, self.before),
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
                self.breaks(f"{endpoint_name(endpoint.id)} is warm by the word of a list that is behind")
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
            self.unread = LastWrite(
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


def _changed(endpoint: Endpoint, **changes: Any) -> Endpoint:
    fields = {name: getattr(endpoint, name) for name in endpoint.__struct_fields__}
    return Endpoint(**fields | changes)


CONFIGURATIONS = {
    # What discovery sends and what is read again; and engines that fail while it is heard of once.
    "belief": lambda bounds: MembershipWorld(bounds, 0, 2, 1, 1),
    "trials": lambda bounds: MembershipWorld(bounds, 1, 1, 0, 3),
}
