"""What an operator types: `cresstray COMMAND`, or `python -m cresstray COMMAND`. Not loaded by a gateway."""

from __future__ import annotations

import os
import sys

import click


class _Group(click.Group):
    """Its commands, and those that are loaded only when they are typed."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Returns all names that help prints; `kept`, the earlier name of `membership`, is not among them."""
        return sorted([*super().list_commands(ctx), "membership", "placement"])

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """Returns a command by its name, or by its earlier name; None for any other."""
        if cmd_name == "placement":
            from cresstray.cli import placement

            return placement.placement
        if cmd_name in ("membership", "kept"):
            from cresstray.cli import membership

            return membership.membership
        return super().get_command(ctx, cmd_name)


@click.group(cls=_Group, context_settings={"help_option_names": ["-h", "--help"]})
def group() -> None:
    """An admission gateway for queries on a pool of engines."""


@group.command()
@click.option(
    "--config",
    type=click.Path(),
    envvar="GW_CONFIG",
    show_envvar=True,
    help="The gateway's configuration, as JSON.",
)
@click.option(
    "--operator",
    type=click.Path(),
    envvar="GW_OPERATOR",
    show_envvar=True,
    help="The operator's file; without one, no optional part is on.",
)
def run(config: str | None, operator: str | None) -> None:
    """Start one gateway and stay in the foreground."""
    from cresstray.gateway import startup as start

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

    from cresstray.config import operator
    from cresstray.config.lines import UnusableError

    try:
        given = operator.read(file)
        for part in (given.halls, given.fleet):
            if part is not None and part.tls is not None:
                from cresstray.sites.tls import TlsContexts

                TlsContexts(part.tls)
        if given.store is not None:
            from cresstray.idempotency import client

            client.check_files(given.store)
    except (UnusableError, OSError) as trouble:
        click.echo(str(trouble), err=True)
        sys.exit(2)
    click.echo(msgspec.json.format(msgspec.json.encode(given), indent=2).decode())
    if given.fleet is not None:
        click.echo(
            f"rules may contradict each other for {given.fleet.stated / 1e6:g} s at the longest", err=True
        )


@group.command()
@click.argument("folder", type=click.Path(file_okay=False))
@click.argument("halls", nargs=-1, required=True)
@click.option("--days", default=365, show_default=True, help="How long the halls' certificates are good for.")
def keys(folder: str, halls: tuple[str, ...], days: int) -> None:
    """Make a private authority in FOLDER, unless there is one, and a key and certificate for each hall."""
    from cresstray.cli import authority

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
    from cresstray.sites import status

    try:
        told = status.request_status(socket)
    except (OSError, ValueError) as trouble:
        raise click.ClickException(f"{socket}: {trouble}") from None
    for line in [status.as_json(told)] if as_json else status.format_lines(told):
        click.echo(line)


@group.command()
@click.argument("file", type=click.Path())
@click.option("--name", required=True, help="Which of the file's keepers this one is.")
@click.option("--found", is_flag=True, help="Only write the file of a keeper of a new fleet; once each.")
@click.option("--dump", is_flag=True, help="Only tell the documents in its file, as JSON; it must not run.")
def keeper(file: str, name: str, found: bool, dump: bool) -> None:
    """Run one keeper of the fleet in the foreground, by an operator's FILE."""
    from cresstray.cli import fleet

    sys.exit(fleet.keep(file, name, found, dump))


@group.group()
def rules() -> None:
    """What all gateways of a fleet agree on: look at it, change it, see who has it."""


_JSON = click.option("--json", "as_json", is_flag=True, help="One JSON object.")
_SECONDS = click.option(
    "--seconds",
    default=15.0,
    show_default=True,
    type=click.FloatRange(0.1, 600),
    help="How long to try for an answer.",
)


@rules.command()
@click.argument("file", type=click.Path())
@click.option(
    "--document",
    type=click.Choice(["gateways", "engines", "tenants", "tariffs", "placement", "replicas"]),
    help="Only this one.",
)
@click.option("--version", default=0, type=click.IntRange(0), help="Of this version; 0: the latest.")
@click.option("--history", is_flag=True, help="The changes of late instead.")
@_JSON
@_SECONDS
def show(file: str, document: str | None, version: int, history: bool, as_json: bool, seconds: float) -> None:
    """Tell the documents, by the operator's FILE."""
    from cresstray.cli import fleet

    sys.exit(fleet.show(file, document, version, history, as_json, seconds))


@rules.command()
@click.argument("file", type=click.Path())
@click.argument("change", type=click.File("rb"), required=False)
@click.option("--dry-run", is_flag=True, help="Only tell what would differ, or every refusal.")
@click.option("--whole", is_flag=True, help="CHANGE has whole documents, in place of what is there.")
@click.option("--back-to", default=0, type=click.IntRange(0), help="This version's content, not CHANGE.")
@click.option("--why", default="", help="Kept with the change.")
@click.option("--request", default="", help="Its name: asked again by the same one, it is made once.")
@click.option("--no-wait", is_flag=True, help="Don't wait until it is in force.")
@_JSON
@_SECONDS
def propose(
    file: str,
    change: object,
    dry_run: bool,
    whole: bool,
    back_to: int,
    why: str,
    request: str,
    no_wait: bool,
    as_json: bool,
    seconds: float,
) -> None:
    """Propose a CHANGE: JSON of documents, merged into what is there; null takes out. - is standard input.

    Exit code 1: refused. 2: wrong, or no answer. With "versions" it is taken only if they are the latest.
    """
    from cresstray.cli import fleet

    sys.exit(
        fleet.change(
            file,
            change.read() if change is not None else None,
            dry_run,
            whole,
            back_to,
            why,
            request,
            not no_wait,
            as_json,
            seconds,
        )
    )


@rules.command()
@click.argument("file", type=click.Path())
@click.option("--replace", default="", help="Make this keeper's new generation a member, not the old one.")
@_JSON
@_SECONDS
def members(file: str, replace: str, as_json: bool, seconds: float) -> None:
    """Tell the keepers' members and leader, or replace one that has lost its file."""
    from cresstray.cli import fleet

    sys.exit(fleet.members(file, replace, as_json, seconds))


@rules.command()
@click.argument("file", type=click.Path())
@_JSON
@_SECONDS
def where(file: str, as_json: bool, seconds: float) -> None:
    """Tell each gateway's turn, what is left of its lease, and when it was heard."""
    from cresstray.cli import fleet

    sys.exit(fleet.where(file, as_json, seconds))


@rules.command()
@click.argument("file", type=click.Path())
@click.argument("gateway")
@click.option("--why", default="", help="Kept with the change.")
@_JSON
@_SECONDS
def forget(file: str, gateway: str, why: str, as_json: bool, seconds: float) -> None:
    """Say that a GATEWAY which no list names any more is out for good, so that its share is given away.

    Make sure of it: if it runs yet, engines get more than their share.
    """
    from cresstray.cli import fleet

    sys.exit(fleet.forget(file, gateway, why, as_json, seconds))


@group.command("try")
@click.option("--seconds", default=20, show_default=True, type=click.IntRange(8, 120))
@click.option("--seed", default=1, show_default=True)
def try_(seconds: int, seed: int) -> None:
    """Show two halls on built-in stand-ins: engines, a load, a cut of the link, and what became of it all."""
    from cresstray.emulators import show

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
    from cresstray.gateway.startup import run as start

    sys.exit(cli(sys.argv[1:]) if sys.argv[1:] else start())
