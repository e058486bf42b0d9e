"""The instances of the fleet, as they meet by seeds and tell of each other."""

import enum
import typing

import msgspec

from oleanderstair import clock


class Standing(enum.IntEnum):
    """How far an incarnation has come; within one it only rises."""

    STARTING = 0
    READY = 1
    LEAVING = 2
    DEAD = 3


class Member(typing.NamedTuple):
    """What is known of one incarnation of an instance.

    ``beat`` counts up while it lives, so that of two rows the one with the
    higher beat is newer. ``started_ms`` is the wall time of its start, in ms
    since 1970. ``failing`` is true where the store does not answer it, and
    ``capacity`` is that of its identity.
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
        """Return the id that the incarnation begins with."""
        return self.incarnation.rpartition('~')[0]

    @property
    def lives(self) -> bool:
        """Return whether it has not been told dead."""
        return self.standing is not Standing.DEAD


class View(typing.NamedTuple):
    """What follows from the members, for as long as they stay the same.

    ``checksum`` is over those of all data centres. ``reader_order`` holds
    incarnations, the readers of the store first.
    """

    version: int = -1
    living_by_data_centre: dict[str, tuple[Member, ...]] = {}
    checksum_by_data_centre: dict[str, int] = {}
    checksum: int = 0
    reader_order: tuple[str, ...] = ()
    rank: int = 0


class MembersTable(msgspec.Struct):
    """Members by incarnation, and when each was last known to live.

    ``word_at_ms_by_data_centre`` is when another data centre was last heard
    of. ``version`` changes with whatever the view depends on.
    ``compared_checksum`` is what others' delegates were last asked with.
    """

    seeds: tuple[str, ...] = ()
    started_ms: int = 0
    beat: int = 0
    failing: bool = False
    version: int = 0
    view: View = View()
    by_incarnation: dict[str, Member] = msgspec.field(default_factory=dict)
    risen_at_ms: dict[str, clock.Millis] = msgspec.field(
        default_factory=dict,
    )
    word_at_ms_by_data_centre: dict[str, clock.Millis] = msgspec.field(
        default_factory=dict,
    )
    turns: list[str] = msgspec.field(default_factory=list)
    told_standing: Standing = Standing.STARTING
    first_tick_ms: clock.Millis | None = None
    compared_checksum: int = 0
    last_tick_ms: clock.Millis = clock.NEVER_MS
    review_due_ms: clock.Millis = clock.NEVER_MS
    round_due_ms: clock.Millis = clock.NEVER_MS
    away_due_ms: clock.Millis = clock.NEVER_MS
    greet_due_ms: clock.Millis = clock.NEVER_MS


def create() -> MembersTable:
    """Create a table that knows of no instance."""
    return MembersTable()
