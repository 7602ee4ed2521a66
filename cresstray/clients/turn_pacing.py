"""Paces the turns of connections that send much, so that they leave time for all others."""

from __future__ import annotations

import anyio


class BulkTurns:
    """Lets connections that send much have their turns one after the other, in the order in which they ask.

    However many they are, each iteration of the event loop has one of their turns at most, and all else that
    is ready. They get the whole time while nothing else is ready.
    """

    def __init__(self) -> None:
        self._lock = anyio.Lock()

    async def wait(self) -> None:
        """Waits for the caller's turn, which lasts until it waits for anything else."""
        async with self._lock:
            await anyio.sleep(0)
