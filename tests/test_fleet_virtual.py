"""The whole fleet on a virtual clock: what holds under faults by seed, and that broken variants break it."""

from __future__ import annotations

import contextlib
import unittest
from collections.abc import Callable
from typing import Any
from unittest.mock import patch

import msgspec

from cresstray.consensus.log import Log
from cresstray.consensus.raft import Node, Role
from cresstray.emulators.fleet.history import History, Operation
from cresstray.fleet_config import strictest
from cresstray.fleet_config.active_config import ActiveConfig, Mode
from cresstray.fleet_config.codec import Frame, LeaseBehind, LeaseGranted
from cresstray.fleet_config.leases import LeaseTable
from cresstray.fleet_config.state import ConfigState
from cresstray.simulation.fleet import (
    ALL_FAULTS,
    FAULTS,
    SECOND,
    Disk,
    Plan,
    World,
    all_named,
    half_and_all,
    played,
)
from tests.test_conformance import patch_source

SMALL = {"gateways": 6, "engines": 12, "pause": SECOND // 10, "every": SECOND // 5, "delay": (500, 12_000)}


def _dropped(keeps: Callable[[Any], bool]) -> Any:
    """Node.ready without what of `keep` is told apart."""
    take = Node.ready

    def taken(node: Node) -> Any:
        ready = take(node)
        if ready.pending_write is not None and keeps(ready.pending_write):
            ready.pending_write = None
        return ready

    return patch.object(Node, "ready", taken)


def _from_arrival() -> Any:
    take = ActiveConfig.receive

    def late(use: ActiveConfig, frame: Frame, now: int) -> None:
        if isinstance(frame, LeaseGranted) and frame.number in use._pending_renewals:
            use._pending_renewals[frame.number] = (now, use._pending_renewals[frame.number][1])
        take(use, frame, now)

    return patch.object(ActiveConfig, "receive", late)


def _by_timer() -> Any:
    """What may be used is worked out when something comes, and when a timer says that the lease is over."""
    at, asks = ActiveConfig.effective_at, ActiveConfig.renewal_due

    def kept(use: ActiveConfig, now: int) -> Any:
        fresh = getattr(use, "kept", None) or at(use, now)
        if fresh.turn != use.turn or fresh.mode is not Mode.LEASE:
            fresh = at(use, now)
        use.kept = fresh
        return fresh

    def timer(use: ActiveConfig, now: int) -> Any:
        use.kept = None
        return asks(use, now)

    return _both(
        patch.object(ActiveConfig, "effective_at", kept), patch.object(ActiveConfig, "renewal_due", timer)
    )


def _both(*patches: Any) -> Any:
    @contextlib.contextmanager
    def entered() -> Any:
        with contextlib.ExitStack() as stack:
            for one in patches:
                stack.enter_context(one)
            yield

    return entered()


def _behind_extends() -> Any:
    take = ActiveConfig.receive

    def extended(use: ActiveConfig, frame: Frame, now: int) -> None:
        asked = use._pending_renewals.get(frame.number) if isinstance(frame, LeaseBehind) else None
        take(use, frame, now)
        if asked is not None:
            use._lease_until_us = max(use._lease_until_us, asked[0] + use._lease_us)

    return patch.object(ActiveConfig, "receive", extended)


def _no_joint() -> Any:
    advance = ConfigState._advance

    def both(state: ConfigState, turn: int) -> Any:
        told = advance(state, turn)
        return advance(state, turn + 1) if told.is_accepted and turn % 2 else told

    return patch.object(ConfigState, "_advance", both)


def _no_wait() -> Any:
    lead = LeaseTable.on_elected

    def at_once(leases: LeaseTable, gateways: Any, now: int) -> None:
        lead(leases, gateways, now - leases._fallback_lease_us)

    return patch.object(LeaseTable, "on_elected", at_once)


def _forgets() -> Any:
    restore = ConfigState.restore

    def forgotten(state: ConfigState, data: bytes) -> None:
        restore(state, data)
        state._results.clear()

    return patch.object(ConfigState, "restore", forgotten)


def _no_members() -> Any:
    compact = Log.compact

    def without(log: Log, index: int, data: bytes) -> None:
        old = log.snapshot.members
        compact(log, index, data)
        log.snapshot = log._pending_snapshot = msgspec.structs.replace(log.snapshot, members=old)

    return patch.object(Log, "compact", without)


def _reads_at_once() -> Any:
    """A leader answers from what it has, and asks nobody whether it still leads."""

    def read(node: Node, ticket: object, now: int) -> bool:
        node._advance_clock(now)
        if node.role is not Role.LEADER:
            return False
        node._read_results.append((ticket, node.commit_index))
        return True

    return patch.object(Node, "request_read", read)


def _old_name() -> Any:
    """A keeper that lost its disk comes back under its name, as one of the founders, and votes again."""

    def back(world: World, keeper: Any, gateway: Any, until: int) -> None:
        keeper.die()
        keeper.disk = Disk(world, keeper.disk.name, world.members_at[0])
        world.at(until, lambda: keeper.start() if not keeper.alive else None)

    return _both(
        patch.dict(FAULTS, {"lost disk": back}), patch.object(World, "check_remembered", lambda *_: None)
    )


def history(world: World) -> History:
    return History("0", [Operation(*one) for one in world.noted])


MIXED = {"faults": ALL_FAULTS}
CUTS = {"faults": ("one link cut", "isolate keeper", "half heard", "freeze keeper", "kill keeper")}
ONE_CUT = {"faults": ("one link cut",), "every": SECOND // 2}
LATE = {"faults": ("content lost", "late answers", "freeze gateway"), "lasts": (SECOND, 5 * SECOND)}
FROZEN = {"faults": ("freeze gateway",)}
ROUSED = {"faults": ("freeze keeper",), "every": SECOND, "lasts": (SECOND, 2 * SECOND)}
MOVES = {
    "faults": ("some cut",),
    "every": 3 * SECOND // 2,
    "gateways": 10,
    "changes": half_and_all,
    "pause": 2 * SECOND,
    "lasts": (3 * SECOND, 7 * SECOND),
}
REGISTER = {
    "faults": ("isolate keeper", "freeze keeper", "half heard", "kill keeper", "split"),
    "clients": 5,
    "pause": SECOND // 4,
    "gateways": 3,
    "every": SECOND // 2,
}
DISKS = {"faults": ("lost disk", "isolate keeper", "split", "kill keeper"), "lasts": (100_000, SECOND)}
# Each: what is patched, the run that shows it soonest, and the properties of which one must break.
VARIANTS: dict[str, tuple[Callable[[], Any], dict[str, Any], tuple[str, ...]]] = {
    "vote not synced": (
        lambda: _dropped(lambda keep: not (keep.entries or keep.snapshot or keep.truncate_from)),
        MIXED,
        ("synced",),
    ),
    "entries not synced": (lambda: _dropped(lambda keep: bool(keep.entries)), MIXED, ("synced",)),
    "commit by counting an old term": (
        lambda: patch_source(Node, "_advance_commit_index", " or log.term_at(quorum_index) != self.term", ""),
        MIXED,
        ("own-term", "one-log"),
    ),
    "elected with an old log": (
        lambda: patch.object(Node, "_is_up_to_date", lambda *_: True),
        CUTS,
        ("one-log", "acknowledged", "one-state"),
    ),
    "votes in spite of a leader": (
        lambda: patch.object(Node, "_has_active_leader", lambda *_: False),
        ONE_CUT,
        ("one-leader",),
    ),
    "leads while it believes so": (
        lambda: patch.object(Node, "has_leader_lease", lambda node, now: node.role is Role.LEADER),
        ROUSED,
        ("one-leader",),
    ),
    "lease from the answer's arrival": (_from_arrival, LATE, ("turns", "contradiction")),
    "lease checked by timer alone": (_by_timer, FROZEN, ("turns", "contradiction")),
    "joint skipped": (_no_joint, MIXED, ("turns", "contradiction")),
    "new leader does not wait": (_no_wait, MIXED, ("turns", "contradiction")),
    "behind extends the lease": (_behind_extends, LATE, ("turns", "contradiction", "shares")),
    "turn made with a holder behind": (
        lambda: patch.object(LeaseTable, "can_advance", lambda *_: True),
        MIXED,
        ("turns", "contradiction"),
    ),
    "floors changed after the short lease": (
        lambda: patch.object(ConfigState, "changes_count_without_lease", lambda _: False),
        MOVES,
        ("shares",),
    ),
    "a dropped gateway forgotten": (
        lambda: patch_source(
            ConfigState, "_next_content", "(latest.departed_gateways | dropped)", "latest.departed_gateways"
        ),
        MOVES,
        ("shares",),
    ),
    "requests forgotten at a restore": (_forgets, MIXED, ("once", "one-outcome", "one-state")),
    "snapshot without members": (_no_members, MIXED, ("members",)),
    "strictest of both taken wrongly": (
        lambda: patch.object(strictest, "_engines", lambda old, new: new),
        ONE_CUT,
        ("strictest",),
    ),
    "a stranger with an old vote counted": (_old_name, DISKS, ("one-vote", "one-log", "acknowledged")),
    "read by a deposed leader": (_reads_at_once, REGISTER, ("history",)),
    "compare-and-set forgotten": (
        lambda: patch_source(ConfigState, "_outdated_bases", "if base != version:", "if False:"),
        REGISTER,
        ("history",),
    ),
}


def caught(variant: str, seeds: range, seconds: float = 20) -> str:
    """What broke in the first run in which one of its properties did; empty where none did."""
    made, given, properties = VARIANTS[variant]
    for seed in seeds:
        with made():
            world = World(Plan(seed=seed, **SMALL | given))
            world.run(seconds)
        if "history" in properties and not history(world).checked().linearizable:
            world.breach("history", "it is not linearizable")
        if set(world.broken) & set(properties):
            return str(world.broken)
    return ""


class Virtual(unittest.TestCase):
    def test_holds_under_faults(self) -> None:
        for seed, given in enumerate((MIXED, MIXED | {"delay": (500, 25_000)}, CUTS, MOVES)):
            with self.subTest(seed=seed):
                world = played(Plan(seed=seed, **SMALL | given), 10)
                self.assertEqual({}, world.broken)
                self.assertGreater(len(world.acked), 2)
                self.assertLessEqual(world.contradicted, world.given.stated)

    def test_histories_are_linearizable(self) -> None:
        """Of five clients that read and set one register, each through any keeper."""
        for seed, given in enumerate((REGISTER, MIXED | {"clients": 5, "gateways": 3, "moves": 0.3})):
            with self.subTest(seed=seed):
                world = played(Plan(seed=seed, **SMALL | given), 14)
                self.assertEqual({}, world.broken)
                self.assertGreater(sum(one[-1] is True for one in world.noted), 20)
                self.assertGreater(len(world.noted), 100)
                verdict = history(world).checked()
                self.assertTrue(verdict.linearizable, verdict.stuck)

    def test_same_seed_same_run(self) -> None:
        runs = [World(Plan(seed=5, **SMALL | MIXED)) for _ in range(2)]
        for world in runs:
            world.run(8)
        self.assertEqual(*((world.steps, world.acked, world.outcomes, world.elections) for world in runs))

    def test_a_fleet_at_rest(self) -> None:
        """Bytes of a gateway, frames of the leader, and a change, with as many as an operator has."""
        frames = {}
        for count in (58, 115, 230):
            world = World(Plan(seed=1, gateways=count, pause=3 * SECOND, acts=SECOND, changes=all_named))
            world.run(2.9)
            leader, figures = world.leader().name, world.figures
            before, bytes_before = figures.frames_of[leader], figures.bytes_to.copy()
            world.stopped = True
            world.run(3)
            frames[count] = (figures.frames_of[leader] - before) / 3
            most = max(figures.bytes_to[name] - bytes_before[name] for name in figures.bytes_to) / 3
            self.assertLess(most, 2_000)
            self.assertEqual({}, world.broken)
            self.assertEqual(count, len(world.at_turn[world.turn]))
        slopes = (frames[115] - frames[58]) / 57, (frames[230] - frames[115]) / 115
        self.assertLess(slopes[1], 1.5 * slopes[0])

    def test_all_back_at_once(self) -> None:
        world = World(Plan(seed=2, gateways=230, pause=1000 * SECOND, acts=SECOND, changes=all_named))
        world.run(4)
        for gateway in world.gateways:
            for keeper in world.keepers:
                world.cut(gateway, keeper, world.now + 3 * SECOND)
        world.run(2.9)
        self.assertFalse(world.at_turn, "a lease outlives the cut")
        world.run(3)
        self.assertEqual(230, len(world.at_turn[world.turn]))
        # Renewals are 230 in two thirds of a second, of some four frames each at the leader and its link.
        self.assertLess(max(world.figures.peak[at] for at in range(60, 100)), 500)
        self.assertEqual({}, world.broken)


def _test(variant: str) -> Any:
    return lambda self: self.assertTrue(caught(variant, range(30)), "it breaks nothing")


for _variant in VARIANTS:
    setattr(Virtual, "test_broken_" + _variant.translate({32: "_", 39: None}), _test(_variant))
