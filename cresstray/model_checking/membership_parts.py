"""What stands around the gateway in the world of the membership: settings, addresses and the disk."""

from __future__ import annotations

from functools import cache
from typing import Any

from cresstray.membership.snapshot import Snapshot, decode, encode
from cresstray.membership.snapshot_files import SNAPSHOT_FILE_NAMES, ReadResult

CLASS_NAMES = ("read", "put", "post")
_EFFECTS = ("idempotent", "deduplicated", "at_most_once")
_PARTS: dict[str, Any] = {
    "FamilyInfo": {"CpuOfKind": [4]},
    "Limits": {"MaxAttempts": 2, "MaxRetryAfter": 2000},
    "Safety": {"WarmUp": 3000, "DrainGrace": 1000},
}


class SharedSettings(dict[str, Any]):
    """Settings, the same in all states: a copy of a state holds no more than which they are."""

    part = ""

    def __reduce__(self) -> tuple[Any, ...]:
        return shared_settings, (self.part,)


@cache
def shared_settings(part: str) -> SharedSettings:
    """Returns one section of the settings; for the empty name all of them."""
    settings = SharedSettings(_PARTS[part] if part else _all_settings())
    settings.part = part
    return settings


def _all_settings() -> dict[str, Any]:
    return {
        **{name: shared_settings(name) for name in _PARTS},
        "Services": [
            {
                "Name": name,
                "Effect": effect,
                "GoalTime": 20,
                "GiveUp": 10_000,
                "KeyTtl": 20_000,
                "LateValue": 0.5,
            }
            for name, effect in zip(CLASS_NAMES, _EFFECTS)
        ],
        "Balancers": 1,
        "Localities": ["z"],
        "Flavors": ["m"],
    }


class Pool:
    """Stands in for the router's connection pool of one engine."""

    def __init__(self, label: str, address: tuple[str, int]) -> None:
        self.engine = int(label[-8:], 16)
        self.address = address

    def change_address(self, address: tuple[str, int]) -> None:
        """Takes another address."""
        self.address = address

    def retire(self) -> None:
        """Does nothing: attempts that were sent come back all the same."""

    def cancel_unwritten(self) -> None:
        """Does nothing: all that is sent here leaves at once."""


class Disk:
    """The last snapshot as bytes, in place of a writer and its folder."""

    owner = "g"

    def __init__(self) -> None:
        self.folder = self
        self.bytes = b""
        self.serial = 0

    def write(self, snapshot: Snapshot) -> None:
        """Replaces the snapshot."""
        self.serial += 1
        self.bytes = encode(snapshot, self.serial)

    def read(self) -> ReadResult:
        """Returns the snapshot."""
        serial, snapshot = decode(self.bytes, self.owner)
        return ReadResult(snapshot, serial, SNAPSHOT_FILE_NAMES[0], [])
