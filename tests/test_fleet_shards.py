"""Shards of a fleet under faults, by processes: moves, sessions, lagging copies, a primary switched."""

import signal
import tempfile
import time
import unittest
from collections import Counter
from collections.abc import Awaitable, Callable
from pathlib import Path

import anyio

from cresstray.emulators.fleet.operators import Operator, Watch, edited, listed
from cresstray.emulators.fleet.processes import NAME
from cresstray.emulators.fleet.shards import (
    Plan,
    Seen,
    ShardFleet,
    Told,
    Verdict,
    carried,
    copies_lost,
    harmed_at,
    heads,
    judged,
    planned,
)
from cresstray.fleet_config import documents

# Of each shard, the numbers of its copies, the primary first.
PLACED = {"17": (2, 1), "18": (0, 3), "19": (1, 2)}
ONE = {"17": (2, 1), "18": (0, 3)}  # one of them on the engine that is emptied


def _read(name: str, engine: str = "b", at: str | None = "t", session: str = "s") -> Told:
    return Told(session, "17", name, 0.0, 0.5, 0.0, "fulfilled", engine, at)


class Judged(unittest.TestCase):
    """Accounts that are wrong are found so."""

    def judged(self, *lines: tuple, told: tuple[Told, ...] = (), head: int = 99) -> Verdict:
        return judged(
            [
                Seen(engine, what, name, at, "17", writes, 1, position, engine == "a")
                for engine, what, name, at, writes, position in lines
            ],
            told,
            4,
            {"17": head},
        )

    def test_going_back_and_bounds(self) -> None:
        lines = (
            ("a", "answered", "w", 1.0, True, 5),
            ("b", "answered", "r1", 1.2, False, 5),
            ("b", "answered", "r2", 1.4, False, 4),
            ("b", "answered", "r3", 1.6, False, 4),
        )
        found = self.judged(*lines, told=(_read("r1"), _read("r2")))
        self.assertEqual((found.went_back, found.bound_broken, found.by_copies), (1, 0, 2))
        # Another session, or one that was handed nothing, may see less; none may miss what is older.
        self.assertEqual(self.judged(*lines, told=(_read("r1"), _read("r2", session="t"))).went_back, 0)
        self.assertEqual(self.judged(*lines, told=(_read("r1", at=None), _read("r2"))).went_back, 0)
        self.assertEqual(self.judged(*lines, told=(_read("r3"),)).bound_broken, 1)

    def test_writes_of_two_and_lost(self) -> None:
        lines = (("a", "answered", "w", 1.0, True, 5), ("b", "answered", "v", 2.0, True, 5))
        found = self.judged(*lines, head=4)
        self.assertEqual((found.twice, found.lost), (1, 1))
        self.assertEqual((self.judged(lines[0], head=5).twice, self.judged(lines[0], head=5).lost), (0, 0))

    def test_share_of_a_primary(self) -> None:
        for apart, over in ((0.06, False), (0.02, True)):  # of 20 ms each, for 0.4 of a second a second
            lines = [
                (("a", what, str(number), number * apart + more, False, 1))
                for number in range(200)
                for what, more in (("took", 0.0), ("answered", 0.02))
            ]
            found = self.judged(*lines, told=tuple(_read(str(number), "a") for number in range(200)))
            self.assertEqual(found.primary_over_share > 0, over)
            self.assertEqual(found.by_copies, 0)


class Shards(unittest.TestCase):
    """Three keepers, three gateways and five engines as processes."""

    def play(
        self,
        script: Callable[[ShardFleet, Operator], Awaitable[None]],
        placed: dict[str, tuple[int, ...]] = PLACED,
        steps: tuple[str, ...] | None = None,
    ) -> ShardFleet:
        async def main() -> None:
            async with fleet.up(), anyio.create_task_group() as tasks:
                ports = {name: one.port for name, one in fleet.keepers.items()}
                operator, watch = Operator("operator", NAME, ports, tasks), Watch(NAME, ports, tasks)
                tasks.start_soon(watch.run)
                await listed(operator, watch, fleet.gateways)
                await fleet.placed_first(operator, watch)
                try:
                    with anyio.fail_after(30):
                        await script(fleet, operator)
                except Exception as trouble:  # told without the task groups around it
                    failed.append(trouble)
                operator.close()
                tasks.cancel_scope.cancel()

        failed: list[Exception] = []
        fleet = ShardFleet(
            Path(self.enterContext(tempfile.TemporaryDirectory())), placed, size=1_200_000, steps=steps
        )
        anyio.run(main)
        if failed:
            raise failed[0]
        self.assertEqual(fleet.counters().get("faults", 0), 0)
        return fleet

    async def closed(self, fleet: ShardFleet, operator: Operator) -> Verdict:
        await anyio.sleep(0.5)  # what is on its way is noted
        return judged(fleet.seen(), fleet.sessions, fleet.cores, heads(fleet, await operator.documents(5)))

    async def moved(self, fleet: ShardFleet, operator: Operator, cut: bool) -> Plan:
        """A plan that takes a primary and a copy elsewhere, under sessions of all shards."""
        async with anyio.create_task_group() as tasks:
            for number in range(6):
                tasks.start_soon(fleet.session, f"s{number}", [*PLACED][number % 3], number + 1, 15.0)
            plan = await planned(fleet, fleet.ids[2])
            self.assertEqual(sorted(plan.targets), ["17", "19"])
            if cut:
                tasks.start_soon(self.cut, fleet, plan)
            await carried(fleet, plan, operator, 25, harm=False)
            await anyio.sleep(0.5)
            tasks.cancel_scope.cancel()
        return plan

    async def cut(self, fleet: ShardFleet, plan: Plan) -> None:
        """g3 hears no keeper from when the primary's switch begins: it goes on by its lease."""
        while not any("fenced" in step for step in plan.steps):
            await anyio.sleep(0.01)
        fleet.mesh.silence("g3")
        await anyio.sleep(1.0)
        fleet.mesh.heal()

    def test_session_across_gateways_while_its_primary_is_switched_with_one_gateway_cut(self) -> None:
        async def script(fleet: ShardFleet, operator: Operator) -> None:
            plan = await self.moved(fleet, operator, cut=True)
            self.assertEqual(plan.told["states"], {"done": 2}, plan.steps)
            found = await self.closed(fleet, operator)
            self.assertEqual((found.went_back, found.bound_broken, found.lines), (0, 0, []))
            # The old primary answered until it was told; what it took is with the new one, and nothing twice.
            writers = {
                one.engine
                for one in fleet.seen()
                if one.shard == "17" and one.writes and one.what == "answered"
            }
            self.assertEqual(writers, {fleet.ids[2], plan.targets["17"]})
            self.assertEqual((found.twice, found.lost), (0, 0))
            ways = {asked.gateway for asked in fleet.account.asked.values() if asked.answers}
            self.assertEqual(ways, {"g1", "g2", "g3"})
            for name in ("s0", "s3"):  # each went on after the switch, by tokens through all gateways
                own = [told for told in fleet.sessions if told.session == name and told.at]
                self.assertGreater(len(own), 10)

        self.play(script)

    def one_move(
        self, script: Callable[[ShardFleet, Operator, Plan], Awaitable[None]], pace: str = "1"
    ) -> None:
        """A primary's move, at a part of its pace, under sessions that are judged at the end."""

        async def main(fleet: ShardFleet, operator: Operator) -> None:
            for engine in fleet.ids:
                fleet.say(engine, "FAULT", "slow", pace)
            async with anyio.create_task_group() as tasks:
                for number in range(4):
                    tasks.start_soon(fleet.session, f"s{number}", [*ONE][number % 2], number + 1, 15.0)
                plan = await planned(fleet, fleet.ids[2])
                self.assertEqual([*plan.targets], ["17"])
                await script(fleet, operator, plan)
                await anyio.sleep(0.5)
                tasks.cancel_scope.cancel()
            found = await self.closed(fleet, operator)
            self.assertEqual(
                (found.went_back, found.bound_broken, found.twice, found.lost), (0,) * 4, found.lines
            )
            self.assertEqual(copies_lost(fleet, await operator.documents(5)), [])
            self.assertEqual(plan.moves(fleet)["headroom_broken"], 0)

        self.play(main, ONE)

    def test_target_is_killed_at_each_step_and_its_leader_at_the_next(self) -> None:
        async def script(fleet: ShardFleet, operator: Operator, plan: Plan) -> None:
            await harmed_at(fleet, plan, operator, within=25)
            # All six, but where a machine under load is too late for a short one.
            kills = [sum(step.startswith(who) for step in plan.steps) for who in ("target", "leader")]
            self.assertGreater(min(kills), 3, plan.steps)
            self.assertEqual(plan.told["states"], {"done": 1}, plan.steps)
            self.assertLess(plan.moves(fleet)["bytes"], 1.05 * plan.bound)

        self.one_move(script)

    def test_old_primary_is_frozen_as_it_is_fenced_and_answers_when_it_wakes(self) -> None:
        async def script(fleet: ShardFleet, operator: Operator, plan: Plan) -> None:
            async def freeze() -> None:
                while not any("catching" in step or "fenced" in step for step in plan.steps):
                    await anyio.sleep(0.01)
                fleet.mesh.silence("g3")  # it goes on by its lease, which the fence waits for
                while not any("fenced" in step for step in plan.steps):
                    await anyio.sleep(0.01)
                fleet.disks[fleet.ids[2]].send_signal(signal.SIGSTOP)
                await anyio.sleep(2)
                frozen.extend(plan.steps)
                fleet.disks[fleet.ids[2]].send_signal(signal.SIGCONT)
                fleet.mesh.heal()

            frozen: list[str] = []
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(freeze)
                await carried(fleet, plan, operator, 25, harm=False)
            self.assertEqual(plan.told["states"], {"done": 1}, plan.steps)
            # Its last head is known from itself only: until it answered, no other was made the primary.
            self.assertEqual("fenced:1", frozen[-1])

        self.one_move(script)

    def test_disk_of_the_target_fills_while_it_copies(self) -> None:
        async def script(fleet: ShardFleet, operator: Operator, plan: Plan) -> None:
            async def fill() -> None:
                while not any("copying" in step for step in plan.steps):
                    await anyio.sleep(0.01)
                left = fleet.say(target, "SHARDS")["free"]
                # So much stays above its headroom: less than what is still to come.
                fleet.say(target, "FAULT", "other", str(left - 2_000_000 - 300_000))

            target = plan.targets["17"]
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(fill)
                await carried(fleet, plan, operator, 15, harm=False)
            self.assertEqual(plan.told["states"], {"cancelled": 1}, plan.steps)
            self.assertNotIn("17", fleet.accounts()[target]["shards"])
            fleet.say(target, "FAULT", "other", "0")
            for engine in fleet.ids:
                fleet.say(engine, "FAULT", "slow", "1")
            await anyio.sleep(1)
            again = await planned(fleet, fleet.ids[2])
            await carried(fleet, again, operator, 15, harm=False)
            self.assertEqual(again.told["states"], {"done": 1}, again.steps)

        self.one_move(script, "0.1")

    def test_a_copy_that_claims_a_position_ahead_of_the_head_is_left_out_and_told(self) -> None:
        async def script(fleet: ShardFleet, operator: Operator) -> None:
            liar = fleet.ids[1]
            async with anyio.create_task_group() as tasks:
                for number in range(4):
                    tasks.start_soon(fleet.session, f"s{number}", "17", number + 1, 15.0)
                await anyio.sleep(1.5)
                fleet.say(liar, "FAULT", "lie", "100000")
                began = anyio.current_time()
                await anyio.sleep(3)
                ended = anyio.current_time()
                tasks.cancel_scope.cancel()
            found = await self.closed(fleet, operator)
            reads = [
                one.at
                for one in fleet.seen()
                if one.engine == liar and one.shard == "17" and one.what == "took"
            ]
            self.assertGreater(sum(at < began for at in reads), 10)
            self.assertEqual(0, sum(began + 1 < at < ended for at in reads))
            late = [told for told in fleet.sessions if told.began > began + 1]
            self.assertGreater(sum(told.how == "fulfilled" for told in late), 20)
            for name in fleet.keepers:
                told = (fleet.process(name).folder / f"{name}.log").read_text()
                self.assertIn(f"copy {liar} of shard 17", told)
            self.assertEqual((found.went_back, found.bound_broken), (0, 0), found.lines)

        self.play(script)

    def test_only_the_end_of_a_pin_is_by_the_wall_clock(self) -> None:
        """Reads are pinned to a primary; the clocks of two of three gateways jump, and one's pin is over."""

        async def script(fleet: ShardFleet, operator: Operator) -> None:
            primary, unix = fleet.ids[2], int(time.time())
            pin = documents.Pin(request_class="lookup", copies=(primary,), is_strict=True, until_s=unix + 40)
            await operator.change(edited("replicas", "held", pin), 5)
            async with anyio.create_task_group() as tasks:
                for number in range(4):
                    tasks.start_soon(fleet.session, f"s{number}", "17", number + 1, 15.0)
                await anyio.sleep(2)
                began = anyio.current_time()
                for name, by in (("g1", 60), ("g2", -60)):
                    fleet.gateways[name].step(by)
                await anyio.sleep(2.5)
                ended = anyio.current_time()
                tasks.cancel_scope.cancel()
            self.assertLess(time.time(), pin.until_s)
            found = await self.closed(fleet, operator)
            self.assertEqual((found.went_back, found.bound_broken), (0, 0), found.lines)
            reads, elsewhere = Counter(), Counter()
            for one in fleet.seen():
                if (
                    one.what == "took"
                    and not one.writes
                    and one.shard == "17"
                    and (began + 0.5 < one.at < ended)
                ):
                    gateway = fleet.account.asked[one.name].gateway
                    reads[gateway] += 1
                    elsewhere[gateway] += one.engine != primary
            self.assertGreater(min(reads[gateway] for gateway in fleet.gateways), 5)
            self.assertGreater(elsewhere["g1"], 3)
            self.assertEqual((0, 0), (elsewhere["g2"], elsewhere["g3"]))

        self.play(script, steps=())

    def test_all_copies_lag(self) -> None:
        async def script(fleet: ShardFleet, operator: Operator) -> None:
            for engine in fleet.ids:
                fleet.say(engine, "FAULT", "lag", "20000000")
            async with anyio.create_task_group() as tasks:
                for number in range(30):
                    tasks.start_soon(
                        fleet.session,
                        f"s{number}",
                        "17",
                        number + 1,
                        30.0,
                        0.3,
                        0.0 if number else 1.0,
                        0.02,
                        ("primary", "deny")[number % 2],
                    )
                await anyio.sleep(4)
                tasks.cancel_scope.cancel()
            found = await self.closed(fleet, operator)
            self.assertEqual((found.bound_broken, found.primary_over_share, found.lines), (0, 0, []))
            since = fleet.sessions[0].began + 1
            late = [told for told in fleet.sessions if told.within and told.began > since]
            fallen = sum(told.how == "fulfilled" for told in late)
            # Three seconds of the share are 60 reads: some fall back, most are denied, none is lost.
            self.assertGreater(fallen, 10)
            self.assertGreater(sum(told.how.startswith("-32000") for told in late), fallen)
            self.assertEqual({told.how.split()[0] for told in late if told.ended}, {"fulfilled", "-32000"})
            writes = [told for told in fleet.sessions if not told.within and told.ended]
            # The primary has room for its own work all the time.
            self.assertGreater(len(writes), 30)
            self.assertEqual({told.how for told in writes}, {"fulfilled"})

        self.play(script)


if __name__ == "__main__":
    unittest.main()
