"""The settings as the policy uses them."""

from __future__ import annotations


def to_microseconds(milliseconds: float) -> int:
    """Converts a time of the settings, in milliseconds."""
    return int(milliseconds * 1000)
