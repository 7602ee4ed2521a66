"""What the coordinator needs from outside: the store's client, clock, timers, journal and requests."""

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
        """Calls `on_done` once, by the deadline, never within this; with None: no reply, it may have run."""


class Clock(Protocol):
    """The gateway's clock."""

    def now(self) -> int:
        """Returns microseconds."""


class Timers(Protocol):
    """Calls at a later time."""

    def call_after(self, delay_us: int, callback: Callable[[int], None], /) -> object:
        """Calls with the time of the call, in microseconds."""


class ClaimJournal(Protocol):
    """Claims on a local disk; see journal.JournalWriter."""

    last_error: str

    def append_claim(self, digest: bytes, fence: int, tenant: int) -> int | None:
        """Returns the entry's id; None if it cannot be taken."""

    def append_settled(self, entry_id: int, /) -> None:
        """The claim with this id needs no report any more."""

    def take_sync_result(self, entry_id: int, /) -> bool | None:
        """Returns once whether the entry is on the disk; None while that is unknown."""


class RequestContext(Protocol):
    """What is used of a request's context."""

    request: Request

    @property
    def query(self) -> Any:
        """The client's query; `idempotency_key` is used."""


class JournalSlot:
    """The journal that is in use now: None where there is none, replaced once the file is open."""

    def __init__(self, journal: ClaimJournal | None) -> None:
        self.journal = journal
