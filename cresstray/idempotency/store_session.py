"""Round trips to the store: each is counted, measured for the circuit breaker, and its errors told apart."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from cresstray.idempotency import codec
from cresstray.idempotency.codec import Command, ErrorReply, Reply
from cresstray.idempotency.health import StoreClock, StoreHealth
from cresstray.idempotency.ports import Clock, CommandClient
from cresstray.observability.counters import Counters

# Called with the replies (None: none came, or an error), when the round trip began, and the time now.
OnReplies = Callable[[list[Reply] | None, int, int], None]
# Time that a write or a probe has; no request waits for it.
BACKGROUND_TIMEOUT_US = 2_000_000


class StoreSession:
    """Asks the store on behalf of the parts of the coordinator."""

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
        """Returns the key of a record in the store."""
        return codec.record_key(self._namespace, digest)

    def submit(self, commands: list[Command], deadline_us: int, on_replies: OnReplies, now_us: int) -> None:
        """Calls `on_replies` once, by the deadline, never within this."""
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
        """Submits commands whose round trip the caller measures itself."""
        self._client.submit(commands, now_us + BACKGROUND_TIMEOUT_US, on_replies)


def has_errors(replies: list[Reply] | None) -> bool:
    """Returns whether the store refused any of the commands."""
    return replies is not None and any(isinstance(reply, ErrorReply) for reply in replies)
