"""Every decision on engines, queueing, retries and load shedding, without I\/O or clocks."""
