"""The message by which an engine is asked to run an attempt."""

from __future__ import annotations

from cresstray.engines import codec
from cresstray.pipeline.request_context import Query

_MICROSECONDS_PER_MILLISECOND = 1_000


def encode_attempt(query: Query, timeout_us: int) -> bytes:
    """Returns the message for a query whose answer is awaited for `timeout_us` from now."""
    timeout_ms = max(1, timeout_us // _MICROSECONDS_PER_MILLISECOND)
    return codec.encode_request(
        query.name.encode(), query.class_name, timeout_ms, query.idempotency_key, query.statement
    )
