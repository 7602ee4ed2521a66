"""Handle of an emulated store that runs as a process."""

from __future__ import annotations

import json
import socket
import subprocess
import sys
from typing import Any

_CONTROL_TIMEOUT_S = 10
_EXIT_TIMEOUT_S = 10


class StoreProcess:
    """A store that is started, controlled, stopped, killed, and started again at the same port."""

    def __init__(self, *options: str) -> None:
        """`options` are those of the command line."""
        self._options = options
        self.port = 0
        self.control = 0
        self.start()

    def start(self, content: list[dict[str, Any]] | None = None) -> None:
        """Starts it.

        `content` is what it holds from the first moment on, as `tell("copy 10000")` returns it.
        """
        port_options = ["--port", str(self.port)] if self.port else []
        closed_options = ["--closed"] if content is not None else []
        self.process = subprocess.Popen(
            [
                sys.executable,
                "-m",
                "cresstray.emulators.store",
                *port_options,
                *closed_options,
                *self._options,
            ],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
        )
        assert self.process.stdout is not None, "started with a pipe"
        ports = json.loads(self.process.stdout.readline())
        self.port = ports["port"]
        self.control = ports["control"]
        if content is not None:
            self.tell(f"load {json.dumps(content)}")
            self.tell("accept")

    def tell(self, line: str) -> Any:
        """Sends a line to the control port and returns the reply; ValueError where it was refused."""
        address = ("127.0.0.1", self.control)
        with (
            socket.create_connection(address, _CONTROL_TIMEOUT_S) as connection,
            connection.makefile("rwb") as file,
        ):
            file.write(line.encode() + b"\n")
            file.flush()
            reply = json.loads(file.readline())
        if isinstance(reply, dict) and "error" in reply:
            raise ValueError(f"{line}: {reply['error']}")
        return reply

    def kill(self) -> None:
        """Kills it."""
        self.process.kill()
        self.stop()

    def stop(self) -> None:
        """Ends it by the end of its standard input."""
        assert self.process.stdin is not None and self.process.stdout is not None, "started with pipes"
        self.process.stdin.close()
        self.process.wait(_EXIT_TIMEOUT_S)
        self.process.stdout.close()

    def __enter__(self) -> StoreProcess:
        return self

    def __exit__(self, *_: object) -> None:
        if self.process.poll() is None:
            self.kill()
