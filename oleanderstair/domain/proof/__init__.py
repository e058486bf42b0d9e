"""Traces, records of events and actions, and outcome checks over them."""
