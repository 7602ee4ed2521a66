"""What an operator's file can set, as typed values with checks across lines."""

from __future__ import annotations

from typing import Any

import msgspec

from cresstray.config import fleet as fleets
from cresstray.config import idempotency as stores
from cresstray.config import lines
from cresstray.config import membership as kepts
from cresstray.config.fleet import Engine, Fleet, Keeper
from cresstray.config.idempotency import StoreSettings
from cresstray.config.lines import Section, Sheet, UnusableError, one_of
from cresstray.config.membership import MembershipConfig


class Link(msgspec.Struct, frozen=True):
    """Times in microseconds. How each was chosen stands in docs/halls.md."""

    heartbeat: int = 100_000
    slow: int = 250_000
    lease: int = 1_500_000
    heal: int = 5_000_000
    submissions: int = 64
    bytes: int = 4 * 1024 * 1024
    retry: int = 50_000
    retry_most: int = 1_000_000


class Tls(msgspec.Struct, frozen=True):
    """Paths of PEM files."""

    authority: str
    certificate: str
    key: str


class Peer(msgspec.Struct, frozen=True):
    """One gateway of another hall."""

    hall: str
    address: tuple[str, int]


class Halls(msgspec.Struct, frozen=True):
    hall: str
    gateway: str
    listen: tuple[str, int] | None = None
    control: str | None = None
    share: float = 0.9
    link: Link = Link()
    tls: Tls | None = None
    peers: tuple[Peer, ...] = ()


class Operator(msgspec.Struct, frozen=True):
    """All that the file sets."""

    halls: Halls | None = None
    fleet: Fleet | None = None
    kept: MembershipConfig | None = None
    store: StoreSettings | None = None


def read(path: str) -> Operator:
    """UnusableError with all that is wrong, a line each."""
    try:
        with open(path, encoding="utf-8") as file:
            text = file.read()
    except (OSError, UnicodeDecodeError) as trouble:
        raise UnusableError([f"{path}:0: expected a file that can be read: {trouble}"]) from None
    return parse(path, text)


_TEXT = one_of(str)
_KNOWN = {
    "hall": {"gateway": one_of(lines.name), "listen": one_of(lines.address), "control": _TEXT},
    "link": {
        "heartbeat": one_of(lines.span),
        "slow": one_of(lines.span),
        "lease": one_of(lines.span),
        "heal": one_of(lines.span),
        "submissions": one_of(lines.count),
        "bytes": one_of(lines.size),
        "retry": one_of(lines.span),
        "retry-most": one_of(lines.span),
    },
    "crossing": {"share": one_of(lines.share)},
    "tls": {"authority": _TEXT, "certificate": _TEXT, "key": _TEXT},
    "peer": {},
    **fleets.KNOWN,
    **kepts.KNOWN,
    **stores.SECTION_READERS,
}
# Those that have a word of their own behind the keyword.
_NAMED = {"hall": "its name", "fleet": "its name", "member": "its name", "folder": "a path", "kept": "a path"}


def parse(path: str, text: str) -> Operator:
    sheet = Sheet(path, text)
    found: dict[str, Section] = {}
    peers: list[tuple[int, Peer]] = []
    keepers: list[tuple[int, Keeper]] = []
    engines: list[tuple[int, Engine]] = []
    for section in sheet.sections:
        keyword, words = section.words[0], section.words[1:]
        if keyword not in _KNOWN:
            sheet.fault(section.number, f"a section of {', '.join(sorted(_KNOWN))}; this is {keyword!r}")
        elif keyword == "peer":
            peer = _peer(sheet, section, words)
            if peer is not None:
                peers.append((section.number, peer))
        elif keyword == "keeper":
            keeper = fleets.keeper(sheet, section, words)
            if keeper is not None:
                keepers.append((section.number, keeper))
        elif keyword == "engine":
            engine = fleets.engine(sheet, section, words)
            if engine is not None:
                engines.append((section.number, engine))
        elif keyword in found:
            sheet.fault(section.number, f"{keyword!r} once; it stands in line {found[keyword].number}")
        elif len(words) != (keyword in _NAMED):
            sheet.fault(
                section.number,
                f"{keyword} with {_NAMED[keyword]}" if keyword in _NAMED else f"{keyword!r} alone",
            )
        else:
            found[keyword] = section
    made = {keyword: sheet.values(section, _KNOWN[keyword]) for keyword, section in found.items()}
    tls = _tls(sheet, found.get("tls"), made.get("tls", {}))
    of_fleet = [keyword for keyword in found if keyword in fleets.KNOWN]
    fleet = None
    if of_fleet or keepers or engines:
        fleet = fleets.fleet(sheet, found, made, keepers, engines, tls)
    of_halls = [
        keyword
        for keyword in found
        if keyword not in {*fleets.KNOWN, *kepts.KNOWN, *stores.SECTION_READERS, "tls"}
    ]
    if "tls" in found and not of_fleet and not keepers:
        of_halls.append("tls")
    halls = _halls(sheet, found, made, peers, tls) if of_halls or peers else None
    kept = kepts.parse_membership(sheet, found["kept"]) if "kept" in found else None
    store = stores.read_store_section(sheet, found["store"], made["store"]) if "store" in found else None
    sheet.finish()
    return Operator(halls, fleet, kept, store)


def _peer(sheet: Sheet, section: Section, words: list[str]) -> Peer | None:
    sheet.values(section, _KNOWN["peer"])
    try:
        if len(words) != 2:
            raise ValueError("two words")
        return Peer(lines.name(words[0]), lines.address(words[1]))
    except ValueError as trouble:
        sheet.fault(section.number, f"peer HALL HOST:PORT, with {trouble}; this is {' '.join(words)!r}")
        return None


def _halls(
    sheet: Sheet,
    found: dict[str, Section],
    made: dict[str, dict[str, Any]],
    peers: list[tuple[int, Peer]],
    tls: Tls | None,
) -> Halls | None:
    if "hall" not in found:
        sheet.fault(1, "a section 'hall' with this gateway's hall")
        return None
    section, hall = found["hall"], found["hall"].words[1]
    try:
        lines.name(hall)
    except ValueError as trouble:
        sheet.fault(section.number, f"hall with {trouble}; this is {hall!r}")
    if "gateway" not in section.lines:
        sheet.fault(section.number, "a line 'gateway NAME' below it")
    link = _link(sheet, found.get("link"), made.get("link", {}))
    for number, peer in peers:
        if peer.hall == hall:
            sheet.fault(number, f"a peer of another hall; {hall!r} is this one")
        if [one for _, one in peers].count(peer) > 1:
            sheet.fault(number, f"each peer once; {peer.address[0]}:{peer.address[1]} is not")
    reached = [(number, peer.address[0]) for number, peer in peers]
    if "listen" in made["hall"]:
        reached.append((section.lines["listen"].number, made["hall"]["listen"][0]))
    for number, host in reached:
        # Danger: statements and marks would cross a network in the clear, and anybody could offer work.
        if "tls" not in found and not lines.is_loopback(host):
            sheet.fault(number, f"a section 'tls', as {host} is not this machine")
    if sheet.faults:
        return None
    return Halls(
        hall,
        link=link,
        tls=tls,
        peers=tuple(peer for _, peer in peers),
        **made["hall"],
        **made.get("crossing", {}),
    )


def _link(sheet: Sheet, section: Section | None, made: dict[str, Any]) -> Link:
    link = Link(**{keyword.replace("-", "_"): value for keyword, value in made.items()})
    number = section.number if section is not None else 1
    # Danger: with a lease of few beats, each late beat gives up all that is under way.
    if link.lease < 5 * link.heartbeat:
        sheet.fault(number, "a lease of five heartbeats at the least")
    if link.heartbeat < 10_000:
        sheet.fault(number, "a heartbeat of 10ms at the least")
    if link.retry > link.retry_most or link.retry < 1000:
        sheet.fault(number, "retry from 1ms up, and not over retry-most")
    return link


def _tls(sheet: Sheet, section: Section | None, made: dict[str, Any]) -> Tls | None:
    if section is None:
        return None
    missing = [keyword for keyword in _KNOWN["tls"] if keyword not in section.lines]
    if missing:
        sheet.fault(section.number, f"lines for {', '.join(missing)} below it")
        return None
    return Tls(**made) if len(made) == len(_KNOWN["tls"]) else None
