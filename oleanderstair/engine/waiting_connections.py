"""Keeps the connections of a listener that wait, in the order of their wait.

At the limit of connections, the first of them gives way to a new one without a
look at all others.
"""

import typing

from oleanderstair.domain import connection_budgets

_MAX_LOOKS: typing.Final = 16
"""How many connections that can't be closed yet are passed over at a time."""


class WaitingConnection(typing.Protocol):
    """A connection that may give way to a new one."""

    def may_give_way(self) -> bool:
        """Return whether it can be closed now."""

    def measure_waiting(self) -> connection_budgets.Waiting:
        """Return for how long the connection has waited, and for what."""

    def give_way(self) -> None:
        """Close for a new connection."""


class WaitingConnections:
    """The connections without a whole request, the longest wait first."""

    def __init__(self) -> None:
        """Keep none yet."""
        # Dicts, as they have the order in which their keys came.
        self._idle: dict[WaitingConnection, None] = {}
        self._unfinished: dict[WaitingConnection, None] = {}

    def add_idle(self, connection: WaitingConnection) -> None:
        """Add a connection that waits for a request from now on."""
        self.remove(connection)
        self._idle[connection] = None

    def add_unfinished(self, connection: WaitingConnection) -> None:
        """Add a connection whose request isn't complete.

        It keeps its place if it is one of these already.
        """
        self._idle.pop(connection, None)
        self._unfinished.setdefault(connection, None)

    def remove(self, connection: WaitingConnection) -> None:
        """Remove a connection that has ended, or has a whole request."""
        self._idle.pop(connection, None)
        self._unfinished.pop(connection, None)

    def replace_one(self) -> bool:
        """Close the connection that gives way; return False if none does."""
        found = [
            connection
            for connection in (
                _first_of(self._unfinished),
                _first_of(self._idle),
            )
            if connection is not None
        ]
        index = connection_budgets.choose_replaced(
            [connection.measure_waiting() for connection in found]
        )
        if index is None:
            return False
        self.remove(found[index])
        found[index].give_way()
        return True


def _first_of(
    waiting: dict[WaitingConnection, None],
) -> WaitingConnection | None:
    for looks, connection in enumerate(waiting):
        if connection.may_give_way():
            return connection
        if looks >= _MAX_LOOKS:
            break
    return None


def create() -> WaitingConnections:
    """Create the table of a listener."""
    return WaitingConnections()
