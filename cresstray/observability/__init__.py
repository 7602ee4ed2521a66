"""Log lines, structured log events and counters."""
