"""The configuration in force: routes, their services and caller limits."""

import typing

import msgspec

from oleanderstair import clock


class SplitPart(typing.NamedTuple):
    """A service that receives a share of a route's calls, by weight."""

    service: str
    weight: int


class Route(typing.NamedTuple):
    """The routing of a host's calls below a path prefix.

    ``aim_ms`` is the latency target. In an overload, calls of a lower
    ``rank`` are served first.
    """

    name: str
    host: str
    prefix: str
    parts: tuple[SplitPart, ...]
    idempotent: bool
    timeout_ms: clock.Millis
    aim_ms: clock.Millis
    rank: int
    max_attempts: int


class RoutedService(typing.NamedTuple):
    """A service that routes lead to.

    ``connections`` is the limit of connections to each of its targets.
    """

    name: str
    health_path: str
    connections: int


class CallerLimits(typing.NamedTuple):
    """The limits for a caller's requests and for idle connections."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 1048576
    header_time_ms: clock.Millis = 5000
    idle_ms: clock.Millis = 15000


class Routing(typing.NamedTuple):
    """One whole configuration; ``routes_by_host`` has long prefixes first.

    ``unknown_kinds`` are route kinds that this release doesn't support; calls
    of such routes run at most once, even if their kind allows retries.
    """

    number: int
    routes_by_host: dict[str, tuple[Route, ...]]
    service_by_name: dict[str, RoutedService]
    limits: CallerLimits
    unknown_kinds: tuple[str, ...] = ()


class RefusedConfiguration(typing.NamedTuple):
    """A published configuration that can't be read; ``why`` names the remedy.

    ``number`` is 0 if not even the number is readable.
    """

    number: int
    why: str


class RoutesTable(msgspec.Struct):
    """The configuration in force here, None before the first is known.

    ``refused`` is the newest published configuration if it can't be read.
    ``credit_by_split`` holds, for each split, how many calls each of its
    services is owed.
    """

    in_force: Routing | None = None
    refused: RefusedConfiguration | None = None
    adopted_at_ms: clock.Millis = clock.NEVER_MS
    credit_by_split: dict[
        tuple[str, tuple[SplitPart, ...]], dict[str, float]
    ] = msgspec.field(default_factory=dict)


def create() -> RoutesTable:
    """Create a table without a configuration."""
    return RoutesTable()
