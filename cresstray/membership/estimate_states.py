"""The states of an endpoint in the membership estimate, and the evidence that changes them."""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

import msgspec

from cresstray.discovery.endpoint_list import Endpoint


class EstimateState(Enum):
    """What is known of an endpoint; `cresstray.membership.estimate` has the table of transitions."""

    REMEMBERED = "remembered"
    """A snapshot or the list of another gateway has it."""
    PROBING = "probing"
    """A connection probe is in flight, or something listens there that has not served a request yet."""
    CONFIRMED = "confirmed"
    """It has served a request of this process."""
    UNREACHABLE = "unreachable"
    """It refused or timed out, or is draining; it will be probed again."""
    REGISTERED = "registered"
    """Discovery has named it to this process."""
    REMOVED = "removed"
    """It was removed, and has a tombstone."""


class EvidenceSource(Enum):
    """Where the last evidence of an endpoint came from; the values are those of status reports."""

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
        endpoint: As discovery or a list named it last, with the start that was named with it.
        state: Its state.
        source: Where the last evidence of it came from.
        evidence_us: The time of that evidence, which may be before the start of this process.
        next_probe_us: It may be probed from then on.
        failure_count: The number of failures in a row.
        is_listed: Requests may be sent to it.
        listed_start_us: The start that it was listed with by the evidence of this process alone.
        drain_began_us: When this process was first told that it drains; 0 if it was not told.
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
