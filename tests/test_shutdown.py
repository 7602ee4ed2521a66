"""A gateway in a process of its own: its start, signals at any moment, its end, unusable configurations."""

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
from tests.scripted import Engine, Gateway, cancellation, listed, request, status, usual

DEEP = b'{"settings":{"a":' + b"[" * 100_000
ENDS, HUP, USR1 = signal.SIGTERM, signal.SIGHUP, signal.SIGUSR1


class End(unittest.TestCase):
    def test_what_comes_while_it_ends_is_answered(self) -> None:
        """One is out, one is withdrawn, new ones come on old and new connections, and some say nothing."""
        with Engine() as engine, Gateway(known=listed(engine)) as gateway:
            gateway.up()
            first, mute, resting = gateway.client(), gateway.client(), gateway.client()
            self.assertEqual("1 pass", resting.say(status(1)).hear())
            first.say(request(1), request(2, "a" * 16))
            out = {name: link for _, name, link in (engine.next(), engine.next())}
            gateway.tell(ENDS)
            gateway.until_said("shutting down; 2 requests")
            gateway.tell(ENDS)
            first.say(cancellation(2))
            self.assertEqual(("QUIT", "a" * 16), engine.next()[:2])
            second = gateway.client().say(request(1, "b" * 16))
            word, name, link = engine.next()
            self.assertEqual(("ASK", "b" * 16), (word, name))
            engine.serve(link, name)
            self.assertEqual("1 6 bytes", second.hear())
            engine.serve(out[f"{1:016x}"], f"{1:016x}")
            self.assertEqual("1 6 bytes", first.hear())
            for client in (first, second, mute, resting):
                self.assertEqual("closed", client.hear())
            for client in (mute, resting):  # read after we have shut it
                for number in (7, 8):  # the second would find a connection that was reset
                    client.say(request(number, f"{id(client) + number:016x}"))
                self.assertEqual("closed", client.hear())
            for client in (first, second, mute, resting):
                client.close()
            self.assertEqual([], [word for word in engine.rest() if word == "ASK"])
            self.assertEqual(0, gateway.ended())

    def test_it_ends_while_a_client_holds_on(self) -> None:
        """And answers what is asked up to its end, in pieces as well, but sends nothing of it on."""
        with Engine() as engine, Gateway(known=listed(engine)) as gateway:
            client = gateway.up().client()
            client.say(request(1)[:30])
            gateway.tell(ENDS)
            gateway.until_said("shutting down; 0 requests")
            begun = time.monotonic()
            client.say(request(1)[30:])
            _, name, link = engine.next()
            engine.serve(link, name)
            self.assertEqual(["1 6 bytes", "closed"], [client.hear(), client.hear()])
            self.assertEqual(0, gateway.ended())
            self.assertLess(time.monotonic() - begun, 3.7)

    def test_signals_until_the_very_end(self) -> None:
        with Gateway() as gateway:
            client = gateway.up().client()
            self.assertEqual("1 pass", client.say(status(1)).hear())
            gateway.tell(ENDS)
            while gateway.process.poll() is None:
                with contextlib.suppress(ProcessLookupError):
                    for one in (ENDS, HUP, USR1):
                        os.kill(gateway.process.pid, one)
                time.sleep(0.0005)
            self.assertEqual(0, gateway.process.returncode)
            self.assertEqual("closed", client.hear())
            client.close()

    def test_connections_in_the_queue_at_the_end(self) -> None:
        """The process stands still as its time to end comes; more come than it accepts in a turn."""
        settings = usual()
        settings["Services"][0]["GiveUp"] = 1000.0
        with Engine() as engine, Gateway(known=listed(engine), settings=settings) as gateway:
            gateway.up().tell(ENDS)
            gateway.until_said("shutting down; 0 requests")
            gateway.tell(signal.SIGSTOP)
            asking = [
                gateway.client().say(request(1, f"{number:016x}", timeout=900)) for number in range(150)
            ]
            mute = gateway.client()
            time.sleep(0.9)  # its time to end comes meanwhile
            gateway.tell(signal.SIGCONT)
            for client in asking:
                self.assertIn(client.hear(), ("1 -32000", "1 -32001"))
                self.assertEqual("closed", client.hear())
            self.assertEqual("closed", mute.hear())
            for client in (*asking, mute):
                client.close()
            self.assertEqual(0, gateway.ended())

    def test_killed_and_started_again_at_once(self) -> None:
        with Gateway() as gateway:
            client = gateway.up().client()
            self.assertEqual("1 pass", client.say(status(1)).hear())
            gateway.process.kill()
            gateway.process.wait()
            gateway.write(gateway.given | {"listen": "{}:{}".format(*gateway.address)})
            gateway.said.clear()
            again = gateway.up().client()
            self.assertEqual("1 pass", again.say(status(1)).hear())
            for one in (client, again):
                one.close()


class Start(unittest.TestCase):
    def test_signals_are_held_back_while_nobody_listens(self) -> None:
        """As the receiver is opened, as it is closed, and after that by whoever held them back before."""
        masks = []

        @contextlib.contextmanager
        def receiver(*caught: signal.Signals) -> Iterator[None]:
            masks.append(held())
            yield
            masks.append(held())

        def held() -> set:
            return set(signals.HANDLED_SIGNALS) & signal.pthread_sigmask(signal.SIG_BLOCK, ())

        before = signal.pthread_sigmask(signal.SIG_BLOCK, signals.HANDLED_SIGNALS)
        try:
            with (
                mock.patch.object(signals.anyio, "open_signal_receiver", receiver),
                signals.receive_signals(),
            ):
                masks.append(held())
            masks.append(held())
        finally:
            signal.pthread_sigmask(signal.SIG_SETMASK, before)
        every = set(signals.HANDLED_SIGNALS)
        self.assertEqual([every, set(), every, every], masks)

    def test_signals_before_it_serves(self) -> None:
        """All come as it reads its configuration; it serves after that, and ends in order."""
        with Gateway() as gateway, socket.create_server(("127.0.0.1", 0)) as coordinator:
            given = json.dumps(gateway.given | {"coordinator": f"127.0.0.1:{coordinator.getsockname()[1]}"})
            gateway.path.unlink()
            os.mkfifo(gateway.path)
            gateway.start()
            with open(gateway.path, "w") as file:  # it has been opened at the other end
                gateway.tell(ENDS, HUP, USR1, ENDS)
                time.sleep(0.05)
                file.write(given)
            # The list is still to come, and the new configuration is read as well, from a file by now.
            with contextlib.suppress(FileNotFoundError):
                gateway.path.unlink()
            client = gateway.serves().client()
            self.assertEqual("1 pass", client.say(status(1)).hear())
            self.assertEqual("closed", client.hear())
            client.close()
            self.assertEqual(0, gateway.ended())

    def test_configurations_that_cannot_be_used(self) -> None:
        """One line each, and nothing is served."""
        with mock.patch.object(Service, "run", self.serves):
            for text, given in (
                ("truncated", b"{"),
                ("recursion", DEEP),
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
                self.refuses(text, given)

    def test_addresses_that_cannot_be_listened_on(self) -> None:
        mask = signal.pthread_sigmask(signal.SIG_BLOCK, ())
        with socket.create_server(("127.0.0.1", 0)) as taken:
            for address in ("{}:{}".format(*taken.getsockname()), "192.0.2.1:1", "no.such.host.invalid:1"):
                self.refuses("can't be listened on", {"listen": address})
        self.assertEqual(mask, signal.pthread_sigmask(signal.SIG_BLOCK, ()))

    async def serves(self) -> None:
        raise AssertionError("it serves")

    def refuses(self, text: str, given: bytes | dict) -> None:
        with self.subTest(text), Gateway() as gateway:
            gateway.write(given if isinstance(given, bytes) else gateway.given | given)
            # Danger: the program collects what is left over in this process, and what other tests left open
            # would be named among its words.
            gc.collect()
            with (
                mock.patch.dict(os.environ, GW_CONFIG=str(gateway.path)),
                contextlib.redirect_stderr(io.StringIO()) as said,
            ):
                self.assertEqual(2, program.main())
            self.assertIn(text, said.getvalue())
            self.assertEqual(1, said.getvalue().count("\n"), said.getvalue())

    def test_an_unusable_configuration_ends_the_process(self) -> None:
        with Gateway() as gateway, socket.create_server(("127.0.0.1", 0)) as taken:
            gateway.write(gateway.given | {"listen": "{}:{}".format(*taken.getsockname())})
            self.assertEqual(2, gateway.start().ended())
            gateway.until_said("can't be listened on")
            self.assertEqual(1, len(gateway.said), gateway.said)

    def test_null_settings_are_left_out_and_unknown_ones_nobodys_business(self) -> None:
        made = usual(Zone=None, Other=[None])
        made |= dict.fromkeys(("Localities", "Flavors", "Safety", "Report"))
        made["Services"][0] |= {"StaysIn": None, "FlavorsOpen": [0], "More": {}, "Group": None}
        made["Services"][0] |= {"GoalTime": None, "AimStretch": None, "LateValue": None, "KeyTtl": None}
        made["Limits"] |= {"Anything": ["goes"], "ConnIdle": None, "StreamsPerConn": None}
        made["FamilyInfo"] |= {"Loads": None, "TellsEvery": None}
        with Engine() as engine, Gateway(settings=made, known=listed(engine)) as gateway:
            client = gateway.up().client()
            client.say(status(1) + request(2))
            self.assertEqual("1 pass", client.hear())
            _, name, link = engine.next()
            engine.serve(link, name)
            self.assertEqual("2 6 bytes", client.hear())
            client.close()
            gateway.tell(ENDS)
            self.assertEqual(0, gateway.ended())
            self.assertFalse([text for text in gateway.said if "fault" in text])


class Reload(unittest.TestCase):
    def test_configurations_that_cannot_be_used_leave_the_old_one(self) -> None:
        with Gateway() as gateway:
            client = gateway.up().client()
            bad = (
                b"{",
                DEEP,
                {"name": "n0"},
                gateway.given | {"settings": [1]},
                gateway.given | {"settings": {"Services": "none"}},
                gateway.given | {"coordinator": 7},
                gateway.given | {"coordinator": "nowhere"},
                gateway.given | {"limits": None},
            )
            for times, given in enumerate(bad, 1):
                gateway.write(given)
                gateway.tell(HUP)
                gateway.until_said("can't be used, the old one stays", times)
            gateway.path.unlink()
            gateway.tell(HUP)
            gateway.until_said("can't be used, the old one stays", len(bad) + 1)
            self.assertEqual("1 pass", client.say(status(1)).hear())
            gateway.tell(HUP, ENDS, HUP)
            self.assertEqual("closed", client.hear())
            client.close()
            self.assertEqual(0, gateway.ended())
            self.assertNotIn("Traceback", "".join(gateway.said))

    def test_what_a_new_configuration_no_longer_has(self) -> None:
        """Its class and tenant: what is out is answered, and all but the coordinator goes on as before."""
        with (
            Engine() as engine,
            socket.create_server(("127.0.0.1", 0)) as coordinator,
            Gateway(known=listed(engine)) as gateway,
        ):
            coordinator.settimeout(10)
            client = gateway.up().client().say(request(1))
            _, name, link = engine.next()
            address = f"127.0.0.1:{coordinator.getsockname()[1]}"
            gateway.write(gateway.given | {"settings": {}, "known": {}, "coordinator": address})
            gateway.tell(HUP)
            with coordinator.accept()[0] as watch:
                self.assertEqual((1).to_bytes(8, "big"), watch.recv(8))
            engine.serve(link, name)
            self.assertEqual("1 6 bytes", client.hear())
            client.say(request(2))
            _, name, link = engine.next()
            engine.serve(link, name)
            self.assertEqual("2 6 bytes", client.hear())
            client.close()


class Descriptors(unittest.TestCase):
    def test_idle_clients_leave_room_for_all_else(self) -> None:
        """They come all the time and hold all they can; status, links and the watch find room."""

        def crowd() -> None:
            while not over.wait(0.002):
                with contextlib.suppress(OSError):
                    idle.append(socket.create_connection(gateway.address, timeout=1))
                while len(idle) > 100:
                    idle.pop(0).close()

        idle: list[socket.socket] = []
        over, limit = threading.Event(), (64, 64)
        with socket.create_server(("127.0.0.1", 0)) as place:
            address = place.getsockname()  # where the coordinator is not yet
        given = {"coordinator": "{}:{}".format(*address), "limits": {"sockets": limit[0]}}
        with Engine() as engine, Gateway(known=listed(engine), **given) as gateway:
            gateway.start(preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, limit))
            gateway.serves()
            coming = threading.Thread(target=crowd)
            coming.start()
            try:
                while len(idle) < 90:
                    time.sleep(0.01)
                # As many as get a link of their own. In one piece: who has nothing open makes way.
                client = gateway.client().say(status(1), *(request(number) for number in range(2, 18)))
                self.assertEqual("1 pass", client.hear())
                out = [engine.next()[1:] for _ in range(16)]
                with socket.create_server(address) as coordinator:
                    coordinator.settimeout(5)
                    coordinator.accept()[0].close()
                another = gateway.client()
                self.assertEqual("1 pass", another.say(status(1)).hear())
                another.close()
                for name, link in out:
                    engine.serve(link, name)
                    self.assertIn("6 bytes", client.hear())
                client.close()
            finally:
                over.set()
                coming.join()
                for one in idle:
                    one.close()
            self.assertFalse([text for text in gateway.said if "can't accept" in text or "fault" in text])
            gateway.tell(ENDS)
            self.assertEqual(0, gateway.ended())


if __name__ == "__main__":
    unittest.main()
