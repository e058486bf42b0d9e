"""Measures the system on loopback; see docs/ for the figures."""
