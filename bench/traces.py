"""Recorded traces: calls with their own arrival times, and faults."""

import gzip
import pathlib
import typing

import msgspec

DIRECTORY: typing.Final = pathlib.Path(__file__).parent / 'traces'
_SUFFIX: typing.Final = '.msgpack.gz'


class Call(msgspec.Struct, array_like=True):
    """One call: when it is meant to arrive, where, and the work it needs.

    ``kind`` is the first letter of its class; ``crashes`` marks a call
    that kills the target that runs it.
    """

    at_us: int
    instance: int
    kind: str
    work_us: int
    idempotent: bool = True
    crashes: bool = False


class Fault(msgspec.Struct, array_like=True):
    """What happens to a target at a time; ``amount`` depends on ``what``."""

    at_ms: int
    what: str
    target: int
    amount: float = 0


class Trace(msgspec.Struct):
    """A deployment of one service, its calls and its faults."""

    name: str
    service: str
    targets: int
    slots: int
    instances: int
    target_queue: int
    deadline_ms: int
    typical_work_us: int
    calls: list[Call]
    faults: list[Fault]


def load(name: str) -> Trace:
    """Read a recorded trace."""
    return msgspec.msgpack.decode(
        gzip.decompress(_path(name).read_bytes()),
        type=Trace,
    )


def save(trace: Trace) -> None:
    """Write a trace to its file."""
    packed = gzip.compress(msgspec.msgpack.encode(trace), mtime=0)
    _path(trace.name).write_bytes(packed)


def names() -> list[str]:
    """Return the names of the recorded traces."""
    return sorted(
        path.name.removesuffix(_SUFFIX)
        for path in DIRECTORY.glob(f'*{_SUFFIX}')
    )


def _path(name: str) -> pathlib.Path:
    return DIRECTORY / f'{name}{_SUFFIX}'
