"""The states of an endpoint in the membership estimate, and the evidence that changes them."""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

import msgspec

from cresstray.discovery.endpoint_list import Endpoint


class EstimateState(Enum):
    """What is known of an endpoint; the transitions are in `cresstray.membership.estimate`."""

    REMEMBERED = "remembered"
    """A snapshot or another gateway's list has it."""
    PROBING = "probing"
    """A connection is being made, or something listens that has not served yet."""
    CONFIRMED = "confirmed"
    """It has served this process."""
    UNREACHABLE = "unreachable"
    """It refused, timed out, or drains; it is probed again."""
    REGISTERED = "registered"
    """Discovery has named it to this process."""
    REMOVED = "removed"
    """A tombstone stands for it."""


class EvidenceSource(Enum):
    """Where the last evidence of an endpoint came from."""

    DISCOVERY = "register"
    PEER = "peer"
    TRAFFIC = "traffic"
    DISK = "disk"


class ContactResult(Enum):
    """The result of a probe or of an attempt."""

    LISTENING = "listening"
    SERVED = "served"
    REFUSED = "refused"
    TIMED_OUT = "timed out"
    DRAINING = "draining"
    WRONG_IDENTITY = "wrong identity"


class EndpointEstimate(msgspec.Struct):
    """What is known of one endpoint; times are microseconds of this process's clock.

    Attributes:
        endpoint: As discovery or a list last named it, with the start named there.
        evidence_us: When it was last known to be there; before the process started for what is older.
        next_probe_us: When it may be probed.
        failure_count: Failures in a row.
        is_listed: Requests may be sent to it.
        listed_start_us: The start that it was listed with on no evidence but this process's.
        drain_began_us: When its drain was first named to this process; 0 where it was not.
    """

    endpoint: Endpoint
    state: EstimateState
    source: EvidenceSource
    evidence_us: int
    next_probe_us: int = 0
    failure_count: int = 0
    is_listed: bool = False
    listed_start_us: int = 0
    drain_began_us: int = 0


class EstimateCounts(NamedTuple):
    """How many endpoints are ready by discovery, confirmed, listed but unproven, and not listed."""

    registered: int
    confirmed: int
    listed_probing: int
    unlisted: int
