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
from cresstray.transport.streams import CONNECTION_ENDED, SocketStream, connect, faults_contained

# Events count as received two seconds after a break and four after a silence, whether they came or not. An
# empty frame comes each second: after one and a half the connection is taken for dead, with time for two more
# attempts.
_SILENCE_TIMEOUT_S = 1.5
# What the coordinator has to tell counts as received four seconds after it stopped, and a trickle that never
# ends a frame is a stop: three leave time for a new connection. A complete list of 1,024 engines, some 28 kB,
# gets through in them at 10 kB a second.
_FRAME_TIMEOUT_S = 3.0
# A connection on a healthy network is made far sooner; the gateway must not miss more than it has to.
_CONNECT_TIMEOUT_S = 0.5
# Reconnects at once the first time, then each time twice as late, up to some times a second.
_FIRST_BACKOFF_S = 0.02
_MAX_BACKOFF_S = 0.3
# A connection that lived as long, or brought an event, worked: one that brought a word and ended did not.
_WORKED_AFTER_S = 1.0
# What a coordinator has to tell a new connection follows within a round trip, some milliseconds between
# zones: after so long without a byte all of it has come.
_SETTLED_AFTER_S = 0.05
_SETTLED_CHECK_INTERVAL_S = 0.01
# After so many failures to handle one event those behind it count more.
_MAX_EVENT_ATTEMPTS = 3


class EndpointWatch:
    """Follows the coordinator at `address`; without one the endpoint list stays as it is.

    | state       | seen by                 | left by                                            |
    | ----------- | ----------------------- | -------------------------------------------------- |
    | disabled    | `_address` is None      | `reconnect_to` an address                          |
    | connecting  | `_stream` is None       | a connection; else backing off                     |
    | catching up | `_stream` is set        | a frame that tells nothing new, or a short silence |
    | current     | also `_has_nothing_new` | an event                                           |
    | backing off | `_stream` is None       | the end of the pause: connecting                   |

    Args:
        address: host:port of the coordinator, or None.
        last_index: the index of the last event that is known.
        on_event: is called with each new event. One that it fails with comes again, some times.
        counters: counts frames, events and ends of connections.
        log: gets a line for each end.
        random: returns a number from 0 to 1, which spreads the pauses before reconnecting by a half either
            way, since all gateways lose the coordinator at once.
        silence_timeout_s: how long no byte may come.
        frame_timeout_s: how long no whole frame may come.
        connect_timeout_s: how long making a connection may take.

    Raises:
        ValueError: the address is none.
    """

    def __init__(
        self,
        address: str | None,
        last_index: int,
        on_event: Callable[[EndpointEvent], None],
        counters: Counters,
        log: Log,
        random: Callable[[], float] = lambda: 0.5,
        silence_timeout_s: float = _SILENCE_TIMEOUT_S,
        frame_timeout_s: float = _FRAME_TIMEOUT_S,
        connect_timeout_s: float = _CONNECT_TIMEOUT_S,
    ) -> None:
        self._address = _parse_optional_address(address)
        self.last_index = last_index
        self._on_event = on_event
        self._counters = counters
        self._log = log
        self._random = random
        self._silence_timeout_s = silence_timeout_s
        self._frame_timeout_s = frame_timeout_s
        self._connect_timeout_s = connect_timeout_s
        self._scope: anyio.CancelScope | None = None  # of the address that is followed
        self._stream: SocketStream | None = None  # once it is connected
        self._last_received_s = 0.0  # when it was connected, or something came
        self._has_nothing_new = False  # whether its last frame told nothing new
        self._event_attempts = 0  # of handling the event behind the last
        # Whether `on_event` can tell an older complete list from a newer one, see docs/membership.md.
        self.accepts_older_list = False

    def reconnect_to(self, address: str | None) -> None:
        """Connects to this address at once, also if it is the same; `last_index` stays.

        After a reload the present connection may bring nothing more.

        Raises:
            ValueError: the address is none.
        """
        parsed = _parse_optional_address(address)
        if parsed is None and self._address is None:
            return
        self._address = parsed
        self._log.log("coordinator", f"now follows {address}")
        if self._scope is not None:
            self._scope.cancel()

    async def wait_until_current(self, timeout_s: float) -> None:
        """Waits until what the coordinator had to tell at the start has been handled, or for the timeout."""
        if self._address is None:
            return
        with anyio.move_on_after(timeout_s):
            while not self._has_caught_up():
                await anyio.sleep(_SETTLED_CHECK_INTERVAL_S)

    def _has_caught_up(self) -> bool:
        # On a late event loop the time may be over while an event is there and has not been read.
        if self._stream is None or self._stream.has_unread():
            return False
        return self._has_nothing_new or anyio.current_time() - self._last_received_s >= _SETTLED_AFTER_S

    async def run(self, tasks: TaskGroup) -> None:
        """Follows the coordinator until it is cancelled."""
        while True:
            with anyio.CancelScope() as self._scope:
                await self._follow(tasks)

    async def _follow(self, tasks: TaskGroup) -> None:
        """Connects to the present address again and again."""
        backoff_s = _FIRST_BACKOFF_S
        while self._address is not None:
            previous_index = self.last_index
            began_s = anyio.current_time()
            await self._connect_once(tasks, *self._address)
            lived_s = anyio.current_time() - began_s
            has_worked = self.last_index != previous_index or lived_s >= _WORKED_AFTER_S
            backoff_s = _FIRST_BACKOFF_S if has_worked else min(_MAX_BACKOFF_S, 2 * backoff_s)
            await anyio.sleep(backoff_s * (0.5 + self._random()))
        await anyio.sleep_forever()

    async def _connect_once(self, tasks: TaskGroup, host: str, port: int) -> None:
        """Serves one connection; nothing that comes on it, and no fault in handling it, ends the gateway."""
        with faults_contained("the watch on the endpoint list", self._counters, self._log):
            try:
                await self._subscribe(tasks, host, port)
            except (*CONNECTION_ENDED, MalformedEventError, TimeoutError) as error:
                self._counters.add("coordinator connections ended")
                self._log.log("coordinator", f"connection ended, made again: {error!r}")

    async def _subscribe(self, tasks: TaskGroup, host: str, port: int) -> None:
        with anyio.fail_after(self._connect_timeout_s):
            connected = await connect(host, port)
        # What breaks it while it is written to is noticed by reading.
        with SocketStream(connected, tasks, lambda: None) as stream:
            stream.write(encode_subscription(self.last_index))
            self._stream = stream
            self._last_received_s = anyio.current_time()
            self._has_nothing_new = False
            try:
                await self._read(stream)
            finally:
                self._stream = None

    async def _read(self, stream: SocketStream) -> None:
        decoder = EventDecoder()
        accepts_older = self.accepts_older_list
        deadline_s = anyio.current_time() + self._frame_timeout_s
        while True:
            # Bytes that never make a frame do not show that the coordinator works.
            data = await stream.receive(min(self._silence_timeout_s, deadline_s - anyio.current_time()))
            self._last_received_s = anyio.current_time()
            self._has_nothing_new = False
            while frames := decoder.feed(data):
                data = b""
                deadline_s = anyio.current_time() + self._frame_timeout_s
                self._counters.add("coordinator frames", len(frames))
                events = [event for event in frames if event is not None]
                for event in apply_final_states(self._new_events(events, accepts_older)):
                    self._handle(event)
                accepts_older = accepts_older and not events
                self._has_nothing_new = frames[-1] is None

    def _new_events(self, events: Iterable[EndpointEvent], accepts_older: bool) -> list[EndpointEvent]:
        """Returns the new ones; `accepts_older`: the first may be a complete list of a smaller index.

        An event that comes twice is nothing new, and no reason to end the connection. A coordinator that was
        founded anew, or is behind, begins with its complete list.
        """
        new_events = []
        last_index = self.last_index
        for event in events:
            is_older_list = event.is_complete and event.index < last_index
            if event.index > last_index or (accepts_older and is_older_list):
                new_events.append(event)
                last_index = event.index
            accepts_older = False
        return new_events

    def _handle(self, event: EndpointEvent) -> None:
        """Takes its index once it is handled: one that fails half way comes again on the next connection.

        One that fails each time is passed over in the end, as it would keep away all behind it, drains too.
        """
        self._event_attempts += 1
        if self._event_attempts == _MAX_EVENT_ATTEMPTS:
            self._take_index(event)
        self._on_event(event)
        self._take_index(event)
        self._counters.add("coordinator events")

    def _take_index(self, event: EndpointEvent) -> None:
        self.last_index = event.index
        self._event_attempts = 0


def _parse_optional_address(address: str | None) -> tuple[str, int] | None:
    return parse_address(address) if address else None
