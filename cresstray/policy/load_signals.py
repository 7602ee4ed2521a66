"""What load reports tell of engines: the threads of other gateways, memory pressure and overload."""

from __future__ import annotations

from cresstray.policy.deadlines import WINDOW_US

# A report counts half as much after this long, against the mean of all engines.
HALF_LIFE_WINDOWS = 2


class LoadSignals:
    """Exponentially weighted means of what load reports tell."""

    __slots__ = ("other_threads_per_core", "resource_pressure", "updated_us")

    def __init__(self) -> None:
        self.other_threads_per_core = 0.0  # of work that is not this gateway's
        self.resource_pressure = 0.0  # memory granted or waited for, against what there is
        self.updated_us = 0

    def update(
        self, weight: float, other_threads_per_core: float, resource_pressure: float, now_us: int
    ) -> None:
        """Includes a report with a weight from 0 to 1."""
        self.other_threads_per_core += weight * (other_threads_per_core - self.other_threads_per_core)
        self.resource_pressure += weight * (resource_pressure - self.resource_pressure)
        self.updated_us = now_us


class FleetSignals(LoadSignals):
    """The means over all engines, and the sums over the ready ones."""

    __slots__ = ("running_threads", "total_limit")

    def __init__(self) -> None:
        super().__init__()
        self.running_threads = 0  # of this gateway's requests
        self.total_limit = 0.0  # of all concurrency limits


class EngineSignals(LoadSignals):
    """The signals of one engine.

    Without requests an engine sends no reports: one seen busy would be avoided for good, one seen idle would
    be flooded. So what is known of it fades over into what is known of the fleet.
    """

    __slots__ = ("fleet", "overloaded_until_us", "has_idle_cores", "locked_until_us")

    def __init__(self, fleet: FleetSignals) -> None:
        super().__init__()
        self.fleet = fleet
        self.overloaded_until_us = 0  # after it has refused a request as overloaded
        self.has_idle_cores = False  # by its last report
        self.locked_until_us: dict[int, int] = {}  # by data set that a load was seen to hold

    def freshness(self, now_us: int) -> float:
        """Returns the weight of this engine's own reports: 1 as they come, halved in every two seconds."""
        freshness: float = 0.5 ** ((now_us - self.updated_us) / WINDOW_US / HALF_LIFE_WINDOWS)
        return freshness

    def other_threads_now(self, now_us: int) -> float:
        """Returns the threads per core that others are believed to run there."""
        freshness: float = 0.5 ** ((now_us - self.updated_us) / WINDOW_US / HALF_LIFE_WINDOWS)
        fleet_threads = self.fleet.other_threads_per_core
        return fleet_threads + (self.other_threads_per_core - fleet_threads) * freshness

    def other_threads_at(self, freshness: float) -> float:
        """Returns the same at a known freshness."""
        fleet_threads = self.fleet.other_threads_per_core
        return fleet_threads + (self.other_threads_per_core - fleet_threads) * freshness

    def resource_pressure_at(self, freshness: float) -> float:
        """Returns the resource pressure that is believed to be there, at a known freshness."""
        fleet_pressure = self.fleet.resource_pressure
        return fleet_pressure + (self.resource_pressure - fleet_pressure) * freshness

    def is_data_set_locked(self, data_set: int, now_us: int) -> bool:
        """Returns whether a request was lately seen to wait for this data set."""
        return now_us < self.locked_until_us.get(data_set, 0)
