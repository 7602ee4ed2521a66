"""Command batches, the pipeline of one connection to the store, and the choice of the primary. No I/O."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Sequence
from typing import Protocol

from cresstray.idempotency import codec
from cresstray.idempotency.codec import Command, ErrorKind, ErrorReply, ProtocolError, Reply

Replies = list[Reply]
OnDone = Callable[[Replies | None], None]
# Errors with which the store replies to every command, also to PING.
_REFUSES_ALL_COMMANDS = (ErrorKind.LOADING, ErrorKind.BUSY, ErrorKind.DENIED)
# Delay between two rounds over all addresses: doubled each time, and multiplied by a random factor of 0.5 to
# 1.5.
_MIN_BACKOFF_US = 50_000
_MAX_BACKOFF_US = 1_000_000
# A connection that lasted this long resets the delay.
_STABLE_CONNECTION_US = 2_000_000


class Cancellable(Protocol):
    """A timer that can be cancelled."""

    def cancel(self) -> None:
        """Cancels the timer."""


class CommandBatch:
    """Commands that are answered together, from their submission to the call of their callback.

    Attributes:
        commands: The commands; empty after `release`.
        deadline_us: Latest time of the call.
        on_done: The caller's callback; None after `release`.
        size_bytes: Approximate size on the wire.
        may_have_been_sent: Whether any byte may have been sent. If still False at the end, no command ran.
        replies: One for each command.
        timeout: The timer of the deadline.
    """

    __slots__ = (
        "commands",
        "deadline_us",
        "on_done",
        "size_bytes",
        "may_have_been_sent",
        "replies",
        "timeout",
    )

    def __init__(self, commands: Sequence[Command], deadline_us: int, on_done: OnDone) -> None:
        self.commands = tuple(commands)
        self.deadline_us = deadline_us
        self.on_done: OnDone | None = on_done
        self.size_bytes = sum(command.size_bytes for command in commands)
        self.may_have_been_sent = False
        self.replies: Replies = [None] * len(self.commands)
        self.timeout: Cancellable | None = None

    def release(self) -> None:
        """Drops the callback and the commands; replies that still come are only counted."""
        self.on_done = None
        self.commands = ()
        self.replies = []


class _WrittenGroup:
    """Commands of one batch that were written together, followed by a PING with a token."""

    __slots__ = ("batch", "indexes", "acceptors", "token", "carries_script", "replies", "has_only_errors")

    def __init__(
        self, batch: CommandBatch, indexes: Sequence[int], token: bytes, carries_script: bool
    ) -> None:
        self.batch = batch
        self.indexes = indexes
        self.token = token
        self.carries_script = carries_script
        self.acceptors = [batch.commands[index].accepts_reply for index in indexes]
        self.replies: Replies = []
        self.has_only_errors = True


class CommandPipeline:
    """The commands in flight on one connection.

    Replies carry no identifiers. After one surplus reply, each command would get the reply to the command
    before it, and an existing record could be taken for an absent one. Therefore each batch is followed by a
    PING with a token, and its replies are passed on only after the token has come back in the right position.
    """

    def __init__(self, max_groups: int) -> None:
        """Creates an empty pipeline; `max_groups` includes groups whose callers do not wait any more."""
        self._max_groups = max_groups
        self._last_token_number = 0
        self._groups: deque[_WrittenGroup] = deque()
        # When the last reply came, or when the first group in flight was written, if that was later.
        self.last_progress_us = 0

    def __len__(self) -> int:
        return len(self._groups)

    def has_capacity(self) -> bool:
        """Returns whether another batch may be started."""
        return len(self._groups) < self._max_groups

    def start(self, batch: CommandBatch, now_us: int) -> bytes:
        """Adds a batch; returns the bytes to write."""
        return self._start(batch, range(len(batch.commands)), False, now_us)

    def _start(self, batch: CommandBatch, indexes: Sequence[int], carries_script: bool, now_us: int) -> bytes:
        self._last_token_number += 1
        group = _WrittenGroup(batch, indexes, b"%d" % self._last_token_number, carries_script)
        if not self._groups:
            self.last_progress_us = now_us
        self._groups.append(group)
        arguments = []
        for index in indexes:
            command = batch.commands[index]
            arguments.append(command.arguments_with_script if carries_script else command.arguments)
        arguments.append(codec.make_ping(group.token).arguments)
        return b"".join(map(codec.pack_arguments, arguments))

    def on_reply(self, reply: Reply, now_us: int) -> tuple[CommandBatch | None, bytes]:
        """Processes a reply; returns the batch that it completes, if any, and bytes to write.

        Raises:
            ProtocolError: The reply does not fit the command in its position. This detects surplus or missing
                replies on a connection, but not both at once.
        """
        if not self._groups:
            raise ProtocolError("a reply without a command")
        self.last_progress_us = now_us
        group = self._groups[0]
        if len(group.replies) < len(group.acceptors):
            self._on_command_reply(group, reply)
            return None, b""
        self._check_token(group, reply)
        self._groups.popleft()
        return self._complete(group, now_us)

    @staticmethod
    def _on_command_reply(group: _WrittenGroup, reply: Reply) -> None:
        is_error = type(reply) is ErrorReply
        if not is_error and not group.acceptors[len(group.replies)](reply):
            raise ProtocolError(f"reply does not fit the command: {str(reply)[:60]}")
        group.has_only_errors = group.has_only_errors and is_error
        group.replies.append(None if group.batch.on_done is None else reply)

    @staticmethod
    def _check_token(group: _WrittenGroup, reply: Reply) -> None:
        refuses_all = (
            type(reply) is ErrorReply and reply.kind in _REFUSES_ALL_COMMANDS and group.has_only_errors
        )
        if reply != group.token and not refuses_all:
            expected_position = f"instead of token {group.token.decode()}"
            raise ProtocolError(f"reply out of step: {str(reply)[:60]} {expected_position}")

    def _complete(self, group: _WrittenGroup, now_us: int) -> tuple[CommandBatch | None, bytes]:
        batch = group.batch
        if batch.on_done is None:
            return None, b""
        for index, reply in zip(group.indexes, group.replies):
            batch.replies[index] = reply
        # These commands did not run, because the store does not know the script. They are sent once more,
        # with the script.
        unknown_script_indexes = [] if group.carries_script else _find_unknown_scripts(group)
        if unknown_script_indexes:
            return None, self._start(batch, unknown_script_indexes, True, now_us)
        return batch, b""

    def close(self) -> list[CommandBatch]:
        """Empties the pipeline after its connection ended; returns the batches whose callers still wait."""
        batches = [group.batch for group in self._groups]
        self._groups = deque()
        return [batch for batch in batches if batch.on_done is not None]


def _find_unknown_scripts(group: _WrittenGroup) -> list[int]:
    indexes = []
    for index, reply in zip(group.indexes, group.replies):
        is_unknown_script = type(reply) is ErrorReply and reply.kind is ErrorKind.NOSCRIPT
        if is_unknown_script and group.batch.commands[index].arguments_with_script:
            indexes.append(index)
    return indexes


class PrimaryTracker:
    """The store's addresses, and which of them is used as the primary.

    With connections to two servers that both report to be the primary, a record written to one would not be
    found in the other. Therefore all connections go to the first primary found, until it reports to be a
    replica or its last connection ends.
    """

    def __init__(self, addresses: Sequence[tuple[str, int]]) -> None:
        self.addresses = tuple(addresses)
        self.primary: int | None = None  # index of an address
        self._last_primary = 0
        self._connections = 0  # to the primary

    def connection_order(self) -> list[int]:
        """Returns the indexes of the addresses to connect to, in order."""
        if self.primary is not None:
            return [self.primary]
        others = [index for index in range(len(self.addresses)) if index != self._last_primary]
        return [self._last_primary, *others]

    def on_handshake_finished(self, index: int, is_primary: bool) -> bool:
        """Returns whether a new connection is to be used; if so, `on_connection_closed` must follow."""
        if not is_primary or self.primary not in (None, index):
            return False
        self.primary = index
        self._last_primary = index
        self._connections += 1
        return True

    def on_connection_closed(self, index: int) -> None:
        """Records the end of a connection that was used."""
        if index == self.primary:
            self._connections -= 1
            if not self._connections:
                self.primary = None

    def on_demoted(self, index: int) -> bool:
        """Records that the server is no longer a primary.

        Returns whether it was used as one; all connections to it must then be closed.
        """
        if index != self.primary:
            return False
        self.primary = None
        self._connections = 0
        return True


class ReconnectBackoff:
    """Delays before the addresses are tried again: exponential, with random spread."""

    def __init__(self, next_random: Callable[[], float]) -> None:
        self._next_random = next_random
        self._next_us = _MIN_BACKOFF_US

    def next_delay_us(self, lifetime_us: int) -> int:
        """Returns the delay after a connection that lasted `lifetime_us`.

        Delays are spread at random, because all gateways lose the store at once.
        """
        if lifetime_us >= _STABLE_CONNECTION_US:
            self._next_us = _MIN_BACKOFF_US
        pause_us = self._next_us
        self._next_us = min(2 * self._next_us, _MAX_BACKOFF_US)
        return int(pause_us * (0.5 + self._next_random()))
