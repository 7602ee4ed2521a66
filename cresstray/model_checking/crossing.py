"""Two gateways with an engine each, the link between them, and submissions that may cross.

Modules, stages, both ends of the link, ledgers, credit and health are the real ones; the network carries
their frames one by one and may fall silent, be cut at every boundary between two, and heal; the far gateway
may start anew. The near engine drains at first, so that what comes crosses, and is back at any moment. The
worlds: `halls`, of two submissions; `resumed`, of one; `leases`, of one and more faults.
"""

from __future__ import annotations

import copyreg
from collections.abc import Callable
from functools import cache
from sys import intern
from typing import Any, NamedTuple

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
from cresstray.pipeline.forwarding import Forwarder
from cresstray.pipeline.ingress import Ingress
from cresstray.pipeline.policy_port import PipelinePolicyPort
from cresstray.pipeline.response import ResponseHandler
from cresstray.pipeline.routing import Router
from cresstray.policy.controller import PolicyController
from cresstray.policy.settings import parse_settings
from cresstray.policy.site_forwarding import SiteForwarding
from cresstray.policy.types import EndpointState, Engine
from cresstray.sites import codec, ledger
from cresstray.sites.codec import FramingError
from cresstray.sites.ends import GatewayIdentity
from cresstray.sites.flow_control import ForwardingQuota, LinkCredit
from cresstray.sites.health import LinkHealth
from cresstray.sites.inbound import InboundLink
from cresstray.sites.outbound import OutboundLink
from cresstray.sites.routing import RETRY_SEND_WINDOW_US, SiteRoute

# Clocks of two halls are never compared: the far one is four minutes ahead.
START, AHEAD_BY = 1_000_000_000_000, 240_000_000
MILLI = 1_000
# Leases of some ticks, so that they end within a submission's time; ticks where the modules sweep.
_TICK, _BEAT, _SLOW, _LEASE, _HEAL = 100 * MILLI, 200 * MILLI, 250 * MILLI, 500 * MILLI, 100 * MILLI


class Asked(NamedTuple):
    name: str
    tariff: str
    patience: int  # milliseconds


# One that may not run again, and one that engines know again.
ASKED = Asked("a", "post", 1200), Asked("b", "put", 1600)
_EFFECTS = {"post": "at_most_once", "put": "deduplicated"}


class Given(dict):
    """Settings, the same in all states: a copy holds no more than where they are."""

    part: str

    def __reduce__(self) -> tuple:
        return _given, (self.part,)


@cache
def _given(part: str) -> Given:
    made = {
        "FamilyInfo": {"CpuOfKind": [4]},
        "Safety": {},
        "Limits": {"MaxAttempts": 3, "Cancel": True},
        "Services": [
            {
                "Name": name,
                "Effect": effect,
                "GoalTime": 400,
                "GiveUp": 5000,
                "Worth": 1,
                "Group": "all",
                "KeyTtl": 20_000,
                "LateValue": 0.5,
            }
            for name, effect in _EFFECTS.items()
        ],
    }
    parts = ("FamilyInfo", "Safety", "Limits")
    found = Given(
        made[part]
        if part in parts
        else {
            "Balancers": 1,
            "CrossingAhead": RETRY_SEND_WINDOW_US / 1000,
            "Services": made["Services"],
            **{one: _given(one) for one in parts},
        }
    )
    found.part = part
    return found


def _frames(left: bytes) -> codec.FrameDecoder:
    made = codec.FrameDecoder()
    made._buffer += left
    return made


# What reads frames can't be written down, and all of it but what is left of a frame is the same everywhere.
copyreg.pickle(codec.FrameDecoder, lambda frames: (_frames, (bytes(frames._buffer),)))


def _nothing(*_: object) -> None:
    """What is said for operators, and wakes what ticks here by itself."""


class Query:
    def __init__(self, asked: Asked) -> None:
        self.name, self.class_name, self.timeout_ms = asked.name * 16, asked.tariff, asked.patience
        self.tenant, self.idempotency_key, self.statement = "", asked.name, b"select 1"
        self.estimated_work_ms = self.memory_mb = 0.0


class Account:
    """What the world knows of one submission by what went over its seams."""

    __slots__ = ("asked", "stop", "over", "crossed", "out", "may_have_run")

    def __init__(self, asked: Asked) -> None:
        self.asked = asked
        self.stop = 0
        self.over = ""  # how it was answered, or "left"
        self.crossed = 0  # offers
        self.out: list[str] = []  # halls whose engine has it
        self.may_have_run = False


class Asker:
    """The clients, all at the near hall."""

    def __init__(self, world: Halls) -> None:
        self._world = world
        self.open_requests: dict[int, object] = {}

    def _told(self, number: int, how: str) -> Account:
        del self.open_requests[number]
        account = self._world.accounts[number - 1]
        self._world.answered(account, how)
        return account

    def succeed(self, number: int, result: bytes, at: str | None = None) -> None:
        account = self._told(number, "fulfilled")
        if result != _row(account.asked.name):
            self._world.breaks("own_name", f"{account.asked.name} is answered with {result!r}")

    def reject(self, number: int, come_back: int) -> None:
        account = self._told(number, "denied")
        if account.may_have_run and account.asked.tariff == "post":
            self._world.breaks("unrepeatable", f"{account.asked.name} may have run and is denied")

    def fail(self, number: int) -> None:
        self._told(number, "abandoned")

    def has_left(self, number: int) -> bool:
        return False  # it stays to the end, or leaves by a withdrawal

    def reject_malformed(self, number: int | None, text: str) -> None:
        self._world.breaks("sound", f"a good request is rejected: {text}")


class Links:
    """All links to the engine of one hall, as the stages see them."""

    address = ("", 0)

    def __init__(self, world: Halls, hall: str) -> None:
        self._world, self.hall = world, hall
        self.open: dict[bytes, InFlightRequest] = {}

    def start(self, exchange: InFlightRequest) -> None:
        exchange.connection, exchange.message, exchange.is_written = self, b"", True
        self._world.runs(self.hall, chr(exchange.name[0]))
        self.open[exchange.name] = exchange

    def send(self, message: bytes) -> None:
        """Further pages are asked for."""

    def finish(self, exchange: InFlightRequest) -> None:
        del self.open[exchange.name]

    def abandon(self, exchange: InFlightRequest) -> bool:
        del self.open[exchange.name]
        self._world.ends(self.hall, chr(exchange.name[0]))
        return True


class Hall:
    """One gateway, its stages put together as service.py does."""

    def __init__(self, world: Halls, name: str, clock: VirtualClock, ready: bool) -> None:
        self.name, self.clock = name, clock
        self.timers, counters = VirtualTimers(clock), Uncounted()
        self.counters = counters
        self.book = RequestAccounting(counters)
        self.back = ResponseHandler(clock, counters, self.book)
        send = Dispatcher(clock, self.timers, counters, self.back)
        self.route = Router(None, send)
        self.across = self.route.forwarder = Forwarder(clock, self.timers, counters, self.back, send)
        port = PipelinePolicyPort(self.route, send, self.book, self.timers, counters, NoLog())
        given = _given("")
        self.gateway = PolicyController(port, parse_settings(given), 0, clock.now())
        self.gateway.random = fixed
        admit = Admission(self.book)
        self.back.controller = admit.controller = self.gateway
        self.share = admit.forwarding_quota = ForwardingQuota(1.0)
        self.take_in = Ingress(given, self.gateway.request_classes, clock, admit)
        self.engine, self.links = Engine(), Links(world, name)
        self.route._pools[self.engine] = self.links
        self.listed(ready)

    def listed(self, ready: bool) -> None:
        standing = EndpointState.READY if ready else EndpointState.DRAINING
        self.gateway.on_endpoints_updated([(self.engine, (0, 0, 0, 0, standing))], True, self.clock.now())

    def room(self) -> tuple[float, float, float]:
        return self.gateway.spare_capacity(self.clock.now())

    def is_due(self) -> bool:
        return bool(self.timers.line) and self.timers.line[0].due_us <= self.clock.at


def _open() -> int:
    """For how long nothing is taken."""
    return 0


class Halls(Copied):
    """`names`: what is asked; `faults`, `leaves` unless the bounds say so."""

    def __init__(self, bounds: Bounds, names: str, faults: int, leaves: int) -> None:
        self.broken: list[str] = []
        asked = [one for one in ASKED if one.name in names]
        self.accounts = [Account(one) for one in asked[: bounds.submissions]]
        self.faults = self.leaves = 0
        near, far = VirtualClock(START), VirtualClock(START + AHEAD_BY)
        self.near, self.far = Hall(self, "near", near, False), Hall(self, "far", far, True)
        self.asker, self.life, self.back_again = Asker(self), 1, False
        route = SiteRoute(
            "far", LinkHealth(_BEAT, _SLOW, _LEASE, _HEAL), LinkCredit(16, 1 << 20), self.near.share
        )
        self.outward = OutboundLink(
            GatewayIdentity("hall-a", "ga", "a1"),
            "hall-b",
            route,
            self.near.across,
            self.near.counters,
            _nothing,
            near.now,
            _nothing,
        )
        self.near.across.add(self.outward)
        self.inward = self._inward()
        self.link, self.greeted = "down", False  # "up", "silent"
        self.there: list[bytes] = []  # frames in the network
        self.back: list[bytes] = []
        self.frames = codec.FrameDecoder()
        # Up, and of late heard, before the first choice.
        self._connect()
        for _ in range(5):
            while self.there or self.back:
                self._arrives("back" if self.back else "there")
            self._pass_time()
        self.outward._send_heartbeat(near.now())
        while self.there or self.back:
            self._arrives("back" if self.back else "there")
        self.faults = faults if bounds.faults is None else bounds.faults
        self.leaves = leaves if bounds.leaves is None else bounds.leaves
        self.delays = 1  # times that the clock goes on over frames that are on their way
        self.began = near.at

    def _inward(self) -> InboundLink:
        far = self.far
        return InboundLink(
            GatewayIdentity("hall-b", "gb", f"b{self.life}", can_fence=True),
            GatewayIdentity("hall-a", "ga", "a1"),
            LinkHealth(_BEAT, _SLOW, _LEASE, _HEAL),
            16,
            1 << 20,
            far.take_in,
            far.room,
            _open,
            far.clock.now,
            _nothing,
            far.timers.call_after,
            far.counters,
            _nothing,
        )

    def breaks(self, name: str, seen: str) -> None:
        self.broken.append(f"{name}: {seen}")

    # What goes over the seams.

    def _account(self, name: str) -> Account:
        return next(one for one in self.accounts if one.asked.name == name)

    def answered(self, account: Account, how: str) -> None:
        name, now = account.asked.name, self.near.clock.at
        if account.over:
            self.breaks("one_answer", f"{name} is {how} after it was {account.over}")
        if now > account.stop:
            self.breaks("by_hard_stop", f"{name} is answered {(now - account.stop) // MILLI} ms late")
        account.over = how

    def runs(self, hall: str, name: str) -> None:
        account = self._account(name)
        if account.over and hall == "near":
            self.breaks("nothing_after", f"{name} is sent after it was {account.over}")
        if account.out:
            self.breaks(
                "one_outstanding",
                f"{name} is sent to the {hall} engine while the {account.out[0]} one has it",
            )
        if account.may_have_run and account.asked.tariff == "post":
            self.breaks("unrepeatable", f"{name} may have run and is sent to the {hall} engine")
        account.out.append(hall)
        account.may_have_run = True

    def ends(self, hall: str, name: str) -> None:
        account = self._account(name)
        if hall in account.out:
            account.out.remove(hall)

    def _put_there(self, data: bytes, at_once: bool) -> None:
        for frame in codec.FrameDecoder().feed(data):
            if isinstance(frame, codec.ForwardRequest):
                account = self._account(frame.name[0])
                account.crossed += 1
                if account.crossed > 1:
                    self.breaks("one_crossing", f"{account.asked.name} is offered again")
        if self.link != "down":
            self.there.append(data)

    def _put_back(self, data: bytes, at_once: bool) -> None:
        if self.link != "down":
            self.back.append(data)

    # Choices.

    def choices(self) -> list[str]:
        early = self.near.clock.at < self.began + _TICK
        over = all(account.over or not (account.stop or early) for account in self.accounts)
        frames = ["there arrives"] * bool(self.there) + ["back arrives"] * bool(self.back)
        if over and self.quiet():
            # Only what is still on its way, or comes when the link heals, is left to come.
            return {"up": frames, "down": ["link heals"], "silent": ["link goes on"]}[self.link]
        found: list[str] = []
        for account in self.accounts:
            name = account.asked.name
            if not account.stop and early:
                found.append(f"{name} asks")
            elif self.leaves and account.stop and not account.over:
                found.append(f"{name} leaves")
        for hall in (self.near, self.far):
            for exchange in hall.links.open.values():
                name = chr(exchange.name[0])
                found.append(f"{hall.name} serves {name}")
                if self.faults:
                    found += [f"{hall.name} {how} {name}" for how in ("refuses", "fails", "cuts")]
        if not over and not self.back_again:
            found.append("near returns")
        due = [hall.name for hall in (self.near, self.far) if hall.is_due()]
        found += [f"{name} due" for name in due]
        moving = self.link == "up" and bool(frames)
        if self.link == "up":
            found += frames
        if self.link == "down":
            found.append("link heals")
        elif self.faults:
            found.append("link is cut")
            if self.link == "up":
                found.append("link falls silent")
        if self.link == "silent":
            found.append("link goes on")
        if self.faults and self.life < 2 and any(account.crossed for account in self.accounts):
            found.append("far restarts")
        if not due and (not moving or self.delays):
            found.append("clock")
        return found

    # Steps.

    def do(self, choice: str) -> None:
        """One step. What leaves the code as an exception is a breach as well."""
        try:
            self._do(*choice.split(" "))
        except Exception as trouble:
            self.breaks("sound", f"{type(trouble).__name__} {trouble}".rstrip())
        self._tidy()
        if not self.broken:
            self._mind_always()
            if self.quiet():
                self._mind_rest()

    def _do(self, who: str, verb: str = "", *what: str) -> None:
        if verb == "asks":
            account = self._account(who)
            account.stop = self.near.clock.at + account.asked.patience * MILLI
            self.near.take_in.accept(self.asker, self.accounts.index(account) + 1, Query(account.asked))
        elif verb == "leaves":
            self.leaves -= 1
            account = self._account(who)
            account.over = "left"
            self.near.take_in.cancel(self.asker, self.accounts.index(account) + 1, None)
        elif verb == "arrives":
            self._arrives(who)
        elif verb == "due":
            (self.near if who == "near" else self.far).timers.run_due()
        elif verb == "returns":
            self.back_again = True
            self.near.listed(True)
        elif verb == "restarts":
            self.faults -= 1
            self._restart()
        elif who == "clock":
            if self.link == "up" and (self.there or self.back):
                self.delays -= 1
            self._pass_time()
        elif who == "link":
            self._link(verb, *what)
        else:
            self._engine(self.near if who == "near" else self.far, verb, what[0])

    def _link(self, verb: str, *what: str) -> None:
        if verb == "heals":
            self._connect()
        elif verb == "goes":
            self.link = "up"
        else:
            self.faults -= 1
            if verb == "falls":
                self.link = "silent"
            else:
                self._cut()

    def _connect(self) -> None:
        self.link, self.greeted, self.frames = "up", False, codec.FrameDecoder()
        self.outward.on_connected(self._put_there)

    def _cut(self) -> None:
        """What is on its way is lost; both ends see it."""
        self.link = "down"
        self.there.clear()
        self.back.clear()
        self.outward.on_disconnected(self.near.clock.at)
        self.inward.on_disconnected()

    def _arrives(self, way: str) -> None:
        try:
            if way == "back":
                self.outward.receive(self.back.pop(0), self.near.clock.at)
                return
            for frame in self.frames.feed(self.there.pop(0)):
                if self.greeted:
                    self.inward.receive(frame)
                else:
                    self.greeted = True
                    self.inward.on_connected(frame, self._put_back)
        except FramingError as trouble:
            # Both ends are ours: neither may say what the other can't take.
            self.breaks("sound", f"the link is dropped: {trouble}")

    def _restart(self) -> None:
        """The far gateway is killed; a new life of it knows nothing, and its engine ends what it had."""
        if self.link != "down":
            self._cut()
        for exchange in self.far.links.open.values():
            self.ends("far", chr(exchange.name[0]))
        self.life += 1
        self.far = Hall(self, "far", self.far.clock, True)
        self.inward = self._inward()

    def _engine(self, hall: Hall, verb: str, name: str) -> None:
        exchange = hall.links.open[name.encode() * 16]
        self.ends(hall.name, name)
        self.faults -= verb != "serves"
        if verb == "cuts":
            del hall.links.open[exchange.name]
            exchange.listener.on_connection_lost(exchange, False)
            return
        if verb == "refuses":
            self._account(name).may_have_run = False
        word = {"serves": b"served", "refuses": b"overload", "fails": b"crashed"}[verb]
        exchange.listener.on_answer(exchange, Answer(exchange.name, word, 1, 0, {}, _row(name)))

    def _pass_time(self) -> None:
        """To the next tick or call, whichever comes first; ticks are made at once."""
        near, far = self.near, self.far
        step = _TICK - near.clock.at % _TICK
        for hall in (near, far):
            if hall.timers.line:
                step = min(step, max(0, hall.timers.line[0].due_us - hall.clock.at))
        near.clock.at += step
        far.clock.at += step
        for account in self.accounts:
            if account.stop and not account.over and near.clock.at > account.stop:
                self.breaks("by_hard_stop", f"{account.asked.name} is not answered by its hard stop")
        near.timers.run_due()
        far.timers.run_due()
        if near.clock.at % _TICK == 0:
            lives = self.outward.tick(near.clock.at)
            if not (self.inward.tick(far.clock.at) and lives) and self.link != "down":
                self._cut()
            # In service a tick is a call of the timers: what it has due at once comes before all else.
            near.timers.run_due()
            far.timers.run_due()

    # States.

    def _tidy(self) -> None:
        """What is remembered and no longer has a future is dropped, so that states are the same that are."""
        for hall in (self.near, self.far):
            hall.take_in.names.clear()
            hall.book._memory.peak_bytes = 0
            for context in hall.book.open_requests.values():
                # How decoders share what they read is no part of a state.
                query = context.query
                query.class_name, query.tenant, query.idempotency_key = map(
                    intern, (query.class_name, query.tenant, query.idempotency_key)
                )
        for entry in self.inward.ledger.open.values():
            entry.reason = intern(entry.reason)
        for account in self.accounts:
            if account.over and not account.out:
                account.stop = 1

    def __setstate__(self, state: dict[str, Any]) -> None:
        super().__setstate__(state)
        self.link = intern(self.link)
        for account in self.accounts:
            account.asked = Asked(*(intern(one) if type(one) is str else one for one in account.asked))
            account.over, account.out = intern(account.over), list(map(intern, account.out))
        for hall in (self.near, self.far):
            hall.name = hall.links.hall = intern(hall.name)
        self._tidy()

    def _mind_always(self) -> None:
        credit, near, far = self.outward.route.credit, self.outward.ledger, self.inward.ledger
        sizes = [one.attempt.request.size_bytes for one in near.open.values()]
        if (credit.used_requests, credit.used_bytes) != (len(sizes), sum(sizes)):
            self.breaks(
                "credit",
                f"{credit.used_requests} and {credit.used_bytes} bytes are held for {len(sizes)} "
                f"crossings of {sum(sizes)} bytes",
            )
        if credit.used_requests < 0 or credit.used_requests > credit.max_requests:
            self.breaks("credit", f"{credit.used_requests} are held of {credit.max_requests}")
        if far.size_bytes != sum(entry.size_bytes for entry in far.open.values()):
            self.breaks("credit", f"{far.size_bytes} bytes are counted in the far hall")

    def quiet(self) -> bool:
        return (
            all(account.over or not account.stop for account in self.accounts)
            and not any(account.out for account in self.accounts)
            and not self.near.back.in_flight
            and not self.far.back.in_flight
            and not self.near.is_due()
            and not self.far.is_due()
        )

    def _mind_rest(self) -> None:
        route, near, far = self.outward.route, self.near, self.far
        kept: dict[str, Any] = {"owed": len(self.asker.open_requests)}
        for hall in (near, far):
            gateway = hall.gateway
            kept |= {
                f"open in the {hall.name} hall": len(hall.book.open_requests),
                f"held in the {hall.name} hall": len(
                    gateway.admission_queue.first_attempts + gateway.admission_queue.retries
                ),
                f"threads in the {hall.name} hall": hall.engine.policy_state.limit.running_threads
                + gateway.fleet.running_threads,
                f"calls to come in the {hall.name} hall": len(hall.timers.line) - 1,
            }
        if self.link == "up" and self.outward.is_established and not (self.there or self.back):
            left = set(self.inward.ledger.open) - set(self.outward._unsent_releases)
            kept |= {
                "far entries that nobody forgets": len(left),
                "far errands": len(self.inward.open_requests),
                "under way": route.open_count,
                "threads under way": route.used_threads,
                "crossings": len(self.outward.ledger.open),
            }
        for name, count in kept.items():
            if count:
                self.breaks("nothing_kept", f"{count} {name}")

    def moment(self) -> float:
        """Milliseconds since the first choice, by the near hall's clock."""
        return (self.near.clock.at - self.began) / MILLI


def _row(name: str) -> bytes:
    return f"{name}\t\t\n".encode()


CONFIGURATIONS: dict[str, Callable[[Bounds], Halls]] = {
    "halls": lambda bounds: Halls(bounds, "ab", 1, 1),
    "resumed": lambda bounds: Halls(bounds, "b", 1, 0),
    "leases": lambda bounds: Halls(bounds, "b", 2, 0),
}

MUTANTS: tuple[Mutant, ...] = (
    Mutant(
        "trusts_an_old_life",
        "unrepeatable",
        "halls",
        lines(
            (
                OutboundLink._on_welcome,
                "frame.resumed and frame.incarnation == self._known_incarnation",
                "frame.resumed",
            ),
            (
                InboundLink.on_connected,
                "self._was_connected and hello.known_incarnation == self._identity.incarnation",
                "True",
            ),
        ),
    ),
    Mutant(
        "credit_given_back_twice",
        "credit",
        "halls",
        lines(
            (
                LinkCredit.release,
                "self.used_requests -= 1",
                "self.used_requests = max(0, self.used_requests - 2)",
            )
        ),
    ),
    Mutant(
        "relayed_before_the_lease_is_over",
        "one_outstanding",
        "resumed",
        lines(
            (
                LinkHealth.remote_lease_end_us,
                "self.received_us + self.lease_us + self.lease_us // 20 + 100_000",
                "self.received_us",
            )
        ),
    ),
    Mutant(
        "lease_that_nobody_ends",
        "one_outstanding",
        "resumed",
        lines(
            (
                InboundLink.tick,
                "has_lease_expired = self._health.has_lease_expired(now_us)",
                "has_lease_expired = False",
            )
        ),
    ),
    Mutant(
        "lease_renewed_by_a_welcome",
        "one_outstanding",
        "leases",
        lines(
            (
                LinkHealth.on_connected,
                "self._acknowledged, self._connected_us = 0, now_us",
                "self._acknowledged, self._connected_us, self.acknowledged_sent_us = 0, now_us, now_us",
            )
        ),
    ),
    Mutant(
        "crosses_again",
        "one_crossing",
        "halls",
        lines(
            (
                SiteForwarding.may_forward,
                "request.was_forwarded or request.is_forwarded_in",
                "request.is_forwarded_in",
            )
        ),
    ),
    Mutant(
        "an_error_is_told_as_not_run",
        "unrepeatable",
        "halls",
        lines((InboundLink.on_attempt_finished, "outcome not in NOT_EXECUTED", "False")),
    ),
    Mutant(
        "what_was_fenced_is_kept",
        "nothing_kept",
        "resumed",
        lines((OutboundLink._on_welcome, "self._release(forwarded.number)", "pass")),
    ),
    Mutant(
        "a_cut_that_was_not_marked",
        "unrepeatable",
        "halls",
        lines(
            (
                ledger.OutboundLedger.reconcile,
                "settled.append((forwarded, ForwardingResult.UNKNOWN))",
                "settled.append((forwarded, ForwardingResult.NOT_EXECUTED))",
            )
        ),
    ),
    Mutant(
        "a_threads_share_is_kept",
        "nothing_kept",
        "halls",
        lines((SiteRoute.release, "self.open_count -= 1", "pass")),
    ),
)
