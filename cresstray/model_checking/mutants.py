"""Broken variants: each undoes the reason of a line or two, and breaks a property. Joined from all worlds."""

from __future__ import annotations

import tomllib
from pathlib import Path

from cresstray.model_checking.configurations import FILES
from cresstray.model_checking.patching import Mutant

MUTANTS: tuple[Mutant, ...] = tuple(mutant for file in FILES for mutant in file.MUTANTS)
# By a variant's name, choices that show it, where a search takes long to come to them.
SCHEDULES: dict[str, list[str]] = {
    row["name"]: row["choices"]
    for row in tomllib.loads((Path(__file__).parent / "schedules.toml").read_text())["caught"]
}
