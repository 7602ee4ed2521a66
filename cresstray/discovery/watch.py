"""Follows the coordinator's events over one connection; reconnects when it ends or falls silent."""

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

# The gateway is expected to know an event two seconds after a connection break and four seconds after a
# silence. The coordinator sends an empty frame each second: after 1.5 s without a byte the connection is
# treated as dead, which leaves time for two more connection attempts.
_SILENCE_TIMEOUT_S = 1.5
# The gateway is expected to know an event four seconds after the coordinator stopped sending whole frames,
# even if single bytes still arrive: three leave time for a new connection. A complete list of 1,024 engines,
# some 28 kB, arrives in three seconds at 10 kB a second.
_FRAME_TIMEOUT_S = 3.0
# A healthy network connects far sooner, and the gateway receives no events while it waits.
_CONNECT_TIMEOUT_S = 0.5
# The first reconnect follows almost at once; the pause then doubles, up to a few reconnects a second.
_FIRST_BACKOFF_S = 0.02
_MAX_BACKOFF_S = 0.3
# A connection has worked if it lasted this long or delivered an event. One that delivered an empty frame and
# ended has not, and the backoff grows.
_WORKED_AFTER_S = 1.0
# A coordinator sends what a new connection has missed within a round trip, some milliseconds between zones:
# after this time without a byte all of it has arrived.
_SETTLED_AFTER_S = 0.05
_SETTLED_CHECK_INTERVAL_S = 0.01
# An event whose handling has failed this often is skipped, so that later events are handled.
_MAX_EVENT_ATTEMPTS = 3


class EndpointWatch:
    """Follows the coordinator at `address`; without one the endpoint list stays as it is.

    | state       | condition               | ends with                                              |
    | ----------- | ----------------------- | ------------------------------------------------------ |
    | disabled    | `_address` is None      | `reconnect_to` an address                              |
    | connecting  | `_stream` is None       | a connection, or a failure: backing off                |
    | catching up | `_stream` is set        | a frame that has no event, or a short silence: current |
    | current     | also `_has_nothing_new` | an event: catching up                                  |
    | backing off | `_stream` is None       | the end of the pause: connecting                       |

    Args:
        address: host:port of the coordinator, or None.
        last_index: the index of the last known event.
        on_event: is called with each new event. If it fails, the event is requested again, a few times.
        counters: counts frames, events and ended connections.
        log: gets a line for each ended connection.
        random: returns a number from 0 to 1. It varies the pauses before reconnecting by up to a half, since
            all gateways lose the coordinator at the same time.
        silence_timeout_s: the longest time without a byte.
        frame_timeout_s: the longest time without a whole frame.
        connect_timeout_s: the longest time that connecting may take.

    Raises:
        ValueError: `address` is not the address of a coordinator.
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
        self._address_scope: anyio.CancelScope | None = None  # cancelled when the address is replaced
        self._stream: SocketStream | None = None  # set while connected
        self._last_received_s = 0.0  # when the connection was made, or data was last received
        self._has_nothing_new = False  # whether the last frame had no event
        self._event_attempts = 0  # attempts to handle the event after `last_index`
        # Whether `on_event` can handle a complete list that is older than the last event, see
        # docs/membership.md.
        self.accepts_older_list = False

    def reconnect_to(self, address: str | None) -> None:
        """Connects to this address at once, even if it is the present one; `last_index` stays.

        The present connection may deliver no more events after a reload.

        Raises:
            ValueError: `address` is not the address of a coordinator.
        """
        parsed = _parse_optional_address(address)
        if parsed is None and self._address is None:
            return
        self._address = parsed
        self._log.log("coordinator", f"now follows {address}")
        if self._address_scope is not None:
            self._address_scope.cancel()

    async def wait_until_current(self, timeout_s: float) -> None:
        """Waits until the coordinator's events up to now have been handled, or until the timeout."""
        if self._address is None:
            return
        with anyio.move_on_after(timeout_s):
            while not self._has_caught_up():
                await anyio.sleep(_SETTLED_CHECK_INTERVAL_S)

    def _has_caught_up(self) -> bool:
        # If the event loop is late, the time may be over while a received event has not been read yet.
        if self._stream is None or self._stream.has_unread():
            return False
        return self._has_nothing_new or anyio.current_time() - self._last_received_s >= _SETTLED_AFTER_S

    async def run(self, tasks: TaskGroup) -> None:
        """Follows the coordinator until it is cancelled."""
        while True:
            with anyio.CancelScope() as self._address_scope:
                await self._follow(tasks)

    async def _follow(self, tasks: TaskGroup) -> None:
        """Connects to the present address, and reconnects whenever the connection ends."""
        backoff_s = _FIRST_BACKOFF_S
        while self._address is not None:
            previous_index = self.last_index
            start_s = anyio.current_time()
            await self._connect_once(tasks, *self._address)
            duration_s = anyio.current_time() - start_s
            has_worked = self.last_index != previous_index or duration_s >= _WORKED_AFTER_S
            backoff_s = _FIRST_BACKOFF_S if has_worked else min(_MAX_BACKOFF_S, 2 * backoff_s)
            await anyio.sleep(backoff_s * (0.5 + self._random()))
        await anyio.sleep_forever()

    async def _connect_once(self, tasks: TaskGroup, host: str, port: int) -> None:
        """Follows one connection until it ends. Neither malformed data nor a fault ends the gateway."""
        with faults_contained("the watch on the endpoint list", self._counters, self._log):
            try:
                await self._subscribe(tasks, host, port)
            except (*CONNECTION_ENDED, MalformedEventError, TimeoutError) as error:
                self._counters.add("coordinator connections ended")
                self._log.log("coordinator", f"connection ended, made again: {error!r}")

    async def _subscribe(self, tasks: TaskGroup, host: str, port: int) -> None:
        with anyio.fail_after(self._connect_timeout_s):
            connected = await connect(host, port)
        # Needs no callback for a failed write: reading notices a broken connection.
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
            # Only whole frames extend the deadline: single bytes do not show that the coordinator works.
            data = await stream.receive(min(self._silence_timeout_s, deadline_s - anyio.current_time()))
            self._last_received_s = anyio.current_time()
            self._has_nothing_new = False
            while frames := decoder.feed(data):
                data = b""
                deadline_s = anyio.current_time() + self._frame_timeout_s
                self._counters.add("coordinator frames", len(frames))
                events = [event for event in frames if event is not None]
                for event in apply_final_states(self._new_events(events, accepts_older)):
                    self._handle_event(event)
                accepts_older = accepts_older and not events
                self._has_nothing_new = frames[-1] is None

    def _new_events(self, events: Iterable[EndpointEvent], accepts_older: bool) -> list[EndpointEvent]:
        """Returns the events that are new.

        Events already known are ignored; a repeated event is no reason to end the connection. A coordinator
        that was set up anew, or lags behind, starts with its complete list.

        Args:
            events: events in the order received.
            accepts_older: whether the first may be a complete list with an index below the last.
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

    def _handle_event(self, event: EndpointEvent) -> None:
        """Handles an event, then records its index: the next connection requests an event that failed again.

        An event that fails each time is skipped in the end: it would hold up all later events, and with them
        the news that endpoints are draining.
        """
        self._event_attempts += 1
        if self._event_attempts == _MAX_EVENT_ATTEMPTS:
            self._record_index(event)
        self._on_event(event)
        self._record_index(event)
        self._counters.add("coordinator events")

    def _record_index(self, event: EndpointEvent) -> None:
        self.last_index = event.index
        self._event_attempts = 0


def _parse_optional_address(address: str | None) -> tuple[str, int] | None:
    return parse_address(address) if address else None
