"""Marks of deduplicated submissions, shared by several gateways in a store that speaks the Redis protocol."""
