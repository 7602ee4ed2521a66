"""Keys and values of the emulated store, with their expiry, and what they were before."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable
from typing import Any, NamedTuple

# How long a former state can be had again: the longest of what is measured.
_HISTORY_MS = 150_000


class Entry(NamedTuple):
    """A value and when it expires, in ms of the store's clock. A list stands for any type but a string."""

    value: bytes | list[str]
    expires_ms: int | None


class Change(NamedTuple):
    """What a key held before a change."""

    at_ms: int
    key: bytes
    before: Entry | None


# Called with the time, the key, and its new entry.
OnWrite = Callable[[int, bytes, Entry | None], None]


def _ignore(_at_ms: int, _key: bytes, _entry: Entry | None) -> None:
    """Nobody follows this store."""


class KeyValueData:
    """The keys, and their history."""

    def __init__(self) -> None:
        self.entries: dict[bytes, Entry] = {}
        self._history: deque[Change] = deque()
        self.on_write: OnWrite = _ignore

    def get(self, key: bytes, now_ms: int) -> Entry | None:
        """Returns the entry, or None; an expired one is deleted."""
        entry = self.entries.get(key)
        if entry is not None and entry.expires_ms is not None and entry.expires_ms <= now_ms:
            self.put(key, None, now_ms)
            return None
        return entry

    def put(self, key: bytes, entry: Entry | None, now_ms: int) -> None:
        """Replaces the entry; None deletes it."""
        while self._history and self._history[0].at_ms < now_ms - _HISTORY_MS:
            self._history.popleft()
        self._history.append(Change(now_ms, key, self.entries.pop(key, None)))
        if entry is not None:
            self.entries[key] = entry
        self.on_write(now_ms, key, entry)

    def revert_to(self, at_ms: int) -> None:
        """Restores what the keys held at that time."""
        while self._history and self._history[-1].at_ms > at_ms:
            _, key, before = self._history.pop()
            self.entries.pop(key, None)
            if before is not None:
                self.entries[key] = before

    def former(self, at_ms: int) -> KeyValueData:
        """Returns a copy as it was at that time."""
        copy = KeyValueData()
        copy.entries = dict(self.entries)
        copy._history = self._history.copy()
        copy.revert_to(at_ms)
        return copy

    def clear(self, now_ms: int) -> None:
        """Deletes all keys, one by one."""
        for key in list(self.entries):
            self.put(key, None, now_ms)

    def load(self, dumps: Iterable[dict[str, Any]], now_ms: int) -> None:
        """Takes over what `dump_entry` has made."""
        for dump in dumps:
            self.put(bytes.fromhex(dump["key"]), parse_entry(dump), now_ms)


def dump_entry(at_ms: int, key: bytes, entry: Entry | None) -> dict[str, Any]:
    """Returns the entry as it goes to replicas and tests, as JSON."""
    dump: dict[str, Any] = {"at": at_ms, "key": key.hex()}
    if entry is not None:
        dump["value"] = entry.value.hex() if isinstance(entry.value, bytes) else entry.value
        dump["expires"] = entry.expires_ms
    return dump


def parse_entry(dump: dict[str, Any]) -> Entry | None:
    """Returns what `dump_entry` was given; None for a deletion."""
    if "value" not in dump:
        return None
    value = dump["value"]
    return Entry(bytes.fromhex(value) if isinstance(value, str) else value, dump["expires"])
