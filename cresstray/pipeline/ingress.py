"""First stage: a query becomes a request, or is rejected as malformed."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from enum import Enum
from typing import TYPE_CHECKING, Any, NamedTuple, Protocol

from cresstray.clock import Clock
from cresstray.pipeline.admission import Admission
from cresstray.pipeline.request_context import Query, RequestContext, Responder
from cresstray.policy.types import Request, RequestClass
from cresstray.tables import find_table_group

if TYPE_CHECKING:
    from cresstray.pipeline.replica_reads import ReplicaReads

# Clients give each request a new name; one that is used again within this time is a mistake or an attack.
_NAME_GENERATION_US = 10_000_000
_MAX_NAMES_PER_GENERATION = 20_000
# No client of a class can mean a timeout longer than this multiple of the class's own.
_MAX_TIMEOUT_FACTOR = 2
_DEFAULT_TIMEOUT_MS = 5e8


class RejectionReason(Enum):
    """Why a query is malformed; the value is the text that its client reads."""

    UNKNOWN_REQUEST_CLASS = "an unknown tariff"
    UNKNOWN_TENANT = "an unknown tenant"
    MISSING_IDEMPOTENCY_KEY = "a mark is missing"
    TIMEOUT_TOO_LONG = "a time limit beyond all bounds"
    STATEMENT_NOT_TEXT = "a statement that is no text"
    NAME_USED_BEFORE = "a name that was used before"
    UNUSABLE_HINT = "a hint that can't be followed"


class ForwardedOffer(Protocol):
    """What another site adds to a query.

    `hold`: microseconds that it may be queued here; `group`: the table group that the other site has found.
    """

    hold: int
    group: int


class _AcceptedClass(NamedTuple):
    request_class: RequestClass
    max_timeout_ms: float


class Ingress:
    """Validates queries and makes requests of them.

    Guarantees that what it hands on has a known class and tenant, a bounded timeout, a statement that is
    text, and a name that was not used in the last seconds. Everything else gets one answer that says why.
    """

    def __init__(
        self,
        settings: Mapping[str, Any],
        request_classes: list[RequestClass],
        clock: Clock,
        admission: Admission,
    ) -> None:
        self._clock = clock
        self._admission = admission
        self.shutdown_deadline_us: int | None = None  # set once the process is shutting down
        self.replica_reads: ReplicaReads | None = None  # set where fleet configuration places replicas
        self._classes = {
            service.get("Name"): _AcceptedClass(
                request_class, _MAX_TIMEOUT_FACTOR * service.get("GiveUp", _DEFAULT_TIMEOUT_MS)
            )
            for service, request_class in zip(settings.get("Services", []), request_classes)
        }
        self._tenants = {tenant["Name"]: index for index, tenant in enumerate(settings.get("Tenants", []))}
        self._names: set[str] = set()  # used in the current generation
        self._older: set[str] = set()  # used in the generation before
        self._next_generation_us = 0

    def accept(
        self, responder: Responder, number: int, query: Query, crossing: ForwardedOffer | None = None
    ) -> None:
        """Hands a valid query to the admission; answers any other one. `crossing`: it was forwarded in."""
        now = self._clock.now()
        accepted_class = self._classes.get(query.class_name)
        if accepted_class is None:
            responder.reject_malformed(number, RejectionReason.UNKNOWN_REQUEST_CLASS.value)
            return
        request_class = accepted_class.request_class
        tenant = self._tenants.get(query.tenant, None if self._tenants else 0)
        statement = _decode(query.statement)
        if tenant is None:
            responder.reject_malformed(number, RejectionReason.UNKNOWN_TENANT.value)
            return
        reason = self._find_fault(query, accepted_class, statement, now)
        if reason is not None or statement is None:
            reason = reason or RejectionReason.STATEMENT_NOT_TEXT
            responder.reject_malformed(number, reason.value)
            return
        replica_read = None
        if self.replica_reads is not None and crossing is None:
            try:
                replica_read = self.replica_reads.parse_hint(statement, query, request_class, now)
            except ValueError as error:
                responder.reject_malformed(number, f"{RejectionReason.UNUSABLE_HINT.value}: {error}")
                return
        group = find_table_group(statement) if crossing is None else crossing.group
        request = self._make_request(query, request_class, tenant, group, now)
        if crossing is not None:
            request.is_forwarded_in = True
            request.max_queue_us = crossing.hold
        if self.replica_reads is not None and replica_read is not None:
            self.replica_reads.attach(request, replica_read)
        self._admission.admit(RequestContext(responder, number, query, request), now)

    def _find_fault(
        self, query: Query, accepted_class: _AcceptedClass, statement: str | None, now: int
    ) -> RejectionReason | None:
        if accepted_class.request_class.is_deduplicated and not query.idempotency_key:
            return RejectionReason.MISSING_IDEMPOTENCY_KEY
        if query.timeout_ms > accepted_class.max_timeout_ms:
            return RejectionReason.TIMEOUT_TOO_LONG
        if statement is None:
            return RejectionReason.STATEMENT_NOT_TEXT
        # Last, since it remembers the name: a query that is rejected for another reason may use it again.
        if not self._is_new(query.name, now):
            return RejectionReason.NAME_USED_BEFORE
        return None

    def _make_request(
        self, query: Query, request_class: RequestClass, tenant: int, group: int, now: int
    ) -> Request:
        deadline_us = now + int(query.timeout_ms * 1000)
        if self.shutdown_deadline_us is not None:
            deadline_us = min(deadline_us, self.shutdown_deadline_us)
        return Request(
            request_class,
            now,
            deadline_us,
            tenant,
            0,
            int(query.estimated_work_ms * 1000),
            query.memory_mb,
            group,
            size_bytes=len(query.statement),
        )

    def _is_new(self, name: str, now: int) -> bool:
        # Engines know a request by its name alone. Under the name of an open one a stranger could have the
        # owner's request cancelled or answered, and a connection could not tell whose answer arrives.
        if now >= self._next_generation_us or len(self._names) >= _MAX_NAMES_PER_GENERATION:
            self._older = self._names
            self._names = set()
            self._next_generation_us = now + _NAME_GENERATION_US
        if name in self._names or name in self._older:
            return False
        self._names.add(name)
        return True

    def recent_names(self) -> list[str]:
        """Returns the names of recent requests, the newer generation last."""
        return sorted(self._older) + sorted(self._names)

    def remember_names(self, names: Iterable[str]) -> None:
        """Treats names that the preceding process has handed over as used."""
        self._older.update(names)
        self._next_generation_us = self._next_generation_us or self._clock.now() + _NAME_GENERATION_US

    def cancel(self, responder: Responder, number: int | None, name: str | None) -> None:
        """The client cancels one of its requests, by number or by name; one that is not open is ignored."""
        if number is None:
            number = next(
                (one for one, context in responder.open_requests.items() if context.query.name == name), None
            )
        if number in responder.open_requests:
            self._admission.cancel(responder.open_requests[number], self._clock.now())

    def on_disconnected(self, responder: Responder) -> None:
        """The client has left; all its open requests are cancelled."""
        for context in list(responder.open_requests.values()):
            self._admission.cancel(context, self._clock.now())


def _decode(statement: bytes) -> str | None:
    try:
        return statement.decode()
    except UnicodeDecodeError:
        return None
