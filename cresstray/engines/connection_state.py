"""One connection to an engine without its socket: what it takes, when it is idle, what its end means.

Free of I/O: whoever has the socket says what was received and lost, and is called for the rest.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from cresstray.engines import codec
from cresstray.engines.in_flight import Disposition, InFlightRequest, InFlightRequests

if TYPE_CHECKING:
    from cresstray.engines.connection_pool import ConnectionPool

# An answer comes in one piece; the rest of one that was begun is not late by a quarter of a second.
_HALF_WAY = 250_000
_OF_RESULTS = (b"served", b"rows")
# Danger: an engine that never reads would have our memory filled with what it is told. All pages of two long
# results asked for, or a thousand requests given up.
_MOST_BEHIND = 64 * 1024


class Transport(Protocol):
    """What a link is written to; streams.Line is one. `put` takes all, now or by and by."""

    unsent: bytearray  # put, and not yet taken by the other side

    def write(self, message: bytes) -> bool: ...
    def has_ended(self) -> bool: ...


class EngineConnection:
    """One connection to an engine. Whoever has its socket gives it `hang_up`."""

    def __init__(self, pool: ConnectionPool) -> None:
        self.pool = pool
        self.in_flight = InFlightRequests(pool.max_streams)
        self.is_corrupt = False
        self.is_out_of_descriptors = False  # there was no descriptor for it: that says nothing of its engine
        self.is_outdated = False  # its engine has another address by now, or has started anew
        self.idle_since = 0
        self.transport: Transport | None = None  # once it is up
        self._answers, self.answer_deadline_us = codec.AnswerDecoder(), 0
        self._leaving: InFlightRequest | None = None  # the last one written, if part of it had to wait
        self._behind = 0  # bytes put behind what waits

    def abort(self) -> None:
        """The connection is to end, or not to be made; `gone` follows."""
        raise NotImplementedError

    def has_room_for(self, name: bytes) -> bool:
        # Danger: behind what its engine does not read, a request would leave when nothing is as it was.
        return self.in_flight.has_room_for(name) and not (
            self.transport is not None and self.transport.unsent
        )

    def start(self, exchange: InFlightRequest) -> bool:
        """False where the link proves dead, or its engine reads nothing: nothing of the exchange has left."""
        # Danger: what is written to a link that the other side has closed is lost, and may have run.
        if self.transport is not None and not self.in_flight.open and self.transport.has_ended():
            self.close()
            return False
        exchange.connection = self
        self.pool.quota.idle.pop(self, None)
        self.in_flight.begin(exchange)
        return self.transport is None or self._write(exchange)

    def _write(self, exchange: InFlightRequest) -> bool:
        """False where nothing of it has left, since the engine reads nothing: the link takes no more."""
        line = self.transport
        if not line.unsent:
            left = line.write(exchange.message)
            if not line.unsent or len(line.unsent) < len(exchange.message):
                self.in_flight.on_written(exchange, left)
                self._leaving, self._behind = exchange if line.unsent else None, 0
                if left:
                    exchange.listener.on_sent(exchange)
                return True
            line.unsent.clear()
        self.in_flight.finish(exchange)
        self.retire()
        return False

    def _is_leaving(self, exchange: InFlightRequest) -> bool:
        """Whether part of its message still waits to be written."""
        return exchange is self._leaving and len(self.transport.unsent) > self._behind

    def send(self, message: bytes) -> None:
        if self.in_flight.is_closed:
            # Danger: behind a request that was cut short it would be read as the rest of that. That the link
            # closes tells the engine.
            return
        if not self.transport.unsent:
            self._leaving, self._behind = None, 0
        else:
            self._behind += len(message)
            if self._behind > _MOST_BEHIND:
                self.pool.counters.add("links never read")
                self.close()
                return
        self.transport.write(message)

    def finish(self, exchange: InFlightRequest) -> None:
        """All that was to come has come."""
        self.in_flight.finish(exchange)
        self._forget(exchange)

    def abandon(self, exchange: InFlightRequest) -> bool:
        """What comes under this name from now on is dropped. True: the engine hears of it before the next."""
        leaving = self._is_leaving(exchange)
        told = self.in_flight.abandon(exchange)
        if leaving and not self.in_flight.is_closed:
            # Danger: its rest would leave once the engine reads again, and be run for nobody.
            self.close()
        elif told is not None:
            self.send(told)
        self._forget(exchange)
        return True

    def _forget(self, exchange: InFlightRequest) -> None:
        if self._leaving is exchange:
            self._leaving = None
        self._mind_idle()

    def cancel_unwritten(self) -> None:
        """What has not been written yet ends as never sent."""
        self.pool.for_each(self.in_flight.unwritten(), self._recall)

    def _recall(self, exchange: InFlightRequest) -> None:
        # Danger: what the end of another set off may have ended this one.
        if self.in_flight.holds(exchange):
            self._end_unsent(exchange)

    def _end_unsent(self, exchange: InFlightRequest) -> None:
        self.finish(exchange)
        exchange.listener.on_unsent(exchange)

    def _mind_idle(self) -> None:
        if not self.in_flight.open:
            self.idle_since = self.pool.now()
            if self.in_flight.is_retired:
                self.close()
            elif not self.in_flight.is_closed:
                self.pool.quota.idle[self] = None

    def retire(self) -> None:
        """Takes no new exchange; closed once the last one has ended."""
        self.in_flight.is_retired = True
        self._mind_idle()

    def close(self) -> None:
        self.in_flight.is_closed = True
        self.pool.quota.idle.pop(self, None)
        if self.transport is not None:
            self.transport.unsent.clear()  # none of it leaves before the connection has ended
        self.abort()

    # What its connection says.

    def on_connected(self, line: Transport) -> None:
        self.transport = line
        self.pool.for_each(self.in_flight.unwritten(), self._write_late)

    def _write_late(self, exchange: InFlightRequest) -> None:
        if not self.in_flight.holds(exchange):
            return
        if not self._may_leave(exchange):
            self._end_unsent(exchange)
        elif not self._write(exchange):
            self.pool.start(exchange)

    def _may_leave(self, exchange: InFlightRequest) -> bool:
        # Danger: a connection takes a while to come up, and a process may be stopped meanwhile. By then the
        # engine may drain, the client be gone, or the window for a repeat be over.
        return not self.is_outdated and exchange.listener.may_send(exchange)

    def seconds_left(self) -> float | None:
        """Seconds in which the rest of an answer is to come; None where none has begun."""
        return (
            max(0.0, (self.answer_deadline_us - self.pool.now()) / 1e6)
            if self._answers.has_partial_answer()
            else None
        )

    def on_received(self, data: bytes) -> None:
        """Hands on the answers in it; BrokenError where it can't be one."""
        self.in_flight.received_count += 1
        if not self._answers.has_partial_answer():
            self.answer_deadline_us = self.pool.now() + _HALF_WAY
        while answers := self._answers.feed(data):
            data, self.answer_deadline_us = b"", self.pool.now() + _HALF_WAY
            for answer in answers:
                self._answered(answer)

    def _answered(self, answer: codec.Answer) -> None:
        exchange = self.in_flight.open.get(answer.name)
        if exchange is not None and self._is_leaving(exchange):
            # Danger: taken for a refusal, it would be sent again, and its rest here be run as well.
            raise codec.EngineProtocolError("an answer to what has not been asked whole")
        if exchange is not None and not exchange.is_written:
            exchange = None
        if exchange is not None and answer.kind not in _OF_RESULTS:
            self.in_flight.on_rejected(exchange)
        if exchange is None or not exchange.listener.on_answer(exchange, answer):
            # A second copy, or an answer that comes after its time: no fault of what else is open.
            self.pool.counters.add("answers not awaited")

    def on_stalled(self) -> None:
        """The rest has not come in time."""
        raise codec.EngineProtocolError("it stopped within an answer")

    def on_end_of_stream(self) -> None:
        """The connection has ended; BrokenError where part of an answer had come."""
        if self._answers.has_partial_answer():
            raise codec.EngineProtocolError("it ended within an answer")

    def on_closed(self) -> None:
        """Nothing more comes of it."""
        self.in_flight.is_closed = True
        self.pool.quota.idle.pop(self, None)
        self.pool.on_removed(self)
        if self.is_out_of_descriptors:
            self.pool.quota.close_idle()
        self.pool.for_each(self.in_flight.on_connection_closed(self.transport is not None), self._end)

    def _end(self, ended: tuple[InFlightRequest, Disposition]) -> None:
        exchange, fate = ended
        if fate is Disposition.CONNECTION_LOST:
            exchange.listener.on_connection_lost(exchange, self.is_corrupt)
        elif self.is_outdated or self.is_out_of_descriptors:
            exchange.listener.on_unsent(exchange)
        elif fate is Disposition.UNREACHABLE:
            exchange.listener.on_unreachable(exchange)
        elif self._may_leave(exchange):
            self.pool.start(exchange)
        else:
            exchange.listener.on_unsent(exchange)
