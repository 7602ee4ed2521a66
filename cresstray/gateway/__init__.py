"""Composition root of one gateway process: startup, signals, reload and shutdown."""
