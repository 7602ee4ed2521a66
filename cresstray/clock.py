"""One clock for the module, the rules and the list of engines, and the calls that are due by it."""

from __future__ import annotations

import asyncio
import heapq
import time
from collections.abc import Callable
from functools import partial
from itertools import count


class Clock:
    """Unix time in whole microseconds: read once at the start, moved on by the monotonic clock.

    `sleeps`: time in which the machine sleeps counts as well, as leases need it.
    """

    def __init__(self, sleeps: bool = False) -> None:
        self._read = _with_sleep if sleeps else time.monotonic_ns
        self._offset = time.time_ns() - self._read()

    def now(self) -> int:
        return (self._offset + self._read()) // 1000


_with_sleep = partial(time.clock_gettime_ns, time.CLOCK_BOOTTIME)


class TimerHandle:
    """One call that is to come; `cancel` keeps it from being made."""

    __slots__ = ("due_us", "callback")

    def __init__(self, at: int, call: Callable[[int], None]) -> None:
        self.due_us = at
        self.callback: Callable[[int], None] | None = call

    def cancel(self) -> None:
        self.callback = None


class Timers:
    """All calls that are to come, in one heap and one task; calls of the same moment in the order given.

    `fault` is told of a call that fails; without it, whoever runs the calls is.
    """

    def __init__(self, clock: Clock, fault: Callable[[Exception], None] | None = None) -> None:
        self._clock, self._fault = clock, fault
        self._heap: list[tuple[int, int, TimerHandle]] = []
        self._order = count()
        self._changed = asyncio.Event()
        self.max_lateness_us = 0  # by how much a call was late at the most, in microseconds

    def call_after(self, delay: int, call: Callable[[int], None]) -> TimerHandle:
        due = TimerHandle(self._clock.now() + max(0, delay), call)
        heapq.heappush(self._heap, (due.due_us, next(self._order), due))
        if self._heap[0][2] is due:
            self._changed.set()
        return due

    def run_due(self) -> int | None:
        """Makes the calls that are due; microseconds to the next one, or None."""
        while self._heap:
            now = self._clock.now()
            at, _, due = self._heap[0]
            if due.callback is not None and at > now:
                return at - now
            heapq.heappop(self._heap)
            if due.callback is not None:
                self.max_lateness_us = max(self.max_lateness_us, now - at)
                self._make(due.callback, now)
        return None

    def _make(self, call: Callable[[int], None], now: int) -> None:
        try:
            call(now)
        except Exception as trouble:
            if self._fault is None:
                raise
            # Danger: one call that fails would end the task that makes all others, and with it the gateway.
            self._fault(trouble)

    async def run(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            self._changed = asyncio.Event()
            left = self.run_due()
            # A call made just now may have added one that is due sooner: then the event is set already. The
            # loop's own timer, since a cancel scope for each wait took an eighth of a busy gateway's samples.
            timer = None if left is None else loop.call_later(left / 1e6, self._changed.set)
            await self._changed.wait()
            if timer is not None:
                timer.cancel()
