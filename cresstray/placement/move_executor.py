"""Decides the next commands for engines and entries for the log that carry out a plan of moves.

A leader creates a MoveExecutor, and runs it once an entry of its own term is applied. Any leader can resume a
plan, as its state is in the log.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

import msgspec

from cresstray.fleet_config import commands as rules
from cresstray.fleet_config import documents
from cresstray.fleet_config.state import ConfigState
from cresstray.placement import moves as log
from cresstray.placement.model import Limits
from cresstray.placement.moves import ActivePlan, Event, MoveProgress, MoveSection, MoveState
from cresstray.placement.pacing import RateController, Transfer, zone_pair

# A reservation adds a sixteenth of the shard's size for growth, if there is space.
_SPARE_DIVISOR = 16
# A new rate is sent after a change by a fifth; finer steps only cost commands.
_RATE_CHANGE = 0.2
# Sixteen checkpoints per move bound what a restart has to copy again, and keep the log short.
_CHECKPOINTS_PER_MOVE = 16


class ExecutorTimes(NamedTuple):
    """Intervals and timeouts of the executor, in microseconds."""

    report_validity_us: int = 3_000_000  # older reports are ignored
    resend_interval_us: int = 1_000_000  # commands without effect are repeated
    source_silence_us: int = 5_000_000  # then another copy becomes the source
    engine_dead_us: int = 60_000_000  # an engine silent for longer counts as dead
    copy_stall_us: int = 20_000_000  # without a further byte, the copy is retried
    retry_pause_us: int = 1_000_000  # doubles with each attempt
    max_retry_pause_us: int = 30_000_000
    max_fenced_us: int = 15_000_000  # without a primary for longer, the move is rolled back
    max_head_age_us: int = 5_000_000  # a copy has caught up if it has a head of this age
    max_catch_up_us: int = 600_000_000  # then a copy that doesn't reach the head is rolled back
    max_room_wait_us: int = 60_000_000  # wait for space while nothing else moves


_TIMES = ExecutorTimes()
# Maximum number of copies of a shard in a placement.
_MOST_COPIES = 3
# A move is rolled back after so many attempts: about two minutes of failures with the pauses above.
_MAX_ATTEMPTS = 8


class CopyReport(msgspec.Struct):
    """An engine's report of its copy of a shard; `fence` is the last one that it was given for the shard."""

    bytes: int
    whole: bool = True
    follows: bool = False
    primary: bool = False  # accepts writes
    epoch: int = 0
    applied: int = 0
    head: int = 0  # the latest one known to the engine
    fence: int = 0
    reads: int = 0  # open reads
    growth: int = 0  # measured bytes per second of a primary
    trouble: str = ""  # why copying stopped, such as "source" or "full"


class DiskReport(msgspec.Struct):
    """An engine's last report of its disk, in bytes and bytes per second.

    Attributes:
        asked_at_us: When the report was requested.
        numbers: The last fence that the engine was given for each shard, including dropped ones.
    """

    engine: str
    zone: str
    disk: int
    free: int
    headroom: int
    pace: int
    asked_at_us: int = msgspec.field(name="at")
    copies: dict[str, CopyReport]
    numbers: dict[str, int] = {}
    cores: float = 0.0
    util: float = 0.0
    inflight: float = 0.0
    depth: float = 0.0


class Command(NamedTuple):
    """A command for an engine, which may arrive late or twice."""

    engine: str
    verb: str  # COPY, FOLLOW, SWITCH, DROP, CANCEL
    shard: str
    fence: int
    peer: str = ""  # COPY, FOLLOW: source engine; SWITCH: the primary, empty while fenced
    offset: int = 0
    rate: int = 0
    keep: int = 0  # COPY: minimum free bytes
    epoch: int = 0


class Proposal(NamedTuple):
    """An entry to propose; `request` identifies a placement proposal and is empty for a move step."""

    request: str
    data: bytes


class _MoveObservation:
    """What this leader has observed of a move in its current state."""

    def __init__(self, key: tuple, now: int) -> None:
        self.key, self.since = key, now
        self.bytes, self.grew = -1, now
        self.head, self.head_at = -1, 0
        self.claim = -1
        self.claim_at: int | None = None  # when the target's position was requested
        self.rate = 0
        self.final = -1  # head of the old primary after its last write


class MoveExecutor:
    """Drives the moves of the active plan; `waits` tells operators what each move waits for."""

    def __init__(self, times: ExecutorTimes = _TIMES) -> None:
        self._times, self.rate_controller = times, RateController()
        self._began_us: int | None = None
        self._plan = ""
        self._watches: dict[int, _MoveObservation] = {}
        self._sent_at_us: dict[tuple, int] = {}
        # Moves whose rollback was proposed. A placement proposed afterwards could be committed, and its
        # readers would use a dropped copy. Placements before the rollback are checked when it is applied.
        self._withdrawn: dict[tuple[int, MoveState, int], tuple[Event, dict]] = {}
        self._last_proposal: tuple[int, int, int] | None = None  # base version, attempts, time
        self.waits: dict[int, str] = {}

    def next_actions(
        self, state: ConfigState, moves: MoveSection, reports: Mapping[str, DiskReport], now: int
    ) -> list[Command | Proposal]:
        """Returns the commands and entries that are due; those without effect are repeated later."""
        if self._began_us is None:
            self._began_us = now
        self._state, self._moves, self._reports, self._now_us = state, moves, reports, now
        self._steps: list[Command | Proposal] = []
        self._changes: dict[str, tuple[documents.Shard, str]] = {}
        self.rate_controller.on_reports(reports, now)
        self._finish_pending_drops()
        plan = moves.plan
        if plan is not None and plan.received_parts == plan.parts:
            if plan.id != self._plan:
                self._plan, self._last_proposal = plan.id, None
                self._watches.clear()
                self._sent_at_us.clear()
                self._withdrawn.clear()
            self.waits = {}
            for index, move in self._collect_moves(plan):
                self._NEXT[move.state](self, index, move)
            self._propose_placement()
        return self._steps

    # What is known.

    def _collect_moves(self, plan: ActivePlan) -> list[tuple[int, MoveProgress]]:
        """Returns moves in progress and moves that may start; updates loads, reservations and rates."""
        planned, done, cancelled = (
            MoveState.PLANNED,
            MoveState.DONE,
            MoveState.CANCELLED,
        )  # faster than a lookup for each of thousands of moves
        left = [
            (index, move)
            for index, move in enumerate(plan.moves)
            if move.state is not done and move.state is not cancelled
        ]
        live = [(index, move) for index, move in left if move.state is not planned]
        stage = min((move.stage for _, move in left), default=0)
        self._busy: dict[str, int] = {}
        self._borders: dict[tuple[str, str], int] = {}
        self._promised: dict[str, int] = {}
        for _, move in live:
            self._count_move(move)
        flows = [
            Transfer(index, move.copy_source, move.target)
            for index, move in live
            if move.state is MoveState.COPYING
        ]
        self._rates = self.rate_controller.transfer_rates(flows, plan.limits, self._reports)
        self._short = self._moves_to_roll_back(live)
        if plan.halted or plan.cancelled:
            return live
        return live + [(index, move) for index, move in left if move.stage == stage and move.state is planned]

    def _count_move(self, move: MoveProgress) -> None:
        for engine in (move.source, move.target):
            self._busy[engine] = self._busy.get(engine, 0) + 1
        border = zone_pair(move.source, move.target, self._reports)
        self._borders[border] = self._borders.get(border, 0) + 1
        self._promised[move.target] = self._promised.get(move.target, 0) + self._to_come(move)

    def _to_come(self, move: MoveProgress) -> int:
        """Returns the bytes of the reservation that the target hasn't used yet by its report."""
        if move.state is MoveState.ROLLING_BACK:
            return 0  # no more bytes are sent
        disk = self._reports.get(move.target)
        copy = disk.copies.get(move.shard) if disk is not None else None
        return max(0, move.reserved_bytes - (copy.bytes if copy is not None else 0))

    def _free_bytes(self, engine: str) -> int:
        """Returns the bytes that can still be reserved at an engine; negative if too many are."""
        disk = self._reports[engine]
        return disk.free - self._headroom(engine) - self._promised.get(engine, 0)

    def _headroom(self, engine: str) -> int:
        return max(self._reports[engine].headroom, self._moves.plan.headroom.get(engine, 0))

    def _moves_to_roll_back(self, live: list[tuple[int, MoveProgress]]) -> set[int]:
        """Returns the latest copying moves to roll back because their target fills up."""
        lacking = {
            engine: -self._free_bytes(engine)
            for engine in sorted(self._promised)
            if engine in self._reports and self._free_bytes(engine) < 0
        }
        for _, move in live:
            if move.state is MoveState.ROLLING_BACK and move.target in lacking:  # will free space
                copy = self._reports[move.target].copies.get(move.shard)
                lacking[move.target] -= copy.bytes if copy is not None else 0
        gone: set[int] = set()
        for index, move in reversed(live):
            if lacking.get(move.target, 0) > 0 and (
                move.state is MoveState.RESERVED or move.state is MoveState.COPYING
            ):
                gone.add(index)
                # The rollback frees the reservation.
                lacking[move.target] -= move.reserved_bytes
        return gone

    def _recent_report(self, engine: str) -> DiskReport | None:
        disk = self._reports.get(engine)
        return (
            disk
            if disk is not None and self._now_us - disk.asked_at_us <= self._times.report_validity_us
            else None
        )

    def _silence_us(self, engine: str) -> int:
        disk = self._reports.get(engine)
        return self._now_us - max(self._began_us, disk.asked_at_us if disk is not None else 0)

    def _is_dead(self, engine: str) -> bool:
        return self._silence_us(engine) > self._times.engine_dead_us

    def _is_barred(self, engine: str) -> bool:
        """Returns whether gateways may not send to the engine: a primary there would get no writes."""
        rule = self._state.latest.engines.items.get(engine)
        return rule is not None and (rule.is_barred or not rule.work_fraction)

    def _observation(self, index: int, move: MoveProgress) -> _MoveObservation:
        key = (move.state, move.fence, move.attempts)
        watch = self._watches.get(index)
        if watch is None or watch.key != key:
            watch = self._watches[index] = _MoveObservation(key, self._now_us)
        return watch

    def _placed(self, move: MoveProgress) -> documents.Shard | None:
        return self._state.latest.placement.items.get(move.shard)

    # What goes out.

    def _is_due(self, key: tuple, every: int | None = None) -> bool:
        """Returns whether to send now: for the first time, or again without an effect."""
        at = self._sent_at_us.get(key)
        if at is not None and self._now_us - at < (every or self._times.resend_interval_us):
            return False
        self._sent_at_us[key] = self._now_us
        return True

    def _send_command(self, index: int, command: Command) -> None:
        if self._is_due((index, command.engine, command.verb, command.fence, command.rate, command.epoch)):
            self._steps.append(command)

    def _enter(self, index: int, move: MoveProgress, event: Event, **facts: object) -> None:
        if event in (Event.ROLL_BACK, Event.RETRY, Event.UNFENCE):
            event, facts = self._withdrawn.setdefault((index, move.state, move.fence), (event, facts))
        if self._is_due((index, move.state, event, move.fence, *facts.values())):
            self._propose_entry(log.MoveStep(self._plan, index, move.state, event, move.fence, **facts))

    def _propose_entry(self, entry: log.MoveStep | log.DropConfirmed) -> None:
        # Compare-and-set makes the entry idempotent without a request name.
        self._steps.append(
            Proposal("", rules.encode_section_command(log.SECTION_NAME, "", log.encode(entry)))
        )

    def _is_withdrawn(self, index: int, move: MoveProgress) -> bool:
        """Returns whether a rollback or retry was proposed; repeats it until it is applied."""
        asked = self._withdrawn.get((index, move.state, move.fence))
        if asked is not None:
            self._enter(index, move, asked[0], **asked[1])
        return asked is not None

    def _want(self, index: int, move: MoveProgress, shard: documents.Shard, why: str) -> None:
        if (index, move.state, move.fence) not in self._withdrawn:
            self._changes[move.shard] = (shard, why)

    def _propose_placement(self) -> None:
        """Proposes one placement for all ready moves, as each version costs the fleet a turn."""
        state, now = self._state, self._now_us
        base = state.latest.version("placement")
        # One version at a time: moves that become ready meanwhile go into the next one together.
        if not self._changes or base > state.turn // 2:
            return
        times = 0
        if self._last_proposal is not None and self._last_proposal[0] == base:
            if now - self._last_proposal[2] < self._times.resend_interval_us:
                return
            times = self._last_proposal[1] + 1
        self._last_proposal = base, times, now
        changes = self._changes
        if times:
            # A refused change would block all others, so that changes are retried one by one.
            names = sorted(changes)
            changes = {name: changes[name] for name in [names[times % len(names)]]}
        items = dict(state.latest.placement.items)
        items.update((name, shard) for name, (shard, _) in sorted(changes.items()))
        placement = documents.Placement(dict(sorted(items.items())))
        after = msgspec.structs.replace(state.latest, placement=placement)
        # Only one proposal per base is committed; the next leader reuses the same name.
        request = f"moves/{self._plan}/placement/{base}/{times}"
        why = f"plan {self._plan}: " + ", ".join(why for _, why in changes.values())
        self._steps.append(
            Proposal(
                request,
                rules.encode_proposal(
                    request,
                    {"placement": base},
                    documents.encode_delta(state.latest, after),
                    why[:200],
                    fleet_inventory=state.fleet_inventory,
                ),
            )
        )

    # States.

    def _handle_planned(self, index: int, move: MoveProgress) -> None:
        plan, times = self._moves.plan, self._times
        watch = self._observation(index, move)
        shard = self._placed(move)
        if shard is None or move.source not in shard.copies or move.target in shard.copies:
            self._enter(index, move, Event.ROLL_BACK, why="the placement was changed by another")
            return
        if self._is_barred(move.target):
            self._enter(index, move, Event.ROLL_BACK, why=f"{move.target} is barred")
            return
        feed = self._find_copy_source(move, shard)
        if feed is None or self._recent_report(move.target) is None:
            silent = move.source if feed is None else move.target
            self.waits[index] = f"{silent} does not answer, or does not hold it"
            if self._is_dead(silent) or self._now_us - watch.since > times.engine_dead_us:
                self._enter(index, move, Event.ROLL_BACK, why=self.waits[index])
            return
        copy = self._reports[feed].copies[move.shard]
        if not self._within_limits(plan.limits, move):
            return
        size = max(move.bytes, copy.bytes)
        room = self._free_bytes(move.target)
        held = min(size + size // _SPARE_DIVISOR + 1, room)
        if held < size:
            self.waits[index] = f"{move.target} lacks {size - room} bytes"
            # Other moves may free space. Without any, the plan's figures are outdated.
            if not self._busy and self._now_us - watch.since > times.max_room_wait_us:
                self._enter(index, move, Event.ROLL_BACK, why=self.waits[index])
            return
        self._count_move(msgspec.structs.replace(move, reserved_bytes=held))
        self._enter(index, move, Event.RESERVE, held=held, feed=feed)

    def _within_limits(self, limits: Limits, move: MoveProgress) -> bool:
        border = zone_pair(move.source, move.target, self._reports)
        return max(self._busy.get(move.source, 0), self._busy.get(move.target, 0)) < limits.moves and (
            border[0] == border[1] or self._borders.get(border, 0) < limits.border_moves
        )

    def _handle_reserved(self, index: int, move: MoveProgress) -> None:
        if index in self._short:
            self._enter(index, move, Event.ROLL_BACK, why=f"{move.target} has filled")
        else:
            self._enter(index, move, Event.COPY)

    def _handle_copying(self, index: int, move: MoveProgress) -> None:
        times, watch = self._times, self._observation(index, move)
        if self._is_withdrawn(index, move) or self._roll_back_if_needed(index, move):
            return
        target = self._recent_report(move.target)
        if target is None:
            self.waits[index] = f"{move.target} does not answer"
            return
        copy = target.copies.get(move.shard)
        have = copy.bytes if copy is not None else 0
        if self._silence_us(move.copy_source) > times.source_silence_us:
            self._switch_copy_source(index, move, have)
            return
        if not self._extend_reservation(index, move):
            return
        stuck = times.copy_stall_us + self._retry_pause_us(move)
        if copy is not None and copy.fence == move.fence:
            if copy.trouble == "full":
                self._enter(index, move, Event.ROLL_BACK, why=f"{move.target} is full")
                return
            if copy.whole:
                self._enter(index, move, Event.COPIED, copied=have)
                return
            if have > watch.bytes:
                watch.bytes, watch.grew = have, self._now_us
            if copy.trouble or self._now_us - watch.grew > stuck:
                self._retry_copy(index, move, have, copy.trouble or "no further byte")
                return
            if have - move.copied_bytes >= max(1, move.bytes // _CHECKPOINTS_PER_MOVE):
                self._enter(index, move, Event.CHECKPOINT, copied=have)
        elif self._now_us - watch.since > stuck:
            self._retry_copy(index, move, have, "it is not begun")
            return
        if self._now_us - watch.since < self._retry_pause_us(move):
            return
        rate = self._rates[index]
        if copy is None or copy.fence != move.fence or abs(rate - watch.rate) > _RATE_CHANGE * watch.rate:
            if not watch.rate or abs(rate - watch.rate) > _RATE_CHANGE * watch.rate:
                watch.rate = rate
            self._send_command(
                index,
                Command(
                    move.target,
                    "COPY",
                    move.shard,
                    move.fence,
                    move.copy_source,
                    move.copied_bytes,
                    watch.rate,
                    self._headroom(move.target),
                ),
            )

    def _retry_pause_us(self, move: MoveProgress) -> int:
        if not move.attempts:
            return 0
        return min(self._times.max_retry_pause_us, self._times.retry_pause_us << min(move.attempts - 1, 16))

    def _roll_back_if_needed(self, index: int, move: MoveProgress) -> bool:
        """Rolls back a move that copies or catches up if it can't complete; returns whether it did."""
        why = ""
        shard = self._placed(move)
        if self._moves.plan.cancelled:
            why = "cancelled"
        elif index in self._short:
            why = f"{move.target} has filled"
        elif shard is None or move.source not in shard.copies or move.target in shard.copies:
            why = "the placement was changed by another"
        elif self._is_dead(move.target):
            why = f"{move.target} is gone"
        elif self._is_barred(move.target):
            why = f"{move.target} is barred"
        elif move.primary and self._is_dead(move.source):
            # An operator has to decide about its last writes.
            why = f"{move.source}, its primary, is gone"
        elif move.attempts >= _MAX_ATTEMPTS:
            why = f"{move.attempts} attempts failed"
        if why:
            self._enter(index, move, Event.ROLL_BACK, why=why)
        return bool(why)

    def _switch_copy_source(self, index: int, move: MoveProgress, have: int) -> None:
        """Resumes from another copy, as the current source is silent."""
        self.waits[index] = f"{move.copy_source} does not answer"
        other = self._find_copy_source(move, self._placed(move), move.copy_source)
        if other is not None:
            self._enter(index, move, Event.RETRY, copied=have, feed=other)
        elif self._is_dead(move.copy_source):
            self._enter(
                index, move, Event.ROLL_BACK, why=f"{move.copy_source} is gone, and no other copy is there"
            )

    def _find_copy_source(self, move: MoveProgress, shard: documents.Shard, but: str = "") -> str | None:
        """Returns an engine with a complete copy that answers: the source if possible, never `but`."""
        for engine in (move.source, *shard.copies):
            if engine == but:
                continue
            disk = self._recent_report(engine)
            copy = disk.copies.get(move.shard) if disk is not None else None
            if copy is not None and copy.whole:
                return engine
        return None

    def _retry_copy(self, index: int, move: MoveProgress, have: int, why: str) -> None:
        self.waits[index] = why
        if why == "source":
            self._switch_copy_source(index, move, have)
            if self._silence_us(move.copy_source) > self._times.report_validity_us:
                return
        self._enter(index, move, Event.RETRY, copied=have)

    def _extend_reservation(self, index: int, move: MoveProgress) -> bool:
        """Extends the reservation by growth; rolls back and returns False without space."""
        disk = self._recent_report(move.copy_source)
        copy = disk.copies.get(move.shard) if disk is not None else None
        if copy is None or move.reserved_bytes - copy.bytes >= copy.bytes // (2 * _SPARE_DIVISOR):
            return True
        wanted = copy.bytes + copy.bytes // _SPARE_DIVISOR + 1
        held = min(wanted, move.reserved_bytes + max(0, self._free_bytes(move.target)))
        if held > move.reserved_bytes and held >= copy.bytes:
            self._promised[move.target] += held - move.reserved_bytes
            self._enter(index, move, Event.EXTEND_RESERVATION, held=held)
        elif copy.bytes > move.reserved_bytes:
            self._enter(index, move, Event.ROLL_BACK, why=f"it outgrew its room on {move.target}")
            return False
        return True

    def _handle_catching_up(self, index: int, move: MoveProgress) -> None:
        shard = self._placed(move)
        if log.has_moved(move, shard):
            self._enter(index, move, Event.SWITCH)
            return
        if (
            self._is_withdrawn(index, move)
            or self._roll_back_if_needed(index, move)
            or (not self._extend_reservation(index, move))
        ):
            return
        target = self._recent_report(move.target)
        copy = target.copies.get(move.shard) if target is not None else None
        if target is None:
            self.waits[index] = f"{move.target} does not answer"
            return
        if copy is None or not copy.whole or copy.fence != move.fence:
            # The target lost its disk, or part of it.
            self._enter(index, move, Event.RETRY, copied=copy.bytes if copy is not None else 0)
            return
        primary = shard.primary or move.source
        if not copy.follows or copy.epoch < shard.epoch:
            self._send_command(
                index, Command(move.target, "FOLLOW", move.shard, move.fence, primary, epoch=shard.epoch)
            )
            return
        if not self._near(index, move, target, primary):
            self.waits.setdefault(index, f"it is at {copy.applied} and catches up")
            if self._now_us - self._observation(index, move).since > self._times.max_catch_up_us:
                self._enter(index, move, Event.ROLL_BACK, why=f"no end in sight: {self.waits[index]}")
        elif move.primary:
            if move.source == primary:
                self._enter(index, move, Event.FENCE)
        else:
            self._want(
                index,
                move,
                msgspec.structs.replace(
                    shard, copies=_with_target(shard.copies, move), reads=_with_target(shard.reads, move)
                ),
                _describe(move),
            )

    def _near(self, index: int, move: MoveProgress, target: DiskReport, primary: str) -> bool:
        """Returns whether the target has reached a recent head that the primary reported before."""
        watch, disk = self._observation(index, move), self._recent_report(primary)
        copy = disk.copies.get(move.shard) if disk is not None else None
        applied = target.copies[move.shard].applied
        if not move.primary and self._is_dead(primary):
            # The head is unknown; the new copy must not be behind the one that it replaces.
            source = self._recent_report(move.copy_source)
            old = source.copies.get(move.shard) if source is not None else None
            return old is not None and applied >= old.applied
        if copy is None or not copy.primary:
            return False
        if watch.claim_at is None or applied <= copy.head:
            watch.claim, watch.claim_at = applied, target.asked_at_us
        if watch.claim > copy.head and disk.asked_at_us < watch.claim_at:
            return False  # the primary's next report decides
        claim, watch.claim_at = watch.claim, None
        if claim > copy.head:
            # A position beyond the head is wrong, so that the copy's content is unknown.
            self.waits[index] = f"{move.target} claims {claim}, beyond the head {copy.head}"
            return False
        applied = claim
        late = self._now_us - watch.head_at > self._times.max_head_age_us
        if late or watch.head <= applied:
            if not late and watch.head >= 0:
                return True
            watch.head, watch.head_at = copy.head, disk.asked_at_us
        return watch.head <= applied

    def _handle_fenced(self, index: int, move: MoveProgress) -> None:
        """Waits until the fenced target has the last write, then makes it the primary."""
        shard, watch = self._placed(move), self._observation(index, move)
        if log.has_moved(move, shard):
            self._enter(index, move, Event.SWITCH)
            return
        if self._is_withdrawn(index, move):
            return
        if shard is None or shard.primary not in ("", move.source):
            self._enter(index, move, Event.UNFENCE, why="the placement was changed by another")
            return
        if self._is_barred(move.target):
            self._enter(index, move, Event.UNFENCE, why=f"{move.target} is barred")
            return
        if self._now_us - watch.since > self._times.max_fenced_us:
            self._enter(index, move, Event.UNFENCE, why="its primary could not be switched in time")
            return
        if shard.primary:
            # The new copy serves reads already if the copy limit allows. Otherwise a shard with one copy
            # would be unreadable while the next version is joint.
            copies, reads = shard.copies, shard.reads
            if len(copies) < _MOST_COPIES and move.source in reads:
                copies, reads = _with(copies, move.target), _with(reads, move.target)
            self._want(
                index,
                move,
                msgspec.structs.replace(shard, primary="", epoch=shard.epoch + 1, copies=copies, reads=reads),
                f"{_describe(move)}: fenced",
            )
            return
        if not log.in_force(self._state, move.shard):
            return
        source, target = self._recent_report(move.source), self._recent_report(move.target)
        old = source.copies.get(move.shard) if source is not None else None
        new = target.copies.get(move.shard) if target is not None else None
        if old is not None and old.primary:
            self._send_command(
                index, Command(move.source, "SWITCH", move.shard, move.fence, epoch=shard.epoch)
            )
        elif old is not None and old.fence == move.fence and source.asked_at_us >= watch.since:
            # The old primary reported since the fence that it takes no writes: its head is final.
            watch.final = max(watch.final, old.head)
        if watch.final < 0 or new is None or not new.whole:
            self.waits[index] = "the last writes of the old primary"
            return
        if new.applied == watch.final:
            reads = _without(shard.reads, move.source)
            if move.source in shard.reads:
                reads = _with(reads, move.target)
            self._want(
                index,
                move,
                msgspec.structs.replace(
                    shard,
                    primary=move.target,
                    epoch=shard.epoch + 1,
                    copies=_with(_without(shard.copies, move.source), move.target),
                    reads=reads,
                ),
                f"{_describe(move)}: primary",
            )
        else:
            self.waits[index] = f"{move.target} is at {new.applied}, the last write is {watch.final}"

    def _handle_unfencing(self, index: int, move: MoveProgress) -> None:
        shard = self._placed(move)
        if log.has_moved(move, shard):
            self._enter(index, move, Event.SWITCH)
        elif shard is None:
            self._enter(index, move, Event.ROLL_BACK, why=move.failure_reason)
        elif not shard.primary:
            self._want(
                index,
                move,
                msgspec.structs.replace(
                    shard,
                    primary=move.source,
                    epoch=shard.epoch + 1,
                    copies=_with(_without(shard.copies, move.target), move.source),
                    reads=_without(shard.reads, move.target),
                ),
                f"{_describe(move)}: primary back",
            )
        else:
            self._announce_primary(index, move, shard)
            if log.in_force(self._state, move.shard):
                self._enter(index, move, Event.ROLL_BACK, why=move.failure_reason)

    def _announce_primary(self, index: int, move: MoveProgress, shard: documents.Shard) -> bool:
        """Announces the primary to all copies; returns whether the primary knows."""
        for engine in (shard.primary, *shard.copies, move.source):
            disk = self._recent_report(engine)
            copy = disk.copies.get(move.shard) if disk is not None else None
            if copy is not None and (
                copy.epoch < shard.epoch or copy.primary is not (engine == shard.primary)
            ):
                self._send_command(
                    index, Command(engine, "SWITCH", move.shard, move.fence, shard.primary, epoch=shard.epoch)
                )
        disk = self._recent_report(shard.primary)
        copy = disk.copies.get(move.shard) if disk is not None else None
        return copy is not None and copy.primary and copy.epoch >= shard.epoch

    def _handle_switched(self, index: int, move: MoveProgress) -> None:
        shard = self._placed(move)
        if not log.has_moved(move, shard):
            kept = shard is not None and move.source in shard.copies and move.target not in shard.copies
            self.waits[index] = (
                "the old copy has its place again" if kept else "the placement was changed by another"
            )
            if log.in_force(self._state, move.shard):
                self._enter(index, move, Event.DONE, why=self.waits[index])
            return
        knows = not move.primary or self._announce_primary(index, move, shard)
        if not log.in_force(self._state, move.shard):
            self.waits[index] = "leases under the old placement"
            return
        target, source = self._recent_report(move.target), self._recent_report(move.source)
        copy = target.copies.get(move.shard) if target is not None else None
        old = source.copies.get(move.shard) if source is not None else None
        if copy is None or not copy.whole or not knows:
            # The old copy may be the last complete one. It stays until the new one is seen.
            self.waits[index] = f"{move.target} does not show its copy; the old one is kept"
            if not move.primary and old is not None and old.whole and self._is_dead(move.target):
                # The moved replica took no writes, and the old copy kept following. A dead primary took
                # writes, so that an operator has to decide about those.
                self._want(
                    index,
                    move,
                    msgspec.structs.replace(
                        shard, copies=_with_source(shard.copies, move), reads=_with_source(shard.reads, move)
                    ),
                    f"{_describe(move)}: back, {move.target} is gone",
                )
            return
        if source is None and not self._is_dead(move.source):
            self.waits[index] = f"{move.source} does not answer"
            return
        if old is not None and old.reads:
            self.waits[index] = f"{old.reads} reads on the old copy"
            return
        self._enter(index, move, Event.DROP)

    def _handle_dropped(self, index: int, move: MoveProgress) -> None:
        shard, source = self._placed(move), self._recent_report(move.source)
        if shard is not None and move.source in shard.copies:
            self._enter(index, move, Event.DONE)  # an operator placed the shard there again
        elif source is not None and _holds_nothing(source, move.shard, move.fence):
            self._enter(index, move, Event.DONE)
        elif self._is_dead(move.source):
            self._enter(index, move, Event.DONE, owed=True)
        elif (
            source is not None
            and move.shard in source.copies
            and not self._is_complete_elsewhere(move.shard, move.source)
        ):
            self.waits[index] = f"no other copy of {move.shard} is seen: the old one is kept"
        else:
            self.waits[index] = f"{move.source} drops it"
            self._send_command(index, Command(move.source, "DROP", move.shard, move.fence))

    def _handle_rolling_back(self, index: int, move: MoveProgress) -> None:
        shard, target = self._placed(move), self._recent_report(move.target)
        copy = target.copies.get(move.shard) if target is not None else None
        if shard is not None and move.target in shard.copies:
            self._enter(index, move, Event.TARGET_FREED)  # an operator placed the shard there
        elif target is not None and _holds_nothing(target, move.shard, move.fence):
            self._enter(index, move, Event.TARGET_FREED)
        elif self._is_dead(move.target):
            self._enter(index, move, Event.TARGET_FREED, owed=True)
        elif copy is not None and copy.whole and not self._is_complete_elsewhere(move.shard, move.target):
            self.waits[index] = f"no other copy of {move.shard} is seen: the new one is kept"
        else:
            self.waits[index] = f"{move.target} drops what it has"
            self._send_command(index, Command(move.target, "CANCEL", move.shard, move.fence))

    def _is_complete_elsewhere(self, name: str, engine: str) -> bool:
        """Returns whether another placed, complete copy is seen, so that the last one isn't dropped."""
        shard = self._state.latest.placement.items.get(name)
        for other in shard.copies if shard is not None else ():
            disk = self._recent_report(other)
            copy = disk.copies.get(name) if disk is not None else None
            if other != engine and copy is not None and copy.whole:
                return True
        return False

    def _finish_pending_drops(self) -> None:
        """Drops the old copies of engines that were dead, once they are back."""
        for (engine, shard), fence in sorted(self._moves.owed.items()):
            disk, placed = self._recent_report(engine), self._state.latest.placement.items.get(shard)
            if disk is None:
                continue
            if _holds_nothing(disk, shard, fence) or placed is not None and engine in placed.copies:
                if self._is_due(("paid", engine, shard, fence)):
                    self._propose_entry(log.DropConfirmed(engine, shard, fence))
            elif shard in disk.copies and not self._is_complete_elsewhere(shard, engine):
                continue
            elif self._is_due(("owed", engine, shard, fence)):
                self._steps.append(Command(engine, "DROP", shard, fence))

    _NEXT = {
        MoveState.PLANNED: _handle_planned,
        MoveState.RESERVED: _handle_reserved,
        MoveState.COPYING: _handle_copying,
        MoveState.CATCHING_UP: _handle_catching_up,
        MoveState.FENCED: _handle_fenced,
        MoveState.UNFENCING: _handle_unfencing,
        MoveState.SWITCHED: _handle_switched,
        MoveState.DROPPED: _handle_dropped,
        MoveState.ROLLING_BACK: _handle_rolling_back,
    }


def _holds_nothing(disk: DiskReport, shard: str, fence: int) -> bool:
    """Returns whether the engine has no copy, and its fence refuses a late COPY."""
    return shard not in disk.copies and disk.numbers.get(shard, 0) >= fence


def _with_target(names: tuple[str, ...], move: MoveProgress) -> tuple[str, ...]:
    return tuple(move.target if name == move.source else name for name in names)


def _with_source(names: tuple[str, ...], move: MoveProgress) -> tuple[str, ...]:
    return tuple(move.source if name == move.target else name for name in names)


def _with(names: tuple[str, ...], name: str) -> tuple[str, ...]:
    return names if name in names else (*names, name)


def _without(names: tuple[str, ...], name: str) -> tuple[str, ...]:
    return tuple(one for one in names if one != name)


def _describe(move: MoveProgress) -> str:
    return f"{move.shard} {move.source} > {move.target}"
