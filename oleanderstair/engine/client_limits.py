"""The limits of what clients may do, as metrics and log lines name them."""

import enum
import typing


class Limit(enum.Enum):
    """What a client exceeded, or what it had to give way to."""

    HEAD_SIZE = 'head-size'
    """A head above the maximum size was refused."""

    MEMORY = 'memory'
    """A request was refused, complete or not, for lack of memory."""

    SENT_AHEAD = 'sent-ahead'
    """Requests behind one in progress were dropped for lack of memory."""

    CONNECTIONS = 'connections'
    """A connection above the limit was refused or closed."""

    WAITING = 'waiting'
    """A connection without a whole request gave way to a new one."""

    MALFORMED = 'malformed'
    """Bytes that are no HTTP were refused."""


class Strike(typing.NamedTuple):
    """A limit that struck a client, at ``client`` (host and port).

    ``held_bytes`` is what its connection held, with the objects of its heads.
    """

    limit: Limit
    client: str
    held_bytes: int


OnStrike: typing.TypeAlias = typing.Callable[[Strike], None]
"""Handle that a limit struck a client."""
