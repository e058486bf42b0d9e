"""Selects targets for calls: load, ejection, ramps, draining and probes."""
