"""Starts without discovery, as processes: the hard cases, and a power loss in virtual time."""

import subprocess
import sys
import tempfile
import time
import unittest
from collections.abc import Awaitable, Callable
from pathlib import Path
from unittest import mock

import anyio

from benchmarks import cold_start
from cresstray.emulators import world
from cresstray.emulators.account import PROMISES
from cresstray.emulators.clients import draw
from cresstray.emulators.cold import FragileEngine, Plan, ReturningCoordinator
from cresstray.emulators.coordinator import ZONES
from cresstray.emulators.world import KINDS, Gateway, Hall, World
from cresstray.membership import snapshot as record
from cresstray.membership.snapshot import LatencyEntry
from cresstray.simulation.cold import ColdStart, seconds_to_target
from cresstray.simulation.cold_workload import SECOND_US as SECOND
from tests import test_membership_recovery as join

DAY = 86_400
KEPT_WITHIN = 8
# Runs a gateway whose folder can't be written to, or whose machine has started anew with a clock set back.
LAUNCH = {
    "read-only": """
def opened(path, flags, mode=0o777, real=files.FileSystem.open):
    if flags & (os.O_WRONLY | os.O_RDWR):
        raise OSError(errno.EROFS, os.strerror(errno.EROFS))
    return real(path, flags, mode)
files.FileSystem.open = staticmethod(opened)
""",
    "set back": """
def read_clocks(real=files.read_clocks):
    now = real()
    return now._replace(wall_us=now.wall_us - 86_400_000_000, boot_id="another", uptime_us=5_000_000)
files.read_clocks = read_clocks
""",
}


class Odd(Gateway):
    """One gateway's process, in a world that is not as it should be."""

    how = ""

    def start(self) -> None:
        code = (
            "import errno, os, runpy\nfrom cresstray.membership import snapshot_files as files\n"
            + LAUNCH[self.how]
            + "runpy.run_module('cresstray', run_name='__main__', alter_sys=True)\n"
        )
        with open(self.folder / f"{self.name}.log", "a") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-O", "-c", code],
                stderr=log,
                stdout=log,
                env=world.os.environ
                | {
                    "GW_CONFIG": str(self.folder / f"{self.name}.json"),
                    "GW_OPERATOR": str(self.folder / f"{self.name}.conf"),
                },
            )


class Lists(unittest.TestCase):
    """Two gateways, two dozen engines that fall when pushed, lists of some age, a register that returns."""

    def started(self, age: float | None, changed: float, seconds: float, **more: object) -> dict:
        usual = [LatencyEntry(kind.name, 50, *[kind.work / kind.threads * 1e6] * 2, 1.0) for kind in KINDS]
        left = {
            name: record.Snapshot(
                owner=name,
                wall_us=0,
                boot_id="",
                uptime_us=0,
                index=0,
                is_handed_over=False,
                zones=list(ZONES),
                instance_types=["std"],
                endpoints=[],
                tombstones=[],
                latencies=usual,
                limits=[],
                request_names=[],
            )
            for name in ("g0", "g1")
        }
        with tempfile.TemporaryDirectory() as place:
            for name in left:
                (Path(place) / f"kept-{name}").mkdir()
            return anyio.run(lambda: cold_start.start(Path(place), left, age, changed, seconds, 3, 2, **more))

    def test_a_week_old_list_and_a_register_that_contradicts_it(self) -> None:
        made = self.started(7 * DAY, 0.5, 2.0)
        told = made["told"]
        self.assertEqual({}, {name: count for name, count in made["promises"].items() if count})
        self.assertEqual((0, 0), (told["late"], told["fallen"]))
        self.assertTrue(0 < told["peak"] < cold_start.PEAK)
        # Fifteen of 24 are where the list has them, the register's return brings the others; one is gone.
        self.assertGreater(made["payoff"], 0.3)
        self.assertEqual((1, 0), (sum(got == 0 for got in told["got"]), told["got"][-1]))

    def test_strangers_are_found_out_by_what_may_be_asked_twice(self) -> None:
        strangers = self.started(7 * DAY, 0.5, 2.0, after=0)["told"]["strangers"]
        self.assertGreater(sum(strangers.values()), 0)
        self.assertNotIn("ledger-post", strangers)

    def test_without_a_list_what_is_gone_is_sent_to_and_counted(self) -> None:
        self.assertGreater(self.started(None, 0.0, 0.5, after=0, trusts=True)["told"]["late"], 0)


class Halls(World):
    """Both halls' gateways keep lists; their engines fall when pushed cold, their registers can be down."""

    def _write(self, hall: Hall, given: dict, link: str) -> None:
        hall.coordinator._listener.close()
        hall.coordinator = ReturningCoordinator(world._free_port())
        hall.coordinator.known = {}
        given["Safety"]["WarmUp"] = 4000
        super()._write(hall, given, link)
        for gateway in hall.gateways:
            kept = self._folder / f"kept-{gateway.name}"
            kept.mkdir()
            with open(self._folder / f"{gateway.name}.conf", "a") as file:
                file.write(f"kept {kept}\n")

    def registers(self, number: int) -> None:
        for hall in self.halls.values():
            hall.coordinator.up(number, list(hall.listed.values()))


class PowerLoss(unittest.TestCase):
    def test_all_gateways_of_both_halls_restart_at_once_on_cold_engines(self) -> None:
        mean = sum(kind.share * kind.work for kind in KINDS)
        plan = Plan(4, bears=4 * 0.85 * 0.9 / mean, work=mean, warm_up=4.0)

        async def main(folder: Path) -> None:
            halls = Halls(folder)
            gateways = [one for hall in halls.halls.values() for one in hall.gateways]
            halls.registers(1000)
            async with halls.up():
                await halls.play(
                    {hall: draw(KINDS, [(0.0, 150.0)], 1.5, at) for at, hall in enumerate(halls.halls)},
                    [],
                    0.3,
                )
                for gateway in gateways:
                    await gateway.stop()
                engines = [engine for hall in halls.halls.values() for engine in hall.engines]
                for hall in halls.halls.values():
                    hall.coordinator.down()
                for engine in engines:
                    engine.die()
                await anyio.sleep(0.1)
                for engine in engines:
                    engine.start_again()
                    engine.peak, engine.got = 0.0, 0
                for file in folder.glob("kept-*/engines.?"):
                    self.age(file)
                for gateway in gateways:
                    gateway.start()
                for gateway in gateways:
                    await gateway.ready()
                halls.account.asked.clear()
                halls.account.runs.clear()
                await halls.play(
                    {hall: draw(KINDS, [(0.0, 100.0)], 3.0, 5 + at) for at, hall in enumerate(halls.halls)},
                    [(2.0, lambda: halls.registers(1001))],
                    2.0,
                )
                self.assertEqual(dict.fromkeys(PROMISES, 0), halls.account.promises(anyio.current_time()))
                self.assertEqual(0, sum(engine.fallen for engine in engines))
                peaks = [engine.peak for engine in engines]
                self.assertTrue(0 < min(peaks) and max(peaks) < cold_start.PEAK, peaks)
                for hall, share in halls.account.payoff().items():
                    self.assertGreater(share, 0.6, hall)
                for hall in halls.halls.values():
                    hall.coordinator.down()
            for gateway in gateways:
                self.assertIn("recovered 4 endpoints", (folder / f"{gateway.name}.log").read_text())
                self.assertEqual(0, gateway.process.returncode)

        with (
            tempfile.TemporaryDirectory() as place,
            mock.patch.object(
                world,
                "Engine",
                lambda label, _, marks, account, most: FragileEngine(label, plan, marks, account),
            ),
        ):
            anyio.run(main, Path(place))

    def age(self, file: Path) -> None:
        """As before a loss of power: by another boot's clock, and not handed over."""
        name = file.parent.name.removeprefix("kept-")
        kept = cold_start.SnapshotFolder(str(file.parent), name)
        left = kept.read().snapshot
        self.assertTrue(kept.lock())
        kept.write(
            cold_start.msgspec.structs.replace(left, boot_id="before", is_handed_over=False, request_names=[])
        )
        kept.unlock()

    def test_in_virtual_time_none_falls_and_nothing_goes_to_who_is_gone(self) -> None:
        before = ColdStart(3, 10, 24, None, 0.5, 4.0).run(8)
        after = [ColdStart(3, 10, 24, 7 * DAY * SECOND, 0.5, 4.0).run(8) for _ in range(2)]
        self.assertEqual(*after)
        self.assertEqual((0, 0), (after[0].known_removed, after[0].fallen))
        self.assertTrue(after[0].strangers > 0 and 0 < after[0].peak < 1.6)
        self.assertTrue(before.share < 0.5 < 0.8 < after[0].share <= after[0].share_bound, after[0])
        # Work that is half as heavy again as when it was learnt, and more of it than all can do.
        self.assertEqual(0, ColdStart(3, 10, 24, 7 * DAY * SECOND, 0.0, 4.0, 1.2, 1.5).run(4).fallen)

    def test_a_register_that_is_behind_pushes_no_cold_engine(self) -> None:
        """Back in a second, with starts from before the loss of power; more is asked than all can do."""
        told = ColdStart(3, 10, 24, 10 * SECOND, 0.0, 1.0, load=1.5).run(4)
        self.assertEqual((0, 0), (told.fallen, told.known_removed))
        self.assertGreater(told.peak, 0)
        with mock.patch(
            "cresstray.membership.estimate.MembershipEstimate._start_for_listing_us",
            lambda self, member, *_: member.started_us,
        ):
            self.assertGreater(ColdStart(3, 10, 24, 10 * SECOND, 0.0, 1.0, load=1.5).run(4).fallen, 0)

    def test_engines_fall_where_nobody_minds_that_they_are_cold(self) -> None:
        with mock.patch("cresstray.policy.slow_start.SlowStartPolicy.has_capacity", lambda *_: True):
            self.assertGreater(ColdStart(3, 10, 24, 10 * SECOND, 0.0, 4.0, load=2.0).run(3).fallen, 0)

    def test_seconds_to_nine_tenths(self) -> None:
        could = [1.0] * 20
        self.assertEqual(0.0, seconds_to_target(could, could, 0.5))
        self.assertEqual(0.5, seconds_to_target([0.0, 0.6] + [1.0] * 18, could, 0.5))
        # A dip of half a second is none in five; one of two seconds is.
        self.assertEqual(0.0, seconds_to_target([1.0] * 10 + [0.1] + [1.0] * 9, could, 0.5))
        self.assertEqual(4.0, seconds_to_target([1.0] * 6 + [0.5] * 4 + [1.0] * 10, could, 0.5))
        self.assertIsNone(seconds_to_target([1.0] * 17 + [0.5] * 3, could, 0.5))


class Folders(unittest.TestCase):
    def play(self, scene: Callable[[join.GatewayFixture], Awaitable], draining: bool = False) -> None:
        """A gateway has been told of four engines, one of them draining or gone, and was killed."""

        async def main() -> None:
            with tempfile.TemporaryDirectory() as folder:
                stage = join.GatewayFixture(folder)
                async with anyio.create_task_group() as tasks:
                    for engine in stage.engines:
                        tasks.start_soon(engine.run)
                    stage.listed[2].state = "terminating" if draining else "in_service"
                    try:
                        await stage.run_first_gateway(tasks)
                        await stage.wait_for_snapshot([1, 2, 3], [4])
                        stage.gateway.kill()
                        await scene(stage)
                        await stage.gateway.stop()
                        self.assertEqual(0, stage.gateway.process.returncode)
                        self.assertNotIn("Traceback", stage.log())
                    finally:
                        if stage.gateway.lives():
                            stage.gateway.kill()
                        tasks.cancel_scope.cancel()

        anyio.run(main)

    def odd(self, stage: join.GatewayFixture, how: str) -> None:
        stage.gateway = Odd("g0", stage.path)
        stage.gateway.how = how

    def files(self, stage: join.GatewayFixture) -> dict[str, bytes]:
        return {file.name: file.read_bytes() for file in stage.snapshot_folder.glob("engines.*")}

    def test_a_folder_that_cannot_be_written_costs_freshness_only(self) -> None:
        async def scene(stage: join.GatewayFixture) -> None:
            before = self.files(stage)
            self.odd(stage, "read-only")
            await stage.start()
            await stage.wait_for_served(12, 5)
            await anyio.sleep(2.5)  # beyond the first write
            await stage.wait_for_served(1, 1)
            self.assertEqual(before, self.files(stage))
            self.assertIn("snapshot not written: Read-only file system", stage.log())
            self.assertIn("recovered 3 endpoints", stage.log())

        self.play(scene)

    def test_a_clock_set_back_by_a_day_after_a_power_loss(self) -> None:
        async def scene(stage: join.GatewayFixture) -> None:
            self.odd(stage, "set back")
            await stage.start(known=True)  # the configuration still names the one that is gone
            before = stage.received_counts()
            await stage.wait_for_served(12, 5)
            self.assertEqual(before[3], stage.received_counts()[3], "a clock has raised the dead")
            self.assertIn(
                "recovered 3 endpoints and 0 request classes from a snapshot, of unknown age", stage.log()
            )

        self.play(scene)

    def test_two_processes_on_one_folder(self) -> None:
        async def scene(stage: join.GatewayFixture) -> None:
            await stage.start()
            first, stage.gateway = stage.gateway, Gateway("g0", stage.path)
            try:
                await stage.start()
                await stage.wait_for_served(4, 5)
                with anyio.fail_after(KEPT_WITHIN):
                    while "another process holds this folder" not in stage.log():
                        await anyio.sleep(0.1)
                self.assertTrue(first.lives())
                before = self.files(stage)
                stage.gateway.kill()  # it takes nothing with it
                self.assertEqual(before, self.files(stage))
                stage.gateway = first
                await stage.wait_for_served(4, 5)
                await stage.gateway.stop()
                found = join.SnapshotFolder(str(stage.snapshot_folder), "g0").read()
                self.assertEqual((True, []), (found.snapshot.is_handed_over, found.skipped_lines))
            finally:
                if first.lives():
                    first.kill()

        self.play(scene)

    def test_draining_when_it_was_written_and_started_anew_since(self) -> None:
        async def scene(stage: join.GatewayFixture) -> None:
            engine, grace = stage.engines[2], 1.0
            engine.die()
            await anyio.sleep(0.05)
            engine.start_again()
            before, begun = engine.got, await stage.start()
            while time.monotonic() < begun + 0.9 * grace:
                await stage.wait_for_served(1, 5)
            self.assertEqual(before, engine.got, "asked before its drain must be over")
            await anyio.sleep(max(0.0, begun + grace + 0.5 - time.monotonic()))
            await stage.wait_for_served(24, 5)
            self.assertGreater(engine.got, before)
            self.assertIn("recovered 3 endpoints", stage.log())

        self.play(scene, draining=True)


if __name__ == "__main__":
    unittest.main()
