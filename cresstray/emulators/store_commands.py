"""The commands of the emulated store: strings with expiry, the compare-and-set script, roles. No I/O."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any

from cresstray.emulators.store_data import Entry, KeyValueData
from cresstray.idempotency import codec

# Commands that a store which is loading or busy still takes.
_CONNECTION_COMMANDS = frozenset((b"HELLO", b"AUTH", b"CLIENT", b"ROLE", b"INFO", b"SCRIPT"))
_WRITE_COMMANDS = frozenset((b"SET", b"DEL", b"EVAL", b"EVALSHA"))
_BEFORE_AUTH = frozenset((b"AUTH", b"HELLO"))
_ERRORS = {
    "LOADING": "LOADING Redis is loading the dataset in memory",
    "READONLY": "READONLY You can't write against a read only replica.",
    "OOM": "OOM command not allowed when used memory > 'maxmemory'.",
    "BUSY": "BUSY Redis is busy running a script. You can only call SCRIPT KILL or SHUTDOWN NOSAVE.",
}
_SYNTAX_ERROR = "ERR syntax error"
_UNKNOWN_SCRIPT = "ERR this stand-in does not know the script"


class StoreError(Exception):
    """An error reply."""


class SimpleString(str):
    """A simple string, such as OK."""


OK = SimpleString("OK")


def encode(reply: Any, protocol: int) -> bytes:
    """Returns a reply in RESP2 or RESP3."""
    if isinstance(reply, StoreError):
        return f"-{reply}\r\n".encode()
    if isinstance(reply, SimpleString):
        return f"+{reply}\r\n".encode()
    if reply is None:
        return b"_\r\n" if protocol == 3 else b"$-1\r\n"
    if isinstance(reply, int):
        return b":%d\r\n" % reply
    if isinstance(reply, str):
        reply = reply.encode()
    if isinstance(reply, bytes):
        return b"$%d\r\n%b\r\n" % (len(reply), reply)
    if isinstance(reply, dict):
        return _encode_map(reply, protocol)
    return b"*%d\r\n" % len(reply) + b"".join(encode(part, protocol) for part in reply)


def _encode_map(reply: dict[str, Any], protocol: int) -> bytes:
    flat = [part for pair in reply.items() for part in pair]
    head = b"%%%d\r\n" % len(reply) if protocol == 3 else b"*%d\r\n" % len(flat)
    return head + b"".join(encode(part, protocol) for part in flat)


class ClientState:
    """What the store knows of one client: its number, protocol, name, and whether it is authenticated."""

    def __init__(self, number: int, is_authenticated: bool) -> None:
        self.number = number
        self.is_authenticated = is_authenticated
        self.protocol = 2
        self.name = b""


class StoreCommands:
    """Executes commands on the data.

    Attributes:
        data: The keys.
        scripts: Digests of the scripts that are cached.
        clock_shift_ms: By how much the store's clock is wrong.
        error: Kind of the error that commands get; "" for none.
        primary: The primary of which this is a replica; None for a primary.
    """

    def __init__(self, password: bytes, is_old: bool, count_replicas: Callable[[], int]) -> None:
        """`is_old`: knows no HELLO, as before RESP3."""
        self._password = password
        self._is_old = is_old
        self._count_replicas = count_replicas
        self.data = KeyValueData()
        self.scripts: set[bytes] = set()
        self.clock_shift_ms = 0
        self.error = ""
        self.primary: tuple[str, int] | None = None

    def now_ms(self) -> int:
        """Returns the time of the store's clock."""
        return time.time_ns() // 1_000_000 + self.clock_shift_ms

    def make_client(self, number: int) -> ClientState:
        """Returns the state of a new client."""
        return ClientState(number, not self._password)

    def execute(self, client: ClientState, arguments: list[bytes]) -> Any:
        """Returns the reply; errors are replies too."""
        name = arguments[0].upper()
        try:
            self._check_allowed(client, name)
            command = getattr(self, f"_do_{name.decode().lower()}", None)
            if command is None or (self._is_old and name == b"HELLO"):
                raise StoreError(f"ERR unknown command '{name.decode()[:40]}', with args beginning with: ")
            return command(client, *arguments[1:])
        except StoreError as error:
            return error
        except (TypeError, ValueError):
            return StoreError(f"ERR wrong number of arguments for '{name.decode().lower()}' command")

    def _check_allowed(self, client: ClientState, name: bytes) -> None:
        if not client.is_authenticated and name not in _BEFORE_AUTH:
            raise StoreError("NOAUTH Authentication required.")
        if not self.error or name in _CONNECTION_COMMANDS:
            return
        if self.error in ("LOADING", "BUSY") or name in _WRITE_COMMANDS:
            raise StoreError(_ERRORS.get(self.error, f"{self.error} by order"))

    def _value(self, key: bytes) -> bytes | None:
        entry = self.data.get(key, self.now_ms())
        if entry is None:
            return None
        if not isinstance(entry.value, bytes):
            raise StoreError("WRONGTYPE Operation against a key holding the wrong kind of value")
        return entry.value

    def _check_writable(self) -> None:
        if self.primary is not None:
            raise StoreError(_ERRORS["READONLY"])

    def _do_get(self, _: ClientState, key: bytes) -> bytes | None:
        return self._value(key)

    def _do_set(self, _: ClientState, key: bytes, value: bytes, *options: bytes) -> Any:
        self._check_writable()
        now_ms = self.now_ms()
        expires_ms, flags = _parse_set_options(options, now_ms)
        is_present = self.data.get(key, now_ms) is not None
        if (b"NX" in flags and is_present) or (b"XX" in flags and not is_present):
            return None
        self.data.put(key, Entry(value, expires_ms), now_ms)
        return OK

    def _do_del(self, _: ClientState, *keys: bytes) -> int:
        self._check_writable()
        present = [key for key in dict.fromkeys(keys) if self.data.get(key, self.now_ms()) is not None]
        for key in present:
            self.data.put(key, None, self.now_ms())
        return len(present)

    def _do_pttl(self, _: ClientState, key: bytes) -> int:
        entry = self.data.get(key, self.now_ms())
        if entry is None:
            return -2
        return -1 if entry.expires_ms is None else entry.expires_ms - self.now_ms()

    def _do_scan(self, _: ClientState, cursor: bytes, *options: bytes) -> list[Any]:
        given = dict(zip((option.upper() for option in options[::2]), options[1::2]))
        pattern = given.get(b"MATCH", b"*")
        count = int(given.get(b"COUNT", b"10"))
        if not pattern.endswith(b"*") or b"*" in pattern[:-1]:
            raise StoreError("ERR this stand-in knows patterns that end in * only")
        keys = sorted(self.data.entries)
        start = int(cursor)
        end = start + count
        found = [
            key
            for key in keys[start:end]
            if key.startswith(pattern[:-1]) and self.data.get(key, self.now_ms())
        ]
        next_cursor = end if len(keys) > end else 0
        return [b"%d" % next_cursor, found]

    def _do_time(self, _: ClientState) -> list[bytes]:
        now_us = time.time_ns() // 1000 + self.clock_shift_ms * 1000
        return [b"%d" % (now_us // 1_000_000), b"%d" % (now_us % 1_000_000)]

    def _do_ping(self, _: ClientState, *message: bytes) -> Any:
        return message[0] if message else SimpleString("PONG")

    def _do_hello(self, client: ClientState, version: bytes = b"", *options: bytes) -> dict[str, Any]:
        if version not in (b"", b"2", b"3"):
            raise StoreError("NOPROTO unsupported protocol version")
        remaining = list(options)
        while remaining:
            option = remaining.pop(0).upper()
            if option == b"AUTH":
                self._do_auth(client, remaining.pop(0), remaining.pop(0))
            elif option == b"SETNAME":
                client.name = remaining.pop(0)
            else:
                raise StoreError(_SYNTAX_ERROR)
        if not client.is_authenticated:
            raise StoreError(
                "NOAUTH HELLO must be called with the client already authenticated, otherwise the "
                "HELLO <proto> AUTH <user> <pass> option can be used to authenticate the client and "
                "select the RESP protocol version at the same time"
            )
        client.protocol = int(version or client.protocol)
        return {
            "server": "redis",
            "version": "7.2.0",
            "proto": client.protocol,
            "id": client.number,
            "mode": "standalone",
            "role": "replica" if self.primary else "master",
            "modules": [],
        }

    def _do_auth(self, client: ClientState, *credentials: bytes) -> str:
        if not self._password:
            raise StoreError(
                "ERR AUTH <password> called without any password configured for the default user. "
                "Are you sure your configuration is correct?"
            )
        is_right = credentials[-1] == self._password
        if not is_right or credentials[0] not in (b"default", credentials[-1]):
            raise StoreError("WRONGPASS invalid username-password pair or user is disabled.")
        client.is_authenticated = True
        return OK

    def _do_client(self, client: ClientState, subcommand: bytes, *rest: bytes) -> Any:
        subcommand = subcommand.upper()
        if subcommand == b"SETNAME":
            client.name = rest[0]
        elif subcommand == b"GETNAME":
            return client.name or None
        elif subcommand == b"ID":
            return client.number
        elif subcommand != b"SETINFO":
            raise StoreError(f"ERR unknown subcommand '{subcommand.decode()[:40]}'. Try CLIENT HELP.")
        return OK

    def _do_select(self, _: ClientState, number: bytes) -> str:
        if int(number):
            raise StoreError("ERR DB index is out of range")
        return OK

    def _do_role(self, _: ClientState) -> list[Any]:
        if self.primary is None:
            return ["master", 0, []]
        host, port = self.primary
        return ["slave", host, port, "connected", 0]

    def _do_info(self, _: ClientState, *_sections: bytes) -> str:
        return (
            f"# Server\r\nredis_version:7.2.0\r\n"
            f"# Replication\r\nrole:{'slave' if self.primary else 'master'}\r\n"
            f"connected_slaves:{self._count_replicas()}\r\nloading:{int(self.error == 'LOADING')}\r\n"
        )

    def _do_script(self, _: ClientState, subcommand: bytes, *rest: bytes) -> Any:
        subcommand = subcommand.upper()
        if subcommand == b"LOAD":
            if rest[0] != codec.COMPARE_AND_SET_SCRIPT:
                raise StoreError(_UNKNOWN_SCRIPT)
            self.scripts.add(codec.COMPARE_AND_SET_SHA)
            return codec.COMPARE_AND_SET_SHA
        if subcommand == b"EXISTS":
            return [int(digest in self.scripts) for digest in rest]
        if subcommand == b"FLUSH":
            self.scripts.clear()
            return OK
        raise StoreError(f"ERR unknown subcommand '{subcommand.decode()[:40]}'. Try SCRIPT HELP.")

    def _do_evalsha(self, client: ClientState, digest: bytes, *rest: bytes) -> list[Any]:
        if digest.lower() not in self.scripts:
            raise StoreError("NOSCRIPT No matching script. Please use EVAL.")
        number, key, expected, new, lifetime_ms = rest
        return self._do_eval(client, codec.COMPARE_AND_SET_SCRIPT, number, key, expected, new, lifetime_ms)

    def _do_eval(
        self,
        _: ClientState,
        script: bytes,
        number: bytes,
        key: bytes,
        expected: bytes,
        new: bytes,
        lifetime_ms: bytes,
    ) -> list[Any]:
        """Does what the text of codec.COMPARE_AND_SET_SCRIPT means."""
        if script != codec.COMPARE_AND_SET_SCRIPT or number != b"1":
            raise StoreError(_UNKNOWN_SCRIPT)
        self._check_writable()
        self.scripts.add(codec.COMPARE_AND_SET_SHA)
        now_ms = self.now_ms()
        current = self._value(key)
        if (current or b"") != expected:
            return [0, current, now_ms]
        if int(lifetime_ms) < 1:
            raise StoreError("ERR invalid expire time in 'set' command")
        self.data.put(key, Entry(new, now_ms + int(lifetime_ms)), now_ms)
        return [1, now_ms]


def _parse_set_options(options: tuple[bytes, ...], now_ms: int) -> tuple[int | None, set[bytes]]:
    """Returns the expiry and the flags of SET."""
    expires_ms: int | None = None
    flags: set[bytes] = set()
    remaining = list(options)
    while remaining:
        option = remaining.pop(0).upper()
        if option in (b"PX", b"EX"):
            if not remaining:
                raise StoreError(_SYNTAX_ERROR)
            lifetime = int(remaining.pop(0))
            if lifetime < 1:
                raise StoreError("ERR invalid expire time in 'set' command")
            expires_ms = now_ms + lifetime * (1000 if option == b"EX" else 1)
        elif option in (b"NX", b"XX"):
            flags.add(option)
        else:
            raise StoreError(_SYNTAX_ERROR)
    return expires_ms, flags
