"""One gateway that starts with a list on disk, two engines, and a register that comes back as it will.

The module, its route, what is kept and the records on disk are the real ones. An engine may do with a trial
or a relay what it will; the register's list changes, and it tells all of it, its last news, or a list from
before. The process is killed, or ends as planned, and starts again from what it wrote. `belief` is judged by
the world's own account of what this process has been told, which a restart takes back to what was written.
"""

from __future__ import annotations

from functools import cache
from typing import Any, NamedTuple
from unittest import mock

from cresstray.discovery.endpoint_list import Endpoint, EndpointEvent
from cresstray.membership import recovery as keeping
from cresstray.membership import snapshot as record
from cresstray.membership.confidence import HANDED, Moment
from cresstray.membership.estimate import Beliefs, How
from cresstray.membership.guard import Guard
from cresstray.membership.reconciliation import Numbers
from cresstray.membership.recovery import Keep
from cresstray.membership.snapshot_files import Found
from cresstray.model_checking.patching import Mutant, lines
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

START = 1_000_000_000_000
MILLI = 1_000
# Trials are asked again after 0.375 s and half of work's time is over after 1 s: each step may bring either.
_STEP = 500 * MILLI
# Past what is handed over, drains and warm-ups.
_LONG = HANDED + 1_000 * MILLI
_UP = START - 100_000 * MILLI  # both engines, as the disk has them
_LISTED = 5  # the register's number, as the disk was written
_PATIENCE = 10_000 * MILLI
_NAMES = "read", "put", "post"
_EFFECTS = "idempotent", "deduplicated", "at_most_once"
# How a trial and a relay may end, by the words of a trace.
_TRIALS = {"listens to": How.LISTENS, "refuses": How.REFUSED}
_ENDS = {
    "serves": Outcome.SUCCEEDED,
    "is not reached by": Outcome.UNREACHABLE,
    "cuts": Outcome.CONNECTION_LOST,
}


class Given(dict):
    """Settings, the same in all states: a copy holds no more than where they are."""

    def __reduce__(self) -> tuple:
        return _given, (self.part,)


@cache
def _given(part: str) -> Given:
    parts = {
        "FamilyInfo": {"CpuOfKind": [4]},
        "Limits": {"MaxAttempts": 2, "MaxRetryAfter": 2000},
        "Safety": {"WarmUp": 3000, "DrainGrace": 1000},
        "Services": [
            {
                "Name": name,
                "Effect": effect,
                "GoalTime": 20,
                "GiveUp": 10_000,
                "KeyTtl": 20_000,
                "LateValue": 0.5,
            }
            for name, effect in zip(_NAMES, _EFFECTS)
        ],
    }
    found = Given(
        parts[part]
        if part in ("FamilyInfo", "Limits", "Safety")
        else {
            **parts,
            **{name: _given(name) for name in ("FamilyInfo", "Limits", "Safety")},
            "Balancers": 1,
            "Localities": ["z"],
            "Flavors": ["m"],
        }
    )
    found.part = part
    return found


class Pool:
    """Links to one engine, as the route sees them."""

    def __init__(self, label: str, address: tuple[str, int]) -> None:
        self.engine, self.address = int(label[-8:], 16), address

    def move(self, address: tuple[str, int]) -> None:
        self.address = address

    def retire(self) -> None:
        """What is out comes back all the same."""

    def cancel_unwritten(self) -> None:
        """All that is sent here leaves at once."""


class Disk:
    """What was written, as bytes; in the place of files.Writer and its folder."""

    owner = "g"

    def __init__(self) -> None:
        self.folder, self.bytes, self.serial = self, b"", 0

    def write(self, made: record.Record) -> None:
        self.serial += 1
        self.bytes = record.encoded(made, self.serial)

    def read(self) -> Found:
        serial, found = record.decoded(self.bytes, self.owner)
        return Found(found, serial, "engines.a", [])


class Word(NamedTuple):
    """That one is gone: as started then, by the register's word of this number."""

    started: int
    number: int


class Account:
    """What one process knows, by what it was told and what it read; not by what it has made of it."""

    def __init__(self) -> None:
        self.number = 0  # the highest of the register
        self.named: dict[int, tuple[int, int]] = {}  # by id: start and port, as last named or read
        self.gone: dict[int, Word] = {}
        # Of this process alone.
        self.told: set[int] = set()
        self.served: set[int] = set()
        self.failed: set[int] = set()
        self.heard: dict[int, int] = {}  # when a trial last found one that listens
        self.cold: dict[int, int] = {}  # listed on no word but ours, and from when on
        self.handed = False

    def written(self) -> tuple[int, dict, dict]:
        return self.number, dict(self.named), dict(self.gone)

    def __getstate__(self) -> tuple:
        # In one order, whatever came first.
        return (
            self.number,
            sorted(self.named.items()),
            sorted(self.gone.items()),
            sorted(self.told),
            sorted(self.served),
            sorted(self.failed),
            sorted(self.heard.items()),
            sorted(self.cold.items()),
            self.handed,
        )

    def __setstate__(self, state: tuple) -> None:
        number, named, gone, told, served, failed, heard, cold, handed = state
        self.number, self.named, self.gone, self.told = number, dict(named), dict(gone), set(told)
        self.served, self.failed, self.heard, self.cold = set(served), set(failed), dict(heard), dict(cold)
        self.handed = handed

    def read(self, kept: tuple[int, dict, dict]) -> None:
        number, named, gone = kept
        for engine, word in gone.items():
            known = self.gone.get(engine, word)
            if engine not in self.told:
                # The register's word, whoever heard it; only its later one to this process counts more.
                self.bury(engine, max(word.started, known.started), max(word.number, known.number))
        for engine, what in named.items():
            word = self.gone.get(engine)
            if word is not None and (what[0] > word.started or number > word.number):
                del self.gone[engine]  # it was named again after that
                word = None
            if word is None and engine not in self.told:
                self.named[engine] = what
        self.number = max(self.number, number)

    def bury(self, engine: int, started: int, number: int) -> None:
        known, word = self.named.pop(engine, (0, 0)), self.gone.get(engine, Word(0, 0))
        self.gone[engine] = Word(max(started, known[0], word.started), max(number, word.number))
        for held in (self.told, self.served, self.failed):
            held.discard(engine)
        self.cold.pop(engine, None)

    def hear(self, event: EndpointEvent) -> None:
        """The register's word, before anybody has made anything of it."""
        older, ids = event.index < self.number, {member.id for member in event.endpoints}
        for member in event.endpoints:
            word, known = self.gone.get(member.id), self.named.get(member.id)
            if member.state is EndpointState.REMOVED:
                self.bury(member.id, member.started_us, event.index)
            elif not (
                word
                and member.started_us <= word.started
                and event.index <= word.number
                or older
                and known
                and known[0] > member.started_us
            ):
                for other, (started, port) in list(self.named.items()):
                    if port == member.port and other not in ids:
                        self.bury(other, started, event.index)
                self.gone.pop(member.id, None)
                self.named[member.id] = member.started_us, member.port
                self.told.add(member.id)
        if event.is_complete and not older:
            for engine in [engine for engine in self.named if engine not in ids]:
                self.bury(engine, 0, event.index)
        self.number = max(self.number, event.index)


class Asked:
    """One submission: its place in _NAMES."""

    __slots__ = ("kind", "submission", "over")

    def __init__(self, kind: int) -> None:
        self.kind, self.over = kind, False
        self.submission: Request | None = None


class Believed(Copied):
    """One gateway, its disk, its engines and the register. The world is the module's port as well."""

    def __init__(self, bounds: Bounds, faults: int, words: int, changes: int, steps: int) -> None:
        self.clock = VirtualClock(START)
        self.broken: list[str] = []
        self.disk = Disk()
        self.faults = faults if bounds.faults is None else bounds.faults  # failed trials and relays
        self.lives = 1 if bounds.leaves is None else bounds.leaves  # restarts
        self.words = words if bounds.words is None else bounds.words  # what the register tells
        self.changes, self.steps, self.longs = min(changes, self.words), steps, 1
        self.asking = 1 if bounds.submissions is None else bounds.submissions  # that still come
        self.list = {n: Endpoint(n, "e", 1 + n, EndpointState.READY, 0, 0, 0, _UP) for n in (0, 1)}
        self.before, self.news, self.number = list(self.list.values()), [], _LISTED
        self.account, self.written = Account(), (_LISTED, {0: (_UP, 1), 1: (_UP, 2)}, {})
        self.handed_at: int | None = None  # when what is on disk was handed over
        self.unread: tuple[record.Record, tuple, int] | None = None  # the last write of one that still ends
        self._begin()
        self.disk.write(
            record.Record(
                owner=Disk.owner,
                wall=START - 5_000 * MILLI,
                boot="b",
                ticked=START - 5_000 * MILLI,
                number=_LISTED,
                handed=False,
                zones=["z"],
                machines=["m"],
                engines=[record.engine(one, 0) for one in self.before],
                tombs=[],
                tariffs=[],
                limits=[],
                marks=[],
            )
        )
        self._start()

    # A process.

    def _begin(self) -> None:
        self.begun = now = self.clock.at
        self.timers = VirtualTimers(self.clock)
        self.counters = Uncounted()
        self.route = Router(Pool, self)
        self.gateway = PolicyController(self, parse_settings(_given("")), 0, now)
        self.gateway.random = fixed
        self.keep = Keep(self.disk, _given(""), self.gateway, fixed, self.counters, untold, self._moment, now)
        self.gateway.admission_rules = Guard(self.keep, self.gateway)
        self.asked = [Asked(kind) for kind in range(len(_NAMES))]
        self.trials: list[Endpoint] = []
        self.out: dict[Attempt, int] = {}  # and the engine that has it

    def _start(self) -> None:
        self.keep.begin(self.clock.at)
        self.account.read(self.written)
        self._ask_engines()

    def _moment(self) -> Moment:
        return Moment(self.clock.at, "b", self.clock.at)

    def _ask_engines(self) -> None:
        self.keep.asks(self.clock.at)
        while self.keep._asked:
            self.trials.append(self.keep._asked.popleft())

    def _look(self) -> None:
        event = self.keep.look(self.clock.at)
        if event is not None:
            self._give(event)

    def _give(self, event: EndpointEvent) -> None:
        now, account = self.clock.at, self.account
        for member in event.endpoints:
            if member.state is EndpointState.REMOVED:
                account.cold.pop(member.id, None)
                continue
            known, told = account.cold.get(member.id), member.id in account.told
            warm = self._warm(member.id)
            if member.id in account.gone:
                self.breaks(f"{_name(member.id)} is known gone and listed")
            if member.started_us < account.named.get(member.id, (0, 0))[0]:
                self.breaks(f"{_name(member.id)} is listed by an older start than is known")
            if not told and not warm and member.started_us < account.heard.get(member.id, now):
                self.breaks(f"{_name(member.id)} is listed as started before it was found to listen")
            if known is not None and member.started_us < known:
                self.breaks(f"{_name(member.id)} was listed as cold and is warm by an old start")
            if not told and not warm:
                account.cold[member.id] = account.heard.get(member.id, now)
        self.gateway.on_endpoints_updated(self.route.apply_event(event), event.is_complete, now)
        self.route.cancel_unsent(event)
        self.keep.listed(event, self.route.engines, now)

    def _warm(self, engine: int) -> bool:
        """Whether it was found to listen as one that was handed over, and has not failed since."""
        account = self.account
        found = account.heard.get(engine)
        return (
            account.handed
            and found is not None
            and found - self.begun < HANDED
            and engine not in account.failed
        )

    def breaks(self, seen: str, name: str = "belief") -> None:
        self.broken.append(f"{name}: {seen}")

    # interface.Port, and the stage behind the route.

    def send_attempt(self, attempt: Attempt, patience: int) -> None:
        self.route.route(attempt, dict.fromkeys([attempt.request]), patience)

    def send(self, attempt: Attempt, _errand: None, pool: Pool, _patience: int) -> None:
        engine, account = pool.engine, self.account
        asked = self._of(attempt.request)
        if engine in account.gone:
            self.breaks(f"{_NAMES[asked.kind]} is sent to {_name(engine)}, which is known gone")
        if asked.kind == 2 and engine not in account.told and engine not in account.served:
            self.breaks(f"{_NAMES[asked.kind]} is sent to {_name(engine)}, which is on trial")
        self.out[attempt] = engine

    def reject_request(self, request: Request, _come_back: int) -> None:
        self._over(request)

    def fail_request(self, request: Request) -> None:
        self._over(request)

    def cancel_attempt(self, attempt: Attempt) -> None:
        self.timers.call_after(0, lambda _: self._came_back(attempt, Outcome.CANCELLED))

    def call_later(self, delay: int, call: Any) -> None:
        self.timers.call_after(delay, call)

    def assign_resources(self, request: Request, megabytes: float, priority: int) -> None:
        """Nothing."""

    def log_event(self, _text: str) -> None:
        """Nothing."""

    def _of(self, request: Request) -> Asked:
        return self.asked[request.request_class.index]

    def _over(self, request: Request) -> None:
        asked = self._of(request)
        if asked.over:
            self.breaks(f"{_NAMES[asked.kind]} is answered twice", "one_answer")
        asked.over = True

    # Choices.

    def choices(self) -> list[str]:
        found = [
            f"{_name(member.id)} {how} the trial"
            for member in self.trials
            for how in _TRIALS
            if how == "listens to" or self.faults
        ]
        found += [
            f"{_name(engine)} {how} {_NAMES[attempt.request.request_class.index]}"
            for attempt, engine in self.out.items()
            for how in _ENDS
            if how == "serves" or self.faults
        ]
        # In one order: any other is the same, or comes of another moment.
        last = max((asked.kind for asked in self.asked if asked.submission), default=-1)
        found += [f"{_NAMES[kind]} is asked" for kind in range(last + 1, len(_NAMES)) if self.asking]
        if not (
            self.words
            or self.lives
            or self.asking
            or self.out
            or self.unread
            or any(asked.submission and not asked.over for asked in self.asked)
        ):
            return []  # nothing can be sent any more
        if self.keep.more:
            found.append("gateway lists")
        if self.words:
            found += ["register tells all", "register tells before"]
            found += ["register tells news"] * bool(self.news)
            if self.changes:
                found += self._changes()
        if self.lives:
            found += ["gateway is killed", "gateway ends"]
        if self.lives and self.account.written() != self.written:
            found.append("gateway writes")
        if self.lives and self.unread is None:
            found.append("gateway ends slowly")
        if self.unread is not None:
            found.append("last write is read")
        if self.trials:
            return found  # a connection is given up far sooner than time passes here
        if self.steps:
            found.append("time passes")
        # It ends what was handed over, drains and warm-ups; a last write is over within seconds.
        drains = any(
            belief.member.state is EndpointState.DRAINING for belief in self.keep.beliefs.engines.values()
        )
        if self.longs and self.unread is None and (self.account.handed or drains):
            found.append("long time passes")
        return found

    def _changes(self) -> list[str]:
        found = []
        # The two engines are alike at first: what changes is e0, and the one that takes its place.
        for number, member in self.list.items():
            if number != 1:
                found += [f"register: {_name(number)} goes", f"register: {_name(number)} starts anew"]
                found += [f"register: {_name(number)} drains"] * (member.state is EndpointState.READY)
                found += [f"register: {_name(number)} is replaced"] * (2 not in self.list)
        return found

    def do(self, choice: str) -> None:
        """One step. What leaves the code as an exception is a breach as well."""
        try:
            self._do(choice, choice.split(" "))
        except Exception as trouble:
            frame = trouble.__traceback__
            while frame.tb_next is not None:
                frame = frame.tb_next
            self.breaks(f"{type(trouble).__name__} in {frame.tb_frame.f_code.co_qualname}", "sound")

    def _do(self, choice: str, parts: list[str]) -> None:
        if choice.endswith("is asked"):
            self._ask(_NAMES.index(parts[0]))
        elif choice.endswith(" the trial"):
            self._tried(int(parts[0][1:]), _TRIALS[" ".join(parts[1:-2])])
        elif parts[0] == "register:":
            self._change(int(parts[1][1:]), " ".join(parts[2:]))
        elif parts[0] == "register":
            self._tell(parts[2])
        elif choice == "gateway lists":
            self._look()
        elif choice == "gateway writes":
            self._write(False)
        elif parts[0] == "gateway":
            self._restart(parts)
        elif choice == "last write is read":
            self._read_last()
        elif choice.endswith("time passes"):
            self._pass_time(parts[0] == "long")
        else:
            attempt = next(one for one in self.out if _NAMES[one.request.request_class.index] == parts[-1])
            self._came_back(attempt, _ENDS[" ".join(parts[1:-1])])

    def _ask(self, kind: int) -> None:
        self.asking -= 1
        now, asked = self.clock.at, self.asked[kind]
        asked.submission = Request(self.gateway.request_classes[kind], now, now + _PATIENCE)
        if self.keep.refuses(asked.submission, now) is not None:
            self._over(asked.submission)
        else:
            self.gateway.accept(asked.submission, now)

    def _tried(self, engine: int, how: How) -> None:
        member = next(one for one in self.trials if one.id == engine)
        self.trials.remove(member)
        if how is How.LISTENS:
            self.account.heard[engine] = self.clock.at
        else:
            self.faults -= 1
            self.account.failed.add(engine)

        async def knocked(*_: object) -> How:
            return how

        with mock.patch.object(keeping, "knock", knocked):
            try:
                self.keep._trial(member, self.clock.now).send(None)
            except StopIteration:
                return
        raise AssertionError("a trial waits for more than its connection")

    def _came_back(self, attempt: Attempt, ending: Outcome) -> None:
        engine, now = self.out.pop(attempt, None), self.clock.at
        if engine is None:
            return
        if ending is Outcome.SUCCEEDED:
            if self.route.engines.get(engine) is attempt.engine:
                self.account.served.add(engine)
        else:
            self.faults -= ending is not Outcome.CANCELLED
            if ending is Outcome.UNREACHABLE:
                self.account.served.discard(engine)
                self.account.failed.add(engine)
        self.keep.ended(attempt, ending, now)
        no_more = attempt.request.is_finished
        if ending is Outcome.SUCCEEDED and not no_more:
            self._over(attempt.request)
            no_more = True
        self.gateway.on_attempt_finished(attempt, ending, now - attempt.sent_us, no_more, {}, now)

    def _change(self, engine: int, how: str) -> None:
        self.changes, self.number = self.changes - 1, self.number + 1
        member, now = self.list[engine], self.clock.at
        if how == "goes":
            del self.list[engine]
            self.news = [_changed(member, state=EndpointState.REMOVED)]
        elif how == "is replaced":
            del self.list[engine]
            self.list[2] = _changed(member, id=2, started_us=now, state=EndpointState.READY)
            self.news = [self.list[2]]
        else:
            new = {
                "starts anew": {"started_us": now, "state": EndpointState.READY},
                "drains": {"state": EndpointState.DRAINING},
            }[how]
            self.list[engine] = _changed(member, **new)
            self.news = [self.list[engine]]

    def _tell(self, what: str) -> None:
        self.words -= 1
        # The register's link brings frames.
        self.counters.counts["coordinator frames"] ^= 1
        event = {
            "all": EndpointEvent(self.number, True, list(self.list.values())),
            "news": EndpointEvent(self.number, False, self.news),
            "before": EndpointEvent(_LISTED - 1, True, self.before),
        }[what]
        older, before = event.index < self.account.number, self.account.failed.copy()
        cold = dict(self.account.cold)
        self.account.hear(event)
        passed = self.keep.told(event, self.clock.at)
        for member in passed.endpoints:
            # What only an older list names, or what has failed us, may have started since the register knew.
            if (
                member.state is not EndpointState.REMOVED
                and (older or member.id in before)
                and member.id not in cold
                and self.route.engines.get(member.id) is None
                and not self._warm(member.id)
                and member.started_us < self.clock.at
            ):
                self.breaks(f"{_name(member.id)} is warm by the word of a list that is behind")
        self._give(passed)

    def _write(self, handed: bool) -> None:
        self.disk.write(self.keep.record(self.clock.at, (), handed)())
        self.written = self.account.written()
        self.handed_at = self.clock.at if handed else None

    def _restart(self, parts: list[str]) -> None:
        self.lives -= 1
        handed = parts[1] == "ends"
        self.unread = None
        if parts[-1] == "slowly":
            # Its successor reads what is there; the last write comes later.
            self.unread = self.keep.record(self.clock.at, (), True)(), self.account.written(), self.clock.at
        elif handed:
            self._write(True)
        self.clock.at += _STEP
        self.account = Account()
        self._begin()
        # Who hands over may be followed by several, for some seconds.
        self.account.handed = self.handed_at is not None and self.clock.at - self.handed_at < HANDED
        self._start()

    def _read_last(self) -> None:
        made, written, self.handed_at = self.unread
        self.unread = None
        self.disk.write(made)
        self.account.handed, self.written = self.clock.at - self.handed_at < HANDED, written
        self.account.read(written)
        self.keep._take(self.disk.read(), self.clock.at)
        self._look()
        self._ask_engines()

    def _pass_time(self, long: bool) -> None:
        self.steps, self.longs = self.steps - (not long), self.longs - long
        self.clock.at += _LONG if long else _STEP
        self.timers.run_due()
        self._look()
        self._ask_engines()

    # States.

    def quiet(self) -> bool:
        return not self.out and not self.trials

    def moment(self) -> float:
        """Milliseconds since the start, for traces."""
        return (self.clock.at - START) / MILLI


def _name(engine: int) -> str:
    return f"e{engine}"


def _changed(member: Endpoint, **changes: object) -> Endpoint:
    fields = {name: getattr(member, name) for name in member.__struct_fields__}
    return Endpoint(**fields | changes)


CONFIGURATIONS = {
    # What the register tells and what is read again; and engines that fail while it is heard of once.
    "belief": lambda bounds: Believed(bounds, 0, 2, 1, 1),
    "trials": lambda bounds: Believed(bounds, 1, 1, 0, 3),
}

MUTANTS = (
    Mutant(
        "tombstones_forgotten_at_restart",
        "belief",
        "belief",
        lines(
            (
                Keep.record,
                "record.bounded(beliefs.tombs.kept(now), list(marks))",
                "record.bounded([], list(marks))",
            )
        ),
    ),
    Mutant(
        "older_list_taken_as_newer",
        "belief",
        "belief",
        lines((Numbers.take, "if number >= self.highest:", "if True:")),
    ),
    Mutant(
        "warm_though_not_handed_over",
        "belief",
        "belief",
        lines((Beliefs._list, "self.handed\n        and now - self.begun < HANDED\n        and ", "")),
    ),
    Mutant(
        "once_only_sent_on_trial",
        "belief",
        "belief",
        lines((Guard.allows, "or not self._keep.on_trial(engine)", "or True")),
    ),
    Mutant(
        "just_listed_is_no_trial",
        "belief",
        "belief",
        lines((Keep.on_trial, "return engine.forwarding is None", "return False")),
    ),
    Mutant(
        "refused_is_no_trial",
        "belief",
        "trials",
        lines((Keep.on_trial, "not in (State.TOLD, State.CONFIRMED)", "is State.ON_TRIAL")),
    ),
    Mutant(
        "newer_start_unheard",
        "belief",
        "belief",
        lines((Beliefs._remember, "and member.started_us > known.member.started_us", "and False")),
    ),
    Mutant(
        "left_out_is_kept", "belief", "belief", lines((Beliefs.told, "if engine not in named]", "if False]"))
    ),
    Mutant(
        "older_start_believed",
        "belief",
        "belief",
        lines((Beliefs._outdated, "number < self.numbers.highest\n        and", "False and")),
    ),
    Mutant(
        "address_of_another_kept",
        "belief",
        "belief",
        lines((Beliefs._claim, "if owner == member.id or owner in named:", "if True:")),
    ),
    Mutant(
        "listed_though_told_gone",
        "belief",
        "belief",
        lines(
            (
                Keep.told,
                "self._pending.pop(member.id, None)\n"
                "    if passed.is_complete:\n        self._pending.clear()",
                "pass",
            )
        ),
    ),
    Mutant(
        "warm_as_the_register_had_it",
        "belief",
        "belief",
        lines((Beliefs._started, "return max(member.started_us, known.since)", "return member.started_us")),
    ),
    Mutant(
        "last_write_unheard",
        "belief",
        "belief",
        lines(
            (
                Beliefs._older,
                "belief.state is not State.TOLD",
                "belief.state in (State.REMEMBERED, State.CONTRADICTED)",
            )
        ),
    ),
    Mutant(
        "refusal_forgotten_once_asked_again",
        "belief",
        "trials",
        lines(
            (
                Beliefs._started,
                "known is not None and known.failed",
                "known is not None and known.state is State.CONTRADICTED",
            )
        ),
    ),
    Mutant(
        "refusal_forgotten_with_the_last_write",
        "belief",
        "trials",
        lines((Beliefs._remember, "0 if known is None else known.failed", "0")),
    ),
)
