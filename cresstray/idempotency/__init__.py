"""Idempotency records, shared by several gateways in a store that speaks the Redis protocol."""
