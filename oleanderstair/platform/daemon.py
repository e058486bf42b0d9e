"""The daemon of an entry instance on the users' platform."""

import gc
import importlib
import os
import signal
import sys
import typing

from oleanderstair import code_archive, start_times

SETTINGS_VARIABLE: typing.Final = 'OLEANDERSTAIR_CONFIG'


def main() -> None:
    """Run an instance with the settings file named by ``SETTINGS_VARIABLE``."""
    times = start_times.create()
    # SIGHUP would end the process until its handler is installed.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # Imports leave no garbage; ``running`` enables collection after them.
    gc.disable()
    path = os.environ[SETTINGS_VARIABLE]
    finder = code_archive.install(
        os.path.join(code_archive.ROOT, code_archive.PATH)
    )
    program = importlib.import_module('oleanderstair.platform.program')
    # Otherwise imported by the event loop, after the archive is closed.
    importlib.import_module('anyio._backends._asyncio')
    code_archive.uninstall(finder)
    times.mark(start_times.IMPORTED)
    sys.exit(program.run_from_file(path, times))


if __name__ == '__main__':
    main()
