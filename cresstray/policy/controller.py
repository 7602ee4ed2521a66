"""The controller: takes the events of one gateway, and joins the parts of the policy that decide on them.

An adapter makes one `PolicyController`, hands it each event as a call with the time in whole microseconds,
and carries out what it asks of its `PolicyPort`. A request is scheduled, waits for its turn and for a permit,
is sent to an engine, and is retried or finished as its attempt ends. Each request gets one final answer.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Mapping

from cresstray.policy.admission_queue import AdmissionQueue
from cresstray.policy.deadlines import (
    ATTEMPT_MARGIN_US,
    DEADLINE_MARGIN_US,
    SWEEP_INTERVAL_US,
    WINDOW_US,
)
from cresstray.policy.engine_registry import EngineRegistry
from cresstray.policy.health_checks import HealthCheckSchedule
from cresstray.policy.latency_estimate import WorkloadAverages
from cresstray.policy.load_balancing import LoadBalancer
from cresstray.policy.load_signals import FleetSignals
from cresstray.policy.outcome_recorder import OutcomeRecorder
from cresstray.policy.outlier_detection import OutlierDetector, is_overdue
from cresstray.policy.ports import AdmissionRules, PolicyPort
from cresstray.policy.progress import ProgressVerdict, judge_progress
from cresstray.policy.resource_grants import grant_resources
from cresstray.policy.retry_policy import RetryPolicy
from cresstray.policy.settings import MissingSettingError, PolicySettings
from cresstray.policy.site_forwarding import SiteForwarding, SpareCapacity, spare_capacity
from cresstray.policy.slow_start import SlowStartPolicy
from cresstray.policy.types import (
    POSSIBLY_RUNNING,
    Attempt,
    EndpointDescription,
    EndpointState,
    Engine,
    Outcome,
    ProgressKind,
    Request,
)

SWEEPS_PER_WINDOW = WINDOW_US // SWEEP_INTERVAL_US
MIN_TIMEOUT_US = 1000
# The value of a progress update by which a request stands still, as a load has locked its data set.
DATA_SET_LOCKED = 2
# Below so many answers, what a class usually takes is not known well enough to call an attempt slow.
MIN_KNOWN_ANSWERS = 10
# Rounds a gap up to a whole millisecond.
ROUNDING_US = 1000
# Enum members are looked up slowly, and this one for each engine that is drawn.
_READY = EndpointState.READY


class PolicyController:
    """All decisions of one gateway on engines, queueing, retries and load shedding."""

    def __init__(self, port: PolicyPort, settings: PolicySettings, seed: int, now_us: int) -> None:
        self.port = port
        self.settings = settings
        self.random = random.Random(seed).random
        self.admission_rules: AdmissionRules | None = None  # of the fleet's configuration, if there is any
        self.gateway_count = settings.gateway_count
        self.request_classes = settings.request_classes
        self.fleet = FleetSignals()
        self.averages = WorkloadAverages()
        self.outlier_detector = OutlierDetector()
        self.slow_start = SlowStartPolicy(
            settings.slow_start, settings.request_classes, settings.gateway_count
        )
        self.engine_registry = EngineRegistry(settings, self.fleet, self.slow_start)
        self.retry_policy = RetryPolicy(settings.retry)
        self.admission_queue = AdmissionQueue(settings.request_classes)
        self.load_balancer = LoadBalancer(
            settings.zone, self.outlier_detector, self.slow_start, settings.request_classes
        )
        self.recorder = OutcomeRecorder(self.averages, self.load_balancer, self._log_event)
        self.site_forwarding = SiteForwarding(self.fleet)
        self.health_checks = HealthCheckSchedule()
        self._sweep_count = 0
        if settings.must_subscribe:
            port.subscribe_to_endpoints()
        port.call_later(SWEEP_INTERVAL_US, self._sweep)

    def _log_event(self, text: str) -> None:
        self.port.log_event(text)

    @property
    def engines(self) -> dict[Engine, None]:
        """The listed engines, and removed ones until their attempts have ended."""
        return self.engine_registry.engines

    @property
    def ready_engines(self) -> list[Engine]:
        """The engines that may get requests."""
        return self.load_balancer.ready_engines

    # Requests: admission, queueing and dispatch.

    def accept(self, request: Request, now_us: int) -> None:
        """Takes a request, which gets exactly one final answer from here on."""
        self.admission_queue.schedule(request, now_us)
        if not request.is_forwarded_in:
            # One from another site counts, and earns retries, where it was accepted.
            self.retry_policy.on_accepted(request)
            self.health_checks.on_accepted(len(self.load_balancer.ready_engines))
            self.outlier_detector.on_accepted()
        self.admission_queue.ordering.enqueue(request)
        self._send_or_queue(request, now_us)

    def _send_or_queue(self, request: Request, now_us: int) -> None:
        queue = self.admission_queue
        must_wait = queue.must_wait(request)
        is_barred = self.admission_rules is not None and not self.admission_rules.admits(request, now_us)
        # With no time beyond the margin it would be sent only to time out, on connections made for it.
        has_time = now_us < request.deadline_us - ATTEMPT_MARGIN_US
        if has_time and not must_wait and not is_barred and queue.ordering.may_run(request, now_us):
            if self._try_send(request, now_us):
                return
        if is_barred or now_us >= request.latest_dispatch_us:
            self._reject_or_fail(request, now_us)
            return
        queue.push(request)

    def _choose_engine(self, request: Request, now_us: int, freed: Engine | None = None) -> Engine | None:
        return self.load_balancer.choose(request, now_us, self.random, self._may_send, freed)

    def _may_send(self, request: Request, engine: Engine, now_us: int) -> bool:
        """Returns whether an engine may get a request at all, whatever its load."""
        # An engine that is draining still reports, and may be the least loaded.
        if engine.state is not _READY:
            return False
        request_class = request.request_class
        if not request_class.allows_placement(engine):
            return False
        if self.admission_rules and not self.admission_rules.allows(request, engine, now_us):
            return False
        if request.attempts and not self.retry_policy.may_repeat_on(request, engine, now_us):
            return False
        if not engine.policy_state.slow_start.next_send_us:
            return True
        return self.slow_start.has_capacity(engine, request_class, now_us)

    def _try_send(self, request: Request, now_us: int, freed: Engine | None = None) -> bool:
        """Sends a request, on the freed engine alone if there is one; returns whether it was sent."""
        is_retry = bool(request.attempts)
        if self.admission_rules and not self._update_gateway_count(now_us):
            return False
        is_site_only = freed is not None and freed.forwarding is not None
        is_local_barred = is_site_only or is_retry and not self._has_retry_budget(request, now_us)
        engine = None if is_local_barred else self._choose_engine(request, now_us, freed)
        if self.site_forwarding.sites:
            engine = self._forward_or_keep(request, engine, freed, now_us)
        if engine is None:
            return False
        self.admission_queue.discard(request)
        self._send(request, engine, is_retry, now_us)
        return True

    def _forward_or_keep(
        self, request: Request, near: Engine | None, freed: Engine | None, now_us: int
    ) -> Engine | None:
        if not self.site_forwarding.may_forward(request, freed):
            return near
        if request.attempts and not self._has_retry_budget(request, now_us):
            return near
        return self.site_forwarding.choose(request, near, self._may_send, now_us)

    def _send(self, request: Request, engine: Engine, is_retry: bool, now_us: int) -> None:
        request_class = request.request_class
        state = engine.policy_state
        attempt = Attempt(request, engine, len(request.attempts), now_us)
        request.attempts.append(attempt)
        request.current_attempt = attempt
        state.limit.start_attempt(attempt)
        self.fleet.running_threads += request_class.threads
        if state.limit.running_threads > state.limit.value:
            state.limit.draw = self.random()
        if state.slow_start.next_send_us:
            self.slow_start.on_sent(state, request_class, now_us)
        if state.health.is_suspected:
            self.outlier_detector.on_probe_sent(state.health, now_us)
        if is_retry:
            self.retry_policy.on_retry(now_us)
        else:
            request_class.latency.dispatched.add(now_us)
        grant = grant_resources(request, self.settings, self.averages)
        if grant:
            self.port.assign_resources(request, grant.memory_mb, grant.priority)
        timeout_us = max(MIN_TIMEOUT_US, request.deadline_us - now_us - ATTEMPT_MARGIN_US)
        self.port.send_attempt(attempt, timeout_us)

    def _update_gateway_count(self, now_us: int) -> bool:
        """Follows the number of gateways that the fleet agrees on; returns whether this one may send."""
        if self.admission_rules is None:
            return True
        count = self.admission_rules.gateway_count(now_us)
        if count not in (0, self.gateway_count):
            self.engine_registry.scale_limits(self.gateway_count / count)
            self.gateway_count = count
            self.slow_start.gateway_count = count
        return count > 0

    def _has_retry_budget(self, request: Request, now_us: int) -> bool:
        scale = self.admission_rules.retry_budget_scale(request, now_us) if self.admission_rules else 1
        return self.retry_policy.has_budget(now_us, scale)

    def on_attempt_sent(self, attempt: Attempt, now_us: int) -> None:
        """Takes notice that an attempt has been written to its connection."""
        if attempt.number:
            self.retry_policy.on_retry_sent(attempt, now_us)

    # Attempts: outcomes, retries and final answers.

    def on_attempt_finished(
        self,
        attempt: Attempt,
        outcome: Outcome,
        latency_us: int,
        is_final: bool,
        report: Mapping[str, float],
        now_us: int,
    ) -> None:
        """Records the outcome, then retries the request or finishes it.

        `is_final`: the client has its answer; `report`: the engine's load report, empty if there is none.
        """
        if attempt.outcome is not None:
            return
        request = attempt.request
        attempt.outcome = outcome
        request.current_attempt = None
        attempt.engine.policy_state.limit.finish_attempt(attempt)
        self.fleet.running_threads = max(0, self.fleet.running_threads - request.request_class.threads)
        if attempt.engine.forwarding and outcome is Outcome.EXPIRED_BEFORE_SEND:
            request.attempts.remove(attempt)  # no engine of either site has seen it
        self.recorder.on_report(attempt.engine, report, now_us)
        self.recorder.on_outcome(attempt, outcome, latency_us, now_us)
        if outcome in POSSIBLY_RUNNING:
            gap_us = self.settings.ordering_gap_us + ROUNDING_US
            self.admission_queue.ordering.block(request, now_us + gap_us)
        if is_final or request.is_finished:
            self._finish(request)
        elif self.retry_policy.is_worth_retrying(request, now_us):
            # A retry waits as long as a first attempt would, for a window at least.
            latest_us = max(request.latest_dispatch_us, now_us + WINDOW_US)
            request.latest_dispatch_us = min(request.deadline_us - DEADLINE_MARGIN_US, latest_us)
            self._send_or_queue(request, now_us)
        else:
            self._reject_or_fail(request, now_us)
        self.admission_queue.ordering.release(request)
        self._dispatch_queued(now_us, attempt.engine)

    def _dispatch_queued(self, now_us: int, freed: Engine | None = None) -> None:
        self.admission_queue.dispatch(now_us, freed, self._try_send)

    def _reject_or_fail(self, request: Request, now_us: int) -> None:
        """Gives the final answer: a rejection where a repeat does no harm, or else a failure."""
        self._finish(request)
        if not request.attempts:
            request.request_class.latency.never_dispatched.add(now_us)
        if not self.retry_policy.may_reject(request):
            self.port.fail_request(request)
        else:
            # Spread over the longest wait that clients honour, so that they do not return together.
            retry_after_us = int(self.settings.max_retry_after_us * (0.5 + 0.5 * self.random()))
            self.port.reject_request(request, retry_after_us)

    def _finish(self, request: Request) -> None:
        request.is_finished = True
        self.admission_queue.discard(request)
        self.admission_queue.ordering.release(request)

    def on_client_cancelled(self, request: Request, now_us: int) -> None:
        """Finishes a request that its client no longer waits for."""
        if not request.is_forwarded_in:
            self.retry_policy.on_client_cancelled(request)
        self._finish(request)
        if request.current_attempt is not None and self.settings.can_cancel:
            self.port.cancel_attempt(request.current_attempt)

    def on_deadline_unreachable(self, attempt: Attempt, now_us: int) -> None:
        """Answers a request at once whose attempt can't be answered in time any more."""
        if attempt.outcome is None and not attempt.request.is_finished:
            self.port.cancel_attempt(attempt)
            self._reject_or_fail(attempt.request, now_us)

    # Attempts in flight: progress, and attempts that should have ended.

    def on_progress(self, attempt: Attempt, kind: ProgressKind, value: float, now_us: int) -> None:
        """Takes a progress update of an attempt in flight."""
        attempt.last_progress_us = now_us
        attempt.engine.policy_state.health.on_answer(now_us)
        if kind is ProgressKind.WAITING_FOR_DATA_SET and value == DATA_SET_LOCKED:
            self._on_data_set_locked(attempt, now_us)
        if kind is not ProgressKind.FRACTION_DONE:
            return
        request = attempt.request
        if request.request_class.latency.sample_count < MIN_KNOWN_ANSWERS:
            return
        if not attempt.outcome and not request.is_finished:
            self._on_fraction_done(attempt, value, now_us)

    def _on_data_set_locked(self, attempt: Attempt, now_us: int) -> None:
        """Avoids the engine for two updates' time; what waits may run elsewhere, and has lost nothing yet."""
        if self.settings.progress_interval_us is None:
            raise MissingSettingError("TellsEvery")
        request = attempt.request
        locked_until_us = now_us + 2 * self.settings.progress_interval_us
        attempt.engine.policy_state.signals.locked_until_us[request.data_set] = locked_until_us
        if len(request.attempts) != 1:
            return
        would_wait = self.load_balancer.would_wait
        others = (engine for engine in self.ready_engines if not would_wait(request, engine, now_us))
        if any(engine.policy_state.permits(request, now_us) for engine in others):
            self._cancel_and_retry(attempt, now_us)

    def _on_fraction_done(self, attempt: Attempt, fraction: float, now_us: int) -> None:
        request = attempt.request
        has_queue = bool(self.admission_queue.first_attempts)
        verdict = judge_progress(attempt, fraction, self.averages.slowdown, has_queue, now_us)
        if verdict is ProgressVerdict.RETRY:
            self._cancel_and_retry(attempt, now_us)
        elif verdict is ProgressVerdict.GIVE_UP and self.settings.can_cancel:
            if self.retry_policy.may_reject(request) and not attempt.cancel_requested:
                self.on_deadline_unreachable(attempt, now_us)

    def _check_attempts(self, now_us: int) -> None:
        """Finds attempts that should long have ended, and retries those on suspected engines elsewhere."""
        progress_interval_us = self.settings.progress_interval_us or 0
        for engine in (*self.engines, *self.site_forwarding.sites):
            state = engine.policy_state
            health = state.health
            for attempt in list(state.limit.attempts):
                has_overrun = is_overdue(attempt, self.averages.slowdown, progress_interval_us, now_us)
                if has_overrun and not attempt.is_overdue:
                    attempt.is_overdue = True
                    self.recorder.on_fault(engine, health.last_answer_us < attempt.sent_us, False, now_us)
                if not health.is_suspected:
                    continue
                late_us = now_us - attempt.sent_us - attempt.request.expected_latency_us
                if has_overrun or (health.is_unresponsive and late_us >= WINDOW_US // 2):
                    self._cancel_and_retry(attempt, now_us)

    def _cancel_and_retry(self, attempt: Attempt, now_us: int) -> None:
        """Cancels an attempt whose request may be retried; the retry follows when the attempt has ended."""
        request = attempt.request
        has_ended = attempt.cancel_requested or attempt.outcome or request.is_finished
        if has_ended or not self.settings.can_cancel:
            return
        if not self.retry_policy.is_worth_retrying(request, now_us):
            return
        if self._has_retry_budget(request, now_us) and self.outlier_detector.is_enforced:
            attempt.cancel_requested = True
            self.port.cancel_attempt(attempt)

    # Engines and other sites.

    def on_endpoints_updated(
        self, known: Iterable[tuple[Engine, EndpointDescription]], is_complete: bool, now_us: int
    ) -> None:
        """Takes the endpoint list, or with `is_complete` False the changes to it."""
        self.engine_registry.update(known, is_complete, self.gateway_count, now_us, self.random)
        self.load_balancer.ready_engines = self.engine_registry.ready_engines()
        self._dispatch_queued(now_us)

    def on_endpoint_list_failed(self, now_us: int) -> None:
        """Asks for the endpoint list again, a window later: a failed call has ended the subscription."""
        self.port.call_later(WINDOW_US, lambda _: self.port.subscribe_to_endpoints())

    def on_probe_finished(
        self, engine: Engine, outcome: Outcome, report: Mapping[str, float], now_us: int
    ) -> None:
        """Takes the outcome of a health check, and the engine's load report if there is one."""
        if outcome is Outcome.SUCCEEDED:
            engine.policy_state.health.on_check_success(now_us)
        elif outcome is not Outcome.OVERLOADED:
            self.recorder.on_fault(engine, 1, False, now_us)
        self.recorder.on_report(engine, report, now_us)

    def on_site_updated(self, site: Engine, cores: float, state: EndpointState, now_us: int) -> None:
        """Takes the state of another site's gateway, and the cores that it has for this one."""
        self.site_forwarding.update_site(site, cores, state)
        self._dispatch_queued(now_us)

    def on_site_capacity(self, site: Engine, now_us: int) -> None:
        """Offers queued requests to another site that has capacity again."""
        self._dispatch_queued(now_us, site)

    def spare_capacity(self, now_us: int) -> SpareCapacity:
        """Returns what other sites may be told of the capacity here."""
        has_queued = bool(self.admission_queue.first_attempts)
        return spare_capacity(
            self.ready_engines, self.gateway_count, has_queued, self.averages.slowdown, now_us
        )

    # The sweep, ten times a second.

    def _sweep(self, now_us: int) -> None:
        # Should this sweep fail, the next must come all the same, or no queued request is ever answered.
        self.port.call_later(SWEEP_INTERVAL_US, self._sweep)
        self._sweep_count += 1
        if self._sweep_count % SWEEPS_PER_WINDOW == 0:
            for engine in (*self.engines, *self.site_forwarding.sites):
                engine.policy_state.limit.close_window()
                engine.policy_state.limit.draw = self.random()
        self._update_fleet()
        self._check_attempts(now_us)
        self._answer_expired(now_us)
        self.admission_queue.ordering.drop_expired_blocks(now_us)
        if self.settings.can_probe:
            for engine in self.health_checks.due(self.ready_engines):
                self.port.probe_engine(engine)
        self._dispatch_queued(now_us)

    def _update_fleet(self) -> None:
        states = [engine.policy_state for engine in self.ready_engines]
        suspected = sum(state.health.is_suspected for state in states)
        self.outlier_detector.update(suspected, len(states), self.site_forwarding.has_ready_site())
        # What unresponsive engines hold would leave no capacity for any other.
        self.fleet.running_threads = sum(
            state.limit.running_threads for state in states if not state.health.is_unresponsive
        )
        self.fleet.total_limit = sum(state.limit.value for state in states)

    def _answer_expired(self, now_us: int) -> None:
        """Answers the queued requests that can wait no longer, unless a failing engine takes them."""
        failing = [
            engine
            for engine in self.ready_engines
            if engine.policy_state.health.is_suspected and not engine.policy_state.health.is_unresponsive
        ]
        for request in self.admission_queue.expired(now_us):
            may_run = self.admission_queue.ordering.may_run(request, now_us)
            if not (may_run and any(self._try_send(request, now_us, engine) for engine in failing)):
                self._reject_or_fail(request, now_us)
