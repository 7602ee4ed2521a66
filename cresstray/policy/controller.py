"""The policy controller: handles the events of one gateway with the modules of this package.

An adapter creates one `PolicyController`, reports each event to it by a method call with the current time,
and carries out the actions that the controller calls on its `PolicyPort`. A request is scheduled, waits for
its ordering key and for a permit, is sent to an engine, and is retried or finished when its attempt ends.
Each request gets exactly one final answer.
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
    attempt_timeout_us,
)
from cresstray.policy.engine_registry import EngineRegistry
from cresstray.policy.health_checks import HealthCheckSchedule
from cresstray.policy.latency_estimate import WorkloadAverages
from cresstray.policy.load_balancing import LoadBalancer
from cresstray.policy.load_signals import FleetSignals
from cresstray.policy.outcome_recorder import OutcomeRecorder
from cresstray.policy.outlier_detection import OutlierDetector, is_overdue
from cresstray.policy.ports import AdmissionRules, PolicyPort
from cresstray.policy.progress import ProgressDecision, evaluate_progress
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
# The value of a progress update that says that the request is blocked, as a data load has locked its data
# set.
DATA_SET_LOCKED = 2
# With fewer samples, the latency estimate of a class is too uncertain to call an attempt slow.
MIN_LATENCY_SAMPLES = 10
# Added to the ordering gap, to round it up to a whole millisecond.
ROUNDING_US = 1000
# A module-level alias, as looking up an enum member is slow, and this one is needed for each engine drawn.
_READY = EndpointState.READY


class PolicyController:
    """Makes all decisions of one gateway on engines, queueing, retries and load shedding."""

    def __init__(self, port: PolicyPort, settings: PolicySettings, seed: int, now_us: int) -> None:
        self.port = port
        self.settings = settings
        self.random = random.Random(seed).random
        self.admission_rules: AdmissionRules | None = (
            None  # e.g. of the fleet's configuration; None: no rules
        )
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
        """The listed engines, and removed engines until their attempts have ended."""
        return self.engine_registry.engines

    @property
    def ready_engines(self) -> list[Engine]:
        """The engines that may get requests."""
        return self.load_balancer.ready_engines

    # Requests: admission, queueing and dispatch.

    def accept(self, request: Request, now_us: int) -> None:
        """Accepts a request, which from here on gets exactly one final answer."""
        self.admission_queue.schedule(request, now_us)
        if not request.is_forwarded_in:
            # A request that another site forwarded is counted, and adds to the retry budget, where it was
            # accepted.
            self.retry_policy.on_accepted(request)
            self.health_checks.on_accepted(len(self.load_balancer.ready_engines))
            self.outlier_detector.on_accepted()
        self.admission_queue.ordering.enqueue(request)
        self._send_or_queue(request, now_us)

    def _send_or_queue(self, request: Request, now_us: int) -> None:
        queue = self.admission_queue
        must_wait = queue.must_wait(request)
        is_denied = self.admission_rules is not None and not self.admission_rules.admits(request, now_us)
        # With no time left beyond the margin, the attempt could only time out, after a connection was opened
        # for it.
        has_time = now_us < request.deadline_us - ATTEMPT_MARGIN_US
        if has_time and not must_wait and not is_denied and queue.ordering.may_run(request, now_us):
            if self._try_send(request, now_us):
                return
        if is_denied or now_us >= request.latest_dispatch_us:
            self._reject_or_fail(request, now_us)
            return
        queue.push(request)

    def _choose_engine(
        self, request: Request, now_us: int, freed_engine: Engine | None = None
    ) -> Engine | None:
        return self.load_balancer.choose(request, now_us, self.random, self._may_send, freed_engine)

    def _may_send(self, request: Request, engine: Engine, now_us: int) -> bool:
        """Returns whether an engine may get a request, regardless of its load."""
        # A draining engine still sends load reports, so it may be remembered as the least loaded one.
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

    def _try_send(self, request: Request, now_us: int, freed_engine: Engine | None = None) -> bool:
        """Sends a request, only to the freed engine if there is one; returns whether it was sent."""
        is_retry = bool(request.attempts)
        if self.admission_rules and not self._update_gateway_count(now_us):
            return False
        is_freed_site = freed_engine is not None and freed_engine.forwarding is not None
        excludes_local_engines = is_freed_site or is_retry and not self._has_retry_budget(request, now_us)
        engine = None if excludes_local_engines else self._choose_engine(request, now_us, freed_engine)
        if self.site_forwarding.sites:
            engine = self._choose_site_or_local(request, engine, freed_engine, now_us)
        if engine is None:
            return False
        self.admission_queue.discard(request)
        self._send(request, engine, is_retry, now_us)
        return True

    def _choose_site_or_local(
        self, request: Request, local_engine: Engine | None, freed_engine: Engine | None, now_us: int
    ) -> Engine | None:
        if not self.site_forwarding.may_forward(request, freed_engine):
            return local_engine
        if request.attempts and not self._has_retry_budget(request, now_us):
            return local_engine
        return self.site_forwarding.choose(request, local_engine, self._may_send, now_us)

    def _send(self, request: Request, engine: Engine, is_retry: bool, now_us: int) -> None:
        request_class = request.request_class
        state = engine.policy_state
        attempt = Attempt(request, engine, len(request.attempts), now_us)
        request.attempts.append(attempt)
        request.current_attempt = attempt
        state.limit.start_attempt(attempt)
        self.fleet.running_threads += request_class.threads
        if state.limit.running_threads > state.limit.value:
            state.limit.random_draw = self.random()
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
        self.port.send_attempt(attempt, attempt_timeout_us(request, now_us))

    def _update_gateway_count(self, now_us: int) -> bool:
        """Applies the number of gateways by the admission rules; returns whether this gateway may send."""
        if self.admission_rules is None:
            return True
        gateway_count = self.admission_rules.gateway_count(now_us)
        if gateway_count not in (0, self.gateway_count):
            self.engine_registry.scale_limits(self.gateway_count / gateway_count)
            self.gateway_count = gateway_count
            self.slow_start.gateway_count = gateway_count
        return gateway_count > 0

    def _has_retry_budget(self, request: Request, now_us: int) -> bool:
        scale = self.admission_rules.retry_budget_scale(request, now_us) if self.admission_rules else 1
        return self.retry_policy.has_budget(now_us, scale)

    def may_still_send(self, attempt: Attempt, now_us: int) -> bool:
        """Returns whether an attempt that has waited for its connection may still be sent."""
        request = attempt.request
        if request.is_finished or attempt.cancel_requested or attempt.engine.state is not _READY:
            return False
        rules = self.admission_rules
        return rules is None or rules.still_allows(request, attempt.engine, now_us)

    def on_attempt_sent(self, attempt: Attempt, now_us: int) -> None:
        """Handles that an attempt has been written to its connection."""
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
        """Records the outcome of an attempt, then retries the request or finishes it.

        Args:
            attempt: The attempt, which is no longer in flight.
            outcome: How it ended.
            latency_us: The time from sending it to its end.
            is_final: Whether the client has been answered already.
            report: The engine's load report; empty if there is none.
            now_us: The current time.
        """
        if attempt.outcome is not None:
            return
        request = attempt.request
        attempt.outcome = outcome
        request.current_attempt = None
        attempt.engine.policy_state.limit.finish_attempt(attempt)
        self.fleet.running_threads = max(0, self.fleet.running_threads - request.request_class.threads)
        if attempt.engine.forwarding and outcome is Outcome.EXPIRED_BEFORE_SEND:
            request.attempts.remove(attempt)  # no engine of either site has received it
        self.recorder.on_report(attempt.engine, report, now_us)
        self.recorder.on_outcome(attempt, outcome, latency_us, now_us)
        if outcome in POSSIBLY_RUNNING:
            gap_us = self.settings.ordering_gap_us + ROUNDING_US
            self.admission_queue.ordering.block(request, now_us + gap_us)
        if is_final or request.is_finished:
            self._finish(request)
        elif self.retry_policy.is_worth_retrying(request, now_us):
            # A retry may wait for as long as a first attempt, and for one sample window at least.
            latest_dispatch_us = max(request.latest_dispatch_us, now_us + WINDOW_US)
            request.latest_dispatch_us = min(request.deadline_us - DEADLINE_MARGIN_US, latest_dispatch_us)
            self._send_or_queue(request, now_us)
        else:
            self._reject_or_fail(request, now_us)
        self.admission_queue.ordering.release(request)
        self._dispatch_queued(now_us, attempt.engine)

    def _dispatch_queued(self, now_us: int, freed_engine: Engine | None = None) -> None:
        self.admission_queue.dispatch(now_us, freed_engine, self._try_send)

    def _reject_or_fail(self, request: Request, now_us: int) -> None:
        """Gives the final answer without a result: a rejection if a repeat is harmless, or else a failure."""
        self._finish(request)
        if not request.attempts:
            request.request_class.latency.never_dispatched.add(now_us)
        if not self.retry_policy.may_reject(request):
            self.port.fail_request(request)
        else:
            # Randomized over the upper half of the longest delay that clients honour, so that they do not all
            # return at the same time.
            retry_after_us = int(self.settings.max_retry_after_us * (0.5 + 0.5 * self.random()))
            self.port.reject_request(request, retry_after_us)

    def _finish(self, request: Request) -> None:
        request.is_finished = True
        self.admission_queue.discard(request)
        self.admission_queue.ordering.release(request)

    def on_client_cancelled(self, request: Request, now_us: int) -> None:
        """Finishes a request that its client has cancelled."""
        if not request.is_forwarded_in:
            self.retry_policy.on_client_cancelled(request)
        self._finish(request)
        attempt = request.current_attempt
        # The gateway of another site is always told: it drops what it has not sent to an engine yet, and
        # cancels the rest as its own settings permit.
        if attempt is not None and (self.settings.can_cancel or attempt.engine.forwarding is not None):
            self.port.cancel_attempt(attempt)

    def on_deadline_unreachable(self, attempt: Attempt, now_us: int) -> None:
        """Answers a request at once whose attempt can no longer succeed before the deadline."""
        if attempt.outcome is None and not attempt.request.is_finished:
            self.port.cancel_attempt(attempt)
            self._reject_or_fail(attempt.request, now_us)

    # Attempts in flight: progress, and attempts that should have ended.

    def on_progress(self, attempt: Attempt, kind: ProgressKind, value: float, now_us: int) -> None:
        """Handles a progress update of an attempt in flight."""
        attempt.last_progress_us = now_us
        attempt.engine.policy_state.health.on_answer(now_us)
        if kind is ProgressKind.WAITING_FOR_DATA_SET and value == DATA_SET_LOCKED:
            self._on_data_set_locked(attempt, now_us)
        if kind is not ProgressKind.FRACTION_DONE:
            return
        request = attempt.request
        if request.request_class.latency.sample_count < MIN_LATENCY_SAMPLES:
            return
        if not attempt.outcome and not request.is_finished:
            self._on_fraction_done(attempt, value, now_us)

    def _on_data_set_locked(self, attempt: Attempt, now_us: int) -> None:
        """Avoids the engine for two progress intervals.

        The blocked request has not started its work, so it is retried where another engine can take it.
        """
        if self.settings.progress_interval_us is None:
            raise MissingSettingError("TellsEvery")
        request = attempt.request
        locked_until_us = now_us + 2 * self.settings.progress_interval_us
        attempt.engine.policy_state.signals.locked_until_us[request.data_set] = locked_until_us
        if len(request.attempts) != 1:
            return
        would_wait = self.load_balancer.would_wait_for_data_set
        other_engines = (engine for engine in self.ready_engines if not would_wait(request, engine, now_us))
        if any(engine.policy_state.permits(request, now_us) for engine in other_engines):
            self._cancel_and_retry(attempt, now_us)

    def _on_fraction_done(self, attempt: Attempt, fraction: float, now_us: int) -> None:
        request = attempt.request
        has_queue = bool(self.admission_queue.first_attempts)
        decision = evaluate_progress(attempt, fraction, self.averages.slowdown, has_queue, now_us)
        if decision is ProgressDecision.RETRY:
            self._cancel_and_retry(attempt, now_us)
        elif decision is ProgressDecision.GIVE_UP and self.settings.can_cancel:
            if self.retry_policy.may_reject(request) and not attempt.cancel_requested:
                self.on_deadline_unreachable(attempt, now_us)

    def _check_attempts(self, now_us: int) -> None:
        """Finds overdue attempts, and retries those on suspected engines elsewhere."""
        progress_interval_us = self.settings.progress_interval_us or 0
        for engine in (*self.engines, *self.site_forwarding.sites):
            state = engine.policy_state
            health = state.health
            for attempt in list(state.limit.attempts):
                is_attempt_overdue = is_overdue(attempt, self.averages.slowdown, progress_interval_us, now_us)
                if is_attempt_overdue and not attempt.is_overdue:
                    attempt.is_overdue = True
                    self.recorder.on_fault(engine, health.last_answer_us < attempt.sent_us, False, now_us)
                if not health.is_suspected:
                    continue
                overrun_us = now_us - attempt.sent_us - attempt.request.expected_latency_us
                if is_attempt_overdue or (health.is_unresponsive and overrun_us >= WINDOW_US // 2):
                    self._cancel_and_retry(attempt, now_us)

    def _cancel_and_retry(self, attempt: Attempt, now_us: int) -> None:
        """Cancels an attempt if its request may be retried; the retry follows when the attempt has ended."""
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
        self, descriptions: Iterable[tuple[Engine, EndpointDescription]], is_complete: bool, now_us: int
    ) -> None:
        """Applies a complete endpoint list, or only changes to it if `is_complete` is False."""
        self.engine_registry.update(descriptions, is_complete, self.gateway_count, now_us, self.random)
        self.load_balancer.ready_engines = self.engine_registry.ready_engines()
        self._dispatch_queued(now_us)

    def on_endpoint_list_failed(self, now_us: int) -> None:
        """Requests the endpoint list again after a delay, as a failed call has ended the subscription."""
        self.port.call_later(WINDOW_US, lambda _: self.port.subscribe_to_endpoints())

    def on_probe_finished(
        self, engine: Engine, outcome: Outcome, report: Mapping[str, float], now_us: int
    ) -> None:
        """Records the outcome of a health check, and the engine's load report; empty if there is none."""
        if outcome is Outcome.SUCCEEDED:
            engine.policy_state.health.on_check_success(now_us)
        elif outcome is not Outcome.OVERLOADED:
            self.recorder.on_fault(engine, 1, False, now_us)
        self.recorder.on_report(engine, report, now_us)

    def on_site_updated(self, site: Engine, cores: float, state: EndpointState, now_us: int) -> None:
        """Applies the state of a gateway of another site, and the cores that it offers to this one."""
        self.site_forwarding.update_site(site, cores, state)
        self._dispatch_queued(now_us)

    def on_site_capacity(self, site: Engine, now_us: int) -> None:
        """Offers queued requests to a gateway of another site that has capacity again."""
        self._dispatch_queued(now_us, site)

    def spare_capacity(self, now_us: int) -> SpareCapacity:
        """Returns the spare capacity to report to other sites."""
        has_queued = bool(self.admission_queue.first_attempts)
        return spare_capacity(
            self.ready_engines, self.gateway_count, has_queued, self.averages.slowdown, now_us
        )

    # The sweep, ten times a second.

    def _sweep(self, now_us: int) -> None:
        # Scheduled first: if a sweep fails, the next one must still run, or no queued request would ever be
        # answered.
        self.port.call_later(SWEEP_INTERVAL_US, self._sweep)
        self._sweep_count += 1
        if self._sweep_count % SWEEPS_PER_WINDOW == 0:
            for engine in (*self.engines, *self.site_forwarding.sites):
                engine.policy_state.limit.close_window()
                engine.policy_state.limit.random_draw = self.random()
        self._update_fleet_signals()
        self._check_attempts(now_us)
        self._answer_expired(now_us)
        self.admission_queue.ordering.drop_expired_blocks(now_us)
        if self.settings.can_probe:
            for engine in self.health_checks.take_engines_to_check(self.ready_engines):
                self.port.probe_engine(engine)
        self._dispatch_queued(now_us)

    def _update_fleet_signals(self) -> None:
        states = [engine.policy_state for engine in self.ready_engines]
        suspected = sum(state.health.is_suspected for state in states)
        self.outlier_detector.update(suspected, len(states), self.site_forwarding.has_ready_site())
        # Attempts on unresponsive engines do not count: they would leave no capacity for the other engines.
        self.fleet.running_threads = sum(
            state.limit.running_threads for state in states if not state.health.is_unresponsive
        )
        self.fleet.total_limit = sum(state.limit.value for state in states)

    def _answer_expired(self, now_us: int) -> None:
        """Answers queued requests past their latest dispatch time, unless a failing engine takes them."""
        failing = [
            engine
            for engine in self.ready_engines
            if engine.policy_state.health.is_suspected and not engine.policy_state.health.is_unresponsive
        ]
        for request in self.admission_queue.expired(now_us):
            may_run = self.admission_queue.ordering.may_run(request, now_us)
            if not (may_run and any(self._try_send(request, now_us, engine) for engine in failing)):
                self._reject_or_fail(request, now_us)
