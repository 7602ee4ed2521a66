"""Past results, changes and turns that the replicated state keeps, each bounded in number and bytes."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable

import msgspec

from cresstray.fleet_config.documents import Documents, apply_delta

# Covers retries of 1,024 clients within seconds, each with a few requests in flight.
_MAX_RESULTS = 4_096
_MAX_RESULT_BYTES = 4 * 1024 * 1024
# Changes that are listed and whose earlier versions can be restored.
_MAX_CHANGES = 256
_MAX_CHANGE_BYTES = 4 * 1024 * 1024
# Turns that a follower may be behind before it is sent all documents: some minutes of a busy day.
_MAX_TURNS = 256
_MAX_TURN_BYTES = 1024 * 1024


class HistoryEntry(msgspec.Struct, array_like=True, frozen=True):
    """An accepted change; `reverse_change` is the delta from its documents back to the previous ones."""

    version: int
    request: str
    author: str
    reason: str
    documents: tuple[str, ...]
    change: bytes
    reverse_change: bytes

    @property
    def size_bytes(self) -> int:
        """Total size of both deltas."""
        return len(self.change) + len(self.reverse_change)


class ResultCache:
    """Results by request name, so that a repeated request is not carried out twice."""

    def __init__(self, results: Iterable[tuple[str, bytes]] = ()) -> None:
        self._results = dict(results)
        self._bytes = sum(len(request) + len(result) for request, result in self._results.items())

    def __len__(self) -> int:
        return len(self._results)

    def clear(self) -> None:
        """Removes all results."""
        self._results.clear()
        self._bytes = 0

    def items(self) -> list[tuple[str, bytes]]:
        """Returns the requests and their results, oldest first."""
        return list(self._results.items())

    def get_or_run(self, request: str, run: Callable[[], bytes]) -> bytes:
        """Returns the result of this request; calls `run` for it the first time.

        A request without a name is run each time, and its result is not kept.
        """
        if request in self._results:
            return self._results[request]
        result = run()
        if request:
            self._results[request] = result
            self._bytes += len(request) + len(result)
            self._drop_oldest()
        return result

    def _drop_oldest(self) -> None:
        while len(self._results) > _MAX_RESULTS or self._bytes > _MAX_RESULT_BYTES:
            oldest = next(iter(self._results))
            self._bytes -= len(oldest) + len(self._results.pop(oldest))


class ChangeHistory:
    """The latest accepted changes."""

    def __init__(self, entries: Iterable[HistoryEntry] = ()) -> None:
        self._entries = deque(entries)
        self._bytes = sum(entry.size_bytes for entry in self._entries)

    def entries(self) -> list[HistoryEntry]:
        """Returns the changes, oldest first."""
        return list(self._entries)

    def append(self, entry: HistoryEntry) -> None:
        """Adds a change and drops the oldest ones beyond the bounds; the latest is always kept."""
        self._entries.append(entry)
        self._bytes += entry.size_bytes
        while self._exceeds_bounds():
            self._bytes -= self._entries.popleft().size_bytes

    def _exceeds_bounds(self) -> bool:
        if len(self._entries) > _MAX_CHANGES:
            return True
        return self._bytes > _MAX_CHANGE_BYTES and len(self._entries) > 1

    def content(self, documents: Documents, version: int, wanted_version: int) -> Documents | None:
        """Returns the documents at `wanted_version`, or None if the history doesn't reach back to it.

        `documents` are those of `version`; the reverse changes are applied to them one by one.
        """
        for entry in reversed(self._entries):
            if version == wanted_version:
                break
            documents = apply_delta(documents, entry.reverse_change)
            version -= 1
        return documents if version == wanted_version else None


class TurnDeltas:
    """The deltas from each of the last turns to the next one."""

    def __init__(self) -> None:
        self._deltas: deque[bytes] = deque()
        self._bytes = 0

    def append(self, delta: bytes) -> None:
        """Adds the delta to the latest turn and drops the oldest ones beyond the bounds."""
        self._deltas.append(delta)
        self._bytes += len(delta)
        while self._exceeds_bounds():
            self._bytes -= len(self._deltas.popleft())

    def _exceeds_bounds(self) -> bool:
        if len(self._deltas) > _MAX_TURNS:
            return True
        return self._bytes > _MAX_TURN_BYTES and bool(self._deltas)

    def last(self, count: int) -> list[bytes] | None:
        """Returns the last `count` deltas, or None if fewer are kept."""
        if count > len(self._deltas):
            return None
        return list(self._deltas)[-count:]
