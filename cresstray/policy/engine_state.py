"""All that the policy knows of one engine, and the questions that need several parts of it."""

from __future__ import annotations

from collections.abc import Mapping
from typing import TYPE_CHECKING

from cresstray.policy.concurrency_limit import ConcurrencyLimit
from cresstray.policy.deadlines import WINDOW_US
from cresstray.policy.load_signals import EngineSignals, FleetSignals
from cresstray.policy.outlier_detection import EngineHealth
from cresstray.policy.slow_start import SlowStart

if TYPE_CHECKING:
    from cresstray.policy.latency_estimate import WorkloadAverages
    from cresstray.policy.types import Request

# The limit binds from so many threads per core on: three threads for two cores if these are busy or nothing
# is known of late, up to two per core if not, as some threads wait for disks.
BUSY_THREADS_PER_CORE = 1.5
IDLE_THREADS_PER_CORE = 0.5
# The limit binds from this resource pressure on: of the engines that are not known, half are under more
# pressure than the mean, so that old reports count from three quarters on.
STALE_PRESSURE = 0.75
FRESH_PRESSURE = 0.25
# This gateway runs at most so many times the sum of its limits, as some gateways see several times the mean.
MAX_FLEET_LIMITS = 3
# Cores that are less loaded than this count as idle.
BUSY_LOAD_SHARE = 0.9
# Memory granted over what there is, beyond the noise of reports.
MEMORY_NOISE = 1.15
# The older what is known, the more a report counts; of the fleet, over two seconds or four reports.
MIN_REPORT_WEIGHT = 0.3
MAX_FLEET_REPORT_WEIGHT = 0.25


class EngineState:
    """The concurrency limit, load signals, health and slow start of one engine."""

    __slots__ = ("fleet", "limit", "signals", "health", "slow_start")

    def __init__(self, cores: float, gateway_count: int, fleet: FleetSignals) -> None:
        self.fleet = fleet
        self.limit = ConcurrencyLimit(cores, gateway_count)
        self.signals = EngineSignals(fleet)
        self.health = EngineHealth()
        self.slow_start = SlowStart()

    def take_over(self, earlier: EngineState) -> None:
        """Continues from what an earlier state has learnt of the same life of the engine."""
        self.limit.take_over_samples(earlier.limit)
        self.signals = earlier.signals
        self.health = earlier.health

    def load(self, more_threads: int, now_us: int) -> float:
        """Returns the threads per core with so many more, scaled by how much slower than expected it is."""
        limit = self.limit
        own_threads = (limit.running_threads + more_threads) / limit.cores
        return (own_threads + self.signals.other_threads_now(now_us)) * limit.slowdown

    def is_under_pressure(self, now_us: int) -> bool:
        """Returns whether the limit binds: lately overloaded, busy by reports, or without any slow."""
        signals = self.signals
        if now_us < signals.overloaded_until_us:
            return True
        if not self.fleet.updated_us:
            return self.limit.has_high_latency()
        freshness = signals.freshness(now_us)
        threads = self.limit.running_threads / self.limit.cores + signals.other_threads_at(freshness)
        if threads >= BUSY_THREADS_PER_CORE + IDLE_THREADS_PER_CORE * freshness * signals.has_idle_cores:
            return True
        return signals.resource_pressure_at(freshness) >= STALE_PRESSURE + FRESH_PRESSURE * freshness

    def spare_threads(self, now_us: int, max_threads_per_core: float) -> float:
        """Returns the threads that another site's requests may use."""
        signals = self.signals
        is_unfit = (
            self.health.is_suspected or self.slow_start.next_send_us or now_us < signals.overloaded_until_us
        )
        if is_unfit:
            return 0.0
        freshness = signals.freshness(now_us)
        if signals.resource_pressure_at(freshness) >= STALE_PRESSURE:
            return 0.0
        limit = self.limit
        others = signals.other_threads_at(freshness)
        return (max_threads_per_core - others) * limit.cores - limit.running_threads

    def permits(self, request: Request, now_us: int) -> bool:
        """Returns whether the limit lets the request in now."""
        limit = self.limit
        if limit.running_threads + request.request_class.threads <= limit.value:
            return True
        if not self.is_under_pressure(now_us):
            return True
        # Limits of a part of a thread would let one request onto each engine. As latency rises, all gateways
        # together would be many times over, so the sum over the fleet is bounded. One thread over it at
        # least, as narrow requests would never leave capacity for wide ones.
        fleet = self.fleet
        if fleet.running_threads >= max(1.0, MAX_FLEET_LIMITS * fleet.total_limit):
            return False
        return limit.admits_by_chance(request)

    def on_report(self, report: Mapping[str, float], averages: WorkloadAverages, now_us: int) -> None:
        """Includes a load report in the signals of the engine and of the fleet.

        What others run there is what the engine runs beside this gateway's requests and the one that the
        report came with, of the same mix of classes.
        """
        signals = self.signals
        cores = self.limit.cores
        others = max(0.0, report.get("concurrent", 0.0) - len(self.limit.attempts) - 1)
        other_threads = others * averages.work_us / averages.expected_us / cores
        is_waiting_for_memory = report.get("depth", 0.0) >= 1
        pressure = max(report.get("x0", 0.0) / MEMORY_NOISE, float(is_waiting_for_memory))
        signals.has_idle_cores = report.get("load_share", 1.0) <= BUSY_LOAD_SHARE
        age = (now_us - signals.updated_us) / WINDOW_US / 2
        signals.update(min(1.0, max(MIN_REPORT_WEIGHT, age)), other_threads, pressure, now_us)
        fleet_age = (now_us - self.fleet.updated_us) / WINDOW_US / 2
        self.fleet.update(min(MAX_FLEET_REPORT_WEIGHT, fleet_age), other_threads, pressure, now_us)
