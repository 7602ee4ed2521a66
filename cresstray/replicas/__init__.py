"""Reads that replicas serve within a staleness bound that the client's hint sets."""
