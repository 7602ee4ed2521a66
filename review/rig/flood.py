"""Bad clients as a process of their own: on each connection hundreds of requests, each withdrawn at once.

Arguments: the port, the number of connections, for how many seconds.
"""

import asyncio
import contextlib
import os
import sys
import time

AT_ONCE = 300


def messages(first_id: int) -> bytes:
    """Returns hundreds of requests, each with its withdrawal behind it."""
    lines = []
    for number in range(first_id, first_id + AT_ONCE):
        params = f'{{"req":"{os.urandom(8).hex()}","timeout":2000,"owner":"office","data":"cnVuIDU="}}'
        lines.append(f'{{"jsonrpc":"2.0","id":{number},"method":"lookup","params":{params}}}\n')
        lines.append(f'{{"jsonrpc":"2.0","method":"withdraw","params":{{"id":{number}}}}}\n')
    return "".join(lines).encode()


async def read(reader: asyncio.StreamReader) -> None:
    """Reads what is sent."""
    with contextlib.suppress(OSError):
        while await reader.read(65536):
            pass


async def flood(port: int, until: float) -> None:
    """Sends at full speed, and the same again as soon as it is turned away."""
    while time.monotonic() < until:
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
        except OSError:
            await asyncio.sleep(0.05)
            continue
        reading = asyncio.ensure_future(read(reader))
        with contextlib.suppress(OSError):
            first_id = 1
            while time.monotonic() < until and not reading.done():
                writer.write(messages(first_id))
                first_id += AT_ONCE
                await writer.drain()
                await asyncio.sleep(0)
        reading.cancel()
        writer.close()


async def main() -> None:
    """Plays all connections."""
    port, connections, seconds = int(sys.argv[1]), int(sys.argv[2]), float(sys.argv[3])
    until = time.monotonic() + seconds
    await asyncio.gather(*(flood(port, until) for _ in range(connections)))


asyncio.run(main())
