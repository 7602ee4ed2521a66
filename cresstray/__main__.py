"""Starts one gateway as the platform does, or runs a command: `python -m cresstray [COMMAND ...]`."""

from __future__ import annotations

import sys

from cresstray.gateway.startup import run


def main(arguments: list[str] | None = None) -> int:
    """Returns the exit code of a command line; without arguments, of one gateway."""
    if arguments:
        # Imported here: a gateway's memory has no room for what the command line needs.
        from cresstray.cli import cli

        return cli(arguments)
    return run()


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
