"""A fleet whose engines hold shards, as processes with disks; sessions that write and read.

All is judged by the engines' own lines (what each took and answered, when, at which position) and by what
clients saw.
"""

from __future__ import annotations

import itertools
import json
import random
import socket
import subprocess
import sys
from base64 import b64decode, b64encode
from collections import defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from pathlib import Path
from typing import NamedTuple

import anyio
import hiredis
import msgspec

from cresstray.control_plane.codec import OperatorCommand
from cresstray.emulators.account import Run
from cresstray.emulators.clients import Client, Drawn
from cresstray.emulators.coordinator import Listed
from cresstray.emulators.fleet.operators import Operator, Watch
from cresstray.emulators.fleet.processes import HALL, Fleet
from cresstray.emulators.world import KINDS, _free_port
from cresstray.fleet_config import documents
from cresstray.placement import data_transfer as carry
from cresstray.replicas.fallback import FALLBACK_SHARE, FALLBACK_WINDOW_US
from cresstray.replicas.sessions import parse_token

_READ, _WRITE = KINDS[0], KINDS[3]  # an idempotent tariff and one that runs at most once
# What two processes' looks at one clock, and a read's way to its client, may add to a stated age.
_SLACK = 0.005
# Copies ask for their primary's head each 50 ms: by two of these a copy has what was written, if none is cut.
_FOLLOWS = 0.1


class Seen(NamedTuple):
    """One line of an engine: `what` is took, answered or refused; `at` in seconds; how far its copy was."""

    engine: str
    what: str
    name: str
    at: float
    shard: str
    writes: bool
    epoch: int
    position: int
    primary: bool


@dataclass
class Told:
    """One submission of a session, as its client saw it: `began` is when it was asked, in seconds."""

    session: str
    shard: str
    name: str
    began: float
    within: float = 0.0  # seconds; 0: a write
    ended: float = 0.0
    how: str = "none"
    engine: str = ""  # whose answer came
    at: str | None = None


@dataclass
class Verdict:
    """`late` are reads whose bound was broken, and `back` sessions that went back: for people."""

    hinted: int = 0
    served: int = 0
    by_copies: int = 0
    possible: int = 0  # a copy must have had what was asked for
    possible_by_copies: int = 0
    bound_broken: int = 0
    went_back: int = 0
    primary_over_share: int = 0
    twice: int = 0  # positions that two engines gave to writes
    lost: int = 0  # acknowledged writes beyond the head at the end
    lines: list[str] = field(default_factory=list)

    def reads(self) -> dict[str, float]:
        return {
            "hinted": self.hinted,
            "bound_broken": self.bound_broken,
            "went_back": self.went_back,
            "by_replica": round(self.by_copies / max(1, self.served), 4),
            "possible": round(self.possible / max(1, self.served), 4),
            "by_replica_of_possible": round(self.possible_by_copies / max(1, self.possible), 4),
            "primary_over_share": self.primary_over_share,
        }


class ShardClient(Client):
    """Says its own statements, and hands back what came."""

    def __init__(self, *given: object) -> None:
        super().__init__(*given)
        self._statements: dict[str, str] = {}
        self._awaited: dict[str, tuple[anyio.Event, list[dict]]] = {}

    def say(self, message: dict) -> None:
        params = message.get("params", {})
        if "req" in params:
            params["data"] = b64encode(self._statements.pop(params["req"]).encode()).decode()
        super().say(message)

    def _take(self, message: dict) -> None:
        asked = self._open.get(message["id"])
        super()._take(message)
        if asked is not None and asked.name in self._awaited:
            event, told = self._awaited[asked.name]
            told.append(message)
            event.set()

    async def told(self, drawn: Drawn, statement: str) -> dict | None:
        """The first answer; None: none within its hard stop, or no gateway was there."""
        self._statements[drawn.name] = statement
        event, told = self._awaited[drawn.name] = anyio.Event(), []
        with anyio.move_on_after(drawn.kind.hard + 0.2):
            try:
                await self.ask(drawn)
                await event.wait()
            except OSError:
                await anyio.sleep(0.05)
        del self._awaited[drawn.name]
        return told[0] if told else None


class ShardFleet(Fleet):
    """Engines as processes with disks in two zones; `placed`: of each shard, the numbers of its copies."""

    def __init__(
        self,
        folder: Path,
        placed: dict[str, tuple[int, ...]],
        keepers: int = 3,
        gateways: int = 3,
        engines: int = 5,
        size: int = 4_000_000,
        disk: int = 20_000_000,
        steps: tuple[str, ...] | None = None,
    ) -> None:
        super().__init__(folder, keepers, gateways, engines, steps=steps)
        self.placed, self._size, self._disk = placed, size, disk
        self.ids = [f"s-{number + 1:08x}" for number in range(engines)]
        self.disks: dict[str, subprocess.Popen] = {}
        self.ports: dict[str, int] = {}
        self.killed: list[tuple[str, float]] = []
        self.sessions: list[Told] = []
        self._numbers = itertools.count(1)

    def zone(self, engine: str) -> str:
        return "ab"[self.ids.index(engine) % 2]

    def start_engine(self, engine: str, *shards: str) -> None:
        """At its port, with its disk if it has one; `listens` waits for it."""
        self.disks[engine] = subprocess.Popen(
            [
                sys.executable,
                "-O",
                "-m",
                "cresstray.emulators.shards",
                "--engine",
                engine,
                "--zone",
                self.zone(engine),
                "--folder",
                str(self._folder),
                "--disk",
                str(self._disk),
                "--headroom",
                str(self._disk // 10),
                "--pace",
                "4000000",
                "--cores",
                str(self.cores),
                "--port",
                str(self.ports[engine]),
                *(word for shard in shards for word in ("--shard", shard)),
            ],
            stdout=subprocess.PIPE,
            text=True,
        )

    async def listens(self, engine: str) -> None:
        said = await anyio.to_thread.run_sync(self.disks[engine].stdout.readline)
        if json.loads(said)["port"] != self.ports[engine]:
            raise OSError(f"{engine} listens elsewhere: {said}")

    def kill_engine(self, engine: str) -> None:
        self.disks[engine].kill()
        self.disks[engine].wait()
        self.disks[engine].stdout.close()
        self.killed.append((engine, anyio.current_time()))

    async def _begin_engines(self) -> list[Listed]:
        self.ports = {engine: _free_port() for engine in self.ids}
        for number, engine in enumerate(self.ids):
            self.start_engine(
                engine,
                *(
                    f"{shard}:{self._size}:2000:primary"
                    if copies[0] == number
                    else f"{shard}:{self._size}:2000:copy:127.0.0.1:{self.ports[self.ids[copies[0]]]}"
                    for shard, copies in self.placed.items()
                    if number in copies
                ),
            )
        for engine in self.ids:
            await self.listens(engine)
        self._more = "".join(
            f"engine {one} {self.zone(one)} 127.0.0.1:{self.ports[one]}\n" for one in self.ids
        )
        return [Listed(number + 1, self.ports[one], zone=number % 2) for number, one in enumerate(self.ids)]

    def _write(self) -> None:
        super()._write()
        (self._folder / "operator.conf").write_text(
            "fleet bench\n"
            + self._lines
            + "".join(f"keeper {name} 127.0.0.1:{one.port}\n" for name, one in self.keepers.items())
            + self._more
        )

    def _end_engines(self) -> None:
        for made in self.disks.values():
            if made.poll() is None:
                made.kill()
                made.wait()
                made.stdout.close()

    async def placed_first(self, operator: Operator, watch: Watch) -> None:
        """The placement document, until it is in force."""
        items = {
            shard: documents.Shard(names := tuple(self.ids[one] for one in copies), names[0], 1, names)
            for shard, copies in self.placed.items()
        }
        made = await operator.change(
            lambda old: msgspec.structs.replace(
                old, placement=msgspec.structs.replace(old.placement, items=items)
            ),
            10,
        )
        if made is None or await watch.until(2 * made.version, 10) is None:
            raise TimeoutError(f"not placed: {made}")

    def say(self, engine: str, *words: str) -> dict:
        """One command to an engine, and what it answers."""
        with socket.create_connection(("127.0.0.1", self.ports[engine]), 5) as made:
            made.sendall(hiredis.pack_command(words))
            answers = carry.AnswerParser()
            while not (found := answers.feed(made.recv(65536))):
                pass
        return json.loads(found[0])

    def accounts(self) -> dict[str, dict]:
        return {engine: self.say(engine, "ACCOUNT") for engine in self.ids}

    def seen(self) -> list[Seen]:
        """All lines of all engines, by time."""
        found = [
            Seen(engine, *json.loads(line))
            for engine in self.ids
            for file in self._folder.glob(f"{engine}.json.answers")
            for line in file.read_bytes().splitlines()
        ]
        return sorted(found, key=lambda one: one.at)

    async def runs(self) -> dict[str, list[Run]]:
        self.account.runs.clear()
        for one in self.seen():
            runs = self.account.runs[one.name]
            if one.what == "took":
                runs.append(Run(one.engine, one.at, effect=True))
            else:
                run = next(run for run in reversed(runs) if run.engine == one.engine)
                run.ended, run.effect = one.at, one.what == "answered"
        for runs in self.account.runs.values():
            for run in runs:
                ends = [at for engine, at in self.killed if engine == run.engine and at >= run.began]
                if run.ended is None and ends:
                    run.ended = ends[0]
        return self.account.runs

    def shard_client(self, gateway: int) -> ShardClient:
        one = self.halls[HALL].gateways[gateway]
        client = ShardClient(HALL, one.name, ("127.0.0.1", one.port), self.account, self._tasks)
        one.clients.append(client)
        return client

    async def session(
        self,
        name: str,
        shard: str,
        seed: int,
        rate: float,
        within: float = 0.5,
        writes: float = 0.3,
        work: float = 0.005,
        otherwise: str = "primary",
    ) -> None:
        """Writes and reads one after the other without end, each through the next gateway."""
        rng, after = random.Random(seed), ""
        clients = [self.shard_client(one) for one in range(len(self.gateways))]
        for client in itertools.cycle(clients):
            is_write = rng.random() < writes
            kind = _WRITE if is_write else _READ
            drawn = Drawn(0.0, f"{seed & 0xFFFF:04x}{next(self._numbers):012x}", kind, work, work)
            told = Told(name, shard, drawn.name, anyio.current_time(), 0.0 if is_write else within)
            self.sessions.append(told)
            table = f"sales_{shard}.orders"
            if is_write:
                statement = f"write {work * 1000:g} 1 1 into {table}"
            else:
                hint = f"read=replica within={within * 1000:.0f}ms session={name} else={otherwise}"
                statement = f"/*+ cresstray {hint}{after} */ run {work * 1000:g} 1 1 from {table}"
            answer = await client.told(drawn, statement)
            told.ended = anyio.current_time()
            if answer is not None and "result" in answer:
                told.how, result = "fulfilled", answer["result"]
                told.engine = b64decode(result["data"]).decode().split("\t")[1]
                told.at = result.get("at")
                after = f" after={told.at}" if told.at and not is_write else after
            elif answer is not None:
                told.how = f"{answer['error']['code']} {answer['error'].get('message', '')}"
            await anyio.sleep(rng.expovariate(rate))


def judged(seen: Iterable[Seen], sessions: Iterable[Told], cores: int, heads: dict[str, int]) -> Verdict:
    """By what engines noted and clients saw; `heads`: of each shard, the primary's at the end."""
    verdict, by_name, acknowledged = Verdict(), {}, defaultdict(list)
    given: dict[tuple[str, int], set[str]] = defaultdict(set)
    for one in seen:
        if one.what == "answered":
            by_name[one.name, one.engine] = one
            if one.writes:
                acknowledged[one.shard].append((one.at, one.position))
                given[one.shard, one.position].add(one.engine)
    verdict.twice = sum(len(engines) > 1 for engines in given.values())
    verdict.lost = sum(position > heads[shard] for shard, position in given)
    written = {shard: dict((position, at) for at, position in found) for shard, found in acknowledged.items()}
    at_most: dict[tuple[str, str], int] = {}
    asked_for: dict[tuple[str, str], int] = {}
    fallen: dict[str, list[tuple[float, float]]] = defaultdict(list)
    for told in sessions:
        verdict.hinted += told.within > 0
        shown = by_name.get((told.name, told.engine))
        if not told.within or told.how != "fulfilled" or shown is None:
            continue
        verdict.served += 1
        verdict.by_copies += not shown.primary
        key = told.session, told.shard
        if written.get(told.shard, {}).get(asked_for.get(key, 0), 0.0) < told.began - _FOLLOWS:
            verdict.possible += 1
            verdict.possible_by_copies += not shown.primary
        # Without a token the answer promises nothing to the next read.
        if shown.position < at_most.get(key, 0):
            verdict.went_back += 1
            verdict.lines.append(f"went back: {told} at {shown} behind {at_most[key]}")
        if told.at is not None:
            at_most[key] = max(at_most.get(key, 0), shown.position)
            asked_for[key] = parse_token(told.at).position if told.at.count(".") == 3 else 0
        missed = max(
            (position for at, position in acknowledged[told.shard] if at < shown.at - told.within - _SLACK),
            default=0,
        )
        if missed > shown.position:
            verdict.bound_broken += 1
            verdict.lines.append(f"bound broken: {told} at {shown} lacks {missed}")
    hinted = {told.name for told in sessions if told.within}
    took = {}
    for one in seen:
        if one.name in hinted and one.primary:
            if one.what == "took":
                took[one.name, one.engine] = one.at
            elif (one.name, one.engine) in took:
                fallen[one.engine].append((took[one.name, one.engine], one.at))
    for engine, reads in sorted(fallen.items()):
        over = _over(sorted(reads), cores)
        verdict.primary_over_share += over
        verdict.lines += [f"over its share: {engine}, {over} of {len(reads)} reads"] * bool(over)
    return verdict


def _over(reads: list[tuple[float, float]], cores: int) -> int:
    """Reads beyond what the fleet may send a primary: its share of cores, a window saved up.

    What one takes is held against it before it goes out, as expected: wider by 15 in 100 and two reads.
    """
    level, before, over = 0.0, 0.0, 0
    most = FALLBACK_SHARE * cores * FALLBACK_WINDOW_US / 1e6
    for began, ended in reads:
        level = max(0.0, level - FALLBACK_SHARE * cores * (began - before)) + (ended - began)
        before = began
        over += level > 1.15 * most + 2 * (ended - began)
    return over


@dataclass
class Plan:
    """A plan carried out by the program's own commands; `steps`: the states its moves were seen in."""

    bound: int
    planned: int
    targets: dict[str, str]
    id: str
    told: dict = field(default_factory=dict)
    steps: list[str] = field(default_factory=list)

    def moves(self, fleet: ShardFleet) -> dict[str, int]:
        """What the disks say of it; a copy that is lost: placed where no whole one is."""
        accounts = fleet.accounts()
        return {
            "bytes": sum(one["copied_in"] for one in accounts.values()),
            "bytes_bound": self.bound,
            "headroom_broken": sum(one["headroom_broken"] for one in accounts.values()),
            "copied_twice": sum(one["again"] for one in accounts.values()),
        }


async def typed(*words: str) -> tuple[int, str]:
    """`cresstray placement ...`: its exit code, and what it said."""
    done = await anyio.run_process(
        [sys.executable, "-m", "cresstray", "placement", *words], check=False, stderr=subprocess.STDOUT
    )
    return done.returncode, done.stdout.decode()


async def planned(fleet: ShardFleet, empty: str) -> Plan:
    """A plan that empties an engine, made and begun."""
    conf, path = str(fleet._folder / "operator.conf"), str(fleet._folder / "plan.json")
    with anyio.fail_after(20):
        while True:
            code, said = await typed(
                "plan",
                conf,
                "--empty",
                empty,
                "--keep-free",
                "0.1",
                "--share",
                "0.5",
                "--tolerance",
                "1",
                "--seconds",
                "2",
                "--write",
                path,
            )
            if code == 0:
                break
            await anyio.sleep(0.2)
    made = json.loads(Path(path).read_text())
    code, said = await typed("apply", conf, path, "--no-wait")
    if code:
        raise ValueError(f"not begun: {said}")
    plan = made["plan"]
    return Plan(
        plan["bound"], plan["bytes"], {one["shard"]: one["target"] for one in plan["moves"]}, made["id"]
    )


async def carried(
    fleet: ShardFleet, plan: Plan, operator: Operator, within: float = 40.0, harm: bool = True
) -> None:
    """Until it is over. Its first target is killed with a third copied, the leader at the next step."""
    target = killed = before = ""
    with anyio.move_on_after(within):
        while not plan.told.get("over"):
            now = await operator.ask(OperatorCommand("moves"), 10)
            if now is None or now.get("plan") != plan.id:
                continue
            plan.told, states = now, " ".join(f"{name}:{count}" for name, count in now["states"].items())
            stepped, before = states != before, states
            plan.steps += [states] * stepped
            if harm and not target:
                target = next(
                    (
                        engine
                        for shard, engine in sorted(plan.targets.items())
                        if _part(fleet, engine, shard) > 0.3
                    ),
                    "",
                )
                if target:
                    fleet.kill_engine(target)
                    plan.steps.append(f"target {target} killed")
                    await anyio.sleep(0.7)
                    fleet.start_engine(target)
                    await fleet.listens(target)
            elif harm and stepped and not killed:
                killed = await operator.leader() or ""
                if killed:
                    fleet.keepers[killed].kill()
                    plan.steps.append(f"leader {killed} killed")
                    await anyio.sleep(1.0)
                    fleet.keepers[killed].start()
            await anyio.sleep(0.05)


STEPS = ("reserved", "copying", "catching up", "fenced", "switched", "dropped")


async def harmed_at(
    fleet: ShardFleet, plan: Plan, operator: Operator, steps: Iterable[str] = STEPS, within: float = 40.0
) -> None:
    """Until a plan of one move is over. Its target is killed at each of these steps, the leader at the next.

    Both are started again, with their disks, half a second later. A step that is over before the harness
    sees it isn't harmed; `plan.steps` has what was.
    """
    (target,), left, before, due = plan.targets.values(), list(steps), "", False
    with anyio.move_on_after(within):
        while not plan.told.get("over"):
            now = await operator.ask(OperatorCommand("moves"), 10)
            if now is None or now.get("plan") != plan.id:
                continue
            plan.told, (state,) = now, now["states"]
            plan.steps += [state] * (state != before)
            if due and state != before:
                leader, due = await operator.leader(), False
                if leader is not None:
                    plan.steps.append(f"leader {leader} killed")
                    await _again(fleet.keepers[leader].kill, fleet.keepers[leader].start)
            if state in left:
                left.remove(state)
                plan.steps.append(f"target {target} killed")
                await _again(lambda: fleet.kill_engine(target), lambda: fleet.start_engine(target))
                await fleet.listens(target)
                due = True
            before = state
            await anyio.sleep(0.02)


async def _again(kill: Callable[[], None], start: Callable[[], None]) -> None:
    kill()
    await anyio.sleep(0.5)
    start()


def _part(fleet: ShardFleet, engine: str, shard: str) -> float:
    """How much of a shard has come to a target that is not whole."""
    held = fleet.say(engine, "ACCOUNT")["shards"].get(shard)
    return held["bytes"] / fleet._size if held and not held["whole"] else 0.0


def copies_lost(fleet: ShardFleet, latest: documents.Documents) -> list[str]:
    """Copies that are placed, and that their engine doesn't hold whole."""
    accounts = fleet.accounts()
    return [
        f"{shard} on {copy}"
        for shard, item in latest.placement.items.items()
        if shard in fleet.placed
        for copy in item.copies
        if not accounts[copy]["shards"].get(shard, {}).get("whole")
    ]


def heads(fleet: ShardFleet, latest: documents.Documents) -> dict[str, int]:
    """Of each shard, the head of the primary in force."""
    accounts = fleet.accounts()
    return {
        shard: accounts[latest.placement.items[shard].primary]["shards"][shard]["head"]
        for shard in fleet.placed
    }
