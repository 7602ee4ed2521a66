"""The parties of the model of idempotency records: requests, gateways, and calls to the store."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from sys import intern
from typing import TYPE_CHECKING, Any, NamedTuple

from cresstray.config.idempotency import IdempotencySettings
from cresstray.idempotency.codec import Command
from cresstray.idempotency.coordinator import IdempotencyCoordinator
from cresstray.idempotency.execution_guard import (
    Decision,
    Proceed,
    ProceedUnguarded,
    Reject,
    ReplayResult,
)
from cresstray.model_checking.world import Uncounted, VirtualDue, VirtualTimers, fixed, untold
from cresstray.policy.types import Request, RequestClass

if TYPE_CHECKING:
    from cresstray.model_checking.marked import IdempotencyWorld

MILLI = 1_000
_DEADLINE_US = 1_000 * MILLI
_MAX_RETRY_AFTER_US = 1_000 * MILLI
_OPERATOR_SETTINGS = IdempotencySettings(request_classes=("load",), max_result_bytes=64)
_DEPLOYMENT_SETTINGS = {
    "Limits": {"RetryAfter": True, "MaxRetryAfter": 1000},
    "Services": [{"Name": "load", "Effect": "deduplicated"}],
}


class Query:
    """The client's query, as far as it matters."""

    idempotency_key = "m"


class ModelRequest:
    """One request at one gateway, and what its pipeline knows of it."""

    def __init__(self, gateway: ModelGateway, request_class: RequestClass, now_us: int) -> None:
        self.gateway = gateway
        self.request = Request(request_class, now_us, now_us + _DEADLINE_US)
        self.query = Query()
        self.may_be_sent: bool | None = None  # None until there is a decision
        self.is_unguarded = False
        self.is_sent = False
        self.has_returned = False
        self.is_finished = False
        self.was_stopped = False  # its gateway was, while it was open

    def on_decision(self, decision: Decision) -> None:
        """Takes the coordinator's decision, and checks that it is the only one and a sound one."""
        world = self.gateway.world
        name = self.gateway.name
        if self.may_be_sent is not None:
            world.breaks("one_answer", f"{name} is told twice what to do")
            return
        self.may_be_sent = isinstance(decision, Proceed | ProceedUnguarded)
        self.is_unguarded = isinstance(decision, ProceedUnguarded)
        if self.may_be_sent:
            return
        self.is_finished = True
        if isinstance(decision, Reject) and not 0 <= decision.retry_after_us <= _MAX_RETRY_AFTER_US:
            world.breaks("sound", f"{name} denies until {decision.retry_after_us}")
        if isinstance(decision, ReplayResult) and not world.executions:
            world.breaks("own_name", f"{name} answers from what never ran")

    def finish(self, how: str, result: bytes | None = None) -> None:
        """Its final answer is out."""
        self.is_finished = True
        self.gateway.coordinator.on_request_finished(self.request, how, result, self.gateway.world.clock.at)

    def is_idle(self) -> bool:
        """Whether the client may ask again at this gateway."""
        return self.is_finished and (not self.is_sent or self.has_returned)


class StoreCall(NamedTuple):
    """Commands at the store.

    `on_done` is None where nobody waits any more; `replies` is None until the store has executed them;
    `timeout` is the caller's time limit.
    """

    number: int
    gateway: int
    incarnation: int
    commands: tuple[tuple[bytes, ...], ...]
    on_done: Callable[[list[Any] | None], None] | None
    replies: tuple[Any, ...] | None
    timeout: VirtualDue


class ModelGateway:
    """One gateway: its coordinator, its timers, and its client to the store."""

    def __init__(self, world: IdempotencyWorld, number: int, incarnation: int) -> None:
        self.world = world
        self.number = number
        self.incarnation = incarnation
        self.name = intern(f"g{number}")
        self.timers = VirtualTimers(world.clock)
        self.is_stopped = False
        self.current: ModelRequest | None = None
        self.coordinator = IdempotencyCoordinator(
            self,
            _OPERATOR_SETTINGS,
            _DEPLOYMENT_SETTINGS,
            [world.request_class],
            self.name,
            str(incarnation),
            fixed,
            world.clock,
            self.timers,
            Uncounted(),
            None,
            untold,
        )

    def submit(
        self, commands: Sequence[Command], deadline_us: int, on_done: Callable[[list[Any] | None], None]
    ) -> None:
        """Hands commands to the store's model; as idempotency.client."""
        world = self.world
        arguments = tuple(command.arguments for command in commands)
        if arguments[0][0] == b"TIME":
            # Probes and readings of the clock succeed: no request waits for them.
            self.timers.call_after(0, lambda _: on_done([world.execute(one) for one in arguments]))
            return
        number = min({*range(len(world.calls) + 1)} - {call.number for call in world.calls})
        timeout = self.timers.call_after(
            deadline_us - world.clock.at, lambda _: world.on_timeout(number, self.number, self.incarnation)
        )
        world.calls.append(
            StoreCall(number, self.number, self.incarnation, arguments, on_done, None, timeout)
        )
