"""One client on one connection, one engine on its connections, and all between but the policy.

The session, the connection state and pool, both codecs and the pipeline are the real ones. In place of the
policy stands one that may do whatever its port allows at any moment, so that nothing rests on what the policy
happens to choose. Bytes stay in the network until they are read, whole or up to a cut within a message; the
engine may answer twice, under a name that nobody gave, with noise, and close or reset its connection at any
moment. Worlds: `connection`; `exchange`, of one request with more faults; `ending`, where the gateway may be
shut down at any moment.
"""

from __future__ import annotations

import json
from base64 import b64encode
from collections.abc import Callable
from sys import intern
from typing import Any, NamedTuple

import hiredis

from cresstray.clients.connection_registry import ConnectionRegistry
from cresstray.clients.ports import NextAction
from cresstray.clients.session import ClientSession
from cresstray.engines.codec import EngineProtocolError
from cresstray.engines.connection_pool import ConnectionPool, DescriptorQuota
from cresstray.engines.connection_state import EngineConnection
from cresstray.engines.in_flight import InFlightRequests
from cresstray.model_checking.patching import Mutant, lines
from cresstray.model_checking.world import Bounds, Copied, NoLog, Uncounted, VirtualClock, VirtualTimers
from cresstray.pipeline.accounting import RequestAccounting
from cresstray.pipeline.admission import Admission
from cresstray.pipeline.dispatch import Dispatcher
from cresstray.pipeline.ingress import Ingress
from cresstray.pipeline.policy_port import PipelinePolicyPort
from cresstray.pipeline.response import ResponseHandler
from cresstray.pipeline.routing import Router
from cresstray.policy import deadlines
from cresstray.policy.controller import PolicyController
from cresstray.policy.types import (
    NOT_EXECUTED,
    Attempt,
    EndpointState,
    Engine,
    Outcome,
    Request,
    RequestClass,
)

START = 1_000_000_000_000
MILLI = 1_000
# As the service ends: so long requests still come, then all that is owed is waited for, then what is written.
_STILL_COMING, _AFTER_LIMIT, _WRITTEN = 800 * MILLI, 200 * MILLI, 500 * MILLI
_LATEST = 100 * MILLI  # before its hard stop the module has ended what it still holds
_SETTINGS = {
    "Limits": {"Cancel": True},
    "Services": [
        {"Name": "read", "Effect": "idempotent", "GiveUp": 750},
        {"Name": "post", "Effect": "at_most_once", "GiveUp": 750},
    ],
}


class ClientRequest(NamedTuple):
    name: str
    request_id: int
    class_name: str
    timeout_ms: int  # milliseconds


# One that may run again, and one that may not.
CLIENT_REQUESTS = ClientRequest("a", 1, "read", 600), ClientRequest("b", 2, "post", 1200)
_REQUEST_CLASSES = [
    RequestClass(place, 1, 100 * MILLI, 0.0, 1.0, 0.0, idempotent, False, "all", 0, False, None, None)
    for place, idempotent in enumerate((True, False))
]


class Names(set):
    """Written in an order that is not that of hashes."""

    def __reduce__(self) -> tuple:
        return Names, (sorted(self),)


class Classes(frozenset):
    """As `Names`; a plain set of two names with the same place is turned round by each copy."""

    def __reduce__(self) -> tuple:
        return Classes, (tuple(sorted(self)),)


class RequestRecord:
    """What the world knows of one request by what went over its seams."""

    __slots__ = (
        "request",
        "deadline_us",
        "is_accepted",
        "is_cancelled",
        "response",
        "run_count",
        "is_running",
        "may_have_run",
        "is_called_back",
        "is_late",
    )

    def __init__(self, request: ClientRequest) -> None:
        self.request = request
        self.deadline_us = 0
        self.is_accepted = self.is_cancelled = False  # by the gateway
        self.response = ""  # the final answer
        self.run_count = 0  # sent so often
        self.is_late = False  # it came when all is denied
        self.is_running = False  # the engine has it, and neither answered nor was told to quit
        self.may_have_run = self.is_called_back = False  # called: back, once


class ScriptedController:
    """In the module's place: it relays, calls back and ends what it holds when the world says so."""

    admission_rules = None
    may_still_send = PolicyController.may_still_send

    def __init__(self, world: ConnectionWorld) -> None:
        self._world, self.port = world, None
        self.queue: list[Request] = []
        self.in_flight: list[Attempt] = []
        self.engine = Engine(state=EndpointState.READY)

    def accept(self, request: Request, now: int) -> None:
        self.queue.append(request)
        self.end_overdue(now)

    def on_client_cancelled(self, request: Request, now: int) -> None:
        request.is_finished = True
        if request in self.queue:
            self.queue.remove(request)
        if request.current_attempt is not None:
            self.port.cancel_attempt(request.current_attempt)

    def on_attempt_sent(self, attempt: Attempt, now: int) -> None:
        """No budget binds here."""

    def on_attempt_finished(
        self, attempt: Attempt, ending: Outcome, latency: int, no_more: bool, report: dict, now: int
    ) -> None:
        if attempt.outcome is not None:
            return
        request = attempt.request
        attempt.outcome, request.current_attempt = ending, None
        self.in_flight.remove(attempt)
        if no_more or request.is_finished:
            request.is_finished = True
        else:
            self.queue.append(request)
            self.end_overdue(now)

    def may_run(self, request: Request) -> bool:
        return request.request_class.is_idempotent or all(
            attempt.outcome in NOT_EXECUTED for attempt in request.attempts
        )

    def dispatch(self, request: Request, now: int) -> None:
        self.queue.remove(request)
        attempt = request.current_attempt = Attempt(request, self.engine, len(request.attempts), now)
        request.attempts.append(attempt)
        self.in_flight.append(attempt)
        self.port.send_attempt(attempt, max(MILLI, request.deadline_us - now - _LATEST))

    def reject_or_fail(self, request: Request) -> None:
        self.queue.remove(request)
        request.is_finished = True
        if self.may_run(request):
            self.port.reject_request(request, 0)
        else:
            self.port.fail_request(request)

    def next_deadline_us(self) -> int | None:
        return min((one.deadline_us - _LATEST for one in self.queue), default=None)

    def end_overdue(self, now: int) -> None:
        """What is held can no longer be answered but with its end."""
        for request in list(self.queue):
            if now >= request.deadline_us - _LATEST:
                self.reject_or_fail(request)


class ClientTransport:
    """The client's connection, as its socket would be."""

    def __init__(self, world: ConnectionWorld) -> None:
        self._world = world
        self.unsent = bytearray()
        self.unread = b""  # of the client, in the network
        self.is_stalled = self.shutdown_write = self.is_reset = (
            False  # the client reads nothing; has shut; has reset
        )
        self.is_ending = self.is_closed = self._finishing = (
            False  # ended: asked to end, all written, or broken
        )
        self.is_draining = False  # we have shut our side

    def write(self, message: bytes) -> bool:
        if self.is_reset or self.is_closed:
            self.is_ending = True
            return False
        if self.is_stalled:
            self.unsent += message
        self._world.on_response(message)
        return True

    def flushed(self) -> None:
        self.unsent.clear()
        if self._finishing:
            self.write_eof_when_drained()

    def write_eof_when_drained(self) -> None:
        self._finishing = bool(self.unsent)
        self.is_ending = self.is_ending or not self.unsent

    def close(self) -> None:
        self.is_closed = True

    def has_unread(self) -> bool:
        return bool(self.unread)

    def has_ended(self) -> bool:
        return self.is_reset or self.is_closed or self.shutdown_write and not self.unread


class ScriptedConnection(EngineConnection):
    """One link, with the engine at its other end. `has`: what it runs there; `told`: in the network."""

    unsent = bytearray()  # empty: the engine reads at once

    def __init__(self, pool: ConnectionPool, name: str) -> None:
        super().__init__(pool)
        self.name = name
        self.in_flight.abandoned = Names()
        self.is_aborted = self.is_reset = self.shutdown_write = False
        self.running: list[str] = []
        self.in_transit: list[bytes] = []
        self.last_answer = ""  # what it answered last, for a second copy

    def abort(self) -> None:
        self.is_aborted = True

    def write(self, message: bytes) -> bool:
        if self.is_reset or self.is_aborted:
            self.is_aborted = True
            return False
        self.pool.world.on_command(self, message)
        return True

    def has_ended(self) -> bool:
        return self.is_reset or self.shutdown_write and not self.in_transit


class ScriptedPool(ConnectionPool):
    def __init__(self, world: ConnectionWorld) -> None:
        super().__init__(
            ("e", 1), _SETTINGS, DescriptorQuota(1, 3), world.timers, world.clock.now, world.counters
        )
        self.world = world
        self._is_sweep_scheduled = True  # what is idle for ten seconds is beyond this world

    def connect(self) -> ScriptedConnection:
        taken = {link.name for link in self.connections}
        return ScriptedConnection(
            self, next(name for name in ("l1", "l2", "l3", "l4", "l5") if name not in taken)
        )

    def on_fault(self, trouble: Exception) -> None:
        raise trouble


def _most() -> int:
    return 4


class ConnectionWorld(Copied):
    """`ends`: whether the gateway may begin to end; the others hold unless the bounds say so."""

    def __init__(self, bounds: Bounds, requests: int, faults: int, leaves: int, ends: bool) -> None:
        self.clock = clock = VirtualClock(START)
        self.timers = timers = VirtualTimers(clock)
        self.counters = counters = Uncounted()
        self.accounting = RequestAccounting(counters)
        self.response_handler = ResponseHandler(clock, counters, self.accounting)
        self.dispatcher = send = Dispatcher(clock, timers, counters, self.response_handler)
        self.router = Router(None, send)
        self.controller = module = ScriptedController(self)
        module.port = PipelinePolicyPort(self.router, send, self.accounting, timers, counters, NoLog())
        self.response_handler.controller = module
        admit = Admission(self.accounting)
        admit.controller = module
        self.ingress = Ingress(_SETTINGS, _REQUEST_CLASSES, clock, admit)
        self.pool = self.router._pools[module.engine] = ScriptedPool(self)
        self.registry = ConnectionRegistry(
            Classes(("read", "post")), self.ingress, _most, 4, clock.now, counters, NoLog().log
        )
        self.transport = ClientTransport(self)
        self.session: ClientSession | None = ClientSession(self.registry, self.transport)
        self.registry.connections[self.session] = None
        self.next_action = NextAction.READ
        self.records = [
            RequestRecord(request) for request in CLIENT_REQUESTS[: bounds.submissions or requests]
        ]
        self.cuts = 1
        self.faults = faults if bounds.faults is None else bounds.faults
        self.leaves = leaves if bounds.leaves is None else bounds.leaves
        self.may_shut_down = ends
        self.shutdown_phase, self.phase_ends_us = (
            "",
            0,
        )  # "coming", "owed", "written", "over"; the next step's time
        self.broken: list[str] = []

    def breaks(self, name: str, seen: str) -> None:
        self.broken.append(f"{name}: {seen}")

    # What goes over the seams.

    def on_response(self, message: bytes) -> None:
        told = json.loads(message)
        record = next((one for one in self.records if one.request.request_id == told["id"]), None)
        if record is None or not record.is_accepted:
            self.breaks("one_answer", f"the client is answered what it did not ask, {told}")
            return
        name, how = record.request.name, "fulfilled" if "result" in told else told["error"]["message"]
        if record.response:
            self.breaks("one_answer", f"{name} is answered {how} after {record.response}")
        if record.is_cancelled:
            self.breaks("one_answer", f"{name} is answered {how} after it was withdrawn")
        if self.clock.at > record.deadline_us > 1:
            late = (self.clock.at - record.deadline_us) // MILLI
            self.breaks("by_hard_stop", f"{name} is answered {late} ms late")
        if "result" in told and told["result"]["data"] != b64encode(_row(name)).decode():
            self.breaks("own_name", f"{name} is answered with {told['result']['data']}")
        if how == "refused" and record.may_have_run and record.request.class_name == "post":
            self.breaks("unrepeatable", f"{name} may have run and is denied")
        record.response = how

    def on_command(self, link: ScriptedConnection, message: bytes) -> None:
        reader = hiredis.Reader()
        reader.feed(message)
        while (command := reader.gets()) is not False:
            word, name = command[0], chr(command[1][0])
            record = next(one for one in self.records if one.request.name == name)
            if word in (b"QUIT", b"FREE"):
                if name in link.running:
                    link.running.remove(name)
                    record.is_running = False
            elif word == b"ASK":
                self._runs(link, record)
            elif record.response or record.is_cancelled:
                self.breaks("nothing_after", f"{name} gets {word.decode()} after its end")

    def _runs(self, link: ScriptedConnection, record: RequestRecord) -> None:
        name = record.request.name
        if record.response or record.is_cancelled:
            self.breaks("nothing_after", f"{name} is sent on {link.name} after its end")
        if record.is_late:
            self.breaks("nothing_after", f"{name} is sent on {link.name} and came after the end")
        if record.is_running:
            self.breaks("one_outstanding", f"{name} is sent on {link.name} while it is out")
        if record.may_have_run and record.request.class_name == "post":
            self.breaks("unrepeatable", f"{name} may have run and is sent again")
        record.is_running = record.may_have_run = True
        record.run_count += 1
        link.running.append(name)

    # Choices.

    def choices(self) -> list[str]:
        over = (
            self.session is None
            or not self.transport.unsent
            and all(one.response or one.is_cancelled for one in self.records)
        )
        if self.shutdown_phase == "over" or over and self.quiet() and not self.controller.queue:
            return []
        found: list[str] = []
        soon = False  # whether something comes before time passes
        found += self._client_choices()
        for request in self.controller.queue:
            name = self._name(request)
            if len(request.attempts) < 3 and self.controller.may_run(request):
                found.append(f"gateway relays {name}")
            found.append(f"gateway ends {name}")
        for attempt in self.controller.in_flight:
            record = self._account(self._name(attempt.request))
            if (
                attempt.request.request_class.is_idempotent
                and not record.is_called_back
                and not attempt.request.is_finished
            ):
                found.append(f"gateway calls back {record.request.name}")
        for link in self.pool.connections:
            more, pending = self._link_choices(link)
            found += more
            soon = soon or pending
        if self.session is not None and (
            self.transport.is_ending or self.transport.is_closed or self.next_action is NextAction.CLOSE
        ):
            found.append("connection ends")
            soon = True
        if self.may_shut_down and not self.shutdown_phase and not over:
            found.append("gateway begins to end")
        elif self.shutdown_phase and self._may_step():
            found.append("gateway goes on ending")
            soon = True
        if not soon:
            if self._is_due():
                found.append("due")
            elif self._next() is not None:
                found.append("clock")
        return found

    def _client_choices(self) -> list[str]:
        transport, found = self.transport, []
        if self.session is None:
            return found
        if not (transport.shutdown_write or transport.is_reset):
            asking = [one.request.name for one in self.records if not one.deadline_us]
            found += [f"client asks {name}" for name in asking]
            if len(asking) > 1:
                found.append("client asks both")
            if self.cuts and self._reads():
                found += [f"client asks {name} in part" for name in asking]
            if self.leaves:
                found += [
                    f"client withdraws {one.request.name}"
                    for one in self.records
                    if one.deadline_us and not one.response and not one.is_cancelled
                ]
                found += ["client shuts", "client resets"]
                if not transport.is_stalled:
                    found.append("client stalls")
        if transport.is_stalled and not transport.is_reset:
            found.append("client reads")
        if self._reads():
            if transport.unread:
                found.append("gateway reads")
            elif transport.shutdown_write or transport.is_reset:
                found.append("gateway reads the end")
        return found

    def _reads(self) -> bool:
        """Whether the gateway reads from the client."""
        return (
            not (self.transport.is_ending or self.transport.is_closed) and self.next_action is NextAction.READ
        )

    def _link_choices(self, link: ScriptedConnection) -> tuple[list[str], bool]:
        found, name = [], link.name
        if link.is_aborted:
            # What has come may still be read before the end is seen.
            if link.in_transit and link.transport is not None:
                found.append(f"{name} is read")
            return [*found, f"{name} is gone"], True
        if link.transport is None:
            found.append(f"{name} is up")
            if self.faults:
                found.append(f"{name} is not reached")
            return found, False
        if not (link.is_reset or link.shutdown_write):
            for one in link.running:
                found.append(f"{name} serves {one}")
                if self.faults:
                    found += [f"{name} {how} {one}" for how in ("refuses", "spoils", "mixes up")]
            if self.faults:
                if link.last_answer:
                    found.append(f"{name} repeats {link.last_answer}")
                found += [f"{name} resets", f"{name} shuts"]
        if link.in_transit:
            found.append(f"{name} is read")
            if self.cuts and not link.has_partial_answer():
                found.append(f"{name} is read in part")
        elif link.is_reset or link.shutdown_write:
            found.append(f"{name} is gone")
        return found, False

    def _may_step(self) -> bool:
        if self.shutdown_phase == "owed":
            return not self.accounting.unanswered_count()
        return (
            self.clock.at >= self.phase_ends_us or self.shutdown_phase == "written" and self.session is None
        )

    def _is_due(self) -> bool:
        return bool(self.timers.line) and self.timers.line[0].due_us <= self.clock.at

    def _next(self) -> int | None:
        """When anything is due by itself."""
        at = [due.due_us for due in self.timers.line[:1]]
        if self.controller.queue:
            at.append(self.controller.next_deadline_us())
        at += [
            link.answer_deadline_us
            for link in self.pool.connections
            if link.has_partial_answer() and not link.in_transit
        ]
        if self.shutdown_phase in ("coming", "written"):
            at.append(self.phase_ends_us)
        if (
            self.session is not None
            and self.session in self.registry.connections
            and not self.session.open_requests
        ):
            limit = -self.session.idle_overdue_us(self.clock.at)
            at.append(self.clock.at + (limit if limit > 0 else limit + 1_000_000))
        return max(self.clock.at, min(at)) if at else None

    # Steps.

    def do(self, choice: str) -> None:
        """One step. What leaves the code as an exception is a breach as well."""
        try:
            self._do(*choice.split(" ", 2))
        except Exception as trouble:
            self.breaks("sound", f"{type(trouble).__name__} {trouble}".rstrip())
        self._mind_left()
        self._tidy()
        if not self.broken:
            self._mind_time()
            if self.quiet():
                self._mind_rest()

    def _do(self, who: str, verb: str = "", what: str = "") -> None:
        if who == "clock":
            self.clock.at = self._next()
            for link in list(self.pool.connections):
                if (
                    link.has_partial_answer()
                    and not link.in_transit
                    and self.clock.at >= link.answer_deadline_us
                ):
                    self._read(link, None)
            self.controller.end_overdue(self.clock.at)
            if self.session is not None and self.session.idle_overdue_us(self.clock.at) >= 0:
                self.registry.close_idle()
        elif who == "due":
            self.timers.run_due()
        elif who == "client":
            self._client(verb, what)
        elif who == "connection":
            self._ends_in_order()
        elif who == "gateway":
            self._gateway(verb, what)
        else:
            self._engine(next(one for one in self.pool.connections if one.name == who), verb, what)

    def _client(self, verb: str, what: str) -> None:
        transport = self.transport
        if verb == "asks":
            for record in self.records if what == "both" else [self._account(what[0])]:
                request = record.request
                record.deadline_us = 1  # until it is read
                transport.unread += _line(
                    request.class_name,
                    request.request_id,
                    {
                        "req": request.name * 16,
                        "timeout": request.timeout_ms,
                        "data": b64encode(b"select 1").decode(),
                    },
                )
            if self._reads():
                # What lies in the network longer is no other case: the gateway's time runs from its reading.
                self._gateway_reads("in part" if what.endswith("in part") else "")
        elif verb == "withdraws":
            self.leaves -= 1
            transport.unread += _line("withdraw", None, {"id": self._account(what).request.request_id})
            if self._reads():
                self._gateway_reads("")
        elif verb == "reads":
            transport.is_stalled = False
            transport.flushed()
        else:
            self.leaves -= 1
            if verb == "stalls":
                transport.is_stalled = True
            elif verb == "shuts":
                transport.shutdown_write = True
            else:
                transport.is_reset, transport.unread = True, b""

    def _gateway(self, verb: str, what: str) -> None:
        if verb == "reads":
            self._gateway_reads(what)
        elif verb == "relays":
            self.controller.dispatch(self._held(what), self.clock.at)
        elif verb == "ends":
            self.controller.reject_or_fail(self._held(what))
        elif verb == "calls":
            name = what.removeprefix("back ")
            self._account(name).is_called_back = True
            attempt = next(one for one in self.controller.in_flight if self._name(one.request) == name)
            self.controller.port.cancel_attempt(attempt)
        else:
            self._end()

    def _gateway_reads(self, what: str) -> None:
        transport = self.transport
        if what == "the end":
            self._connection_ends()
            return
        data = transport.unread
        if what == "in part":
            self.cuts -= 1
            # Within the last line: what is before it comes with half of it.
            data = data[: (data.rfind(b"\n", 0, -1) + 1 + len(data)) // 2]
        transport.unread = transport.unread[len(data) :]
        for record in self.records:
            # A request's time runs from when the gateway has all of it; a withdrawal counts from there on.
            if record.deadline_us and not record.is_accepted:
                record.deadline_us = self.clock.at + record.request.timeout_ms * MILLI
                if self.shutdown_phase in ("coming", "owed"):
                    record.deadline_us = min(record.deadline_us, self.ingress.shutdown_deadline_us)
        left = self._mark_taken(data)
        ended = transport.shutdown_write and not transport.unread
        self.next_action = self.session.receive(data, ended)
        for record in left:
            record.is_cancelled = not record.response
        if ended:
            self._connection_ends()

    def _mark_taken(self, data: bytes) -> list[RequestRecord]:
        """Which requests are whole with this piece; returns those that are withdrawn by it."""
        left, whole = [], bytes(self.session._buffer.data) + data
        for line in whole[: whole.rfind(b"\n") + 1].splitlines():
            told = json.loads(line)
            number = told.get("id") or told["params"]["id"]
            record = next(one for one in self.records if one.request.request_id == number)
            if "id" in told:
                record.is_accepted, record.is_late = True, self.registry.is_closing
            else:
                left.append(record)
        return left

    def _ends_in_order(self) -> None:
        """What has come is read and our side shut; what comes then is thrown away in a step after that."""
        transport, came = self.transport, bool(self.transport.unread)
        if came and not transport.is_draining:
            self._gateway_reads("")
        if self.session is None:
            return
        if (
            transport.is_draining
            or transport.is_reset
            or transport.shutdown_write
            or self.next_action is NextAction.CLOSE
        ):
            self.session.receive(transport.unread)
            self._connection_ends()
        elif self.session.can_shut_down(came):
            transport.is_draining = True
        else:
            transport.is_ending = transport._finishing = False
            self.session.resume()

    def _connection_ends(self) -> None:
        transport = self.transport
        if transport.is_draining and self.session.open_requests:
            self.breaks("one_answer", "a request is taken after our side was shut")
        left = transport.is_reset or transport.shutdown_write or transport.is_stalled
        for record in self.records:
            if record.is_accepted and not record.response and not record.is_cancelled:
                if not left:
                    self.breaks("one_answer", f"the connection ends and {record.request.name} gets no answer")
                record.is_cancelled = True
        session, self.session = self.session, None
        transport.is_closed, transport.unread = True, b""
        transport.unsent.clear()
        session.on_disconnected()

    def _engine(self, link: ScriptedConnection, verb: str, what: str) -> None:
        if verb == "is":
            self._link(link, what)
            return
        if verb != "serves":
            self.faults -= 1
        if verb == "resets":
            link.is_reset, link.in_transit = True, []
            self._lost(link)
        elif verb == "shuts":
            link.shutdown_write = True
            self._lost(link)
        elif verb == "repeats":
            link.in_transit.append(_answer(link.last_answer[-1], link.last_answer.split(" ")[0]))
        else:
            how, _, name = f"{verb} {what}".rpartition(" ")
            record = self._account(name)
            if how != "mixes up":
                link.running.remove(name)
                record.is_running = False
            if how == "refuses":
                record.may_have_run = False
            link.in_transit.append(_answer(name, how))
            if how in ("serves", "refuses"):
                link.last_answer = f"{how} {name}"

    def _link(self, link: ScriptedConnection, what: str) -> None:
        if what == "up":
            link.on_connected(link)
        elif what == "not reached":
            self.faults -= 1
            link.on_closed()
        elif what == "gone":
            if link.is_aborted or self._read(link, b""):
                self._lost(link)
                link.on_closed()
        else:
            data = link.in_transit.pop(0) if what == "read in part" else b"".join(link.in_transit)
            if what == "read in part":
                self.cuts -= 1
                link.in_transit.insert(0, data[len(data) // 2 :])
                data = data[: len(data) // 2]
            else:
                link.in_transit = []
            self._read(link, data)

    def _lost(self, link: ScriptedConnection) -> None:
        """What an engine had is ended with its link; it may have run."""
        for name in link.running:
            self._account(name).is_running = False
        link.running = []

    def _read(self, link: ScriptedConnection, data: bytes | None) -> bool:
        """As the reader of a link does: what came, b"" for its end, None for the time being over.

        False where the link has been dropped for it.
        """
        try:
            if data is None:
                link.on_stalled()
            elif data:
                link.on_received(data)
            else:
                link.on_end_of_stream()
        except EngineProtocolError:
            link.is_corrupt = True
            self._lost(link)
            link.on_closed()
            return False
        return True

    def _end(self) -> None:
        """The next step of the service's end."""
        now = self.clock.at
        if not self.shutdown_phase:
            self.shutdown_phase, self.phase_ends_us = "coming", now + _STILL_COMING
            left = 750 * MILLI + _AFTER_LIMIT
            self.ingress.shutdown_deadline_us = now + left
            for record in self.records:
                record.deadline_us = min(record.deadline_us, now + left)
            self.accounting.limit_deadlines(now + left)
            self.timers.call_after(left, self.dispatcher.abandon_all)
        elif self.shutdown_phase == "coming":
            self.shutdown_phase = "owed"
        elif self.shutdown_phase == "owed":
            self.shutdown_phase, self.phase_ends_us = "written", now + _WRITTEN
            self.registry.is_closing = True
            for connection in list(self.registry.connections):
                connection.close()
        else:
            self.shutdown_phase = "over"
            if self.session is not None:
                self._connection_ends()

    # States.

    def _name(self, request: Request) -> str:
        context = self.accounting.open_requests.get(request)
        return context.query.name[0] if context is not None else "?"

    def _held(self, name: str) -> Request:
        return next(one for one in self.controller.queue if self._name(one) == name)

    def _account(self, name: str) -> RequestRecord:
        return next(one for one in self.records if one.request.name == name)

    def _mind_left(self) -> None:
        """Of a client that has gone the gateway may know before it reads that far; nothing is owed then."""
        if self.session is not None and (self.transport.shutdown_write or self.transport.is_reset):
            for record in self.records:
                if (
                    record.is_accepted
                    and not record.response
                    and record.request.request_id not in self.session.open_requests
                ):
                    record.is_cancelled = True

    def _mind_time(self) -> None:
        for record in self.records:
            if (
                record.is_accepted
                and not record.response
                and not record.is_cancelled
                and self.session is not None
                and self.clock.at > record.deadline_us
            ):
                self.breaks("by_hard_stop", f"{record.request.name} is not answered by its hard stop")

    def quiet(self) -> bool:
        return (
            all(one.response or one.is_cancelled or not one.is_accepted for one in self.records)
            and not any(link.in_transit or link.is_aborted for link in self.pool.connections)
            and not self.response_handler.in_flight
            and not self._is_due()
        )

    def _mind_rest(self) -> None:
        links = self.pool.connections
        kept = {
            "open": self.accounting.open_requests,
            "pages told": self.response_handler._reports,
            "held": self.controller.queue,
            "out": self.controller.in_flight,
            "on links": [one for link in links for one in link.in_flight.open],
            "idle and no link": [link for link in self.pool.quota.idle if link not in links],
            "owed": self.session.open_requests if self.session is not None else (),
            "half lines": self.registry.buffered_bytes and self.session is None and "some" or "",
        }
        for name, what in kept.items():
            if what:
                self.breaks("nothing_kept", f"{len(what)} {name}")
        if self.pool.quota.used != len(links):
            self.breaks("nothing_kept", f"{self.pool.quota.used} links counted, {len(links)} there")
        idle = [
            link
            for link in links
            if not link.in_flight.open and not link.in_flight.is_closed and link not in self.pool.quota.idle
        ]
        if idle:
            self.breaks("nothing_kept", f"{idle[0].name} is idle and not known to be")

    def _tidy(self) -> None:
        """What is remembered and no longer has a future is dropped, so that states are the same that are."""
        self.ingress.names.clear()
        self.accounting._memory.peak_bytes = 0
        self.registry.memory.peak_bytes = 0
        if self.session is not None:
            _tidy_session(self.session)
        for context in self.accounting.open_requests.values():
            # How decoders share what they read is no part of a state.
            query = context.query
            query.class_name, query.tenant, query.idempotency_key = map(
                intern, (query.class_name, query.tenant, query.idempotency_key)
            )
        for record in self.records:
            if (record.response or record.is_cancelled) and not record.is_running:
                record.response = intern(record.response)
                record.run_count, record.is_called_back, record.may_have_run, record.deadline_us = (
                    0,
                    False,
                    False,
                    1,
                )
                record.is_late = False
        for link in self.pool.connections:
            # Of how often it was heard, only what is the same is asked.
            life = link.in_flight
            ranks = sorted({life.received_count, *(one.received_before for one in life.open.values())})
            for one in life.open.values():
                one.received_before = ranks.index(one.received_before)
            life.received_count = ranks.index(life.received_count)

    def __setstate__(self, state: dict[str, Any]) -> None:
        super().__setstate__(state)
        self.shutdown_phase = intern(self.shutdown_phase)
        for record in self.records:
            record.request = ClientRequest(
                *(intern(one) if type(one) is str else one for one in record.request)
            )
            record.response = intern(record.response)
        for link in self.pool.connections:
            link.name, link.last_answer, link.running = (
                intern(link.name),
                intern(link.last_answer),
                list(map(intern, link.running)),
            )
        self._tidy()

    def moment(self) -> float:
        """Milliseconds since the start, for traces."""
        return (self.clock.at - START) / MILLI


def _tidy_session(session: ClientSession) -> None:
    """Drops what a session counts for limits of memory and time that no schedule reaches."""
    session.count_unsent()
    session.received_bytes = 0
    session.fruitless_part = 1.0
    session._accepted_ids = []
    session._rejected_at_end_count = 0
    session._accepted_us = session._last_read_us = 0
    session._request_bytes = {}


def _row(name: str) -> bytes:
    return f"{name}\t\t\n".encode()


def _line(method: str, number: int | None, params: dict[str, Any]) -> bytes:
    told = {"jsonrpc": "2.0", "method": method, "params": params} | ({} if number is None else {"id": number})
    return json.dumps(told).encode() + b"\n"


def _answer(name: str, how: str) -> bytes:
    parts = {
        "serves": (name * 16, "served", "sheets=1", _row(name)),
        "refuses": (name * 16, "overload", "-", ""),
        "spoils": (name * 16, "served", "sheets=1", b"\x00noise"),
        "mixes up": ("f" * 16, "served", "-", _row("f")),
    }[how]
    return hiredis.pack_command(parts)


CONFIGURATIONS: dict[str, Callable[[Bounds], ConnectionWorld]] = {
    "connection": lambda bounds: ConnectionWorld(bounds, 2, 1, 1, False),
    "exchange": lambda bounds: ConnectionWorld(bounds, 1, 3, 0, False),
    "ending": lambda bounds: ConnectionWorld(bounds, 2, 0, 1, True),
}

MUTANTS: tuple[Mutant, ...] = (
    Mutant(
        "answer_that_crosses_its_quit",
        "one_outstanding",
        "exchange",
        lines((InFlightRequests.has_room_for, "or name in self.abandoned", "")),
    ),
    Mutant(
        "second_copy_of_a_refusal",
        "one_outstanding",
        "exchange",
        lines((InFlightRequests.has_room_for, " or name in self.rejected", "")),
    ),
    Mutant(
        "taken_in_after_the_close",
        "nothing_after",
        "ending",
        lines(
            (
                ClientSession._must_reject,
                "self._is_closing or self.is_disconnected or self._registry.is_closing",
                "False",
            )
        ),
    ),
    Mutant(
        "taken_in_after_the_shut",
        "one_answer",
        "ending",
        lines(
            (ClientSession.buffer, "if self._is_shut_down:", "if False:"),
            (ClientSession.handle_buffered, "if self._is_shut_down:", "if False:"),
        ),
    ),
    Mutant(
        "shut_over_a_request",
        "one_answer",
        "connection",
        lines((ClientSession.can_shut_down, "if is_busy or is_active_again:", "if False:")),
    ),
    Mutant(
        "reset_counted_as_never_run",
        "unrepeatable",
        "connection",
        lines(
            (
                InFlightRequests._disposition_of,
                "return Disposition.CONNECTION_LOST",
                "return Disposition.CONNECTION_LOST"
                " if self.received_count > request.received_before else Disposition.UNREACHABLE",
            )
        ),
    ),
    Mutant(
        "spoilt_counted_as_refused",
        "unrepeatable",
        "connection",
        lines(
            (
                ResponseHandler.on_connection_lost,
                "Outcome.PROTOCOL_ERROR if is_corrupt else Outcome.CONNECTION_LOST",
                "Outcome.OVERLOADED if is_corrupt else Outcome.CONNECTION_LOST",
            )
        ),
    ),
    Mutant(
        "the_last_stop_is_not_told",
        "by_hard_stop",
        "ending",
        lines((deadlines.limit_deadline, "min(request.deadline_us, shutdown_us)", "request.deadline_us")),
    ),
    Mutant(
        "who_has_left_is_not_told",
        "nothing_kept",
        "connection",
        lines((ClientSession.on_disconnected, "self._registry.handler.on_disconnected(self)", "pass")),
    ),
    Mutant(
        "half_lines_are_counted_on",
        "nothing_kept",
        "connection",
        lines((ClientSession.on_disconnected, "self._clear_buffer()", "pass")),
    ),
    Mutant(
        "idle_and_forgotten",
        "nothing_kept",
        "connection",
        lines((EngineConnection._update_idle, "self.pool.quota.idle[self] = None", "pass")),
    ),
    Mutant(
        "quit_that_is_not_sent",
        "one_outstanding",
        "exchange",
        lines((EngineConnection.abandon, "elif message is not None:", "elif False:")),
    ),
    Mutant(
        "late_write_that_asks_nobody",
        "nothing_after",
        "connection",
        lines((EngineConnection._write_late, "if not self._may_send(request):", "if False:")),
    ),
)
