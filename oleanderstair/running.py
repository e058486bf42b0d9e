"""Runs an instance until a planned stop, whatever steers it."""

import functools
import gc
import os
import signal
import typing

import anyio

from oleanderstair import logs

EXIT_WRONG_USE: typing.Final = 2
_EXIT_AT_ONCE: typing.Final = 1
_GC_AFTER: typing.Final = 20_000


class Instance(typing.Protocol):
    """An instance that runs until it is stopped."""

    async def run(self) -> None:
        """Serve until the planned stop is complete."""

    def stop(self) -> None:
        """Begin the planned stop."""


class Reloader(typing.Protocol):
    """Puts changed settings of a running instance in force."""

    def reload(self, actor: str) -> None:
        """Read the settings again on behalf of ``actor``."""

    async def watch(self) -> None:
        """Reload at each change until cancelled."""


_Watch: typing.TypeAlias = typing.Callable[
    [],
    typing.Coroutine[typing.Any, typing.Any, None],
]
_Signals: typing.TypeAlias = typing.AsyncIterator[signal.Signals]


async def run(instance: Instance) -> None:
    """Run one instance; a second signal ends it at once."""
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        await _run(
            instance,
            functools.partial(_stop_by, signals, instance),
        )


async def run_reloading(instance: Instance, reloader: Reloader) -> None:
    """Run one instance that reloads at SIGHUP.

    Only an interrupt from the keyboard ends a planned stop early.
    """
    with anyio.open_signal_receiver(
        signal.SIGHUP,
        signal.SIGTERM,
        signal.SIGINT,
    ) as signals:
        await _run(
            instance,
            functools.partial(_steer_by, signals, instance, reloader),
            reloader.watch,
        )


async def _run(instance: Instance, *watches: _Watch) -> None:
    """Run an instance whose signals are received from the first on."""
    gc.freeze()
    gc.set_threshold(_GC_AFTER)
    gc.enable()
    async with anyio.create_task_group() as tasks:
        for watch in watches:
            tasks.start_soon(watch)
        await instance.run()
        tasks.cancel_scope.cancel()


async def _stop_by(signals: _Signals, instance: Instance) -> None:
    stopping = False
    async for _ in signals:
        if stopping:
            os._exit(_EXIT_AT_ONCE)  # noqa: SLF001 (no clean-up)
        stopping = True
        instance.stop()


async def _steer_by(
    signals: _Signals,
    instance: Instance,
    reloader: Reloader,
) -> None:
    stopping = False
    async for received in signals:
        if received is signal.SIGHUP:
            reloader.reload(received.name)
        elif stopping and received is signal.SIGINT:
            os._exit(_EXIT_AT_ONCE)  # noqa: SLF001 (no clean-up)
        else:
            logs.event('stop-requested', by=received.name, again=stopping)
            stopping = True
            instance.stop()
