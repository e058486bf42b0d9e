"""Starts daemons of the platform as processes, and signals only those."""

import contextlib
import dataclasses
import os
import pathlib
import signal
import site
import sys
import typing

import anyio
import anyio.abc
import httpcore
import msgspec

from oleanderstair import settings
from soak import bounds

ROOT: typing.Final = pathlib.Path(__file__).parent.parent
_MEMORY_MB: typing.Final = 152
"""The memory of the smallest machines, so that buffered bytes are limited."""

_KIB_PER_MIB: typing.Final = 1024
_POLL_S: typing.Final = 0.05
_NEAR_S: typing.Final = 0.001
_PORT_BY_SIDE: typing.Final = {
    'callers': 8161,
    'directory': 8164,
    'readiness': 8167,
    'peers': 8166,
}
_SPARED: typing.Final = tuple(
    str(port) for side, port in _PORT_BY_SIDE.items() if side != 'peers'
)
_READY: typing.Final = 200
_ASK_S: typing.Final = 1
_PLACES: typing.Final = ('trnava', 'nitra')
_BYTE: typing.Final = 256
_NETWORKS: typing.Final = 250 * _BYTE
_QUEUE_LIMITS: typing.Final = (256, 255)
_UNREADY: typing.Final = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    TimeoutError,
)
_VALID_MS: typing.Final = 2000
"""This and the next three are what the deploy file sets."""

_TICK_MS: typing.Final = 100
_SILENCE_MS: typing.Final = 2000
_RETRY_SLACK: typing.Final = 75
_MS_PER_S: typing.Final = 1000


@dataclasses.dataclass(slots=True)
class Instance:
    """One entry instance on a loopback address of its own."""

    name: str
    host: str
    folder: pathlib.Path
    tree: settings.Tree
    process: anyio.abc.Process | None = None
    life: int = 0
    reloads: int = 0

    @property
    def is_running(self) -> bool:
        """Return whether its process has not ended."""
        return self.process is not None and self.process.returncode is None

    def address(self, side: str) -> str:
        """Return where a side listens."""
        return f'{self.host}:{_PORT_BY_SIDE[side]}'

    def write_settings(self, **policy: object) -> None:
        """Write the settings file, with some values of policy anew."""
        self.tree['policy'].update(policy)
        self._path.write_bytes(msgspec.json.encode(self.tree))

    async def reload(self) -> None:
        """Change the settings file and say so, once that ends no process.

        Until its program runs, nothing can keep a process from ending.
        """
        self.reloads += 1
        self.write_settings(queue_limit=_QUEUE_LIMITS[self.reloads % 2])
        while self.is_running and not self._bears(signal.SIGHUP):
            await anyio.sleep(_NEAR_S)
        self.signal(signal.SIGHUP)

    def sever(self) -> None:
        """Let its open connections go silent, if its program runs."""
        if self.is_running and self._bears(signal.SIGUSR1):
            self.signal(signal.SIGUSR1)

    def has_exceeded_memory(self) -> bool:
        """Return whether the process has exceeded its machine's memory."""
        if not self.is_running:
            return False
        assert self.process is not None  # noqa: S101 (it runs)
        status = pathlib.Path(f'/proc/{self.process.pid}/status').read_text()
        peaks_kib = [
            int(row.split()[1])
            for row in status.splitlines()
            if row.startswith('VmHWM')
        ]
        return max(peaks_kib, default=0) > _MEMORY_MB * _KIB_PER_MIB

    def _bears(self, number: signal.Signals) -> bool:
        assert self.process is not None  # noqa: S101 (it runs)
        status = pathlib.Path(f'/proc/{self.process.pid}/status').read_text()
        masks = [
            int(row.split()[1], base=16)
            for row in status.splitlines()
            if row.startswith(('SigIgn', 'SigCgt'))
        ]
        return any(mask >> (number - 1) & 1 for mask in masks)

    async def start(self) -> None:
        """Start the process anew; its lines go to a file."""
        self.life += 1
        with self.folder.joinpath(f'{self.name}.log').open('ab') as log:
            self.process = await anyio.open_process(
                [sys.executable, '-S', '-m', 'soak.severable', *_SPARED],
                cwd=ROOT,
                env={
                    'OLEANDERSTAIR_CONFIG': str(self._path),
                    'PYTHONPATH': os.pathsep.join(site.getsitepackages()),
                },
                stdout=log,
                stderr=log,
            )

    def signal(self, number: signal.Signals) -> bool:
        """Signal the process; return whether it was there."""
        if self.process is None or self.process.returncode is not None:
            return False
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(number)
        return True

    async def end(self, within_s: float) -> bool:
        """Wait for the end; kill what still runs then, and return True."""
        # Another fault may start the next process meanwhile.
        process = self.process
        if process is None:
            return False
        with anyio.move_on_after(within_s):
            await process.wait()
        was_late = process.returncode is None
        with anyio.CancelScope(shield=True):
            if was_late:
                process.kill()
            await process.wait()
        return was_late

    async def until_ready(self) -> None:
        """Wait until the instance says that it is ready, or has ended."""
        while self.is_running and not await self._is_ready():
            await anyio.sleep(_POLL_S)

    async def _is_ready(self) -> bool:
        url = f'http://{self.address("readiness")}/-/readiness'
        with contextlib.suppress(*_UNREADY), anyio.fail_after(_ASK_S):
            async with httpcore.AsyncConnectionPool() as pool:
                return (await pool.request('GET', url)).status == _READY
        return False

    @property
    def _path(self) -> pathlib.Path:
        return self.folder / f'{self.name}.json'


def create(
    name: str,
    number: int,
    folder: pathlib.Path,
    store_address: str,
    seeds: list[str],
) -> Instance:
    """Create an instance that has not been started."""
    # Each soak on a machine has a network of its own in 127.0.0.0/8.
    high, low = divmod(os.getpid() % _NETWORKS, _BYTE)
    made = Instance(name, f'127.{high + 1}.{low}.{number}', folder, {})
    made.tree = {
        'instance': {
            'id': name,
            'region': 'west',
            'data_centre': _PLACES[number % len(_PLACES)],
            'capacity': {'memory_mb': _MEMORY_MB},
        },
        'callers': {'address': made.address('callers')},
        'peers': {
            'address': made.address('peers'),
            'seeds': seeds,
            'allow_plain': True,
        },
        'platform': {
            'store_address': store_address,
            'directory_address': made.address('directory'),
            'readiness_address': made.address('readiness'),
        },
        'policy': {
            'stop_grace_s': bounds.STOP_S,
            'answer_validity_ms': _VALID_MS,
            'tick_ms': _TICK_MS,
            'peer_silence_ms': _SILENCE_MS,
            'retry_slack': _RETRY_SLACK,
            'evacuation_bound_ms': bounds.EVACUATE_S * _MS_PER_S,
            'slow_start_overage': bounds.COLD_FACTOR,
            'slow_start_slack': bounds.COLD_SLACK,
        },
    }
    return made
