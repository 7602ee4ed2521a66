"""Writes reports from the write-behind queue to the store, with a limit on writes in flight."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from cresstray.idempotency import codec, records
from cresstray.idempotency.codec import Reply
from cresstray.idempotency.ports import JournalSlot
from cresstray.idempotency.records import EventKind, IdempotencyRecord
from cresstray.idempotency.store_session import BACKGROUND_TIMEOUT_US, StoreSession
from cresstray.idempotency.write_behind import PendingWrite, WriteBehindQueue
from cresstray.observability.counters import Counters

# Writes in flight at once.
_MAX_WRITES = 32
# Limits consecutive attempts, as a record that all gateways write could otherwise be retried without end.
MAX_WRITE_ATTEMPTS = 4

# Called with the value written when a DISPATCHED report is in the store.
OnDispatchWritten = Callable[[PendingWrite, bytes], None]


class RecordWriter:
    """Takes reports from the queue and applies them to the records by compare-and-set."""

    def __init__(
        self,
        queue: WriteBehindQueue,
        session: StoreSession,
        retention_ms: int,
        journal_slot: JournalSlot,
        on_dispatch_written: OnDispatchWritten,
        counters: Counters,
    ) -> None:
        self._queue = queue
        self._session = session
        self._retention_ms = retention_ms
        self._journal_slot = journal_slot
        self._on_dispatch_written = on_dispatch_written
        self._counters = counters
        self.writes_in_flight = 0
        self._failed: list[PendingWrite] = []

    def is_busy(self) -> bool:
        """Returns whether any report waits to be written or is being written."""
        return len(self._queue) > 0 or self.writes_in_flight > 0 or bool(self._failed)

    def return_failed(self) -> None:
        """Returns reports whose write failed to the queue."""
        if self._failed:
            failed = self._failed
            self._failed = []
            self._queue.requeue(failed)

    def start_writes(self, now_us: int) -> None:
        """Starts writing the reports that are due, within the limit of writes in flight."""
        if self._session.health.is_open or self.writes_in_flight >= _MAX_WRITES:
            return
        for write in self._queue.take_due(_MAX_WRITES - self.writes_in_flight, now_us):
            self.writes_in_flight += 1
            expected = records.decode_record(write.expected_value)
            self._write(write, write.expected_value, expected, MAX_WRITE_ATTEMPTS, now_us)

    def _write(
        self,
        write: PendingWrite,
        stored_value: bytes,
        record: IdempotencyRecord | None,
        attempts_left: int,
        now_us: int,
    ) -> None:
        updated = records.apply_event(record, write.event, self._session.store_clock.lower_bound_ms(now_us))
        key = self._session.record_key(write.digest)
        deadline_us = now_us + BACKGROUND_TIMEOUT_US
        if updated is None:
            if record is None and stored_value == write.expected_value:
                # The report changes nothing if there is no record, but the record has not been read yet.
                on_read = partial(self._on_read, write, attempts_left)
                self._session.submit([codec.get_value(key), codec.get_time()], deadline_us, on_read, now_us)
            else:
                self._finish(write)
            return
        if not attempts_left:
            self._retry_later(write)
            return
        value = records.encode_record(updated)
        lifetime_ms = records.retention_ms(updated, self._retention_ms)
        command = codec.compare_and_set(key, stored_value, value, lifetime_ms)
        on_written = partial(self._on_written, write, attempts_left, value)
        self._session.submit([command], deadline_us, on_written, now_us)

    def _on_read(
        self,
        write: PendingWrite,
        attempts_left: int,
        replies: list[Reply] | None,
        started_us: int,
        now_us: int,
    ) -> None:
        if replies is None:
            self._retry_later(write)
            return
        value, time_reply = replies
        self._session.store_clock.on_reading(codec.parse_time_ms(time_reply), started_us, now_us)
        record = records.decode_record(value)
        if record is None:
            self._finish(write)  # there is no record, and the report creates none
        else:
            self._write(write, value, record, attempts_left - 1, now_us)

    def _on_written(
        self,
        write: PendingWrite,
        attempts_left: int,
        value: bytes,
        replies: list[Reply] | None,
        started_us: int,
        now_us: int,
    ) -> None:
        if replies is None:
            self._retry_later(write)
            return
        result = codec.parse_compare_and_set(replies[0])
        self._session.store_clock.on_reading(result.store_now_ms, started_us, now_us)
        if result.is_applied or result.current_value == value:
            self._counters.add("idempotency: records written")
            self._finish(write, value)
            return
        if result.current_value is None:
            if write.expected_value:
                self._counters.add("idempotency: records lost by the store")
            if records.apply_event(None, write.event, result.store_now_ms) is None:
                self._finish(write)
                return
        current = records.decode_record(result.current_value)
        self._write(write, result.current_value or b"", current, attempts_left - 1, now_us)

    def _retry_later(self, write: PendingWrite) -> None:
        # Whether the report was written is unknown, and the record may have changed; the write is retried in
        # the next step.
        self.writes_in_flight -= 1
        self._failed.append(write)

    def _finish(self, write: PendingWrite, value: bytes | None = None) -> None:
        self.writes_in_flight -= 1
        journal = self._journal_slot.journal
        if journal is not None:
            for entry_id in write.journal_ids:
                journal.append_settled(entry_id)
        if write.event.kind is EventKind.DISPATCHED and value is not None:
            self._on_dispatch_written(write, value)
