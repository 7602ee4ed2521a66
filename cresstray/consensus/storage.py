"""Persistent state of one node in a SQLite file. A damaged file is rejected, never repaired."""

from __future__ import annotations

import os
import sqlite3
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from zlib import crc32

import msgspec

from cresstray.consensus.entries import (
    Entry,
    EntryKind,
    Members,
    PendingWrite,
    PersistentState,
    Snapshot,
    decode_members,
)

# "cray": identifies the file before anything else in it is read.
_APPLICATION_ID = 0x63726179
_FORMAT_VERSION = 1
# Length to which SQLite's error texts are cut.
_MAX_ERROR_CHARACTERS = 120
# `one` limits a table to one row, `at` is a log index, `sum` is the CRC-32 of the other columns.
_TABLES = """
    CREATE TABLE meta (one INTEGER PRIMARY KEY CHECK (one = 1), name TEXT NOT NULL, term INTEGER NOT NULL,
                       voted_for TEXT, sum INTEGER NOT NULL) STRICT;
    CREATE TABLE snapshot (one INTEGER PRIMARY KEY CHECK (one = 1), at INTEGER NOT NULL,
                           term INTEGER NOT NULL, members BLOB NOT NULL, data BLOB NOT NULL,
                           sum INTEGER NOT NULL) STRICT;
    CREATE TABLE entries (at INTEGER PRIMARY KEY, term INTEGER NOT NULL, kind INTEGER NOT NULL,
                          data BLOB NOT NULL, sum INTEGER NOT NULL) STRICT;
"""


class UnusableFileError(ValueError):
    """The file can't be used; the message is one line."""


def _checksum(*parts: object) -> int:
    """Returns the CRC-32 of all columns of a row."""
    return crc32(msgspec.msgpack.encode(parts))


class Storage:
    """One node's file, locked while it is open.

    It uses a rollback journal instead of a write-ahead log, because SQLite takes a damaged record of such a
    log for its end and would silently drop acknowledged data after it. This costs two more syncs per write.

    Raises:
        UnusableFileError: the file is missing, in use, foreign or damaged.
    """

    @staticmethod
    def create(path: str, name: str, members: Members) -> None:
        """Creates the file of a new node, atomically.

        Raises:
            UnusableFileError: there is a file already.
            OSError: it can't be written.
        """
        if os.path.exists(path):
            raise UnusableFileError(f"{path}: there is a file already")
        new_path = f"{path}.new"
        for leftover_path in (new_path, f"{new_path}-journal"):
            if os.path.exists(leftover_path):
                os.unlink(leftover_path)
        with _sqlite_errors_as(new_path, OSError):
            connection = _open(new_path, "rwc")
            try:
                _configure(connection)
                connection.executescript(
                    f"PRAGMA application_id = {_APPLICATION_ID}; "
                    f"PRAGMA user_version = {_FORMAT_VERSION}; BEGIN; {_TABLES}"
                )
                # The first members are in no entry. With them in a snapshot of index 1, a node that joins
                # later with an empty log gets that snapshot, and never the entries without it.
                first_index = 1 if members.voters else 0
                _write_meta(connection, name, first_index, None)
                _write_snapshot(connection, Snapshot(first_index, first_index, members, b""))
                connection.execute("COMMIT")
            finally:
                connection.close()
        # A crash must not leave a partial file at `path`.
        try:
            os.link(new_path, path)
        except FileExistsError:
            raise UnusableFileError(f"{path}: there is a file already") from None
        finally:
            os.unlink(new_path)
        _sync_directory(path)

    def __init__(self, path: str) -> None:
        self.path = path
        if not os.path.isfile(path):
            raise UnusableFileError(f"{path}: there is no such file")
        with _sqlite_errors_as(path):
            self._connection = _open(path, "rw")
            try:
                self._name = self._check_file()
            except BaseException:
                self._connection.close()
                raise

    def _check_file(self) -> str:
        """Checks that the file has this format and is not in use; returns the node's name in it.

        A foreign file is left unchanged.
        """
        connection = self._connection
        try:
            connection.executescript("BEGIN EXCLUSIVE; COMMIT;")
        except sqlite3.OperationalError as error:
            if error.sqlite_errorcode == sqlite3.SQLITE_BUSY:
                raise UnusableFileError(f"{self.path}: another process uses it") from None
            raise
        application_id = connection.execute("PRAGMA application_id").fetchone()[0]
        if application_id != _APPLICATION_ID:
            raise UnusableFileError(f"{self.path}: not a keeper's file")
        version = connection.execute("PRAGMA user_version").fetchone()[0]
        if version != _FORMAT_VERSION:
            raise UnusableFileError(f"{self.path}: of format {version}; this build knows {_FORMAT_VERSION}")
        check_result = connection.execute("PRAGMA quick_check(1)").fetchone()[0]
        if check_result != "ok":
            raise UnusableFileError(f"{self.path}: damaged: {_one_line(check_result)}")
        _configure(connection)
        return self._load_meta()[0]

    def _load_meta(self) -> tuple[str, int, str | None]:
        row = self._connection.execute("SELECT name, term, voted_for, sum FROM meta").fetchone()
        if row is None or row[3] != _checksum(*row[:3]):
            raise UnusableFileError(f"{self.path}: damaged: name, term and vote")
        return row[0], row[1], row[2]

    def load(self) -> PersistentState:
        """Reads the whole state.

        Raises:
            UnusableFileError: a row is missing or differs from what was written.
        """
        with _sqlite_errors_as(self.path):
            name, term, voted_for = self._load_meta()
            snapshot = self._load_snapshot()
            if snapshot.term > term:
                raise UnusableFileError(f"{self.path}: damaged: the snapshot is of a later term")
            return PersistentState(name, term, voted_for, snapshot, self._load_entries(snapshot, term))

    def _load_snapshot(self) -> Snapshot:
        row = self._connection.execute("SELECT at, term, members, data, sum FROM snapshot").fetchone()
        if row is None or row[4] != _checksum(*row[:4]):
            raise UnusableFileError(f"{self.path}: damaged: the snapshot")
        try:
            return Snapshot(row[0], row[1], decode_members(row[2]), row[3])
        except ValueError:
            raise UnusableFileError(f"{self.path}: damaged: the snapshot's members") from None

    def _load_entries(self, snapshot: Snapshot, max_term: int) -> list[Entry]:
        create = []
        term = snapshot.term
        rows = self._connection.execute("SELECT at, term, kind, data, sum FROM entries ORDER BY at")
        for expected_index, row in enumerate(rows, snapshot.index + 1):
            if row[0] != expected_index:
                raise UnusableFileError(
                    f"{self.path}: damaged: entry {row[0]} where {expected_index} was to be"
                )
            if row[4] != _checksum(*row[:4]) or not term <= row[1] <= max_term:
                raise UnusableFileError(f"{self.path}: damaged: entry {expected_index}")
            if row[2] == EntryKind.MEMBERS:
                try:
                    decode_members(row[3])
                except ValueError:
                    raise UnusableFileError(f"{self.path}: damaged: entry {expected_index}") from None
            term = row[1]
            create.append(Entry(*row[1:4]))
        return create

    def write(self, pending_write: PendingWrite) -> None:
        """Writes and syncs the changes in one transaction.

        Raises:
            OSError: the write failed, for example because the disk is full.
        """
        connection = self._connection
        with _sqlite_errors_as(self.path, OSError):
            try:
                connection.execute("BEGIN IMMEDIATE")
                if pending_write.truncate_from is not None:
                    connection.execute("DELETE FROM entries WHERE at >= ?", (pending_write.truncate_from,))
                connection.executemany(
                    "INSERT INTO entries VALUES (?, ?, ?, ?, ?)",
                    (
                        (
                            index,
                            entry.term,
                            int(entry.kind),
                            entry.data,
                            _checksum(index, entry.term, int(entry.kind), entry.data),
                        )
                        for index, entry in enumerate(pending_write.entries, pending_write.first_index)
                    ),
                )
                if pending_write.snapshot is not None:
                    _write_snapshot(connection, pending_write.snapshot)
                    connection.execute("DELETE FROM entries WHERE at <= ?", (pending_write.snapshot.index,))
                _write_meta(connection, self._name, pending_write.term, pending_write.voted_for)
                connection.execute("COMMIT")
            except BaseException:
                if connection.in_transaction:
                    connection.execute("ROLLBACK")
                raise

    def close(self) -> None:
        """Closes the file and releases its lock."""
        self._connection.close()


def _open(path: str, mode: str) -> sqlite3.Connection:
    """Opens a connection that keeps its locks. Different threads may use it one after another."""
    connection = sqlite3.connect(
        f"{Path(path).absolute().as_uri()}?mode={mode}",
        uri=True,
        isolation_level=None,
        timeout=0,
        check_same_thread=False,
    )
    connection.execute("PRAGMA locking_mode = EXCLUSIVE")
    return connection


def _configure(connection: sqlite3.Connection) -> None:
    # EXTRA also syncs the removal of the journal: if that were lost, the journal would undo the commit.
    for line in (
        "journal_mode = DELETE",
        "synchronous = EXTRA",
        "temp_store = MEMORY",
        "cell_size_check = ON",
    ):
        connection.execute(f"PRAGMA {line}").fetchall()


def _write_meta(connection: sqlite3.Connection, name: str, term: int, voted_for: str | None) -> None:
    connection.execute(
        "INSERT OR REPLACE INTO meta VALUES (1, ?, ?, ?, ?)",
        (name, term, voted_for, _checksum(name, term, voted_for)),
    )


def _write_snapshot(connection: sqlite3.Connection, snapshot: Snapshot) -> None:
    row = snapshot.index, snapshot.term, snapshot.members.encode(), snapshot.data
    connection.execute("INSERT OR REPLACE INTO snapshot VALUES (1, ?, ?, ?, ?, ?)", (*row, _checksum(*row)))


def _sync_directory(path: str) -> None:
    directory = os.open(os.path.dirname(os.path.abspath(path)), os.O_RDONLY)
    try:
        os.fsync(directory)
    finally:
        os.close(directory)


def _one_line(text: str) -> str:
    return " ".join(str(text).split())[:_MAX_ERROR_CHARACTERS]


@contextmanager
def _sqlite_errors_as(path: str, error_type: type[Exception] = UnusableFileError) -> Iterator[None]:
    """Raises SQLite's errors as `error_type`, in one line."""
    try:
        yield
    except sqlite3.Error as error:
        raise error_type(f"{path}: {_one_line(str(error))}") from None
