"""The policy state of one engine, and the computations that combine several parts of it."""

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

# The limit is enforced from this many threads per core on: three threads for two cores if they are busy or no
# recent report is known; up to IDLE_THREADS_PER_CORE more if cores are idle, as some threads wait for disks.
BUSY_THREADS_PER_CORE = 1.5
IDLE_THREADS_PER_CORE = 0.5
# The limit is enforced from this resource pressure on: 1 by a fresh report. Without one, only the mean of the
# fleet is known, and half of the engines are above it; so old reports count from three quarters on.
STALE_PRESSURE = 0.75
FRESH_PRESSURE = 0.25
# This gateway runs at most this many times the sum of its limits, as some gateways get several times as many
# requests as the mean.
MAX_FLEET_LIMITS = 3
# An engine has idle cores if the reported load of its cores is at most this.
BUSY_LOAD_SHARE = 0.9
# Memory granted over memory available; above this ratio it is more than the noise of reports.
MEMORY_NOISE = 1.15
# The weight of a report grows with the age of the last one. It has this minimum for an engine, and this
# maximum for the mean of the fleet, which thus covers two seconds or four reports.
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
        """Continues from the statistics of an earlier state of the engine, which has not restarted since."""
        self.limit.take_over_samples(earlier.limit)
        self.signals = earlier.signals
        self.health = earlier.health

    def load(self, added_threads: int, now_us: int) -> float:
        """Returns the threads per core with `added_threads` more, scaled by the slowdown of the engine."""
        limit = self.limit
        own_threads = (limit.running_threads + added_threads) / limit.cores
        return (own_threads + self.signals.other_threads_now(now_us)) * limit.slowdown

    def is_under_pressure(self, now_us: int) -> bool:
        """Returns whether the concurrency limit is enforced.

        It is if the engine was overloaded recently, or is busy by load reports; or if its latency is high
        where there are no load reports.
        """
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
        """Returns how many threads are available to requests of other sites."""
        signals = self.signals
        is_unavailable = (
            self.health.is_suspected or self.slow_start.next_send_us or now_us < signals.overloaded_until_us
        )
        if is_unavailable:
            return 0.0
        freshness = signals.freshness(now_us)
        if signals.resource_pressure_at(freshness) >= STALE_PRESSURE:
            return 0.0
        limit = self.limit
        other_threads = signals.other_threads_at(freshness)
        return (max_threads_per_core - other_threads) * limit.cores - limit.running_threads

    def permits(self, request: Request, now_us: int) -> bool:
        """Returns whether the concurrency limit admits the request now."""
        limit = self.limit
        if limit.running_threads + request.request_class.threads <= limit.value:
            return True
        if not self.is_under_pressure(now_us):
            return True
        # Limits below one thread would admit one request on each engine by chance. As latency rises, all
        # gateways together would exceed their limits many times, so the sum over the fleet is bounded. The
        # bound is one thread at least, as narrow requests would never leave capacity for wide ones.
        fleet = self.fleet
        if fleet.running_threads >= max(1.0, MAX_FLEET_LIMITS * fleet.total_limit):
            return False
        return limit.admits_by_chance(request)

    def on_report(self, report: Mapping[str, float], averages: WorkloadAverages, now_us: int) -> None:
        """Includes a load report in the signals of the engine and of the fleet.

        The requests of other gateways are those that the engine runs beside this gateway's requests and the
        one that the report came with. They are assumed to have the same mix of classes.
        """
        signals = self.signals
        cores = self.limit.cores
        other_requests = max(0.0, report.get("concurrent", 0.0) - len(self.limit.attempts) - 1)
        other_threads = other_requests * averages.work_us / averages.expected_us / cores
        is_waiting_for_memory = report.get("depth", 0.0) >= 1
        pressure = max(report.get("x0", 0.0) / MEMORY_NOISE, float(is_waiting_for_memory))
        signals.has_idle_cores = report.get("load_share", 1.0) <= BUSY_LOAD_SHARE
        engine_weight = (now_us - signals.updated_us) / WINDOW_US / 2
        signals.update(min(1.0, max(MIN_REPORT_WEIGHT, engine_weight)), other_threads, pressure, now_us)
        fleet_weight = (now_us - self.fleet.updated_us) / WINDOW_US / 2
        self.fleet.update(min(MAX_FLEET_REPORT_WEIGHT, fleet_weight), other_threads, pressure, now_us)
