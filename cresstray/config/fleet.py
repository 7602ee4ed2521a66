"""The sections of an operator's file that are about the fleet: its keepers, its members, its times."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec

from cresstray.config import lines
from cresstray.config.lines import Section, Sheet, one_of

if TYPE_CHECKING:
    from cresstray.config.operator import Tls

# A majority of two is both: an even number of keepers outlives no more than one less would.
COUNTS = (1, 3, 5, 7)


class Keeper(msgspec.Struct, frozen=True):
    name: str
    address: tuple[str, int]


class Engine(msgspec.Struct, frozen=True):
    """An engine whose shards are moved: its id, as documents have it, its zone, where it takes commands."""

    id: str
    zone: str
    address: tuple[str, int]


class Fleet(msgspec.Struct, frozen=True):
    """Times in microseconds. How each was chosen stands in docs/fleet-config.md."""

    name: str
    keepers: tuple[Keeper, ...]
    lease: int = 2_000_000
    floor_lease: int = 60_000_000
    drift: float = 0.01
    most: int = 1024
    beat: int = 50_000
    election: int = 300_000
    barred: float = 0.33
    member: str = ""
    folder: str = ""
    engines: tuple[Engine, ...] = ()
    tls: Tls | None = None

    @property
    def stated(self) -> int:
        """Microseconds for which rules may contradict each other at the longest: a lease and its margins."""
        return self.lease * 5 // 4

    def keeper(self, name: str) -> Keeper | None:
        return next((one for one in self.keepers if one.name == name), None)


_SPAN, _SHARE = one_of(lines.span), one_of(lines.share)
KNOWN: dict[str, dict[str, Any]] = {
    "fleet": {
        "lease": _SPAN,
        "floor-lease": _SPAN,
        "drift": _SHARE,
        "most": one_of(lines.count),
        "beat": _SPAN,
        "election": _SPAN,
        "barred": _SHARE,
    },
    "keeper": {},
    "engine": {},
    "member": {},
    "folder": {},
}


def keeper(sheet: Sheet, section: Section, words: list[str]) -> Keeper | None:
    sheet.values(section, KNOWN["keeper"])
    try:
        if len(words) != 2:
            raise ValueError("two words")
        return Keeper(lines.name(words[0]), lines.address(words[1]))
    except ValueError as trouble:
        sheet.fault(section.number, f"keeper NAME HOST:PORT, with {trouble}; this is {' '.join(words)!r}")
        return None


def engine(sheet: Sheet, section: Section, words: list[str]) -> Engine | None:
    sheet.values(section, KNOWN["engine"])
    try:
        if len(words) != 3:
            raise ValueError("three words")
        return Engine(lines.name(words[0]), lines.name(words[1]), lines.address(words[2]))
    except ValueError as trouble:
        sheet.fault(section.number, f"engine ID ZONE HOST:PORT, with {trouble}; this is {' '.join(words)!r}")
        return None


def fleet(
    sheet: Sheet,
    found: dict[str, Section],
    made: dict[str, dict[str, Any]],
    keepers: list[tuple[int, Keeper]],
    engines: list[tuple[int, Engine]],
    tls: Tls | None,
) -> Fleet | None:
    """None where there is a fault; `made` has what the lines below each section set."""
    if "fleet" not in found:
        sheet.fault(1, "a section 'fleet' with its name")
        return None
    section = found["fleet"]
    _named(sheet, section, "fleet")
    names = [one.name for _, one in keepers]
    addresses = [one.address for _, one in keepers]
    for number, one in keepers:
        if names.count(one.name) > 1 or addresses.count(one.address) > 1:
            sheet.fault(number, f"each keeper once, at an address of its own; {one.name!r} is not")
        # Danger: rules would cross a network in the clear, and anybody could propose, or vote.
        if "tls" not in found and not lines.is_loopback(one.address[0]):
            sheet.fault(number, f"a section 'tls', as {one.address[0]} is not this machine")
    known: dict[str, int] = {}
    for number, one in engines:
        if known.setdefault(one.id, number) != number:
            sheet.fault(number, f"each engine once; {one.id!r} stands in line {known[one.id]}")
    if len(keepers) not in COUNTS:
        sheet.fault(section.number, f"1, 3, 5 or 7 keepers; there are {len(keepers)}")
    if "member" in found:
        _named(sheet, found["member"], "member")
        if found["member"].words[1] in (*names, "operator"):
            sheet.fault(found["member"].number, "a name that is no keeper's, and not 'operator'")
    if "operator" in names:
        sheet.fault(section.number, "keepers of other names than 'operator'")
    given = Fleet(
        section.words[1],
        tuple(one for _, one in keepers),
        tls=tls,
        engines=tuple(one for _, one in engines),
        member=found["member"].words[1] if "member" in found else "",
        folder=found["folder"].words[1] if "folder" in found else "",
        **{keyword.replace("-", "_"): value for keyword, value in made["fleet"].items()},
    )
    _times(sheet, section, given)
    return None if sheet.faults else given


def _named(sheet: Sheet, section: Section, keyword: str) -> None:
    try:
        lines.name(section.words[1])
    except ValueError as trouble:
        sheet.fault(section.number, f"{keyword} with {trouble}; this is {section.words[1]!r}")


def _times(sheet: Sheet, section: Section, given: Fleet) -> None:
    def number(keyword: str) -> int:
        line = section.lines.get(keyword)
        return line.number if line else section.number

    if given.beat < 5_000:
        sheet.fault(number("beat"), "a beat of 5ms at the least")
    # Danger: with an election after few beats, each late beat costs the fleet its leader.
    if given.election < 4 * given.beat:
        sheet.fault(number("election"), f"election of four beats at the least, {4 * given.beat // 1000}ms")
    # Danger: a lease that is over before a new leader can be found ends service with each leader.
    if given.lease < 3 * given.election:
        sheet.fault(
            number("lease"), f"a lease of three elections at the least, {3 * given.election // 1000}ms"
        )
    if given.floor_lease < 5 * given.lease:
        sheet.fault(
            number("floor-lease"), f"a floor-lease of five leases at the least, {5 * given.lease / 1e6:g}s"
        )
    if not 0.0001 <= given.drift <= 0.1:
        sheet.fault(number("drift"), "a drift from 0.01% to 10%")
    if given.most > 100_000:
        sheet.fault(number("most"), "100000 gateways at the most")
    if not given.barred:
        sheet.fault(number("barred"), "a share over 0%")
