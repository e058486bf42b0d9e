"""Reads what the kernel holds for a connection, and how its client ended it."""

import asyncio
import contextlib
import enum
import fcntl
import socket
import struct
import termios
import types
import typing

_RESET_ON_CLOSE: typing.Final = struct.pack('ii', 1, 0)
"""The linger option with which a close drops unsent bytes of the kernel."""

_SIZE: typing.Final = struct.Struct('i')


class End(enum.Enum):
    """How a connection ended: closed by its client, by this side, or reset."""

    CLIENT_CLOSE = 'client-close'
    OWN_CLOSE = 'own-close'
    RESET = 'reset'


_END_BY_TCP_STATE: typing.Final = types.MappingProxyType(
    {b'\x07': End.RESET, b'\x08': End.CLIENT_CLOSE},
)
"""How the client ended a connection, by the state in which Linux has it: CLOSE
or CLOSE_WAIT."""


def find_end(transport: asyncio.Transport) -> End | None:
    """Return how the client ended a connection; None if it is open."""
    connected = transport.get_extra_info('socket')
    try:
        state = connected.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
    except OSError:
        return None
    return _END_BY_TCP_STATE.get(state)


def count_unsent_bytes(transport: asyncio.Transport) -> int:
    """Return how many written bytes the client has not acknowledged."""
    return _read_count(transport, termios.TIOCOUTQ)


def count_unread_bytes(transport: asyncio.Transport) -> int:
    """Return how many received bytes the process has not read yet."""
    return _read_count(transport, termios.FIONREAD)


def reset(transport: asyncio.Transport) -> None:
    """Reset a connection and drop what its client has not received."""
    connected = transport.get_extra_info('socket')
    with contextlib.suppress(OSError):
        connected.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
        )
    transport.abort()


def _read_count(transport: asyncio.Transport, request: int) -> int:
    connected = transport.get_extra_info('socket')
    if connected.fileno() < 0:
        return 0
    size = bytearray(_SIZE.size)
    try:
        fcntl.ioctl(connected.fileno(), request, size)
    except OSError:
        return 0
    return int(_SIZE.unpack(size)[0])
