"""The parts of a fleet in virtual time: the code that runs, faults by seed, looked at from outside."""
