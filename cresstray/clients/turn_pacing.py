"""Paces the turns of connections that send much, so that they leave time for all others."""

from __future__ import annotations

import asyncio

import anyio


class BulkTurns:
    """Lets connections that send much have their turns one after the other, in the order in which they ask.

    However many they are, each iteration of the event loop has one of their turns at most, and all else that
    is ready. They get the whole time while nothing else is ready.
    """

    def __init__(self) -> None:
        self._lock = anyio.Lock()
        self._has_had_turn = False  # whether this iteration has had one

    @property
    def must_wait(self) -> bool:
        """Whether a connection that sends much must wait for its turn."""
        return self._has_had_turn or self._lock.locked()

    def on_turn(self) -> None:
        """Records that a connection has had such a turn in this iteration."""
        if not self._has_had_turn:
            self._has_had_turn = True
            asyncio.get_running_loop().call_soon(self._on_next_iteration)

    def _on_next_iteration(self) -> None:
        self._has_had_turn = False

    async def wait(self) -> None:
        """Waits for the caller's turn, which lasts until it waits for anything else."""
        async with self._lock:
            await anyio.sleep(0)
