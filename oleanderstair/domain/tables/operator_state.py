"""The operator's requests and terms that are not part of a configuration.

These are evacuations of data centres, and the limits of targets in slow start.
They travel in messages of their own, as earlier builds reject messages with
more fields than they know.
"""

import typing

import msgspec

from oleanderstair import clock


class Evacuation(typing.NamedTuple):
    """A request to send nothing more to the targets of a data centre.

    ``revision`` is that of the store at which it was requested or taken back.
    """

    data_centre: str
    revision: int


class SlowStartLimit(typing.NamedTuple):
    """How long a target of a service is in slow start, and what it tolerates.

    ``per_s`` is a number of requests per second from all instances together.
    """

    duration_ms: clock.Millis
    per_s: float


class OperatorStateTable(msgspec.Struct):
    """The evacuations as of ``revision``, and the limits of slow starts.

    ``revision`` is 0 before the first read. ``limit_by_service`` belongs to
    the configuration ``number``. ``pushed_revision`` and ``pushed_number`` are
    what this instance has last sent to the fleet. Since ``behind_since_ms``
    the store is known at a newer revision or number than this table;
    ``asked_at_ms`` is when a peer was last asked for it.
    """

    revision: int = 0
    number: int = 0
    evacuation_by_data_centre: dict[str, Evacuation] = msgspec.field(
        default_factory=dict
    )
    limit_by_service: dict[str, SlowStartLimit] = msgspec.field(
        default_factory=dict
    )
    pushed_revision: int = 0
    pushed_number: int = 0
    behind_since_ms: clock.Millis | None = None
    asked_at_ms: clock.Millis = clock.NEVER_MS


def create() -> OperatorStateTable:
    """Create a table in which nothing is known."""
    return OperatorStateTable()
