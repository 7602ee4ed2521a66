"""The gateway process: composition of its parts, startup, signals, reload and shutdown."""
