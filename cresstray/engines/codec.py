"""Codec of the engines' protocol: RESP, with arrays of four bulk strings as answers. Free of I/O.

Other modules use the constants and names of this one instead of the words on the wire:

| on the wire          | here                                                                 |
| -------------------- | -------------------------------------------------------------------- |
| `ASK`                | `encode_request`; its fields: `c` class, `w` timeout in ms, `i` idempotency key |
| `QUIT`               | `encode_cancellation`, the answer is not awaited any more            |
| `NEXT`               | `encode_page_requests`, of all pages after the first one             |
| `FREE`               | `encode_release`, the remaining pages are not awaited any more       |
| `served`             | `SERVED`, a result or its first page                                 |
| `rows`               | `ROWS`, a further page of a result                                   |
| `overload`           | `OVERLOADED`, the engine rejects the request                         |
| `crashed`            | `CRASHED`, the request failed while it was running                   |
| `nobody`             | `EXPIRED`, the request's timeout had passed before it was run        |
| `green`              | `GREEN`, of the protocol; answers no message that a gateway sends    |
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
_MAX_LENGTH_BYTES = 7  # the longest text that _LENGTH matches
# Bounds of an answer's name, kind, fields and body. The bound of the body is the protocol's page size; the
# others are above all that engines send.
_MAX_PART_BYTES = (64, 16, 1024, 6_000)
# Bound of reported thread counts, shares and rates. A larger figure can only be an error.
_MAX_REPORTED = 1e6
# Positions in a shard's log grow without limit, so their bound is the largest exact integer of a float.
_MAX_POSITION = 2.0**53
_POSITION_NAMES = frozenset(("shard", "epoch", "applied", "head"))
_EXCERPT_BYTES = 20


class EngineProtocolError(Exception):
    """Received data is no answer of the protocol, so nothing after it on the connection can be trusted."""


class Answer(msgspec.Struct):
    """One answer of an engine.

    Attributes:
        name: the name of the request that it answers.
        kind: one of ANSWER_KINDS.
        pages: the number of pages of the result, in the answer with its first page.
        page: the number of the page, from 1 on, in an answer with a further page.
        report: the load report of the engine, by the names in the table above.
        body: the rows of the page.
    """

    name: bytes
    kind: bytes
    pages: int
    page: int
    report: dict[str, float]
    body: bytes


class AnswerDecoder:
    """Decodes answers from received data, in whatever pieces the data arrives.

    hiredis is not used for decoding, as it allocates the length that an array claims before the elements
    arrive: an array of 400 million elements would block the event loop for a second, and one of three billion
    would take all memory. This decoder accepts arrays of four short strings only.
    """

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._pending_error: EngineProtocolError | None = None

    def has_partial_answer(self) -> bool:
        """Whether an answer has been received in part only."""
        return bool(self._buffer)

    def feed(self, data: bytes) -> list[Answer]:
        """Returns the answers that are complete with this data.

        Raises:
            EngineProtocolError: the data is no answer. Complete answers before it are returned first, as
                their requests would be run again if they were lost; the next call raises the error.
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
        """Returns the parts of the answer at this position and its end; None while it is incomplete."""
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
        """Whether the data from this position on may be the beginning of a length."""
        return len(self._buffer) - position < _MAX_LENGTH_BYTES and self._buffer.find(b"\n", position) < 0

    def _excerpt(self, position: int) -> bytes:
        return bytes(self._buffer[position : position + _EXCERPT_BYTES])


def _parse_answer(name: bytes, kind: bytes, fields: bytes, body: bytes) -> Answer:
    if kind not in ANSWER_KINDS:
        raise EngineProtocolError(f"unknown word {kind!r}")
    answer = Answer(name, kind, 1, 0, {}, body)
    if fields != _NO_FIELDS:
        try:
            _parse_fields(fields, answer)
        except ValueError:
            raise EngineProtocolError(f"fields that can't be used: {fields[:80]!r}") from None
    min_page = 1 if kind == ROWS else 0
    if answer.pages < 1 or answer.page < min_page:
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
        if not 0 <= figure <= maximum:  # written so that NaN is rejected too
            raise ValueError(value)
    return report


def encode_request(
    name: bytes, request_class: str, timeout_ms: int, idempotency_key: str, statement: bytes
) -> bytes:
    """Encodes a request; `timeout_ms` is how long its answer is awaited, the idempotency key may be empty."""
    fields = f"c={request_class},w={timeout_ms}"
    if idempotency_key:
        fields += f",i={idempotency_key}"
    return _pack(b"ASK", name, fields.encode(), statement)


def encode_cancellation(name: bytes) -> bytes:
    """Encodes the cancellation of a request whose answer is not awaited any more."""
    return _pack(b"QUIT", name)


def encode_page_requests(name: bytes, pages: int) -> bytes:
    """Encodes the requests for all pages after the first; `pages` counts the first one too."""
    return b"".join(_pack(b"NEXT", name, b"%d" % page) for page in range(1, pages))


def encode_release(name: bytes) -> bytes:
    """Encodes the release of a result whose remaining pages are not awaited any more."""
    return _pack(b"FREE", name)


def _pack(*parts: bytes) -> bytes:
    packed: bytes = hiredis.pack_command(parts)  # type: ignore[arg-type]  # typed as a tuple of one part
    return packed
