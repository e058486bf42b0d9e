"""The JSON schema of published release notes and catalogue values."""

import typing

import msgspec

from oleanderstair.domain.tables import catalogue

NAME = typing.Annotated[
    str,
    msgspec.Meta(pattern='^[a-z0-9][a-z0-9-]{0,62}$'),
]
_MAX_INT: typing.Final = 100_000_000
POSITIVE = typing.Annotated[int, msgspec.Meta(ge=1, le=_MAX_INT)]
_SHARE = typing.Annotated[float, msgspec.Meta(ge=0, le=1)]


class Changes(msgspec.Struct, forbid_unknown_fields=True):
    """The definitions of services and targets after a change."""

    services: list['ServiceEntry'] = []
    targets: list['TargetEntry'] = []


class Withdrawals(msgspec.Struct, forbid_unknown_fields=True):
    """The names of the services and targets that a note removes."""

    services: list[NAME] = []
    targets: list[NAME] = []


class RuleEntry(msgspec.Struct, forbid_unknown_fields=True):
    """The properties of calls with a method and a path prefix.

    An empty method matches any. A property that is None is taken from the next
    rule that matches. Without such a rule, ``idempotent`` follows from the
    method, and ``call_class`` is that of the service.
    """

    path_prefix: str
    method: str = ''
    idempotent: bool | None = None
    call_class: catalogue.CallClass | None = None


class ServiceEntry(msgspec.Struct, forbid_unknown_fields=True):
    """A service, its default call properties and its limits."""

    name: NAME
    region: NAME
    call_class: catalogue.CallClass = catalogue.CallClass.INTERACTIVE
    deadline_ms: POSITIVE = 1000
    probe_budget_per_s: POSITIVE = 20
    retry_share: _SHARE = 0.1
    hedge_share: _SHARE = 0.02
    rules: list[RuleEntry] = []


class TargetEntry(msgspec.Struct, forbid_unknown_fields=True):
    """A target: its service, address, data centre and limits."""

    id: NAME
    service: NAME
    address: typing.Annotated[str, msgspec.Meta(pattern=r'^[\w.:\[\]-]+:\d+$')]
    data_centre: NAME
    slots: POSITIVE
    connections: POSITIVE = 300


def services_of(changes: Changes) -> tuple[catalogue.Service, ...]:
    """Convert the services of ``changes`` to catalogue rows."""
    return tuple(
        catalogue.Service(
            name=entry.name,
            region=entry.region,
            call_class=entry.call_class,
            deadline_ms=entry.deadline_ms,
            probe_budget_per_s=entry.probe_budget_per_s,
            retry_share=entry.retry_share,
            hedge_share=entry.hedge_share,
            rules=tuple(
                catalogue.CallRule(
                    rule.path_prefix,
                    rule.method,
                    rule.idempotent,
                    rule.call_class,
                )
                for rule in entry.rules
            ),
        )
        for entry in changes.services
    )


def targets_of(changes: Changes) -> tuple[catalogue.Target, ...]:
    """Convert the targets of ``changes`` to catalogue rows."""
    return tuple(
        catalogue.Target(
            target_id=entry.id,
            service=entry.service,
            address=entry.address,
            data_centre=entry.data_centre,
            slots=entry.slots,
            connections=entry.connections,
        )
        for entry in changes.targets
    )


def changes_of(
    services: typing.Iterable[catalogue.Service],
    targets: typing.Iterable[catalogue.Target],
) -> Changes:
    """Convert catalogue rows to published entries."""
    return Changes(
        services=[
            ServiceEntry(
                **{
                    **service._asdict(),
                    'rules': [
                        RuleEntry(**rule._asdict()) for rule in service.rules
                    ],
                },
            )
            for service in services
        ],
        targets=[
            TargetEntry(
                id=target.target_id,
                service=target.service,
                address=target.address,
                data_centre=target.data_centre,
                slots=target.slots,
                connections=target.connections,
            )
            for target in targets
        ],
    )
