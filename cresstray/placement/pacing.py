"""Transfer rates of copies: a share of both engines' throughput, less while either is overloaded."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import TYPE_CHECKING, NamedTuple

from cresstray.placement.model import Limits

if TYPE_CHECKING:
    from cresstray.placement.move_executor import DiskReport

# An engine is overloaded with three quarters of its cores busy, or two threads per core.
_BUSY_UTILIZATION, _MAX_THREADS_PER_CORE = 0.75, 2.0
# The part is halved at each report of overload, and regains an eighth at each other one. It stays above a
# sixteenth, so that a plan ends on a fleet that is always busy.
_BACK_OFF_FACTOR, _RECOVERY_STEP, _MIN_PART = 0.5, 0.125, 1 / 16
# An engine without a report for so long is treated as overloaded.
_MAX_SILENCE_US = 2_000_000


class Transfer(NamedTuple):
    """A copy in progress; the caller chooses `key`."""

    key: int
    source: str
    target: str


class RateController:
    """Computes rates in bytes per second, with a backoff for each engine."""

    def __init__(self) -> None:
        self._parts: dict[str, float] = {}
        self._reported_at_us: dict[str, int] = {}

    def part(self, engine: str) -> float:
        """Returns how much of its share an engine may use now."""
        return self._parts.get(engine, 1.0)

    def on_reports(self, told: Mapping[str, DiskReport], now: int) -> None:
        """Adjusts the backoff by the reports of engines, each report once."""
        for engine in [engine for engine in self._reported_at_us if engine not in told]:
            del self._reported_at_us[engine]
            self._parts.pop(engine, None)
        for engine, disk in told.items():
            seen = self._reported_at_us.get(engine, -1)
            silent = now - max(disk.asked_at_us, seen) > _MAX_SILENCE_US
            if disk.asked_at_us <= seen and not silent:
                continue
            self._reported_at_us[engine] = now if silent else disk.asked_at_us
            part = self.part(engine)
            self._parts[engine] = (
                max(_MIN_PART, part * _BACK_OFF_FACTOR)
                if silent or is_pressed(disk)
                else min(1.0, part + _RECOVERY_STEP)
            )

    def transfer_rates(
        self, flows: Iterable[Transfer], limits: Limits, told: Mapping[str, DiskReport]
    ) -> dict[int, int]:
        """Returns the rate of each transfer; no engine and no zone border exceeds its share in total."""
        flows = list(flows)
        ends: dict[str, int] = {}
        borders: dict[tuple[str, str], int] = {}
        for flow in flows:
            for engine in (flow.source, flow.target):
                ends[engine] = ends.get(engine, 0) + 1
            border = zone_pair(flow.source, flow.target, told)
            borders[border] = borders.get(border, 0) + 1
        made = {}
        for flow in flows:
            rates = [
                told[engine].pace * limits.share * self.part(engine) / ends[engine]
                for engine in (flow.source, flow.target)
                if engine in told
            ]
            border = zone_pair(flow.source, flow.target, told)
            if limits.border_pace and border[0] != border[1]:
                rates.append(limits.border_pace / borders[border])
            made[flow.key] = max(1, int(min(rates))) if rates else 1
        return made


def is_pressed(disk: DiskReport) -> bool:
    """Returns whether an engine's report shows overload; `depth` is the length of its queue."""
    return (
        disk.util >= _BUSY_UTILIZATION
        or disk.depth > max(1.0, disk.cores)
        or disk.cores > 0
        and disk.inflight >= _MAX_THREADS_PER_CORE * disk.cores
    )


def zone_pair(one: str, other: str, told: Mapping[str, DiskReport]) -> tuple[str, str]:
    """Returns the sorted zones of two engines; the same zone twice means no border."""
    zones = [told[engine].zone if engine in told else "" for engine in (one, other)]
    return min(zones), max(zones)
