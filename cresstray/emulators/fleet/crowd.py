"""Many gateways' followers in one process: `python -m cresstray.emulators.fleet.crowd FILE COUNT`.

FILE is an operator's. Each has links, a lease and documents of its own, as a gateway has them, and nothing
behind these.
"""

from __future__ import annotations

import os
import random
import sys

import anyio

from cresstray.clock import Clock
from cresstray.config import operator
from cresstray.fleet_config.active_config import ActiveConfig
from cresstray.fleet_config.follower import ConfigFollower


def names(count: int) -> list[str]:
    return [f"crowd-{number}" for number in range(count)]


async def main(path: str, count: int) -> None:
    given, clock = operator.read(path).fleet, Clock(counts_suspend=True)
    async with anyio.create_task_group() as tasks:
        for number, name in enumerate(names(count)):
            use = ActiveConfig(
                name,
                given.lease,
                given.floor_lease,
                given.drift,
                given.most,
                requires_list=True,
                incarnation=f"{os.getpid():x}",
            )
            tasks.start_soon(
                ConfigFollower(given, name, use, random.Random(number).random, clock.now).run, tasks
            )


if __name__ == "__main__":
    anyio.run(main, sys.argv[1], int(sys.argv[2]), backend_options={"use_uvloop": True})
