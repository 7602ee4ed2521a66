"""A replicated log by the Raft algorithm. Entries are opaque bytes to this package."""
