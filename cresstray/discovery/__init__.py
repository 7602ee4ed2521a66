"""Endpoint discovery: the coordinator's event frames, the initial endpoint list, and the endpoint watch."""
