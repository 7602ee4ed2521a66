"""The forwarding side of a link: forwards requests and reports their outcomes. Performs no I/O.

The owner of the connection passes in received bytes with the current time, and sends what this side writes.
Outcomes go to the listener, which belongs to the pipeline.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from cresstray.observability.counters import Counters
from cresstray.policy.types import Attempt
from cresstray.sites import codec
from cresstray.sites.codec import FramingError
from cresstray.sites.ends import PAGE_WINDOW, GatewayIdentity, LinkSession
from cresstray.sites.ledger import ForwardedRequest, ForwardingResult, ForwardingState, OutboundLedger
from cresstray.sites.routing import SiteRoute

# Clients that speak JSON-RPC get results of at most 48,000 bytes; far more pages than that are an error.
_MAX_PAGES = 512


class ForwardingListener(Protocol):
    """Receives the events of forwarded requests and links; `on_finished` is the last event of a request."""

    def add(self, link: OutboundLink) -> None:
        """Registers a link before its first event."""

    def on_finished(
        self,
        forwarded: ForwardedRequest,
        forwarding_result: ForwardingResult,
        was_sent: bool,
        result: bytes | None,
    ) -> None:
        """The request has an outcome; `result` is what the remote site served."""

    def on_deadline_unreachable(self, forwarded: ForwardedRequest) -> None:
        """The remote site cannot answer in time; the request has no outcome yet."""

    def on_state(self, link: OutboundLink, is_ready: bool) -> None:
        """The link has become ready or unready, or the remote site's cores have changed."""

    def on_capacity(self, link: OutboundLink) -> None:
        """The remote site has spare threads."""


class OutboundLink(LinkSession):
    """The forwarding side of the link to one remote gateway."""

    _PEER_SIDE = "far"

    def __init__(
        self,
        identity: GatewayIdentity,
        remote_site: str,
        route: SiteRoute,
        listener: ForwardingListener,
        counters: Counters,
        log: Callable[[str], None],
        now: Callable[[], int],
        wake: Callable[[], None],
    ) -> None:
        super().__init__(identity, route.health, now)
        self._remote_site, self.route, self._wake = remote_site, route, wake
        self._listener, self._counters, self._log = listener, counters, log
        route.request_heartbeat = self._on_heartbeat_requested
        self.ledger = OutboundLedger()
        self._decoder = codec.FrameDecoder()
        self._unsent_releases: list[int] = []  # request numbers for the next Release frame
        self.is_established, self._reported_cores = False, 0.0  # as last reported to the listener
        self._known_incarnation, self._heartbeat_us = "", 0  # of the remote gateway; when ours was last sent
        self._can_remote_fence = False  # whether it cancels our requests once their lease has expired
        self.remote_gateway = ""  # its name, once the remote gateway has sent it

    # The connection.

    def on_connected(self, write: Callable[[bytes, bool], None]) -> None:
        """Starts the handshake on a new connection."""
        self._write, self._decoder, self.is_established = write, codec.FrameDecoder(), False
        self._unsent_releases.clear()
        identity = self._identity
        self._send(
            codec.Hello(
                codec.MAGIC,
                codec.PROTOCOL_VERSION,
                identity.features(),
                identity.site,
                identity.name,
                identity.incarnation,
                self._known_incarnation,
                list(self.ledger.open),
            )
        )

    def on_disconnected(self, now_us: int) -> None:
        """The connection has ended; open requests wait for the next one, or for the end of their lease."""
        self._write = None
        if self.is_established:
            self._counters.add("links between halls lost")
        self.is_established = False
        self._health.on_disconnected()
        self.ledger.mark_disconnected()
        self._report_state(now_us)

    def receive(self, data: bytes, now_us: int) -> None:
        """Handles received bytes.

        Raises:
            FramingError: the remote side violates the protocol; the connection must be closed.
        """
        for frame in self._decoder.feed(data):
            if not self.is_established:
                self._on_welcome(frame, now_us)
            else:
                self._dispatch(frame, now_us)

    def _release(self, number: int) -> None:
        self._unsent_releases.append(number)
        # A request that is kept remotely costs little for a while; a frame releases a twentieth of the link's
        # credit.
        if len(self._unsent_releases) * 20 >= self.route.credit.max_requests:
            self._send_releases()

    def _send_releases(self) -> None:
        if self._unsent_releases:
            self._send(codec.Release(self._unsent_releases))
            self._unsent_releases = []

    def _on_welcome(self, frame: codec.Frame, now_us: int) -> None:
        if not isinstance(frame, codec.Welcome):
            raise FramingError(f"the first frame is a {type(frame).__name__} instead of a Welcome")
        if frame.version != codec.PROTOCOL_VERSION or frame.site != self._remote_site:
            raise FramingError(
                f"protocol version {frame.version} of site {frame.site!r}, not {self._remote_site!r}"
            )
        # A new incarnation of the remote gateway knows nothing of the previous one's requests.
        resumed = frame.resumed and frame.incarnation == self._known_incarnation
        self._known_incarnation, self.remote_gateway, self.is_established = (
            frame.incarnation,
            frame.gateway,
            True,
        )
        self._can_remote_fence = codec.FENCING in frame.features
        self._health.on_connected(now_us)
        # With a shorter lease than the remote gateway's, requests would be retried here while they still run
        # there.
        self._health.lease_us = max(self._health.lease_us, frame.lease_us)
        route = self.route
        route.credit.max_requests = min(route.credit.max_requests, max(1, frame.max_requests))
        route.credit.max_bytes = min(route.credit.max_bytes, max(codec.MAX_FRAME_BYTES, frame.max_bytes))
        route.is_draining, route.available_threads, route.available_cores = False, 0.0, 0.0
        known = set(self.ledger.open)
        settled = self.ledger.reconcile(resumed, frame.states)
        for number, _ in frame.states:
            if number not in known:
                # It ended here while the welcome was in transit. This must precede our first heartbeat, which
                # renews the lease.
                self._send(codec.Cancel(number))
                self._send(codec.Release([number]))
        for forwarded, forwarding_result in settled:
            self._finish(forwarded, forwarding_result, forwarding_result is not ForwardingResult.NOT_EXECUTED)
            if resumed:
                # Requests that the remote gateway has cancelled count against the credit until they are
                # released or expire there.
                self._release(forwarded.number)
        for forwarded in self.ledger.open.values():
            if forwarded.is_cancelled:
                self._send(codec.Cancel(forwarded.number))
        self._counters.add("links between halls made")
        if settled:
            self._log(
                f"link to {self.remote_gateway} {'resumed' if resumed else 'new'}: {len(settled)} crossings "
                f"settled, {len(self.ledger.open)} go on"
            )
        self._send_heartbeat(now_us)
        self._report_state(now_us)

    # Forwarded requests.

    def forward(self, attempt: Attempt, query: object, now_us: int) -> ForwardedRequest:
        """Forwards an attempt whose request the route has accepted; `query` is what the client sent."""
        request = attempt.request
        request_class = request.request_class
        is_lease_bound = self._can_remote_fence and (
            request_class.is_idempotent or request_class.is_deduplicated
        )
        forwarded = self.ledger.add(
            attempt, self, query.name, self.route.reserve(request, now_us), is_lease_bound
        )
        send_window_us = self.route.send_window_us(request, now_us)
        is_limited = send_window_us < request.deadline_us - now_us
        self._send(
            codec.ForwardRequest(
                forwarded.number,
                self._health.received_number,
                query.name,
                query.class_name,
                query.tenant,
                query.idempotency_key,
                query.estimated_work_ms,
                query.memory_mb,
                max(0, request.deadline_us - now_us),
                self.route.max_queue_us(request, now_us),
                max(1, send_window_us) if is_limited else 0,
                request.data_set,
                len(request.attempts) - 1,
                is_lease_bound,
                query.statement,
                self._health.held_us(now_us),
            )
        )
        self._counters.add("crossings offered")
        return forwarded

    def _give_up(self, forwarded: ForwardedRequest) -> None:
        """Ends a request that the remote gateway can no longer answer in time.

        Unless it is known to be sent to an engine, it may still be on its way there, and the cancellation
        arrives no sooner. Its client is therefore answered only when the remote gateway has confirmed the
        cancellation, or at the deadline, after which the remote gateway sends nothing.
        """
        if forwarded.state is ForwardingState.SENT:
            self._listener.on_deadline_unreachable(forwarded)
        else:
            self.abandon(forwarded)

    def abandon(self, forwarded: ForwardedRequest) -> bool:
        """Asks the remote gateway to cancel the request; it may still run until that is confirmed.

        Returns:
            False: the outcome follows, from the remote gateway or when the lease has ended.
        """
        if forwarded.number in self.ledger.open and not forwarded.is_cancelled:
            forwarded.is_cancelled = True
            self._counters.add("crossings withdrawn")
            self._send(codec.Cancel(forwarded.number))
        return False

    def _finish(
        self,
        forwarded: ForwardedRequest,
        forwarding_result: ForwardingResult,
        was_sent: bool,
        result: bytes | None = None,
    ) -> None:
        self.ledger.remove(forwarded)
        self.route.release(forwarded.attempt.request, forwarded.weight_threads)
        self._counters.add(f"crossings {forwarding_result.value}")
        self._listener.on_finished(forwarded, forwarding_result, was_sent, result)

    def _find(self, number: int, is_final: bool = False) -> ForwardedRequest | None:
        """Returns the open request of this number.

        Returns None for one that has ended here; its final frame lets the remote gateway remove it.
        """
        forwarded = self.ledger.open.get(number)
        if forwarded is None and not self.ledger.was_assigned(number):
            # A peer that answers what was not asked cannot be trusted to answer other requests correctly.
            raise FramingError(f"word of crossing {number}, which was never given")
        if forwarded is None and is_final:
            self._release(number)
        return forwarded

    def _on_accepted(self, frame: codec.Accepted, now_us: int) -> None:
        forwarded = self._find(frame.number)
        if forwarded is not None and forwarded.state is ForwardingState.OFFERED:
            forwarded.state = ForwardingState.ACCEPTED

    def _on_sent(self, frame: codec.Sent, now_us: int) -> None:
        forwarded = self._find(frame.number)
        if forwarded is not None:
            forwarded.state = ForwardingState.SENT

    def _on_rejected(self, frame: codec.Rejected, now_us: int) -> None:
        forwarded = self._find(frame.number, is_final=True)
        if frame.retry_after_us:
            self.route.pause(frame.retry_after_us, now_us)
        if forwarded is not None:
            if forwarded.state is ForwardingState.SENT:
                raise FramingError(f"request {frame.number} was rejected after it was sent to an engine")
            self._counters.add("crossings refused")
            self._release(frame.number)
            self._finish(forwarded, ForwardingResult.NOT_EXECUTED, False)

    def _on_failed(self, frame: codec.Failed, now_us: int) -> None:
        forwarded = self._find(frame.number, is_final=True)
        if forwarded is not None:
            self._release(frame.number)
            was_sent = forwarded.state is ForwardingState.SENT or frame.may_have_executed
            self._finish(
                forwarded,
                ForwardingResult.POSSIBLY_EXECUTED
                if frame.may_have_executed
                else ForwardingResult.NOT_EXECUTED,
                was_sent,
            )

    def _on_result_page(self, frame: codec.ResultPage, now_us: int) -> None:
        forwarded = self._find(frame.number, is_final=frame.page == 0)
        if forwarded is None:
            return
        forwarded.state = ForwardingState.SENT
        if forwarded.pages is None:
            if frame.page_count > _MAX_PAGES:
                raise FramingError(f"a result of {frame.page_count} pages is too long")
            forwarded.pages = []
        if frame.page != len(forwarded.pages):
            raise FramingError(
                f"page {frame.page} of request {frame.number} instead of page {len(forwarded.pages)}"
            )
        forwarded.pages.append(frame.body)
        received = len(forwarded.pages)
        if received == frame.page_count:
            self._release(frame.number)
            self._finish(forwarded, ForwardingResult.SERVED, True, b"".join(forwarded.pages))
        elif received - forwarded.acknowledged_pages >= PAGE_WINDOW // 2:
            forwarded.acknowledged_pages = received
            self._send(codec.PagesReceived(frame.number, received))

    def _on_heartbeat(self, frame: codec.Heartbeat, now_us: int) -> None:
        self._health.on_heartbeat(frame.number, frame.acknowledged, frame.held_us, now_us)
        self.route.update_capacity(frame.threads, frame.cores, frame.slowdown, frame.paused_us, now_us)
        self._report_state(now_us)
        if self._reported_cores and self.route.spare_threads() > 0:
            self._listener.on_capacity(self)

    def _on_go_away(self, frame: codec.GoAway, now_us: int) -> None:
        self._log(f"{self.remote_gateway} takes nothing more: {frame.reason}")
        self.route.is_draining = True
        self._report_state(now_us)

    _HANDLERS = {
        codec.Accepted: _on_accepted,
        codec.Sent: _on_sent,
        codec.Rejected: _on_rejected,
        codec.Failed: _on_failed,
        codec.ResultPage: _on_result_page,
        codec.Heartbeat: _on_heartbeat,
        codec.GoAway: _on_go_away,
    }

    # Time.

    def is_busy(self, now_us: int) -> bool:
        """Returns whether requests are open, or were wanted in the last second."""
        return bool(self.ledger.open) or now_us - self.route.last_wanted_us < 1_000_000

    def _on_heartbeat_requested(self) -> None:
        if self.is_established:
            self._wake()

    def tick(self, now_us: int) -> bool:
        """Checks timers; must be called several times per heartbeat interval.

        Returns:
            False if the connection should be closed.
        """
        self._health.set_busy(self.is_busy(now_us), now_us)
        if self.is_established and now_us - self._heartbeat_us >= self._health.heartbeat_us:
            self._send_heartbeat(now_us)
        before, state = self._health.state, self._health.update_state(now_us)
        if before is not state:
            round_trip_ms = self._health.round_trip_us(now_us) / 1000
            self._log(f"link to {self.remote_gateway} is {state.value}, round trip {round_trip_ms:.1f} ms")
        has_lease_ended = now_us > self._health.remote_lease_end_us()
        for forwarded in list(self.ledger.open.values()):
            request = forwarded.attempt.request
            if (
                forwarded.is_disconnected
                and has_lease_ended
                and (forwarded.is_lease_bound or request.is_finished)
            ):
                # The remote gateway has cancelled it by now, in whatever state it was; or no client waits for
                # it any more. What the remote gateway does not cancel waits for the link or its deadline.
                self._finish(forwarded, ForwardingResult.UNKNOWN, True)
            elif not forwarded.is_cancelled and self.route.is_deadline_unreachable(
                request, forwarded.state is ForwardingState.SENT, now_us
            ):
                self._counters.add("crossings hopeless")
                self._give_up(forwarded)
        self._report_state(now_us)
        return not self._health.is_dead(now_us)

    def _send_heartbeat(self, now_us: int) -> None:
        self._heartbeat_us = now_us
        self._send_releases()
        self._send(codec.Heartbeat(*self._health.next_heartbeat(now_us)), immediately=True)

    def _report_state(self, now_us: int) -> None:
        # The link is ready once a heartbeat has reported cores; a change of a tenth is reported.
        cores = self.route.available_cores if self.is_established and not self.route.is_draining else 0.0
        if (
            bool(cores) != bool(self._reported_cores)
            or abs(cores - self._reported_cores) > 0.1 * self._reported_cores
        ):
            self._reported_cores = cores
            self._listener.on_state(self, cores > 0)
