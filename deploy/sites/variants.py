"""Writes two variants of a site beside this file: the same bench, other customers' settings.

    python deploy/sites/variants.py ../given/kit/sites/kathmandu-dispatch.toml

Only the changes are kept here; what they are applied to, and what is written, stays out of the repository.
"""

from __future__ import annotations

import re
import shutil
import sys
from pathlib import Path
from typing import NamedTuple

# What the bench reads beside a site file.
COMPANIONS = ("real.json", "wire.json", "unlock.txt")
_TABLE = re.compile(r"^\[+([\w.]+)\]+$")
_ENTRY = re.compile(r"^(\w+) = ")


class Change(NamedTuple):
    """One value of a table: of the `place`th table of that name, from 0, or of the top with `table` ""."""

    table: str
    key: str
    value: str
    place: int = 0


# Short deadlines, a class that must run once, one whose repeats are discarded in its zone only and not for
# long, few streams on a link, quick drains, a budget of its own shape.
FERRY_DESK = (
    Change("", "name", '"ferry-desk"'),
    Change("class", "name", '"berth"'),
    Change("class", "aim_ms", "700"),
    Change("class", "deadline_ms", "2500"),
    Change("class", "worth", "2"),
    Change("class", "effect", '"unsafe"'),
    Change("class", "name", '"timetable"', 1),
    Change("class", "deadline_ms", "9000", 1),
    Change("class", "worth", "3", 1),
    Change("class", "name", '"cargo-list"', 2),
    Change("class", "deadline_ms", "11000", 2),
    Change("class", "worth", "7", 2),
    Change("class", "group", '"zone"', 2),
    Change("class", "window_ms", "4000", 2),
    Change("tenant", "name", '"north-pier"'),
    Change("tenant", "share", "0.45"),
    Change("tenant", "name", '"south-pier"', 1),
    Change("tenant", "share", "0.55", 1),
    Change("rules", "drain_grace_ms", "250"),
    Change("rules", "fall_multiple", "2.5"),
    Change("rules", "fall_ms", "1500"),
    Change("rules", "budget_share", "0.2"),
    Change("rules", "budget_free", "3"),
    Change("rules", "budget_ms", "3000"),
    Change("allow", "max_attempts", "3"),
    Change("tier.conn", "streams", "8"),
    Change("tier.conn", "idle_s", "6"),
    Change("tier.conn", "connect_timeout_ms", "600"),
    Change("prices", "cross_zone", "0.08"),
)

# Long deadlines, nothing withdrawn, no time to come back, two classes that must run once and a look-up whose
# repeats are discarded for a second and a half, two attempts at the most, three zones, larger engines.
SEED_BANK = (
    Change("", "name", '"seed-bank"'),
    Change("class", "name", '"packet"'),
    Change("class", "deadline_ms", "9000"),
    Change("class", "effect", '"keyed"'),
    Change("class", "group", '"all"'),
    Change("class", "window_ms", "1500"),
    Change("class", "name", '"inventory"', 1),
    Change("class", "deadline_ms", "24000", 1),
    Change("class", "effect", '"unsafe"', 1),
    Change("class", "worth", "9", 1),
    Change("class", "name", '"intake"', 2),
    Change("class", "deadline_ms", "30000", 2),
    Change("class", "effect", '"unsafe"', 2),
    Change("tenant", "name", '"growers"'),
    Change("tenant", "share", "0.8"),
    Change("tenant", "name", '"museum"', 1),
    Change("tenant", "share", "0.2", 1),
    Change("net", "zones", '["cellar", "barn", "loft"]'),
    Change("rules", "drain_grace_ms", "2000"),
    Change("rules", "fall_multiple", "1.6"),
    Change("rules", "fall_ms", "800"),
    Change("rules", "budget_share", "0.05"),
    Change("rules", "budget_free", "8"),
    Change("rules", "budget_ms", "8000"),
    Change("allow", "cancel", "false"),
    Change("allow", "retry_after", "false"),
    Change("allow", "max_attempts", "2"),
    Change("tier.conn", "streams", "4"),
    Change("tier.kind", "cores", "16"),
    Change("tier.kind", "cores", "4", 1),
    Change("prices", "late_fail", "0.08"),
)
VARIANTS = {"ferry-desk": FERRY_DESK, "seed-bank": SEED_BANK}


class Site:
    """The lines of a site file, and where each value stands."""

    def __init__(self, text: str) -> None:
        self._lines = text.splitlines()
        self._entries: dict[tuple[str, int, str], int] = {}
        self._ends: dict[tuple[str, int], int] = {}
        self._find()

    def _find(self) -> None:
        self._entries.clear()
        self._ends.clear()
        table, place, seen = "", 0, {"": 0}
        for number, line in enumerate(self._lines):
            if header := _TABLE.match(line):
                table = header[1]
                place = seen[table] = seen.get(table, -1) + 1
                self._ends[table, place] = number
            elif entry := _ENTRY.match(line):
                self._entries[table, place, entry[1]] = self._ends[table, place] = number

    def apply(self, change: Change) -> None:
        """Replaces a value, or adds one at the end of its table."""
        line = f"{change.key} = {change.value}"
        at = self._entries.get((change.table, change.place, change.key))
        if at is not None:
            self._lines[at] = line
            return
        self._lines.insert(self._ends[change.table, change.place] + 1, line)
        self._find()

    def text(self) -> str:
        """The whole file."""
        return "\n".join(self._lines) + "\n"


def write(site: Path, folder: Path) -> None:
    """All variants of `site`, and its companions, into `folder`."""
    text = site.read_text()
    for name, changes in VARIANTS.items():
        variant = Site(text)
        for change in changes:
            variant.apply(change)
        (folder / f"{name}.toml").write_text(variant.text())
    for companion in COMPANIONS:
        shutil.copyfile(site.parent / companion, folder / companion)


if __name__ == "__main__":
    write(Path(sys.argv[1]), Path(__file__).parent)
