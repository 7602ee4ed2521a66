"""Starts one gateway by the configuration that GW_CONFIG names."""

from __future__ import annotations

import gc
import os
import signal
import sys
from typing import TYPE_CHECKING, Any

import anyio
import msgspec

from cresstray.coordinator import known
from cresstray.service import Service

if TYPE_CHECKING:
    from cresstray.conf.operator import Operator


class Limits(msgspec.Struct, frozen=True):
    """What this machine gives the gateway; its memory and its share of a core need no word from it."""

    sockets: int = 1024


class Configuration(msgspec.Struct):
    name: str
    listen: str
    seed: str
    settings: dict[str, Any]
    known: known.Known = msgspec.field(default_factory=known.Known)
    coordinator: str | None = None
    limits: Limits = Limits()


class UnusableError(ValueError):
    """What is wrong with a configuration, in one line."""


def configuration(path: str) -> Configuration:
    try:
        with open(path, "rb") as file:
            return msgspec.json.decode(file.read(), type=Configuration)
    except (OSError, ValueError, msgspec.MsgspecError) as trouble:
        raise UnusableError(str(trouble)) from None


def operator_file() -> Operator | None:
    """What the file that GW_OPERATOR names sets; ValueError with all that is wrong, None without one."""
    path = os.environ.get("GW_OPERATOR", "")
    if not path:
        return None
    # Danger: the platform may give 32 MB; without an operator's file nothing of it is loaded.
    from cresstray.conf import operator

    return operator.read(path)


def run() -> int:
    """One gateway, as the platform starts it; its exit code."""
    signal.pthread_sigmask(signal.SIG_BLOCK, (signal.SIGHUP,))  # until the service catches it
    path = os.environ.get("GW_CONFIG", "")
    try:
        operator = operator_file()
    except ValueError as trouble:
        print(trouble, file=sys.stderr)
        return 2
    try:
        given = configuration(path)
        host, _, port = given.listen.rpartition(":")
        events = known.events(given.known, given.settings)
        service = Service(
            given.name,
            (host, int(port)),
            int(given.seed, 16),
            given.settings,
            events,
            given.coordinator,
            lambda: configuration(path).coordinator,
            given.limits.sockets,
            operator,
            operator_file,
        )
    except (OSError, ValueError, known.MalformedError) as trouble:
        print(f"cresstray: the configuration GW_CONFIG={path!r} can't be used: {trouble}", file=sys.stderr)
        return 2
    # Danger: a collection that looks at every object stands still for 40 ms, and answers come too late. What
    # the start left is looked at no more.
    gc.collect()
    gc.freeze()
    anyio.run(service.run, backend_options={"use_uvloop": True})
    return 0
