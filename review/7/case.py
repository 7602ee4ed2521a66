"""A planned restart beside clients that each send hundreds of requests and withdraw them at once."""

import asyncio
import signal
import sys
from pathlib import Path

from rig import (
    LOOKUP,
    ZONES,
    CannotRunError,
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
PROCESSES, CONNECTIONS = 4, 81
FLOOD_S = 15
TIMEOUT_MS = 6000
STATEMENT = "run 20 " + "x" * 6000
USUAL_CLIENTS = 10
# Requests on open connections come for so long after SIGTERM.
ASKED_AFTER_SIGTERM_S = 0.55
# A request that crosses the close of a connection is sent again by its client; this is twice the stated time.
CROSSING_S = 0.1
# What this script may itself be late.
MOST_LAG_S = 0.3


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
    gateway = await case.start_gateway("n0", path)
    if case.has_trouble:
        for number in range(PROCESSES):
            command = f"exec {sys.executable} -B {FLOOD} {port} {CONNECTIONS} {FLOOD_S} full-speed"
            case.start(f"bad-{number}", command)
    await asyncio.sleep(3)
    lag = LoopLag()
    asked: list[tuple[Client, Sent]] = []
    asking = [asyncio.ensure_future(ask(case, port, asked)) for _ in range(USUAL_CLIENTS)]
    await asyncio.sleep(2)
    term_at = gateway.send(signal.SIGTERM)
    await asyncio.sleep(ASKED_AFTER_SIGTERM_S)
    for task in asking:
        task.cancel()
    code = await gateway.ended(6)
    if code is None:
        raise CannotRunError("the gateway goes on")
    record.add("gateway ended", after_s=round(record.now() - term_at, 2), code=code)
    await asyncio.sleep(0.5)
    answered = sum(bool(sent.answers) for _, sent in asked)
    record.add("count", asked=len(asked), answered=answered, own_lag_s=lag.check(MOST_LAG_S))
    return [line for client, sent in asked for line in judge(client, sent, term_at)]


async def ask(case: Case, port: int, asked: list[tuple[Client, Sent]]) -> None:
    """Asks ten times a second on one connection, which is made again when it ends."""
    client = await Client(case.record, port).connect()
    while True:
        if client.ended_at is not None:
            client = await Client(case.record, port).connect()
        if client.open_count() < 20:
            asked.append((client, client.ask("lookup", STATEMENT, TIMEOUT_MS)))
        await asyncio.sleep(0.1)


def judge(client: Client, sent: Sent, term_at: float) -> list[str]:
    """Returns a line if the request is lost: taken, and never answered."""
    ended_at = client.ended_at
    crossed = ended_at is not None and sent.at > ended_at - CROSSING_S
    if sent.answers or not sent.is_written or crossed:
        return []
    when = "never" if ended_at is None else f"{ended_at - term_at:.2f} s"
    return [
        f"{sent.name}, sent {sent.at - term_at:.2f} s after SIGTERM, no answer; connection ended {when} after"
    ]


main(Path(__file__).parent / "record.txt", play)
