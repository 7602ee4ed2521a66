"""Measurements on loopback, bounded in time; each module is run as `python -m benchmarks.NAME`."""
