"""The memory that a process may hold for its clients: its size, what is held by kind, and one client's share.

A client may hold a part of what all the others leave free. Its share therefore falls with the number of
clients and with what they hold, and whoever holds little is served while others hold as much as they may.
"""

from __future__ import annotations

from enum import Enum

MEGABYTE = 1024 * 1024
# Without a limit in the configuration.
_DEFAULT_CAPACITY_BYTES = 96 * MEGABYTE
# Kept free for what one step of the event loop allocates, and for engines and the endpoint list.
_RESERVE_BYTES = 1_000_000
# The allocator holds more than was asked for: sizes are rounded up, and freed memory is returned late.
_USABLE_PART = 0.8
# However little the process may hold, a few clients can always be served.
_MIN_CAPACITY_BYTES = 512 * 1024
# Lines on all connections together that are not handled yet: unterminated ones would fill the memory.
_MAX_RECEIVED_BYTES = 2 * MEGABYTE
_RECEIVED_SHARE = 0.25
# The part of what is free that one client may hold.
_CLIENT_SHARE = 0.25
# The part of the capacity that connections may take, whatever they send.
_CONNECTION_SHARE = 0.6
# What a connection takes that holds no data: its task, its socket and its session.
CONNECTION_BYTES = 13_000
# What an open request takes beside its statement.
REQUEST_BYTES = 4_000


class Holding(Enum):
    """What memory is held for; the value names it in counters."""

    CONNECTIONS = "connections"
    RECEIVED = "received"  # lines that are not handled yet
    REQUESTS = "requests"  # statements and messages of requests that are not finished
    RESPONSES = "responses"  # written, and not yet accepted by the kernel

    __hash__ = object.__hash__  # that of Enum is slow, and is needed several times for each request


class MemoryBudget:
    """Accounts for the memory that is held for clients.

    Attributes:
        capacity_bytes: how much may be held.
        max_received_bytes: how much of it lines may take that are not handled yet.
        held_bytes: how much is held of each kind.
        peak_bytes: the most that was held at a time.
    """

    def __init__(self, capacity_bytes: int = _DEFAULT_CAPACITY_BYTES) -> None:
        self._set_capacity(capacity_bytes)
        self.held_bytes = dict.fromkeys(Holding, 0)
        self.peak_bytes = 0
        self._total_bytes = 0

    def set_limit(self, limit_bytes: int, resident_bytes: int) -> None:
        """Sizes the budget by the limit of the process and by what it holds before any client has come."""
        usable_bytes = int((limit_bytes - resident_bytes - _RESERVE_BYTES) * _USABLE_PART)
        self._set_capacity(max(_MIN_CAPACITY_BYTES, usable_bytes))

    def _set_capacity(self, capacity_bytes: int) -> None:
        self.capacity_bytes = capacity_bytes
        self.max_received_bytes = min(_MAX_RECEIVED_BYTES, int(capacity_bytes * _RECEIVED_SHARE))

    def add(self, kind: Holding, size_bytes: int) -> None:
        """Records that so much more is held; a negative size releases it."""
        self.held_bytes[kind] += size_bytes
        self._total_bytes += size_bytes
        if self._total_bytes > self.peak_bytes:
            self.peak_bytes = self._total_bytes

    @property
    def free_bytes(self) -> int:
        """How much more may be held; negative if too much is held."""
        return self.capacity_bytes - self._total_bytes

    def max_connections(self) -> int:
        """Returns how many connections of clients there may be."""
        return int(self.capacity_bytes * _CONNECTION_SHARE) // CONNECTION_BYTES

    def client_share_bytes(self, held_bytes: int) -> int:
        """Returns how much one client may hold in all, of which it holds `held_bytes` now."""
        free_bytes = self.capacity_bytes - self._total_bytes + held_bytes
        return int(free_bytes * _CLIENT_SHARE) if free_bytes > 0 else 0

    def can_hold(self, held_bytes: int, size_bytes: int) -> bool:
        """Returns whether a client that holds `held_bytes` may hold `size_bytes` more."""
        return held_bytes + size_bytes <= self.client_share_bytes(held_bytes)
