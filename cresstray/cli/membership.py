"""`cresstray membership`: inspects the folder of a gateway's snapshots, and removes an endpoint from it."""

from __future__ import annotations

import re
import sys
from collections.abc import Iterable
from typing import Any

import click
import msgspec

from cresstray.membership import inspection
from cresstray.membership.errors import FolderInUseError, UnknownEndpointError, UnusableSnapshotError
from cresstray.membership.snapshot_files import SnapshotFolder, one_line, read_clocks


@click.group()
def membership() -> None:
    """The endpoint list that a gateway stores; FOLDER as the operator's file names it."""


_FOLDER = click.argument("folder", type=click.Path(exists=True, file_okay=False))
_NAME = click.option("--name", required=True, help="The gateway's name, as its configuration has it.")


def _read_report(folder: str, name: str) -> dict[str, Any]:
    """Returns the report of what a gateway that starts now would take; prints what it would skip."""
    found = SnapshotFolder(folder, name).read()
    for line in found.skipped_lines:
        click.echo(line, err=True)
    if found.snapshot is None:
        raise click.ClickException(f"{folder}: no list that can be used")
    return inspection.report(found.snapshot, read_clocks())


@membership.command()
@_FOLDER
@_NAME
def show(folder: str, name: str) -> None:
    """Show the stored list, a line each; a running gateway may know more by now."""
    for line in _report_lines(_read_report(folder, name)):
        click.echo(line)


def _report_lines(report: dict[str, Any]) -> Iterable[str]:
    handover_text = ", handed over" if report["handed_over"] else ""
    age_text = _age_text(report["age"])
    yield f"{report['owner']}: {age_text}, index {report['index']}, {report['limits']} limits{handover_text}"
    for one in report["engines"]:
        drain_text = ", drained" if one["draining"] else ""
        age_text = _age_text(one["age"])
        yield f"engine {one['id']} {one['address']} {age_text}, trust {one['trust']:.2f}{drain_text}"
    for one in report["gone"]:
        yield f"gone {one['id']} by index {one['index']}, for {one['days']:g} days of running"
    for one in report["tariffs"]:
        yield f"tariff {one['name']} {one['answers']} answers, {one['mean_ms']:g} ms"


def _age_text(age_seconds: float | None) -> str:
    return "of an unknown age" if age_seconds is None else f"{age_seconds:g} s old"


@membership.command()
@_FOLDER
@_NAME
def export(folder: str, name: str) -> None:
    """Print the same as one JSON object."""
    report = msgspec.json.encode(_read_report(folder, name))
    click.echo(msgspec.json.format(report, indent=2).decode())


@membership.command()
@_FOLDER
@_NAME
def verify(folder: str, name: str) -> None:
    """Check whether each file can be used; exit code 1 where one can't be, or there is none."""
    checks = inspection.verify(SnapshotFolder(folder, name))
    for check in checks:
        click.echo(f"{check.file_name}: {check.line}")
    if not checks:
        click.echo(f"{folder}: nothing is kept here", err=True)
    is_usable = bool(checks) and all(check.is_usable for check in checks)
    sys.exit(0 if is_usable else 1)


@membership.command()
@_FOLDER
@click.argument("engine")
@_NAME
def forget(folder: str, engine: str, name: str) -> None:
    """Remove ENGINE, as s-0000002a, from a stopped gateway's list, until discovery names it anew."""
    found = re.fullmatch(r"s-([0-9a-f]{1,8})", engine)
    if not found:
        raise click.ClickException(f"expected an engine such as s-0000002a; this is {engine!r}")
    try:
        inspection.forget(SnapshotFolder(folder, name), int(found[1], 16))
    except FolderInUseError as error:
        raise click.ClickException(str(error)) from None
    except UnknownEndpointError:
        raise click.ClickException(f"{folder}: no engine {engine} is kept here") from None
    except (OSError, UnusableSnapshotError) as error:
        raise click.ClickException(f"{folder}: {one_line(error)}") from None
    click.echo(f"{engine} is forgotten")
