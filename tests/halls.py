"""Two gateways at two sites on a virtual clock: the real pipeline, policy and link, without sockets."""

from collections import deque

from cresstray.clock import Timers
from cresstray.engines import codec as engine_codec
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
from cresstray.sites.ends import GatewayIdentity
from cresstray.sites.flow_control import ForwardingQuota, LinkCredit
from cresstray.sites.health import LinkHealth
from cresstray.sites.inbound import InboundLink
from cresstray.sites.outbound import OutboundLink
from cresstray.sites.routing import RETRY_SEND_WINDOW_US, SiteRoute

HEARTBEAT_US, SLOW_US, LEASE_US, RECOVERY_US = 100_000, 250_000, 1_500_000, 1_000_000
# The effect of each request class.
EFFECTS = {"lookup": "idempotent", "load": "deduplicated", "post": "at_most_once"}


class VirtualClock:
    """Unix time in microseconds, advanced by the test; the clocks of two sites may differ by minutes."""

    def __init__(self, offset_us: int = 0) -> None:
        self.time_us, self._offset_us = 1_000_000_000_000, offset_us

    def now(self) -> int:
        return self.time_us + self._offset_us


class FakeEngine:
    """One engine with its connections: keeps each request until the test answers it.

    `connect_us`: how long a new connection takes to come up; each request takes a new one.
    """

    def __init__(self, gateway: "SiteGateway", name: str) -> None:
        self.gateway, self.name, self.address = gateway, name, ("", 0)
        self.connect_us = 0
        self.open: dict[str, object] = {}
        self._connecting: list[object] = []

    def start(self, in_flight: object) -> None:
        in_flight.connection = self
        if not self.connect_us:
            self._write(in_flight)
            return
        self._connecting.append(in_flight)
        self.gateway.timers.call_after(self.connect_us, lambda _: self._on_connected(in_flight))

    def _on_connected(self, in_flight: object) -> None:
        if in_flight not in self._connecting:
            return
        self._connecting.remove(in_flight)
        if in_flight.listener.may_send(in_flight):
            self._write(in_flight)
        else:
            in_flight.listener.on_unsent(in_flight)

    def _write(self, in_flight: object) -> None:
        in_flight.is_written = True
        self.open[in_flight.name.decode()] = in_flight
        world = self.gateway.world
        world.runs.append((in_flight.name.decode(), self.name))
        world.run_started_us[in_flight.name.decode()] = world.clocks[0].time_us
        world.say(f"{self.name} runs {world.names[in_flight.name.decode()]}")

    def abandon(self, in_flight: object) -> bool:
        if in_flight in self._connecting:
            self._connecting.remove(in_flight)
            return True
        self.open.pop(in_flight.name.decode(), None)
        self.gateway.world.say(
            f"{self.name} is told to quit {self.gateway.world.names[in_flight.name.decode()]}"
        )
        return True

    def finish(self, in_flight: object) -> None:
        self.open.pop(in_flight.name.decode(), None)

    def send(self, message: bytes) -> None:
        """Requests for further pages are ignored: the test answers with whole results."""

    def answer(self, name: str, kind: bytes = b"served", body: bytes = b"row\t1\t2\n") -> None:
        in_flight = self.open[name]
        if kind == b"overload":
            self.gateway.world.rejected_runs[name] = self.gateway.world.rejected_runs.get(name, 0) + 1
        in_flight.listener.on_answer(in_flight, engine_codec.Answer(name.encode(), kind, 1, 0, {}, body))

    def reset(self) -> None:
        for in_flight in list(self.open.values()):
            del self.open[in_flight.name.decode()]
            in_flight.listener.on_connection_lost(in_flight, False)


class Query:
    """A request as a client's message has it."""

    def __init__(self, name: str, request_class: str, timeout_ms: float, statement: bytes) -> None:
        self.name, self.class_name, self.timeout_ms, self.tenant = name, request_class, timeout_ms, "acme"
        self.idempotency_key = name if EFFECTS[request_class] == "deduplicated" else ""
        self.estimated_work_ms, self.memory_mb, self.statement = 0.0, 0.0, statement


class Client:
    """A client of one site, which records its answers by the label of the request."""

    def __init__(self, gateway: "SiteGateway") -> None:
        self._gateway, self.open_requests, self.answers = gateway, {}, {}

    def _on_answer(self, number: int, answer: str) -> None:
        context = self.open_requests.pop(number)
        name = self._gateway.world.names[context.query.name]
        self.answers.setdefault(name, []).append(answer)
        self._gateway.world.answered_us[context.query.name] = self._gateway.world.clocks[0].time_us
        self._gateway.world.say(f"{self._gateway.site} answers {name}: {answer}")

    def succeed(self, number: int, result: bytes, replica_position: str | None = None) -> None:
        self._on_answer(number, f"fulfilled, {len(result)} bytes")

    def reject(self, number: int, retry_after_us: int) -> None:
        self._on_answer(number, "denied")

    def fail(self, number: int) -> None:
        self._on_answer(number, "abandoned")

    def has_left(self, number: int) -> bool:
        return False

    def reject_malformed(self, number: int | None, text: str) -> None:
        self._gateway.world.say(f"{self._gateway.site} rejects {text}")


class SiteGateway:
    """One gateway, its stages composed as in service.py, with engines whose answers come from the test."""

    def __init__(
        self, world: "TwoSites", site: str, engines: int, clock: VirtualClock, settings: dict
    ) -> None:
        self.world, self.site, self.clock = world, site, clock
        self.timers, self.counters = Timers(clock), Counters()
        self.accounting = RequestAccounting(self.counters)
        self.responses = ResponseHandler(clock, self.counters, self.accounting)
        self.dispatcher = Dispatcher(clock, self.timers, self.counters, self.responses)
        self.router = Router(None, self.dispatcher)
        self.forwarder = self.router.forwarder = Forwarder(
            clock, self.timers, self.counters, self.responses, self.dispatcher
        )
        log = type("NoLog", (), {"log": lambda self, kind, text: None})()
        port = PipelinePolicyPort(
            self.router, self.dispatcher, self.accounting, self.timers, self.counters, log
        )
        self.controller = PolicyController(port, parse_settings(settings), 7, clock.now())
        admission = Admission(self.accounting)
        self.responses.controller = admission.controller = self.controller
        self.quota = admission.forwarding_quota = ForwardingQuota(1.0)
        self.ingress = Ingress(settings, self.controller.request_classes, clock, admission)
        self.engines, self.fake_engines = [Engine() for _ in range(engines)], []
        for number, engine in enumerate(self.engines):
            self.fake_engines.append(FakeEngine(self, f"{site} engine {number}"))
            self.router._pools[engine] = self.fake_engines[-1]
        self.update_endpoints()
        self.client, self._number = Client(self), 0

    def update_endpoints(self, *states: EndpointState) -> None:
        """Lists all engines, the first ones in these states and the others as ready."""
        state_of = dict(zip(self.engines, states))
        self.controller.on_endpoints_updated(
            [(engine, (0, 0, 0, 0, state_of.get(engine, EndpointState.READY))) for engine in self.engines],
            True,
            self.clock.now(),
        )

    def submit(
        self, label: str, request_class: str, timeout_ms: float = 8000, statement: bytes = b"select 1"
    ) -> None:
        """The client sends a request."""
        self._number += 1
        name = f"{len(self.world.names) + 1:016x}"
        self.world.names[name] = label
        self.world.say(f"{self.site} is asked {label}, a {request_class}")
        self.ingress.accept(self.client, self._number, Query(name, request_class, timeout_ms, statement))

    def cancel(self, label: str) -> None:
        """The client cancels its request."""
        number = next(
            number
            for number, context in self.client.open_requests.items()
            if self.world.names[context.query.name] == label
        )
        self.world.say(f"the client withdraws {label}")
        self.ingress.cancel(self.client, number, None)


class TwoSites:
    """Site hall-a has no engine by default, site hall-b has one; the link goes from hall-a to hall-b."""

    def __init__(
        self,
        local_engines: int = 0,
        remote_engines: int = 1,
        cores: int = 4,
        delay_us: int = 5_000,
        trace: bool = True,
        clock_skew_us: int = 240_000_000,
        dedup_window_ms: int = 20_000,
        **limits: object,
    ) -> None:
        self.lines: list[str] = []
        self.names: dict[str, str] = {}  # the labels of requests, by name
        self.runs: list[tuple[str, str]] = []  # the request's name and the engine's
        self.run_started_us: dict[str, int] = {}  # when the last run began, by the request's name
        self.answered_us: dict[str, int] = {}  # when the client was answered, by the request's name
        self.rejected_runs: dict[str, int] = {}  # runs that an engine rejected as overloaded
        self._trace, self.delay_us, self.is_connected = trace, delay_us, False
        self.delay_back_us: int | None = None  # of the way from hall-b to hall-a; None: as the other way
        self.silenced: set[str] = set()  # directions that deliver nothing: "there", "back"
        self.is_remote_stopped = False  # the gateway of hall-b does nothing, as after SIGSTOP
        self.there: deque[tuple[int, bytes]] = deque()  # from hall-a to hall-b
        self.back: deque[tuple[int, bytes]] = deque()  # from hall-b to hall-a
        settings = {
            "Balancers": 1,
            "FamilyInfo": {"CpuOfKind": [cores]},
            "Tenants": [{"Name": "acme"}],
            "Limits": {"MaxAttempts": 3, "Cancel": True} | limits,
            "CrossingAhead": RETRY_SEND_WINDOW_US / 1000,
            "Services": [
                {
                    "Name": name,
                    "Effect": effect,
                    "GoalTime": 4000,
                    "GiveUp": 60000,
                    "Worth": 1,
                    "Group": "all",
                    "KeyTtl": dedup_window_ms,
                    "LateValue": 0.5,
                }
                for name, effect in EFFECTS.items()
            ],
        }
        clocks = VirtualClock(), VirtualClock(clock_skew_us)
        self.clocks, self._started_us = clocks, clocks[0].time_us
        self.a = SiteGateway(self, "hall-a", local_engines, clocks[0], settings)
        self.b = SiteGateway(self, "hall-b", remote_engines, clocks[1], settings)
        self._settings, self._incarnation, self.link_error = settings, 0, None
        health = LinkHealth(HEARTBEAT_US, SLOW_US, LEASE_US, RECOVERY_US)
        self.outbound = OutboundLink(
            GatewayIdentity("hall-a", "ga", "a1"),
            "hall-b",
            SiteRoute("far", health, LinkCredit(16, 1 << 20), self.a.quota),
            self.a.forwarder,
            self.a.counters,
            lambda text: self.say(f"hall-a says {text}"),
            clocks[0].now,
            lambda: None,
        )
        self.a.forwarder.add(self.outbound)
        self.restart_remote_gateway(is_first=True)

    def say(self, text: str) -> None:
        """Adds a line to the trace."""
        if self._trace:
            self.lines.append(f"{(self.clocks[0].time_us - self._started_us) / 1000:7.0f} ms  {text}")

    def restart_remote_gateway(self, is_first: bool = False) -> None:
        """Kills the gateway of hall-b, unless it is the first, and starts one that remembers nothing."""
        if not is_first:
            for fake_engine in self.b.fake_engines:
                for in_flight in list(fake_engine.open.values()):
                    fake_engine.abandon(in_flight)
            self.b = SiteGateway(self, "hall-b", len(self.b.engines), self.clocks[1], self._settings)
        self._incarnation += 1
        self.forget_inbound_link()

    def forget_inbound_link(self) -> None:
        """The gateway of hall-b has forgotten the link of one that was away for long."""
        self.inbound = InboundLink(
            GatewayIdentity("hall-b", "gb", f"b{self._incarnation}", self._settings["Limits"]["Cancel"]),
            GatewayIdentity("hall-a", "ga", "a1"),
            LinkHealth(HEARTBEAT_US, SLOW_US, LEASE_US, RECOVERY_US),
            16,
            1 << 20,
            self.b.ingress,
            lambda: self.b.controller.spare_capacity(self.clocks[1].now()),
            lambda: 0,
            self.clocks[1].now,
            lambda: None,
            self.b.timers.call_after,
            self.b.counters,
            lambda text: self.say(f"hall-b says {text}"),
        )
        self._decoder = None

    # The link.

    def connect(self) -> None:
        """Connects the link."""
        from cresstray.sites import codec

        self.there.clear()
        self.back.clear()
        self._decoder, self.is_connected, self._is_welcomed = codec.FrameDecoder(), True, False
        self.outbound.on_connected(lambda data, _: self._transmit(self.there, data))

    def disconnect(self) -> None:
        """Ends the connection; data in transit is lost."""
        self.say("the link is cut")
        self.is_connected = False
        self.there.clear()
        self.back.clear()
        self.outbound.on_disconnected(self.clocks[0].now())
        self.inbound.on_disconnected()

    def _transmit(self, queue: deque, data: bytes) -> None:
        is_back = queue is self.back and self.delay_back_us is not None
        delay_us = self.delay_back_us if is_back else self.delay_us
        if self.is_connected:
            queue.append((self.clocks[0].time_us + delay_us, data))

    def _deliver(self) -> None:
        from cresstray.sites.codec import FramingError

        now_us = self.clocks[0].time_us
        try:
            # Data of a silenced direction is delivered later if the connection survives, as with TCP.
            while (
                self.is_connected
                and self.there
                and self.there[0][0] <= now_us
                and "there" not in self.silenced
                and not self.is_remote_stopped
            ):
                for frame in self._decoder.feed(self.there.popleft()[1]):
                    if self._is_welcomed:
                        self.inbound.receive(frame)
                    else:
                        self._is_welcomed = True
                        self.inbound.on_connected(frame, lambda data, _: self._transmit(self.back, data))
            while (
                self.is_connected and self.back and self.back[0][0] <= now_us and "back" not in self.silenced
            ):
                self.outbound.receive(self.back.popleft()[1], self.clocks[0].now())
        except FramingError as error:
            self.link_error = str(error)
            self.say(f"the link is dropped: {error}")
            self.disconnect()

    def run(self, milliseconds: float, step_us: int = 1000) -> None:
        """Advances the clocks in steps of a millisecond; both sides of the link tick every ten."""
        for _ in range(int(milliseconds * 1000) // step_us):
            for clock in self.clocks:
                clock.time_us += step_us
            for _ in range(3):  # a timer of one site may make data due at the other at once
                self._deliver()
                self.a.timers.run_due()
                if not self.is_remote_stopped:
                    self.b.timers.run_due()
            if self.clocks[0].time_us // 1000 % 10 == 0:
                if not self.outbound.tick(self.clocks[0].now()) and self.is_connected:
                    self.say("hall-a finds the link dead")
                    self.disconnect()
                if not self.is_remote_stopped:
                    self.inbound.tick(self.clocks[1].now())

    def establish_link(self) -> None:
        """Connects the link and waits until the slow start no longer limits it."""
        self.connect()
        self.run(1500)

    def refresh_capacity(self) -> None:
        """Exchanges heartbeats, so that hall-a knows the present capacity of hall-b."""
        self.outbound._send_heartbeat(self.clocks[0].now())
        self.run(2 * self.delay_us / 1000 + 2)

    def forwarded(self, label: str) -> object:
        """Returns the open forwarded request of this label."""
        return next(
            forwarded
            for forwarded in self.outbound.ledger.open.values()
            if self.names[forwarded.name] == label
        )

    def name(self, label: str) -> str:
        """Returns the name of the request of this label."""
        return next(name for name, known in self.names.items() if known == label)

    def answers(self) -> dict[str, list[str]]:
        """Returns the answers of each request of hall-a's client, by label."""
        return self.a.client.answers
