"""Runs any number of gateway instances for the simulator, over standard input and output.

Each event becomes one method call on the selected instance, and each action of an instance one record of the
reply. Identifiers are resolved to objects here. Instances share no state.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Callable, Mapping
from typing import Any, BinaryIO

from cresstray.policy.controller import PolicyController
from cresstray.policy.settings import parse_settings
from cresstray.policy.types import Attempt, EndpointState, Engine, Outcome, ProgressKind, Request
from cresstray.simulator import wire

_OUTCOMES = {
    200: Outcome.SUCCEEDED,
    502: Outcome.FAILED,
    429: Outcome.OVERLOADED,
    408: Outcome.TIMED_OUT,
    521: Outcome.UNREACHABLE,
    520: Outcome.CONNECTION_LOST,
    444: Outcome.CANCELLED,
    409: Outcome.EXPIRED_BEFORE_SEND,
}
_ENDPOINT_STATES = {0: EndpointState.REMOVED, 1: EndpointState.READY, 2: EndpointState.DRAINING}
_PROGRESS_KINDS = {
    1: ProgressKind.FRACTION_DONE,
    2: ProgressKind.SPILLING,
    3: ProgressKind.WAITING_FOR_DATA_SET,
}
# Kinds of endpoint updates; any other kind is a complete list.
_CHANGES = 0
_LIST_FAILED = 3
_HAS_ESTIMATE = 1  # a flag of a new request
_EXIT_OK = 0
_EXIT_WIRE_ERROR = 2


def to_microseconds(milliseconds: float) -> int:
    """Converts a time of the wire protocol to whole microseconds."""
    return round(milliseconds * 1000)


class GatewayInstance:
    """One gateway: maps its identifiers to objects, and encodes the actions of its policy as records."""

    def __init__(
        self, instance_id: int, reply: wire.Reply, settings: Mapping[str, Any], seed: int, now_us: int
    ) -> None:
        self._id = instance_id
        self._reply = reply
        self._requests: dict[int, Request] = {}
        self._request_ids: dict[Request, int] = {}
        self._engines: dict[int, Engine] = {}
        self._engine_ids: dict[Engine, int] = {}
        self._timers: dict[int, Callable[[int], None]] = {}
        self._last_timer_id = 0
        self._report_names: list[str] = settings.get("Report", {}).get("Names", [])
        self._controller = PolicyController(self, parse_settings(settings), seed, now_us)

    # The methods of `PolicyPort`.

    def send_attempt(self, attempt: Attempt, timeout_us: int) -> None:
        """Sends an attempt to its engine."""
        request_id = self._request_ids[attempt.request]
        self._reply.send_attempt(self._id, request_id, self._engine_ids[attempt.engine], timeout_us / 1000)

    def cancel_attempt(self, attempt: Attempt) -> None:
        """Cancels an attempt in flight."""
        self._reply.cancel_attempt(self._id, self._request_ids[attempt.request], attempt.number)

    def reject_request(self, request: Request, retry_after_us: int) -> None:
        """Rejects a request."""
        self._reply.reject_request(self._id, self._request_ids[request], retry_after_us / 1000)
        self._forget(request)

    def fail_request(self, request: Request) -> None:
        """Fails a request that may have been executed."""
        self._reply.fail_request(self._id, self._request_ids[request])
        self._forget(request)

    def assign_resources(self, request: Request, memory_mb: float, priority: int) -> None:
        """Grants memory and a priority to the request's next attempt."""
        self._reply.assign_resources(self._id, self._request_ids[request], memory_mb, priority)

    def call_later(self, delay_us: int, callback: Callable[[int], None]) -> None:
        """Calls `callback` once after the delay, with the current time."""
        self._last_timer_id += 1
        self._timers[self._last_timer_id] = callback
        self._reply.set_timer(self._id, delay_us / 1000, self._last_timer_id)

    def probe_engine(self, engine: Engine) -> None:
        """Sends a health check to an engine."""
        self._reply.check_health(self._id, self._engine_ids[engine])

    def subscribe_to_endpoints(self) -> None:
        """Requests the endpoint list and subscribes to its changes."""
        self._reply.subscribe_to_endpoints(self._id)

    def log_event(self, text: str) -> None:
        """Logs an event."""
        self._reply.log_event(self._id, text)

    # Events of the simulator.

    def on_request(self, event: wire.NewRequest, now_us: int) -> None:
        """Passes a new request to the policy."""
        request = Request(
            request_class=self._controller.request_classes[event.request_class],
            arrived_us=now_us,
            deadline_us=now_us + int(event.time_left_ms * 1000),
            tenant=event.tenant,
            ordering_key=event.ordering_key,
            estimated_work_us=to_microseconds(event.estimated_work_ms) if event.flags & _HAS_ESTIMATE else 0,
            memory_mb=event.memory_mb,
            data_set=int(event.data_set),
        )
        self._requests[event.request_id] = request
        self._request_ids[request] = event.request_id
        self._controller.accept(request, now_us)

    def on_attempt_result(self, event: wire.AttemptResult, load_values: bytes, now_us: int) -> None:
        """Reports the end of an attempt, if it is still known."""
        request = self._requests.get(event.request_id)
        if request is None or event.attempt_number >= len(request.attempts):
            return
        self._controller.on_attempt_finished(
            request.attempts[event.attempt_number],
            _OUTCOMES.get(event.status, Outcome.FAILED),
            to_microseconds(event.latency_ms),
            bool(event.is_final),
            self._load_report(load_values),
            now_us,
        )
        self._forget(request)

    def on_progress(self, event: wire.ProgressUpdate, now_us: int) -> None:
        """Reports the progress of an attempt in flight."""
        request = self._requests.get(event.request_id)
        kind = _PROGRESS_KINDS.get(event.kind)
        if request is not None and kind is not None and event.attempt_number < len(request.attempts):
            self._controller.on_progress(request.attempts[event.attempt_number], kind, event.value, now_us)

    def on_request_cancelled(self, request_id: int, now_us: int) -> None:
        """Reports that the client has cancelled a request."""
        request = self._requests.get(request_id)
        if request is not None:
            self._controller.on_client_cancelled(request, now_us)
            self._forget(request)

    def on_endpoints(self, kind: int, listed: list[wire.EndpointEntry], now_us: int) -> None:
        """Reports the endpoint list or changes to it, or that it could not be fetched."""
        if kind == _LIST_FAILED:
            self._controller.on_endpoint_list_failed(now_us)
            return
        descriptions = []
        for entry in listed:
            engine = self._engines.get(entry.engine_id)
            if engine is None:
                engine = Engine()
                self._engines[entry.engine_id] = engine
                self._engine_ids[engine] = entry.engine_id
            state = _ENDPOINT_STATES.get(entry.state, EndpointState.REMOVED)
            started_us = to_microseconds(entry.started_ms)
            descriptions.append((engine, (entry.instance_type, entry.zone, entry.cell, started_us, state)))
        self._controller.on_endpoints_updated(descriptions, kind != _CHANGES, now_us)

    def on_timer(self, timer_id: int, now_us: int) -> None:
        """Runs the callback of a timer, once."""
        callback = self._timers.pop(timer_id, None)
        if callback is not None:
            callback(now_us)

    def on_health_check_result(self, event: wire.HealthCheckResult, load_values: bytes, now_us: int) -> None:
        """Reports the end of a health check."""
        engine = self._engines.get(event.engine_id)
        if engine is not None:
            outcome = _OUTCOMES.get(event.status, Outcome.FAILED)
            self._controller.on_probe_finished(engine, outcome, self._load_report(load_values), now_us)

    def _load_report(self, load_values: bytes) -> dict[str, float]:
        return dict(zip(self._report_names, wire.decode_load_values(load_values))) if load_values else {}

    def _forget(self, request: Request) -> None:
        # A finished request stays known while its attempt is in flight, as the result has yet to arrive.
        if request.is_finished and request.current_attempt is None and request in self._request_ids:
            del self._requests[self._request_ids.pop(request)]


class Host:
    """All gateway instances, and the numbered endpoint lists to which their events refer."""

    def __init__(self) -> None:
        self._reply = wire.Reply()
        self._instances: dict[int, GatewayInstance] = {}
        self._lists: dict[int, list[wire.EndpointEntry]] = {}

    def process_batch(self, frame: bytes) -> bytes:
        """Processes one batch of events and returns the reply.

        Raises:
            WireError: The batch does not conform to the wire protocol.
        """
        now_us = to_microseconds(wire.clock_ms(frame))
        instance_id: int | None = None
        for record in wire.decode_records(frame):
            if record.code == wire.INSTANCE_SELECTED:
                (instance_id,) = record.fields
            elif record.code == wire.ENDPOINT_LIST:
                self._lists[record.fields[0]] = wire.decode_entries(record.tail)
            elif instance_id is None:
                raise wire.WireError(f"event {record.code} before any 'on'")
            else:
                self._check_list(record)
                self._deliver_safely(instance_id, record, now_us)
        return self._reply.take_frame()

    def _check_list(self, record: wire.Record) -> None:
        if record.code != wire.ENDPOINTS:
            return
        update = wire.EndpointUpdate(*record.fields)
        if update.kind != _LIST_FAILED and update.list_id not in self._lists:
            raise wire.WireError(f"members refers to unknown list {update.list_id}")

    def _deliver_safely(self, instance_id: int, record: wire.Record, now_us: int) -> None:
        try:
            self._deliver(instance_id, record, now_us)
        except Exception as error:  # every failure is reported to the simulator
            self._reply.report_crash(instance_id, f"{type(error).__name__}: {error}")
            self._instances.pop(instance_id, None)

    def _deliver(self, instance_id: int, record: wire.Record, now_us: int) -> None:
        if record.code == wire.CREATE:
            settings = json.loads(record.tail)
            self._instances[instance_id] = GatewayInstance(
                instance_id, self._reply, settings, record.fields[0], now_us
            )
        elif record.code == wire.STOP:
            self._instances.pop(instance_id, None)
        elif instance_id in self._instances:
            self._deliver_to(self._instances[instance_id], record, now_us)

    def _deliver_to(self, instance: GatewayInstance, record: wire.Record, now_us: int) -> None:
        code, fields, tail = record
        if code == wire.NEW_REQUEST:
            instance.on_request(wire.NewRequest(*fields), now_us)
        elif code == wire.ATTEMPT_RESULT:
            instance.on_attempt_result(wire.AttemptResult(*fields), tail, now_us)
        elif code == wire.TIMER:
            instance.on_timer(fields[0], now_us)
        elif code == wire.PROGRESS:
            instance.on_progress(wire.ProgressUpdate(*fields), now_us)
        elif code == wire.ENDPOINTS:
            update = wire.EndpointUpdate(*fields)
            instance.on_endpoints(update.kind, self._lists.get(update.list_id, []), now_us)
        elif code == wire.REQUEST_CANCELLED:
            instance.on_request_cancelled(fields[0], now_us)
        elif code == wire.HEALTH_CHECK_RESULT:
            instance.on_health_check_result(wire.HealthCheckResult(*fields), tail, now_us)
        # Opened connections and peer messages affect no decision, so these events are ignored.


def serve(source: BinaryIO, sink: BinaryIO) -> int:
    """Answers frames until the input ends; returns the exit code of the process."""
    host = Host()
    while True:
        try:
            frame = wire.read_frame(source)
            if frame is None:
                return _EXIT_OK
            reply = host.process_batch(frame)
        except wire.WireError as error:
            print(f"cresstray: {error}", file=sys.stderr)
            return _EXIT_WIRE_ERROR
        sink.write(reply)
        sink.flush()


if __name__ == "__main__":
    sys.exit(serve(sys.stdin.buffer, sys.stdout.buffer))
