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

    def on_reports(self, reports: Mapping[str, DiskReport], now_us: int) -> None:
        """Adjusts the backoff by the reports of engines, each report once."""
        for engine in [engine for engine in self._reported_at_us if engine not in reports]:
            del self._reported_at_us[engine]
            self._parts.pop(engine, None)
        for engine, disk in reports.items():
            seen = self._reported_at_us.get(engine, -1)
            silent = now_us - max(disk.asked_at_us, seen) > _MAX_SILENCE_US
            if disk.asked_at_us <= seen and not silent:
                continue
            self._reported_at_us[engine] = now_us if silent else disk.asked_at_us
            part = self.part(engine)
            self._parts[engine] = (
                max(_MIN_PART, part * _BACK_OFF_FACTOR)
                if silent or is_pressed(disk)
                else min(1.0, part + _RECOVERY_STEP)
            )

    def transfer_rates(
        self, transfers: Iterable[Transfer], limits: Limits, reports: Mapping[str, DiskReport]
    ) -> dict[int, int]:
        """Returns the rate of each transfer; no engine and no zone border exceeds its share in total."""
        transfers = list(transfers)
        transfer_counts: dict[str, int] = {}
        borders: dict[tuple[str, str], int] = {}
        for transfer in transfers:
            for engine in (transfer.source, transfer.target):
                transfer_counts[engine] = transfer_counts.get(engine, 0) + 1
            border = zone_pair(transfer.source, transfer.target, reports)
            borders[border] = borders.get(border, 0) + 1
        rate_of = {}
        for transfer in transfers:
            rates = [
                reports[engine].pace * limits.share * self.part(engine) / transfer_counts[engine]
                for engine in (transfer.source, transfer.target)
                if engine in reports
            ]
            border = zone_pair(transfer.source, transfer.target, reports)
            if limits.border_pace and border[0] != border[1]:
                rates.append(limits.border_pace / borders[border])
            rate_of[transfer.key] = max(1, int(min(rates))) if rates else 1
        return rate_of


def is_pressed(disk: DiskReport) -> bool:
    """Returns whether an engine's report shows overload; `depth` is the length of its queue."""
    return (
        disk.util >= _BUSY_UTILIZATION
        or disk.depth > max(1.0, disk.cores)
        or disk.cores > 0
        and disk.inflight >= _MAX_THREADS_PER_CORE * disk.cores
    )


def zone_pair(first: str, second: str, reports: Mapping[str, DiskReport]) -> tuple[str, str]:
    """Returns the sorted zones of two engines; the same zone twice means no border."""
    zones = [reports[engine].zone if engine in reports else "" for engine in (first, second)]
    return min(zones), max(zones)
