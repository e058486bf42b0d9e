"""What the release note says of one call: its class and idempotency."""

import typing

from oleanderstair.domain import events
from oleanderstair.domain.tables import catalogue

_IDEMPOTENT_METHODS: typing.Final = frozenset(
    ('GET', 'HEAD', 'OPTIONS', 'TRACE', 'PUT', 'DELETE'),
)


def is_idempotent(
    service: catalogue.Service,
    received: events.CallReceived,
) -> bool:
    """Decide by RFC 9110 methods and the service's exceptions."""
    for rule in _matching_rules(service, received):
        if rule.idempotent is not None:
            return rule.idempotent
    return received.method in _IDEMPOTENT_METHODS


def call_class(
    service: catalogue.Service,
    received: events.CallReceived,
) -> catalogue.CallClass:
    """Return the first matching rule's class, or else the service's."""
    for rule in _matching_rules(service, received):
        if rule.call_class is not None:
            return rule.call_class
    return service.call_class


def _matching_rules(
    service: catalogue.Service,
    received: events.CallReceived,
) -> typing.Iterator[catalogue.CallRule]:
    for rule in service.rules:
        method_fits = rule.method in {'', received.method}
        if method_fits and received.path.startswith(rule.path_prefix):
            yield rule
