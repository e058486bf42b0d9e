"""Converts items of the platform's store to rows of the product's tables."""

import base64
import typing

import msgspec
import result

from oleanderstair import clock, errors
from oleanderstair.domain.configuration import routing
from oleanderstair.domain.tables import registry, routes

CONFIGURATION_KEY: typing.Final = 'op/config'
TARGET_PREFIX: typing.Final = 'servers/'
STORE_ERA: typing.Final = b'store-era'
"""The header field that counts how often the store was restored."""

_READY: typing.Final = 'ready'
_LEAVING: typing.Final = 'leaving'
_STATES: typing.Final = frozenset((_READY, _LEAVING))
_ONCE_KIND: typing.Final = 'once'
_IDEMPOTENT_KINDS: typing.Final = frozenset(('idempotent', 'download'))
_KINDS: typing.Final = _IDEMPOTENT_KINDS.union((_ONCE_KIND,))
_NAME = typing.Annotated[str, msgspec.Meta(min_length=1)]
_ADDRESS = typing.Annotated[
    str,
    msgspec.Meta(pattern=r'^(\d{1,3}\.){3}\d{1,3}:\d{1,5}$'),
]
_POSITIVE = typing.Annotated[int, msgspec.Meta(ge=1)]
_DURATION_MS = typing.Annotated[float, msgspec.Meta(ge=0)]
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
    weight: int


class _RouteDocument(msgspec.Struct):
    name: str
    host: str
    prefix: str
    kind: str
    timeout_ms: float
    aim_ms: float
    rank: int
    max_attempts: int
    service: str = ''
    split: list[_PartDocument] = []


class _ServiceDocument(msgspec.Struct):
    name: str
    health_path: str
    connections: int


class _LimitsDocument(msgspec.Struct):
    max_header_bytes: int
    max_body_bytes: int
    header_time_ms: float
    idle_ms: float


class _ConfigurationDocument(msgspec.Struct):
    number: int
    routes: list[_RouteDocument]
    services: list[_ServiceDocument]
    limits: _LimitsDocument


class _NumberDocument(msgspec.Struct):
    number: int


class _TargetDocument(msgspec.Struct):
    service: _NAME
    address: _ADDRESS
    data_centre: _NAME
    slots: _POSITIVE
    state: str
    sequence: int
    # The remaining slow start, not the time of its end.
    slow_ms: _DURATION_MS = 0
    born: int = 0


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
            _item_problem(item, f'unknown state {document.state!r}')
        )
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
