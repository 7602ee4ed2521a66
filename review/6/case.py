"""A usual client asks beside clients that each send hundreds of requests and withdraw them at once."""

import asyncio
import sys
from pathlib import Path

from rig import (
    LOOKUP,
    SLACK,
    ZONES,
    Case,
    Client,
    Coordinator,
    Engine,
    LoopLag,
    Sent,
    free_port,
    main,
    member,
    settings,
)

FLOOD = Path(__file__).resolve().parents[1] / "rig" / "flood.py"
# Bad clients, under the third of the descriptors that clients hold at most.
PROCESSES, CONNECTIONS = 2, 50
FLOOD_S = 20
TIMEOUT_MS = 2000
# A request is lost if its answer comes so long after its time, or never.
LATE_S = 0.5
# What this script may itself be late, which is taken off.
MOST_LAG_S = 0.3
# A request that crosses the close of a connection is sent again by its client; this is twice the stated time.
CROSSING_S = 0.1
USUAL_CLIENTS = 4
# The usual clients send some requests at once, within the open requests that a connection carries.
AT_ONCE, MOST_OPEN = 6, 32
STATEMENT = "run 20 " + "x" * 1500


async def play(case: Case) -> list[str]:
    """Plays the case; returns the breaks of the rule."""
    record = case.record
    engines = [Engine(f"engine-{number}", record) for number in range(1, 5)]
    for engine in engines:
        engine.is_recorded = False
        await engine.start()
    members = [member(engine, number, "hall-a") for number, engine in enumerate(engines, 1)]
    coordinator = Coordinator(record, ZONES, members)
    await coordinator.start()
    port = free_port()
    path = case.configure("n0", port, settings([LOOKUP], [1]), coordinator.address, coordinator.known)
    await case.start_gateway("n0", path)
    if case.has_trouble:
        for number in range(PROCESSES):
            command = f"exec {sys.executable} -B {FLOOD} {port} {CONNECTIONS} {FLOOD_S} again"
            case.start(f"bad-{number}", command)
        await asyncio.sleep(3)
    lag = LoopLag()
    asked: list[tuple[Client, Sent]] = []
    await asyncio.gather(*(ask(case, port, asked) for _ in range(USUAL_CLIENTS)))
    await asyncio.sleep(TIMEOUT_MS / 1000 + LATE_S + 1)
    answered = sum(bool(sent.answers) for _, sent in asked)
    record.add("count", asked=len(asked), answered=answered, own_lag_s=lag.check(MOST_LAG_S))
    return [line for client, sent in asked for line in judge(client, sent)]


async def ask(case: Case, port: int, asked: list[tuple[Client, Sent]]) -> None:
    """Asks twice a second for ten seconds, on one connection, which is made again when it ends."""
    client = await Client(case.record, port).connect()
    for _ in range(50):
        if client.ended_at is not None:
            client = await Client(case.record, port).connect()
        if client.open_count() <= MOST_OPEN - AT_ONCE:
            asked.extend((client, client.ask("lookup", STATEMENT, TIMEOUT_MS)) for _ in range(AT_ONCE))
        await asyncio.sleep(0.2)


def judge(client: Client, sent: Sent) -> list[str]:
    """Returns a line if the request is lost: taken, and answered half a second after its time, or never."""
    if not sent.answers:
        crossed = client.ended_at is not None and sent.at > client.ended_at - CROSSING_S
        return [] if crossed or not sent.is_written else [f"{sent.name} was never answered"]
    late_s = sent.answers[0][0] - sent.at - sent.timeout_s
    return (
        [f"{sent.name} was answered {late_s:.2f} s after its time"]
        if late_s > LATE_S + SLACK + MOST_LAG_S
        else []
    )


main(Path(__file__).parent / "record.txt", play)
