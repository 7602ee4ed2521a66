"""The types that the policy and its adapters share: requests, attempts, engines and outcomes.

Times are whole microseconds. Objects refer to each other directly; only the adapters know identifiers.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cresstray.policy.engine_state import EngineState
    from cresstray.policy.latency_estimate import LatencyEstimate
    from cresstray.policy.ports import ForwardingRoute
    from cresstray.replicas.read import HintedRead


class Outcome(Enum):
    """How one attempt ended."""

    SUCCEEDED = "succeeded"
    FAILED = "failed"
    OVERLOADED = "overloaded"
    TIMED_OUT = "timed out"
    UNREACHABLE = "unreachable"
    CONNECTION_LOST = "connection lost"
    PROTOCOL_ERROR = "protocol error"  # the response, or another one on the same connection, is malformed
    CANCELLED = "cancelled"
    EXPIRED_BEFORE_SEND = "expired before send"


# Outcomes that prove that the engine never executed the attempt; after any other it may have done so.
NOT_EXECUTED = {Outcome.OVERLOADED, Outcome.UNREACHABLE, Outcome.EXPIRED_BEFORE_SEND}
# Outcomes after which the engine may still be executing the attempt.
POSSIBLY_RUNNING = {Outcome.TIMED_OUT, Outcome.CONNECTION_LOST, Outcome.PROTOCOL_ERROR, Outcome.CANCELLED}

# Added to the queue rank of a request of a starved class, so that it precedes every other request: ranks by
# value per microsecond of work are far smaller.
STARVED_RANK = -1e6


class EndpointState(Enum):
    """The state of one engine in the endpoint list."""

    REMOVED = "removed"
    READY = "ready"
    DRAINING = "draining"


class ProgressKind(Enum):
    """The kind of information in a progress update of an attempt in flight."""

    FRACTION_DONE = "share done"
    SPILLING = "spills"
    WAITING_FOR_DATA_SET = "waits"


@dataclass(slots=True, eq=False)
class RequestClass:
    """The properties that all requests of one class share."""

    index: int
    threads: int
    latency_objective_us: int
    objective_stretch: float  # how many expected latencies are added to the latency objective
    value: float
    late_value: float  # of a response after the latency objective, up to the deadline
    is_idempotent: bool
    is_deduplicated: bool  # engines discard repeated requests within `dedup_scope` and `dedup_window_us`
    dedup_scope: str
    dedup_window_us: int
    is_ordered: bool
    allowed_zones: frozenset[int] | None
    allowed_instance_types: frozenset[int] | None
    locks_data_set: bool = False  # a data load: locks its data set on its engine while it runs
    waits_for_data_set: bool = False  # blocks on its engine while its data set is locked there
    # Set by `parse_settings` before any request refers to the class; None before.
    latency: LatencyEstimate = field(default=None)  # type: ignore[assignment]

    def allows_placement(self, engine: Engine) -> bool:
        """Returns whether requests of the class may run in the zone and on the instance type of an engine."""
        if self.allowed_zones is not None and engine.zone not in self.allowed_zones:
            return False
        types = self.allowed_instance_types
        return types is None or engine.instance_type in types


# An entry of the endpoint list: instance type, zone, cell, start time in microseconds, and state.
EndpointDescription = tuple[int, int, int, int, EndpointState]


@dataclass(slots=True, eq=False)
class Engine:
    """One query engine, as the endpoint list last described it."""

    instance_type: int = 0
    zone: int = 0
    cell: int = 0
    started_us: int = 0  # 0: so long ago that it is warm
    state: EndpointState = EndpointState.REMOVED
    # Set by the controller when it first lists the engine; None before.
    policy_state: EngineState = field(default=None)  # type: ignore[assignment]
    forwarding: ForwardingRoute | None = None  # set if it stands for a gateway of another site


@dataclass(slots=True, eq=False)
class Request:
    """One request that this gateway has accepted."""

    request_class: RequestClass
    arrived_us: int
    deadline_us: int
    tenant: int = 0
    ordering_key: int = 0
    estimated_work_us: int = 0  # thread-microseconds, over all threads; 0: no estimate
    memory_mb: float = 0.0
    data_set: int = 0
    attempts: list[Attempt] = field(default_factory=list)
    current_attempt: Attempt | None = None  # the attempt in flight
    is_finished: bool = False
    expected_latency_us: int = 0
    objective_deadline_us: int = 0
    latest_dispatch_us: int = 0
    queue_rank: float = 0.0
    is_queued: bool = False
    size_bytes: int = 0  # of the statement
    is_forwarded_in: bool = False  # by another site: gets one attempt here, and is never forwarded again
    max_queue_us: int = 0  # the longest time in the queue of a request that was forwarded in
    latest_send_us: int | None = None  # the site that forwarded it sets when it may be sent for the last time
    was_forwarded: bool = False  # to another site; at most once
    replica_read: HintedRead | None = None  # set if the request may read a replica


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt to run a request on an engine."""

    request: Request
    engine: Engine
    number: int
    sent_us: int
    outcome: Outcome | None = None
    cancel_requested: bool = False
    is_overdue: bool = False  # already counted as a fault of its engine
    last_progress_us: int = 0  # time of the last progress update
    projected_latency_us: float = 0.0  # from its last progress update; 0: none so far
