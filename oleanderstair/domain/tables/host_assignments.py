"""Cache of the instances that are assigned to hosts and services."""

import typing

import msgspec

from oleanderstair.domain.tables import members

SourceVersions: typing.TypeAlias = tuple[int, int, int]
"""The versions of members, configuration and registry."""


class HostAssignmentsTable(msgspec.Struct):
    """Assigned instances, cached until one of ``source_versions`` changes.

    ``rows_by_host`` is by host and data centre, ``ids_by_service`` by service
    and data centre. ``remote_ids_by_service`` has the same keys, but holds
    the instances of all other data centres. ``hosts_by_service`` lists the
    hosts with a route to a service.
    """

    source_versions: SourceVersions = (-1, -1, -1)
    rows_by_host: dict[tuple[str, str], tuple[members.Member, ...]] = (
        msgspec.field(default_factory=dict)
    )
    ids_by_service: dict[tuple[str, str], tuple[str, ...]] = msgspec.field(
        default_factory=dict,
    )
    remote_ids_by_service: dict[tuple[str, str], tuple[str, ...]] = (
        msgspec.field(
            default_factory=dict,
        )
    )
    hosts_by_service: dict[str, tuple[str, ...]] = msgspec.field(
        default_factory=dict,
    )


def create() -> HostAssignmentsTable:
    """Create an empty cache."""
    return HostAssignmentsTable()
