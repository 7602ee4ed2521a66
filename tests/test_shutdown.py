"""A gateway process: startup, signals at any time, graceful shutdown, reload and unusable configurations."""

import contextlib
import gc
import io
import json
import os
import resource
import signal
import socket
import threading
import time
import unittest
from collections.abc import Iterator
from unittest import mock

from cresstray import __main__ as program
from cresstray.gateway import signals
from cresstray.gateway.service import Service
from tests.scripted import (
    GatewayProcess,
    ScriptedEngine,
    cancellation,
    make_endpoint_list,
    make_settings,
    request,
    status,
)

DEEPLY_NESTED_JSON = b'{"settings":{"a":' + b"[" * 100_000
SIGTERM, SIGHUP, SIGUSR1 = signal.SIGTERM, signal.SIGHUP, signal.SIGUSR1


class ShutdownTest(unittest.TestCase):
    def test_requests_during_shutdown_are_answered(self) -> None:
        """One request is in flight, one is cancelled, and one arrives on a new connection.

        Other connections are idle, or have never sent anything. Requests on them after the gateway has shut
        down its sending side are discarded.
        """
        with ScriptedEngine() as engine, GatewayProcess(known=make_endpoint_list(engine)) as gateway:
            gateway.start_and_wait()
            first, silent, idle_client = gateway.client(), gateway.client(), gateway.client()
            self.assertEqual("1 pass", idle_client.send(status(1)).receive_response())
            first.send(request(1), request(2, "a" * 16))
            in_flight = {
                name: connection for _, name, connection in (engine.next_command(), engine.next_command())
            }
            gateway.send_signals(SIGTERM)
            gateway.wait_for_log_line("shutting down; 2 requests")
            gateway.send_signals(SIGTERM)
            first.send(cancellation(2))
            self.assertEqual(("QUIT", "a" * 16), engine.next_command()[:2])
            second = gateway.client().send(request(1, "b" * 16))
            verb, name, connection = engine.next_command()
            self.assertEqual(("ASK", "b" * 16), (verb, name))
            engine.send_result(connection, name)
            self.assertEqual("1 6 bytes", second.receive_response())
            engine.send_result(in_flight[f"{1:016x}"], f"{1:016x}")
            self.assertEqual("1 6 bytes", first.receive_response())
            for client in (first, second, silent, idle_client):
                self.assertEqual("closed", client.receive_response())
            for client in (silent, idle_client):  # the gateway reads from them after shutting down its side
                for number in (7, 8):  # the second would meet a connection that was reset
                    client.send(request(number, f"{id(client) + number:016x}"))
                self.assertEqual("closed", client.receive_response())
            for client in (first, second, silent, idle_client):
                client.close()
            self.assertEqual([], [verb for verb in engine.remaining_commands() if verb == "ASK"])
            self.assertEqual(0, gateway.wait_for_exit())

    def test_process_ends_in_time_while_a_client_stays_connected(self) -> None:
        """A request whose line is completed only during the shutdown is still answered."""
        with ScriptedEngine() as engine, GatewayProcess(known=make_endpoint_list(engine)) as gateway:
            client = gateway.start_and_wait().client()
            client.send(request(1)[:30])
            gateway.send_signals(SIGTERM)
            gateway.wait_for_log_line("shutting down; 0 requests")
            start_s = time.monotonic()
            client.send(request(1)[30:])
            _, name, connection = engine.next_command()
            engine.send_result(connection, name)
            self.assertEqual(["1 6 bytes", "closed"], [client.receive_response(), client.receive_response()])
            self.assertEqual(0, gateway.wait_for_exit())
            self.assertLess(time.monotonic() - start_s, 3.7)

    def test_signals_during_shutdown_do_not_end_the_process_early(self) -> None:
        with GatewayProcess() as gateway:
            client = gateway.start_and_wait().client()
            self.assertEqual("1 pass", client.send(status(1)).receive_response())
            gateway.send_signals(SIGTERM)
            while gateway.process.poll() is None:
                with contextlib.suppress(ProcessLookupError):
                    for signal_number in (SIGTERM, SIGHUP, SIGUSR1):
                        os.kill(gateway.process.pid, signal_number)
                time.sleep(0.0005)
            self.assertEqual(0, gateway.process.returncode)
            self.assertEqual("closed", client.receive_response())
            client.close()

    def test_connections_in_the_accept_queue_at_shutdown_are_answered(self) -> None:
        """The process is stopped while its shutdown deadline passes.

        More connections wait than it accepts in one turn; a reset would lose their responses.
        """
        settings = make_settings()
        settings["Services"][0]["GiveUp"] = 1000.0
        with (
            ScriptedEngine() as engine,
            GatewayProcess(known=make_endpoint_list(engine), settings=settings) as gateway,
        ):
            gateway.start_and_wait().send_signals(SIGTERM)
            gateway.wait_for_log_line("shutting down; 0 requests")
            gateway.send_signals(signal.SIGSTOP)
            requesting = [
                gateway.client().send(request(1, f"{number:016x}", timeout=900)) for number in range(150)
            ]
            silent = gateway.client()
            time.sleep(0.9)  # the shutdown deadline passes meanwhile
            gateway.send_signals(signal.SIGCONT)
            for client in requesting:
                self.assertIn(client.receive_response(), ("1 -32000", "1 -32001"))
                self.assertEqual("closed", client.receive_response())
            self.assertEqual("closed", silent.receive_response())
            for client in (*requesting, silent):
                client.close()
            self.assertEqual(0, gateway.wait_for_exit())

    def test_address_can_be_bound_again_right_after_a_kill(self) -> None:
        with GatewayProcess() as gateway:
            client = gateway.start_and_wait().client()
            self.assertEqual("1 pass", client.send(status(1)).receive_response())
            gateway.process.kill()
            gateway.process.wait()
            gateway.write_configuration(gateway.configuration | {"listen": "{}:{}".format(*gateway.address)})
            gateway.log_lines.clear()
            second_client = gateway.start_and_wait().client()
            self.assertEqual("1 pass", second_client.send(status(1)).receive_response())
            for connected in (client, second_client):
                connected.close()


class StartupTest(unittest.TestCase):
    def test_signals_are_blocked_while_no_receiver_is_open(self) -> None:
        """While the receiver is being opened or closed; afterwards the previous signal mask is restored."""
        masks = []

        @contextlib.contextmanager
        def receiver(*caught: signal.Signals) -> Iterator[None]:
            masks.append(blocked_signals())
            yield
            masks.append(blocked_signals())

        def blocked_signals() -> set:
            return set(signals.HANDLED_SIGNALS) & signal.pthread_sigmask(signal.SIG_BLOCK, ())

        previous_mask = signal.pthread_sigmask(signal.SIG_BLOCK, signals.HANDLED_SIGNALS)
        try:
            with (
                mock.patch.object(signals.anyio, "open_signal_receiver", receiver),
                signals.receive_signals(),
            ):
                masks.append(blocked_signals())
            masks.append(blocked_signals())
        finally:
            signal.pthread_sigmask(signal.SIG_SETMASK, previous_mask)
        all_signals = set(signals.HANDLED_SIGNALS)
        self.assertEqual([all_signals, set(), all_signals, all_signals], masks)

    def test_signals_before_serving_are_handled_once_the_gateway_serves(self) -> None:
        """All signals arrive while the configuration is read; the process serves, then ends in order."""
        with GatewayProcess() as gateway, socket.create_server(("127.0.0.1", 0)) as coordinator:
            configuration = json.dumps(
                gateway.configuration | {"coordinator": f"127.0.0.1:{coordinator.getsockname()[1]}"}
            )
            gateway.path.unlink()
            os.mkfifo(gateway.path)
            gateway.start()
            with open(gateway.path, "w") as file:  # returns once the gateway has opened the other end
                gateway.send_signals(SIGTERM, SIGHUP, SIGUSR1, SIGTERM)
                time.sleep(0.05)
                file.write(configuration)
            # SIGHUP reads the configuration once more while the gateway waits for the endpoint list.
            with contextlib.suppress(FileNotFoundError):
                gateway.path.unlink()
            client = gateway.wait_until_serving().client()
            self.assertEqual("1 pass", client.send(status(1)).receive_response())
            self.assertEqual("closed", client.receive_response())
            client.close()
            self.assertEqual(0, gateway.wait_for_exit())

    def test_unusable_configurations_are_reported_in_one_line(self) -> None:
        """The gateway does not serve."""
        with mock.patch.object(Service, "run", self.fail_as_it_serves):
            for text, content in (
                ("truncated", b"{"),
                ("recursion", DEEPLY_NESTED_JSON),
                ("Expected `str`, got `int` - at `$.listen`", {"listen": 7}),
                ("at `$.listen`", {"listen": "127.0.0.1"}),
                ("at `$.listen`", {"listen": "127.0.0.1:70000"}),
                ("at `$.seed`", {"seed": "no hex"}),
                ("got `array` - at `$.settings`", {"settings": []}),
                ("at `$.settings.Services`", {"settings": {"Services": {}}}),
                (
                    "at `$.settings.Services[0].GiveUp`",
                    {"settings": {"Services": [{"Name": "a", "GiveUp": "x"}]}},
                ),
                ("at `$.settings.Services[0]`", {"settings": {"Services": [{}]}}),
                ("at `$.settings.Limits`", {"settings": {"Limits": [1]}}),
                ("at `$.settings.Safety.WarmUp`", {"settings": {"Safety": {"WarmUp": []}}}),
                ("at `$.settings.Tenants[0]`", {"settings": {"Tenants": ["acme"]}}),
                ("the settings: TypeError", {"settings": {"Services": [{"Name": "a", "StaysIn": [[]]}]}}),
                ("at `$.limits.sockets`", {"limits": {"sockets": "many"}}),
                ("at `$.known.updates`", {"known": {"updates": 3}}),
                ("can't be used", {"coordinator": "nowhere"}),
                ("can't be used", {"coordinator": "127.0.0.1:port"}),
            ):
                self.assert_startup_fails(text, content)

    def test_unusable_listen_addresses_are_reported_in_one_line(self) -> None:
        mask = signal.pthread_sigmask(signal.SIG_BLOCK, ())
        with socket.create_server(("127.0.0.1", 0)) as occupied:
            for address in ("{}:{}".format(*occupied.getsockname()), "192.0.2.1:1", "no.such.host.invalid:1"):
                self.assert_startup_fails("can't be listened on", {"listen": address})
        self.assertEqual(mask, signal.pthread_sigmask(signal.SIG_BLOCK, ()))

    async def fail_as_it_serves(self) -> None:
        raise AssertionError("it serves")

    def assert_startup_fails(self, text: str, content: bytes | dict) -> None:
        """Checks that startup with this file, or these keys of it, ends with exit code 2 and one line."""
        with self.subTest(text), GatewayProcess() as gateway:
            gateway.write_configuration(
                content if isinstance(content, bytes) else gateway.configuration | content
            )
            # The program runs a garbage collection, which would print ResourceWarnings about what other tests
            # of this process left open.
            gc.collect()
            with (
                mock.patch.dict(os.environ, GW_CONFIG=str(gateway.path)),
                contextlib.redirect_stderr(io.StringIO()) as error_output,
            ):
                self.assertEqual(2, program.main())
            self.assertIn(text, error_output.getvalue())
            self.assertEqual(1, error_output.getvalue().count("\n"), error_output.getvalue())

    def test_an_unusable_configuration_ends_the_process(self) -> None:
        with GatewayProcess() as gateway, socket.create_server(("127.0.0.1", 0)) as occupied:
            gateway.write_configuration(
                gateway.configuration | {"listen": "{}:{}".format(*occupied.getsockname())}
            )
            self.assertEqual(2, gateway.start().wait_for_exit())
            gateway.wait_for_log_line("can't be listened on")
            self.assertEqual(1, len(gateway.log_lines), gateway.log_lines)

    def test_null_and_unknown_settings_are_ignored(self) -> None:
        settings = make_settings(Zone=None, Other=[None])
        settings |= dict.fromkeys(("Localities", "Flavors", "Safety", "Report"))
        settings["Services"][0] |= {"StaysIn": None, "FlavorsOpen": [0], "More": {}, "Group": None}
        settings["Services"][0] |= {"GoalTime": None, "AimStretch": None, "LateValue": None, "KeyTtl": None}
        settings["Limits"] |= {"Anything": ["goes"], "ConnIdle": None, "StreamsPerConn": None}
        settings["FamilyInfo"] |= {"Loads": None, "TellsEvery": None}
        with (
            ScriptedEngine() as engine,
            GatewayProcess(settings=settings, known=make_endpoint_list(engine)) as gateway,
        ):
            client = gateway.start_and_wait().client()
            client.send(status(1) + request(2))
            self.assertEqual("1 pass", client.receive_response())
            _, name, connection = engine.next_command()
            engine.send_result(connection, name)
            self.assertEqual("2 6 bytes", client.receive_response())
            client.close()
            gateway.send_signals(SIGTERM)
            self.assertEqual(0, gateway.wait_for_exit())
            self.assertFalse([text for text in gateway.log_lines if "fault" in text])


class ReloadTest(unittest.TestCase):
    def test_unusable_configurations_leave_the_running_one_in_force(self) -> None:
        with GatewayProcess() as gateway:
            client = gateway.start_and_wait().client()
            unusable = (
                b"{",
                DEEPLY_NESTED_JSON,
                {"name": "n0"},
                gateway.configuration | {"settings": [1]},
                gateway.configuration | {"settings": {"Services": "none"}},
                gateway.configuration | {"coordinator": 7},
                gateway.configuration | {"coordinator": "nowhere"},
                gateway.configuration | {"limits": None},
            )
            for times, content in enumerate(unusable, 1):
                gateway.write_configuration(content)
                gateway.send_signals(SIGHUP)
                gateway.wait_for_log_line("can't be used, the old one stays", times)
            gateway.path.unlink()
            gateway.send_signals(SIGHUP)
            gateway.wait_for_log_line("can't be used, the old one stays", len(unusable) + 1)
            self.assertEqual("1 pass", client.send(status(1)).receive_response())
            gateway.send_signals(SIGHUP, SIGTERM, SIGHUP)
            self.assertEqual("closed", client.receive_response())
            client.close()
            self.assertEqual(0, gateway.wait_for_exit())
            self.assertNotIn("Traceback", "".join(gateway.log_lines))

    def test_reload_changes_only_the_coordinator(self) -> None:
        """Requests of a class and tenant that the new configuration lacks are still accepted and answered."""
        with (
            ScriptedEngine() as engine,
            socket.create_server(("127.0.0.1", 0)) as coordinator,
            GatewayProcess(known=make_endpoint_list(engine)) as gateway,
        ):
            coordinator.settimeout(10)
            client = gateway.start_and_wait().client().send(request(1))
            _, name, connection = engine.next_command()
            address = f"127.0.0.1:{coordinator.getsockname()[1]}"
            gateway.write_configuration(
                gateway.configuration | {"settings": {}, "known": {}, "coordinator": address}
            )
            gateway.send_signals(SIGHUP)
            with coordinator.accept()[0] as watch:
                self.assertEqual((1).to_bytes(8, "big"), watch.recv(8))
            engine.send_result(connection, name)
            self.assertEqual("1 6 bytes", client.receive_response())
            client.send(request(2))
            _, name, connection = engine.next_command()
            engine.send_result(connection, name)
            self.assertEqual("2 6 bytes", client.receive_response())
            client.close()


class DescriptorLimitTest(unittest.TestCase):
    def test_idle_clients_leave_descriptors_for_everything_else(self) -> None:
        """Idle clients connect all the time and stay connected.

        Descriptors must remain for a status check, connections to the engine, and the endpoint watch.
        """

        def connect_idle_clients() -> None:
            while not stopped.wait(0.002):
                with contextlib.suppress(OSError):
                    idle.append(socket.create_connection(gateway.address, timeout=1))
                while len(idle) > 100:
                    idle.pop(0).close()

        idle: list[socket.socket] = []
        stopped, descriptor_limits = threading.Event(), (64, 64)
        with socket.create_server(("127.0.0.1", 0)) as reservation:
            address = reservation.getsockname()  # where the coordinator will listen later
        configuration = {"coordinator": "{}:{}".format(*address), "limits": {"sockets": descriptor_limits[0]}}
        with (
            ScriptedEngine() as engine,
            GatewayProcess(known=make_endpoint_list(engine), **configuration) as gateway,
        ):
            gateway.start(preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, descriptor_limits))
            gateway.wait_until_serving()
            connecting = threading.Thread(target=connect_idle_clients)
            connecting.start()
            try:
                while len(idle) < 90:
                    time.sleep(0.01)
                # As many requests as get a connection to the engine each. They are sent together with the
                # status: a client without an open request would be evicted.
                client = gateway.client().send(status(1), *(request(number) for number in range(2, 18)))
                self.assertEqual("1 pass", client.receive_response())
                in_flight = [engine.next_command()[1:] for _ in range(16)]
                with socket.create_server(address) as coordinator:
                    coordinator.settimeout(5)
                    coordinator.accept()[0].close()
                second_client = gateway.client()
                self.assertEqual("1 pass", second_client.send(status(1)).receive_response())
                second_client.close()
                for name, connection in in_flight:
                    engine.send_result(connection, name)
                    self.assertIn("6 bytes", client.receive_response())
                client.close()
            finally:
                stopped.set()
                connecting.join()
                for idle_socket in idle:
                    idle_socket.close()
            self.assertFalse(
                [text for text in gateway.log_lines if "can't accept" in text or "fault" in text]
            )
            gateway.send_signals(SIGTERM)
            self.assertEqual(0, gateway.wait_for_exit())


if __name__ == "__main__":
    unittest.main()
