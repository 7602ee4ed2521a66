"""What sharing positions gains over each gateway alone, on a virtual clock: python -m benchmarks.replicas.

200 gateways hear each copy rarely: all that reaches one alone is what its own work's answers tell. `shared`
is what keepers spread of that, `asked` with engines asked when positions are wanted. All runs have the same
work and true positions; `true_positions` is what full knowledge of these would allow.
"""

from __future__ import annotations

import argparse
import heapq
import json
import math
import random
import time
from collections.abc import Callable
from typing import Any

import msgspec

from cresstray.fleet_config.documents import Shard
from cresstray.replicas.hints import ReadHint
from cresstray.replicas.positions import PositionTable
from cresstray.replicas.read import _MAX_AGE_DIVISOR, _MAX_AGE_LIFETIME_US, _MIN_STALENESS_LIFETIME_US
from cresstray.replicas.replica_selection import choose_replicas
from cresstray.replicas.spread import PositionMessage, PositionPeer, PositionRelay

_ENGINES, _KEEPERS, _ZONES = 80, 3, 2
_WITHINS = (500_000, 2_000_000, 10_000_000)
_EXPECTED, _PATIENCE = 50_000, 30_000
_FRAME = 5  # length and kind


class _Truth:
    """One shard's true positions: even writes, copies that lag by 10 to 600 ms, one stalls at times."""

    def __init__(self, number: int, chance: random.Random) -> None:
        engines = chance.sample(range(_ENGINES), 3)
        names = tuple(f"s-{engine:08x}" for engine in engines)
        self.placed = Shard(names, names[0], 1, names)
        self.rate = chance.uniform(0.5, 20) / 1e6
        self.lags = {name: (chance.uniform(20_000, 400_000), chance.uniform(0, 6)) for name in names[1:]}
        self.stalls = names[1] if number % 5 == 0 else ""
        self.period = chance.uniform(6e6, 14e6)

    def head(self, now: float) -> int:
        return int(max(0.0, now) * self.rate)

    def applied(self, name: str, now: float) -> int:
        if name == self.placed.primary:
            return self.head(now)
        lag, phase = self.lags[name]
        behind = lag * (1 + 0.5 * math.sin(phase + now / 3e6))
        if name == self.stalls and now % self.period < self.period / 3:
            behind += now % self.period  # it stands still for a third of the time
        return self.head(now - behind)

    def age(self, position: int, now: float) -> float:
        """Of what a copy with this position shows."""
        return max(0.0, now - (position + 1) / self.rate)


class _Run:
    def __init__(self, given: argparse.Namespace, shares: bool, asks: bool = False) -> None:
        self.given, self.chance = given, random.Random(given.seed)
        self.truths = {str(n + 1): _Truth(n, self.chance) for n in range(given.shards)}
        placed = {name: truth.placed for name, truth in self.truths.items()}
        self.boards, self.keepers = self._boards(given.gateways, False), self._boards(_KEEPERS, True)
        for board in self.boards + self.keepers:
            board.set_placement(placed, 0)
        self.names = list(self.truths)
        self.heat = [1 / (n + 1) ** 0.8 for n in range(given.shards)]
        # A gateway's clients ask for some of the shards, each gateway for others.
        self.asked: list[dict[str, list[int]]] = [{} for _ in self.boards]
        self.now, self.queue, self.number = 0, [], 0
        self.broken = self.bytes = self.questions = 0
        self.waiting: list[list[list]] = [[] for _ in self.boards]
        self.waits: list[int] = []  # microseconds that reads waited for keepers
        # By `within`: hinted, by copies, possible.
        self.counts = {within: [0, 0, 0] for within in _WITHINS}
        self.by_engine = dict.fromkeys((f"s-{engine:08x}" for engine in range(_ENGINES)), 0)
        self.exchanges = [PositionRelay(board) for board in self.keepers] if asks else []
        self.placed = placed
        self.after(0, self._work)
        self.links: list[tuple[PositionPeer, PositionPeer, int]] | None = None
        if shares:
            self.network = random.Random(given.seed + 1)
            self.links = [
                (PositionPeer(board), PositionPeer(self.keepers[n % _KEEPERS]), n)
                for n, board in enumerate(self.boards)
            ]
            if given.poll:
                for engine in range(_ENGINES):
                    self.after(self.network.randrange(given.poll * 1000), self._poll, f"s-{engine:08x}")
            for link in self.links:
                self.after(self.network.randrange(given.every * 1000), self._exchange, *link)
            # The first keeper leads. Of two, the first one talks.
            self.far: dict[PositionPeer, PositionPeer] = {
                peer: far for here, there, _ in self.links for peer, far in ((here, there), (there, here))
            }
            self.at = {peer: n % _KEEPERS for _, peer, n in self.links}  # where a keeper's side of a link is
            self.of = {peer: n for link in self.links for peer, n in zip(link, (link[2],) * 2)}
            for n in range(_KEEPERS):
                for other in range(n):
                    peer, far = PositionPeer(self.keepers[n]), PositionPeer(self.keepers[other])
                    self.far |= {peer: far, far: peer}
                    self.at |= {peer: n, far: other}
                    self.after(0, self._exchange, peer, far, None)
            if asks:
                self.after(1000, self._ask)

    @staticmethod
    def _boards(count: int, passes_on: bool) -> list[PositionTable]:
        return [PositionTable(forwards_peer_positions=passes_on) for _ in range(count)]

    def after(self, delay: float, act: Callable[..., None], *given: Any) -> None:
        self.number += 1
        heapq.heappush(self.queue, (self.now + int(delay), self.number, act, given))

    def run(self) -> None:
        end = (self.given.warm + self.given.seconds) * 1_000_000
        while self.queue[0][0] < end:
            self.now, _, act, given = heapq.heappop(self.queue)
            act(*given)

    def _work(self) -> None:
        """One piece of work, of which a fifth is hinted; its answer tells the positions of its engine."""
        chance = self.chance
        self.after(chance.expovariate(self.given.rate / 1e6), self._work)
        number, name = chance.randrange(len(self.boards)), chance.choices(self.names, self.heat)[0]
        truth, board = self.truths[name], self.boards[number]
        engine = truth.placed.primary if chance.random() < 0.5 else chance.choice(truth.placed.copies[1:])
        hinted, within, draw = chance.random() < 0.2, chance.choice(_WITHINS), chance.random()
        there, back = chance.uniform(1000, 5000), chance.uniform(5000, 40_000)
        if hinted:
            tight, since = self.asked[number].pop(name, (within, 0, 0))[:2]
            if within <= tight or self.now - since > _MIN_STALENESS_LIFETIME_US:
                tight, since = within, self.now
            self.asked[number][name] = [tight, since, self.now]
            self._read(number, name, within, draw, there, self.links is not None)
            return
        applied = truth.applied(engine, self.now + there)
        head = applied if engine == truth.placed.primary else None
        self.after(
            there + back,
            lambda at=self.now: board.record_report(name, engine, 1, applied, head, at, self.now),
        )

    def _read(self, number: int, name: str, within: int, draw: float, there: float, asks: bool) -> None:
        """`asks`: where no copy is known to do, the keeper is asked at once, and it waits for that."""
        truth, board = self.truths[name], self.boards[number]
        found = choose_replicas(
            ReadHint(False, within), name, truth.placed, board, self.now, _EXPECTED
        ).replicas
        if not found and asks:
            asked = self.asked[number].pop(name)
            self.asked[number][name] = asked
            self._pass(*self.links[number][:2], number, 1, name)
            # Looked at with each word that comes, and at last when its patience is over.
            waits = [self.now, name, within, draw, there]
            self.waiting[number].append(waits)
            self.after(_PATIENCE, self._waited, number, waits)
            return
        engine = found[int(draw * len(found))] if found else truth.placed.primary
        if self.now >= self.given.warm * 1_000_000:
            self._count(truth, found, engine, within, there)
        applied = truth.applied(engine, self.now + there)
        head = applied if engine == truth.placed.primary else None
        self.after(
            2 * there, lambda at=self.now: board.record_report(name, engine, 1, applied, head, at, self.now)
        )

    def _waited(self, number: int, waits: list, only_if_found: bool = False) -> None:
        since, name, within, draw, there = waits
        if (
            waits not in self.waiting[number]
            or only_if_found
            and not choose_replicas(
                ReadHint(False, within),
                name,
                self.truths[name].placed,
                self.boards[number],
                self.now,
                _EXPECTED,
            ).replicas
        ):
            return
        self.waiting[number].remove(waits)
        if self.now >= self.given.warm * 1_000_000:
            self.waits.append(self.now - since)
        self._read(number, name, within, draw, there, False)

    def _count(self, truth: _Truth, found: tuple[str, ...], engine: str, within: int, there: float) -> None:
        end = self.now + _EXPECTED
        possible = any(truth.age(truth.applied(copy, self.now), end) <= within for copy in truth.lags)
        counts = self.counts[within]
        for place, counted in enumerate((True, bool(found), possible)):
            counts[place] += counted
        if found:
            self.broken += truth.age(truth.applied(engine, self.now + there), end) > within

    def _exchange(self, here: PositionPeer, there: PositionPeer, number: int | None) -> None:
        """A word, the answer to it, and the answer to that."""
        self.after(self.given.every * 1000, self._exchange, here, there, number)
        self._pass(here, there, number, 2)

    def _poll(self, engine: str) -> None:
        """A keeper asks an engine for all positions that it has."""
        self.after(self.given.poll * 1000, self._poll, engine)
        keeper, at = self.network.choice(self.keepers), self.now
        told = [
            (name, truth.applied(engine, at + 1000))
            for name, truth in self.truths.items()
            if engine in truth.placed.copies
        ]

        def came() -> None:
            for name, position in told:
                primary = engine == self.truths[name].placed.primary
                keeper.record_report(name, engine, 1, position, position if primary else None, at, self.now)

        self.after(3000, came)

    def _wants(self, number: int) -> tuple[str, ...]:
        return tuple(reversed(self.asked[number]))[: self.given.wants]

    def _needs(self, number: int, waits: str) -> list[tuple[int, int]]:
        """As HintedReads.max_ages_ms."""
        asked = self.asked[number]
        return [
            (place, young)
            for place, name in enumerate(self._wants(number))
            for young in ((0,) if name == waits else ())
            + (
                (asked[name][0] // (1000 * _MAX_AGE_DIVISOR),)
                if self.now - asked[name][2] < _MAX_AGE_LIFETIME_US
                else ()
            )
        ]

    def _pass(
        self, speaker: PositionPeer, hearer: PositionPeer, number: int | None, left: int, waits: str = ""
    ) -> None:
        keepers = number is None
        wants, needs = None, ()
        if not keepers and speaker is self.links[number][0]:
            wants = self._wants(number)
            needs = self._needs(number, waits) if self.exchanges else ()
        word = speaker.make_message(self.given.most * (20 if keepers else 1), wants, self.now, needs)
        self._send(word, hearer, left, number)

    def _send(self, word: PositionMessage, hearer: PositionPeer, left: int, number: int | None) -> None:
        if number is not None and self.now >= self.given.warm * 1_000_000:
            self.bytes += len(msgspec.msgpack.encode(word)) + _FRAME

        def came() -> None:
            hearer.handle_message(word, self.now)
            for waits in list(self.waiting[number]) if number is not None else ():
                self._waited(number, waits, True)
            if left:
                self._pass(hearer, self.far[hearer], number, left - 1)
            at = self.at.get(hearer)
            if self.exchanges and at is not None:
                self.exchanges[at].handle_requests(hearer, at == 0, self.now)
                self._look(at)

        self.after(self.network.uniform(500, 5000), came)

    def _look(self, at: int) -> None:
        """What keeper.joined does in each round."""
        exchange = self.exchanges[at]
        if at == 0:
            for engine in exchange.due_engines(self.placed, self.now):
                self._question(engine)
        elif needs := exchange.poll_schedule.requests_to_forward(32, self.now):
            leaders = next(peer for peer, n in self.at.items() if not n and self.at.get(self.far[peer]) == at)
            self._send(self.far[leaders].make_request(needs, self.now), leaders, 0, None)
        for peer, word in exchange.urgent_messages(self.now):
            self._send(word, self.far[peer], 0, self.of.get(peer))

    def _ask(self) -> None:
        self.after(2000, self._ask)
        for at in range(_KEEPERS):
            self._look(at)

    def _question(self, engine: str) -> None:
        """The leader asks an engine for all positions that it has."""
        if self.now >= self.given.warm * 1_000_000:
            self.questions += 1
            self.by_engine[engine] += 1
        asked, there = self.now, self.network.uniform(500, 5000)
        told = [
            (name, truth.applied(engine, asked + there), engine == truth.placed.primary)
            for name, truth in self.truths.items()
            if engine in truth.placed.copies
        ]

        def came() -> None:
            self.exchanges[0].record_reply(engine, asked)
            for name, position, is_primary in told:
                head = position if is_primary else None
                self.keepers[0].record_report(name, engine, 1, position, head, asked, self.now)
            self._look(0)

        self.after(2 * there, came)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    for name, usual in (
        ("seed", 1),
        ("seconds", 10),
        ("warm", 5),
        ("gateways", 200),
        ("shards", 200),
        ("rate", 4000),
        ("every", 250),
        ("most", 4),
        ("wants", 4),
        ("poll", 0),
    ):
        parser.add_argument(f"--{name}", type=int, default=usual)
    parser.add_argument("--json", action="store_true")
    given, made = parser.parse_args(), {}
    for name in ("alone", "shared", "asked"):
        run, began = _Run(given, name != "alone", name == "asked"), time.process_time()
        run.run()
        hinted, copies, possible = map(sum, zip(*run.counts.values(), strict=True))
        made[name] = {
            "hinted": hinted,
            "by_replica": round(copies / hinted, 3),
            "true_positions": round(possible / hinted, 3),
            "of_these": round(copies / possible, 3),
            "by_within_s": {
                f"{within / 1e6:g}": round(one[1] / one[2], 3) for within, one in run.counts.items()
            },
            "bound_broken": run.broken,
            "waited": round(len(run.waits) / hinted, 3),
            "wait_ms": round(sum(run.waits) / 1000 / max(1, len(run.waits)), 1),
            "bytes_a_second": round(run.bytes / given.gateways / given.seconds),
            "questions_an_engine": round(run.questions / _ENGINES / given.seconds, 1),
            "most_of_one": round(max(run.by_engine.values()) / given.seconds, 1),
            "cpu_s": round(time.process_time() - began, 1),
        }
        if not given.json:
            print(f"{name:7}", "  ".join(f"{key} {value}" for key, value in made[name].items()), flush=True)
    if given.json:
        print(json.dumps(made))
    raise SystemExit(any(one["bound_broken"] for one in made.values()))


if __name__ == "__main__":
    main()
