"""Forwarding between two sites through outages, restarts and cancellations, on a virtual clock."""

import random

import msgspec

from cresstray.policy.types import EndpointState
from cresstray.sites import codec
from cresstray.sites.flow_control import ForwardingQuota, LinkCredit, LinkSlowStart
from cresstray.sites.health import LinkHealth
from cresstray.sites.ledger import STATUS_WORDS, ForwardingState
from tests.halls import EFFECTS, HEARTBEAT_US, LEASE_US, RECOVERY_US, SLOW_US, TwoSites
from tests.harness import TraceCase


class LinkLossTest(TraceCase):
    """The link is lost at each state of a forwarded request that must not be executed twice."""

    def lose_link(self, request_class: str, point: str, reconnect_ms: int | None) -> str:
        """Loses the link at this point and checks the request; returns its state, runs and answer."""
        world = TwoSites(trace=False)
        world.establish_link()
        engine = world.b.fake_engines[0]
        if point == "before it was taken":
            world.refresh_capacity()
        elif point == "taken, not sent":
            # The remote engine is busy with its own site's requests, so the forwarded one is queued there.
            world.refresh_capacity()
            for number in range(4):
                world.b.submit(f"own {number}", "post")
            world.outbound.route.available_threads = 9.0  # as an outdated report of spare threads would say
        world.a.submit("request", request_class, 30_000)
        world.run(3 if point == "before it was taken" else 12 if point == "taken, not sent" else 40)
        name = world.name("request")
        state = STATUS_WORDS[world.forwarded("request").state]
        if point == "ended":
            engine.answer(name)
        world.disconnect()
        runs = [run for run in world.runs if run[0] == name]
        expected_runs = {"before it was taken": 0, "taken, not sent": 0}.get(point, 1)
        self.assertEqual(expected_runs, len(runs), point)
        if point == "sent" and reconnect_ms == 1000:
            world.run(300)
            engine.answer(name)
        if reconnect_ms is not None:
            world.run(reconnect_ms)
            world.connect()
            world.run(300)
        if reconnect_ms == 1000 and engine.open.get(name):
            engine.answer(name)
        world.run(31_000 - (reconnect_ms or 0))
        if name in engine.open:
            engine.answer(name)
            world.run(100)
        run_count = sum(run[0] == name for run in world.runs)
        self.assertLessEqual(len(world.answers()["request"]), 1)
        self.assertFalse(world.outbound.ledger.open)
        self.assertEqual(0, world.outbound.route.credit.used_requests)
        self.assertFalse(world.a.counters.violations or world.b.counters.violations)
        return f"{state:8} {run_count} runs, {' '.join(world.answers()['request'])}"

    def test_request_is_answered_at_most_once_after_link_loss(self) -> None:
        lines = []
        for request_class in ("load", "post"):
            for point in ("before it was taken", "taken, not sent", "sent", "ended"):
                for reconnect_ms in (1000, 21_000, None):
                    when = "never" if reconnect_ms is None else f"after {reconnect_ms / 1000:.0f} s"
                    lines.append(
                        f"{request_class}, {point}, back {when}: "
                        f"{self.lose_link(request_class, point, reconnect_ms)}"
                    )
        self.check("halls_cuts", lines)


class ForwardingFailureTest(TraceCase):
    """One failure or race at a time, each compared with its trace."""

    def check_world(self, name: str, world: TwoSites) -> None:
        """Checks that no pipeline rule was violated, that each request has one answer, and the trace."""
        self.assertFalse(world.a.counters.violations or world.b.counters.violations)
        for label, answers in world.answers().items():
            self.assertEqual(1, len(answers), label)
        self.check(name, world.lines)

    def test_requests_are_answered_by_their_deadline_on_a_link_that_becomes_slow(self) -> None:
        """The round trip grows from 20 ms to 3 s; no client waits for an answer past its deadline."""
        world = TwoSites(trace=False, delay_us=10_000, cores=16)
        world.establish_link()
        late, submitted, lines = [], 0, []
        for step in range(21):
            world.delay_us = int(10_000 * 150 ** (step / 20))
            for request_class, timeout_ms in (("lookup", 1500), ("load", 4000)):
                submitted += 1
                world.a.submit(f"{request_class} {step}", request_class, timeout_ms)
            world.run(120)
            for name in list(world.b.fake_engines[0].open):
                world.b.fake_engines[0].answer(name)
            world.run(80)
            late += [
                context
                for context in world.a.accounting.open_requests.values()
                if not context.is_answered and context.request.deadline_us < world.clocks[0].now()
            ]
            state = world.outbound.route.health.state.value
            lines.append(
                f"round trip {world.delay_us // 500:5} ms: state {state}, "
                f"{len(world.outbound.ledger.open)} under way"
            )
        for _ in range(60):
            world.run(100)
            for name in list(world.b.fake_engines[0].open):
                world.b.fake_engines[0].answer(name)
        answers = [answer.split(",")[0] for received in world.answers().values() for answer in received]
        self.assertFalse(late)
        self.assertEqual(submitted, len(answers))
        lines.append(", ".join(f"{answers.count(answer)} {answer}" for answer in sorted(set(answers))))
        self.check("halls_slow", lines)

    def test_outcome_is_unknown_after_the_remote_gateway_restarted(self) -> None:
        """The new incarnation knows nothing of the requests that the earlier one had accepted."""
        world = TwoSites()
        world.establish_link()
        for request_class in ("lookup", "load", "post"):
            world.a.submit(f"a {request_class}", request_class)
        world.run(60)
        world.disconnect()
        world.restart_remote_gateway()
        world.run(100)
        world.connect()
        world.run(100)
        self.check_world("halls_restart", world)

    def test_requests_go_elsewhere_while_a_remote_engine_or_gateway_drains(self) -> None:
        """An engine drains between acceptance and sending; then the gateway itself sends GoAway."""
        world = TwoSites(remote_engines=2)
        world.establish_link()
        world.a.submit("first", "lookup")
        world.run(40)
        world.b.update_endpoints(EndpointState.DRAINING, EndpointState.DRAINING)
        world.a.submit("nowhere", "lookup")
        world.run(40)
        world.b.update_endpoints(EndpointState.DRAINING)
        world.a.submit("second", "lookup")
        world.run(500)
        ran_on = [engine for name, engine in world.runs if world.names[name] == "second"]
        self.assertEqual(["hall-b engine 1"], ran_on)
        world.inbound.send_go_away("this gateway ends")
        world.run(20)
        world.a.submit("too late", "post", 1000)
        world.run(20)
        for engine in world.b.fake_engines:
            for name in list(engine.open):
                engine.answer(name)
        world.run(1000)
        self.check_world("halls_drain", world)

    def test_remote_gateway_cancels_before_the_retry_when_the_link_is_silent(self) -> None:
        """The connection stays open but delivers nothing, in both directions or in either one."""
        for directions in (("there", "back"), ("there",), ("back",)):
            world = TwoSites(local_engines=1)
            world.a.update_endpoints(EndpointState.DRAINING)
            world.establish_link()
            world.a.submit("a lookup", "lookup")
            world.run(60)
            world.say(f"silent: {' and '.join(directions)}")
            world.silenced.update(directions)
            world.a.update_endpoints(EndpointState.READY)
            world.run(4000)
            for name in list(world.a.fake_engines[0].open):
                world.a.fake_engines[0].answer(name)
            cancellations = [index for index, line in enumerate(world.lines) if "told to quit" in line]
            retries = [index for index, line in enumerate(world.lines) if "hall-a engine 0 runs" in line]
            self.assertTrue(
                cancellations and retries and cancellations[0] < retries[0], "\n".join(world.lines)
            )
            self.check_world(f"halls_silent_{'_'.join(directions)}", world)

    def test_request_is_rejected_and_not_forwarded_back_when_each_site_believes_the_other_idle(self) -> None:
        """A forwarded request is never forwarded again, and rejected at once if there is no capacity."""
        world = TwoSites(remote_engines=1, cores=1)
        world.establish_link()
        world.b.submit("own", "lookup")
        world.refresh_capacity()
        world.outbound.route.available_threads = 50.0
        world.a.controller.site_forwarding.sites[0].policy_state.limit.value = 50.0
        for number in range(3):
            world.a.submit(f"one {number}", "lookup", 2000)
        # The remote gateway has a route to another site that would accept any request.
        route = type("AcceptingRoute", (), {"accepts": lambda self, request, load, now_us: True})()
        site = type(world.b.engines[0])(forwarding=route)
        world.b.controller.on_site_updated(site, 50.0, EndpointState.READY, world.clocks[1].now())
        world.b.router.forwarder = type(
            "FailingForwarder", (), {"send": lambda *_: self.fail("the request was forwarded back")}
        )()
        world.run(300)
        counts = world.a.counters.counts
        world.say(f"{counts['crossings offered']} offered, {counts['crossings refused']} refused by now")
        world.run(3000)
        self.check_world("halls_no_way_back", world)

    def test_attempt_that_the_remote_engine_refuses_counts_on_links_of_any_delay(self) -> None:
        """Guards against a refusal that overtakes the notice of the attempt, which then counts for none."""
        for delay_us in (1_000, 5_000, 20_000, 100_000):
            for is_cut in (False, True):
                with self.subTest(delay_us=delay_us, is_cut=is_cut):
                    world = TwoSites(trace=False, delay_us=delay_us)
                    world.establish_link()
                    world.a.submit("refused", "lookup")
                    while not world.b.fake_engines[0].open:
                        world.run(1)
                    world.b.fake_engines[0].answer(world.name("refused"), b"overload")
                    if is_cut:
                        world.disconnect()
                        world.run(100)
                        world.connect()
                    world.run(3 * delay_us / 1000 + 200)
                    counts = world.a.counters.counts
                    self.assertEqual(1, counts["attempts overloaded"], counts)
                    self.assertEqual(0, counts["attempts expired before send"], counts)

    def test_group_of_tables_that_fits_no_frame_is_rejected_and_the_link_stays(self) -> None:
        """Guards against one client's statement that ends the link for all requests on it."""
        world = TwoSites()
        world.establish_link()
        world.a.submit("other", "post")
        for label, group in (("largest", 2**53), ("larger", 2**53 + 1), ("18 digits", 10**18 - 1)):
            world.a.submit(label, "lookup", statement=b"select 1 from sales_%d.orders" % group)
        world.run(60)
        self.assertIsNone(world.link_error)
        text = "hall-a rejects a group of tables beyond 2^53"
        self.assertEqual(2, sum(line.endswith(text) for line in world.lines))
        self.assertEqual({"other", "largest"}, {world.names[name] for name, _ in world.runs})

    def test_request_is_closed_when_cancellation_and_answer_are_in_transit_together(self) -> None:
        """The client cancels just before or just after the answer arrives, or while the request runs."""
        world = TwoSites()
        world.establish_link()
        for label in ("crossing", "after", "long"):
            world.a.submit(label, "post")
        world.run(60)
        world.b.fake_engines[0].answer(world.name("crossing"))
        world.run(2)
        world.a.cancel("crossing")
        world.b.fake_engines[0].answer(world.name("after"))
        world.run(8)
        world.a.cancel("long")
        world.run(40)
        self.assertFalse(
            world.outbound.ledger.open or world.inbound.ledger.open or world.a.accounting.open_requests
        )
        self.assertFalse(world.b.accounting.open_requests)
        self.check_world("halls_withdrawn", world)

    def test_result_is_sent_again_from_its_first_page_after_link_loss(self) -> None:
        """The link is lost while pages of a result are in transit."""
        world = TwoSites(delay_us=20_000)
        world.establish_link()
        world.a.submit("long", "post")
        world.run(100)
        row = b"x" * 90 + b"\t1\t2\n"
        world.b.fake_engines[0].answer(world.name("long"), body=row * 450)
        world.run(21)
        pages = world.forwarded("long").pages
        world.say(f"{len(pages)} pages have come")
        world.disconnect()
        world.run(200)
        world.connect()
        world.run(300)
        self.check_world("halls_pages", world)
        self.assertIn("42750 bytes", world.answers()["long"][0])

    def test_link_is_closed_when_the_peer_answers_a_request_that_it_never_got(self) -> None:
        """The open requests get their outcome over the next connection."""
        world = TwoSites()
        world.establish_link()
        world.a.submit("mine", "post")
        world.run(60)
        world.inbound._send(codec.ResultPage(77, 0, 1, b"stolen\t1\t2\n"))
        world.run(20)
        self.assertIn("never given", world.link_error)
        world.connect()
        world.run(50)
        world.b.fake_engines[0].answer(world.name("mine"))
        world.run(50)
        self.check_world("halls_claims", world)

    def test_welcome_of_an_unknown_incarnation_does_not_resume(self) -> None:
        """Its claim to have resumed is ignored, as it cannot know the requests of another incarnation."""
        world = TwoSites()
        world.establish_link()
        world.a.submit("mine", "post")
        world.run(60)
        world.disconnect()
        world.connect()
        world.outbound.receive(
            codec.encode_frame(
                codec.Welcome(
                    codec.PROTOCOL_VERSION,
                    [],
                    "hall-b",
                    "gb",
                    "another life",
                    True,
                    [(1, ForwardingState.NEVER_ACCEPTED.value)],
                    16,
                    1 << 20,
                    LEASE_US,
                )
            ),
            world.clocks[0].now(),
        )
        self.check_world("halls_old_life", world)

    def test_forwarded_retry_that_arrives_late_is_not_sent(self) -> None:
        """The retry budget of the forwarding gateway allows for a short delay only."""
        world = TwoSites(local_engines=1, remote_engines=1)
        world.establish_link()
        world.a.submit("again", "lookup")
        world.run(20)
        world.a.update_endpoints(EndpointState.DRAINING)
        world.refresh_capacity()
        world.delay_us = 400_000
        world.a.fake_engines[0].reset()
        world.run(1)
        world.say(f"{len(world.outbound.ledger.open)} under way")
        world.a.submit("first", "lookup")
        world.run(2000)
        for name in list(world.b.fake_engines[0].open):
            world.b.fake_engines[0].answer(name)
        world.run(9000)
        self.check_world("halls_further", world)


class LinkComponentsTest(TraceCase):
    """The health, the flow control and the codec of a link, each by itself."""

    def test_link_state_follows_round_trip_and_silence(self) -> None:
        health, lines, now_us = LinkHealth(HEARTBEAT_US, SLOW_US, LEASE_US, RECOVERY_US), [], 10_000_000
        health.on_connected(now_us)
        last_state = None

        def pass_time(milliseconds: int, answer_ms: int | None, text: str) -> None:
            """Sends a heartbeat every 100 ms, acknowledged after `answer_ms`, or not at all if None."""
            nonlocal now_us, last_state
            due: list[tuple[int, int]] = []
            for elapsed_ms in range(0, milliseconds, 10):
                now_us += 10_000
                if elapsed_ms % 100 == 0:
                    number, _, _ = health.next_heartbeat(now_us)
                    if answer_ms is not None:
                        due.append((now_us + answer_ms * 1000, number))
                while due and due[0][0] <= now_us:
                    health.on_heartbeat(health.received_number + 1, due.pop(0)[1], 0, now_us)
                state = health.update_state(now_us)
                if state is not last_state:
                    lines.append(
                        f"{text}, {elapsed_ms} ms on: {state.value}, round trip "
                        f"{health.round_trip_us(now_us) // 1000} ms"
                        f"{', dead' if health.is_dead(now_us) else ''}"
                    )
                    last_state = state
            lines.append(
                f"{text}, in all {milliseconds} ms: {health.state.value}, dead {health.is_dead(now_us)}"
            )

        pass_time(2000, 20, "calm")
        pass_time(2000, 400, "slow")
        pass_time(3000, 20, "calm again")
        pass_time(2500, None, "silent")
        lines.append(
            f"lease ends {(health.remote_lease_end_us() - health.received_us) / 1000:.0f} ms "
            "after the last word"
        )
        health.on_disconnected()
        lines.append(f"lost: {health.update_state(now_us).value}")
        self.check("halls_health", lines)

    def test_credit_quota_and_slow_start_limit_forwarding(self) -> None:
        credit, lines = LinkCredit(2, 100), []
        for size in (60, 60, 30, 10):
            has_credit = credit.allows(size)
            lines.append(f"{size} bytes: {'taken' if has_credit else 'no credit'}")
            if has_credit:
                credit.acquire(size)
        credit.release(60)
        lines.append(f"60 given back: {'room' if credit.allows(60) else 'none'}")
        with self.assertRaises(AssertionError):
            credit.release(100)
        quota = ForwardingQuota(0.5)
        for number in range(200):
            quota.record_received(number * 1000)
        forwarded = 0
        while quota.allows(200_000):
            quota.record_forwarded(200_000)
            forwarded += 1
        lines.append(f"of 200 taken, half may cross, and 20 in any case: {forwarded}")
        slow_start, counts = LinkSlowStart(), []
        for second in range(6):
            count = 0
            while count < 500 and slow_start.allows(0, second * 1_000_000 + 500_000):
                slow_start.record_forwarded(second * 1_000_000 + 500_000)
                count += 1
            counts.append(count)
        lines.append(f"in the seconds after a cut: {counts}")
        self.check("halls_bounds", lines)

    def test_malformed_frames_are_rejected(self) -> None:
        lines = []
        good = codec.encode_frame(codec.Heartbeat(1, 0, 0))
        for text, data in (
            ("no kind", b"\0\0\0\x01\x63"),
            ("empty", b"\0\0\0\0\x03"),
            ("far too long", b"\x7f\0\0\0\x04"),
            ("no msgpack", b"\0\0\0\x03\x03\xc1\xc1"),
            ("too few fields", b"\0\0\0\x03\x03\x91\x01"),
            ("below nothing", b"\0\0\0\x05\x03\x93\xff\xff\xff"),
            (
                "a statement that is empty",
                codec.encode_frame(
                    codec.ForwardRequest(1, 0, "0" * 16, "t", "", "", 0, 0, 1, 0, 0, 0, 0, True, b"")
                ),
            ),
            (
                "a name that is none",
                codec.encode_frame(
                    codec.ForwardRequest(1, 0, "nobody", "t", "", "", 0, 0, 1, 0, 0, 0, 0, True, b"x")
                ),
            ),
            (
                "a mark with a comma",
                codec.encode_frame(
                    codec.ForwardRequest(1, 0, "0" * 16, "t", "", "a,w=1", 0, 0, 1, 0, 0, 0, 0, True, b"x")
                ),
            ),
        ):
            decoder = codec.FrameDecoder()
            try:
                lines.append(f"{text}: taken as {decoder.feed(good + data)}")
            except codec.FramingError as error:
                lines.append(f"{text}: {error}")
        decoder, frames = codec.FrameDecoder(), []
        for position in range(len(good)):
            frames += decoder.feed(good[position : position + 1])
        # The trace was written under earlier names of this frame's class and fields.
        names = ("number", "heard", "held", "threads", "cores", "pace", "closed")
        shown = []
        for frame in frames:
            self.assertIs(codec.Heartbeat, type(frame))
            fields = zip(names, msgspec.structs.astuple(frame), strict=True)
            shown.append(f"Beat({', '.join(f'{name}={value!r}' for name, value in fields)})")
        lines.append(f"in pieces: [{', '.join(shown)}]")
        self.check("halls_frames", lines)


class RandomScheduleTest(TraceCase):
    """Random sequences of requests, answers and faults, with invariants checked after each step."""

    def run_schedule(self, seed: int, steps: int = 120) -> TwoSites:
        """Runs a random sequence of steps, then lets all requests end."""
        rng = random.Random(seed)
        world = TwoSites(local_engines=1, remote_engines=2, trace=True)
        world.establish_link()
        submitted: dict[str, tuple[str, int]] = {}
        cancelled: set[str] = set()
        silent_until_step = 0
        for step in range(steps):
            action = rng.choices(
                (
                    "ask",
                    "answer",
                    "fail",
                    "full",
                    "cut",
                    "connect",
                    "silence",
                    "restart",
                    "withdraw",
                    "near",
                    "slow",
                ),
                (30, 30, 4, 4, 4, 12, 3, 1, 4, 4, 3),
            )[0]
            engines = [engine for engine in world.a.fake_engines + world.b.fake_engines if engine.open]
            if action == "ask":
                request_class, timeout_ms = rng.choice(list(EFFECTS)), rng.choice((700, 2500, 9000))
                submitted[f"{request_class} {step}"] = (
                    request_class,
                    world.clocks[0].now() + timeout_ms * 1000,
                )
                world.a.submit(f"{request_class} {step}", request_class, timeout_ms)
            elif action in ("answer", "full", "fail") and engines:
                engine = rng.choice(engines)
                kind = {"answer": b"served", "full": b"overload", "fail": b"crashed"}[action]
                engine.answer(rng.choice(list(engine.open)), kind)
            elif action == "cut" and world.is_connected:
                world.disconnect()
            elif action == "connect" and not world.is_connected:
                world.connect()
            elif action == "silence":
                silent_until_step = step + 12
                world.silenced = set(rng.choice((("there",), ("back",), ("there", "back"))))
            elif action == "restart":
                if world.is_connected:
                    world.disconnect()
                world.restart_remote_gateway()
            elif action == "withdraw" and world.a.client.open_requests:
                number = rng.choice(list(world.a.client.open_requests))
                label = world.names[world.a.client.open_requests[number].query.name]
                cancelled.add(label)
                world.a.cancel(label)
            elif action == "near":
                world.a.update_endpoints(rng.choice((EndpointState.READY, EndpointState.DRAINING)))
            elif action == "slow":
                world.delay_us = rng.choice((1_000, 20_000, 400_000))
            if step == silent_until_step:
                world.silenced.clear()
            world.run(rng.choice((1, 7, 40, 250)))
            self.check_invariants(world, submitted, cancelled)
        world.silenced.clear()
        world.delay_us = 5_000
        for _ in range(70):
            world.run(200)
            if not world.is_connected:
                world.connect()
            for engine in world.a.fake_engines + world.b.fake_engines:
                for name in list(engine.open):
                    engine.answer(name)
            self.check_invariants(world, submitted, cancelled)
        for name, answers in world.answers().items():
            self.assertEqual(1, len(answers), name)
        self.assertEqual(set(submitted), set(world.answers()) | cancelled)
        self.assertFalse(
            world.outbound.ledger.open or world.a.accounting.open_requests or world.b.accounting.open_requests
        )
        self.assertEqual(
            (0, 0, 0),
            (
                world.outbound.route.credit.used_requests,
                world.outbound.route.credit.used_bytes,
                world.outbound.route.open_count,
            ),
        )
        return world

    def check_invariants(
        self, world: TwoSites, submitted: dict[str, tuple[str, int]], cancelled: set[str]
    ) -> None:
        now_us = world.clocks[0].now()
        for label, (request_class, deadline_us) in submitted.items():
            if label not in cancelled:
                self.assertTrue(label in world.answers() or now_us < deadline_us, f"{label} has no answer")
            name = world.name(label)
            running_on = [
                engine.name for engine in world.a.fake_engines + world.b.fake_engines if name in engine.open
            ]
            self.assertLessEqual(len(running_on), 1, f"{label} runs twice at once: {running_on}")
            runs = [run for run in world.runs if run[0] == name]
            self.assertLessEqual(len(runs), 3, label)
            if request_class == "post":
                self.assertLessEqual(len(runs) - world.rejected_runs.get(name, 0), 1, f"{label} ran twice")
                if "denied" in world.answers().get(label, ()):
                    self.assertEqual(
                        len(runs), world.rejected_runs.get(name, 0), f"{label} ran, and is denied"
                    )
            self.assertLessEqual(sum("hall-b" in run[1] for run in runs), 1, f"{label} was forwarded twice")
        self.assertFalse(world.a.counters.violations or world.b.counters.violations)

    def test_invariants_hold_in_random_schedules(self) -> None:
        forwarded = served = 0
        for seed in range(25):
            with self.subTest(seed=seed):
                world = self.run_schedule(seed)
                forwarded += world.a.counters.counts["crossings offered"]
                served += world.a.counters.counts["crossings served"]
        self.assertGreater(served, 50)
        self.assertGreater(forwarded, served)
