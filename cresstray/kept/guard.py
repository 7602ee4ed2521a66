"""The module's hook beside the fleet's rules, if any: what may run once goes to no engine on trial."""

from __future__ import annotations

from cresstray.interface import Engine, Rules, Submission
from cresstray.kept.keep import Keep
from cresstray.logic import Gateway


class Guard:
    """interface.Rules; asks the fleet's own, where there are any, for all else."""

    def __init__(self, keep: Keep, gateway: Gateway) -> None:
        self._keep, self._gateway = keep, gateway
        self._inner: Rules | None = gateway.agreed

    def gateways(self, now: int) -> int:
        return self._inner.gateways(now) if self._inner else self._gateway.gateways

    def admits(self, submission: Submission, now: int) -> bool:
        return self._inner is None or self._inner.admits(submission, now)

    def takes(self, submission: Submission, engine: Engine, now: int) -> bool:
        # Danger: the first that a remembered address hears of us may be heard by somebody else.
        return ((submission.tariff.idempotent or submission.tariff.deduplicated
                 or not self._keep.on_trial(engine))
                and (self._inner is None or self._inner.takes(submission, engine, now)))

    def further(self, submission: Submission, now: int) -> float:
        return self._inner.further(submission, now) if self._inner else 1.0
