"""Where copies of shards live: the plan of moves, its order, and how it is carried out."""
