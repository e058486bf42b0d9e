"""Opens the listener for callers before the program is imported.

The imports are nearly all of a start. Meanwhile the kernel accepts the
connections of callers, which would otherwise be refused.
"""

import re
import socket
import typing

from oleanderstair.engine import listening_sockets

_CALLERS_ADDRESS: typing.Final = re.compile(
    r'"callers"\s*:\s*\{[^{}]*?"address"\s*:\s*"([0-9.]+):(\d{1,5})"',
)
"""The address in the text of the settings, which are parsed and checked after
the imports."""


def open_listener(path: str) -> socket.socket | None:
    """Return a listening socket at the address in the settings at ``path``.

    Return None if there is no such address, or if it can't be bound.
    ``adopt_listener`` reports the problem.
    """
    try:
        with open(path, encoding='utf-8') as settings_file:
            found = _CALLERS_ADDRESS.search(settings_file.read())
    except (OSError, ValueError):
        return None
    return None if found is None else _bind(found[1], int(found[2]))


def adopt_listener(early: socket.socket | None, address: str) -> socket.socket:
    """Return a listening socket at ``address``, ``early`` if it is there.

    Otherwise ``early`` is closed. Raise ``OSError`` if the address can't be
    bound.
    """
    if early is not None:
        if listening_sockets.address_of(early) == address:
            return early
        early.close()
    host, _, port = address.rpartition(':')
    return listening_sockets.bind_socket(host, int(port))


def _bind(host: str, port: int) -> socket.socket | None:
    try:
        return listening_sockets.bind_socket(host, port)
    except (OSError, OverflowError):
        return None
