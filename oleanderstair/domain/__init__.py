"""The decision code, free of I/O: tables of state and functions over them.

A function that handles an event is called a system. It reads and changes the
tables and returns the actions that the I/O shell carries out.
"""
