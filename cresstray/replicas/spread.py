"""Exchanges replica positions with peers.

Each message acknowledges the last one received, so that the age of its contents is bounded by the receiver's
own clock.
"""

from __future__ import annotations

from collections.abc import Callable, Container, Iterable, Mapping
from typing import Annotated

import msgspec

from cresstray.replicas.position_polling import PollSchedule
from cresstray.replicas.positions import PositionTable, ShardPlacement, ShardPositions, SyncCursor
from cresstray.transport.framing import FramingError

# Shards that a gateway requests: those of its recent hinted reads.
MAX_WANTED_SHARDS = 32
_MAX_SHARDS_PER_MESSAGE = 256
_Name = Annotated[str, msgspec.Meta(max_length=64)]
_WantedIndex = Annotated[int, msgspec.Meta(ge=0, lt=MAX_WANTED_SHARDS)]
_MaxAgeMs = Annotated[int, msgspec.Meta(ge=0, le=2**20)]
# Messages whose send time is remembered; positions that acknowledge earlier ones are dropped. The leader may
# send one each few milliseconds, over a link with a round trip of half a second.
_MAX_SEND_TIMES = 256
# Positions of a shard that a read waits for are sent at once for this long, which is longer than reads wait.
_WAIT_US = 100_000
# Minimum interval of these messages, so that the replies of a shard's engines mostly share one message.
_MIN_URGENT_INTERVAL_US = 3_000


class PositionMessage(msgspec.Struct, array_like=True, frozen=True):
    """The body of a frame with replica positions.

    Attributes:
        number: The number of this message on the link.
        echo: The number of the last message received from the addressee; 0: none.
        positions: Positions of shards.
        wanted_shards: Shards that the sender requests from now on; None: all, as control-plane nodes do.
        max_ages: Shards, by index in `wanted_shards` or by name, and the maximum age of their positions in
            milliseconds; 0: a read waits.
    """

    number: Annotated[int, msgspec.Meta(ge=1, le=2**53)]
    echo: Annotated[int, msgspec.Meta(ge=0, le=2**53)]
    positions: Annotated[tuple[ShardPositions, ...], msgspec.Meta(max_length=_MAX_SHARDS_PER_MESSAGE)]
    wanted_shards: Annotated[tuple[_Name, ...], msgspec.Meta(max_length=MAX_WANTED_SHARDS)] | None = None
    max_ages: Annotated[
        tuple[tuple[_WantedIndex | _Name, _MaxAgeMs], ...], msgspec.Meta(max_length=MAX_WANTED_SHARDS)
    ] = ()


class PositionPeer:
    """One peer on one link; created for each link, so that no message of an earlier link is acknowledged.

    Attributes:
        requests: Shards and maximum ages in microseconds that its last message requested.
        waits: Shards that its reads wait for: until when, and the table's version that it was last sent.
        urgent_sent_us: When an urgent message was last sent to it.
    """

    def __init__(self, table: PositionTable) -> None:
        self._table, self._cursor = table, SyncCursor()
        self._last_number = self._last_received = 0
        self._send_times_us: dict[int, int] = {}  # by message number
        self._wanted_shards: tuple[str, ...] | None = ()
        self.requests: list[tuple[str, int]] = []
        self.waits: dict[str, tuple[int, int]] = {}
        self.urgent_sent_us = 0

    def make_message(
        self,
        max_shards: int,
        wanted_shards: Iterable[str] | None,
        now_us: int,
        max_ages: Iterable[tuple[int, int]] = (),
    ) -> PositionMessage:
        """Returns the next message, with some of the changed shards that the peer wants.

        Args:
            max_shards: The maximum number of shards whose positions are sent.
            wanted_shards: The shards that this side wants from now on; None: all.
            now_us: The current time.
            max_ages: Indexes in `wanted_shards`, and the maximum ages of positions in milliseconds.
        """
        positions = []
        if self._last_received:
            positions = self._table.next_changes(
                now_us, min(max_shards, _MAX_SHARDS_PER_MESSAGE), self._cursor, self._wanted_shards
            )
            self._mark_sent(
                {shard_positions.shard for shard_positions in positions}
                if len(positions) >= max_shards
                else self.waits
            )
        wanted = None if wanted_shards is None else tuple(wanted_shards)[:MAX_WANTED_SHARDS]
        return self._build_message(now_us, positions, wanted, max_ages)

    @property
    def wants_all(self) -> bool:
        """Whether the peer wants all shards, as control-plane nodes do."""
        return self._wanted_shards is None

    def make_request(self, requests: Iterable[tuple[str, int]], now_us: int) -> PositionMessage:
        """Returns a message that only requests shards with maximum ages in microseconds."""
        return self._build_message(
            now_us, (), None, [(shard, -(-max_age_us // 1000)) for shard, max_age_us in requests]
        )

    def make_urgent_message(self, now_us: int) -> PositionMessage | None:
        """Returns new positions that the peer's reads wait for; None if there are none, or it is too soon."""
        self.waits = {shard: wait for shard, wait in self.waits.items() if now_us < wait[0]}
        if now_us - self.urgent_sent_us < _MIN_URGENT_INTERVAL_US or not self._last_received:
            return None
        positions = self._table.changes_since(
            {shard: version for shard, (_, version) in self.waits.items()}, now_us
        )
        if not positions:
            return None
        self.urgent_sent_us = now_us
        self._mark_sent({shard_positions.shard for shard_positions in positions})
        return self._build_message(now_us, positions[:_MAX_SHARDS_PER_MESSAGE], None, ())

    def _mark_sent(self, shards: Container[str]) -> None:
        self.waits = {
            shard: (until_us, self._table.version if shard in shards else version)
            for shard, (until_us, version) in self.waits.items()
        }

    def _build_message(
        self,
        now_us: int,
        positions: Iterable[ShardPositions],
        wanted_shards: tuple[str, ...] | None,
        max_ages: Iterable[tuple[int | str, int]],
    ) -> PositionMessage:
        self._last_number += 1
        self._send_times_us[self._last_number] = now_us
        if len(self._send_times_us) > _MAX_SEND_TIMES:
            del self._send_times_us[next(iter(self._send_times_us))]
        return PositionMessage(
            self._last_number,
            self._last_received,
            tuple(positions),
            wanted_shards,
            tuple(max_ages)[:MAX_WANTED_SHARDS],
        )

    def handle_message(self, message: PositionMessage, now_us: int) -> None:
        """Handles a received message.

        A message out of order is dropped, and positions that acknowledge an unknown message are ignored.
        """
        if message.number <= self._last_received:
            return
        self._last_received = message.number
        wanted = None if message.wanted_shards is None else message.wanted_shards[:MAX_WANTED_SHARDS]
        if self._wanted_shards is not None and (wanted is None or set(wanted) - set(self._wanted_shards)):
            self._cursor = SyncCursor()  # shards that it did not want before may never have been sent
        self._wanted_shards = wanted
        self.requests = [
            (shard, 1000 * max_age_ms)
            for key, max_age_ms in message.max_ages
            if (shard := _requested_shard(key, wanted)) is not None
        ]
        for shard, max_age_us in self.requests:
            if not max_age_us:
                self.waits[shard] = now_us + _WAIT_US, self.waits.get(shard, (0, 0))[1]
        sent_us = self._send_times_us.get(message.echo)
        if sent_us is not None:
            self._table.merge(message.positions, sent_us, now_us)
            for number in [number for number in self._send_times_us if number < message.echo]:
                del self._send_times_us[number]


def _requested_shard(key: int | str, wanted_shards: tuple[str, ...] | None) -> str | None:
    if isinstance(key, str):
        return key
    return wanted_shards[key] if wanted_shards is not None and key < len(wanted_shards) else None


class PositionRelay:
    """Requests the positions that peers of a control-plane node want, and sends them to those that wait.

    Peers are those of its present links; the caller ignores messages to a peer whose link has ended.
    """

    def __init__(self, table: PositionTable) -> None:
        self.table, self.poll_schedule = table, PollSchedule()
        self._waiting: dict[PositionPeer, None] = {}
        self._deferred_us: int | None = None  # when a message that was too soon after another is sent

    def handle_requests(self, peer: PositionPeer, is_leader: bool, now_us: int) -> None:
        """Handles the requests in a peer's last message; `is_leader`: whether this node leads."""
        # Otherwise two nodes that take each other for the leader would forward a request back and forth.
        if is_leader or not peer.wants_all:
            for shard, max_age_us in peer.requests:
                self.poll_schedule.request((shard,), now_us, max_age_us)
        peer.requests = []
        if peer.waits:
            self._waiting[peer] = None

    def record_reply(self, engine: str, sent_us: int) -> bool:
        """Records an engine's reply to a poll sent at `sent_us`; returns whether any peer waits."""
        self.poll_schedule.record_reply(engine, sent_us)
        return bool(self._waiting)

    def due_engines(self, placement: Mapping[str, ShardPlacement], now_us: int) -> list[str]:
        """Returns the engines that this node polls now, provided that it leads."""
        due_us = self.poll_schedule.next_due_us
        return (
            self.poll_schedule.due_engines(placement, now_us)
            if due_us is not None and now_us >= due_us
            else []
        )

    def urgent_messages(self, now_us: int) -> list[tuple[PositionPeer, PositionMessage]]:
        """Returns the messages to send at once, and their addressees."""
        messages, self._deferred_us = [], None
        for peer in list(self._waiting):
            message = peer.make_urgent_message(now_us)
            if message is not None:
                messages.append((peer, message))
            if not peer.waits:
                del self._waiting[peer]
            elif peer.urgent_sent_us + _MIN_URGENT_INTERVAL_US > now_us and self._deferred_us is None:
                self._deferred_us = now_us + _MIN_URGENT_INTERVAL_US
        return messages

    def next_due_us(self) -> int | None:
        """Returns when there is more to do if no message arrives before; None: nothing."""
        return min(
            (due_us for due_us in (self.poll_schedule.next_due_us, self._deferred_us) if due_us is not None),
            default=None,
        )


_decode_message = msgspec.msgpack.Decoder(PositionMessage).decode
encode_message = msgspec.msgpack.Encoder().encode


class LinkPositionExchange:
    """The exchange of positions on one link, as bodies of frames.

    Args:
        table: The positions of this process.
        max_shards: The maximum number of shards whose positions one message has.
        wanted_shards: Returns the shards that this side wants at a time; None: all, as control-plane nodes
            want.
        max_ages: Returns indexes of these shards, and the maximum ages of their positions in milliseconds.
    """

    def __init__(
        self,
        table: PositionTable,
        max_shards: int,
        wanted_shards: Callable[[int], tuple[str, ...]] | None = None,
        max_ages: Callable[[int], Iterable[tuple[int, int]]] | None = None,
    ) -> None:
        self.peer, self._max_shards, self._wanted_shards, self._max_ages = (
            PositionPeer(table),
            max_shards,
            wanted_shards,
            max_ages,
        )

    def next_message(self, now_us: int) -> bytes:
        """Returns the body of the next message to the peer."""
        wanted_shards = self._wanted_shards(now_us) if self._wanted_shards is not None else None
        max_ages = self._max_ages(now_us) if self._max_ages is not None else ()
        return encode_message(self.peer.make_message(self._max_shards, wanted_shards, now_us, max_ages))

    def on_message(self, body: bytes, now_us: int) -> None:
        """Handles the body of a message from the peer.

        Raises:
            FramingError: the body is malformed.
        """
        try:
            message = _decode_message(body)
        except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
            raise FramingError(f"malformed message of replica positions: {error}") from None
        self.peer.handle_message(message, now_us)
