"""What a gateway has beside where marks are kept in a store: a part of the passage, the client, the journal.

Loaded only where the operator's file names a store.
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
from cresstray.config.idempotency import Store
from cresstray.idempotency.client import Client
from cresstray.idempotency.coordinator import Marks
from cresstray.idempotency.execution_guard import Abandon, Answer, Decision, Deny
from cresstray.idempotency.journal import BusyError, Journal, Scribe, UnusableError
from cresstray.observability.counters import Counters
from cresstray.observability.log import Log
from cresstray.pipeline.accounting import RequestAccounting
from cresstray.pipeline.request_context import RequestContext
from cresstray.policy.controller import PolicyController
from cresstray.policy.ports import ChainedRules
from cresstray.policy.types import Attempt, Engine, Outcome, Request

# Microseconds: while outcomes wait to be written, and while there is nothing but the store to be looked at.
_BUSY, _QUIET = 20_000, 500_000
# The one before this process lets go of the journal within some seconds; a lock is one system call.
_LOCKED = 1.0


class Shut:
    """A journal that can't be written yet, or at all: nothing goes out on the strength of it."""

    def __init__(self, trouble: str) -> None:
        self.trouble = trouble

    def intend(self, digest: bytes, fence: int, tenant: int) -> int | None:
        return None

    def settle(self, number: int) -> None:
        pass

    def synced(self, number: int) -> bool | None:
        return False


class IdempotencyChecks:
    """Beside the stages: who is asked for at the store before the module hears of it, and what came of it."""

    def __init__(
        self,
        given: Store,
        settings: Mapping[str, Any],
        name: str,
        seed: int,
        clock: Clock,
        timers: Timers,
        counters: Counters,
        log: Log,
        gateway: PolicyController,
        book: RequestAccounting,
        worker: Worker,
    ) -> None:
        self._given, self._clock, self._book, self._log, self._worker = given, clock, book, log, worker
        self._scribe: Scribe | None = None
        self._waiting: set[Request] = set()  # the module has not heard of these yet
        # Seeds are new with each start; the clock parts two starts that an operator gave the same one.
        life = f"{seed & 0xFFFFFFFF:08x}{clock.now():014x}"
        chance = random.Random(f"{seed}{clock.now()}").random
        self._client = Client(given, chance, clock, timers, counters, log)
        desk = Shut("") if given.journal else None
        self.records = Marks(
            self._client,
            given.lines(),
            settings,
            gateway.request_classes,
            name,
            life,
            chance,
            clock,
            timers,
            counters,
            desk,
            lambda text: log.log("marks", text),
        )
        worker.does("store links", Priority.SERVICE, Client.EVERY, self._client.look)
        self._writing = worker.does("marks", Priority.STATE, 0, self._step, last=self._ends)
        worker.wake(self._writing)
        gateway.admission_rules = _Guard(self.records, gateway, clock.now)

    def start(self, tasks: TaskGroup) -> None:
        tasks.start_soon(self._client.run)
        if self._given.journal:
            tasks.start_soon(self._open, self._given.journal)

    async def _open(self, path: str) -> None:
        """In a thread: a disk that hangs holds up nobody, and until then nothing goes out unguarded."""
        while True:
            journal = Journal(path)
            try:
                entries = await anyio.to_thread.run_sync(journal.open, abandon_on_cancel=True)
            except BusyError as trouble:
                self.records.writes_to(Shut(str(trouble)))
                await anyio.sleep(_LOCKED)
                continue
            except (UnusableError, OSError) as trouble:
                self.records.writes_to(Shut(str(trouble)))
                return
            for line in journal.told:
                self._log.log("marks", line)
            self._scribe = Scribe(journal)
            self.records.writes_to(self._scribe)
            self.records.recover(entries, self._clock.now())
            return

    # Behind submissions.

    def _step(self, now: int) -> None:
        self._worker.later(self._writing, _BUSY if self.records.step(now) else _QUIET)

    def _ends(self, now: int) -> JobResult:
        """Before this process goes: what the store and the disk take of it within the time there is."""
        if self.records.last(now):
            return JobResult.MORE
        if self._scribe is None:
            return JobResult.DONE
        self._scribe.stop()
        return JobResult.DONE if self._scribe.join(0) else JobResult.MORE

    # What the stages call.

    def holds_back(self, context: RequestContext, now: int, onward: Callable[[int], None]) -> bool:
        """Whether it is to be asked for; `onward` is called once it may be relayed, if it may."""
        request = context.request
        self._waiting.add(request)
        asked = self.records.ask(context, now, partial(self._told, request, onward))
        if not asked:
            self._waiting.discard(request)
        return asked

    def on_client_left(self, request: Request) -> bool:
        """Its client has left, before the module has heard of it."""
        if request not in self._waiting:
            return False
        self._waiting.discard(request)
        request.is_finished = True
        return True

    def _told(self, request: Request, onward: Callable[[int], None], decision: Decision) -> None:
        if request not in self._waiting:
            return  # its client has left
        self._waiting.discard(request)
        if isinstance(decision, Deny | Abandon | Answer):
            request.is_finished = True
        if isinstance(decision, Deny):
            self._book.reject(request, decision.come_back)
        elif isinstance(decision, Abandon):
            self._book.fail(request)
        elif isinstance(decision, Answer):
            self._book.succeed(request, decision.result)
        else:
            onward(self._clock.now())

    def may_send(self, request: Request) -> bool:
        # Danger: a process that was stopped in the middle of a turn still holds the time from before.
        return self.records.may_send(request, self._clock.now())

    def latest_send_us(self, request: Request) -> int | None:
        """When nothing of it may leave any more; None: no mark sets a time."""
        now = self._clock.now()
        left = self.records.left(request, now)
        return None if left is None else now + left

    def on_attempt_sent(self, request: Request) -> None:
        self.records.sent(request, self._clock.now())

    def on_attempt_finished(self, attempt: Attempt, ending: Outcome, now: int) -> None:
        self.records.relay_ended(attempt.request, ending, now)

    def on_request_finished(self, request: Request, how: str, result: bytes | None = None) -> None:
        """Its final answer is out, or its client has left."""
        self.records.ended(request, how, result, self._clock.now())
        if len(self.records.behind):
            self._worker.later(self._writing, _BUSY)


class _Guard(ChainedRules):
    """Nothing is sent, or crosses to another hall, for longer than its mark is ours."""

    def __init__(self, marks: Marks, gateway: PolicyController, now: Callable[[], int]) -> None:
        super().__init__(gateway)
        self._marks, self._now = marks, now

    def allows(self, request: Request, engine: Engine, now: int) -> bool:
        left = self._marks.left(request, self._now())
        # Danger: another hall relays it until its hard stop, and knows nothing of our intention's end.
        if left is not None and left < (request.deadline_us - now if engine.forwarding is not None else 1):
            return False
        return super().allows(request, engine, now)
