"""Graceful shutdown: answers all open requests, then ends all connections, before the platform's SIGKILL.

After SIGTERM the platform waits at least for the longest timeout of a request class, three seconds at most,
and 0.7 s more before it sends SIGKILL. New requests keep arriving for up to 0.6 s after SIGTERM.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from cresstray.gateway.composition import GatewayParts

if TYPE_CHECKING:
    from cresstray.background.worker import Worker

_ACCEPTING_SECONDS = 0.8
# Open requests must be answered half a second before SIGKILL, so that the answers can still be written and be
# read by slow clients.
_MAX_TIMEOUT_US = 3_000_000
_AFTER_TIMEOUT_US = 200_000
# The policy exceeds a deadline by one of its sweeps at most.
_LATE_ANSWER_US = 100_000
_ALL_CLOSED_US = 400_000
# Once all requests are answered, requests still in transit are rejected; then clients read their answers and
# disconnect.
_LAST_REQUESTS_SECONDS = 0.05
_DISCONNECT_SECONDS = 0.5
# The parts of that time until nothing more is read, and then until what was read is dropped.
_READING_SHARE = 0.25
_HANDLING_SHARE = 0.5
# The last snapshot writes take some milliseconds. On a slower disk they are given up, and the succeeding
# process starts with older data.
_HAND_OVER_US = 300_000
_POLL_SECONDS = 0.01
_WORKER_POLL_SECONDS = 0.005


class GracefulShutdown:
    """Shuts one gateway down within the time that the platform allows after SIGTERM."""

    def __init__(self, parts: GatewayParts) -> None:
        self._parts = parts

    async def run(self) -> None:
        """Answers open and newly arriving requests, ends all connections, and hands over to the next process.

        Returns once every connection has ended, or the time for that is over.
        """
        parts = self._parts
        unanswered = parts.accounting.unanswered_count()
        parts.log.log("service", f"shutting down; {unanswered} requests are unanswered")
        deadline_us = self._set_deadline()
        await anyio.sleep(min(_ACCEPTING_SECONDS, self._seconds_until(deadline_us + _LATE_ANSWER_US)))
        with anyio.move_on_after(self._seconds_until(deadline_us + _LATE_ANSWER_US)):
            while parts.accounting.unanswered_count():
                await anyio.sleep(_POLL_SECONDS)
        self._report_unanswered()
        # A request accepted from here on would be sent to an engine and its answer be lost with the process.
        # Therefore no more connections are accepted, and all requests that are read are rejected.
        parts.listener.stop_listening()
        with anyio.move_on_after(self._seconds_until(deadline_us + _ALL_CLOSED_US)):
            async with anyio.create_task_group() as tasks:
                if parts.worker is not None:
                    tasks.start_soon(self._end_worker, parts.worker)
                await self._end_connections(deadline_us)

    async def _end_connections(self, deadline_us: int) -> None:
        """Ends all connections in order.

        Whatever clients have sent by now is handled first, as a connection that waits for its turn has read
        nothing yet; this lasts until the deadline of the shutdown at most. Clients that never stop sending
        would be reset by the end of the process and lose their answers, so in the last part of the time
        nothing is read from any client.
        """
        listener = self._parts.listener
        stopped_us = self._parts.clock.now()
        usual_seconds = min(
            _LAST_REQUESTS_SECONDS + _DISCONNECT_SECONDS, self._seconds_until(deadline_us + _ALL_CLOSED_US)
        )
        reading_seconds = _READING_SHARE * usual_seconds
        last_reading_us = deadline_us - int((usual_seconds - reading_seconds) * 1e6)
        await anyio.sleep(min(_LAST_REQUESTS_SECONDS, reading_seconds))
        listener.close()
        await self._wait_until_closed(self._seconds_until(stopped_us + int(reading_seconds * 1e6)))
        while listener.has_unhandled(stopped_us) and self._parts.clock.now() < last_reading_us:
            await anyio.sleep(_POLL_SECONDS)
        listener.discard_unread()
        await self._wait_until_closed(_HANDLING_SHARE * usual_seconds)
        listener.discard_buffered_lines()
        await self._wait_until_closed((1 - _READING_SHARE - _HANDLING_SHARE) * usual_seconds)

    async def _wait_until_closed(self, seconds: float) -> None:
        """Waits until no connection is open, or that time is over."""
        listener = self._parts.listener
        with anyio.move_on_after(seconds):
            while listener.connections or listener.closing_connections:
                await anyio.sleep(_POLL_SECONDS)

    def _set_deadline(self) -> int:
        """Limits the deadlines of all open and future requests; returns the latest one."""
        parts = self._parts
        services = parts.settings.get("Services", [])
        timeouts_us = [int(service.get("GiveUp", 0) * 1000) for service in services]
        remaining_us = min(_MAX_TIMEOUT_US, max(timeouts_us, default=0)) + _AFTER_TIMEOUT_US
        deadline_us = parts.ingress.shutdown_deadline_us = parts.clock.now() + remaining_us
        if parts.links is not None:
            parts.links.drain()
        parts.accounting.limit_deadlines(deadline_us)
        parts.timers.call_after(remaining_us, self._on_deadline)
        return deadline_us

    def _on_deadline(self, now_us: int) -> None:
        """Ends all that requests still wait for; the policy answers what else is open in its next sweep."""
        parts = self._parts
        parts.dispatcher.abandon_all(now_us)
        if parts.idempotency is not None:
            parts.idempotency.reject_undecided()

    def _report_unanswered(self) -> None:
        parts = self._parts
        unanswered = parts.accounting.unanswered_count()
        if unanswered:
            parts.counters.add("requests unanswered at shutdown", unanswered)
            parts.log.log("service", f"{unanswered} requests are unanswered at the end of the shutdown")

    def _seconds_until(self, time_us: int) -> float:
        return max(0.0, (time_us - self._parts.clock.now()) / 1e6)

    async def _end_worker(self, worker: Worker) -> None:
        """Runs background jobs a last time, as the hand-over, while the last answers are written."""
        worker.stop(self._parts.clock.now(), _HAND_OVER_US)
        with anyio.move_on_after(_HAND_OVER_US / 1e6):
            while not worker.is_finished:
                await anyio.sleep(_WORKER_POLL_SECONDS)
        if self._parts.membership is not None:
            self._parts.membership.close()
