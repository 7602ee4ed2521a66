"""Follows the coordinator's events over one connection, made again whenever it ends or falls silent."""

from __future__ import annotations

from collections.abc import Callable, Mapping

import anyio

from cresstray.coordinator.frames import Frames, hello
from cresstray.coordinator.known import Event, MalformedError
from cresstray.counters import Counters
from cresstray.log import Log
from cresstray.streams import ENDED, Line, connect

# An empty frame comes each second; after two and a half the link is taken for dead.
_SILENCE = 2.5
# A connection on a healthy network is up far sooner; the gateway must not miss more than it has to.
_CONNECT = 1.0
# Again at once the first time, then each time twice as late, up to a second: events count whether they come.
_FIRST_PAUSE, _LONGEST_PAUSE = 0.05, 1.0


class Feed:
    def __init__(self, address: str, last: int, settings: Mapping, told: Callable[[Event], None],
                 counters: Counters, log: Log) -> None:
        host, _, port = address.rpartition(":")
        self._address, self.last = (host, int(port)), last
        self._settings, self._told, self._counters, self._log = settings, told, counters, log

    async def run(self) -> None:
        pause = _FIRST_PAUSE
        while True:
            before = self.last
            try:
                await self._follow()
            except (*ENDED, MalformedError, TimeoutError) as trouble:
                self._counters.add("coordinator links ended")
                self._log.say("coordinator", f"link ended, made again: {trouble!r}")
            pause = _FIRST_PAUSE if self.last != before else min(_LONGEST_PAUSE, 2 * pause)
            await anyio.sleep(pause)

    async def _follow(self) -> None:
        with anyio.fail_after(_CONNECT):
            made = await connect(*self._address)
        with Line(made) as line:
            line.put(hello(self.last))
            frames = Frames(len(self._settings.get("Localities", [])) or 256,
                            len(self._settings.get("Flavors", [])) or 256)
            while True:
                with anyio.fail_after(_SILENCE):
                    data = await line.receive()
                for event in frames.feed(data):
                    if event is not None:
                        self._take(event)

    def _take(self, event: Event) -> None:
        if event.number <= self.last:
            raise MalformedError(f"event {event.number} after {self.last}")
        self.last = event.number
        self._counters.add("coordinator events")
        self._told(event)
