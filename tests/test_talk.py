"""The life of a client's connection and of a link to an engine, stepped without sockets."""

import json
from base64 import b64encode

from cresstray.clients.session import House, Next, Talk
from cresstray.engines import codec
from cresstray.engines.codec import BrokenError
from cresstray.engines.connection_pool import AnyLink, AnyPool, Quota
from cresstray.engines.in_flight import Exchange
from cresstray.observability.counters import Counters
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

    def has_ended(self) -> bool:
        return False


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


def withdrawal(number: int) -> bytes:
    told = {"jsonrpc": "2.0", "method": "withdraw", "params": {"id": number}}
    return json.dumps(told).encode() + b"\n"


def status() -> bytes:
    return b'{"jsonrpc":"2.0","id":1,"method":"status"}\n'


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

    def test_too_many_faults(self) -> None:
        """What is open is still answered, withdrawals are heard, the rest is refused; then it ends."""
        talk = self.talk()
        talk.receive(request(1) + request(2))
        for _ in range(9):
            self.assertEqual(Next.READ, talk.receive(b"no JSON\n"))
        self.assertFalse(talk.is_turned_out())
        del self.lines[:]
        self.assertEqual(Next.READ, talk.receive(3 * b"no JSON\n" + request(3) + withdrawal(2)))
        self.assertEqual(
            [-32700, -32000, "withdraws 2"],
            [line if line.startswith("w") else code_of(line) for line in self.lines],
        )
        self.assertEqual([1], list(talk.open))
        talk.abandon(1)
        self.assertEqual("ends once it is written", self.lines[-1])
        self.assertTrue(talk.may_shut(came=False))
        self.assertEqual(({}, [talk]), (self.house.connections, list(self.house.leaving)))
        seen = len(self.lines)
        self.assertEqual(Next.READ, talk.receive(request(4)))
        self.assertEqual(seen, len(self.lines))

    def test_what_is_sent_in_vain_is_bounded(self) -> None:
        for data in (b"no JSON\n", request(2), b"a"):  # the latter: parts of a line
            talk = self.talk()
            talk.receive(request(1) + 10 * b"no JSON\n")
            found = [talk.receive(data) for _ in range(2001)]
            self.assertEqual(({Next.READ}, Next.CLOSE), (set(found[:-1]), found[-1]))

    def test_a_client_that_does_not_read(self) -> None:
        """What it asks is refused, and heard again once it reads; what it withdraws is heard."""
        slow = self.talk(reads=False)
        slow.receive(request(1) + request(2))
        slow._wire.put(b" " * (256 * 1024 + 1))
        slow.receive(request(3) + withdrawal(2))
        self.assertEqual("withdraws 2", self.lines[-1])
        self.assertEqual(-32000, code_of(self.lines[-2]))
        slow._wire.waiting.clear()
        slow.receive(request(3))
        self.assertEqual("asks 3", self.lines[-1])
        slow._wire.put(b" " * (256 * 1024 + 1))
        found = [slow.receive(one) for _ in range(667) for one in (request(9), request(10), status())]
        self.assertEqual(Next.CLOSE, found[-1])
        self.assertEqual(2000, found.index(Next.CLOSE))

    def test_a_line_without_an_end(self) -> None:
        """Whether its end comes or not: one error, what is open is answered, what is behind it is refused."""
        for pieces in ((b"a" * 256 * 1024, b"a"), (b"a" * (256 * 1024 + 1) + b"\n",)):
            talk = self.talk()
            talk.receive(request(1))
            del self.lines[:]
            for piece in pieces:
                self.assertEqual(Next.READ, talk.receive(piece))
            self.assertEqual([-32600], list(map(code_of, self.lines)))
            self.assertEqual(0, self.house.unfinished)
            talk.receive(b"a" * 100_000)
            talk.receive(b"a" if len(pieces) > 1 else b"")
            talk.receive(b"\n" + request(2))
            self.assertEqual([1], list(talk.open))
            self.assertEqual(-32000, code_of(self.lines[-1]))
            talk.abandon(1)
            self.assertEqual("ends once it is written", self.lines[-1])
            talk.gone()
            self.assertEqual(0, self.house.unfinished)

    def test_of_too_many_half_lines_the_longest_is_given_up(self) -> None:
        """Not that of whoever sends next."""
        many = [self.talk() for _ in range(9)]
        longest, other = many[3], self.talk()
        for talk in many:
            talk.receive(b"a" * (250_000 if talk is longest else 230_000))
        self.assertFalse(longest.is_turned_out())
        other.receive(request(1)[:50])
        self.assertFalse(longest.is_turned_out())
        many[-1].receive(b"a" * 10_000)
        self.assertEqual([longest], [talk for talk in (*many, other) if talk.is_turned_out()])
        other.receive(request(1)[50:])
        self.assertEqual([1], list(other.open))
        self.assertLess(self.house.unfinished, 2 * 1024 * 1024)

    def test_many_lines_take_many_turns(self) -> None:
        talk = self.talk()
        talk.receive(250 * status() + status()[:9])
        self.assertEqual((100, True), (len(self.lines), talk.more))
        talk.close()  # not before all has been read
        talk.receive(b"")
        talk.receive(status()[9:])
        self.assertEqual((252, "ends once it is written"), (len(self.lines), self.lines[-1]))
        self.assertEqual((False, 0), (talk.more, self.house.unfinished))

    def test_behind_the_end_of_the_client(self) -> None:
        talk = self.talk()
        talk.receive(request(1) + status(), ended=True)
        self.assertEqual(({}, True), (talk.open, talk.has_left()))

    def test_silence(self) -> None:
        """Who says nothing is ended after 2.2 s, and stays if something has come; not 0.4 s later."""
        talk = self.talk()
        for self.now, came in ((2_199_999, False), (2_200_000, True), (2_599_999, True), (2_600_000, True)):
            self.house.close_silent()
            if self.lines and self.lines[-1] == "ends once it is written":
                self.lines.append(f"may be shut: {talk.may_shut(came)}")
            there = len(self.house.connections), len(self.house.leaving)
            self.lines.append(f"{self.now} us: {there[0]} there, {there[1]} leaving")
        self.check("talk_silent", self.lines)

    def test_who_does_not_read_the_last_answer(self) -> None:
        """It has ten seconds for it, then it is closed."""
        talk = self.talk(reads=False)
        talk.receive(request(1))
        talk.fulfil(1, b"a\tb\tc\n")
        for self.now, there in ((9_999_999, 1), (10_000_000, 0)):
            self.house.close_silent()
            self.assertEqual(there, len(self.house.connections))
        self.assertEqual("is closed", self.lines[-1])

    def test_what_waits_is_written_before_it_is_shut(self) -> None:
        talk = self.talk(reads=False)
        talk.receive(request(1))
        talk.close()
        self.assertNotIn("ends once it is written", self.lines)  # it is owed an answer
        talk.deny(1, 0)
        self.assertFalse(talk.may_shut(came=False))
        talk._wire.waiting.clear()
        self.assertTrue(talk.may_shut(came=True))
        self.assertEqual(2, self.lines.count("ends once it is written"))

    def test_who_makes_way(self) -> None:
        """Nobody who has something open, unread or unwritten."""
        asking, unread, unwritten, idle = (self.talk(reads=at != 2) for at in range(4))
        asking.receive(request(1))
        unread._wire.unread = True
        unwritten._wire.put(b"answer")
        made = [talk.make_way() for talk in (asking, unread, unwritten, idle)]
        self.assertEqual([False, False, False, True], made)


def code_of(line: str) -> int:
    return json.loads(line.removeprefix("hears "))["error"]["code"]


class Told(Exchange):
    """An exchange that keeps what its keeper is told."""

    def __init__(self, name: bytes) -> None:
        super().__init__(name, b"ASK " + name, self, None)

    def may_leave(self, exchange: Exchange) -> bool:
        return True

    def leaves(self, exchange: Exchange) -> None:
        """Its line is in the pipe."""

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
        self.lines, self.ended, self.waiting = lines, False, bytearray()

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
