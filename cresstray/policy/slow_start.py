"""Slow start: an engine that has just started gets little until it is warm."""

from __future__ import annotations


class SlowStart:
    """The slow start of one engine as this gateway sees it."""

    __slots__ = ("next_send_us",)

    def __init__(self) -> None:
        self.next_send_us = 0  # while it is warming up: when this gateway may send to it again; 0: it is warm
