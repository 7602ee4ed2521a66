"""The clock of a process and its timers. All times are Unix time in whole microseconds."""

from __future__ import annotations

import asyncio
import heapq
import time
from collections.abc import Callable
from functools import partial
from itertools import count

Callback = Callable[[int], None]


class Clock:
    """Unix time that never goes back: read once at the start, then advanced by a monotonic clock.

    With `counts_suspend`, the time that the machine spends in suspend counts as well, as leases need it.
    """

    def __init__(self, counts_suspend: bool = False) -> None:
        self._read_monotonic_ns = _read_boottime_ns if counts_suspend else time.monotonic_ns
        self._offset_ns = time.time_ns() - self._read_monotonic_ns()

    def now(self) -> int:
        """Returns the time in microseconds."""
        return (self._offset_ns + self._read_monotonic_ns()) // 1000


_read_boottime_ns = partial(time.clock_gettime_ns, time.CLOCK_BOOTTIME)


class TimerHandle:
    """One scheduled callback."""

    __slots__ = ("due_us", "callback")

    def __init__(self, due_us: int, callback: Callback) -> None:
        self.due_us = due_us
        self.callback: Callback | None = callback

    def cancel(self) -> None:
        """Cancels the callback; has no effect once it has run."""
        self.callback = None


class Timers:
    """All scheduled callbacks of a process, in one heap and run by one task.

    Callbacks that are due at the same time run in the order in which they were added. If a callback raises,
    `on_fault` gets the exception and the other callbacks still run; without `on_fault`, the exception
    propagates to the caller of `run_due` or `run`.
    """

    def __init__(self, clock: Clock, on_fault: Callable[[Exception], None] | None = None) -> None:
        self._clock = clock
        self._on_fault = on_fault
        self._heap: list[tuple[int, int, TimerHandle]] = []
        self._sequence_numbers = count()
        self._has_changed = asyncio.Event()
        self.max_lateness_us = 0  # the longest delay between the due time of a callback and its run

    def call_after(self, delay_us: int, callback: Callback) -> TimerHandle:
        """Schedules `callback` to be called with the time, `delay_us` from now."""
        timer = TimerHandle(self._clock.now() + max(0, delay_us), callback)
        heapq.heappush(self._heap, (timer.due_us, next(self._sequence_numbers), timer))
        if self._heap[0][2] is timer:
            self._has_changed.set()
        return timer

    def run_due(self) -> int | None:
        """Runs the callbacks that are due; returns the microseconds to the next one, None without one."""
        while self._heap:
            now_us = self._clock.now()
            due_us, _, timer = self._heap[0]
            if timer.callback is not None and due_us > now_us:
                return due_us - now_us
            heapq.heappop(self._heap)
            if timer.callback is not None:
                self.max_lateness_us = max(self.max_lateness_us, now_us - due_us)
                self._run_callback(timer.callback, now_us)
        return None

    def _run_callback(self, callback: Callback, now_us: int) -> None:
        try:
            callback(now_us)
        except Exception as error:
            if self._on_fault is None:
                raise
            # Raised further, it would end the task that runs all callbacks, and with it the gateway.
            self._on_fault(error)

    async def run(self) -> None:
        """Runs callbacks as they become due, until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            self._has_changed = asyncio.Event()
            remaining_us = self.run_due()
            # A callback that just ran may have added one that is due sooner; then the event is already set.
            # The wait uses a timer of the event loop, because a cancel scope for each wait took an eighth of
            # a busy gateway's CPU samples.
            wake_up = None
            if remaining_us is not None:
                wake_up = loop.call_later(remaining_us / 1e6, self._has_changed.set)
            await self._has_changed.wait()
            if wake_up is not None:
                wake_up.cancel()
