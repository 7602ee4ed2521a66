"""Broken variants: each undoes the reason of a line or two, and breaks a property. Joined from all worlds."""

from __future__ import annotations

from cresstray.check.configurations import FILES
from cresstray.check.patching import Mutant

MUTANTS: tuple[Mutant, ...] = tuple(mutant for file in FILES for mutant in file.MUTANTS)
