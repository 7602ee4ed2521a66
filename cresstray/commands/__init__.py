"""What an operator types: `cresstray COMMAND`, or `python -m cresstray COMMAND`. Not loaded by a gateway."""

from __future__ import annotations

import os
import sys

import click


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
def group() -> None:
    """An admission gateway for queries on a pool of engines."""


@group.command()
@click.option("--config", type=click.Path(), envvar="GW_CONFIG", show_envvar=True,
              help="The gateway's configuration, as JSON.")
@click.option("--operator", type=click.Path(), envvar="GW_OPERATOR", show_envvar=True,
              help="The operator's file; without one, no optional part is on.")
def run(config: str | None, operator: str | None) -> None:
    """Start one gateway and stay in the foreground."""
    from cresstray import start
    if config:
        os.environ["GW_CONFIG"] = config
    if operator:
        os.environ["GW_OPERATOR"] = operator
    sys.exit(start.run())


@group.command("check-config")
@click.argument("file", type=click.Path())
def check_config(file: str) -> None:
    """Read an operator's file; tell what it sets, or all that is wrong with it (exit code 2)."""
    import msgspec

    from cresstray.conf import operator
    from cresstray.conf.lines import UnusableError
    try:
        given = operator.read(file)
        if given.halls is not None and given.halls.tls is not None:
            from cresstray.halls.tls import Contexts
            Contexts(given.halls.tls)
    except (UnusableError, OSError) as trouble:
        click.echo(str(trouble), err=True)
        sys.exit(2)
    click.echo(msgspec.json.format(msgspec.json.encode(given), indent=2).decode())


@group.command()
@click.argument("folder", type=click.Path(file_okay=False))
@click.argument("halls", nargs=-1, required=True)
@click.option("--days", default=365, show_default=True, help="How long the halls' certificates are good for.")
def keys(folder: str, halls: tuple[str, ...], days: int) -> None:
    """Make a private authority in FOLDER, unless there is one, and a key and certificate for each hall."""
    from cresstray.commands import authority
    try:
        for path in authority.make(folder, halls, days):
            click.echo(path)
    except (OSError, ValueError) as trouble:
        raise click.ClickException(str(trouble)) from None


@group.command()
@click.argument("socket", type=click.Path(exists=True))
@click.option("--json", "as_json", is_flag=True, help="One JSON object, as the gateway tells it.")
def links(socket: str, as_json: bool) -> None:
    """Tell the state of a running gateway's links and ledgers, by its control SOCKET."""
    from cresstray.halls import status
    try:
        told = status.ask(socket)
    except (OSError, ValueError) as trouble:
        raise click.ClickException(f"{socket}: {trouble}") from None
    for line in [status.as_json(told)] if as_json else status.lines(told):
        click.echo(line)


@group.command("try")
@click.option("--seconds", default=20, show_default=True, type=click.IntRange(8, 120))
@click.option("--seed", default=1, show_default=True)
def try_(seconds: int, seed: int) -> None:
    """Show two halls on built-in stand-ins: engines, a load, a cut of the link, and what became of it all."""
    from cresstray.standins import show
    sys.exit(show.main(seconds, seed))


def cli(words: list[str] | None = None) -> int:
    """Exit code of a command line."""
    try:
        group.main(args=words, prog_name="cresstray", standalone_mode=False)
    except click.ClickException as trouble:
        trouble.show()
        return 2
    except click.exceptions.Abort:
        return 130
    return 0


def main() -> None:
    """The console's entry; without a command, the gateway as the platform starts it."""
    from cresstray.start import run as start
    sys.exit(cli(sys.argv[1:]) if sys.argv[1:] else start())
