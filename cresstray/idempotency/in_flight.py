"""What is out on one connection to the store, in order; which address is the primary. Free of I/O."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Sequence

from cresstray.idempotency import codec
from cresstray.idempotency.codec import Command, ErrorKind, ErrorReply, ProtocolError, Reply

Replies = list[Reply]
# What refuses a PING as well.
_REFUSE_ALL = (ErrorKind.LOADING, ErrorKind.BUSY, ErrorKind.DENIED)
# Microseconds between two tries of all addresses: doubled each time, and spread by a half. As halls have it.
_PAUSE, _PAUSE_MOST = 50_000, 1_000_000
# A connection that lived so long worked; one that did not is made again later and later.
_WORKED = 2_000_000


class CommandBatch:
    """One submission of commands, from when it was made until its caller has heard of it."""

    __slots__ = (
        "commands",
        "deadline_us",
        "on_done",
        "size_bytes",
        "may_have_been_sent",
        "replies",
        "timeout",
    )

    def __init__(self, commands: Sequence[Command], by: int, call: Callable[[Replies | None], None]) -> None:
        self.commands, self.deadline_us = tuple(commands), by
        self.on_done: Callable[[Replies | None], None] | None = call
        self.size_bytes = sum(command.size_bytes for command in commands)
        self.may_have_been_sent = (
            False  # whether any of it may have left; False at the end: nothing of it ran
        )
        self.replies: Replies = [None] * len(self.commands)
        self.timeout = None  # the call at its time limit

    def release(self) -> None:
        """Nobody waits for it any more. What still comes is counted off, and not kept."""
        self.on_done, self.commands, self.replies = None, (), []


class _WrittenGroup:
    """What was written of one submission in one piece: these commands of it, then a PING with a number."""

    __slots__ = ("asked", "at", "fits", "token", "again", "got", "refused")

    def __init__(self, asked: CommandBatch, at: Sequence[int], token: bytes, again: bool) -> None:
        self.asked, self.at, self.token, self.again = asked, at, token, again
        self.fits = [asked.commands[index].accepts_reply for index in at]
        self.got: Replies = []
        self.refused = True  # all of it so far


class CommandPipeline:
    """All that is out on one connection.

    Danger: replies have no names. One too many, and each command would get the reply of the one before: a
    mark that is there would be taken for one that is not. So a number goes behind each submission, and
    nothing of it is passed on before that number has come back at its place.
    """

    def __init__(self, most: int) -> None:
        """`most`: submissions that may be out, those that nobody waits for any more among them."""
        self._most, self._number = most, 0
        self._out: deque[_WrittenGroup] = deque()
        self.last_progress_us = 0  # when the last whole reply came, or the first of those that are out left

    def __len__(self) -> int:
        return len(self._out)

    def has_capacity(self) -> bool:
        return len(self._out) < self._most

    def start(self, asked: CommandBatch, now: int) -> bytes:
        """What is to be written."""
        return self._begin(asked, range(len(asked.commands)), False, now)

    def _begin(self, asked: CommandBatch, at: Sequence[int], again: bool, now: int) -> bytes:
        self._number += 1
        turn = _WrittenGroup(asked, at, b"%d" % self._number, again)
        if not self._out:
            self.last_progress_us = now
        self._out.append(turn)
        commands = [asked.commands[index] for index in at]
        words = [command.arguments_with_script if again else command.arguments for command in commands]
        return b"".join(map(codec.pack_arguments, (*words, codec.make_ping(turn.token).arguments)))

    def on_reply(self, reply: Reply, now: int) -> tuple[CommandBatch | None, bytes]:
        """A submission that is over now, and what is to be written. BrokenError where it can't be its reply.

        It stays an error of this connection only where replies are too many or too few, not both at once.
        """
        if not self._out:
            raise ProtocolError("a reply that nobody has asked for")
        self.last_progress_us, turn = now, self._out[0]
        if len(turn.got) < len(turn.fits):
            refused = type(reply) is ErrorReply
            if not refused and not turn.fits[len(turn.got)](reply):
                raise ProtocolError(f"out of step: {str(reply)[:60]}")
            turn.refused = turn.refused and refused
            turn.got.append(None if turn.asked.on_done is None else reply)
            return None, b""
        refuses_all = type(reply) is ErrorReply and reply.kind in _REFUSE_ALL and turn.refused
        if reply != turn.token and not refuses_all:
            raise ProtocolError(f"out of step: {str(reply)[:60]} where number {turn.token.decode()} belongs")
        self._out.popleft()
        asked = turn.asked
        if asked.on_done is None:
            return None, b""
        for index, one in zip(turn.at, turn.got):
            asked.replies[index] = one
        # The store has forgotten the script, and nothing of these ran. They go out whole, once.
        again = (
            []
            if turn.again
            else [
                index
                for index, one in zip(turn.at, turn.got)
                if type(one) is ErrorReply
                and one.kind is ErrorKind.NOSCRIPT
                and asked.commands[index].arguments_with_script
            ]
        )
        return (None, self._begin(asked, again, True, now)) if again else (asked, b"")

    def close(self) -> list[CommandBatch]:
        """The connection has ended: those that somebody waits for."""
        left, self._out = [turn.asked for turn in self._out], deque()
        return [asked for asked in left if asked.on_done is not None]


class PrimaryTracker:
    """The store's addresses, and which of them is the primary by its own word.

    Danger: with a connection to each of two that both call themselves primary, a mark set in one would not be
    found in the other. All connections go to one: to the first found, until it says otherwise or the last of
    them has ended.
    """

    def __init__(self, addresses: Sequence[tuple[str, int]]) -> None:
        self.addresses = tuple(addresses)
        self.primary: int | None = None
        self._last = 0  # the primary of before
        self._held = 0  # connections to the primary

    def connection_order(self) -> list[int]:
        """In which order they are tried now."""
        if self.primary is not None:
            return [self.primary]
        return [self._last, *(at for at in range(len(self.addresses)) if at != self._last)]

    def on_greeted(self, at: int, primary: bool) -> bool:
        """What a greeting has told: whether this connection is to be used. Then `ended` is to follow."""
        if not primary or self.primary not in (None, at):
            return False
        self.primary = self._last = at
        self._held += 1
        return True

    def on_connection_closed(self, at: int) -> None:
        """A connection that was used."""
        if at == self.primary:
            self._held -= 1
            if not self._held:
                self.primary = None

    def on_demoted(self, at: int) -> bool:
        """It is no primary any more: its connections are to end. False where that is known."""
        if at != self.primary:
            return False
        self.primary, self._held = None, 0
        return True


class ReconnectBackoff:
    """How long to wait, in microseconds, before the addresses are tried again."""

    def __init__(self, chance: Callable[[], float]) -> None:
        self._chance, self._next = chance, _PAUSE

    def next_delay(self, lived: int) -> int:
        # Danger: all gateways lose the store at once, and would all come back at once.
        if lived >= _WORKED:
            self._next = _PAUSE
        pause, self._next = self._next, min(2 * self._next, _PAUSE_MOST)
        return int(pause * (0.5 + self._chance()))
