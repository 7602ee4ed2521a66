"""Whether anything listens where an engine was: a connection, made and closed. No work is risked for it."""

from __future__ import annotations

import anyio

from cresstray.membership.estimate import ContactResult
from cresstray.transport.streams import connect


async def probe_connection(host: str, port: int, patience: int) -> ContactResult:
    """`patience` in microseconds, as for a link that work waits for."""
    with anyio.move_on_after(patience / 1e6):
        try:
            made = await connect(host, port)
        except OSError:
            return ContactResult.REFUSED
        made.close()
        return ContactResult.LISTENING
    return ContactResult.TIMED_OUT
