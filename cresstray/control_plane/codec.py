"""What keepers tell each other beside the log, and what operators ask and hear. Knows no socket.

Questions and answers are msgpack, in parts of `Request` and `Reply` frames.
"""

from __future__ import annotations

from typing import Annotated, Any

import msgspec

from cresstray.consensus import codec as log
from cresstray.fleet_config import codec as rules
from cresstray.fleet_config.codec import PART, PARTS, Greet, Heard, Reply, Request
from cresstray.transport.framing import Frame, FrameDecoder, FramingError, encode_frame

_Text = Annotated[str, msgspec.Meta(max_length=128)]
# Danger: a question without end would be kept without end. A change of documents fits into one entry.
_MOST_PARTS = 8


class Alive(Frame):
    """From the keeper that made the link; sent back as it came. Without it, silence could mean anything."""

    kind = 79
    number: Annotated[int, msgspec.Meta(ge=0, le=2**53)]


# What a keeper takes on a link that was made to it, by the role of who made it.
FROM_KEEPER = (*log.KINDS, rules.Carried, Heard, Alive)
FROM_GATEWAY = (rules.Renew, rules.Get, Heard)
FROM_OPERATOR = (Request,)
TAKEN: dict[str, tuple[type[Frame], ...]] = {
    "keeper": FROM_KEEPER,
    "gateway": FROM_GATEWAY,
    "operator": FROM_OPERATOR,
}
ALL = (Greet, *FROM_KEEPER, *FROM_GATEWAY[:2], Request)
# What comes back on a link that a keeper made.
BACK = (Greet, Alive, Heard)
# What may be carried to the leader, and what back from it.
TO_LEADER = (rules.Renew, Request)
FROM_LEADER = (rules.Granted, rules.Behind, rules.Refused, Reply)


class Ask(msgspec.Struct, omit_defaults=True):
    """A question. `what` is one of answers.py's kinds, the rest is theirs."""

    what: _Text
    request: _Text = ""
    bases: dict[str, int] = {}
    change: bytes = b""
    why: Annotated[str, msgspec.Meta(max_length=1000)] = ""
    name: _Text = ""
    version: Annotated[int, msgspec.Meta(ge=0, le=2**53)] = 0


_ask = msgspec.msgpack.Decoder(Ask)


def asked(body: bytes) -> Ask:
    """BrokenError where it can't be a question."""
    try:
        return _ask.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as trouble:
        raise FramingError(f"a question: {trouble}") from None


def _cut(body: bytes) -> list[bytes]:
    """Parts that still fit when another frame carries them."""
    size = PART - 1024
    return [body[at : at + size] for at in range(0, len(body), size)]


def requests(number: int, ask: Ask) -> list[Request]:
    """ValueError where it is too long."""
    cut = _cut(msgspec.msgpack.encode(ask))
    if len(cut) > _MOST_PARTS:
        raise ValueError("a question that is too long")
    return [Request(number, part, at == len(cut) - 1) for at, part in enumerate(cut)]


def replies(number: int, answer: dict[str, Any]) -> list[Reply]:
    cut = _cut(msgspec.msgpack.encode(answer))
    if len(cut) > PARTS:
        cut = [msgspec.msgpack.encode({"error": f"an answer of {len(cut)} parts; {PARTS} at most"})]
    return [Reply(number, part, at == len(cut) - 1) for at, part in enumerate(cut)]


class Gather:
    """Puts together what comes in parts, from one side; a new number drops what was before."""

    def __init__(self, most: int = _MOST_PARTS) -> None:
        self._most = most
        self._number, self._parts = -1, []

    def add(self, frame: Request | Reply) -> bytes | None:
        """All of it once the last part is here; BrokenError beyond so many parts."""
        if frame.number != self._number:
            self._number, self._parts = frame.number, []
        self._parts.append(frame.body)
        if len(self._parts) > self._most:
            raise FramingError(f"more than {self._most} parts")
        if not frame.last:
            return None
        whole, self._parts = b"".join(self._parts), []
        return whole


def carried(body: bytes, kinds: tuple[type[Frame], ...]) -> Frame:
    """The one frame that another carries; BrokenError."""
    found = FrameDecoder(kinds).feed(body)
    if len(found) != 1 or len(body) != len(encode_frame(found[0])):
        raise FramingError("what is carried is not one frame")
    return found[0]
