"""Settings of the deployment kathmandu-dispatch, by its brief and the wire page, for few engines."""

from __future__ import annotations

from typing import Any

TENANT = "valley-couriers"


def kathmandu_dispatch(scale: float = 1.0, gateways: int = 2) -> dict[str, Any]:
    """Returns the settings; `scale` multiplies the time limits of tariffs, as on sockets."""

    def tariff(name: str, effect: str, goal: float, stretch: float, give_up: float, worth: float) -> Any:
        return {
            "Name": name,
            "Effect": effect,
            "Group": "all",
            "KeyTtl": 20000.0,
            "GoalTime": goal * scale,
            "AimStretch": stretch,
            "GiveUp": give_up * scale,
            "Worth": worth,
            "LateValue": 0.3,
            "Stream": False,
        }

    return {
        "Balancers": gateways,
        "Localities": ["hall-a"],
        "Flavors": ["c8"],
        "Zone": 0,
        "MembershipMode": "push",
        "Report": {"Names": ["concurrent", "load_share"], "Source": "inline"},
        "FamilyInfo": {
            "CpuOfKind": [8],
            "Dop": [1, 2, 2],
            "Loads": [False, False, True],
            "WaitsForLoads": [False, False, False],
        },
        "Limits": {
            "Cancel": True,
            "ConnIdle": 15000.0,
            "ConnectTimeout": 250.0,
            "MaxAttempts": 6,
            "MaxRetryAfter": 2000.0,
            "RetryAfter": True,
            "SecondCopies": False,
            "StreamsPerConn": 32,
        },
        "Safety": {
            "AnswerSlack": 20.0,
            "BudgetWindow": 5000.0,
            "ColdShare": 0.33,
            "DrainGrace": 1000.0,
            "Fall": 1000.0,
            "FreeResends": 5.0,
            "OverloadFactor": 2.0,
            "ResendRatio": 0.1,
            "WarmUp": 13000.0,
        },
        "Tenants": [{"Name": TENANT, "QuotaPerS": 106.0, "Share": 1.0}],
        "Services": [
            tariff("lookup", "idempotent", 1200.0, 2.0, 6000.0, 1.0),
            tariff("report", "idempotent", 2000.0, 2.5, 15000.0, 5.0),
            tariff("manifest-load", "deduplicated", 4000.0, 3.0, 20000.0, 10.0),
        ],
    }
