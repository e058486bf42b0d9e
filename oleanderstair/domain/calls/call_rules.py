"""Applies the rules of a release note: a call's class and idempotency."""

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
    """Return whether a call may run more than once.

    This is set by the first matching rule of the service that has a value
    for it. Without such a rule, the call is idempotent if RFC 9110 defines
    its method as idempotent.
    """
    for rule in _matching_rules(service, received):
        if rule.idempotent is not None:
            return rule.idempotent
    return received.method in _IDEMPOTENT_METHODS


def call_class(
    service: catalogue.Service,
    received: events.CallReceived,
) -> catalogue.CallClass:
    """Return the class set by the first matching rule, else the service's."""
    for rule in _matching_rules(service, received):
        if rule.call_class is not None:
            return rule.call_class
    return service.call_class


def _matching_rules(
    service: catalogue.Service,
    received: events.CallReceived,
) -> typing.Iterator[catalogue.CallRule]:
    """Yield the rules that match the method and path of a call, in order."""
    for rule in service.rules:
        method_fits = rule.method in {'', received.method}
        if method_fits and received.path.startswith(rule.path_prefix):
            yield rule
