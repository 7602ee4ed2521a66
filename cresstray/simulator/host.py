"""Hosts any number of gateways on the simulator's wire, by standard input and output.

Each event becomes one call on the instance it names, each answer one record; ids become objects here and
nothing is shared between instances.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Callable
from typing import BinaryIO

from cresstray.policy.controller import PolicyController
from cresstray.policy.settings import parse_settings
from cresstray.policy.types import Attempt, EndpointState, Engine, Outcome, ProgressKind, Request
from cresstray.simulator import wire

_ENDINGS = {
    200: Outcome.SUCCEEDED,
    502: Outcome.FAILED,
    429: Outcome.OVERLOADED,
    408: Outcome.TIMED_OUT,
    521: Outcome.UNREACHABLE,
    520: Outcome.CONNECTION_LOST,
    444: Outcome.CANCELLED,
    409: Outcome.EXPIRED_BEFORE_SEND,
}
_STANDINGS = {0: EndpointState.REMOVED, 1: EndpointState.READY, 2: EndpointState.DRAINING}
_TOPICS = {1: ProgressKind.FRACTION_DONE, 2: ProgressKind.SPILLING, 3: ProgressKind.WAITING_FOR_DATA_SET}
_FAILED_LIST, _DELTA = 3, 0


def micros(milliseconds: float) -> int:
    """Whole microseconds of a wire time."""
    return round(milliseconds * 1000)


class Instance:
    """One gateway at the door: its ids, and the port that turns its answers into records."""

    def __init__(self, who: int, reply: wire.Reply, settings: dict, seed: int, now: int) -> None:
        self._who = who
        self._reply = reply
        self._calls: dict[int, Request] = {}
        self._call_ids: dict[Request, int] = {}
        self._engines: dict[int, Engine] = {}
        self._engine_ids: dict[Engine, int] = {}
        self._wakes: dict[int, Callable[[int], None]] = {}
        self._last_tag = 0
        self._report_names = settings.get("Report", {}).get("Names", [])
        self._gateway = PolicyController(self, parse_settings(settings), seed, now)

    # What the module asks for.

    def send_attempt(self, attempt: Attempt, patience: int) -> None:
        call = self._call_ids[attempt.request]
        self._reply.transmit(self._who, call, self._engine_ids[attempt.engine], patience / 1000)

    def cancel_attempt(self, attempt: Attempt) -> None:
        self._reply.drop_attempt(self._who, self._call_ids[attempt.request], attempt.number)

    def reject_request(self, request: Request, come_back: int) -> None:
        self._reply.not_now(self._who, self._call_ids[request], come_back / 1000)
        self._forget(request)

    def fail_request(self, request: Request) -> None:
        self._reply.fail(self._who, self._call_ids[request])
        self._forget(request)

    def assign_resources(self, request: Request, megabytes: float, priority: int) -> None:
        self._reply.allot(self._who, self._call_ids[request], megabytes, priority)

    def call_later(self, delay: int, call: Callable[[int], None]) -> None:
        self._last_tag += 1
        self._wakes[self._last_tag] = call
        self._reply.arm(self._who, delay / 1000, self._last_tag)

    def probe_engine(self, engine: Engine) -> None:
        self._reply.health_check(self._who, self._engine_ids[engine])

    def subscribe_to_endpoints(self) -> None:
        self._reply.stream_changes(self._who, True)

    def log_event(self, text: str) -> None:
        self._reply.remark(self._who, text)

    # What the wire brings.

    def work_item(self, now: int, fields: tuple) -> None:
        call, request_class, tenant, key, left, estimate, megabytes, data_set, flags = fields
        request = Request(
            self._gateway.request_classes[request_class],
            now,
            now + int(left * 1000),
            tenant,
            key,
            micros(estimate) if flags & 1 else 0,
            megabytes,
            int(data_set),
        )
        self._calls[call] = request
        self._call_ids[request] = call
        self._gateway.accept(request, now)

    def verdict(self, now: int, fields: tuple, tail: bytes) -> None:
        call, number, engine, code, duration, no_more, _, _ = fields
        request = self._calls.get(call)
        if request is None or number >= len(request.attempts):
            return
        attempt = request.attempts[number]
        self._gateway.on_attempt_finished(
            attempt,
            _ENDINGS.get(code, Outcome.FAILED),
            micros(duration),
            bool(no_more),
            self._report(tail),
            now,
        )
        self._forget(request)

    def progress(self, now: int, fields: tuple) -> None:
        call, value, _, number, topic = fields
        request = self._calls.get(call)
        if request is not None and number < len(request.attempts) and topic in _TOPICS:
            self._gateway.on_progress(request.attempts[number], _TOPICS[topic], value, now)

    def client_gone(self, now: int, fields: tuple) -> None:
        request = self._calls.get(fields[0])
        if request is not None:
            self._gateway.on_client_cancelled(request, now)
            self._forget(request)

    def members(self, now: int, how: int, listed: list[tuple]) -> None:
        if how == _FAILED_LIST:
            self._gateway.on_endpoint_list_failed(now)
            return
        known = []
        for number, cell, started, machine, _, zone, standing in listed:
            engine = self._engines.get(number)
            if engine is None:
                engine = self._engines[number] = Engine()
                self._engine_ids[engine] = number
            entry = (machine, zone, cell, micros(started), _STANDINGS.get(standing, EndpointState.REMOVED))
            known.append((engine, entry))
        self._gateway.on_endpoints_updated(known, how != _DELTA, now)

    def alarm(self, now: int, fields: tuple) -> None:
        call = self._wakes.pop(fields[0], None)
        if call is not None:
            call(now)

    def probed(self, now: int, fields: tuple, tail: bytes) -> None:
        engine = self._engines.get(fields[0])
        if engine is not None:
            self._gateway.on_probe_finished(
                engine, _ENDINGS.get(fields[1], Outcome.FAILED), self._report(tail), now
            )

    def _report(self, tail: bytes) -> dict[str, float]:
        return dict(zip(self._report_names, wire.load_values(tail))) if tail else {}

    def _forget(self, request: Request) -> None:
        # An ended submission stays known while a relay of it is out: its verdict is still to come.
        if request.is_finished and request.current_attempt is None and request in self._call_ids:
            del self._calls[self._call_ids.pop(request)]


class Host:
    """All instances of one process, and the numbered lists that their events refer to."""

    def __init__(self) -> None:
        self._reply = wire.Reply()
        self._instances: dict[int, Instance] = {}
        self._lists: dict[int, list[tuple]] = {}

    def answer(self, frame: bytes) -> bytes:
        """The reply to one batch."""
        now = micros(wire.clock(frame))
        who: int | None = None
        for code, fields, tail in wire.records(frame):
            if code == wire.ON:
                (who,) = fields
            elif code == wire.CATALOG:
                self._lists[fields[0]] = wire.entries(tail)
            elif who is None:
                raise wire.WireError(f"event {code} before any 'on'")
            elif code == wire.MEMBERS and fields[0] != _FAILED_LIST and fields[2] not in self._lists:
                raise wire.WireError(f"members refers to unknown list {fields[2]}")
            else:
                try:
                    self._deliver(who, now, code, fields, tail)
                except Exception as trouble:  # the wire wants to hear of it, whatever it was
                    self._reply.panic(who, f"{type(trouble).__name__}: {trouble}")
                    self._instances.pop(who, None)
        return self._reply.take()

    def _deliver(self, who: int, now: int, code: int, fields: tuple, tail: bytes) -> None:
        if code == wire.CREATE:
            settings = json.loads(tail)
            self._instances[who] = Instance(who, self._reply, settings, fields[0], now)
            return
        if code == wire.STOP:
            self._instances.pop(who, None)
            return
        instance = self._instances.get(who)
        if instance is None:
            return
        if code == wire.WORK_ITEM:
            instance.work_item(now, fields)
        elif code == wire.VERDICT:
            instance.verdict(now, fields, tail)
        elif code == wire.ALARM:
            instance.alarm(now, fields)
        elif code == wire.PROGRESS:
            instance.progress(now, fields)
        elif code == wire.MEMBERS:
            instance.members(now, fields[0], self._lists.get(fields[2], []))
        elif code == wire.CLIENT_GONE:
            instance.client_gone(now, fields)
        elif code == wire.PROBED:
            instance.probed(now, fields, tail)
        # OPENED and NEIGHBOUR_SAYS bear on nothing that is decided here.


def serve(source: BinaryIO, sink: BinaryIO) -> int:
    """Answers frames until the input ends; the exit code."""
    host = Host()
    while True:
        try:
            frame = wire.read_frame(source)
            if frame is None:
                return 0
            reply = host.answer(frame)
        except wire.WireError as trouble:
            print(f"cresstray: {trouble}", file=sys.stderr)
            return 2
        sink.write(reply)
        sink.flush()


if __name__ == "__main__":
    sys.exit(serve(sys.stdin.buffer, sys.stdout.buffer))
