"""Framing, stream I/O and authenticated links between processes."""
