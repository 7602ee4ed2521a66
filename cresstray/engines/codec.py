"""RESP as the engines speak it: arrays of bulk strings. Knows no socket and decides nothing."""

from __future__ import annotations

import hiredis
import msgspec

# An answer holds a page of 6,000 bytes and some fields; what is longer by far is no answer.
_LONGEST = 64 * 1024
_REPORT_NAMES = {"inflight": "concurrent", "util": "load_share", "queue": "depth", "latency_ms": "mean_ms",
                 "qps": "tps", "eps": "err_ps"}
WORDS = frozenset((b"served", b"overload", b"crashed", b"nobody", b"rows", b"green"))


class BrokenError(Exception):
    """What came can't be an engine's answer; nothing behind it on this connection can be trusted."""


class Answer(msgspec.Struct):
    """One answer; `pages` with the first page, `page` with a further one."""

    name: bytes
    word: bytes
    pages: int
    page: int
    report: dict[str, float]
    body: bytes


class Answers:
    """The answers in what is received, however it is cut."""

    def __init__(self) -> None:
        self._reader = hiredis.Reader()
        self._pending = 0

    def feed(self, data: bytes) -> list[Answer]:
        found = []
        self._reader.feed(data)
        self._pending += len(data)
        try:
            while (parts := self._reader.gets()) is not False:
                self._pending = 0
                found.append(_answer(parts))
        except hiredis.HiredisError as trouble:
            raise BrokenError(str(trouble)) from None
        if self._pending > _LONGEST:
            raise BrokenError("an answer without an end")
        return found


def _answer(parts: object) -> Answer:
    if not (isinstance(parts, list) and len(parts) == 4 and all(isinstance(part, bytes) for part in parts)):
        raise BrokenError("not an array of four strings")
    name, word, fields, body = parts
    if word not in WORDS:
        raise BrokenError(f"unknown word {word[:40]!r}")
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
            raise BrokenError(f"fields that can't be used: {fields[:80]!r}") from None
    if pages < 1 or page < 0 or (word == b"rows" and page < 1):
        raise BrokenError(f"no such page: {fields[:80]!r}")
    return Answer(name, word, pages, page, report, body)


def _report(text: str) -> dict[str, float]:
    report = {}
    for entry in text.split(";"):
        key, _, value = entry.partition(":")
        report[_REPORT_NAMES.get(key, key)] = float(value)
    return report


def ask(name: bytes, tariff: str, patience: int, mark: str, statement: bytes) -> bytes:
    """`patience` in whole milliseconds."""
    fields = f"c={tariff},w={patience}" + (f",i={mark}" if mark else "")
    return hiredis.pack_command((b"ASK", name, fields.encode(), statement))


def quit_(name: bytes) -> bytes:
    return hiredis.pack_command((b"QUIT", name))


def next_pages(name: bytes, pages: int) -> bytes:
    """Asks for all pages behind the first at once."""
    return b"".join(hiredis.pack_command((b"NEXT", name, b"%d" % page)) for page in range(1, pages))


def free(name: bytes) -> bytes:
    return hiredis.pack_command((b"FREE", name))
