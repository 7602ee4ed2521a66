"""Codec of the Redis protocol (RESP3, RESP2) for the shared store: commands and replies as values.

It does no I/O, makes no decisions about requests, and treats a record as opaque bytes.
"""

from __future__ import annotations

import re
from collections.abc import Callable, Generator, Iterable
from enum import Enum
from hashlib import sha1
from typing import Any, NamedTuple

import hiredis
import msgspec

# A reply is bytes, int, float, bool, None, a list or dict of these, or ErrorReply.
Reply = Any

# Atomic compare-and-set that also returns the store's time. KEYS[1]: the key; ARGV[1]: the expected value,
# empty if the key must not exist; ARGV[2]: the new value; ARGV[3]: its lifetime in ms. Arguments are strings,
# so that no number is rounded.
COMPARE_AND_SET_SCRIPT = b"""local t = redis.call('TIME')
local now = t[1] * 1000 + math.floor(t[2] / 1000)
local found = redis.call('GET', KEYS[1])
if (found or '') ~= ARGV[1] then return {0, found, now} end
redis.call('SET', KEYS[1], ARGV[2], 'PX', ARGV[3])
return {1, now}
"""
COMPARE_AND_SET_SHA = sha1(COMPARE_AND_SET_SCRIPT).hexdigest().encode()
# Version of the record format, part of each key: during a rolling upgrade, a build with another format
# neither misreads nor overwrites the records of an older build.
_RECORD_VERSION = b"m1"
# Twice the largest result that the operator's configuration allows (64 kB), for the rest of the record.
_MAX_STRING_BYTES = 128 * 1024
# Lines other than strings; the longest are errors with their text.
_MAX_LINE_BYTES = 4096
# Elements of one reply that are still missing. A page of a scan, or ROLE with some hundred replicas, fits.
_MAX_PENDING_ELEMENTS = 1024
# A page of a scan with long keys fits; all other replies are far smaller.
_MAX_REPLY_BYTES = 1024 * 1024
_MAX_ERROR_CHARACTERS = 200
_LENGTH = re.compile(rb"-1|\d{1,9}")
_LINE_END = b"\r\n"
_STRING_TYPES = (b"$", b"=")
_AGGREGATE_TYPES = (b"*", b"~", b">", b"%")
_MAP_TYPE = b"%"
_SCALAR_TYPES = (b"+", b"-", b":", b",", b"#", b"(", b"_")


class StoreProtocolError(Exception):
    """Base of the errors of the store's protocol."""


class ProtocolError(StoreProtocolError):
    """The bytes cannot be a reply to the command sent; the connection cannot be used any further."""


class HandshakeError(StoreProtocolError):
    """The store does not accept this client, permanently or at present."""


class ErrorKind(Enum):
    """Why the store refused a command."""

    LOADING = "LOADING"  # the store is starting and has not read its data yet
    READONLY = "READONLY"  # the server is a replica
    OOM = "OOM"  # no memory for a write
    WRONGTYPE = "WRONGTYPE"  # the key holds something other than a string
    NOSCRIPT = "NOSCRIPT"  # the script is not cached; nothing ran
    BUSY = "BUSY"  # another client's script has been running for long
    MOVED = "MOVED"  # the server is a cluster node; clusters are not supported
    DENIED = "DENIED"  # authentication or permission failure
    OTHER = "OTHER"


_KIND_BY_PREFIX = {
    "ASK": ErrorKind.MOVED,
    "CLUSTERDOWN": ErrorKind.MOVED,
    "NOAUTH": ErrorKind.DENIED,
    "WRONGPASS": ErrorKind.DENIED,
    "NOPERM": ErrorKind.DENIED,
    **{kind.value: kind for kind in ErrorKind if kind is not ErrorKind.OTHER},
}


class ErrorReply(msgspec.Struct, frozen=True):
    """An error reply.

    The command was not executed, except possibly for OTHER: a script may fail after some of its effects.
    """

    kind: ErrorKind
    text: str


class Command(NamedTuple):
    """A command, and the check of its reply.

    Attributes:
        arguments: The words of the command as sent.
        accepts_reply: Returns whether a reply, other than ErrorReply, fits this command.
        arguments_with_script: Sent once instead if the store does not know the script.
    """

    arguments: tuple[bytes, ...]
    accepts_reply: Callable[[Reply], bool]
    arguments_with_script: tuple[bytes, ...] = ()

    @property
    def size_bytes(self) -> int:
        """Approximate size on the wire."""
        return sum(map(len, self.arguments)) + 16 * len(self.arguments)


def pack_arguments(arguments: Iterable[bytes]) -> bytes:
    """Returns a command as it is sent."""
    # The type stubs of hiredis declare a tuple with exactly one element.
    packed: bytes = hiredis.pack_command(tuple(arguments))  # type: ignore[arg-type]
    return packed


def record_key(namespace: str, digest: bytes) -> bytes:
    """Returns the store key of the record with this digest; clients' own keys are never sent to the store."""
    return b"%s:%s:%s" % (namespace.encode(), _RECORD_VERSION, digest.hex().encode())


def compare_and_set(key: bytes, expected: bytes, new: bytes, lifetime_ms: int) -> Command:
    """Returns a command whose reply `parse_compare_and_set` reads.

    `expected` is b"" if the key must not exist.

    Raises:
        ValueError: `new` is empty, or `lifetime_ms` is not positive.
    """
    if not new or lifetime_ms < 1:
        raise ValueError("the new value must not be empty, and its lifetime must be at least 1 ms")
    script_arguments = (b"1", key, expected, new, b"%d" % lifetime_ms)
    return Command(
        (b"EVALSHA", COMPARE_AND_SET_SHA, *script_arguments),
        _is_compare_and_set_reply,
        (b"EVAL", COMPARE_AND_SET_SCRIPT, *script_arguments),
    )


def get_value(key: bytes) -> Command:
    """Returns a command whose reply is the value of the key, or None."""
    return Command((b"GET", key), _is_value)


def get_time() -> Command:
    """Returns a command whose reply `parse_time_ms` reads."""
    return Command((b"TIME",), _is_time)


def make_ping(token: bytes) -> Command:
    """Returns a command whose reply is the token.

    Any other reply means that replies and commands are out of step.
    """
    return Command((b"PING", token), lambda reply: reply == token)


def get_role() -> Command:
    """Returns a command whose reply `is_primary` reads."""
    return Command((b"ROLE",), _is_role)


class CompareAndSetResult(NamedTuple):
    """Result of a compare-and-set.

    Attributes:
        is_applied: Whether the new value was written.
        current_value: If not, what the key holds instead of the expected value; None if it does not exist.
        store_now_ms: The store's time, in milliseconds of Unix time.
    """

    is_applied: bool
    current_value: bytes | None
    store_now_ms: int


def parse_compare_and_set(reply: Reply) -> CompareAndSetResult:
    """Reads a reply to `compare_and_set`; it must not be an ErrorReply."""
    if reply[0] == 1:
        return CompareAndSetResult(True, None, reply[1])
    return CompareAndSetResult(False, reply[1], reply[2])


def parse_time_ms(reply: Reply) -> int:
    """Reads a reply to `get_time`, which must not be an ErrorReply; returns milliseconds of Unix time."""
    return int(reply[0]) * 1000 + int(reply[1]) // 1000


def is_primary(reply: Reply) -> bool:
    """Reads a reply to `get_role`, which must not be an ErrorReply."""
    return bool(reply[0] == b"master")


def _is_count(reply: Reply) -> bool:
    return type(reply) is int and reply >= 0


def _is_compare_and_set_reply(reply: Reply) -> bool:
    if type(reply) is not list or len(reply) not in (2, 3) or not _is_count(reply[-1]):
        return False
    if len(reply) == 2:
        return bool(reply[0] == 1)
    return reply[0] == 0 and _is_value(reply[1])


def _is_value(reply: Reply) -> bool:
    return reply is None or type(reply) is bytes


def _is_time(reply: Reply) -> bool:
    if type(reply) is not list or len(reply) != 2:
        return False
    return all(type(part) is bytes and part.isdigit() for part in reply)


def _is_role(reply: Reply) -> bool:
    return type(reply) is list and bool(reply) and type(reply[0]) is bytes


class ReplyReader:
    """Parses replies from received bytes, however they are split; unrequested push messages are skipped.

    hiredis allocates memory for the announced size of an array before its elements arrive (an array of three
    billion elements would take all memory), and accepts strings of any length. Therefore each reply is first
    checked against limits, and only complete replies are passed to hiredis.
    """

    _INCOMPLETE = object()

    def __init__(self) -> None:
        # False, the default marker for "no reply yet", is also a valid RESP3 reply.
        self._reader = hiredis.Reader(notEnoughData=self._INCOMPLETE)
        self._buffer = bytearray()
        self._measured_bytes = 0
        self._pending_elements = 0  # elements of the reply being measured that are still missing

    def feed(self, data: bytes) -> list[Reply]:
        """Returns the replies that these bytes complete.

        Raises:
            ProtocolError: The bytes are not valid replies, or exceed a limit.
        """
        self._buffer += data
        complete_bytes = 0
        while self._measure_element():
            if not self._pending_elements:
                complete_bytes = self._measured_bytes
        if len(self._buffer) - complete_bytes > _MAX_REPLY_BYTES:
            raise ProtocolError(f"a reply is longer than {_MAX_REPLY_BYTES} bytes")
        if not complete_bytes:
            return []
        replies = self._parse(bytes(self._buffer[:complete_bytes]))
        del self._buffer[:complete_bytes]
        self._measured_bytes -= complete_bytes
        return replies

    def _parse(self, data: bytes) -> list[Reply]:
        replies = []
        try:
            self._reader.feed(data)
            while (reply := self._reader.gets()) is not self._INCOMPLETE:
                if not isinstance(reply, hiredis.PushNotification):
                    replies.append(_to_error_reply(reply) if isinstance(reply, Exception) else reply)
        except (hiredis.HiredisError, ValueError, TypeError) as error:  # TypeError: a list as a map key
            raise ProtocolError(f"invalid reply: {error}") from None
        return replies

    def _measure_element(self) -> bool:
        """Measures the next element; returns False if it has not arrived completely."""
        start = self._measured_bytes
        line_end = self._buffer.find(_LINE_END, start, start + _MAX_LINE_BYTES)
        if line_end < 0:
            if len(self._buffer) - start >= _MAX_LINE_BYTES:
                raise ProtocolError(f"line too long: {self._excerpt(start)!r}")
            return False
        element_type = bytes(self._buffer[start : start + 1])
        element_end = line_end + len(_LINE_END)
        children = 0
        if element_type in _STRING_TYPES:
            string_end = self._string_end(start, line_end)
            if string_end is None:
                return False
            element_end = string_end
        elif element_type in _AGGREGATE_TYPES:
            per_entry = 2 if element_type == _MAP_TYPE else 1
            children = max(0, self._length(start, line_end)) * per_entry
        elif element_type not in _SCALAR_TYPES:
            raise ProtocolError(f"unknown reply type: {self._excerpt(start)!r}")
        self._pending_elements = max(0, self._pending_elements - 1) + children
        if self._pending_elements > _MAX_PENDING_ELEMENTS:
            raise ProtocolError(f"a reply with too many elements: {self._pending_elements} pending")
        self._measured_bytes = element_end
        return True

    def _string_end(self, start: int, line_end: int) -> int | None:
        """Returns the end of the string that starts here, or None if it has not arrived completely."""
        data_start = line_end + len(_LINE_END)
        size = self._length(start, line_end)
        if size > _MAX_STRING_BYTES:
            raise ProtocolError(f"string too long: {size} bytes")
        if size < 0:
            return data_start
        string_end = data_start + size + len(_LINE_END)
        if len(self._buffer) < string_end:
            return None
        if self._buffer[string_end - len(_LINE_END) : string_end] != _LINE_END:
            raise ProtocolError("a string does not end at its announced length")
        return string_end

    def _length(self, start: int, line_end: int) -> int:
        digits = bytes(self._buffer[start + 1 : line_end])
        if not _LENGTH.fullmatch(digits):
            raise ProtocolError(f"invalid length: {digits[:20]!r}")
        return int(digits)

    def _excerpt(self, start: int) -> bytes:
        return bytes(self._buffer[start : start + 20])


def _to_error_reply(error: Exception) -> ErrorReply:
    text = str(error)[:_MAX_ERROR_CHARACTERS]
    return ErrorReply(_KIND_BY_PREFIX.get(text.partition(" ")[0], ErrorKind.OTHER), text)


class Handshake(NamedTuple):
    """Result of a handshake: the protocol version, and whether the server is a primary."""

    protocol: int
    is_primary: bool


HandshakeSteps = Generator[list[Command], list[Reply], Handshake]


def perform_handshake(user: str, password: bytes) -> HandshakeSteps:
    """Yields the commands that open a connection, step by step; the caller sends it their replies.

    Uses RESP3, or RESP2 if the store does not know HELLO (before Redis 6) or does not support RESP3. Reads
    the role by ROLE, or by INFO if ROLE is refused. Loads the script, so that commands need not carry it.

    Raises:
        HandshakeError: The store does not accept this client, permanently or at present.
    """
    protocol = yield from _negotiate(user, password)
    role_reply, load_reply = yield [
        get_role(),
        Command((b"SCRIPT", b"LOAD", COMPARE_AND_SET_SCRIPT), lambda reply: reply == COMPARE_AND_SET_SHA),
    ]
    for reply in (role_reply, load_reply):
        if isinstance(reply, ErrorReply) and reply.kind in (ErrorKind.LOADING, ErrorKind.DENIED):
            raise HandshakeError(reply.text)
    if not isinstance(role_reply, ErrorReply):
        return Handshake(protocol, is_primary(role_reply))
    (info_reply,) = yield [Command((b"INFO", b"replication"), lambda reply: type(reply) is bytes)]
    if isinstance(info_reply, ErrorReply):
        raise HandshakeError(info_reply.text)
    has_primary_role = re.search(rb"^role:master\r?$", info_reply, re.MULTILINE) is not None
    return Handshake(protocol, has_primary_role)


def _negotiate(user: str, password: bytes) -> Generator[list[Command], list[Reply], int]:
    """Negotiates the protocol and authenticates; returns the protocol version."""
    arguments: tuple[bytes, ...] = (b"HELLO", b"3")
    if password:
        arguments += (b"AUTH", user.encode(), password)
    (hello_reply,) = yield [Command(arguments, lambda reply: isinstance(reply, dict | list))]
    if not isinstance(hello_reply, ErrorReply):
        return 3
    if not hello_reply.text.startswith(("ERR unknown command", "NOPROTO")):
        raise HandshakeError(hello_reply.text)
    if password:
        # A store without HELLO has no named users (both came with Redis 6), so only a password is sent for
        # the default user.
        user_arguments = () if user == "default" else (user.encode(),)
        (auth_reply,) = yield [Command((b"AUTH", *user_arguments, password), lambda reply: reply == b"OK")]
        if isinstance(auth_reply, ErrorReply):
            raise HandshakeError(auth_reply.text)
    return 2
