"""Whether anything listens where an engine was: a connection, made and closed. No work is risked for it."""

from __future__ import annotations

import anyio

from cresstray.membership.estimate import How
from cresstray.transport.streams import connect


async def knock(host: str, port: int, patience: int) -> How:
    """`patience` in microseconds, as for a link that work waits for."""
    with anyio.move_on_after(patience / 1e6):
        try:
            made = await connect(host, port)
        except OSError:
            return How.REFUSED
        made.close()
        return How.LISTENS
    return How.SILENT
