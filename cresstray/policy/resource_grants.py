"""The memory and the priority that a request is granted on its engine."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from cresstray.policy.latency_estimate import WorkloadAverages
    from cresstray.policy.settings import PolicySettings
    from cresstray.policy.types import Request

# Memory granted over the estimate: enough for a close estimate, and little taken from other requests.
MEMORY_RESERVE = 1.3
DEFAULT_PRIORITY = 1
# Value per work, relative to the mean of all requests, above which a request gets priority 1, 2 and 3.
PRIORITY_THRESHOLDS = (0.5, 1, 2)


class ResourceGrant(NamedTuple):
    """The memory and the priority of one request on its engine."""

    memory_mb: float
    priority: int


def grant_resources(
    request: Request, settings: PolicySettings, averages: WorkloadAverages
) -> ResourceGrant | None:
    """Returns the grant for a request, or None if it does not differ from the engine's defaults."""
    memory_mb = request.memory_mb * MEMORY_RESERVE if settings.grants_memory else 0.0
    priority = DEFAULT_PRIORITY
    if settings.grants_priority:
        relative_density = -request.queue_rank * averages.work_us / averages.value
        priority = sum(relative_density > threshold for threshold in PRIORITY_THRESHOLDS)
    if not memory_mb and priority == DEFAULT_PRIORITY:
        return None
    return ResourceGrant(memory_mb, priority)
