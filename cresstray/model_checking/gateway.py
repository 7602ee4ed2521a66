"""Worlds of one gateway: the module and all its stages, with a model of links to engines at the seam to them.

An engine may do with an exchange what it will, at any moment: serve it in one page or two, refuse it, fail,
cut its link, never be reached. Falling silent is to do none of that while time passes. The account of what
went over the seams is the world's own, and all but `nothing_kept` is judged by it alone.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import cache
from sys import intern
from typing import Any, NamedTuple

from cresstray.discovery.endpoint_list import Endpoint, EndpointEvent
from cresstray.engines.codec import Answer
from cresstray.engines.in_flight import InFlightRequest
from cresstray.model_checking.patching import Mutant, lines
from cresstray.model_checking.world import (
    Bounds,
    Copied,
    NoLog,
    Uncounted,
    VirtualClock,
    VirtualTimers,
    fixed,
)
from cresstray.pipeline.accounting import RequestAccounting
from cresstray.pipeline.admission import Admission
from cresstray.pipeline.dispatch import Dispatcher
from cresstray.pipeline.ingress import Ingress
from cresstray.pipeline.policy_port import PipelinePolicyPort
from cresstray.pipeline.request_context import RequestContext
from cresstray.pipeline.response import ResponseHandler
from cresstray.pipeline.routing import Router
from cresstray.policy import retry_policy
from cresstray.policy.admission_queue import OrderingKeyQueues
from cresstray.policy.concurrency_limit import ConcurrencyLimit
from cresstray.policy.controller import PolicyController
from cresstray.policy.engine_registry import EngineRegistry
from cresstray.policy.latency_estimate import LatencyEstimate
from cresstray.policy.retry_policy import RetryPolicy
from cresstray.policy.settings import parse_settings
from cresstray.policy.types import EndpointState

# The first moment: a multiple of all widths of rings, so that their buckets turn with the ticks.
START = 1_000_000_000_000
MILLI = 1_000


class Asked(NamedTuple):
    """A submission that may be asked: its name, tariff, time limit in ms and key."""

    name: str
    tariff: str
    patience: float
    key: int = 0


@dataclass(frozen=True)
class Shape:
    """A configuration. In ms: `asking`, until when clients ask; `late`, by how much the loop is late once."""

    name: str
    services: tuple[dict[str, Any], ...]
    asked: tuple[Asked, ...]
    faults: tuple[str, ...]  # ways in which an exchange may fail
    most_faults: int
    leaves: int = 0
    words: tuple[str, ...] = ()
    most_words: int = 0
    engines: int = 2
    asking: int = 150
    late: int = 0
    limits: dict[str, Any] = field(default_factory=dict)
    safety: dict[str, Any] = field(default_factory=dict)
    cells: tuple[int, ...] = (0, 1, 0)

    def __reduce__(self) -> tuple:
        return _shape, (self.name,)

    def __hash__(self) -> int:
        return hash(self.name)


def _shape(name: str) -> Shape:
    return SHAPES[name]


class Given(dict):
    """Settings, the same in all states of a configuration: a copy holds no more than where they are."""

    place: tuple[str, str]

    def __reduce__(self) -> tuple:
        return _given, self.place


@cache
def _given(shape: str, part: str) -> Given:
    of = SHAPES[shape]
    if part == "FamilyInfo":
        made = Given({"CpuOfKind": [4], "Dop": [1] * len(of.services)})
    elif part == "Limits":
        made = Given({"Cancel": True, "MaxAttempts": 3} | of.limits)
    elif part == "Safety":
        made = Given(of.safety)
    else:
        made = Given(
            {part: _given(shape, part) for part in ("FamilyInfo", "Limits", "Safety")}
            | {"Balancers": 1, "Services": of.services}
        )
    made.place = shape, part
    return made


class Query:
    def __init__(self, asked: Asked) -> None:
        self.name, self.class_name, self.timeout_ms, self.key = map(_one, asked)
        self.tenant, self.idempotency_key, self.statement = "", asked.name, b"select 1"
        self.estimated_work_ms = self.memory_mb = 0.0

    def __reduce__(self) -> tuple:
        return Query, (Asked(self.name, self.class_name, self.timeout_ms, self.key),)


class Keyed(Admission):
    """Keys are no part of the protocol's requests; the module has them from the wire."""

    def admit(self, context: RequestContext, now: int) -> None:
        context.request.ordering_key = context.query.key
        super().admit(context, now)


class Sent(NamedTuple):
    """A relay in the account. `how`: None while it is out, else how it ended over the seam."""

    engine: str
    cell: int
    at: int
    how: str | None


# After these nothing of it has run; all else may have.
UNRUN = ("refuses", "unreached", "unknown")
# After these it may run on.
RUNNING_ON = ("cuts", "spoils", "given up")


class Account:
    """What the world knows of one submission."""

    __slots__ = ("asked", "arrived", "stop", "over", "sent", "out", "free")

    def __init__(self, asked: Asked) -> None:
        self.asked = asked
        self.arrived = self.stop = 0
        self.over = ""  # how it was answered, or "left"
        self.sent: list[Sent] = []
        self.out: InFlightRequest | None = None
        self.free = 0  # from when on the next of its key may run

    def may_have_run(self) -> list[Sent]:
        return [sent for sent in self.sent if sent.how not in UNRUN]

    def end(self, how: str) -> None:
        self.out = None
        self.sent[-1] = self.sent[-1]._replace(how=intern(how))


class Asker:
    """All clients on one connection."""

    def __init__(self, world: Passage) -> None:
        self._world = world
        self.open_requests: dict[int, object] = {}

    def _told(self, number: int, how: str) -> Account:
        account = self._world.accounts[number]
        self.open_requests.pop(number, None)
        self._world.answered(account, how)
        return account

    def succeed(self, number: int, result: bytes, at: str | None = None) -> None:
        account = self._told(number, "fulfilled")
        name = account.asked.name
        if set(result.split()) != {name.encode()}:
            self._world.breaks("own_name", f"{name} is answered with {result!r}")

    def reject(self, number: int, come_back: int) -> None:
        account = self._told(number, "denied")
        effect = self._world.effect(account)
        if (
            effect != "idempotent"
            and account.may_have_run()
            and (effect == "at_most_once" or self._world.service(account).get("Group", "all") != "all")
        ):
            self._world.breaks(
                "unrepeatable" if effect == "at_most_once" else "deduplicated",
                f"{account.asked.name} may have run and is denied",
            )

    def fail(self, number: int) -> None:
        self._told(number, "abandoned")

    def has_left(self, number: int) -> bool:
        return False  # it stays to the end, or leaves by a withdrawal

    def reject_malformed(self, number: int | None, text: str) -> None:
        self._world.breaks("sound", f"a good request is rejected: {text}")


class Links:
    """All links to one engine, as stages see them: what is open on them, until it ends or is given up."""

    def __init__(self, world: Passage, name: str, address: tuple[str, int]) -> None:
        self._world, self.name, self.address = world, name, address
        self.open: dict[bytes, InFlightRequest] = {}

    def start(self, exchange: InFlightRequest) -> None:
        exchange.connection, exchange.message, exchange.is_written = self, b"", True
        self._world.sends(exchange, self)
        self.open[exchange.name] = exchange

    def send(self, message: bytes) -> None:
        """Further pages are asked for."""

    def finish(self, exchange: InFlightRequest) -> None:
        del self.open[exchange.name]

    def abandon(self, exchange: InFlightRequest) -> bool:
        del self.open[exchange.name]
        account = self._world.account(exchange.name.decode())
        if account.out is exchange:
            account.end("given up")
            self._world.runs_on(account)
        return True

    def change_address(self, address: tuple[str, int]) -> None:
        self.address = address

    def retire(self) -> None:
        """What is open goes on."""

    def cancel_unwritten(self) -> None:
        """All that is started here is written at once."""


class Passage(Copied):
    """One gateway, its clients, its engines and the coordinator."""

    def __init__(self, shape: Shape, bounds: Bounds) -> None:
        self.shape = shape
        self.clock = clock = VirtualClock(START)
        self.timers = timers = VirtualTimers(clock)
        counters = Uncounted()
        self.links: list[Links] = []
        self.book = RequestAccounting(counters)
        self.back = ResponseHandler(clock, counters, self.book)
        send = Dispatcher(clock, timers, counters, self.back)
        self.route = Router(self._make_links, send)
        settings = _given(shape.name, "")
        port = PipelinePolicyPort(self.route, send, self.book, timers, counters, NoLog())
        self.gateway = PolicyController(port, parse_settings(settings), 0, START)
        self.gateway.random = fixed if bounds.seed is None else random.Random(bounds.seed).random
        admit = Keyed(self.book)
        self.back.controller = admit.controller = self.gateway
        self.take_in = Ingress(settings, self.gateway.request_classes, clock, admit)
        self.asker = Asker(self)
        self.broken: list[str] = []
        more = (bounds.submissions or len(shape.asked)) - len(shape.asked)
        asked = shape.asked + tuple(
            shape.asked[n % len(shape.asked)]._replace(name="vwxyz"[n]) for n in range(more)
        )
        self.accounts = [Account(one) for one in asked]
        self.accepted: list[int] = []  # arrivals of clients that have not left, and further relays
        self.further: list[int] = []
        self.faults = _or(bounds.faults, shape.most_faults)  # these are left
        self.leaves, self.words = _or(bounds.leaves, shape.leaves), _or(bounds.words, shape.most_words)
        self.lates = int(shape.late > 0)
        self.reduced = bounds.reduced
        # Many submissions come over a longer time, or none would meet what became of the first.
        self.asking = START + MILLI * (shape.asking if bounds.submissions is None else 800)
        self.members: dict[int, Endpoint] = {}
        self.last: EndpointEvent | None = None
        count = bounds.engines or shape.engines
        self._word(
            EndpointEvent(
                0,
                True,
                [Endpoint(n, "e", n, EndpointState.READY, 0, 0, shape.cells[n], 0) for n in range(count)],
            )
        )
        self.last = None
        self._tidy()

    # What the stages call, by way of the seams.

    def _make_links(self, label: str, address: tuple[str, int]) -> Links:
        links = Links(self, intern(f"e{int(label[-8:], 16)}"), address)
        self.links.append(links)
        return links

    def breaks(self, name: str, seen: str) -> None:
        self.broken.append(f"{name}: {seen}")

    def account(self, name: str) -> Account:
        return next(one for one in self.accounts if one.asked.name == name)

    def service(self, account: Account) -> dict[str, Any]:
        return next(one for one in self.shape.services if one["Name"] == account.asked.tariff)

    def effect(self, account: Account) -> str:
        return self.service(account)["Effect"]

    def answered(self, account: Account, how: str) -> None:
        name, now = account.asked.name, self.clock.at
        if account.over:
            self.breaks("one_answer", f"{name} is {how} after it was {account.over}")
        if now > account.stop:
            self.breaks("by_hard_stop", f"{name} is answered {(now - account.stop) // MILLI} ms late")
        account.over = how

    def sends(self, exchange: InFlightRequest, links: Links) -> None:
        account, now = self.account(exchange.name.decode()), self.clock.at
        name, effect = account.asked.name, self.effect(account)
        member = self.members[int(links.name[1:])]
        if account.over:
            self.breaks("nothing_after", f"{name} is sent to {links.name} after it was {account.over}")
        if account.out is not None:
            self.breaks("one_outstanding", f"{name} is sent to {links.name} while it is out")
        if member.state is not EndpointState.READY:
            drains = member.state is EndpointState.DRAINING
            self.breaks("drained" if drains else "gone", f"{name} is sent to {links.name}")
        earlier = account.may_have_run()
        if earlier and effect == "at_most_once":
            self.breaks("unrepeatable", f"{name} may have run on {earlier[-1].engine} and is sent again")
        elif earlier and effect == "deduplicated":
            service = self.service(account)
            if service.get("Group", "all") == "cell" and any(one.cell != member.cell for one in earlier):
                self.breaks("deduplicated", f"{name} may have run in another cell than that of {links.name}")
            if any(now >= one.at + service["KeyTtl"] * MILLI for one in earlier):
                self.breaks("deduplicated", f"{name} may have run longer ago than engines remember")
        self._mind_key(account)
        if account.sent:
            self._mind_budget(name)
        account.sent.append(Sent(links.name, member.cell, now, None))
        account.out = exchange

    def _mind_budget(self, name: str) -> None:
        self.further.append(self.clock.at)
        safety = self.shape.safety
        if "BudgetWindow" in safety:
            since = self.clock.at - safety["BudgetWindow"] * MILLI
            most = safety["FreeResends"] + safety["ResendRatio"] * sum(at > since for at in self.accepted)
            sent = sum(at > since for at in self.further)
            if sent > most:
                self.breaks("further_budget", f"{name} is further relay {sent} in a window that has {most:g}")

    def _mind_key(self, account: Account) -> None:
        key = account.asked.key
        if not key or account.sent:
            return
        for other in self.accounts:
            if (
                other is not account
                and other.asked.key == key
                and other.arrived
                and (
                    other.out is not None
                    or self.clock.at < other.free
                    or other.arrived <= account.arrived
                    and not other.over
                    and self._before(other, account)
                )
            ):
                self.breaks("key_order", f"{account.asked.name} is sent beside or before {other.asked.name}")

    def _before(self, one: Account, other: Account) -> bool:
        # Those of a key are asked in the order of their names.
        return one.asked.name < other.asked.name

    def runs_on(self, account: Account) -> None:
        account.free = self.clock.at + self.shape.safety.get("TurnGap", 0) * MILLI

    # Choices.

    def choices(self) -> list[str]:
        now = self.clock.at
        asking = now < self.asking
        found, first = [], True
        for account in self.accounts:
            asked = account.asked
            if not account.arrived:
                # Like submissions are asked in one order: any other is the same under other names. Unlike
                # ones are as well, or each order would be a world of its own.
                if asking and first:
                    found.append(f"{asked.name} asks")
                first = False
                continue
            if not account.over and self.leaves:
                found.append(f"{asked.name} leaves")
            if account.out is not None:
                engine = account.out.connection.name
                found.append(f"{engine} serves {asked.name}")
                if self.faults:
                    begun = account.out.pages is not None
                    found += [
                        f"{engine} {how} {asked.name}"
                        for how in self.shape.faults
                        if not begun or how in ("fails", "cuts", "spoils")
                    ]
        if not found and not asking and self.quiet():
            return []
        if self.words:
            found += self._words()
        due = self.timers.line[0].due_us
        if due > now:
            return found + ["clock", "moment"]
        return found + ["due", "late"] if self.lates else found + ["due"]

    def _words(self) -> list[str]:
        found, known = [], self.members
        for number, member in known.items():
            if member.state is EndpointState.REMOVED:
                continue
            for word in self.shape.words:
                if (
                    word == "drains"
                    and member.state is EndpointState.READY
                    or word in ("goes", "anew")
                    or word == "returns"
                    and len(known) < 4
                ):
                    found.append(f"e{number} {word}")
        if self.last is not None and "again" in self.shape.words:
            found.append("word again")
        return found

    def do(self, choice: str) -> None:
        """One step. What leaves the code as an exception is a breach as well."""
        try:
            self._do(*choice.split(" "))
        except Exception as trouble:
            frame = trouble.__traceback__
            while frame.tb_next is not None:
                frame = frame.tb_next
            self.breaks("sound", f"{type(trouble).__name__} in {frame.tb_frame.f_code.co_qualname}")
        self._tidy()
        if not self.broken and self.quiet():
            self._mind_rest()

    def _do(self, who: str, verb: str = "", name: str = "") -> None:
        if verb == "asks":
            self._ask(self.account(who))
        elif verb == "leaves":
            self._leave(self.account(who))
        elif who == "due":
            self.timers.run_due()
        elif who in ("clock", "moment", "late"):
            self._pass_time(who)
        elif who == "word":
            self.words -= 1
            self._word(self.last)
        elif name:
            self._engine(verb, self.account(name))
        else:
            self._engine_word(int(who[1:]), verb)

    def _ask(self, account: Account) -> None:
        now, asked = self.clock.at, account.asked
        account.arrived, account.stop = now, now + int(asked.patience * MILLI)
        self.accepted.append(now)
        self.take_in.accept(self.asker, self.accounts.index(account), Query(asked))

    def _leave(self, account: Account) -> None:
        self.leaves -= 1
        self.accepted.remove(account.arrived)
        account.over = "left"
        self.take_in.cancel(self.asker, self.accounts.index(account), None)

    def _pass_time(self, how: str) -> None:
        """To what is due next, `moment` without doing it yet; `late`: on, though something is due."""
        if how == "late":
            self.lates -= 1
            self.clock.at += self.shape.late * MILLI
            return
        self.clock.at = self.timers.line[0].due_us
        for account in self.accounts:
            if account.arrived and not account.over and self.clock.at > account.stop:
                self.breaks("by_hard_stop", f"{account.asked.name} is not answered by its hard stop")
        if how == "clock":
            self.timers.run_due()

    def _engine(self, verb: str, account: Account) -> None:
        exchange, name = account.out, account.asked.name.encode()
        if verb != "serves":
            self.faults -= verb != "begins"
        if verb == "begins":
            exchange.listener.on_answer(exchange, Answer(name, b"served", 2, 0, {}, name + b"\t\t\n"))
            return
        begun = exchange.pages is not None
        word = {
            "serves": b"rows" if begun else b"served",
            "refuses": b"overload",
            "fails": b"crashed",
            "unknown": b"nobody",
        }.get(verb)
        account.end(verb)
        if word is not None:
            exchange.listener.on_answer(exchange, Answer(name, word, 1, int(begun), {}, name + b"\t\t\n"))
            return
        del exchange.connection.open[exchange.name]
        if verb == "unreached":
            exchange.listener.on_unreachable(exchange)
        else:
            self.runs_on(account)
            exchange.listener.on_connection_lost(exchange, verb == "spoils")

    def _engine_word(self, number: int, verb: str) -> None:
        self.words -= 1
        member, now = self.members[number], self.clock.at
        if verb == "drains":
            told = EndpointEvent(0, False, [_changed(member, state=EndpointState.DRAINING)])
        elif verb == "goes":
            told = EndpointEvent(0, False, [_changed(member, state=EndpointState.REMOVED)])
        elif verb == "anew":
            told = EndpointEvent(0, False, [_changed(member, started_us=now)])
        else:  # at the same address under a new id, in a list that is whole
            new = _changed(member, id=len(self.members), started_us=now, state=EndpointState.READY)
            rest = [
                one
                for one in self.members.values()
                if one is not member and one.state is not EndpointState.REMOVED
            ]
            told = EndpointEvent(0, True, [*rest, new])
        self._word(told)

    def _word(self, told: EndpointEvent) -> None:
        self.last = told
        if told.is_complete:
            named = {member.id for member in told.endpoints}
            self.members = {
                number: member if number in named else _changed(member, state=EndpointState.REMOVED)
                for number, member in self.members.items()
            }
        self.members |= {member.id: member for member in told.endpoints}
        self.gateway.on_endpoints_updated(self.route.apply_event(told), told.is_complete, self.clock.at)
        self.route.cancel_unsent(told)

    # States.

    def _tidy(self) -> None:
        """What is remembered and no longer has a future is dropped, so that states are the same that are."""
        # Names are new by the world's making; a set's order is not that of its making.
        self.take_in.names.clear()
        self.book._memory.peak_bytes = 0
        if not self.words:
            self.last = None
        window = self.shape.safety.get("BudgetWindow", 0) * MILLI
        self.further = [at for at in self.further if at > self.clock.at - window]
        if self.reduced and (
            self.clock.at >= self.asking or all(account.arrived for account in self.accounts)
        ):
            for account in self.accounts:
                if account.over and account.out is None and not account.asked.key:
                    account.sent, account.arrived, account.stop = [], 1, 0
            if "anew" not in self.shape.words and "returns" not in self.shape.words:
                # What tariffs have learnt is asked for as a submission comes, or to a cold engine only.
                for request_class in self.gateway.request_classes:
                    if request_class.latency.sample_count:
                        request_class.latency = LatencyEstimate(request_class)
                self.gateway.averages.value = 1.0
                self.gateway.averages.work_us = 1.0
                self.gateway.averages.expected_us = 1.0

    def __setstate__(self, state: dict[str, Any]) -> None:
        super().__setstate__(state)
        for account in self.accounts:
            account.asked, account.over = Asked(*map(_one, account.asked)), intern(account.over)
            account.sent = [Sent(*map(_one, sent)) for sent in account.sent]
        for request_class in self.gateway.request_classes:
            request_class.dedup_scope = intern(request_class.dedup_scope)
        self.take_in._classes = {intern(name): known for name, known in self.take_in._classes.items()}
        for member in self.members.values():
            member.host = intern(member.host)
        for links in self.links:
            links.name, links.address = intern(links.name), (intern(links.address[0]), links.address[1])

    def moment(self) -> float:
        """Milliseconds since the start, for traces."""
        return (self.clock.at - START) / MILLI

    def quiet(self) -> bool:
        line = self.timers.line
        return all(
            account.out is None and (account.over or not account.arrived) for account in self.accounts
        ) and (not line or line[0].due_us > self.clock.at)

    def _mind_rest(self) -> None:
        gateway, engines = self.gateway, self.gateway.engines
        kept = {
            "held": gateway.admission_queue.first_attempts + gateway.admission_queue.retries,
            "turns": gateway.admission_queue.ordering.queues,
            "open": self.book.open_requests,
            "out": self.back.in_flight,
            "pages told": self.back._reports,
            "owed": self.asker.open_requests,
            "on links": [one for links in self.route._pools.values() for one in links.open],
            "on engines": [one for engine in engines for one in engine.policy_state.limit.attempts],
            "threads": [engine for engine in engines if engine.policy_state.limit.running_threads],
            "calls to come": self.timers.line[1:],
        }
        for name, what in kept.items():
            if what:
                self.breaks("nothing_kept", f"{len(what)} {name}")

    def independent(self, one: str, other: str) -> bool:
        """Whether the two, both possible now, lead to the same state in either order, whatever that is.

        A client that leaves while its relay is out changes its own errand, the count of what was accepted and
        the line of calls. An answer for another touches none of these, where no budget and no key joins them.
        """
        if one.endswith(" leaves"):
            one, other = other, one
        who, _, verb = other.partition(" ")
        if verb != "leaves" or "BudgetWindow" in self.shape.safety:
            return False
        account = self.account(who)
        if account.out is None or account.asked.key:
            return False
        parts = one.split(" ")
        return len(parts) == 3 and parts[2] != who and not self.gateway.admission_queue.first_attempts


def _one(value: object) -> object:
    return intern(value) if type(value) is str else value


def _or(given: int | None, usual: int) -> int:
    return usual if given is None else given


def _changed(member: Endpoint, **changes: object) -> Endpoint:
    fields = {name: getattr(member, name) for name in member.__struct_fields__}
    return Endpoint(**fields | changes)


# Soft limits of 4 ms make expected times of one: what is out for 204 ms is overdue. Late answers still count,
# so that further relays are worth while until the hard stop.
_IDEMPOTENT = {
    "Name": "read",
    "Effect": "idempotent",
    "GoalTime": 4,
    "GiveUp": 5000,
    "Worth": 1.0,
    "LateValue": 0.5,
}
_DEDUPLICATED = _IDEMPOTENT | {"Name": "put", "Effect": "deduplicated", "Group": "cell", "KeyTtl": 200}
_UNREPEATABLE = _IDEMPOTENT | {"Name": "post", "Effect": "at_most_once"}
_ORDERED = _IDEMPOTENT | {"Name": "step", "ByArrival": True}

SHAPES = {
    shape.name: shape
    for shape in (
        Shape(
            "attempt",
            (_IDEMPOTENT, _DEDUPLICATED, _UNREPEATABLE),
            (Asked("a", "read", 450), Asked("b", "put", 450), Asked("c", "post", 250)),
            ("begins", "refuses", "fails", "cuts", "spoils", "unreached"),
            1,
            leaves=1,
            asking=1,
            late=90,
        ),
        # Small ones, so that they go deep: one that is sent again and again, and an engine fallen silent.
        Shape(
            "repeat",
            (_DEDUPLICATED,),
            (Asked("a", "put", 450),),
            ("begins", "refuses", "fails", "cuts", "spoils", "unreached", "unknown"),
            3,
            leaves=1,
            asking=1,
            late=90,
            cells=(0, 1, 0),
            engines=3,
        ),
        Shape(
            "silent",
            (_IDEMPOTENT,),
            (Asked("a", "read", 550), Asked("b", "read", 550), Asked("c", "read", 550)),
            ("unreached",),
            1,
            asking=1,
            late=90,
        ),
        Shape(
            "drain",
            (_IDEMPOTENT,),
            (Asked("a", "read", 450), Asked("b", "read", 450)),
            ("cuts",),
            1,
            leaves=1,
            words=("drains", "goes", "anew", "returns", "again"),
            most_words=1,
            asking=50,
            safety={"WarmUp": 300},
        ),
        Shape(
            "words",
            (_IDEMPOTENT,),
            (Asked("a", "read", 450),),
            ("cuts",),
            1,
            words=("drains", "goes", "anew", "returns", "again"),
            most_words=2,
            asking=50,
            safety={"WarmUp": 300},
        ),
        Shape(
            "budget",
            (_IDEMPOTENT,),
            (Asked("a", "read", 450), Asked("b", "read", 450), Asked("c", "read", 450)),
            ("cuts",),
            2,
            leaves=1,
            asking=150,
            safety={"BudgetWindow": 300, "FreeResends": 0, "ResendRatio": 0.7},
        ),
        Shape(
            "order",
            (_ORDERED,),
            (Asked("a", "step", 450, 7), Asked("b", "step", 450, 7), Asked("c", "step", 450, 7)),
            ("refuses", "cuts"),
            2,
            leaves=1,
            asking=50,
            safety={"TurnGap": 150},
        ),
    )
}

CONFIGURATIONS: dict[str, Callable[[Bounds], Passage]] = {
    name: (lambda bounds, shape=shape: Passage(shape, bounds)) for name, shape in SHAPES.items()
}

_AS_READY = (
    EngineRegistry.ready_engines,
    "engine for engine in self.engines if engine.state is EndpointState.READY",
    "engine for engine in self.engines if engine.state is not EndpointState.REMOVED",
)
MUTANTS: tuple[Mutant, ...] = (
    Mutant(
        "no_answer_when_worthless",
        "by_hard_stop",
        "silent",
        lines(
            (
                PolicyController.on_attempt_finished,
                "else:\n        self._reject_or_fail(request, now_us)",
                "else:\n        pass",
            )
        ),
    ),
    Mutant(
        "reset_never_ran",
        "unrepeatable",
        "attempt",
        lines((RetryPolicy.may_reject, "in NOT_EXECUTED", "in NOT_EXECUTED | {Outcome.CONNECTION_LOST}")),
    ),
    Mutant(
        "spoilt_never_ran",
        "unrepeatable",
        "attempt",
        lines((RetryPolicy.may_reject, "in NOT_EXECUTED", "in NOT_EXECUTED | {Outcome.PROTOCOL_ERROR}")),
    ),
    Mutant(
        "failure_never_ran",
        "unrepeatable",
        "attempt",
        lines(
            (
                ResponseHandler.on_answer,
                "self.finish_attempt(in_flight, _OUTCOME_OF_ANSWER[answer.kind], answer.report)",
                "self.finish_attempt(in_flight, Outcome.OVERLOADED, answer.report)",
            )
        ),
    ),
    Mutant(
        "time_out_never_ran",
        "unrepeatable",
        "attempt",
        lines((RetryPolicy.may_reject, "in NOT_EXECUTED", "in NOT_EXECUTED | {Outcome.TIMED_OUT}")),
    ),
    Mutant(
        "all_denied",
        "unrepeatable",
        "attempt",
        lines((PolicyController._reject_or_fail, "not self.retry_policy.may_reject(request)", "False")),
    ),
    Mutant(
        "group_unasked",
        "deduplicated",
        "attempt",
        lines(
            (
                RetryPolicy.may_repeat_on,
                "_is_in_scope(request_class.dedup_scope, attempt.engine, engine)",
                "True",
            )
        ),
    ),
    Mutant(
        "memory_unasked",
        "deduplicated",
        "repeat",
        lines(
            (
                retry_policy.has_window_left,
                "now_us < attempt.sent_us + window_us",
                "True",
            )
        ),
    ),
    Mutant(
        "memory_from_now",
        "deduplicated",
        "repeat",
        lines(
            (
                retry_policy.has_window_left,
                "now_us < attempt.sent_us + window_us",
                "now_us < request.attempts[-1].sent_us + window_us",
            )
        ),
    ),
    Mutant(
        "denied_outside_group",
        "deduplicated",
        "repeat",
        lines(
            (
                RetryPolicy.may_reject,
                'request_class.is_deduplicated and request_class.dedup_scope == "all"',
                "request_class.is_deduplicated",
            )
        ),
    ),
    Mutant(
        "no_margin_out",
        "by_hard_stop",
        "silent",
        lines(
            (
                PolicyController._send,
                "request.deadline_us - now_us - ATTEMPT_MARGIN_US",
                "request.deadline_us - now_us",
            )
        ),
    ),
    Mutant(
        "no_margin_held",
        "by_hard_stop",
        "budget",
        lines(
            (
                PolicyController.on_attempt_finished,
                "min(request.deadline_us - DEADLINE_MARGIN_US, latest_dispatch_us)",
                "min(request.deadline_us, latest_dispatch_us)",
            )
        ),
    ),
    Mutant(
        "sent_stays_held",
        "one_outstanding",
        "order",
        lines((PolicyController._try_send, "self.admission_queue.discard(request)", "pass")),
    ),
    Mutant(
        "ended_stays_held",
        "sound",
        "budget",
        lines((PolicyController._finish, "self.admission_queue.discard(request)", "pass")),
    ),
    Mutant(
        "sent_before_heard",
        "one_outstanding",
        "silent",
        lines(
            (
                Dispatcher.abandon,
                "in_flight.connection is None or in_flight.connection.abandon(in_flight)",
                "True",
            )
        ),
    ),
    Mutant(
        "late_result_answers",
        "one_answer",
        "attempt",
        lines(
            (
                ResponseHandler.finish_attempt,
                "if outcome is Outcome.SUCCEEDED and not is_request_finished:",
                "if outcome is Outcome.SUCCEEDED:",
            ),
            (
                RequestAccounting._answer,
                'self._counters.check(not context.is_answered, "a request is answered once")\n'
                "    if context.is_answered:",
                "if False:",
            ),
        ),
    ),
    Mutant(
        "left_is_relayed_again",
        "nothing_after",
        "attempt",
        lines(
            (
                ResponseHandler.finish_attempt,
                "is_request_finished = request.is_finished",
                "is_request_finished = False",
            ),
            (PolicyController.on_attempt_finished, "if is_final or request.is_finished:", "if is_final:"),
        ),
    ),
    Mutant(
        "answers_in_order",
        "own_name",
        "attempt",
        lines(
            (
                RequestAccounting._answer,
                "self.open_requests.get(request)",
                "next(iter(self.open_requests.values()), None)",
            )
        ),
    ),
    Mutant(
        "report_kept",
        "nothing_kept",
        "attempt",
        lines((ResponseHandler.finish_attempt, "self._reports.pop(attempt, None)", "pass")),
    ),
    Mutant(
        "call_kept",
        "nothing_kept",
        "attempt",
        lines((ResponseHandler.finish_attempt, "in_flight.timeout.cancel()", "pass")),
    ),
    Mutant(
        "errand_kept",
        "nothing_kept",
        "attempt",
        lines((ResponseHandler.finish_attempt, "self._accounting.release(request)", "pass")),
    ),
    Mutant(
        "threads_kept",
        "nothing_kept",
        "attempt",
        lines(
            (
                ConcurrencyLimit.finish_attempt,
                "self.running_threads -= attempt.request.request_class.threads",
                "pass",
            )
        ),
    ),
    Mutant(
        "checked_at_choice",
        "drained",
        "drain",
        lines(
            (
                PipelinePolicyPort.send_attempt,
                "self._router.route(attempt, self._accounting.open_requests, timeout_us)",
                "self._timers.call_after("
                "0, lambda _: self._router.route(attempt, self._accounting.open_requests, timeout_us))",
            )
        ),
    ),
    Mutant(
        "grace_used",
        "drained",
        "drain",
        lines(
            _AS_READY,
            (
                PolicyController._may_send,
                "engine.state is not _READY",
                "engine.state is EndpointState.REMOVED",
            ),
        ),
    ),
    Mutant(
        "omission_unheard",
        "gone",
        "drain",
        lines(
            (EngineRegistry.update, "if is_complete and engine not in listed:", "if False:"),
            (Router.apply_event, "self._pools.pop(removed).retire()", "self._pools[removed].retire()"),
        ),
    ),
    Mutant(
        "restart_forgets_out",
        "sound",
        "drain",
        lines((EngineRegistry._update_engine, "if engine.policy_state is not None:", "if False:")),
    ),
    Mutant(
        "left_keeps_budget",
        "further_budget",
        "budget",
        lines((RetryPolicy.on_client_cancelled, "self.accepted.add(request.arrived_us, -1)", "pass")),
    ),
    Mutant(
        "budget_rounded_up",
        "further_budget",
        "budget",
        lines(
            (
                RetryPolicy.has_budget,
                "self.accepted.lower_bound(now_us)",
                "self.accepted.upper_bound(now_us)",
            )
        ),
    ),
    Mutant(
        "budget_without_this",
        "further_budget",
        "budget",
        lines(
            (
                RetryPolicy.has_budget,
                "self.retries.upper_bound(now_us) + 1",
                "self.retries.upper_bound(now_us)",
            )
        ),
    ),
    Mutant(
        "further_uncounted",
        "further_budget",
        "budget",
        lines(
            (
                PolicyController._send,
                "self.retry_policy.on_retry(now_us)",
                "request_class.latency.dispatched.add(now_us)",
            )
        ),
    ),
    Mutant(
        "budget_unasked_held",
        "further_budget",
        "budget",
        lines(
            (
                PolicyController._try_send,
                "is_retry and not self._has_retry_budget(request, now_us)",
                "is_retry and not request.is_queued and not self._has_retry_budget(request, now_us)",
            )
        ),
    ),
    Mutant(
        "turn_given_up_early",
        "key_order",
        "order",
        lines(
            (
                OrderingKeyQueues.release,
                "request.is_finished and not request.current_attempt",
                "request.is_finished",
            )
        ),
    ),
    Mutant(
        "no_gap",
        "key_order",
        "order",
        lines(
            (
                OrderingKeyQueues.may_run,
                "now_us < self.blocked_until_us.get(request.ordering_key, 0)",
                "False",
            )
        ),
    ),
    Mutant(
        "gap_not_after_reset",
        "key_order",
        "order",
        lines(
            (
                PolicyController.on_attempt_finished,
                "if outcome in POSSIBLY_RUNNING:",
                "if outcome in POSSIBLY_RUNNING - {Outcome.CONNECTION_LOST}:",
            )
        ),
    ),
    Mutant(
        "gap_not_after_left",
        "key_order",
        "order",
        lines(
            (
                PolicyController.on_attempt_finished,
                "if outcome in POSSIBLY_RUNNING:",
                "if outcome in POSSIBLY_RUNNING - {Outcome.CANCELLED}:",
            )
        ),
    ),
    Mutant(
        "turn_unasked",
        "key_order",
        "order",
        lines((OrderingKeyQueues.may_run, "self.queues[request.ordering_key][0] is request", "True")),
    ),
    Mutant(
        "turn_kept",
        "nothing_kept",
        "order",
        lines((OrderingKeyQueues.release, "queue.remove(request)", "pass")),
    ),
)
