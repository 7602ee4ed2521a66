"""First stage: turns a query into a request, or rejects it as malformed."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from enum import Enum
from typing import TYPE_CHECKING, Any, NamedTuple

from cresstray.clock import Clock
from cresstray.pipeline.admission import Admission
from cresstray.pipeline.request_context import Query, RequestContext, Responder
from cresstray.policy.types import Request, RequestClass
from cresstray.tables import MAX_TABLE_GROUP, find_table_group

if TYPE_CHECKING:
    from cresstray.pipeline.replica_reads import ReplicaReads
    from cresstray.sites.offer import ForwardedOffer

# A longer timeout than this multiple of the class's own is a mistake of the client.
_MAX_TIMEOUT_FACTOR = 2
_DEFAULT_TIMEOUT_MS = 5e8


class RejectionReason(Enum):
    """Why a query is malformed; the value is the text that its client gets."""

    UNKNOWN_REQUEST_CLASS = "an unknown tariff"
    UNKNOWN_TENANT = "an unknown tenant"
    MISSING_IDEMPOTENCY_KEY = "a mark is missing"
    TIMEOUT_TOO_LONG = "a time limit beyond all bounds"
    STATEMENT_NOT_TEXT = "a statement that is no text"
    NAME_USED_BEFORE = "a name that was used before"
    TABLE_GROUP_TOO_LARGE = "a group of tables beyond 2^53"
    UNUSABLE_HINT = "a hint that can't be followed"


class _AcceptedClass(NamedTuple):
    request_class: RequestClass
    max_timeout_ms: float


class Ingress:
    """Validates queries and creates requests from them.

    Guarantees that each request that it passes on has a known class and tenant, a bounded timeout, a
    statement that is text, and a name that no open request has and that was not used in the last seconds.
    Any other query gets one answer that states the reason.
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
        # Engines identify a request by its name alone. If another client could reuse the name of an open
        # request, it could have that request cancelled or answered, and a connection could not tell to which
        # of the two an answer belongs.
        self.names = admission.names

    def accept(
        self,
        responder: Responder,
        number: int,
        query: Query,
        offer: ForwardedOffer | None = None,
        *,
        received_us: int | None = None,
    ) -> None:
        """Passes a valid query to the admission, rejects any other.

        Args:
            responder: gets the answer.
            number: the request's number there.
            query: the decoded query.
            offer: is set for a query that another site forwarded.
            received_us: when the query was received, from which its timeout counts; now, if None.
        """
        now_us = self._clock.now()
        if received_us is None:
            received_us = now_us
        accepted_class = self._classes.get(query.class_name)
        if accepted_class is None:
            responder.reject_malformed(number, RejectionReason.UNKNOWN_REQUEST_CLASS.value)
            return
        request_class = accepted_class.request_class
        tenant_index = self._tenants.get(query.tenant, None if self._tenants else 0)
        statement = _decode(query.statement)
        if tenant_index is None:
            responder.reject_malformed(number, RejectionReason.UNKNOWN_TENANT.value)
            return
        table_group = find_table_group(statement or "") if offer is None else offer.table_group
        reason = self._find_rejection_reason(query, accepted_class, statement, table_group, now_us)
        if reason is not None or statement is None:
            reason = reason or RejectionReason.STATEMENT_NOT_TEXT
            responder.reject_malformed(number, reason.value)
            return
        replica_read = None
        if self.replica_reads is not None and offer is None:
            try:
                replica_read = self.replica_reads.parse_hint(statement, query, request_class, now_us)
            except ValueError as error:
                responder.reject_malformed(number, f"{RejectionReason.UNUSABLE_HINT.value}: {error}")
                return
        request = self._make_request(query, request_class, tenant_index, table_group, received_us)
        if offer is not None:
            request.is_forwarded_in = True
            request.max_queue_us = offer.max_queue_us
            request.latest_send_us = offer.latest_send_us
        if self.replica_reads is not None and replica_read is not None:
            self.replica_reads.attach(request, replica_read)
        self._admission.admit(RequestContext(responder, number, query, request), now_us)

    def _find_rejection_reason(
        self,
        query: Query,
        accepted_class: _AcceptedClass,
        statement: str | None,
        table_group: int,
        now_us: int,
    ) -> RejectionReason | None:
        if accepted_class.request_class.is_deduplicated and not query.idempotency_key:
            return RejectionReason.MISSING_IDEMPOTENCY_KEY
        if query.timeout_ms > accepted_class.max_timeout_ms:
            return RejectionReason.TIMEOUT_TOO_LONG
        if statement is None:
            return RejectionReason.STATEMENT_NOT_TEXT
        if table_group > MAX_TABLE_GROUP:
            return RejectionReason.TABLE_GROUP_TOO_LARGE
        # Checked last, because the check remembers the name: a query that is rejected for another reason may
        # be sent again under its name.
        if not self.names.add(query.name, now_us):
            return RejectionReason.NAME_USED_BEFORE
        return None

    def _make_request(
        self, query: Query, request_class: RequestClass, tenant_index: int, table_group: int, received_us: int
    ) -> Request:
        deadline_us = received_us + int(query.timeout_ms * 1000)
        if self.shutdown_deadline_us is not None:
            deadline_us = min(deadline_us, self.shutdown_deadline_us)
        return Request(
            request_class,
            received_us,
            deadline_us,
            tenant_index,
            0,
            int(query.estimated_work_ms * 1000),
            query.memory_mb,
            table_group,
            size_bytes=len(query.statement),
        )

    def recent_names(self) -> list[str]:
        """Returns the names of recent requests, those of the current generation last."""
        return self.names.names()

    def remember_names(self, names: Iterable[str]) -> None:
        """Treats the names that the preceding process handed over as used."""
        self.names.add_earlier(names, self._clock.now())

    def cancel(self, responder: Responder, number: int | None, name: str | None) -> None:
        """Cancels a request of a client, by number or by name; does nothing if it is not open."""
        if number is None:
            number = next(
                (
                    open_number
                    for open_number, context in responder.open_requests.items()
                    if context.query.name == name
                ),
                None,
            )
        if number in responder.open_requests:
            self._admission.cancel(responder.open_requests[number], self._clock.now())

    def on_disconnected(self, responder: Responder) -> None:
        """Cancels all open requests of a client that has disconnected."""
        for context in list(responder.open_requests.values()):
            self._admission.cancel(context, self._clock.now())


def _decode(statement: bytes) -> str | None:
    try:
        return statement.decode()
    except UnicodeDecodeError:
        return None
