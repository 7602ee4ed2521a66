"""One keeper: the log, the rules it holds and the leases it gives, joined into one process."""
