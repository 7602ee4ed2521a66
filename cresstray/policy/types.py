"""What the decision module and an adapter share: the types, and the port that the module speaks through.

Nothing is decided here. Times are whole microseconds; objects point to each other, ids stay with the adapter.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Any, Protocol


class Ending(Enum):
    """How one relay ended."""

    FULFILLED = "fulfilled"
    ERROR = "error"
    FULL = "full"
    TIMED_OUT = "timed out"
    UNREACHABLE = "unreachable"
    RESET = "reset"
    SPOILT = "spoilt"  # the engine has answered, and the answer or others on its link can't be used
    WITHDRAWN = "withdrawn"
    MOOT = "moot"


class Standing(Enum):
    """What the list of engines says of one engine."""

    GONE = "gone"
    READY = "ready"
    DRAINING = "draining"


class Topic(Enum):
    """What a note about an outstanding relay tells."""

    SHARE_DONE = "share done"
    SPILLS = "spills"
    WAITS = "waits"


@dataclass(slots=True, eq=False)
class Tariff:
    """What all submissions of one kind have in common."""

    index: int
    threads: int
    soft_limit: int
    soft_stretch: float
    payoff: float
    late_payoff: float
    idempotent: bool
    deduplicated: bool
    group: str
    memory: int  # how long engines discard repeats
    ordered: bool
    zones: frozenset[int] | None
    machines: frozenset[int] | None
    load: bool = False  # holds its data set on its engine while it runs
    waits: bool = False  # stands still where a load holds its data set
    usual: Any = None  # the decision module's own reckoning


@dataclass(slots=True, eq=False)
class Engine:
    """One query engine, as the list of engines last described it."""

    machine: int = 0
    zone: int = 0
    cell: int = 0
    started: int = 0  # 0: long ago
    standing: Standing = Standing.GONE
    limiter: Any = None  # the decision module's own reckoning
    far: Far | None = None  # of a gateway in another hall: the way to it


class Far(Protocol):
    """What decides whether a submission goes to another hall; `near_load` as halls/decide.py has it."""

    def takes(self, submission: Submission, near_load: float | None, now: int) -> bool: ...


@dataclass(slots=True, eq=False)
class Submission:
    """One query accepted by this gateway."""

    tariff: Tariff
    arrived: int
    hard_stop: int
    tenant: int = 0
    key: int = 0
    estimate: int = 0  # work of all threads, as time on one; 0: none given
    megabytes: float = 0.0
    data_set: int = 0
    relays: list[Relay] = field(default_factory=list)
    relay: Relay | None = None  # the one that is out
    ended: bool = False
    expected: int = 0
    soft_stop: int = 0
    leave_by: int = 0
    rank: float = 0.0
    held: bool = False
    size: int = 0  # bytes of its statement
    foreign: bool = False  # it came from another hall: one relay here, and never across again
    hold: int = 0  # of a foreign one: for how long it may be held
    crossed: bool = False  # it has gone to another hall once
    read: Any = None  # of one that may read a copy: what replicas/ knows of it


@dataclass(slots=True, eq=False)
class Relay:
    """One attempt to run a submission on an engine."""

    submission: Submission
    engine: Engine
    number: int
    sent: int
    ending: Ending | None = None
    called_off: bool = False
    overdue: bool = False
    noted: int = 0  # when the last note of it came
    projected: float = 0.0


class Port(Protocol):
    """What the module asks of the outside. Every call takes effect at once and returns nothing."""

    def relay(self, relay: Relay, patience: int) -> None: ...
    def withdraw(self, relay: Relay) -> None: ...
    def deny(self, submission: Submission, come_back: int) -> None: ...
    def abandon(self, submission: Submission) -> None: ...
    def grant(self, submission: Submission, megabytes: float, priority: int) -> None: ...
    def wake(self, delay: int, call: Callable[[int], None]) -> None: ...
    def probe(self, engine: Engine) -> None: ...
    def subscribe(self) -> None: ...
    def remark(self, text: str) -> None: ...


class Rules(Protocol):
    """What the fleet's rules let this gateway do at this moment: asked when acting, never kept."""

    def gateways(self, now: int) -> int:
        """How many gateways share the engines; 0: this one may relay nothing."""

    def admits(self, submission: Submission, now: int) -> bool:
        """False: it is denied at once."""

    def takes(self, submission: Submission, engine: Engine, now: int) -> bool: ...

    def further(self, submission: Submission, now: int) -> float:
        """What scales the budget of further relays, for this one."""


class Beside:
    """Rules beside those that a module had before, which say all that a subclass does not."""

    def __init__(self, gateway: Any) -> None:
        self._gateway = gateway
        self._inner: Rules | None = gateway.agreed

    def gateways(self, now: int) -> int:
        return self._inner.gateways(now) if self._inner else self._gateway.gateways

    def admits(self, submission: Submission, now: int) -> bool:
        return self._inner is None or self._inner.admits(submission, now)

    def takes(self, submission: Submission, engine: Engine, now: int) -> bool:
        return self._inner is None or self._inner.takes(submission, engine, now)

    def further(self, submission: Submission, now: int) -> float:
        return self._inner.further(submission, now) if self._inner else 1.0
