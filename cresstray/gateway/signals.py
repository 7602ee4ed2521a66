"""Receives the signals that the platform and operators send to a gateway."""

from __future__ import annotations

import contextlib
import signal
from collections.abc import AsyncIterator, Iterator

import anyio

# SIGTERM: graceful shutdown. SIGUSR1: print the counters. SIGHUP: reload the configuration.
HANDLED_SIGNALS = (signal.SIGTERM, signal.SIGUSR1, signal.SIGHUP)


@contextlib.contextmanager
def receive_signals() -> Iterator[AsyncIterator[signal.Signals]]:
    """Yields the handled signals as they come; restores the signal mask it found.

    Signals are blocked while no receiver is open: one that comes then would end the process.
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
