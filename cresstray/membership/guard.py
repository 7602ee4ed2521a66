"""The module's hook beside the fleet's rules, if any: what may run once goes to no engine on trial."""

from __future__ import annotations

from cresstray.membership.recovery import Keep
from cresstray.policy.controller import Gateway
from cresstray.policy.types import Beside, Engine, Submission


class Guard(Beside):
    def __init__(self, keep: Keep, gateway: Gateway) -> None:
        super().__init__(gateway)
        self._keep = keep

    def takes(self, submission: Submission, engine: Engine, now: int) -> bool:
        # Danger: the first that a remembered address hears of us may be heard by somebody else.
        return (
            submission.tariff.idempotent or submission.tariff.deduplicated or not self._keep.on_trial(engine)
        ) and super().takes(submission, engine, now)
