"""Joins marks, their guard and the store to the passage of one gateway, as the stages call it."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable, Mapping, Sequence
from functools import partial
from typing import TYPE_CHECKING, Any, Protocol

import msgspec

from cresstray.idempotency import codec
from cresstray.idempotency import records as marks
from cresstray.idempotency.codec import Command, ErrorReply, Reply
from cresstray.idempotency.execution_guard import (
    Claim,
    ClaimHolder,
    Decision,
    ExecutionGuard,
    GuardMode,
    LookupResult,
    Proceed,
    ProceedUnguarded,
    Reject,
    RequestTiming,
    StoreUnavailable,
    Wait,
    guard_mode_of,
)
from cresstray.idempotency.health import StoreClock, StoreHealth
from cresstray.idempotency.records import EventKind, IdempotencyRecord, RecordEvent, RecordState
from cresstray.idempotency.write_behind import PendingWrite, WriteBehindQueue
from cresstray.observability.counters import Counters
from cresstray.policy.types import Outcome, Request

if TYPE_CHECKING:
    from cresstray.config.idempotency import IdempotencySettings

# Endings that prove a relay never ran, as the module has them.
_UNRUN = (Outcome.OVERLOADED, Outcome.UNREACHABLE, Outcome.EXPIRED_BEFORE_SEND)
# As the module does: what ends within this of the hard stop is ended by the sweep.
_MARGIN = 200_000
# Danger: what crosses to another hall may be relayed there until its hard stop; an intention that ends
# before that, as this gateway reckons it, would let nothing cross. A fiftieth of it for the speeds of two
# clocks, and a tenth of a second for the store's time, which is only guessed at when it is written.
_FIFTIETH, _BEYOND = 50, 100_000
# Outcomes out at the store at once, and the time that each has there; nobody waits for them.
_OUT, _PATIENCE = 32, 2_000_000
# Danger: a flood of one tenant would take all questions that may be out, and others' would find no room. A
# quarter.
_OF_TENANT = 250
# Danger: a clock that goes back while this gateway asks nothing would be noticed by none. Each looks at it so
# often: a fleet of hundreds asks a hundred times a second so, in one command of a few bytes.
_BEAT = 3_000_000
# The disk is looked at so often while an intention waits for its sync; 1 to 10 ms are usual.
_LOOK = 1_000
# Danger: a mark that all gateways fight over would be tried for as long as there is time.
_TRIES = 4


class CommandClient(Protocol):
    """`call` is made once, by `by`, and never within `submit`; None: no answer, and it may have run."""

    def submit(
        self, commands: Sequence[Command], by: int, call: Callable[[list[Reply] | None], None]
    ) -> object: ...


class Clock(Protocol):
    def now(self) -> int: ...


class Timers(Protocol):
    def call_after(self, delay: int, call: Callable[[int], None]) -> object: ...


class ClaimJournal(Protocol):
    """journal.Scribe, where there is a disk."""

    last_error: str

    def append_claim(self, digest: bytes, fence: int, tenant: int) -> int | None: ...
    def append_settled(self, number: int) -> None: ...
    def take_sync_result(self, number: int) -> bool | None: ...


class RequestContext(Protocol):
    """What is used of an errand."""

    request: Request

    @property
    def query(self) -> Any: ...


class GuardedRequest:
    """One submission that needs a mark, until it has its answer and nothing of it is out."""

    __slots__ = (
        "submission",
        "name",
        "kind",
        "times",
        "digest",
        "call",
        "by",
        "tries",
        "claimed",
        "until",
        "seen",
        "mark",
        "out",
        "over",
        "ran",
        "may_have_run",
        "first_sent",
        "outcome",
        "number",
        "fresh",
        "asking",
        "again",
    )

    def __init__(
        self,
        request: Request,
        name: str,
        kind: GuardMode,
        times: RequestTiming,
        digest: bytes,
        call: Callable[[Decision], None],
    ) -> None:
        self.submission, self.name, self.kind, self.times, self.digest = request, name, kind, times, digest
        self.call: Callable[[Decision], None] | None = call  # None: it has been told
        self.by, self.tries = 0, 0
        self.claimed: RecordEvent | None = None  # an intention that is in the store, or may be
        self.until = 0  # of our clock: no relay goes out from then on
        self.seen, self.mark = b"", None  # of the mark: its bytes as last read or written, and what they say
        self.out, self.over = 0, False
        self.ran = self.may_have_run = False
        self.first_sent, self.outcome = 0, b""
        self.number: int | None = None  # in the journal
        self.fresh = False  # its own claim is what stands in the store
        self.asking = self.again = False  # a question of it is out; one was asked again for want of an answer


class IdempotencyCoordinator:
    """`lines`: the operator's, as a plain map; `life`: this process, and no other that ever had this name."""

    def __init__(
        self,
        client: CommandClient,
        operator_settings: IdempotencySettings,
        settings: Mapping[str, Any],
        request_classes: Sequence[Any],
        owner: str,
        life: str,
        chance: Callable[[], float],
        clock: Clock,
        timers: Timers,
        counters: Counters,
        desk: ClaimJournal | None = None,
        say: Callable[[str], None] = lambda _: None,
    ) -> None:
        self._client, self._clock, self._timers, self._counters = client, clock, timers, counters
        self._desk, self._say = desk, say
        self._holder = ClaimHolder(owner, life)
        self._namespace = operator_settings.namespace
        self._kept = operator_settings.retention_ms
        self._largest = operator_settings.max_result_bytes
        limits = settings.get("Limits", {})
        honoured = int(limits.get("MaxRetryAfter", 0) * 1000) if limits.get("RetryAfter") else 0
        names = [service.get("Name", "") for service in settings.get("Services", [])]
        self._kinds = [
            guard_mode_of(request_class, name, operator_settings)
            for request_class, name in zip(request_classes, names)
        ]
        self._names = names
        self._tenants = [str(tenant.get("Name", "")) for tenant in settings.get("Tenants", [])]
        now = clock.now()
        self.health = StoreHealth(operator_settings, chance, now)
        self.store_clock = StoreClock()
        self.write_behind = WriteBehindQueue()
        self._guard = ExecutionGuard(operator_settings, honoured, chance)
        self._open: dict[Request, GuardedRequest] = {}
        self._asking: Counter[int] = Counter()  # questions of submissions that are out, by tenant
        self._fence = 0  # of the last intention of this process
        self._writing = 0  # outcomes out at the store
        self._returned: list[PendingWrite] = []
        # Not a mark's key: it says of what age marks are doubted.
        self._clock_key = f"{self._namespace}:clock1".encode()
        self._warned, self._warning, self._looked = 0, False, 0
        self._jumps, self._dropped, self._trouble, self._told_open = 0, 0, "", True

    # What the stages call.

    def check(self, context: RequestContext, now: int, call: Callable[[Decision], None]) -> bool:
        """False: it needs no mark. Else `call` is made once, perhaps within this, as its slack allows.

        With Go or Unguarded it may be relayed; Deny, Abandon and Answer are its end.
        """
        request = context.request
        kind, name = self._kinds[request.request_class.index], context.query.idempotency_key
        # One from another hall is asked for where it was accepted.
        if kind is GuardMode.NOT_NEEDED or not name or request.is_forwarded_in:
            return False
        request_class = request.request_class
        expected = (
            request_class.latency.expected_us(request)
            if request_class.latency
            else request_class.latency_objective_us // 4
        )
        # What is too late for its soft limit may still be answered by its hard stop.
        soft_stop = request.arrived_us + int(
            request_class.latency_objective_us + request_class.objective_stretch * expected
        )
        stop = min(request.deadline_us - _MARGIN, soft_stop)
        leave_by = max(stop - expected, now + (request.deadline_us - now) // 10)
        beyond = _BEYOND + (request.deadline_us - now) // _FIFTIETH
        times = RequestTiming(
            now,
            min(leave_by, request.deadline_us),
            request.deadline_us + beyond,
            request_class.dedup_window_us,
        )
        tenant = self._tenants[request.tenant] if request.tenant < len(self._tenants) else ""
        group = self._names[request_class.index] + "/" + request_class.dedup_scope
        held = GuardedRequest(
            request,
            self._names[request_class.index],
            kind,
            times,
            marks.digest_key(self._namespace, tenant, group, name),
            call,
        )
        self._open[request] = held
        self._counters.add("marks: asked")
        self._look_up(held, now)
        return True

    def may_dispatch(self, request: Request, now: int) -> bool:
        """Asked at the moment of sending, with the clock of that moment. False: nothing may go out, and the
        relay ends as one that no engine has seen."""
        held = self._open.get(request)
        # Danger: a process that was stopped wakes up before any of its timers has run. Only the clock tells.
        # What came from another hall is guarded there until its hard stop.
        if (
            held is None
            and (not request.is_forwarded_in or now < request.deadline_us)
            or held is not None
            and held.call is None
            and now < held.until
        ):
            return True
        self._counters.add("marks: intentions over before a relay")
        return False

    def remaining_us(self, request: Request, now: int) -> int | None:
        """For how long it may still be sent by whoever has it from here, as another hall. None: no matter."""
        held = self._open.get(request)
        return None if held is None else max(0, held.until - now)

    def on_attempt_sent(self, request: Request, now: int) -> None:
        """A relay goes out; `relay_ended` is owed for it."""
        held = self._open.get(request)
        if held is None:
            return
        held.out += 1
        if not held.first_sent:
            held.first_sent = self._since(now)
            if held.fresh:
                self._behind(held, self._event(held, EventKind.DISPATCHED), now)

    def on_attempt_finished(self, request: Request, ending: Outcome, now: int) -> None:
        held = self._open.get(request)
        if held is None:
            return
        held.out = max(0, held.out - 1)
        held.ran = held.ran or ending is Outcome.SUCCEEDED
        held.may_have_run = held.may_have_run or ending not in _UNRUN
        self._settle(held, now)

    def on_request_finished(self, request: Request, how: str, result: bytes | None, now: int) -> None:
        """The final answer is out already, or its client has left; `how`: as the book counts it."""
        held = self._open.get(request)
        if held is None:
            return
        held.over, held.call = True, None
        held.until = 0
        if how == "succeeded":
            held.ran = True
            held.outcome = marks.make_outcome(result, self._largest)
        self._settle(held, now)

    # Asking. At most two round trips where nobody else has the mark.

    def _look_up(self, held: GuardedRequest, now: int) -> None:
        held.by = now + self.health.time_budget(held.times.latest_dispatch_us - now, now)
        if self._asking[held.submission.tenant] >= _OF_TENANT:
            self._silent(held, "too much of its tenant waits", now)
        elif held.by <= now:
            self._silent(held, "it is away or slow" if self.health.is_open else "no time to ask", now)
        elif not self.store_clock.is_known(now):
            self._read(held, now)
        elif held.seen:
            self._read(held, now)
        else:
            # Nearly always nothing is there: the intention itself is the question.
            at = self.store_clock.lower_bound(now)
            claim = self._guard.make_claim(held.kind, None, self._holder, at, held.times, now)
            self._claim(held, b"", None, claim.event, now)

    def _read(self, held: GuardedRequest, now: int) -> None:
        key = codec.record_key(self._namespace, held.digest)
        self._begin(held)
        self._submit([codec.get_value(key), codec.get_time()], held.by, partial(self._was_read, held), now)

    def _begin(self, held: GuardedRequest) -> None:
        held.asking = True
        self._asking[held.submission.tenant] += 1

    def _heard(self, held: GuardedRequest) -> None:
        held.asking = False
        self._asking[held.submission.tenant] -= 1
        if not self._asking[held.submission.tenant]:
            del self._asking[held.submission.tenant]

    def _was_read(self, held: GuardedRequest, replies: list[Reply] | None, began: int, now: int) -> None:
        self._heard(held)
        if replies is None:
            self._unheard(held, now)
            return
        at = codec.parse_time_ms(replies[1])
        self.store_clock.on_reading(at, began, now)
        self._found(held, replies[0], at, began, now)

    def _claim(
        self, held: GuardedRequest, seen: bytes, mark: IdempotencyRecord | None, event: RecordEvent, now: int
    ) -> None:
        # Danger: two submissions of one mark in the same millisecond would take one intention for that of
        # both.
        self._fence = max(event.fence, self._fence + 1)
        event = msgspec.structs.replace(event, fence=self._fence)
        made = marks.apply_event(mark, event, self.store_clock.lower_bound(now))
        if made is None or held.tries >= _TRIES:
            self._silent(held, "others were always first", now)
            return
        held.tries += 1
        # From here on it may be in the store, whatever is heard of it.
        held.claimed = event
        key, value = codec.record_key(self._namespace, held.digest), marks.encode_record(made)
        command = codec.compare_and_set(key, seen, value, marks.retention_ms(made, self._kept))
        self._begin(held)
        self._submit([command], held.by, partial(self._was_claimed, held, made, value), now)

    def _was_claimed(
        self,
        held: GuardedRequest,
        made: IdempotencyRecord,
        value: bytes,
        replies: list[Reply] | None,
        began: int,
        now: int,
    ) -> None:
        self._heard(held)
        if replies is None:
            self._unheard(held, now)
            return
        swapped = codec.parse_compare_and_set(replies[0])
        jumps = self.store_clock.regressions
        self.store_clock.on_reading(swapped.store_now_ms, began, now)
        if not swapped.is_applied:
            held.claimed = None if swapped.current_value != value else held.claimed
            self._found(held, swapped.current_value, swapped.store_now_ms, began, now)
            return
        held.seen, held.mark, held.fresh = value, made, True
        if self.store_clock.regressions > jumps:
            # Danger: it was written by a time that is not the store's any more; others would take it for
            # young.
            self._silent(held, "its clock went back", now)
            return
        self._go(held, made.fence, made.valid_until_ms, swapped.store_now_ms, began, now)

    def _unheard(self, held: GuardedRequest, now: int) -> None:
        """Asked once more what is there: a connection may have ended, and our intention be there or not."""
        half = held.times.started_us + (held.times.latest_dispatch_us - held.times.started_us) // 2
        if held.call is not None and not held.again and now < half:
            held.again = True
            held.by = now + self.health.time_budget(held.times.latest_dispatch_us - now, now)
            if held.by > now:
                self._read(held, now)
                return
        self._silent(held, "it did not answer in time", now)

    def _found(self, held: GuardedRequest, value: bytes | None, at: int, began: int, now: int) -> None:
        if held.over:
            self._settle(held, now)
            return
        mark = marks.decode_record(value)
        held.seen, held.mark = value or b"", mark
        claimed = held.claimed
        if (
            claimed is not None
            and mark is not None
            and mark.state is RecordState.CLAIMED
            and ((mark.owner, mark.incarnation, mark.fence) == (*self._holder, claimed.fence))
        ):
            # Written after all, by a question whose answer was lost.
            held.fresh = True
            self._go(held, mark.fence, mark.valid_until_ms, at, began, now)
            return
        # What the store has not heard of yet counts as well.
        known = mark
        for item in self.write_behind.pending_for(held.digest):
            known = marks.apply_event(known, item.event, at) or known
        found = LookupResult(known, at, self.store_clock.age_unknown_before_ms)
        decision = self._guard.decide(held.kind, found, self._holder, held.times, now)
        if isinstance(decision, Claim):
            self._claim(held, held.seen, mark, decision.event, now)
        elif isinstance(decision, Wait):
            self._counters.add("marks: waits")
            self._timers.call_after(decision.retry_at_us - now, partial(self._again, held))
        elif isinstance(decision, Proceed):
            self._go(held, decision.fence, decision.valid_until_ms, at, began, now)
        else:
            self._tell(held, decision, now)

    def _again(self, held: GuardedRequest, now: int) -> None:
        if not held.over:
            self._look_up(held, now)

    def _go(self, held: GuardedRequest, fence: int, until: int, at: int, began: int, now: int) -> None:
        # By our own clock from when the question left: the store's may differ, and only spans are compared.
        held.until = began + (until - at) * 990
        if now >= held.until:
            self._tell(held, Reject(self._guard.make_retry_after(0)), now)
            return
        self._tell(held, Proceed(fence, until), now)

    def _tell(self, held: GuardedRequest, decision: Decision, now: int) -> None:
        call, held.call = held.call, None
        if call is None:
            self._settle(held, now)
            return
        self._counters.add(f"marks: {type(decision).__name__.lower()}")
        if not isinstance(decision, Proceed | ProceedUnguarded):
            # It ends here; what was claimed for it is given back.
            held.over, held.until = True, 0
            self._settle(held, now)
        call(decision)

    # Without the store.

    def _silent(self, held: GuardedRequest, why: str, now: int) -> None:
        if held.call is None:
            self._settle(held, now)
            return
        own = self._own(held, now)
        if own is not None:
            self._tell(held, own, now)
            return
        decision = self._guard.decide_without_store(
            StoreUnavailable(why, self.health.unavailable_for(now)), held.name, now
        )
        if isinstance(decision, ProceedUnguarded):
            if self._desk is not None:
                held.number = self._desk.append_claim(held.digest, 0, held.submission.tenant)
                if held.number is not None:
                    # Its own budget, as the store's: what is not synced by then is denied.
                    by = now + max(0, (held.times.latest_dispatch_us - now) // 4)
                    self._synced(held, decision, by, now)
                    return
                decision = Reject(self._guard.make_retry_after(0))
            else:
                held.until = held.submission.deadline_us
        self._tell(held, decision, now)

    def _own(self, held: GuardedRequest, now: int) -> Decision | None:
        """By what this gateway itself did of late and the store has not heard."""
        mark, grounded, at = None, True, self.store_clock.lower_bound(now)
        for item in self.write_behind.pending_for(held.digest):
            # By what the store was last known to have: from when the engines remember stands there.
            there = marks.decode_record(item.expected_value)
            grounded = grounded and there is not None
            known = marks.apply_event(there, item.event, at) or there
            if known is not None and mark is not None:
                ended = known if known.state is RecordState.COMPLETED else mark
                known = msgspec.structs.replace(
                    ended, earliest_dispatch_ms=min(known.earliest_dispatch_ms, mark.earliest_dispatch_ms)
                )
            mark = known or mark
        if mark is None or mark.state not in (RecordState.COMPLETED, RecordState.UNKNOWN):
            return None
        # The store's time is only guessed at here; the later it may be, the sooner a memory is over.
        at = self.store_clock.upper_bound(now)
        decision = self._guard.decide(held.kind, LookupResult(mark, at), self._holder, held.times, now)
        if isinstance(decision, Proceed):
            # Danger: what this gateway sent without the store's word may have been a repeat itself, of a run
            # that the engines forget sooner.
            if not grounded:
                return None
            held.until = now + (decision.valid_until_ms - at) * 990
        return decision

    def _synced(self, held: GuardedRequest, decision: Decision, by: int, now: int) -> None:
        done = self._desk.take_sync_result(held.number)
        if done is None and (now < by or held.call is None):
            self._timers.call_after(
                _LOOK if now < by else 100 * _LOOK, partial(self._synced, held, decision, by)
            )
            return
        if held.call is None:
            # Told already, or its client has left: the disk has it by now, or never will.
            self._settle(held, now)
            return
        if done:
            held.until = held.submission.deadline_us
            self._tell(held, decision, now)
        elif done is None:
            self._timers.call_after(100 * _LOOK, partial(self._synced, held, decision, by))
            self._tell(held, Reject(self._guard.make_retry_after(0)), now)
        else:
            held.number = None
            self._tell(held, Reject(self._guard.make_retry_after(0)), now)

    # What became of it: all of this is behind the final answer.

    def _settle(self, held: GuardedRequest, now: int) -> None:
        if not held.over or held.out or held.asking or self._open.get(held.submission) is not held:
            return
        del self._open[held.submission]
        kind = EventKind.UNKNOWN if held.may_have_run else EventKind.NOT_EXECUTED
        if held.ran:
            kind = EventKind.COMPLETED
        nothing = held.claimed is None and (
            kind is EventKind.NOT_EXECUTED
            or held.mark is not None
            and (
                held.mark.state is RecordState.COMPLETED
                and (held.mark.outcome or not held.outcome)
                or held.mark.state is RecordState.UNKNOWN
                and kind is EventKind.UNKNOWN
            )
        )
        if nothing:
            if held.number is not None:
                self._desk.append_settled(held.number)
            return
        self._behind(held, self._event(held, kind), now)

    def _event(self, held: GuardedRequest, kind: EventKind) -> RecordEvent:
        claimed = held.claimed
        fence, until = (claimed.fence, claimed.valid_until_ms) if claimed is not None else (0, 0)
        since = held.first_sent
        if not held.fresh or held.mark.has_uncertain_predecessor or not since:
            # Danger: where another's relay may be out as well, or its own write is not known, it may have run
            # before our first relay.
            earlier = [
                one.earliest_dispatch_ms
                for one in (held.mark, claimed)
                if one is not None and not (one is held.mark and one.state is RecordState.ABSENT)
            ]
            since = min(earlier, default=since)
        return RecordEvent(
            kind, *self._holder, fence, since, until, held.outcome if kind is EventKind.COMPLETED else b""
        )

    def _behind(self, held: GuardedRequest, event: RecordEvent, now: int) -> None:
        numbers = () if held.number is None else (held.number,)
        self.write_behind.add(
            held.digest, event, held.submission.tenant, now + self._kept * 1000, now, held.seen, numbers
        )

    def _since(self, now: int) -> int:
        return max(1, self.store_clock.lower_bound(now)) if self.store_clock.is_known(now) else 0

    def use_journal(self, desk: ClaimJournal) -> None:
        """From here on; nothing is kept of what went before."""
        self._desk = desk

    def recover(self, entries: Iterable[Any], now: int) -> None:
        """What an earlier process intended and never settled, from the journal: it may have run."""
        for entry in entries:
            event = RecordEvent(EventKind.UNKNOWN, *self._holder, entry.fence)
            self._counters.add("marks: unknown after a crash")
            self.write_behind.add(
                entry.digest, event, entry.tenant, now + self._kept * 1000, now, b"", (entry.entry_id,)
            )

    def run_background_step(self, now: int) -> bool:
        """Background work, some fifty times a second while there is any; whether there is."""
        if self._returned:
            returned, self._returned = self._returned, []
            self.write_behind.put_back(returned)
        ticket = self.health.start_probe(now)
        if ticket is None and not self.health.is_open and now - self._looked >= _BEAT:
            ticket = self.health.on_round_trip_started(now)
        if ticket is not None:
            self._looked = now
            self._client.submit(
                [codec.get_time(), codec.get_value(self._clock_key)],
                now + _PATIENCE,
                partial(self._tried, ticket, now),
            )
        self._tell_changes()
        if (
            self._warned < self.store_clock.age_unknown_before_ms
            and not self._warning
            and not self.health.is_open
        ):
            self._warning = True
            self._warn(b"", _TRIES, now)
        if not self.health.is_open and self._writing < _OUT:
            for item in self.write_behind.take_due(_OUT - self._writing, now):
                self._writing += 1
                mark = marks.decode_record(item.expected_value)
                self._write(item, item.expected_value, mark, _TRIES, now)
        return (
            len(self.write_behind) > 0
            or self._writing > 0
            or bool(self._returned)
            or self._warning
            or self.health.is_open
        )

    def run_shutdown_step(self, now: int) -> bool:
        """As `step`, before the process ends: whether there is more that the store would take."""
        return self.run_background_step(now) and not self.health.is_open

    def _tried(self, ticket: int, began: int, replies: list[Reply] | None) -> None:
        now = self._clock.now()
        well = replies is not None and not any(isinstance(reply, ErrorReply) for reply in replies)
        if well:
            self.store_clock.on_reading(codec.parse_time_ms(replies[0]), began, now)
            self.store_clock.on_published_regression(replies[1])
        self.health.on_round_trip_finished(ticket, well, now)

    def _warn(self, seen: bytes, tries: int, now: int) -> None:
        """Leaves word in the store of when its clock went back, for gateways that start later."""
        before = self.store_clock.age_unknown_before_ms
        command = codec.compare_and_set(self._clock_key, seen, b"%d" % before, self._kept)
        self._submit([command], now + _PATIENCE, partial(self._was_warned, before, tries), now)

    def _was_warned(
        self, before: int, tries: int, replies: list[Reply] | None, _began: int, now: int
    ) -> None:
        swapped = None if replies is None else codec.parse_compare_and_set(replies[0])
        if swapped is not None and not swapped.is_applied:
            self.store_clock.on_published_regression(swapped.current_value)
            if (
                self.store_clock.age_unknown_before_ms <= before
                and swapped.current_value != b"%d" % before
                and tries > 1
            ):
                self._warn(swapped.current_value or b"", tries - 1, now)
                return
        if swapped is not None:
            self._warned = before
        self._warning = False

    def _write(
        self, item: PendingWrite, seen: bytes, mark: IdempotencyRecord | None, tries: int, now: int
    ) -> None:
        made = marks.apply_event(mark, item.event, self.store_clock.lower_bound(now))
        if made is None and mark is None and seen == item.expected_value:
            # Not read yet, and nothing to write where nothing is: what is there must be read first.
            key = codec.record_key(self._namespace, item.digest)
            self._submit(
                [codec.get_value(key), codec.get_time()],
                now + _PATIENCE,
                partial(self._read_for, item, tries),
                now,
            )
            return
        if made is None:
            self._written(item)
            return
        if not tries:
            self._put_back(item)
            return
        key, value = codec.record_key(self._namespace, item.digest), marks.encode_record(made)
        command = codec.compare_and_set(key, seen, value, marks.retention_ms(made, self._kept))
        self._submit([command], now + _PATIENCE, partial(self._was_written, item, tries, value), now)

    def _read_for(
        self, item: PendingWrite, tries: int, replies: list[Reply] | None, began: int, now: int
    ) -> None:
        if replies is None:
            self._put_back(item)
            return
        self.store_clock.on_reading(codec.parse_time_ms(replies[1]), began, now)
        mark = marks.decode_record(replies[0])
        if mark is None:
            self._written(item)  # nothing is there, and nothing is to be
        else:
            self._write(item, replies[0], mark, tries - 1, now)

    def _was_written(
        self, item: PendingWrite, tries: int, value: bytes, replies: list[Reply] | None, began: int, now: int
    ) -> None:
        if replies is None:
            self._put_back(item)
            return
        swapped = codec.parse_compare_and_set(replies[0])
        self.store_clock.on_reading(swapped.store_now_ms, began, now)
        if swapped.is_applied or swapped.current_value == value:
            self._counters.add("marks: written")
            self._written(item, value)
            return
        if swapped.current_value is None and item.expected_value:
            self._counters.add("marks: lost by the store")
        if (
            swapped.current_value is None
            and marks.apply_event(None, item.event, swapped.store_now_ms) is None
        ):
            self._written(item)
            return
        self._write(
            item, swapped.current_value or b"", marks.decode_record(swapped.current_value), tries - 1, now
        )

    def _put_back(self, item: PendingWrite) -> None:
        # Danger: whether it was written is not known; what it is to find there is not, either.
        self._writing -= 1
        self._returned.append(item)

    def _written(self, item: PendingWrite, value: bytes | None = None) -> None:
        self._writing -= 1
        for number in item.journal_ids if self._desk is not None else ():
            self._desk.append_settled(number)
        if item.event.kind is EventKind.DISPATCHED and value is not None:
            # Its outcome comes later, and finds this.
            for held in self._open.values():
                if held.digest == item.digest and held.claimed and held.claimed.fence == item.event.fence:
                    held.seen = value

    # Round trips.

    def _submit(
        self, commands: list[Command], by: int, then: Callable[[list[Reply] | None, int, int], None], now: int
    ) -> None:
        ticket = self.health.on_round_trip_started(now)
        self._counters.add("marks: round trips")
        self._client.submit(commands, by, partial(self._replied, ticket, now, then))

    def _replied(
        self,
        ticket: int,
        began: int,
        then: Callable[[list[Reply] | None, int, int], None],
        replies: list[Reply] | None,
    ) -> None:
        now = self._clock.now()
        refused = replies is not None and any(isinstance(reply, ErrorReply) for reply in replies)
        if refused:
            self._counters.add("marks: refused by the store")
        self.health.on_round_trip_finished(ticket, replies is not None and not refused, now)
        then(None if refused else replies, began, now)

    def _tell_changes(self) -> None:
        """Lines for operators, once a change."""
        if self.health.is_open != self._told_open:
            self._told_open = self.health.is_open
            self._counters.add("marks: breaker opened" if self.health.is_open else "marks: breaker closed")
            self._say(
                "the store is away or slow: nothing is asked of it until trials go well"
                if self.health.is_open
                else f"the store is asked again; {len(self.write_behind)} outcomes wait to be written"
            )
        if self.store_clock.regressions > self._jumps:
            self._counters.add(
                "marks: clock of the store went back", self.store_clock.regressions - self._jumps
            )
            self._jumps = self.store_clock.regressions
            self._say("the store's clock went back: older marks count as of unknown age")
        if self.write_behind.dropped_count > self._dropped:
            self._counters.add("marks: outcomes dropped", self.write_behind.dropped_count - self._dropped)
            self._dropped = self.write_behind.dropped_count
        if self._desk is not None and self._desk.last_error != self._trouble:
            self._trouble = self._desk.last_error
            self._say(
                f"the journal can't be written: {self._trouble}"
                if self._trouble
                else "the journal is written again"
            )
