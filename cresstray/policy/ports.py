"""The interfaces that the policy calls: the actions of its adapter, and rules that other packages provide.

Times are whole microseconds.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from cresstray.policy.types import Attempt, Engine, Request


class PolicyPort(Protocol):
    """The actions of the policy, carried out by its adapter. Each takes effect at once."""

    def send_attempt(self, attempt: Attempt, timeout_us: int) -> None:
        """Sends an attempt to its engine; it ends as timed out after `timeout_us`."""

    def cancel_attempt(self, attempt: Attempt) -> None:
        """Cancels an attempt in flight. The adapter still reports its outcome."""

    def reject_request(self, request: Request, retry_after_us: int) -> None:
        """Rejects the request: the client may send it again after `retry_after_us`."""

    def fail_request(self, request: Request) -> None:
        """Fails the request, which may have been executed."""

    def assign_resources(self, request: Request, memory_mb: float, priority: int) -> None:
        """Grants memory and a priority from 0 to 3 to the request's next attempt."""

    def call_later(self, delay_us: int, callback: Callable[[int], None]) -> None:
        """Calls `callback` once after the delay, with the current time."""

    def probe_engine(self, engine: Engine) -> None:
        """Sends a health check to an engine."""

    def subscribe_to_endpoints(self) -> None:
        """Requests the endpoint list and subscribes to its changes."""

    def log_event(self, text: str) -> None:
        """Logs an event for operators."""


class AdmissionRules(Protocol):
    """What the fleet's configuration allows this gateway to do; asked for each decision, never cached."""

    def gateway_count(self, now_us: int) -> int:
        """Returns how many gateways share the engines; 0 if this gateway may not send."""

    def admits(self, request: Request, now_us: int) -> bool:
        """Returns whether the request may run at all; if not, it is rejected at once."""

    def allows(self, request: Request, engine: Engine, now_us: int) -> bool:
        """Returns whether the request may be sent to this engine."""

    def still_allows(self, request: Request, engine: Engine, now_us: int) -> bool:
        """Returns whether an attempt that has waited for its connection may be sent to this engine now.

        Unlike `allows`, it does not ask for capacity, which the attempt holds already.
        """

    def retry_budget_scale(self, request: Request, now_us: int) -> float:
        """Returns the factor by which the retry budget is scaled for this request."""


class AdmissionRulesOwner(Protocol):
    """The attributes of the controller that `ChainedAdmissionRules` reads."""

    admission_rules: AdmissionRules | None
    gateway_count: int


class ChainedAdmissionRules:
    """Admission rules that delegate to those that the controller had before; subclasses add conditions."""

    def __init__(self, controller: AdmissionRulesOwner) -> None:
        self._controller = controller
        self._next_rules: AdmissionRules | None = controller.admission_rules

    def gateway_count(self, now_us: int) -> int:
        """Returns how many gateways share the engines; 0 if this gateway may not send."""
        return self._next_rules.gateway_count(now_us) if self._next_rules else self._controller.gateway_count

    def admits(self, request: Request, now_us: int) -> bool:
        """Returns whether the request may run at all; if not, it is rejected at once."""
        return self._next_rules is None or self._next_rules.admits(request, now_us)

    def allows(self, request: Request, engine: Engine, now_us: int) -> bool:
        """Returns whether the request may be sent to this engine."""
        return self._next_rules is None or self._next_rules.allows(request, engine, now_us)

    def still_allows(self, request: Request, engine: Engine, now_us: int) -> bool:
        """Returns whether an attempt that has waited for its connection may be sent to this engine now."""
        return self._next_rules is None or self._next_rules.still_allows(request, engine, now_us)

    def retry_budget_scale(self, request: Request, now_us: int) -> float:
        """Returns the factor by which the retry budget is scaled for this request."""
        return self._next_rules.retry_budget_scale(request, now_us) if self._next_rules else 1.0


class ForwardingRoute(Protocol):
    """The route to a gateway of another site; decides which requests are forwarded over it."""

    def accepts(self, request: Request, local_load: float | None, now_us: int) -> bool:
        """Returns whether the request is to be forwarded.

        `local_load` is the load, in threads per core, of the local engine that would get the request
        otherwise; None if no local engine can take it.
        """
