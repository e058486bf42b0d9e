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

    ``revision`` is that of the store at which it was requested or revoked. In
    a message, ``left_ms`` is how much longer a restore of the store defers its
    end, or its beginning if it is withheld.
    """

    data_centre: str
    revision: int
    left_ms: clock.Millis = 0


class WithheldEvacuation(typing.NamedTuple):
    """An evacuation that is not in force until then.

    It was revoked, and only a restore of the store has brought it back.
    """

    evacuation: Evacuation
    until_ms: clock.Millis


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

    An evacuation in ``kept_until_ms_by_data_centre`` is missing since a restore
    of the store and ends then. ``withheld_by_data_centre`` holds those that
    only a restore has brought back, and ``revoked_revision_by_data_centre`` the
    revision of the last evacuation that has ended. ``ended_at_ms`` and
    ``returns_at_ms`` say when that was, and from when on this instance sends
    calls there again. ``closed_data_centres`` receive nothing at the moment.
    """

    revision: int = 0
    number: int = 0
    evacuation_by_data_centre: dict[str, Evacuation] = msgspec.field(
        default_factory=dict
    )
    kept_until_ms_by_data_centre: dict[str, clock.Millis] = msgspec.field(
        default_factory=dict
    )
    withheld_by_data_centre: dict[str, WithheldEvacuation] = msgspec.field(
        default_factory=dict
    )
    revoked_revision_by_data_centre: dict[str, int] = msgspec.field(
        default_factory=dict
    )
    ended_at_ms_by_data_centre: dict[str, clock.Millis] = msgspec.field(
        default_factory=dict
    )
    returns_at_ms_by_data_centre: dict[str, clock.Millis] = msgspec.field(
        default_factory=dict
    )
    closed_data_centres: frozenset[str] = frozenset()
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
