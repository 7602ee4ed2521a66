"""The memory and the priority that a request is granted on its engine."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from cresstray.policy.latency_estimate import WorkloadAverages
    from cresstray.policy.settings import PolicySettings
    from cresstray.policy.types import Request

# Memory over the estimate: enough for a close one, and little taken from others.
MEMORY_RESERVE = 1.3
DEFAULT_PRIORITY = 1
# The value for work, against the mean of all requests, above which a request has priority 1, 2 and 3.
PRIORITY_STEPS = (0.5, 1, 2)


class ResourceGrant(NamedTuple):
    """What a request is granted."""

    memory_mb: float
    priority: int


def grant_resources(
    request: Request, settings: PolicySettings, averages: WorkloadAverages
) -> ResourceGrant | None:
    """Returns what the request is granted, or None if nothing differs from the engine's defaults."""
    memory_mb = request.memory_mb * MEMORY_RESERVE if settings.grants_memory else 0.0
    priority = DEFAULT_PRIORITY
    if settings.grants_priority:
        density = -request.queue_rank * averages.work_us / averages.value
        priority = sum(density > step for step in PRIORITY_STEPS)
    if not memory_mb and priority == DEFAULT_PRIORITY:
        return None
    return ResourceGrant(memory_mb, priority)
