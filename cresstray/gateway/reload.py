"""Reload on SIGHUP: applies the coordinator and the links to other sites of the new configuration."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from cresstray.gateway.composition import GatewayParts

if TYPE_CHECKING:
    from cresstray.config.operator import Halls, Operator

ReadCoordinator = Callable[[], str | None]
ReadOperator = Callable[[], "Operator | None"]


class Reloader:
    """Reads the configuration again and applies what can change at run time.

    A configuration that cannot be used leaves the running one unchanged and logs one line for operators.
    Everything but the coordinator and the links to other sites stays as it was at startup.
    """

    def __init__(
        self,
        parts: GatewayParts,
        read_coordinator: ReadCoordinator,
        read_operator: ReadOperator,
    ) -> None:
        self._parts = parts
        self._read_coordinator = read_coordinator
        self._read_operator = read_operator

    def reload(self) -> None:
        """Applies the new configuration in one step, or none of it."""
        parts = self._parts
        try:
            coordinator = self._read_coordinator()
            sites = self._read_sites() if parts.links is not None else None
            parts.watch.reconnect_to(coordinator)
            if parts.links is not None and sites is not None:
                parts.links.reload(sites)
        except (ValueError, OSError) as error:
            parts.log.log_always(
                "service", f"the new configuration can't be used, the old one stays: {error}"
            )

    def _read_sites(self) -> Halls:
        operator = self._read_operator()
        if operator is None or operator.halls is None:
            raise ValueError("the operator's file names no hall any more")
        return operator.halls
