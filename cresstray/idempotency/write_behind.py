"""Queue of record updates that wait to be written, with limits in total and per tenant. Pure.

Beyond a limit, the least important update of a tenant is dropped.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass

import msgspec

from cresstray.idempotency.records import EventKind, RecordEvent

# Some 300 bytes each, 5 MB in total; enough for ten minutes without the store at ten updates a second.
MAX_PENDING = 10_000
MAX_PENDING_PER_TENANT = 2_500
# Most attempts finish sooner, so that the reports of dispatch and outcome are merged into one write.
_DISPATCH_DELAY_US = 250_000
# Importance of updates; lower ones are dropped first.
_IMPORTANCE_OF_DISPATCH = 0
_IMPORTANCE_OF_RELEASE = 1
_IMPORTANCE_OF_OUTCOME = 2
_IMPORTANCE_WITHOUT_CLAIM = 3
_IMPORTANCE_LEVELS = 4


@dataclass(slots=True, eq=False)
class PendingWrite:
    """One update of a record.

    Attributes:
        digest: Digest of the idempotency key.
        event: The event to apply to the record.
        tenant: Index of the tenant.
        expires_us: The update is dropped from this time on.
        due_us: The update is not written before this time.
        sequence: Position in the order of arrival.
        expected_value: The value that the store is expected to hold.
        journal_ids: Ids of journal entries to settle once the update is written.
    """

    digest: bytes
    event: RecordEvent
    tenant: int
    expires_us: int
    due_us: int
    sequence: int
    expected_value: bytes = b""
    journal_ids: tuple[int, ...] = ()

    @property
    def importance(self) -> int:
        """The importance level; higher if more information would be lost with the update."""
        if self.event.kind is EventKind.DISPATCHED:
            return _IMPORTANCE_OF_DISPATCH
        if self.event.kind is EventKind.NOT_EXECUTED:
            return _IMPORTANCE_OF_RELEASE
        return _IMPORTANCE_OF_OUTCOME if self.event.fence else _IMPORTANCE_WITHOUT_CLAIM


class WriteBehindQueue:
    """Updates in order of arrival, at most one for each claim."""

    def __init__(
        self, max_pending: int = MAX_PENDING, max_pending_per_tenant: int = MAX_PENDING_PER_TENANT
    ) -> None:
        self._max_pending = max_pending
        self._max_pending_per_tenant = max_pending_per_tenant
        self._writes: OrderedDict[tuple[bytes, int], PendingWrite] = OrderedDict()  # by digest and fence
        # By tenant and importance, the oldest first.
        self._by_tenant: dict[int, tuple[OrderedDict[PendingWrite, None], ...]] = {}
        self._tenant_counts: dict[int, int] = {}
        self._by_digest: dict[bytes, dict[int, PendingWrite]] = {}  # by digest, then by fence
        self._last_sequence = 0
        self.dropped_count = 0

    def __len__(self) -> int:
        return len(self._writes)

    def add(
        self,
        digest: bytes,
        event: RecordEvent,
        tenant: int,
        expires_us: int,
        now_us: int,
        expected_value: bytes = b"",
        journal_ids: tuple[int, ...] = (),
    ) -> bool:
        """Adds an update, or merges it with one of the same claim; returns whether it is kept."""
        self._last_sequence += 1
        due_us = now_us + _DISPATCH_DELAY_US if event.kind is EventKind.DISPATCHED else now_us
        return self._put(
            PendingWrite(
                digest, event, tenant, expires_us, due_us, self._last_sequence, expected_value, journal_ids
            )
        )

    def take_due(self, max_count: int, now_us: int) -> list[PendingWrite]:
        """Removes and returns the oldest updates that are due, in order; drops expired ones that it meets."""
        due_writes: list[PendingWrite] = []
        expired_writes: list[PendingWrite] = []
        for write in self._writes.values():
            if write.expires_us <= now_us:
                expired_writes.append(write)
            elif write.due_us <= now_us:
                due_writes.append(write)
                if len(due_writes) == max_count:
                    break
        for write in (*due_writes, *expired_writes):
            self._remove(write)
        return due_writes

    def requeue(self, writes: Iterable[PendingWrite]) -> None:
        """Puts updates whose write failed or is uncertain back at the front of the queue, in order."""
        for write in sorted(writes, key=lambda write: -write.sequence):
            key = write.digest, write.event.fence
            if self._put(write):
                queued_write = self._writes[key]
                self._writes.move_to_end(key, last=False)
                self._by_tenant[queued_write.tenant][queued_write.importance].move_to_end(
                    queued_write, last=False
                )

    def pending_for(self, digest: bytes) -> list[PendingWrite]:
        """Returns the queued updates of one record."""
        return list(self._by_digest.get(digest, {}).values())

    def _put(self, write: PendingWrite) -> bool:
        key = write.digest, write.event.fence
        queued = self._writes.get(key)
        if queued is not None:
            self._replace(queued, _merge(queued, write))
            return True
        self._insert(write)
        # A flood of one tenant must neither displace the updates of others nor exhaust the gateway's memory.
        if self._tenant_counts[write.tenant] > self._max_pending_per_tenant:
            self._drop_from(write.tenant)
        elif len(self._writes) > self._max_pending:
            largest = max(self._tenant_counts, key=lambda tenant: (self._tenant_counts[tenant], -tenant))
            self._drop_from(largest)
        return key in self._writes

    def _insert(self, write: PendingWrite) -> None:
        if write.tenant not in self._by_tenant:
            self._by_tenant[write.tenant] = tuple(OrderedDict() for _ in range(_IMPORTANCE_LEVELS))
            self._tenant_counts[write.tenant] = 0
        self._writes[write.digest, write.event.fence] = write
        self._by_tenant[write.tenant][write.importance][write] = None
        self._tenant_counts[write.tenant] += 1
        self._by_digest.setdefault(write.digest, {})[write.event.fence] = write

    def _replace(self, queued: PendingWrite, merged: PendingWrite) -> None:
        """Puts the merged update in the queued one's position."""
        del self._by_tenant[queued.tenant][queued.importance][queued]
        self._by_tenant[queued.tenant][merged.importance][merged] = None
        self._writes[merged.digest, merged.event.fence] = merged
        self._by_digest[merged.digest][merged.event.fence] = merged

    def _drop_from(self, tenant: int) -> None:
        least_important = next(write for level in self._by_tenant[tenant] for write in level)
        self._remove(least_important)
        self.dropped_count += 1

    def _remove(self, write: PendingWrite) -> None:
        del self._writes[write.digest, write.event.fence]
        del self._by_tenant[write.tenant][write.importance][write]
        self._tenant_counts[write.tenant] -= 1
        if not self._tenant_counts[write.tenant]:
            del self._tenant_counts[write.tenant]
            del self._by_tenant[write.tenant]
        writes_by_fence = self._by_digest[write.digest]
        del writes_by_fence[write.event.fence]
        if not writes_by_fence:
            del self._by_digest[write.digest]


# When reports are merged, the stronger kind wins. NOT_EXECUTED never replaces UNKNOWN: an execution that may
# have happened is not retracted.
_REPORT_STRENGTH = {
    EventKind.DISPATCHED: 0,
    EventKind.NOT_EXECUTED: 1,
    EventKind.UNKNOWN: 2,
    EventKind.COMPLETED: 3,
}


def _merge(first: PendingWrite, second: PendingWrite) -> PendingWrite:
    older, newer = sorted((first, second), key=lambda write: write.sequence)
    strongest = max((older, newer), key=lambda write: (_REPORT_STRENGTH[write.event.kind], write.sequence))
    event = strongest.event
    if event.kind is not EventKind.NOT_EXECUTED:
        event = msgspec.structs.replace(
            event,
            earliest_dispatch_ms=min(older.event.earliest_dispatch_ms, newer.event.earliest_dispatch_ms),
            outcome=event.outcome or older.event.outcome or newer.event.outcome,
        )
    due_us = strongest.due_us
    if event.kind is EventKind.DISPATCHED:
        due_us = min(older.due_us, strongest.due_us)
    new_journal_ids = tuple(entry_id for entry_id in newer.journal_ids if entry_id not in older.journal_ids)
    return PendingWrite(
        older.digest,
        event,
        older.tenant,
        max(older.expires_us, newer.expires_us),
        due_us,
        older.sequence,
        newer.expected_value or older.expected_value,
        older.journal_ids + new_journal_ids,
    )
