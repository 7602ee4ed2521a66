"""The life of a client's connection and of a link to an engine, stepped without sockets."""

import json
from base64 import b64encode

from cresstray.clients.talk import House, Next, Talk
from cresstray.counters import Counters
from cresstray.engines import codec
from cresstray.engines.codec import BrokenError
from cresstray.engines.exchanges import Exchange
from cresstray.engines.pool import AnyLink, AnyPool, Quota
from tests.desk import TraceCase


class Wire:
    """Keeps what is put; a client that `reads` nothing leaves it waiting."""

    def __init__(self, lines: list[str], reads: bool = True) -> None:
        self.lines, self.reads, self.waiting = lines, reads, bytearray()
        self.unread = False

    def put(self, message: bytes) -> bool:
        self.lines.append(f"hears {message.decode().rstrip()}")
        if not self.reads:
            self.waiting += message
        return True

    def finish(self) -> None:
        self.lines.append("ends once it is written")

    def close(self) -> None:
        self.lines.append("is closed")

    def has_more(self) -> bool:
        return self.unread


class Front:
    def __init__(self, lines: list[str]) -> None:
        self.lines = lines

    def take(self, connection: Talk, number: int, query: object) -> None:
        self.lines.append(f"asks {number}")
        connection.open[number] = query

    def withdraw(self, connection: Talk, number: int | None, name: str | None) -> None:
        self.lines.append(f"withdraws {number or name}")
        connection.open.pop(number, None)

    def gone(self, connection: Talk) -> None:
        self.lines.append(f"is gone, {len(connection.open)} open")


def request(number: int) -> bytes:
    params = {"req": f"{number:016x}", "timeout": 900, "data": b64encode(b"select 1").decode()}
    return json.dumps({"jsonrpc": "2.0", "id": number, "method": "lookup", "params": params}).encode() + b"\n"


class Talks(TraceCase):
    def setUp(self) -> None:
        self.lines: list[str] = []
        self.now = 0
        self.house = House(
            frozenset(("lookup",)),
            Front(self.lines),
            lambda: 2,
            2,
            lambda: self.now,
            Counters(),
            lambda kind, text: None,
        )

    def talk(self, reads: bool = True) -> Talk:
        talk = Talk(self.house, Wire(self.lines, reads))
        self.house.connections[talk] = None
        return talk

    def test_every_cut_of_two_requests_is_the_same(self) -> None:
        data = request(1) + b"\n" + request(2)
        for at in range(len(data) + 1):
            self.lines.clear()
            talk = self.talk()
            self.assertEqual([Next.READ] * 2, [talk.receive(data[:at]), talk.receive(data[at:])])
            talk.fulfil(1, b"a\tb\tc\n")
            talk.gone()
            self.assertEqual(
                ["asks 1", "asks 2", "is gone, 1 open"],
                [line for line in self.lines if not line.startswith("hears")],
            )
            self.assertEqual((0, {}), (self.house.unfinished, self.house.connections))

    def test_what_is_asked_after_the_close_is_denied(self) -> None:
        """A client that reads slowly goes on asking while its last answer is written; none is sent on."""
        talk = self.talk(reads=False)
        talk.receive(request(1))
        talk.deny(1, 0)
        talk.close()
        self.assertEqual(Next.READ, talk.receive(request(2)))
        self.assertEqual({}, talk.open)
        self.check("talk_closing", self.lines)

    def test_what_ends_a_connection(self) -> None:
        talk = self.talk()
        talk.receive(request(1))
        bad = [talk.receive(b"no JSON\n") for _ in range(9)]
        self.assertEqual({Next.READ}, set(bad))
        self.assertEqual(Next.ANSWER, talk.receive(b"no JSON\n" + request(2)))
        self.assertTrue(talk.owes())
        talk.abandon(1)
        self.assertFalse(talk.owes())
        endless = self.talk()
        self.assertEqual(Next.READ, endless.receive(b"a" * 256 * 1024))
        self.assertEqual(Next.CLOSE, endless.receive(b"a"))
        slow = self.talk(reads=False)
        slow._wire.put(b" " * (256 * 1024 + 1))
        self.assertFalse(slow.may_read())
        self.assertNotIn("asks 2", self.lines)

    def test_silence(self) -> None:
        """Who says nothing is closed after 2.2 s, unless something has come; a second later in any case."""
        talk = self.talk()
        for self.now, unread in ((2_199_999, False), (2_200_000, True), (3_199_999, True), (3_200_000, True)):
            talk._wire.unread = unread
            self.house.close_silent()
            self.lines.append(f"{self.now} us: {len(self.house.connections)} there")
        self.check("talk_silent", self.lines)


class Told(Exchange):
    """An exchange that keeps what its keeper is told."""

    def __init__(self, name: bytes) -> None:
        super().__init__(name, b"ASK " + name, self, None)

    def answered(self, exchange: Exchange, answer: codec.Answer) -> bool:
        exchange.link.finish(exchange)
        return True


class PipeLink(AnyLink):
    def hang_up(self) -> None:
        self.pool.lines.append("hangs up")


class PipePool(AnyPool):
    """Links that are never up by themselves; what is put goes to `lines`."""

    def __init__(self, lines: list[str]) -> None:
        timers = type("Timers", (), {"after": lambda *_: None})()
        super().__init__(("e", 1), {}, Quota(1, 2), timers, lambda: 0, Counters())
        self.lines, self.ended = lines, False

    def dial(self) -> PipeLink:
        return PipeLink(self)

    def put(self, message: bytes) -> bool:
        self.lines.append(message.decode())
        return True

    def has_ended(self) -> bool:
        return self.ended


class Links(TraceCase):
    def test_a_refused_name_takes_another_link(self) -> None:
        """A second copy of the refusal would be taken for the next relay's answer, while that runs."""
        pool = PipePool([])
        for word, same in ((b"overload", False), (b"crashed", False), (b"served", True)):
            first, second = Told(b"one"), Told(b"one")
            pool.start(first)
            if first.link.line is None:
                first.link.up(pool)
            first.link.received(b"*4\r\n$3\r\none\r\n$%d\r\n%b\r\n$1\r\n-\r\n$0\r\n\r\n" % (len(word), word))
            pool.start(second)
            self.assertEqual(same, second.link is first.link, word)
            second.link.finish(second)
            first.link.close()
            first.link.gone()

    def test_refused_names_are_bounded(self) -> None:
        link = PipePool([]).dial()
        for number in range(1000):
            link.life.refuse(Told(b"%d" % number))
        self.assertEqual(
            (200, False, True), (len(link.life.refused), link.life.room_for(b"999"), link.life.room_for(b"1"))
        )

    def test_the_end_of_a_link_within_an_answer(self) -> None:
        pool = PipePool([])
        exchange = Told(b"one")
        pool.start(exchange)
        link = exchange.link
        link.up(pool)
        link.cut_short()  # nothing has begun
        self.assertIsNone(link.left())
        link.received(b"*4\r\n$3\r\n")
        self.assertEqual(0.25, link.left())
        for end in (link.cut_short, link.stopped):
            with self.assertRaises(BrokenError):
                end()
        pool.ended = True
        link.life.finish(exchange)
        self.assertFalse(link.start(Told(b"two")))
        self.assertEqual(["ASK one", "hangs up"], pool.lines)
