"""Asks the keepers what operators want to know, or to change, over a link of an operator."""

from __future__ import annotations

import random
import secrets
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import anyio
import click
import msgspec

from cresstray.config import operator
from cresstray.config.fleet import Fleet, Keeper
from cresstray.config.lines import UnusableError
from cresstray.consensus.storage import UnusableFileError
from cresstray.control_plane.codec import OperatorCommand, PartAssembler, encode_command
from cresstray.fleet_config import documents
from cresstray.fleet_config.codec import MAX_PARTS, Greeting, OperatorReply
from cresstray.observability.counters import Counters
from cresstray.transport.framing import Frame, FramingError
from cresstray.transport.peers import Link, PeerLinkManager, check_greeting, make_greeting

# One answer takes a read, or an entry, of the log; a leader that is gone takes an election first.
_ANSWER, _ALL = 3.0, 15.0


class NoAnswerError(Exception):
    """No keeper has answered; each with its reason."""


def read(path: str) -> Fleet:
    """UnusableError with all that is wrong."""
    given = operator.read(path).fleet
    if given is None:
        raise UnusableError([f"{path}:1: expected a section 'fleet' with its name"])
    return given


def own_name(given: Fleet) -> str:
    """As the certificate has it; without one, any operator is as good as another."""
    if given.tls is None:
        return "operator"
    from cryptography import x509

    try:
        made = x509.load_pem_x509_certificate(Path(given.tls.certificate).read_bytes())
        names = made.extensions.get_extension_for_class(x509.SubjectAlternativeName).value
        return names.get_values_for_type(x509.DNSName)[0]
    except (OSError, ValueError, IndexError, x509.ExtensionNotFound) as trouble:
        raise NoAnswerError(f"{given.tls.certificate}: {trouble}") from None


class _Quiet:
    """Links that end are told in the answer, not in lines."""

    def log(self, kind: str, event: str, **more: object) -> None:
        """Nothing."""


class Line:
    """Questions to whichever keeper answers; each is tried on all of them until the time is over."""

    def __init__(self, given: Fleet, seconds: float = _ALL) -> None:
        self._given, self.who = given, own_name(given)
        contexts = None
        if given.tls is not None:
            from cresstray.sites.tls import TlsContexts

            contexts = TlsContexts(given.tls)
        self._ends = PeerLinkManager((Greeting, OperatorReply), contexts, random.random, _Quiet(), Counters())
        self._life, self._number = secrets.token_hex(8), 0
        self._until = time.monotonic() + seconds
        self._keepers = list(given.keepers)

    def ask(self, ask: OperatorCommand) -> dict[str, Any]:
        """The answer; NoAnswerError."""
        return anyio.run(self._ask, ask)

    async def _ask(self, ask: OperatorCommand) -> dict[str, Any]:
        faults: dict[str, str] = {}
        while True:
            for keeper in list(self._keepers):
                try:
                    answer = await self._of(keeper, ask)
                except NoAnswerError as trouble:
                    faults[keeper.name] = str(trouble)
                else:
                    if not answer.get("again"):
                        # Whoever has answered is asked first next time.
                        self._keepers.sort(key=lambda one: one is not keeper)
                        return answer
                    faults[keeper.name] = answer["error"]
                if time.monotonic() > self._until:
                    raise NoAnswerError(
                        "no keeper has answered: "
                        + "; ".join(f"{name}: {why}" for name, why in faults.items())
                    )
            await anyio.sleep(0.1)

    async def _of(self, keeper: Keeper, ask: OperatorCommand) -> dict[str, Any]:
        self._number += 1
        number, gather = self._number, PartAssembler(MAX_PARTS)
        found: list[dict[str, Any]] = []

        def check(greeting: Frame, names: set[str] | None) -> None:
            greet = check_greeting(greeting, self._given, names)
            if greet.role != "keeper" or greet.name != keeper.name:
                raise FramingError(f"the {greet.role} {greet.name!r} where {keeper.name!r} should be")

        def talk(link: Link) -> None:
            for part in encode_command(number, ask):
                link.put(part)

        def taken(link: Link, frame: Frame) -> None:
            if not isinstance(frame, OperatorReply):
                raise FramingError("a second greeting")
            body = gather.add(frame)
            if body is not None and frame.number == number:
                try:
                    found.append(msgspec.msgpack.decode(body, type=dict[str, Any]))
                except (msgspec.MsgspecError, UnicodeDecodeError) as trouble:
                    raise FramingError(f"an answer: {trouble}") from None
                link.end("done")

        async with anyio.create_task_group() as tasks:
            why = "no answer in time"
            with anyio.move_on_after(_ANSWER):
                why = await self._ends.run_outgoing(
                    keeper.address,
                    keeper.name,
                    make_greeting("operator", self._given.name, self.who, self._life),
                    check,
                    talk,
                    taken,
                    lambda _: None,
                    tasks,
                )
            tasks.cancel_scope.cancel()
        if not found:
            raise NoAnswerError(why)
        return found[0]


# Changes.


def merged(old: Any, change: Any) -> Any:
    """RFC 7396: maps are merged, null takes out, all else takes the place of what was there."""
    if not isinstance(change, dict):
        return change
    made = dict(old) if isinstance(old, dict) else {}
    for key, value in change.items():
        if value is None:
            made.pop(key, None)
        else:
            made[key] = merged(made.get(key), value)
    return made


def change_of(shown: dict[str, Any], change: dict[str, Any], whole: bool) -> tuple[dict[str, int], bytes]:
    """Bases and delta for a proposal; ValueError. `versions` in the change are what it was made for."""
    stated = change.get("versions", {})
    given = {name: value for name, value in change.items() if name != "versions"}
    unknown = sorted(set(given) - set(documents.NAMES))
    if unknown:
        raise ValueError(
            f"no document {', '.join(map(repr, unknown))}; there are {', '.join(documents.NAMES)}"
        )
    if not isinstance(stated, dict) or not all(isinstance(value, int) for value in stated.values()):
        raise ValueError("versions: a number for each document")
    old = documents.parse_documents(shown)
    new = documents.parse_documents({**shown, **given} if whole else merged(shown, given))
    bases = {name: stated.get(name, old.version(name)) for name in documents.NAMES}
    return bases, documents.encode_delta(old, new)


def differing(old: dict[str, Any], new: dict[str, Any], path: str = "") -> list[str]:
    """What differs between two plain contents, a line each, versions left out."""
    lines = []
    for key in sorted(old.keys() | new.keys()):
        if not path and key == "versions":
            continue
        before, after, at = old.get(key), new.get(key), f"{path}.{key}" if path else key
        if isinstance(before, dict) and isinstance(after, dict):
            lines += differing(before, after, at)
        elif before != after:
            lines.append(f"{at}: {_word(before)} > {_word(after)}")
    return lines


def _word(value: Any) -> str:
    return "-" if value is None else msgspec.json.encode(value).decode()


class RefusedError(Exception):
    """A change that was not accepted: every reason."""

    def __init__(self, refused: list[str]) -> None:
        super().__init__("\n".join(refused))
        self.refused = refused


def propose(
    line: Line,
    change: dict[str, Any] | None,
    *,
    back_to: int = 0,
    whole: bool = False,
    why: str = "",
    request: str = "",
    who: str = "",
    dry_run: bool = False,
    wait: bool = True,
    seconds: float = 120.0,
    say: Callable[[str], None] = lambda _: None,
) -> dict[str, Any]:
    """Proposes and waits until it is in force. RefusedError, NoAnswerError, ValueError."""
    request = request or secrets.token_hex(8)
    bases, delta = {}, b""
    if not back_to:
        bases, delta = change_of(_well(line.ask(OperatorCommand("show")))["documents"], change, whole)
    asked = OperatorCommand("check" if dry_run else "propose", request, bases, delta, why, who, back_to)
    began = time.monotonic()
    answer = _well(line.ask(asked))
    if not answer["accepted"]:
        raise RefusedError(answer["refused"])
    if dry_run:
        return answer | {"differs": differing(answer["old"], answer["new"])}
    version = answer["version"]
    told: dict[str, Any] = {
        "request": request,
        "version": version,
        "phase": "proposed",
        "committed_ms": _since(began),
    }
    say(f"version {version} is committed, after {told['committed_ms']} ms; request {request}")
    while wait:
        if answer["turn"] >= 2 * version:
            told |= {"phase": "in force", "in_force_ms": _since(began)}
            say(f"version {version} is in force, after {told['in_force_ms']} ms")
            break
        if answer["turn"] == 2 * version - 1 and "joint_ms" not in told:
            told |= {"phase": "joint", "joint_ms": _since(began)}
            say(f"version {version} is joint, after {told['joint_ms']} ms")
        if time.monotonic() - began > seconds:
            say(
                f"version {version} is {told['phase']} still; "
                f"it waits for {', '.join(answer.get('waits_for', []))}"
            )
            break
        time.sleep(0.02)
        line._until = time.monotonic() + _ALL
        answer = _well(line.ask(OperatorCommand("where")))
    return told


def replace(line: Line, name: str, say: Callable[[str], None], seconds: float = 120.0) -> dict[str, Any]:
    """Takes in a keeper's new generation in place of its old one. ValueError where it can't be."""
    began, step = time.monotonic(), ""
    while True:
        line._until = time.monotonic() + _ALL
        answer = _well(line.ask(OperatorCommand("replace", name=name)))
        if answer["step"] != step:
            step = answer["step"]
            say(f"{answer['name']}: {step}" + (f" ({answer['why']})" if "why" in answer else ""))
        if answer["done"]:
            return answer
        if time.monotonic() - began > seconds:
            raise ValueError(
                f"{name}: not done after {seconds:.0f} s: {answer.get('why', step)}; "
                "it goes on when typed again"
            )
        time.sleep(0.1)


def ask(line: Line, what: str, **more: Any) -> dict[str, Any]:
    """ValueError with what the keepers say against it."""
    return _well(line.ask(OperatorCommand(what, **more)))


def _well(answer: dict[str, Any]) -> dict[str, Any]:
    if "error" in answer:
        raise ValueError(answer["error"])
    return answer


def _since(began: float) -> int:
    return round((time.monotonic() - began) * 1000)


# What is typed: each tells on standard output, and returns its exit code.


def _typed(act: Callable[[], int]) -> int:
    try:
        return act()
    except RefusedError as trouble:
        for reason in trouble.refused:
            click.echo(f"refused: {reason}", err=True)
        return 1
    except (UnusableError, UnusableFileError, NoAnswerError, ValueError, OSError) as trouble:
        click.echo(str(trouble), err=True)
        return 2


def _tell(told: dict[str, Any], as_json: bool, lines: list[str]) -> int:
    for line in [msgspec.json.encode(told).decode()] if as_json else lines:
        click.echo(line)
    return 0


def keep(path: str, name: str, founds: bool, dumps: bool) -> int:
    def act() -> int:
        from cresstray.control_plane import node as process

        given = read(path)
        if given.keeper(name) is None:
            raise UnusableError(
                [
                    f"{path}:1: expected a keeper {name!r}; there are "
                    f"{', '.join(one.name for one in given.keepers)}"
                ]
            )
        if not given.folder:
            raise UnusableError([f"{path}:1: expected a section 'folder' with a path, for a keeper's file"])
        if dumps:
            return _tell(process.dump(given, name), True, [])
        if not founds:
            return process.run(given, name, path)
        click.echo(process.create_storage(given, name))
        return 0

    return _typed(act)


def show(path: str, document: str | None, version: int, history: bool, as_json: bool, seconds: float) -> int:
    def act() -> int:
        line = Line(read(path), seconds)
        if history:
            told = ask(line, "past")
            return _tell(
                told,
                as_json,
                [
                    f"version {past['version']}: {', '.join(past['documents']) or 'a gateway is out'}"
                    + (f" by {past['who']}" if past["who"] else "")
                    + (f": {past['why']}" if past["why"] else "")
                    for past in told["past"]
                ],
            )
        told = ask(line, "show", version=version)
        if document is not None:
            told["documents"] = {
                document: told["documents"][document],
                "versions": {document: told["documents"]["versions"][document]},
            }
        return _tell(
            told,
            as_json,
            [_turn(told), msgspec.json.format(msgspec.json.encode(told["documents"]), indent=2).decode()],
        )

    return _typed(act)


def _turn(told: dict[str, Any]) -> str:
    joint = f", joint with {told['in_force'] + 1}" if told["joint"] else ""
    waits = f"; waits for {', '.join(told['waits_for'])}" if told.get("waits_for") else ""
    return (
        f"version {told['in_force']} is in force{joint}, the latest is {told['latest']}{waits}; "
        f"rules may contradict each other for {told['stated_us'] / 1e6:g} s at the longest"
    )


def change(
    path: str,
    body: bytes | None,
    dry_run: bool,
    whole: bool,
    back_to: int,
    why: str,
    request: str,
    wait: bool,
    as_json: bool,
    seconds: float,
) -> int:
    def act() -> int:
        if (body is None) == (not back_to):
            raise ValueError("either a CHANGE or --back-to")
        try:
            given = None if body is None else msgspec.json.decode(body, type=dict[str, Any])
        except (msgspec.MsgspecError, UnicodeDecodeError) as trouble:
            raise ValueError(f"the change is no JSON object: {trouble}") from None
        line = Line(read(path), seconds)
        say = (lambda _: None) if as_json else click.echo
        told = propose(
            line,
            given,
            back_to=back_to,
            whole=whole,
            why=why,
            request=request,
            who=line.who,
            dry_run=dry_run,
            wait=wait,
            say=say,
        )
        return _tell(told, as_json, told.get("differs") or ["nothing differs"] if dry_run else [])

    return _typed(act)


def members(path: str, name: str, as_json: bool, seconds: float) -> int:
    def act() -> int:
        line = Line(read(path), seconds)
        if name:
            told = replace(line, name, (lambda _: None) if as_json else click.echo)
            return _tell(told, as_json, [])
        told = ask(line, "members")
        lines = [f"leader {told['leader']}, term {told['term']}, {told['commit']} entries committed"]
        for kind in ("voters", "learners", "strangers"):
            lines += [
                f"{kind[:-1]} {one}" + ("" if one in told["connected"] else ", not connected to the leader")
                for one in told[kind]
            ]
        return _tell(told, as_json, lines)

    return _typed(act)


def where(path: str, as_json: bool, seconds: float) -> int:
    def act() -> int:
        told = ask(Line(read(path), seconds), "where")
        lines = [_turn(told)]
        for one in told["gateways"]:
            heard = "not heard of" if one["age_us"] is None else f"heard {one['age_us'] / 1e6:.1f} s ago"
            at = (
                ""
                if one["turn"] is None
                else (f"version {one['turn'] // 2}{' joint' if one['turn'] % 2 else ''}, ")
            )
            left = f"{one['lease_us'] / 1e6:.1f} s of its lease left" if one["lease_us"] else "no lease"
            ghost = ", no list names it" if one["ghost"] else ""
            lines.append(f"{one['gateway']}: {at}{left}, {heard}{ghost}")
        return _tell(told, as_json, lines)

    return _typed(act)


def forget(path: str, gateway: str, why: str, as_json: bool, seconds: float) -> int:
    def act() -> int:
        told = ask(Line(read(path), seconds), "forget", name=gateway, why=why)
        if not told["accepted"]:
            raise RefusedError(told["refused"])
        return _tell(told, as_json, [f"{gateway} is out, as of version {told['version']}"])

    return _typed(act)
