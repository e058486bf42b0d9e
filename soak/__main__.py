"""Runs the soak: ``python -m soak --seeds 1-50 --seconds 20``."""

import cappa

from soak import command

if __name__ == '__main__':
    cappa.invoke(command.Soak)
