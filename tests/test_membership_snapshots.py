"""Tests of snapshots on disk: formats, damage, failing disks, and processes killed during a write."""

from __future__ import annotations

import errno
import os
import random
import subprocess
import sys
import tempfile
import unittest

from cresstray.discovery.endpoint_list import Endpoint
from cresstray.membership import snapshot, snapshot_files
from cresstray.membership.snapshot_files import FileSystem, SnapshotFolder
from tests.membership_fixtures import (
    READY,
    STORED_FILES,
    make_endpoint,
    make_snapshot,
)


class ProcessKilledError(BaseException):
    """The process is killed at this call."""


class FakeDisk(FileSystem):
    """A file system in memory that loses unsynced data, and kills the process at its nth call.

    Attributes:
        files: The content of each file by name, as processes see it.
        synced_content: The content of each file at its last sync, by the id of its bytearray.
        directories: The directory after each rename or creation since the folder was last synced.
        all_contents: Keeps all bytearrays alive, so that no id is used twice.
        call_count: The number of calls; the process is killed at call `kill_at`, before or after its effect.
        errors: The error number of each call that fails, by name.
    """

    def __init__(self, files: dict[str, bytes], kill_at: int = -1, kill_after: bool = False) -> None:
        self.files = {name: bytearray(data) for name, data in files.items()}
        self.synced_content = {id(data): bytes(data) for data in self.files.values()}
        self.directories = [dict(self.files)]
        self.open_files: dict[int, list] = {}
        self.all_contents = list(self.files.values())
        self.call_count, self.kill_at, self.kill_after = 0, kill_at, kill_after
        self.errors: dict[str, int] = {}

    def before_call(self, name: str) -> None:
        self.call_count += 1
        if name in self.errors:
            raise OSError(self.errors[name], os.strerror(self.errors[name]))
        if self.call_count - 1 == self.kill_at and not self.kill_after:
            raise ProcessKilledError

    def after_call(self) -> None:
        if self.call_count - 1 == self.kill_at:
            raise ProcessKilledError

    def open(self, path: str, flags: int, mode: int = 0) -> int:
        self.before_call("open" if flags & os.O_CREAT else "look")
        name = path.removeprefix("/kept").removeprefix("/")
        if name and name not in self.files and not flags & os.O_CREAT:
            raise FileNotFoundError(errno.ENOENT, name)
        if flags & os.O_CREAT and (name not in self.files):
            self.files[name] = bytearray()
            self.all_contents.append(self.files[name])
            self.directories.append(dict(self.files))
        if flags & os.O_TRUNC:
            self.files[name][:] = b""
        descriptor = 10 + self.call_count
        self.open_files[descriptor] = [self.files.get(name), 0]
        self.after_call()
        return descriptor

    def close(self, descriptor: int) -> None:
        self.before_call("close")
        del self.open_files[descriptor]
        self.after_call()

    def read(self, descriptor: int, size: int) -> bytes:
        self.before_call("read")
        file = self.open_files[descriptor]
        chunk = bytes(file[0][file[1] : file[1] + size])
        file[1] += len(chunk)
        return chunk

    def write(self, descriptor: int, data: memoryview) -> int:
        part = data[: max(1, len(data) // 2)]  # a write may be partial
        self.before_call("write")
        self.open_files[descriptor][0] += part
        self.after_call()
        return len(part)

    def fsync(self, descriptor: int) -> None:
        self.before_call("fsync")
        data = self.open_files[descriptor][0]
        if data is None:
            self.directories = [dict(self.files)]
        else:
            self.synced_content[id(data)] = bytes(data)
        self.after_call()

    def rename(self, old: str, new: str) -> None:
        self.before_call("rename")
        self.files[new.removeprefix("/kept/")] = self.files.pop(old.removeprefix("/kept/"))
        self.directories.append(dict(self.files))
        self.after_call()

    def lock(self, descriptor: int) -> None:
        self.before_call("lock")

    def is_regular_file(self, descriptor: int) -> bool:
        return True

    def states_after_power_failure(self) -> list[dict[str, bytes]]:
        """Returns the possible files after a power failure: unsynced data is complete, torn or lost."""
        states = []
        for directory in self.directories:
            for share in (0.0, 0.5, 1.0):
                files = {}
                for name, data in directory.items():
                    synced = self.synced_content.get(id(data), b"")
                    files[name] = bytes(data[: int(len(data) * share)]) if bytes(data) != synced else synced
                states.append(files)
        return states


class SnapshotFilesTest(unittest.TestCase):
    """Snapshot folders on fake and real disks."""

    def locked_folder(self, disk: FakeDisk) -> SnapshotFolder:
        folder = SnapshotFolder("/kept", "g1", disk)
        self.assertTrue(folder.lock())
        return folder

    def written_files(self, indexes: range) -> dict[str, bytes]:
        """Returns the files after writing snapshots with these indexes."""
        disk = FakeDisk({})
        folder = self.locked_folder(disk)
        for index in indexes:
            folder.write(make_snapshot(index=index))
        return {name: bytes(data) for name, data in disk.files.items()}

    def write_until_killed(self, kill_at: int, kill_after: bool, syncs: bool = True) -> tuple[FakeDisk, int]:
        """Writes three snapshots until the process is killed; returns the disk and the last written index."""
        disk, last_index = FakeDisk({}, kill_at, kill_after), 0
        if not syncs:
            disk.fsync = lambda descriptor: None
        try:
            folder = self.locked_folder(disk)
            for index in (1, 2, 3):
                folder.write(make_snapshot(index=index))
                last_index = index
        except ProcessKilledError:
            pass
        return disk, last_index

    def is_snapshot_lost(self, disk: FakeDisk, last_index: int) -> bool:
        """Returns whether the disk may have neither the last written snapshot nor the next one."""
        seen_by_processes = {name: bytes(data) for name, data in disk.files.items()}
        for state in [seen_by_processes, *disk.states_after_power_failure()]:
            disk_after = FakeDisk(state)
            found = SnapshotFolder("/kept", "g1", disk_after).read().snapshot
            index = found.index if found else 0
            if index not in (last_index, last_index + 1) or found not in (None, make_snapshot(index=index)):
                return True
            # The next write succeeds, whatever files are there.
            self.locked_folder(disk_after).write(make_snapshot(index=9))
            self.assertEqual(SnapshotFolder("/kept", "g1", disk_after).read().snapshot.index, 9)
        return False

    def test_kill_at_any_call_leaves_the_old_or_the_new_snapshot_intact(self) -> None:
        for kill_after in (False, True):
            call_count = self.write_until_killed(-1, kill_after)[0].call_count
            self.assertGreater(call_count, 30)
            for kill_at in range(call_count):
                self.assertFalse(
                    self.is_snapshot_lost(*self.write_until_killed(kill_at, kill_after)),
                    (kill_at, kill_after),
                )

    def test_the_same_check_fails_for_writes_without_syncs(self) -> None:
        self.assertTrue(
            any(
                self.is_snapshot_lost(*self.write_until_killed(kill_at, False, False))
                for kill_at in range(60)
            )
        )

    def test_failing_disk_keeps_the_last_snapshot_and_later_writes_succeed(self) -> None:
        for call, error_number in (
            ("write", errno.ENOSPC),
            ("open", errno.EROFS),
            ("fsync", errno.EIO),
            ("rename", errno.ENOSPC),
        ):
            disk = FakeDisk(self.written_files(range(1, 3)))
            folder = self.locked_folder(disk)
            disk.errors[call] = error_number
            with self.assertRaises(OSError):
                folder.write(make_snapshot(index=3))
            disk.errors.clear()
            self.assertEqual(SnapshotFolder("/kept", "g1", disk).read().snapshot.index, 2, call)
            folder.write(make_snapshot(index=4))
            self.assertEqual(SnapshotFolder("/kept", "g1", disk).read().snapshot.index, 4, call)
        disk = FakeDisk({})
        disk.errors["look"] = errno.EIO
        self.assertEqual(len(SnapshotFolder("/kept", "g1", disk).read().skipped_lines), 2)

    def test_damaged_file_is_reported_and_the_other_generation_used(self) -> None:
        files, chance = self.written_files(range(1, 3)), random.Random(3)
        newest = next(
            name
            for name in snapshot_files.SNAPSHOT_FILE_NAMES
            if snapshot.decode(files[name], "g1")[1].index == 2
        )
        intact = files[newest]
        damaged_files = [intact[:size] for size in range(len(intact))]
        for position in range(len(intact)):
            damaged = bytearray(intact)
            damaged[position] ^= 1 << chance.randrange(8)
            damaged_files.append(bytes(damaged))
        for data in (*damaged_files, intact + b"x", chance.randbytes(500), intact * 2):
            found = SnapshotFolder("/kept", "g1", FakeDisk({**files, newest: data})).read()
            self.assertEqual((found.snapshot.index, len(found.skipped_lines)), (1, 1))
            self.assertNotIn("\n", found.skipped_lines[0])

    def test_stored_files_of_all_versions_are_read_or_rejected_with_a_reason(self) -> None:
        """The files were stored once and are never written again, as those on disks must stay readable."""
        serial, first = snapshot.decode((STORED_FILES / "first.kept").read_bytes(), "g1")
        self.assertEqual(
            (serial, first.index, [entry.id for entry in first.endpoints], first.endpoints[1].is_draining),
            (41, 50, [1, 2, 3], True),
        )
        self.assertEqual((first.tombstones, first.is_handed_over, first.boot_id), ([], False, ""))
        self.assertEqual(snapshot.decode(snapshot.encode(first, 42), "g1"), (42, first))
        for name, reason in (
            ("half.kept", "no body of format 2"),
            ("future.kept", "of format 3"),
            ("foreign.kept", "not a snapshot"),
            ("torn.kept", "torn"),
            ("other.kept", "written by 'g2'"),
            ("port.kept", "no body of format 2"),
        ):
            with self.assertRaisesRegex(snapshot.UnusableSnapshotError, reason):
                snapshot.decode((STORED_FILES / name).read_bytes(), "g1")
        second = snapshot.decode((STORED_FILES / "second.kept").read_bytes(), "g1")
        self.assertEqual(second, (7, make_snapshot()))

    def test_file_of_a_later_build_does_not_become_the_newest_again(self) -> None:
        later = bytearray(snapshot.encode(make_snapshot(index=77), 900))
        later[9] = 3
        disk = FakeDisk({"engines.a": bytes(later), "engines.b": bytes(later)})
        self.locked_folder(disk).write(make_snapshot(index=78))
        later[9] = 2
        disk.files["engines.b"][:] = later
        self.assertEqual(SnapshotFolder("/kept", "g1", disk).read().snapshot.index, 78)

    def test_files_of_another_gateway_are_not_overwritten(self) -> None:
        disk = FakeDisk(self.written_files(range(1, 3)))
        folder = SnapshotFolder("/kept", "g2", disk)
        self.assertEqual((folder.lock(), folder.read().snapshot), (True, None))
        self.assertRaisesRegex(OSError, "another gateway", folder.write, make_snapshot(owner="g2"))
        self.assertEqual(SnapshotFolder("/kept", "g1", disk).read().snapshot.index, 2)

    def test_snapshot_that_could_not_be_decoded_is_not_written(self) -> None:
        disk = FakeDisk(self.written_files(range(1, 3)))
        undecodable = make_snapshot(limits=[snapshot.LimitEntry(1, 5, float("inf"), 1.0)])
        self.assertRaises(snapshot.UnusableSnapshotError, self.locked_folder(disk).write, undecodable)
        self.assertEqual(SnapshotFolder("/kept", "g1", disk).read().snapshot.index, 2)
        endpoints = [
            make_endpoint(1),
            make_endpoint(2, port=70_000),
            Endpoint(3, "h", 9, READY, 0, 0, 99_999, 5),
        ]
        self.assertEqual([snapshot.can_store(endpoint) for endpoint in endpoints], [True, False, False])

    def test_state_that_must_not_outlive_a_process_is_not_stored(self) -> None:
        stored_names = {
            name
            for kind in (
                snapshot.Snapshot,
                snapshot.EndpointEntry,
                snapshot.LimitEntry,
                snapshot.LatencyEntry,
            )
            for name in (*kind.__struct_fields__, *kind.__struct_encode_fields__)
        }
        never_stored = {"permits", "out", "threads", "doubted", "mute", "drained", "full_until", "cold"}
        never_stored |= {
            "in_flight",
            "is_suspected",
            "is_unresponsive",
            "drain_began_us",
            "overloaded_until_us",
        }
        self.assertFalse(stored_names & never_stored)

    def test_zones_and_instance_types_are_matched_by_name(self) -> None:
        stored = make_snapshot(
            zones=["a", "b"],
            instance_types=["small", "big"],
            endpoints=[
                snapshot.to_entry(Endpoint(n, "h", 1, READY, n % 2, n % 2, 0, 0), 0) for n in range(2)
            ],
        )
        endpoints = snapshot.to_endpoints(stored, ["b", "c"], ["big"])
        self.assertEqual(
            [(endpoint.id, endpoint.zone, endpoint.instance_type) for endpoint, _ in endpoints], [(1, 0, 0)]
        )

    def test_only_one_of_two_processes_locks_a_folder(self) -> None:
        with tempfile.TemporaryDirectory() as path:
            program = (
                "import sys; from cresstray.membership.snapshot_files import SnapshotFolder; "
                "f = SnapshotFolder(sys.argv[1], 'g1'); "
                "print(f.lock(), flush=True); sys.stdin.read()"
            )
            with subprocess.Popen(
                [sys.executable, "-c", program, path],
                stdin=subprocess.PIPE,
                stdout=subprocess.PIPE,
                text=True,
            ) as other:
                self.assertEqual(other.stdout.readline(), "True\n")
                folder = SnapshotFolder(path, "g1")
                self.assertFalse(folder.lock())
                self.assertRaises(OSError, folder.write, make_snapshot())
                self.assertEqual(folder.read().skipped_lines, [])
                other.stdin.close()
                other.wait(10)
            self.assertTrue(folder.lock())
            self.assertGreater(folder.write(make_snapshot()), 100)
            os.unlink(f"{path}/engines.a")
            os.mkfifo(f"{path}/engines.a")
            self.assertEqual(len(SnapshotFolder(path, "g1").read().skipped_lines), 1)


if __name__ == "__main__":
    unittest.main()
