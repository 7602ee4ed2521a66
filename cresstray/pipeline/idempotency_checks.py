"""Beside the stages: what a gateway has where idempotency records are kept in a store.

Joins the store's client, the journal and the coordinator of the records to the pipeline. Loaded only where
the operator's file names a store.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Mapping
from functools import partial
from typing import Any

import anyio
import anyio.to_thread
from anyio.abc import TaskGroup

from cresstray.background.schedule import JobResult, Priority
from cresstray.background.worker import Worker
from cresstray.clock import Clock, Timers
from cresstray.config.idempotency import StoreSettings
from cresstray.idempotency.client import StoreClient
from cresstray.idempotency.coordinator import IdempotencyCoordinator
from cresstray.idempotency.execution_guard import Decision, Fail, Reject, ReplayResult
from cresstray.idempotency.journal import Journal, JournalFormatError, JournalLockedError, JournalWriter
from cresstray.observability.counters import Counters
from cresstray.observability.log import Log
from cresstray.pipeline.accounting import RequestAccounting
from cresstray.pipeline.request_context import RequestContext
from cresstray.policy.controller import PolicyController
from cresstray.policy.ports import ChainedAdmissionRules
from cresstray.policy.types import Attempt, Engine, Outcome, Request

# How often records are looked at while outcomes wait to be written, and while none does.
_BUSY_INTERVAL_US = 20_000
_IDLE_INTERVAL_US = 500_000
# The preceding process releases the journal within some seconds; trying its lock is one system call.
_JOURNAL_RETRY_SECONDS = 1.0


class UnavailableJournal:
    """Stands for a journal that cannot be written yet, or at all: no attempt leaves that depends on it."""

    def __init__(self, reason: str) -> None:
        self.last_error = reason

    def append_claim(self, digest: bytes, fence: int, tenant: int) -> int | None:
        """Accepts no claim."""
        return None

    def append_settled(self, entry_id: int) -> None:
        """Has nothing to settle."""

    def take_sync_result(self, entry_id: int) -> bool | None:
        """Whether an entry is on disk: it never is."""
        return False


class IdempotencyChecks:
    """Asks the store about a request before the policy hears of it, and records how the request ended.

    Guarantees that the policy never hears of a request that the store has decided on, and that none of its
    attempts leaves after its record has expired.
    """

    def __init__(
        self,
        config: StoreSettings,
        settings: Mapping[str, Any],
        name: str,
        seed: int,
        clock: Clock,
        timers: Timers,
        counters: Counters,
        log: Log,
        controller: PolicyController,
        accounting: RequestAccounting,
        worker: Worker,
    ) -> None:
        self._config = config
        self._clock = clock
        self._accounting = accounting
        self._log = log
        self._worker = worker
        self._journal_writer: JournalWriter | None = None
        self._waiting: set[Request] = set()  # requests that the policy has not heard of yet
        chance = random.Random(f"{seed}{clock.now()}").random
        self._client = StoreClient(config, chance, clock, timers, counters, log)
        self.records = IdempotencyCoordinator(
            self._client,
            config.to_coordinator_settings(),
            settings,
            controller.request_classes,
            name,
            _incarnation(seed, clock.now()),
            chance,
            clock,
            timers,
            counters,
            UnavailableJournal("") if config.journal_path else None,
            self._print,
        )
        self._add_jobs(worker)
        controller.admission_rules = _RecordValidityRules(self.records, controller, clock.now)

    def _add_jobs(self, worker: Worker) -> None:
        worker.does(
            "store connections",
            Priority.SERVICE,
            StoreClient.CHECK_INTERVAL_US,
            self._client.check_connections,
        )
        self._write_job = worker.does(
            "idempotency records", Priority.STATE, 0, self._step, last=self._write_last
        )
        worker.wake(self._write_job)

    def _print(self, text: str) -> None:
        self._log.log("idempotency", text)

    def start(self, tasks: TaskGroup) -> None:
        """Starts the connections to the store, and opens the journal where there is one."""
        tasks.start_soon(self._client.run)
        if self._config.journal_path:
            tasks.start_soon(self._open_journal, self._config.journal_path)

    async def _open_journal(self, path: str) -> None:
        """Opens the journal in a thread: a disk that hangs delays nothing but what depends on it."""
        while True:
            journal = Journal(path)
            try:
                entries = await anyio.to_thread.run_sync(journal.open, abandon_on_cancel=True)
            except JournalLockedError as error:
                self.records.use_journal(UnavailableJournal(str(error)))
                await anyio.sleep(_JOURNAL_RETRY_SECONDS)
                continue
            except (JournalFormatError, OSError) as error:
                self.records.use_journal(UnavailableJournal(str(error)))
                return
            for line in journal.warnings:
                self._print(line)
            self._journal_writer = JournalWriter(journal)
            self.records.use_journal(self._journal_writer)
            self.records.recover(entries, self._clock.now())
            return

    # Background jobs.

    def _step(self, now: int) -> None:
        is_busy = self.records.run_background_step(now)
        self._worker.later(self._write_job, _BUSY_INTERVAL_US if is_busy else _IDLE_INTERVAL_US)

    def _write_last(self, now: int) -> JobResult:
        """Before the process ends: writes what the store and the disk take within the time that is left."""
        if self.records.run_shutdown_step(now):
            return JobResult.MORE
        if self._journal_writer is None:
            return JobResult.DONE
        self._journal_writer.stop()
        return JobResult.DONE if self._journal_writer.join(0) else JobResult.MORE

    # Called by the admission.

    def holds_back(self, context: RequestContext, now: int, accept: Callable[[int], None]) -> bool:
        """Whether the request waits for the store.

        `accept` is called with the time once the store lets it pass, if it does.
        """
        request = context.request
        self._waiting.add(request)
        is_asked = self.records.check(context, now, partial(self._on_decision, request, accept))
        if not is_asked:
            self._waiting.discard(request)
        return is_asked

    def on_client_left(self, request: Request) -> bool:
        """Whether the client has left before the policy has heard of the request; it ends here then."""
        if request not in self._waiting:
            return False
        self._waiting.discard(request)
        request.is_finished = True
        return True

    def _on_decision(self, request: Request, accept: Callable[[int], None], decision: Decision) -> None:
        if request not in self._waiting:
            return  # its client has left
        self._waiting.discard(request)
        if isinstance(decision, Reject | Fail | ReplayResult):
            request.is_finished = True
        if isinstance(decision, Reject):
            self._accounting.reject(request, decision.retry_after_us)
        elif isinstance(decision, Fail):
            self._accounting.fail(request)
        elif isinstance(decision, ReplayResult):
            self._accounting.succeed(request, decision.result)
        else:
            accept(self._clock.now())

    # Called by the later stages, as IdempotencyHooks describes.

    def may_send(self, request: Request) -> bool:
        """Whether an attempt may leave now."""
        # Read anew: a process that was stopped in the middle of a turn still holds the time from before.
        return self.records.may_dispatch(request, self._clock.now())

    def latest_send_us(self, request: Request) -> int | None:
        """From when on no attempt may leave any more; None where no record sets a time."""
        now = self._clock.now()
        remaining_us = self.records.remaining_us(request, now)
        return None if remaining_us is None else now + remaining_us

    def on_attempt_sent(self, request: Request) -> None:
        """An attempt was handed to a connection."""
        self.records.on_attempt_sent(request, self._clock.now())

    def on_attempt_finished(self, attempt: Attempt, outcome: Outcome, now: int) -> None:
        """An attempt has its outcome; called before the request is answered."""
        self.records.on_attempt_finished(attempt.request, outcome, now)

    def on_request_finished(self, request: Request, how: str, result: bytes | None = None) -> None:
        """The request was answered, or its client has left."""
        self.records.on_request_finished(request, how, result, self._clock.now())
        if len(self.records.write_behind):
            self._worker.later(self._write_job, _BUSY_INTERVAL_US)


def _incarnation(seed: int, now: int) -> str:
    """Returns the name of this run; the clock parts two starts that an operator gave the same seed."""
    return f"{seed & 0xFFFFFFFF:08x}{now:014x}"


class _RecordValidityRules(ChainedAdmissionRules):
    """Lets nothing be sent, or forwarded to another site, for longer than its record is this gateway's."""

    def __init__(
        self, records: IdempotencyCoordinator, controller: PolicyController, now: Callable[[], int]
    ) -> None:
        super().__init__(controller)
        self._records = records
        self._now = now

    def allows(self, request: Request, engine: Engine, now: int) -> bool:
        """Whether the record outlasts what would be sent to this engine."""
        remaining_us = self._records.remaining_us(request, self._now())
        # Another site sends attempts until the request's deadline and knows nothing of the end of our record.
        is_forwarding = engine.forwarding is not None
        needed_us = request.deadline_us - now if is_forwarding else 1
        if remaining_us is not None and remaining_us < needed_us:
            return False
        return super().allows(request, engine, now)
