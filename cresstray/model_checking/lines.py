"""One client on one connection, one engine on its links, and all between but the module.

talk.py, pool.py, exchanges.py, both codecs and the stages are the real ones. In the module's place stands
one that may do whatever its port allows at any moment, so that nothing rests on what the module happens to
choose. Bytes lie in the network until they are read, whole or up to a cut within a message; the engine may
answer twice, under a name that nobody gave, with noise, and close or reset its link at any moment. Worlds:
`connection`; `exchange`, of one request with more faults; `ending`, where the gateway is told to end at any
moment.
"""

from __future__ import annotations

import json
from base64 import b64encode
from collections.abc import Callable
from sys import intern
from typing import Any, NamedTuple

import hiredis

from cresstray.clients.session import ClientSession, ConnectionRegistry, NextAction
from cresstray.engines.codec import BrokenError
from cresstray.engines.connection_pool import ConnectionPool, DescriptorQuota, EngineConnection
from cresstray.engines.in_flight import InFlightRequests
from cresstray.model_checking.patching import Mutant, lines
from cresstray.model_checking.world import Bounds, Copied, NoLog, Uncounted, VirtualClock, VirtualTimers
from cresstray.pipeline.accounting import RequestAccounting
from cresstray.pipeline.admission import Admission
from cresstray.pipeline.dispatch import Dispatcher
from cresstray.pipeline.ingress import Ingress
from cresstray.pipeline.policy_port import SocketPort
from cresstray.pipeline.response import ResponseHandler
from cresstray.pipeline.routing import Router
from cresstray.policy import deadlines
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


class Asked(NamedTuple):
    name: str
    number: int
    tariff: str
    patience: int  # milliseconds


# One that may run again, and one that may not.
ASKED = Asked("a", 1, "read", 600), Asked("b", 2, "post", 1200)
_TARIFFS = [
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


class Account:
    """What the world knows of one request by what went over its seams."""

    __slots__ = (
        "asked",
        "stop",
        "taken",
        "withdrawn",
        "heard",
        "runs",
        "out",
        "may_have_run",
        "called",
        "late",
    )

    def __init__(self, asked: Asked) -> None:
        self.asked = asked
        self.stop = 0
        self.taken = self.withdrawn = False  # by the gateway
        self.heard = ""  # the final answer
        self.runs = 0  # sent so often
        self.late = False  # it came when all is denied
        self.out = False  # the engine has it, and neither answered nor was told to quit
        self.may_have_run = self.called = False  # called: back, once


class Module:
    """In the module's place: it relays, calls back and ends what it holds when the world says so."""

    def __init__(self, world: Lines) -> None:
        self._world, self.port = world, None
        self.queue: list[Request] = []
        self.out: list[Attempt] = []
        self.engine = Engine(state=EndpointState.READY)

    def accept(self, request: Request, now: int) -> None:
        self.queue.append(request)
        self.tidy(now)

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
        self.out.remove(attempt)
        if no_more or request.is_finished:
            request.is_finished = True
        else:
            self.queue.append(request)
            self.tidy(now)

    def may_run(self, request: Request) -> bool:
        return request.request_class.is_idempotent or all(
            attempt.outcome in NOT_EXECUTED for attempt in request.attempts
        )

    def relay(self, request: Request, now: int) -> None:
        self.queue.remove(request)
        attempt = request.current_attempt = Attempt(request, self.engine, len(request.attempts), now)
        request.attempts.append(attempt)
        self.out.append(attempt)
        self.port.send_attempt(attempt, max(MILLI, request.deadline_us - now - _LATEST))

    def end(self, request: Request) -> None:
        self.queue.remove(request)
        request.is_finished = True
        if self.may_run(request):
            self.port.reject_request(request, 0)
        else:
            self.port.fail_request(request)

    def due(self) -> int | None:
        return min((one.deadline_us - _LATEST for one in self.queue), default=None)

    def tidy(self, now: int) -> None:
        """What is held can no longer be answered but with its end."""
        for request in list(self.queue):
            if now >= request.deadline_us - _LATEST:
                self.end(request)


class ClientWire:
    """The client's connection, as its socket would be."""

    def __init__(self, world: Lines) -> None:
        self._world = world
        self.unsent = bytearray()
        self.unread = b""  # of the client, in the network
        self.stalls = self.shutdown_write = self.dead = False  # the client reads nothing; has shut; has reset
        self.ended = self.closed = self._finishing = False  # ended: asked to end, all written, or broken
        self.drains = False  # we have shut our side

    def write(self, message: bytes) -> bool:
        if self.dead or self.closed:
            self.ended = True
            return False
        if self.stalls:
            self.unsent += message
        self._world.client_hears(message)
        return True

    def flushed(self) -> None:
        self.unsent.clear()
        if self._finishing:
            self.write_eof_when_drained()

    def write_eof_when_drained(self) -> None:
        self._finishing = bool(self.unsent)
        self.ended = self.ended or not self.unsent

    def close(self) -> None:
        self.closed = True

    def has_more(self) -> bool:
        return bool(self.unread)

    def has_ended(self) -> bool:
        return self.dead or self.closed or self.shutdown_write and not self.unread


class EngineLink(EngineConnection):
    """One link, with the engine at its other end. `has`: what it runs there; `told`: in the network."""

    unsent = bytearray()  # empty: the engine reads at once

    def __init__(self, pool: ConnectionPool, name: str) -> None:
        super().__init__(pool)
        self.name = name
        self.in_flight.abandoned = Names()
        self.hung_up = self.dead = self.shutdown_write = False
        self.has: list[str] = []
        self.told: list[bytes] = []
        self.last = ""  # what it answered last, for a second copy

    def abort(self) -> None:
        self.hung_up = True

    def write(self, message: bytes) -> bool:
        if self.dead or self.hung_up:
            self.hung_up = True
            return False
        self.pool.world.engine_hears(self, message)
        return True

    def has_ended(self) -> bool:
        return self.dead or self.shutdown_write and not self.told


class EnginePool(ConnectionPool):
    def __init__(self, world: Lines) -> None:
        super().__init__(
            ("e", 1), _SETTINGS, DescriptorQuota(1, 3), world.timers, world.clock.now, world.counters
        )
        self.world = world
        self._swept = True  # what is idle for ten seconds is beyond this world

    def connect(self) -> EngineLink:
        taken = {link.name for link in self.connections}
        return EngineLink(self, next(name for name in ("l1", "l2", "l3", "l4", "l5") if name not in taken))

    def on_fault(self, trouble: Exception) -> None:
        raise trouble


def _most() -> int:
    return 4


class Lines(Copied):
    """`ends`: whether the gateway may begin to end; the others hold unless the bounds say so."""

    def __init__(self, bounds: Bounds, requests: int, faults: int, leaves: int, ends: bool) -> None:
        self.clock = clock = VirtualClock(START)
        self.timers = timers = VirtualTimers(clock)
        self.counters = counters = Uncounted()
        self.book = RequestAccounting(counters)
        self.back = ResponseHandler(clock, counters, self.book)
        self.send = send = Dispatcher(clock, timers, counters, self.back)
        self.route = Router(None, send)
        self.module = module = Module(self)
        module.port = SocketPort(self.route, send, self.book, timers, counters, NoLog())
        self.back.controller = module
        admit = Admission(self.book)
        admit.controller = module
        self.take_in = Ingress(_SETTINGS, _TARIFFS, clock, admit)
        self.pool = self.route._pools[module.engine] = EnginePool(self)
        self.house = ConnectionRegistry(
            Classes(("read", "post")), self.take_in, _most, 4, clock.now, counters, NoLog().log
        )
        self.wire = ClientWire(self)
        self.talk: ClientSession | None = ClientSession(self.house, self.wire)
        self.house.connections[self.talk] = None
        self.then = NextAction.READ
        self.accounts = [Account(asked) for asked in ASKED[: bounds.submissions or requests]]
        self.cuts = 1
        self.faults = faults if bounds.faults is None else bounds.faults
        self.leaves = leaves if bounds.leaves is None else bounds.leaves
        self.ends = ends
        self.ending, self.ends_at = "", 0  # "coming", "owed", "written", "over"; the next step's time
        self.broken: list[str] = []

    def breaks(self, name: str, seen: str) -> None:
        self.broken.append(f"{name}: {seen}")

    # What goes over the seams.

    def client_hears(self, message: bytes) -> None:
        told = json.loads(message)
        account = next((one for one in self.accounts if one.asked.number == told["id"]), None)
        if account is None or not account.taken:
            self.breaks("one_answer", f"the client is answered what it did not ask, {told}")
            return
        name, how = account.asked.name, "fulfilled" if "result" in told else told["error"]["message"]
        if account.heard:
            self.breaks("one_answer", f"{name} is answered {how} after {account.heard}")
        if account.withdrawn:
            self.breaks("one_answer", f"{name} is answered {how} after it was withdrawn")
        if self.clock.at > account.stop > 1:
            late = (self.clock.at - account.stop) // MILLI
            self.breaks("by_hard_stop", f"{name} is answered {late} ms late")
        if "result" in told and told["result"]["data"] != b64encode(_row(name)).decode():
            self.breaks("own_name", f"{name} is answered with {told['result']['data']}")
        if how == "refused" and account.may_have_run and account.asked.tariff == "post":
            self.breaks("unrepeatable", f"{name} may have run and is denied")
        account.heard = how

    def engine_hears(self, link: EngineLink, message: bytes) -> None:
        reader = hiredis.Reader()
        reader.feed(message)
        while (command := reader.gets()) is not False:
            word, name = command[0], chr(command[1][0])
            account = next(one for one in self.accounts if one.asked.name == name)
            if word in (b"QUIT", b"FREE"):
                if name in link.has:
                    link.has.remove(name)
                    account.out = False
            elif word == b"ASK":
                self._runs(link, account)
            elif account.heard or account.withdrawn:
                self.breaks("nothing_after", f"{name} gets {word.decode()} after its end")

    def _runs(self, link: EngineLink, account: Account) -> None:
        name = account.asked.name
        if account.heard or account.withdrawn:
            self.breaks("nothing_after", f"{name} is sent on {link.name} after its end")
        if account.late:
            self.breaks("nothing_after", f"{name} is sent on {link.name} and came after the end")
        if account.out:
            self.breaks("one_outstanding", f"{name} is sent on {link.name} while it is out")
        if account.may_have_run and account.asked.tariff == "post":
            self.breaks("unrepeatable", f"{name} may have run and is sent again")
        account.out = account.may_have_run = True
        account.runs += 1
        link.has.append(name)

    # Choices.

    def choices(self) -> list[str]:
        over = (
            self.talk is None
            or not self.wire.unsent
            and all(one.heard or one.withdrawn for one in self.accounts)
        )
        if self.ending == "over" or over and self.quiet() and not self.module.queue:
            return []
        found: list[str] = []
        soon = False  # whether something comes before time passes
        found += self._client_choices()
        for request in self.module.queue:
            name = self._name(request)
            if len(request.attempts) < 3 and self.module.may_run(request):
                found.append(f"gateway relays {name}")
            found.append(f"gateway ends {name}")
        for attempt in self.module.out:
            account = self._account(self._name(attempt.request))
            if (
                attempt.request.request_class.is_idempotent
                and not account.called
                and not attempt.request.is_finished
            ):
                found.append(f"gateway calls back {account.asked.name}")
        for link in self.pool.connections:
            more, pending = self._link_choices(link)
            found += more
            soon = soon or pending
        if self.talk is not None and (self.wire.ended or self.wire.closed or self.then is NextAction.CLOSE):
            found.append("connection ends")
            soon = True
        if self.ends and not self.ending and not over:
            found.append("gateway begins to end")
        elif self.ending and self._may_step():
            found.append("gateway goes on ending")
            soon = True
        if not soon:
            if self._is_due():
                found.append("due")
            elif self._next() is not None:
                found.append("clock")
        return found

    def _client_choices(self) -> list[str]:
        wire, found = self.wire, []
        if self.talk is None:
            return found
        if not (wire.shutdown_write or wire.dead):
            asking = [one.asked.name for one in self.accounts if not one.stop]
            found += [f"client asks {name}" for name in asking]
            if len(asking) > 1:
                found.append("client asks both")
            if self.cuts and self._reads():
                found += [f"client asks {name} in part" for name in asking]
            if self.leaves:
                found += [
                    f"client withdraws {one.asked.name}"
                    for one in self.accounts
                    if one.stop and not one.heard and not one.withdrawn
                ]
                found += ["client shuts", "client resets"]
                if not wire.stalls:
                    found.append("client stalls")
        if wire.stalls and not wire.dead:
            found.append("client reads")
        if self._reads():
            if wire.unread:
                found.append("gateway reads")
            elif wire.shutdown_write or wire.dead:
                found.append("gateway reads the end")
        return found

    def _reads(self) -> bool:
        """Whether the gateway reads from the client."""
        return not (self.wire.ended or self.wire.closed) and self.then is NextAction.READ

    def _link_choices(self, link: EngineLink) -> tuple[list[str], bool]:
        found, name = [], link.name
        if link.hung_up:
            # What has come may still be read before the end is seen.
            if link.told and link.line is not None:
                found.append(f"{name} is read")
            return [*found, f"{name} is gone"], True
        if link.line is None:
            found.append(f"{name} is up")
            if self.faults:
                found.append(f"{name} is not reached")
            return found, False
        if not (link.dead or link.shutdown_write):
            for one in link.has:
                found.append(f"{name} serves {one}")
                if self.faults:
                    found += [f"{name} {how} {one}" for how in ("refuses", "spoils", "mixes up")]
            if self.faults:
                if link.last:
                    found.append(f"{name} repeats {link.last}")
                found += [f"{name} resets", f"{name} shuts"]
        if link.told:
            found.append(f"{name} is read")
            if self.cuts and not link._answers.has_partial_answer():
                found.append(f"{name} is read in part")
        elif link.dead or link.shutdown_write:
            found.append(f"{name} is gone")
        return found, False

    def _may_step(self) -> bool:
        if self.ending == "owed":
            return not self.book.unanswered_count()
        return self.clock.at >= self.ends_at or self.ending == "written" and self.talk is None

    def _is_due(self) -> bool:
        return bool(self.timers.line) and self.timers.line[0].due_us <= self.clock.at

    def _next(self) -> int | None:
        """When anything is due by itself."""
        at = [due.due_us for due in self.timers.line[:1]]
        if self.module.queue:
            at.append(self.module.due())
        at += [
            link._due
            for link in self.pool.connections
            if link._answers.has_partial_answer() and not link.told
        ]
        if self.ending in ("coming", "written"):
            at.append(self.ends_at)
        if self.talk is not None and self.talk in self.house.connections and not self.talk.open:
            limit = -self.talk.idle_overdue_us(self.clock.at)
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
                if link._answers.has_partial_answer() and not link.told and self.clock.at >= link._due:
                    self._read(link, None)
            self.module.tidy(self.clock.at)
            if self.talk is not None and self.talk.idle_overdue_us(self.clock.at) >= 0:
                self.house.close_idle()
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
        wire = self.wire
        if verb == "asks":
            for account in self.accounts if what == "both" else [self._account(what[0])]:
                asked = account.asked
                account.stop = 1  # until it is read
                wire.unread += _line(
                    asked.tariff,
                    asked.number,
                    {
                        "req": asked.name * 16,
                        "timeout": asked.patience,
                        "data": b64encode(b"select 1").decode(),
                    },
                )
            if self._reads():
                # What lies in the network longer is no other case: the gateway's time runs from its reading.
                self._gateway_reads("in part" if what.endswith("in part") else "")
        elif verb == "withdraws":
            self.leaves -= 1
            wire.unread += _line("withdraw", None, {"id": self._account(what).asked.number})
            if self._reads():
                self._gateway_reads("")
        elif verb == "reads":
            wire.stalls = False
            wire.flushed()
        else:
            self.leaves -= 1
            if verb == "stalls":
                wire.stalls = True
            elif verb == "shuts":
                wire.shutdown_write = True
            else:
                wire.dead, wire.unread = True, b""

    def _gateway(self, verb: str, what: str) -> None:
        if verb == "reads":
            self._gateway_reads(what)
        elif verb == "relays":
            self.module.relay(self._held(what), self.clock.at)
        elif verb == "ends":
            self.module.end(self._held(what))
        elif verb == "calls":
            name = what.removeprefix("back ")
            self._account(name).called = True
            attempt = next(one for one in self.module.out if self._name(one.request) == name)
            self.module.port.cancel_attempt(attempt)
        else:
            self._end()

    def _gateway_reads(self, what: str) -> None:
        wire = self.wire
        if what == "the end":
            self._connection_ends()
            return
        data = wire.unread
        if what == "in part":
            self.cuts -= 1
            # Within the last line: what is before it comes with half of it.
            data = data[: (data.rfind(b"\n", 0, -1) + 1 + len(data)) // 2]
        wire.unread = wire.unread[len(data) :]
        for account in self.accounts:
            # A request's time runs from when the gateway has all of it; a withdrawal counts from there on.
            if account.stop and not account.taken:
                account.stop = self.clock.at + account.asked.patience * MILLI
                if self.ending in ("coming", "owed"):
                    account.stop = min(account.stop, self.take_in.shutdown_deadline_us)
        left = self._mark_taken(data)
        ended = wire.shutdown_write and not wire.unread
        self.then = self.talk.receive(data, ended)
        for account in left:
            account.withdrawn = not account.heard
        if ended:
            self._connection_ends()

    def _mark_taken(self, data: bytes) -> list[Account]:
        """Which requests are whole with this piece; returns those that are withdrawn by it."""
        left, whole = [], bytes(self.talk._buffer) + data
        for line in whole[: whole.rfind(b"\n") + 1].splitlines():
            told = json.loads(line)
            number = told.get("id") or told["params"]["id"]
            account = next(one for one in self.accounts if one.asked.number == number)
            if "id" in told:
                account.taken, account.late = True, self.house.is_closing
            else:
                left.append(account)
        return left

    def _ends_in_order(self) -> None:
        """What has come is read and our side shut; what comes then is thrown away in a step after that."""
        wire, came = self.wire, bool(self.wire.unread)
        if came and not wire.drains:
            self._gateway_reads("")
        if self.talk is None:
            return
        if wire.drains or wire.dead or wire.shutdown_write or self.then is NextAction.CLOSE:
            self.talk.receive(wire.unread)
            self._connection_ends()
        elif self.talk.can_shut_down(came):
            wire.drains = True
        else:
            wire.ended = wire._finishing = False
            self.talk.resume()

    def _connection_ends(self) -> None:
        wire = self.wire
        if wire.drains and self.talk.open:
            self.breaks("one_answer", "a request is taken after our side was shut")
        left = wire.dead or wire.shutdown_write or wire.stalls
        for account in self.accounts:
            if account.taken and not account.heard and not account.withdrawn:
                if not left:
                    self.breaks("one_answer", f"the connection ends and {account.asked.name} gets no answer")
                account.withdrawn = True
        talk, self.talk = self.talk, None
        wire.closed, wire.unread = True, b""
        wire.unsent.clear()
        talk.on_disconnected()

    def _engine(self, link: EngineLink, verb: str, what: str) -> None:
        if verb == "is":
            self._link(link, what)
            return
        if verb != "serves":
            self.faults -= 1
        if verb == "resets":
            link.dead, link.told = True, []
            self._lost(link)
        elif verb == "shuts":
            link.shutdown_write = True
            self._lost(link)
        elif verb == "repeats":
            link.told.append(_answer(link.last[-1], link.last.split(" ")[0]))
        else:
            how, _, name = f"{verb} {what}".rpartition(" ")
            account = self._account(name)
            if how != "mixes up":
                link.has.remove(name)
                account.out = False
            if how == "refuses":
                account.may_have_run = False
            link.told.append(_answer(name, how))
            if how in ("serves", "refuses"):
                link.last = f"{how} {name}"

    def _link(self, link: EngineLink, what: str) -> None:
        if what == "up":
            link.on_connected(link)
        elif what == "not reached":
            self.faults -= 1
            link.on_closed()
        elif what == "gone":
            if link.hung_up or self._read(link, b""):
                self._lost(link)
                link.on_closed()
        else:
            data = link.told.pop(0) if what == "read in part" else b"".join(link.told)
            if what == "read in part":
                self.cuts -= 1
                link.told.insert(0, data[len(data) // 2 :])
                data = data[: len(data) // 2]
            else:
                link.told = []
            self._read(link, data)

    def _lost(self, link: EngineLink) -> None:
        """What an engine had is ended with its link; it may have run."""
        for name in link.has:
            self._account(name).out = False
        link.has = []

    def _read(self, link: EngineLink, data: bytes | None) -> bool:
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
        except BrokenError:
            link.is_corrupt = True
            self._lost(link)
            link.on_closed()
            return False
        return True

    def _end(self) -> None:
        """The next step of the service's end."""
        now = self.clock.at
        if not self.ending:
            self.ending, self.ends_at = "coming", now + _STILL_COMING
            left = 750 * MILLI + _AFTER_LIMIT
            self.take_in.shutdown_deadline_us = now + left
            for account in self.accounts:
                account.stop = min(account.stop, now + left)
            self.book.limit_deadlines(now + left)
            self.timers.call_after(left, self.send.abandon_all)
        elif self.ending == "coming":
            self.ending = "owed"
        elif self.ending == "owed":
            self.ending, self.ends_at = "written", now + _WRITTEN
            self.house.is_closing = True
            for connection in list(self.house.connections):
                connection.close()
        else:
            self.ending = "over"
            if self.talk is not None:
                self._connection_ends()

    # States.

    def _name(self, request: Request) -> str:
        context = self.book.open.get(request)
        return context.query.name[0] if context is not None else "?"

    def _held(self, name: str) -> Request:
        return next(one for one in self.module.queue if self._name(one) == name)

    def _account(self, name: str) -> Account:
        return next(one for one in self.accounts if one.asked.name == name)

    def _mind_left(self) -> None:
        """Of a client that has gone the gateway may know before it reads that far; nothing is owed then."""
        if self.talk is not None and (self.wire.shutdown_write or self.wire.dead):
            for account in self.accounts:
                if account.taken and not account.heard and account.asked.number not in self.talk.open:
                    account.withdrawn = True

    def _mind_time(self) -> None:
        for account in self.accounts:
            if (
                account.taken
                and not account.heard
                and not account.withdrawn
                and self.talk is not None
                and self.clock.at > account.stop
            ):
                self.breaks("by_hard_stop", f"{account.asked.name} is not answered by its hard stop")

    def quiet(self) -> bool:
        return (
            all(one.heard or one.withdrawn or not one.taken for one in self.accounts)
            and not any(link.told or link.hung_up for link in self.pool.connections)
            and not self.back.in_flight
            and not self._is_due()
        )

    def _mind_rest(self) -> None:
        links = self.pool.connections
        kept = {
            "open": self.book.open,
            "pages told": self.back._reports,
            "held": self.module.queue,
            "out": self.module.out,
            "on links": [one for link in links for one in link.in_flight.open],
            "idle and no link": [link for link in self.pool.quota.idle if link not in links],
            "owed": self.talk.open if self.talk is not None else (),
            "half lines": self.house.buffered_bytes and self.talk is None and "some" or "",
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
        self.take_in._names.clear()
        self.take_in._turn = 0
        for context in self.book.open.values():
            # How decoders share what they read is no part of a state.
            query = context.query
            query.class_name, query.tenant, query.idempotency_key = map(
                intern, (query.class_name, query.tenant, query.idempotency_key)
            )
        for account in self.accounts:
            if (account.heard or account.withdrawn) and not account.out:
                account.heard = intern(account.heard)
                account.runs, account.called, account.may_have_run, account.stop = 0, False, False, 1
                account.late = False
        for link in self.pool.connections:
            # Of how often it was heard, only what is the same is asked.
            life = link.in_flight
            ranks = sorted({life.received_count, *(one.received_before for one in life.open.values())})
            for one in life.open.values():
                one.received_before = ranks.index(one.received_before)
            life.received_count = ranks.index(life.received_count)

    def __setstate__(self, state: dict[str, Any]) -> None:
        super().__setstate__(state)
        self.ending = intern(self.ending)
        for account in self.accounts:
            account.asked = Asked(*(intern(one) if type(one) is str else one for one in account.asked))
            account.heard = intern(account.heard)
        for link in self.pool.connections:
            link.name, link.last, link.has = intern(link.name), intern(link.last), list(map(intern, link.has))
        self._tidy()

    def moment(self) -> float:
        """Milliseconds since the start, for traces."""
        return (self.clock.at - START) / MILLI


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


CONFIGURATIONS: dict[str, Callable[[Bounds], Lines]] = {
    "connection": lambda bounds: Lines(bounds, 2, 1, 1, False),
    "exchange": lambda bounds: Lines(bounds, 1, 3, 0, False),
    "ending": lambda bounds: Lines(bounds, 2, 0, 1, True),
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
        lines((InFlightRequests.has_room_for, " or name in self.refused", "")),
    ),
    Mutant(
        "taken_in_after_the_close",
        "nothing_after",
        "ending",
        lines((ClientSession._refuses, "self._closing or self._left or self._house.is_closing", "False")),
    ),
    Mutant(
        "taken_in_after_the_shut",
        "one_answer",
        "ending",
        lines((ClientSession.receive, "if self._shut:", "if False:")),
    ),
    Mutant(
        "shut_over_a_request",
        "one_answer",
        "connection",
        lines((ClientSession.can_shut_down, "if busy or came and not self._closing:", "if False:")),
    ),
    Mutant(
        "reset_counted_as_never_run",
        "unrepeatable",
        "connection",
        lines(
            (
                InFlightRequests._fate,
                "return Disposition.CONNECTION_LOST",
                "return Disposition.CONNECTION_LOST"
                " if self.received_count > exchange.received_before else Disposition.UNREACHABLE",
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
                "Outcome.PROTOCOL_ERROR if spoilt else Outcome.CONNECTION_LOST",
                "Outcome.OVERLOADED if spoilt else Outcome.CONNECTION_LOST",
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
        lines((ClientSession.on_disconnected, "self._house.handler.on_disconnected(self)", "pass")),
    ),
    Mutant(
        "half_lines_are_counted_on",
        "nothing_kept",
        "connection",
        lines((ClientSession.on_disconnected, "self._house.buffered_bytes -= len(self._buffer)", "pass")),
    ),
    Mutant(
        "idle_and_forgotten",
        "nothing_kept",
        "connection",
        lines((EngineConnection._mind_idle, "self.pool.quota.idle[self] = None", "pass")),
    ),
    Mutant(
        "quit_that_is_not_sent",
        "one_outstanding",
        "exchange",
        lines((EngineConnection.abandon, "elif told is not None:", "elif False:")),
    ),
    Mutant(
        "late_write_that_asks_nobody",
        "nothing_after",
        "connection",
        lines((EngineConnection._write_late, "if not self._may_leave(exchange):", "if False:")),
    ),
)
