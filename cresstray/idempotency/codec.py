"""The Redis protocol as the store of marks speaks it: commands and replies as values, RESP3 or RESP2.

Knows no socket and decides nothing. What a mark's bytes mean is not known here.
"""

from __future__ import annotations

import re
from collections.abc import Callable, Generator, Iterable
from enum import Enum
from hashlib import sha1
from typing import Any, NamedTuple

import hiredis
import msgspec

# What a reply may be: bytes, int, float, bool, None, a list or dict of such, or Refused.
Reply = Any

# Compare-and-set in one step of the store, with its time of that moment. 1: the key, 2: what it must hold,
# empty for none, 3: what it is to hold, 4: for how many milliseconds. Arguments are strings, so nothing is
# rounded.
COMPARE_AND_SET_SCRIPT = b"""local t = redis.call('TIME')
local now = t[1] * 1000 + math.floor(t[2] / 1000)
local found = redis.call('GET', KEYS[1])
if (found or '') ~= ARGV[1] then return {0, found, now} end
redis.call('SET', KEYS[1], ARGV[2], 'PX', ARGV[3])
return {1, now}
"""
COMPARE_AND_SET_SHA = sha1(COMPARE_AND_SET_SCRIPT).hexdigest().encode()
# Danger: a newer build that reads marks differently must not take an older one's for its own, nor spoil them
# in a rolling upgrade. The number is that of the marks' form.
_VERSION = b"m1"
# Bytes of one string: a mark with the largest outcome that the operator's file lets keep (64 kB), and as much
# again.
_LONGEST = 128 * 1024
# Bytes of a line that is no string: errors with their text.
_LONGEST_LINE = 4096
# Parts of one reply still to come: a page of a scan, or ROLE with some hundred copies.
_MOST_PARTS = 1024
# Bytes of one reply: a page of a scan with long keys, and far more than any other.
_MOST_BYTES = 1024 * 1024
_NUMBER = re.compile(rb"-1|\d{1,9}")


class ProtocolError(Exception):
    """What came can't be a reply to what was asked; nothing behind it on this connection can be trusted."""


class ErrorKind(Enum):
    """Why the store refused; each means another thing for who asked."""

    LOADING = "LOADING"  # it starts, and has not read its data yet
    READONLY = "READONLY"  # a copy, not the primary
    OOM = "OOM"  # no memory for a write
    WRONGTYPE = "WRONGTYPE"  # something else than a mark is kept under this key
    NOSCRIPT = "NOSCRIPT"  # it has forgotten the script; nothing ran
    BUSY = "BUSY"  # another's script runs for long
    MOVED = "MOVED"  # one of a cluster, which is not supported
    DENIED = "DENIED"  # no password, a wrong one, or no right to this command
    OTHER = "OTHER"


_KINDS = {
    "ASK": ErrorKind.MOVED,
    "CLUSTERDOWN": ErrorKind.MOVED,
    "NOAUTH": ErrorKind.DENIED,
    "WRONGPASS": ErrorKind.DENIED,
    "NOPERM": ErrorKind.DENIED,
    **{kind.value: kind for kind in ErrorKind if kind is not ErrorKind.OTHER},
}


class ErrorReply(msgspec.Struct, frozen=True):
    """An error reply. It was not carried out, but for OTHER, which a script may raise halfway."""

    kind: ErrorKind
    text: str


class Command(NamedTuple):
    """`words` as they are sent. `fits`: whether a reply, other than Refused, can be one to this.

    `whole`: what is sent instead, once, where the store does not know the script.
    """

    arguments: tuple[bytes, ...]
    accepts_reply: Callable[[Reply], bool]
    arguments_with_script: tuple[bytes, ...] = ()

    @property
    def size_bytes(self) -> int:
        """Bytes, about."""
        return sum(map(len, self.arguments)) + 16 * len(self.arguments)


def pack_arguments(words: Iterable[bytes]) -> bytes:
    return hiredis.pack_command(tuple(words))


def record_key(namespace: str, digest: bytes) -> bytes:
    """Of the mark with this digest. Submissions' own keys are never sent."""
    return b"%s:%s:%s" % (namespace.encode(), _VERSION, digest.hex().encode())


def compare_and_set(key: bytes, expected: bytes, new: bytes, px: int) -> Command:
    """`expected` b"": where there is none. The reply is for `swapped`."""
    if not new or px < 1:
        raise ValueError("a value that is not empty, for a millisecond at the least")
    rest = (b"1", key, expected, new, b"%d" % px)
    return Command(
        (b"EVALSHA", COMPARE_AND_SET_SHA, *rest), _fits_cas, (b"EVAL", COMPARE_AND_SET_SCRIPT, *rest)
    )


def get_value(key: bytes) -> Command:
    """The reply: the value, or None."""
    return Command((b"GET", key), _fits_value)


def get_time() -> Command:
    """The reply is for `time`."""
    return Command((b"TIME",), _fits_time)


def make_ping(token: bytes) -> Command:
    """Its reply is the token: who gets another is out of step."""
    return Command((b"PING", token), lambda reply: reply == token)


def get_role() -> Command:
    """The reply is for `is_primary`."""
    return Command((b"ROLE",), _fits_role)


class CompareAndSetResult(NamedTuple):
    """`found`: what is there instead, None for nothing. `at`: the store's time, milliseconds of Unix time."""

    is_applied: bool
    current_value: bytes | None
    store_now_ms: int


def parse_compare_and_set(reply: Reply) -> CompareAndSetResult:
    """Of a reply to `cas` that is not Refused."""
    return (
        CompareAndSetResult(True, None, reply[1])
        if reply[0] == 1
        else CompareAndSetResult(False, reply[1], reply[2])
    )


def parse_time_ms(reply: Reply) -> int:
    """Milliseconds of Unix time, of a reply to `now` that is not Refused."""
    return int(reply[0]) * 1000 + int(reply[1]) // 1000


def is_primary(reply: Reply) -> bool:
    return reply[0] == b"master"


def _is_count(reply: Reply) -> bool:
    return type(reply) is int and reply >= 0


def _fits_cas(reply: Reply) -> bool:
    if type(reply) is not list or len(reply) not in (2, 3):
        return False
    return (
        reply[0] == 1 and len(reply) == 2 or reply[0] == 0 and len(reply) == 3 and _fits_value(reply[1])
    ) and _is_count(reply[-1])


def _fits_value(reply: Reply) -> bool:
    return reply is None or type(reply) is bytes


def _fits_time(reply: Reply) -> bool:
    return (
        type(reply) is list and len(reply) == 2 and all(type(one) is bytes and one.isdigit() for one in reply)
    )


def _fits_role(reply: Reply) -> bool:
    return type(reply) is list and bool(reply) and type(reply[0]) is bytes


class ReplyReader:
    """The replies in what is received, however it is cut; what the store pushes unasked is left out.

    Danger: hiredis reserves what an array claims before it comes, all memory for one of three billion parts,
    and keeps a string of any length. So each reply is measured first, and only whole ones are handed to it.
    """

    _NOTHING = object()

    def __init__(self) -> None:
        # RESP3's false is a reply as well.
        self._reader = hiredis.Reader(notEnoughData=self._NOTHING)
        self._buffer = bytearray()
        self._at = 0  # up to here it has been measured
        self._left = 0  # parts of the reply that are still to come

    def feed(self, data: bytes) -> list[Reply]:
        """BrokenError where it can't be replies."""
        self._buffer += data
        whole = 0
        while self._part():
            if not self._left:
                whole = self._at
        if len(self._buffer) - whole > _MOST_BYTES:
            raise ProtocolError(f"a reply of more than {_MOST_BYTES} bytes")
        if not whole:
            return []
        found = []
        try:
            self._reader.feed(bytes(self._buffer[:whole]))
            while (reply := self._reader.gets()) is not self._NOTHING:
                if not isinstance(reply, hiredis.PushNotification):
                    found.append(_refused(reply) if isinstance(reply, Exception) else reply)
        except (hiredis.HiredisError, ValueError, TypeError) as trouble:  # the last: a list as a key
            raise ProtocolError(f"no reply: {trouble}") from None
        del self._buffer[:whole]
        self._at -= whole
        return found

    def _part(self) -> bool:
        """Measures one more part. False: it has not come whole."""
        buffer, at = self._buffer, self._at
        end = buffer.find(b"\r\n", at, at + _LONGEST_LINE)
        if end < 0:
            if len(buffer) - at >= _LONGEST_LINE:
                raise ProtocolError(f"a line without an end: {bytes(buffer[at : at + 20])!r}")
            return False
        kind, past, parts = buffer[at : at + 1], end + 2, 0
        if kind in (b"$", b"="):
            size = self._number(at, end)
            if size > _LONGEST:
                raise ProtocolError(f"a string of {size} bytes")
            if size >= 0:
                past += size + 2
                if len(buffer) < past:
                    return False
                if buffer[past - 2 : past] != b"\r\n":
                    raise ProtocolError("a string longer than its length")
        elif kind in (b"*", b"~", b">", b"%"):
            parts = max(0, self._number(at, end)) * (2 if kind == b"%" else 1)
        elif kind not in (b"+", b"-", b":", b",", b"#", b"(", b"_"):
            raise ProtocolError(f"not the beginning of a reply: {bytes(buffer[at : at + 20])!r}")
        self._left = max(0, self._left - 1) + parts
        if self._left > _MOST_PARTS:
            raise ProtocolError(f"a reply of {self._left} parts")
        self._at = past
        return True

    def _number(self, at: int, end: int) -> int:
        number = bytes(self._buffer[at + 1 : end])
        if not _NUMBER.fullmatch(number):
            raise ProtocolError(f"not a length: {number[:20]!r}")
        return int(number)


def _refused(trouble: Exception) -> ErrorReply:
    text = str(trouble)[:200]
    return ErrorReply(_KINDS.get(text.partition(" ")[0], ErrorKind.OTHER), text)


class Handshake(NamedTuple):
    protocol: int
    is_primary: bool


class HandshakeError(Exception):
    """The store does not take us, or not now."""


def perform_handshake(user: str, password: bytes) -> Generator[list[Command], list[Reply], Handshake]:
    """What is said first on a connection, in turns: yields commands, is sent their replies. GreetError.

    RESP3, or RESP2 where the store knows no HELLO (before Redis 6) or not this one; its role, by ROLE or by
    INFO. The script is loaded, so that commands need not carry it.
    """
    words = (b"HELLO", b"3") + ((b"AUTH", user.encode(), password) if password else ())
    (hello,) = yield [Command(words, lambda reply: isinstance(reply, dict | list))]
    protocol = 3
    if isinstance(hello, ErrorReply):
        if not hello.text.startswith(("ERR unknown command", "NOPROTO")):
            raise HandshakeError(hello.text)
        protocol = 2
        if password:
            # Users came with HELLO: an older store has a password only.
            named = () if user == "default" else (user.encode(),)
            (auth,) = yield [Command((b"AUTH", *named, password), lambda reply: reply == b"OK")]
            if isinstance(auth, ErrorReply):
                raise HandshakeError(auth.text)
    told, loaded = yield [
        get_role(),
        Command((b"SCRIPT", b"LOAD", COMPARE_AND_SET_SCRIPT), lambda reply: reply == COMPARE_AND_SET_SHA),
    ]
    for reply in (told, loaded):
        if isinstance(reply, ErrorReply) and reply.kind in (ErrorKind.LOADING, ErrorKind.DENIED):
            raise HandshakeError(reply.text)
    if isinstance(told, ErrorReply):
        (told,) = yield [Command((b"INFO", b"replication"), lambda reply: type(reply) is bytes)]
        if isinstance(told, ErrorReply):
            raise HandshakeError(told.text)
        return Handshake(protocol, re.search(rb"^role:master\r?$", told, re.MULTILINE) is not None)
    return Handshake(protocol, is_primary(told))
