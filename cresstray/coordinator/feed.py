"""Follows the coordinator's events over one connection, made again whenever it ends or falls silent."""

from __future__ import annotations

from collections.abc import Callable

import anyio
from anyio.abc import TaskGroup

from cresstray.coordinator.frames import Frames, hello
from cresstray.coordinator.known import Event, MalformedError
from cresstray.counters import Counters
from cresstray.log import Log
from cresstray.streams import ENDED, Line, connect

# Events count as told two seconds after a break and four after a silence, whether they came or not. An empty
# frame comes each second: after one and a half the link is taken for dead, with time for two more tries.
_SILENCE = 1.5
# A connection on a healthy network is up far sooner; the gateway must not miss more than it has to.
_CONNECT = 0.5
# Again at once the first time, then each time twice as late, up to some times a second.
_FIRST_PAUSE, _LONGEST_PAUSE = 0.02, 0.3


class Feed:
    """`address` as host:port, ValueError where it is none; without one the list stays as it is."""

    def __init__(
        self, address: str | None, last: int, told: Callable[[Event], None], counters: Counters, log: Log
    ) -> None:
        self._address, self.last = _parts(address), last
        self._told, self._counters, self._log = told, counters, log
        self._scope: anyio.CancelScope | None = None  # of the coordinator that is followed
        self.takes_older = False  # whoever is told can tell an old list from a new one, see docs/kept.md

    def move(self, address: str | None) -> None:
        """Leaves the coordinator that is followed for this one, at once; the numbers carry on."""
        parts = _parts(address)
        if parts != self._address:
            self._address = parts
            self._log.say("coordinator", f"now follows {address}")
            if self._scope is not None:
                self._scope.cancel()

    async def run(self, tasks: TaskGroup) -> None:
        while True:
            with anyio.CancelScope() as self._scope:
                await self._keep_up(tasks)

    async def _keep_up(self, tasks: TaskGroup) -> None:
        if self._address is None:
            await anyio.sleep_forever()
        pause = _FIRST_PAUSE
        while True:
            heard = self._counters.counts["coordinator frames"]
            try:
                await self._follow(tasks, *self._address)
            except (*ENDED, MalformedError, TimeoutError) as trouble:
                self._counters.add("coordinator links ended")
                self._log.say("coordinator", f"link ended, made again: {trouble!r}")
            worked = self._counters.counts["coordinator frames"] != heard
            pause = _FIRST_PAUSE if worked else min(_LONGEST_PAUSE, 2 * pause)
            await anyio.sleep(pause)

    async def _follow(self, tasks: TaskGroup, host: str, port: int) -> None:
        with anyio.fail_after(_CONNECT):
            made = await connect(host, port)
        # What breaks it while it is written to is heard of in the reading.
        with Line(made, tasks, lambda: None) as line:
            line.put(hello(self.last))
            frames, first = Frames(), self.takes_older
            while True:
                for event in frames.feed(await line.receive(_SILENCE)):
                    self._counters.add("coordinator frames")
                    if event is None:
                        continue
                    # A coordinator that was founded anew, or is behind, begins with its whole list.
                    older = first and event.complete and event.number < self.last
                    first = False
                    # Danger: an event told twice is nothing new, and no reason to leave the link.
                    if event.number > self.last or older:
                        self.last = event.number
                        self._counters.add("coordinator events")
                        self._told(event)


def _parts(address: str | None) -> tuple[str, int] | None:
    if not address:
        return None
    host, _, port = address.rpartition(":")
    return host, int(port)
