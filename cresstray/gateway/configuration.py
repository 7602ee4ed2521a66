"""The configuration file that the platform gives one gateway: reading, types and validation.

The names in the file are defined by the platform. The default of a missing setting is chosen by the module
that reads it.
"""

from __future__ import annotations

import os
from typing import TYPE_CHECKING, Any

import msgspec

from cresstray.discovery.endpoint_list import InitialList
from cresstray.gateway.errors import ConfigurationError
from cresstray.memory_budget import MEGABYTE

if TYPE_CHECKING:
    from cresstray.config.operator import Operator

_MAX_PORT = 65535


class Limits(msgspec.Struct, frozen=True):
    """Resource limits that the platform sets for the process; that of the CPU is not needed here."""

    sockets: int = 1024
    memory_mb: float | None = None

    def memory_bytes(self) -> int | None:
        """Returns the limit of resident memory; None where there is none."""
        return None if self.memory_mb is None else int(self.memory_mb * MEGABYTE)


class Configuration(msgspec.Struct):
    """The whole file.

    `settings` holds the keys that gateways and engines share; they are type-checked but not converted.
    """

    name: str
    listen: str
    seed: str
    settings: dict[str, Any]
    known: InitialList = msgspec.field(default_factory=InitialList)
    coordinator: str | None = None
    limits: Limits = Limits()


# A value that can be used in arithmetic, or null.
_Number = float | bool | None


class _RequestClass(msgspec.Struct, rename="pascal"):
    name: str
    effect: str | None = None
    group: str | None = None
    goal_time: _Number = None
    aim_stretch: _Number = None
    give_up: _Number = None
    worth: _Number = None
    late_value: _Number = None
    key_ttl: _Number = None
    stays_in: list[Any] | None = None
    flavors_open: list[Any] | None = None


class _Tenant(msgspec.Struct, rename="pascal"):
    name: str


class _FamilyInfo(msgspec.Struct, rename="pascal"):
    dop: list[_Number] = []
    cpu_of_kind: list[_Number] = []
    loads: list[Any] = []
    waits_for_loads: list[Any] = []
    tells_every: _Number = None


class _PolicyLimits(msgspec.Struct, rename="pascal"):
    max_attempts: _Number = None
    max_retry_after: _Number = None
    connect_timeout: _Number = None
    conn_idle: _Number = None
    streams_per_conn: _Number = None


class _Safety(msgspec.Struct, rename="pascal"):
    budget_window: _Number = None
    free_resends: _Number = None
    resend_ratio: _Number = None
    warm_up: _Number = None
    fall: _Number = None
    overload_factor: _Number = None
    cold_share: _Number = None
    turn_gap: _Number = None
    drain_grace: _Number = None


class _Settings(msgspec.Struct, rename="pascal"):
    """Types of the settings that the gateway reads; others are ignored.

    The fields of this and of the structs above are named after the settings, whose names are in Pascal case.
    """

    balancers: _Number = None
    services: list[_RequestClass] = []
    tenants: list[_Tenant] = []
    localities: list[str] = []
    flavors: list[str] = []
    family_info: _FamilyInfo = msgspec.field(default_factory=_FamilyInfo)
    limits: _PolicyLimits = msgspec.field(default_factory=_PolicyLimits)
    safety: _Safety = msgspec.field(default_factory=_Safety)
    report: dict[str, Any] | None = None


def read_configuration(path: str) -> Configuration:
    """Reads the file at `path` and checks all types.

    Raises:
        ConfigurationError: the file cannot be read, or a value cannot be used; the text names the value's
            path in the file.
    """
    try:
        with open(path, "rb") as file:
            configuration = msgspec.json.decode(file.read(), type=Configuration)
    except (OSError, ValueError, msgspec.MsgspecError, RecursionError) as error:
        raise ConfigurationError(str(error)) from error
    configuration.settings = _without_nulls(configuration.settings)
    try:
        msgspec.convert(configuration.settings, _Settings)
    except msgspec.ValidationError as error:
        raise ConfigurationError(str(error).replace("`$", "`$.settings")) from error
    return configuration


def _without_nulls(value: Any) -> Any:
    """Returns the settings without null values, at any depth: a null setting counts as missing."""
    if isinstance(value, dict):
        return {name: _without_nulls(item) for name, item in value.items() if item is not None}
    if isinstance(value, list):
        return [_without_nulls(item) for item in value]
    return value


def parse_address(text: str) -> tuple[str, int]:
    """Parses the host and port of `listen`; raises ConfigurationError."""
    host, _, port = text.rpartition(":")
    is_number = port.isascii() and port.isdigit()
    if not is_number or int(port) > _MAX_PORT:
        raise ConfigurationError(f"no host:port with a port up to 65535 - at `$.listen`: {text!r}")
    return host, int(port)


def parse_seed(text: str) -> int:
    """Parses `seed`, a number in hexadecimal digits; raises ConfigurationError."""
    try:
        return int(text, 16)
    except ValueError as error:
        raise ConfigurationError(f"no hex digits - at `$.seed`: {text!r}") from error


def read_operator_file() -> Operator | None:
    """Reads the operator's file that GW_OPERATOR names; returns None if the variable is not set.

    Raises:
        ValueError: the file cannot be used; the text has one line for each error in it.
    """
    path = os.environ.get("GW_OPERATOR", "")
    if not path:
        return None
    # Imported here because of the 32 MB limit: without an operator's file no optional part is loaded.
    from cresstray.config import operator

    return operator.read(path)
