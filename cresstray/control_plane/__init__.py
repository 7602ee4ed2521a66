"""A control-plane node: one process with the replicated log, the fleet configuration and its leases."""
