"""The settings that the policy uses, decoded once from the settings document.

| name in the settings document | name in this module |
| --- | --- |
| `Balancers`, `Zone`, `MembershipMode` | `gateway_count`, `zone`, `must_subscribe` |
| `Services` | `request_classes` |
| `FamilyInfo.CpuOfKind`, `.TellsEvery` | `cores_by_instance_type`, `progress_interval_us` |
| `FamilyInfo.MemoryHeeded`, `.RanksHeeded` | `grants_memory`, `grants_priority` |
| `FamilyInfo.Dop`, `.Loads`, `.WaitsForLoads` | `request_classes`: threads and data sets |
| `Limits.Cancel` | `can_cancel` |
| `Limits.Probes`, `Report.Source` | `can_probe` |
| `Limits.RetryAfter`, `.MaxRetryAfter` | `max_retry_after_us` |
| `Limits.MaxAttempts`, `Safety.BudgetWindow`, `.FreeResends`, `.ResendRatio`, `CrossingAhead` | `retry` |
| `Safety.WarmUp`, `.OverloadFactor`, `.ColdShare`, `.Fall` | `slow_start` |
| `Safety.TurnGap` | `ordering_gap_us` |

Times are milliseconds in the settings document, and microseconds in this module.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from cresstray.policy.latency_estimate import LatencyEstimate
from cresstray.policy.types import RequestClass


def to_microseconds(milliseconds: float) -> int:
    """Converts a time of the settings document from milliseconds to microseconds."""
    return int(milliseconds * 1000)


class PolicyError(Exception):
    """Base class of the policy's errors."""


class MissingSettingError(PolicyError, KeyError):
    """An event needs a setting that is absent."""


@dataclass(frozen=True, slots=True)
class RetrySettings:
    """Bounds on retries."""

    max_attempts: int
    budget_window_us: int | None  # None: the number of retries is unlimited
    free_retries: float  # allowed in any budget window
    retry_ratio: float  # further retries in a budget window, per request accepted in it
    # The longest time from when a retry is counted here until the site that it is forwarded to sends it.
    forwarding_delay_us: int


@dataclass(frozen=True, slots=True)
class SlowStartSettings:
    """Limits on the load of an engine that is warming up."""

    warm_up_us: int
    max_load: float  # from all gateways together, as a fraction of the engine's capacity
    overload_window_us: int  # the period over which overload of an engine is judged


@dataclass(frozen=True, slots=True)
class PolicySettings:
    """All settings that the policy uses."""

    zone: int | None
    gateway_count: int
    must_subscribe: bool  # the gateway has to request the endpoint list
    request_classes: list[RequestClass]
    cores_by_instance_type: list[float]
    progress_interval_us: int | None  # between the progress updates of an attempt; None: engines send none
    grants_memory: bool
    grants_priority: bool
    can_cancel: bool
    can_probe: bool  # health checks are allowed, and return load reports
    max_retry_after_us: int
    # Delay after an attempt that may still run, before the next request of its ordering key.
    ordering_gap_us: int
    retry: RetrySettings
    slow_start: SlowStartSettings

    def cores(self, instance_type: int) -> float:
        """Returns the number of cores of an instance type; 1 if the type is unknown."""
        if instance_type < len(self.cores_by_instance_type):
            return self.cores_by_instance_type[instance_type]
        return 1


def parse_settings(settings: Mapping[str, Any]) -> PolicySettings:
    """Decodes the settings document; absent settings get their defaults."""
    family: Mapping[str, Any] = settings.get("FamilyInfo", {})
    safety: Mapping[str, Any] = settings.get("Safety", {})
    limits: Mapping[str, Any] = settings.get("Limits", {})
    report: Mapping[str, Any] = settings.get("Report", {})
    request_classes = [
        _parse_request_class(index, service, family)
        for index, service in enumerate(settings.get("Services", []))
    ]
    return PolicySettings(
        zone=settings.get("Zone"),
        gateway_count=max(1, settings.get("Balancers", 1)),
        must_subscribe=settings.get("MembershipMode") == "ask",
        request_classes=request_classes,
        cores_by_instance_type=family.get("CpuOfKind", []),
        progress_interval_us=to_microseconds(family["TellsEvery"]) if "TellsEvery" in family else None,
        grants_memory=bool(family.get("MemoryHeeded")),
        grants_priority=bool(family.get("RanksHeeded")),
        can_cancel=bool(limits.get("Cancel")),
        can_probe=report.get("Source") == "on_probe" and bool(limits.get("Probes")),
        max_retry_after_us=to_microseconds(limits.get("MaxRetryAfter", 0)) if limits.get("RetryAfter") else 0,
        ordering_gap_us=to_microseconds(safety.get("TurnGap", 0)),
        retry=_parse_retry_settings(settings, safety, limits),
        slow_start=SlowStartSettings(
            warm_up_us=to_microseconds(safety.get("WarmUp", 0)),
            max_load=safety.get("OverloadFactor", 1) * safety.get("ColdShare", 0.1),
            overload_window_us=to_microseconds(safety.get("Fall", 1000)),
        ),
    )


def _parse_retry_settings(
    settings: Mapping[str, Any], safety: Mapping[str, Any], limits: Mapping[str, Any]
) -> RetrySettings:
    has_budget = "BudgetWindow" in safety
    return RetrySettings(
        max_attempts=limits.get("MaxAttempts", 1),
        budget_window_us=to_microseconds(safety["BudgetWindow"]) if has_budget else None,
        free_retries=safety.get("FreeResends", 0),
        retry_ratio=safety.get("ResendRatio", 0),
        forwarding_delay_us=to_microseconds(settings.get("CrossingAhead", 0)),
    )


def _parse_request_class(index: int, service: Mapping[str, Any], family: Mapping[str, Any]) -> RequestClass:
    threads = family.get("Dop", [])
    zones = service.get("StaysIn")
    instance_types = service.get("FlavorsOpen")
    locks_data_set = _flag_at(family.get("Loads", []), index)
    request_class = RequestClass(
        index=index,
        threads=threads[index] if index < len(threads) else 1,
        latency_objective_us=to_microseconds(service.get("GoalTime", 1000)),
        objective_stretch=service.get("AimStretch", 0.0),
        value=service.get("Worth", 1.0),
        late_value=service.get("LateValue", 0.0),
        is_idempotent=service.get("Effect") == "idempotent",
        is_deduplicated=service.get("Effect") == "deduplicated",
        dedup_scope=service.get("Group", "all"),
        dedup_window_us=to_microseconds(service.get("KeyTtl", 0)),
        is_ordered=bool(service.get("ByArrival")),
        allowed_zones=None if zones is None else frozenset(zones),
        allowed_instance_types=None if instance_types is None else frozenset(instance_types),
        locks_data_set=locks_data_set,
        waits_for_data_set=locks_data_set or _flag_at(family.get("WaitsForLoads", []), index),
    )
    request_class.latency = LatencyEstimate(request_class)
    return request_class


def _flag_at(flags: list[bool], index: int) -> bool:
    return index < len(flags) and flags[index]
