"""The command-line tool: one object and one function for each command."""
