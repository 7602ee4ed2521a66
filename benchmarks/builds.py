"""This build beside an earlier one, in one run: CPU and memory of a gateway without an operator's file.

`python -m benchmarks.builds REVISION [--seed N] [--seconds S] [--rounds N] [--json]`. Two halls that share
nothing get like loads, one served by each build; the builds change places from round to round. Exit code 1
where this one answered less than the other by over a hundredth.
"""

from __future__ import annotations

import argparse
import io
import json
import statistics
import subprocess
import sys
import tarfile
import tempfile
from pathlib import Path

import anyio

from cresstray.emulators.clients import draw
from cresstray.emulators.world import KINDS, World

_RATE = 200.0  # half of what four engines do: nothing is held for long, and work is the same for both
_WARM = 1.0


def _tree(revision: str, folder: Path) -> Path:
    """The program as it was, laid out in a folder."""
    packed = subprocess.run(["git", "archive", revision, "cresstray"], check=True, capture_output=True).stdout
    with tarfile.open(fileobj=io.BytesIO(packed)) as archive:
        archive.extractall(folder, filter="data")
    return folder


async def _round(earlier: Path, swapped: bool, seed: int, seconds: float) -> dict[str, dict[str, float]]:
    with tempfile.TemporaryDirectory() as folder:
        world = World(Path(folder), crossing=False, gateways=1)
        halls = list(world.halls)[::-1] if swapped else list(world.halls)
        world.halls[halls[0]].gateways[0].tree = earlier
        async with world.up():
            await anyio.sleep(_WARM)
            # A hall's load stays where it is while the builds change places.
            loads = {
                hall: draw(KINDS, [(0.0, _RATE)], seconds, seed + place)
                for place, hall in enumerate(world.halls)
            }
            before = {hall: world.halls[hall].gateways[0].cpu() for hall in halls}
            await world.play(loads, [], 1.0)
            payoff, made = world.account.payoff(), {}
            for name, hall in zip(("earlier", "this"), halls):
                gateway = world.halls[hall].gateways[0]
                made[name] = {
                    "cpu_us": 1e6 * (gateway.cpu() - before[hall]) / len(loads[hall]),
                    "memory": gateway.memory(),
                    "payoff": payoff[hall],
                }
            return made


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("revision")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--rounds", type=int, default=4)
    parser.add_argument("--json", action="store_true")
    given = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        tree = _tree(given.revision, Path(folder))
        rounds = [
            anyio.run(_round, tree, bool(number % 2), given.seed + number // 2 * 10, given.seconds)
            for number in range(given.rounds)
        ]
    told: dict[str, object] = {"revision": given.revision, "rounds": given.rounds}
    for what, digits in (("cpu_us", 1), ("memory", 0), ("payoff", 4)):
        means = {name: statistics.fmean(one[name][what] for one in rounds) for name in ("earlier", "this")}
        told[what] = {name: round(mean, digits) for name, mean in means.items()} | {
            "ratio": round(means["this"] / means["earlier"], 4)
        }
        print(
            f"{what:8} earlier {means['earlier']:.6g}, this {means['this']:.6g}, "
            f"ratio {means['this'] / means['earlier']:.4f}"
        )
    if given.json:
        print(json.dumps(told))
    return int(told["payoff"]["ratio"] < 0.99)


if __name__ == "__main__":
    sys.exit(main())
