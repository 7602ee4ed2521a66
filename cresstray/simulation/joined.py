"""Rules, moves and pinned reads joined on one virtual clock: true times outside, own clocks inside.

`python -m cresstray.simulation.joined FIRST COUNT` plays so many seeds and tells what broke.
"""

from __future__ import annotations

import heapq
import random
import sys
from bisect import bisect_right
from types import SimpleNamespace

import msgspec

from cresstray.emulators.shards import Held, RefusedError, Shelf, passed_on
from cresstray.fleet_config import commands as rules
from cresstray.fleet_config import documents
from cresstray.fleet_config.active_config import ActiveConfig, Mode
from cresstray.fleet_config.admission import ConfigAdmissionRules
from cresstray.fleet_config.codec import config_parts
from cresstray.fleet_config.leases import LeaseTable
from cresstray.fleet_config.state import ConfigState, ConfigUpdates
from cresstray.observability.counters import Counters
from cresstray.placement import model, moves
from cresstray.placement import move_executor as carrier
from cresstray.placement.move_executor import Command, CopyReport, DiskReport, MoveExecutor, Proposal
from cresstray.placement.moves import MoveSection
from cresstray.policy.types import EndpointState, Engine, Request, RequestClass
from cresstray.replicas import fallback, pins
from cresstray.replicas.positions import PositionTable
from cresstray.replicas.read import HintedReads
from cresstray.replicas.spread import PositionMessage, PositionPeer, PositionRelay

MS, SECOND = 1_000, 1_000_000
LEASE, FLOOR, DRIFT = 2 * SECOND, 6 * SECOND, 0.01
CORES, EXPECTED = 8, 60 * MS
TIMES = carrier.ExecutorTimes(
    engine_dead_us=15 * SECOND,
    copy_stall_us=6 * SECOND,
    max_room_wait_us=10 * SECOND,
    max_fenced_us=8 * SECOND,
)
WRITES = RequestClass(0, 1, SECOND, 0, 1, 0, False, False, "all", 0, False, None, None)
READS = RequestClass(1, 1, SECOND, 0, 1, 0, True, False, "all", 0, False, None, None)
ENGINES = ("a1", "a2", "a3", "b1", "b2", "c1", "c2")
PLACED = {
    "1": ("a1", "b1"),
    "2": ("b1", "c1", "a1"),
    "3": ("c1", "a1", "b2"),
    "4": ("c2",),
    "5": ("b1", "a1", "a3"),
}
SIZES = {"1": 3_000_000, "2": 2_000_000, "3": 2_000_000, "4": 1_000_000, "5": 1_000_000}
PLANS = (
    model.Plan(
        (
            model.Move("1", "a1", "a2", 3_000_000, True),
            model.Move("2", "c1", "c2", 2_000_000),
            model.Move("4", "c2", "b2", 1_000_000, True),
            model.Move("2", "b1", "b2", 2_000_000, True),
            model.Move("5", "a1", "a2", 1_000_000),
        ),
        9_000_000,
        9_000_000,
        ((0, 1), (2,), (3, 4)),
    ),
    model.Plan(
        (
            model.Move("1", "b1", "b2", 3_000_000),
            model.Move("2", "b2", "b1", 2_000_000, True),
            model.Move("4", "b2", "a3", 1_000_000, True),
        ),
        6_000_000,
        6_000_000,
        ((0, 1, 2),),
    ),
)


class StoppedError(Exception):
    """A property that this world was to stop at is broken."""


class Clock:
    def __init__(self, world: World) -> None:
        self._world, self._began = world, world.now
        self._first = world.chance.randrange(10**6, 10**12)
        self._rate = 1 + world.chance.choice((-1, 0, 1)) * DRIFT * 0.49

    def now(self) -> int:
        return self._first + int((self._world.now - self._began) * self._rate)


class Disked(Shelf):
    """A stand-in's disk, which tells positions as `engines tell them` in docs/replicas.md."""

    world: World

    def switch(self, shard: str, fence: int, epoch: int, primary: str, feed: str) -> int:
        head = super().switch(shard, fence, epoch, primary, feed)
        if primary == self.engine:
            self.world.began(shard, epoch, head)
        return head

    def report(self, shard: str) -> dict[str, float]:
        """Its epoch is that of what it has applied, and its position counts from that epoch's first."""
        held, of = self.shards[shard], self.world.epochs[shard]
        epoch, first = next(
            one for one in reversed(of) if one[0] <= max(held.epoch, of[0][0]) and one[1] <= held.applied
        )
        return {
            "shard": int(shard),
            "epoch": epoch,
            "applied": held.applied - first + self.lie,
            "head": max(held.head, held.applied) - first,
        }


class Leader:
    """One keeper while it leads: its leases, its carrier, its clock; what it has appended may be lost."""

    def __init__(self, world: World) -> None:
        self.world, self.clock = world, Clock(world)
        self.leases, self.carrier = LeaseTable(LEASE, FLOOR, DRIFT), MoveExecutor(TIMES)
        self.leases.on_elected(world.state.counting_gateways(), self.clock.now())
        self.told: dict[str, DiskReport] = {}
        self.log: list[bytes] = []
        self.turned = -1

    def tick(self) -> None:
        world, now = self.world, self.clock.now()
        state = world.state
        turn = state.pending_turn()
        if turn is not None and turn != self.turned and self.leases.can_advance(state, now):
            self.turned = turn
            self.append(rules.encode_advance(turn))
        for step in self.carrier.next_actions(state, world.moves, self.told, now):
            if isinstance(step, Proposal):
                self.append(step.data)
            else:
                world.send(world.give, step)
                if world.chance.random() < 0.1:
                    world.after(world.chance.random() * 15 * SECOND, world.give, step)

    def append(self, data: bytes) -> None:
        self.log.append(data)
        self.world.after(self.world.chance.uniform(5, 40) * MS, self.commit, data)

    def commit(self, data: bytes) -> None:
        if self.world.leader is self:
            while data in self.log:  # in order
                self.world.apply(self.log.pop(0))

    def renewed(self, gateway: Gateway, frame) -> None:
        answer = self.leases.renew(
            gateway.name,
            frame.number,
            frame.turn,
            self.world.state,
            True,
            self.clock.now(),
            frame.incarnation,
            frame.has_stopped,
        )
        self.world.send(gateway.take, answer)


class Gateway:
    def __init__(self, world: World, name: str) -> None:
        self.world, self.name, self.clock = world, name, Clock(world)
        self.frozen = 0
        self.use = ActiveConfig(
            name, LEASE, FLOOR, DRIFT, 8, requires_list=True, incarnation=f"{name} {world.now}"
        )
        self.counters, self.said = Counters(), []
        board = PositionTable(self.said.append, DRIFT)
        self.reads = HintedReads(
            board,
            self.use,
            self.counters,
            world.chance.random,
            lambda _: CORES,
            lambda engine: engine[0],
            lambda *_: False,
            lambda: 1000,
        )
        self.engines = {
            engine: Engine(
                machine,
                state=EndpointState.READY,
                policy_state=SimpleNamespace(limit=SimpleNamespace(running_threads=0, cores=CORES)),
            )
            for machine, engine in enumerate(ENGINES)
        }
        self.admission = ConfigAdmissionRules(
            self.use, ["n"], ["writes", "reads"], lambda engine: ENGINES[engine.instance_type], self.counters
        )
        self.reads.positions_timeout_us = 30 * MS
        self.links = [(PositionPeer(board), PositionPeer(keeper)) for keeper in world.boards]
        for number, (here, there) in enumerate(self.links):
            world.sides[there] = number, here, self

    def when(self, act, *given) -> None:
        """Now, or when this process runs again: a frozen one takes everything then."""
        if self.frozen > self.world.now:
            self.world.after(self.frozen - self.world.now, self.when, act, *given)
        else:
            act(*given)

    def take(self, frame) -> None:
        self.when(lambda: self.use.receive(frame, self.clock.now()))

    def tick(self) -> None:
        world, now = self.world, self.clock.now()
        if (renew := self.use.renewal_due(now)) is not None:
            world.send(lambda: world.leader and world.leader.renewed(self, renew))
        if self.use.is_behind:
            world.send(self.got, self.use.config_request().turn)

    def got(self, turn: int) -> None:
        for frame in config_parts(*self._since(turn)):
            self.world.send(self.take, frame)

    def _since(self, turn: int) -> tuple[int, int, bytes]:
        state = self.world.state
        body = state.updates_since(turn)
        base = msgspec.msgpack.decode(body, type=ConfigUpdates).base if body else turn
        return base, state.turn, body

    def gossip(self) -> None:
        number = self.world.chance.randrange(len(self.links))
        here, there = self.links[number]
        self.reads.update_placement(self.clock.now())
        now = self.clock.now()
        wants, needs = self.reads.wanted_shards(now), self.reads.max_ages_ms(now, 8)
        self.world.passed(here, there, self.clock, self.world.clocks[number], wants, 2, needs)

    # Work.

    def may_go(self, one: Request) -> list[str]:
        now = self.clock.now()
        if self.admission.gateway_count(now) <= 0 or not self.admission.admits(one, now):
            return []
        names = [name for name, engine in self.engines.items() if self.admission.allows(one, engine, now)]
        if self.reads.needs_urgent_request:
            self.gossip()
        return names

    def write(self, shard: str) -> None:
        now = self.clock.now()
        one = Request(WRITES, now, now + SECOND, data_set=int(shard), expected_latency_us=EXPECTED)
        for name in self.may_go(one):
            self.world.asked(self, name, shard, one, None)
            break

    def read(self, session: Session, tries: int = 0, one: Request | None = None) -> None:
        """Held, and asked again, as the module holds what nothing takes."""
        world, now = self.world, self.clock.now()
        if one is None:
            one = Request(READS, now, now + SECOND, data_set=int(session.shard), expected_latency_us=EXPECTED)
            one.replica_read = self.reads.parse_hint(session.statement(), READS, now, session.tariff, "n")
            one.replica_read.request = one
        names = self.may_go(one)
        # What may hold it up between its offer and its going is asked about once more, as it goes.
        if names and tries:
            name = world.chance.choice(names)
            one.replica_read.on_sent(name, now)
            world.asked(self, name, session.shard, one, session)
        elif tries < 12:
            world.after(world.chance.uniform(10, 60) * MS, self.when, self.read, session, tries + 1, one)
        else:
            session.busy = False


class Session:
    """A client: it goes from gateway to gateway with its token."""

    def __init__(self, world: World, number: int) -> None:
        chance = world.chance
        self.shard, self.number, self.busy = sorted(PLACED)[number % len(PLACED)], number, False
        self.within = chance.choice((300, 600, 1500)) * MS
        self.otherwise = chance.choice(("primary", "primary", "wait", "deny"))
        self.tariff = f"pinned {self.shard}" if self.shard in "35" and number % 2 else "reads"
        self.token, self.seen, self.keeps = None, 0, number % 3 == 0
        self.through: set[str] = set()  # gateways that a token came from or went to

    def statement(self) -> str:
        after = f" after={self.token}" if self.token else ""
        keeps = f" session=s{self.number}" if self.keeps else ""
        return (
            f"/*+ cresstray read=replica within={self.within // MS}ms{keeps}{after} "
            f"else={self.otherwise} */ select 1 from t_{self.shard}.x"
        )


class World:
    GATEWAYS, SESSIONS = 5, 16

    def __init__(self, seed: int, faults: float = 1.0, shelf: type[Disked] = Disked) -> None:
        self.chance, self.now, self.queue, self.number = random.Random(seed), 0, [], 0
        self.broken: dict[str, list[str]] = {}
        self.stops: tuple[str, ...] = ()
        self.counts: dict[str, int] = {}
        self.loss, self.slow = 0.02, 1
        self.epochs = {name: [(1, 0)] for name in PLACED}
        self.truth: dict[str, list[int]] = {name: [] for name in PLACED}  # when each write was accepted
        self.acked: dict[str, int] = dict.fromkeys(PLACED, 0)
        self.spent: list[tuple[int, str]] = []
        self.down: dict[str, int] = {}
        self.shelves = {name: shelf(name, name[0], 12_000_000, 1_000_000, 2_000_000, 0) for name in ENGINES}
        for one in self.shelves.values():
            one.world = self
        for name, copies in PLACED.items():
            for engine in copies:
                first = engine == copies[0]
                self.shelves[engine].shards[name] = Held(
                    SIZES[name],
                    primary=first,
                    follows=not first,
                    feed="" if first else copies[0],
                    growth=1_000,
                )
        self.moves, self.state, self.applied = MoveSection(), None, 0
        self._found()
        self.clocks = [Clock(self) for _ in range(2)]
        self.said: list[str] = []
        self.boards = [
            PositionTable(self.said.append, DRIFT, forwards_peer_positions=True) for _ in self.clocks
        ]
        self._place()
        self.exchanges = [PositionRelay(board) for board in self.boards]
        # Of each keeper's side of a link: which keeper's it is, the other side, and whose that is.
        self.sides: dict[PositionPeer, tuple[int, PositionPeer, Gateway | None]] = {}
        first, second = self.between = PositionPeer(self.boards[0]), PositionPeer(self.boards[1])
        self.sides |= {first: (0, second, None), second: (1, first, None)}
        self.leader: Leader | None = Leader(self)
        self.gateways = [Gateway(self, f"g{number}") for number in range(self.GATEWAYS)]
        self.sessions = [Session(self, number) for number in range(self.SESSIONS)]
        for gateway in self.gateways:
            self.every(100, gateway.when, gateway.tick)
            self.every(300, gateway.when, gateway.gossip)
        self.every(80, lambda: self.leader and self.leader.tick())
        self.every(100, self.work)
        self.every(400, self.poll)
        self.every(200, lambda: self.passed(*self.between, *self.clocks, None, 1))
        for number in range(len(self.boards)):
            self.every(10, self.look, number)
        self.every(70, self.some_write)
        self.every(40, self.some_read)
        for at in range(3, 28):
            if self.chance.random() < 0.5 * faults:
                self.after(at * SECOND + self.chance.randrange(SECOND), self.fault)
        self.after(2 * SECOND, self.plan)
        self.after(self.chance.uniform(4, 20) * SECOND, self.pins)

    def _found(self) -> None:
        self.state = ConfigState(documents.FleetInventory(max_gateways=8), {moves.SECTION_NAME: self.moves})
        items = {name: documents.Shard(copies, copies[0], 1, copies) for name, copies in PLACED.items()}
        names = {f"g{number}": documents.Gateway() for number in range(self.GATEWAYS)}
        pins = {
            f"p{shard}": documents.Pin(f"pinned {shard}", copies=("a1",), is_strict=True, until_s=10**9)
            for shard in "35"
        }
        new = documents.Documents(
            gateways=documents.GatewayList(names),
            placement=documents.Placement(items),
            replicas=documents.Replicas(pins),
        )
        assert rules.decode_result(
            self.state.apply(
                1, rules.encode_proposal("found", {}, documents.encode_delta(self.state.latest, new), "")
            )
        ).is_accepted
        while self.state.pending_turn() is not None:
            self.state.apply(1, rules.encode_advance(self.state.pending_turn()))

    # Time, and the network.

    def after(self, delay: float, act, *given) -> None:
        self.number += 1
        heapq.heappush(self.queue, (self.now + max(1, int(delay)), self.number, act, given))

    def every(self, mean: int, act, *given) -> None:
        def once() -> None:
            act(*given)
            self.after(self.chance.uniform(0.7, 1.3) * mean * MS, once)

        self.after(self.chance.uniform(0, mean) * MS, once)

    def delay(self) -> float:
        return self.chance.uniform(0.5, 6) * MS * self.slow * (10 if self.chance.random() < 0.02 else 1)

    def send(self, act, *given) -> None:
        if self.chance.random() >= self.loss:
            self.after(self.delay(), act, *given)

    def passed(
        self,
        speaker: PositionPeer,
        hearer: PositionPeer,
        clock: Clock,
        other: Clock,
        wants,
        left: int,
        needs=(),
    ) -> None:
        word = speaker.make_message(8, wants, clock.now(), needs)

        def hear() -> None:
            self.hear(hearer, word, other)
            if left:
                self.passed(hearer, speaker, other, clock, None, left - 1)

        self.send(hear)

    def hear(self, hearer: PositionPeer, word: PositionMessage, clock: Clock) -> None:
        hearer.handle_message(word, clock.now())
        if hearer in self.sides:
            number = self.sides[hearer][0]
            self.exchanges[number].handle_requests(hearer, self.leads(number), clock.now())
            self.look(number)

    def leads(self, number: int) -> bool:
        return number == 0 and self.leader is not None

    def look(self, number: int) -> None:
        """As replica_positions.PositionDistributor does each round."""
        exchange, now = self.exchanges[number], self.clocks[number].now()
        if self.leads(number):
            for engine in exchange.due_engines(self.state.effective.placement.items, now):
                self.count("asked for positions")
                self.send(self.answers, engine, self.now)
        elif (needs := exchange.poll_schedule.requests_to_forward(32, now)) and number:
            self.send(self.hear, self.between[0], self.between[1].make_request(needs, now), self.clocks[0])
        for peer, word in exchange.urgent_messages(now):
            _, far, gateway = self.sides[peer]
            clock = gateway.clock if gateway is not None else self.clocks[1 - number]
            self.send(self.hear, far, word, clock)

    def answers(self, engine: str, asked: int) -> None:
        """An engine tells a keeper the positions of all its copies."""
        shelf = self.shelves[engine]
        if self.up(engine):
            shelf.advance(self.now)
            self.send(
                self.positions,
                engine,
                {shard: shelf.report(shard) for shard, held in shelf.shards.items() if held.whole},
                asked,
            )

    def wrong(self, what: str, text: str) -> None:
        if what in self.stops:
            raise StoppedError(what)
        self.broken.setdefault(what, []).append(f"{self.now / SECOND:.3f}: {text}")

    def count(self, what: str) -> None:
        self.counts[what] = self.counts.get(what, 0) + 1

    # The log.

    def apply(self, data: bytes) -> None:
        self.applied += 1
        turn = self.state.turn
        self.state.apply(self.applied, data)
        if self.state.turn != turn:
            self._place()

    def _place(self) -> None:
        for board, clock in zip(self.boards, self.clocks, strict=True):
            board.set_placement(self.state.effective.placement.items, clock.now())

    def plan(self) -> None:
        plan = self.moves.plan
        begun = int(plan.id) if plan is not None else 0
        if (
            self.leader is not None
            and (plan is None or plan.is_finished() and not plan.halted)
            and begun < len(PLANS)
        ):
            for entry in moves.begin_entries(f"{begun + 1}", "me", PLANS[begun], model.Limits(share=1.0)):
                self.leader.append(rules.encode_section_command(moves.SECTION_NAME, "", entry))
        self.after(2 * SECOND, self.plan)

    def pins(self) -> None:
        """An operator pins to another copy."""
        latest = self.state.latest
        pin = documents.Pin("pinned 3", copies=("b2",), is_strict=True, until_s=10**9)
        items = latest.replicas.items | {"p3": pin}
        new = msgspec.structs.replace(latest, replicas=documents.Replicas(items))
        if self.leader is None:
            self.after(SECOND, self.pins)
        else:
            self.leader.append(
                rules.encode_proposal(
                    "pin", {"replicas": latest.version("replicas")}, documents.encode_delta(latest, new), ""
                )
            )

    def kill(self) -> None:
        """What the leader had appended is committed by the next one, or lost, from some entry on."""
        if self.leader is None:
            return
        left = self.leader.log[: self.chance.randint(0, len(self.leader.log))]
        self.leader = None
        self.after(self.chance.uniform(300, 1500) * MS, self.elect, left)

    def elect(self, left: list[bytes]) -> None:
        dumped = self.state.snapshot()
        self.moves = MoveSection()
        self.state = ConfigState(documents.FleetInventory(max_gateways=8), {moves.SECTION_NAME: self.moves})
        self.state.restore(dumped)
        for data in left:
            self.apply(data)
        self.leader = Leader(self)

    def fault(self) -> None:
        chance = self.chance
        what = chance.choice(("kill", "kill", "freeze", "freeze", "down", "lag", "loss", "slow", "lie"))
        self.count(f"fault {what}")
        if what == "kill":
            self.kill()
        elif what == "freeze":
            chance.choice(self.gateways).frozen = self.now + int(chance.uniform(0.2, 4) * SECOND)
        elif what == "down":
            self.down[chance.choice(ENGINES)] = self.now + int(chance.uniform(0.5, 5) * SECOND)
        elif what in ("lag", "lie"):
            few = (
                list(self.shelves.values())
                if what == "lag" and chance.random() < 0.5
                else [self.shelves[chance.choice(ENGINES)]]
            )
            for shelf in few:
                setattr(shelf, what, 3 * SECOND if what == "lag" else 1000)
                self.after(chance.uniform(2, 5) * SECOND, setattr, shelf, what, 0)
        else:
            setattr(self, what, 0.3 if what == "loss" else 4)
            self.after(3 * SECOND, setattr, self, what, 0.02 if what == "loss" else 1)

    # Engines.

    def up(self, engine: str) -> bool:
        return self.down.get(engine, 0) <= self.now

    def began(self, shard: str, epoch: int, head: int) -> None:
        if epoch > self.epochs[shard][-1][0]:
            self.epochs[shard].append((epoch, head))

    def give(self, command: Command) -> None:
        shelf = self.shelves[command.engine]
        if not self.up(command.engine):
            return
        shelf.advance(self.now)
        try:
            shard, fence = command.shard, command.fence
            if command.verb == "COPY":
                shelf.copy(shard, fence, command.peer, command.offset, command.rate, command.keep)
            elif command.verb == "FOLLOW":
                shelf.follow(shard, fence, command.peer, command.epoch)
            elif command.verb == "SWITCH":
                shelf.switch(shard, fence, command.epoch, command.peer, command.peer)
            else:
                shelf.drop(shard, fence)
        except RefusedError:
            pass

    def poll(self) -> None:
        leader = self.leader
        if leader is None:
            return
        for name, shelf in self.shelves.items():
            self.send(self.polled, leader, name, shelf, leader.clock.now(), self.now)

    def polled(self, leader: Leader, name: str, shelf: Disked, at: int, asked: int) -> None:
        if self.up(name):
            shelf.advance(self.now)
            told = shelf.told({})
            copies = {shard: CopyReport(**copy) for shard, copy in told.pop("copies").items()}
            told["numbers"] = dict(told["numbers"])
            self.send(
                self.positions,
                name,
                {shard: shelf.report(shard) for shard, copy in copies.items() if copy.whole},
                asked,
            )
            self.send(
                leader.told.__setitem__, name, DiskReport(engine=name, asked_at_us=at, copies=copies, **told)
            )

    def positions(self, name: str, reports: dict[str, dict[str, float]], at: int) -> None:
        """What a disk tells a keeper goes on its board; nobody else would ever ask a copy first."""
        now = self.clocks[0].now()
        asked = now - int((self.now - at) * 1.01) - 1
        for shard, report in reports.items():
            self.boards[0].record_report(
                shard, name, report["epoch"], report["applied"], report["head"], asked, now
            )
        self.exchanges[0].record_reply(name, asked)
        self.look(0)

    def work(self) -> None:
        for name, shelf in self.shelves.items():
            shelf.advance(self.now)
            if not self.up(name):
                continue
            passed_on(shelf, self.shelves, self.up, self.now)
        for shard, copies in PLACED.items():
            whole = [
                name for name, one in self.shelves.items() if shard in one.shards and one.shards[shard].whole
            ]
            if len(whole) < len(copies):
                self.wrong("a copy is lost", f"{shard}: only {whole}")

    # Clients.

    def some_write(self) -> None:
        gateway = self.chance.choice(self.gateways)
        gateway.when(gateway.write, self.chance.choice(sorted(PLACED)))

    def some_read(self) -> None:
        session, gateway = self.chance.choice(self.sessions), self.chance.choice(self.gateways)
        if not session.busy:
            session.busy = True
            gateway.when(gateway.read, session)

    def asked(self, gateway: Gateway, name: str, shard: str, one: Request, session: Session | None) -> None:
        """It has gone out; it comes to the engine, runs and is answered."""
        sent, true_sent = gateway.clock.now(), self.now
        lease = gateway.use.effective_at(sent).mode is Mode.LEASE
        placed = gateway.use.documents.placement.items.get(shard)
        primary = placed.primary if placed is not None else ""
        if session is not None:
            if session.token is not None:
                session.through.add(gateway.name)
            self._judge_going(gateway, name, session, primary)
        shelf = self.shelves[name]

        def lost() -> None:
            self.after(SECOND, gateway.when, back, None, 0)

        def run() -> None:
            if not self.up(name):
                lost()
                return
            held = shelf.shards.get(shard)
            if held is None or not held.whole:
                self.count("refused, no such shard")
                if lease:
                    self.wrong("a dropped copy was reached", f"{shard} on {name} by {gateway.name}")
                lost()
                return
            shelf.reads[shard] = shelf.reads.get(shard, 0) + 1
            took = self.chance.uniform(1, 25) * MS
            self.after(took, ended, held, held.applied)

        def ended(held: Held, state: int) -> None:
            shelf.reads[shard] -= 1
            if not shelf.reads[shard]:
                del shelf.reads[shard]
            if session is None:
                state = self._accepted(shelf, shard)
            if (
                not self.up(name)
                or self.chance.random() < self.loss
                or shard not in shelf.shards
                or (session is None and not state)
            ):
                lost()
            else:
                self.after(self.delay(), gateway.when, back, shelf.report(shard), state)

        def back(report: dict[str, float] | None, state: int) -> None:
            now = gateway.clock.now()
            if report is not None:
                gateway.reads.record_report(name, report, sent, now)
            if one.replica_read is not None:
                one.replica_read.on_finished(report or {}, now - sent, now)
            if session is not None:
                if report is not None:
                    self._judge_read(name, session, primary, state, true_sent, one.replica_read.token())
                session.busy = False
            elif report is not None:
                self.acked[shard] = max(self.acked[shard], state)
                self.count("writes")

        self.after(self.delay(), run)

    def _accepted(self, shelf: Disked, shard: str) -> int:
        """A write's end; its place in the history, 0: refused."""
        if not shelf.written(shard):
            self.count("writes refused, no primary")
            return 0
        self.truth[shard].append(self.now)
        if shelf.shards[shard].head != len(self.truth[shard]):
            self.wrong(
                "two histories of a shard",
                f"{shard} on {shelf.engine}: write "
                f"{shelf.shards[shard].head}, {len(self.truth[shard])} were accepted",
            )
        return shelf.shards[shard].head

    def _judge_going(self, gateway: Gateway, name: str, session: Session, primary: str) -> None:
        if name == primary:
            self.count("fallen back")
            self.spent.append((self.now, name))
        elif session.tariff.startswith("pinned"):
            # What is in force holds at each moment, also while the next version is joint.
            force = self.state.content(self.state.turn // 2)
            reads = force.placement.items[session.shard].reads
            may = pins.pinned_replicas(
                force.replicas.items[f"p{session.shard}"], reads, reads, lambda one: one[0]
            )
            self.count("pinned")
            if name not in may:
                self.wrong(
                    "a strict pin is broken",
                    f"{session.shard} on {name} at turn {self.state.turn}, "
                    f"the gateway at {gateway.use.turn}: {may}",
                )

    def _judge_read(
        self, name: str, session: Session, primary: str, state: int, sent: int, token: str | None
    ) -> None:
        truth = self.truth[session.shard]
        if name != primary:
            self.count("by copies")
            # What a read takes longer than expected is counted elsewhere, and promised to nobody.
            end = min(self.now, sent + EXPECTED)
            age = max(0, end - truth[state]) if state < len(truth) else 0
            if age > session.within * (1 + DRIFT):
                self.wrong("older than within", f"{session.shard} on {name}: {age} us, {session.within}")
        elif state < bisect_right(truth, sent):
            self.wrong("a primary was behind", f"{session.shard} on {name}: {state}")
        if state < session.seen:
            self.wrong("a session went back", f"{session.shard} on {name}: {state} after {session.seen}")
        if token is not None:
            session.token, session.seen = token, max(state, session.seen)

    # The end.

    def run(self, seconds: int = 30) -> World:
        """Faults and load for so long, and on until the plans are over, at most as long again."""
        self.until(seconds * SECOND)
        while self.now < (seconds + 60) * SECOND and not self.over():
            self.until(self.now + SECOND)
        self.until(self.now + 3 * SECOND)
        self.judge_end()
        return self

    def over(self) -> bool:
        plan = self.moves.plan
        return plan is not None and plan.is_finished() and (plan.id == str(len(PLANS)) or bool(plan.halted))

    def until(self, end: int) -> None:
        while self.now < end:
            self.now, _, act, given = heapq.heappop(self.queue)
            act(*given)

    def judge_end(self) -> None:
        items = self.state.latest.placement.items
        held = {(shard, engine) for engine, shelf in self.shelves.items() for shard in shelf.shards}
        placed = {(name, engine) for name, shard in items.items() for engine in shard.copies}
        if not self.over():
            self.wrong("not over", f"{self.moves.status()} {self.leader and self.leader.carrier.waits}")
        elif held != placed:
            self.wrong("other copies than placed", f"{sorted(held ^ placed)}")
        for name, shard in items.items():
            if len(shard.copies) != len(PLACED[name]):
                self.wrong("other copies than planned", f"{name}: {shard.copies}")
            last = self.shelves[shard.primary].shards.get(name) if shard.primary else None
            if last is not None and last.applied < self.acked[name]:
                self.wrong("a write is lost", f"{name}: {last.applied} of {self.acked[name]}")
        if any(shelf.counted.headroom_broken for shelf in self.shelves.values()):
            self.wrong("headroom broken", "")
        for engine in ENGINES:
            times = [at for at, name in self.spent if name == engine]
            for first in range(len(times)):
                for last in range(first, len(times)):
                    most = (
                        fallback.FALLBACK_SHARE
                        * CORES
                        * (times[last] - times[first] + fallback.FALLBACK_WINDOW_US)
                    )
                    if (last - first + 1) * EXPECTED > most * (1 + DRIFT):
                        self.wrong("over the share", f"{engine}: {last - first + 1} reads")
                        return


def main(first: int, count: int) -> None:
    for seed in range(first, first + count):
        world = World(seed).run()
        print(seed, "ok" if not world.broken else "", dict(sorted(world.counts.items())))
        for what, lines in world.broken.items():
            print("  ", what, len(lines), lines[:3])


if __name__ == "__main__":
    main(*map(int, sys.argv[1:]))
