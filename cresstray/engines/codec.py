"""RESP as the engines speak it: arrays of four bulk strings. Knows no socket and decides nothing.

The words of the protocol, which appear nowhere behind this module except as the constants here:

| protocol             | here                                                                 |
| -------------------- | -------------------------------------------------------------------- |
| `ASK`                | `encode_request`; its fields: `c` class, `w` timeout in ms, `i` idempotency key |
| `QUIT`               | `encode_cancellation`                                                |
| `NEXT`               | `encode_page_requests`                                               |
| `FREE`               | `encode_release`, of a result whose pages are not all wanted any more |
| `served`             | `SERVED`, a result or its first page                                 |
| `rows`               | `ROWS`, another page of a result                                     |
| `overload`           | `OVERLOADED`, the engine rejects the request                         |
| `crashed`            | `CRASHED`, the request failed while it ran                           |
| `nobody`             | `EXPIRED`, the request's timeout was over before it ran              |
| `green`              | `GREEN`, to nothing that this gateway sends                          |
| `sheets`, `sheet`    | `Answer.pages`, `Answer.page`                                        |
| `load`               | `Answer.report`, the engine's load report                            |
| `inflight` in a report | `concurrent`                                                       |
| `util`               | `load_share`                                                         |
| `queue`              | `depth`                                                              |
| `latency_ms`         | `mean_ms`                                                            |
| `qps`, `eps`         | `tps`, `err_ps`                                                      |
"""

from __future__ import annotations

import re

import hiredis
import msgspec

SERVED = b"served"
ROWS = b"rows"
OVERLOADED = b"overload"
CRASHED = b"crashed"
EXPIRED = b"nobody"
GREEN = b"green"
ANSWER_KINDS = frozenset((SERVED, ROWS, OVERLOADED, CRASHED, EXPIRED, GREEN))

_REPORT_NAMES = {
    "inflight": "concurrent",
    "util": "load_share",
    "queue": "depth",
    "latency_ms": "mean_ms",
    "qps": "tps",
    "eps": "err_ps",
}
_NO_FIELDS = b"-"
_ARRAY_HEADER = b"*4\r\n"
_LENGTH = re.compile(rb"\$(\d{1,4})\r\n")
_MAX_LENGTH_BYTES = 7  # of what _LENGTH matches
# Of an answer's name, word, fields and body: a page by the protocol, the others with room to spare.
_MAX_PART_BYTES = (64, 16, 1024, 6_000)
# Threads, shares and rates: what is larger was never measured.
_MAX_REPORTED = 1e6
# Positions in a shard's log only grow.
_MAX_POSITION = 2.0**53
_POSITION_NAMES = frozenset(("shard", "epoch", "applied", "head"))
_EXCERPT_BYTES = 20


class EngineProtocolError(Exception):
    """What came cannot be an engine's answer; nothing behind it on this connection can be trusted."""


class Answer(msgspec.Struct):
    """One answer of an engine.

    Attributes:
        name: the request's name.
        kind: one of ANSWER_KINDS.
        pages: how many pages the result has, in the answer with its first one.
        page: the number of the page, from 1 on, in an answer with a further one.
        report: the load report of the engine, by our names.
        body: the rows of the page.
    """

    name: bytes
    kind: bytes
    pages: int
    page: int
    report: dict[str, float]
    body: bytes


class AnswerDecoder:
    """Decodes the answers in what is received, however it is cut.

    hiredis allocates what an array claims before it comes: one of 400 million parts would block the event
    loop for a second, one of three billion would take all memory. Answers are four short strings, and nothing
    else is read, so this does not use it.
    """

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._pending_error: EngineProtocolError | None = None

    def has_partial_answer(self) -> bool:
        """Whether part of an answer has come, and the rest has not."""
        return bool(self._buffer)

    def feed(self, data: bytes) -> list[Answer]:
        """Returns the answers that are whole with this data.

        Raises:
            EngineProtocolError: what came cannot be an answer. Answers before it are returned first, since
            they
                would be run again if they were lost; the error is raised by the next call.
        """
        if self._pending_error is not None:
            raise self._pending_error
        answers: list[Answer] = []
        position = 0
        self._buffer += data
        try:
            while (parsed := self._parse_parts(position)) is not None:
                parts, position = parsed
                answers.append(_parse_answer(*parts))
        except EngineProtocolError as error:
            if not answers:
                raise
            self._pending_error = error
            position = len(self._buffer)
        del self._buffer[:position]
        return answers

    def _parse_parts(self, position: int) -> tuple[list[bytes], int] | None:
        """Returns the parts of the answer at this position and its end; None if it is not whole."""
        buffer = self._buffer
        parts: list[bytes] = []
        if not buffer.startswith(_ARRAY_HEADER, position):
            if _ARRAY_HEADER.startswith(buffer[position : position + len(_ARRAY_HEADER)]):
                return None
            raise EngineProtocolError(f"not an array of four strings: {self._excerpt(position)!r}")
        position += len(_ARRAY_HEADER)
        for max_bytes in _MAX_PART_BYTES:
            length = _LENGTH.match(buffer, position)
            if length is None:
                if self._may_be_length(position):
                    return None
                raise EngineProtocolError(f"not the length of a string: {self._excerpt(position)!r}")
            start = length.end()
            size = int(length[1])
            if size > max_bytes:
                raise EngineProtocolError(f"a string of {size} bytes")
            position = start + size + 2
            if len(buffer) < position:
                return None
            if buffer[position - 2 : position] != b"\r\n":
                raise EngineProtocolError("a string longer than its length")
            parts.append(bytes(buffer[start : position - 2]))
        return parts, position

    def _may_be_length(self, position: int) -> bool:
        """Whether what there is may be the beginning of a length."""
        return len(self._buffer) - position < _MAX_LENGTH_BYTES and self._buffer.find(b"\n", position) < 0

    def _excerpt(self, position: int) -> bytes:
        return bytes(self._buffer[position : position + _EXCERPT_BYTES])


def _parse_answer(name: bytes, word: bytes, fields: bytes, body: bytes) -> Answer:
    if word not in ANSWER_KINDS:
        raise EngineProtocolError(f"unknown word {word!r}")
    answer = Answer(name, word, 1, 0, {}, body)
    if fields != _NO_FIELDS:
        try:
            _parse_fields(fields, answer)
        except ValueError:
            raise EngineProtocolError(f"fields that can't be used: {fields[:80]!r}") from None
    first_page = 1 if word == ROWS else 0
    if answer.pages < 1 or answer.page < first_page:
        raise EngineProtocolError(f"no such page: {fields[:80]!r}")
    return answer


def _parse_fields(fields: bytes, answer: Answer) -> None:
    for field in fields.decode("ascii").split(","):
        key, _, value = field.partition("=")
        if key == "sheets":
            answer.pages = int(value)
        elif key == "sheet":
            answer.page = int(value)
        elif key == "load":
            answer.report = _parse_report(value)


def _parse_report(text: str) -> dict[str, float]:
    report: dict[str, float] = {}
    for entry in text.split(";"):
        key, _, value = entry.partition(":")
        figure = float(value)
        report[_REPORT_NAMES.get(key, key)] = figure
        maximum = _MAX_POSITION if key in _POSITION_NAMES else _MAX_REPORTED
        if not 0 <= figure <= maximum:  # nor does NaN pass
            raise ValueError(value)
    return report


def encode_request(
    name: bytes, request_class: str, timeout_ms: int, idempotency_key: str, statement: bytes
) -> bytes:
    """Encodes a request; `timeout_ms` is how long its response is awaited, the key may be empty."""
    fields = f"c={request_class},w={timeout_ms}"
    if idempotency_key:
        fields += f",i={idempotency_key}"
    return _pack(b"ASK", name, fields.encode(), statement)


def encode_cancellation(name: bytes) -> bytes:
    """Encodes that the answer to this request is not awaited any more."""
    return _pack(b"QUIT", name)


def encode_page_requests(name: bytes, pages: int) -> bytes:
    """Encodes requests for all pages behind the first at once; `pages` counts the first one too."""
    return b"".join(_pack(b"NEXT", name, b"%d" % page) for page in range(1, pages))


def encode_release(name: bytes) -> bytes:
    """Encodes that the rest of this result is not awaited any more."""
    return _pack(b"FREE", name)


def _pack(*parts: bytes) -> bytes:
    packed: bytes = hiredis.pack_command(parts)  # type: ignore[arg-type]  # typed as a tuple of one part
    return packed
