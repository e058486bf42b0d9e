"""The daemon of one entry instance on the users' platform."""

import gc
import importlib
import os
import pathlib
import signal
import sys
import typing

from oleanderstair.platform import early

SETTINGS_VARIABLE: typing.Final = 'OLEANDERSTAIR_CONFIG'


def main() -> None:
    """Run the instance whose settings the environment names."""
    # A hang-up ends a process that has not got so far as to handle it.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # Nothing that is imported becomes garbage; collecting begins after it.
    gc.disable()
    path = pathlib.Path(os.environ[SETTINGS_VARIABLE])
    opened = early.open_listed(path)
    program = importlib.import_module('oleanderstair.platform.program')
    sys.exit(program.run(path, opened))


if __name__ == '__main__':
    main()
