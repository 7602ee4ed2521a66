"""Tests of the codecs: data in pieces of any size, malformed data, and the round trip of values."""

import base64
import json
import struct
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec
from hypothesis import HealthCheck, Phase, given, settings
from hypothesis import strategies as some

from cresstray.clients import codec as client_codec
from cresstray.clients.connection_registry import ConnectionRegistry
from cresstray.clients.ports import NextAction
from cresstray.clients.session import ClientSession
from cresstray.config import lines as conf_lines
from cresstray.config import operator
from cresstray.consensus import codec as consensus_codec
from cresstray.control_plane import codec as control_plane_codec
from cresstray.discovery import codec as event_codec
from cresstray.discovery import endpoint_list
from cresstray.engines import codec as engine_codec
from cresstray.engines.result_pages import ResultPages
from cresstray.fleet_config import codec as fleet_config_codec
from cresstray.membership import snapshot as record
from cresstray.observability.counters import Counters
from cresstray.sites import codec as sites_codec
from cresstray.tables import find_table_group
from cresstray.transport.framing import MAX_FRAME_BYTES, FrameDecoder, FramingError, encode_frame
from tests.harness import TraceCase

PARAMS = {
    "req": "9b1f03aa5c7e2d41",
    "timeout": 1500,
    "owner": "acme",
    "opkey": "5c0f",
    "ms": 820,
    "est_mb": 96.5,
    "data": base64.b64encode(b"select 1").decode(),
}


def call(**changes: object) -> bytes:
    """Returns a well-formed call with some members changed; a member that is None is left out."""
    params = PARAMS | changes.pop("params", {})
    params = {name: value for name, value in params.items() if value is not None}
    whole = {"jsonrpc": "2.0", "id": 7, "method": "report", "params": params} | changes
    return json.dumps({name: value for name, value in whole.items() if value is not None}).encode()


class ClientCodecTest(TraceCase):
    """The JSON-RPC lines of clients."""

    def test_lines_are_decoded_or_rejected_with_a_code(self) -> None:
        lines = []
        for text, line in [
            ("a call", call()),
            ("a status", call(method="status", params={})),
            ("a withdrawal by id", b'{"jsonrpc":"2.0","method":"withdraw","params":{"id":7}}'),
            ("a withdrawal by name", b'{"jsonrpc":"2.0","method":"withdraw","params":{"req":"9b1f"}}'),
            ("no JSON", b"select 1"),
            ("a line cut short", call()[:60]),
            ("not UTF-8", b'{"jsonrpc":"\xff"}'),
            ("a batch", b"[" + call() + b"]"),
            ("nested without end", b"[" * 100_000),
            ("a wrong version", call(jsonrpc="1.0")),
            ("no version", call(jsonrpc=None)),
            ("no id", call(id=None)),
            ("an id of text", call(id="7")),
            ("an id below 1", call(id=0)),
            ("an id beyond all bounds", call(id=2**70)),
            ("an unknown method", call(method="rapport")),
            ("a method of another type", call(method=5)),
            ("params of another type", call(params={"req": 5})),
            ("no name", call(params={"req": None})),
            ("a name too short", call(params={"req": "9b1f"})),
            ("no time limit", call(params={"timeout": None})),
            ("none left", call(params={"timeout": 0})),
            ("an endless time limit", call(params={"timeout": 1e300})),
            ("bad base64", call(params={"data": "%%"})),
            ("a mark with a comma", call(params={"opkey": "a,c=x"})),
            ("a mark with a line feed behind it", call(params={"opkey": "a\n"})),
            ("a name with a line feed behind it", call(params={"req": "9b1f03aa5c7e2d41\n"})),
            ("an id nested without end", b'{"jsonrpc":1,"id":' + b"[" * 5_000 + b"]" * 5_000 + b"}"),
            ("an estimate below zero", call(params={"ms": -1})),
        ]:
            try:
                number, message = client_codec.decode(line, frozenset(("report",)))
                lines.append(f"{text}: {number} {message}")
            except client_codec.MalformedMessageError as error:
                lines.append(f"{text}: {error.code} to {error.request_id}")
        self.check("rpc_lines", lines)

    def test_answers_are_encoded_as_lines(self) -> None:
        self.check(
            "rpc_answers",
            [
                answer.decode().rstrip("\n")
                for answer in (
                    client_codec.encode_success(7, b"a\tb\tc\n"),
                    client_codec.encode_status(1),
                    client_codec.encode_rejection(7, 200),
                    client_codec.encode_rejection(7, 0),
                    client_codec.encode_error(None, client_codec.PARSE_ERROR, "no JSON"),
                )
            ],
        )


def array(*parts: bytes) -> bytes:
    """Returns an array of bulk strings in RESP."""
    return b"*%d\r\n" % len(parts) + b"".join(b"$%d\r\n%b\r\n" % (len(part), part) for part in parts)


class EngineCodecTest(TraceCase):
    """The RESP messages of engines, and the pages of results."""

    def test_answers_are_decoded_from_pieces_of_any_size(self) -> None:
        stream = (
            array(b"q1", b"served", b"sheets=2,load=inflight:7;util:0.61;x0:1.2", b"a\tb\tc\n")
            + array(b"q2", b"overload", b"load=inflight:9", b"")
            + array(b"q1", b"rows", b"sheet=1", b"\r\n\t\n")
            + array(b"t", b"green", b"-", b"")
        )
        whole = engine_codec.AnswerDecoder().feed(stream)
        bytewise, decoder = [], engine_codec.AnswerDecoder()
        for position in range(len(stream)):
            bytewise += decoder.feed(stream[position : position + 1])
        self.assertEqual(whole, bytewise)
        self.check("resp_answers", [str(answer) for answer in whole])

    def test_malformed_answers_are_rejected(self) -> None:
        lines = []
        for text, data in [
            ("no RESP", b"HTTP/1.1 200 OK\r\n\r\n"),
            ("a number", b":1\r\n"),
            ("a bare string", b"$2\r\nok\r\n"),
            ("endless parts", b"*400000000\r\n$1\r\na\r\n"),
            ("three parts", b"*3\r\n$1\r\n"),
            ("a part that is none", b"*4\r\n$-1\r\n"),
            ("a length without an end", b"*4\r\n$1111111111"),
            ("three gigabytes", b"*4\r\n$1\r\nq\r\n$6\r\nserved\r\n$1\r\n-\r\n$3000000000\r\n"),
            ("too long a name", array(b"q" * 65, b"served", b"-", b"")),
            ("a length that does not fit", b"*4\r\n$1\r\nquery\r\n"),
            ("an unknown word", array(b"q", b"done", b"-", b"")),
            ("a count that is no number", array(b"q", b"served", b"sheets=x", b"")),
            ("no page at all", array(b"q", b"served", b"sheets=0", b"")),
            ("rows without a page", array(b"q", b"rows", b"-", b"")),
            ("a report that is none", array(b"q", b"served", b"load=inflight", b"")),
            ("a report that is no number", array(b"q", b"served", b"load=util:nan", b"")),
            ("a report beyond all bounds", array(b"q", b"served", b"load=util:1e300", b"")),
            ("a report below none", array(b"q", b"served", b"load=util:-1", b"")),
        ]:
            with self.assertRaises(engine_codec.EngineProtocolError, msg=text) as caught:
                engine_codec.AnswerDecoder().feed(data)
            lines.append(f"{text}: {caught.exception}")
        self.check("resp_malformed", lines)

    def test_complete_answers_before_malformed_data_are_returned(self) -> None:
        decoder, valid = engine_codec.AnswerDecoder(), array(b"q", b"served", b"-", b"a\tb\tc\n")
        self.assertEqual([b"q"], [answer.name for answer in decoder.feed(valid + b"noise\r\n" + valid)])
        for _ in range(2):
            with self.assertRaises(engine_codec.EngineProtocolError):
                decoder.feed(b"")

    def test_requests_are_encoded_as_commands(self) -> None:
        self.check(
            "resp_requests",
            [
                repr(message)
                for message in (
                    engine_codec.encode_request(b"9b1f", "report", 1500, "", b"select 1"),
                    engine_codec.encode_request(b"9b1f", "load", 1500, "5c0f", b"\r\n"),
                    engine_codec.encode_page_requests(b"9b1f", 3),
                    engine_codec.encode_cancellation(b"9b1f"),
                    engine_codec.encode_release(b"9b1f"),
                )
            ],
        )

    def test_pages_are_assembled_in_order_and_invalid_ones_rejected(self) -> None:
        lines = []
        pages = ResultPages(4, b"a\t0\t\n")
        for number, body in (
            (3, b"a\t3\t\n"),
            (1, b"a\t1\t\nb\t1\t\n"),
            (1, b"a\tcopy\t\n"),
            (4, b""),
            (2, b"a\t2\n"),
            (2, b"a\t2\t"),
            (2, b"a\t2\t\nrest"),
            (2, b"\xff\t2\t\n"),
            (2, 21_000 * b"\t\t\n"),
            (2, b""),
        ):
            try:
                kind = "new" if pages.add(number, body) else "a copy"
                lines.append(f"page {number}: {kind}, {pages.assemble()}")
            except engine_codec.EngineProtocolError as error:
                lines.append(str(error))
        lines.append(f"a single page: {ResultPages(1, b'').assemble()}")
        self.check("pages", lines)


def frame(number: int, kind: int, *records: tuple) -> bytes:
    """Returns a frame of discovery; `number` is its index."""
    body = struct.pack(">QB", number, kind) + b"".join(
        struct.pack(">IIHBBBHIQ", *record_fields) for record_fields in records
    )
    return struct.pack(">I", len(body)) + body


class DiscoveryCodecTest(TraceCase):
    """The frames of the watch and the initial list."""

    SETTINGS = {"Localities": ["east", "west"], "Flavors": ["std", "big"]}
    RECORD = (0xC41F7A, 0x0A010009, 7001, 1, 1, 0, 2, 4000, 1_700_000_000_000)

    def test_frames_in_pieces_and_the_initial_list_give_the_same_events(self) -> None:
        later_record = (1, 0x7F000001, 80, 2, 0, 1, 0, 0, 0)
        stream = frame(41, 1, self.RECORD) + frame(41, 0) + frame(42, 2, later_record)
        whole = event_codec.EventDecoder().feed(stream)
        bytewise, decoder = [], event_codec.EventDecoder()
        for position in range(len(stream)):
            bytewise += decoder.feed(stream[position : position + 1])
        self.assertEqual(whole, bytewise)
        initial_list = endpoint_list.InitialList(
            41,
            [
                endpoint_list._Update(
                    41,
                    endpoint_list._Endpoints(
                        True,
                        [
                            endpoint_list._Member(
                                "s-00c41f7a",
                                "10.1.0.9:7001",
                                "west",
                                "std",
                                2,
                                "terminating",
                                1_700_000_000_000,
                            )
                        ],
                    ),
                )
            ],
        )
        self.assertEqual(endpoint_list.initial_events(initial_list, self.SETTINGS), whole[:1])
        self.check("events", [str(event) for event in whole])

    def test_malformed_frames_and_lists_are_rejected(self) -> None:
        lines = []
        for text, data in [
            ("an unknown kind", frame(1, 3)),
            ("a length too short", struct.pack(">I", 8)),
            ("a length beyond all bounds", struct.pack(">I", 2**31)),
            ("a record cut short", struct.pack(">IQB", 12, 1, 2) + b"abc"),
            ("an unknown state", frame(1, 2, (1, 1, 1, 3, 0, 0, 0, 0, 0))),
        ]:
            with self.assertRaises(endpoint_list.MalformedEventError, msg=text) as caught:
                event_codec.EventDecoder().feed(data)
            lines.append(f"{text}: {caught.exception}")
        for name, change in [("id", "x"), ("host_port", "10.1.0.9"), ("phase", "asleep")]:
            member = endpoint_list._Member("s-1", "10.1.0.9:7001", "east", "std")
            setattr(member, name, change)
            initial_list = endpoint_list.InitialList(
                1, [endpoint_list._Update(1, endpoint_list._Endpoints(True, [member]))]
            )
            with self.assertRaises(endpoint_list.MalformedEventError, msg=name) as caught:
                endpoint_list.initial_events(initial_list, self.SETTINGS)
            lines.append(f"{name} {change}: {caught.exception}")
        self.check("events_malformed", lines)

    def test_unknown_zones_and_instance_types_get_positions_of_their_own(self) -> None:
        (event,) = event_codec.EventDecoder().feed(
            frame(1, 1, (1, 1, 1, 0, 7, 9, 0, 0, 0), (2, 1, 1, 0, 1, 0, 0, 0, 0))
        )
        initial_list = endpoint_list.InitialList(
            1,
            [
                endpoint_list._Update(
                    1,
                    endpoint_list._Endpoints(
                        True,
                        [
                            endpoint_list._Member(f"s-{number}", "10.1.0.9:7001", zone, kind)
                            for number, (zone, kind) in enumerate(
                                [("west", "std"), ("north", "huge"), ("south", "std"), ("north", "big")]
                            )
                        ],
                    ),
                )
            ],
        )
        events = [
            (f"frame {event.index}", event),
            ("known", endpoint_list.initial_events(initial_list, self.SETTINGS)[0]),
            ("settings without any", endpoint_list.initial_events(initial_list, {})[0]),
        ]
        self.check(
            "events_unnamed",
            [
                f"{text}: zones {[endpoint.zone for endpoint in listed.endpoints]}, kinds "
                f"{[endpoint.instance_type for endpoint in listed.endpoints]}"
                for text, listed in events
            ],
        )


class TableGroupTest(TraceCase):
    """The table group that a statement reads from."""

    def test_only_the_beginning_of_a_statement_is_read(self) -> None:
        """A line has up to 256 kB; reading all of such a statement would block the event loop too long."""
        for filler in ("x.", "from x ", "join  ", "a "):
            for offset in (3_000, 200_000):
                statement = filler * (offset // len(filler)) + " from sales_17.t"
                with self.subTest(filler, behind=offset):
                    self.assertEqual(17 if offset < 4_096 else 0, find_table_group(statement))

    def test_number_that_is_too_long_is_no_group(self) -> None:
        long_number = "7" * 5000
        for statement in (
            f"select 1 from a_{long_number}.t",
            f'select 1 from "a_{long_number}".t',
            f"select extract(day from a) from a_{long_number}.t",
        ):
            with self.subTest(statement[:30]):
                self.assertEqual(0, find_table_group(statement))
        self.assertEqual(17, find_table_group("select 1 from sales_000000000000000017.t"))

    def test_groups_of_statements(self) -> None:
        self.check(
            "groups",
            [
                f"{find_table_group(text):>3}  {text!r}"
                for text in (
                    "select 1",
                    "select * from orders",
                    "select a from sales_17.orders where b = 1",
                    "SELECT a -- from a_1.b\nFROM mart_9.stock",
                    "/* from a_1.b */ update ops_8.t set a = 1",
                    'select \'it\'\'s from a_1.b\' from "ops_4"."or""ders"',
                    'select "from a_1.b" from c_2.d',
                    "with w as (select * from ops_9.stock) select id from w",
                    "insert into lake_5.x select * from staging.y",
                    "insert into staging.x select * from lake_6.y",
                    "select t_3.a from plain t_3, lake_7.b t_4",
                    "select extract(day from t_3.x) from plain t_3 join db.lake_6.z on true",
                    "select a is distinct from t_3.b from lake_11.c t_3",
                    "copy lake_12.t from '/tmp/from a_1.b'",
                    "merge into staging.t using (select * from k_7.z) s on true",
                    "delete from only k_10.z using b",
                    "select 'open from a_1.b",
                    "",
                    "select 1 from x_y.z",
                    "select 1 from lake_0.z",
                    "from . from ) ( ,",
                )
            ],
        )


# Hypothesis derives the seed of a property from its source, decorators included. Any change of the text of a
# property below changes the tested cases.
usually = settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=150,
    phases=(Phase.generate, Phase.shrink),
    suppress_health_check=list(HealthCheck),
)
# The frames on links between sites, and on links between control-plane nodes, gateways and operators.
SITE_FRAMES = sites_codec._KINDS
FLEET_FRAMES = (*consensus_codec.KINDS, *fleet_config_codec.KINDS, control_plane_codec.KeepAlive)


def values_of(kind: Any) -> some.SearchStrategy:
    """Returns a strategy for values of a type, within its bounds, as msgspec describes it."""
    types = msgspec.inspect
    if isinstance(kind, types.IntType):
        low = kind.ge if kind.ge is not None else -(2**63) if kind.gt is None else kind.gt + 1
        high = kind.le if kind.le is not None else 2**63 - 1 if kind.lt is None else kind.lt - 1
        return some.integers(low, high)
    if isinstance(kind, types.FloatType):
        return some.floats(kind.ge, kind.le, allow_nan=False, allow_infinity=False)
    if isinstance(kind, types.BoolType):
        return some.booleans()
    if isinstance(kind, types.StrType):
        max_length = min(20, kind.max_length or 20)
        return (
            some.from_regex(kind.pattern.replace("$", r"\Z"), fullmatch=True)
            if kind.pattern
            else some.text(min_size=kind.min_length or 0, max_size=max_length)
        )
    if isinstance(kind, types.BytesType):
        return some.binary(min_size=kind.min_length or 0, max_size=min(50, kind.max_length or 50))
    if isinstance(kind, types.ListType):
        return some.lists(values_of(kind.item_type), max_size=4)
    if isinstance(kind, types.VarTupleType):
        return some.lists(values_of(kind.item_type), max_size=4).map(tuple)
    if isinstance(kind, types.TupleType):
        return some.tuples(*map(values_of, kind.item_types))
    if isinstance(kind, types.DictType):
        return some.dictionaries(values_of(kind.key_type), values_of(kind.value_type), max_size=3)
    if isinstance(kind, types.UnionType):
        return some.one_of([values_of(one) for one in kind.types])
    if isinstance(kind, types.NoneType):
        return some.none()
    if isinstance(kind, types.LiteralType):
        return some.sampled_from(kind.values)
    assert isinstance(kind, types.StructType), kind
    return some.builds(kind.cls, **{field.name: values_of(field.type) for field in kind.fields})


def made(*kinds: type) -> some.SearchStrategy:
    """Returns a strategy for instances of the types."""
    return some.one_of([values_of(msgspec.inspect.type_info(kind)) for kind in kinds])


def almost(valid: some.SearchStrategy) -> some.SearchStrategy:
    """Returns a strategy for valid data in which a few bytes are replaced, removed or inserted."""

    def apply_changes(drawn: tuple[bytes, list[tuple[int, int, bytes]]]) -> bytes:
        data, changes = drawn
        for position, removed_count, inserted in changes:
            position %= len(data) + 1
            data = data[:position] + inserted + data[position + removed_count :]
        return data

    change = some.tuples(some.integers(0, 2**16), some.integers(0, 3), some.binary(max_size=4))
    return some.tuples(valid, some.lists(change, max_size=3)).map(apply_changes)


def cut(data: bytes, sizes: list[int]) -> list[bytes]:
    """Cuts the data into pieces of these sizes and a last one with the rest."""
    pieces, position = [], 0
    for size in sizes:
        pieces.append(data[position : position + size])
        position += size
    return [*pieces, data[position:]]


CUTS = some.lists(some.integers(0, 40), max_size=8)
NAMES = some.from_regex(r"[0-9a-f]{16}", fullmatch=True)
REQUESTS = some.builds(
    lambda name, number, statement, mark: call(
        id=number, params={"req": name, "opkey": mark, "data": base64.b64encode(statement).decode()}
    ),
    NAMES,
    some.integers(1, 2**63 - 1),
    some.binary(min_size=1, max_size=60),
    some.from_regex(r"[0-9A-Za-z_.:-]{0,16}", fullmatch=True),
)
ANSWERS = some.builds(
    array,
    some.binary(max_size=64),
    some.sampled_from(sorted(engine_codec.ANSWER_KINDS)),
    some.sampled_from((b"-", b"sheets=2", b"sheet=1", b"load=util:0.5;inflight:2")),
    some.binary(max_size=60),
)
EVENTS = some.builds(
    lambda number, kind, records: frame(number, kind, *records),
    some.integers(0, 2**64 - 1),
    some.sampled_from((1, 2)),
    some.lists(
        some.tuples(
            some.integers(0, 2**32 - 1),
            some.integers(0, 2**32 - 1),
            some.integers(0, 65_535),
            some.integers(0, 2),
            some.integers(0, 255),
            some.integers(0, 255),
            some.integers(0, 65_535),
            some.integers(0, 2**32 - 1),
            some.integers(0, 2**50),
        ),
        max_size=3,
    ),
)


class ArbitraryBytesTest(TraceCase):
    """Arbitrary and almost valid data in any pieces gives values or the stated error, in bounded memory."""

    def read(
        self,
        feed: Callable[[bytes], list],
        data: bytes,
        sizes: list[int],
        error: type[Exception],
        buffered_size: Callable[[], int],
        max_buffered_size: int,
    ) -> list | None:
        """Returns the decoded values; None if the decoder raises `error`."""
        values = []
        try:
            for piece in cut(data, sizes):
                # A decoder returns the values before malformed data first, and raises at its next call.
                while decoded := feed(piece):
                    values, piece = values + decoded, b""
                self.assertLessEqual(buffered_size(), max_buffered_size)
        except error:
            return None
        return values

    def test_client_requests(self) -> None:
        @usually
        @given(almost(REQUESTS) | some.binary(max_size=80))
        def never_fails(line: bytes) -> None:
            try:
                client_codec.decode(line, frozenset(("report",)))
            except client_codec.MalformedMessageError as error:
                self.assertTrue(error.request_id is None or error.request_id >= 1)

        @usually
        @given(REQUESTS)
        def round_trip(line: bytes) -> None:
            number, query = client_codec.decode(line, frozenset(("report",)))
            told = json.loads(line)
            self.assertEqual(
                (told["id"], told["params"]["req"], base64.b64decode(told["params"]["data"])),
                (number, query.name, query.statement),
            )
            answer = json.loads(client_codec.encode_success(number, query.statement))
            self.assertEqual(query.statement, base64.b64decode(answer["result"]["data"]))

        never_fails()
        round_trip()

    def test_lines_of_a_connection_in_pieces_of_any_size(self) -> None:
        """What a session receives does not depend on the pieces; only an incomplete line is buffered."""

        def received_lines(data: bytes, sizes: list[int]) -> list[str]:
            lines: list[str] = []
            handler = type(
                "Front",
                (),
                {
                    "accept": lambda self, session, number, query, received_us: lines.append(
                        f"{number} {query}"
                    ),
                    "cancel": lambda self, session, number, name: lines.append(f"withdraw {number} {name}"),
                    "on_disconnected": lambda self, session: lines.append("gone"),
                },
            )()
            transport = type(
                "Wire", (), {"unsent": b"", "write": lambda self, line: lines.append(line.decode())}
            )()
            registry = ConnectionRegistry(
                frozenset(("report",)), handler, lambda: 1, 1, lambda: 0, Counters(), lambda *_: None
            )
            session = ClientSession(registry, transport)
            for piece in cut(data, sizes):
                if session.receive(piece) is not NextAction.READ:
                    break
                self.assertEqual(registry.buffered_bytes, len(session._buffer))
                self.assertNotIn(b"\n", session._buffer.data)
            session.on_disconnected()
            self.assertEqual(0, registry.buffered_bytes)
            return lines

        @usually
        @given(some.lists(almost(REQUESTS) | some.binary(max_size=20), max_size=4).map(b"\n".join), CUTS)
        def any_cut(data: bytes, sizes: list[int]) -> None:
            self.assertEqual(received_lines(data, []), received_lines(data, sizes))

        any_cut()

    def test_engine_answers(self) -> None:
        most = 64 + 16 + 1024 + 6_000 + 4 + 4 * 9 + 2 * 4  # the longest of each part, with its framing

        @usually
        @given(almost(some.lists(ANSWERS, max_size=3).map(b"".join)) | some.binary(max_size=60), CUTS)
        def never_fails(data: bytes, sizes: list[int]) -> None:
            reader = engine_codec.AnswerDecoder()
            self.read(
                reader.feed, data, sizes, engine_codec.EngineProtocolError, lambda: len(reader._buffer), most
            )

        @usually
        @given(some.lists(ANSWERS, max_size=3), CUTS)
        def any_cut(answers: list[bytes], sizes: list[int]) -> None:
            data = b"".join(answers)
            whole, pieces = engine_codec.AnswerDecoder(), engine_codec.AnswerDecoder()
            found = self.read(
                whole.feed, data, [], engine_codec.EngineProtocolError, lambda: len(whole._buffer), 0
            )
            told = self.read(
                pieces.feed, data, sizes, engine_codec.EngineProtocolError, lambda: len(pieces._buffer), most
            )
            self.assertEqual(found, told)
            if found is not None:
                self.assertEqual((len(answers), False), (len(found), pieces.has_partial_answer()))

        never_fails()
        any_cut()

    def test_discovery_events(self) -> None:
        @usually
        @given(almost(some.lists(EVENTS, max_size=3).map(b"".join)) | some.binary(max_size=60), CUTS)
        def never_fails(data: bytes, sizes: list[int]) -> None:
            reader = event_codec.EventDecoder()
            self.read(
                reader.feed,
                data,
                sizes,
                endpoint_list.MalformedEventError,
                lambda: len(reader._buffer),
                4_000_004,
            )

        @usually
        @given(some.lists(EVENTS, max_size=3), CUTS)
        def any_cut(events: list[bytes], sizes: list[int]) -> None:
            whole, pieces = event_codec.EventDecoder(), event_codec.EventDecoder()
            found = whole.feed(b"".join(events))
            told = [one for piece in cut(b"".join(events), sizes) for one in pieces.feed(piece)]
            self.assertEqual(found, told)
            self.assertEqual(
                [struct.unpack_from(">Q", one, 4)[0] for one in events], [one.index for one in found]
            )

        never_fails()
        any_cut()

    def test_frames_of_links(self) -> None:
        """Of links between sites, and of links within a fleet."""

        def check_kinds(kinds: tuple[type, ...]) -> None:
            @usually
            @given(
                almost(some.lists(made(*kinds).map(encode_frame), max_size=3).map(b"".join))
                | some.binary(max_size=60),
                CUTS,
            )
            def never_fails(data: bytes, sizes: list[int]) -> None:
                reader = FrameDecoder(kinds)
                self.read(
                    reader.feed, data, sizes, FramingError, lambda: len(reader._buffer), MAX_FRAME_BYTES + 4
                )

            @usually
            @given(some.lists(made(*kinds), max_size=3), CUTS)
            def round_trip(told: list, sizes: list[int]) -> None:
                reader, data = FrameDecoder(kinds), b"".join(map(encode_frame, told))
                self.assertEqual(told, [one for piece in cut(data, sizes) for one in reader.feed(piece)])
                self.assertEqual(0, len(reader._buffer))

            never_fails()
            round_trip()

        check_kinds(SITE_FRAMES)
        check_kinds(FLEET_FRAMES)

    def test_membership_snapshots(self) -> None:
        @usually
        @given(made(record.Snapshot), some.integers(0, 2**64 - 1))
        def round_trip(given: record.Snapshot, serial: int) -> None:
            try:
                data = record.encode(given, serial)
            except record.UnusableSnapshotError:
                return
            self.assertEqual((serial, given), record.decode(data, given.owner))
            with self.assertRaises(record.UnusableSnapshotError):
                record.decode(data[:-1], given.owner)

        @usually
        @given(
            almost(made(record.Snapshot).map(lambda one: record.encode(one, 7))) | some.binary(max_size=60)
        )
        def never_fails(data: bytes) -> None:
            try:
                record.decode(data, "n0")
            except record.UnusableSnapshotError as error:
                self.assertNotIn("\n", str(error))

        round_trip()
        never_fails()

    def test_operator_files(self) -> None:
        right = [path.read_text() for path in sorted(Path(__file__).parent.parent.glob("deploy/*.conf"))]
        words = some.sampled_from(sorted({word for text in right for word in text.split()}))
        line = some.builds(
            lambda indent, found: indent + " ".join(found),
            some.sampled_from(("", "    ")),
            some.lists(words, max_size=4),
        )

        @usually
        @given(
            almost(some.sampled_from(right).map(str.encode)).map(lambda one: one.decode(errors="replace"))
            | some.text(max_size=80)
            | some.lists(line, max_size=8).map("\n".join)
        )
        def never_fails(text: str) -> None:
            try:
                self.assertIsInstance(operator.parse("FILE", text), operator.Operator)
            except conf_lines.UnusableError as error:
                self.assertTrue(all(fault.startswith("FILE:") for fault in error.faults))

        never_fails()
