"""A call from its admission to its answer."""
