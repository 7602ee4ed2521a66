"""Monitors the store independently of requests: probes, readings of its clock, and log lines on changes."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from cresstray.idempotency import codec
from cresstray.idempotency.codec import Reply
from cresstray.idempotency.ports import Clock, JournalSlot
from cresstray.idempotency.record_writer import MAX_WRITE_ATTEMPTS
from cresstray.idempotency.store_session import BACKGROUND_TIMEOUT_US, StoreSession, has_errors
from cresstray.idempotency.write_behind import WriteBehindQueue
from cresstray.observability.counters import Counters

# Interval of clock readings, so that a regression is noticed while this gateway sends no other commands. For
# hundreds of gateways this amounts to about a hundred small commands a second.
_CLOCK_READ_INTERVAL_US = 3_000_000


class StoreMonitor:
    """Probes the store while the breaker is open, reads its clock, and logs changes."""

    def __init__(
        self,
        session: StoreSession,
        namespace: str,
        retention_ms: int,
        write_behind: WriteBehindQueue,
        journal_slot: JournalSlot,
        clock: Clock,
        counters: Counters,
        log: Callable[[str], None],
    ) -> None:
        """Creates a monitor; `log` takes lines for operators."""
        self._session = session
        # Key of the published regression, not of a record. Its value is the store time in ms from which on
        # the age of records is known.
        self._regression_key = f"{namespace}:clock1".encode()
        self._retention_ms = retention_ms
        self._write_behind = write_behind
        self._journal_slot = journal_slot
        self._clock = clock
        self._counters = counters
        self._log = log
        self._last_clock_read_us = 0
        self._published_cutoff_ms = 0
        self.is_publishing = False
        # State as last logged.
        self._logged_is_open = True
        self._logged_regressions = 0
        self._logged_drop_count = 0
        self._logged_journal_error = ""

    def start_probe(self, now_us: int) -> None:
        """Starts a probe or a reading of the store's clock if one is due."""
        health = self._session.health
        round_trip_id = health.start_probe(now_us)
        is_clock_read_due = now_us - self._last_clock_read_us >= _CLOCK_READ_INTERVAL_US
        if round_trip_id is None and not health.is_open and is_clock_read_due:
            round_trip_id = health.on_round_trip_started(now_us)
        if round_trip_id is not None:
            self._last_clock_read_us = now_us
            commands = [codec.get_time(), codec.get_value(self._regression_key)]
            self._session.submit_probe(commands, partial(self._on_probe_reply, round_trip_id, now_us), now_us)

    def _on_probe_reply(self, round_trip_id: int, started_us: int, replies: list[Reply] | None) -> None:
        now_us = self._clock.now()
        has_succeeded = replies is not None and not has_errors(replies)
        if replies is not None and has_succeeded:
            time_reply, regression_value = replies
            store_clock = self._session.store_clock
            store_clock.on_reading(codec.parse_time_ms(time_reply), started_us, now_us)
            store_clock.on_published_regression(regression_value)
        self._session.health.on_round_trip_finished(round_trip_id, has_succeeded, now_us)

    def publish_regression(self, now_us: int) -> None:
        """Publishes the last clock regression in the store, for gateways that start later."""
        has_unpublished = self._published_cutoff_ms < self._session.store_clock.age_unknown_before_ms
        if has_unpublished and not self.is_publishing and not self._session.health.is_open:
            self.is_publishing = True
            self._publish(b"", MAX_WRITE_ATTEMPTS, now_us)

    def _publish(self, stored_value: bytes, attempts_left: int, now_us: int) -> None:
        cutoff_ms = self._session.store_clock.age_unknown_before_ms
        command = codec.compare_and_set(
            self._regression_key, stored_value, b"%d" % cutoff_ms, self._retention_ms
        )
        on_published = partial(self._on_published, cutoff_ms, attempts_left)
        self._session.submit([command], now_us + BACKGROUND_TIMEOUT_US, on_published, now_us)

    def _on_published(
        self,
        cutoff_ms: int,
        attempts_left: int,
        replies: list[Reply] | None,
        _started_us: int,
        now_us: int,
    ) -> None:
        if replies is not None:
            result = codec.parse_compare_and_set(replies[0])
            if not result.is_applied:
                store_clock = self._session.store_clock
                store_clock.on_published_regression(result.current_value)
                is_newest = store_clock.age_unknown_before_ms <= cutoff_ms
                is_present = result.current_value == b"%d" % cutoff_ms
                if is_newest and not is_present and attempts_left > 1:
                    self._publish(result.current_value or b"", attempts_left - 1, now_us)
                    return
            self._published_cutoff_ms = cutoff_ms
        self.is_publishing = False

    def log_changes(self) -> None:
        """Logs and counts changes since the last call."""
        self._log_breaker()
        regressions = self._session.store_clock.regressions
        if regressions > self._logged_regressions:
            self._counters.add(
                "idempotency: clock of the store went back", regressions - self._logged_regressions
            )
            self._logged_regressions = regressions
            self._log("the store's clock went backwards; the age of older records is unknown now")
        dropped_count = self._write_behind.dropped_count
        if dropped_count > self._logged_drop_count:
            self._counters.add("idempotency: reports dropped", dropped_count - self._logged_drop_count)
            self._logged_drop_count = dropped_count
        self._log_journal()

    def _log_breaker(self) -> None:
        is_open = self._session.health.is_open
        if is_open == self._logged_is_open:
            return
        self._logged_is_open = is_open
        if is_open:
            self._counters.add("idempotency: breaker opened")
            self._log("the store is unavailable or slow; requests do not use it until probes succeed")
        else:
            self._counters.add("idempotency: breaker closed")
            self._log(f"the store is available again; {len(self._write_behind)} reports wait to be written")

    def _log_journal(self) -> None:
        journal = self._journal_slot.journal
        if journal is None or journal.last_error == self._logged_journal_error:
            return
        self._logged_journal_error = journal.last_error
        if journal.last_error:
            self._log(f"the journal can't be written: {journal.last_error}")
        else:
            self._log("the journal can be written again")
