"""The far end of the links from one near gateway: takes what is offered, and answers for it. Free of I/O.

It outlives its connections, as long as the near gateway lives. To the passage it is one who asks, like a
client's connection; its submissions are marked as foreign and get one relay.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from cresstray.observability.counters import Counters
from cresstray.policy.types import NOT_EXECUTED, Outcome
from cresstray.sites import codec
from cresstray.sites.codec import FramingError
from cresstray.sites.ends import WINDOW, End, Place
from cresstray.sites.health import Health
from cresstray.sites.ledger import Entry, Incoming, State

# After its end an entry is kept for the near side until that has it, or has surely given up.
_KEPT = 30_000_000
# What a refusal tells the near side to stay away for: two of the usual beats, which tell of room by then.
_COME_BACK = 200_000


class Front(Protocol):
    """The first stage, as for clients; `offer` stands for the query."""

    def accept(self, responder: Inward, number: int, query: codec.Offer, crossing: codec.Offer) -> None: ...
    def cancel(self, responder: Inward, number: int | None, name: str | None) -> None: ...


class Inward(End):
    """`room` tells threads to spare, cores and pace; `closed` for how many microseconds nothing is taken."""

    _OTHER = "near"

    def __init__(
        self,
        me: Place,
        near: Place,
        health: Health,
        requests: int,
        size: int,
        front: Front,
        room: Callable[[], tuple[float, float, float]],
        closed: Callable[[], int],
        now: Callable[[], int],
        wake: Callable[[], None],
        later: Callable[[int, Callable[[int], None]], object],
        counters: Counters,
        say: Callable[[str], None],
    ) -> None:
        super().__init__(me, health, now)
        self.near, self._submissions, self._size = near, requests, size
        self._front, self._room, self._closed = front, room, closed
        self._wake, self._later = wake, later
        self._counters, self._say = counters, say
        self.open_requests: dict[int, object] = {}  # errands, for the passage
        self.ledger = Incoming()
        self._beat_at, self.silent_since, self.asked_at = 0, 0, 0

    # The connection.

    def welcome(self, hello: codec.Hello, write: Callable[[bytes, bool], None]) -> None:
        """A connection of the same near gateway and life; what an earlier one had is compared."""
        self._write = write
        now = self._now()
        resumed = hello.knew == self._me.incarnation
        states: list[tuple[int, str]] = []
        if resumed:
            states, gone = self.ledger.compare(hello.open)
            for entry in gone:
                self._drop(entry)
        else:
            self.end()
        self._health.connected(now)
        me = self._me
        self._put(
            codec.Welcome(
                codec.VERSION,
                list(codec.FEATURES),
                me.hall,
                me.name,
                me.incarnation,
                resumed,
                states,
                self._submissions,
                self._size,
                self._health.lease,
            )
        )
        for entry in self.ledger.open.values():
            entry.next_page, entry.let = 0, WINDOW
            if entry.state is State.ENDED:
                self._answer(entry)
        self._send_beat(now)

    def disconnected(self) -> None:
        self._write = None
        self._health.lost()
        self.silent_since = self._now()

    def end(self) -> None:
        """The near gateway has a new life, or none: what it had is given up."""
        for entry in list(self.ledger.open.values()):
            self._drop(entry)

    def goodbye(self, reason: str) -> None:
        self._put(codec.Goodbye(reason))

    def receive(self, frame: codec.Frame) -> None:
        self._take(frame, self._now())

    # What the near side says.

    def _offered(self, offer: codec.Offer, now: int) -> None:
        sent = self._health.sent_at(offer.heard)
        self._health.confirm(offer.heard)
        self.asked_at = now
        entry = self.ledger.take(offer.number, len(offer.statement))
        if entry is None:
            raise FramingError(f"crossing {offer.number} is offered again")
        # What has ended here and is not yet forgotten holds none of the near side's credit.
        most = self._submissions * 3 // 2 + 8
        if len(self.ledger.open) > most or self.ledger.size > self._size * 3 // 2 + codec.MAX_FRAME_BYTES:
            raise FramingError("more is offered than there is credit for")
        # However long it was on its way, it can't have left before our beat that it names.
        if offer.within and (sent is None or now - sent > offer.within):
            self._refuse(entry, "it came too late to be sent", 0)
        elif self._closed():
            self._refuse(entry, "nothing is taken here now", _COME_BACK)
        elif not offer.left:
            self._refuse(entry, "its time is over", 0)
        else:
            self._counters.add("crossings taken")
            entry.fenced = offer.fenced
            self._wake()  # its lease is looked after from now on
            self._front.accept(self, entry.number, offer, offer)
            if entry.state is State.TAKEN:  # else what was said since says it too
                self._put(codec.Taken(entry.number))

    def _heard(self, beat: codec.Beat, now: int) -> None:
        self._health.hear(beat.number, beat.heard, beat.held, now)
        self._send_beat(now)

    def _withdrawn(self, frame: codec.Withdraw, now: int) -> None:
        entry = self.ledger.open.get(frame.number)
        if entry is not None and entry.state in (State.TAKEN, State.SENT):
            # Danger: once the near side hears of it, it may relay elsewhere. The word goes when the engine's
            # has.
            entry.withdrawn = True
            self._give_up(entry)
            if entry.state is State.TAKEN:
                self._ended(entry, "withdrawn")

    def _forgotten(self, frame: codec.Forget, now: int) -> None:
        for number in frame.numbers:
            entry = self.ledger.open.get(number)
            if entry is not None:
                self._drop(entry)

    def _more(self, frame: codec.More, now: int) -> None:
        entry = self.ledger.open.get(frame.number)
        if entry is not None and entry.state is State.ENDED:
            entry.let = max(entry.let, frame.pages + WINDOW)
            self._write_pages(entry)

    def _near_leaves(self, frame: codec.Goodbye, now: int) -> None:
        self._say(f"{self.near.name} of {self.near.hall} offers nothing more: {frame.reason}")

    _TAKES = {
        codec.Offer: _offered,
        codec.Beat: _heard,
        codec.Withdraw: _withdrawn,
        codec.Forget: _forgotten,
        codec.More: _more,
        codec.Goodbye: _near_leaves,
    }

    # What the passage says, as to any who asks.

    def on_attempt_sent(self, number: int) -> None:
        """Its relay leaves for an engine."""
        entry = self.ledger.open.get(number)
        if entry is not None and entry.state is State.TAKEN:
            entry.state, entry.ran = State.SENT, True
            wait = self.dawdle()
            if wait:
                # It may end sooner than this word would leave, and the end says it too.
                self._later(wait, lambda _: self._say_sent(entry))
            else:
                self._say_sent(entry)

    def _say_sent(self, entry: Entry) -> None:
        if entry.state is State.SENT:
            self._put(codec.Sent(entry.number))

    def on_attempt_finished(self, number: int, ending: Outcome) -> None:
        entry = self.ledger.open.get(number)
        if entry is not None:
            entry.ran = ending not in NOT_EXECUTED
            entry.how = codec.OUTCOME_WORDS[ending]
            if entry.withdrawn and entry.state is State.SENT:
                self._ended(entry, "withdrawn")

    def succeed(self, number: int, result: bytes, at: str | None = None) -> None:
        """`at` is of this hall's copies, and a hinted read does not cross."""
        self.open_requests.pop(number)
        entry = self.ledger.open.get(number)
        if entry is not None:
            entry.pages = [result[at : at + codec.PAGE] for at in range(0, len(result), codec.PAGE)] or [b""]
            entry.let = WINDOW
            self._ended(entry, "fulfilled")

    def reject(self, number: int, come_back: int) -> None:
        self.open_requests.pop(number)
        entry = self.ledger.open.get(number)
        if entry is None:
            return
        if entry.state is State.TAKEN:
            self._refuse(entry, "no room", max(come_back // 8, _COME_BACK))
        else:
            self._ended(entry, entry.how or "denied")

    def fail(self, number: int) -> None:
        self.reject(number, 0)

    def has_disconnected(self) -> bool:
        """Not known from here: whoever asked may be back, and what it no longer wants it withdraws."""
        return False

    def reject_malformed(self, number: int | None, text: str) -> None:
        entry = self.ledger.open.get(number)
        if entry is not None:
            # Halls that differ in tariffs or tenants: nothing of the kind should come for a while.
            self._say(f"a crossing from {self.near.name} can't be used: {text}")
            self._refuse(entry, text[:128], _COME_BACK)

    # Answers.

    def _refuse(self, entry: Entry, reason: str, come_back: int) -> None:
        entry.come_back = come_back
        self._counters.add("crossings refused here")
        self._ended(entry, reason)

    def _ended(self, entry: Entry, how: str) -> None:
        entry.state, entry.how, entry.ended_at = State.ENDED, how, self._now()
        self._answer(entry)

    def _answer(self, entry: Entry) -> None:
        """Says the end of it, again after a cut."""
        if entry.pages:
            self._write_pages(entry)
        elif entry.ran:
            self._put(codec.Ended(entry.number, True, entry.how))
        elif entry.come_back:
            self._put(codec.Refused(entry.number, entry.come_back, entry.how))
        else:
            self._put(codec.Ended(entry.number, False, entry.how))

    def _write_pages(self, entry: Entry) -> None:
        while entry.next_page < min(entry.let, len(entry.pages)):
            body = entry.pages[entry.next_page]
            self._put(codec.Page(entry.number, entry.next_page, len(entry.pages), body))
            entry.next_page += 1

    def _drop(self, entry: Entry) -> None:
        """Nothing of it is wanted any more."""
        self.ledger.forget(entry)
        self._give_up(entry)

    def _give_up(self, entry: Entry) -> None:
        if entry.number in self.open_requests:
            self._front.cancel(self, entry.number, None)

    # Time.

    def busy(self, now: int) -> bool:
        return bool(self.open_requests)

    def tick(self, now: int) -> bool:
        """To be called some times for each beat; False where the connection is of no more use."""
        self._health.pace(self.busy(now), now)
        # Each of their beats is answered at once; on our own we only speak up where they are late.
        if now - self._beat_at >= 2 * self._health.idle_beat:
            self._send_beat(now)
        self._health.look(now)
        fenced = self._health.fenced(now)
        for entry in list(self.ledger.open.values()):
            if fenced and entry.fenced and entry.state in (State.TAKEN, State.SENT):
                # Danger: the near side may relay it elsewhere once this lease is over.
                self._counters.add("crossings fenced")
                self._give_up(entry)
                entry.how, entry.state = "given up: no word from the near side for a lease", State.FENCED
                entry.ended_at = now
                self._put(codec.Ended(entry.number, entry.ran, entry.how))
            elif entry.ended_at and now - entry.ended_at > _KEPT:
                self.ledger.forget(entry)
        return not self._health.dead(now)

    def _send_beat(self, now: int) -> None:
        self._beat_at = now
        if self._write is not None:
            threads, cores, pace = self._room()
            # What it has running here is its own to use again.
            running = sum(context.request.request_class.threads for context in self.open_requests.values())
            self._put(
                codec.Beat(
                    *self._health.next_beat(now),
                    max(0.0, threads) + running,
                    max(0.0, cores),
                    max(0.0, pace),
                    self._closed(),
                ),
                at_once=True,
            )
