"""Tests by module; ``helper`` builds what several of them need."""
