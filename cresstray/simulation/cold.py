"""A power loss in virtual time: all gateways and engines start at once, and the register is down.

The module, the route, the beliefs and the guard are the real ones. Made here: engines that fall when they are
pushed while cold, addresses that were given to others, a register that returns behind, breaks, and returns.
"""

from __future__ import annotations

import heapq
from collections import deque
from collections.abc import Callable
from random import Random
from typing import Any, NamedTuple

import msgspec

from cresstray.discovery.endpoint_list import Endpoint, EndpointEvent
from cresstray.membership import learned_state as learnt
from cresstray.membership.estimate import Beliefs, How, Source, State
from cresstray.membership.guard import Guard
from cresstray.membership.reconciliation import Tomb
from cresstray.membership.snapshot import Tariff
from cresstray.pipeline.routing import Router
from cresstray.policy.controller import PolicyController
from cresstray.policy.settings import parse_settings, to_microseconds
from cresstray.policy.types import Attempt, EndpointState, Engine, Outcome, Request

MS, SECOND = 1_000, 1_000_000
# As a process has it: a running time, of which the start is long ago.
START = 1_000 * SECOND
GRACE, WAIT, PATIENCE = 10 * SECOND, SECOND, 250 * MS
WARM_UP, FALL = 10 * SECOND, SECOND
CORES, SHARE, FACTOR = 4, 0.5, 2.0
ATTEMPTS = 4
# One way, drawn between these.
_DELAY = (100, 400)
# An engine that fell is up again after so long, cold.
_DOWN = 2 * SECOND
# Payoff is counted in pieces of half a second.
PIECE = 500 * MS
# Of the list: engines known to be gone that still answer, and those that the register takes back or loses.
_ODD = 0.01
_NUMBER = 5_000  # the register's, when the list was written


class Kind(NamedTuple):
    """Times in seconds; `work` is of all threads."""

    name: str
    share: float
    work: float
    threads: int
    soft: float
    hard: float
    payoff: float
    effect: str


KINDS = (
    Kind("lookup", 0.80, 0.08, 1, 0.4, 2.0, 1.0, "idempotent"),
    Kind("report", 0.17, 0.16, 2, 0.8, 3.0, 5.0, "idempotent"),
    Kind("post", 0.03, 0.08, 1, 1.0, 3.0, 10.0, "at_most_once"),
)
MEAN = sum(kind.share * kind.work for kind in KINDS)
# What the module plans for at the most on a cold engine, in pieces of mean work in the settings' time: cores
# at 0.85 busy and 0.9 of nominal speed. It falls at N and three times its spread, and three, more.
BEARS = FACTOR * SHARE * CORES * 0.85 * 0.9 * FALL / SECOND / MEAN
FALLS = BEARS + 3 * BEARS**0.5 + 3


class Told(NamedTuple):
    """Shares of payoff by half seconds of arrival, from the power's return on; all else of the whole run."""

    payoff: list[float]
    bound: list[float]
    share: float
    share_bound: float
    known_gone: int  # sends to engines that the gateway had been told are gone
    strangers: int  # sends to addresses that have been given to others
    fallen: int
    peak: float  # the busiest time of a cold engine, against BEARS
    to_ninety: float | None  # seconds until nine tenths of the bound, and ever after; None: never


def settings(gateways: int) -> dict[str, Any]:
    return {
        "Balancers": gateways,
        "Localities": ["here"],
        "Flavors": ["std"],
        "Zone": 0,
        "FamilyInfo": {"CpuOfKind": [CORES], "Dop": [kind.threads for kind in KINDS]},
        "Limits": {"MaxAttempts": ATTEMPTS, "Cancel": True, "RetryAfter": True, "MaxRetryAfter": WAIT / MS},
        "Safety": {
            "DrainGrace": GRACE / MS,
            "BudgetWindow": 5000,
            "FreeResends": 5,
            "ResendRatio": 0.1,
            "WarmUp": WARM_UP / MS,
            "ColdShare": SHARE,
            "OverloadFactor": FACTOR,
            "Fall": FALL / MS,
        },
        "Report": {"Source": "inline"},
        "Services": [
            {
                "Name": kind.name,
                "Effect": kind.effect,
                "GoalTime": kind.soft * 1000,
                "GiveUp": kind.hard * 1000,
                "Worth": kind.payoff,
            }
            for kind in KINDS
        ],
    }


class _Job:
    __slots__ = ("owner", "relay", "left", "threads")

    def __init__(self, owner: _Gateway, attempt: Attempt, left: float, threads: int) -> None:
        self.owner, self.relay, self.left, self.threads = owner, attempt, left, threads


class _Engine:
    """Cores shared by all that runs, cold from `born` on; it falls when it is pushed."""

    def __init__(self, world: Cold) -> None:
        self.world, self.born, self.alive = world, world.now, True
        self.jobs: dict[Attempt, _Job] = {}
        self.at, self.turn = world.now, 0
        self.pushed: deque[tuple[int, float]] = deque()  # when, and work in seconds
        self.sum = 0.0

    def cold(self) -> bool:
        return self.world.now < self.born + WARM_UP

    def take(self, job: _Job) -> None:
        work = job.left / SECOND
        self.pushed.append((self.world.now, work))
        self.sum += work
        while self.pushed[0][0] <= self.world.now - FALL:
            self.sum -= self.pushed.popleft()[1]
        self._advance()
        self.jobs[job.relay] = job
        if self.cold():
            self.world.peak = max(self.world.peak, self.sum / MEAN / BEARS)
            if self.sum / MEAN > FALLS:
                self.world.fallen += 1
                self.die()
                self.world.after(_DOWN, self.start)
                return
        self._plan()

    def drop(self, attempt: Attempt) -> None:
        self._advance()
        if self.jobs.pop(attempt, None) is not None:
            self._plan()

    def die(self) -> None:
        self.alive, lost, self.jobs = False, list(self.jobs.values()), {}
        self.turn += 1
        for job in lost:
            self.world.after(
                self.world.delay(), lambda job=job: job.owner.end(job.relay, Outcome.CONNECTION_LOST)
            )

    def start(self) -> None:
        self.alive, self.born, self.at = True, self.world.now, self.world.now
        self.pushed.clear()
        self.sum = 0.0

    def _rate(self) -> float:
        threads = sum(job.threads for job in self.jobs.values())
        return min(1.0, CORES / threads) if threads else 1.0

    def _advance(self) -> None:
        done = (self.world.now - self.at) * self._rate()
        for job in self.jobs.values():
            job.left -= done * job.threads
        self.at = self.world.now

    def _plan(self) -> None:
        self.turn += 1
        if self.jobs:
            rate, turn = self._rate(), self.turn
            left = min(job.left / job.threads for job in self.jobs.values()) / rate
            self.world.after(max(1, int(left) + 1), lambda: self._done(turn))

    def _done(self, turn: int) -> None:
        if turn != self.turn:
            return
        self._advance()
        for job in [job for job in self.jobs.values() if job.left <= 1]:
            del self.jobs[job.relay]
            self.world.after(self.world.delay(), lambda job=job: job.owner.end(job.relay, Outcome.SUCCEEDED))
        self._plan()


class Unlinked:
    """In the place of the route's links to one engine: its address, and no connection."""

    def __init__(self, address: tuple[str, int]) -> None:
        self.address = address

    def move(self, address: tuple[str, int]) -> None:
        self.address = address

    def retire(self) -> None:
        pass

    def cancel_unwritten(self) -> None:
        """All that is sent here leaves at once."""


# What a relay's end says of a remembered engine, as kept/keep.py has it.
_HOW = {
    Outcome.SUCCEEDED: How.SERVED,
    Outcome.UNREACHABLE: How.REFUSED,
    Outcome.TIMED_OUT: How.SILENT,
    Outcome.CONNECTION_LOST: How.SILENT,
    Outcome.PROTOCOL_ERROR: How.SILENT,
}


class _Gateway:
    """The module's port and, with a list, what joins it to what is believed, as kept/keep.py does."""

    def __init__(self, world: Cold, number: int, listens: bool) -> None:
        self.world, self.works = world, {}  # of each submission that is not over, seconds
        self.chance = Random(f"{world.seed} gateway {number}").random
        self.module = PolicyController(
            self, parse_settings(settings(world.gateways)), world.seed * 1000 + number, world.now
        )
        self.route = Router(lambda label, address: Unlinked(address), self)
        self.beliefs = Beliefs(GRACE, WAIT, self.chance, world.now) if listens else None
        if listens:
            self.module.admission_rules = Guard(self, self.module)  # which asks `on_trial` only
        self.gone: set[int] = set()  # told so, and not raised again
        self.ids: dict[Engine, int] = {}
        self.pending: dict[int, Endpoint] = {}
        self.last = 0

    # The list, and what is believed of it.

    def begin(
        self, given: list[tuple[Endpoint, int]], tombs: list[Tomb], request_classes: list[Tariff], age: int
    ) -> None:
        self.beliefs.remembered(given, _NUMBER, tombs, Source.DISK, self.world.now)
        self.gone |= {tomb.id for tomb in tombs}
        learnt.put_tariffs(self.module, [kind.name for kind in KINDS], request_classes, age)
        self.world.after(int(100 * MS * self.chance()), self.step)

    def told(self, event: EndpointEvent) -> None:
        now = self.world.now
        older, self.last = event.index < max(self.last, _NUMBER * bool(self.beliefs)), event.index
        if self.beliefs:
            event = self.beliefs.told(event, now)
        named = {member.id for member in event.endpoints if member.state is not EndpointState.REMOVED}
        if not older:
            self.gone -= named
            self.gone |= {member.id for member in event.endpoints if member.state is EndpointState.REMOVED}
            if event.is_complete:
                self.gone |= set(self.route.engines) - named
        self.list(event)

    def list(self, event: EndpointEvent) -> None:
        now = self.world.now
        before = {number: engine.policy_state for number, engine in self.route.engines.items()}
        entries = self.route.apply_event(event)
        # What is held may be sent while the module hears of it.
        self.ids = {engine: number for number, engine in self.route.engines.items()}
        self.module.on_endpoints_updated(entries, event.is_complete, now)
        self.route.cancel_unsent(event)
        for member in event.endpoints if self.beliefs else ():
            engine = self.route.engines.get(member.id)
            if engine and engine.policy_state is not before.get(member.id) and self.on_trial(engine):
                learnt.on_trial(engine.policy_state, self.chance, now)

    def on_trial(self, engine: Engine) -> bool:
        number = self.ids.get(engine)
        return number is not None and self.beliefs.state(number) is State.ON_TRIAL

    def step(self) -> None:
        now = self.world.now
        if self.world.register_up:
            self.beliefs.alive(now)
        for member in self.beliefs.due(now):
            found = self.world.listens((member.host, member.port))
            how = How.LISTENS if found else How.REFUSED
            self.world.after(2 * self.world.delay(), lambda one=member.id, how=how: self.answered(one, how))
        settled = self.beliefs.settle(now)
        if settled is not None:
            self.pending.update((member.id, member) for member in settled.endpoints)
        members, self.pending = list(self.pending.values()), {}
        if members:
            self.list(EndpointEvent(0, False, members))
        self.world.after(100 * MS, self.step)

    def answered(self, number: int, how: How) -> None:
        self.pending.update((one.id, one) for one in self.beliefs.answered(number, how, self.world.now))

    # Submissions, and the module's port.

    def submit(self, kind: int, work: float, estimate: float) -> None:
        now, request_class = self.world.now, self.module.request_classes[kind]
        request = Request(
            request_class,
            now,
            now + to_microseconds(KINDS[kind].hard * 1000),
            estimated_work_us=int(estimate * SECOND),
        )
        if self.beliefs and self.beliefs.refuses(request_class.is_idempotent, now) is not None:
            return
        self.works[request] = work
        self.module.accept(request, now)

    def send_attempt(self, attempt: Attempt, patience: int) -> None:
        self.route.route(attempt, self.works, patience)

    def send(self, attempt: Attempt, work: float, way: Unlinked, patience: int) -> None:
        world, number = self.world, self.ids[attempt.engine]
        world.known_gone += number in self.gone
        world.after(world.delay(), lambda: self.arrive(attempt, work, way.address))
        world.after(patience, lambda: self.end(attempt, Outcome.TIMED_OUT))

    def arrive(self, attempt: Attempt, work: float, address: tuple[str, int]) -> None:
        if attempt.outcome is not None:
            return
        world, there = self.world, self.world.listens(address)
        if isinstance(there, _Engine):
            there.take(_Job(self, attempt, work * SECOND, attempt.request.request_class.threads))
            return
        world.strangers += there is not None
        ending = Outcome.UNREACHABLE if there is None else Outcome.PROTOCOL_ERROR
        world.after(world.delay(), lambda: self.end(attempt, ending))

    def end(self, attempt: Attempt, ending: Outcome) -> None:
        if attempt.outcome is not None:
            return
        now, request, number = self.world.now, attempt.request, self.ids.get(attempt.engine)
        if ending in (Outcome.TIMED_OUT, Outcome.CANCELLED) and number is not None:
            there = self.world.listens(self.route._pools[attempt.engine].address)
            if isinstance(there, _Engine):
                there.drop(attempt)
        how = _HOW.get(ending)
        if self.beliefs and number is not None and how and self.beliefs.state(number) is not State.TOLD:
            self.answered(number, how)
        served = ending is Outcome.SUCCEEDED
        if served and not request.is_finished:
            self.world.fulfilled(request)
        over = request.is_finished or served or len(request.attempts) >= ATTEMPTS
        self.module.on_attempt_finished(attempt, ending, now - attempt.sent_us, over, {}, now)
        if request.is_finished or served:
            self.works.pop(request, None)

    def cancel_attempt(self, attempt: Attempt) -> None:
        self.world.after(0, lambda: self.end(attempt, Outcome.CANCELLED))

    def reject_request(self, request: Request, come_back: int) -> None:
        self.works.pop(request, None)

    def fail_request(self, request: Request) -> None:
        self.works.pop(request, None)

    def call_later(self, delay: int, call: Callable[[int], None]) -> None:
        self.world.after(delay, lambda: call(self.world.now))

    def assign_resources(self, request: Request, megabytes: float, priority: int) -> None:
        pass

    def probe_engine(self, engine: Engine) -> None:
        pass

    def subscribe_to_endpoints(self) -> None:
        pass

    def log_event(self, text: str) -> None:
        pass


class Cold:
    """`age` in microseconds, None: no list. `changed`: the share of the list that is not as it was.

    A quarter each of what has changed: removed, moved to another address, its address given to others,
    started anew. The fleet is as large as the list; who is new is on no list until the register returns,
    after `down` seconds: first with a list that is older than the disk's, then, after a break of a second,
    with the true one, which takes back some that answer well and names some that refuse.
    """

    def __init__(
        self,
        seed: int,
        gateways: int,
        engines: int,
        age: int | None,
        changed: float,
        down: float = 60.0,
        load: float = 0.35,
        heavier: float = 1.0,
    ) -> None:
        """`load`: work asked for, as a share of all cores; `heavier`: than when it was learnt."""
        self.seed, self.gateways, self.now = seed, gateways, START
        self.random = Random(f"{seed} world")
        self.heap: list[tuple[int, int, Callable[[], None]]] = []
        self.count = 0
        self.known_gone = self.strangers = self.fallen = 0
        self.peak = 0.0
        self.register_up = False
        self.at: dict[tuple[str, int], _Engine | str] = {}
        self.asked: list[list[tuple[float, float]]] = []  # by piece: payoff and work of each
        self.got: list[float] = []
        self._rate = load * CORES * engines / MEAN
        listed, tombs, first, true = self._fleet(engines, changed)
        if age is None:
            listed = []
        self.fleet = [_Gateway(self, number, age is not None) for number in range(gateways)]
        # A warm life's usual times: an idle engine takes the work divided by the threads.
        usual = [(kind.name, kind.work / kind.threads * SECOND / heavier) for kind in KINDS]
        request_classes = [Tariff(name, 200, time, time, 1.1) for name, time in usual]
        for one in self.fleet if age is not None else ():
            one.begin([(member, age) for member in listed], tombs, request_classes, age)
        self.after(int(down * SECOND), lambda: self._returns(first))
        self.after(int((down + 2) * SECOND), lambda: self._returns(true))
        self.after(0, self._arrival)

    def _fleet(
        self, engines: int, changed: float
    ) -> tuple[list[Endpoint], list[Tomb], EndpointEvent, EndpointEvent]:
        """The disk's list, its tombstones, and what the register tells first and then."""
        part, odd = round(changed * engines / 4), max(1, round(_ODD * engines))
        listed = [self._member(number) for number in range(1, engines + 1)]
        drawn = self.random.sample(range(engines), 4 * part)
        removed, moved, given, anew = (set(drawn[at * part : (at + 1) * part]) for at in range(4))
        true, number = [], engines
        for at, member in enumerate(listed):
            address = member.port
            if at in given:
                self.at[member.host, member.port] = "stranger"
            if at in removed or at in given:
                number += 1
                member = self._member(number)
            elif at in moved:
                address = engines * 10 + at
            # Its machine's clock says when it started, after the power's return.
            true.append(
                msgspec.structs.replace(
                    member, port=address if at in moved else member.port, started_us=START
                )
            )
            self.at[true[-1].host, true[-1].port] = _Engine(self)
        zombies = [self._member(engines * 20 + at) for at in range(odd)]
        for member in zombies:
            self.at[member.host, member.port] = _Engine(self)
        tombs = [Tomb(member.id, member.started_us, _NUMBER - 10, 0) for member in zombies]
        first = EndpointEvent(_NUMBER - 20, True, [*listed, *zombies])
        taken_back, refusing = true[:odd], true[odd : 2 * odd]
        self._refusing = [(member.host, member.port) for member in refusing]
        return listed, tombs, first, EndpointEvent(_NUMBER + 100, True, true[len(taken_back) :])

    def _member(self, number: int) -> Endpoint:
        return Endpoint(number, "10.0.0.1", number, EndpointState.READY, 0, 0, 0, SECOND)

    def _returns(self, event: EndpointEvent) -> None:
        """Each gateway connects within the longest pause between its tries."""
        self.register_up = True
        if event.index > _NUMBER:
            for address in self._refusing:
                self.at[address].die()
        for one in self.fleet:
            self.after(self.random.randint(1 * MS, 300 * MS), lambda one=one: one.told(event))
        if event.index < _NUMBER:
            self.after(SECOND, self._breaks)

    def _breaks(self) -> None:
        self.register_up = False

    # Time, and what stands where.

    def after(self, delay: int, call: Callable[[], None]) -> None:
        self.count += 1
        heapq.heappush(self.heap, (self.now + delay, self.count, call))

    def delay(self) -> int:
        return self.random.randint(*_DELAY)

    def listens(self, address: tuple[str, int]) -> _Engine | str | None:
        there = self.at.get(address)
        return there if not isinstance(there, _Engine) or there.alive else None

    # What is asked, and what of it is answered in time.

    def _arrival(self) -> None:
        rng, piece = self.random, (self.now - START) // PIECE
        number = rng.choices(range(len(KINDS)), [kind.share for kind in KINDS])[0]
        kind = KINDS[number]
        work = max(0.002, kind.work * rng.gammavariate(2, 0.5))
        while len(self.asked) <= piece:
            self.asked.append([])
            self.got.append(0.0)
        self.asked[piece].append((kind.payoff, work))
        rng.choice(self.fleet).submit(number, work, work * rng.lognormvariate(0, 0.3))
        self.after(max(1, int(rng.expovariate(self._rate) * SECOND)), self._arrival)

    def fulfilled(self, request: Request) -> None:
        kind = KINDS[request.request_class.index]
        if self.now <= request.arrived_us + kind.soft * SECOND:
            self.got[(request.arrived_us - START) // PIECE] += kind.payoff

    def run(self, seconds: float) -> Told:
        until = START + int(seconds * SECOND)
        bears: list[float] = []
        while self.heap and self.heap[0][0] < until:
            self.now, _, call = heapq.heappop(self.heap)
            while len(bears) * PIECE <= self.now - START:
                bears.append(self._bears())
            call()
        self.now = until
        asked = [sum(payoff for payoff, _ in piece) for piece in self.asked]
        could = [_could(piece, most) for piece, most in zip(self.asked, bears)]
        # What came in the last pieces may still be answered in time.
        asked, could, got = (one[: len(one) - 2] for one in (asked, could, self.got))
        share = [part / whole for part, whole in zip(got, asked)]
        return Told(
            share,
            [part / whole for part, whole in zip(could, asked)],
            sum(got) / sum(asked),
            sum(could) / sum(asked),
            self.known_gone,
            self.strangers,
            self.fallen,
            self.peak,
            to_ninety(got, could, PIECE / SECOND),
        )

    def _bears(self) -> float:
        """Work that the engines there are can take now in a piece, cold ones as much as is planned for."""
        each = [
            BEARS * MEAN if one.cold() else CORES
            for one in self.at.values()
            if isinstance(one, _Engine) and one.alive
        ]
        return sum(each) * PIECE / SECOND


def _could(piece: list[tuple[float, float]], most: float) -> float:
    """Payoff that full knowledge would reach with so much work: the densest first."""
    got = 0.0
    for payoff, work in sorted(piece, key=lambda one: (-one[0] / one[1], one[1])):
        most -= work
        if most < 0:
            break
        got += payoff
    return got


def to_ninety(got: list[float], could: list[float], piece: float) -> float | None:
    """Seconds until nine tenths of what could be over the next two seconds, and over any five after that.

    Both by pieces of so many seconds. None: not even at the end.
    """
    short, long = (_missed(got, could, min(len(got), round(seconds / piece))) for seconds in (2, 5))
    if False not in short or long[-1]:
        return None
    lasting = len(long) - long[::-1].index(True) if True in long else 0
    return max(short.index(False), lasting) * piece


def _missed(got: list[float], could: list[float], count: int) -> list[bool]:
    """From each piece on, whether so many together fall short."""
    return [
        sum(got[at : at + count]) < 0.9 * sum(could[at : at + count]) for at in range(len(got) - count + 1)
    ]
