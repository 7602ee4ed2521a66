"""Engines in a process of their own: `python -m cresstray.emulators.fleet.engines COUNT CORES MEMORY`.

Its first line tells their ports; `tell` on standard input brings all relays so far as one line of JSON,
`die N` or `start N` ends an engine or starts it again, and the end of standard input ends the process.
"""

from __future__ import annotations

import json
import sys

import anyio

from cresstray.emulators.account import Account
from cresstray.emulators.engine import Engine, Marks


async def _hear(engines: list[Engine], account: Account) -> None:
    async for line in anyio.wrap_file(sys.stdin):
        match line.split():
            case ["tell"]:
                print(
                    json.dumps(
                        [
                            [name, run.engine, run.began, run.ended, run.effect, run.never]
                            for name, runs in account.runs.items()
                            for run in runs
                        ]
                    ),
                    flush=True,
                )
            case ["die", number]:
                engines[int(number)].die()
            case ["start", number]:
                engines[int(number)].start_again()


async def main(count: int, cores: int, memory: float) -> None:
    # Only what ran is entered here: who asked for it is known to the clients, and the two are joined there.
    account, marks = Account({}, 0, (0, 0.0, 0.0)), Marks(memory)
    engines = [Engine(f"engine {number}", cores, marks, account) for number in range(count)]
    async with anyio.create_task_group() as tasks:
        for engine in engines:
            tasks.start_soon(engine.run)
        print(json.dumps([engine.port for engine in engines]), flush=True)
        await _hear(engines, account)
        tasks.cancel_scope.cancel()


if __name__ == "__main__":
    anyio.run(main, int(sys.argv[1]), int(sys.argv[2]), float(sys.argv[3]))
