"""Joins beliefs, files and what was learnt to one gateway, as the service calls it."""

from __future__ import annotations

import time
from collections import deque
from collections.abc import Callable, Mapping, Sequence
from typing import Any

from anyio.abc import TaskGroup

from cresstray.discovery.endpoint_list import Endpoint, EndpointEvent
from cresstray.membership import learned_state as learnt
from cresstray.membership import snapshot as record
from cresstray.membership.background_writer import Behind
from cresstray.membership.confidence import HANDED, OLDEST, Moment, age
from cresstray.membership.connection_probe import knock
from cresstray.membership.estimate import Beliefs, How, Source, State
from cresstray.membership.snapshot_files import Found, Writer, WriteResult
from cresstray.observability.counters import Counters
from cresstray.policy.controller import PolicyController
from cresstray.policy.engine_state import EngineState
from cresstray.policy.settings import to_microseconds
from cresstray.policy.types import Attempt, EndpointState, Engine, Outcome, Request

# What a relay's end says of a remembered engine. Faults of work say nothing: it runs work, so it is one. An
# answer that can't be read may be another service's, which may be for a moment only.
_HOW = {
    Outcome.SUCCEEDED: How.SERVED,
    Outcome.OVERLOADED: How.SERVED,
    Outcome.FAILED: How.SERVED,
    Outcome.UNREACHABLE: How.REFUSED,
    Outcome.TIMED_OUT: How.SILENT,
    Outcome.CONNECTION_LOST: How.SILENT,
    Outcome.PROTOCOL_ERROR: How.SILENT,
}
# Without a stated grace an engine is given so long to end.
_GRACE = 10_000
# Connections made and closed at once, and microseconds of the loop for each: a tick's budget of background
# work. The 64 that a round may have took 6 ms of it in one piece, which live answers waited for.
AT_ONCE, KNOCK = 2, 100
# Engines that are listed at once: a quarter of a millisecond for route and module, of which a half is for
# those listed before.
LISTED_AT_ONCE = 8
# Engines of which the record is made in one piece, some 80 us, and seconds for the loop in between.
_PIECE, _BREATH = 50, 50e-6


class Keep:
    """`say` prints a line for operators; `moment` reads all clocks, `now` is the module's."""

    def __init__(
        self,
        writer: Writer,
        settings: Mapping[str, Any],
        gateway: PolicyController,
        chance: Callable[[], float],
        counters: Counters,
        say: Callable[[str], None],
        moment: Callable[[], Moment],
        now: int,
    ) -> None:
        limits, safety = settings.get("Limits", {}), settings.get("Safety", {})
        self._writer, self._gateway, self._chance, self._moment = writer, gateway, chance, moment
        self._counters, self._say = counters, say
        self._names = [service.get("Name", "") for service in settings.get("Services", [])]
        self._zones, self._machines = settings.get("Localities", []), settings.get("Flavors", [])
        self._patience = to_microseconds(limits.get("ConnectTimeout", 250))
        self.beliefs = Beliefs(
            to_microseconds(safety.get("DrainGrace", _GRACE)),
            to_microseconds(limits.get("MaxRetryAfter", 0)),
            chance,
            now,
        )
        self.behind = Behind(chance, now)
        self._pending: dict[int, Endpoint] = {}  # to be listed at the next step
        self._asked: deque[Endpoint] = deque()  # on trial, and still to be connected to
        self._engines: dict[int, tuple[Engine, EngineState]] = {}
        self._ids: dict[Engine, int] = {}
        self._same: set[int] = set()  # told, in the life that they were remembered in
        self._limits: dict[int, record.Limit] = {}
        self._age, self._begun, self._serial, self._frames = OLDEST, now, 0, 0
        self._last: list[str] | None = None  # marks of the last write, once this gateway ends
        self._final = False  # the last write has begun
        self._trouble = ""
        self.done = False  # the last write is at its end
        self.marks: list[str] = []  # handed over: names that were in use a few seconds ago

    # The start, and what another process leaves while it ends.

    def begin(self, now: int) -> None:
        self._take(self._writer.folder.read(), now)

    def _take(self, found: Found, now: int) -> None:
        for line in found.skipped:
            self._counters.add("kept files skipped")
            self._say(line)
        kept = found.record
        if kept is None or found.serial <= self._serial:
            return
        self._serial, self._age = found.serial, age(kept.moment, self._moment())
        members = [
            (member, min(OLDEST, self._age + before))
            for member, before in record.members(kept, self._zones, self._machines)
        ]
        # Danger: only the reading that nobody sets says that a few seconds are a few seconds.
        handed = kept.handed and kept.boot == self._moment().boot != "" and self._age < HANDED
        told = self.beliefs.remembered(members, kept.number, kept.tombs, Source.DISK, now, handed)
        self._pending.update((member.id, member) for member in told)
        self._limits = {one.id: one for one in kept.limits}
        put = learnt.put_tariffs(self._gateway, self._names, kept.tariffs, self._age)
        self.marks = kept.marks if handed else []
        self._say(
            f"remembers {len(members)} engines and {put} tariffs, "
            + ("of an unknown age" if self._age >= OLDEST else f"{self._age / 1e6:.0f} s old")
            + (", handed over" if handed else "")
        )

    # The list: before and after the module hears of it.

    def told(self, event: EndpointEvent, now: int) -> EndpointEvent:
        """The event as route and module may have it."""
        before = {
            member.id: belief.member.started_us
            for member in event.endpoints
            if (belief := self.beliefs.engines.get(member.id)) is not None
            and belief.state in (State.ON_TRIAL, State.CONFIRMED)
        }
        passed = self.beliefs.told(event, now)
        self._same = {member.id for member in passed.endpoints if before.get(member.id) == member.started_us}
        left_out = len(event.endpoints) - len(passed.endpoints)
        if left_out:
            self._counters.add("kept: members of old lists left out", left_out)
        for member in passed.endpoints:
            self._pending.pop(member.id, None)
        if passed.is_complete:
            self._pending.clear()
        self.behind.changed(now)
        return passed

    def listed(self, event: EndpointEvent, engines: Mapping[int, Engine], now: int) -> None:
        """After the module has heard of `event`; `engines`: the route's, by id. Limits start as they were."""
        for member in event.endpoints:
            engine = engines.get(member.id)
            if engine is None or engine.policy_state is None:
                continue
            old = self._engines.get(member.id)
            if old is None or old[0] is not engine or old[1] is not engine.policy_state:
                self._start(member, engine, old[1] if old and old[0] is engine else None, now)
            self._engines[member.id], self._ids[engine] = (engine, engine.policy_state), member.id
        if len(self._engines) > len(engines):
            self._engines = {number: held for number, held in self._engines.items() if number in engines}
            self._ids = {held[0]: number for number, held in self._engines.items()}

    def _start(self, member: Endpoint, engine: Engine, old: EngineState | None, now: int) -> None:
        told = self.beliefs.state(member.id) is State.TOLD
        if old is not None and member.id in self._same:
            learnt.carry(old, engine.policy_state)
            return
        kept = self._limits.get(member.id)
        if kept is not None:
            passed = min(OLDEST, self._age + max(0, now - self._begun))
            learnt.put_limit(engine.policy_state, kept, member.started_us if told else None, passed)
        if not told:
            learnt.on_trial(engine.policy_state, self._chance, now)

    # What happens meanwhile.

    def ended(self, attempt: Attempt, ending: Outcome, now: int) -> None:
        engine, how = self._ids.get(attempt.engine), _HOW.get(ending)
        if engine is not None and how is not None and self.beliefs.state(engine) is not State.TOLD:
            self._answered(engine, how, now)

    def _answered(self, engine: int, how: How, now: int) -> None:
        before = self.beliefs.state(engine)
        for member in self.beliefs.answered(engine, how, now):
            self._pending[member.id] = member
        after = self.beliefs.state(engine)
        if before is not after and after is not None:
            self._counters.add(f"kept: engines {after.value}")
            self.behind.changed(now)

    def refuses(self, request: Request, now: int) -> int | None:
        """When to come back, in microseconds, where nothing is known well enough to send this to."""
        request_class = request.request_class
        wait = self.beliefs.refuses(request_class.is_idempotent or request_class.is_deduplicated, now)
        if wait is not None:
            self._counters.add("kept: refused rather than guessed")
        return wait

    def on_trial(self, engine: Engine) -> bool:
        number = self._ids.get(engine)
        if number is None:
            # Danger: what is held may be sent while the module hears of it, before `listed` here.
            return engine.forwarding is None
        # Danger: a relay that has just failed makes it contradicted, and the module sends on before it hears.
        return self.beliefs.state(number) not in (State.TOLD, State.CONFIRMED)

    def forget(self, engine: int, now: int) -> bool:
        """An operator's word that it is gone. False: the register names it, or nobody does."""
        if self.beliefs.state(engine) in (None, State.TOLD, State.GONE):
            return False
        self._pending.update((member.id, member) for member in self.beliefs.forget(engine, now))
        self.behind.changed(now)
        return True

    def status(self, now: int) -> list[dict[str, Any]]:
        """What is believed, a plain map for each engine; ages in seconds."""
        ages = {member.id: before for member, before in self.beliefs.kept(now)}
        return [
            {
                "id": f"s-{number:08x}",
                "address": f"{one.member.host}:{one.member.port}",
                "state": one.state.value,
                "source": one.source.value,
                "listed": one.listed,
                "age": None if ages.get(number, OLDEST) >= OLDEST else round(ages[number] / 1e6, 1),
                "failed": one.failed,
            }
            for number, one in self.beliefs.engines.items()
        ]

    def asks(self, now: int) -> bool:
        """A round of trials: who is due is asked by `knocks`. Whether there is any to be asked."""
        for member in self.beliefs.due(now):
            self._counters.add("kept: trials")
            self._asked.append(member)
        return bool(self._asked)

    def knocks(self, tasks: TaskGroup, now: Callable[[], int]) -> int:
        """Connects to some of them, each in a task that ends within a link's patience; to how many."""
        begun = min(AT_ONCE, len(self._asked))
        for _ in range(begun):
            tasks.start_soon(self._trial, self._asked.popleft(), now)
        return begun

    async def _trial(self, member: Endpoint, now: Callable[[], int]) -> None:
        how = await knock(member.host, member.port, self._patience)
        belief = self.beliefs.engines.get(member.id)
        # It may have been told of meanwhile, at another address.
        if belief is not None and (belief.member.host, belief.member.port) == (member.host, member.port):
            self._answered(member.id, how, now())

    def step(self, now: int) -> EndpointEvent | None:
        """`look` and `write`, for all there is."""
        event = self.look(now)
        self.write(now)
        return event

    def look(self, now: int, most: int | None = None) -> EndpointEvent | None:
        """What is to be listed, if anything, and what the register stands by; ten times a second.

        `most`: engines in it that are not gone; the rest is for the next look, see `more`.
        """
        frames = self._counters.counts["coordinator frames"]
        if frames != self._frames:
            self._frames = frames
            self.beliefs.alive(now)
        settled = self.beliefs.settle(now)
        if settled is not None:
            self._say("the register stands by smaller numbers than those kept: what it has not named is gone")
            self._pending.update((member.id, member) for member in settled.endpoints)
            self.behind.changed(now)
        members = list(self._pending.values())
        if most is not None and len(members) > most:
            # Danger: what is gone must not wait behind others to be listed.
            gone = [member for member in members if member.state is EndpointState.REMOVED]
            members = (
                gone + [member for member in members if member.state is not EndpointState.REMOVED][:most]
            )
        for member in members:
            del self._pending[member.id]
        return EndpointEvent(0, False, members) if members else None

    @property
    def more(self) -> bool:
        """Whether anything is still to be listed."""
        return bool(self._pending)

    # Writing, and handing over.

    def write(self, now: int) -> None:
        """Ends and begins writes; ten times a second, more often once the last one is under way."""
        outcome = self._writer.poll()
        if outcome is not None:
            self._written(outcome, now)
        if self._last is None:
            if self.behind.wants(now):
                self._begin_write(now, (), False)
        elif not self._final and self.behind.writing is None:
            self._final = True
            self._begin_write(now, self._last, True)

    def _written(self, outcome: WriteResult, now: int) -> None:
        if outcome.busy:
            self.behind.locked_out(now)
        else:
            self.behind.ended(not outcome.trouble, outcome.took, now)
            counts = self._counters.counts
            self._counters.add("kept: writes failed" if outcome.trouble else "kept: writes")
            counts["kept: bytes"] = outcome.size or counts["kept: bytes"]
            counts["kept: slowest write us"] = max(outcome.took, counts["kept: slowest write us"])
        if outcome.trouble != self._trouble:
            self._trouble = outcome.trouble
            self._say(
                f"can't be written: {outcome.trouble}; tried again" if outcome.trouble else "written again"
            )
        if outcome.found is not None and self._last is None:
            self._take(outcome.found, now)
            self.behind.changed(now)
        self.done = self._final

    def _begin_write(self, now: int, marks: Sequence[str], handed: bool) -> None:
        self.behind.began(now)
        self._writer.start(self.record(now, marks, handed), self._serial)

    def record(
        self, now: int, marks: Sequence[str] = (), handed: bool = False
    ) -> Callable[[], record.Record]:
        """All that is kept, as of now: gathered at once, and made by whoever calls what comes back."""
        at, beliefs, folder = self._moment(), self.beliefs, self._writer.folder
        evidence, limits = beliefs.evidence(now), learnt.limits(self._engines, beliefs.engines)
        tombs, open_marks = record.bounded(beliefs.tombs.kept(now), list(marks))
        number, request_classes = beliefs.numbers.highest, learnt.tariffs(self._gateway, self._names)

        # Danger: made on the loop it would take a millisecond of it for 500 engines, at each write. So does a
        # thread that holds the interpreter for as long.
        def make() -> record.Record:
            engines: list[record.Engine] = []
            for begin in range(0, len(evidence), _PIECE):
                engines += [
                    record.engine(member, max(0, min(OLDEST, now - known)))
                    for member, known in evidence[begin : begin + _PIECE]
                    if record.fits(member)
                ]
                time.sleep(_BREATH)
            return record.Record(
                owner=folder.owner,
                wall=at.wall,
                boot=at.boot,
                ticked=at.ticked,
                number=number,
                handed=handed,
                zones=list(self._zones),
                machines=list(self._machines),
                engines=engines,
                tombs=tombs,
                tariffs=request_classes,
                limits=[record.Limit(*limit) for limit in limits],
                marks=open_marks,
            )

        return make

    def hand_over(self, marks: Sequence[str], now: int) -> None:
        """The last write, for the successor; `write` is still to be called until `done`, or the time is up.

        `marks`: names in use of late. Once nothing more is sent, so that what is learnt is complete.
        """
        self._last = list(marks)
        self.write(now)

    @property
    def handing(self) -> bool:
        """Whether the last write has been asked for."""
        return self._last is not None

    def close(self) -> None:
        """Leaves the folder to the successor; while a write hangs it stays with this process."""
        if self.behind.writing is None:
            self._writer.folder.unlock()
