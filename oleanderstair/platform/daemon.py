"""The daemon of an entry instance on the users' platform."""

import gc
import importlib
import os
import pathlib
import signal
import sys
import typing

SETTINGS_VARIABLE: typing.Final = 'OLEANDERSTAIR_CONFIG'


def main() -> None:
    """Run an instance with the settings file named by ``SETTINGS_VARIABLE``."""
    # SIGHUP would end the process until its handler is installed.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # Imports leave no garbage; ``running`` enables collection after them.
    gc.disable()
    program = importlib.import_module('oleanderstair.platform.program')
    sys.exit(program.run_from_file(pathlib.Path(os.environ[SETTINGS_VARIABLE])))


if __name__ == '__main__':
    main()
