"""Entries of another writer, by name, that name no target to use."""

import typing

import msgspec

from oleanderstair.emulator import published

_DEPTH: typing.Final = 1500
_LARGE: typing.Final = 10**400
_MARK: typing.Final = '"mark"'


def _entry(text: str, **fields: str) -> bytes:
    """Return a good entry in which ``text`` stands for the mark."""
    good = {**published.entry('127.0.0.1:9'), **fields}
    return msgspec.json.encode(good).decode().replace(_MARK, text).encode()


BY_NAME: typing.Final = {
    'nested': _entry('[' * _DEPTH + ']' * _DEPTH, unknown='mark'),
    'large-slots': _entry(str(_LARGE), slots='mark'),
    'large-born': _entry(str(2**64), born='mark'),
    'large-slow': _entry('1e308', slow_ms='mark'),
    'port': _entry('"127.0.0.1:99999"', address='mark'),
    'text': b'\xff{',
}
