"""Which target takes a call: choice, ramps, ejection, measuring."""
