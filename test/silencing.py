"""Lets open TCP connections of this process go silent, without a reset."""

import contextlib
import ctypes
import os
import pathlib
import socket
import struct

SO_ATTACH_FILTER = 26
_RETURN_NOTHING = ctypes.create_string_buffer(struct.pack('HBBI', 6, 0, 0, 0))
"""A packet filter that accepts no byte of any packet."""

_PROGRAM = struct.pack('HP', 1, ctypes.addressof(_RETURN_NOTHING))


def silence_connections(port: int) -> int:
    """Drop all that arrives on open connections from or to ``port``.

    Acknowledgements are dropped too, so that the other end sees no sign of
    life. Return the number of ends; later connections are not affected.
    """
    return sum(
        _silence_if_at(port, int(entry.name))
        for entry in tuple(pathlib.Path('/proc/self/fd').iterdir())
    )


def _silence_if_at(port: int, descriptor: int) -> bool:
    with contextlib.suppress(OSError):
        with socket.socket(fileno=os.dup(descriptor)) as found:
            if found.family is not socket.AF_INET:
                return False
            ports = {found.getsockname()[1], found.getpeername()[1]}
            if port in ports:
                found.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, _PROGRAM)
                return True
    return False
