"""Bad clients as a process of their own: on each connection hundreds of requests, each withdrawn at once.

Arguments: the port, the number of connections, for how many seconds, and how. `again` sends the same again as
soon as all is handled, which a `status` behind it tells, with ordinary statements of four kilobytes;
`full-speed` never waits, and sends short ones.
"""

import asyncio
import base64
import contextlib
import os
import sys
import time

STATUS_ID = 1
AT_ONCE = {"again": 200, "full-speed": 300}
STATEMENTS = {
    "again": f"select parcel, office from manifest where id in ({','.join(map(str, range(1000, 1800)))})",
    "full-speed": "run 5",
}


def batch(kind: str, first_id: int) -> bytes:
    """Returns requests, each with its withdrawal behind it."""
    data = base64.b64encode(STATEMENTS[kind].encode()).decode()
    lines = []
    for number in range(first_id, first_id + AT_ONCE[kind]):
        params = f'{{"req":"{os.urandom(8).hex()}","timeout":2000,"owner":"office","data":"{data}"}}'
        lines.append(f'{{"jsonrpc":"2.0","id":{number},"method":"lookup","params":{params}}}\n')
        lines.append(f'{{"jsonrpc":"2.0","method":"withdraw","params":{{"id":{number}}}}}\n')
    return "".join(lines).encode()


async def flood(port: int, until: float, kind: str) -> None:
    """Sends batches; connects anew as soon as it is turned away."""
    while time.monotonic() < until:
        with contextlib.suppress(OSError):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            await (again if kind == "again" else at_full_speed)(reader, writer, until)
            writer.close()
        await asyncio.sleep(0.02)


async def again(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, until: float) -> None:
    """Sends a batch, and the next one as soon as the status behind it is answered."""
    first_id = STATUS_ID + 1
    while time.monotonic() < until:
        writer.write(batch("again", first_id))
        writer.write(b'{"jsonrpc":"2.0","id":%d,"method":"status"}\n' % STATUS_ID)
        first_id += AT_ONCE["again"]
        line = b"-"
        while line and b'"pass"' not in line:
            line = await reader.readline()
        if not line:
            return


async def at_full_speed(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, until: float) -> None:
    """Sends batches as fast as they are taken, and reads what is sent."""
    reading = asyncio.ensure_future(read(reader))
    with contextlib.suppress(OSError):
        first_id = STATUS_ID + 1
        while time.monotonic() < until and not reading.done():
            writer.write(batch("full-speed", first_id))
            first_id += AT_ONCE["full-speed"]
            await writer.drain()
            await asyncio.sleep(0)
    reading.cancel()


async def read(reader: asyncio.StreamReader) -> None:
    """Reads what is sent."""
    with contextlib.suppress(OSError):
        while await reader.read(65536):
            pass


async def main() -> None:
    """Plays all connections."""
    port, connections, seconds, kind = int(sys.argv[1]), int(sys.argv[2]), float(sys.argv[3]), sys.argv[4]
    until = time.monotonic() + seconds
    await asyncio.gather(*(flood(port, until, kind) for _ in range(connections)))


asyncio.run(main())
