"""`python -m cresstray`: a gateway as the platform starts it, or with words a command."""

from __future__ import annotations

import sys

from cresstray.gateway.startup import run


def main(words: list[str] | None = None) -> int:
    """Exit code of a command line; without words, of one gateway."""
    if words:
        from cresstray.cli import cli

        return cli(words)
    return run()


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
