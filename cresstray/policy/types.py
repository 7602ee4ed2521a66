"""What the decision module and an adapter share: the types, and the port that the module speaks through.

Nothing is decided here. Times are whole microseconds; objects point to each other, ids stay with the adapter.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Any, Protocol


class Outcome(Enum):
    """How one relay ended."""

    SUCCEEDED = "succeeded"
    FAILED = "failed"
    OVERLOADED = "overloaded"
    TIMED_OUT = "timed out"
    UNREACHABLE = "unreachable"
    CONNECTION_LOST = "connection lost"
    PROTOCOL_ERROR = (
        "protocol error"  # the engine has answered, and the answer or others on its link can't be used
    )
    CANCELLED = "cancelled"
    EXPIRED_BEFORE_SEND = "expired before send"


class EndpointState(Enum):
    """What the list of engines says of one engine."""

    REMOVED = "removed"
    READY = "ready"
    DRAINING = "draining"


class ProgressKind(Enum):
    """What a note about an outstanding relay tells."""

    FRACTION_DONE = "share done"
    SPILLING = "spills"
    WAITING_FOR_DATA_SET = "waits"


@dataclass(slots=True, eq=False)
class RequestClass:
    """What all submissions of one kind have in common."""

    index: int
    threads: int
    latency_objective_us: int
    objective_stretch: float
    value: float
    late_value: float
    is_idempotent: bool
    is_deduplicated: bool
    dedup_scope: str
    dedup_window_us: int  # how long engines discard repeats
    is_ordered: bool
    allowed_zones: frozenset[int] | None
    allowed_instance_types: frozenset[int] | None
    locks_data_set: bool = False  # holds its data set on its engine while it runs
    waits_for_data_set: bool = False  # stands still where a load holds its data set
    latency: Any = None  # the decision module's own reckoning


@dataclass(slots=True, eq=False)
class Engine:
    """One query engine, as the list of engines last described it."""

    instance_type: int = 0
    zone: int = 0
    cell: int = 0
    started_us: int = 0  # 0: long ago
    state: EndpointState = EndpointState.REMOVED
    limiter: Any = None  # the decision module's own reckoning
    forwarding: ForwardingRoute | None = None  # of a gateway in another hall: the way to it


class ForwardingRoute(Protocol):
    """What decides whether a submission goes to another hall; `near_load` as halls/decide.py has it."""

    def accepts(self, request: Request, near_load: float | None, now: int) -> bool: ...


@dataclass(slots=True, eq=False)
class Request:
    """One query accepted by this gateway."""

    request_class: RequestClass
    arrived_us: int
    deadline_us: int
    tenant: int = 0
    ordering_key: int = 0
    estimated_work_us: int = 0  # work of all threads, as time on one; 0: none given
    memory_mb: float = 0.0
    data_set: int = 0
    attempts: list[Attempt] = field(default_factory=list)
    current_attempt: Attempt | None = None  # the one that is out
    is_finished: bool = False
    expected_latency_us: int = 0
    objective_deadline_us: int = 0
    latest_dispatch_us: int = 0
    queue_rank: float = 0.0
    is_queued: bool = False
    size_bytes: int = 0  # bytes of its statement
    is_forwarded_in: bool = False  # it came from another hall: one relay here, and never across again
    max_queue_us: int = 0  # of a foreign one: for how long it may be held
    was_forwarded: bool = False  # it has gone to another hall once
    replica_read: Any = None  # of one that may read a copy: what replicas/ knows of it


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt to run a submission on an engine."""

    request: Request
    engine: Engine
    number: int
    sent_us: int
    outcome: Outcome | None = None
    cancel_requested: bool = False
    is_overdue: bool = False
    last_progress_us: int = 0  # when the last note of it came
    projected_latency_us: float = 0.0


class PolicyPort(Protocol):
    """What the module asks of the outside. Every call takes effect at once and returns nothing."""

    def send_attempt(self, attempt: Attempt, patience: int) -> None: ...
    def cancel_attempt(self, attempt: Attempt) -> None: ...
    def reject_request(self, request: Request, come_back: int) -> None: ...
    def fail_request(self, request: Request) -> None: ...
    def assign_resources(self, request: Request, megabytes: float, priority: int) -> None: ...
    def call_later(self, delay: int, call: Callable[[int], None]) -> None: ...
    def probe_engine(self, engine: Engine) -> None: ...
    def subscribe_to_endpoints(self) -> None: ...
    def log_event(self, text: str) -> None: ...


class AdmissionRules(Protocol):
    """What the fleet's rules let this gateway do at this moment: asked when acting, never kept."""

    def gateway_count(self, now: int) -> int:
        """How many gateways share the engines; 0: this one may relay nothing."""

    def admits(self, request: Request, now: int) -> bool:
        """False: it is denied at once."""

    def allows(self, request: Request, engine: Engine, now: int) -> bool: ...

    def retry_budget_scale(self, request: Request, now: int) -> float:
        """What scales the budget of further relays, for this one."""


class ChainedRules:
    """Rules beside those that a module had before, which say all that a subclass does not."""

    def __init__(self, gateway: Any) -> None:
        self._gateway = gateway
        self._inner: AdmissionRules | None = gateway.admission_rules

    def gateway_count(self, now: int) -> int:
        return self._inner.gateway_count(now) if self._inner else self._gateway.gateway_count

    def admits(self, request: Request, now: int) -> bool:
        return self._inner is None or self._inner.admits(request, now)

    def allows(self, request: Request, engine: Engine, now: int) -> bool:
        return self._inner is None or self._inner.allows(request, engine, now)

    def retry_budget_scale(self, request: Request, now: int) -> float:
        return self._inner.retry_budget_scale(request, now) if self._inner else 1.0
