"""Work that is not a submission's: in turns, within a budget, and ended in order. docs/background.md."""
