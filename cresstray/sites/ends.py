"""What both sides of a link share: the gateway's identity, sending frames, and dispatching received ones."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import ClassVar

from cresstray.sites import codec
from cresstray.sites.codec import FramingError
from cresstray.sites.health import LinkHealth

# The remote gateway sends this many pages of a result ahead; the receipt of each half window is reported.
PAGE_WINDOW = 4


@dataclass(frozen=True)
class GatewayIdentity:
    """Identifies one run of a gateway: its site, its name there, and its incarnation.

    `can_fence`: it may cancel what it runs for another site, and does so once the lease has expired.
    """

    site: str
    name: str
    incarnation: str
    can_fence: bool = False

    def features(self) -> list[str]:
        """Returns the features to announce."""
        return [*codec.FEATURES, codec.FENCING] if self.can_fence else list(codec.FEATURES)


class LinkSession:
    """One side of a link. It outlives its connections and performs no I/O.

    While connected, `_write` takes encoded frames and whether they must be sent immediately.
    """

    _HANDLERS: ClassVar[dict[type, Callable]]
    _PEER_SIDE: ClassVar[str]  # the other side, for error texts

    def __init__(self, identity: GatewayIdentity, health: LinkHealth, now: Callable[[], int]) -> None:
        self._identity, self._health, self._now = identity, health, now
        self._write: Callable[[bytes, bool], None] | None = None

    def _send(self, frame: codec.Frame, immediately: bool = False) -> None:
        if self._write is not None:
            self._write(codec.encode_frame(frame), immediately)

    def _dispatch(self, frame: codec.Frame, now_us: int) -> None:
        """Handles a frame; raises FramingError for one that the other side must not send."""
        self._health.on_frame(now_us)
        handler = self._HANDLERS.get(type(frame))
        if handler is None:
            raise FramingError(f"a {type(frame).__name__} from the {self._PEER_SIDE} side")
        handler(self, frame, now_us)

    def write_delay_us(self) -> int:
        """Returns how long a frame may wait, so that several are sent in one write."""
        return self._health.write_delay_us(self._now())
