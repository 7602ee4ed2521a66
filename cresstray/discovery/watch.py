"""Follows the coordinator's events over one connection, made again whenever it ends or falls silent."""

from __future__ import annotations

from collections.abc import Callable, Iterable

import anyio
from anyio.abc import TaskGroup

from cresstray.discovery.codec import EventDecoder, encode_subscription
from cresstray.discovery.endpoint_list import (
    EndpointEvent,
    MalformedEventError,
    apply_final_states,
    parse_address,
)
from cresstray.observability.counters import Counters
from cresstray.observability.log import Log
from cresstray.transport.streams import ENDED, SocketStream, connect, contained

# Events count as told two seconds after a break and four after a silence, whether they came or not. An empty
# frame comes each second: after one and a half the link is taken for dead, with time for two more tries.
_SILENCE = 1.5
# What the coordinator has to tell counts as told four seconds after it stopped, and a trickle that never ends
# a frame is a stop: three leave time for a new link. A whole list of 1,024 engines, some 28 kB, gets through
# in them at 10 kB a second.
_WHOLE_FRAME = 3.0
# A connection on a healthy network is up far sooner; the gateway must not miss more than it has to.
_CONNECT = 0.5
# Again at once the first time, then each time twice as late, up to some times a second.
_FIRST_PAUSE, _LONGEST_PAUSE = 0.02, 0.3
# A link that lived as long, or told something new, worked: a coordinator that says a word and closes did not.
_WORKED = 1.0
# What a coordinator has to tell to who has just come follows within a round trip, some milliseconds between
# zones: after so long without a byte it is all there. It is looked at some times within that.
_SETTLED, _LOOK = 0.05, 0.01
# An event whose telling fails comes again so often in all; then those behind it count more.
_MOST_TRIES = 3


class EndpointWatch:
    """`address` as host:port, ValueError where it is none; without one the list stays as it is.

    `chance`, from 0 to 1, spreads the pauses before a link is made again, by a half to either side.
    """

    def __init__(
        self,
        address: str | None,
        last: int,
        told: Callable[[EndpointEvent], None],
        counters: Counters,
        log: Log,
        chance: Callable[[], float] = lambda: 0.5,
        silence: float = _SILENCE,
        whole_frame: float = _WHOLE_FRAME,
        connecting: float = _CONNECT,
    ) -> None:
        self._address, self.last_index = _parts(address), last
        self._told, self._counters, self._log, self._chance = told, counters, log, chance
        self._silence, self._whole_frame, self._connecting = silence, whole_frame, connecting
        self._scope: anyio.CancelScope | None = None  # of the coordinator that is followed
        self._line: SocketStream | None = None  # the link, once it is up
        self._heard = 0.0  # when it came up, or said something
        self._at_rest = False  # the last that it said was that there is nothing new
        self._tries = 0  # of telling the event behind the last
        self.accepts_older_list = (
            False  # whoever is told can tell an old list from a new one, see docs/kept.md
        )

    def move(self, address: str | None) -> None:
        """Leaves the link to the coordinator for one to this address, at once; the numbers carry on."""
        parts = _parts(address)
        if parts is None and self._address is None:
            return
        # Danger: after a reload the link may be told nothing more, also where the address is the same, and
        # what there is to tell counts as told four seconds later.
        self._address = parts
        self._log.log("coordinator", f"now follows {address}")
        if self._scope is not None:
            self._scope.cancel()

    async def wait_until_current(self, within: float) -> None:
        """Until what the coordinator had to tell at the start has been told, or for `within` seconds."""
        if self._address is None:
            return
        with anyio.move_on_after(within):
            while not self._has_caught_up():
                await anyio.sleep(_LOOK)

    def _has_caught_up(self) -> bool:
        # Danger: on a late loop the time may be over while an event is there and has not been read.
        if self._line is None or self._line.has_more():
            return False
        return self._at_rest or anyio.current_time() - self._heard >= _SETTLED

    async def run(self, tasks: TaskGroup) -> None:
        while True:
            with anyio.CancelScope() as self._scope:
                await self._keep_up(tasks)

    async def _keep_up(self, tasks: TaskGroup) -> None:
        if self._address is None:
            await anyio.sleep_forever()
        pause = _FIRST_PAUSE
        while True:
            last, began = self.last_index, anyio.current_time()
            await self._one_link(tasks, *self._address)
            worked = self.last_index != last or anyio.current_time() - began >= _WORKED
            pause = _FIRST_PAUSE if worked else min(_LONGEST_PAUSE, 2 * pause)
            # Danger: all gateways find the coordinator gone at once, and would come back at once.
            await anyio.sleep(pause * (0.5 + self._chance()))

    async def _one_link(self, tasks: TaskGroup, host: str, port: int) -> None:
        # Danger: nothing that a coordinator says, and no fault in telling it, may end the gateway.
        with contained("the watch on the list of engines", self._counters, self._log):
            try:
                await self._follow(tasks, host, port)
            except (*ENDED, MalformedEventError, TimeoutError) as trouble:
                self._counters.add("coordinator links ended")
                self._log.log("coordinator", f"link ended, made again: {trouble!r}")

    async def _follow(self, tasks: TaskGroup, host: str, port: int) -> None:
        with anyio.fail_after(self._connecting):
            made = await connect(host, port)
        # What breaks it while it is written to is heard of in the reading.
        with SocketStream(made, tasks, lambda: None) as line:
            line.write(encode_subscription(self.last_index))
            self._line, self._heard, self._at_rest = line, anyio.current_time(), False
            try:
                await self._listen(line)
            finally:
                self._line = None

    async def _listen(self, line: SocketStream) -> None:
        frames, older = EventDecoder(), self.accepts_older_list
        due = anyio.current_time() + self._whole_frame
        while True:
            # Danger: bytes that never make a frame are no sign of life.
            data = await line.receive(min(self._silence, due - anyio.current_time()))
            self._heard, self._at_rest = anyio.current_time(), False
            while found := frames.feed(data):
                data = b""
                due = anyio.current_time() + self._whole_frame
                self._counters.add("coordinator frames", len(found))
                events = [event for event in found if event is not None]
                for event in apply_final_states(self._news(events, older)):
                    self._tell(event)
                older = older and not events
                self._at_rest = found[-1] is None

    def _news(self, events: Iterable[EndpointEvent], older: bool) -> list[EndpointEvent]:
        """Those that are new; `older`: the first may be a whole list of a smaller number."""
        news, last = [], self.last_index
        for event in events:
            # Danger: an event told twice is nothing new, and no reason to leave the link. A coordinator that
            # was founded anew, or is behind, begins with its whole list.
            if event.index > last or older and event.is_complete and event.index < last:
                news.append(event)
                last = event.index
            older = False
        return news

    def _tell(self, event: EndpointEvent) -> None:
        """The number is taken once the event is told: one whose telling fails half way comes again."""
        self._tries += 1
        if self._tries == _MOST_TRIES:
            # Danger: one that can't be told at all would keep all behind it away, drains too.
            self.last_index, self._tries = event.index, 0
        self._told(event)
        self.last_index, self._tries = event.index, 0
        self._counters.add("coordinator events")


def _parts(address: str | None) -> tuple[str, int] | None:
    return parse_address(address) if address else None
