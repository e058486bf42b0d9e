"""Which instances live, and what they tell each other."""
