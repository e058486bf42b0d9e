"""Opens listening sockets, before there is a server for them."""

import socket
import typing

BACKLOG: typing.Final = 1024
"""How many connections wait until they are accepted."""


def bind(host: str, port: int) -> socket.socket:
    """Bind a listening socket; port 0 takes any free port.

    Raises ``OSError`` where the address can't be had.
    """
    bound = socket.create_server((host, port), backlog=BACKLOG)
    # Accepted connections inherit it; else a body waits for a delayed ACK.
    bound.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return bound


def bind_to(address: str) -> socket.socket:
    """Bind a listening socket to an address with host and port."""
    host, _, port = address.rpartition(':')
    return bind(host, int(port))


def address_of(bound: socket.socket) -> str:
    """Return the host and port of a bound socket."""
    host, port = bound.getsockname()[:2]
    return f'{host}:{port}'
