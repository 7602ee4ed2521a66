"""The types that the policy and its adapters share: requests, attempts, engines and outcomes.

Times are whole microseconds. Objects refer to each other directly; identifiers stay with the adapters.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cresstray.policy.engine_state import EngineState
    from cresstray.policy.latency_estimate import LatencyEstimate
    from cresstray.policy.ports import ForwardingRoute
    from cresstray.replicas.read import Read


class Outcome(Enum):
    """How one attempt ended."""

    SUCCEEDED = "succeeded"
    FAILED = "failed"
    OVERLOADED = "overloaded"
    TIMED_OUT = "timed out"
    UNREACHABLE = "unreachable"
    CONNECTION_LOST = "connection lost"
    PROTOCOL_ERROR = "protocol error"  # the engine's answer, or another on its connection, is unusable
    CANCELLED = "cancelled"
    EXPIRED_BEFORE_SEND = "expired before send"


# Outcomes that prove that an attempt was never executed; after any other it may have been.
NOT_EXECUTED = {Outcome.OVERLOADED, Outcome.UNREACHABLE, Outcome.EXPIRED_BEFORE_SEND}
# Outcomes after which the engine may still be executing the attempt.
POSSIBLY_RUNNING = {Outcome.TIMED_OUT, Outcome.CONNECTION_LOST, Outcome.PROTOCOL_ERROR, Outcome.CANCELLED}

# The queue rank of a request of a starved class: before that of any value for work in microseconds.
STARVED_RANK = -1e6


class EndpointState(Enum):
    """What the endpoint list says of one engine."""

    REMOVED = "removed"
    READY = "ready"
    DRAINING = "draining"


class ProgressKind(Enum):
    """What a progress update of an attempt in flight reports."""

    FRACTION_DONE = "share done"
    SPILLING = "spills"
    WAITING_FOR_DATA_SET = "waits"


@dataclass(slots=True, eq=False)
class RequestClass:
    """What all requests of one class have in common."""

    index: int
    threads: int
    latency_objective_us: int
    objective_stretch: float  # expected latencies by which the objective is later
    value: float
    late_value: float  # after the objective, up to the deadline
    is_idempotent: bool
    is_deduplicated: bool  # engines discard repeats within `dedup_scope` and `dedup_window_us`
    dedup_scope: str
    dedup_window_us: int
    is_ordered: bool
    allowed_zones: frozenset[int] | None
    allowed_instance_types: frozenset[int] | None
    locks_data_set: bool = False  # loads its data set, and locks it on its engine while it runs
    waits_for_data_set: bool = False  # stands still while its data set is locked
    # Set by the controller before any request refers to the class; None before.
    latency: LatencyEstimate = field(default=None)  # type: ignore[assignment]

    def allows_placement(self, engine: Engine) -> bool:
        """Returns whether requests of the class may run in the zone and on the instance type of an engine."""
        if self.allowed_zones is not None and engine.zone not in self.allowed_zones:
            return False
        types = self.allowed_instance_types
        return types is None or engine.instance_type in types


# An engine of the endpoint list: its instance type, zone, cell, start and state.
EndpointDescription = tuple[int, int, int, int, EndpointState]


@dataclass(slots=True, eq=False)
class Engine:
    """One query engine, as the endpoint list last described it."""

    instance_type: int = 0
    zone: int = 0
    cell: int = 0
    started_us: int = 0  # 0: long ago
    state: EndpointState = EndpointState.REMOVED
    # Set by the controller when it first lists the engine; None before.
    policy_state: EngineState = field(default=None)  # type: ignore[assignment]
    forwarding: ForwardingRoute | None = None  # the way to it, if it stands for a gateway of another site


@dataclass(slots=True, eq=False)
class Request:
    """One request that this gateway has accepted."""

    request_class: RequestClass
    arrived_us: int
    deadline_us: int
    tenant: int = 0
    ordering_key: int = 0
    estimated_work_us: int = 0  # of all threads, as time on one; 0: no estimate
    memory_mb: float = 0.0
    data_set: int = 0
    attempts: list[Attempt] = field(default_factory=list)
    current_attempt: Attempt | None = None  # the one in flight
    is_finished: bool = False
    expected_latency_us: int = 0
    objective_deadline_us: int = 0
    latest_dispatch_us: int = 0
    queue_rank: float = 0.0
    is_queued: bool = False
    size_bytes: int = 0  # of its statement
    is_forwarded_in: bool = False  # from another site: one attempt here, and never forwarded again
    max_queue_us: int = 0  # for how long it may be queued, if it was forwarded in
    was_forwarded: bool = False  # to another site, once
    replica_read: Read | None = None  # of a request that may read a replica


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt to run a request on an engine."""

    request: Request
    engine: Engine
    number: int
    sent_us: int
    outcome: Outcome | None = None
    cancel_requested: bool = False
    is_overdue: bool = False
    last_progress_us: int = 0  # when its last progress update came
    projected_latency_us: float = 0.0
