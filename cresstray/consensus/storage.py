"""Durable state of one node in a SQLite file. Nothing in it is repaired or guessed at when it is loaded."""

from __future__ import annotations

import os
import sqlite3
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from zlib import crc32

import msgspec

from cresstray.consensus.entries import Durable, Entry, Keep, Kind, Members, Snapshot, members_of

# "cray": whose file it is, before anything in it is read.
_APPLICATION = 0x63726179
_FORMAT = 1
# A damaged file's error has so many characters of what SQLite says.
_MAX_ERROR_CHARACTERS = 120
_TABLES = """
    CREATE TABLE meta (one INTEGER PRIMARY KEY CHECK (one = 1), name TEXT NOT NULL, term INTEGER NOT NULL,
                       voted_for TEXT, sum INTEGER NOT NULL) STRICT;
    CREATE TABLE snapshot (one INTEGER PRIMARY KEY CHECK (one = 1), at INTEGER NOT NULL,
                           term INTEGER NOT NULL, members BLOB NOT NULL, data BLOB NOT NULL,
                           sum INTEGER NOT NULL) STRICT;
    CREATE TABLE entries (at INTEGER PRIMARY KEY, term INTEGER NOT NULL, kind INTEGER NOT NULL,
                          data BLOB NOT NULL, sum INTEGER NOT NULL) STRICT;
"""


class UnusableError(ValueError):
    """The file can't be used as it is; one line that says why."""


def _sum(*parts: object) -> int:
    """CRC-32 over all columns of a row."""
    return crc32(msgspec.msgpack.encode(parts))


class Storage:
    """One node's file, locked for as long as it is open.

    With a rollback journal, not a write-ahead log: SQLite takes a damaged place in such a log for its end,
    and would drop what was acknowledged after it without notice. It costs two more syncs for each write.
    """

    @staticmethod
    def found(path: str, name: str, members: Members) -> None:
        """Writes a first file, whole or not at all; UnusableError where there is one. OSError."""
        if os.path.exists(path):
            raise UnusableError(f"{path}: there is a file already")
        fresh = f"{path}.new"
        for leftover in (fresh, f"{fresh}-journal"):
            if os.path.exists(leftover):
                os.unlink(leftover)
        with _told(fresh, OSError):
            base = _open(fresh, "rwc")
            try:
                _set(base)
                base.executescript(
                    f"PRAGMA application_id = {_APPLICATION}; "
                    f"PRAGMA user_version = {_FORMAT}; BEGIN; {_TABLES}"
                )
                # The first list of members is in no entry. With a snapshot of index 1, a node that joins
                # later and empty gets it as a snapshot, and never the entries without it.
                begun = 1 if members.voters else 0
                _put_meta(base, name, begun, None)
                _put_snapshot(base, Snapshot(begun, begun, members, b""))
                base.execute("COMMIT")
            finally:
                base.close()
        # A crash must not leave half a file under the name that is looked for.
        try:
            os.link(fresh, path)
        except FileExistsError:
            raise UnusableError(f"{path}: there is a file already") from None
        finally:
            os.unlink(fresh)
        _sync_directory(path)

    def __init__(self, path: str) -> None:
        self.path = path
        if not os.path.isfile(path):
            raise UnusableError(f"{path}: there is no such file")
        with _told(path):
            self._base = _open(path, "rw")
            try:
                self._name = self._known()
            except BaseException:
                self._base.close()
                raise

    def _known(self) -> str:
        """The name in a file of this format, which nobody else uses. A foreign one is left as it is."""
        base = self._base
        try:
            base.executescript("BEGIN EXCLUSIVE; COMMIT;")
        except sqlite3.OperationalError as trouble:
            if trouble.sqlite_errorcode == sqlite3.SQLITE_BUSY:
                raise UnusableError(f"{self.path}: another process uses it") from None
            raise
        application = base.execute("PRAGMA application_id").fetchone()[0]
        if application != _APPLICATION:
            raise UnusableError(f"{self.path}: not a keeper's file")
        version = base.execute("PRAGMA user_version").fetchone()[0]
        if version != _FORMAT:
            raise UnusableError(f"{self.path}: of format {version}; this build knows {_FORMAT}")
        damage = base.execute("PRAGMA quick_check(1)").fetchone()[0]
        if damage != "ok":
            raise UnusableError(f"{self.path}: damaged: {_short(damage)}")
        _set(base)
        return self._meta()[0]

    def _meta(self) -> tuple[str, int, str | None]:
        row = self._base.execute("SELECT name, term, voted_for, sum FROM meta").fetchone()
        if row is None or row[3] != _sum(*row[:3]):
            raise UnusableError(f"{self.path}: damaged: name, term and vote")
        return row[0], row[1], row[2]

    def load(self) -> Durable:
        """Reads all of it, each row checked; UnusableError where anything is not as it was written."""
        with _told(self.path):
            name, term, voted_for = self._meta()
            snapshot = self._snapshot()
            if snapshot.term > term:
                raise UnusableError(f"{self.path}: damaged: the snapshot is of a later term")
            return Durable(name, term, voted_for, snapshot, self._entries(snapshot, term))

    def _snapshot(self) -> Snapshot:
        row = self._base.execute("SELECT at, term, members, data, sum FROM snapshot").fetchone()
        if row is None or row[4] != _sum(*row[:4]):
            raise UnusableError(f"{self.path}: damaged: the snapshot")
        try:
            return Snapshot(row[0], row[1], members_of(row[2]), row[3])
        except ValueError:
            raise UnusableError(f"{self.path}: damaged: the snapshot's members") from None

    def _entries(self, snapshot: Snapshot, most: int) -> list[Entry]:
        found = []
        term = snapshot.term
        rows = self._base.execute("SELECT at, term, kind, data, sum FROM entries ORDER BY at")
        for due, row in enumerate(rows, snapshot.index + 1):
            if row[0] != due:
                raise UnusableError(f"{self.path}: damaged: entry {row[0]} where {due} was to be")
            if row[4] != _sum(*row[:4]) or not term <= row[1] <= most:
                raise UnusableError(f"{self.path}: damaged: entry {due}")
            if row[2] == Kind.MEMBERS:
                try:
                    members_of(row[3])
                except ValueError:
                    raise UnusableError(f"{self.path}: damaged: entry {due}") from None
            term = row[1]
            found.append(Entry(*row[1:4]))
        return found

    def write(self, keep: Keep) -> None:
        """Writes and syncs all of it, or nothing; OSError where that can't be, such as a full disk."""
        base = self._base
        with _told(self.path, OSError):
            try:
                base.execute("BEGIN IMMEDIATE")
                if keep.cut is not None:
                    base.execute("DELETE FROM entries WHERE at >= ?", (keep.cut,))
                base.executemany(
                    "INSERT INTO entries VALUES (?, ?, ?, ?, ?)",
                    (
                        (at, one.term, int(one.kind), one.data, _sum(at, one.term, int(one.kind), one.data))
                        for at, one in enumerate(keep.entries, keep.first)
                    ),
                )
                if keep.snapshot is not None:
                    _put_snapshot(base, keep.snapshot)
                    base.execute("DELETE FROM entries WHERE at <= ?", (keep.snapshot.index,))
                _put_meta(base, self._name, keep.term, keep.voted_for)
                base.execute("COMMIT")
            except BaseException:
                if base.in_transaction:
                    base.execute("ROLLBACK")
                raise

    def close(self) -> None:
        """Closes the file and releases its lock."""
        self._base.close()


def _open(path: str, mode: str) -> sqlite3.Connection:
    """Opens a connection that keeps its locks. It may be used by one thread after another."""
    base = sqlite3.connect(
        f"{Path(path).absolute().as_uri()}?mode={mode}",
        uri=True,
        isolation_level=None,
        timeout=0,
        check_same_thread=False,
    )
    base.execute("PRAGMA locking_mode = EXCLUSIVE")
    return base


def _set(base: sqlite3.Connection) -> None:
    # EXTRA is FULL and one sync more: a journal whose removal was lost would undo what was committed.
    for line in (
        "journal_mode = DELETE",
        "synchronous = EXTRA",
        "temp_store = MEMORY",
        "cell_size_check = ON",
    ):
        base.execute(f"PRAGMA {line}").fetchall()


def _put_meta(base: sqlite3.Connection, name: str, term: int, voted_for: str | None) -> None:
    base.execute(
        "INSERT OR REPLACE INTO meta VALUES (1, ?, ?, ?, ?)",
        (name, term, voted_for, _sum(name, term, voted_for)),
    )


def _put_snapshot(base: sqlite3.Connection, made: Snapshot) -> None:
    row = made.index, made.term, made.members.encoded(), made.data
    base.execute("INSERT OR REPLACE INTO snapshot VALUES (1, ?, ?, ?, ?, ?)", (*row, _sum(*row)))


def _sync_directory(path: str) -> None:
    directory = os.open(os.path.dirname(os.path.abspath(path)), os.O_RDONLY)
    try:
        os.fsync(directory)
    finally:
        os.close(directory)


def _short(text: str) -> str:
    return " ".join(str(text).split())[:_MAX_ERROR_CHARACTERS]


@contextmanager
def _told(path: str, kind: type[Exception] = UnusableError) -> Iterator[None]:
    """Raises SQLite's errors as this kind, in one line."""
    try:
        yield
    except sqlite3.Error as trouble:
        raise kind(f"{path}: {_short(str(trouble))}") from None
