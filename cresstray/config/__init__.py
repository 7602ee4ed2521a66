"""The operator's file: its lines, and the typed values that they set."""
