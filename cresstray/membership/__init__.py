"""The endpoint list that survives a restart: its snapshot on disk, and the estimate that is made from it.

A gateway that starts while the discovery service is down has only what it wrote before. It probes each
endpoint of that snapshot before it sends requests there, and discovery overrides the snapshot as it returns.
"""
