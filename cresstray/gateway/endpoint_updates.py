"""Applies events of the endpoint list to the pipeline and the policy."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cresstray.clock import Clock
from cresstray.discovery.endpoint_list import EndpointEvent
from cresstray.pipeline.routing import Router
from cresstray.policy.controller import PolicyController

if TYPE_CHECKING:
    from cresstray.membership.recovery import Membership


class EndpointUpdates:
    """Applies each event in one step: to connection pools, then to the policy, then to unsent attempts."""

    def __init__(self, clock: Clock, router: Router, controller: PolicyController) -> None:
        self._clock = clock
        self._router = router
        self._controller = controller
        self.membership: Membership | None = None  # set where the endpoint list is persisted

    def on_event(self, event: EndpointEvent) -> None:
        """Applies an event from the coordinator or from the configuration."""
        now_us = self._clock.now()
        if self.membership is None:
            self._apply(event, now_us)
        else:
            self.apply_filtered(self.membership, self.membership.on_endpoint_event(event, now_us), now_us)

    def apply_filtered(self, membership: Membership, event: EndpointEvent, now_us: int) -> None:
        """Applies an event that the membership estimate has already filtered."""
        self._apply(event, now_us)
        membership.on_endpoints_listed(event, self._router.engines, now_us)

    def _apply(self, event: EndpointEvent, now_us: int) -> None:
        entries = self._router.apply_event(event)
        self._controller.on_endpoints_updated(entries, event.is_complete, now_us)
        self._router.cancel_unsent(event)
