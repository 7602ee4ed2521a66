"""What the membership reads of the gateway's settings."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Any, NamedTuple

from cresstray.policy.settings import to_microseconds

_DEFAULT_CONNECT_TIMEOUT_MS = 250
_DEFAULT_DRAIN_GRACE_MS = 10_000


class MembershipSettings(NamedTuple):
    """Settings by the terms of the glossary; the keys of the settings keep the earlier ones.

    Attributes:
        request_class_names: By place, as the request classes of the policy controller.
        zones: Names by place.
        instance_types: Names by place.
        probe_timeout_us: After so long a connection probe has failed.
        drain_grace_us: For how long an engine drains at the most.
        max_retry_after_us: The longest delay that clients honour.
    """

    request_class_names: Sequence[str]
    zones: Sequence[str]
    instance_types: Sequence[str]
    probe_timeout_us: int
    drain_grace_us: int
    max_retry_after_us: int


def from_settings(settings: Mapping[str, Any]) -> MembershipSettings:
    """Reads the settings of the module."""
    limits = settings.get("Limits", {})
    safety = settings.get("Safety", {})
    return MembershipSettings(
        request_class_names=[service.get("Name", "") for service in settings.get("Services", [])],
        zones=settings.get("Localities", []),
        instance_types=settings.get("Flavors", []),
        probe_timeout_us=to_microseconds(limits.get("ConnectTimeout", _DEFAULT_CONNECT_TIMEOUT_MS)),
        drain_grace_us=to_microseconds(safety.get("DrainGrace", _DEFAULT_DRAIN_GRACE_MS)),
        max_retry_after_us=to_microseconds(limits.get("MaxRetryAfter", 0)),
    )
