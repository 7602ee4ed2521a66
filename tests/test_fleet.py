"""Fleets of many gateways and engines, whose limits are small fractions of a thread.

The tests guard against overload by many gateways together, and against starvation of a request class.
"""

import contextlib
import io

import anyio
import msgspec

from cresstray.clock import Clock, Timers
from cresstray.discovery import endpoint_list
from cresstray.emulators.coordinator import Coordinator, Listed
from cresstray.engines.connection import DescriptorQuota, SocketConnection, SocketConnectionPool
from cresstray.engines.in_flight import InFlightRequest
from cresstray.gateway.service import Service
from cresstray.observability.counters import Counters
from cresstray.observability.log import Log
from cresstray.policy.types import Outcome
from tests.harness import ClientStandIn, EngineStandIn, PolicyHarness, TraceCase, settings

BUSY_REPORT = {"concurrent": 50.0, "load_share": 1.0}


def running_thread_count(harness: PolicyHarness) -> int:
    """Returns how many threads run on all engines."""
    return sum(engine.policy_state.limit.running_threads for engine in harness.engines)


class FleetTest(TraceCase):
    """Each test compares what happens with a trace."""

    def test_slow_engines_do_not_fill_up_with_one_request_of_each_gateway(self) -> None:
        lines = []
        for gateways in (2, 40, 400):
            harness = PolicyHarness(settings(Balancers=gateways), engines=20)
            for second in range(6):
                for engine in harness.engines:
                    harness.gateway.on_probe_finished(engine, Outcome.SUCCEEDED, BUSY_REPORT, harness.now)
                for number in range(20):
                    harness.submit(f"s{second}.{number}", left_ms=60_000, estimated_work_us=100_000)
                    harness.run(50)
            limits = sum(engine.policy_state.limit.value for engine in harness.engines)
            lines.append(
                f"{gateways} gateways, none answered for 6 s: {running_thread_count(harness)} threads out, "
                f"limits {limits:.1f}"
            )
        self.check("fleet_limits", lines)

    def test_connections_to_a_thousand_engines_stay_within_the_quota(self) -> None:
        async def main() -> None:
            self.check_connections_to_a_thousand_engines()

        anyio.run(main)

    def check_connections_to_a_thousand_engines(self) -> None:
        class RecordingTasks:
            def start_soon(self, run: object) -> None:
                connections.append(run.__self__)

        connections: list[SocketConnection] = []
        quota, timers, lines = DescriptorQuota(64, 200), Timers(Clock()), []
        pools = [
            SocketConnectionPool(
                f"engine {number}",
                ("127.0.0.1", 1),
                {},
                quota,
                RecordingTasks(),
                timers,
                Clock().now,
                Counters(),
                Log("n0", Clock()),
            )
            for number in range(1024)
        ]
        long_requests = [InFlightRequest(b"%d" % number, b"", None, None) for number in range(50)]
        for number, pool in enumerate(pools):
            request = (
                long_requests[number]
                if number < len(long_requests)
                else InFlightRequest(b"short", b"", None, None)
            )
            pool.start(request)
            if number >= len(long_requests):
                request.connection.finish(request)
            for closed in [connection for connection in connections if connection.in_flight.is_closed]:
                connections.remove(closed)  # as if its task had run
                closed.pool.on_removed(closed)
            if number in (49, 199, 200, 1023):
                lines.append(
                    f"{number + 1} engines asked: {quota.used} links, {len(quota.idle)} idle, "
                    f"{sum(bool(connection.in_flight.open) for connection in connections)} with work"
                )
        connected_count = sum(bool(pool.connections) for pool in pools[-150:])
        lines.append(f"of the last 150 engines {connected_count} still have theirs")
        self.check("fleet_links", lines)

    def dispatched_by_class(
        self,
        gateway_settings: dict,
        engines: int,
        request_classes: tuple[int, ...],
        answer_ms: int,
        duration_s: int = 60,
        interval_ms: int = 100,
    ) -> str:
        """Returns how many requests of each class are dispatched on busy engines.

        One request of each class arrives every `interval_ms`, and light answers take `answer_ms`.
        """
        harness = PolicyHarness(gateway_settings, engines=engines)
        harness.update_endpoints(
            {
                engine: {"zone": number % 2, "instance_type": number % 2}
                for number, engine in enumerate(harness.engines)
            }
        )
        submitted: list[list] = [[] for _ in harness.gateway.request_classes]
        for request_class in harness.gateway.request_classes:
            request_class.latency.sample_count, request_class.latency.mean_us = (
                200,
                answer_ms * 1000 * (1 + 9 * (request_class.index > 0)),
            )
        for turn in range(duration_s * 1000 // interval_ms):
            for engine in harness.engines:
                harness.gateway.on_probe_finished(engine, Outcome.SUCCEEDED, BUSY_REPORT, harness.now)
            for index in request_classes:
                submitted[index].append(harness.submit(f"{index}.{turn}", index, left_ms=20_000))
            harness.run(interval_ms)
            for index in request_classes:
                latency_us = harness.gateway.request_classes[index].latency.expected_us(submitted[index][0])
                for request in submitted[index]:
                    if (
                        request.current_attempt
                        and harness.now - request.current_attempt.sent_us >= latency_us
                    ):
                        harness.finish_attempt(request, Outcome.SUCCEEDED)
        parts = [
            f"{sum(bool(request.attempts) for request in submitted[index])} of {len(submitted[index])}"
            for index in request_classes
        ]
        return ", ".join(parts) + " dispatched"

    def test_no_request_class_is_starved_forever(self) -> None:
        light_class = {
            "Effect": "idempotent",
            "GoalTime": 400.0,
            "AimStretch": 2.0,
            "GiveUp": 60000.0,
            "Worth": 1.0,
        }
        other_classes = {
            "wide and long": light_class | {"GoalTime": 2000.0},
            "worth little": light_class | {"Worth": 0.01, "GoalTime": 2000.0},
            "at most once": light_class | {"Effect": "at_most_once", "GoalTime": 2000.0},
            "of one zone": light_class | {"StaysIn": [1], "GoalTime": 2000.0},
            "of one kind of machine": light_class | {"FlavorsOpen": [1], "GoalTime": 2000.0},
        }
        lines = []
        for name, other_class in other_classes.items():
            for gateways in (4, 200):
                gateway_settings = settings(light_class, other_class, Balancers=gateways)
                lines.append(
                    f"{name}, {gateways} gateways: light, then this: "
                    + self.dispatched_by_class(gateway_settings, 20, (0, 1), 200)
                )
        self.check("fleet_starved", lines)

    def test_heavy_requests_are_dispatched_while_answers_slow_down(self) -> None:
        gateway_settings = settings(Balancers=200)
        self.check(
            "fleet_long",
            [
                f"light answers take {answer} ms, heavy ten times as long: heavy, "
                + self.dispatched_by_class(gateway_settings, 10, (1,), answer, interval_ms=2000)
                for answer in (20, 100, 500)
            ],
        )

    def test_thousand_engines_are_listed_at_the_start_and_by_events(self) -> None:
        """In five zones of which the settings name one, for one of 1,024 gateways.

        Each engine has an address of its own, as of two engines at one address the earlier counts as removed.
        """

        def make_listed(number: int, zone: int, state: str = "in_service") -> Listed:
            return Listed(
                number, engine.port, state, zone=zone, host=f"127.0.{number // 250}.{number % 250 + 1}"
            )

        engine = EngineStandIn("engine", everywhere=True)

        async def main() -> None:
            gateway_settings = settings(
                Balancers=1024, Zone=0, Localities=["here"], Flavors=["std"], Tenants=[{"Name": "acme"}]
            )
            for name, service in zip(("lookup", "report"), gateway_settings["Services"]):
                service["Name"] = name
            async with anyio.create_task_group() as tasks:
                await tasks.start(engine.run)
                first_engines = [make_listed(number, number % 2) for number in range(1, 1025)]
                coordinator = Coordinator(first_engines)
                initial_events = endpoint_list.initial_events(
                    msgspec.convert(coordinator.known, endpoint_list.InitialList), gateway_settings
                )
                service = Service(
                    "n0", ("127.0.0.1", 0), 7, gateway_settings, initial_events, coordinator.address
                )
                tasks.start_soon(coordinator.run)
                address = await tasks.start(service.run)
                with anyio.fail_after(30):
                    async with await anyio.connect_tcp(*address) as stream:
                        client, gateway = ClientStandIn(stream, []), service.parts.controller

                        async def record_state(text: str) -> None:
                            for number in range(40):
                                await client.send_request(client.names + 1, f"plain {number}")
                                await client.receive_response()
                            zones = len({ready.zone for ready in gateway.ready_engines})
                            lines.append(
                                f"{text}: {len(gateway.ready_engines)} ready in {zones} zones, "
                                f"{len(service.parts.router._pools)} pools, "
                                f"{service.parts.counters.counts['requests succeeded']} fulfilled"
                            )

                        await record_state("at the start")
                        coordinator.tell(*(make_listed(number, number % 5) for number in range(2001, 3025)))
                        while len(gateway.ready_engines) < 2048:
                            await anyio.sleep(0.01)
                        await record_state("as many more")
                        coordinator.tell(
                            *(make_listed(listed.id, 0, "terminated") for listed in first_engines)
                        )
                        while len(gateway.engines) > 1024:
                            await anyio.sleep(0.01)
                        await record_state("the first gone")
                tasks.cancel_scope.cancel()

        lines: list[str] = []
        with contextlib.redirect_stderr(io.StringIO()) as log_output:
            anyio.run(main)
        self.assertNotIn("fault", log_output.getvalue())
        self.check("fleet_thousand", lines)
