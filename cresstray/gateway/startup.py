"""Starts one gateway with the configuration file that GW_CONFIG names."""

from __future__ import annotations

import gc
import os
import signal
import sys
from typing import TYPE_CHECKING

import anyio

from cresstray.discovery.endpoint_list import MalformedEventError, initial_events
from cresstray.gateway.configuration import (
    parse_address,
    parse_seed,
    read_configuration,
    read_operator_file,
)
from cresstray.gateway.errors import ConfigurationError, GatewayError
from cresstray.gateway.service import Service
from cresstray.gateway.signals import HANDLED_SIGNALS

if TYPE_CHECKING:
    from cresstray.config.operator import Operator

_EXIT_OK = 0
_EXIT_UNUSABLE_CONFIGURATION = 2


def run() -> int:
    """Runs one gateway until SIGTERM and returns the exit code.

    The exit code is 0 after a graceful shutdown, and 2 if the configuration cannot be used; then one line on
    standard error says why.
    """
    # A signal would end the process before the service receives signals and after it has stopped to do so.
    # They are blocked here, and the service restores this mask when it ends.
    mask_before = signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)
    code = _run()
    if code != _EXIT_OK:
        signal.pthread_sigmask(signal.SIG_SETMASK, mask_before)
    return code


def _run() -> int:
    path = os.environ.get("GW_CONFIG", "")
    try:
        operator = read_operator_file()
    except ValueError as error:
        print(error, file=sys.stderr)
        return _EXIT_UNUSABLE_CONFIGURATION
    try:
        service = _make_service(path, operator)
        # A full garbage collection would stop the event loop for 40 ms and delay answers. Objects that exist
        # after startup are therefore excluded from later collections.
        gc.collect()
        gc.freeze()
        anyio.run(service.run, backend_options={"use_uvloop": True})
    except GatewayError as error:
        print(f"cresstray: the configuration GW_CONFIG={path!r} can't be used: {error}", file=sys.stderr)
        return _EXIT_UNUSABLE_CONFIGURATION
    return _EXIT_OK


def _make_service(path: str, operator: Operator | None) -> Service:
    configuration = read_configuration(path)
    listen = parse_address(configuration.listen)
    seed = parse_seed(configuration.seed)
    try:
        return Service(
            configuration.name,
            listen,
            seed,
            configuration.settings,
            initial_events(configuration.known, configuration.settings),
            configuration.coordinator,
            lambda: read_configuration(path).coordinator,
            configuration.limits.sockets,
            operator,
            read_operator_file,
            configuration.limits.memory_bytes(),
        )
    except (OSError, ValueError, MalformedEventError) as error:
        raise ConfigurationError(str(error)) from error
    except (TypeError, AttributeError, LookupError, ArithmeticError) as error:
        # A setting has the right type and an unusable value.
        raise ConfigurationError(f"the settings: {error!r}") from error
