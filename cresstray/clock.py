"""The clock of one process, and the calls that are due by it. Times are Unix time in whole microseconds."""

from __future__ import annotations

import asyncio
import heapq
import time
from collections.abc import Callable
from functools import partial
from itertools import count

Callback = Callable[[int], None]


class Clock:
    """Unix time that never goes back: read once at the start, and moved on by the monotonic clock.

    With `sleeps`, time during which the machine sleeps counts as well, as leases need it.
    """

    def __init__(self, counts_suspend: bool = False) -> None:
        self._read = _boottime_ns if counts_suspend else time.monotonic_ns
        self._offset_ns = time.time_ns() - self._read()

    def now(self) -> int:
        """Returns the time in microseconds."""
        return (self._offset_ns + self._read()) // 1000


_boottime_ns = partial(time.clock_gettime_ns, time.CLOCK_BOOTTIME)


class TimerHandle:
    """One call that is due later."""

    __slots__ = ("due_us", "callback")

    def __init__(self, due_us: int, callback: Callback) -> None:
        self.due_us = due_us
        self.callback: Callback | None = callback

    def cancel(self) -> None:
        """Keeps the call from being made; has no effect once it was."""
        self.callback = None


class Timers:
    """All calls that are due later, in one heap and one task.

    Calls that are due at the same time are made in the order in which they were added. `on_fault` is told
    of a call that raises, and the others are made; without it, the exception reaches whoever runs the
    calls.
    """

    def __init__(self, clock: Clock, on_fault: Callable[[Exception], None] | None = None) -> None:
        self._clock = clock
        self._on_fault = on_fault
        self._heap: list[tuple[int, int, TimerHandle]] = []
        self._order = count()
        self._has_changed = asyncio.Event()
        self.max_lateness_us = 0  # by how much a call was late at the most

    def call_after(self, delay: int, call: Callback) -> TimerHandle:
        """Calls `call` with the time, `delay` microseconds from now."""
        timer = TimerHandle(self._clock.now() + max(0, delay), call)
        heapq.heappush(self._heap, (timer.due_us, next(self._order), timer))
        if self._heap[0][2] is timer:
            self._has_changed.set()
        return timer

    def run_due(self) -> int | None:
        """Makes the calls that are due; returns microseconds to the next one, None if there is none."""
        while self._heap:
            now = self._clock.now()
            due_us, _, timer = self._heap[0]
            if timer.callback is not None and due_us > now:
                return due_us - now
            heapq.heappop(self._heap)
            if timer.callback is not None:
                self.max_lateness_us = max(self.max_lateness_us, now - due_us)
                self._make(timer.callback, now)
        return None

    def _make(self, callback: Callback, now: int) -> None:
        try:
            callback(now)
        except Exception as error:
            if self._on_fault is None:
                raise
            # Raised further, it would end the task that makes all other calls, and with it the gateway.
            self._on_fault(error)

    async def run(self) -> None:
        """Makes calls as they become due, until it is cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            self._has_changed = asyncio.Event()
            remaining_us = self.run_due()
            # A call made just now may have added one that is due sooner: then the event is set already. The
            # loop's own timer, since a cancel scope for each wait took an eighth of a busy gateway's CPU
            # samples.
            wake_up = None
            if remaining_us is not None:
                wake_up = loop.call_later(remaining_us / 1e6, self._has_changed.set)
            await self._has_changed.wait()
            if wake_up is not None:
                wake_up.cancel()
