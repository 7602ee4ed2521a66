"""Model of idempotency records: two gateways, a store that they share, and a deduplicated request sent twice.

Coordinator, guard, circuit breaker, write-behind queue and records are the real ones. The store executes
commands and replies, executes and loses the reply, never receives them, receives them late, or fails over
to an older copy. Gateways are stopped and woken, or killed and started again. Between a decision and an
answer stands a model of the pipeline: it sends what may be sent, once, and ends it by its deadline. Engines
remember an idempotency key for two seconds from its first execution.
"""

from __future__ import annotations

from typing import Any

from cresstray.model_checking.idempotency_mutants import MUTANTS
from cresstray.model_checking.idempotency_parties import MILLI, ModelGateway, ModelRequest, StoreCall
from cresstray.model_checking.world import Bounds, Copied, VirtualClock
from cresstray.policy.types import Outcome, RequestClass

__all__ = ["CONFIGURATIONS", "MUTANTS", "IdempotencyWorld"]

# The first moment: a multiple of the widths of all sliding windows, so that their buckets turn with the
# ticks.
START = 1_000_000_000_000
# Short ones, so that windows end within few choices; a slack of 100 ms bounds lookups and waits.
_DEDUP_WINDOW_US = 2_000 * MILLI
_LATENCY_OBJECTIVE_US = 120 * MILLI
_DEADLINE_MARGIN_US = 200 * MILLI
# How an attempt may end by the choice's words; what is cut off may have run.
_OUTCOMES = {"serve": Outcome.SUCCEEDED, "cut off": Outcome.CONNECTION_LOST}
_HOW_FINISHED = {Outcome.SUCCEEDED: "succeeded", Outcome.OVERLOADED: "rejected"}


class IdempotencyWorld(Copied):
    """Both gateways, the store and the engines."""

    def __init__(self, bounds: Bounds) -> None:
        self.clock = VirtualClock(START)
        self.broken: list[str] = []
        self.request_class = RequestClass(
            0,
            1,
            _LATENCY_OBJECTIVE_US,
            0.0,
            1.0,
            0.0,
            False,
            True,
            "all",
            _DEDUP_WINDOW_US,
            False,
            None,
            None,
        )
        self.store_faults_left = 1 if bounds.faults is None else bounds.faults
        self.gateway_faults_left = 1 if bounds.leaves is None else bounds.leaves  # stops and kills
        self.fail_overs_left = 0 if bounds.words is None else bounds.words
        self.requests_left = 2 if bounds.submissions is None else bounds.submissions
        self.data: dict[bytes, bytes] = {}
        self.replica: dict[bytes, bytes] = {}  # as the data was before the last write
        self.has_lost_writes = False  # that were acknowledged
        self.calls: list[StoreCall] = []
        self.executions = 0
        self.last_executed_us = 0
        self.gateways = [ModelGateway(self, number, 1) for number in (1, 2)]
        for gateway in self.gateways:
            self._settle(gateway)
        self._settle_all()

    def breaks(self, name: str, seen: str) -> None:
        """Notes that a property is violated."""
        self.broken.append(f"{name}: {seen}")

    # The store.

    def execute(self, arguments: tuple[bytes, ...]) -> Any:
        """Executes one command."""
        now_ms = self.clock.at // MILLI
        if arguments[0] == b"TIME":
            return [b"%d" % (now_ms // 1000), b"%06d" % (now_ms % 1000 * 1000)]
        if arguments[0] == b"GET":
            return self.data.get(arguments[1])
        # No expiry: what is kept for an hour or a minute outlives all schedules.
        key, expected, new = arguments[3:6]
        current = self.data.get(key)
        if arguments[0] != b"SET" and (current or b"") != expected:
            return [0, current, now_ms]
        self.replica = dict(self.data)
        self.data[key] = new
        return [1, now_ms]

    def on_timeout(self, number: int, gateway: int, incarnation: int) -> None:
        """Tells the caller of a call that no reply came in time."""
        for place, call in enumerate(self.calls):
            if (call.number, call.gateway, call.incarnation) != (number, gateway, incarnation):
                continue
            if call.on_done is None:
                continue
            if call.replies is None:
                self.calls[place] = call._replace(on_done=None)
            else:
                del self.calls[place]
            call.on_done(None)
            return

    # Choices.

    def choices(self) -> list[str]:
        """Returns what may happen next."""
        if not self.requests_left and all(map(_has_nothing_to_send, self.gateways)):
            return []
        found = []
        for gateway in self.gateways:
            found += self._gateway_choices(gateway)
        for call in self.calls:
            found += self._call_choices(call)
        if self.fail_overs_left and self.replica != self.data:
            found.append("store fails over")
        # Time that passes while a call waits is a fault of the store.
        if self._next_moment_us() is not None and (self.store_faults_left or not self._is_call_waiting()):
            found.append("time passes")
        return found

    def _call_choices(self, call: StoreCall) -> list[str]:
        name = _call_name(call)
        is_stopped = self._gateway_of(call).is_stopped
        if call.on_done is None:
            return [f"store hears {name} late"]
        if call.replies is not None:
            return [] if is_stopped else [f"store answers {name} late"]
        found = [] if is_stopped else [f"store does {name}"]
        if self.store_faults_left > 0 or is_stopped:
            found.append(f"store hears {name}")
        return found

    def _is_call_waiting(self) -> bool:
        return any(
            call.on_done is not None and not self._gateway_of(call).is_stopped and call.replies is None
            for call in self.calls
        )

    def _gateway_choices(self, gateway: ModelGateway) -> list[str]:
        name = gateway.name
        current = gateway.current
        if gateway.is_stopped:
            return [f"{name} wakes"] + [f"{name} is killed"] * (self.gateway_faults_left > 0)
        found = []
        is_idle = current is None or current.is_idle()
        if self.requests_left and is_idle and self._may_be_asked(gateway):
            found.append(f"{name} is asked")
        if current is not None:
            found += _request_choices(name, current)
        if any(due.due_us <= self.clock.at for due in gateway.timers.line):
            found.append(f"{name} due")
        if self.gateway_faults_left and (current is not None or gateway.incarnation > 1):
            is_open = current is not None and not current.is_finished
            found += [f"{name} is killed"] + [f"{name} is stopped"] * is_open
        return found

    def _may_be_asked(self, gateway: ModelGateway) -> bool:
        """The two gateways are alike: the first that is asked is g1."""
        first = self.gateways[0]
        return gateway.number == 1 or first.current is not None or first.incarnation > 1

    def _gateway_of(self, call: StoreCall) -> ModelGateway:
        return self.gateways[call.gateway - 1]

    def _next_moment_us(self) -> int | None:
        """Returns when something is due next: a timer, the end of a request, or of the engines' window."""
        now_us = self.clock.at
        moments = []
        if self.executions:
            # Between the end of a first request and that of the window others come as well.
            moments += [
                self.last_executed_us + _DEDUP_WINDOW_US * 3 // 4,
                self.last_executed_us + _DEDUP_WINDOW_US,
            ]
        for gateway in self.gateways:
            current = gateway.current
            if not gateway.is_stopped:
                moments += [due.due_us for due in gateway.timers.line]
            if current is not None and not current.is_finished:
                margin_us = 0 if gateway.is_stopped else _DEADLINE_MARGIN_US
                moments.append(current.request.deadline_us - margin_us)
        return min((moment for moment in moments if moment > now_us), default=None)

    def do(self, choice: str) -> None:
        """Takes one step. An exception that leaves the code under test is a violation as well."""
        try:
            self._do(choice.split(" "))
            self._settle_all()
        except Exception as error:
            frame = error.__traceback__
            while frame is not None and frame.tb_next is not None:
                frame = frame.tb_next
            where = frame.tb_frame.f_code.co_qualname if frame is not None else "?"
            self.breaks("sound", f"{type(error).__name__} in {where}")

    def _do(self, parts: list[str]) -> None:
        who, verb = parts[:2]
        if who == "time":
            self._pass_time()
        elif verb == "fails":
            self._fail_over()
        elif who == "store":
            self._store_does(verb, parts[2], parts[-1] == "late")
        elif who == "engines":
            gateway = self.gateways[int(parts[-1][1:]) - 1]
            self._on_attempt_finished(gateway, _OUTCOMES[" ".join(parts[1:-1])])
        else:
            self._gateway_does(self.gateways[int(who[1:]) - 1], " ".join(parts[1:]))

    def _fail_over(self) -> None:
        self.fail_overs_left -= 1
        self.data = self.replica
        self.replica = dict(self.replica)
        self.has_lost_writes = True

    def _store_does(self, verb: str, name: str, is_late: bool) -> None:
        place = next(place for place, call in enumerate(self.calls) if _call_name(call) == name)
        call = self.calls[place]
        if verb == "answers":
            del self.calls[place]
            _reply(call, call.replies or ())
            return
        replies = tuple(self.execute(arguments) for arguments in call.commands)
        if is_late or verb == "does":
            del self.calls[place]
            if not is_late:
                _reply(call, replies)
            return
        self.store_faults_left -= not self._gateway_of(call).is_stopped
        self.calls[place] = call._replace(replies=replies)

    def _gateway_does(self, gateway: ModelGateway, what: str) -> None:
        now_us = self.clock.at
        if what == "is asked":
            self.requests_left -= 1
            gateway.current = current = ModelRequest(gateway, self.request_class, now_us)
            if not gateway.coordinator.check(current, now_us, current.on_decision):
                self.breaks("sound", f"{gateway.name} asks for no mark")
        elif what.startswith("sends"):
            self._send(gateway, what == "sends")
        elif what == "due":
            gateway.timers.run_due()
        elif what == "is stopped":
            self.gateway_faults_left -= 1
            gateway.is_stopped = True
            _current(gateway).was_stopped = True
        elif what == "wakes":
            gateway.is_stopped = False
        else:
            self._kill(gateway)

    def _send(self, gateway: ModelGateway, is_executed: bool) -> None:
        now_us = self.clock.at
        current = _current(gateway)
        if not gateway.coordinator.may_dispatch(current.request, now_us):
            current.finish("denied")
            return
        current.is_sent = True
        gateway.coordinator.on_attempt_sent(current.request, now_us)
        if not is_executed:
            self._on_attempt_finished(gateway, Outcome.OVERLOADED)
            return
        if now_us >= self.last_executed_us + _DEDUP_WINDOW_US:
            self.executions += 1
            self.last_executed_us = now_us
            if self.executions > 1 and not self.has_lost_writes and not current.is_unguarded:
                self.breaks("deduplicated", f"{gateway.name} runs it again, {self.executions} times in all")

    def _on_attempt_finished(self, gateway: ModelGateway, outcome: Outcome) -> None:
        """As the pipeline has it: the attempt's end first, then the answer. Nothing is retried here."""
        current = _current(gateway)
        current.has_returned = True
        gateway.coordinator.on_attempt_finished(current.request, outcome, self.clock.at)
        if not current.is_finished:
            result = b"r" if outcome is Outcome.SUCCEEDED else None
            current.finish(_HOW_FINISHED.get(outcome, "failed"), result)

    def _kill(self, gateway: ModelGateway) -> None:
        self.gateway_faults_left -= 1
        # What it has asked may still reach the store.
        self.calls = [
            call._replace(on_done=None) if call.gateway == gateway.number else call
            for call in self.calls
            if call.gateway != gateway.number or call.replies is None
        ]
        successor = ModelGateway(self, gateway.number, gateway.incarnation + 1)
        self.gateways[gateway.number - 1] = successor
        self._settle(successor)

    def _pass_time(self) -> None:
        self.store_faults_left -= self._is_call_waiting()
        next_us = self._next_moment_us()
        assert next_us is not None, "time passes to nothing"
        self.clock.at = next_us
        for gateway in self.gateways:
            if not gateway.is_stopped:
                gateway.timers.run_due()
                self._end_at_deadline(gateway)

    def _end_at_deadline(self, gateway: ModelGateway) -> None:
        current = gateway.current
        if current is None or current.is_finished:
            return
        if self.clock.at < current.request.deadline_us - _DEADLINE_MARGIN_US:
            return
        if current.may_be_sent is None and not current.was_stopped:
            # Its slack is over long before.
            self.breaks("by_hard_stop", f"{gateway.name} still waits for the store")
        if current.is_sent:
            self._on_attempt_finished(gateway, Outcome.TIMED_OUT)
        else:
            current.finish("denied")

    def _settle(self, gateway: ModelGateway) -> None:
        """Does background work: steps of the write-behind queue, and timers of this moment."""
        if gateway.is_stopped:
            return
        gateway.coordinator.run_background_step(self.clock.at)
        timers = gateway.timers
        while timers.line and timers.line[0].due_us <= self.clock.at:
            timers.run_due()

    def _settle_all(self) -> None:
        for gateway in self.gateways:
            self._settle(gateway)

    # States.

    def quiet(self) -> bool:
        """Returns whether nothing is open."""
        return not self.calls and all(
            gateway.current is None or gateway.current.is_finished for gateway in self.gateways
        )

    def moment(self) -> float:
        """Returns milliseconds since the start, for traces."""
        return (self.clock.at - START) / MILLI


def _has_nothing_to_send(gateway: ModelGateway) -> bool:
    current = gateway.current
    return current is None or current.is_finished or current.is_sent


def _request_choices(name: str, current: ModelRequest) -> list[str]:
    found = []
    if current.may_be_sent and not current.is_sent and not current.is_finished:
        found += [f"{name} sends", f"{name} sends and is refused"]
    if current.is_sent and not current.has_returned:
        found += [f"engines {how} {name}" for how in _OUTCOMES]
    return found


def _current(gateway: ModelGateway) -> ModelRequest:
    assert gateway.current is not None, "no request at this gateway"
    return gateway.current


def _reply(call: StoreCall, replies: tuple[Any, ...]) -> None:
    assert call.on_done is not None, "nobody waits for it"
    call.timeout.cancel()
    call.on_done(list(replies))


def _call_name(call: StoreCall) -> str:
    return f"g{call.gateway}/{call.number}"


CONFIGURATIONS = {"marks": IdempotencyWorld}
