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

from cresstray.policy.deadlines import (
    ATTEMPT_MARGIN_US,
    DEADLINE_MARGIN_US,
    SWEEP_INTERVAL_US,
    WINDOW_US,
)
from cresstray.policy.engine_state import EngineState
from cresstray.policy.load_signals import FleetSignals
from cresstray.policy.outlier_detection import OutlierDetector, is_overdue
from cresstray.policy.ports import AdmissionRules, PolicyPort
from cresstray.policy.settings import MissingSettingError, PolicySettings
from cresstray.policy.sliding_window import SlidingWindow
from cresstray.policy.slow_start import SlowStartPolicy
from cresstray.policy.types import (
    NOT_EXECUTED,
    POSSIBLY_RUNNING,
    STARVED_RANK,
    Attempt,
    EndpointState,
    Engine,
    Outcome,
    ProgressKind,
    Request,
    RequestClass,
)

# Danger: a repeat must reach its engine within the memory of the first; it leaves this long before its end.
DEDUP_MARGIN_US = 50_000


class PolicyController:
    def __init__(self, port: PolicyPort, settings: PolicySettings, seed: int, now: int) -> None:
        self.port = port
        self.settings = settings
        self.random = random.Random(seed).random
        self.admission_rules: AdmissionRules | None = None  # what the fleet has agreed on, where it does
        self.gateway_count = settings.gateway_count
        self.request_classes = settings.request_classes
        self.engines: dict[Engine, None] = {}
        self.ready_engines: list[Engine] = []
        self.queue: list[Request] = []  # first relays, by rank
        self.retry_queue: list[Request] = []  # further relays, in a line of their own behind them
        self.queues: dict[int, deque[Request]] = {}
        self.key_free: dict[int, int] = {}
        # Danger: a further relay that crosses halls is sent later than it is counted here, by so much at
        # most.
        budget = settings.retry.budget_window_us or 0
        ahead = settings.retry.forwarding_delay_us
        self.accepted = SlidingWindow(max(0, budget - ahead), 20)  # rounding costs a twentieth
        self.relayed_again = SlidingWindow(budget + ahead, 20)
        self.remote_sites: list[
            Engine
        ] = []  # gateways of other halls, each as one engine that is never drawn
        self.payoff = self.work = self.time = self.pace = 1.0  # means; pace: latency against expected time
        self.swept = 0
        self.fleet = FleetSignals()
        self.outliers = OutlierDetector()
        self.slow_start = SlowStartPolicy(
            settings.slow_start, settings.request_classes, settings.gateway_count
        )
        self.idlest: list[Engine] = []  # the one of late, or none
        self.probes, self.probed_last = 0.0, 0  # probes that may be spent
        if settings.must_subscribe:
            port.subscribe_to_endpoints()
        port.call_later(SWEEP_INTERVAL_US, self._sweep)

    # Accept: from here on the submission is owed one final answer.

    def accept(self, request: Request, now: int) -> None:
        request_class, arrived = request.request_class, request.arrived_us
        request.expected_latency_us = request_class.latency.expected_us(request)
        request.objective_deadline_us = arrived + int(
            request_class.latency_objective_us + request_class.objective_stretch * request.expected_latency_us
        )
        # Held until it can no longer be answered within its soft limit, a tenth of its time at the least.
        tenth = now + (request.deadline_us - now) // 10
        in_time = request.objective_deadline_us - 3 * request.expected_latency_us // 2
        request.latest_dispatch_us = min(request.deadline_us - DEADLINE_MARGIN_US, max(tenth, in_time))
        density = request_class.value / (request.expected_latency_us * request_class.threads)
        request.queue_rank = STARVED_RANK * self._passed_over(request_class, now) - density
        if request.is_forwarded_in:
            # It counts, and earns further relays, where it was accepted; here it gives way to our own.
            request.latest_dispatch_us = min(
                request.latest_dispatch_us, now + (0 if self.queue else request.max_queue_us)
            )
        else:
            self.accepted.add(arrived)
            # Danger: many gateways' probes at a fixed rate cost more than they tell. One for two of these.
            self.probes = min(self.probes + 0.5, 1 + len(self.ready_engines) / 5)
            self.outliers.on_accepted()
        if request_class.is_ordered and request.ordering_key:
            self.queues.setdefault(request.ordering_key, deque()).append(request)
        self._offer(request, now)

    def _passed_over(self, request_class: RequestClass, now: int) -> bool:
        # Danger: while the line is never empty, what pays least for its work would never run. A tariff of
        # which less than half as much gets its relay as of all goes before the others.
        usual = [
            (one.latency.dispatched.upper_bound(now), one.latency.never_dispatched.upper_bound(now))
            for one in self.request_classes
        ]
        sent, unsent = map(sum, zip(*usual))
        own, lost = usual[request_class.index]
        return lost >= 2 and 2 * own * (sent + unsent) < sent * (own + lost)

    # Turns: submissions of one key run one after another, in the order they were accepted.

    def _is_turn(self, request: Request, now: int) -> bool:
        if not (request.request_class.is_ordered and request.ordering_key):
            return True
        rested = bool(request.attempts) or now >= self.key_free.get(request.ordering_key, 0)
        return rested and self.queues[request.ordering_key][0] is request

    def _give_up_turn(self, request: Request) -> None:
        # Danger: an ended submission whose relay is still out keeps its turn, or two of a key would run.
        queue = self.queues.get(request.ordering_key) if request.request_class.is_ordered else None
        if queue and request.is_finished and not request.current_attempt and request in queue:
            queue.remove(request)
            if not queue:
                del self.queues[request.ordering_key]

    # Hold: first relays by payoff for their expected work, further relays in their own line behind them.

    def _offer(self, request: Request, now: int) -> None:
        # Danger: in overload each arrival would try the whole fleet; behind its own tariff it waits.
        request_class, last = request.request_class, request.is_forwarded_in or bool(request.attempts)
        alike = (
            None
            if request_class.locks_data_set or request_class.is_ordered
            else request.replica_read or request_class
        )
        behind = (
            self.queue
            if last
            else any((held.replica_read or held.request_class) is alike for held in self.queue)
        )
        # Danger: what has no time beyond the margin would only be sent to be given up, on links made for it.
        barred = self.admission_rules and not self.admission_rules.admits(request, now)
        in_time = now < request.deadline_us - ATTEMPT_MARGIN_US
        goes = in_time and not (behind or barred) and self._is_turn(request, now)
        if goes and self._send(request, now):
            return
        if barred or now >= request.latest_dispatch_us:
            self._end(request, now)
            return
        request.is_queued = True
        insort(self.retry_queue if last else self.queue, request, key=lambda one: one.queue_rank)

    def _release(self, now: int, freed: Engine | None = None) -> None:
        # Danger: the whole fleet tried for each answer is too slow; one frees a permit on its engine only.
        # It tries the first of the line, some for each tariff; the others wait for the sweep.
        for line in (self.queue, self.retry_queue):
            stuck = set()
            for request in line[:64] if freed else list(line):
                # Danger: thousands held would be tried for each permit; one failure speaks for its like.
                kind = request.replica_read or request.request_class
                if kind in stuck or not self._is_turn(request, now):
                    continue
                if not self._send(request, now, freed):
                    stuck.add(kind)

    # Choose: of two random engines that may take it, the less loaded.

    def _choose(self, request: Request, now: int, freed: Engine | None = None) -> Engine | None:
        idempotent, tried = (
            request.request_class.is_idempotent,
            {attempt.engine for attempt in request.attempts},
        )
        drawn, near, spare = [], [], None
        # Danger: ranking a large fleet for each send is too slow; they are drawn until two and two are found.
        pool, picks = [freed] if freed else self.ready_engines + self.idlest, 2 + len(self.idlest)
        for left in range(len(pool), 0, -1):
            at = left - 1 if left > len(self.ready_engines) else int(self.random() * left)
            engine, pool[at] = pool[at], pool[left - 1]
            state = engine.policy_state
            if len(drawn) == picks and engine.zone != self.settings.zone:
                continue
            if not state.permits(request, now):
                self.slow_start.on_refused(state, now, self.random)
                continue
            full = request.is_forwarded_in and state.spare_threads(now, 1.0) < request.request_class.threads
            if full or not self._may_take(request, engine, now):
                continue
            # A doubted engine gets one relay at a time that may safely run again, now and then. Danger: while
            # the others are full, one that fails has room, and fails all that could still wait for them. If
            # it answers, it gets what has no other chance left, as part of that ends well.
            must_wait = False
            if state.health.is_suspected and self.outliers.is_decisive:
                if not idempotent:
                    continue
                must_wait = not self.outliers.may_probe(state.health, now)
                if must_wait and (state.health.is_unresponsive or now < request.latest_dispatch_us):
                    continue
            if must_wait or engine in tried or self._stalls(request, engine, now):
                spare = spare or engine
                continue
            found = (state.load(request.request_class.threads, now), left, engine)
            if len(drawn) < picks:
                drawn.append(found)
            if engine.zone == self.settings.zone:
                near.append(found)
                if len(near) == picks:
                    break
        if not (drawn or spare) or self._load_must_wait(request, now):
            return None
        # Crossing zones costs: engines of our own zone will do up to 0.6 threads a core more.
        best = min(drawn, default=(0.0, 0, spare))
        own = min(near, default=best)
        return own[-1] if own[0] <= best[0] + 0.6 else best[-1]

    def _cross(self, request: Request, near: Engine | None, freed: Engine | None, now: int) -> Engine | None:
        """A far hall in place of the near engine, if any, where the way to it takes the submission."""
        request_class, attempts = request.request_class, request.attempts
        # Danger: halls that each believe the other idle would pass work back and forth: one crossing in a
        # life. What must run in order, or on certain engines only, stays, as the far hall knows neither from
        # here.
        stays = request.was_forwarded or request.is_forwarded_in or freed and not freed.forwarding
        if (
            stays
            or request_class.is_ordered
            or request_class.allowed_zones is not None
            or request_class.allowed_instance_types is not None
        ):
            return near
        if attempts and not self._budget_left(request, now):
            return near
        load = near.policy_state.load(request_class.threads, now) if near else None
        for hall in self.remote_sites:
            state = hall.policy_state
            permitted = state.limit.running_threads + request_class.threads <= state.limit.value
            permitted = permitted and self._may_take(request, hall, now)
            believed = not state.health.is_suspected or now >= state.health.next_probe_us
            if permitted and believed and hall.forwarding.accepts(request, load, now):
                request.was_forwarded = True
                return hall
        return near

    def on_site_updated(self, hall: Engine, cores: float, standing: EndpointState, now: int) -> None:
        """A gateway of another hall, with what its hall has for us in cores; its limit always binds."""
        if hall.policy_state is None:
            hall.policy_state = EngineState(max(1.0, cores), 1, self.fleet)
            self.remote_sites.append(hall)
        hall.policy_state.limit.resize(max(1.0, cores))
        hall.state = standing
        self._release(now)

    def on_site_capacity(self, hall: Engine, now: int) -> None:
        self._release(now, hall)

    def spare_capacity(self, now: int) -> tuple[float, float, float]:
        """What other halls may be told: our part of the threads to spare and of all cores, and our pace."""
        # From a thread a core on, ours slows down; what is told is behind, and others are told the like.
        spare = sum(max(0.0, engine.policy_state.spare_threads(now, 0.95)) for engine in self.ready_engines)
        cores = sum(engine.policy_state.limit.cores for engine in self.ready_engines)
        return 0.0 if self.queue else spare / self.gateway_count, cores / self.gateway_count, self.pace

    def on_deadline_unreachable(self, attempt: Attempt, now: int) -> None:
        """What is out can't be answered in time any more: the final answer goes at once."""
        if attempt.outcome is None and not attempt.request.is_finished:
            self.port.cancel_attempt(attempt)
            self._end(attempt.request, now)

    def _may_take(self, request: Request, engine: Engine, now: int) -> bool:
        request_class = request.request_class
        # Danger: an engine that drains still reports, and may be the idlest.
        if engine.state is not EndpointState.READY:
            return False
        elsewhere = request_class.allowed_zones is not None and engine.zone not in request_class.allowed_zones
        if (
            elsewhere
            or request_class.allowed_instance_types is not None
            and engine.instance_type not in request_class.allowed_instance_types
        ):
            return False
        if self.admission_rules and not self.admission_rules.allows(request, engine, now):
            return False
        for attempt in request.attempts:
            if attempt.outcome not in NOT_EXECUTED and request_class.is_deduplicated:
                # Danger: a repeat outside the group, or past its memory, would take effect twice.
                same = {
                    "zone": engine.zone == attempt.engine.zone,
                    "cell": engine.cell == attempt.engine.cell,
                }
                over = now >= attempt.sent_us + request_class.dedup_window_us - DEDUP_MARGIN_US
                if over or not same.get(request_class.dedup_scope, request_class.dedup_scope == "all"):
                    return False
        return self.slow_start.has_capacity(engine, request_class, now)

    def _stalls(self, request: Request, engine: Engine, now: int) -> bool:
        # Danger: beside a load of its data set it would stand still, and keep its memory and our permit.
        data_set, state = request.data_set, engine.policy_state
        if not request.request_class.waits_for_data_set:
            return False
        ours = (attempt.request for attempt in state.limit.attempts)
        held = any(other.request_class.locks_data_set and other.data_set == data_set for other in ours)
        return held or now < state.signals.locked_until_us.get(data_set, 0)

    def _load_must_wait(self, request: Request, now: int) -> bool:
        # Danger: loads of a hot data set, spread over all engines, leave nowhere to read it. A third of the
        # engines may hold one, where other tariffs stand still for it.
        if not request.request_class.locks_data_set or not any(
            one.waits_for_data_set and not one.locks_data_set for one in self.request_classes
        ):
            return False
        return 3 * sum(self._stalls(request, one, now) for one in self.ready_engines) >= len(
            self.ready_engines
        )

    def _send(self, request: Request, now: int, freed: Engine | None = None) -> bool:
        again = bool(request.attempts)
        if self.admission_rules and not self._counted(now):
            return False
        far_only = freed is not None and freed.forwarding is not None
        stays = far_only or again and not self._budget_left(request, now)
        engine = None if stays else self._choose(request, now, freed)
        if self.remote_sites:
            engine = self._cross(request, engine, freed, now)
        if engine is None:
            return False
        self._unhold(request)
        request_class, state = request.request_class, engine.policy_state
        attempt = Attempt(request, engine, len(request.attempts), now)
        request.attempts.append(attempt)
        request.current_attempt = attempt
        state.limit.start_attempt(attempt)
        self.fleet.running_threads += request_class.threads
        if state.limit.running_threads > state.limit.value:
            state.limit.draw = self.random()
        if state.slow_start.next_send_us:
            self.slow_start.on_sent(state, request_class, now)
        if state.health.is_suspected:
            self.outliers.on_probe_sent(state.health, now)
        (self.relayed_again if again else request_class.latency.dispatched).add(now)
        self._terms(request)
        self.port.send_attempt(attempt, max(1000, request.deadline_us - now - ATTEMPT_MARGIN_US))
        return True

    def _counted(self, now: int) -> bool:
        """Whether this gateway may relay; shares follow the number of gateways that the fleet agrees on."""
        count = self.admission_rules.gateway_count(now)
        if count not in (0, self.gateway_count):
            for state in [engine.policy_state for engine in self.engines]:
                state.limit.scale(self.gateway_count / count)
            self.gateway_count = count
            self.slow_start.gateway_count = count
        return count > 0

    def _budget_left(self, request: Request, now: int) -> bool:
        # Danger: relays beyond the first are rationed over any window; the ring rounds to the safe side.
        retry = self.settings.retry
        most = retry.free_retries + retry.retry_ratio * self.accepted.lower_bound(now)
        scale = self.admission_rules.retry_budget_scale(request, now) if self.admission_rules else 1
        if scale <= 0 or retry.budget_window_us is None:
            return scale > 0
        return self.relayed_again.upper_bound(now) + 1 <= most * scale

    def on_attempt_sent(self, attempt: Attempt, now: int) -> None:
        # Danger: counted as chosen, one whose connection comes up late would leave beside the next window's.
        if attempt.number:
            self.relayed_again.add(attempt.sent_us, -1)
            self.relayed_again.add(now)

    def _terms(self, request: Request) -> None:
        # Three tenths over the estimate: enough for a close one, little taken from others.
        megabytes, priority = request.memory_mb * 1.3 if self.settings.grants_memory else 0.0, 1
        if self.settings.grants_priority:
            # Four ranks by payoff for work against the mean of all: twice and half the mean part them.
            density = -request.queue_rank * self.work / self.payoff
            priority = 3 if density > 2 else 2 if density > 1 else 1 if density > 0.5 else 0
        if megabytes or priority != 1:
            self.port.assign_resources(request, megabytes, priority)

    def on_attempt_finished(
        self,
        attempt: Attempt,
        ending: Outcome,
        latency: int,
        no_more: bool,
        report: Mapping[str, float],
        now: int,
    ) -> None:
        if attempt.outcome is not None:
            return
        request, state = attempt.request, attempt.engine.policy_state
        attempt.outcome = ending
        request.current_attempt = None
        state.limit.finish_attempt(attempt)
        self.fleet.running_threads = max(0, self.fleet.running_threads - request.request_class.threads)
        if attempt.engine.forwarding and ending is Outcome.EXPIRED_BEFORE_SEND:
            request.attempts.remove(attempt)  # no engine of either hall has seen it
        self._heed(attempt.engine, report, now)
        self._learn(attempt, ending, latency, now)
        if ending in POSSIBLY_RUNNING and request.request_class.is_ordered and request.ordering_key:
            # Danger: the relay may run on, and the key's next would run beside it.
            self.key_free[request.ordering_key] = now + self.settings.ordering_gap_us + 1000  # rounded up
        if no_more or request.is_finished:
            self._close(request)
        elif self._worth_again(request, now):
            # A further relay waits as long as a first one would, a window at the least.
            request.latest_dispatch_us = min(
                request.deadline_us - DEADLINE_MARGIN_US, max(request.latest_dispatch_us, now + WINDOW_US)
            )
            self._offer(request, now)
        else:
            self._end(request, now)
        self._give_up_turn(request)
        self._release(now, attempt.engine)

    def _learn(self, attempt: Attempt, ending: Outcome, latency: int, now: int) -> None:
        request, state = attempt.request, attempt.engine.policy_state
        if ending is Outcome.SUCCEEDED:
            # Danger: one heavy draw in a thin window would cut a healthy limit; a sample counts four at most.
            ratio = min(4.0, latency / request.expected_latency_us)
            state.limit.record_sample(ratio)
            self.pace += 0.01 * (ratio - self.pace)  # some hundred samples: the fleet's pace, not a moment's
            request.request_class.latency.learn(request, latency)
            self.payoff += 0.005 * (
                request.request_class.value - self.payoff
            )  # over some two hundred answers
            self.time += 0.005 * (request.expected_latency_us - self.time)
            self.work += 0.005 * (request.expected_latency_us * request.request_class.threads - self.work)
            state.health.on_success(now)
        elif ending is Outcome.OVERLOADED:
            state.limit.has_window_failed, state.signals.overloaded_until_us = True, now + WINDOW_US
        elif ending in (Outcome.FAILED, Outcome.PROTOCOL_ERROR, Outcome.CONNECTION_LOST):
            # Danger: links between healthy ends are reset too. Cuts for that leave limits that are all or
            # none, and doubt takes away engines that are needed. A dead one refuses the next connection.
            if ending is not Outcome.CONNECTION_LOST:
                state.health.on_answer(now)
            self._fault(attempt.engine, 0, ending is Outcome.FAILED, now)
        elif ending is Outcome.UNREACHABLE:
            self._fault(attempt.engine, 2 * (state.health.last_answer_us < attempt.sent_us), True, now)

    def _fault(self, engine: Engine, lost: int, counts: bool, now: int) -> None:
        state = engine.policy_state
        state.limit.has_window_failed = state.limit.has_window_failed or counts
        if state.health.on_fault(lost, counts, now):
            kind = "silent" if state.health.is_unresponsive else "failing"
            self.port.log_event(f"{now / 1e6:.1f} s: an engine in doubt, {kind}")

    def _heed(self, engine: Engine, report: Mapping[str, float], now: int) -> None:
        if not report:
            return
        state, rare = engine.policy_state, now - engine.policy_state.signals.updated_us > 2 * WINDOW_US
        # What others run there is what the engine holds beyond our own, at a tariff mix like ours.
        held = max(0.0, report.get("concurrent", 0.0) - len(state.limit.attempts) - 1)
        state.signals.has_idle_cores = report.get("load_share", 1.0) <= 0.9
        # Memory overgranted beyond a report's noise strains it, or a line for it.
        strain = max(report.get("x0", 0.0) / 1.15, float(report.get("depth", 0.0) >= 1))
        told = (held * self.work / self.time / state.limit.cores, strain, now)
        # The older what was known, the more the new counts; of the fleet over two seconds, or four reports.
        state.signals.update(min(1.0, max(0.3, (now - state.signals.updated_us) / WINDOW_US / 2)), *told)
        self.fleet.update(min(0.25, (now - self.fleet.updated_us) / WINDOW_US / 2), *told)
        # Danger: known to all, the idlest would be flooded. Where most are seldom heard of, each gateway
        # knows another, and it is a third choice.
        if rare and all(state.load(0, now) <= other.policy_state.load(0, now) for other in self.idlest):
            self.idlest = [engine]

    # Doubt: an engine that fails, is silent or cannot be reached loses new work until trials go well.

    def _listen(self, now: int) -> None:
        """Looks after what is out: relays that should long be back, and engines that answer nothing."""
        for engine in (*self.engines, *self.remote_sites):
            state = engine.policy_state
            for attempt in list(state.limit.attempts):
                # Danger: an engine cut off, dead or stuck, or a link that loses answers, gives no samples.
                # Four times the expected time, as work spreads widely, at the fleet's pace, no note of late.
                expected, age = attempt.request.expected_latency_us, now - attempt.sent_us
                overdue = is_overdue(attempt, self.pace, self.settings.progress_interval_us or 0, now)
                if overdue and not attempt.is_overdue:
                    attempt.is_overdue = True
                    self._fault(engine, state.health.last_answer_us < attempt.sent_us, False, now)
                if state.health.is_suspected and (
                    overdue or state.health.is_unresponsive and age >= expected + WINDOW_US // 2
                ):
                    self._call_back(attempt, now)

    def _call_back(self, attempt: Attempt, now: int) -> None:
        request = attempt.request
        if attempt.cancel_requested or attempt.outcome or request.is_finished or not self.settings.can_cancel:
            return
        again = self._worth_again(request, now) and self._budget_left(request, now)
        if again and self.outliers.is_decisive:
            attempt.cancel_requested = True
            self.port.cancel_attempt(attempt)

    def _worth_again(self, request: Request, now: int) -> bool:
        stop = request.deadline_us if request.request_class.late_value > 0 else request.objective_deadline_us
        if now + request.expected_latency_us >= stop or now >= request.deadline_us - DEADLINE_MARGIN_US:
            return False
        most = 1 if request.is_forwarded_in else self.settings.retry.max_attempts
        # Danger: what no engine can run would use up the ration; two of them have said so by then.
        errors = [attempt.outcome for attempt in request.attempts].count(Outcome.FAILED)
        if len(request.attempts) >= most or errors >= 2:
            return False
        return request.request_class.is_deduplicated or self._may_deny(request)

    def _may_deny(self, request: Request) -> bool:
        # Danger: an unrepeatable submission that may have run must not be sent or denied again.
        request_class = request.request_class
        if (
            request_class.is_idempotent
            or request_class.is_deduplicated
            and request_class.dedup_scope == "all"
        ):
            return True
        return all(attempt.outcome in NOT_EXECUTED for attempt in request.attempts)

    def _end(self, request: Request, now: int) -> None:
        """The final answer: a denial where a repeat does no harm, else an abandonment; at once."""
        self._close(request)
        if not request.attempts:
            request.request_class.latency.never_dispatched.add(now)
        if not self._may_deny(request):
            self.port.fail_request(request)
        else:
            most = self.settings.max_retry_after_us
            # Come back spread over the longest wait that clients honour, so that they do not return together.
            self.port.reject_request(request, int(most * (0.5 + 0.5 * self.random())))

    def _close(self, request: Request) -> None:
        request.is_finished = True
        self._unhold(request)
        self._give_up_turn(request)

    def _unhold(self, request: Request) -> None:
        if request.is_queued:
            request.is_queued = False
            (self.retry_queue if request in self.retry_queue else self.queue).remove(request)

    def on_client_cancelled(self, request: Request, now: int) -> None:
        # Danger: a flood that is asked and withdrawn would earn relays for others; it earns nothing.
        if not request.is_forwarded_in:
            self.accepted.add(request.arrived_us, -1)
        self._close(request)
        if request.current_attempt is not None and self.settings.can_cancel:
            self.port.cancel_attempt(request.current_attempt)

    def on_progress(self, attempt: Attempt, topic: ProgressKind, value: float, now: int) -> None:
        request, attempt.last_progress_us = attempt.request, now
        attempt.engine.policy_state.health.on_answer(now)
        if topic is ProgressKind.WAITING_FOR_DATA_SET and value == 2:
            # Minded for two notes' time; what waits may run elsewhere, and has lost nothing yet.
            if self.settings.progress_interval_us is None:
                raise MissingSettingError("TellsEvery")
            locked_until = now + 2 * self.settings.progress_interval_us
            attempt.engine.policy_state.signals.locked_until_us[request.data_set] = locked_until
            others = (one for one in self.ready_engines if not self._stalls(request, one, now))
            if len(request.attempts) == 1 and any(one.policy_state.permits(request, now) for one in others):
                self._call_back(attempt, now)
        early = topic is not ProgressKind.FRACTION_DONE or request.request_class.latency.sample_count < 10
        if early or attempt.outcome or request.is_finished:
            return
        # Danger: a bad plan, drawn for each relay anew, holds threads and memory many times as long. Four
        # times the expected time; work that was as heavy on an earlier relay is heavy by itself.
        attempt.projected_latency_us = (now - attempt.sent_us) / max(value, 0.01)
        earlier = min(
            (other.projected_latency_us for other in request.attempts[:-1] if other.projected_latency_us),
            default=0,
        )
        usual = 4 * request.expected_latency_us * max(1.0, self.pace)
        # Danger: one as heavy as a dozen holds up a dozen, and one that will be late wastes its work. The
        # share told is rough: after a window, seven tenths of what it projects must fit.
        late = (
            now > attempt.sent_us + WINDOW_US
            and attempt.sent_us + 0.7 * attempt.projected_latency_us > request.deadline_us
        )
        if attempt.projected_latency_us > max(usual, 2 * earlier):
            self._call_back(attempt, now)
        elif late or earlier and self.queue and attempt.projected_latency_us > 3 * usual:
            if self._may_deny(request) and not attempt.cancel_requested and self.settings.can_cancel:
                self.on_deadline_unreachable(attempt, now)

    def on_endpoints_updated(self, known: Iterable[tuple[Engine, tuple]], complete: bool, now: int) -> None:
        named = set()
        for engine, (machine, zone, cell, started, standing) in known:
            named.add(engine)
            if engine.policy_state is None or started != engine.started_us and started > 0:
                # Danger: a restarted engine is cold; what was learnt before says nothing now, but what was
                # sent to it is still to come back.
                state = EngineState(self.settings.cores(machine), self.gateway_count, self.fleet)
                if engine.policy_state is not None:
                    state.limit.take_over_attempts(engine.policy_state.limit)
                engine.policy_state = state
                self.slow_start.begin(engine.policy_state, started, now, self.random)
            engine.instance_type, engine.zone, engine.cell = machine, zone, cell
            engine.started_us, engine.state = started, standing
            self.engines[engine] = None
        for engine in list(self.engines):
            if complete and engine not in named:
                engine.state = EndpointState.REMOVED
            if engine.state is EndpointState.REMOVED and not engine.policy_state.limit.attempts:
                del self.engines[engine]
        # Danger: nothing new goes to an engine that drains or is gone; the grace is not used.
        self.ready_engines = [engine for engine in self.engines if engine.state is EndpointState.READY]
        self._release(now)

    def on_endpoint_list_failed(self, now: int) -> None:
        self.port.call_later(
            WINDOW_US, lambda _: self.port.subscribe_to_endpoints()
        )  # a failed call costs the list too

    def on_probe_finished(
        self, engine: Engine, ending: Outcome, report: Mapping[str, float], now: int
    ) -> None:
        state = engine.policy_state
        if ending is Outcome.SUCCEEDED:
            state.health.on_check_success(now)
        elif ending is not Outcome.OVERLOADED:
            self._fault(engine, 1, False, now)
        self._heed(engine, report, now)

    def _sweep(self, now: int) -> None:
        # Danger: should this one fail, the next must come all the same, or nothing held is ever answered.
        self.port.call_later(SWEEP_INTERVAL_US, self._sweep)
        self.swept += 1
        if self.swept % (WINDOW_US // SWEEP_INTERVAL_US) == 0:
            for engine in (*self.engines, *self.remote_sites):
                engine.policy_state.limit.close_window()
                engine.policy_state.limit.draw = self.random()
        # Where half of the engines are in doubt, they are not the odd ones out, and doubt decides nothing.
        # With another hall to go to, those of this one need not be the measure: most of them may be dead.
        elsewhere = any(hall.state is EndpointState.READY for hall in self.remote_sites)
        doubted = sum(engine.policy_state.health.is_suspected for engine in self.ready_engines)
        self.outliers.update(doubted, len(self.ready_engines), elsewhere)
        # Danger: what engines that have fallen silent hold would leave no room for any other.
        self.fleet.running_threads = sum(
            engine.policy_state.limit.running_threads
            for engine in self.ready_engines
            if not engine.policy_state.health.is_unresponsive
        )
        self.fleet.total_limit = sum(engine.policy_state.limit.value for engine in self.ready_engines)
        self._listen(now)
        failing = [
            engine
            for engine in self.ready_engines
            if engine.policy_state.health.is_suspected and not engine.policy_state.health.is_unresponsive
        ]
        for request in [held for held in self.queue + self.retry_queue if now >= held.latest_dispatch_us]:
            turn = self._is_turn(request, now)
            if not (turn and any(self._send(request, now, engine) for engine in failing)):
                self._end(request, now)
        self.key_free = {key: free for key, free in self.key_free.items() if now < free}
        if self.settings.can_probe:
            # One after the other, each twice a second at the most: reports are about that fresh.
            while self.probes >= 1 and self.ready_engines:
                self.probes -= 1
                self.probed_last = (self.probed_last + 1) % len(self.ready_engines)
                self.port.probe_engine(self.ready_engines[self.probed_last])
        self._release(now)
