"""Starts one gateway by the configuration that GW_CONFIG names."""

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
    """Runs one gateway as the platform starts it, until SIGTERM; returns the exit code.

    0 after a graceful shutdown, 2 after one line on standard error that says what cannot be used.
    """
    # A signal before the service receives them would end the process, and so would one after it has stopped
    # to: the service blocks them again as it found them.
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
        # A collection that looks at every object stops the event loop for 40 ms, and answers come too late.
        # What the start has made is not looked at again.
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
        )
    except (OSError, ValueError, MalformedEventError) as error:
        raise ConfigurationError(str(error)) from error
    except (TypeError, AttributeError, LookupError, ArithmeticError) as error:
        # A setting whose type is right and whose value is not.
        raise ConfigurationError(f"the settings: {error!r}") from error
