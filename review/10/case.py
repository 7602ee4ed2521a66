"""A client sends the id of an open request with a different statement, while the request has long to run."""

import asyncio
from pathlib import Path

from rig import (
    LOOKUP,
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

# A report runs for so long; its client waits for 25 s.
REPORT_MS = 24000
REUSED_AFTER_S = 21.5
REPORT = {
    "Name": "report",
    "Effect": "idempotent",
    "GoalTime": 1500,
    "AimStretch": 2.5,
    "GiveUp": 25000,
    "LateValue": 0.3,
    "Worth": 5,
}


async def play(case: Case) -> list[str]:
    """Plays the case; returns the breaks of the rule."""
    record = case.record
    engines = [Engine(f"engine-{number}", record) for number in (1, 2)]
    for engine in engines:
        await engine.start()
    members = [member(engine, number, "hall-a") for number, engine in enumerate(engines, 1)]
    coordinator = Coordinator(record, ZONES, members)
    await coordinator.start()
    port = free_port()
    site = settings([LOOKUP, REPORT], [1, 2])
    await case.start_gateway("n0", case.configure("n0", port, site, coordinator.address, coordinator.known))
    usual = await Client(record, port).connect()
    report = usual.ask("report", f"run {REPORT_MS}", 25000, ms=REPORT_MS)
    while record.now() < report.at + REUSED_AFTER_S:
        usual.ask("lookup", "run 20", 2000)
        await asyncio.sleep(0.25)
    if report.answers:
        raise CannotRunError("the report has ended already")
    bad = await Client(record, port).connect()
    again = bad.ask("lookup", "run 30", 2000, report.name if case.has_trouble else "")
    await asyncio.sleep(5)
    served = [how for _, how, _ in again.answers if how == "fulfilled"]
    if not case.has_trouble:
        return [] if served else ["an ordinary request was not served"]
    ran = [ask for engine in engines for ask in engine.asks if ask.name == report.name]
    return [
        f"served to the client that sent the id of an open request; engines got it {len(ran)} times"
    ] * len(served)


main(Path(__file__).parent / "record.txt", play)
