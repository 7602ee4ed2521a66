"""The section of an operator's file on the stored endpoint list; its key is `kept`."""

from __future__ import annotations

from typing import Any

import msgspec

from cresstray.config.lines import Section, Sheet

# Sections by key, each with its further lines: there are none.
KNOWN: dict[str, dict[str, Any]] = {"kept": {}}


class MembershipConfig(msgspec.Struct, frozen=True):
    """Where a gateway stores its endpoint list.

    Attributes:
        folder: An absolute path, of this gateway alone; see docs/operators/membership.md.
    """

    folder: str


def parse_membership(sheet: Sheet, section: Section) -> MembershipConfig | None:
    """Parses the section; returns None and records a fault in the sheet where it is wrong."""
    folder = section.words[1]
    if not folder.startswith("/"):
        # A relative path would mean another folder in another working directory, and the list not be found.
        sheet.fault(section.number, f"kept with a path from / on; this is {folder!r}")
        return None
    return MembershipConfig(folder)
