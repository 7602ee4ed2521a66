"""Between halls: when to cross, what is known of each crossing, and the link that carries it."""
