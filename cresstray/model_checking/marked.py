"""Two gateways, a store of marks that they share, and one deduplicated submission that is asked for twice.

Marks with their guard, limiter, write-behind and steps are the real ones; the store acts on a question and
answers it, acts and loses the answer, never hears it, hears it late, or fails over to an older copy. Gateways
are stopped and woken, or killed and started again. What is between a decision and an answer is a model of the
passage: it sends what may go, once, and ends it by its hard stop. Engines remember a mark from its first run
for two seconds.
"""

from __future__ import annotations

from collections.abc import Callable
from sys import intern
from typing import Any, NamedTuple

from cresstray.config.idempotency import IdempotencySettings
from cresstray.idempotency import codec
from cresstray.idempotency import execution_guard as guard
from cresstray.idempotency import records as marks
from cresstray.idempotency.codec import Command
from cresstray.idempotency.coordinator import IdempotencyCoordinator
from cresstray.idempotency.execution_guard import (
    Decision,
    ExecutionGuard,
    Proceed,
    ProceedUnguarded,
    Reject,
    ReplayResult,
)
from cresstray.idempotency.open_requests import OpenRequests
from cresstray.idempotency.record_lookup import RecordLookup
from cresstray.model_checking.patching import Mutant, lines
from cresstray.model_checking.world import (
    Bounds,
    Copied,
    Uncounted,
    VirtualClock,
    VirtualDue,
    VirtualTimers,
    fixed,
    untold,
)
from cresstray.policy.types import Outcome, Request, RequestClass

# The first moment: a multiple of all widths of rings, so that their buckets turn with the ticks.
START = 1_000_000_000_000
MILLI = 1_000
# Short ones, so that memories end within few choices; a slack of 100 ms bounds what may be asked and waited.
_MEMORY, _SOFT, _HARD, _MARGIN = 2_000 * MILLI, 120 * MILLI, 1_000 * MILLI, 200 * MILLI
_OPERATOR_SETTINGS = IdempotencySettings(request_classes=("load",), max_result_bytes=64)
_SETTINGS = {
    "Limits": {"RetryAfter": True, "MaxRetryAfter": 1000},
    "Services": [{"Name": "load", "Effect": "deduplicated"}],
}
# Ways in which what has been sent may come back; `cut` may have run.
_ENDS = {"serve": Outcome.SUCCEEDED, "cut off": Outcome.CONNECTION_LOST}


class Query:
    idempotency_key = "m"


class Asked:
    """One asking at one gateway, as its passage has it. `decided`: None until Marks has told."""

    def __init__(self, gate: Gate, request_class: RequestClass, now: int) -> None:
        self.gate = gate
        self.request = Request(request_class, now, now + _HARD)
        self.query = Query()
        self.decided: bool | None = None  # whether it may go
        self.unguarded = self.sent = self.back = self.over = self.slept = False

    def told(self, decision: Decision) -> None:
        world = self.gate.world
        if self.decided is not None:
            world.breaks("one_answer", f"{self.gate.name} is told twice what to do")
            return
        self.decided = isinstance(decision, Proceed | ProceedUnguarded)
        self.unguarded = isinstance(decision, ProceedUnguarded)
        if not self.decided:
            self.over = True
            if isinstance(decision, Reject) and not 0 <= decision.retry_after_us <= 1_000 * MILLI:
                world.breaks("sound", f"{self.gate.name} denies until {decision.retry_after_us}")
            if isinstance(decision, ReplayResult) and not world.runs:
                world.breaks("own_name", f"{self.gate.name} answers from what never ran")

    def end(self, how: str, result: bytes | None = None) -> None:
        self.over = True
        self.gate.marks.on_request_finished(self.request, how, result, self.gate.world.clock.at)


class Question(NamedTuple):
    """What is out at the store. `heard`: its replies, once it has acted;
    `due`: the time limit of who asked."""

    number: int
    gate: int
    life: int
    words: tuple[tuple[bytes, ...], ...]
    call: Callable[[list | None], None] | None  # None: nobody waits for it any more
    heard: tuple | None
    due: VirtualDue


class Gate:
    """One gateway: its marks, its timers, and its client to the store."""

    def __init__(self, world: Marked, number: int, life: int) -> None:
        self.world, self.number, self.life = world, number, life
        self.name = intern(f"g{number}")
        self.timers = VirtualTimers(world.clock)
        self.stopped = False
        self.asked: Asked | None = None
        self.marks = IdempotencyCoordinator(
            self,
            _OPERATOR_SETTINGS,
            _SETTINGS,
            [world.tariff],
            self.name,
            str(life),
            fixed,
            world.clock,
            self.timers,
            Uncounted(),
            None,
            untold,
        )

    def submit(self, commands: list[Command], by: int, call: Callable[[list | None], None]) -> None:
        world, words = self.world, tuple(command.arguments for command in commands)
        if words[0][0] == b"TIME":
            # Trials and looks at the clock go well: no submission waits for them.
            self.timers.call_after(0, lambda _: call([world.execute(one) for one in words]))
            return
        number = min({*range(len(world.questions) + 1)} - {one.number for one in world.questions})
        due = self.timers.call_after(
            by - world.clock.at, lambda _: world.unheard(number, self.number, self.life)
        )
        world.questions.append(Question(number, self.number, self.life, words, call, None, due))


class Marked(Copied):
    """Both gateways, the store and the engines."""

    def __init__(self, bounds: Bounds) -> None:
        self.clock = VirtualClock(START)
        self.broken: list[str] = []
        self.tariff = RequestClass(0, 1, _SOFT, 0.0, 1.0, 0.0, False, True, "all", _MEMORY, False, None, None)
        self.faults = 1 if bounds.faults is None else bounds.faults  # of the store
        self.lives = 1 if bounds.leaves is None else bounds.leaves  # stops and kills
        self.fail_overs = 0 if bounds.words is None else bounds.words
        self.asks = 2 if bounds.submissions is None else bounds.submissions
        self.data: dict[bytes, bytes] = {}
        self.copy: dict[bytes, bytes] = {}  # as it was before the last write
        self.lost = False  # what was acknowledged
        self.questions: list[Question] = []
        self.runs, self.since = 0, 0  # of the engines: how often it ran, and when last
        self.gates = [Gate(self, number, 1) for number in (1, 2)]
        for gate in self.gates:
            self._settle(gate)
        self._settle_all()

    def breaks(self, name: str, seen: str) -> None:
        self.broken.append(f"{name}: {seen}")

    # The store.

    def execute(self, words: tuple[bytes, ...]) -> Any:
        at = self.clock.at // MILLI
        if words[0] == b"TIME":
            return [b"%d" % (at // 1000), b"%06d" % (at % 1000 * 1000)]
        if words[0] == b"GET":
            return self.data.get(words[1])
        # What is kept an hour outlives all schedules, and what is kept a minute does as well.
        key, expected, new = words[3:6]
        found = self.data.get(key)
        if words[0] != b"SET" and (found or b"") != expected:
            return [0, found, at]
        self.copy = dict(self.data)
        self.data[key] = new
        return [1, at]

    def unheard(self, number: int, gate: int, life: int) -> None:
        """The time limit of a question: who asked is told that nothing was heard."""
        for place, one in enumerate(self.questions):
            if (one.number, one.gate, one.life) == (number, gate, life) and one.call is not None:
                if one.heard is None:
                    self.questions[place] = one._replace(call=None)
                else:
                    del self.questions[place]
                one.call(None)
                return

    # Choices.

    def choices(self) -> list[str]:
        if not self.asks and all(
            gate.asked is None or gate.asked.over or gate.asked.sent for gate in self.gates
        ):
            return []  # nothing can be sent any more
        found = []
        for gate in self.gates:
            found += self._of(gate)
        for one in self.questions:
            name = f"{_name(one)}"
            stopped = self._gate(one).stopped
            if one.call is None:
                found.append(f"store hears {name} late")
            elif one.heard is not None:
                found += [f"store answers {name} late"] * (not stopped)
            else:
                found += [f"store does {name}"] * (not stopped)
                found += [f"store hears {name}"] * (self.faults > 0 or stopped)
        if self.fail_overs and self.copy != self.data:
            found.append("store fails over")
        # Time that passes while a question waits is a fault of the store.
        waits = any(
            one.call is not None and not self._gate(one).stopped and one.heard is None
            for one in self.questions
        )
        if self._moment() is not None and (self.faults or not waits):
            found.append("time passes")
        return found

    def _of(self, gate: Gate) -> list[str]:
        name, asked, found = gate.name, gate.asked, []
        if gate.stopped:
            return [f"{name} wakes"] + [f"{name} is killed"] * (self.lives > 0)
        if (
            self.asks
            and (asked is None or asked.over and (not asked.sent or asked.back))
            and (gate.number == 1 or self.gates[0].asked is not None or self.gates[0].life > 1)
        ):
            # The two are alike: the first that is asked is g1.
            found.append(f"{name} is asked")
        if asked is not None:
            if asked.decided and not asked.sent and not asked.over:
                found += [f"{name} sends", f"{name} sends and is refused"]
            if asked.sent and not asked.back:
                found += [f"engines {how} {name}" for how in _ENDS]
        if any(due.due_us <= self.clock.at for due in gate.timers.line):
            found.append(f"{name} due")
        if self.lives and (asked is not None or gate.life > 1):
            found += [f"{name} is killed"] + [f"{name} is stopped"] * (not (asked.over if asked else True))
        return found

    def _gate(self, one: Question) -> Gate:
        return self.gates[one.gate - 1]

    def _moment(self) -> int | None:
        """When something is due next: a timer, the end of a submission, or of the engines' memory."""
        now = self.clock.at
        # Between the end of a first submission and that of the memory others come as well.
        found = [self.since + _MEMORY * 3 // 4, self.since + _MEMORY] if self.runs else []
        for gate in self.gates:
            asked = gate.asked
            if not gate.stopped:
                found += [due.due_us for due in gate.timers.line]
            if asked is not None and not asked.over:
                found.append(asked.request.deadline_us - _MARGIN * (not gate.stopped))
        return min((at for at in found if at > now), default=None)

    def do(self, choice: str) -> None:
        """One step. What leaves the code as an exception is a breach as well."""
        try:
            self._do(choice.split(" "))
            self._settle_all()
        except Exception as trouble:
            frame = trouble.__traceback__
            while frame.tb_next is not None:
                frame = frame.tb_next
            self.breaks("sound", f"{type(trouble).__name__} in {frame.tb_frame.f_code.co_qualname}")

    def _do(self, parts: list[str]) -> None:
        who, verb = parts[:2]
        if who == "time":
            self._pass_time()
        elif verb == "fails":
            self.fail_overs -= 1
            self.data, self.copy, self.lost = self.copy, dict(self.copy), True
        elif who == "store":
            self._store(verb, parts[2], parts[-1] == "late")
        elif who == "engines":
            gate = self.gates[int(parts[-1][1:]) - 1]
            self._back(gate, _ENDS[" ".join(parts[1:-1])])
        else:
            self._gate_does(self.gates[int(who[1:]) - 1], " ".join(parts[1:]))

    def _store(self, verb: str, name: str, late: bool) -> None:
        place = next(place for place, one in enumerate(self.questions) if _name(one) == name)
        one = self.questions[place]
        if verb == "answers":
            del self.questions[place]
            one.due.cancel()
            one.call(list(one.heard))
            return
        replies = tuple(self.execute(words) for words in one.words)
        if late or verb == "does":
            del self.questions[place]
            if not late:
                one.due.cancel()
                one.call(list(replies))
            return
        self.faults -= not self._gate(one).stopped
        self.questions[place] = one._replace(heard=replies)

    def _gate_does(self, gate: Gate, what: str) -> None:
        now, asked = self.clock.at, gate.asked
        if what == "is asked":
            self.asks -= 1
            gate.asked = asked = Asked(gate, self.tariff, now)
            if not gate.marks.check(asked, now, asked.told):
                self.breaks("sound", f"{gate.name} asks for no mark")
        elif what.startswith("sends"):
            self._send(gate, asked, what == "sends")
        elif what == "due":
            gate.timers.run_due()
        elif what == "is stopped":
            self.lives -= 1
            gate.stopped = asked.slept = True
        elif what == "wakes":
            gate.stopped = False
        else:
            self._kill(gate)

    def _send(self, gate: Gate, asked: Asked, runs: bool) -> None:
        now = self.clock.at
        if not gate.marks.may_dispatch(asked.request, now):
            asked.end("denied")
            return
        asked.sent = True
        gate.marks.on_attempt_sent(asked.request, now)
        if not runs:
            self._back(gate, Outcome.OVERLOADED)
            return
        if now >= self.since + _MEMORY:
            self.runs, self.since = self.runs + 1, now
            if self.runs > 1 and not self.lost and not asked.unguarded:
                self.breaks("deduplicated", f"{gate.name} runs it again, {self.runs} times in all")

    def _back(self, gate: Gate, ending: Outcome) -> None:
        """As the passage has it: the relay's end first, then the answer. Nothing is sent again here."""
        asked, now = gate.asked, self.clock.at
        asked.back = True
        gate.marks.on_attempt_finished(asked.request, ending, now)
        if not asked.over:
            how = {Outcome.SUCCEEDED: "succeeded", Outcome.OVERLOADED: "rejected"}.get(ending, "failed")
            asked.end(how, b"r" if ending is Outcome.SUCCEEDED else None)

    def _kill(self, gate: Gate) -> None:
        self.lives -= 1
        # What it has asked may still reach the store.
        self.questions = [
            one._replace(call=None) if one.gate == gate.number else one
            for one in self.questions
            if one.gate != gate.number or one.heard is None
        ]
        self.gates[gate.number - 1] = gate = Gate(self, gate.number, gate.life + 1)
        self._settle(gate)

    def _pass_time(self) -> None:
        waits = any(
            one.call is not None and not self._gate(one).stopped and one.heard is None
            for one in self.questions
        )
        self.faults -= waits
        self.clock.at = now = self._moment()
        for gate in self.gates:
            if gate.stopped:
                continue
            gate.timers.run_due()
            asked = gate.asked
            if asked is None or asked.over or now < asked.request.deadline_us - _MARGIN:
                continue
            if asked.decided is None and not asked.slept:
                # The slack is over long before.
                self.breaks("by_hard_stop", f"{gate.name} still waits for the store")
            if asked.sent:
                self._back(gate, Outcome.TIMED_OUT)
            else:
                asked.end("denied")

    def _settle(self, gate: Gate) -> None:
        """What is done behind: steps of what waits to be written, and calls of this moment."""
        if gate.stopped:
            return
        gate.marks.run_background_step(self.clock.at)
        while gate.timers.line and gate.timers.line[0].due_us <= self.clock.at and gate.life:
            gate.timers.run_due()

    def _settle_all(self) -> None:
        for gate in self.gates:
            self._settle(gate)

    # States.

    def quiet(self) -> bool:
        return not self.questions and all(gate.asked is None or gate.asked.over for gate in self.gates)

    def moment(self) -> float:
        """Milliseconds since the start, for traces."""
        return (self.clock.at - START) / MILLI


def _name(one: Question) -> str:
    return f"g{one.gate}/{one.number}"


CONFIGURATIONS = {"marks": Marked}

MUTANTS = (
    Mutant(
        "marked_after_the_relay",
        "deduplicated",
        "marks",
        lines(
            (
                RecordLookup.start,
                "health = self._session.health",
                "guarded.dispatch_until_us = guarded.timing.deadline_us; "
                "self._open_requests.deliver(guarded, Proceed(0, 0), now_us); return",
            )
        ),
    ),
    Mutant(
        "fence_ignored",
        "deduplicated",
        "marks",
        lines(
            (
                marks._is_holder,
                "(record.fence, record.owner, record.incarnation) "
                "== (event.fence, event.owner, event.incarnation)",
                "True",
            )
        ),
    ),
    Mutant(
        "lease_by_timer_alone",
        "deduplicated",
        "marks",
        lines((OpenRequests.may_dispatch, "and now_us < guarded.dispatch_until_us", "")),
    ),
    Mutant(
        "unknown_is_unrun",
        "deduplicated",
        "marks",
        lines(
            (
                OpenRequests.settle,
                "EventKind.UNKNOWN if guarded.may_have_run else EventKind.NOT_EXECUTED",
                "EventKind.NOT_EXECUTED",
            )
        ),
    ),
    Mutant(
        "set_for_compare_and_set",
        "deduplicated",
        "marks",
        lines(
            (
                codec.compare_and_set,
                '(b"EVALSHA", COMPARE_AND_SET_SHA, *rest)',
                '(b"SET", COMPARE_AND_SET_SHA, *rest)',
            )
        ),
    ),
    Mutant(
        "takeover_forgets_the_first",
        "deduplicated",
        "marks",
        lines(
            (ExecutionGuard.make_claim, "min(record.earliest_dispatch_ms, store_now_ms)", "store_now_ms"),
            (
                marks._on_claim,
                "min(record.earliest_dispatch_ms, event.earliest_dispatch_ms)",
                "event.earliest_dispatch_ms",
            ),
        ),
    ),
    Mutant(
        "doubt_is_cleared",
        "deduplicated",
        "marks",
        lines(
            (
                marks._on_not_executed,
                "RecordState.UNKNOWN if record.has_uncertain_predecessor else RecordState.ABSENT",
                "RecordState.ABSENT",
            )
        ),
    ),
    Mutant(
        "asked_until_the_hard_stop",
        "by_hard_stop",
        "marks",
        lines(
            (
                RecordLookup.start,
                "now_us + health.time_budget(slack_us, now_us)",
                "guarded.timing.deadline_us",
            )
        ),
    ),
    Mutant(
        "memory_without_its_margin",
        "deduplicated",
        "marks",
        lines(
            (
                guard.dedup_safety_margin_us,
                "_TRANSFER_MARGIN_US + dedup_window_us // _CLOCK_DRIFT_DIVISOR",
                "-2 * dedup_window_us",
            )
        ),
    ),
)
