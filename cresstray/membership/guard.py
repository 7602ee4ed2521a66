"""The module's hook beside the fleet's rules, if any: what may run once goes to no engine on trial."""

from __future__ import annotations

from cresstray.membership.recovery import Keep
from cresstray.policy.controller import PolicyController
from cresstray.policy.ports import ChainedRules
from cresstray.policy.types import Engine, Request


class Guard(ChainedRules):
    def __init__(self, keep: Keep, gateway: PolicyController) -> None:
        super().__init__(gateway)
        self._keep = keep

    def allows(self, request: Request, engine: Engine, now: int) -> bool:
        # Danger: the first that a remembered address hears of us may be heard by somebody else.
        return (
            request.request_class.is_idempotent
            or request.request_class.is_deduplicated
            or not self._keep.on_trial(engine)
        ) and super().allows(request, engine, now)
