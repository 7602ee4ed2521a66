"""The link between two halls is cut under a request, where the settings do not permit cancellations."""

import asyncio
from pathlib import Path

from rig import LOOKUP, Case, Client, Engine, Halls, main, settings, until


async def play(case: Case) -> list[str]:
    """Plays the case; returns the breaks of the rule."""
    near, far = Engine("engine-a", case.record), Engine("engine-b", case.record)
    await far.start()
    site = settings([{**LOOKUP, "GoalTime": 6000, "GiveUp": 12000}], [1], Limits={"Cancel": False})
    halls = Halls(case, [near], [far], site)
    await halls.start()
    client = await Client(case.record, halls.ports[0]).connect()
    sent = client.ask("lookup", "run 5000", 12000)
    await until(lambda: far.asks, 3, "the request crosses")
    await near.start()
    if case.has_trouble:
        await asyncio.sleep(0.5)
        halls.proxy.cut()
    await asyncio.sleep(12)
    attempts = sorted(near.asks + far.asks, key=lambda ask: ask.at)
    return [
        f"{later.engine} got {later.name} at {later.at:.2f}, out at {earlier.engine} until {earlier.ended}"
        for earlier, later in zip(attempts, attempts[1:])
        if earlier.name == later.name == sent.name and (earlier.ended is None or later.at < earlier.ended)
    ]


main(Path(__file__).parent / "record.txt", play)
