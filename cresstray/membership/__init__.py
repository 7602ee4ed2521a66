"""The endpoint list across restarts: its snapshot on disk, and the membership estimate that is made from it.

A gateway that starts while the discovery service is down knows only the endpoints of its own snapshot. It
probes each of them before it sends requests there. Once discovery is back its list overrides the snapshot.
"""
