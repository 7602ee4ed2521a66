"""The remote side of a link: accepts the requests of one forwarding gateway and answers them.

It performs no I/O, and outlives its connections for as long as the forwarding gateway's incarnation exists.
To the pipeline it is a responder like a client's connection; its requests are marked as forwarded in and get
one attempt.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from cresstray.observability.counters import Counters
from cresstray.policy.deadlines import ATTEMPT_MARGIN_US
from cresstray.policy.types import NOT_EXECUTED, Outcome
from cresstray.sites import codec
from cresstray.sites.codec import FramingError
from cresstray.sites.ends import PAGE_WINDOW, GatewayIdentity, LinkSession
from cresstray.sites.health import LinkHealth
from cresstray.sites.ledger import ForwardingState, InboundLedger, InboundRequest
from cresstray.sites.offer import ForwardedOffer, offer_of

# A request that has ended is kept until the forwarding gateway releases it, or has surely timed out.
_RETENTION_US = 30_000_000
# The retry_after of a rejection: two usual heartbeats, which report the present capacity by then.
_RETRY_AFTER_US = 200_000


class RequestIngress(Protocol):
    """The first stage of the pipeline."""

    def accept(
        self,
        responder: InboundLink,
        number: int,
        query: codec.ForwardRequest,
        offer: ForwardedOffer,
    ) -> None:
        """Accepts a forwarded request, whose frame is the query."""

    def cancel(self, responder: InboundLink, number: int | None, name: str | None) -> None:
        """Cancels an open request."""


class InboundLink(LinkSession):
    """The remote side of the link from one incarnation of a forwarding gateway."""

    _PEER_SIDE = "near"

    def __init__(
        self,
        identity: GatewayIdentity,
        origin: GatewayIdentity,
        health: LinkHealth,
        max_requests: int,
        max_bytes: int,
        ingress: RequestIngress,
        spare_capacity: Callable[[], tuple[float, float, float]],
        paused_us: Callable[[], int],
        now: Callable[[], int],
        wake: Callable[[], None],
        call_after: Callable[[int, Callable[[int], None]], object],
        counters: Counters,
        log: Callable[[str], None],
    ) -> None:
        """Creates the link.

        Args:
            identity: This gateway.
            origin: The forwarding gateway.
            health: The health of this side of the link.
            max_requests: The credit of the link, in open requests.
            max_bytes: The credit of the link, in bytes of their statements.
            ingress: Gets the forwarded requests.
            spare_capacity: Returns the spare threads, the cores and the slowdown to report.
            paused_us: Returns for how long no request is accepted.
            now: Returns the time in microseconds.
            wake: Makes the owner call `tick` soon.
            call_after: Calls a function after a delay in microseconds.
            counters: Counts the requests.
            log: Writes a line to the log.
        """
        super().__init__(identity, health, now)
        self.origin, self._max_requests, self._max_bytes = origin, max_requests, max_bytes
        self._ingress, self._spare_capacity, self._paused_us = ingress, spare_capacity, paused_us
        self._wake, self._call_after = wake, call_after
        self._counters, self._log = counters, log
        self.open_requests: dict[int, object] = {}  # the RequestContexts that the pipeline adds
        self.ledger = InboundLedger()
        self._was_connected = False
        self._heartbeat_us, self.disconnected_us, self.last_request_us = 0, 0, 0

    # The connection.

    def on_connected(self, hello: codec.Hello, write: Callable[[bytes, bool], None]) -> None:
        """Welcomes a new connection of the same incarnation and reconciles the requests of earlier ones."""
        self._write = write
        now_us = self._now()
        # A link that starts anew knows nothing of earlier requests, also those that this process has run.
        resumed = self._was_connected and hello.known_incarnation == self._identity.incarnation
        self._was_connected = True
        states: list[tuple[int, str]] = []
        if resumed:
            states, dropped = self.ledger.reconcile(hello.open_requests)
            for inbound in dropped:
                self._drop(inbound)
        else:
            self.cancel_all()
        self._health.on_connected(now_us)
        identity = self._identity
        self._send(
            codec.Welcome(
                codec.PROTOCOL_VERSION,
                identity.features(),
                identity.site,
                identity.name,
                identity.incarnation,
                resumed,
                states,
                self._max_requests,
                self._max_bytes,
                self._health.lease_us,
            )
        )
        for inbound in self.ledger.open.values():
            inbound.next_page, inbound.page_limit, inbound.is_sent_reported = 0, PAGE_WINDOW, False
            if inbound.state is ForwardingState.ENDED:
                self._send_outcome(inbound)
        self._send_heartbeat(now_us)

    def on_disconnected(self) -> None:
        """The connection has ended; open requests continue until their lease expires."""
        self._write = None
        self._health.on_disconnected()
        self.disconnected_us = self._now()

    def cancel_all(self) -> None:
        """Cancels and removes all requests: the forwarding gateway has a new incarnation, or is gone."""
        for inbound in list(self.ledger.open.values()):
            self._drop(inbound)

    def send_go_away(self, reason: str) -> None:
        """Tells the forwarding gateway that no further request is accepted."""
        self._send(codec.GoAway(reason))

    def receive(self, frame: codec.Frame) -> None:
        """Handles a frame.

        Raises:
            FramingError: the forwarding side violates the protocol; the connection must be closed.
        """
        self._dispatch(frame, self._now())

    # Frames of the forwarding gateway.

    def _on_forward_request(self, frame: codec.ForwardRequest, now_us: int) -> None:
        max_age_us = self._health.max_age_us(frame.acknowledged, frame.held_us, now_us)
        self._health.acknowledge(frame.acknowledged)
        self.last_request_us = now_us
        inbound = self.ledger.add(frame.number, len(frame.statement))
        if inbound is None:
            raise FramingError(f"crossing {frame.number} is offered again")
        # Requests that have ended here and are not released yet use none of the forwarding gateway's credit.
        max_open = self._max_requests * 3 // 2 + 8
        if (
            len(self.ledger.open) > max_open
            or self.ledger.size_bytes > self._max_bytes * 3 // 2 + codec.MAX_FRAME_BYTES
        ):
            raise FramingError("more is offered than there is credit for")
        if max_age_us is None or 0 < frame.max_send_delay_us <= max_age_us:
            self._reject(inbound, "it came too late to be sent", 0)
        elif frame.is_lease_bound and not self._identity.can_fence:
            # The forwarding gateway would retry it after a lease, beside the attempt here.
            self._reject(inbound, "nothing may be cancelled here", _RETRY_AFTER_US)
        elif self._paused_us():
            self._reject(inbound, "nothing is taken here now", _RETRY_AFTER_US)
        elif frame.remaining_us - max_age_us <= ATTEMPT_MARGIN_US:
            # Rejected here, as the pipeline's rejection would be taken for a lack of capacity.
            self._reject(inbound, "its time is over", 0)
        else:
            # The client is answered at its deadline, however late the frame is. `max_age_us` includes the way
            # of the heartbeat, and so allows for the way of the answer.
            frame.remaining_us -= max_age_us
            self._counters.add("crossings taken")
            inbound.is_lease_bound = frame.is_lease_bound
            self._wake()  # from now on its lease is checked
            self._ingress.accept(self, inbound.number, frame, offer_of(frame, max_age_us, now_us))
            if inbound.state is ForwardingState.ACCEPTED:  # otherwise a later frame has implied it
                self._send(codec.Accepted(inbound.number))

    def _on_heartbeat(self, frame: codec.Heartbeat, now_us: int) -> None:
        self._health.on_heartbeat(frame.number, frame.acknowledged, frame.held_us, now_us)
        self._send_heartbeat(now_us)

    def _on_cancel(self, frame: codec.Cancel, now_us: int) -> None:
        inbound = self.ledger.open.get(frame.number)
        if inbound is not None and inbound.state in (ForwardingState.ACCEPTED, ForwardingState.SENT):
            # The forwarding gateway may retry the request elsewhere once it gets the outcome, which is
            # therefore sent only after the engine has confirmed the end of the attempt.
            inbound.is_cancelled = True
            self._cancel(inbound)
            if inbound.state is ForwardingState.ACCEPTED:
                self._finish(inbound, "withdrawn")

    def _on_release(self, frame: codec.Release, now_us: int) -> None:
        for number in frame.numbers:
            inbound = self.ledger.open.get(number)
            if inbound is not None:
                self._drop(inbound)

    def _on_pages_received(self, frame: codec.PagesReceived, now_us: int) -> None:
        inbound = self.ledger.open.get(frame.number)
        if inbound is not None and inbound.state is ForwardingState.ENDED:
            inbound.page_limit = max(inbound.page_limit, frame.page_count + PAGE_WINDOW)
            self._send_pages(inbound)

    def _on_go_away(self, frame: codec.GoAway, now_us: int) -> None:
        self._log(f"{self.origin.name} of {self.origin.site} forwards no further requests: {frame.reason}")

    _HANDLERS = {
        codec.ForwardRequest: _on_forward_request,
        codec.Heartbeat: _on_heartbeat,
        codec.Cancel: _on_cancel,
        codec.Release: _on_release,
        codec.PagesReceived: _on_pages_received,
        codec.GoAway: _on_go_away,
    }

    # Calls of the pipeline, to this link as a responder.

    def on_attempt_sent(self, number: int) -> None:
        """Reports that the request is sent to an engine."""
        inbound = self.ledger.open.get(number)
        if inbound is not None and inbound.state is ForwardingState.ACCEPTED:
            inbound.state, inbound.may_have_executed, inbound.was_sent = ForwardingState.SENT, True, True
            delay_us = self.write_delay_us()
            if delay_us:
                # The request may end before this frame would be written, and its outcome implies it.
                self._call_after(delay_us, lambda _: self._send_sent(inbound))
            else:
                self._send_sent(inbound)

    def _send_sent(self, inbound: InboundRequest) -> None:
        if inbound.state is ForwardingState.SENT:
            inbound.is_sent_reported = True
            self._send(codec.Sent(inbound.number))

    def on_attempt_finished(self, number: int, outcome: Outcome) -> None:
        """Notes the outcome of the request's attempt."""
        inbound = self.ledger.open.get(number)
        if inbound is not None:
            inbound.may_have_executed = outcome not in NOT_EXECUTED
            inbound.reason = codec.OUTCOME_WORDS[outcome]
            if inbound.is_cancelled and inbound.state is ForwardingState.SENT:
                self._finish(inbound, "withdrawn")

    def succeed(self, number: int, result: bytes, replica_position: str | None = None) -> None:
        """Sends the result.

        `replica_position` refers to this site's replicas and is ignored: hinted reads are not forwarded.
        """
        self.open_requests.pop(number)
        inbound = self.ledger.open.get(number)
        if inbound is not None:
            inbound.pages = [
                result[start : start + codec.PAGE_BYTES] for start in range(0, len(result), codec.PAGE_BYTES)
            ] or [b""]
            inbound.page_limit = PAGE_WINDOW
            self._finish(inbound, "fulfilled")

    def reject(self, number: int, retry_after_us: int) -> None:
        """Rejects the request, or reports its failure if it was sent to an engine."""
        self.open_requests.pop(number)
        inbound = self.ledger.open.get(number)
        if inbound is None:
            return
        if inbound.state is ForwardingState.ACCEPTED:
            self._reject(inbound, "no room", max(retry_after_us // 8, _RETRY_AFTER_US))
        else:
            self._finish(inbound, inbound.reason or "denied")

    def fail(self, number: int) -> None:
        """Reports that the request failed and may have been executed."""
        self.reject(number, 0)

    def has_left(self, number: int) -> bool:
        """Returns whether the forwarding gateway may have retried the request elsewhere.

        A connection that has ended says nothing: the gateway may reconnect, and cancels what it no longer
        wants. A process that was stopped may come to send before `tick` has found that the lease is over.
        """
        inbound = self.ledger.open.get(number)
        return inbound is not None and inbound.is_lease_bound and self._health.has_lease_expired(self._now())

    def reject_malformed(self, number: int | None, text: str) -> None:
        """Rejects a request that this site's configuration does not allow."""
        inbound = self.ledger.open.get(number)
        if inbound is not None:
            # The sites' request classes or tenants differ, so similar requests are kept away for a while.
            self._log(f"rejected a malformed request that {self.origin.name} forwarded: {text}")
            self._reject(inbound, text[:128], _RETRY_AFTER_US)

    # Outcomes.

    def _reject(self, inbound: InboundRequest, reason: str, retry_after_us: int) -> None:
        inbound.retry_after_us = retry_after_us
        self._counters.add("crossings refused here")
        self._finish(inbound, reason)

    def _finish(self, inbound: InboundRequest, reason: str) -> None:
        inbound.state, inbound.reason, inbound.ended_us = ForwardingState.ENDED, reason, self._now()
        self._send_outcome(inbound)

    def _send_outcome(self, inbound: InboundRequest) -> None:
        """Sends the outcome of a request, and sends it again after a reconnect."""
        if inbound.pages:
            self._send_pages(inbound)
        elif inbound.may_have_executed:
            self._send(codec.Failed(inbound.number, True, inbound.reason))
        elif inbound.retry_after_us:
            self._send(codec.Rejected(inbound.number, inbound.retry_after_us, inbound.reason))
        else:
            if inbound.was_sent and not inbound.is_sent_reported:
                # Only this tells the forwarding gateway that an engine got the request, which makes it an
                # attempt. The frame may still have waited for its write delay, or have been lost.
                self._send(codec.Sent(inbound.number))
            self._send(codec.Failed(inbound.number, False, inbound.reason))

    def _send_pages(self, inbound: InboundRequest) -> None:
        while inbound.next_page < min(inbound.page_limit, len(inbound.pages)):
            body = inbound.pages[inbound.next_page]
            self._send(codec.ResultPage(inbound.number, inbound.next_page, len(inbound.pages), body))
            inbound.next_page += 1

    def _drop(self, inbound: InboundRequest) -> None:
        """Removes a request whose outcome nobody needs, and cancels it if it is open."""
        self.ledger.remove(inbound)
        self._cancel(inbound)

    def _cancel(self, inbound: InboundRequest) -> None:
        if inbound.number in self.open_requests:
            self._ingress.cancel(self, inbound.number, None)

    # Time.

    def is_busy(self, now_us: int) -> bool:
        """Returns whether requests are open."""
        return bool(self.open_requests)

    def tick(self, now_us: int) -> bool:
        """Checks timers; must be called several times per heartbeat interval.

        Returns:
            False if the connection should be closed.
        """
        self._health.set_busy(self.is_busy(now_us), now_us)
        # Each received heartbeat is answered at once; others are sent only where the other side's are late.
        if now_us - self._heartbeat_us >= 2 * self._health.idle_heartbeat_us:
            self._send_heartbeat(now_us)
        self._health.update_state(now_us)
        has_lease_expired = self._health.has_lease_expired(now_us)
        for inbound in list(self.ledger.open.values()):
            if (
                has_lease_expired
                and inbound.is_lease_bound
                and inbound.state in (ForwardingState.ACCEPTED, ForwardingState.SENT)
            ):
                # The forwarding gateway may retry the request elsewhere once this lease is over.
                self._counters.add("crossings fenced")
                self._cancel(inbound)
                inbound.reason, inbound.state = (
                    "given up: no word from the near side for a lease",
                    ForwardingState.LEASE_EXPIRED,
                )
                inbound.ended_us = now_us
                self._send(codec.Failed(inbound.number, inbound.may_have_executed, inbound.reason))
            elif inbound.ended_us and now_us - inbound.ended_us > _RETENTION_US:
                self.ledger.remove(inbound)
        return not self._health.is_dead(now_us)

    def _send_heartbeat(self, now_us: int) -> None:
        self._heartbeat_us = now_us
        if self._write is not None:
            threads, cores, slowdown = self._spare_capacity()
            # The threads of the forwarding gateway's own requests here are its to use again.
            running = sum(context.request.request_class.threads for context in self.open_requests.values())
            self._send(
                codec.Heartbeat(
                    *self._health.next_heartbeat(now_us),
                    max(0.0, threads) + running,
                    max(0.0, cores),
                    max(0.0, slowdown),
                    self._paused_us(),
                ),
                immediately=True,
            )
