"""Load signals of engines, from their load reports: threads of other gateways, memory pressure, overload."""

from __future__ import annotations

from cresstray.policy.deadlines import WINDOW_US

# The half-life, in sample windows, of the weight of a report against the mean of all engines.
HALF_LIFE_WINDOWS = 2


class LoadSignals:
    """Exponentially weighted means of the values in load reports."""

    __slots__ = ("other_threads_per_core", "resource_pressure", "updated_us")

    def __init__(self) -> None:
        self.other_threads_per_core = 0.0  # run for other gateways
        self.resource_pressure = 0.0  # memory granted or waited for, relative to the memory available
        self.updated_us = 0

    def update(
        self, weight: float, other_threads_per_core: float, resource_pressure: float, now_us: int
    ) -> None:
        """Includes a report with a weight from 0 to 1."""
        self.other_threads_per_core += weight * (other_threads_per_core - self.other_threads_per_core)
        self.resource_pressure += weight * (resource_pressure - self.resource_pressure)
        self.updated_us = now_us


class FleetSignals(LoadSignals):
    """The means over all engines, and the sums over the ready engines."""

    __slots__ = ("running_threads", "total_limit")

    def __init__(self) -> None:
        super().__init__()
        self.running_threads = 0  # of this gateway's requests
        self.total_limit = 0.0  # of all concurrency limits


class EngineSignals(LoadSignals):
    """The signals of one engine.

    An engine without requests sends no reports: one that was last seen busy would be avoided for ever, and
    one that was last seen idle would be flooded. So the signals of an engine decay to the means of the fleet.
    """

    __slots__ = ("fleet", "overloaded_until_us", "has_idle_cores", "locked_until_us")

    def __init__(self, fleet: FleetSignals) -> None:
        super().__init__()
        self.fleet = fleet
        self.overloaded_until_us = 0  # set when it rejects a request as overloaded
        self.has_idle_cores = False  # according to its last report
        self.locked_until_us: dict[int, int] = {}  # by data set that a data load was seen to lock

    def freshness(self, now_us: int) -> float:
        """Returns the weight of this engine's last report: 1 at first, halved every two seconds."""
        freshness: float = 0.5 ** ((now_us - self.updated_us) / WINDOW_US / HALF_LIFE_WINDOWS)
        return freshness

    def other_threads_now(self, now_us: int) -> float:
        """Returns the estimated threads per core that the engine runs for other gateways."""
        freshness: float = 0.5 ** ((now_us - self.updated_us) / WINDOW_US / HALF_LIFE_WINDOWS)
        fleet_threads = self.fleet.other_threads_per_core
        return fleet_threads + (self.other_threads_per_core - fleet_threads) * freshness

    def other_threads_at(self, freshness: float) -> float:
        """Returns the estimated threads per core for other gateways, at a freshness that is known."""
        fleet_threads = self.fleet.other_threads_per_core
        return fleet_threads + (self.other_threads_per_core - fleet_threads) * freshness

    def resource_pressure_at(self, freshness: float) -> float:
        """Returns the estimated resource pressure, at a freshness that is known."""
        fleet_pressure = self.fleet.resource_pressure
        return fleet_pressure + (self.resource_pressure - fleet_pressure) * freshness

    def is_data_set_locked(self, data_set: int, now_us: int) -> bool:
        """Returns whether a request was recently seen to wait for this data set."""
        return now_us < self.locked_until_us.get(data_set, 0)
