"""What the replicated state remembers of the past, each part bounded in number and bytes."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable

import msgspec

from cresstray.fleet_config.documents import Documents, apply_delta

# 1,024 clients ask again within seconds, each with a few requests under way.
_MAX_RESULTS = 4_096
_MAX_RESULT_BYTES = 4 * 1024 * 1024
# Changes that are listed and can be reverted to.
_MAX_CHANGES = 256
_MAX_CHANGE_BYTES = 4 * 1024 * 1024
# Turns that a follower may be behind before it gets the whole: some minutes of a busy day.
_MAX_TURNS = 256
_MAX_TURN_BYTES = 1024 * 1024


class HistoryEntry(msgspec.Struct, array_like=True, frozen=True):
    """A change that was accepted; `reverse_change` leads from its content to the one before."""

    version: int
    request: str
    author: str
    reason: str
    documents: tuple[str, ...]
    change: bytes
    reverse_change: bytes

    @property
    def size_bytes(self) -> int:
        """Bytes of both deltas."""
        return len(self.change) + len(self.reverse_change)


class ResultCache:
    """Results of requests by name, so that a request asked again is not carried out twice."""

    def __init__(self, results: Iterable[tuple[str, bytes]] = ()) -> None:
        self._results = dict(results)
        self._bytes = sum(len(request) + len(result) for request, result in self._results.items())

    def __len__(self) -> int:
        return len(self._results)

    def clear(self) -> None:
        """Forgets all results."""
        self._results.clear()
        self._bytes = 0

    def items(self) -> list[tuple[str, bytes]]:
        """Requests and their results, the oldest first."""
        return list(self._results.items())

    def get_or_run(self, request: str, run: Callable[[], bytes]) -> bytes:
        """The result of this request; `run` gives it the first time. A request without a name always runs."""
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
    """The changes that were accepted of late."""

    def __init__(self, entries: Iterable[HistoryEntry] = ()) -> None:
        self._entries = deque(entries)
        self._bytes = sum(entry.size_bytes for entry in self._entries)

    def entries(self) -> list[HistoryEntry]:
        """The oldest first."""
        return list(self._entries)

    def append(self, entry: HistoryEntry) -> None:
        """Adds a change, and drops the oldest beyond the bounds; the latest always stays."""
        self._entries.append(entry)
        self._bytes += entry.size_bytes
        while self._is_too_long():
            self._bytes -= self._entries.popleft().size_bytes

    def _is_too_long(self) -> bool:
        if len(self._entries) > _MAX_CHANGES:
            return True
        return self._bytes > _MAX_CHANGE_BYTES and len(self._entries) > 1

    def content(self, documents: Documents, version: int, wanted: int) -> Documents | None:
        """The documents at the version `wanted`, led back from those of `version`; None: no longer known."""
        for entry in reversed(self._entries):
            if version == wanted:
                break
            documents = apply_delta(documents, entry.reverse_change)
            version -= 1
        return documents if version == wanted else None


class TurnDeltas:
    """What leads from each of the last turns to the next one."""

    def __init__(self) -> None:
        self._deltas: deque[bytes] = deque()
        self._bytes = 0

    def append(self, delta: bytes) -> None:
        """Adds what leads to the latest turn."""
        self._deltas.append(delta)
        self._bytes += len(delta)
        while self._is_too_long():
            self._bytes -= len(self._deltas.popleft())

    def _is_too_long(self) -> bool:
        if len(self._deltas) > _MAX_TURNS:
            return True
        return self._bytes > _MAX_TURN_BYTES and bool(self._deltas)

    def last(self, count: int) -> list[bytes] | None:
        """The last so many deltas; None where they are no longer known."""
        if count > len(self._deltas):
            return None
        return list(self._deltas)[-count:]
