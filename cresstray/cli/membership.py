"""`cresstray kept`: looks at the folder in which a gateway keeps its list, and takes an engine out of it."""

from __future__ import annotations

import re
import sys
from collections.abc import Iterable

import click
import msgspec

from cresstray.membership import inspection as operate
from cresstray.membership.errors import UnusableSnapshotError
from cresstray.membership.snapshot_files import SnapshotFolder, one_line, read_clocks


@click.group()
def kept() -> None:
    """The list that a gateway keeps on disk; FOLDER as the operator's file names it."""


_FOLDER = click.argument("folder", type=click.Path(exists=True, file_okay=False))
_NAME = click.option("--name", required=True, help="The gateway's name, as its configuration has it.")


def _read(folder: str, name: str) -> dict:
    """What a gateway that starts now would take; what it would skip is told."""
    found = SnapshotFolder(folder, name).read()
    for line in found.skipped_lines:
        click.echo(line, err=True)
    if found.snapshot is None:
        raise click.ClickException(f"{folder}: no list that can be used")
    return operate.report(found.snapshot, read_clocks())


@kept.command()
@_FOLDER
@_NAME
def show(folder: str, name: str) -> None:
    """Tell what is kept, a line each; a running gateway may know more by now."""
    for line in _lines(_read(folder, name)):
        click.echo(line)


def _lines(told: dict) -> Iterable[str]:
    yield (
        f"{told['owner']}: {_old(told['age'])}, index {told['index']}, {told['limits']} limits"
        + (", handed over" if told["handed_over"] else "")
    )
    for one in told["engines"]:
        yield (
            f"engine {one['id']} {one['address']} {_old(one['age'])}, trust {one['trust']:.2f}"
            + (", drained" if one["draining"] else "")
        )
    for one in told["gone"]:
        yield f"gone {one['id']} by index {one['index']}, for {one['days']:g} days of running"
    for one in told["tariffs"]:
        yield f"tariff {one['name']} {one['answers']} answers, {one['mean_ms']:g} ms"


def _old(age: float | None) -> str:
    return "of an unknown age" if age is None else f"{age:g} s old"


@kept.command()
@_FOLDER
@_NAME
def export(folder: str, name: str) -> None:
    """The same as one JSON object."""
    click.echo(msgspec.json.format(msgspec.json.encode(_read(folder, name)), indent=2).decode())


@kept.command()
@_FOLDER
@_NAME
def verify(folder: str, name: str) -> None:
    """Tell of each file whether it can be used; exit code 1 where one can't be, or there is none."""
    told = operate.verify(SnapshotFolder(folder, name))
    for file, _, line in told:
        click.echo(f"{file}: {line}")
    if not told:
        click.echo(f"{folder}: nothing is kept here", err=True)
    sys.exit(0 if told and all(good for _, good, _ in told) else 1)


@kept.command()
@_FOLDER
@click.argument("engine")
@_NAME
def forget(folder: str, engine: str, name: str) -> None:
    """Take ENGINE, as s-0000002a, out of a stopped gateway's list, until the register names it anew."""
    found = re.fullmatch(r"s-([0-9a-f]{1,8})", engine)
    if not found:
        raise click.ClickException(f"expected an engine such as s-0000002a; this is {engine!r}")
    try:
        operate.forget(SnapshotFolder(folder, name), int(found[1], 16))
    except BlockingIOError as trouble:
        raise click.ClickException(str(trouble)) from None
    except KeyError:
        raise click.ClickException(f"{folder}: no engine {engine} is kept here") from None
    except (OSError, UnusableSnapshotError) as trouble:
        raise click.ClickException(f"{folder}: {one_line(trouble)}") from None
    click.echo(f"{engine} is forgotten")
