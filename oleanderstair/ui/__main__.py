"""Runs the command-line tool."""

from oleanderstair.ui import main

main.main()
