"""Structured log lines and counters."""
