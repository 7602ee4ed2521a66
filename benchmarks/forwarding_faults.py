"""One fault at a time while requests of each class run at the other site.

`python -m benchmarks.forwarding_faults`. Each play has processes of its own: a gateway and an engine at each
site, and the network between them. Requests of hall-a cross, as its engine is away, and run at hall-b beside
a request of a client of hall-b that must run once. The engine of hall-a comes back, and then the fault
begins. Printed is what clients were answered, and how often a promise was broken.
"""

from __future__ import annotations

import json
import signal
import subprocess
import sys
import tempfile
from collections.abc import Awaitable, Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

import anyio
import click

from cresstray.emulators.account import Asked
from cresstray.emulators.clients import Drawn, Kind
from cresstray.emulators.world import Gateway, World

# Long enough for a lease to end while a request runs; answered within `_DEADLINE_S`.
_WORK_S, _DEADLINE_S = 4.0, 9.0
_KINDS = [
    Kind("lookup", 0.4, _WORK_S, 1, 8.0, _DEADLINE_S, 1.0, "idempotent"),
    Kind("load", 0.3, _WORK_S, 1, 8.0, _DEADLINE_S, 10.0, "deduplicated"),
    Kind("post", 0.3, _WORK_S, 1, 8.0, _DEADLINE_S, 10.0, "at_most_once"),
]
_CORES = 8
# Links are slowed for five seconds after they come up.
_LINK_TRIAL_S = 6.0
# Until hall-a's list has its engine again, and until all answers are in after the deadline.
_LISTED_S, _SETTLING_S = 0.6, 1.0
_START_S = 3.0


@dataclass(frozen=True)
class Fault:
    """What happens while the requests run: `begin`, and `end` after some seconds where it ends."""

    name: str
    begin: Callable[[World], object]
    seconds: float | None = None
    end: Callable[[World], object] = World.heal


def _silence(*directions: str) -> Callable[[World], None]:
    def begin(world: World) -> None:
        for network in world.networks():
            network.silent.update(directions)

    return begin


def _remote_gateway(world: World) -> Gateway:
    return world.halls["hall-b"].gateways[0]


def _send(number: signal.Signals) -> Callable[[World], None]:
    def send(world: World) -> None:
        process = _remote_gateway(world).process
        assert process is not None, "the gateway was started"
        process.send_signal(number)

    return send


def _kill(world: World) -> None:
    _remote_gateway(world).kill()


def _replace_killed(world: World) -> None:
    _kill(world)
    _remote_gateway(world).start()


async def _replace_terminated(world: World) -> None:
    await _remote_gateway(world).stop()
    _remote_gateway(world).start()


async def _cut_and_replace(world: World) -> None:
    world.cut()
    await _replace_terminated(world)
    world.heal()


def _lose_remote_engine(world: World) -> None:
    world.lose("hall-b", 1)


def _hang_remote_engine(world: World) -> None:
    for engine in world.halls["hall-b"].engines:
        engine.silent = True


FAULTS = {
    fault.name: fault
    for fault in (
        Fault("none", lambda _: None),
        *(Fault(f"cut for {seconds} s", World.cut, seconds) for seconds in (0.5, 3.0)),
        Fault("cut", World.cut),
        *(
            Fault(f"silent {name} for {seconds} s", _silence(*directions), seconds)
            for name, directions in (("there", ("there",)), ("back", ("back",)), ("both", ("there", "back")))
            for seconds in (0.5, 3.0, 60.0)
        ),
        Fault("remote gateway killed", _kill),
        Fault("remote gateway killed and replaced", _replace_killed),
        Fault("remote gateway terminated and replaced", _replace_terminated),
        Fault("link cut, remote gateway terminated and replaced", _cut_and_replace),
        *(
            Fault(
                f"remote gateway stopped for {seconds} s",
                _send(signal.SIGSTOP),
                seconds,
                _send(signal.SIGCONT),
            )
            for seconds in (0.5, 2.0, 5.0)
        ),
        Fault("remote engine dies", _lose_remote_engine),
        Fault("remote engine hangs", _hang_remote_engine),
    )
}


@dataclass
class PlayResult:
    """What one play showed: answers by class, the answer to hall-b's own request, and broken promises."""

    fault: str
    can_cancel: bool
    answers: dict[str, str]
    own_answer: str
    attempts: dict[str, int]
    broken: dict[str, int]

    def line(self) -> str:
        """The result as one line of a table."""
        answers = ", ".join(
            f"{name} {answer} ({self.attempts[name]})" for name, answer in self.answers.items()
        )
        cancel = "yes" if self.can_cancel else "no"
        return f"| {self.fault} | {cancel} | {answers} | {self.own_answer} | {self.broken or 'nothing'} |"


async def play(fault: Fault, can_cancel: bool, folder: Path) -> PlayResult:
    """Plays one fault; raises TimeoutError where the requests do not start at hall-b."""
    world = World(folder, gateways=1, engines=1, cores=_CORES, kinds=_KINDS, can_cancel=can_cancel)
    async with world.up():
        await anyio.sleep(_LINK_TRIAL_S)
        world.lose("hall-a", 1)
        await anyio.sleep(_LISTED_S)
        own = await world.client("hall-b").ask(_request(0, _KINDS[2]))
        client = world.client("hall-a")
        forwarded = [await client.ask(_request(number, kind)) for number, kind in enumerate(_KINDS, 1)]
        with anyio.fail_after(_START_S):
            while not all(world.account.runs.get(asked.name) for asked in (own, *forwarded)):
                await anyio.sleep(0.01)
        world.restore("hall-a")
        until = anyio.current_time() + _DEADLINE_S + _SETTLING_S
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_inflict, fault, world)
            await anyio.sleep(until - anyio.current_time())
            tasks.cancel_scope.cancel()
        result = _result(fault, can_cancel, world, own, forwarded)
        # A stopped process would not end.
        _send(signal.SIGCONT)(world)
    return result


async def _inflict(fault: Fault, world: World) -> None:
    await _call(fault.begin, world)
    if fault.seconds is not None:
        await anyio.sleep(fault.seconds)
        await _call(fault.end, world)


async def _call(step: Callable[[World], object], world: World) -> None:
    pending = step(world)
    if isinstance(pending, Awaitable):
        await pending


def _request(number: int, kind: Kind) -> Drawn:
    return Drawn(0.0, f"{number + 1:016x}", kind, _WORK_S, 0.0)


def _result(fault: Fault, can_cancel: bool, world: World, own: Asked, forwarded: list[Asked]) -> PlayResult:
    promises = world.account.promises(anyio.current_time())
    return PlayResult(
        fault.name,
        can_cancel,
        {asked.tariff: _answer(asked) for asked in forwarded},
        _answer(own),
        {asked.tariff: len(world.account.runs[asked.name]) for asked in forwarded},
        {promise: count for promise, count in promises.items() if count},
    )


def _answer(asked: Asked) -> str:
    if not asked.answers:
        return "let go" if asked.let_go else "none"
    at, how = asked.answers[0]
    return f"{how} at {at - asked.asked:.1f} s"


def _play_in_process(fault: str, can_cancel: bool) -> PlayResult:
    command = [sys.executable, "-m", "benchmarks.forwarding_faults", "--one", fault]
    command += [] if can_cancel else ["--no-cancel"]
    output = subprocess.run(command, stdout=subprocess.PIPE, check=True).stdout
    return PlayResult(**json.loads(output.splitlines()[-1]))


@click.command()
@click.option("--jobs", default=6, show_default=True, help="Plays at once.")
@click.option("--rounds", default=1, show_default=True, help="Plays of each fault and setting.")
@click.option("--only", multiple=True, type=click.Choice([*FAULTS]))
@click.option("--one", hidden=True, type=click.Choice([*FAULTS]))
@click.option("--no-cancel", is_flag=True, hidden=True)
def main(jobs: int, rounds: int, only: tuple[str, ...], one: str | None, no_cancel: bool) -> None:
    """Play the faults, with cancelling permitted and not; exit code 1 where a promise was broken."""
    if one:
        with tempfile.TemporaryDirectory() as folder:
            print(json.dumps(vars(anyio.run(play, FAULTS[one], not no_cancel, Path(folder)))))
        return
    plays = [(name, can_cancel) for name in only or FAULTS for can_cancel in (True, False)] * rounds
    print("| fault | cancelling permitted | answers (attempts) | own request of hall-b | broken |")
    print("| --- | --- | --- | --- | --- |")
    has_broken = False
    with ThreadPoolExecutor(jobs) as pool:
        for result in pool.map(lambda arguments: _play_in_process(*arguments), plays):
            print(result.line(), flush=True)
            has_broken = has_broken or bool(result.broken)
    sys.exit(1 if has_broken else 0)


if __name__ == "__main__":
    main()
