"""A fleet as processes with faults between them, and what its far side and its clients have recorded."""
