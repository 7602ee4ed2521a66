"""The near end of a link: offers submissions, and says what became of each. Free of I/O.

Whoever connects hands in what was received and when, and writes what `write` is given. Calls out go to the
keeper, which stands in the passage.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from cresstray.observability.counters import Counters
from cresstray.policy.types import Attempt
from cresstray.sites import codec
from cresstray.sites.codec import FramingError
from cresstray.sites.ends import WINDOW, End, Place
from cresstray.sites.ledger import Crossing, ForwardingResult, Outgoing, State
from cresstray.sites.routing import Way

# A result holds 48,000 bytes at most where clients speak JSON-RPC; what claims far more is no result.
_MOST_PAGES = 512


class Keeper(Protocol):
    """Who is told of crossings; after `ended` nothing more comes of one."""

    def add(self, link: Outward) -> None: ...
    def on_finished(
        self, crossing: Crossing, outcome: ForwardingResult, sent: bool, result: bytes | None
    ) -> None: ...
    def on_deadline_unreachable(self, crossing: Crossing) -> None: ...
    def on_state(self, link: Outward, ready: bool) -> None: ...
    def on_capacity(self, link: Outward) -> None: ...


class Outward(End):
    _OTHER = "far"

    def __init__(
        self,
        me: Place,
        far_hall: str,
        way: Way,
        keeper: Keeper,
        counters: Counters,
        say: Callable[[str], None],
        now: Callable[[], int],
        wake: Callable[[], None],
    ) -> None:
        super().__init__(me, way.health, now)
        self._far_hall, self.way, self._wake = far_hall, way, wake
        self._keeper, self._counters, self._say = keeper, counters, say
        way.ask = self._asked
        self.ledger = Outgoing()
        self._frames = codec.Frames()
        self._forgets: list[int] = []  # to be said with the next words
        self.greeted, self._told = False, 0.0  # the far cores that the keeper was told of
        self._knew, self._beat_at = "", 0
        self.far = ""  # name of the far gateway, once it has said it

    # The connection.

    def connected(self, write: Callable[[bytes, bool], None]) -> None:
        self._write, self._frames, self.greeted = write, codec.Frames(), False
        self._forgets.clear()
        me = self._me
        self._put(
            codec.Hello(
                codec.MAGIC,
                codec.VERSION,
                list(codec.FEATURES),
                me.hall,
                me.name,
                me.incarnation,
                self._knew,
                list(self.ledger.open),
            )
        )

    def disconnected(self, now: int) -> None:
        self._write = None
        if self.greeted:
            self._counters.add("links between halls lost")
        self.greeted = False
        self._health.lost()
        self.ledger.cut()
        self._tell_standing(now)

    def receive(self, data: bytes, now: int) -> None:
        """BrokenError where the far side does not keep to the protocol; the connection ends then."""
        for frame in self._frames.feed(data):
            if not self.greeted:
                self._greet(frame, now)
            else:
                self._take(frame, now)

    def _forget(self, number: int) -> None:
        self._forgets.append(number)
        # A far entry costs little for a while; half of a tenth of the credit goes in one frame.
        if len(self._forgets) * 20 >= self.way.credit.submissions:
            self._put_forgets()

    def _put_forgets(self) -> None:
        if self._forgets:
            self._put(codec.Forget(self._forgets))
            self._forgets = []

    def _greet(self, frame: codec.Frame, now: int) -> None:
        if not isinstance(frame, codec.Welcome):
            raise FramingError(f"a {type(frame).__name__} in place of a welcome")
        if frame.version != codec.VERSION or frame.hall != self._far_hall:
            raise FramingError(f"version {frame.version} of hall {frame.hall!r}, not {self._far_hall!r}")
        # Danger: an incarnation other than the one that was spoken to knows nothing of what that one had.
        resumed = frame.resumed and frame.incarnation == self._knew
        self._knew, self.far, self.greeted = frame.incarnation, frame.name, True
        self._health.connected(now)
        # Danger: a far lease longer than ours would outlive our own reckoning of it.
        self._health.lease = max(self._health.lease, frame.lease)
        way = self.way
        way.credit.submissions = min(way.credit.submissions, max(1, frame.submissions))
        way.credit.size = min(way.credit.size, max(codec.MAX_FRAME_BYTES, frame.bytes))
        way.leaving, way.threads, way.cores = False, 0.0, 0.0
        known = set(self.ledger.open)
        settled = self.ledger.settle(resumed, frame.states)
        for number, _ in frame.states:
            if number not in known:
                # It ended here while the welcome was on its way. Before our first beat, which renews the
                # lease.
                self._put(codec.Withdraw(number))
                self._put(codec.Forget([number]))
        for crossing, outcome in settled:
            self._end(crossing, outcome, outcome is not ForwardingResult.UNRUN)
            if resumed:
                # Danger: what was given up there would count against our credit until it is too old.
                self._forget(crossing.number)
        for crossing in self.ledger.open.values():
            if crossing.withdrawn:
                self._put(codec.Withdraw(crossing.number))
        self._counters.add("links between halls made")
        if settled:
            self._say(
                f"link to {self.far} {'resumed' if resumed else 'new'}: {len(settled)} crossings "
                f"settled, {len(self.ledger.open)} go on"
            )
        self._send_beat(now)
        self._tell_standing(now)

    # Crossings.

    def offer(self, attempt: Attempt, query: object, now: int) -> Crossing:
        """`query` as passage.errand has it; the way has said that it takes it."""
        request = attempt.request
        fenced = request.request_class.is_idempotent or request.request_class.is_deduplicated
        crossing = self.ledger.add(attempt, self, query.name, self.way.offered(request, now), fenced)
        within = self.way.within(request, now)
        bounded = within < request.deadline_us - now
        self._put(
            codec.Offer(
                crossing.number,
                self._health.heard,
                query.name,
                query.class_name,
                query.tenant,
                query.idempotency_key,
                query.estimated_work_ms,
                query.memory_mb,
                max(0, request.deadline_us - now),
                self.way.hold(request, now),
                max(1, within) if bounded else 0,
                request.data_set,
                len(request.attempts) - 1,
                fenced,
                query.statement,
            )
        )
        self._counters.add("crossings offered")
        return crossing

    def abandon(self, crossing: Crossing) -> bool:
        """False: the far side's word, or the end of its lease, is still to come. Until then it may run."""
        if crossing.number in self.ledger.open and not crossing.withdrawn:
            crossing.withdrawn = True
            self._counters.add("crossings withdrawn")
            self._put(codec.Withdraw(crossing.number))
        return False

    def _end(
        self, crossing: Crossing, outcome: ForwardingResult, sent: bool, result: bytes | None = None
    ) -> None:
        self.ledger.end(crossing)
        self.way.over(crossing.attempt.request, crossing.weight)
        self._counters.add(f"crossings {outcome.value}")
        self._keeper.on_finished(crossing, outcome, sent, result)

    def _given(self, number: int, last: bool = False) -> Crossing | None:
        """An open crossing; None for one that has ended here, of which the last word need not be kept."""
        crossing = self.ledger.open.get(number)
        if crossing is None and not self.ledger.given(number):
            # Danger: a peer that answers what it was not asked may answer anything with anything.
            raise FramingError(f"word of crossing {number}, which was never given")
        if crossing is None and last:
            self._forget(number)
        return crossing

    def _taken(self, frame: codec.Taken, now: int) -> None:
        crossing = self._given(frame.number)
        if crossing is not None and crossing.state is State.OFFERED:
            crossing.state = State.TAKEN

    def _sent(self, frame: codec.Sent, now: int) -> None:
        crossing = self._given(frame.number)
        if crossing is not None:
            crossing.state = State.SENT

    def _refused(self, frame: codec.Refused, now: int) -> None:
        crossing = self._given(frame.number, last=True)
        if frame.come_back:
            self.way.close(frame.come_back, now)
        if crossing is not None:
            if crossing.state is State.SENT:
                raise FramingError(f"crossing {frame.number} is refused after it was sent")
            self._counters.add("crossings refused")
            self._forget(frame.number)
            self._end(crossing, ForwardingResult.UNRUN, False)

    def _failed(self, frame: codec.Ended, now: int) -> None:
        crossing = self._given(frame.number, last=True)
        if crossing is not None:
            self._forget(frame.number)
            sent = crossing.state is State.SENT or frame.ran
            self._end(crossing, ForwardingResult.RAN if frame.ran else ForwardingResult.UNRUN, sent)

    def _page(self, frame: codec.Page, now: int) -> None:
        crossing = self._given(frame.number, last=frame.page == 0)
        if crossing is None:
            return
        crossing.state = State.SENT
        if crossing.pages is None:
            if frame.pages > _MOST_PAGES:
                raise FramingError(f"a result of {frame.pages} pages")
            crossing.pages = []
        if frame.page != len(crossing.pages):
            raise FramingError(f"page {frame.page} of {frame.number} in place of {len(crossing.pages)}")
        crossing.pages.append(frame.body)
        have = len(crossing.pages)
        if have == frame.pages:
            self._forget(frame.number)
            self._end(crossing, ForwardingResult.SERVED, True, b"".join(crossing.pages))
        elif have - crossing.told >= WINDOW // 2:
            crossing.told = have
            self._put(codec.More(frame.number, have))

    def _heard(self, frame: codec.Beat, now: int) -> None:
        self._health.hear(frame.number, frame.heard, frame.held, now)
        self.way.tell(frame.threads, frame.cores, frame.pace, frame.closed, now)
        self._tell_standing(now)
        if self._told and self.way.room() > 0:
            self._keeper.on_capacity(self)

    def _goodbye(self, frame: codec.Goodbye, now: int) -> None:
        self._say(f"{self.far} takes nothing more: {frame.reason}")
        self.way.leaving = True
        self._tell_standing(now)

    _TAKES = {
        codec.Taken: _taken,
        codec.Sent: _sent,
        codec.Refused: _refused,
        codec.Ended: _failed,
        codec.Page: _page,
        codec.Beat: _heard,
        codec.Goodbye: _goodbye,
    }

    # Time.

    def busy(self, now: int) -> bool:
        """Whether the link is to be looked after closely."""
        return bool(self.ledger.open) or now - self.way.asked_at < 1_000_000

    def _asked(self) -> None:
        if self.greeted:
            self._wake()

    def tick(self, now: int) -> bool:
        """To be called some times for each beat; False where the connection is of no more use."""
        self._health.pace(self.busy(now), now)
        if self.greeted and now - self._beat_at >= self._health.beat:
            self._send_beat(now)
        before, state = self._health.state, self._health.look(now)
        if before is not state:
            trip = self._health.round_trip(now) / 1000
            self._say(f"link to {self.far} is {state.value}, round trip {trip:.1f} ms")
        gone = now > self._health.lease_end()
        for crossing in list(self.ledger.open.values()):
            request = crossing.attempt.request
            if crossing.cut and gone and (crossing.fenced or request.is_finished):
                # The far side has given it up by now, whatever it did; or nobody waits for it any more.
                self._end(crossing, ForwardingResult.UNKNOWN, True)
            elif not crossing.withdrawn and self.way.hopeless(request, crossing.state is State.SENT, now):
                self._counters.add("crossings hopeless")
                self._keeper.on_deadline_unreachable(crossing)
        self._tell_standing(now)
        return not self._health.dead(now)

    def _send_beat(self, now: int) -> None:
        self._beat_at = now
        self._put_forgets()
        self._put(codec.Beat(*self._health.next_beat(now)), at_once=True)

    def _tell_standing(self, now: int) -> None:
        # Known for what it is only once a beat has told of its cores; a change of a tenth is news.
        cores = self.way.cores if self.greeted and not self.way.leaving else 0.0
        if bool(cores) != bool(self._told) or abs(cores - self._told) > 0.1 * self._told:
            self._told = cores
            self._keeper.on_state(self, cores > 0)
