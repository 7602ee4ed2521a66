"""First stage: what a client asks becomes a submission, or is rejected as malformed."""

from __future__ import annotations

from collections.abc import Mapping

from cresstray.clock import Clock
from cresstray.interface import Submission, Tariff
from cresstray.passage.admit import Admit
from cresstray.passage.errand import Asker, Errand, Query
from cresstray.tables import group_of


class TakeIn:
    def __init__(self, settings: Mapping, tariffs: list[Tariff], clock: Clock, onward: Admit) -> None:
        self._clock, self._onward = clock, onward
        self.last_stop: int | None = None  # when this gateway ends, once it is known
        names = [service.get("Name") for service in settings.get("Services", [])]
        self._tariffs = dict(zip(names, tariffs))
        self._tenants = {tenant["Name"]: place for place, tenant in enumerate(settings.get("Tenants", []))}

    def take(self, asker: Asker, number: int, query: Query) -> None:
        now = self._clock.now()
        tariff = self._tariffs[query.tariff]
        tenant = self._tenants.get(query.tenant, 0 if not self._tenants else None)
        if tenant is None or tariff.deduplicated and not query.mark:
            asker.reject(number, "an unknown tenant" if tenant is None else "a mark is missing")
            return
        hard_stop = now + int(query.patience * 1000)
        if self.last_stop is not None:
            hard_stop = min(hard_stop, self.last_stop)
        submission = Submission(
            tariff, now, hard_stop, tenant, 0, int(query.estimate * 1000),
            query.megabytes, group_of(query.statement.decode("utf-8", "replace")))
        self._onward.admit(Errand(asker, number, query, submission), now)

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
