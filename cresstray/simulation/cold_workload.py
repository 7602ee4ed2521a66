"""The request classes, settings and capacities of the simulated cold start."""

from __future__ import annotations

from typing import Any, NamedTuple

MILLISECOND_US = 1_000
SECOND_US = 1_000_000
DRAIN_GRACE_US = 10 * SECOND_US
MAX_RETRY_AFTER_US = SECOND_US
WARM_UP_US = 10 * SECOND_US
# A cold engine falls by the work that it gets within this time.
FALL_WINDOW_US = SECOND_US
CORES = 4
COLD_SHARE = 0.5
OVERLOAD_FACTOR = 2.0
MAX_ATTEMPTS = 4
# The shares of cores and of nominal speed that the policy plans with.
_PLANNED_UTILIZATION = 0.85
_PLANNED_SPEED = 0.9


class SimulatedClass(NamedTuple):
    """A request class; times in seconds, `work_s` over all threads."""

    name: str
    share: float
    work_s: float
    threads: int
    objective_s: float
    deadline_s: float
    value: float
    effect: str


REQUEST_CLASSES = (
    SimulatedClass("lookup", 0.80, 0.08, 1, 0.4, 2.0, 1.0, "idempotent"),
    SimulatedClass("report", 0.17, 0.16, 2, 0.8, 3.0, 5.0, "idempotent"),
    SimulatedClass("post", 0.03, 0.08, 1, 1.0, 3.0, 10.0, "at_most_once"),
)
MEAN_WORK_S = sum(one.share * one.work_s for one in REQUEST_CLASSES)
# Requests of mean work that the policy plans for at the most on a cold engine within the fall window.
PLANNED_COLD_REQUESTS = (
    OVERLOAD_FACTOR
    * COLD_SHARE
    * CORES
    * _PLANNED_UTILIZATION
    * _PLANNED_SPEED
    * FALL_WINDOW_US
    / SECOND_US
    / MEAN_WORK_S
)
# An engine falls at three times the spread of that number over it, and three requests more.
FALL_REQUESTS = PLANNED_COLD_REQUESTS + 3 * PLANNED_COLD_REQUESTS**0.5 + 3


def make_settings(gateway_count: int) -> dict[str, Any]:
    """Returns the settings of a gateway, by the keys of the settings page."""
    return {
        "Balancers": gateway_count,
        "Localities": ["here"],
        "Flavors": ["std"],
        "Zone": 0,
        "FamilyInfo": {"CpuOfKind": [CORES], "Dop": [one.threads for one in REQUEST_CLASSES]},
        "Limits": {
            "MaxAttempts": MAX_ATTEMPTS,
            "Cancel": True,
            "RetryAfter": True,
            "MaxRetryAfter": MAX_RETRY_AFTER_US / MILLISECOND_US,
        },
        "Safety": {
            "DrainGrace": DRAIN_GRACE_US / MILLISECOND_US,
            "BudgetWindow": 5000,
            "FreeResends": 5,
            "ResendRatio": 0.1,
            "WarmUp": WARM_UP_US / MILLISECOND_US,
            "ColdShare": COLD_SHARE,
            "OverloadFactor": OVERLOAD_FACTOR,
            "Fall": FALL_WINDOW_US / MILLISECOND_US,
        },
        "Report": {"Source": "inline"},
        "Services": [
            {
                "Name": one.name,
                "Effect": one.effect,
                "GoalTime": one.objective_s * 1000,
                "GiveUp": one.deadline_s * 1000,
                "Worth": one.value,
            }
            for one in REQUEST_CLASSES
        ],
    }
