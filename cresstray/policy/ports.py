"""The interfaces between the policy and its surroundings: what it calls, and what it asks of other packages.

Times are whole microseconds.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from cresstray.policy.types import Attempt, Engine, Request


class PolicyPort(Protocol):
    """The actions that the policy asks of its adapter. Each takes effect at once and returns nothing."""

    def send_attempt(self, attempt: Attempt, timeout_us: int) -> None:
        """Sends an attempt to its engine; it ends as timed out after `timeout_us`."""

    def cancel_attempt(self, attempt: Attempt) -> None:
        """Cancels an attempt in flight. Its outcome is still reported."""

    def reject_request(self, request: Request, retry_after_us: int) -> None:
        """Answers that the request was not executed and may be sent again after `retry_after_us`."""

    def fail_request(self, request: Request) -> None:
        """Answers that the request failed and may have been executed."""

    def assign_resources(self, request: Request, memory_mb: float, priority: int) -> None:
        """Grants memory and a priority from 0 to 3 to the request's next attempt."""

    def call_later(self, delay_us: int, callback: Callable[[int], None]) -> None:
        """Calls back once, with the time then."""

    def probe_engine(self, engine: Engine) -> None:
        """Sends a health check to an engine."""

    def subscribe_to_endpoints(self) -> None:
        """Asks for the endpoint list and its changes."""

    def log_event(self, text: str) -> None:
        """Logs an event for operators."""


class AdmissionRules(Protocol):
    """What the fleet's configuration lets this gateway do now: asked at each decision, never cached."""

    def gateway_count(self, now_us: int) -> int:
        """Returns how many gateways share the engines; 0 if this one may send nothing."""

    def admits(self, request: Request, now_us: int) -> bool:
        """Returns False if the request is to be rejected at once."""

    def allows(self, request: Request, engine: Engine, now_us: int) -> bool:
        """Returns whether the request may be sent to this engine."""

    def retry_budget_scale(self, request: Request, now_us: int) -> float:
        """Returns the factor on the retry budget for this request."""


class AdmissionRulesOwner(Protocol):
    """What `ChainedRules` needs to know of the controller."""

    admission_rules: AdmissionRules | None
    gateway_count: int


class ChainedAdmissionRules:
    """Admission rules that pass every question to the rules in force before; subclasses override some."""

    def __init__(self, controller: AdmissionRulesOwner) -> None:
        self._controller = controller
        self._next_rules: AdmissionRules | None = controller.admission_rules

    def gateway_count(self, now_us: int) -> int:
        """Returns how many gateways share the engines; 0 if this one may send nothing."""
        return self._next_rules.gateway_count(now_us) if self._next_rules else self._controller.gateway_count

    def admits(self, request: Request, now_us: int) -> bool:
        """Returns False if the request is to be rejected at once."""
        return self._next_rules is None or self._next_rules.admits(request, now_us)

    def allows(self, request: Request, engine: Engine, now_us: int) -> bool:
        """Returns whether the request may be sent to this engine."""
        return self._next_rules is None or self._next_rules.allows(request, engine, now_us)

    def retry_budget_scale(self, request: Request, now_us: int) -> float:
        """Returns the factor on the retry budget for this request."""
        return self._next_rules.retry_budget_scale(request, now_us) if self._next_rules else 1.0


class ForwardingRoute(Protocol):
    """The way to another site; decides whether a request is forwarded over it."""

    def accepts(self, request: Request, local_load: float | None, now_us: int) -> bool:
        """Returns whether the request is to be forwarded.

        `local_load` is the load of the local engine that would take it otherwise, in threads per core; None
        if there is none.
        """
