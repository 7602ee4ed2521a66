"""Between two halls: each hard case on a virtual clock, with the modules, stages and ends that run."""

import random

from cresstray.policy.types import EndpointState
from cresstray.sites import codec
from cresstray.sites.flow_control import Credit, Ramp, Share
from cresstray.sites.health import Health
from cresstray.sites.ledger import State
from tests.halls import BEAT, HEAL, LEASE, SLOW, TARIFFS, TwoHalls
from tests.harness import TraceCase


class Cuts(TraceCase):
    """Case 1: the link drops at each point of a crossing's life, for tariffs that may not just run again."""

    def drop(self, request_class: str, point: str, back: int | None) -> str:
        world = TwoHalls(trace=False)
        world.ready()
        engine = world.b.links[0]
        if point == "before it was taken":
            world.fresh()
        elif point == "taken, not sent":
            # The far engine is full of its own work; what crosses is held there for a while.
            world.fresh()
            for number in range(4):
                world.b.ask(f"own {number}", "post")
            world.outward.way.threads = 9.0  # as an old word of room would have it
        world.a.ask("it", request_class, 30_000)
        world.run(3 if point == "before it was taken" else 12 if point == "taken, not sent" else 40)
        name = world.name("it")
        before = world.crossing("it").state.name.lower()
        if point == "ended":
            engine.answer(name)
        world.cut()
        ran = [one for one in world.runs if one[0] == name]
        expected = {"before it was taken": 0, "taken, not sent": 0}.get(point, 1)
        self.assertEqual(expected, len(ran), point)
        if point == "sent" and back == 1000:
            world.run(300)
            engine.answer(name)
        if back is not None:
            world.run(back)
            world.connect()
            world.run(300)
        if back == 1000 and engine.open.get(name):
            engine.answer(name)
        world.run(31_000 - (back or 0))
        if name in engine.open:
            engine.answer(name)
            world.run(100)
        times = sum(one[0] == name for one in world.runs)
        self.assertLessEqual(len(world.answers()["it"]), 1)
        self.assertFalse(world.outward.ledger.open)
        self.assertEqual(0, world.outward.way.credit.held)
        self.assertFalse(world.a.counters.violations or world.b.counters.violations)
        return f"{before:8} {times} runs, {' '.join(world.answers()['it'])}"

    def test_the_link_drops(self) -> None:
        lines = []
        for request_class in ("load", "post"):
            for point in ("before it was taken", "taken, not sent", "sent", "ended"):
                for back in (1000, 21_000, None):
                    when = "never" if back is None else f"after {back / 1000:.0f} s"
                    lines.append(
                        f"{request_class}, {point}, back {when}: {self.drop(request_class, point, back)}"
                    )
        self.check("halls_cuts", lines)


class Scenes(TraceCase):
    def play(self, name: str, world: TwoHalls) -> None:
        self.assertFalse(world.a.counters.violations or world.b.counters.violations)
        for label, answers in world.answers().items():
            self.assertEqual(1, len(answers), label)
        self.check(name, world.lines)

    def test_a_slowing_link(self) -> None:
        """Case 2: from 20 ms to 3 s of round trip; nobody waits for what comes after its time."""
        world = TwoHalls(trace=False, delay=10_000, cores=16)
        world.ready()
        late, asked, lines = [], 0, []
        for step in range(21):
            world.delay = int(10_000 * 150 ** (step / 20))
            for kind, patience in (("lookup", 1500), ("load", 4000)):
                asked += 1
                world.a.ask(f"{kind} {step}", kind, patience)
            world.run(120)
            for name in list(world.b.links[0].open):
                world.b.links[0].answer(name)
            world.run(80)
            late += [
                context
                for context in world.a.book.open_requests.values()
                if not context.is_answered and context.request.deadline_us < world.clocks[0].now()
            ]
            state = world.outward.way.health.state.value
            lines.append(
                f"round trip {world.delay // 500:5} ms: state {state}, "
                f"{len(world.outward.ledger.open)} under way"
            )
        for _ in range(60):
            world.run(100)
            for name in list(world.b.links[0].open):
                world.b.links[0].answer(name)
        answers = [how.split(",")[0] for told in world.answers().values() for how in told]
        self.assertFalse(late)
        self.assertEqual(asked, len(answers))
        lines.append(", ".join(f"{answers.count(how)} {how}" for how in sorted(set(answers))))
        self.check("halls_slow", lines)

    def test_the_far_gateway_is_restarted(self) -> None:
        """Case 3: all that its earlier life had taken is unknown."""
        world = TwoHalls()
        world.ready()
        for request_class in ("lookup", "load", "post"):
            world.a.ask(f"a {request_class}", request_class)
        world.run(60)
        world.cut()
        world.restart_far()
        world.run(100)
        world.connect()
        world.run(100)
        self.play("halls_restart", world)

    def test_the_far_gateway_and_an_engine_drain(self) -> None:
        """Case 3: an engine drains between taken and sent; then the gateway itself says goodbye."""
        world = TwoHalls(far_engines=2)
        world.ready()
        world.a.ask("first", "lookup")
        world.run(40)
        world.b.list(EndpointState.DRAINING, EndpointState.DRAINING)
        world.a.ask("nowhere", "lookup")
        world.run(40)
        world.b.list(EndpointState.DRAINING)
        world.a.ask("second", "lookup")
        world.run(500)
        ran_on = [engine for name, engine in world.runs if world.names[name] == "second"]
        self.assertEqual(["hall-b engine 1"], ran_on)
        world.inward.goodbye("this gateway ends")
        world.run(20)
        world.a.ask("too late", "post", 1000)
        world.run(20)
        for link in world.b.links:
            for name in list(link.open):
                link.answer(name)
        world.run(1000)
        self.play("halls_drain", world)

    def test_open_and_silent(self) -> None:
        """Case 4: both ways, and each way alone. What was under way is given up, the far side first."""
        for ways in (("there", "back"), ("there",), ("back",)):
            world = TwoHalls(near_engines=1)
            world.a.list(EndpointState.DRAINING)
            world.ready()
            world.a.ask("a lookup", "lookup")
            world.run(60)
            world.say(f"silent: {' and '.join(ways)}")
            world.swallow.update(ways)
            world.a.list(EndpointState.READY)
            world.run(4000)
            for name in list(world.a.links[0].open):
                world.a.links[0].answer(name)
            quits = [at for at, line in enumerate(world.lines) if "told to quit" in line]
            again = [at for at, line in enumerate(world.lines) if "hall-a engine 0 runs" in line]
            self.assertTrue(quits and again and quits[0] < again[0], "\n".join(world.lines))
            self.play(f"halls_silent_{'_'.join(ways)}", world)

    def test_each_believes_the_other_idle(self) -> None:
        """Case 5: what came across never crosses back, and is refused at once where there is no room."""
        world = TwoHalls(far_engines=1, cores=1)
        world.ready()
        world.b.ask("own", "lookup")
        world.fresh()
        world.outward.way.threads = 50.0
        world.a.gateway.site_forwarding.sites[0].policy_state.limit.value = 50.0
        for number in range(3):
            world.a.ask(f"one {number}", "lookup", 2000)
        # The far gateway has a way back that would take anything.
        far = type("Anything", (), {"accepts": lambda self, request, load, now: True})()
        hall = type(world.b.engines[0])(forwarding=far)
        world.b.gateway.on_site_updated(hall, 50.0, EndpointState.READY, world.clocks[1].now())
        world.b.route.forwarder = type("Nowhere", (), {"send": lambda *_: self.fail("it went back")})()
        world.run(300)
        counts = world.a.counters.counts
        world.say(f"{counts['crossings offered']} offered, {counts['crossings refused']} refused by now")
        world.run(3000)
        self.play("halls_no_way_back", world)

    def test_withdrawn_as_the_answer_comes(self) -> None:
        """Case 6: the withdrawal crosses the answer on its way; and the client goes just after it."""
        world = TwoHalls()
        world.ready()
        for label in ("crossing", "after", "long"):
            world.a.ask(label, "post")
        world.run(60)
        world.b.links[0].answer(world.name("crossing"))
        world.run(2)
        world.a.withdraw("crossing")
        world.b.links[0].answer(world.name("after"))
        world.run(8)
        world.a.withdraw("long")
        world.run(40)
        self.assertFalse(world.outward.ledger.open or world.inward.ledger.open or world.a.book.open_requests)
        self.assertFalse(world.b.book.open_requests)
        self.play("halls_withdrawn", world)

    def test_cut_within_a_result(self) -> None:
        """Case 6: the link goes while pages are on their way; they come again, from the first."""
        world = TwoHalls(delay=20_000)
        world.ready()
        world.a.ask("long", "post")
        world.run(100)
        row = b"x" * 90 + b"\t1\t2\n"
        world.b.links[0].answer(world.name("long"), body=row * 450)
        world.run(21)
        pages = world.crossing("long").pages
        world.say(f"{len(pages)} pages have come")
        world.cut()
        world.run(200)
        world.connect()
        world.run(300)
        self.play("halls_pages", world)
        self.assertIn("42750 bytes", world.answers()["long"][0])

    def test_a_peer_that_claims_what_it_was_not_given(self) -> None:
        """Case 7: the link ends with one line; what was open on it is settled by the next."""
        world = TwoHalls()
        world.ready()
        world.a.ask("mine", "post")
        world.run(60)
        world.inward._put(codec.Page(77, 0, 1, b"stolen\t1\t2\n"))
        world.run(20)
        self.assertIn("never given", world.broken)
        world.connect()
        world.run(50)
        world.b.links[0].answer(world.name("mine"))
        world.run(50)
        self.play("halls_claims", world)

    def test_an_old_incarnation_is_not_resumed(self) -> None:
        """Case 7: a welcome that says resumed, from a life that was never spoken to, is not believed."""
        world = TwoHalls()
        world.ready()
        world.a.ask("mine", "post")
        world.run(60)
        world.cut()
        world.connect()
        world.outward.receive(
            codec.encode_frame(
                codec.Welcome(
                    codec.VERSION,
                    [],
                    "hall-b",
                    "gb",
                    "another life",
                    True,
                    [(1, State.NEVER.value)],
                    16,
                    1 << 20,
                    LEASE,
                )
            ),
            world.clocks[0].now(),
        )
        self.play("halls_old_life", world)

    def test_further_relays_stay_in_their_window(self) -> None:
        """A further relay that was long on its way is not sent: the near budget reckons with little delay."""
        world = TwoHalls(near_engines=1, far_engines=1)
        world.ready()
        world.a.ask("again", "lookup")
        world.run(20)
        world.a.list(EndpointState.DRAINING)
        world.fresh()
        world.delay = 400_000
        world.a.links[0].reset()
        world.run(1)
        world.say(f"{len(world.outward.ledger.open)} under way")
        world.a.ask("first", "lookup")
        world.run(2000)
        for name in list(world.b.links[0].open):
            world.b.links[0].answer(name)
        world.run(9000)
        self.play("halls_further", world)


class Parts(TraceCase):
    def test_health(self) -> None:
        health, lines, now = Health(BEAT, SLOW, LEASE, HEAL), [], 10_000_000
        health.connected(now)
        last = None

        def pass_time(milliseconds: int, answer: int | None, text: str) -> None:
            """Beats each 100 ms, echoed after `answer` milliseconds, or not at all."""
            nonlocal now, last
            due: list[tuple[int, int]] = []
            for at in range(0, milliseconds, 10):
                now += 10_000
                if at % 100 == 0:
                    number, _, _ = health.next_beat(now)
                    if answer is not None:
                        due.append((now + answer * 1000, number))
                while due and due[0][0] <= now:
                    health.hear(health.heard + 1, due.pop(0)[1], 0, now)
                state = health.look(now)
                if state is not last:
                    lines.append(
                        f"{text}, {at} ms on: {state.value}, round trip "
                        f"{health.round_trip(now) // 1000} ms{', dead' if health.dead(now) else ''}"
                    )
                    last = state
            lines.append(f"{text}, in all {milliseconds} ms: {health.state.value}, dead {health.dead(now)}")

        pass_time(2000, 20, "calm")
        pass_time(2000, 400, "slow")
        pass_time(3000, 20, "calm again")
        pass_time(2500, None, "silent")
        lines.append(f"lease ends {(health.lease_end() - health.heard_at) / 1000:.0f} ms after the last word")
        health.lost()
        lines.append(f"lost: {health.look(now).value}")
        self.check("halls_health", lines)

    def test_credit_share_and_ramp(self) -> None:
        credit, lines = Credit(2, 100), []
        for size in (60, 60, 30, 10):
            has = credit.has(size)
            lines.append(f"{size} bytes: {'taken' if has else 'no credit'}")
            if has:
                credit.take(size)
        credit.give(60)
        lines.append(f"60 given back: {'room' if credit.has(60) else 'none'}")
        with self.assertRaises(AssertionError):
            credit.give(100)
        share = Share(0.5)
        for number in range(200):
            share.taken(number * 1000)
        crossed = 0
        while share.room(200_000):
            share.crossed(200_000)
            crossed += 1
        lines.append(f"of 200 taken, half may cross, and 20 in any case: {crossed}")
        ramp, counts = Ramp(), []
        for second in range(6):
            count = 0
            while count < 500 and ramp.room(0, second * 1_000_000 + 500_000):
                ramp.crossed(second * 1_000_000 + 500_000)
                count += 1
            counts.append(count)
        lines.append(f"in the seconds after a cut: {counts}")
        self.check("halls_bounds", lines)

    def test_frames_malformed(self) -> None:
        lines = []
        good = codec.encode_frame(codec.Beat(1, 0, 0))
        for text, data in (
            ("no kind", b"\0\0\0\x01\x63"),
            ("empty", b"\0\0\0\0\x03"),
            ("far too long", b"\x7f\0\0\0\x04"),
            ("no msgpack", b"\0\0\0\x03\x03\xc1\xc1"),
            ("too few fields", b"\0\0\0\x03\x03\x91\x01"),
            ("below nothing", b"\0\0\0\x05\x03\x93\xff\xff\xff"),
            (
                "a statement that is empty",
                codec.encode_frame(codec.Offer(1, 0, "0" * 16, "t", "", "", 0, 0, 1, 0, 0, 0, 0, True, b"")),
            ),
            (
                "a name that is none",
                codec.encode_frame(codec.Offer(1, 0, "nobody", "t", "", "", 0, 0, 1, 0, 0, 0, 0, True, b"x")),
            ),
            (
                "a mark with a comma",
                codec.encode_frame(
                    codec.Offer(1, 0, "0" * 16, "t", "", "a,w=1", 0, 0, 1, 0, 0, 0, 0, True, b"x")
                ),
            ),
        ):
            frames = codec.Frames()
            try:
                lines.append(f"{text}: taken as {frames.feed(good + data)}")
            except codec.FramingError as trouble:
                lines.append(f"{text}: {trouble}")
        frames, found = codec.Frames(), []
        for at in range(len(good)):
            found += frames.feed(good[at : at + 1])
        lines.append(f"in pieces: {found}")
        self.check("halls_frames", lines)


class Walks(TraceCase):
    """Random days on the virtual clock; what must hold is looked at after each step."""

    def walk(self, seed: int, steps: int = 120) -> TwoHalls:
        chance = random.Random(seed)
        world = TwoHalls(near_engines=1, far_engines=2, trace=True)
        world.ready()
        asked: dict[str, tuple[str, int]] = {}
        withdrawn: set[str] = set()
        silent = 0
        for step in range(steps):
            what = chance.choices(
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
            links = [link for link in world.a.links + world.b.links if link.open]
            if what == "ask":
                request_class, patience = chance.choice(list(TARIFFS)), chance.choice((700, 2500, 9000))
                asked[f"{request_class} {step}"] = request_class, world.clocks[0].now() + patience * 1000
                world.a.ask(f"{request_class} {step}", request_class, patience)
            elif what in ("answer", "full", "fail") and links:
                link = chance.choice(links)
                word = {"answer": b"served", "full": b"overload", "fail": b"crashed"}[what]
                link.answer(chance.choice(list(link.open)), word)
            elif what == "cut" and world.up:
                world.cut()
            elif what == "connect" and not world.up:
                world.connect()
            elif what == "silence":
                silent = step + 12
                world.swallow = set(chance.choice((("there",), ("back",), ("there", "back"))))
            elif what == "restart":
                if world.up:
                    world.cut()
                world.restart_far()
            elif what == "withdraw" and world.a.client.open_requests:
                number = chance.choice(list(world.a.client.open_requests))
                label = world.names[world.a.client.open_requests[number].query.name]
                withdrawn.add(label)
                world.a.withdraw(label)
            elif what == "near":
                world.a.list(chance.choice((EndpointState.READY, EndpointState.DRAINING)))
            elif what == "slow":
                world.delay = chance.choice((1_000, 20_000, 400_000))
            if step == silent:
                world.swallow.clear()
            world.run(chance.choice((1, 7, 40, 250)))
            self.hold(world, asked, withdrawn)
        world.swallow.clear()
        world.delay = 5_000
        for _ in range(70):
            world.run(200)
            if not world.up:
                world.connect()
            for link in world.a.links + world.b.links:
                for name in list(link.open):
                    link.answer(name)
            self.hold(world, asked, withdrawn)
        for name, answers in world.answers().items():
            self.assertEqual(1, len(answers), name)
        self.assertEqual(set(asked), set(world.answers()) | withdrawn)
        self.assertFalse(
            world.outward.ledger.open or world.a.book.open_requests or world.b.book.open_requests
        )
        self.assertEqual(
            (0, 0, 0),
            (world.outward.way.credit.held, world.outward.way.credit.held_size, world.outward.way.open),
        )
        return world

    def hold(self, world: TwoHalls, asked: dict[str, tuple[str, int]], withdrawn: set[str]) -> None:
        now = world.clocks[0].now()
        for label, (request_class, stop) in asked.items():
            if label not in withdrawn:
                self.assertTrue(label in world.answers() or now < stop, f"{label} has no answer")
            name = world.name(label)
            out = [link.name for link in world.a.links + world.b.links if name in link.open]
            self.assertLessEqual(len(out), 1, f"{label} is out twice: {out}")
            runs = [run for run in world.runs if run[0] == name]
            self.assertLessEqual(len(runs), 3, label)
            if request_class == "post":
                self.assertLessEqual(len(runs) - world.unrun.get(name, 0), 1, f"{label} ran twice")
                if "denied" in world.answers().get(label, ()):
                    self.assertEqual(len(runs), world.unrun.get(name, 0), f"{label} ran, and is denied")
            self.assertLessEqual(sum("hall-b" in run[1] for run in runs), 1, f"{label} crossed twice")
        self.assertFalse(world.a.counters.violations or world.b.counters.violations)

    def test_random_days(self) -> None:
        crossed = served = 0
        for seed in range(25):
            with self.subTest(seed=seed):
                world = self.walk(seed)
                crossed += world.a.counters.counts["crossings offered"]
                served += world.a.counters.counts["crossings served"]
        self.assertGreater(served, 50)
        self.assertGreater(crossed, served)
