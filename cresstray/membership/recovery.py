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
from cresstray.membership.background_writer import WriteSchedule
from cresstray.membership.confidence import HANDOVER_VALIDITY_US, UNKNOWN_AGE_US, ClockReading, age_us
from cresstray.membership.connection_probe import probe_connection
from cresstray.membership.estimate import ContactResult, EstimateState, EvidenceSource, MembershipEstimate
from cresstray.membership.snapshot_files import ReadResult, SnapshotWriter, WriteResult
from cresstray.observability.counters import Counters
from cresstray.policy.controller import Limiter, PolicyController, micros
from cresstray.policy.types import Attempt, EndpointState, Engine, Outcome, Request

# What a relay's end says of a remembered engine. Faults of work say nothing: it runs work, so it is one. An
# answer that can't be read may be another service's, which may be for a moment only.
_HOW = {
    Outcome.SUCCEEDED: ContactResult.SERVED,
    Outcome.OVERLOADED: ContactResult.SERVED,
    Outcome.FAILED: ContactResult.SERVED,
    Outcome.UNREACHABLE: ContactResult.REFUSED,
    Outcome.TIMED_OUT: ContactResult.TIMED_OUT,
    Outcome.CONNECTION_LOST: ContactResult.TIMED_OUT,
    Outcome.PROTOCOL_ERROR: ContactResult.TIMED_OUT,
}
# Without a stated grace an engine is given so long to end.
_GRACE = 10_000
# Connections made and closed at once, and microseconds of the loop for each: a tick's budget of background
# work. The 64 that a round may have took 6 ms of it in one piece, which live answers waited for.
MAX_PROBES_AT_ONCE, PROBE_COST_US = 2, 100
# Engines that are listed at once: a quarter of a millisecond for route and module, of which a half is for
# those listed before.
MAX_LISTED_AT_ONCE = 8
# Engines of which the record is made in one piece, some 80 us, and seconds for the loop in between.
_PIECE, _BREATH = 50, 50e-6


class Membership:
    """`say` prints a line for operators; `moment` reads all clocks, `now` is the module's."""

    def __init__(
        self,
        writer: SnapshotWriter,
        settings: Mapping[str, Any],
        gateway: PolicyController,
        chance: Callable[[], float],
        counters: Counters,
        say: Callable[[str], None],
        moment: Callable[[], ClockReading],
        now: int,
    ) -> None:
        limits, safety = settings.get("Limits", {}), settings.get("Safety", {})
        self._writer, self._gateway, self._chance, self._moment = writer, gateway, chance, moment
        self._counters, self._say = counters, say
        self._names = [service.get("Name", "") for service in settings.get("Services", [])]
        self._zones, self._machines = settings.get("Localities", []), settings.get("Flavors", [])
        self._patience = micros(limits.get("ConnectTimeout", 250))
        self.estimate = MembershipEstimate(
            micros(safety.get("DrainGrace", _GRACE)), micros(limits.get("MaxRetryAfter", 0)), chance, now
        )
        self.write_schedule = WriteSchedule(chance, now)
        self._pending: dict[int, Endpoint] = {}  # to be listed at the next step
        self._queued_probes: deque[Endpoint] = deque()  # on trial, and still to be connected to
        self._engines: dict[int, tuple[Engine, Limiter]] = {}
        self._ids: dict[Engine, int] = {}
        self._same: set[int] = set()  # told, in the life that they were remembered in
        self._limits: dict[int, record.LimitEntry] = {}
        self._age, self._begun, self._serial, self._frames = UNKNOWN_AGE_US, now, 0, 0
        self._last: list[str] | None = None  # marks of the last write, once this gateway ends
        self._final = False  # the last write has begun
        self._trouble = ""
        self.is_handed_over = False  # the last write is at its end
        self.recovered_request_names: list[str] = []  # handed over: names that were in use a few seconds ago

    # The start, and what another process leaves while it ends.

    def recover(self, now: int) -> None:
        self._apply_snapshot(self._writer.folder.read(), now)

    def _apply_snapshot(self, found: ReadResult, now: int) -> None:
        for line in found.skipped_lines:
            self._counters.add("kept files skipped")
            self._say(line)
        kept = found.snapshot
        if kept is None or found.serial <= self._serial:
            return
        self._serial, self._age = found.serial, age_us(kept.written_at, self._moment())
        members = [
            (member, min(UNKNOWN_AGE_US, self._age + before))
            for member, before in record.to_endpoints(kept, self._zones, self._machines)
        ]
        # Danger: only the reading that nobody sets says that a few seconds are a few seconds.
        handed = (
            kept.is_handed_over
            and kept.boot_id == self._moment().boot_id != ""
            and self._age < HANDOVER_VALIDITY_US
        )
        told = self.estimate.merge_remembered(
            members, kept.index, kept.tombstones, EvidenceSource.DISK, now, handed
        )
        self._pending.update((member.id, member) for member in told)
        self._limits = {one.id: one for one in kept.limits}
        put = learnt.restore_latencies(self._gateway, self._names, kept.latencies, self._age)
        self.recovered_request_names = kept.request_names if handed else []
        self._say(
            f"remembers {len(members)} engines and {put} tariffs, "
            + ("of an unknown age" if self._age >= UNKNOWN_AGE_US else f"{self._age / 1e6:.0f} s old")
            + (", handed over" if handed else "")
        )

    # The list: before and after the module hears of it.

    def on_endpoint_event(self, event: EndpointEvent, now: int) -> EndpointEvent:
        """The event as route and module may have it."""
        before = {
            member.id: belief.endpoint.started_us
            for member in event.endpoints
            if (belief := self.estimate.endpoints.get(member.id)) is not None
            and belief.state in (EstimateState.PROBING, EstimateState.CONFIRMED)
        }
        passed = self.estimate.apply_event(event, now)
        self._same = {member.id for member in passed.endpoints if before.get(member.id) == member.started_us}
        left_out = len(event.endpoints) - len(passed.endpoints)
        if left_out:
            self._counters.add("kept: members of old lists left out", left_out)
        for member in passed.endpoints:
            self._pending.pop(member.id, None)
        if passed.is_complete:
            self._pending.clear()
        self.write_schedule.on_change(now)
        return passed

    def on_endpoints_listed(self, event: EndpointEvent, engines: Mapping[int, Engine], now: int) -> None:
        """After the module has heard of `event`; `engines`: the route's, by id. Limits start as they were."""
        for member in event.endpoints:
            engine = engines.get(member.id)
            if engine is None or engine.limiter is None:
                continue
            old = self._engines.get(member.id)
            if old is None or old[0] is not engine or old[1] is not engine.limiter:
                self._start(member, engine, old[1] if old and old[0] is engine else None, now)
            self._engines[member.id], self._ids[engine] = (engine, engine.limiter), member.id
        if len(self._engines) > len(engines):
            self._engines = {number: held for number, held in self._engines.items() if number in engines}
            self._ids = {held[0]: number for number, held in self._engines.items()}

    def _start(self, member: Endpoint, engine: Engine, old: Limiter | None, now: int) -> None:
        told = self.estimate.state_of(member.id) is EstimateState.REGISTERED
        if old is not None and member.id in self._same:
            learnt.copy_learned_state(old, engine.limiter)
            return
        kept = self._limits.get(member.id)
        if kept is not None:
            passed = min(UNKNOWN_AGE_US, self._age + max(0, now - self._begun))
            learnt.restore_limit(engine.limiter, kept, member.started_us if told else None, passed)
        if not told:
            learnt.delay_first_turn(engine.limiter, self._chance, now)

    # What happens meanwhile.

    def on_attempt_finished(self, attempt: Attempt, ending: Outcome, now: int) -> None:
        engine, how = self._ids.get(attempt.engine), _HOW.get(ending)
        if (
            engine is not None
            and how is not None
            and self.estimate.state_of(engine) is not EstimateState.REGISTERED
        ):
            self._on_contact(engine, how, now)

    def _on_contact(self, engine: int, how: ContactResult, now: int) -> None:
        before = self.estimate.state_of(engine)
        for member in self.estimate.on_contact(engine, how, now):
            self._pending[member.id] = member
        after = self.estimate.state_of(engine)
        if before is not after and after is not None:
            self._counters.add(f"kept: engines {after.value}")
            self.write_schedule.on_change(now)

    def retry_after_us(self, request: Request, now: int) -> int | None:
        """When to come back, in microseconds, where nothing is known well enough to send this to."""
        request_class = request.request_class
        wait = self.estimate.retry_after_us(request_class.is_idempotent or request_class.is_deduplicated, now)
        if wait is not None:
            self._counters.add("kept: refused rather than guessed")
        return wait

    def is_unproven(self, engine: Engine) -> bool:
        number = self._ids.get(engine)
        if number is None:
            # Danger: what is held may be sent while the module hears of it, before `listed` here.
            return engine.forwarding is None
        # Danger: a relay that has just failed makes it contradicted, and the module sends on before it hears.
        return self.estimate.state_of(number) not in (EstimateState.REGISTERED, EstimateState.CONFIRMED)

    def forget(self, engine: int, now: int) -> bool:
        """An operator's word that it is gone. False: the register names it, or nobody does."""
        if self.estimate.state_of(engine) in (None, EstimateState.REGISTERED, EstimateState.REMOVED):
            return False
        self._pending.update((member.id, member) for member in self.estimate.forget(engine, now))
        self.write_schedule.on_change(now)
        return True

    def status(self, now: int) -> list[dict[str, Any]]:
        """What is believed, a plain map for each engine; ages in seconds."""
        ages = {member.id: before for member, before in self.estimate.evidence_ages(now)}
        return [
            {
                "id": f"s-{number:08x}",
                "address": f"{one.endpoint.host}:{one.endpoint.port}",
                "state": one.state.value,
                "source": one.source.value,
                "listed": one.is_listed,
                "age": None
                if ages.get(number, UNKNOWN_AGE_US) >= UNKNOWN_AGE_US
                else round(ages[number] / 1e6, 1),
                "failed": one.failure_count,
            }
            for number, one in self.estimate.endpoints.items()
        ]

    def queue_due_probes(self, now: int) -> bool:
        """A round of trials: who is due is asked by `knocks`. Whether there is any to be asked."""
        for member in self.estimate.start_due_probes(now):
            self._counters.add("kept: trials")
            self._queued_probes.append(member)
        return bool(self._queued_probes)

    def start_probes(self, tasks: TaskGroup, now: Callable[[], int]) -> int:
        """Connects to some of them, each in a task that ends within a link's patience; to how many."""
        begun = min(MAX_PROBES_AT_ONCE, len(self._queued_probes))
        for _ in range(begun):
            tasks.start_soon(self._probe, self._queued_probes.popleft(), now)
        return begun

    async def _probe(self, member: Endpoint, now: Callable[[], int]) -> None:
        how = await probe_connection(member.host, member.port, self._patience)
        belief = self.estimate.endpoints.get(member.id)
        # It may have been told of meanwhile, at another address.
        if belief is not None and (belief.endpoint.host, belief.endpoint.port) == (member.host, member.port):
            self._on_contact(member.id, how, now())

    def step(self, now: int) -> EndpointEvent | None:
        """`look` and `write`, for all there is."""
        event = self.take_changes(now)
        self.write_snapshots(now)
        return event

    def take_changes(self, now: int, most: int | None = None) -> EndpointEvent | None:
        """What is to be listed, if anything, and what the register stands by; ten times a second.

        `most`: engines in it that are not gone; the rest is for the next look, see `more`.
        """
        frames = self._counters.counts["coordinator frames"]
        if frames != self._frames:
            self._frames = frames
            self.estimate.on_watch_frame(now)
        settled = self.estimate.settle_index(now)
        if settled is not None:
            self._say("the register stands by smaller numbers than those kept: what it has not named is gone")
            self._pending.update((member.id, member) for member in settled.endpoints)
            self.write_schedule.on_change(now)
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
    def has_changes(self) -> bool:
        """Whether anything is still to be listed."""
        return bool(self._pending)

    # Writing, and handing over.

    def write_snapshots(self, now: int) -> None:
        """Ends and begins writes; ten times a second, more often once the last one is under way."""
        outcome = self._writer.poll()
        if outcome is not None:
            self._written(outcome, now)
        if self._last is None:
            if self.write_schedule.is_due(now):
                self._begin_write(now, (), False)
        elif not self._final and self.write_schedule.write_started_us is None:
            self._final = True
            self._begin_write(now, self._last, True)

    def _written(self, outcome: WriteResult, now: int) -> None:
        if outcome.is_folder_busy:
            self.write_schedule.on_folder_locked(now)
        else:
            self.write_schedule.on_write_finished(not outcome.error, outcome.duration_us, now)
            counts = self._counters.counts
            self._counters.add("kept: writes failed" if outcome.error else "kept: writes")
            counts["kept: bytes"] = outcome.size_bytes or counts["kept: bytes"]
            counts["kept: slowest write us"] = max(outcome.duration_us, counts["kept: slowest write us"])
        if outcome.error != self._trouble:
            self._trouble = outcome.error
            self._say(f"can't be written: {outcome.error}; tried again" if outcome.error else "written again")
        if outcome.newer is not None and self._last is None:
            self._apply_snapshot(outcome.newer, now)
            self.write_schedule.on_change(now)
        self.is_handed_over = self._final

    def _begin_write(self, now: int, marks: Sequence[str], handed: bool) -> None:
        self.write_schedule.on_write_started(now)
        self._writer.start(self.snapshot_builder(now, marks, handed), self._serial)

    def snapshot_builder(
        self, now: int, marks: Sequence[str] = (), handed: bool = False
    ) -> Callable[[], record.Snapshot]:
        """All that is kept, as of now: gathered at once, and made by whoever calls what comes back."""
        at, beliefs, folder = self._moment(), self.estimate, self._writer.folder
        evidence, limits = beliefs.evidence(now), learnt.collect_limits(self._engines, beliefs.endpoints)
        tombs, open_marks = record.newest_entries(beliefs.tombstones.unexpired(now), list(marks))
        number, request_classes = (
            beliefs.index_tracker.highest,
            learnt.collect_latencies(self._gateway, self._names),
        )

        # Danger: made on the loop it would take a millisecond of it for 500 engines, at each write. So does a
        # thread that holds the interpreter for as long.
        def make() -> record.Snapshot:
            engines: list[record.EndpointEntry] = []
            for begin in range(0, len(evidence), _PIECE):
                engines += [
                    record.to_entry(member, max(0, min(UNKNOWN_AGE_US, now - known)))
                    for member, known in evidence[begin : begin + _PIECE]
                    if record.can_store(member)
                ]
                time.sleep(_BREATH)
            return record.Snapshot(
                owner=folder.owner,
                wall_us=at.wall_us,
                boot_id=at.boot_id,
                uptime_us=at.uptime_us,
                index=number,
                is_handed_over=handed,
                zones=list(self._zones),
                instance_types=list(self._machines),
                endpoints=engines,
                tombstones=tombs,
                latencies=request_classes,
                limits=[record.LimitEntry(*limit) for limit in limits],
                request_names=open_marks,
            )

        return make

    def hand_over(self, marks: Sequence[str], now: int) -> None:
        """The last write, for the successor; `write` is still to be called until `done`, or the time is up.

        `marks`: names in use of late. Once nothing more is sent, so that what is learnt is complete.
        """
        self._last = list(marks)
        self.write_snapshots(now)

    @property
    def is_handing_over(self) -> bool:
        """Whether the last write has been asked for."""
        return self._last is not None

    def close(self) -> None:
        """Leaves the folder to the successor; while a write hangs it stays with this process."""
        if self.write_schedule.write_started_us is None:
            self._writer.folder.unlock()
