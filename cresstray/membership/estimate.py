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
from cresstray.membership.confidence import (
    HANDOVER_VALIDITY_US,
    LIST_HALF_LIFE_US,
    SECOND_US,
    UNKNOWN_AGE_US,
    confidence,
)
from cresstray.membership.reconciliation import IndexTracker, Tombstone, Tombstones
from cresstray.policy.types import EndpointState

# A trial that nobody has answered: connecting is given up far sooner.
_LOST = 5 * SECOND_US
# The register sends an empty frame each second.
_SILENT = 2 * SECOND_US
# Danger: a register that names millions, or a folder that grew for years. Far beyond any fleet.
MAX_ENDPOINTS = 20_000
# Not heard of for a month, and so many trials of half a minute each: not worth a line any more.
_HOPELESS = 20
# While nothing is listed yet, work waits so long for the first trials; after that it is refused.
_FIRST = SECOND_US // 2


class EstimateState(Enum):
    REMEMBERED = "remembered"
    PROBING = "on trial"
    CONFIRMED = "confirmed"
    UNREACHABLE = "contradicted"
    REGISTERED = "told"
    REMOVED = "gone"


class EvidenceSource(Enum):
    REGISTER = "register"
    PEER = "peer"
    TRAFFIC = "traffic"
    DISK = "disk"


class ContactResult(Enum):
    """What came of a trial, or of a relay."""

    LISTENING = "listens"
    SERVED = "served"
    REFUSED = "refused"
    TIMED_OUT = "silent"
    DRAINING = "draining"
    WRONG_IDENTITY = "other"  # it answers under another id


class EndpointEstimate(msgspec.Struct):
    endpoint: Endpoint  # as it was last told or kept, its start too
    state: EstimateState
    source: EvidenceSource
    evidence_us: int  # of the last evidence, by this process's clock; before its start for what is older
    next_probe_us: int = 0  # when it may be tried
    failure_count: int = 0  # trials in a row
    is_listed: bool = False  # the module may send to it
    listed_start_us: int = 0  # the start that it was listed with on no word but ours
    drain_began_us: int = 0  # when its drain was first told to this process; 0: it was not


class EstimateCounts(NamedTuple):
    registered: int
    confirmed: int
    listed_probing: int
    unlisted: int


class MembershipEstimate:
    """`grace`: how long an engine drains at the most, `most_wait`: what clients honour; both microseconds.

    `handed`: the list is of a gateway that handed over to this one just now, see fade.HANDED.
    """

    def __init__(self, grace: int, most_wait: int, chance: Callable[[], float], now: int) -> None:
        self._grace, self._most_wait, self._chance = grace, most_wait, chance
        self.endpoints: dict[int, EndpointEstimate] = {}
        self._id_by_address: dict[tuple[str, int], int] = {}  # whose address it is
        self.tombstones, self.index_tracker, self.probe_budget = (
            Tombstones(),
            IndexTracker(),
            trials.ProbeBudget(),
        )
        self.started_us, self.is_handed_over = now, False
        self._alive = now  # when the register was last heard, of whatever it has told
        self._standings: EstimateCounts | None = None
        self._order: list[int] = []  # of trials: drawn, so that gateways ask in different orders

    def state_of(self, engine: int) -> EstimateState | None:
        belief = self.endpoints.get(engine)
        return belief.state if belief else EstimateState.REMOVED if engine in self.tombstones else None

    # What lists of others than the register say: each engine with the age of what is known of it.

    def merge_remembered(
        self,
        given: Iterable[tuple[Endpoint, int]],
        number: int,
        tombs: list[Tombstone],
        source: EvidenceSource,
        now: int,
        handed: bool = False,
    ) -> list[Endpoint]:
        """`number`: the register's, when the list was made. What this process knows better stays.

        What is to be listed because of it: who was listed on trial, and is gone by the word in it or has
        started anew.
        """
        listed = {
            number: (belief.endpoint, belief.listed_start_us)
            for number, belief in self.endpoints.items()
            if belief.is_listed and belief.state is not EstimateState.REGISTERED
        }
        for tomb in filter(self._is_superseded_by, tombs):
            self._drop(tomb.id)
            self.tombstones.add(tomb.id, tomb.started_us, tomb.index, now, tomb.known_for_us)
        if source is EvidenceSource.DISK:
            self.index_tracker.highest = max(self.index_tracker.highest, number)
            self.is_handed_over = handed
        trust = taken = 0.0
        for member, age in sorted(given, key=lambda one: (one[1], -one[0].started_us, one[0].id)):
            if self._merge_endpoint(member, min(age, UNKNOWN_AGE_US), number, source, now):
                taken, trust = taken + 1, trust + confidence(age, LIST_HALF_LIFE_US)
        self.probe_budget.open(int(taken), trust / max(1.0, taken))
        self._order = sorted(self.endpoints)
        for last in range(len(self._order) - 1, 0, -1):
            other = int(self._chance() * (last + 1))
            self._order[last], self._order[other] = self._order[other], self._order[last]
        told = []
        for number, (member, since) in listed.items():
            belief = self.endpoints.get(number)
            if belief is None:
                told.append(_gone(member))
            elif belief.listed_start_us > since:
                told.append(
                    msgspec.structs.replace(
                        belief.endpoint, state=EndpointState.READY, started_us=belief.listed_start_us
                    )
                )
        return told

    def _is_superseded_by(self, tomb: Tombstone) -> bool:
        # Danger: a successor lists by what the one before wrote last but one. The register's word in the last
        # write, that an engine is gone, counts before whatever listens or serves there.
        belief = self.endpoints.get(tomb.id)
        return (
            belief is None
            or belief.state is not EstimateState.REGISTERED
            and belief.endpoint.started_us <= tomb.started_us
        )

    def _merge_endpoint(
        self, member: Endpoint, age: int, number: int, source: EvidenceSource, now: int
    ) -> bool:
        known = self.endpoints.get(member.id)
        if (
            known is not None
            and known.state in (EstimateState.PROBING, EstimateState.CONFIRMED)
            and member.started_us > known.endpoint.started_us
        ):
            # Danger: it is asked by what an earlier list said, and would be warm by its start of then.
            known.endpoint = msgspec.structs.replace(known.endpoint, started_us=member.started_us)
            known.listed_start_us = max(known.listed_start_us, member.started_us)
        if (
            member.state is EndpointState.REMOVED
            or self.tombstones.forbids(member.id, member.started_us, number)
            or known is not None
            and (
                known.state not in (EstimateState.REMEMBERED, EstimateState.UNREACHABLE)
                or known.evidence_us >= now - age
            )
            or known is None
            and len(self.endpoints) >= MAX_ENDPOINTS
        ):
            return False
        owner = self._id_by_address.get((member.host, member.port), member.id)
        if owner != member.id:
            return False  # the address has gone to another one, of which more is known
        # Danger: a drain of the list is over or not, nobody here knows. A grace after our start it is.
        due = now + self._grace if member.state is EndpointState.DRAINING else now
        # Danger: whoever wrote this saw it well, and this process has seen it refuse: it may start anew.
        failed = 0 if known is None else known.failure_count
        due = max(due, known.next_probe_us) if failed else due
        self._put(EndpointEstimate(member, EstimateState.REMEMBERED, source, now - age, due, failed))
        self.tombstones.discard(member.id)
        return True

    # The register's word, which counts before all others.

    def apply_event(self, event: EndpointEvent, now: int) -> EndpointEvent:
        """The event as the module may have it: what an old list would raise is left out of it.

        A whole list that is older than what was kept becomes a partial one: it can't say who is gone.
        """
        whole = self.index_tracker.observe(event.index, event.is_complete, now)
        named, members = {member.id for member in event.endpoints}, []
        for member in event.endpoints:
            if member.state is EndpointState.REMOVED:
                self._bury(member.id, member.started_us, event.index, now)
                members.append(member)
            elif not (
                self.tombstones.forbids(member.id, member.started_us, event.index)
                or self._is_outdated(member, event.index)
            ):
                members += self._release_address(member, named, event.index, now)
                started = self._start_for_listing_us(member, event.index, now)
                self._put(self._told(member, started, now))
                self.tombstones.discard(member.id)
                members.append(msgspec.structs.replace(member, started_us=started))
        if whole:
            for engine in [engine for engine in self.endpoints if engine not in named]:
                self._bury(engine, 0, event.index, now)
            # Who is left out of a whole list is gone, links and all.
            members = [member for member in members if member.state is not EndpointState.REMOVED]
        return EndpointEvent(event.index, whole, members)

    def _is_outdated(self, member: Endpoint, number: int) -> bool:
        """An older list, on an engine that has started anew since."""
        known = self.endpoints.get(member.id)
        return (
            number < self.index_tracker.highest
            and known is not None
            and known.endpoint.started_us > member.started_us
        )

    def _start_for_listing_us(self, member: Endpoint, number: int, now: int) -> int:
        """Since when the module may take it to be up.

        Danger: a register that was down, or is behind, names starts from before a loss of power. All gateways
        hear of it at once, and would push engines that are still cold.
        """
        known = self.endpoints.get(member.id)
        if known is not None and known.is_listed:
            return max(member.started_us, known.listed_start_us)
        # Danger: one that refused us is asked again by now, and still is as cold.
        if number < self.index_tracker.highest or known is not None and known.failure_count:
            return max(member.started_us, now)
        return member.started_us

    def _told(self, member: Endpoint, started: int, now: int) -> EndpointEstimate:
        known, drained = self.endpoints.get(member.id), 0
        if member.state is EndpointState.DRAINING:
            # Said again, it is the same drain; its grace counts from when this process first heard of it.
            same = (
                known
                and known.state is EstimateState.REGISTERED
                and known.endpoint.started_us == member.started_us
            )
            drained = known.drain_began_us if same and known.drain_began_us else now
        return EndpointEstimate(
            member,
            EstimateState.REGISTERED,
            EvidenceSource.REGISTER,
            now,
            is_listed=True,
            drain_began_us=drained,
            listed_start_us=started if started != member.started_us else 0,
        )

    def _release_address(self, member: Endpoint, named: set[int], number: int, now: int) -> list[Endpoint]:
        """Whoever was believed at this address, and is not told of together with the one that has it now."""
        owner = self._id_by_address.get((member.host, member.port), member.id)
        if owner == member.id or owner in named:
            return []
        known = self.endpoints[owner]
        self._bury(owner, known.endpoint.started_us, number, now)
        return [_gone(known.endpoint)] if known.is_listed else []

    def drain_grace_left_us(self, engine: int, now: int) -> int:
        """Of a drain that was told; 0 where none was, or it is over."""
        belief = self.endpoints.get(engine)
        return max(0, belief.drain_began_us + self._grace - now) if belief and belief.drain_began_us else 0

    def on_watch_frame(self, now: int) -> None:
        """The register's link brings frames: what it has told is as fresh as the last of them."""
        self._alive = now

    def settle_index(self, now: int) -> EndpointEvent | None:
        """Once the register has stood by numbers below ours: those that it never named are gone."""
        if now - self._alive > _SILENT:
            self.index_tracker.on_watch_silent(now)  # what it once said is no word that it stands by
        if not self.index_tracker.is_settled(now):
            return None
        self.index_tracker.accept_last()
        unnamed = [
            belief for belief in self.endpoints.values() if belief.state is not EstimateState.REGISTERED
        ]
        for belief in unnamed:
            self._bury(belief.endpoint.id, 0, self.index_tracker.last, now)
        self.tombstones.rebase(self.index_tracker.last)
        return EndpointEvent(0, False, [_gone(belief.endpoint) for belief in unnamed if belief.is_listed])

    # Trials: a connection first, then work as a cold engine gets it, until it has served.

    def start_due_probes(self, now: int) -> list[Endpoint]:
        """The engines to be asked now, by a connection, each once; what comes of it goes to `answered`."""
        for engine, since in list(self.probe_budget.in_flight.items()):
            if now - since >= _LOST:
                self.on_contact(engine, ContactResult.TIMED_OUT, now)
        begun = []
        if not self.counts().unlisted:
            return begun
        for engine in self._order if self.probe_budget.available() else ():
            belief = self.endpoints.get(engine)
            if (
                belief is not None
                and belief.state in (EstimateState.REMEMBERED, EstimateState.UNREACHABLE)
                and belief.next_probe_us <= now
            ):
                belief.state, self._standings = EstimateState.PROBING, None
                self.probe_budget.on_started(engine, now)
                begun.append(belief.endpoint)
                if not self.probe_budget.available():
                    break
        return begun

    def on_contact(self, engine: int, how: ContactResult, now: int) -> list[Endpoint]:
        """What came of a trial or of a relay; what is to be listed because of it."""
        belief = self.endpoints.get(engine)
        self.probe_budget.on_finished(engine, how in (ContactResult.LISTENING, ContactResult.SERVED))
        if belief is None or belief.state not in (EstimateState.PROBING, EstimateState.CONFIRMED):
            return []
        self._standings = None
        if how is ContactResult.LISTENING or how is ContactResult.SERVED and not belief.is_listed:
            return (
                self._list_endpoint(belief, now)
                if belief.state is EstimateState.PROBING and not belief.is_listed
                else []
            )
        if how is ContactResult.SERVED:
            belief.state, belief.source, belief.evidence_us, belief.failure_count = (
                EstimateState.CONFIRMED,
                EvidenceSource.TRAFFIC,
                now,
                0,
            )
            return []
        if how is ContactResult.TIMED_OUT and belief.state is EstimateState.CONFIRMED:
            return []  # heavy work is silent too; the module's doubt has this one
        listed, belief.is_listed = belief.is_listed, False
        if how is ContactResult.WRONG_IDENTITY:
            # It is somebody else's address now; that one is not ours to list until we are told of it.
            self._bury(engine, belief.endpoint.started_us, self.index_tracker.highest, now)
        else:
            belief.state, belief.failure_count = EstimateState.UNREACHABLE, belief.failure_count + 1
            belief.next_probe_us = now + (
                self._grace
                if how is ContactResult.DRAINING
                else trials.retry_delay_us(belief.failure_count, self._chance)
            )
        return [_gone(belief.endpoint)] if listed else []

    def forget(self, engine: int, now: int) -> list[Endpoint]:
        """An operator says that it is gone; later news of the register may still raise it."""
        belief = self.endpoints[engine]
        self._bury(engine, belief.endpoint.started_us, self.index_tracker.highest, now)
        return [_gone(belief.endpoint)] if belief.is_listed else []

    def _list_endpoint(self, belief: EndpointEstimate, now: int) -> list[Endpoint]:
        belief.is_listed = True
        # Danger: it may have started at any time until now, alone or with all others. Cold from this moment
        # on, unless it was seen warm a few seconds ago by the gateway that handed over.
        warm = (
            self.is_handed_over
            and now - self.started_us < HANDOVER_VALIDITY_US
            and belief.failure_count == 0
            and belief.endpoint.state is EndpointState.READY
        )
        belief.listed_start_us = belief.endpoint.started_us if warm else now
        return [
            msgspec.structs.replace(
                belief.endpoint, state=EndpointState.READY, started_us=belief.listed_start_us
            )
        ]

    # What it means for work.

    def counts(self) -> EstimateCounts:
        """How many may be sent to, on whose word, and how many wait for their trial or its end."""
        if self._standings is None:
            self._standings = self._count_states()
        return self._standings

    def _count_states(self) -> EstimateCounts:
        told = confirmed = on_trial = waiting = 0
        for belief in self.endpoints.values():
            if belief.state is EstimateState.REGISTERED:
                told += belief.endpoint.state is EndpointState.READY
            elif belief.state is EstimateState.CONFIRMED:
                confirmed += 1
            elif belief.state is EstimateState.PROBING and belief.is_listed:
                on_trial += 1
            else:
                waiting += 1
        return EstimateCounts(told, confirmed, on_trial, waiting)

    def retry_after_us(self, repeatable: bool, now: int) -> int | None:
        """None: take it in. Else when to come back, in microseconds: refused rather than sent on a guess."""
        one = self.counts()
        if one.registered or one.confirmed:
            return None
        # Danger: what may run once must not be the first thing that a remembered address hears of us.
        if (
            one.listed_probing
            and (repeatable or self.is_handed_over)
            or not one.listed_probing
            and now - self.started_us < _FIRST
        ):
            return None
        # All gateways of a hall refuse at once, and engines warm up slowly: over all that clients honour.
        return int(self._most_wait * (0.25 + 0.75 * self._chance()))

    # What is kept, and how old each part of it is.

    def evidence(self, now: int) -> list[tuple[Endpoint, int]]:
        """All that is not gone, and when it was last known: writing it again makes nothing younger."""
        told, alive = EstimateState.REGISTERED, self._alive
        return [
            (
                belief.endpoint,
                alive if belief.state is told and alive > belief.evidence_us else belief.evidence_us,
            )
            for belief in self.endpoints.values()
            if belief.failure_count < _HOPELESS or now - belief.evidence_us < UNKNOWN_AGE_US
        ]

    def evidence_ages(self, now: int) -> list[tuple[Endpoint, int]]:
        """The same with ages."""
        return [(member, max(0, min(UNKNOWN_AGE_US, now - at))) for member, at in self.evidence(now)]

    def _put(self, belief: EndpointEstimate) -> None:
        self._drop(belief.endpoint.id)
        self.endpoints[belief.endpoint.id] = belief
        self._id_by_address[belief.endpoint.host, belief.endpoint.port] = belief.endpoint.id

    def _drop(self, engine: int) -> EndpointEstimate | None:
        self.probe_budget.in_flight.pop(engine, None)
        self._standings = None
        belief = self.endpoints.pop(engine, None)
        if (
            belief is not None
            and self._id_by_address.get((belief.endpoint.host, belief.endpoint.port)) == engine
        ):
            del self._id_by_address[belief.endpoint.host, belief.endpoint.port]
        return belief

    def _bury(self, engine: int, started: int, number: int, now: int) -> None:
        belief = self._drop(engine)
        self.tombstones.add(engine, max(started, belief.endpoint.started_us if belief else 0), number, now)

    def fingerprint(self) -> tuple:
        return (
            tuple(
                sorted(
                    (engine, belief.state.value, belief.is_listed, belief.failure_count)
                    for engine, belief in self.endpoints.items()
                )
            ),
            tuple((tomb.id, tomb.started_us, tomb.index) for tomb in self.tombstones.unexpired(0)),
            self.index_tracker.highest,
            self.index_tracker.behind_since_us is not None,
        )


def _gone(member: Endpoint) -> Endpoint:
    return msgspec.structs.replace(member, state=EndpointState.REMOVED)
