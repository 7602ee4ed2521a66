"""Commands in flight on one connection to the store, in order, and which address is the primary. No I/O."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Sequence
from typing import Protocol

from cresstray.idempotency import codec
from cresstray.idempotency.codec import Command, ErrorKind, ErrorReply, ProtocolError, Reply

Replies = list[Reply]
OnDone = Callable[[Replies | None], None]
# Errors that the store gives to a PING as well.
_REFUSES_ALL_COMMANDS = (ErrorKind.LOADING, ErrorKind.BUSY, ErrorKind.DENIED)
# Pause between two rounds over all addresses: doubled each time, and spread by a half.
_MIN_BACKOFF_US = 50_000
_MAX_BACKOFF_US = 1_000_000
# A connection that lived so long has worked and resets the pause.
_STABLE_CONNECTION_US = 2_000_000


class Cancellable(Protocol):
    """A timer that can be cancelled."""

    def cancel(self) -> None:
        """Prevents the call."""


class CommandBatch:
    """Commands that are answered together, from their submission until the caller has been called.

    Attributes:
        commands: What is asked; empty once nobody waits for it.
        deadline_us: When the caller is called at the latest.
        on_done: The caller's handler; None once nobody waits.
        size_bytes: Approximate size on the wire.
        may_have_been_sent: Whether any byte may have left; False at the end: nothing of it ran.
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
        """Nobody waits for it any more. Replies that still come are counted, not kept."""
        self.on_done = None
        self.commands = ()
        self.replies = []


class _WrittenGroup:
    """Commands of one batch that were written in one piece, followed by a PING with a token."""

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
    """All that is in flight on one connection.

    Replies carry no names. With one too many, each command would get the reply to the one before, and a
    record that is present would be taken for an absent one. So each batch is followed by a token, and none
    of its replies is passed on before the token has come back at its place.
    """

    def __init__(self, max_groups: int) -> None:
        """`max_groups` counts those that nobody waits for any more too."""
        self._max_groups = max_groups
        self._last_token_number = 0
        self._groups: deque[_WrittenGroup] = deque()
        # When the last complete reply came, or the first of those in flight left.
        self.last_progress_us = 0

    def __len__(self) -> int:
        return len(self._groups)

    def has_capacity(self) -> bool:
        """Returns whether another batch may be started."""
        return len(self._groups) < self._max_groups

    def start(self, batch: CommandBatch, now_us: int) -> bytes:
        """Returns what is to be written."""
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
        """Returns a batch that is complete now, and what is to be written.

        Raises:
            ProtocolError: The reply is not one to what was asked. An error of this connection is noticed
            only if
                replies are too many or too few, not both at once.
        """
        if not self._groups:
            raise ProtocolError("a reply that nobody has asked for")
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
            raise ProtocolError(f"out of step: {str(reply)[:60]}")
        group.has_only_errors = group.has_only_errors and is_error
        group.replies.append(None if group.batch.on_done is None else reply)

    @staticmethod
    def _check_token(group: _WrittenGroup, reply: Reply) -> None:
        refuses_all = (
            type(reply) is ErrorReply and reply.kind in _REFUSES_ALL_COMMANDS and group.has_only_errors
        )
        if reply != group.token and not refuses_all:
            expected_position = f"where number {group.token.decode()} belongs"
            raise ProtocolError(f"out of step: {str(reply)[:60]} {expected_position}")

    def _complete(self, group: _WrittenGroup, now_us: int) -> tuple[CommandBatch | None, bytes]:
        batch = group.batch
        if batch.on_done is None:
            return None, b""
        for index, reply in zip(group.indexes, group.replies):
            batch.replies[index] = reply
        # The store does not know the script, and nothing of these ran. They are sent once more, with the
        # script.
        unknown_script_indexes = [] if group.carries_script else _find_unknown_scripts(group)
        if unknown_script_indexes:
            return None, self._start(batch, unknown_script_indexes, True, now_us)
        return batch, b""

    def close(self) -> list[CommandBatch]:
        """The connection has ended. Returns the batches that somebody waits for."""
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
    """The store's addresses, and which of them is the primary by its own word.

    With connections to two servers that both call themselves primary, a record written to one would not be
    found in the other. All connections go to the first primary found, until it says otherwise or its last
    connection ends.
    """

    def __init__(self, addresses: Sequence[tuple[str, int]]) -> None:
        self.addresses = tuple(addresses)
        self.primary: int | None = None  # index of an address
        self._last_primary = 0
        self._connections = 0  # to the primary

    def connection_order(self) -> list[int]:
        """Returns the indexes of the addresses to try now, in order."""
        if self.primary is not None:
            return [self.primary]
        others = [index for index in range(len(self.addresses)) if index != self._last_primary]
        return [self._last_primary, *others]

    def on_handshake_finished(self, index: int, is_primary: bool) -> bool:
        """Returns whether the connection is to be used; if so, `on_connection_closed` must follow."""
        if not is_primary or self.primary not in (None, index):
            return False
        self.primary = index
        self._last_primary = index
        self._connections += 1
        return True

    def on_connection_closed(self, index: int) -> None:
        """A connection that was used has ended."""
        if index == self.primary:
            self._connections -= 1
            if not self._connections:
                self.primary = None

    def on_demoted(self, index: int) -> bool:
        """Returns whether this is news; the connections to the address are then to be closed."""
        if index != self.primary:
            return False
        self.primary = None
        self._connections = 0
        return True


class ReconnectBackoff:
    """Pauses before the addresses are tried again."""

    def __init__(self, next_random: Callable[[], float]) -> None:
        self._next_random = next_random
        self._next_us = _MIN_BACKOFF_US

    def next_delay_us(self, lifetime_us: int) -> int:
        """Returns microseconds to wait after a connection that lived so long.

        The pauses are spread, because all gateways lose the store at once.
        """
        if lifetime_us >= _STABLE_CONNECTION_US:
            self._next_us = _MIN_BACKOFF_US
        pause_us = self._next_us
        self._next_us = min(2 * self._next_us, _MAX_BACKOFF_US)
        return int(pause_us * (0.5 + self._next_random()))
