"""Every decision on engines, queueing, retries and load shedding, without sockets, files or clocks."""
