"""Clients' connections on loopback: read at all times, ended in order, and nothing of one that has gone."""

import errno
import socket
import unittest
from unittest import mock

import anyio
import anyio.to_thread

from cresstray.clients import client_connection
from tests.scripted import Stage, all_of, hear, on_stage, request, reset, status, turns, until, withdrawal

BIG = b"x" * 4_000_000


class Reading(unittest.TestCase):
    def test_a_client_that_reads_nothing_is_read_all_the_same(self) -> None:
        """Its withdrawals and its end are heard, what it asks is refused and not sent on."""

        async def scene(stage: Stage) -> None:
            client = stage.client(small=True)
            client.sendall(request(1) + request(2) + request(3))
            await until(lambda: len(stage.front.taken) == 3)
            stage.front.talks[0].succeed(1, BIG)
            for data in (request(4), request(5), withdrawal(2)):  # in a reading each
                client.sendall(data)
                await turns()
            await until(lambda: stage.front.withdrawn == [2])
            self.assertEqual([1, 2, 3], stage.front.taken)
            client.close()
            await until(lambda: stage.front.withdrawn == [2, 3])
            self.assertEqual({}, stage.door.connections)

        on_stage(scene)

    def test_a_client_that_reads_nothing_and_goes_on_asking_is_cut_off(self) -> None:
        async def scene(stage: Stage) -> None:
            client = stage.client(small=True)
            client.sendall(request(1) + request(2))
            await until(lambda: len(stage.front.taken) == 2)
            stage.front.talks[0].succeed(1, BIG)
            await anyio.to_thread.run_sync(client.sendall, b"".join(map(request, range(3, 2100))))
            await until(lambda: stage.front.withdrawn == [2])
            self.assertEqual([1, 2], stage.front.taken)
            self.assertEqual(1, stage.door.counters.counts["clients cut off"])

        on_stage(scene)

    def test_a_client_that_was_turned_out_is_read_all_the_same(self) -> None:
        async def scene(stage: Stage) -> None:
            client = stage.client()
            client.sendall(request(1) + request(2) + 12 * b"no JSON\n" + request(3) + withdrawal(2))
            await until(lambda: stage.front.withdrawn == [2])
            self.assertEqual([1, 2], stage.front.taken)
            self.assertEqual(10 * ["None -32700"], [await hear(client) for _ in range(10)])
            self.assertEqual("3 -32000", await hear(client))
            stage.front.talks[0].succeed(1, b"a\tb\tc\n")
            self.assertEqual((["1 6 bytes"], "closed"), await all_of(client))

        on_stage(scene)

    def test_the_end_of_a_client_that_was_turned_out_is_heard(self) -> None:
        for end in (socket.socket.close, lambda client: client.shutdown(socket.SHUT_WR), reset):

            async def scene(stage: Stage, end: object = end) -> None:
                client = stage.client()
                client.sendall(request(1) + 10 * b"no JSON\n")
                for _ in range(10):
                    await hear(client)
                self.assertEqual([], stage.front.withdrawn)
                end(client)
                await until(lambda: stage.front.withdrawn == [1])

            on_stage(scene)

    def test_a_client_that_writes_much_and_goes(self) -> None:
        """Nothing of it is sent on, however it went; who only shut its side hears that all is refused."""
        for end in (socket.socket.close, lambda client: client.shutdown(socket.SHUT_WR), reset):
            for statement in (b"select 1", b"select 1" + b" " * 3_000):  # the latter: more than one reading

                async def scene(stage: Stage, end: object = end, statement: bytes = statement) -> None:
                    client = stage.client()
                    client.sendall(b"".join(request(number, "", statement) for number in range(1, 25)))
                    end(client)
                    await until(lambda: stage.door.counters.counts["clients connected"])
                    await until(lambda: not stage.door.connections)
                    self.assertEqual([], stage.front.taken)
                    if client.fileno() >= 0:
                        heard = [f"{number} -32000" for number in range(1, 25)]
                        self.assertEqual((heard, "closed"), await all_of(client))

                on_stage(scene)

    def test_whether_a_client_has_left(self) -> None:
        for end in (socket.socket.close, lambda client: client.shutdown(socket.SHUT_WR), reset):

            async def scene(stage: Stage, end: object = end) -> None:
                client = stage.client()
                client.sendall(request(1))
                await until(lambda: stage.front.taken)
                talk = stage.front.talks[0]
                self.assertFalse(talk.has_disconnected())
                end(client)
                self.assertTrue(talk.has_disconnected())  # before the loop has read its end
                self.assertEqual([], stage.front.withdrawn)

            on_stage(scene)

    def test_a_flood_leaves_the_others_their_turn(self) -> None:
        async def scene(stage: Stage) -> None:
            flood, other = stage.client(), stage.client()
            flood.sendall(status(1) * 2500)
            await until(lambda: len(stage.door.connections) == 2)
            other.sendall(status(1))
            self.assertEqual("1 pass", await hear(other))
            self.assertTrue(next(iter(stage.door.connections)).has_buffered_lines)
            for _ in range(2500):
                self.assertEqual("1 pass", await hear(flood))

        on_stage(scene)

    def test_bytes_one_at_a_time(self) -> None:
        async def scene(stage: Stage) -> None:
            client = stage.client()
            client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            for at in range(len(request(1))):
                client.sendall(request(1)[at : at + 1])
                await turns(3)
            await until(lambda: stage.front.taken == [1])

        on_stage(scene)


class Ending(unittest.TestCase):
    def test_a_line_without_an_end(self) -> None:
        """The answers of what is open, and the error, come whole before the end; nothing is reset."""

        async def scene(stage: Stage) -> None:
            client = stage.client()
            client.sendall(request(1))
            await until(lambda: stage.front.taken)
            await anyio.to_thread.run_sync(client.sendall, b"a" * 300_000)
            self.assertEqual("None -32600", await hear(client))
            stage.front.talks[0].succeed(1, b"a\tb\tc\n")
            client.sendall(b"a" * 100_000 + b"\n" + request(2))  # unread as it is ended
            heard, end = await all_of(client)
            self.assertEqual(("1 6 bytes", "closed"), (heard[0], end))
            self.assertEqual([1], stage.front.taken)

        on_stage(scene)

    def test_what_has_come_is_read_before_an_idle_connection_is_ended(self) -> None:
        async def scene(stage: Stage) -> None:
            client = stage.client()
            client.sendall(status(1))
            self.assertEqual("1 pass", await hear(client))
            stage.clock[0] = 5_000_000
            client.sendall(request(2))
            stage.door.close_idle()
            self.assertEqual({}, stage.door.connections)
            await until(lambda: stage.front.taken == [2])
            self.assertEqual(1, len(stage.door.connections))
            stage.front.talks[0].succeed(2, b"a\tb\tc\n")
            self.assertEqual("2 6 bytes", await hear(client))

        on_stage(scene)

    def test_what_comes_after_the_end_is_thrown_away(self) -> None:
        """It is not sent on, not answered, and not reset."""

        async def scene(stage: Stage) -> None:
            client = stage.client()
            client.sendall(status(1))
            self.assertEqual("1 pass", await hear(client))
            stage.clock[0] = 5_000_000
            stage.door.close_idle()
            self.assertEqual("closed", await hear(client))
            for number in (2, 3):
                client.sendall(request(number))
                await turns()
            self.assertEqual(
                ("closed", [], 1), (await hear(client), stage.front.taken, len(stage.door.leaving))
            )
            client.close()
            await until(lambda: not stage.door.leaving)

        on_stage(scene)

    def test_a_client_that_does_not_hang_up_is_closed(self) -> None:
        async def scene(stage: Stage) -> None:
            client = stage.client()
            client.sendall(status(1))
            self.assertEqual("1 pass", await hear(client))
            stage.clock[0] = 5_000_000
            stage.door.close_idle()
            await until(lambda: stage.door.leaving)
            await until(lambda: not stage.door.leaving)

        with mock.patch.object(client_connection, "_DRAIN_TIMEOUT_S", 0.05):
            on_stage(scene)

    def test_what_waits_is_written_before_the_end(self) -> None:
        async def scene(stage: Stage) -> None:
            client = stage.client(small=True)
            client.sendall(request(1))
            await until(lambda: stage.front.taken)
            stage.front.talks[0].succeed(1, BIG)
            stage.door.close()
            await turns()
            client.sendall(request(2))  # while that is written
            heard = await all_of(client)
            self.assertEqual((["1 4000000 bytes", "2 -32000"], "closed"), heard)
            self.assertEqual([1], stage.front.taken)

        on_stage(scene)

    def test_half_a_line_and_silence(self) -> None:
        async def scene(stage: Stage) -> None:
            client = stage.client()
            client.sendall(request(1)[:-9])
            await until(lambda: stage.door.buffered_bytes)
            stage.clock[0] = 2_200_000
            stage.door.close_idle()
            self.assertEqual("closed", await hear(client))
            client.close()
            await until(lambda: not stage.door.leaving)
            self.assertEqual(0, stage.door.buffered_bytes)

        on_stage(scene)

    def test_the_queue_of_a_listener_that_is_closed(self) -> None:
        """All who wait in it are accepted, and all they ask is refused at once; none is reset."""

        async def scene(stage: Stage) -> None:
            await turns(3)
            clients = [stage.client() for _ in range(100)]
            for client in clients[:50]:
                client.sendall(request(1))
            stage.door.stop_listening()
            await turns()
            for client in clients[50:75]:  # after it has been accepted
                client.sendall(request(1))
            await turns()
            stage.door.close()
            for at, client in enumerate(clients):
                heard = (["1 -32000"] if at < 75 else [], "closed")
                self.assertEqual(heard, await all_of(client), at)
                client.close()
            self.assertEqual([], stage.front.taken)
            await until(lambda: not stage.door.connections and not stage.door.leaving)
            with self.assertRaises(ConnectionRefusedError):
                stage.client()

        on_stage(scene, lambda: 200)


class Room(unittest.TestCase):
    def test_a_fault_of_ours_ends_one_connection(self) -> None:
        async def scene(stage: Stage) -> None:
            stage.front.breaks_on, stage.front.breaks_at_the_end = 7, True
            other, client = stage.client(), stage.client()
            other.sendall(request(1))
            await until(lambda: stage.front.taken == [1])
            client.sendall(request(7) + request(8)[:-9])
            self.assertEqual(([], "closed"), await all_of(client))
            self.assertEqual(
                (1, 0, 0), (len(stage.door.connections), len(stage.door.leaving), stage.door.buffered_bytes)
            )
            stage.front.talks[0].succeed(1, b"a\tb\tc\n")
            self.assertEqual("1 6 bytes", await hear(other))
            stage.front.breaks_at_the_end = False

        self.assertEqual(1, on_stage(scene).count("fault: a client's connection: Traceback"))

    def test_without_descriptors_nothing_spins_or_ends(self) -> None:
        async def scene(stage: Stage) -> None:
            tried = []

            class Full:
                def __getattr__(self, name: str) -> object:
                    return getattr(stage.listener, name)

                def accept(self) -> None:
                    tried.append(1)
                    if len(tried) > 3:
                        return stage.listener.accept()
                    raise OSError(errno.EMFILE, "too many open files")

            full = Full()
            with mock.patch.object(
                stage.door, "_accept", lambda _: type(stage.door)._accept(stage.door, full)
            ):
                client = stage.client()
                client.sendall(status(1))
                self.assertEqual("1 pass", await hear(client))
            self.assertLess(len(tried), 8)

        self.assertIn("can't accept", on_stage(scene))

    def test_who_leaves_makes_way_first(self) -> None:
        async def scene(stage: Stage) -> None:
            leaves, idle = stage.client(), stage.client()
            leaves.sendall(status(1))
            self.assertEqual("1 pass", await hear(leaves))
            await until(lambda: len(stage.door.connections) == 2)
            next(iter(stage.door.connections)).close_idle(force=False)
            self.assertEqual("closed", await hear(leaves))
            third = stage.client()
            third.sendall(status(1))
            self.assertEqual("1 pass", await hear(third))
            idle.sendall(status(2))
            self.assertEqual("2 pass", await hear(idle))
            self.assertEqual((2, 0), (len(stage.door.connections), len(stage.door.leaving)))

        on_stage(scene, lambda: 2)

    def test_links_that_need_descriptors_get_them(self) -> None:
        """Clients that idle, and come so often that none idles for long, do not keep more than is left."""
        most = [10]

        async def scene(stage: Stage) -> None:
            clients = [stage.client() for _ in range(10)]
            await until(lambda: len(stage.door.connections) == 10)
            most[0] = 6
            stage.door.close_idle()
            self.assertEqual(6, len(stage.door.connections))
            most[0] = 4
            clients.append(stage.client())
            await turns()
            self.assertEqual(4, len(stage.door.connections))

        on_stage(scene, lambda: most[0])


if __name__ == "__main__":
    unittest.main()
