"""`cresstray placement`: a plan made, carried out and cancelled, by an operator."""

from __future__ import annotations

import secrets
import time
from collections.abc import Callable
from typing import Any

import click
import msgspec

from cresstray.cli import fleet
from cresstray.config.lines import UnusableError
from cresstray.fleet_config import documents
from cresstray.placement import fleetmap, model, moves
from cresstray.placement.model import Limits, Plan
from cresstray.placement.move_executor import DiskReport

# How often an operator is told; a plan takes minutes to hours.
_TELL = 1.0
# Disks that were asked longer ago are not planned for, in microseconds.
_FRESH = 10_000_000


class Made(msgspec.Struct):
    """What `plan` writes and `apply` reads. `made_of`: the version of the placement that it starts from."""

    id: str
    made_of: int
    limits: Limits
    headroom: dict[str, int]
    plan: Plan


@click.group()
def placement() -> None:
    """Where shards lie: a plan of moves, and what becomes of it."""


def _typed(act: Callable[[], int]) -> None:
    """Exit codes: 0 done, 1 told and not done, 2 wrong or no answer."""
    try:
        code = act()
    except (UnusableError, fleet.NoAnswerError, model.PlacementError, ValueError, OSError) as trouble:
        for line in str(trouble).splitlines():
            click.echo(line, err=True)
        code = 2
    raise SystemExit(code)


_JSON = click.option("--json", "as_json", is_flag=True, help="One JSON object.")
_SECONDS = click.option(
    "--answer-in",
    default=15.0,
    show_default=True,
    type=click.FloatRange(0.1, 600),
    help="Seconds to try for an answer of the keepers.",
)


@placement.command()
@click.argument("file", type=click.Path())
@click.option("--empty", multiple=True, help="An engine to be emptied; barred ones are.")
@click.option(
    "--keep-free",
    default=0.1,
    show_default=True,
    type=click.FloatRange(0, 0.9),
    help="Share of each disk that stays free at every moment.",
)
@click.option("--keep-free-bytes", default=0, type=click.IntRange(0), help="And so many bytes at the least.")
@click.option(
    "--tolerance",
    default=0.05,
    show_default=True,
    type=click.FloatRange(0, 1),
    help="How near to the mean each engine's fill is to be.",
)
@click.option(
    "--moves",
    "at_once",
    default=2,
    show_default=True,
    type=click.IntRange(1, 64),
    help="At once on an engine.",
)
@click.option(
    "--share",
    default=0.3,
    show_default=True,
    type=click.FloatRange(0.01, 1),
    help="Of an engine's pace, for all copies that it sends or takes.",
)
@click.option(
    "--border-moves",
    default=8,
    show_default=True,
    type=click.IntRange(1, 1024),
    help="At once between two zones.",
)
@click.option("--border-pace", default=0, type=click.IntRange(0), help="Bytes a second between two zones.")
@click.option(
    "--seconds", default=20.0, show_default=True, type=click.FloatRange(1, 600), help="For the solver."
)
@click.option("--write", "path", type=click.Path(dir_okay=False), help="The plan, for `apply`.")
@_JSON
@_SECONDS
def plan(
    file: str,
    empty: tuple[str, ...],
    keep_free: float,
    keep_free_bytes: int,
    tolerance: float,
    at_once: int,
    share: float,
    border_moves: int,
    border_pace: int,
    seconds: float,
    path: str | None,
    as_json: bool,
    answer_in: float,
) -> None:
    """Make a plan from what is placed and what disks tell, by the operator's FILE; nothing moves yet."""

    def act() -> int:
        from cresstray.placement.check import check
        from cresstray.placement.worker import plan_in_worker

        line = fleet.Line(fleet.read(file), answer_in)
        limits = Limits(tolerance, at_once, share, border_moves, border_pace)
        given = documents.parse_documents(fleet.ask(line, "show")["documents"])
        told = msgspec.convert(fleet.ask(line, "disks")["disks"], dict[str, DiskReport])
        world = _world(given, told, empty, keep_free, keep_free_bytes, limits)
        found = plan_in_worker(world, seconds)
        # Danger: a plan that was wrongly ordered would be half carried out before it shows.
        broken = check(world, found)
        if broken:
            raise ValueError("the plan breaks what it was to keep: " + "; ".join(broken[:5]))
        made = Made(
            f"{time.strftime('%Y%m%d-%H%M%S', time.gmtime())}-{secrets.token_hex(3)}",
            given.version("placement"),
            limits,
            {place.engine: place.headroom for place in world.places},
            found,
        )
        body = msgspec.json.encode(made)
        if path:
            with open(path, "wb") as sink:
                sink.write(body)
        for text in [body.decode()] if as_json else _lines(world, made):
            click.echo(text)
        return 0

    _typed(act)


def _world(
    given: documents.Documents,
    told: dict[str, DiskReport],
    empty: tuple[str, ...],
    keep_free: float,
    keep_free_bytes: int,
    limits: Limits,
) -> model.Fleet:
    # The leader asks all of them beside each other: one that lags behind the others does not answer.
    newest = max((disk.asked_at_us for disk in told.values()), default=0)
    fresh = [disk for disk in told.values() if newest - disk.asked_at_us <= _FRESH]
    if not fresh:
        raise ValueError("no disk has told anything to the leader yet")
    known = {disk.engine for disk in fresh} | {
        copy for shard in given.placement.items.values() for copy in shard.copies
    }
    unknown = sorted(set(empty) - known)
    if unknown:
        raise ValueError(f"no engine {', '.join(unknown)} holds a shard, or tells of its disk")
    fenced = sorted(name for name, shard in given.placement.items.items() if not shard.primary)
    if fenced:
        raise ValueError(f"shards without a primary: {', '.join(fenced[:5])}; a plan needs one for each")
    out = set(empty) | {
        name for name, rule in given.engines.items.items() if rule.is_barred and name in known
    }
    disks = [
        fleetmap.DiskCapacity(
            disk.engine,
            disk.zone,
            disk.free,
            disk.pace,
            {name: copy.bytes for name, copy in disk.copies.items()},
        )
        for disk in fresh
    ]
    grown = {
        name: fleetmap.ShardLoad(copy.growth)
        for disk in fresh
        for name, copy in disk.copies.items()
        if copy.primary
    }
    return fleetmap.build_fleet(
        given.placement.items, disks, grown, sorted(out), keep_free, keep_free_bytes, limits
    )


def _lines(world: model.Fleet, made: Made) -> list[str]:
    lines = [
        f"plan {made.id}, from version {made.made_of} of the placement",
        *fleetmap.describe_plan(world, made.plan),
    ]
    for number, stage in enumerate(made.plan.stages, 1):
        lines.append(f"stage {number}:")
        lines += [
            f"  {move.shard}: {move.source} > {move.target}, {move.bytes} bytes"
            + (", primary" if move.primary else "")
            + (", a hop" if move.hop else "")
            for move in (made.plan.moves[at] for at in stage)
        ]
    return lines


@placement.command()
@click.argument("file", type=click.Path())
@click.argument("made", type=click.File("rb"))
@click.option("--no-wait", is_flag=True, help="Begin it only; asked again, its progress is told.")
@_JSON
@_SECONDS
def apply(file: str, made: Any, no_wait: bool, as_json: bool, answer_in: float) -> None:
    """Carry out a plan that MADE holds, and tell how far it is; asked again, it goes on telling.

    Exit code 1: cancelled, or halted; make a new plan then, what was moved is kept.
    """

    def act() -> int:
        try:
            given = msgspec.json.decode(made.read(), type=Made)
        except (msgspec.MsgspecError, UnicodeDecodeError) as trouble:
            raise ValueError(f"this is not a plan: {trouble}") from None
        line = fleet.Line(fleet.read(file), answer_in)
        begun = begin(line, given)
        if begun:
            click.echo(begun, err=True)
            return 1
        return 0 if no_wait else _follow(line, given.id, as_json, answer_in)

    _typed(act)


def begin(line: fleet.Line, made: Made) -> str:
    """Puts the plan into the log; why it was refused, or nothing. Asked again: begun once."""
    for part, entry in enumerate(
        moves.begin_entries(made.id, line.who, made.plan, made.limits, made.headroom)
    ):
        # Its name is drawn anew each time: what was refused once may be taken now, and is begun once anyway.
        told = fleet.ask(
            line,
            "section",
            name=moves.SECTION_NAME,
            delta=entry,
            request_id=f"{made.id}/{part}/{secrets.token_hex(4)}",
        )
        if told["outcome"] not in (moves.APPLIED, moves.ALREADY_APPLIED):
            return told["outcome"].decode()
    return ""


def _follow(line: fleet.Line, name: str, as_json: bool, answer_in: float) -> int:
    before = ""
    while True:
        _more(line, answer_in)
        now = fleet.ask(line, "moves")
        if now["plan"] != name:
            raise ValueError(f"plan {name} is no longer the last one; that is {now['plan']}")
        text = progress(now)
        if not as_json and text != before:
            click.echo(text)
            for index, why in sorted(now["waits"].items(), key=lambda one: int(one[0]))[:5]:
                click.echo(f"  move {index} waits: {why}")
        before = text
        if now["over"]:
            if as_json:
                click.echo(msgspec.json.encode(now).decode())
            else:
                for why in now["back"]:
                    click.echo(f"  went back: {why}")
            return 1 if now["halted"] or now["cancelled"] else 0
        time.sleep(_TELL)


def _more(line: fleet.Line, seconds: float) -> None:
    """Danger: its time is for all that is asked on it; a plan is followed for hours."""
    line._until = time.monotonic() + seconds


def progress(told: dict[str, Any]) -> str:
    states = ", ".join(f"{count} {name}" for name, count in told["states"].items())
    share = told["copied"] / told["bytes"] if told["bytes"] else 1.0
    more = f"; halted, plan anew: {told['halted']}" if told["halted"] else ""
    more += "; cancelled" if told["cancelled"] else ""
    return f"plan {told['plan']}: {states or 'nothing to move'}; {min(1.0, share):.0%} of the bytes{more}"


@placement.command()
@click.argument("file", type=click.Path())
@_JSON
@_SECONDS
def cancel(file: str, as_json: bool, answer_in: float) -> None:
    """Cancel the plan under way: what has switched goes on to its end, all else goes back."""

    def act() -> int:
        line = fleet.Line(fleet.read(file), answer_in)
        now = fleet.ask(line, "moves")
        if now["plan"] is None or now["over"]:
            click.echo("no plan is under way", err=True)
            return 1
        told = fleet.ask(
            line,
            "section",
            name=moves.SECTION_NAME,
            request_id=f"cancel/{now['plan']}",
            delta=moves.encode(moves.CancelPlan(now["plan"], line.who)),
        )
        if told["outcome"] not in (moves.APPLIED, moves.ALREADY_APPLIED):
            raise ValueError(told["outcome"].decode())
        return min(0, _follow(line, now["plan"], as_json, answer_in))

    _typed(act)
