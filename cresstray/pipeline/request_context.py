"""What the stages hand each other: a submission with all that the module need not know of it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from cresstray.policy.types import Outcome, Request


class Query(Protocol):
    """What was asked, whatever protocol it came by. Times in milliseconds."""

    name: str
    class_name: str
    tenant: str
    timeout_ms: float
    idempotency_key: str
    estimated_work_ms: float
    memory_mb: float
    statement: bytes


class Responder(Protocol):
    """Who asked. Each submission gets one answer at most; `open` holds those that are owed one."""

    open: dict[int, object]

    def succeed(self, number: int, result: bytes, at: str | None = None) -> None: ...
    def reject(self, number: int, come_back: int) -> None: ...
    def fail(self, number: int) -> None: ...
    def reject_malformed(self, number: int | None, text: str) -> None: ...
    def has_disconnected(self) -> bool:
        """Whether it has gone, even if that was not read yet; may cost a system call."""

    # Of an asker in another hall only: its submissions are foreign.
    def on_attempt_sent(self, number: int) -> None: ...
    def on_attempt_finished(self, number: int, ending: Outcome) -> None: ...


@dataclass(slots=True, eq=False)
class RequestContext:
    """One submission on its way."""

    responder: Responder
    number: int
    query: Query
    request: Request
    is_answered: bool = False  # or no longer owed an answer
    result: bytes | None = None
