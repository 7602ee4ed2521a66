"""Case 2: bad clients' unfinished messages make the gateway throw away a good client's request."""

from __future__ import annotations

import asyncio

from common.sites import TENANT, kathmandu_dispatch
from common.stands import Case, Client, Engine, SharedMarks, free_port, main

BAD_CLIENTS, UNFINISHED_BYTES = 240, 9_000
ROWS = ",".join(f"({number}, 'parcel {number}', 'counter 7')" for number in range(400))


async def script(case: Case) -> bool:
    """Returns whether both submissions of the good client were answered."""
    record = case.record
    marks = SharedMarks(20.0)
    engines = [Engine(f"engine-{number}", record, case.runs, marks) for number in (1, 2)]
    for engine in engines:
        await engine.start()
    port = free_port()
    listed = [(number, engine.port) for number, engine in enumerate(engines, 1)]
    gateway = case.start_gateway("n0", port, kathmandu_dispatch(), listed)
    await case.wait_ready(port, gateway)
    good = await Client.connect("client", record, port)
    await good.call("lookup", 6.0, req="00000000000000a1", timeout=5000, owner=TENANT, data=statement(20))
    report = asyncio.create_task(
        good.call("report", 16.0, req="00000000000000b1", timeout=14000, owner=TENANT, data=statement(4000))
    )
    await asyncio.sleep(0.2)
    bad = []
    if case.is_troubled:
        record.write(
            "bad clients", f"{BAD_CLIENTS} connect; each sends {UNFINISHED_BYTES} bytes of a message"
        )
        for _ in range(BAD_CLIENTS):
            bad.append(await asyncio.open_connection("127.0.0.1", port))
        message = b'{"jsonrpc":"2.0","id":1,"method":"lookup","params":{"data":"'
        for _, writer in bad:
            writer.write(message + b"A" * (UNFINISHED_BYTES - len(message)))
    await asyncio.sleep(0.3)
    load = await good.call_in_pieces(
        "manifest-load",
        18.0,
        2_000,
        0.1,
        req="00000000000000c1",
        timeout=17000,
        owner=TENANT,
        opkey="00000000000000c1" * 2,
        data=f"insert into sales_17.orders values {ROWS} /* work_ms=200 */",
    )
    answers = [load, await report]
    for _, writer in bad:
        writer.transport.abort()
    return all(answer.kind in ("result", "denied", "failed") for answer in answers)


def statement(work_ms: int) -> str:
    """Returns a statement that takes so long."""
    return f"select parcel, office, at from sales_17.orders /* work_ms={work_ms} */"


main(__file__, script)
