"""Interfaces that the coordinator needs: store client, clock, timers, journal, and request contexts."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Any, Protocol

from cresstray.idempotency.codec import Command, Reply
from cresstray.policy.types import Request


class CommandClient(Protocol):
    """Submits commands to the store."""

    def submit(
        self, commands: Sequence[Command], deadline_us: int, on_done: Callable[[list[Reply] | None], None], /
    ) -> object:
        """Calls `on_done` once, by the deadline, after this method has returned.

        It gets None if no reply came; the commands may have run.
        """


class Clock(Protocol):
    """The gateway's clock."""

    def now(self) -> int:
        """Returns the time in microseconds."""


class Timers(Protocol):
    """Timers of the gateway."""

    def call_after(self, delay_us: int, callback: Callable[[int], None], /) -> object:
        """Calls `callback` after the delay, with the time of the call in microseconds."""


class ClaimJournal(Protocol):
    """Journal of claims on a local disk; see journal.JournalWriter."""

    last_error: str

    def append_claim(self, digest: bytes, fence: int, tenant: int) -> int | None:
        """Queues a claim; returns its entry id, or None if it is not accepted."""

    def append_settled(self, entry_id: int, /) -> None:
        """Queues the settlement of a claim: it needs no report any more."""

    def take_sync_result(self, entry_id: int, /) -> bool | None:
        """Returns whether the entry is on the disk, and forgets it; None while that is unknown."""


class RequestContext(Protocol):
    """The part of a request's context that is used here."""

    request: Request

    @property
    def query(self) -> Any:
        """The client's query; only its `idempotency_key` is used."""


class JournalSlot:
    """Holds the current journal, which is replaced once its file is open; None without a journal."""

    def __init__(self, journal: ClaimJournal | None) -> None:
        self.journal = journal
