"""The settings of the gateway that the membership uses."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Any, NamedTuple

from cresstray.policy.settings import to_microseconds

_DEFAULT_CONNECT_TIMEOUT_MS = 250
_DEFAULT_DRAIN_GRACE_MS = 10_000


class MembershipSettings(NamedTuple):
    """The settings of the membership. The keys of the settings file use earlier terms.

    Attributes:
        request_class_names: In the order of the request classes of the policy controller.
        zones: The names of the zones; endpoints refer to them by position.
        instance_types: The names of the instance types; endpoints refer to them by position.
        probe_timeout_us: The timeout of a connection probe.
        drain_grace_us: The longest time that an engine drains for.
        max_retry_after_us: The longest retry_after that clients honour.
    """

    request_class_names: Sequence[str]
    zones: Sequence[str]
    instance_types: Sequence[str]
    probe_timeout_us: int
    drain_grace_us: int
    max_retry_after_us: int


def from_settings(settings: Mapping[str, Any]) -> MembershipSettings:
    """Returns the settings of the membership out of those of the gateway."""
    limits = settings.get("Limits", {})
    safety = settings.get("Safety", {})
    return MembershipSettings(
        request_class_names=[request_class.get("Name", "") for request_class in settings.get("Services", [])],
        zones=settings.get("Localities", []),
        instance_types=settings.get("Flavors", []),
        probe_timeout_us=to_microseconds(limits.get("ConnectTimeout", _DEFAULT_CONNECT_TIMEOUT_MS)),
        drain_grace_us=to_microseconds(safety.get("DrainGrace", _DEFAULT_DRAIN_GRACE_MS)),
        max_retry_after_us=to_microseconds(limits.get("MaxRetryAfter", 0)),
    )
