"""The I/O shell: listeners, connections, and the loop that steps the core."""
