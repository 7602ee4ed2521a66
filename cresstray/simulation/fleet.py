"""A whole fleet on a virtual clock: keepers' core, the gateways' side of the rules, faults between them.

Only what stands round the state machines is made here: links, clocks, disks, who fails when. True time is
seen by this file alone. What must hold is checked from outside at each step; `World.broken` has what did not.
"""

from __future__ import annotations

import hashlib
import heapq
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Any

import msgspec

from cresstray.config.fleet import Fleet
from cresstray.config.fleet import Keeper as Named
from cresstray.consensus.codec import AppendEntriesResponse, VoteResponse
from cresstray.consensus.entries import (
    Entry,
    EntryKind,
    Members,
    PendingWrite,
    PersistentState,
    Ready,
    Snapshot,
    decode_members,
)
from cresstray.consensus.raft import Node, Role, Timing
from cresstray.control_plane import codec
from cresstray.control_plane.node_controller import IncomingLink, NodeController
from cresstray.fleet_config import codec as rules
from cresstray.fleet_config import documents
from cresstray.fleet_config.active_config import ActiveConfig, Mode
from cresstray.fleet_config.leases import LeaseTable
from cresstray.fleet_config.state import ConfigState
from cresstray.observability.counters import Counters
from cresstray.transport.framing import Frame, FrameDecoder, FramingError, encode_frame

MS, SECOND = 1_000, 1_000_000
REGISTER = "999999"  # of no group of tables
TO_GATEWAY = (rules.LeaseGranted, rules.LeaseBehind, rules.LeaseRefused, rules.ConfigPart)


class CrashError(Exception):
    """The process dies where it stands."""


@dataclass
class Plan:
    """What a fleet is made of, and what may go wrong in it."""

    seed: int = 0
    keepers: int = 5
    gateways: int = 20
    engines: int = 80
    lease: int = 2 * SECOND
    floor_lease: int = 10 * SECOND
    drift: float = 0.01
    most: int = 1024
    delay: tuple[int, int] = (200, 800)  # one way, microseconds
    sync: tuple[int, int] = (300, 1500)  # of a disk
    faults: tuple[str, ...] = ()
    every: int = 400 * MS  # between two faults, by chance up to twice that
    lasts: tuple[int, int] = (50 * MS, 5 * SECOND)  # each, by a chance that favours short ones
    operators: int = 1
    clients: int = 0  # of the register
    pause: int = 300 * MS  # between an operator's changes
    changes: Callable[[Operator, documents.Documents], documents.Documents | None] | None = None
    waits: bool = True  # a gateway that has heard of no list stops
    acts: int = 50 * MS  # between two looks of a gateway at what it may use
    moves: float = 1.0  # how often gateways come into the list and go
    snapshot: int = 40  # entries applied from one snapshot to the next


class Disk:
    """What was synced. `torn`: the next write dies before (1) or behind (2) it."""

    def __init__(self, world: World, name: str, members: Members) -> None:
        self.world, self.name, self.torn = world, name, 0
        begun = 1 if members.voters else 0  # as Storage.found has it
        self.term, self.voted_for = begun, None
        self.snapshot, self.entries = Snapshot(begun, begun, members, b""), {}

    @property
    def last(self) -> int:
        return max(self.entries, default=self.snapshot.index)

    def write(self, keep: PendingWrite) -> None:
        torn, self.torn = self.torn, 0
        if torn == 1:
            raise CrashError
        if keep.truncate_from is not None:
            self.entries = {at: entry for at, entry in self.entries.items() if at < keep.truncate_from}
        self.entries |= dict(enumerate(keep.entries, keep.first_index))
        if keep.snapshot is not None:
            self.world.check_snapshot(self.name, keep.snapshot)
            self.snapshot = keep.snapshot
            self.entries = {at: entry for at, entry in self.entries.items() if at > keep.snapshot.index}
        self.term, self.voted_for = keep.term, keep.voted_for
        if torn == 2:
            raise CrashError

    def load(self) -> PersistentState:
        entries = [self.entries[at] for at in range(self.snapshot.index + 1, self.last + 1)]
        return PersistentState(self.name, self.term, self.voted_for, self.snapshot, entries)


class SeenNode(Node):
    world: World

    def ready(self) -> Ready:
        ready = super().ready()
        for index, entry in ready.committed_entries:
            self.world.check_committed(self, index, entry)
        if (
            self.role is Role.LEADER
            and ready.committed_entries
            and ready.committed_entries[-1][1].term != self.term
        ):
            self.world.breach(
                "own-term",
                f"{self.name} commits an entry of term "
                f"{ready.committed_entries[-1][1].term} as leader of {self.term}",
            )
        return ready


class SeenState(ConfigState):
    seen_by: World

    def apply(self, index: int, data: bytes) -> bytes:
        told = super().apply(index, data)
        self.seen_by.check_applied(self, index, told)
        return told


class End:
    """One end of a link, as NodeController knows it."""

    def __init__(self, link: Link, own: Machine, other: Machine) -> None:
        self.link, self.own, self.other = link, own, other
        self.last = self.unsent_bytes = 0
        self.close_reason = ""

    def put(self, frame: Frame) -> None:
        self.own.world.check_told(self.own, self, frame)
        self.link.send(self, frame, encode_frame(frame))

    def write(self, message: bytes) -> None:
        for frame in FrameDecoder(self.other.kinds).feed(message):
            self.link.send(self, frame, encode_frame(frame))

    def end(self, why: str) -> None:
        self.link.drop(why)


class Link:
    """Frames in order, both ways, until it breaks; then each side learns of it at a time of its own."""

    def __init__(self, maker: Machine, taker: Machine) -> None:
        self.maker, self.taker, self.world = maker, taker, maker.world
        self.lives = (maker.lives, taker.lives)
        self.ends = (End(self, maker, taker), End(self, taker, maker))
        self.up = True
        self.guest: IncomingLink | None = None
        self.world.links[self] = None

    def send(self, end: End, frame: Frame, message: bytes) -> None:
        world, way = self.world, (end.own.name, end.other.name)
        world.count(end.own, end.other, frame, len(message))
        if not self.up:
            return
        if world.is_cut(*way) or frame.kind in end.other.deaf:
            if frame.kind not in end.other.deaf:
                self.drop("cut")
            return
        at = max(world.now, end.own.busy) + world.random.randint(*world.plan.delay)
        at = max(end.last, at, world.held.get(way, 0))
        end.last = at
        world.at(at, lambda: self.arrive(end, frame))

    def arrive(self, end: End, frame: Frame) -> None:
        other = end.other
        if end.close_reason or not other.alive or other.lives != self.lives[other is self.taker]:
            return
        other.run(lambda: other.take(self, frame))

    def drop(self, why: str) -> None:
        if not self.up:
            return
        self.up = False
        self.world.links.pop(self, None)
        for end in self.ends:
            # A close is told at once or, where nothing gets through, found out.
            late = (
                self.world.random.randint(1 * MS, 5 * MS)
                if why != "cut"
                else self.world.random.randint(200 * MS, 1500 * MS)
            )
            self.world.at(self.world.now + late, lambda end=end: self.over(end, why))

    def over(self, end: End, why: str) -> None:
        if end.own.alive and end.own.lives == self.lives[end.own is self.taker]:
            end.close_reason = why
            end.own.run(lambda: end.own.lost(self))


class Machine:
    """A process with a clock of its own. A frozen one takes its events later, in their order."""

    kinds: tuple[type[Frame], ...] = ()

    def __init__(self, world: World, name: str) -> None:
        self.world, self.name = world, name
        half = world.plan.drift / 2  # `drift` is between any two
        self.rate = 1 + world.random.choice((-half, half, world.random.uniform(-half, half)))
        self.offset = world.random.randint(0, 10**12)
        self.alive, self.frozen, self.busy, self.lives = False, 0, 0, 0
        self.deaf: frozenset[int] = frozenset()
        self._wake = 0
        self._waiting: deque[Callable[[], None]] = deque()

    def clock(self) -> int:
        return self.offset + int(self.world.now * self.rate)

    def run(self, act: Callable[[], None]) -> None:
        """Now, or in its turn once it is no longer frozen or busy with its disk."""
        if self._waiting or self.world.now < max(self.frozen, self.busy):
            if not self._waiting:
                self.world.at(max(self.frozen, self.busy), self.go_on)
            self._waiting.append(act)
        elif self.alive:
            self._do(act)

    def go_on(self) -> None:
        while self._waiting and self.world.now >= max(self.frozen, self.busy):
            self._do(self._waiting.popleft())
        if self._waiting:
            self.world.at(max(self.frozen, self.busy), self.go_on)

    def _do(self, act: Callable[[], None]) -> None:
        self.world.steps += 1
        try:
            act()
        except CrashError:
            self.die()
        self.world.check(self)

    def wake(self, due: int, act: Callable[[], None]) -> None:
        """At this reading of its own clock; a later call takes the place of an earlier one."""
        self._wake += 1
        number, lives = self._wake, self.lives
        at = max(self.world.now + 1, int((due - self.offset) / self.rate) + 1)
        self.world.at(at, lambda: self.run(act) if self._wake == number and self.lives == lives else None)

    def start(self) -> None:
        self.alive, self.frozen, self.busy, self.lives = True, 0, 0, self.lives + 1

    def freeze(self, until: int) -> None:
        self.frozen = max(self.frozen, until)

    def die(self) -> None:
        self.alive, self.frozen, self.busy = False, 0, 0
        self._waiting.clear()
        for link in [link for link in self.world.links if self in (link.maker, link.taker)]:
            link.drop("reset")

    def take(self, link: Link, frame: Frame) -> None:
        raise NotImplementedError

    def lost(self, link: Link) -> None:
        raise NotImplementedError


class Keeper(Machine):
    kinds = codec.ACCEPTED_FRAMES

    def __init__(self, world: World, name: str, members: Members) -> None:
        super().__init__(world, name)
        self.generation, self.disk = 1, Disk(world, f"{name}/1", members)
        self.serial = 0

    def start(self) -> None:
        super().start()
        plan, world, now = self.world.plan, self.world, self.clock()
        self.node = SeenNode.__new__(SeenNode)
        self.node.world = world
        world.check_remembered(self)
        self.node.__init__(self.disk.load(), Timing(clock_drift=plan.drift), world.random.random, now)
        self.state = SeenState(world.rules)
        self.state.seen_by = world
        self.core = NodeController(
            world.given,
            self.node,
            self.state,
            LeaseTable(plan.lease, plan.floor_lease, plan.drift),
            self.write,
            lambda *_, **__: None,
            Counters(),
            now,
        )
        self.compacted = self.disk.snapshot.index
        self.rounding = False
        for other in world.keepers:
            if other is not self:
                self.reach(other)
        self.soon()

    def write(self, keep: PendingWrite) -> None:
        self.disk.write(keep)
        self.busy = max(self.busy, self.world.now) + self.world.random.randint(*self.world.plan.sync)

    def reach(self, other: Keeper) -> None:
        """Makes the link to another keeper, now and whenever it is lost."""
        world = self.world
        if world.reachable(self, other):
            link = Link(self, other)
            full = f"{other.name}/{other.generation}"
            self.core.on_outgoing_connected(full, link.ends[0])
            link.full = full
            other.run(lambda: other.come(link, "keeper", self.name, str(self.generation)))
        else:
            lives = self.lives
            world.at(
                world.now + world.random.randint(50 * MS, 150 * MS),
                lambda: self.run(lambda: self.reach(other)) if self.lives == lives else None,
            )

    def come(self, link: Link, role: str, name: str, life: str) -> None:
        self.serial += 1
        key = {
            "keeper": f"keeper:{name}/{life}",
            "gateway": f"gateway:{name}",
            "operator": f"operator:{self.serial}",
        }[role]
        link.guest = IncomingLink(link.ends[1], role, name, life, key)
        self.core.on_incoming_connected(link.guest)

    def take(self, link: Link, frame: Frame) -> None:
        if link.maker is self or link.guest is None:
            return
        try:
            self.core.on_incoming_frame(link.guest, frame, self.clock())
        except FramingError as trouble:
            if "newer link" not in str(trouble):
                self.world.notes[f"a link dropped: {trouble}"] += 1
            link.drop("broken")
        self.soon()

    def lost(self, link: Link) -> None:
        if link.maker is self:
            self.core.on_outgoing_closed(link.full, link.ends[0])
            self.reach(link.taker)
        elif link.guest is not None:
            self.core.on_incoming_closed(link.guest)
        self.soon()

    def soon(self) -> None:
        """A round for all that comes in the next moment."""
        if not self.rounding:
            self.rounding, lives = True, self.lives
            self.world.at(self.world.now + 50, lambda: self.run(self.round) if self.lives == lives else None)

    def round(self) -> None:
        self.rounding = False
        due = self.core.run_round(self.clock())
        if self.core.applied_index - self.compacted >= self.world.plan.snapshot:
            self.compacted = self.core.applied_index
            self.node.compact(self.core.applied_index, self.state.snapshot())
            due = self.core.run_round(self.clock())
        self.wake(due, self.round)


class Gateway(Machine):
    kinds = TO_GATEWAY

    def start(self) -> None:
        super().start()
        plan = self.world.plan
        self.use = ActiveConfig(
            self.name, plan.lease, plan.floor_lease, plan.drift, plan.most, plan.waits, str(self.lives)
        )
        self.link: Link | None = None
        self.answered = self.got = self.clock()
        self.reach()
        self.tick()
        self.act()

    def reach(self) -> None:
        """To any keeper that can be reached, now and whenever the link is lost."""
        world, lives = self.world, self.lives
        keeper = world.random.choice(world.keepers)
        if self.link is None and world.reachable(self, keeper):
            self.link = link = Link(self, keeper)
            self.answered = self.clock()
            keeper.run(lambda: keeper.come(link, "gateway", self.name, str(self.lives)))
            self.use.on_connected(self.clock())
        elif self.link is None:
            world.at(
                world.now + world.random.randint(100 * MS, 600 * MS),
                lambda: self.run(self.reach) if self.lives == lives else None,
            )

    def take(self, link: Link, frame: Frame) -> None:
        if link is not self.link:
            return
        now = self.clock()
        if not isinstance(frame, rules.LeaseRefused):
            self.answered = now
        try:
            self.use.receive(frame, now)
        except FramingError as trouble:
            self.world.notes[f"a gateway's link dropped: {trouble}"] += 1
            link.drop("broken")
        self.tick()

    def lost(self, link: Link) -> None:
        if link is self.link:
            self.link = None
            self.reach()

    def tick(self) -> None:
        now = self.clock()
        if self.link is not None:
            if now - self.answered > 1500 * MS:
                self.link.drop("silent")
                self.answered = now
            elif (frame := self.use.renewal_due(now)) is not None:
                self.link.ends[0].put(frame)
            if self.use.is_behind and now - self.got > 500 * MS:
                self.got = now
                self.link.ends[0].put(self.use.config_request())
        self.wake(
            max(now + MS, min(self.use.due_us, now + 100 * MS) if self.use.due_us > now else now + 20 * MS),
            self.tick,
        )

    def act(self) -> None:
        """Only a look: each step of a machine is checked, and this is one."""
        lives, spread = self.lives, self.world.random.random() + 0.5
        self.world.at(
            self.world.now + int(self.world.plan.acts * spread),
            lambda: self.run(self.act) if self.lives == lives else None,
        )


class Operator(Machine):
    """Proposes one change after the other, and asks again by the same name until it hears what came of it."""

    kinds = (rules.OperatorReply,)

    def start(self) -> None:
        super().start()
        self.link: Link | None = None
        self.serial = self.number = 0
        self.ask: codec.OperatorCommand | None = None
        self.known: documents.Documents | None = None
        self.ghosts = 0
        self.gather = codec.PartAssembler(64)
        self.next()

    def later(self, wait: int, act: Callable[[], None]) -> None:
        self.wake(self.clock() + wait, act)

    def next(self) -> None:
        self.serial += 1
        if self.known is None:
            self.ask = codec.OperatorCommand("show")
        elif self.world.stopped:
            return self.later(100 * MS, self.next)
        else:
            self.change = self.world.changes(self, self.known)
            if self.change is None or self.change == self.known:
                self.known = None  # ghosts may have gone meanwhile
                return self.later(50 * MS, self.next)
            self.ask = codec.OperatorCommand(
                "propose",
                f"{self.name}-{self.serial}",
                dict(self.known.versions),
                documents.encode_delta(self.known, self.change),
                "a change",
                self.name,
            )
        self.put()

    def put(self) -> None:
        world = self.world
        if self.link is not None:
            self.link.drop("given up")
        self.link, self.number = None, self.number + 1
        keeper = world.random.choice(world.keepers)
        if world.reachable(self, keeper):
            self.link = link = Link(self, keeper)
            keeper.run(lambda: keeper.come(link, "operator", self.name, ""))
            for frame in codec.encode_command(self.number, self.ask):
                link.ends[0].put(frame)
        self.later(world.random.randint(700 * MS, 1500 * MS) if self.link else 100 * MS, self.put)

    def take(self, link: Link, frame: Frame) -> None:
        body = self.gather.add(frame) if link is self.link and frame.number == self.number else None
        if body is None:
            return
        answer = msgspec.msgpack.decode(body)
        if "error" in answer:
            self.later(50 * MS, self.put)
        elif self.ask.kind == "show":
            self.known, self.ghosts = documents.parse_documents(answer["documents"]), len(answer["ghosts"])
            self.later(MS, self.next)
        else:
            request = self.ask.request_id
            self.world.answered(request, answer)
            # Some answers are lost behind the network: the same is asked once more.
            if self.world.random.random() < 0.2 and request not in self.world.twice:
                self.world.twice.add(request)
                self.later(self.world.random.randint(10 * MS, 2000 * MS), self.put)
                return
            self.known = None
            self.later(int(self.world.plan.pause * (0.5 + self.world.random.random())), self.next)

    def lost(self, link: Link) -> None:
        if link is self.link:
            self.later(20 * MS, self.put)


class Client(Operator):
    """Reads and sets a register, the epoch of a shard that no other names; `World.noted` has what it saw.

    An answer that doesn't come is asked for once more through another keeper, or given up: then it may have
    counted.
    """

    def start(self) -> None:
        self.open = False
        super().start()

    def next(self) -> None:
        world = self.world
        if world.stopped:
            return self.later(100 * MS, self.next)
        self.serial += 1
        self.asked, self.tries = world.now, 0
        self.ask = codec.OperatorCommand("show")
        if self.known is not None and world.random.random() < 0.7:
            self.value = str(world.count_set())
            items = self.known.placement.items | {
                REGISTER: documents.Shard(("s-00000001",), epoch=int(self.value))
            }
            new = msgspec.structs.replace(
                self.known, placement=documents.Placement(dict(sorted(items.items())))
            )
            self.ask = codec.OperatorCommand(
                "propose",
                f"{self.name}-{self.serial}",
                dict(self.known.versions),
                documents.encode_delta(self.known, new),
                "set",
                self.name,
            )
        self.put()

    def put(self) -> None:
        if self.open and (self.tries > 1 or self.world.random.random() < 0.5):
            self.done(None)
        else:
            self.tries += 1
            super().put()
            self.open = self.open or self.link is not None

    def done(self, outcome: bool | None) -> None:
        """`outcome`: whether it was set; None: not known."""
        world = self.world
        self.leave()
        if self.ask.kind == "propose":
            base = self.known.placement.items.get(REGISTER, documents.Shard((), epoch=0)).epoch
            world.noted.append((self.name, self.asked, world.now, self.value, str(base), outcome))
            self.known = None
        self.later(int(world.plan.pause * (0.2 + world.random.random())), self.next)

    def leave(self) -> None:
        self.open = False
        if self.link is not None:
            self.link.drop("done")
            self.link = None

    def take(self, link: Link, frame: Frame) -> None:
        body = self.gather.add(frame) if link is self.link and frame.number == self.number else None
        if body is None:
            return
        answer = msgspec.msgpack.decode(body)
        if "error" in answer:
            self.later(20 * MS, self.put)
        elif self.ask.kind == "show":
            self.known = documents.parse_documents(answer["documents"])
            read = self.known.placement.items.get(REGISTER, documents.Shard((), epoch=0)).epoch
            self.world.noted.append((self.name, self.asked, self.world.now, str(read)))
            self.done(True)
        elif answer["accepted"]:
            self.done(True)
        elif any(why.startswith("placement: the change is of") for why in answer["refused"]):
            self.done(False)
        else:
            self.leave()
            self.known = None
            self.later(50 * MS, self.next)


@dataclass
class Change:
    """One version's way, in true time."""

    accepted: int
    in_force: int = 0
    at_all: int = 0


@dataclass
class Figures:
    bytes_to: Counter = field(default_factory=Counter)  # by gateway, both ways
    frames_of: Counter = field(default_factory=Counter)  # by keeper, both ways
    peak: Counter = field(default_factory=Counter)  # of the leader's frames, by 100 ms


class World:
    def __init__(self, plan: Plan) -> None:
        self.plan, self.random = plan, Random(plan.seed)
        self.now = self.steps = self._serial = 0
        self._heap: list[tuple[int, int, Callable[[], None]]] = []
        self.links: dict[Link, None] = {}
        self.cuts: dict[tuple[str, str], int] = {}  # by way: until when
        self.held: dict[tuple[str, str], int] = {}
        self.broken: dict[str, str] = {}  # by property: the first breach
        self.notes: Counter = Counter()
        self.stopped, self.replacing = False, None  # the keeper whose new generation is being taken in
        self.figures = Figures()
        # What is known from outside.
        self.log: dict[int, Entry] = {}
        self.outcomes: dict[int, str] = {}
        self.members_at: dict[int, Members] = {}
        self.votes: dict[tuple[str, int], str] = {}
        self.acting: dict[int, documents.Documents] = {}
        self.version = self.turn = 0
        self.changes_of: dict[int, Change] = {}
        self.acked: dict[str, int] = {}
        self.twice: set[str] = set()
        self.noted: list[tuple] = []  # operations on the register, as standins/fleet/history.py has them
        self._set = 0
        self.modes: dict[str, tuple[Mode, int, float]] = {}  # as last looked at: mode, turn, share
        self.at_turn: dict[int, dict[str, None]] = {}
        self.contradicted = self.worst_leaderless = 0
        self.force_at: dict[int, int] = {}
        self.led_at, self.elections = 0, []
        self.changes = plan.changes or some_change
        names = [f"k{n + 1}" for n in range(plan.keepers)]
        self.given = Fleet(
            "virtual",
            tuple(Named(name, ("127.0.0.1", 1)) for name in names),
            plan.lease,
            plan.floor_lease,
            plan.drift,
            plan.most,
        )
        self.engines = [f"s-{n:08x}" for n in range(plan.engines)]
        self.rules = documents.FleetInventory(
            max_gateways=plan.most,
            max_barred_fraction=0.33,
            engines={name: f"z{n % 2}" for n, name in enumerate(self.engines)},
        )
        members = Members(tuple(f"{name}/1" for name in names))
        self.members_at[0] = members
        self.keepers = [Keeper(self, name, members) for name in names]
        self.gateways = [Gateway(self, f"g{n:03}") for n in range(plan.gateways)]
        self.operators = [Operator(self, f"o{n}") for n in range(plan.operators)]
        self.clients = [Client(self, f"c{n}") for n in range(plan.clients)]
        self.named = {
            machine.name: machine
            for machine in (*self.keepers, *self.gateways, *self.operators, *self.clients)
        }
        for machine in self.named.values():
            self.at(self.random.randint(0, 100 * MS), machine.start)
        if plan.faults:
            self.at(3 * SECOND, self.fault)

    # Time and the network.

    def count_set(self) -> int:
        """A value of the register that no other is set to, and that is beyond all before."""
        self._set += 1
        return self._set

    def at(self, when: int, act: Callable[[], None]) -> None:
        self._serial += 1
        heapq.heappush(self._heap, (when, self._serial, act))

    def run(self, seconds: float) -> None:
        until = self.now + int(seconds * SECOND)
        while self._heap and self._heap[0][0] <= until and not self.broken:
            self.now, _, act = heapq.heappop(self._heap)
            act()
        self.now = until

    def is_cut(self, one: str, other: str) -> bool:
        return self.now < self.cuts.get((one, other), 0)

    def reachable(self, one: Machine, other: Machine) -> bool:
        return (
            other.alive
            and self.now >= other.frozen
            and not (self.is_cut(one.name, other.name) or self.is_cut(other.name, one.name))
        )

    def count(self, own: Machine, other: Machine, frame: Frame, size: int) -> None:
        figures = self.figures
        for machine in (own, other):
            if isinstance(machine, Gateway):
                figures.bytes_to[machine.name] += size
            elif isinstance(machine, Keeper):
                figures.frames_of[machine.name] += 1
                if machine.alive and machine.node.role is Role.LEADER:
                    figures.peak[self.now // (100 * MS)] += 1

    # Faults.

    def fault(self) -> None:
        if self.stopped:
            return
        random, plan = self.random, self.plan
        self.at(self.now + random.randint(plan.every // 4, 2 * plan.every), self.fault)
        kind, until = (
            random.choice(plan.faults),
            self.now + int(plan.lasts[0] * (plan.lasts[1] / plan.lasts[0]) ** random.random()),
        )
        leader = self.leader()
        keeper = leader if leader and random.random() < 0.5 else random.choice(self.keepers)
        gateway = random.choice(self.gateways)
        self.notes[f"fault: {kind}"] += 1
        FAULTS[kind](self, keeper, gateway, until)

    def cut(self, one: Machine, other: Machine, until: int, both: bool = True) -> None:
        for way in ((one.name, other.name), (other.name, one.name))[: 1 + both]:
            self.cuts[way] = max(until, self.cuts.get(way, 0))
        for link in [link for link in self.links if {link.maker, link.taker} == {one, other}]:
            link.drop("cut")

    def hold(self, one: Machine, other: Machine, until: int) -> None:
        self.held[(one.name, other.name)] = max(until, self.held.get((one.name, other.name), 0))

    def crash(self, machine: Machine, until: int) -> None:
        machine.die()
        self.at(until, lambda: machine.start() if not machine.alive else None)

    def replace(self) -> None:
        """As an operator's command does: the leader is asked for the next step until all are done."""
        leader = self.leader()
        if leader is not None:
            ask = codec.OperatorCommand("replace", name=self.replacing)
            leader.run(
                lambda: (
                    leader.core.request_handlers.handle(ask, self.stepped, leader.clock()),
                    leader.soon(),
                )
            )
        if self.replacing is not None:
            self.at(self.now + 200 * MS, self.replace)

    def stepped(self, answer: dict[str, Any]) -> None:
        if answer.get("done"):
            self.notes["replaced"] += 1
            self.replacing = None

    def heal(self) -> None:
        """No further changes and faults; all that is down or cut comes back."""
        self.stopped = True
        self.cuts.clear()
        self.held.clear()
        for keeper in self.keepers:
            keeper.disk.torn = 0
        for machine in self.named.values():
            machine.deaf = frozenset()
            if machine.frozen > self.now:
                machine.frozen = self.now
                machine.go_on()
            if not machine.alive:
                machine.start()

    def leader(self) -> Keeper | None:
        led = [
            keeper
            for keeper in self.keepers
            if keeper.alive
            and self.now >= keeper.frozen
            and keeper.node.role is Role.LEADER
            and keeper.node.has_leader_lease(keeper.clock())
        ]
        if len(led) > 1:
            self.breach(
                "one-leader",
                f"{led[0].name} and {led[1].name} both lead, terms {led[0].node.term} and {led[1].node.term}",
            )
        return led[0] if led else None

    # What must hold.

    def breach(self, what: str, text: str) -> None:
        self.broken.setdefault(what, f"{self.now / SECOND:.4f} s, seed {self.plan.seed}: {text}")

    def check(self, machine: Machine) -> None:
        if isinstance(machine, Keeper):
            self.check_keeper(machine)
        elif isinstance(machine, Gateway):
            self.check_gateway(machine)

    def check_keeper(self, keeper: Keeper) -> None:
        leader = self.leader()
        if leader is not None:
            if self.led_at and self.now - self.led_at > 60 * MS:
                self.elections.append(self.now - self.led_at)
            self.led_at = self.now
        told = keeper.core.state
        while self.version < told.version:
            self.version += 1
            self.changes_of[self.version] = Change(self.now)
        if told.turn > self.turn:
            self.turn = told.turn
            self.acting[told.turn] = told.effective
            self.check_strictest(told.turn)
            if told.turn % 2 == 0:
                self.force_at[told.turn] = self.now
                for version, change in self.changes_of.items():
                    if version <= told.turn // 2 and not change.in_force:
                        change.in_force = self.now
        if told.turn in self.acting and self.acting[told.turn] is not told.effective:
            if self.acting[told.turn] != told.effective:
                self.breach("one-state", f"{keeper.name} acts on another content at turn {told.turn}")

    def check_strictest(self, turn: int) -> None:
        """Of two neighbours one is joint, and has all that the other bars."""
        barred = [
            {name for name, rule in self.acting[one].engines.items.items() if rule.is_barred}
            for one in (turn - 1, turn)
            if one in self.acting
        ]
        joint = barred[turn % 2 if len(barred) == 2 else 0]
        more = set().union(*barred) - joint
        if more:
            self.breach("strictest", f"of turns {turn - 1} and {turn} the joint one lacks {sorted(more)}")

    def check_gateway(self, gateway: Gateway) -> None:
        name = gateway.name
        before = self.modes.get(name)
        if not gateway.alive:
            self.forget(name, before)
            return
        used = gateway.use.effective_at(gateway.clock())
        share = 1 / used.gateway_count if used.gateway_count else 0.0
        if before is None or before != (used.mode, used.turn, share):
            self.forget(name, before)
            self.modes[name] = (used.mode, used.turn, share)
            if used.mode is Mode.LEASE:
                self.at_turn.setdefault(used.turn, {})[name] = None
            self.check_shares()
            self.check_all_have()
        if used.mode is not Mode.LEASE:
            return
        if before is None or before[1] != used.turn:
            if used.turn in self.acting and used.documents != self.acting[used.turn]:
                self.breach("same-content", f"{name} acts on another content of turn {used.turn}")
        for turn in [turn for turn in self.at_turn if abs(turn - used.turn) > 1]:
            for other in list(self.at_turn[turn]):
                self.look_again(other)
            if self.at_turn.get(turn):
                other = next(iter(self.at_turn[turn]))
                self.breach("turns", f"{name} acts at turn {used.turn}, {other} at {turn}")
        self.check_contradiction(name, used)

    def check_contradiction(self, name: str, used: Any) -> None:
        force = self.turn - self.turn % 2
        if used.turn >= force or force not in self.acting:
            return
        barred = [
            engine
            for engine, rule in self.acting[force].engines.items.items()
            if rule.is_barred
            and not used.documents.engines.items.get(engine, documents.EngineRule()).is_barred
        ]
        if barred:
            since = self.now - min(at for turn, at in self.force_at.items() if turn > used.turn)
            self.contradicted = max(self.contradicted, since)
            if since > self.given.stated:
                self.breach("contradiction", f"{name} may use {barred[0]} {since / SECOND:.3f} s late")

    def forget(self, name: str, before: tuple[Mode, int, float] | None) -> None:
        if before is not None:
            self.modes.pop(name, None)
            held = self.at_turn.get(before[1])
            if held is not None:
                held.pop(name, None)
                if not held:
                    del self.at_turn[before[1]]

    def look_again(self, name: str) -> None:
        """What another gateway may use at this moment; one that is frozen or dead uses nothing."""
        gateway = self.named[name]
        before = self.modes.get(name)
        self.forget(name, before)
        if gateway.alive and self.now >= gateway.frozen:
            used = gateway.use.effective_at(gateway.clock())
            self.modes[name] = (used.mode, used.turn, 1 / used.gateway_count if used.gateway_count else 0.0)
            if used.mode is Mode.LEASE:
                self.at_turn.setdefault(used.turn, {})[name] = None

    def check_shares(self) -> None:
        if sum(share for _, _, share in self.modes.values()) > 1 + 1e-9:
            for name in list(self.modes):
                self.look_again(name)
            total = sum(share for _, _, share in self.modes.values())
            if total > 1 + 1e-9:
                parts = Counter(
                    (mode.value, round(1 / share)) for mode, _, share in self.modes.values() if share
                )
                self.breach("shares", f"all shares together are {total:.3f}: {dict(parts)}")

    def check_all_have(self) -> None:
        if len(self.at_turn) == 1:
            ((turn, names),) = self.at_turn.items()
            if turn in self.acting and len(names) == len(self.acting[turn].gateways.items):
                for version, change in self.changes_of.items():
                    if 2 * version <= turn and not change.at_all:
                        change.at_all = self.now

    def check_committed(self, node: Node, index: int, entry: Entry) -> None:
        known = self.log.setdefault(index, entry)
        if known != entry:
            self.breach("one-log", f"{node.name} has another entry {index} than was committed")
        if entry.kind == EntryKind.MEMBERS:
            self.members_at[index] = decode_members(entry.data)

    def check_applied(self, told: ConfigState, index: int, outcome: bytes) -> None:
        made = hashlib.blake2b(outcome + f"{told.turn} {told.version}".encode(), digest_size=8).hexdigest()
        if self.outcomes.setdefault(index, made) != made:
            self.breach("one-outcome", f"entry {index} has two outcomes, one after a restart")

    def check_snapshot(self, name: str, snapshot: Snapshot) -> None:
        known = self.members_at[max(at for at in self.members_at if at <= snapshot.index)]
        if snapshot.index <= max(self.log, default=0) and snapshot.members != known:
            self.breach(
                "members",
                f"{name} has a snapshot of {snapshot.index} with the members {snapshot.members}, not {known}",
            )

    def check_told(self, own: Machine, end: End, frame: Frame) -> None:
        """What a keeper tells others of its log is on its disk by then, and it votes once a term."""
        if not isinstance(own, Keeper):
            return
        disk = own.disk
        if isinstance(frame, VoteResponse) and frame.granted:
            to = end.link.full
            if disk.term < frame.term or (disk.term == frame.term and disk.voted_for != to):
                self.breach("synced", f"{own.name} votes for {to} in term {frame.term}, unsynced")
            if self.votes.setdefault((disk.name, frame.term), to) != to:
                self.breach("one-vote", f"{own.name} votes twice in term {frame.term}")
        elif isinstance(frame, AppendEntriesResponse) and frame.is_success and disk.last < frame.index:
            self.breach("synced", f"{own.name} tells entry {frame.index}, its disk has {disk.last}")

    def check_remembered(self, keeper: Keeper) -> None:
        promised = [term for name, term in self.votes if name == keeper.disk.name]
        if promised and keeper.disk.term < max(promised):
            self.breach("synced", f"{keeper.name} starts in {keeper.disk.term}, it voted in {max(promised)}")

    def answered(self, request: str, answer: dict[str, Any]) -> None:
        if answer["accepted"]:
            if self.acked.setdefault(request, answer["version"]) != answer["version"]:
                self.breach("once", f"{request}: accepted as {self.acked[request]}, {answer['version']}")
        elif request in self.acked:
            self.breach("once", f"{request} was accepted, and is refused when asked again")
        else:
            self.notes["refused"] += 1

    def check_end(self) -> None:
        """After healing: all keepers hold the same, all that was acknowledged is there, gateways have it."""
        if self.broken:
            return
        live = [keeper for keeper in self.keepers if keeper.disk.name in keeper.node.members.voters]
        applied = {keeper.core.applied_index for keeper in live}
        if self.leader() is None or len(applied) > 1:
            self.breach(
                "recovers",
                f"leader {self.leader()}, applied "
                + ", ".join(f"{keeper.disk.name} {keeper.core.applied_index}" for keeper in live),
            )
            return
        if len({keeper.state.snapshot() for keeper in live}) > 1:
            self.breach("one-state", "keepers hold different states at the end")
        if self.turn != 2 * self.version:
            self.breach("recovers", f"turn {self.turn} in the end, and the latest change is {self.version}")
        history = Counter(past.request for past in live[0].state.history() if past.request)
        twice = [request for request, times in history.items() if times > 1]
        lost = [
            request
            for request, version in self.acked.items()
            if request not in history and version > self.version - 250
        ]
        if twice:
            self.breach("once", f"{twice[0]} stands in the history twice")
        if lost:
            self.breach("acknowledged", f"{lost[0]} was acknowledged, and is not in the history")
        behind = [
            gateway.name
            for gateway in self.gateways
            if gateway.name in live[0].state.named_gateways()
            and gateway.use.effective_at(gateway.clock())[:2] != (Mode.LEASE, self.turn)
        ]
        if behind:
            self.breach("recovers", f"{len(behind)} gateways have no lease at turn {self.turn}: {behind[:3]}")


# What goes wrong: World, keeper, gateway, until when.


def _torn(world: World, keeper: Keeper, gateway: Gateway, until: int) -> None:
    keeper.disk.torn = world.random.choice((1, 2))

    def over() -> None:
        # Danger: killed by another fault before it wrote, it would die of this one later, and stay dead.
        keeper.disk.torn = 0
        if not keeper.alive:
            keeper.start()

    world.at(until, over)


def _isolate(world: World, keeper: Keeper, gateway: Gateway, until: int) -> None:
    for other in world.keepers:
        if other is not keeper:
            world.cut(keeper, other, until)


def _one_link(world: World, keeper: Keeper, gateway: Gateway, until: int) -> None:
    other = world.random.choice(world.keepers)
    if other is not keeper:
        world.cut(keeper, other, until)


def _split(world: World, keeper: Keeper, gateway: Gateway, until: int) -> None:
    sides = {name: world.random.random() < 0.5 for name in world.named}
    for one in world.keepers:
        for other in (*world.keepers, *world.gateways):
            if sides[one.name] != sides[other.name]:
                world.cut(one, other, until)


def _half_heard(world: World, keeper: Keeper, gateway: Gateway, until: int) -> None:
    for other in world.keepers:
        if other is not keeper:
            ways = (keeper, other) if world.random.random() < 0.5 else (other, keeper)
            world.hold(*ways, until)


def _some_cut(world: World, keeper: Keeper, gateway: Gateway, until: int) -> None:
    for one in world.random.sample(world.gateways, max(1, len(world.gateways) // 4)):
        for other in world.keepers:
            world.cut(one, other, until)


def _late_answers(world: World, keeper: Keeper, gateway: Gateway, until: int) -> None:
    for one in world.random.sample(world.gateways, max(1, len(world.gateways) // 4)):
        for other in world.keepers:
            world.hold(other, one, until)


def _deaf(world: World, keeper: Keeper, gateway: Gateway, until: int) -> None:
    gateway.deaf = frozenset({rules.ConfigPart.kind})
    world.at(until, lambda: setattr(gateway, "deaf", frozenset()))


def _lost_disk(world: World, keeper: Keeper, gateway: Gateway, until: int) -> None:
    """It comes back as a stranger; an operator has it taken in, step by step. One at a time."""
    if world.replacing is not None or not all(one.alive for one in world.keepers):
        return
    keeper.die()
    keeper.generation += 1
    keeper.disk = Disk(world, f"{keeper.name}/{keeper.generation}", Members(()))
    world.replacing = keeper.name
    world.at(until, lambda: keeper.start() if not keeper.alive else None)
    world.at(until, world.replace)


def _hand_over(world: World, keeper: Keeper, gateway: Gateway, until: int) -> None:
    leader = world.leader()
    if leader is not None:
        to = world.random.choice(leader.node.members.voters)
        leader.run(lambda: (leader.node.transfer_leadership(to, leader.clock()), leader.soon()))


FAULTS: dict[str, Callable[[World, Keeper, Gateway, int], None]] = {
    "kill keeper": lambda world, keeper, gateway, until: world.crash(keeper, until),
    "torn write": _torn,
    "freeze keeper": lambda world, keeper, gateway, until: keeper.freeze(until),
    "freeze gateway": lambda world, keeper, gateway, until: gateway.freeze(until),
    "kill gateway": lambda world, keeper, gateway, until: world.crash(gateway, until),
    "isolate keeper": _isolate,
    "one link cut": _one_link,
    "split": _split,
    "half heard": _half_heard,
    "some cut": _some_cut,
    "late answers": _late_answers,
    "content lost": _deaf,
    "lost disk": _lost_disk,
    "hand over": _hand_over,
}
ALL_FAULTS = tuple(FAULTS)


# What operators change.


def some_change(operator: Operator, known: documents.Documents) -> documents.Documents | None:
    """The first names half of the gateways; then some come and go, with a floor that just holds them, engines
    are barred and unbarred, tenants get shares."""
    world = operator.world
    random, names = world.random, [gateway.name for gateway in world.gateways]
    drawn, listed = random.random(), known.gateways.items
    if not known.version("gateways"):
        return listing(known, names[: len(names) // 2 + 1], 0)
    if drawn < 0.25 * world.plan.moves:
        some = random.sample(names, random.randint(1, 3))
        kept = [name for name in names if (name in listed) != (name in some)]
        return listing(known, kept or names[:1], operator.ghosts + sum(name in listed for name in some))
    if drawn < 0.75:
        items = dict(known.engines.items)
        name = random.choice(world.engines[:12])
        items[name] = documents.EngineRule(is_barred=not items.get(name, documents.EngineRule()).is_barred)
        return msgspec.structs.replace(known, engines=documents.EngineRules(dict(sorted(items.items()))))
    items = dict(known.tenants.items)
    items[f"t{random.randrange(9)}"] = documents.TenantRule(share=random.random())
    return msgspec.structs.replace(known, tenants=documents.TenantRules(dict(sorted(items.items()))))


def half_and_all(operator: Operator, known: documents.Documents) -> documents.Documents | None:
    """Half of the gateways by a floor that just holds them, then all, then half again."""
    names, listed = [gateway.name for gateway in operator.world.gateways], known.gateways.items
    half = names[: len(names) // 2]
    if len(listed) == len(names) or not known.version("gateways"):
        return listing(known, half, len(listed) and len(names) - len(half))
    if known.gateways.count_without_lease > len(half):
        return None if operator.ghosts else listing(known, half, 0)
    return listing(known, names, operator.ghosts)


def all_named(operator: Operator, known: documents.Documents) -> documents.Documents | None:
    """The first names all gateways at once, then as above without comings and goings."""
    if known.version("gateways"):
        return some_change(operator, known)
    return listing(known, [gateway.name for gateway in operator.world.gateways], 0)


def listing(known: documents.Documents, names: list[str], ghosts: int) -> documents.Documents:
    gateways = documents.GatewayList({name: documents.Gateway() for name in names}, 0, len(names) + ghosts)
    return msgspec.structs.replace(known, gateways=gateways)


def played(plan: Plan, seconds: float) -> World:
    """A run with faults, healed for some seconds at its end."""
    world = World(plan)
    world.run(seconds)
    world.heal()
    world.run(14)
    world.check_end()
    return world
