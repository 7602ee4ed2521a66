"""The state of each forwarded request on both sides of a link. Independent of the link's connections.

    forwarding side: offered -> accepted -> sent -> ended
                     offered, accepted, sent -> unknown -> ended (the link was lost)
    remote side:     accepted -> sent -> ended -> removed
                     accepted, sent -> lease expired -> removed

The forwarding gateway numbers the requests; the numbers belong to one incarnation of it.
"""

from __future__ import annotations

from enum import Enum


class ForwardingState(Enum):
    """The state of a forwarded request; the value is what the welcome frame carries."""

    OFFERED = "o"
    ACCEPTED = "t"
    SENT = "s"
    ENDED = "e"
    LEASE_EXPIRED = "f"  # cancelled by the remote gateway when its lease expired
    NEVER_ACCEPTED = "n"


# The states as the status shows them.
STATUS_WORDS = {
    ForwardingState.OFFERED: "offered",
    ForwardingState.ACCEPTED: "taken",
    ForwardingState.SENT: "sent",
    ForwardingState.ENDED: "ended",
    ForwardingState.LEASE_EXPIRED: "fenced",
    ForwardingState.NEVER_ACCEPTED: "never",
}


class ForwardingResult(Enum):
    """What is known of a forwarded attempt at its end; the value is part of a counter's name."""

    SERVED = "served"
    NOT_EXECUTED = "unrun"
    POSSIBLY_EXECUTED = "ran"  # it has ended without a result
    UNKNOWN = "unknown"  # nothing is known of its end; it may have been executed


class ForwardedRequest:
    """A request on the forwarding side; `connection` is the outbound link that carries its attempt."""

    __slots__ = (
        "number",
        "attempt",
        "connection",
        "name",
        "timeout",
        "state",
        "is_disconnected",
        "is_cancelled",
        "pages",
        "weight_threads",
        "acknowledged_pages",
        "is_lease_bound",
    )
    # Any of its bytes may have been sent; only the remote gateway, or the link, can tell that it never ran.
    is_written = True

    def __init__(
        self,
        number: int,
        attempt: object,
        link: object,
        name: str,
        weight_threads: float,
        is_lease_bound: bool,
    ) -> None:
        self.number, self.attempt, self.connection, self.name = number, attempt, link, name
        self.weight_threads = weight_threads  # the remote threads that it counts for
        # Whether the remote gateway cancels it when the lease expires, so that it may be retried here.
        # Otherwise it may run there until its own timeout.
        self.is_lease_bound = is_lease_bound
        self.timeout = None  # the timer of the attempt's timeout
        # Disconnected: the connection that carried it has ended, and no later one has resumed it.
        self.state, self.is_disconnected = ForwardingState.OFFERED, False
        self.is_cancelled = False
        self.pages: list[bytes | None] | None = None
        self.acknowledged_pages = 0  # whose receipt was reported to the remote gateway


class OutboundLedger:
    """The forwarded requests that have no outcome yet; the credit of the link limits their number."""

    def __init__(self) -> None:
        self.open: dict[int, ForwardedRequest] = {}
        self._last_number = 0

    def add(
        self, attempt: object, link: object, name: str, weight_threads: float, is_lease_bound: bool
    ) -> ForwardedRequest:
        """Adds a request under the next number."""
        self._last_number += 1
        forwarded = self.open[self._last_number] = ForwardedRequest(
            self._last_number, attempt, link, name, weight_threads, is_lease_bound
        )
        return forwarded

    def was_assigned(self, number: int) -> bool:
        """Returns whether a request ever had this number."""
        return 1 <= number <= self._last_number

    def remove(self, forwarded: ForwardedRequest) -> None:
        """Removes a request that has an outcome."""
        del self.open[forwarded.number]

    def mark_disconnected(self) -> None:
        """Notes that the connection of all open requests has ended."""
        for forwarded in self.open.values():
            forwarded.is_disconnected = True

    def reconcile(
        self, resumed: bool, states: list[tuple[int, str]]
    ) -> list[tuple[ForwardedRequest, ForwardingResult]]:
        """Compares the requests with the remote gateway's states after a reconnect.

        Returns the requests that have an outcome now, with what is known of it; the others continue.
        """
        remote_states, settled = dict(states), []
        for forwarded in self.open.values():
            if not forwarded.is_disconnected:
                continue
            remote_state = remote_states.get(forwarded.number) if resumed else None
            if (
                remote_state == ForwardingState.NEVER_ACCEPTED.value
                or remote_state == ForwardingState.ACCEPTED.value
            ):
                # The remote gateway cancels accepted requests that were not sent when the link resumes.
                settled.append((forwarded, ForwardingResult.NOT_EXECUTED))
            elif remote_state in (ForwardingState.SENT.value, ForwardingState.ENDED.value):
                # The remote gateway sends the result again from its first page, or any other outcome again.
                forwarded.is_disconnected, forwarded.pages, forwarded.acknowledged_pages = False, None, 0
                forwarded.state = (
                    ForwardingState.SENT if remote_state == ForwardingState.SENT.value else forwarded.state
                )
            else:
                # Cancelled when the lease expired, or removed, or a new incarnation does not know it: it may
                # have been executed.
                settled.append((forwarded, ForwardingResult.UNKNOWN))
        return settled


class InboundRequest:
    """A request on the remote side. Its result or outcome is kept until the forwarding gateway has it."""

    __slots__ = (
        "number",
        "state",
        "was_sent",
        "is_sent_reported",
        "may_have_executed",
        "reason",
        "pages",
        "next_page",
        "page_limit",
        "size_bytes",
        "ended_us",
        "retry_after_us",
        "is_lease_bound",
        "is_cancelled",
    )

    def __init__(self, number: int, size_bytes: int) -> None:
        self.number, self.size_bytes = number, size_bytes
        self.state = ForwardingState.ACCEPTED
        self.was_sent = False  # to an engine, whatever became of it there
        self.is_sent_reported = False  # on the present connection
        self.may_have_executed, self.reason, self.retry_after_us = False, "", 0
        self.is_lease_bound = True  # cancelled when the lease expires
        self.is_cancelled = False  # cancelled while its attempt has no outcome yet
        self.pages: list[bytes] = []
        self.next_page, self.page_limit = 0, 0  # the next page to send; the first one that must wait
        self.ended_us = 0


class InboundLedger:
    """The requests that one incarnation of one gateway has forwarded here."""

    def __init__(self) -> None:
        self.open: dict[int, InboundRequest] = {}
        self.size_bytes = 0
        self._highest_number = 0

    def add(self, number: int, size_bytes: int) -> InboundRequest | None:
        """Adds a request; returns None for a number that was used before, as numbers only increase."""
        if number <= self._highest_number:
            return None
        self._highest_number = number
        inbound = self.open[number] = InboundRequest(number, size_bytes)
        self.size_bytes += size_bytes
        return inbound

    def remove(self, inbound: InboundRequest) -> None:
        """Removes a request of which nothing is needed any more."""
        del self.open[inbound.number]
        self.size_bytes -= inbound.size_bytes

    def reconcile(self, requested: list[int]) -> tuple[list[tuple[int, str]], list[InboundRequest]]:
        """Compares the requests with those that the forwarding gateway waits for, after a reconnect.

        Returns the states of the requested numbers, and the requests to cancel and remove: those that the
        forwarding gateway does not wait for, and those that were accepted and not sent to an engine.
        """
        states, wanted = [], set(requested)
        for number in requested:
            inbound = self.open.get(number)
            states.append(
                (
                    number,
                    (
                        ForwardingState.NEVER_ACCEPTED
                        if inbound is None and number > self._highest_number
                        else ForwardingState.LEASE_EXPIRED
                        if inbound is None
                        else inbound.state
                    ).value,
                )
            )
        dropped = [
            inbound
            for number, inbound in self.open.items()
            if number not in wanted or inbound.state is ForwardingState.ACCEPTED
        ]
        return states, dropped
