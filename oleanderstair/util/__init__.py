"""Small pure helpers."""
