"""A gateway with a stored list is restarted as planned, and one of its engines is withdrawn meanwhile."""

import asyncio
import signal
from pathlib import Path

from rig import (
    LOOKUP,
    SLACK,
    ZONES,
    CannotRunError,
    Case,
    Client,
    Coordinator,
    Engine,
    free_port,
    main,
    member,
    settings,
)

GRACE_S = 1.0


async def play(case: Case) -> list[str]:
    """Plays the case; returns the breaks of the rule."""
    record = case.record
    engines = [Engine(f"engine-{number}", record) for number in (1, 2, 3, 4)]
    for engine in engines:
        await engine.start()
    first, second, third, fourth = (
        member(engine, number, "hall-a") for number, engine in enumerate(engines, 1)
    )
    coordinator = Coordinator(record, ZONES, [first, second, fourth])
    await coordinator.start()
    folder = case.temporary / "kept"
    folder.mkdir(mode=0o700)
    port = free_port()
    site = settings([LOOKUP], [1])
    path = case.configure("ga0", port, site, coordinator.address, coordinator.known)
    process = await case.start_gateway("ga0", path, f"kept {folder}\n")
    await ask_for(case, port, 2)
    # An ordinary day: one engine is replaced by another, which makes three more events.
    coordinator.tell(third)
    coordinator.tell({**fourth, "phase": "terminating"})
    coordinator.tell({**fourth, "phase": "terminated"})
    await ask_for(case, port, 4)
    if case.has_trouble:
        process.send(signal.SIGTERM)
        if await process.ended(10) != 0:
            raise CannotRunError("the gateway did not end as planned")
        # Events are numbered from 1 at each start of a gateway; the first one holds the whole list.
        later = Coordinator(record, ZONES, [first, third])
        await later.start()
        told_at = record.add("told", whole_list=[first["id"], third["id"]])
        case.configure("ga0", port, site, later.address, later.known)
        await case.start_gateway("ga0", path, f"kept {folder}\n")
    else:
        told_at = coordinator.tell({**second, "phase": "terminated"})
    await ask_for(case, port, 20)
    late = [ask for ask in engines[1].asks if ask.at > told_at + GRACE_S + SLACK]
    record.add("count", sent_to_withdrawn=len(late), others=len(engines[0].asks) + len(engines[2].asks))
    return [
        f"{ask.name} was sent to an engine {ask.at - told_at:.1f} s after it was told gone" for ask in late
    ]


async def ask_for(case: Case, port: int, seconds: float) -> None:
    """Asks ten times a second, on one connection."""
    client = await Client(case.record, port).connect()
    until = case.record.now() + seconds
    while case.record.now() < until:
        client.ask("lookup", "run 20", 2000)
        await asyncio.sleep(0.1)
    await asyncio.sleep(0.5)
    client.close()


main(str(Path(__file__).parent), play)
