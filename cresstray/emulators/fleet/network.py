"""A network between every two processes: a way from each to each, so that each can fail alone."""

from __future__ import annotations

import itertools
from collections import deque
from collections.abc import Iterable, Sequence

import anyio
from anyio.abc import TaskGroup

from cresstray.emulators.network import Network
from cresstray.emulators.sockets import Peer


class Way(Network):
    """Connections that `source` makes to `target`; what it carries "there" is said by `source`.

    Beside what Network does: `lost` ways drop what is said, and such connections end when the network heals;
    and all connections made up to now can be held, with what was said on them, while later ones pass them by.
    """

    def __init__(self, source: str, target: str, port: int) -> None:
        super().__init__(port)
        self.source, self.target = source, target
        self.lost: set[str] = set()
        self._holed: set[Peer] = set()
        self._held: set[Peer] = set()

    def hold(self) -> None:
        self._held |= {peer for pair in self._pairs for peer in pair}

    def release(self) -> None:
        """What was held comes now, behind what newer connections have brought; also from who is gone."""
        self._held.clear()

    def heal(self) -> None:
        super().heal()
        self.lost.clear()
        self.release()
        for peer in list(self._holed):
            peer.reset()
        self._holed.clear()

    def clear(self, way: str) -> bool:
        """Whether what is said that way comes through, be it late."""
        return not (self.down or way in self.silent or way in self.lost)

    async def _carry(self, source: Peer, sink: Peer, way: str, both: TaskGroup) -> None:
        due: deque[tuple[float, bytes]] = deque()
        more, over = anyio.Event(), False

        def take(data: bytes) -> None:
            if way in self.lost:
                self._holed.update((source, sink))
                return
            due.append((anyio.current_time() + self.delay, data))
            more.set()

        async def pass_on() -> None:
            nonlocal more
            while due or not over:
                if not due:
                    await more.wait()
                    more = anyio.Event()
                    continue
                await anyio.sleep(max(0.0, due[0][0] - anyio.current_time()))
                await self._passable(sink, way)
                data = due.popleft()[1]
                sink.line.write(data)
                if self.rate:
                    await anyio.sleep(len(data) / self.rate)

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(pass_on)
            await source.run(take)
            over = True
            more.set()
            if self.down:
                tasks.cancel_scope.cancel()
        # An end is not heard where words are not.
        while way in self.lost and not self.down:
            await anyio.sleep(0.01)
        await self._passable(sink, way)
        self._held -= {source, sink}
        self._holed -= {source, sink}
        both.cancel_scope.cancel()

    async def _passable(self, sink: Peer, way: str) -> None:
        while (way in self.silent or sink in self._held) and not self.down:
            await anyio.sleep(0.01)


class Mesh:
    """All ways between processes, by who connects to whom, and what is known of who can hear whom."""

    def __init__(self, keepers: Sequence[str]) -> None:
        self._keepers = tuple(keepers)
        self.ways: dict[tuple[str, str], Way] = {}

    def way(self, source: str, target: str, port: int) -> int:
        """The port at which `source` finds `target`."""
        way = self.ways[source, target] = Way(source, target, port)
        return way.port

    async def run(self) -> None:
        async with anyio.create_task_group() as tasks:
            for way in self.ways.values():
                tasks.start_soon(way.run)

    def between(self, one: str, other: str) -> list[tuple[Way, str, str]]:
        """Each way between two, with the names of what `one` says on it, and of what it hears."""
        found = [((one, other), "there", "back"), ((other, one), "back", "there")]
        return [(self.ways[pair], says, hears) for pair, says, hears in found if pair in self.ways]

    def of(self, who: str) -> list[Way]:
        return [way for pair, way in self.ways.items() if who in pair]

    def cut(self, who: str) -> None:
        """Connections from and to it are reset, new ones refused."""
        for way in self.of(who):
            way.cut()

    def silence(
        self,
        who: str,
        others: Iterable[str] | None = None,
        says: bool = True,
        hears: bool = True,
        lost: bool = False,
    ) -> None:
        """What it says and hears stops silently, with all or with some; later it comes, unless `lost`."""
        for other in sorted(others if others is not None else {name for pair in self.ways for name in pair}):
            for way, said, heard in self.between(who, other):
                stopped = way.lost if lost else way.silent
                stopped.update((said,) * says + (heard,) * hears)

    def split(self, groups: Iterable[Iterable[str]], lost: bool = False) -> None:
        """Only within a group anything is heard; those in no group hear all."""
        sides = [tuple(group) for group in groups]
        for near, far in itertools.combinations(sides, 2):
            for one in near:
                self.silence(one, far, lost=lost)

    def slow(self, seconds: float, rate: float | None = None, who: str | None = None) -> None:
        """One way, and bytes a second."""
        for way in self.ways.values() if who is None else self.of(who):
            way.delay, way.rate = seconds, rate

    def heal(self, who: str | None = None) -> None:
        for way in list(self.ways.values()) if who is None else self.of(who):
            way.heal()

    def hears(self, one: str, other: str) -> bool:
        """Whether what either says comes to the other, on each way there is between them."""
        ways = self.between(one, other)
        return bool(ways) and all(way.clear(says) and way.clear(hears) for way, says, hears in ways)

    def majority(self, out: Iterable[str] = ()) -> tuple[str, ...]:
        """A majority of all keepers that all hear each other, without those that are out; none: empty."""
        fit = [one for one in self._keepers if one not in set(out)]
        need = len(self._keepers) // 2 + 1
        for size in range(len(fit), need - 1, -1):
            for group in itertools.combinations(fit, size):
                if all(self.hears(one, other) for one, other in itertools.combinations(group, 2)):
                    return group
        return () if need > 1 else tuple(fit[:1])
