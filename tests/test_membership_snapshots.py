"""Snapshots on disk: formats, damage, disks that fail, and processes that are killed as they write."""

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
from tests.membership_desk import (
    READY,
    STORED,
    make_snapshot,
    member,
)


class Killed(BaseException):
    pass


class Disk(FileSystem):
    """A disk in memory, that loses what was not synced, and a process that is killed at its nth call."""

    def __init__(self, names: dict[str, bytes], kill_at: int = -1, after: bool = False) -> None:
        self.now = {name: bytearray(data) for name, data in names.items()}
        self.safe = {id(data): bytes(data) for data in self.now.values()}
        self.names = [dict(self.now)]  # after each rename or creation since the folder was last synced
        self.open_files: dict[int, list] = {}
        self.ever = list(self.now.values())  # so that no name by id is used twice
        self.calls, self.kill_at, self.after = 0, kill_at, after
        self.fails: dict[str, int] = {}

    def call(self, name: str) -> None:
        self.calls += 1
        if name in self.fails:
            raise OSError(self.fails[name], os.strerror(self.fails[name]))
        if self.calls - 1 == self.kill_at and not self.after:
            raise Killed

    def made(self) -> None:
        if self.calls - 1 == self.kill_at:
            raise Killed

    def open(self, path: str, flags: int, mode: int = 0) -> int:
        self.call("open" if flags & os.O_CREAT else "look")
        name = path.removeprefix("/kept").removeprefix("/")
        if name and name not in self.now and not flags & os.O_CREAT:
            raise FileNotFoundError(errno.ENOENT, name)
        if flags & os.O_CREAT and (name not in self.now):
            self.now[name] = bytearray()
            self.ever.append(self.now[name])
            self.names.append(dict(self.now))
        if flags & os.O_TRUNC:
            self.now[name][:] = b""
        descriptor = 10 + self.calls
        self.open_files[descriptor] = [self.now.get(name), 0]
        self.made()
        return descriptor

    def close(self, descriptor: int) -> None:
        self.call("close")
        del self.open_files[descriptor]
        self.made()

    def read(self, descriptor: int, most: int) -> bytes:
        self.call("read")
        file = self.open_files[descriptor]
        piece = bytes(file[0][file[1] : file[1] + most])
        file[1] += len(piece)
        return piece

    def write(self, descriptor: int, data: memoryview) -> int:
        part = data[: max(1, len(data) // 2)]  # a disk may take less than it is given
        self.call("write")
        self.open_files[descriptor][0] += part
        self.made()
        return len(part)

    def fsync(self, descriptor: int) -> None:
        self.call("fsync")
        data = self.open_files[descriptor][0]
        if data is None:
            self.names = [dict(self.now)]
        else:
            self.safe[id(data)] = bytes(data)
        self.made()

    def rename(self, old: str, new: str) -> None:
        self.call("rename")
        self.now[new.removeprefix("/kept/")] = self.now.pop(old.removeprefix("/kept/"))
        self.names.append(dict(self.now))
        self.made()

    def lock(self, descriptor: int) -> None:
        self.call("lock")

    def is_regular_file(self, descriptor: int) -> bool:
        return True

    def crashed(self) -> list[dict[str, bytes]]:
        """All that may stand there after the power failed: any names, unsynced data whole, torn, lost."""
        states = []
        for names in self.names:
            for share in (0.0, 0.5, 1.0):
                found = {}
                for name, data in names.items():
                    safe = self.safe.get(id(data), b"")
                    found[name] = bytes(data[: int(len(data) * share)]) if bytes(data) != safe else safe
                states.append(found)
        return states


class FilesTest(unittest.TestCase):
    def folder(self, disk: Disk) -> SnapshotFolder:
        folder = SnapshotFolder("/kept", "g1", disk)
        self.assertTrue(folder.lock())
        return folder

    def written(self, numbers: range) -> dict[str, bytes]:
        disk = Disk({})
        folder = self.folder(disk)
        for number in numbers:
            folder.write(make_snapshot(index=number))
        return {name: bytes(data) for name, data in disk.now.items()}

    def killed(self, kill: int, after: bool, syncs: bool = True) -> tuple[Disk, int]:
        """Three writes, one after another, until the kill: the disk, and the last one that was answered."""
        disk, done = Disk({}, kill, after), 0
        if not syncs:
            disk.fsync = lambda descriptor: None
        try:
            folder = self.folder(disk)
            for number in (1, 2, 3):
                folder.write(make_snapshot(index=number))
                done = number
        except Killed:
            pass
        return disk, done

    def lost(self, disk: Disk, done: int) -> bool:
        """Whether any state that the disk may be in is neither what was answered nor what was under way."""
        process = {name: bytes(data) for name, data in disk.now.items()}
        for state in [process, *disk.crashed()]:
            again = Disk(state)
            found = SnapshotFolder("/kept", "g1", again).read().snapshot
            number = found.index if found else 0
            if number not in (done, done + 1) or found not in (None, make_snapshot(index=number)):
                return True
            # And the next write takes, whatever was left there.
            self.folder(again).write(make_snapshot(index=9))
            self.assertEqual(SnapshotFolder("/kept", "g1", again).read().snapshot.index, 9)
        return False

    def test_killed_at_each_call_the_old_or_the_new_state_is_there_whole(self) -> None:
        for after in (False, True):
            calls = self.killed(-1, after)[0].calls
            self.assertGreater(calls, 30)
            for kill in range(calls):
                self.assertFalse(self.lost(*self.killed(kill, after)), (kill, after))

    def test_a_write_without_its_syncs_is_caught_by_the_same_check(self) -> None:
        self.assertTrue(any(self.lost(*self.killed(kill, False, False)) for kill in range(60)))

    def test_full_read_only_or_refusing_disks_cost_freshness_only(self) -> None:
        for call, number in (
            ("write", errno.ENOSPC),
            ("open", errno.EROFS),
            ("fsync", errno.EIO),
            ("rename", errno.ENOSPC),
        ):
            disk = Disk(self.written(range(1, 3)))
            folder = self.folder(disk)
            disk.fails[call] = number
            with self.assertRaises(OSError):
                folder.write(make_snapshot(index=3))
            disk.fails.clear()
            self.assertEqual(SnapshotFolder("/kept", "g1", disk).read().snapshot.index, 2, call)
            folder.write(make_snapshot(index=4))
            self.assertEqual(SnapshotFolder("/kept", "g1", disk).read().snapshot.index, 4, call)
        disk = Disk({})
        disk.fails["look"] = errno.EIO
        self.assertEqual(len(SnapshotFolder("/kept", "g1", disk).read().skipped_lines), 2)

    def test_any_damage_is_told_and_the_other_generation_taken(self) -> None:
        before, chance = self.written(range(1, 3)), random.Random(3)
        newest = next(
            name
            for name in snapshot_files.SNAPSHOT_FILE_NAMES
            if snapshot.decode(before[name], "g1")[1].index == 2
        )
        whole = before[newest]
        bad = [whole[:cut] for cut in range(len(whole))]
        for at in range(len(whole)):
            broken = bytearray(whole)
            broken[at] ^= 1 << chance.randrange(8)
            bad.append(bytes(broken))
        for data in (*bad, whole + b"x", chance.randbytes(500), whole * 2):
            found = SnapshotFolder("/kept", "g1", Disk({**before, newest: data})).read()
            self.assertEqual((found.snapshot.index, len(found.skipped_lines)), (1, 1))
            self.assertNotIn("\n", found.skipped_lines[0])

    def test_stored_files_of_earlier_and_other_versions(self) -> None:
        """Stored once and never made anew: what lies on disks must stay readable."""
        serial, first = snapshot.decode((STORED / "first.kept").read_bytes(), "g1")
        self.assertEqual(
            (serial, first.index, [e.id for e in first.endpoints], first.endpoints[1].is_draining),
            (41, 50, [1, 2, 3], True),
        )
        self.assertEqual((first.tombstones, first.is_handed_over, first.boot_id), ([], False, ""))
        self.assertEqual(snapshot.decode(snapshot.encode(first, 42), "g1"), (42, first))
        for name, word in (
            ("half.kept", "no body of format 2"),
            ("future.kept", "of format 3"),
            ("foreign.kept", "not a snapshot"),
            ("torn.kept", "torn"),
            ("other.kept", "written by 'g2'"),
            ("port.kept", "no body of format 2"),
        ):
            with self.assertRaisesRegex(snapshot.UnusableSnapshotError, word):
                snapshot.decode((STORED / name).read_bytes(), "g1")
        second = snapshot.decode((STORED / "second.kept").read_bytes(), "g1")
        self.assertEqual(second, (7, make_snapshot()))

    def test_a_later_builds_file_does_not_come_back_as_the_newest(self) -> None:
        later = bytearray(snapshot.encode(make_snapshot(index=77), 900))
        later[9] = 3
        disk = Disk({"engines.a": bytes(later), "engines.b": bytes(later)})
        self.folder(disk).write(make_snapshot(index=78))
        later[9] = 2
        disk.now["engines.b"][:] = later
        self.assertEqual(SnapshotFolder("/kept", "g1", disk).read().snapshot.index, 78)

    def test_another_gateways_files_are_not_written_over(self) -> None:
        disk = Disk(self.written(range(1, 3)))
        folder = SnapshotFolder("/kept", "g2", disk)
        self.assertEqual((folder.lock(), folder.read().snapshot), (True, None))
        self.assertRaisesRegex(OSError, "another gateway", folder.write, make_snapshot(owner="g2"))
        self.assertEqual(SnapshotFolder("/kept", "g1", disk).read().snapshot.index, 2)

    def test_what_could_not_be_read_again_is_not_written(self) -> None:
        disk = Disk(self.written(range(1, 3)))
        bad = make_snapshot(limits=[snapshot.LimitEntry(1, 5, float("inf"), 1.0)])
        self.assertRaises(snapshot.UnusableSnapshotError, self.folder(disk).write, bad)
        self.assertEqual(SnapshotFolder("/kept", "g1", disk).read().snapshot.index, 2)
        odd = [member(1), member(2, port=70_000), Endpoint(3, "h", 9, READY, 0, 0, 99_999, 5)]
        self.assertEqual([snapshot.can_store(one) for one in odd], [True, False, False])

    def test_never_kept(self) -> None:
        told = {
            name
            for kind in (
                snapshot.Snapshot,
                snapshot.EndpointEntry,
                snapshot.LimitEntry,
                snapshot.LatencyEntry,
            )
            for name in (*kind.__struct_fields__, *kind.__struct_encode_fields__)
        }
        never = {"permits", "out", "threads", "doubted", "mute", "drained", "full_until", "cold"}
        never |= {"in_flight", "is_suspected", "is_unresponsive", "drain_began_us", "overloaded_until_us"}
        self.assertFalse(told & never)

    def test_places_are_named(self) -> None:
        kept = make_snapshot(
            zones=["a", "b"],
            instance_types=["small", "big"],
            endpoints=[
                snapshot.to_entry(Endpoint(n, "h", 1, READY, n % 2, n % 2, 0, 0), 0) for n in range(2)
            ],
        )
        moved = snapshot.to_endpoints(kept, ["b", "c"], ["big"])
        self.assertEqual([(m.id, m.zone, m.instance_type) for m, _ in moved], [(1, 0, 0)])

    def test_two_processes_on_one_folder(self) -> None:
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
