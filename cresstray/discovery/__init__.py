"""The coordinator's side: its event frames, the endpoint list of the start, and the watch that follows it."""
