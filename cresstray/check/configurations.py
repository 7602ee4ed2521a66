"""All configurations by name, joined from the files of worlds; none of these knows another."""

from __future__ import annotations

from cresstray.check import crossing, gateway, lines
from cresstray.check.explore import Make

FILES = (gateway, lines, crossing)
CONFIGURATIONS: dict[str, Make] = {name: make for file in FILES for name, make in file.CONFIGURATIONS.items()}
