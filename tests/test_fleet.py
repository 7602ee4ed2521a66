"""Many gateways, many engines, limits of a small part of a thread: what harms in common, who could starve."""

import contextlib
import io

import anyio
import msgspec

from cresstray.clock import Clock, Timers
from cresstray.discovery import endpoint_list as known
from cresstray.emulators.coordinator import Coordinator, Listed
from cresstray.engines.connection import DescriptorQuota, SocketConnection, SocketConnectionPool
from cresstray.engines.in_flight import InFlightRequest
from cresstray.gateway.service import Service
from cresstray.observability.counters import Counters
from cresstray.observability.log import Log
from cresstray.policy.types import Outcome
from tests.harness import ClientStandIn, EngineStandIn, PolicyHarness, TraceCase, settings

BUSY = {"concurrent": 50.0, "load_share": 1.0}


def out(desk: PolicyHarness) -> int:
    """Threads that run on all engines."""
    return sum(engine.policy_state.limit.running_threads for engine in desk.engines)


class Fleet(TraceCase):
    def test_slow_engines_do_not_fill_with_one_of_ours_each(self) -> None:
        lines = []
        for gateways in (2, 40, 400):
            desk = PolicyHarness(settings(Balancers=gateways), engines=20)
            for second in range(6):
                for engine in desk.engines:
                    desk.gateway.on_probe_finished(engine, Outcome.SUCCEEDED, BUSY, desk.now)
                for number in range(20):
                    desk.submit(f"s{second}.{number}", left_ms=60_000, estimated_work_us=100_000)
                    desk.run(50)
            limits = sum(engine.policy_state.limit.value for engine in desk.engines)
            lines.append(
                f"{gateways} gateways, none answered for 6 s: {out(desk)} threads out, limits {limits:.1f}"
            )
        self.check("fleet_limits", lines)

    def test_links_to_a_thousand_engines_keep_within_the_quota(self) -> None:
        async def main() -> None:
            self.links_to_a_thousand_engines()

        anyio.run(main)

    def links_to_a_thousand_engines(self) -> None:
        class Tasks:
            def start_soon(self, run: object) -> None:
                up.append(run.__self__)

        up: list[SocketConnection] = []
        quota, timers, lines = DescriptorQuota(64, 200), Timers(Clock()), []
        pools = [
            SocketConnectionPool(
                f"engine {number}",
                ("127.0.0.1", 1),
                {},
                quota,
                Tasks(),
                timers,
                Clock().now,
                Counters(),
                Log("n0", Clock()),
            )
            for number in range(1024)
        ]
        busy = [InFlightRequest(b"%d" % number, b"", None, None) for number in range(50)]
        for number, pool in enumerate(pools):
            exchange = busy[number] if number < len(busy) else InFlightRequest(b"short", b"", None, None)
            pool.start(exchange)
            if number >= len(busy):
                exchange.connection.finish(exchange)
            for link in [one for one in up if one.in_flight.is_closed]:
                up.remove(link)  # its task has run
                link.pool.on_removed(link)
            if number in (49, 199, 200, 1023):
                lines.append(
                    f"{number + 1} engines asked: {quota.used} links, {len(quota.idle)} idle, "
                    f"{sum(bool(one.in_flight.open) for one in up)} with work"
                )
        kept = sum(bool(pool.connections) for pool in pools[-150:])
        lines.append(f"of the last 150 engines {kept} still have theirs")
        self.check("fleet_links", lines)

    def starve(
        self,
        given: dict,
        engines: int,
        request_classes: tuple[int, ...],
        answer: int,
        seconds: int = 60,
        pause: int = 100,
    ) -> str:
        """What each class gets on busy engines: each asks every `pause` ms, answers take `answer` ms."""
        desk = PolicyHarness(given, engines=engines)
        desk.update_endpoints(
            {
                engine: {"zone": number % 2, "instance_type": number % 2}
                for number, engine in enumerate(desk.engines)
            }
        )
        made: list[list] = [[] for _ in desk.gateway.request_classes]
        for request_class in desk.gateway.request_classes:
            request_class.latency.sample_count, request_class.latency.mean_us = (
                200,
                answer * 1000 * (1 + 9 * (request_class.index > 0)),
            )
        for turn in range(seconds * 1000 // pause):
            for engine in desk.engines:
                desk.gateway.on_probe_finished(engine, Outcome.SUCCEEDED, BUSY, desk.now)
            for index in request_classes:
                made[index].append(desk.submit(f"{index}.{turn}", index, left_ms=20_000))
            desk.run(pause)
            for index in request_classes:
                takes = desk.gateway.request_classes[index].latency.expected_us(made[index][0])
                for request in made[index]:
                    if request.current_attempt and desk.now - request.current_attempt.sent_us >= takes:
                        desk.finish_attempt(request, Outcome.SUCCEEDED)
        parts = [
            f"{sum(bool(one.attempts) for one in made[index])} of {len(made[index])}"
            for index in request_classes
        ]
        return ", ".join(parts) + " dispatched"

    def test_no_class_is_starved_for_good(self) -> None:
        plain = {
            "Effect": "idempotent",
            "GoalTime": 400.0,
            "AimStretch": 2.0,
            "GiveUp": 60000.0,
            "Worth": 1.0,
        }
        kinds = {
            "wide and long": plain | {"GoalTime": 2000.0},
            "worth little": plain | {"Worth": 0.01, "GoalTime": 2000.0},
            "at most once": plain | {"Effect": "at_most_once", "GoalTime": 2000.0},
            "of one zone": plain | {"StaysIn": [1], "GoalTime": 2000.0},
            "of one kind of machine": plain | {"FlavorsOpen": [1], "GoalTime": 2000.0},
        }
        lines = []
        for name, kind in kinds.items():
            for gateways in (4, 200):
                given = settings(plain, kind, Balancers=gateways)
                lines.append(
                    f"{name}, {gateways} gateways: light, then this: " + self.starve(given, 20, (0, 1), 200)
                )
        self.check("fleet_starved", lines)

    def test_long_work_is_not_shut_out_as_answers_slow_down(self) -> None:
        given = settings(Balancers=200)
        self.check(
            "fleet_long",
            [
                f"light answers take {answer} ms, heavy ten times as long: heavy, "
                + self.starve(given, 10, (1,), answer, pause=2000)
                for answer in (20, 100, 500)
            ],
        )

    def test_a_thousand_engines_at_the_start_and_by_events(self) -> None:
        """In five zones of which the settings name one, for one of 1,024 gateways.

        Each engine has an address of its own: of two at one address the one before counts as gone.
        """

        def listed(number: int, zone: int, state: str = "in_service") -> Listed:
            return Listed(
                number, engine.port, state, zone=zone, host=f"127.0.{number // 250}.{number % 250 + 1}"
            )

        engine = EngineStandIn("engine", everywhere=True)

        async def main() -> None:
            given = settings(
                Balancers=1024, Zone=0, Localities=["here"], Flavors=["std"], Tenants=[{"Name": "acme"}]
            )
            for name, service in zip(("lookup", "report"), given["Services"]):
                service["Name"] = name
            async with anyio.create_task_group() as tasks:
                await tasks.start(engine.run)
                first = [listed(number, number % 2) for number in range(1, 1025)]
                coordinator = Coordinator(first)
                start = known.initial_events(msgspec.convert(coordinator.known, known.InitialList), given)
                service = Service("n0", ("127.0.0.1", 0), 7, given, start, coordinator.address)
                tasks.start_soon(coordinator.run)
                address = await tasks.start(service.run)
                with anyio.fail_after(30):
                    async with await anyio.connect_tcp(*address) as stream:
                        client, gateway = ClientStandIn(stream, []), service.parts.controller

                        async def look(text: str) -> None:
                            for number in range(40):
                                await client.send_request(client.names + 1, f"plain {number}")
                                await client.receive_response()
                            zones = len({one.zone for one in gateway.ready_engines})
                            lines.append(
                                f"{text}: {len(gateway.ready_engines)} ready in {zones} zones, "
                                f"{len(service.parts.router._pools)} pools, "
                                f"{service.parts.counters.counts['requests succeeded']} fulfilled"
                            )

                        await look("at the start")
                        coordinator.tell(*(listed(number, number % 5) for number in range(2001, 3025)))
                        while len(gateway.ready_engines) < 2048:
                            await anyio.sleep(0.01)
                        await look("as many more")
                        coordinator.tell(*(listed(one.id, 0, "terminated") for one in first))
                        while len(gateway.engines) > 1024:
                            await anyio.sleep(0.01)
                        await look("the first gone")
                tasks.cancel_scope.cancel()

        lines: list[str] = []
        with contextlib.redirect_stderr(io.StringIO()) as said:
            anyio.run(main)
        self.assertNotIn("fault", said.getvalue())
        self.check("fleet_thousand", lines)
