"""The routes in force: which service takes a call, and on what terms."""

import typing

import msgspec

from oleanderstair import clock


class Part(typing.NamedTuple):
    """A service that takes a share of a route's calls."""

    service: str
    weight: int


class Route(typing.NamedTuple):
    """The calls of a host below a prefix, and how they are carried.

    ``aim_ms`` is the time within which an answer is worth most, and a lower
    ``rank`` goes first at the crest.
    """

    name: str
    host: str
    prefix: str
    parts: tuple[Part, ...]
    idempotent: bool
    timeout_ms: clock.Millis
    aim_ms: clock.Millis
    rank: int
    max_attempts: int


class RoutedService(typing.NamedTuple):
    """A service that routes lead to; ``connections`` bounds each target."""

    name: str
    health_path: str
    connections: int


class CallerLimits(typing.NamedTuple):
    """What a caller may send, and how long it may take or stay idle."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 1048576
    header_time_ms: clock.Millis = 5000
    idle_ms: clock.Millis = 15000


class Routing(typing.NamedTuple):
    """One whole configuration; ``routes_by_host`` has long prefixes first.

    ``unknown_kinds`` are kinds of routes that this release doesn't know: their
    calls run at most once, whatever the kind would allow.
    """

    number: int
    routes_by_host: dict[str, tuple[Route, ...]]
    service_by_name: dict[str, RoutedService]
    limits: CallerLimits
    unknown_kinds: tuple[str, ...] = ()


class Refused(typing.NamedTuple):
    """A published configuration that can't be read, and its remedy.

    ``number`` is 0 where not even that is readable.
    """

    number: int
    why: str


class RoutesTable(msgspec.Struct):
    """The configuration in force here; None before the first is known.

    ``refused`` is the newest one where that can't be read.
    ``credit_by_parts`` is what the parts of each split are owed, in calls.
    """

    in_force: Routing | None = None
    refused: Refused | None = None
    adopted_at_ms: clock.Millis = clock.NEVER_MS
    credit_by_parts: dict[tuple[str, tuple[Part, ...]], dict[str, float]] = (
        msgspec.field(default_factory=dict)
    )


def create() -> RoutesTable:
    """Create a table in which no configuration is known."""
    return RoutesTable()
