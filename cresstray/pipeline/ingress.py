"""First stage: what a client asks becomes a submission, or is rejected as malformed."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import TYPE_CHECKING, Protocol

from cresstray.clock import Clock
from cresstray.pipeline.admission import Admission
from cresstray.pipeline.request_context import Query, RequestContext, Responder
from cresstray.policy.types import Request, RequestClass
from cresstray.tables import group_of

if TYPE_CHECKING:
    from cresstray.pipeline.replica_reads import ReplicaReads

# Names are new with every request: one that comes again within some ten seconds is a mistake or worse.
_MEMORY, _MOST_NAMES = 10_000_000, 20_000


class ForwardedOffer(Protocol):
    """Microseconds that it may be held, and the group of tables that the other hall has found."""

    hold: int
    group: int


class Ingress:
    def __init__(
        self, settings: Mapping, request_classes: list[RequestClass], clock: Clock, onward: Admission
    ) -> None:
        self._clock, self._onward = clock, onward
        self.shutdown_deadline_us: int | None = None  # when this gateway ends, once it is known
        self.replica_reads: ReplicaReads | None = None  # where there are rules of a fleet
        services = settings.get("Services", [])
        # The longest time a client of a tariff waits, twice over: no client can mean more.
        self._classes = {
            service.get("Name"): (request_class, 2 * service.get("GiveUp", 5e8))
            for service, request_class in zip(services, request_classes)
        }
        self._tenants = {tenant["Name"]: place for place, tenant in enumerate(settings.get("Tenants", []))}
        self._names: set[str] = set()  # of late, and before that
        self._older: set[str] = set()
        self._next_generation_us = 0

    def accept(
        self, responder: Responder, number: int, query: Query, crossing: ForwardedOffer | None = None
    ) -> None:
        """`crossing`: how it came from another hall, for what a client did not ask here."""
        now = self._clock.now()
        known = self._classes.get(query.class_name)
        if known is None:
            responder.reject_malformed(number, "an unknown tariff")
            return
        request_class, longest = known
        tenant = self._tenants.get(query.tenant, 0 if not self._tenants else None)
        statement = _text(query.statement)
        wrong = (
            "an unknown tenant"
            if tenant is None
            else "a mark is missing"
            if request_class.is_deduplicated and not query.idempotency_key
            else "a time limit beyond all bounds"
            if query.timeout_ms > longest
            else "a statement that is no text"
            if statement is None
            else "a name that was used before"
            if not self._is_new(query.name, now)
            else None
        )
        read = None
        if not wrong and self.replica_reads is not None and crossing is None:
            try:
                read = self.replica_reads.parse_hint(statement, query, request_class, now)
            except ValueError as trouble:
                wrong = f"a hint that can't be followed: {trouble}"
        if wrong:
            responder.reject_malformed(number, wrong)
            return
        hard_stop = now + int(query.timeout_ms * 1000)
        if self.shutdown_deadline_us is not None:
            hard_stop = min(hard_stop, self.shutdown_deadline_us)
        request = Request(
            request_class,
            now,
            hard_stop,
            tenant,
            0,
            int(query.estimated_work_ms * 1000),
            query.memory_mb,
            group_of(statement) if crossing is None else crossing.group,
            size_bytes=len(query.statement),
        )
        if crossing is not None:
            request.is_forwarded_in, request.max_queue_us = True, crossing.hold
        if read is not None:
            self.replica_reads.attach(request, read)
        self._onward.admit(RequestContext(responder, number, query, request), now)

    def _is_new(self, name: str, now: int) -> bool:
        # Danger: engines know a request by its name alone. Under one that is open, a stranger could have the
        # owner's work given up or answered, and a link could not tell whose answer comes.
        if now >= self._next_generation_us or len(self._names) >= _MOST_NAMES:
            self._names, self._older, self._next_generation_us = set(), self._names, now + _MEMORY
        if name in self._names or name in self._older:
            return False
        self._names.add(name)
        return True

    def recent_names(self) -> list[str]:
        """Names of late, the latest last by ten seconds' turns."""
        return sorted(self._older) + sorted(self._names)

    def remember_names(self, names: Iterable[str]) -> None:
        """By the process before this one, of late."""
        self._older.update(names)
        self._next_generation_us = self._next_generation_us or self._clock.now() + _MEMORY

    def cancel(self, responder: Responder, number: int | None, name: str | None) -> None:
        """The client no longer waits for one of its submissions."""
        if number is None:
            number = next(
                (one for one, context in responder.open.items() if context.query.name == name), None
            )
        if number in responder.open:
            self._onward.cancel(responder.open[number], self._clock.now())

    def on_disconnected(self, responder: Responder) -> None:
        """The client has left, and with it all that it waited for."""
        for context in list(responder.open.values()):
            self._onward.cancel(context, self._clock.now())


def _text(statement: bytes) -> str | None:
    try:
        return statement.decode()
    except UnicodeDecodeError:
        return None
