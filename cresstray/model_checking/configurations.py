"""All configurations by name, joined from the files of worlds; none of these knows another."""

from __future__ import annotations

from cresstray.model_checking import beliefs, crossing, gateway, lease_holders, lines, marked
from cresstray.model_checking.explore import Make

FILES = (gateway, lines, crossing, beliefs, marked, lease_holders)
CONFIGURATIONS: dict[str, Make] = {name: make for file in FILES for name, make in file.CONFIGURATIONS.items()}
