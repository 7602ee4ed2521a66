"""Second stage: the submission is the gateway's from here on, and the module's to decide."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cresstray.pipeline.accounting import RequestAccounting
from cresstray.pipeline.request_context import RequestContext
from cresstray.policy.controller import PolicyController

if TYPE_CHECKING:
    from cresstray.membership.recovery import Membership
    from cresstray.pipeline.idempotency_checks import IdempotencyChecks
    from cresstray.sites.flow_control import Share


class Admission:
    def __init__(self, book: RequestAccounting) -> None:
        self._book = book
        self.controller: PolicyController | None = (
            None  # made with the port, which stands further down the chain
        )
        self.forwarding_quota: Share | None = None  # of what may cross to other halls, where there are any
        self.membership: Membership | None = None  # where a list is kept on disk
        self.idempotency: IdempotencyChecks | None = None  # where marks are kept in a store

    def admit(self, context: RequestContext, now: int) -> None:
        self._book.open_request(context)
        if self.membership is not None and self._refused(context, now):
            return
        if self.idempotency is not None and self.idempotency.holds_back(
            context, now, lambda now: self._accept(context, now)
        ):
            return
        self._accept(context, now)

    def _accept(self, context: RequestContext, now: int) -> None:
        if self.forwarding_quota is not None and not context.request.is_forwarded_in:
            self.forwarding_quota.taken(now)
        self.controller.accept(context.request, now)

    def _refused(self, context: RequestContext, now: int) -> bool:
        """Nothing is known well enough yet to send it anywhere; who asks from another hall counts on us."""
        request = context.request
        wait = None if request.is_forwarded_in else self.membership.retry_after_us(request, now)
        if wait is None:
            return False
        request.is_finished = True
        self._book.reject(request, wait)
        return True

    def cancel(self, context: RequestContext, now: int) -> None:
        """The client has left; the module gives up what is out."""
        self._book.on_client_left(context)
        if self.idempotency is None or not self.idempotency.on_client_left(context.request):
            self.controller.on_client_cancelled(context.request, now)
        self._book.release(context.request)
