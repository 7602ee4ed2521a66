"""Clients' connections on loopback: read at all times, ended in order, and nothing of one that has gone."""

import errno
import socket
import unittest
from unittest import mock

import anyio
import anyio.to_thread

from cresstray.clients import client_connection
from tests.scripted import (
    ListenerHarness,
    cancellation,
    close_with_reset,
    receive_all,
    receive_response,
    request,
    run_loop_turns,
    run_scenario,
    status,
    wait_until,
)

BIG = b"x" * 4_000_000


class Reading(unittest.TestCase):
    def test_a_client_that_reads_nothing_is_read_all_the_same(self) -> None:
        """Its withdrawals and its end are heard, what it asks is refused and not sent on."""

        async def scenario(harness: ListenerHarness) -> None:
            client = harness.client(small=True)
            client.sendall(request(1) + request(2) + request(3))
            await wait_until(lambda: len(harness.handler.accepted) == 3)
            harness.handler.sessions[0].succeed(1, BIG)
            for data in (request(4), request(5), cancellation(2)):  # in a reading each
                client.sendall(data)
                await run_loop_turns()
            await wait_until(lambda: harness.handler.cancelled == [2])
            self.assertEqual([1, 2, 3], harness.handler.accepted)
            client.close()
            await wait_until(lambda: harness.handler.cancelled == [2, 3])
            self.assertEqual({}, harness.client_listener.connections)

        run_scenario(scenario)

    def test_a_client_that_reads_nothing_and_goes_on_asking_is_cut_off(self) -> None:
        async def scenario(harness: ListenerHarness) -> None:
            client = harness.client(small=True)
            client.sendall(request(1) + request(2))
            await wait_until(lambda: len(harness.handler.accepted) == 2)
            harness.handler.sessions[0].succeed(1, BIG)
            await anyio.to_thread.run_sync(client.sendall, b"".join(map(request, range(3, 2100))))
            await wait_until(lambda: harness.handler.cancelled == [2])
            self.assertEqual([1, 2], harness.handler.accepted)
            self.assertEqual(1, harness.client_listener.counters.counts["clients cut off"])

        run_scenario(scenario)

    def test_a_client_that_was_turned_out_is_read_all_the_same(self) -> None:
        async def scenario(harness: ListenerHarness) -> None:
            client = harness.client()
            client.sendall(request(1) + request(2) + 12 * b"no JSON\n" + request(3) + cancellation(2))
            await wait_until(lambda: harness.handler.cancelled == [2])
            self.assertEqual([1, 2], harness.handler.accepted)
            self.assertEqual(10 * ["None -32700"], [await receive_response(client) for _ in range(10)])
            self.assertEqual("3 -32000", await receive_response(client))
            harness.handler.sessions[0].succeed(1, b"a\tb\tc\n")
            self.assertEqual((["1 6 bytes"], "closed"), await receive_all(client))

        run_scenario(scenario)

    def test_the_end_of_a_client_that_was_turned_out_is_heard(self) -> None:
        for end in (socket.socket.close, lambda client: client.shutdown(socket.SHUT_WR), close_with_reset):

            async def scenario(harness: ListenerHarness, end: object = end) -> None:
                client = harness.client()
                client.sendall(request(1) + 10 * b"no JSON\n")
                for _ in range(10):
                    await receive_response(client)
                self.assertEqual([], harness.handler.cancelled)
                end(client)
                await wait_until(lambda: harness.handler.cancelled == [1])

            run_scenario(scenario)

    def test_a_client_that_writes_much_and_goes(self) -> None:
        """Nothing of it is sent on, however it went; who only shut its side hears that all is refused."""
        for end in (socket.socket.close, lambda client: client.shutdown(socket.SHUT_WR), close_with_reset):
            for statement in (b"select 1", b"select 1" + b" " * 3_000):  # the latter: more than one reading

                async def scenario(
                    harness: ListenerHarness, end: object = end, statement: bytes = statement
                ) -> None:
                    client = harness.client()
                    client.sendall(b"".join(request(number, "", statement) for number in range(1, 25)))
                    end(client)
                    await wait_until(lambda: harness.client_listener.counters.counts["clients connected"])
                    await wait_until(lambda: not harness.client_listener.connections)
                    self.assertEqual([], harness.handler.accepted)
                    if client.fileno() >= 0:
                        heard = [f"{number} -32000" for number in range(1, 25)]
                        self.assertEqual((heard, "closed"), await receive_all(client))

                run_scenario(scenario)

    def test_whether_a_client_has_left(self) -> None:
        for end in (socket.socket.close, lambda client: client.shutdown(socket.SHUT_WR), close_with_reset):

            async def scenario(harness: ListenerHarness, end: object = end) -> None:
                client = harness.client()
                client.sendall(request(1))
                await wait_until(lambda: harness.handler.accepted)
                talk = harness.handler.sessions[0]
                self.assertFalse(talk.has_disconnected())
                end(client)
                self.assertTrue(talk.has_disconnected())  # before the loop has read its end
                self.assertEqual([], harness.handler.cancelled)

            run_scenario(scenario)

    def test_a_flood_leaves_the_others_their_turn(self) -> None:
        async def scenario(harness: ListenerHarness) -> None:
            flood, other = harness.client(), harness.client()
            flood.sendall(status(1) * 2500)
            await wait_until(lambda: len(harness.client_listener.connections) == 2)
            other.sendall(status(1))
            self.assertEqual("1 pass", await receive_response(other))
            self.assertTrue(next(iter(harness.client_listener.connections)).has_buffered_lines)
            for _ in range(2500):
                self.assertEqual("1 pass", await receive_response(flood))

        run_scenario(scenario)

    def test_bytes_one_at_a_time(self) -> None:
        async def scenario(harness: ListenerHarness) -> None:
            client = harness.client()
            client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            for at in range(len(request(1))):
                client.sendall(request(1)[at : at + 1])
                await run_loop_turns(3)
            await wait_until(lambda: harness.handler.accepted == [1])

        run_scenario(scenario)


class Ending(unittest.TestCase):
    def test_a_line_without_an_end(self) -> None:
        """The answers of what is open, and the error, come whole before the end; nothing is reset."""

        async def scenario(harness: ListenerHarness) -> None:
            client = harness.client()
            client.sendall(request(1))
            await wait_until(lambda: harness.handler.accepted)
            await anyio.to_thread.run_sync(client.sendall, b"a" * 300_000)
            self.assertEqual("None -32600", await receive_response(client))
            harness.handler.sessions[0].succeed(1, b"a\tb\tc\n")
            client.sendall(b"a" * 100_000 + b"\n" + request(2))  # unread as it is ended
            heard, end = await receive_all(client)
            self.assertEqual(("1 6 bytes", "closed"), (heard[0], end))
            self.assertEqual([1], harness.handler.accepted)

        run_scenario(scenario)

    def test_what_has_come_is_read_before_an_idle_connection_is_ended(self) -> None:
        async def scenario(harness: ListenerHarness) -> None:
            client = harness.client()
            client.sendall(status(1))
            self.assertEqual("1 pass", await receive_response(client))
            harness.clock[0] = 5_000_000
            client.sendall(request(2))
            harness.client_listener.close_idle()
            self.assertEqual({}, harness.client_listener.connections)
            await wait_until(lambda: harness.handler.accepted == [2])
            self.assertEqual(1, len(harness.client_listener.connections))
            harness.handler.sessions[0].succeed(2, b"a\tb\tc\n")
            self.assertEqual("2 6 bytes", await receive_response(client))

        run_scenario(scenario)

    def test_what_comes_after_the_end_is_thrown_away(self) -> None:
        """It is not sent on, not answered, and not reset."""

        async def scenario(harness: ListenerHarness) -> None:
            client = harness.client()
            client.sendall(status(1))
            self.assertEqual("1 pass", await receive_response(client))
            harness.clock[0] = 5_000_000
            harness.client_listener.close_idle()
            self.assertEqual("closed", await receive_response(client))
            for number in (2, 3):
                client.sendall(request(number))
                await run_loop_turns()
            self.assertEqual(
                ("closed", [], 1),
                (
                    await receive_response(client),
                    harness.handler.accepted,
                    len(harness.client_listener.closing_connections),
                ),
            )
            client.close()
            await wait_until(lambda: not harness.client_listener.closing_connections)

        run_scenario(scenario)

    def test_a_client_that_does_not_hang_up_is_closed(self) -> None:
        async def scenario(harness: ListenerHarness) -> None:
            client = harness.client()
            client.sendall(status(1))
            self.assertEqual("1 pass", await receive_response(client))
            harness.clock[0] = 5_000_000
            harness.client_listener.close_idle()
            await wait_until(lambda: harness.client_listener.closing_connections)
            await wait_until(lambda: not harness.client_listener.closing_connections)

        with mock.patch.object(client_connection, "_DRAIN_TIMEOUT_S", 0.05):
            run_scenario(scenario)

    def test_what_waits_is_written_before_the_end(self) -> None:
        async def scenario(harness: ListenerHarness) -> None:
            client = harness.client(small=True)
            client.sendall(request(1))
            await wait_until(lambda: harness.handler.accepted)
            harness.handler.sessions[0].succeed(1, BIG)
            harness.client_listener.close()
            await run_loop_turns()
            client.sendall(request(2))  # while that is written
            heard = await receive_all(client)
            self.assertEqual((["1 4000000 bytes", "2 -32000"], "closed"), heard)
            self.assertEqual([1], harness.handler.accepted)

        run_scenario(scenario)

    def test_half_a_line_and_silence(self) -> None:
        async def scenario(harness: ListenerHarness) -> None:
            client = harness.client()
            client.sendall(request(1)[:-9])
            await wait_until(lambda: harness.client_listener.buffered_bytes)
            harness.clock[0] = 2_200_000
            harness.client_listener.close_idle()
            self.assertEqual("closed", await receive_response(client))
            client.close()
            await wait_until(lambda: not harness.client_listener.closing_connections)
            self.assertEqual(0, harness.client_listener.buffered_bytes)

        run_scenario(scenario)

    def test_the_queue_of_a_listener_that_is_closed(self) -> None:
        """All who wait in it are accepted, and all they ask is refused at once; none is reset."""

        async def scenario(harness: ListenerHarness) -> None:
            await run_loop_turns(3)
            clients = [harness.client() for _ in range(100)]
            for client in clients[:50]:
                client.sendall(request(1))
            harness.client_listener.stop_listening()
            await run_loop_turns()
            for client in clients[50:75]:  # after it has been accepted
                client.sendall(request(1))
            await run_loop_turns()
            harness.client_listener.close()
            for at, client in enumerate(clients):
                heard = (["1 -32000"] if at < 75 else [], "closed")
                self.assertEqual(heard, await receive_all(client), at)
                client.close()
            self.assertEqual([], harness.handler.accepted)
            await wait_until(
                lambda: not harness.client_listener.connections
                and not harness.client_listener.closing_connections
            )
            with self.assertRaises(ConnectionRefusedError):
                harness.client()

        run_scenario(scenario, lambda: 200)


class Room(unittest.TestCase):
    def test_a_fault_of_ours_ends_one_connection(self) -> None:
        async def scenario(harness: ListenerHarness) -> None:
            harness.handler.fails_on, harness.handler.fails_on_disconnect = 7, True
            other, client = harness.client(), harness.client()
            other.sendall(request(1))
            await wait_until(lambda: harness.handler.accepted == [1])
            client.sendall(request(7) + request(8)[:-9])
            self.assertEqual(([], "closed"), await receive_all(client))
            self.assertEqual(
                (1, 0, 0),
                (
                    len(harness.client_listener.connections),
                    len(harness.client_listener.closing_connections),
                    harness.client_listener.buffered_bytes,
                ),
            )
            harness.handler.sessions[0].succeed(1, b"a\tb\tc\n")
            self.assertEqual("1 6 bytes", await receive_response(other))
            harness.handler.fails_on_disconnect = False

        self.assertEqual(1, run_scenario(scenario).count("fault: a client's connection: Traceback"))

    def test_without_descriptors_nothing_spins_or_ends(self) -> None:
        async def scenario(harness: ListenerHarness) -> None:
            tried = []

            class Full:
                def __getattr__(self, name: str) -> object:
                    return getattr(harness.listener, name)

                def accept(self) -> None:
                    tried.append(1)
                    if len(tried) > 3:
                        return harness.listener.accept()
                    raise OSError(errno.EMFILE, "too many open files")

            full = Full()
            with mock.patch.object(
                harness.client_listener,
                "_accept",
                lambda _: type(harness.client_listener)._accept(harness.client_listener, full),
            ):
                client = harness.client()
                client.sendall(status(1))
                self.assertEqual("1 pass", await receive_response(client))
            self.assertLess(len(tried), 8)

        self.assertIn("can't accept", run_scenario(scenario))

    def test_who_leaves_makes_way_first(self) -> None:
        async def scenario(harness: ListenerHarness) -> None:
            leaves, idle = harness.client(), harness.client()
            leaves.sendall(status(1))
            self.assertEqual("1 pass", await receive_response(leaves))
            await wait_until(lambda: len(harness.client_listener.connections) == 2)
            next(iter(harness.client_listener.connections)).close_idle(force=False)
            self.assertEqual("closed", await receive_response(leaves))
            third = harness.client()
            third.sendall(status(1))
            self.assertEqual("1 pass", await receive_response(third))
            idle.sendall(status(2))
            self.assertEqual("2 pass", await receive_response(idle))
            self.assertEqual(
                (2, 0),
                (len(harness.client_listener.connections), len(harness.client_listener.closing_connections)),
            )

        run_scenario(scenario, lambda: 2)

    def test_links_that_need_descriptors_get_them(self) -> None:
        """Clients that idle, and come so often that none idles for long, do not keep more than is left."""
        most = [10]

        async def scenario(harness: ListenerHarness) -> None:
            clients = [harness.client() for _ in range(10)]
            await wait_until(lambda: len(harness.client_listener.connections) == 10)
            most[0] = 6
            harness.client_listener.close_idle()
            self.assertEqual(6, len(harness.client_listener.connections))
            most[0] = 4
            clients.append(harness.client())
            await run_loop_turns()
            self.assertEqual(4, len(harness.client_listener.connections))

        run_scenario(scenario, lambda: most[0])


if __name__ == "__main__":
    unittest.main()
