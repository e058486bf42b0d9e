"""Opens the listeners of an instance before its program is imported.

Callers that come meanwhile wait until the program can answer. A port that is
still closed would turn them away, and those who have few tries use them up.
"""

import pathlib
import socket
import typing

from oleanderstair import jsonc
from oleanderstair.engine import listening

Sockets: typing.TypeAlias = dict[str, socket.socket]
"""Listening sockets by their address."""

_ADDRESSES: typing.Final = (
    ('callers', 'address'),
    ('platform', 'directory_address'),
    ('platform', 'readiness_address'),
)


def open_listed(path: pathlib.Path) -> Sockets:
    """Return listening sockets for the addresses in a settings file.

    What is missing or wrong there is left out; the program tells of it when
    it checks the settings.
    """
    try:
        tree = jsonc.loads(path.read_text(encoding='utf-8'))
    except (OSError, ValueError):
        return {}
    opened: Sockets = {}
    for section, field in _ADDRESSES:
        address = _find(tree, section, field)
        bound = _try_to_bind(address) if address else None
        if bound is not None:
            opened[address] = bound
    return opened


def _find(tree: typing.Any, section: str, field: str) -> str:
    """Return an address with a port of its own, nothing where there is none."""
    fields = tree.get(section) if isinstance(tree, dict) else None
    found = fields.get(field) if isinstance(fields, dict) else None
    if not isinstance(found, str) or found.endswith(':0'):
        return ''
    return found


def _try_to_bind(address: str) -> socket.socket | None:
    try:
        return listening.bind_to(address)
    except (OSError, ValueError, OverflowError):
        return None
