"""Idempotency checks of requests: called by the stages where idempotency records are kept in a store.

Connects the store client, the journal and the coordinator of the records to the pipeline. Imported only if
the operator's configuration file names a store.
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

# Interval of the background step while outcomes wait to be written to the store, and while none does.
_BUSY_INTERVAL_US = 20_000
_IDLE_INTERVAL_US = 500_000
# The preceding process releases the journal within a few seconds; an attempt to lock it is one system call.
_JOURNAL_RETRY_SECONDS = 1.0


class UnavailableJournal:
    """Stands in for a journal that cannot be written yet, or at all: no attempt that needs it is sent."""

    def __init__(self, reason: str) -> None:
        self.last_error = reason

    def append_claim(self, digest: bytes, fence: int, tenant: int) -> int | None:
        """Accepts no claim."""
        return None

    def append_settled(self, entry_id: int) -> None:
        """Does nothing: no claim was accepted."""

    def take_sync_result(self, entry_id: int) -> bool | None:
        """Returns False: no entry reaches the disk."""
        return False


class IdempotencyChecks:
    """Asks the store about a request before the policy gets it, and records how the request ended.

    Guarantees that the policy never gets a request that the store has already decided, and that no attempt of
    a request is sent after its record has expired.
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
        self._undecided: set[Request] = set()  # waiting for the store; the policy has not got them yet
        next_random = random.Random(f"{seed}{clock.now()}").random
        self._client = StoreClient(config, next_random, clock, timers, counters, log)
        self.records = IdempotencyCoordinator(
            self._client,
            config.to_coordinator_settings(),
            settings,
            controller.request_classes,
            name,
            _incarnation(seed, clock.now()),
            next_random,
            clock,
            timers,
            counters,
            UnavailableJournal("") if config.journal_path else None,
            self._print,
        )
        self._add_jobs(worker)
        controller.admission_rules = _RecordValidityRules(self.records, controller, clock.now)

    def _add_jobs(self, worker: Worker) -> None:
        worker.add_job(
            "store connections",
            Priority.SERVICE,
            StoreClient.CHECK_INTERVAL_US,
            self._client.check_connections,
        )
        self._write_job = worker.add_job(
            "idempotency records", Priority.STATE, 0, self._run_background_step, final=self._run_shutdown_step
        )
        worker.wake(self._write_job)

    def _print(self, text: str) -> None:
        self._log.log("idempotency", text)

    def start(self, tasks: TaskGroup) -> None:
        """Starts the connections to the store, and opens the journal if one is configured."""
        tasks.start_soon(self._client.run)
        if self._config.journal_path:
            tasks.start_soon(self._open_journal, self._config.journal_path)

    async def _open_journal(self, path: str) -> None:
        """Opens the journal in a thread: a disk that hangs delays only the requests that need the journal."""
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

    def _run_background_step(self, now_us: int) -> None:
        is_busy = self.records.run_background_step(now_us)
        self._worker.wake_after(self._write_job, _BUSY_INTERVAL_US if is_busy else _IDLE_INTERVAL_US)

    def _run_shutdown_step(self, now_us: int) -> JobResult:
        """Writes, before the process ends, as much as the store and the disk accept in the remaining time."""
        if self.records.run_shutdown_step(now_us):
            return JobResult.MORE
        if self._journal_writer is None:
            return JobResult.DONE
        self._journal_writer.stop()
        return JobResult.DONE if self._journal_writer.join(0) else JobResult.MORE

    # Called by the admission.

    def defer(self, context: RequestContext, now_us: int, accept: Callable[[int], None]) -> bool:
        """Asks the store about the request; returns whether the request waits for the store's decision.

        `accept` is called with the time once the store lets the request pass, if it does.
        """
        request = context.request
        self._undecided.add(request)
        is_deferred = self.records.check(context, now_us, partial(self._on_decision, request, accept))
        if not is_deferred:
            self._undecided.discard(request)
        return is_deferred

    def on_client_left(self, request: Request) -> bool:
        """Ends a request whose client left before the policy got it; returns whether it did."""
        if request not in self._undecided:
            return False
        self._undecided.discard(request)
        request.is_finished = True
        return True

    def _on_decision(self, request: Request, accept: Callable[[int], None], decision: Decision) -> None:
        if request not in self._undecided:
            return  # the client has left
        self._undecided.discard(request)
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

    def reject_undecided(self) -> None:
        """Rejects all requests that still wait for the store; nothing was sent for them."""
        for request in list(self._undecided):
            self._undecided.discard(request)
            request.is_finished = True
            self._accounting.reject(request, 0)

    # Called by the later stages, as IdempotencyHooks describes.

    def on_deadlines_limited(self) -> None:
        """The deadlines of open requests were moved forward, as the process is shutting down."""
        self.records.on_deadlines_limited(self._clock.now())

    def may_send(self, request: Request) -> bool:
        """Whether an attempt may be sent now."""
        # Reads the clock again: if the process was stopped during this turn of the event loop, the time that
        # was read at the start of the turn is outdated.
        return self.records.may_dispatch(request, self._clock.now())

    def latest_send_us(self, request: Request) -> int | None:
        """Returns the time from which on no attempt may be sent; None if no record limits it."""
        now_us = self._clock.now()
        remaining_us = self.records.remaining_us(request, now_us)
        return None if remaining_us is None else now_us + remaining_us

    def on_attempt_sent(self, request: Request) -> None:
        """An attempt was handed to a connection."""
        self.records.on_attempt_sent(request, self._clock.now())

    def on_attempt_finished(self, attempt: Attempt, outcome: Outcome, now_us: int) -> None:
        """An attempt has its outcome; called before the request is answered."""
        self.records.on_attempt_finished(attempt.request, outcome, now_us)

    def on_request_finished(self, request: Request, final_state: str, result: bytes | None = None) -> None:
        """The request was answered, or its client has left."""
        self.records.on_request_finished(request, final_state, result, self._clock.now())
        if len(self.records.write_behind):
            self._worker.wake_after(self._write_job, _BUSY_INTERVAL_US)


def _incarnation(seed: int, now_us: int) -> str:
    """Returns the name of this run; the time distinguishes two starts with the same configured seed."""
    return f"{seed & 0xFFFFFFFF:08x}{now_us:014x}"


class _RecordValidityRules(ChainedAdmissionRules):
    """Allows a request to be sent, or forwarded to another site, only while this gateway owns its record."""

    def __init__(
        self, records: IdempotencyCoordinator, controller: PolicyController, get_time_us: Callable[[], int]
    ) -> None:
        super().__init__(controller)
        self._records = records
        self._get_time_us = get_time_us

    def allows(self, request: Request, engine: Engine, now_us: int) -> bool:
        """Whether the record is valid for long enough to send the request to this engine."""
        remaining_us = self._records.remaining_us(request, self._get_time_us())
        # Another site sends attempts until the request's deadline and does not know when the record expires.
        is_forwarding = engine.forwarding is not None
        needed_us = request.deadline_us - now_us if is_forwarding else 1
        if remaining_us is not None and remaining_us < needed_us:
            return False
        return super().allows(request, engine, now_us)
