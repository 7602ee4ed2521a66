"""First stage: what a client asks becomes a submission, or is rejected as malformed."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import TYPE_CHECKING, Protocol

from cresstray.clock import Clock
from cresstray.pipeline.admission import Admit
from cresstray.pipeline.request_context import Asker, Errand, Query
from cresstray.policy.types import Submission, Tariff
from cresstray.tables import group_of

if TYPE_CHECKING:
    from cresstray.pipeline.replica_reads import Pinned

# Names are new with every request: one that comes again within some ten seconds is a mistake or worse.
_MEMORY, _MOST_NAMES = 10_000_000, 20_000


class Crossing(Protocol):
    """Microseconds that it may be held, and the group of tables that the other hall has found."""

    hold: int
    group: int


class TakeIn:
    def __init__(self, settings: Mapping, tariffs: list[Tariff], clock: Clock, onward: Admit) -> None:
        self._clock, self._onward = clock, onward
        self.last_stop: int | None = None  # when this gateway ends, once it is known
        self.pinned: Pinned | None = None  # where there are rules of a fleet
        services = settings.get("Services", [])
        # The longest time a client of a tariff waits, twice over: no client can mean more.
        self._tariffs = {
            service.get("Name"): (tariff, 2 * service.get("GiveUp", 5e8))
            for service, tariff in zip(services, tariffs)
        }
        self._tenants = {tenant["Name"]: place for place, tenant in enumerate(settings.get("Tenants", []))}
        self._names: set[str] = set()  # of late, and before that
        self._older: set[str] = set()
        self._turn = 0

    def take(self, asker: Asker, number: int, query: Query, crossing: Crossing | None = None) -> None:
        """`crossing`: how it came from another hall, for what a client did not ask here."""
        now = self._clock.now()
        known = self._tariffs.get(query.tariff)
        if known is None:
            asker.reject(number, "an unknown tariff")
            return
        tariff, longest = known
        tenant = self._tenants.get(query.tenant, 0 if not self._tenants else None)
        statement = _text(query.statement)
        wrong = (
            "an unknown tenant"
            if tenant is None
            else "a mark is missing"
            if tariff.deduplicated and not query.mark
            else "a time limit beyond all bounds"
            if query.patience > longest
            else "a statement that is no text"
            if statement is None
            else "a name that was used before"
            if not self._is_new(query.name, now)
            else None
        )
        read = None
        if not wrong and self.pinned is not None and crossing is None:
            try:
                read = self.pinned.take(statement, query, tariff, now)
            except ValueError as trouble:
                wrong = f"a hint that can't be followed: {trouble}"
        if wrong:
            asker.reject(number, wrong)
            return
        hard_stop = now + int(query.patience * 1000)
        if self.last_stop is not None:
            hard_stop = min(hard_stop, self.last_stop)
        submission = Submission(
            tariff,
            now,
            hard_stop,
            tenant,
            0,
            int(query.estimate * 1000),
            query.megabytes,
            group_of(statement) if crossing is None else crossing.group,
            size=len(query.statement),
        )
        if crossing is not None:
            submission.foreign, submission.hold = True, crossing.hold
        if read is not None:
            self.pinned.made(submission, read)
        self._onward.admit(Errand(asker, number, query, submission), now)

    def _is_new(self, name: str, now: int) -> bool:
        # Danger: engines know a request by its name alone. Under one that is open, a stranger could have the
        # owner's work given up or answered, and a link could not tell whose answer comes.
        if now >= self._turn or len(self._names) >= _MOST_NAMES:
            self._names, self._older, self._turn = set(), self._names, now + _MEMORY
        if name in self._names or name in self._older:
            return False
        self._names.add(name)
        return True

    def recent(self) -> list[str]:
        """Names of late, the latest last by ten seconds' turns."""
        return sorted(self._older) + sorted(self._names)

    def used(self, names: Iterable[str]) -> None:
        """By the process before this one, of late."""
        self._older.update(names)
        self._turn = self._turn or self._clock.now() + _MEMORY

    def withdraw(self, asker: Asker, number: int | None, name: str | None) -> None:
        """The client no longer waits for one of its submissions."""
        if number is None:
            number = next((one for one, errand in asker.open.items() if errand.query.name == name), None)
        if number in asker.open:
            self._onward.leave(asker.open[number], self._clock.now())

    def gone(self, asker: Asker) -> None:
        """The client has left, and with it all that it waited for."""
        for errand in list(asker.open.values()):
            self._onward.leave(errand, self._clock.now())


def _text(statement: bytes) -> str | None:
    try:
        return statement.decode()
    except UnicodeDecodeError:
        return None
