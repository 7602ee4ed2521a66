"""Receives the signals that the platform and operators send to the gateway process."""

from __future__ import annotations

import contextlib
import signal
from collections.abc import AsyncIterator, Iterator

import anyio

# SIGTERM: graceful shutdown. SIGUSR1: print the counters. SIGHUP: reload the configuration.
HANDLED_SIGNALS = (signal.SIGTERM, signal.SIGUSR1, signal.SIGHUP)


@contextlib.contextmanager
def receive_signals() -> Iterator[AsyncIterator[signal.Signals]]:
    """Yields an iterator over the handled signals; restores the previous signal mask at the end.

    The signals are blocked while no receiver is open, since their default action would end the process.
    """
    mask_before = signal.pthread_sigmask(signal.SIG_BLOCK, ())
    try:
        with anyio.open_signal_receiver(*HANDLED_SIGNALS) as signals:
            signal.pthread_sigmask(signal.SIG_UNBLOCK, HANDLED_SIGNALS)
            try:
                yield signals
            finally:
                signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)
    finally:
        signal.pthread_sigmask(signal.SIG_SETMASK, mask_before)
