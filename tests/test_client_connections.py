"""Connections of clients on loopback: reading, orderly end, eviction, and what follows a disconnect."""

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

BIG_RESULT = b"x" * 4_000_000


class ReadingTest(unittest.TestCase):
    def test_client_that_does_not_read_responses_is_still_read_from(self) -> None:
        """Its cancellations and its disconnect are noticed; its requests are rejected and not accepted."""

        async def scenario(harness: ListenerHarness) -> None:
            client = harness.client(small=True)
            client.sendall(request(1) + request(2) + request(3))
            await wait_until(lambda: len(harness.handler.accepted) == 3)
            harness.handler.sessions[0].succeed(1, BIG_RESULT)
            for data in (request(4), request(5), cancellation(2)):  # each is read separately
                client.sendall(data)
                await run_loop_turns()
            await wait_until(lambda: harness.handler.cancelled == [2])
            self.assertEqual([1, 2, 3], harness.handler.accepted)
            client.close()
            await wait_until(lambda: harness.handler.cancelled == [2, 3])
            self.assertEqual({}, harness.client_listener.connections)

        run_scenario(scenario)

    def test_client_that_does_not_read_but_keeps_sending_requests_is_disconnected(self) -> None:
        async def scenario(harness: ListenerHarness) -> None:
            client = harness.client(small=True)
            client.sendall(request(1) + request(2))
            await wait_until(lambda: len(harness.handler.accepted) == 2)
            harness.handler.sessions[0].succeed(1, BIG_RESULT)
            await anyio.to_thread.run_sync(client.sendall, b"".join(map(request, range(3, 2100))))
            await wait_until(lambda: harness.handler.cancelled == [2])
            self.assertEqual([1, 2], harness.handler.accepted)
            self.assertEqual(1, harness.client_listener.counters.counts["clients cut off"])

        run_scenario(scenario)

    def test_banned_client_is_still_read_from_until_its_requests_are_answered(self) -> None:
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

    def test_disconnect_of_a_banned_client_cancels_its_requests(self) -> None:
        for disconnect in (
            socket.socket.close,
            lambda client: client.shutdown(socket.SHUT_WR),
            close_with_reset,
        ):

            async def scenario(harness: ListenerHarness, disconnect: object = disconnect) -> None:
                client = harness.client()
                client.sendall(request(1) + 10 * b"no JSON\n")
                for _ in range(10):
                    await receive_response(client)
                self.assertEqual([], harness.handler.cancelled)
                disconnect(client)
                await wait_until(lambda: harness.handler.cancelled == [1])

            run_scenario(scenario)

    def test_requests_followed_by_a_disconnect_are_not_accepted(self) -> None:
        """However the client disconnects; one that only shuts down its side gets a rejection for each."""
        for disconnect in (
            socket.socket.close,
            lambda client: client.shutdown(socket.SHUT_WR),
            close_with_reset,
        ):
            for statement in (b"select 1", b"select 1" + b" " * 3_000):  # the second needs more than one read

                async def scenario(
                    harness: ListenerHarness, disconnect: object = disconnect, statement: bytes = statement
                ) -> None:
                    client = harness.client()
                    client.sendall(b"".join(request(number, "", statement) for number in range(1, 25)))
                    disconnect(client)
                    await wait_until(lambda: harness.client_listener.counters.counts["clients connected"])
                    await wait_until(lambda: not harness.client_listener.connections)
                    self.assertEqual([], harness.handler.accepted)
                    if client.fileno() >= 0:
                        responses = [f"{number} -32000" for number in range(1, 25)]
                        self.assertEqual((responses, "closed"), await receive_all(client))

                run_scenario(scenario)

    def test_disconnect_is_noticed_before_it_has_been_read(self) -> None:
        for disconnect in (
            socket.socket.close,
            lambda client: client.shutdown(socket.SHUT_WR),
            close_with_reset,
        ):

            async def scenario(harness: ListenerHarness, disconnect: object = disconnect) -> None:
                client = harness.client()
                client.sendall(request(1))
                await wait_until(lambda: harness.handler.accepted)
                session = harness.handler.sessions[0]
                self.assertFalse(session.has_left(1))
                disconnect(client)
                # The event loop has not read the end of stream yet.
                self.assertTrue(session.has_left(1))
                self.assertEqual([], harness.handler.cancelled)

            run_scenario(scenario)

    def test_client_that_sends_many_lines_does_not_delay_others(self) -> None:
        async def scenario(harness: ListenerHarness) -> None:
            busy, other = harness.client(), harness.client()
            await wait_until(lambda: len(harness.client_listener.connections) == 2)
            busy.sendall(status(1) * 2500)
            other.sendall(status(1))
            self.assertEqual("1 pass", await receive_response(other))
            busy_session = next(iter(harness.client_listener.connections))
            self.assertTrue(busy_session.has_buffered_lines or busy_session._transport.has_unread())
            for _ in range(2500):
                self.assertEqual("1 pass", await receive_response(busy))

        run_scenario(scenario)

    def test_request_received_byte_by_byte_is_accepted(self) -> None:
        async def scenario(harness: ListenerHarness) -> None:
            client = harness.client()
            client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            for offset in range(len(request(1))):
                client.sendall(request(1)[offset : offset + 1])
                await run_loop_turns(3)
            await wait_until(lambda: harness.handler.accepted == [1])

        run_scenario(scenario)


class ConnectionEndTest(unittest.TestCase):
    def test_unterminated_line_ends_the_connection_in_order(self) -> None:
        """Responses to open requests and the error arrive before the end of stream; no reset loses them."""

        async def scenario(harness: ListenerHarness) -> None:
            client = harness.client()
            client.sendall(request(1))
            await wait_until(lambda: harness.handler.accepted)
            await anyio.to_thread.run_sync(client.sendall, b"a" * 300_000)
            self.assertEqual("None -32600", await receive_response(client))
            harness.handler.sessions[0].succeed(1, b"a\tb\tc\n")
            client.sendall(b"a" * 100_000 + b"\n" + request(2))  # unread when the connection is ended
            responses, end = await receive_all(client)
            self.assertEqual(("1 6 bytes", "closed"), (responses[0], end))
            self.assertEqual([1], harness.handler.accepted)

        run_scenario(scenario)

    def test_request_received_before_an_idle_close_is_accepted(self) -> None:
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

    def test_requests_after_an_idle_close_are_discarded(self) -> None:
        """They are neither accepted nor answered, and the connection is not reset."""

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

    def test_client_that_does_not_disconnect_after_a_shutdown_is_closed(self) -> None:
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

    def test_unsent_responses_are_written_before_the_end(self) -> None:
        async def scenario(harness: ListenerHarness) -> None:
            client = harness.client(small=True)
            client.sendall(request(1))
            await wait_until(lambda: harness.handler.accepted)
            harness.handler.sessions[0].succeed(1, BIG_RESULT)
            harness.client_listener.close()
            await run_loop_turns()
            client.sendall(request(2))  # while the response is being written
            responses = await receive_all(client)
            self.assertEqual((["1 4000000 bytes", "2 -32000"], "closed"), responses)
            self.assertEqual([1], harness.handler.accepted)

        run_scenario(scenario)

    def test_client_silent_after_a_partial_line_is_closed(self) -> None:
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

    def test_connections_in_the_backlog_of_a_closing_listener_are_not_reset(self) -> None:
        """All are accepted and all their requests are rejected at once."""

        async def scenario(harness: ListenerHarness) -> None:
            await run_loop_turns(3)
            clients = [harness.client() for _ in range(100)]
            for client in clients[:50]:
                client.sendall(request(1))
            harness.client_listener.stop_listening()
            await run_loop_turns()
            for client in clients[50:75]:  # after the connection has been accepted
                client.sendall(request(1))
            await run_loop_turns()
            harness.client_listener.close()
            for position, client in enumerate(clients):
                responses = (["1 -32000"] if position < 75 else [], "closed")
                self.assertEqual(responses, await receive_all(client), position)
                client.close()
            self.assertEqual([], harness.handler.accepted)
            await wait_until(
                lambda: not harness.client_listener.connections
                and not harness.client_listener.closing_connections
            )
            with self.assertRaises(ConnectionRefusedError):
                harness.client()

        run_scenario(scenario, lambda: 200)


class ResourceLimitTest(unittest.TestCase):
    def test_handler_fault_ends_only_its_connection(self) -> None:
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

    def test_lack_of_descriptors_neither_ends_the_listener_nor_makes_it_spin(self) -> None:
        async def scenario(harness: ListenerHarness) -> None:
            attempts = []

            class ListenerWithoutDescriptors:
                def __getattr__(self, name: str) -> object:
                    return getattr(harness.listener, name)

                def accept(self) -> None:
                    attempts.append(1)
                    if len(attempts) > 3:
                        return harness.listener.accept()
                    raise OSError(errno.EMFILE, "too many open files")

            listener = ListenerWithoutDescriptors()
            with mock.patch.object(
                harness.client_listener,
                "_accept",
                lambda _: type(harness.client_listener)._accept(harness.client_listener, listener),
            ):
                client = harness.client()
                client.sendall(status(1))
                self.assertEqual("1 pass", await receive_response(client))
            self.assertLess(len(attempts), 8)

        self.assertIn("can't accept", run_scenario(scenario))

    def test_closing_connections_are_evicted_first(self) -> None:
        async def scenario(harness: ListenerHarness) -> None:
            closing, idle = harness.client(), harness.client()
            closing.sendall(status(1))
            self.assertEqual("1 pass", await receive_response(closing))
            await wait_until(lambda: len(harness.client_listener.connections) == 2)
            next(iter(harness.client_listener.connections)).close_idle(force=False)
            self.assertEqual("closed", await receive_response(closing))
            new_client = harness.client()
            new_client.sendall(status(1))
            self.assertEqual("1 pass", await receive_response(new_client))
            idle.sendall(status(2))
            self.assertEqual("2 pass", await receive_response(idle))
            self.assertEqual(
                (2, 0),
                (len(harness.client_listener.connections), len(harness.client_listener.closing_connections)),
            )

        run_scenario(scenario, lambda: 2)

    def test_clients_are_evicted_when_the_limit_falls(self) -> None:
        """The limit falls as connections to engines need descriptors, both with idle and with new clients."""
        max_connections = [10]

        async def scenario(harness: ListenerHarness) -> None:
            clients = [harness.client() for _ in range(10)]
            await wait_until(lambda: len(harness.client_listener.connections) == 10)
            max_connections[0] = 6
            harness.client_listener.close_idle()
            self.assertEqual(6, len(harness.client_listener.connections))
            max_connections[0] = 4
            clients.append(harness.client())
            await run_loop_turns()
            self.assertEqual(4, len(harness.client_listener.connections))

        run_scenario(scenario, lambda: max_connections[0])


if __name__ == "__main__":
    unittest.main()
