"""A new configuration names a drain and another coordinator, which is slow to take the gateway in."""

import asyncio
import signal
from pathlib import Path

from rig import LOOKUP, SLACK, ZONES, Case, Client, Coordinator, Engine, free_port, main, member, settings

GRACE_S = 1.0
# After SIGHUP, what the coordinator has to tell counts as told so long later.
TOLD_AFTER_SIGHUP_S = 4.0
# For so long discovery is down.
DOWN_S = 8.0


async def play(case: Case) -> list[str]:
    """Plays the case; returns the breaks of the rule."""
    record = case.record
    engines = [Engine(f"engine-{number}", record) for number in (1, 2)]
    for engine in engines:
        await engine.start()
    members = [member(engine, number, "hall-a") for number, engine in enumerate(engines, 1)]
    old = Coordinator(record, ZONES, members)
    await old.start()
    port = free_port()
    site = settings([LOOKUP], [1])
    path = case.configure("n0", port, site, old.address, old.known)
    process = await case.start_gateway("n0", path)
    client = await Client(record, port).connect()

    async def ask() -> None:
        while True:
            client.ask("lookup", "run 20", 2000)
            await asyncio.sleep(0.1)

    asking = asyncio.ensure_future(ask())
    await asyncio.sleep(2)
    drain = member(engines[1], 2, "hall-a", "terminating")
    new = Coordinator(record, ZONES, members)
    new.tell(drain)
    known = {
        "index": 2,
        "updates": [
            *old.known["updates"],
            {"index": 2, "endpoints": {"complete": False, "members": [drain]}},
        ],
    }
    if not case.has_trouble:
        await new.start()
    case.configure("n0", port, site, new.address, known)
    hup_at = process.send(signal.SIGHUP)
    await asyncio.sleep(1.5)
    old.stop()
    await asyncio.sleep(DOWN_S - 1.5)
    if case.has_trouble:
        await new.start()
    await asyncio.sleep(5)
    asking.cancel()
    late = [ask for ask in engines[1].asks if ask.at > hup_at + TOLD_AFTER_SIGHUP_S + GRACE_S + SLACK]
    return [f"{ask.name} was sent to a draining engine {ask.at - hup_at:.1f} s after SIGHUP" for ask in late]


main(str(Path(__file__).parent), play)
