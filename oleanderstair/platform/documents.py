"""Converts items of the platform's store to rows of the product's tables."""

import base64
import re
import typing

import msgspec
import result

from oleanderstair import clock, errors
from oleanderstair.domain.configuration import routing
from oleanderstair.domain.tables import operator_state, registry, routes

CONFIGURATION_KEY: typing.Final = 'op/config'
TARGET_PREFIX: typing.Final = 'servers/'
EVACUATION_PREFIX: typing.Final = 'op/evacuate/'
STORE_ERA: typing.Final = b'store-era'
"""The header field that counts how often the store was restored."""

_READY: typing.Final = 'ready'
_LEAVING: typing.Final = 'leaving'
_STATES: typing.Final = frozenset((_READY, _LEAVING))
_ONCE_KIND: typing.Final = 'once'
_IDEMPOTENT_KINDS: typing.Final = frozenset(('idempotent', 'download'))
_KINDS: typing.Final = _IDEMPOTENT_KINDS.union((_ONCE_KIND,))

# The ranges of fields. A value outside would fail only where it is used.

_MAX_COUNT: typing.Final = 2_147_483_647
_MAX_DURATION_MS: typing.Final = 86_400_000
"""A day."""

_MS_PER_S: typing.Final = 1000
_MAX_EXACT: typing.Final = 9_007_199_254_740_991
"""The largest whole number that every reader of JSON keeps exact."""

_MAX_NAME_LENGTH: typing.Final = 256
_NAME = typing.Annotated[
    str, msgspec.Meta(min_length=1, max_length=_MAX_NAME_LENGTH)
]
_TARGET_ID: typing.Final = re.compile('[!-~]{1,200}')
_OCTET: typing.Final = '(25[0-5]|2[0-4][0-9]|1[0-9]{2}|[1-9]?[0-9])'
_PORT: typing.Final = (
    '(6553[0-5]|655[0-2][0-9]|65[0-4][0-9]{2}|6[0-4][0-9]{3}'
    '|[1-5][0-9]{4}|[1-9][0-9]{0,3})'
)
_ADDRESS = typing.Annotated[
    str,
    msgspec.Meta(pattern=rf'\A({_OCTET}\.){{3}}{_OCTET}:{_PORT}\Z'),
]
_SLOTS = typing.Annotated[int, msgspec.Meta(ge=1, le=registry.MAX_SLOTS)]
_COUNT = typing.Annotated[int, msgspec.Meta(ge=0, le=_MAX_COUNT)]
_BYTES = typing.Annotated[int, msgspec.Meta(ge=0, le=_MAX_EXACT)]
_SEQUENCE = typing.Annotated[int, msgspec.Meta(ge=0, le=_MAX_EXACT)]
_WALL_MS = typing.Annotated[int, msgspec.Meta(ge=0, le=_MAX_EXACT)]
_DURATION_MS = typing.Annotated[float, msgspec.Meta(ge=0, le=_MAX_DURATION_MS)]
_DURATION_S = typing.Annotated[
    float, msgspec.Meta(ge=0, le=_MAX_DURATION_MS / _MS_PER_S)
]
_RATE_PER_S = typing.Annotated[float, msgspec.Meta(ge=0, le=_MAX_COUNT)]
_MAX_QUOTED: typing.Final = 64
_REMEDY: typing.Final = 'correct the value and publish it again'


class Item(msgspec.Struct):
    """An item of the store, or its deletion.

    ``value`` is a JSON document in base64, and ``revision`` that of the last
    change.
    """

    key: str
    revision: int
    value: str = ''
    deleted: bool = False


class _PartDocument(msgspec.Struct):
    service: str
    weight: _COUNT


class _RouteDocument(msgspec.Struct):
    name: str
    host: str
    prefix: str
    kind: str
    timeout_ms: _DURATION_MS
    aim_ms: _DURATION_MS
    rank: _COUNT
    max_attempts: _COUNT
    service: str = ''
    split: list[_PartDocument] = []


class _ServiceDocument(msgspec.Struct):
    name: str
    health_path: str
    connections: _COUNT


class _SlowStartDocument(msgspec.Struct):
    """The terms of a service for targets that have just started."""

    name: str
    slow_start_s: _DURATION_S = 0
    slow_start_per_s: _RATE_PER_S = 0


class _SlowStartsDocument(msgspec.Struct):
    services: list[_SlowStartDocument]


class _LimitsDocument(msgspec.Struct):
    max_header_bytes: _BYTES
    max_body_bytes: _BYTES
    header_time_ms: _DURATION_MS
    idle_ms: _DURATION_MS


class _ConfigurationDocument(msgspec.Struct):
    number: _SEQUENCE
    routes: list[_RouteDocument]
    services: list[_ServiceDocument]
    limits: _LimitsDocument


class _NumberDocument(msgspec.Struct):
    number: _SEQUENCE


class _TargetDocument(msgspec.Struct):
    """A registration; one without all fields comes from another writer.

    ``slow_ms`` is the remaining slow start, not the time of its end, and
    ``number`` the version of the target's software.
    """

    service: _NAME
    address: _ADDRESS
    data_centre: _NAME
    number: str
    slots: _SLOTS
    state: str
    sequence: _SEQUENCE
    slow_ms: _DURATION_MS
    born: _WALL_MS


_Document = typing.TypeVar('_Document')


def read_configuration(
    item: Item,
) -> result.Result[routes.Routing, errors.Problem]:
    """Decode a configuration, or return the problem that prevents it.

    Unknown kinds of routes are no problem; the result lists them.
    """
    decoded = _decode(item, _ConfigurationDocument)
    if isinstance(decoded, result.Err):
        return decoded
    document = decoded.ok_value
    unknown = {route.kind for route in document.routes} - _KINDS
    return result.Ok(
        routes.Routing(
            number=document.number,
            routes_by_host=routing.index_routes(
                map(_route_of, document.routes)
            ),
            service_by_name={
                service.name: routes.RoutedService(
                    service.name,
                    service.health_path,
                    service.connections,
                )
                for service in document.services
            },
            limits=routes.CallerLimits(
                document.limits.max_header_bytes,
                document.limits.max_body_bytes,
                document.limits.header_time_ms,
                document.limits.idle_ms,
            ),
            unknown_kinds=tuple(sorted(unknown)),
        ),
    )


def configuration_number_of(item: Item) -> int:
    """Return the number of a configuration, or 0 if it can't be decoded."""
    # ``read_configuration`` has returned the problem of an unreadable one.
    decoded = _decode(item, _NumberDocument)
    return decoded.ok_value.number if isinstance(decoded, result.Ok) else 0


def read_slow_start_limits(
    item: Item,
) -> dict[str, operator_state.SlowStartLimit]:
    """Decode the slow start limits of a configuration, by service.

    Services without one are left out; empty if they can't be decoded.
    """
    decoded = _decode(item, _SlowStartsDocument)
    if isinstance(decoded, result.Err):
        return {}
    return {
        service.name: operator_state.SlowStartLimit(
            service.slow_start_s * _MS_PER_S, service.slow_start_per_s
        )
        for service in decoded.ok_value.services
        if service.slow_start_per_s
    }


def read_target(
    item: Item,
    now_ms: clock.Millis,
) -> result.Result[registry.Entry, errors.Problem]:
    """Decode a target's registration, or return the problem with it.

    The end of the slow start is the remaining time added to ``now_ms``.
    """
    decoded = _decode(item, _TargetDocument)
    if isinstance(decoded, result.Err):
        return decoded
    document = decoded.ok_value
    if document.state not in _STATES:
        return result.Err(
            _item_problem(
                item, f'unknown state {document.state[:_MAX_QUOTED]!r}'
            )
        )
    if not _TARGET_ID.fullmatch(target_id_of(item)):
        return result.Err(_item_problem(item, 'its id is not plain text'))
    return result.Ok(
        registry.Entry(
            target_id=target_id_of(item),
            service=document.service,
            address=document.address,
            data_centre=document.data_centre,
            slots=document.slots,
            leaving=document.state == _LEAVING,
            born_ms=document.born,
            slow_start_until_ms=now_ms + document.slow_ms,
            revision=item.revision,
        ),
    )


def is_configuration(item: Item) -> bool:
    """Return whether an item holds the configuration and is not deleted."""
    return item.key == CONFIGURATION_KEY and not item.deleted


def is_target(item: Item) -> bool:
    """Return whether an item is a target's registration, even a deleted one."""
    return item.key.startswith(TARGET_PREFIX)


def is_evacuation(item: Item) -> bool:
    """Return whether an item is an evacuation, even one taken back."""
    return len(item.key) > len(EVACUATION_PREFIX) and item.key.startswith(
        EVACUATION_PREFIX
    )


def evacuation_of(item: Item) -> operator_state.Evacuation:
    """Return the evacuation that the key of an item names."""
    return operator_state.Evacuation(
        item.key.removeprefix(EVACUATION_PREFIX), item.revision
    )


def target_id_of(item: Item) -> str:
    """Return the target id in the key of a registration."""
    return item.key.removeprefix(TARGET_PREFIX)


def _decode(
    item: Item, kind: type[_Document]
) -> result.Result[_Document, errors.Problem]:
    """Decode the JSON document that an item holds.

    A document that is nested too deep is a problem like any other one.
    """
    try:
        return result.Ok(
            msgspec.json.decode(
                base64.b64decode(item.value, validate=True), type=kind
            )
        )
    except (ValueError, RecursionError) as error:
        return result.Err(_item_problem(item, str(error)))


def _route_of(document: _RouteDocument) -> routes.Route:
    parts = tuple(
        routes.SplitPart(part.service, part.weight) for part in document.split
    )
    return routes.Route(
        name=document.name,
        host=document.host,
        prefix=document.prefix,
        parts=parts or (routes.SplitPart(document.service, 1),),
        idempotent=document.kind in _IDEMPOTENT_KINDS,
        timeout_ms=document.timeout_ms,
        aim_ms=document.aim_ms,
        rank=document.rank,
        max_attempts=document.max_attempts,
    )


def _item_problem(item: Item, what: str) -> errors.Problem:
    return errors.Problem(errors.ProblemKind.VALUE, item.key, what, _REMEDY)
