"""RESP as the engines speak it: arrays of bulk strings. Knows no socket and decides nothing."""

from __future__ import annotations

import re

import hiredis
import msgspec

_REPORT_NAMES = {
    "inflight": "concurrent",
    "util": "load_share",
    "queue": "depth",
    "latency_ms": "mean_ms",
    "qps": "tps",
    "eps": "err_ps",
}
WORDS = frozenset((b"served", b"overload", b"crashed", b"nobody", b"rows", b"green"))
# Bytes of an answer's name, word, fields and body: a page by the protocol, the others with room to spare.
_LONGEST = (64, 16, 1024, 6_000)
_LENGTH = re.compile(rb"\$(\d{1,4})\r\n")
# Threads, shares and rates; what is beyond was never measured. Positions in a shard's log only grow.
_MOST_REPORTED, _MOST_POSITION = 1e6, 2.0**53
_POSITIONS = frozenset(("shard", "epoch", "applied", "head"))


class EngineProtocolError(Exception):
    """What came can't be an engine's answer; nothing behind it on this connection can be trusted."""


class Answer(msgspec.Struct):
    """One answer; `pages` with the first page, `page` with a further one."""

    name: bytes
    kind: bytes
    pages: int
    page: int
    report: dict[str, float]
    body: bytes


class AnswerDecoder:
    """The answers in what is received, however it is cut.

    What can't be an answer raises BrokenError, in the next call where good ones came before it.

    Danger: hiredis reserves what an array claims before it comes: one of 400 million parts takes the loop a
    second, one of three billion all memory. An engine's answer is four short strings; nothing else is read.
    """

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._broken: EngineProtocolError | None = None

    def has_partial_answer(self) -> bool:
        """Whether part of an answer has come, and the rest has not."""
        return bool(self._buffer)

    def feed(self, data: bytes) -> list[Answer]:
        if self._broken is not None:
            raise self._broken
        found, at = [], 0
        self._buffer += data
        try:
            while (whole := self._whole(at)) is not None:
                parts, at = whole
                found.append(_answer(*parts))
        except EngineProtocolError as trouble:
            # Danger: an answer that came whole before noise would be lost, and its work run again.
            if not found:
                raise
            self._broken, at = trouble, len(self._buffer)
        del self._buffer[:at]
        return found

    def _whole(self, at: int) -> tuple[list[bytes], int] | None:
        buffer, parts = self._buffer, []
        if not buffer.startswith(b"*4\r\n", at):
            if b"*4\r\n".startswith(buffer[at : at + 4]):
                return None
            raise EngineProtocolError(f"not an array of four strings: {bytes(buffer[at : at + 20])!r}")
        at += 4
        for longest in _LONGEST:
            length = _LENGTH.match(buffer, at)
            if length is None:
                if len(buffer) - at < 7 and buffer.find(b"\n", at) < 0:
                    return None
                raise EngineProtocolError(f"not the length of a string: {bytes(buffer[at : at + 20])!r}")
            start, size = length.end(), int(length[1])
            if size > longest:
                raise EngineProtocolError(f"a string of {size} bytes")
            at = start + size + 2
            if len(buffer) < at:
                return None
            if buffer[at - 2 : at] != b"\r\n":
                raise EngineProtocolError("a string longer than its length")
            parts.append(bytes(buffer[start : at - 2]))
        return parts, at


def _answer(name: bytes, word: bytes, fields: bytes, body: bytes) -> Answer:
    if word not in WORDS:
        raise EngineProtocolError(f"unknown word {word!r}")
    pages, page, report = 1, 0, {}
    if fields != b"-":
        try:
            for field in fields.decode("ascii").split(","):
                key, _, value = field.partition("=")
                if key == "sheets":
                    pages = int(value)
                elif key == "sheet":
                    page = int(value)
                elif key == "load":
                    report = _report(value)
        except ValueError:
            raise EngineProtocolError(f"fields that can't be used: {fields[:80]!r}") from None
    if pages < 1 or page < 0 or (word == b"rows" and page < 1):
        raise EngineProtocolError(f"no such page: {fields[:80]!r}")
    return Answer(name, word, pages, page, report, body)


def _report(text: str) -> dict[str, float]:
    report = {}
    for entry in text.split(";"):
        key, _, value = entry.partition(":")
        report[_REPORT_NAMES.get(key, key)] = figure = float(value)
        most = _MOST_POSITION if key in _POSITIONS else _MOST_REPORTED
        if not 0 <= figure <= most:  # nor is what is no number
            raise ValueError(value)
    return report


def encode_request(name: bytes, request_class: str, patience: int, mark: str, statement: bytes) -> bytes:
    """`patience` in whole milliseconds."""
    fields = f"c={request_class},w={patience}" + (f",i={mark}" if mark else "")
    return hiredis.pack_command((b"ASK", name, fields.encode(), statement))


def encode_cancellation(name: bytes) -> bytes:
    return hiredis.pack_command((b"QUIT", name))


def encode_page_requests(name: bytes, pages: int) -> bytes:
    """Asks for all pages behind the first at once."""
    return b"".join(hiredis.pack_command((b"NEXT", name, b"%d" % page)) for page in range(1, pages))


def encode_release(name: bytes) -> bytes:
    return hiredis.pack_command((b"FREE", name))
