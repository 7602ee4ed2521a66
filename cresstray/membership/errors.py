"""Errors of this package."""

from __future__ import annotations


class MembershipError(Exception):
    """Base class of all errors that this package raises itself."""


class UnusableSnapshotError(MembershipError, ValueError):
    """A snapshot can't be read or written; the message is one line that says why.

    Attributes:
        serial: The serial in the header of the file; 0 where it has none.
    """

    def __init__(self, reason: str, serial: int = 0) -> None:
        super().__init__(reason)
        self.serial = serial


class ForeignSnapshotError(UnusableSnapshotError):
    """The snapshot is whole, but another gateway's; it must not be overwritten."""


class FolderInUseError(MembershipError, BlockingIOError):
    """Another process holds the lock of a snapshot folder."""


class UnknownEndpointError(MembershipError, KeyError):
    """A snapshot does not hold the endpoint."""
