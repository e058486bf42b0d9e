"""What is in force: notes, the catalogue, reading and adopting."""
