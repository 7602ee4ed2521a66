"""The decision logic of a gateway: load balancing, queueing, retries and load shedding. Does no I/O."""
