"""Lets open TCP connections of this process go silent, without a reset."""

import contextlib
import ctypes
import os
import pathlib
import socket
import struct
import typing

_SO_ATTACH_FILTER: typing.Final = 26
_RETURN_NOTHING: typing.Final = ctypes.create_string_buffer(
    struct.pack('HBBI', 6, 0, 0, 0)
)
"""A packet filter that accepts no byte of any packet."""

_PROGRAM: typing.Final = struct.pack('HP', 1, ctypes.addressof(_RETURN_NOTHING))

IsAffected: typing.TypeAlias = typing.Callable[[int, int], bool]
"""Return whether a connection is affected, by its own port and the peer's."""


def silence_connections(is_affected: IsAffected) -> int:
    """Drop all that arrives on the open connections that are affected.

    Acknowledgements are dropped too, so that the other end sees no sign of
    life. Return the number of ends; later connections are not affected.
    """
    return sum(
        _silence_if(is_affected, int(entry.name))
        for entry in tuple(pathlib.Path('/proc/self/fd').iterdir())
    )


def _silence_if(is_affected: IsAffected, descriptor: int) -> bool:
    # Files, sockets that listen and descriptors that are closed by now fail.
    with contextlib.suppress(OSError):
        with socket.socket(fileno=os.dup(descriptor)) as found:
            if found.family is not socket.AF_INET:
                return False
            own, peer = found.getsockname(), found.getpeername()
            if is_affected(own[1], peer[1]):
                found.setsockopt(socket.SOL_SOCKET, _SO_ATTACH_FILTER, _PROGRAM)
                return True
    return False
