"""Hinted reads of one gateway: what each asks for, which engines may take it now, what its answer shows."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING

from cresstray.fleet_config.active_config import EffectiveConfig, Mode
from cresstray.observability.counters import Counters
from cresstray.policy.types import Request, RequestClass
from cresstray.replicas.fallback import Share
from cresstray.replicas.hints import Else, Hint, HintError, read_hint
from cresstray.replicas.pins import matching, narrowed
from cresstray.replicas.positions import MOST_POSITION, Board, Shard
from cresstray.replicas.replica_selection import Choice, candidates, primary_has
from cresstray.replicas.sessions import Token, token
from cresstray.replicas.spread import MOST_WANTED
from cresstray.tables import find_table_group

if TYPE_CHECKING:
    from cresstray.fleet_config.active_config import ActiveConfig

# Positions of a shard are asked of keepers for so long after its last hinted read here.
_OF_LATE = 60_000_000
# They are to be as young as this part of the tightest `within` of late: the rest is for how far a copy is
# behind, for the read's own time and for words on their way. Told in the words of the next second, not later.
_PART, _TOLD, _TIGHT = 5, 1_000_000, 5_000_000
# A read that goes on waiting asks again each so often: a copy that lagged has come on since.
_AGAIN = 150_000


class _Asked:
    """Of a shard that hinted reads ask for."""

    __slots__ = ("at", "within", "within_at", "lacks")

    def __init__(self) -> None:
        self.at = self.within_at = 0  # of the last one; of the tightest of late
        self.within = 2**62
        self.lacks = False  # a read waits for it


class Reads:
    """`cores`, `zone_of`, and `full` (whether the limits let no such work onto it now) by engine id; `wall`:
    Unix seconds, for the ends of pins only."""

    def __init__(
        self,
        board: Board,
        use: ActiveConfig,
        counters: Counters,
        chance: Callable[[], float],
        cores: Callable[[str], float],
        zone_of: Callable[[str], str | None],
        full: Callable[[str, Request, int], bool],
        wall: Callable[[], float],
    ) -> None:
        self.board, self.use, self.counters = board, use, counters
        self.cores, self.zone_of, self.full, self.wall = cores, zone_of, full, wall
        self.share = Share(chance)
        self._asked: dict[str, _Asked] = {}  # by shard, the last one at the end
        # For so long a read waits for what keepers know before it falls back; 0 where no keeper is linked.
        self.patience = 0
        self.urgent = False  # a read waits so: the keeper is to be asked at once, not at the next turn
        self._wait_until = 0  # the last of those that wait

    def hint(
        self, statement: str, request_class: RequestClass, now: int, named: str = "", tenant: str = ""
    ) -> Read | None:
        """None where there is no hint; HintError where it can't be followed. The names are for pins."""
        hint = read_hint(statement)
        if hint is None:
            return None
        group = find_table_group(statement)
        if not request_class.is_idempotent:
            raise HintError("a hint on a tariff that writes")
        if not group:
            raise HintError("a hint on a statement that names no shard's table")
        if hint.after is not None and hint.after.shard != group:
            raise HintError(f"after is of shard {hint.after.shard}, the statement of {group}")
        self.counters.add("reads hinted")
        shard = str(group)
        if not hint.primary:
            asked = self._asked.pop(shard, None) or _Asked()
            asked.at = now
            if hint.within <= asked.within or now - asked.within_at > _TIGHT:
                asked.within, asked.within_at = hint.within, now
            self._asked[shard] = asked
            if len(self._asked) > MOST_WANTED:
                del self._asked[next(iter(self._asked))]
        return Read(self, hint, shard, named, tenant)

    def wanted(self, now: int) -> tuple[str, ...]:
        """The shards of hinted reads of late, to be asked for with the next word: those that a read waits
        for, then the last one first."""
        self.urgent = False
        late = [shard for shard, asked in reversed(self._asked.items()) if now - asked.at < _OF_LATE]
        return tuple(sorted(late, key=lambda shard: not self._asked[shard].lacks))

    def needs(self, now: int, most: int) -> list[tuple[int, int]]:
        """Of the first `most` wanted, by place, how old positions may be in milliseconds; 0: a read waits."""
        found = []
        for place, shard in enumerate(self.wanted(now)[:most]):
            asked = self._asked[shard]
            if asked.lacks:
                found.append((place, 0))
            if now - asked.at < _TOLD:
                found.append((place, asked.within // (1000 * _PART)))
            asked.lacks = False
        return found

    def lacks(self, shard: str, until: int) -> None:
        """A read waits for what keepers know of this shard, until then."""
        if self.patience and shard in self._asked:
            asked = self._asked.pop(shard)
            asked.lacks = self.urgent = True
            self._asked[shard] = asked
            self._wait_until = max(until, self._wait_until)

    def untold(self) -> bool:
        """Whether a read waits for a shard that no word has named since."""
        return any(asked.lacks for asked in self._asked.values())

    def waits(self, now: int) -> bool:
        """Whether a read may wait for what keepers know."""
        return now < self._wait_until

    def heard(self, engine: str, report: Mapping[str, float], sent_at: int, now: int) -> None:
        """From each answer; `sent_at`: when what it answers was sent, or before."""
        told = told_in(report)
        if told is not None:
            shard, epoch, applied, head = told
            self.placed(now)
            self.board.heard(str(shard), engine, epoch, applied, head, sent_at, now)

    def placed(self, now: int) -> EffectiveConfig:
        """What may be used now; the board has heard of it."""
        in_use = self.use.effective_at(now)
        self.board.place(in_use.documents.placement.items, now)
        return in_use


def told_in(report: Mapping[str, float]) -> tuple[int, int, int, int | None] | None:
    """Shard, epoch, applied, head of an answer's report; None where it tells none, or none that can be."""
    if "shard" not in report or "epoch" not in report or not ("applied" in report or "head" in report):
        return None
    head = report.get("head")
    found = [report["shard"], report["epoch"], report.get("applied", head), head]
    if any(one is not None and not (0 <= one <= MOST_POSITION and one == int(one)) for one in found):
        return None
    return int(found[0]), int(found[1]), int(found[2]), None if head is None else int(head)


class Read:
    """One hinted read. All is asked of the rules when acting, nothing is kept."""

    def __init__(self, reads: Reads, hint: Hint, shard: str, request_class: str, tenant: str) -> None:
        self._reads, self.hint, self.shard = reads, hint, shard
        self._tariff, self._tenant = request_class, tenant
        self.submission: Request | None = None  # once it is made
        self._fell: tuple[str, int, float, int] | None = None  # primary, charged, its cores, gateways
        self._fresh_until = 0
        self._wait_until: int | None = None  # for keepers' word, once no copy was known to do
        self._ask_at = 0  # keepers are asked then, while none is known to do
        self._seen: Token | None = None
        self._moment: tuple | None = None  # of the last question, and what its answer was
        self._allowed: tuple[str, ...] = ()

    def takes(self, engine: str, now: int) -> bool:
        """Whether it may be read there now."""
        in_use = self._reads.use.effective_at(now)
        # The module asks for each engine in turn, at one moment.
        key = (now, in_use.turn, in_use.mode)
        if key != self._moment:
            self._moment, self._allowed = key, self._may_serve(now)
        return engine in self._allowed

    def _may_serve(self, now: int) -> tuple[str, ...]:
        in_use = self._reads.placed(now)
        shard = self._shard(in_use)
        if shard is None:
            return ()
        primary = (shard.primary,) if shard.primary and primary_has(self.hint.after, shard) else ()
        if self.hint.primary:
            return primary
        choice = self._chosen(in_use, shard, now)
        if choice.copies:
            return choice.copies
        if self._wait_until is None:
            self._wait_until = now + self._reads.patience
        if now >= self._ask_at:
            self._ask_at = now + max(self._reads.patience, _AGAIN)
            self._reads.lacks(self.shard, now + self._reads.patience)
        if choice.otherwise is not Else.PRIMARY or now < self._wait_until:
            return ()
        return tuple(
            one
            for one in primary
            if self._reads.share.admits(one, self._cost(), self._reads.cores(one), in_use.gateway_count, now)
        )

    def admits(self, now: int) -> bool:
        """False: it is denied at once."""
        in_use = self._reads.placed(now)
        shard = self._shard(in_use)
        if self.hint.primary:
            return True
        copies = self._chosen(in_use, shard, now).copies if shard is not None else ()
        if not copies:
            return self.hint.otherwise is not Else.DENY
        pins = self._pins(in_use)
        # A strict pin takes from others what its copies could give them: at their limits it goes first.
        if any(pin.is_strict for pin in pins) and all(self._full(copy, now) for copy in copies):
            self._reads.counters.add("reads of pins shed")
            return False
        return True

    def sent(self, engine: str, now: int) -> None:
        """It goes out to this engine, which it `takes` at this moment."""
        reads, in_use = self._reads, self._reads.placed(now)
        shard = self._shard(in_use)
        self._fell, self._fresh_until, self._moment = None, 0, None
        if self.hint.primary or shard is None:
            return
        if engine == shard.primary:
            cost, cores = self._cost(), reads.cores(engine)
            self._fell = (engine, cost, cores, in_use.gateway_count)
            reads.share.charge(*self._fell, now)
            reads.counters.add("reads fallen back")
        else:
            bound = reads.board.bound(self.shard, engine, now)
            self._fresh_until = now + self.hint.within - bound if bound is not None else now
            reads.counters.add("reads by copies")

    def came_back(self, report: Mapping[str, float], took: int, now: int) -> None:
        """Its relay has ended; `took`: microseconds that it was out."""
        if self._fell is not None:
            primary, charged, cores, gateways = self._fell
            more = took * self.submission.request_class.threads - charged
            if more > 0:
                self._reads.share.charge(primary, more, cores, gateways, now)
            self._fell = None
        elif self._fresh_until and now > self._fresh_until:
            self._reads.counters.add("reads longer than their bound")
        told = told_in(report)
        self._seen = None
        if told is not None and str(told[0]) == self.shard:
            # Danger: what was read may be as far as what the copy had when it answered. A token of less would
            # let the session go back to between the two; without a position there is no token at all.
            self._seen = Token(told[0], told[1], max(told[2], told[3] or 0))

    def at(self) -> str | None:
        """What the client may hand back as `after`; None where the answer did not tell how far it saw."""
        return None if self._seen is None else token(self._seen)

    def _shard(self, in_use: EffectiveConfig) -> Shard | None:
        # Danger: without a lease another may be the primary, and copies may be gone or set back.
        return in_use.documents.placement.items.get(self.shard) if in_use.mode is Mode.LEASE else None

    def _chosen(self, in_use: EffectiveConfig, shard: Shard, now: int) -> Choice:
        pins = self._pins(in_use)
        return candidates(
            self.hint,
            self.shard,
            shard,
            self._reads.board,
            now,
            self.submission.expected_latency_us,
            lambda fresh: narrowed(
                pins,
                fresh,
                shard.reads,
                self._reads.zone_of,
                lambda copy: self._full(copy, now),
                in_use.turn % 2 == 1,
            ),
        )

    def _pins(self, in_use: EffectiveConfig) -> list:
        items = in_use.documents.replicas.items
        return matching(items, self._tariff, self._tenant, self._reads.wall()) if items else []

    def _full(self, copy: str, now: int) -> bool:
        return self._reads.full(copy, self.submission, now)

    def _cost(self) -> int:
        return self.submission.expected_latency_us * self.submission.request_class.threads
