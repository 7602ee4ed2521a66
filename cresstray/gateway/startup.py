"""Starts one gateway by the configuration that GW_CONFIG names."""

from __future__ import annotations

import gc
import os
import signal
import sys
from typing import TYPE_CHECKING, Any

import anyio
import msgspec

from cresstray.discovery import endpoint_list as known
from cresstray.gateway.service import CAUGHT, AddressError, Service

if TYPE_CHECKING:
    from cresstray.config.operator import Operator


class Limits(msgspec.Struct, frozen=True):
    """What this machine gives the gateway; its memory and its share of a core need no word from it."""

    sockets: int = 1024


class Configuration(msgspec.Struct):
    name: str
    listen: str
    seed: str
    settings: dict[str, Any]
    known: known.InitialList = msgspec.field(default_factory=known.InitialList)
    coordinator: str | None = None
    limits: Limits = Limits()


# What arithmetic takes; where a setting is left out, its reader says what holds.
_Number = float | bool | None


class _Class(msgspec.Struct, rename="pascal"):
    """One class of requests."""

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


class _Family(msgspec.Struct, rename="pascal"):
    dop: list[_Number] = []
    cpu_of_kind: list[_Number] = []
    loads: list[Any] = []
    waits_for_loads: list[Any] = []
    tells_every: _Number = None


class _Limits(msgspec.Struct, rename="pascal"):
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
    """Kinds of the settings that are used; the rest is nobody's business."""

    balancers: _Number = None
    services: list[_Class] = []
    tenants: list[_Tenant] = []
    localities: list[str] = []
    flavors: list[str] = []
    family_info: _Family = msgspec.field(default_factory=_Family)
    limits: _Limits = msgspec.field(default_factory=_Limits)
    safety: _Safety = msgspec.field(default_factory=_Safety)
    report: dict[str, Any] | None = None


class UnusableError(ValueError):
    """What is wrong with a configuration, in one line."""


def configuration(path: str) -> Configuration:
    """The file at `path`, all kinds checked; UnusableError where it can't be used."""
    try:
        with open(path, "rb") as file:
            given = msgspec.json.decode(file.read(), type=Configuration)
    except (OSError, ValueError, msgspec.MsgspecError, RecursionError) as trouble:
        raise UnusableError(str(trouble)) from None
    given.settings = _without_nulls(given.settings)
    try:
        msgspec.convert(given.settings, _Settings)
    except msgspec.ValidationError as trouble:
        raise UnusableError(str(trouble).replace("`$", "`$.settings")) from None
    return given


def _without_nulls(given: Any) -> Any:
    """Settings without those that are null: they count as left out, at any depth."""
    if isinstance(given, dict):
        return {name: _without_nulls(value) for name, value in given.items() if value is not None}
    return [_without_nulls(value) for value in given] if isinstance(given, list) else given


def _address(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    if not (port.isascii() and port.isdigit() and int(port) <= 65535):
        raise UnusableError(f"no host:port with a port up to 65535 - at `$.listen`: {text!r}")
    return host, int(port)


def _seed(text: str) -> int:
    try:
        return int(text, 16)
    except ValueError:
        raise UnusableError(f"no hex digits - at `$.seed`: {text!r}") from None


def operator_file() -> Operator | None:
    """What the file that GW_OPERATOR names sets; ValueError with all that is wrong, None without one."""
    path = os.environ.get("GW_OPERATOR", "")
    if not path:
        return None
    # Danger: the platform may give 32 MB; without an operator's file nothing of it is loaded.
    from cresstray.config import operator

    return operator.read(path)


def run() -> int:
    """One gateway, as the platform starts it; its exit code."""
    # Danger: a signal that comes before the service listens for it would end the process, and so would one
    # that comes once it listens no more: it holds them back again as it found them.
    before = signal.pthread_sigmask(signal.SIG_BLOCK, CAUGHT)
    code = _run()
    if code:
        signal.pthread_sigmask(signal.SIG_SETMASK, before)
    return code


def _run() -> int:
    path = os.environ.get("GW_CONFIG", "")
    try:
        operator = operator_file()
    except ValueError as trouble:
        print(trouble, file=sys.stderr)
        return 2
    try:
        service = _service(path, operator)
        # Danger: a collection that looks at every object stands still for 40 ms, and answers come too late.
        # What the start left is looked at no more.
        gc.collect()
        gc.freeze()
        anyio.run(service.run, backend_options={"use_uvloop": True})
    except (UnusableError, AddressError) as trouble:
        print(f"cresstray: the configuration GW_CONFIG={path!r} can't be used: {trouble}", file=sys.stderr)
        return 2
    return 0


def _service(path: str, operator: Operator | None) -> Service:
    """By the configuration at `path`; UnusableError where it can't be used."""
    given = configuration(path)
    listen, seed = _address(given.listen), _seed(given.seed)
    try:
        return Service(
            given.name,
            listen,
            seed,
            given.settings,
            known.initial_events(given.known, given.settings),
            given.coordinator,
            lambda: configuration(path).coordinator,
            given.limits.sockets,
            operator,
            operator_file,
        )
    except (OSError, ValueError, known.MalformedEventError) as trouble:
        raise UnusableError(str(trouble)) from None
    except (TypeError, AttributeError, LookupError, ArithmeticError) as trouble:
        # What is wrong with the settings beyond their kinds.
        raise UnusableError(f"the settings: {trouble!r}") from None
