"""The admission rule for endpoints that have not served yet: they get no request that may run only once."""

from __future__ import annotations

from typing import Protocol

from cresstray.policy.controller import PolicyController
from cresstray.policy.ports import ChainedAdmissionRules
from cresstray.policy.types import Engine, Request


class UnprovenEndpoints(Protocol):
    """What the guard needs from the membership."""

    def is_unproven(self, engine: Engine) -> bool:
        """Returns whether neither discovery nor a served request vouches for the engine."""


class AdmissionGuard(ChainedAdmissionRules):
    """Adds the rule on unproven endpoints to the rules that the controller has already."""

    def __init__(self, membership: UnprovenEndpoints, controller: PolicyController) -> None:
        super().__init__(controller)
        self._membership = membership

    def allows(self, request: Request, engine: Engine, now_us: int) -> bool:
        """Returns whether the request may be sent to the engine.

        Another service may listen at a remembered address. So a request that may run only once waits for an
        endpoint that discovery has named, or that has served a request.
        """
        request_class = request.request_class
        return (
            request_class.is_idempotent
            or request_class.is_deduplicated
            or not self._membership.is_unproven(engine)
        ) and super().allows(request, engine, now_us)
