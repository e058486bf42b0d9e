"""The I/O side of an instance: listeners, connections and the runtime.

The runtime passes events to the decision code in ``domain`` and performs
the actions that it returns.
"""
