"""What the stages hand each other: a submission with all that the module need not know of it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from cresstray.policy.types import Ending, Submission


class Query(Protocol):
    """What was asked, whatever protocol it came by. Times in milliseconds."""

    name: str
    tariff: str
    tenant: str
    patience: float
    mark: str
    estimate: float
    megabytes: float
    statement: bytes


class Asker(Protocol):
    """Who asked. Each submission gets one answer at most; `open` holds those that are owed one."""

    open: dict[int, object]

    def fulfil(self, number: int, result: bytes, at: str | None = None) -> None: ...
    def deny(self, number: int, come_back: int) -> None: ...
    def abandon(self, number: int) -> None: ...
    def reject(self, number: int | None, text: str) -> None: ...
    def has_left(self) -> bool:
        """Whether it has gone, even if that was not read yet; may cost a system call."""

    # Of an asker in another hall only: its submissions are foreign.
    def sent(self, number: int) -> None: ...
    def relay_ended(self, number: int, ending: Ending) -> None: ...


@dataclass(slots=True, eq=False)
class Errand:
    """One submission on its way."""

    asker: Asker
    number: int
    query: Query
    submission: Submission
    answered: bool = False  # or no longer owed an answer
    result: bytes | None = None
