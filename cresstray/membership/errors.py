"""Errors of the membership package."""

from __future__ import annotations


class MembershipError(Exception):
    """Base class of the errors of this package."""


class UnusableSnapshotError(MembershipError, ValueError):
    """A snapshot can't be read or written; the message is one line that says why.

    Attributes:
        serial: The serial number in the header of the file; 0 if it has none.
    """

    def __init__(self, reason: str, serial: int = 0) -> None:
        super().__init__(reason)
        self.serial = serial


class ForeignSnapshotError(UnusableSnapshotError):
    """The snapshot is intact, but was written by another gateway; it must not be overwritten."""


class FolderInUseError(MembershipError, BlockingIOError):
    """Another process holds the lock of a snapshot folder."""


class UnknownEndpointError(MembershipError, KeyError):
    """The snapshot does not contain the endpoint."""
