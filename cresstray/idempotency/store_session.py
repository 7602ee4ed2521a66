"""Round trips to the store: counts them, reports them to the circuit breaker, and detects error replies."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from cresstray.idempotency import codec
from cresstray.idempotency.codec import Command, ErrorReply, Reply
from cresstray.idempotency.health import StoreClock, StoreHealth
from cresstray.idempotency.ports import Clock, CommandClient
from cresstray.observability.counters import Counters

# Called with the replies (None without a reply, or after an error reply), the start time and the present
# time.
OnReplies = Callable[[list[Reply] | None, int, int], None]
# Time limit of writes and probes, for which no request waits.
BACKGROUND_TIMEOUT_US = 2_000_000


class StoreSession:
    """Sends commands to the store for the parts of the coordinator."""

    def __init__(
        self,
        client: CommandClient,
        namespace: str,
        health: StoreHealth,
        store_clock: StoreClock,
        clock: Clock,
        counters: Counters,
    ) -> None:
        self._client = client
        self._namespace = namespace
        self.health = health
        self.store_clock = store_clock
        self._clock = clock
        self._counters = counters

    def record_key(self, digest: bytes) -> bytes:
        """Returns the store key of the record with this digest."""
        return codec.record_key(self._namespace, digest)

    def submit(self, commands: list[Command], deadline_us: int, on_replies: OnReplies, now_us: int) -> None:
        """Submits commands; calls `on_replies` once, by the deadline, after this method has returned."""
        round_trip_id = self.health.on_round_trip_started(now_us)
        self._counters.add("idempotency: round trips")
        self._client.submit(
            commands, deadline_us, partial(self._on_replies, round_trip_id, now_us, on_replies)
        )

    def _on_replies(
        self, round_trip_id: int, started_us: int, on_replies: OnReplies, replies: list[Reply] | None
    ) -> None:
        now_us = self._clock.now()
        is_refused = has_errors(replies)
        if is_refused:
            self._counters.add("idempotency: refused by the store")
        has_succeeded = replies is not None and not is_refused
        self.health.on_round_trip_finished(round_trip_id, has_succeeded, now_us)
        on_replies(None if is_refused else replies, started_us, now_us)

    def submit_probe(
        self,
        commands: list[Command],
        on_replies: Callable[[list[Reply] | None], None],
        now_us: int,
    ) -> None:
        """Submits commands whose round trip the caller reports to the circuit breaker itself."""
        self._client.submit(commands, now_us + BACKGROUND_TIMEOUT_US, on_replies)


def has_errors(replies: list[Reply] | None) -> bool:
    """Returns whether the store refused any of the commands."""
    return replies is not None and any(isinstance(reply, ErrorReply) for reply in replies)
