"""Writing to one connection: what is to go out is gathered and sent in order by one task."""

from __future__ import annotations

import traceback
from collections.abc import Iterator
from contextlib import contextmanager

import anyio
from anyio.abc import ByteStream

from cresstray.counters import Counters
from cresstray.log import Log

# What ends a connection: closed, cut, or reset.
ENDED = (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError, OSError)


@contextmanager
def contained(what: str, counters: Counters, log: Log) -> Iterator[None]:
    """Danger: a fault of ours met on one connection must end that one only. It is counted, and told whole."""
    try:
        yield
    except Exception as trouble:
        counters.add("faults")
        log.say("fault", f"{what}: {''.join(traceback.format_exception(trouble))}")


class Outbox:
    """Messages that wait to be written; all that wait go out in one write."""

    def __init__(self) -> None:
        self._waiting: list[bytes] = []
        self._changed = anyio.Event()
        self._closing = False
        self.size = 0  # bytes not yet handed to the connection

    def put(self, message: bytes) -> None:
        self._waiting.append(message)
        self.size += len(message)
        self._changed.set()

    def close(self) -> None:
        """What waits is still written; then `pump` returns."""
        self._closing = True
        self._changed.set()

    async def pump(self, stream: ByteStream) -> None:
        while True:
            while self._waiting:
                data = self._waiting[0] if len(self._waiting) == 1 else b"".join(self._waiting)
                self._waiting.clear()
                await stream.send(data)
                self.size -= len(data)
            if self._closing:
                return
            self._changed = anyio.Event()
            await self._changed.wait()
