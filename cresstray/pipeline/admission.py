"""Second stage: registers the request with the accounting and hands it to the policy."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cresstray.pipeline.accounting import RequestAccounting
from cresstray.pipeline.recent_names import RecentNames
from cresstray.pipeline.request_context import RequestContext
from cresstray.policy.controller import PolicyController

if TYPE_CHECKING:
    from cresstray.membership.recovery import Membership
    from cresstray.pipeline.idempotency_checks import IdempotencyChecks
    from cresstray.sites.flow_control import ForwardingQuota


class Admission:
    """Admits valid requests.

    Guarantees that each request is registered with the accounting before any other component gets it. The
    policy gets it once the endpoint list and the idempotency store, where they are in use, let it pass.
    """

    # Set by the composition root before the first request: the policy is constructed with its port, which
    # needs the stages behind this one.
    controller: PolicyController

    def __init__(self, accounting: RequestAccounting) -> None:
        self._accounting = accounting
        # Set where requests may be forwarded to other sites.
        self.forwarding_quota: ForwardingQuota | None = None
        self.membership: Membership | None = None  # set where the endpoint list is persisted
        self.idempotency: IdempotencyChecks | None = None  # set where idempotency records are kept in a store

    @property
    def names(self) -> RecentNames:
        """The names of open and of recent requests."""
        return self._accounting.names

    def admit(self, context: RequestContext, now_us: int) -> None:
        """Opens the request and hands it on, at once or when the store has decided on its idempotency key."""
        self._accounting.open_request(context)
        if self.membership is not None and self._rejects_unknown_endpoints(self.membership, context, now_us):
            return
        if self.idempotency is not None and self.idempotency.defer(
            context, now_us, lambda now_us: self._accept(context, now_us)
        ):
            return
        self._accept(context, now_us)

    def _accept(self, context: RequestContext, now_us: int) -> None:
        if self.forwarding_quota is not None and not context.request.is_forwarded_in:
            self.forwarding_quota.record_received(now_us)
        self.controller.accept(context.request, now_us)

    def _rejects_unknown_endpoints(
        self, membership: Membership, context: RequestContext, now_us: int
    ) -> bool:
        """Rejects the request while no endpoint is known well enough; returns whether it did.

        A request that another site forwarded is never rejected here: that site relies on its acceptance.
        """
        request = context.request
        retry_after_us = None if request.is_forwarded_in else membership.retry_after_us(request, now_us)
        if retry_after_us is None:
            return False
        request.is_finished = True
        self._accounting.reject(request, retry_after_us)
        return True

    def cancel(self, context: RequestContext, now_us: int) -> None:
        """The client has cancelled the request or left; the policy cancels an attempt in flight."""
        self._accounting.on_client_left(context)
        if self.idempotency is None or not self.idempotency.on_client_left(context.request):
            self.controller.on_client_cancelled(context.request, now_us)
        self._accounting.release(context.request)
