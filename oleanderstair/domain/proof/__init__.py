"""Traces, the record of what was done, and checks over it."""
