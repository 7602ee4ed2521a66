"""What a gateway believes of each engine, on whose word and since when. docs/kept.md draws the states.

Engines are ids of the register here. What is to be listed for the module comes back as members of an event.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from enum import Enum
from typing import NamedTuple

import msgspec

from cresstray.discovery.endpoint_list import Endpoint, EndpointEvent
from cresstray.membership import probe_budget as trials
from cresstray.membership.confidence import HANDED, LIST, OLDEST, SECOND, weight
from cresstray.membership.reconciliation import Numbers, Tomb, Tombs
from cresstray.policy.types import EndpointState

# A trial that nobody has answered: connecting is given up far sooner.
_LOST = 5 * SECOND
# The register sends an empty frame each second.
_SILENT = 2 * SECOND
# Danger: a register that names millions, or a folder that grew for years. Far beyond any fleet.
MOST = 20_000
# Not heard of for a month, and so many trials of half a minute each: not worth a line any more.
_HOPELESS = 20
# While nothing is listed yet, work waits so long for the first trials; after that it is refused.
_FIRST = SECOND // 2


class State(Enum):
    REMEMBERED = "remembered"
    ON_TRIAL = "on trial"
    CONFIRMED = "confirmed"
    CONTRADICTED = "contradicted"
    TOLD = "told"
    GONE = "gone"


class Source(Enum):
    REGISTER = "register"
    PEER = "peer"
    TRAFFIC = "traffic"
    DISK = "disk"


class How(Enum):
    """What came of a trial, or of a relay."""

    LISTENS = "listens"
    SERVED = "served"
    REFUSED = "refused"
    SILENT = "silent"
    DRAINING = "draining"
    OTHER = "other"  # it answers under another id


class Belief(msgspec.Struct):
    member: Endpoint  # as it was last told or kept, its start too
    state: State
    source: Source
    at: int  # of the last evidence, by this process's clock; before its start for what is older
    due: int = 0  # when it may be tried
    failed: int = 0  # trials in a row
    listed: bool = False  # the module may send to it
    since: int = 0  # the start that it was listed with on no word but ours
    drained: int = 0  # when its drain was first told to this process; 0: it was not


class Standings(NamedTuple):
    told: int
    confirmed: int
    on_trial: int
    waiting: int


class Beliefs:
    """`grace`: how long an engine drains at the most, `most_wait`: what clients honour; both microseconds.

    `handed`: the list is of a gateway that handed over to this one just now, see fade.HANDED.
    """

    def __init__(self, grace: int, most_wait: int, chance: Callable[[], float], now: int) -> None:
        self._grace, self._most_wait, self._chance = grace, most_wait, chance
        self.engines: dict[int, Belief] = {}
        self._at: dict[tuple[str, int], int] = {}  # whose address it is
        self.tombs, self.numbers, self.window = Tombs(), Numbers(), trials.Window()
        self.begun, self.handed = now, False
        self._alive = now  # when the register was last heard, of whatever it has told
        self._standings: Standings | None = None
        self._order: list[int] = []  # of trials: drawn, so that gateways ask in different orders

    def state(self, engine: int) -> State | None:
        belief = self.engines.get(engine)
        return belief.state if belief else State.GONE if engine in self.tombs else None

    # What lists of others than the register say: each engine with the age of what is known of it.

    def remembered(
        self,
        given: Iterable[tuple[Endpoint, int]],
        number: int,
        tombs: list[Tomb],
        source: Source,
        now: int,
        handed: bool = False,
    ) -> list[Endpoint]:
        """`number`: the register's, when the list was made. What this process knows better stays.

        What is to be listed because of it: who was listed on trial, and is gone by the word in it or has
        started anew.
        """
        listed = {
            number: (belief.member, belief.since)
            for number, belief in self.engines.items()
            if belief.listed and belief.state is not State.TOLD
        }
        for tomb in filter(self._older, tombs):
            self._drop(tomb.id)
            self.tombs.bury(tomb.id, tomb.started, tomb.number, now, tomb.lived)
        if source is Source.DISK:
            self.numbers.highest = max(self.numbers.highest, number)
            self.handed = handed
        trust = taken = 0.0
        for member, age in sorted(given, key=lambda one: (one[1], -one[0].started_us, one[0].id)):
            if self._remember(member, min(age, OLDEST), number, source, now):
                taken, trust = taken + 1, trust + weight(age, LIST)
        self.window.open(int(taken), trust / max(1.0, taken))
        self._order = sorted(self.engines)
        for last in range(len(self._order) - 1, 0, -1):
            other = int(self._chance() * (last + 1))
            self._order[last], self._order[other] = self._order[other], self._order[last]
        told = []
        for number, (member, since) in listed.items():
            belief = self.engines.get(number)
            if belief is None:
                told.append(_gone(member))
            elif belief.since > since:
                told.append(
                    msgspec.structs.replace(belief.member, state=EndpointState.READY, started_us=belief.since)
                )
        return told

    def _older(self, tomb: Tomb) -> bool:
        # Danger: a successor lists by what the one before wrote last but one. The register's word in the last
        # write, that an engine is gone, counts before whatever listens or serves there.
        belief = self.engines.get(tomb.id)
        return belief is None or belief.state is not State.TOLD and belief.member.started_us <= tomb.started

    def _remember(self, member: Endpoint, age: int, number: int, source: Source, now: int) -> bool:
        known = self.engines.get(member.id)
        if (
            known is not None
            and known.state in (State.ON_TRIAL, State.CONFIRMED)
            and member.started_us > known.member.started_us
        ):
            # Danger: it is asked by what an earlier list said, and would be warm by its start of then.
            known.member = msgspec.structs.replace(known.member, started_us=member.started_us)
            known.since = max(known.since, member.started_us)
        if (
            member.state is EndpointState.REMOVED
            or self.tombs.bars(member.id, member.started_us, number)
            or known is not None
            and (known.state not in (State.REMEMBERED, State.CONTRADICTED) or known.at >= now - age)
            or known is None
            and len(self.engines) >= MOST
        ):
            return False
        owner = self._at.get((member.host, member.port), member.id)
        if owner != member.id:
            return False  # the address has gone to another one, of which more is known
        # Danger: a drain of the list is over or not, nobody here knows. A grace after our start it is.
        due = now + self._grace if member.state is EndpointState.DRAINING else now
        # Danger: whoever wrote this saw it well, and this process has seen it refuse: it may start anew.
        failed = 0 if known is None else known.failed
        due = max(due, known.due) if failed else due
        self._put(Belief(member, State.REMEMBERED, source, now - age, due, failed))
        self.tombs.raised(member.id)
        return True

    # The register's word, which counts before all others.

    def told(self, event: EndpointEvent, now: int) -> EndpointEvent:
        """The event as the module may have it: what an old list would raise is left out of it.

        A whole list that is older than what was kept becomes a partial one: it can't say who is gone.
        """
        whole = self.numbers.take(event.index, event.is_complete, now)
        named, members = {member.id for member in event.endpoints}, []
        for member in event.endpoints:
            if member.state is EndpointState.REMOVED:
                self._bury(member.id, member.started_us, event.index, now)
                members.append(member)
            elif not (
                self.tombs.bars(member.id, member.started_us, event.index)
                or self._outdated(member, event.index)
            ):
                members += self._claim(member, named, event.index, now)
                started = self._started(member, event.index, now)
                self._put(self._told(member, started, now))
                self.tombs.raised(member.id)
                members.append(msgspec.structs.replace(member, started_us=started))
        if whole:
            for engine in [engine for engine in self.engines if engine not in named]:
                self._bury(engine, 0, event.index, now)
            # Who is left out of a whole list is gone, links and all.
            members = [member for member in members if member.state is not EndpointState.REMOVED]
        return EndpointEvent(event.index, whole, members)

    def _outdated(self, member: Endpoint, number: int) -> bool:
        """An older list, on an engine that has started anew since."""
        known = self.engines.get(member.id)
        return (
            number < self.numbers.highest
            and known is not None
            and known.member.started_us > member.started_us
        )

    def _started(self, member: Endpoint, number: int, now: int) -> int:
        """Since when the module may take it to be up.

        Danger: a register that was down, or is behind, names starts from before a loss of power. All gateways
        hear of it at once, and would push engines that are still cold.
        """
        known = self.engines.get(member.id)
        if known is not None and known.listed:
            return max(member.started_us, known.since)
        # Danger: one that refused us is asked again by now, and still is as cold.
        if number < self.numbers.highest or known is not None and known.failed:
            return max(member.started_us, now)
        return member.started_us

    def _told(self, member: Endpoint, started: int, now: int) -> Belief:
        known, drained = self.engines.get(member.id), 0
        if member.state is EndpointState.DRAINING:
            # Said again, it is the same drain; its grace counts from when this process first heard of it.
            same = known and known.state is State.TOLD and known.member.started_us == member.started_us
            drained = known.drained if same and known.drained else now
        return Belief(
            member,
            State.TOLD,
            Source.REGISTER,
            now,
            listed=True,
            drained=drained,
            since=started if started != member.started_us else 0,
        )

    def _claim(self, member: Endpoint, named: set[int], number: int, now: int) -> list[Endpoint]:
        """Whoever was believed at this address, and is not told of together with the one that has it now."""
        owner = self._at.get((member.host, member.port), member.id)
        if owner == member.id or owner in named:
            return []
        known = self.engines[owner]
        self._bury(owner, known.member.started_us, number, now)
        return [_gone(known.member)] if known.listed else []

    def grace_left(self, engine: int, now: int) -> int:
        """Of a drain that was told; 0 where none was, or it is over."""
        belief = self.engines.get(engine)
        return max(0, belief.drained + self._grace - now) if belief and belief.drained else 0

    def alive(self, now: int) -> None:
        """The register's link brings frames: what it has told is as fresh as the last of them."""
        self._alive = now

    def settle(self, now: int) -> EndpointEvent | None:
        """Once the register has stood by numbers below ours: those that it never named are gone."""
        if now - self._alive > _SILENT:
            self.numbers.unheard(now)  # what it once said is no word that it stands by
        if not self.numbers.insists(now):
            return None
        self.numbers.give_in()
        unnamed = [belief for belief in self.engines.values() if belief.state is not State.TOLD]
        for belief in unnamed:
            self._bury(belief.member.id, 0, self.numbers.last, now)
        self.tombs.rebase(self.numbers.last)
        return EndpointEvent(0, False, [_gone(belief.member) for belief in unnamed if belief.listed])

    # Trials: a connection first, then work as a cold engine gets it, until it has served.

    def due(self, now: int) -> list[Endpoint]:
        """The engines to be asked now, by a connection, each once; what comes of it goes to `answered`."""
        for engine, since in list(self.window.out.items()):
            if now - since >= _LOST:
                self.answered(engine, How.SILENT, now)
        begun = []
        if not self.standings().waiting:
            return begun
        for engine in self._order if self.window.room() else ():
            belief = self.engines.get(engine)
            if (
                belief is not None
                and belief.state in (State.REMEMBERED, State.CONTRADICTED)
                and belief.due <= now
            ):
                belief.state, self._standings = State.ON_TRIAL, None
                self.window.begin(engine, now)
                begun.append(belief.member)
                if not self.window.room():
                    break
        return begun

    def answered(self, engine: int, how: How, now: int) -> list[Endpoint]:
        """What came of a trial or of a relay; what is to be listed because of it."""
        belief = self.engines.get(engine)
        self.window.went(engine, how in (How.LISTENS, How.SERVED))
        if belief is None or belief.state not in (State.ON_TRIAL, State.CONFIRMED):
            return []
        self._standings = None
        if how is How.LISTENS or how is How.SERVED and not belief.listed:
            return self._list(belief, now) if belief.state is State.ON_TRIAL and not belief.listed else []
        if how is How.SERVED:
            belief.state, belief.source, belief.at, belief.failed = State.CONFIRMED, Source.TRAFFIC, now, 0
            return []
        if how is How.SILENT and belief.state is State.CONFIRMED:
            return []  # heavy work is silent too; the module's doubt has this one
        listed, belief.listed = belief.listed, False
        if how is How.OTHER:
            # It is somebody else's address now; that one is not ours to list until we are told of it.
            self._bury(engine, belief.member.started_us, self.numbers.highest, now)
        else:
            belief.state, belief.failed = State.CONTRADICTED, belief.failed + 1
            belief.due = now + (
                self._grace if how is How.DRAINING else trials.again(belief.failed, self._chance)
            )
        return [_gone(belief.member)] if listed else []

    def forget(self, engine: int, now: int) -> list[Endpoint]:
        """An operator says that it is gone; later news of the register may still raise it."""
        belief = self.engines[engine]
        self._bury(engine, belief.member.started_us, self.numbers.highest, now)
        return [_gone(belief.member)] if belief.listed else []

    def _list(self, belief: Belief, now: int) -> list[Endpoint]:
        belief.listed = True
        # Danger: it may have started at any time until now, alone or with all others. Cold from this moment
        # on, unless it was seen warm a few seconds ago by the gateway that handed over.
        warm = (
            self.handed
            and now - self.begun < HANDED
            and belief.failed == 0
            and belief.member.state is EndpointState.READY
        )
        belief.since = belief.member.started_us if warm else now
        return [msgspec.structs.replace(belief.member, state=EndpointState.READY, started_us=belief.since)]

    # What it means for work.

    def standings(self) -> Standings:
        """How many may be sent to, on whose word, and how many wait for their trial or its end."""
        if self._standings is None:
            self._standings = self._count()
        return self._standings

    def _count(self) -> Standings:
        told = confirmed = on_trial = waiting = 0
        for belief in self.engines.values():
            if belief.state is State.TOLD:
                told += belief.member.state is EndpointState.READY
            elif belief.state is State.CONFIRMED:
                confirmed += 1
            elif belief.state is State.ON_TRIAL and belief.listed:
                on_trial += 1
            else:
                waiting += 1
        return Standings(told, confirmed, on_trial, waiting)

    def refuses(self, repeatable: bool, now: int) -> int | None:
        """None: take it in. Else when to come back, in microseconds: refused rather than sent on a guess."""
        one = self.standings()
        if one.told or one.confirmed:
            return None
        # Danger: what may run once must not be the first thing that a remembered address hears of us.
        if one.on_trial and (repeatable or self.handed) or not one.on_trial and now - self.begun < _FIRST:
            return None
        # All gateways of a hall refuse at once, and engines warm up slowly: over all that clients honour.
        return int(self._most_wait * (0.25 + 0.75 * self._chance()))

    # What is kept, and how old each part of it is.

    def evidence(self, now: int) -> list[tuple[Endpoint, int]]:
        """All that is not gone, and when it was last known: writing it again makes nothing younger."""
        told, alive = State.TOLD, self._alive
        return [
            (belief.member, alive if belief.state is told and alive > belief.at else belief.at)
            for belief in self.engines.values()
            if belief.failed < _HOPELESS or now - belief.at < OLDEST
        ]

    def kept(self, now: int) -> list[tuple[Endpoint, int]]:
        """The same with ages."""
        return [(member, max(0, min(OLDEST, now - at))) for member, at in self.evidence(now)]

    def _put(self, belief: Belief) -> None:
        self._drop(belief.member.id)
        self.engines[belief.member.id] = belief
        self._at[belief.member.host, belief.member.port] = belief.member.id

    def _drop(self, engine: int) -> Belief | None:
        self.window.out.pop(engine, None)
        self._standings = None
        belief = self.engines.pop(engine, None)
        if belief is not None and self._at.get((belief.member.host, belief.member.port)) == engine:
            del self._at[belief.member.host, belief.member.port]
        return belief

    def _bury(self, engine: int, started: int, number: int, now: int) -> None:
        belief = self._drop(engine)
        self.tombs.bury(engine, max(started, belief.member.started_us if belief else 0), number, now)

    def fingerprint(self) -> tuple:
        return (
            tuple(
                sorted(
                    (engine, belief.state.value, belief.listed, belief.failed)
                    for engine, belief in self.engines.items()
                )
            ),
            tuple((tomb.id, tomb.started, tomb.number) for tomb in self.tombs.kept(0)),
            self.numbers.highest,
            self.numbers.behind_since is not None,
        )


def _gone(member: Endpoint) -> Endpoint:
    return msgspec.structs.replace(member, state=EndpointState.REMOVED)
