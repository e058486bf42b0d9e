"""Opens listening sockets.

Imported before the rest of the program, so it imports little itself.
"""

import socket
import typing

BACKLOG: typing.Final = 2048
"""How many connections the kernel accepts before the program does, at most.
After a loss of power all callers connect at once, and a connection that is
dropped is tried again only after a second. The deployments allow 2,000."""


def bind_socket(host: str, port: int) -> socket.socket:
    """Return a listening socket; port 0 selects a free port."""
    listening_socket = socket.create_server((host, port), backlog=BACKLOG)
    # Accepted connections inherit TCP_NODELAY. Without it, a body would
    # wait for the delayed ACK of its head.
    listening_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return listening_socket


def address_of(listening_socket: socket.socket) -> str:
    """Return the address of a bound socket as ``host:port``."""
    host, port = listening_socket.getsockname()[:2]
    return f'{host}:{port}'
