"""The members of the fleet, as rosters between instances describe them."""

import enum
import typing

import msgspec

from oleanderstair import clock


class Standing(enum.IntEnum):
    """The lifecycle state of an incarnation; its value only rises.

    ``READY`` accepts callers, ``LEAVING`` is in a planned stop, and ``DEAD``
    was silent for too long or is reported as such.
    """

    STARTING = 0
    READY = 1
    LEAVING = 2
    DEAD = 3


class Member(typing.NamedTuple):
    """The known state of one incarnation of an instance.

    ``beat`` is its heartbeat counter; of two rows, the one with the higher
    beat is newer. ``started_ms`` is the wall time of its start, in ms since
    1970. ``failing`` is true while its requests to the store fail.
    ``capacity`` is the number of calls per second that it can handle.
    """

    incarnation: str
    data_centre: str
    caller_address: str
    peer_address: str
    started_ms: int
    beat: int
    standing: Standing = Standing.STARTING
    failing: bool = False
    capacity: int = 1

    @property
    def instance_id(self) -> str:
        """Return the instance id, the first part of the incarnation."""
        return self.incarnation.rpartition('~')[0]

    @property
    def is_live(self) -> bool:
        """Return whether the incarnation is not marked dead."""
        return self.standing is not Standing.DEAD


class MembersView(typing.NamedTuple):
    """Data derived from one version of the members.

    ``checksum`` covers all data centres. ``reader_order`` holds the live
    incarnations in the order in which they read the store, and ``reader_rank``
    is the position of this instance in it.
    """

    version: int = -1
    live_by_data_centre: dict[str, tuple[Member, ...]] = {}
    checksum_by_data_centre: dict[str, int] = {}
    checksum: int = 0
    reader_order: tuple[str, ...] = ()
    reader_rank: int = 0


class MembersTable(msgspec.Struct):
    """Members by incarnation, and when the beat of each last rose.

    ``contact_at_ms_by_data_centre`` holds the last contact with each other
    data centre. ``version`` changes whenever the view must be derived again.
    ``compared_checksum`` is the local checksum that was last sent to remote
    delegates. ``beat``, ``failing`` and ``started_ms`` are those of this
    instance. ``region_by_data_centre`` holds the regions of data centres that
    the settings name.
    """

    seeds: tuple[str, ...] = ()
    started_ms: int = 0
    beat: int = 0
    failing: bool = False
    version: int = 0
    view: MembersView = MembersView()
    member_by_incarnation: dict[str, Member] = msgspec.field(
        default_factory=dict
    )
    beat_rose_at_ms: dict[str, clock.Millis] = msgspec.field(
        default_factory=dict,
    )
    contact_at_ms_by_data_centre: dict[str, clock.Millis] = msgspec.field(
        default_factory=dict,
    )
    local_partner_order: list[str] = msgspec.field(default_factory=list)
    announced_standing: Standing = Standing.STARTING
    first_tick_at_ms: clock.Millis | None = None
    compared_checksum: int = 0
    last_tick_at_ms: clock.Millis = clock.NEVER_MS
    region_by_data_centre: dict[str, str] = msgspec.field(default_factory=dict)
    review_due_ms: clock.Millis = clock.NEVER_MS
    round_due_ms: clock.Millis = clock.NEVER_MS
    remote_round_due_ms: clock.Millis = clock.NEVER_MS
    lost_contact_due_ms: clock.Millis = clock.NEVER_MS


def create() -> MembersTable:
    """Create a table without members."""
    return MembersTable()
