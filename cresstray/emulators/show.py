"""Shows the main job on built-in stand-ins: two halls, a load, engines lost, the link cut, the account."""

from __future__ import annotations

import sys
import tempfile
from collections.abc import Callable
from pathlib import Path

import anyio
from rich.console import Console
from rich.live import Live
from rich.table import Table

from cresstray.emulators.account import Asked
from cresstray.emulators.clients import draw
from cresstray.emulators.world import KINDS, World
from cresstray.sites import status

# Half of what a hall's engines do: the other half is what the halls have to spare for each other.
_RATE, _ENGINES = 150.0, 4
_WARM = 2.0  # links are up, and their trial is over
_LINK = "link\n    heal 1s\n"


class Show:
    """What happens, by the second: a table on a terminal, a line each elsewhere."""

    def __init__(self, world: World, seconds: float) -> None:
        self._world, self._seconds = world, seconds
        self._console = Console()
        self._news = "all is well"
        self._began = 0.0

    def script(self) -> list[tuple[float, Callable[[], None]]]:
        """Engines are lost for most of the time, and the link is cut in the middle of that."""
        world, span = self._world, self._seconds
        return [
            (0.2 * span, self._tell("three of hall-a's four engines die", lambda: world.lose("hall-a", 3))),
            (0.45 * span, self._tell("the link between the halls is cut", world.cut)),
            (0.6 * span, self._tell("the link is back", world.heal)),
            (0.8 * span, self._tell("hall-a's engines are back, cold", lambda: world.restore("hall-a"))),
        ]

    def _tell(self, news: str, step: Callable[[], None]) -> Callable[[], None]:
        def told() -> None:
            self._news = news
            if not self._console.is_terminal:
                print(f"{anyio.current_time() - self._began:5.1f} s  {news}", flush=True)
            step()

        return told

    async def run(self) -> None:
        self._began = anyio.current_time()
        if self._console.is_terminal:
            with Live(self._table([]), console=self._console, refresh_per_second=4) as live:
                while True:
                    await anyio.sleep(0.5)
                    live.update(self._table(await self._states()))
        while True:
            await anyio.sleep(1)
            at = anyio.current_time()
            parts = []
            for hall in self._world.halls:
                share, asked = self._lately(hall, at)
                parts.append(f"{hall} {share:6.1%} of {asked:3}")
            states = await self._states()
            under_way = sum(int(link["credit"].split("/")[0]) for link in states)
            links = " ".join(sorted({link["state"] for link in states}))
            print(
                f"{at - self._began:5.1f} s  payoff in time, last second: {', '.join(parts)} submissions; "
                f"hall-a's links: {links}, {under_way} under way",
                flush=True,
            )

    def _lately(self, hall: str, at: float) -> tuple[float, int]:
        """Of what was asked between one and two seconds ago, the payoff answered within the soft limit."""
        asked = [
            one
            for one in self._world.account.asked.values()
            if one.hall == hall and at - 2 <= one.asked < at - 1
        ]
        return _share(asked), len(asked)

    async def _states(self) -> list[dict]:
        """The links of hall-a's gateways, as `cresstray links` would tell them."""
        links: list[dict] = []
        for gateway in self._world.halls["hall-a"].gateways:
            try:
                links += (await anyio.to_thread.run_sync(status.request_status, gateway.control))["to"]
            except (OSError, ValueError):
                continue
        return links

    def _table(self, links: list[dict]) -> Table:
        at = anyio.current_time()
        table = Table(title=f"{at - self._began:4.1f} s: {self._news}")
        for title in ("hall", "asked", "in time, last second", "in time, so far", "engines up"):
            table.add_column(title, justify="left" if title == "hall" else "right")
        for name, hall in self._world.halls.items():
            asked = [one for one in self._world.account.asked.values() if one.hall == name]
            settled = [one for one in asked if one.asked + one.soft < at]
            table.add_row(
                name,
                str(len(asked)),
                f"{self._lately(name, at)[0]:.1%}",
                f"{_share(settled):.1%}",
                str(sum(engine.alive for engine in hall.engines)),
            )
        for link in links:
            trip = "" if link["round trip ms"] is None else f"{link['round trip ms']} ms"
            table.add_row(
                f"link to {link['gateway']}", "", link["state"], trip, f"under way {link['credit']}"
            )
        return table


def _share(asked: list[Asked]) -> float:
    payoff = sum(one.payoff for one in asked)
    return sum(one.payoff * one.in_time() for one in asked) / payoff if payoff else 1.0


async def _show(seconds: float, seed: int, folder: Path) -> int:
    world = World(folder, engines=_ENGINES, link=_LINK)
    show = Show(world, seconds)
    async with world.up():
        await anyio.sleep(_WARM)
        loads = {
            hall: draw(KINDS, [(0.0, _RATE)], seconds, 2 * seed + number)
            for number, hall in enumerate(world.halls)
        }
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(show.run)
            await world.play(loads, show.script(), max(kind.hard for kind in KINDS) / 2)
            tasks.cancel_scope.cancel()
        until = anyio.current_time()
    counters, promises = world.counters(), world.account.promises(until)
    print()
    for hall, share in world.account.payoff().items():
        print(f"{hall}: {share:.1%} of the payoff answered within the soft limit")
    print(
        f"{len(world.account.asked)} submissions, {counters.get('crossings offered', 0)} crossed, "
        f"{counters.get('crossings served', 0)} of them served by the other hall"
    )
    print(
        "broken promises: "
        + (
            ", ".join(f"{count} {name}" for name, count in promises.items() if count)
            or f"none ({', '.join(promises)})"
        )
    )
    return 1 if any(promises.values()) else 0


def main(seconds: float, seed: int) -> int:
    """Exit code 1 where a promise was broken."""
    print(
        "two halls with two gateways and four engines each, all on this machine; half a minute at most",
        file=sys.stderr,
    )
    with tempfile.TemporaryDirectory() as folder:
        return anyio.run(_show, seconds, seed, Path(folder))
