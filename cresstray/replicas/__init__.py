"""Reads pinned to copies with a bound on how old what they see may be."""
