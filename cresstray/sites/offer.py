"""What a forwarded request carries besides its query, in the terms of the gateway that receives it."""

from __future__ import annotations

from typing import NamedTuple

from cresstray.sites import codec


class ForwardedOffer(NamedTuple):
    """The conditions of a forwarded request.

    Attributes:
        max_queue_us: For how long it may be queued here.
        table_group: The table group that the forwarding site has found.
        latest_send_us: Nothing of it may be sent to an engine from this time on; None: until its deadline.
    """

    max_queue_us: int
    table_group: int
    latest_send_us: int | None


def offer_of(frame: codec.ForwardRequest, max_age_us: int, now_us: int) -> ForwardedOffer:
    """Returns the offer in a frame of at most this age, with its duration as a time of this clock."""
    latest_send_us = now_us + frame.max_send_delay_us - max_age_us if frame.max_send_delay_us else None
    return ForwardedOffer(frame.max_queue_us, frame.table_group, latest_send_us)
