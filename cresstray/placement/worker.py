"""Runs the solver in a process of its own: `python -m cresstray.placement.worker`.

The pipes carry msgpack messages, each after its length in four bytes (big-endian). The worker reads the time
limit and the fleet. It writes each better plan at once, and finally the best plan or the reason for none.
"""

from __future__ import annotations

import subprocess
import sys
import threading
from collections.abc import Callable
from typing import BinaryIO

import msgspec

from cresstray.placement.model import DeadEndError, Fleet, ImpossibleError, PlacementError, Plan

# Time beyond the limit to load scipy, to read the fleet, and to order the moves of the last plan.
_KILL_MARGIN_S = 10.0
# 5,000 shards take about 0.5 MB, and their plan less. A corrupt length could exhaust the memory.
_MAX_FRAME_BYTES = 256_000_000


class SolverRequest(msgspec.Struct, array_like=True):
    """The input of the worker."""

    seconds: float
    fleet: Fleet


class SolverReply(msgspec.Struct, array_like=True):
    """One reply of the worker; `kind` is better, final, impossible, dead end or fault."""

    kind: str
    plan: Plan | None = None
    why: str = ""
    missing: dict[str, int] = {}
    proven: bool = False


class WorkerError(PlacementError):
    """The worker process couldn't be started, died, or found no plan in time."""


def plan_in_worker(
    fleet: Fleet, seconds: float, margin: float = _KILL_MARGIN_S, heard: Callable[[Plan], None] | None = None
) -> Plan:
    """Returns the best plan within `seconds`; the process is killed `margin` later, and its last plan counts.

    Blocks, so that an event loop calls it in a thread. `heard` is called with each better plan, in another
    thread.

    Raises:
        ImpossibleError, DeadEndError, ValueError: As by planner.solve().
        WorkerError: The worker failed.
    """
    command = [sys.executable, "-m", "cresstray.placement.worker"]
    try:
        process = subprocess.Popen(
            command, stdin=subprocess.PIPE, stdout=subprocess.PIPE, stderr=subprocess.PIPE
        )
    except OSError as error:
        raise WorkerError(f"the solver's process could not be started: {error.strerror}") from error
    replies: list[SolverReply] = []
    errors: list[bytes] = []
    reads = threading.Thread(target=_receive_replies, args=(process, replies, heard), daemon=True)
    # Stderr is read concurrently, as a long traceback would fill the pipe and block the process.
    complains = threading.Thread(target=lambda: errors.append(process.stderr.read()[-2000:]), daemon=True)
    reads.start()
    complains.start()
    killed = threading.Timer(seconds + margin, process.kill)
    killed.start()
    try:
        try:
            _write_frame(process.stdin, msgspec.msgpack.encode(SolverRequest(seconds, fleet)))
            process.stdin.close()
        except BrokenPipeError:
            pass  # the process died; its stderr says why
        reads.join()
        process.wait()
        complains.join()
    finally:
        killed.cancel()
        process.kill()
        process.wait()
        process.stdout.close()
        process.stderr.close()
    return _plan_from_replies(replies, process.returncode, b"".join(errors), seconds + margin)


def _receive_replies(
    process: subprocess.Popen, replies: list[SolverReply], heard: Callable[[Plan], None] | None
) -> None:
    while (body := _read_frame(process.stdout)) is not None:
        try:
            replies.append(msgspec.msgpack.decode(body, type=SolverReply))
        except msgspec.DecodeError:
            return
        if heard and replies[-1].kind == "better" and replies[-1].plan is not None:
            heard(replies[-1].plan)


def _plan_from_replies(replies: list[SolverReply], code: int, errors: bytes, limit: float) -> Plan:
    last = replies[-1] if replies else None
    if last is not None and last.plan is not None:
        return last.plan
    if last is None:
        why = errors.decode(errors="replace").strip().splitlines()
        if code == -9:
            raise WorkerError(f"no plan was found in {limit:g} s: the solver was killed")
        raise WorkerError(f"the solver died with {code}: {why[-1] if why else 'it said nothing'}")
    if last.kind == "impossible":
        raise ImpossibleError(last.why, last.missing)
    if last.kind == "dead end":
        raise DeadEndError(last.why, last.missing, last.proven)
    raise ValueError(last.why)


def _read_frame(source: BinaryIO) -> bytes | None:
    """Returns the next body, or None at the end, for an incomplete frame or an invalid length."""
    head = source.read(4)
    length = int.from_bytes(head)
    if len(head) < 4 or length > _MAX_FRAME_BYTES:
        return None
    body = source.read(length)
    return body if len(body) == length else None


def _write_frame(sink: BinaryIO, body: bytes) -> None:
    sink.write(len(body).to_bytes(4) + body)
    sink.flush()


def main() -> None:
    """Solves one request from stdin and writes the replies to stdout."""
    from cresstray.placement.planner import solve  # loads scipy, which only this process needs

    sink = sys.stdout.buffer
    sys.stdout = sys.stderr  # output of libraries must not mix with the frames

    def send(reply: SolverReply) -> None:
        _write_frame(sink, msgspec.msgpack.encode(reply))

    body = _read_frame(sys.stdin.buffer)
    try:
        request = msgspec.msgpack.decode(body or b"", type=SolverRequest)
        send(
            SolverReply(
                "final", solve(request.fleet, request.seconds, lambda plan: send(SolverReply("better", plan)))
            )
        )
    except ImpossibleError as error:
        send(SolverReply("impossible", None, str(error), error.missing))
    except DeadEndError as error:
        send(SolverReply("dead end", None, str(error), error.missing, error.proven))
    except (ValueError, msgspec.DecodeError) as error:
        send(SolverReply("fault", None, str(error)))


if __name__ == "__main__":
    main()
