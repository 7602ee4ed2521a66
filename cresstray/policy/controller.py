"""All decisions of one gateway; its types and the port it speaks through are in interface.py.

An adapter makes one Gateway, hands it each event as a call with the clock in whole microseconds, and does
what it asks of its Port. A submission goes down the chain accept > take turns > hold > choose > send; what
comes back goes up it, came_back > learn > relay again or end > give up its turn > release.
"""

from __future__ import annotations

import random
from bisect import insort
from collections import deque
from collections.abc import Iterable, Mapping
from typing import Any

from cresstray.policy.sliding_window import Ring
from cresstray.policy.types import Ending, Engine, Port, Relay, Rules, Standing, Submission, Tariff, Topic

# Endings that prove a relay never ran; after any other it may have run.
UNRUN = {Ending.FULL, Ending.UNREACHABLE, Ending.MOOT}
# Endings after which a relay may still be running.
RUNNING_ON = {Ending.TIMED_OUT, Ending.RESET, Ending.SPOILT, Ending.WITHDRAWN}
# Length of a sample window: the design's.
WINDOW = 1_000_000
# The sweep over what is held and out: a tenth of a window is fine enough for limits of whole seconds.
SWEEP = 100_000
# Danger: on a late loop what ends at its hard stop is lost; it ends 100 ms sooner, held work a sweep more.
MARGIN = SWEEP + 100_000

# Danger: a repeat must reach its engine within the memory of the first; it leaves this long before its end.
REPEAT_MARGIN = 50_000

# Danger: together the gateways may push a cold engine over. Its capacity is taken as what it starts with
# until it must be warm, at 0.85 busy and 0.9 of nominal speed, and 0.7 of the budget is used.
COLD_PART = 0.85 * 0.9 * 0.7
PASSED_OVER = -1e6  # in the held line: before any payoff for work in microseconds


def micros(milliseconds: float) -> int:
    return int(milliseconds * 1000)


def end_by(submission: Submission, hard_stop: int) -> None:
    """It is to be answered by then, as the gateway ends."""
    submission.hard_stop = min(submission.hard_stop, hard_stop)
    # Danger: held up to the very end, it would be sent as others are given up, with no time left to run.
    submission.leave_by = min(submission.leave_by, submission.hard_stop - MARGIN)


class Usual:
    """What a tariff's answers usually take, learnt from this gateway's own fulfilled relays."""

    def __init__(self, tariff: Tariff) -> None:
        self.threads, self.seen = tariff.threads, 0
        # Before the first answers: a quarter of the soft limit, since limits are set to be met with room.
        self.mean = tariff.soft_limit / 4.0
        self.estimate, self.factor = 0.0, 1.0  # mean time by estimate, and latency against that
        self.sent, self.unsent = Ring(5 * WINDOW, 10), Ring(5 * WINDOW, 10)  # first relays, or ended without

    def time_of(self, submission: Submission) -> int:
        return max(1000, int(submission.estimate / self.threads * self.factor or self.mean))

    def learn(self, submission: Submission, latency: int) -> None:
        # A mean over the last 200 or so: long enough for widely spread work, short enough to follow a day.
        self.seen += 1
        weight = 1.0 / min(self.seen, 200)
        self.mean += weight * (latency - self.mean)
        self.estimate += weight * (submission.estimate / self.threads - self.estimate)
        self.factor = self.mean / max(1.0, self.estimate)


class Signs:
    """What reports tell and when: the threads of others a core, and memory against what binds."""

    def __init__(self) -> None:
        self.others, self.strain, self.at = 0.0, 0.0, 0
        self.threads, self.limit = 0, 0.0  # of the fleet: ours that run on all engines, and all limits

    def heed(self, weight: float, others: float, strain: float, now: int) -> None:
        self.others += weight * (others - self.others)
        self.strain += weight * (strain - self.strain)
        self.at = now


class Limiter:
    """The thread limit on this gateway's running work on one engine, moved by the Gradient law."""

    def __init__(self, cores: float, gateways: int, fleet: Signs) -> None:
        self.cores, self.fleet, self.signs = cores, fleet, Signs()  # signs of all engines, and of this one
        self.start = self.limit = cores / gateways  # a thread a core, shared by the gateways
        self.draw = 1.0  # the chance draw for work wider than the free limit, once a window
        self.out: dict[Relay, None] = {}
        self.threads = 0
        self.total, self.count, self.failed = 0.0, 0, False  # the open window
        self.seen, self.average, self.best, self.pace = 0, 0.0, 0.0, 1.0
        self.full_until, self.idle = 0, False  # idle: its cores have room, as it last told
        self.heard, self.lost = 0, 0  # when it last answered anything; relays and probes lost since
        self.fails, self.answers = Ring(5 * WINDOW, 10), Ring(5 * WINDOW, 10)
        self.doubted, self.mute = False, False  # mute: in doubt for silence, not for errors
        self.trial_at, self.streak = 0, 0  # the next trial; answers in a row, below none failed trials
        self.cold = 0  # while it is cold: when this gateway may send to it again
        self.blocked: dict[int, int] = {}  # data sets that a load was seen to hold, and until when to mind it

    def hear(self, now: int) -> None:
        self.heard, self.lost = now, 0

    def sample(self, ratio: float) -> None:
        self.seen, self.count, self.total = self.seen + 1, self.count + 1, self.total + ratio
        # Over the last 20 samples or so: a thin window's mean says too little to choose by.
        self.pace += 0.05 * (ratio - self.pace)

    def close_window(self) -> None:
        """The Gradient law, once a closed window; the first window with an average only holds."""
        count, mean, failed = self.count, self.total / max(1, self.count), self.failed
        self.count, self.total, self.failed = 0, 0.0, False
        # Ten samples of warmup, and below smoothing, tolerance and ratio: the source's defaults.
        if self.seen < 10 or not (count or failed):
            return
        first, gradient = not self.average, 0.0
        if count:
            self.average = mean if first else 0.2 * mean + 0.8 * self.average
            self.best = self.average if first else min(self.best * 1.01, self.average)
            gradient = (mean - self.average) / self.average
        if failed:
            self.limit *= 0.5
        elif not first:
            step = 2 if gradient < -0.1 else 1
            self.limit = self.limit + step if gradient <= 0.1 else self.limit * max(1 - gradient * 0.5, 0.5)
        # Floor and cap as the design gives them, the cap below twice the start.
        self.limit = min(max(self.limit, 0.1 * self.start), 1.99 * self.start)

    def load(self, more: int, now: int) -> float:
        return ((self.threads + more) / self.cores + self.by_now(now)[0]) * self.pace

    def by_now(self, now: int) -> tuple[float, float, float]:
        # Danger: no relays, no reports; an engine seen busy would be shunned for good, one seen idle flooded.
        # What is known of it goes over into what is known of the fleet, by half in two seconds.
        fleet, own = self.fleet, self.signs
        kept = 0.5 ** ((now - own.at) / WINDOW / 2)
        others = fleet.others + (own.others - fleet.others) * kept
        strain = fleet.strain + (own.strain - fleet.strain) * kept
        return others, strain, kept

    def pressed(self, now: int) -> bool:
        """Whether the limit binds: lately full, or busy by its reports, or without them slow for once."""
        if now < self.full_until:
            return True
        if self.fleet.at:
            # Three threads for two cores if they are busy or nothing tells of late, up to two a core if not,
            # as some wait for disks. Half of those not known are busier than the mean: a quarter sooner.
            others, strain, kept = self.by_now(now)
            busy = self.threads / self.cores + others >= 1.5 + 0.5 * kept * self.idle
            return busy or strain >= 0.75 + 0.25 * kept
        return self.average > 1.5 * self.best > 0

    def spare(self, now: int, most: float) -> float:
        """Threads that another hall's work may take, up to so many a core with all that runs there."""
        others, strain, _ = self.by_now(now)
        busy = self.doubted or self.cold or now < self.full_until or strain >= 0.75
        return 0.0 if busy else (most - others) * self.cores - self.threads

    def permits(self, submission: Submission, now: int) -> bool:
        threads = submission.tariff.threads
        if self.threads + threads <= self.limit or not self.pressed(now):
            return True
        # Danger: limits of a part of a thread let one of ours onto each engine. As answers slow down, all
        # gateways are many times over; what runs stays under three times all limits, as some see several
        # times the mean, or one over it, as narrow work would never leave room for wide.
        if self.fleet.threads >= max(1.0, 3 * self.fleet.limit):
            return False
        # Danger: a draw a window keeps short work far under the limit; the chance is for the time it takes.
        # As answers slow down it would shut out long work: a window at most for what was passed over.
        lasts = min(submission.expected / WINDOW, 1.0 if submission.rank < PASSED_OVER / 2 else 1e9)
        return self.threads == 0 and self.draw * threads * lasts < self.limit


class Gateway:
    def __init__(self, port: Port, settings: Mapping[str, Any], seed: int, now: int) -> None:
        self.port = port
        self.settings, self.zone = settings, settings.get("Zone")
        self.random = random.Random(seed).random
        parts = ("FamilyInfo", "Safety", "Limits")
        self.family, self.rules, self.limits = (settings.get(part, {}) for part in parts)
        self.fall = micros(self.rules.get("Fall", 1000))
        self.agreed: Rules | None = None  # what the fleet has agreed on, where it does
        self.gateways = max(1, settings.get("Balancers", 1))
        self.tariffs = [self._tariff(n, given) for n, given in enumerate(settings.get("Services", []))]
        self.engines: dict[Engine, None] = {}
        self.ready: list[Engine] = []
        self.held: list[Submission] = []  # first relays, by rank
        self.further: list[Submission] = []  # further relays, in a line of their own behind them
        self.queues: dict[int, deque[Submission]] = {}
        self.key_free: dict[int, int] = {}
        # Danger: a further relay that crosses halls is sent later than it is counted here, by so much at
        # most.
        budget, ahead = micros(self.rules.get("BudgetWindow", 0)), micros(settings.get("CrossingAhead", 0))
        self.accepted = Ring(max(0, budget - ahead), 20)  # rounding costs a twentieth
        self.relayed_again = Ring(budget + ahead, 20)
        self.halls: list[Engine] = []  # gateways of other halls, each as one engine that is never drawn
        self.payoff = self.work = self.time = self.pace = 1.0  # means; pace: latency against expected time
        self.swept, self.fleet, self.doubt_counts = 0, Signs(), True
        self.idlest: list[Engine] = []  # the one of late, or none
        self.probes, self.trials, self.probed_last = 0.0, 0.0, 0  # probes and trials that may be spent
        if settings.get("MembershipMode") == "ask":
            port.subscribe()
        port.wake(SWEEP, self._sweep)

    def _tariff(self, index: int, given: Mapping[str, Any]) -> Tariff:
        threads = self.family.get("Dop", [])
        zones, machines = given.get("StaysIn"), given.get("FlavorsOpen")
        loads, waits = self.family.get("Loads", []), self.family.get("WaitsForLoads", [])
        tariff = Tariff(
            index,
            threads[index] if index < len(threads) else 1,
            micros(given.get("GoalTime", 1000)),
            given.get("AimStretch", 0.0),
            given.get("Worth", 1.0),
            given.get("LateValue", 0.0),
            given.get("Effect") == "idempotent",
            given.get("Effect") == "deduplicated",
            given.get("Group", "all"),
            micros(given.get("KeyTtl", 0)),
            bool(given.get("ByArrival")),
            None if zones is None else frozenset(zones),
            None if machines is None else frozenset(machines),
        )
        tariff.load = index < len(loads) and loads[index]
        tariff.waits = tariff.load or index < len(waits) and waits[index]
        tariff.usual = Usual(tariff)
        return tariff

    # Accept: from here on the submission is owed one final answer.

    def accept(self, submission: Submission, now: int) -> None:
        tariff, arrived = submission.tariff, submission.arrived
        submission.expected = tariff.usual.time_of(submission)
        submission.soft_stop = arrived + int(tariff.soft_limit + tariff.soft_stretch * submission.expected)
        # Held until it can no longer be answered within its soft limit, a tenth of its time at the least.
        tenth = now + (submission.hard_stop - now) // 10
        in_time = submission.soft_stop - 3 * submission.expected // 2
        submission.leave_by = min(submission.hard_stop - MARGIN, max(tenth, in_time))
        density = tariff.payoff / (submission.expected * tariff.threads)
        submission.rank = PASSED_OVER * self._passed_over(tariff, now) - density
        if submission.foreign:
            # It counts, and earns further relays, where it was accepted; here it gives way to our own.
            submission.leave_by = min(submission.leave_by, now + (0 if self.held else submission.hold))
        else:
            self.accepted.add(arrived)
            # Danger: many gateways' probes at a fixed rate cost more than they tell. One for two of these.
            self.probes = min(self.probes + 0.5, 1 + len(self.ready) / 5)
            # Danger: many gateways' trials alone are as much as a fair share of work. One for ten of these.
            self.trials = min(self.trials + 0.1, 2.0)
        if tariff.ordered and submission.key:
            self.queues.setdefault(submission.key, deque()).append(submission)
        self._offer(submission, now)

    def _passed_over(self, tariff: Tariff, now: int) -> bool:
        # Danger: while the line is never empty, what pays least for its work would never run. A tariff of
        # which less than half as much gets its relay as of all goes before the others.
        usual = [(one.usual.sent.most(now), one.usual.unsent.most(now)) for one in self.tariffs]
        sent, unsent = map(sum, zip(*usual))
        own, lost = usual[tariff.index]
        return lost >= 2 and 2 * own * (sent + unsent) < sent * (own + lost)

    # Turns: submissions of one key run one after another, in the order they were accepted.

    def _is_turn(self, submission: Submission, now: int) -> bool:
        if not (submission.tariff.ordered and submission.key):
            return True
        rested = bool(submission.relays) or now >= self.key_free.get(submission.key, 0)
        return rested and self.queues[submission.key][0] is submission

    def _give_up_turn(self, submission: Submission) -> None:
        # Danger: an ended submission whose relay is still out keeps its turn, or two of a key would run.
        queue = self.queues.get(submission.key) if submission.tariff.ordered else None
        if queue and submission.ended and not submission.relay and submission in queue:
            queue.remove(submission)
            if not queue:
                del self.queues[submission.key]

    # Hold: first relays by payoff for their expected work, further relays in their own line behind them.

    def _offer(self, submission: Submission, now: int) -> None:
        # Danger: in overload each arrival would try the whole fleet; behind its own tariff it waits.
        tariff, last = submission.tariff, submission.foreign or bool(submission.relays)
        alike = None if tariff.load or tariff.ordered else submission.read or tariff
        behind = self.held if last else any((held.read or held.tariff) is alike for held in self.held)
        # Danger: what has no time beyond the margin would only be sent to be given up, on links made for it.
        barred = self.agreed and not self.agreed.admits(submission, now)
        in_time = now < submission.hard_stop - (MARGIN - SWEEP)
        goes = in_time and not (behind or barred) and self._is_turn(submission, now)
        if goes and self._send(submission, now):
            return
        if barred or now >= submission.leave_by:
            self._end(submission, now)
            return
        submission.held = True
        insort(self.further if last else self.held, submission, key=lambda one: one.rank)

    def _release(self, now: int, freed: Engine | None = None) -> None:
        # Danger: the whole fleet tried for each answer is too slow; one frees a permit on its engine only.
        # It tries the first of the line, some for each tariff; the others wait for the sweep.
        for line in (self.held, self.further):
            stuck = set()
            for submission in line[:64] if freed else list(line):
                # Danger: thousands held would be tried for each permit; one failure speaks for its like.
                kind = submission.read or submission.tariff
                if kind in stuck or not self._is_turn(submission, now):
                    continue
                if not self._send(submission, now, freed):
                    stuck.add(kind)

    # Choose: of two random engines that may take it, the less loaded.

    def _choose(self, submission: Submission, now: int, freed: Engine | None = None) -> Engine | None:
        idempotent, tried = submission.tariff.idempotent, {relay.engine for relay in submission.relays}
        drawn, near, spare = [], [], None
        # Danger: ranking a large fleet for each send is too slow; they are drawn until two and two are found.
        pool, picks = [freed] if freed else self.ready + self.idlest, 2 + len(self.idlest)
        for left in range(len(pool), 0, -1):
            at = left - 1 if left > len(self.ready) else int(self.random() * left)
            engine, pool[at] = pool[at], pool[left - 1]
            limiter = engine.limiter
            if len(drawn) == picks and engine.zone != self.zone:
                continue
            if not limiter.permits(submission, now):
                self._lapse(engine, now)
                continue
            full = submission.foreign and limiter.spare(now, 1.0) < submission.tariff.threads
            if full or not self._may_take(submission, engine, now):
                continue
            # A doubted engine gets one relay at a time that may safely run again, now and then. Danger: while
            # the others are full, one that fails has room, and fails all that could still wait for them. If
            # it answers, it gets what has no other chance left, as part of that ends well.
            doubted = limiter.doubted and self.doubt_counts
            awaited = doubted and (now < limiter.trial_at or self.trials < 1)
            if doubted and not idempotent or awaited and (limiter.mute or now < submission.leave_by):
                continue
            if awaited or engine in tried or self._stalls(submission, engine, now):
                spare = spare or engine
                continue
            found = (limiter.load(submission.tariff.threads, now), left, engine)
            if len(drawn) < picks:
                drawn.append(found)
            if engine.zone == self.zone:
                near.append(found)
                if len(near) == picks:
                    break
        if not (drawn or spare) or self._load_must_wait(submission, now):
            return None
        # Crossing zones costs: engines of our own zone will do up to 0.6 threads a core more.
        best = min(drawn, default=(0.0, 0, spare))
        own = min(near, default=best)
        return own[-1] if own[0] <= best[0] + 0.6 else best[-1]

    def _cross(
        self, submission: Submission, near: Engine | None, freed: Engine | None, now: int
    ) -> Engine | None:
        """A far hall in place of the near engine, if any, where the way to it takes the submission."""
        tariff, relays = submission.tariff, submission.relays
        # Danger: halls that each believe the other idle would pass work back and forth: one crossing in a
        # life. What must run in order, or on certain engines only, stays, as the far hall knows neither from
        # here.
        stays = submission.crossed or submission.foreign or freed and not freed.far
        if stays or tariff.ordered or tariff.zones is not None or tariff.machines is not None:
            return near
        if relays and not self._budget_left(submission, now):
            return near
        load = near.limiter.load(tariff.threads, now) if near else None
        for hall in self.halls:
            limiter = hall.limiter
            permitted = limiter.threads + tariff.threads <= limiter.limit
            permitted = permitted and self._may_take(submission, hall, now)
            believed = not limiter.doubted or now >= limiter.trial_at
            if permitted and believed and hall.far.takes(submission, load, now):
                submission.crossed = True
                return hall
        return near

    def hall_listed(self, hall: Engine, cores: float, standing: Standing, now: int) -> None:
        """A gateway of another hall, with what its hall has for us in cores; its limiter always binds."""
        if hall.limiter is None:
            hall.limiter = Limiter(max(1.0, cores), 1, self.fleet)
            self.halls.append(hall)
        limiter, cores = hall.limiter, max(1.0, cores)
        limiter.limit *= cores / limiter.cores
        limiter.cores = limiter.start = cores
        hall.standing = standing
        self._release(now)

    def hall_has_room(self, hall: Engine, now: int) -> None:
        self._release(now, hall)

    def room(self, now: int) -> tuple[float, float, float]:
        """What other halls may be told: our part of the threads to spare and of all cores, and our pace."""
        # From a thread a core on, ours slows down; what is told is behind, and others are told the like.
        spare = sum(max(0.0, engine.limiter.spare(now, 0.95)) for engine in self.ready)
        cores = sum(engine.limiter.cores for engine in self.ready)
        return 0.0 if self.held else spare / self.gateways, cores / self.gateways, self.pace

    def hopeless(self, relay: Relay, now: int) -> None:
        """What is out can't be answered in time any more: the final answer goes at once."""
        if relay.ending is None and not relay.submission.ended:
            self.port.withdraw(relay)
            self._end(relay.submission, now)

    def _may_take(self, submission: Submission, engine: Engine, now: int) -> bool:
        tariff = submission.tariff
        # Danger: an engine that drains still reports, and may be the idlest.
        if engine.standing is not Standing.READY:
            return False
        elsewhere = tariff.zones is not None and engine.zone not in tariff.zones
        if elsewhere or tariff.machines is not None and engine.machine not in tariff.machines:
            return False
        if self.agreed and not self.agreed.takes(submission, engine, now):
            return False
        for relay in submission.relays:
            if relay.ending not in UNRUN and tariff.deduplicated:
                # Danger: a repeat outside the group, or past its memory, would take effect twice.
                same = {"zone": engine.zone == relay.engine.zone, "cell": engine.cell == relay.engine.cell}
                over = now >= relay.sent + tariff.memory - REPEAT_MARGIN
                if over or not same.get(tariff.group, tariff.group == "all"):
                    return False
        return self._cold_room(engine, tariff, now)

    def _stalls(self, submission: Submission, engine: Engine, now: int) -> bool:
        # Danger: beside a load of its data set it would stand still, and keep its memory and our permit.
        data_set, limiter = submission.data_set, engine.limiter
        if not submission.tariff.waits:
            return False
        ours = (relay.submission for relay in limiter.out)
        held = any(other.tariff.load and other.data_set == data_set for other in ours)
        return held or now < limiter.blocked.get(data_set, 0)

    def _load_must_wait(self, submission: Submission, now: int) -> bool:
        # Danger: loads of a hot data set, spread over all engines, leave nowhere to read it. A third of the
        # engines may hold one, where other tariffs stand still for it.
        if not submission.tariff.load or not any(one.waits and not one.load for one in self.tariffs):
            return False
        return 3 * sum(self._stalls(submission, one, now) for one in self.ready) >= len(self.ready)

    def _cold_room(self, engine: Engine, tariff: Tariff, now: int) -> bool:
        if not engine.limiter.cold or now >= engine.started + micros(self.rules.get("WarmUp", 0)):
            engine.limiter.cold = 0
            return True
        # In turn, and nothing that alone is over our part of a window and a tenth of all gateways' part.
        most = self._cold_ration(engine) * self.fall * max(1.0, self.gateways / 10)
        return now >= engine.limiter.cold and self._cold_weight(tariff) <= most

    def _cold_ration(self, engine: Engine) -> float:
        most = self.rules.get("OverloadFactor", 1) * self.rules.get("ColdShare", 0.1)
        return most * engine.limiter.cores * COLD_PART / self.gateways

    def _cold_turn(self, engine: Engine) -> float:
        """How long a gateway's share of a cold engine takes to earn its lightest work."""
        return max(1.0, min(map(self._cold_weight, self.tariffs), default=1.0)) / self._cold_ration(engine)

    def _lapse(self, engine: Engine, now: int) -> None:
        # Danger: turns that wait while a cold engine counts as busy would be taken by all gateways at once
        # when that ends. One that has waited for a window of the rule is drawn anew, where one call of each
        # gateway is more than the budget and what the rule puts down to chance.
        if not engine.limiter.cold or now <= engine.limiter.cold + self.fall:
            return
        turn = self._cold_turn(engine)
        calls = self.gateways * self.fall / (turn * COLD_PART)
        if self.gateways > calls + 2 * calls**0.5 + 2:
            engine.limiter.cold = now + 1 + int(turn * self.random())

    def _cold_weight(self, tariff: Tariff) -> float:
        # Unlearnt, a tariff weighs as heavily as its soft limit lets it: silence is no proof of light work.
        return tariff.threads * (tariff.usual.mean if tariff.usual.seen >= 5 else tariff.soft_limit)

    def _send(self, submission: Submission, now: int, freed: Engine | None = None) -> bool:
        again = bool(submission.relays)
        if self.agreed and not self._counted(now):
            return False
        far_only = freed is not None and freed.far is not None
        stays = far_only or again and not self._budget_left(submission, now)
        engine = None if stays else self._choose(submission, now, freed)
        if self.halls:
            engine = self._cross(submission, engine, freed, now)
        if engine is None:
            return False
        self._unhold(submission)
        tariff, limiter = submission.tariff, engine.limiter
        relay = Relay(submission, engine, len(submission.relays), now)
        submission.relays.append(relay)
        submission.relay = relay
        limiter.out[relay] = None
        limiter.threads += tariff.threads
        self.fleet.threads += tariff.threads
        if limiter.threads > limiter.limit:
            limiter.draw = self.random()
        if limiter.cold:
            limiter.cold = now + int(self._cold_weight(tariff) / self._cold_ration(engine))
        if limiter.doubted:
            self.trials = max(0.0, self.trials - 1)
            limiter.trial_at = now + 4 * WINDOW  # one at a time, unless it is answered sooner
        (self.relayed_again if again else tariff.usual.sent).add(now)
        self._terms(submission)
        self.port.relay(relay, max(1000, submission.hard_stop - now - (MARGIN - SWEEP)))
        return True

    def _counted(self, now: int) -> bool:
        """Whether this gateway may relay; shares follow the number of gateways that the fleet agrees on."""
        count = self.agreed.gateways(now)
        if count not in (0, self.gateways):
            for limiter in [engine.limiter for engine in self.engines]:
                limiter.start *= self.gateways / count
                limiter.limit *= self.gateways / count
            self.gateways = count
        return count > 0

    def _budget_left(self, submission: Submission, now: int) -> bool:
        # Danger: relays beyond the first are rationed over any window; the ring rounds to the safe side.
        most = self.rules.get("FreeResends", 0) + self.rules.get("ResendRatio", 0) * self.accepted.least(now)
        scale = self.agreed.further(submission, now) if self.agreed else 1
        if scale <= 0 or "BudgetWindow" not in self.rules:
            return scale > 0
        return self.relayed_again.most(now) + 1 <= most * scale

    def leaves(self, relay: Relay, now: int) -> None:
        # Danger: counted as chosen, one whose connection comes up late would leave beside the next window's.
        if relay.number:
            self.relayed_again.add(relay.sent, -1)
            self.relayed_again.add(now)

    def _terms(self, submission: Submission) -> None:
        # Three tenths over the estimate: enough for a close one, little taken from others.
        megabytes, priority = submission.megabytes * 1.3 if self.family.get("MemoryHeeded") else 0.0, 1
        if self.family.get("RanksHeeded"):
            # Four ranks by payoff for work against the mean of all: twice and half the mean part them.
            density = -submission.rank * self.work / self.payoff
            priority = 3 if density > 2 else 2 if density > 1 else 1 if density > 0.5 else 0
        if megabytes or priority != 1:
            self.port.grant(submission, megabytes, priority)

    def came_back(
        self, relay: Relay, ending: Ending, latency: int, no_more: bool, report: Mapping[str, float], now: int
    ) -> None:
        if relay.ending is not None:
            return
        submission, limiter = relay.submission, relay.engine.limiter
        relay.ending = ending
        submission.relay = None
        del limiter.out[relay]
        limiter.threads -= submission.tariff.threads
        self.fleet.threads = max(0, self.fleet.threads - submission.tariff.threads)
        if relay.engine.far and ending is Ending.MOOT:
            submission.relays.remove(relay)  # no engine of either hall has seen it
        self._heed(relay.engine, report, now)
        self._learn(relay, ending, latency, now)
        if ending in RUNNING_ON and submission.tariff.ordered and submission.key:
            # Danger: the relay may run on, and the key's next would run beside it.
            self.key_free[submission.key] = now + micros(self.rules.get("TurnGap", 0)) + 1000  # rounded up
        if no_more or submission.ended:
            self._close(submission)
        elif self._worth_again(submission, now):
            # A further relay waits as long as a first one would, a window at the least.
            submission.leave_by = min(submission.hard_stop - MARGIN, max(submission.leave_by, now + WINDOW))
            self._offer(submission, now)
        else:
            self._end(submission, now)
        self._give_up_turn(submission)
        self._release(now, relay.engine)

    def _learn(self, relay: Relay, ending: Ending, latency: int, now: int) -> None:
        submission, limiter = relay.submission, relay.engine.limiter
        if ending is Ending.FULFILLED:
            # Danger: one heavy draw in a thin window would cut a healthy limit; a sample counts four at most.
            ratio = min(4.0, latency / submission.expected)
            limiter.sample(ratio)
            self.pace += 0.01 * (ratio - self.pace)  # some hundred samples: the fleet's pace, not a moment's
            submission.tariff.usual.learn(submission, latency)
            self.payoff += 0.005 * (submission.tariff.payoff - self.payoff)  # over some two hundred answers
            self.time += 0.005 * (submission.expected - self.time)
            self.work += 0.005 * (submission.expected * submission.tariff.threads - self.work)
            limiter.answers.add(now)
            limiter.hear(now)
            limiter.trial_at, limiter.streak = now, max(0, limiter.streak) + 1
            # Three trials in a row: one can succeed by luck on an engine that fails half of its work.
            if limiter.doubted and (limiter.streak >= 3 or limiter.mute):
                limiter.doubted, limiter.fails = False, Ring(5 * WINDOW, 10)
        elif ending is Ending.FULL:
            limiter.failed, limiter.full_until = True, now + WINDOW
        elif ending in (Ending.ERROR, Ending.SPOILT, Ending.RESET):
            # Danger: links between healthy ends are reset too. Cuts for that leave limits that are all or
            # none, and doubt takes away engines that are needed. A dead one refuses the next connection.
            if ending is not Ending.RESET:
                limiter.hear(now)
            self._fault(relay.engine, 0, ending is Ending.ERROR, now)
        elif ending is Ending.UNREACHABLE:
            self._fault(relay.engine, 2 * (limiter.heard < relay.sent), True, now)

    def _fault(self, engine: Engine, lost: int, counts: bool, now: int) -> None:
        limiter = engine.limiter
        limiter.failed = limiter.failed or counts
        # Danger: one lost relay may be a heavy draw or a cut link, and all that one of many gateways has on
        # an engine. Silence takes two lost in a row, or a failed connection.
        limiter.lost += lost
        mute = lost > 0 and limiter.lost >= 2
        limiter.answers.add(now)
        limiter.fails.add(now)
        fails, answers = limiter.fails.most(now), limiter.answers.most(now)
        # Three faults that make up a fifth of its answers: far above stray errors, soon enough to matter; one
        # failure where answers are so few that three would take too long.
        if limiter.doubted or mute or fails >= 0.2 * answers and (fails >= 3 or counts and answers <= 5):
            if not limiter.doubted:
                self.port.remark(f"{now / 1e6:.1f} s: an engine in doubt, {'silent' if mute else 'failing'}")
            limiter.mute = mute or limiter.doubted and limiter.mute
            # Half a second to the next trial, doubled with each failed one up to four.
            limiter.streak = min(0, limiter.streak) - 1 if limiter.doubted else 0
            limiter.doubted, limiter.trial_at = True, now + (500_000 << min(-limiter.streak, 3))

    def _heed(self, engine: Engine, report: Mapping[str, float], now: int) -> None:
        if not report:
            return
        limiter, rare = engine.limiter, now - engine.limiter.signs.at > 2 * WINDOW
        # What others run there is what the engine holds beyond our own, at a tariff mix like ours.
        held = max(0.0, report.get("concurrent", 0.0) - len(limiter.out) - 1)
        limiter.idle = report.get("load_share", 1.0) <= 0.9
        # Memory overgranted beyond a report's noise strains it, or a line for it.
        strain = max(report.get("x0", 0.0) / 1.15, float(report.get("depth", 0.0) >= 1))
        told = (held * self.work / self.time / limiter.cores, strain, now)
        # The older what was known, the more the new counts; of the fleet over two seconds, or four reports.
        limiter.signs.heed(min(1.0, max(0.3, (now - limiter.signs.at) / WINDOW / 2)), *told)
        self.fleet.heed(min(0.25, (now - self.fleet.at) / WINDOW / 2), *told)
        # Danger: known to all, the idlest would be flooded. Where most are seldom heard of, each gateway
        # knows another, and it is a third choice.
        if rare and all(limiter.load(0, now) <= other.limiter.load(0, now) for other in self.idlest):
            self.idlest = [engine]

    # Doubt: an engine that fails, is silent or cannot be reached loses new work until trials go well.

    def _listen(self, now: int) -> None:
        """Looks after what is out: relays that should long be back, and engines that answer nothing."""
        for engine in (*self.engines, *self.halls):
            limiter = engine.limiter
            for relay in list(limiter.out):
                # Danger: an engine cut off, dead or stuck, or a link that loses answers, gives no samples.
                # Four times the expected time, as work spreads widely, at the fleet's pace, no note of late.
                expected, age = relay.submission.expected, now - relay.sent
                silent = now - relay.noted > 1.5 * micros(self.family.get("TellsEvery", 0))
                overdue = silent and age > 4 * expected * max(1.0, self.pace) + 200_000
                if overdue and not relay.overdue:
                    relay.overdue = True
                    self._fault(engine, limiter.heard < relay.sent, False, now)
                if limiter.doubted and (overdue or limiter.mute and age >= expected + WINDOW // 2):
                    self._call_back(relay, now)

    def _call_back(self, relay: Relay, now: int) -> None:
        submission = relay.submission
        if relay.called_off or relay.ending or submission.ended or not self.limits.get("Cancel"):
            return
        again = self._worth_again(submission, now) and self._budget_left(submission, now)
        if again and self.doubt_counts:
            relay.called_off = True
            self.port.withdraw(relay)

    def _worth_again(self, submission: Submission, now: int) -> bool:
        stop = submission.hard_stop if submission.tariff.late_payoff > 0 else submission.soft_stop
        if now + submission.expected >= stop or now >= submission.hard_stop - MARGIN:
            return False
        most = 1 if submission.foreign else self.limits.get("MaxAttempts", 1)
        # Danger: what no engine can run would use up the ration; two of them have said so by then.
        errors = [relay.ending for relay in submission.relays].count(Ending.ERROR)
        if len(submission.relays) >= most or errors >= 2:
            return False
        return submission.tariff.deduplicated or self._may_deny(submission)

    def _may_deny(self, submission: Submission) -> bool:
        # Danger: an unrepeatable submission that may have run must not be sent or denied again.
        tariff = submission.tariff
        if tariff.idempotent or tariff.deduplicated and tariff.group == "all":
            return True
        return all(relay.ending in UNRUN for relay in submission.relays)

    def _end(self, submission: Submission, now: int) -> None:
        """The final answer: a denial where a repeat does no harm, else an abandonment; at once."""
        self._close(submission)
        if not submission.relays:
            submission.tariff.usual.unsent.add(now)
        if not self._may_deny(submission):
            self.port.abandon(submission)
        else:
            most = micros(self.limits.get("MaxRetryAfter", 0)) if self.limits.get("RetryAfter") else 0
            # Come back spread over the longest wait that clients honour, so that they do not return together.
            self.port.deny(submission, int(most * (0.5 + 0.5 * self.random())))

    def _close(self, submission: Submission) -> None:
        submission.ended = True
        self._unhold(submission)
        self._give_up_turn(submission)

    def _unhold(self, submission: Submission) -> None:
        if submission.held:
            submission.held = False
            (self.further if submission in self.further else self.held).remove(submission)

    def client_left(self, submission: Submission, now: int) -> None:
        # Danger: a flood that is asked and withdrawn would earn relays for others; it earns nothing.
        if not submission.foreign:
            self.accepted.add(submission.arrived, -1)
        self._close(submission)
        if submission.relay is not None and self.limits.get("Cancel"):
            self.port.withdraw(submission.relay)

    def noted(self, relay: Relay, topic: Topic, value: float, now: int) -> None:
        submission, relay.noted = relay.submission, now
        relay.engine.limiter.hear(now)
        if topic is Topic.WAITS and value == 2:
            # Minded for two notes' time; what waits may run elsewhere, and has lost nothing yet.
            relay.engine.limiter.blocked[submission.data_set] = now + 2 * micros(self.family["TellsEvery"])
            others = (one for one in self.ready if not self._stalls(submission, one, now))
            if len(submission.relays) == 1 and any(one.limiter.permits(submission, now) for one in others):
                self._call_back(relay, now)
        early = topic is not Topic.SHARE_DONE or submission.tariff.usual.seen < 10
        if early or relay.ending or submission.ended:
            return
        # Danger: a bad plan, drawn for each relay anew, holds threads and memory many times as long. Four
        # times the expected time; work that was as heavy on an earlier relay is heavy by itself.
        relay.projected = (now - relay.sent) / max(value, 0.01)
        earlier = min((other.projected for other in submission.relays[:-1] if other.projected), default=0)
        usual = 4 * submission.expected * max(1.0, self.pace)
        # Danger: one as heavy as a dozen holds up a dozen, and one that will be late wastes its work. The
        # share told is rough: after a window, seven tenths of what it projects must fit.
        late = now > relay.sent + WINDOW and relay.sent + 0.7 * relay.projected > submission.hard_stop
        if relay.projected > max(usual, 2 * earlier):
            self._call_back(relay, now)
        elif late or earlier and self.held and relay.projected > 3 * usual:
            if self._may_deny(submission) and not relay.called_off and self.limits.get("Cancel"):
                self.hopeless(relay, now)

    def listed(self, known: Iterable[tuple[Engine, tuple]], complete: bool, now: int) -> None:
        cores, named = self.family.get("CpuOfKind", []), set()
        for engine, (machine, zone, cell, started, standing) in known:
            named.add(engine)
            if engine.limiter is None or started != engine.started and started > 0:
                # Danger: a restarted engine is cold; what was learnt before says nothing now, but what was
                # sent to it is still to come back.
                limiter = Limiter(cores[machine] if machine < len(cores) else 1, self.gateways, self.fleet)
                if engine.limiter is not None:
                    limiter.out, limiter.threads = engine.limiter.out, engine.limiter.threads
                engine.limiter = limiter
                if now < started + micros(self.rules.get("WarmUp", 0)):
                    # Danger: all gateways hear of it at once; each begins at some time of its first turn.
                    limiter.cold = now + 1 + int(self._cold_turn(engine) * self.random())
            engine.machine, engine.zone, engine.cell = machine, zone, cell
            engine.started, engine.standing = started, standing
            self.engines[engine] = None
        for engine in list(self.engines):
            if complete and engine not in named:
                engine.standing = Standing.GONE
            if engine.standing is Standing.GONE and not engine.limiter.out:
                del self.engines[engine]
        # Danger: nothing new goes to an engine that drains or is gone; the grace is not used.
        self.ready = [engine for engine in self.engines if engine.standing is Standing.READY]
        self._release(now)

    def list_failed(self, now: int) -> None:
        self.port.wake(WINDOW, lambda _: self.port.subscribe())  # a failed call costs the list too

    def probed(self, engine: Engine, ending: Ending, report: Mapping[str, float], now: int) -> None:
        limiter = engine.limiter
        if ending is Ending.FULFILLED:
            limiter.hear(now)
            limiter.trial_at = now if limiter.mute else limiter.trial_at
        elif ending is not Ending.FULL:
            self._fault(engine, 1, False, now)
        self._heed(engine, report, now)

    def _sweep(self, now: int) -> None:
        # Danger: should this one fail, the next must come all the same, or nothing held is ever answered.
        self.port.wake(SWEEP, self._sweep)
        self.swept += 1
        if self.swept % (WINDOW // SWEEP) == 0:
            for engine in (*self.engines, *self.halls):
                engine.limiter.close_window()
                engine.limiter.draw = self.random()
        # Where half of the engines are in doubt, they are not the odd ones out, and doubt decides nothing.
        # With another hall to go to, those of this one need not be the measure: most of them may be dead.
        elsewhere = any(hall.standing is Standing.READY for hall in self.halls)
        doubted = sum(engine.limiter.doubted for engine in self.ready)
        self.doubt_counts = elsewhere or 2 * doubted <= len(self.ready)
        # Danger: what engines that have fallen silent hold would leave no room for any other.
        self.fleet.threads = sum(engine.limiter.threads for engine in self.ready if not engine.limiter.mute)
        self.fleet.limit = sum(engine.limiter.limit for engine in self.ready)
        self._listen(now)
        failing = [engine for engine in self.ready if engine.limiter.doubted and not engine.limiter.mute]
        for submission in [held for held in self.held + self.further if now >= held.leave_by]:
            turn = self._is_turn(submission, now)
            if not (turn and any(self._send(submission, now, engine) for engine in failing)):
                self._end(submission, now)
        self.key_free = {key: free for key, free in self.key_free.items() if now < free}
        if self.settings.get("Report", {}).get("Source") == "on_probe" and self.limits.get("Probes"):
            # One after the other, each twice a second at the most: reports are about that fresh.
            while self.probes >= 1 and self.ready:
                self.probes -= 1
                self.probed_last = (self.probed_last + 1) % len(self.ready)
                self.port.probe(self.ready[self.probed_last])
        self._release(now)
