"""Writes snapshots in the background, and a last one for the successor of a gateway that shuts down."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from cresstray.membership.background_writer import WriteSchedule
from cresstray.membership.snapshot import Snapshot
from cresstray.membership.snapshot_files import ReadResult, SnapshotWriter, WriteResult
from cresstray.observability.counters import Counters

# Takes the time, the request names in use, and whether it is the last write; returns a function that builds
# the snapshot.
PrepareSnapshot = Callable[[int, Sequence[str], bool], Callable[[], Snapshot]]


class SnapshotPersistence:
    """Starts writes when they are due, and reports their results.

    `log_line` logs a line for operators.

    Attributes:
        schedule: Decides when the next write is due.
        is_complete: The last write, for the handover, has ended.
    """

    def __init__(
        self,
        writer: SnapshotWriter,
        schedule: WriteSchedule,
        counters: Counters,
        log_line: Callable[[str], None],
        prepare: PrepareSnapshot,
    ) -> None:
        self.schedule = schedule
        self.is_complete = False
        self._writer = writer
        self._counters = counters
        self._log_line = log_line
        self._prepare = prepare
        # Set by `hand_over`, for the last write.
        self._final_request_names: list[str] | None = None
        self._is_final_write_started = False
        self._last_error = ""

    @property
    def is_handing_over(self) -> bool:
        """Whether the last write has been requested."""
        return self._final_request_names is not None

    def hand_over(self, request_names: Sequence[str]) -> None:
        """Requests the last write, with the request names that were in use lately."""
        self._final_request_names = list(request_names)

    def poll(self, now_us: int) -> ReadResult | None:
        """Handles the result of a finished write; returns a newer snapshot if one was found instead."""
        result = self._writer.poll()
        if result is None:
            return None
        self._count(result, now_us)
        self._report(result.error)
        self.is_complete = self._is_final_write_started
        return None if self.is_handing_over else result.newer

    def start_due_write(self, now_us: int, read_serial: int) -> None:
        """Starts a write if one is due; `read_serial` is the serial of the newest applied snapshot."""
        if self._final_request_names is None:
            if self.schedule.is_due(now_us):
                self._start(now_us, (), False, read_serial)
        elif not self._is_final_write_started and self.schedule.write_started_us is None:
            self._is_final_write_started = True
            self._start(now_us, self._final_request_names, True, read_serial)

    def close(self) -> None:
        """Releases the folder for the successor, unless a write is still running."""
        if self.schedule.write_started_us is None:
            self._writer.folder.unlock()

    def _start(self, now_us: int, request_names: Sequence[str], is_final: bool, read_serial: int) -> None:
        self.schedule.on_write_started(now_us)
        self._writer.start(self._prepare(now_us, request_names, is_final), read_serial)

    def _count(self, result: WriteResult, now_us: int) -> None:
        if result.is_folder_busy:
            self.schedule.on_folder_locked(now_us)
            return
        is_success = not result.error
        self.schedule.on_write_finished(is_success, result.duration_us, now_us)
        self._counters.add(
            "membership: snapshot writes" if is_success else "membership: snapshot writes failed"
        )
        counts = self._counters.counts
        counts["membership: snapshot bytes"] = result.size_bytes or counts["membership: snapshot bytes"]
        counts["membership: slowest snapshot write us"] = max(
            result.duration_us, counts["membership: slowest snapshot write us"]
        )

    def _report(self, error: str) -> None:
        if error == self._last_error:
            return
        self._last_error = error
        self._log_line(f"snapshot not written: {error}; retrying" if error else "snapshot written again")
