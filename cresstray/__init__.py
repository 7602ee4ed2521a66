"""cresstray: an admission controller for queries on a pool of engines."""
