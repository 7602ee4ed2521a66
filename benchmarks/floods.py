"""One gateway under floods of bad clients: its peak of resident memory, and what a good client sees beside.

`python -m benchmarks.floods [KIND ...] [--connections N] [--memory MB] [--seconds S] [--seed N] [--repeat N]
[--rounds N] [--tree FOLDER] [--json]`. Without a kind, all of them. Exit code 1 where the gateway has ended
or passed its memory limit, or an answer of the good client was missing.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import sys
from pathlib import Path

from cresstray.emulators.flood_scene import FloodResult, measure
from cresstray.emulators.floods import FLOODS

_COLUMNS = "{:22} {:>5} {:>6} {:>6} {:>6} {:>6} {:>6} {:>7} {:>7} {:>7} {:>4} {:>4} {:>5} {:>8}"
_HEAD = ("flood", "conns", "limit", "rest", "peak", "after", "cpu s", "p50 s", "p99 s", "worst", "miss",
         "dup", "late", "made")  # fmt: skip


def _row(result: FloodResult) -> str:
    told = result.summary()
    return _COLUMNS.format(
        result.kind,
        result.connections,
        result.memory_mb,
        f"{result.at_rest_mb:.1f}",
        f"{result.peak_mb:.1f}" if result.has_survived else "ended",
        f"{result.after_mb:.1f}",
        f"{result.cpu_s:.1f}",
        f"{told['median_s']}",
        f"{told['p99_s']}",
        f"{told['worst_s']}",
        result.missing,
        result.repeated,
        result.unwanted,
        result.flood_connections,
    )


def _holds(result: FloodResult) -> bool:
    is_alive = result.has_survived and result.peak_mb < result.memory_mb
    return is_alive and not (result.missing or result.repeated or result.unwanted)


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("kinds", nargs="*", choices=[*FLOODS, []], default=[])
    parser.add_argument("--connections", type=int, nargs="+", default=[300])
    parser.add_argument("--memory", type=int, nargs="+", default=[192])
    parser.add_argument("--seconds", type=float, default=6.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--repeat", type=int, default=1)
    parser.add_argument("--rounds", type=int, default=1)
    parser.add_argument("--tree", type=Path, default=Path(__file__).resolve().parent.parent)
    parser.add_argument("--log", action="store_true")
    parser.add_argument("--json", action="store_true")
    given = parser.parse_args()
    print(_COLUMNS.format(*_HEAD), flush=True)
    results = []
    for kind in given.kinds or FLOODS:
        for connections in given.connections:
            for memory_mb in given.memory:
                for number in range(given.repeat):
                    result = asyncio.run(
                        measure(
                            kind,
                            connections,
                            memory_mb,
                            given.seconds,
                            given.seed + number,
                            given.tree,
                            rounds=given.rounds,
                        )
                    )
                    print(_row(result), flush=True)
                    if given.log:
                        print(result.log[-6000:])
                    results.append(result)
    if given.json:
        print(json.dumps([result.summary() for result in results]))
    return int(not all(_holds(result) for result in results))


if __name__ == "__main__":
    sys.exit(main())
