"""What an operator's file sets of the list that a gateway keeps on disk."""

from __future__ import annotations

import msgspec

from cresstray.config.lines import Section, Sheet

KNOWN: dict = {"kept": {}}


class Kept(msgspec.Struct, frozen=True):
    """`folder`: of this gateway alone, see docs/operators/kept.md."""

    folder: str


def kept(sheet: Sheet, section: Section) -> Kept | None:
    """None where there is a fault."""
    folder = section.words[1]
    if not folder.startswith("/"):
        # Danger: by another working directory another folder would be meant, and the list not be found.
        sheet.fault(section.number, f"kept with a path from / on; this is {folder!r}")
        return None
    return Kept(folder)
