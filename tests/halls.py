"""Two gateways in two halls on a virtual clock: the real stages, modules and ends of the link, no sockets."""

from collections import deque

from cresstray.clock import Timers
from cresstray.engines import codec as resp
from cresstray.observability.counters import Counters
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
from cresstray.policy.types import EndpointState, Engine
from cresstray.sites.ends import Place
from cresstray.sites.flow_control import Credit, Share
from cresstray.sites.health import Health
from cresstray.sites.inbound import Inward
from cresstray.sites.outbound import Outward
from cresstray.sites.routing import AHEAD, Way

BEAT, SLOW, LEASE, HEAL = 100_000, 250_000, 1_500_000, 1_000_000
TARIFFS = {"lookup": "idempotent", "load": "deduplicated", "post": "at_most_once"}


class VirtualClock:
    """Unix time in microseconds, moved by hand; each hall's may be off by minutes."""

    def __init__(self, ahead: int = 0) -> None:
        self.at, self._ahead = 1_000_000_000_000, ahead

    def now(self) -> int:
        return self.at + self._ahead


class FakeLink:
    """All links to one engine: keeps what it is asked until the test has it answered."""

    def __init__(self, desk: "HallDesk", name: str) -> None:
        self.desk, self.name, self.address = desk, name, ("", 0)
        self.open: dict[str, object] = {}

    def start(self, exchange: object) -> None:
        exchange.connection, exchange.is_written = self, True
        self.open[exchange.name.decode()] = exchange
        self.desk.world.runs.append((exchange.name.decode(), self.name))
        self.desk.world.say(f"{self.name} runs {self.desk.world.names[exchange.name.decode()]}")

    def abandon(self, exchange: object) -> bool:
        self.open.pop(exchange.name.decode(), None)
        self.desk.world.say(f"{self.name} is told to quit {self.desk.world.names[exchange.name.decode()]}")
        return True

    def finish(self, exchange: object) -> None:
        self.open.pop(exchange.name.decode(), None)

    def send(self, message: bytes) -> None:
        """Pages come by the test's hand."""

    def answer(self, name: str, word: bytes = b"served", body: bytes = b"row\t1\t2\n") -> None:
        exchange = self.open[name]
        if word == b"overload":
            self.desk.world.unrun[name] = self.desk.world.unrun.get(name, 0) + 1
        exchange.listener.on_answer(exchange, resp.Answer(name.encode(), word, 1, 0, {}, body))

    def reset(self) -> None:
        for exchange in list(self.open.values()):
            del self.open[exchange.name.decode()]
            exchange.listener.on_connection_lost(exchange, False)


class Query:
    def __init__(self, name: str, request_class: str, patience: float) -> None:
        self.name, self.class_name, self.timeout_ms, self.tenant = name, request_class, patience, "acme"
        self.idempotency_key = name if TARIFFS[request_class] == "deduplicated" else ""
        self.estimated_work_ms, self.memory_mb, self.statement = 0.0, 0.0, b"select 1"


class Client:
    """One who asks at one hall, and the answers it gets."""

    def __init__(self, desk: "HallDesk") -> None:
        self._desk, self.open_requests, self.answers = desk, {}, {}

    def _told(self, number: int, how: str) -> None:
        context = self.open_requests.pop(number)
        name = self._desk.world.names[context.query.name]
        self.answers.setdefault(name, []).append(how)
        self._desk.world.say(f"{self._desk.hall} answers {name}: {how}")

    def succeed(self, number: int, result: bytes, at: str | None = None) -> None:
        self._told(number, f"fulfilled, {len(result)} bytes")

    def reject(self, number: int, come_back: int) -> None:
        self._told(number, "denied")

    def fail(self, number: int) -> None:
        self._told(number, "abandoned")

    def has_disconnected(self) -> bool:
        return False

    def reject_malformed(self, number: int | None, text: str) -> None:
        self._desk.world.say(f"{self._desk.hall} rejects {text}")


class HallDesk:
    """One gateway, its stages put together as service.py does, with engines that the test answers for."""

    def __init__(self, world: "TwoHalls", hall: str, engines: int, clock: VirtualClock, given: dict) -> None:
        self.world, self.hall, self.clock = world, hall, clock
        self.timers, self.counters = Timers(clock), Counters()
        self.book = RequestAccounting(self.counters)
        self.back = ResponseHandler(clock, self.counters, self.book)
        self.send = Dispatcher(clock, self.timers, self.counters, self.back)
        self.route = Router(None, self.send)
        self.across = self.route.forwarder = Forwarder(
            clock, self.timers, self.counters, self.back, self.send
        )
        log = type("NoLog", (), {"log": lambda self, kind, text: None})()
        port = PipelinePolicyPort(self.route, self.send, self.book, self.timers, self.counters, log)
        self.gateway = PolicyController(port, parse_settings(given), 7, clock.now())
        admit = Admission(self.book)
        self.back.controller = admit.controller = self.gateway
        self.share = admit.forwarding_quota = Share(1.0)
        self.take_in = Ingress(given, self.gateway.request_classes, clock, admit)
        self.engines, self.links = [Engine() for _ in range(engines)], []
        for number, engine in enumerate(self.engines):
            self.links.append(FakeLink(self, f"{hall} engine {number}"))
            self.route._pools[engine] = self.links[-1]
        self.list()
        self.client, self._number = Client(self), 0

    def list(self, *standings: EndpointState) -> None:
        told = dict(zip(self.engines, standings))
        self.gateway.on_endpoints_updated(
            [(engine, (0, 0, 0, 0, told.get(engine, EndpointState.READY))) for engine in self.engines],
            True,
            self.clock.now(),
        )

    def ask(self, label: str, request_class: str, patience: float = 8000) -> None:
        self._number += 1
        name = f"{len(self.world.names) + 1:016x}"
        self.world.names[name] = label
        self.world.say(f"{self.hall} is asked {label}, a {request_class}")
        self.take_in.accept(self.client, self._number, Query(name, request_class, patience))

    def withdraw(self, label: str) -> None:
        number = next(
            number
            for number, context in self.client.open_requests.items()
            if self.world.names[context.query.name] == label
        )
        self.world.say(f"the client withdraws {label}")
        self.take_in.cancel(self.client, number, None)


class TwoHalls:
    """hall-a has no engine unless told so, hall-b has; the link goes from a to b, with a delay each way."""

    def __init__(
        self,
        near_engines: int = 0,
        far_engines: int = 1,
        cores: int = 4,
        delay: int = 5_000,
        trace: bool = True,
        skew: int = 240_000_000,
        **limits: object,
    ) -> None:
        self.lines: list[str] = []
        self.names: dict[str, str] = {}
        self.runs: list[tuple[str, str]] = []
        self.unrun: dict[str, int] = {}  # runs that an engine refused as full
        self._trace, self.delay, self.up = trace, delay, False
        self.swallow: set[str] = set()  # "there" and "back": what does not come through
        self.there: deque[tuple[int, bytes]] = deque()
        self.back: deque[tuple[int, bytes]] = deque()
        given = {
            "Balancers": 1,
            "FamilyInfo": {"CpuOfKind": [cores]},
            "Tenants": [{"Name": "acme"}],
            "Limits": {"MaxAttempts": 3, "Cancel": True} | limits,
            "CrossingAhead": AHEAD / 1000,
            "Services": [
                {
                    "Name": name,
                    "Effect": effect,
                    "GoalTime": 4000,
                    "GiveUp": 60000,
                    "Worth": 1,
                    "Group": "all",
                    "KeyTtl": 20000,
                    "LateValue": 0.5,
                }
                for name, effect in TARIFFS.items()
            ],
        }
        clocks = VirtualClock(), VirtualClock(skew)
        self.clocks, self._start = clocks, clocks[0].at
        self.a = HallDesk(self, "hall-a", near_engines, clocks[0], given)
        self.b = HallDesk(self, "hall-b", far_engines, clocks[1], given)
        self._given, self._life, self.broken = given, 0, None
        health = Health(BEAT, SLOW, LEASE, HEAL)
        self.outward = Outward(
            Place("hall-a", "ga", "a1"),
            "hall-b",
            Way("far", health, Credit(16, 1 << 20), self.a.share),
            self.a.across,
            self.a.counters,
            lambda text: self.say(f"hall-a says {text}"),
            clocks[0].now,
            lambda: None,
        )
        self.a.across.add(self.outward)
        self.restart_far(first=True)

    def say(self, text: str) -> None:
        if self._trace:
            self.lines.append(f"{(self.clocks[0].at - self._start) / 1000:7.0f} ms  {text}")

    def restart_far(self, first: bool = False) -> None:
        """The far gateway is killed, if it is not the first, and a new life of it knows nothing."""
        if not first:
            for link in self.b.links:
                for exchange in list(link.open.values()):
                    link.abandon(exchange)
            self.b = HallDesk(self, "hall-b", len(self.b.engines), self.clocks[1], self._given)
        self._life += 1
        self.inward = Inward(
            Place("hall-b", "gb", f"b{self._life}"),
            Place("hall-a", "ga", "a1"),
            Health(BEAT, SLOW, LEASE, HEAL),
            16,
            1 << 20,
            self.b.take_in,
            lambda: self.b.gateway.spare_capacity(self.clocks[1].now()),
            lambda: 0,
            self.clocks[1].now,
            lambda: None,
            self.b.timers.call_after,
            self.b.counters,
            lambda text: self.say(f"hall-b says {text}"),
        )
        self._frames = None

    # The link.

    def connect(self) -> None:
        from cresstray.sites import codec

        self.there.clear()
        self.back.clear()
        self._frames, self.up, self._greeted = codec.Frames(), True, False
        self.outward.connected(lambda data, _: self._carry(self.there, data))

    def cut(self) -> None:
        """What is on its way is lost with the connection."""
        self.say("the link is cut")
        self.up = False
        self.there.clear()
        self.back.clear()
        self.outward.disconnected(self.clocks[0].now())
        self.inward.disconnected()

    def _carry(self, queue: deque, data: bytes) -> None:
        if self.up:
            queue.append((self.clocks[0].at + self.delay, data))

    def _deliver(self) -> None:
        from cresstray.sites.codec import FramingError

        at = self.clocks[0].at
        try:
            # What does not come through while the connection lives comes later, as TCP has it.
            while self.up and self.there and self.there[0][0] <= at and "there" not in self.swallow:
                for frame in self._frames.feed(self.there.popleft()[1]):
                    if self._greeted:
                        self.inward.receive(frame)
                    else:
                        self._greeted = True
                        self.inward.welcome(frame, lambda data, _: self._carry(self.back, data))
            while self.up and self.back and self.back[0][0] <= at and "back" not in self.swallow:
                self.outward.receive(self.back.popleft()[1], self.clocks[0].now())
        except FramingError as trouble:
            self.broken = str(trouble)
            self.say(f"the link is dropped: {trouble}")
            self.cut()

    def run(self, milliseconds: float, step: int = 1000) -> None:
        """Time passes in steps of a millisecond; both ends tick each ten."""
        for _ in range(int(milliseconds * 1000) // step):
            for clock in self.clocks:
                clock.at += step
            for _ in range(3):  # what one does may be due for the other at once
                self._deliver()
                self.a.timers.run_due()
                self.b.timers.run_due()
            if self.clocks[0].at // 1000 % 10 == 0:
                if not self.outward.tick(self.clocks[0].now()) and self.up:
                    self.say("hall-a finds the link dead")
                    self.cut()
                self.inward.tick(self.clocks[1].now())

    def ready(self) -> None:
        """Connected, and long enough up for what crosses not to be bounded by the link's trial."""
        self.connect()
        self.run(1500)

    def fresh(self) -> None:
        """A beat and its answer, so that the far hall's room is known as of now."""
        self.outward._send_beat(self.clocks[0].now())
        self.run(2 * self.delay / 1000 + 2)

    def crossing(self, label: str) -> object:
        return next(one for one in self.outward.ledger.open.values() if self.names[one.name] == label)

    def name(self, label: str) -> str:
        return next(name for name, known in self.names.items() if known == label)

    def answers(self) -> dict[str, list[str]]:
        return self.a.client.answers
