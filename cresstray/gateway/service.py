"""Runs one gateway: starts its parts in order, handles signals, and shuts it down."""

from __future__ import annotations

import signal
import socket
from collections.abc import AsyncIterator, Mapping
from typing import TYPE_CHECKING, Any, NoReturn

import anyio
from anyio.abc import TaskStatus

from cresstray.discovery.endpoint_list import EndpointEvent
from cresstray.gateway.composition import GatewayParts
from cresstray.gateway.errors import AddressError, ConfigurationError
from cresstray.gateway.listening import Address, bind_listener, open_listener
from cresstray.gateway.reload import ReadCoordinator, ReadOperator, Reloader
from cresstray.gateway.resident_memory import resident_bytes
from cresstray.gateway.shutdown import GracefulShutdown
from cresstray.gateway.signals import receive_signals
from cresstray.memory_budget import MEGABYTE

if TYPE_CHECKING:
    from cresstray.config.operator import Operator
    from cresstray.sites.links import SiteLinkManager

# A starting gateway has the endpoint list of its configuration and waits this long for later events, which is
# as long as one connection attempt may take. An unreachable coordinator must not keep it from serving.
_INITIAL_LIST_SECONDS = 0.5


def _reject_reload() -> NoReturn:
    raise ValueError("this gateway was started without a file")


class Service:
    """One gateway process, from its configuration to the end of the event loop."""

    def __init__(
        self,
        name: str,
        listen: Address,
        seed: int,
        settings: Mapping[str, Any],
        events: list[EndpointEvent],
        coordinator: str | None,
        read_coordinator: ReadCoordinator = _reject_reload,
        descriptors: int = 1024,
        operator: Operator | None = None,
        read_operator: ReadOperator = _reject_reload,
        memory_limit_bytes: int | None = None,
    ) -> None:
        self.listen = listen
        self._memory_limit_bytes = memory_limit_bytes
        self._initial_events = events
        self._operator = operator
        last_index = events[-1].index if events else 0
        self.parts = GatewayParts(name, seed, settings, coordinator, last_index, descriptors, operator)
        self._reloader = Reloader(self.parts, read_coordinator, read_operator)
        self._shutdown = GracefulShutdown(self.parts)

    async def run(self, *, task_status: TaskStatus[Address] = anyio.TASK_STATUS_IGNORED) -> None:
        """Serves until SIGTERM; reports the address to `task_status` once clients are accepted.

        Raises:
            AddressError: the address cannot be listened on.
            ConfigurationError: the process holds more than its memory limit.
        """
        self._check_memory_limit()
        with receive_signals() as signals, bind_listener(self.listen) as listener:
            address_error: AddressError | None = None
            async with anyio.create_task_group() as self.parts.tasks:
                try:
                    await self._start(listener)
                    host, port = listener.getsockname()
                    self.parts.log.log("service", f"serves on {host}:{port}")
                    task_status.started((host, port))
                    await self._serve(signals)
                except AddressError as error:
                    address_error = error
                self.parts.tasks.cancel_scope.cancel()
            if address_error is not None:
                raise address_error
            self.report()

    def _check_memory_limit(self) -> None:
        held_bytes = resident_bytes()
        if self._memory_limit_bytes is not None and held_bytes >= self._memory_limit_bytes:
            raise ConfigurationError(
                f"the process needs {held_bytes / MEGABYTE:.1f} MB before its first client, and may hold "
                f"{self._memory_limit_bytes / MEGABYTE:.1f} - at `$.limits.memory_mb`"
            )

    async def _start(self, listener: socket.socket) -> None:
        """Starts all parts and finally accepts clients; raises AddressError."""
        parts = self.parts
        if parts.membership is not None:
            parts.membership.recover(parts.clock.now())
        for event in self._initial_events:
            parts.endpoint_updates.on_event(event)
        if parts.membership_jobs is not None:
            parts.membership_jobs.start(parts.tasks)
        parts.tasks.start_soon(parts.watch.run, parts.tasks)
        parts.tasks.start_soon(parts.timers.run)
        if parts.idempotency is not None:
            parts.idempotency.start(parts.tasks)
        if parts.worker is not None:
            parts.worker.start()
        # An engine may have started draining after the configuration was written, and its drain grace may end
        # before this process is up. Clients and other sites are therefore accepted only once the endpoint
        # list is current. Until then their connections are refused, as by a process that is not running: in
        # the kernel's accept queue their timeouts would run.
        await parts.watch.wait_until_current(_INITIAL_LIST_SECONDS)
        if parts.links is not None:
            await self._start_links(parts.links)
        if parts.fleet_member is not None:
            parts.fleet_member.start(parts.tasks)
        if self._memory_limit_bytes is not None:
            parts.memory.set_limit(self._memory_limit_bytes, resident_bytes())
        open_listener(listener, self.listen)
        parts.tasks.start_soon(parts.listener.run, listener)

    async def _start_links(self, links: SiteLinkManager) -> None:
        from cresstray.sites.links import serve_status

        await links.run(self.parts.tasks)
        sites = self._operator.halls if self._operator is not None else None
        if sites is not None and sites.control:
            self.parts.tasks.start_soon(serve_status, sites.control, links.status)

    async def _serve(self, signals: AsyncIterator[signal.Signals]) -> None:
        """Handles signals until SIGTERM, then shuts down. Signals during the shutdown are ignored."""
        async for received in signals:
            if received == signal.SIGUSR1:
                self.report()
            elif received == signal.SIGHUP:
                self._reloader.reload()
            else:
                await self._shutdown.run()
                return

    def report(self) -> None:
        """Logs all counters."""
        counters = self.parts.counters
        counters.counts["event loop max lateness us"] = self.parts.timers.max_lateness_us
        counters.counts["memory held for clients at most, bytes"] = self.parts.memory.peak_bytes
        turns = self.parts.listener.turns
        counters.counts["client turns waited for at most, us"] = turns.longest_wait_us
        counters.counts["client turns took at most, us"] = turns.longest_turn_us
        for line in counters.lines():
            self.parts.log.log_always("counter", line)
