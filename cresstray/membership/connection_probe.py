"""Probes an endpoint by a connection that is closed at once, so that no request is put at risk."""

from __future__ import annotations

import anyio

from cresstray.membership.estimate_states import ContactResult
from cresstray.transport.streams import connect


async def probe_connection(host: str, port: int, timeout_us: int) -> ContactResult:
    """Returns LISTENING, REFUSED, or TIMED_OUT after `timeout_us` microseconds."""
    with anyio.move_on_after(timeout_us / 1e6):
        try:
            connection = await connect(host, port)
        except OSError:
            return ContactResult.REFUSED
        connection.close()
        return ContactResult.LISTENING
    return ContactResult.TIMED_OUT
