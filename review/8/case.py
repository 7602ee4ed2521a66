"""A keyed request that may have run crosses to the other hall shortly before the engines forget its key."""

import asyncio
import socket
from pathlib import Path

from rig import (
    HOST,
    LOAD,
    LOOKUP,
    SLACK,
    CannotRunError,
    Case,
    Client,
    Engine,
    Halls,
    Marks,
    main,
    settings,
    until,
)

# The engines' memory of keys, and the work of the load. The load's engine crashes right after its end.
WINDOW_S = 5.0
WORK_S = 4.2
CONNECT_TIMEOUT_MS = 1500


async def play(case: Case) -> list[str]:
    """Plays the case; returns the breaks of the rule."""
    marks = Marks(WINDOW_S)
    near, far = Engine("engine-a", case.record, marks), Engine("engine-b", case.record, marks)
    await near.start()
    listener, fillers = listen(far.port, case.has_trouble)
    load = {**LOAD, "KeyTtl": WINDOW_S * 1000}
    site = settings([LOOKUP, load], [1, 2], Limits={"ConnectTimeout": CONNECT_TIMEOUT_MS})
    halls = Halls(case, [near], [far], site)
    await halls.start()
    client = await Client(case.record, halls.ports[0]).connect()
    near.loses_answers = case.has_trouble
    sent = client.ask("manifest-load", f"run {WORK_S * 1000}", 20000, opkey="ab" * 16)
    await until(lambda: near.asks and near.asks[0].ended is not None, 8, "the load runs")
    first = near.asks[0]
    if case.has_trouble:
        near.die()
        await asyncio.sleep(0.6)
    await far.start_on(listener)
    await until(lambda: sent.answers, 17, "an answer to the load")
    for filler in fillers:
        filler.close()
    if not first.ran:
        raise CannotRunError("the first attempt did not run")
    return [
        f"{ask.engine} ran {ask.name} {ask.at - first.at:.2f} s after its first attempt, keys last {WINDOW_S}"
        for ask in far.asks
        if ask.ran and ask.at > first.at + WINDOW_S + SLACK
    ]


def listen(port: int, is_late: bool) -> tuple[socket.socket, list[socket.socket]]:
    """Listens; if it is late, new connections come up only with the kernel's next try, a second later."""
    listener = socket.socket()
    listener.bind((HOST, port))
    listener.listen(0 if is_late else 100)
    # One connection that nobody accepts fills the queue of the listener.
    return listener, [socket.create_connection((HOST, port))] if is_late else []


main(Path(__file__).parent / "record.txt", play)
