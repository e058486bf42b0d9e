"""What an operator and targets put into the platform's store."""

import typing

from oleanderstair import clock

HOST: typing.Final = 'calls.example'

Document: typing.TypeAlias = dict[str, typing.Any]


def route(
    name: str,
    kind: str,
    service: str,
    timeout_ms: clock.Millis = 1000,
) -> Document:
    """Return a route of ``HOST`` whose prefix is its name."""
    return {
        'name': name,
        'host': HOST,
        'prefix': f'/{name}/',
        'kind': kind,
        'timeout_ms': timeout_ms,
        'aim_ms': 250,
        'rank': 1,
        'max_attempts': 2,
        'service': service,
    }


def configuration(
    number: int,
    routes: list[Document],
    idle_ms: clock.Millis = 5000,
) -> Document:
    """Return a configuration of some routes and their services."""
    names = sorted({told['service'] for told in routes})
    return {
        'number': number,
        'routes': routes,
        'services': [
            {'name': name, 'health_path': '/health', 'connections': 100}
            for name in names
        ],
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 100000,
            'header_time_ms': 3000,
            'idle_ms': idle_ms,
        },
    }


def entry(address: str, **fields: typing.Any) -> Document:
    """Return what a target registers, with some fields otherwise."""
    return {
        'service': 'burza',
        'address': address,
        'data_centre': 'trnava',
        'number': 'v1',
        'slots': 4,
        'state': 'ready',
        'sequence': 1,
        'slow_ms': 0,
        'born': 1,
        **fields,
    }
