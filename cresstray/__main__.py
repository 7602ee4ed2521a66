"""Command line entry point: `python -m cresstray [COMMAND ...]`; without a command it runs one gateway."""

from __future__ import annotations

import sys

from cresstray.gateway.startup import run


def main(arguments: list[str] | None = None) -> int:
    """Runs a command, or without arguments one gateway; returns the exit code."""
    if arguments:
        # Imported here to keep the command line's modules out of a gateway's limited memory.
        from cresstray.cli import cli

        return cli(arguments)
    return run()


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
