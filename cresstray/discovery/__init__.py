"""The coordinator's side: its event frames, the list known at the start, and the feed that follows it."""
