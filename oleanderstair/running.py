"""Runs an instance until a planned stop, whatever steers it."""

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
    [Instance],
    typing.Coroutine[typing.Any, typing.Any, None],
]


async def run(instance: Instance) -> None:
    """Run one instance; a second signal ends it at once."""
    await _run(instance, _watch_signals)


async def run_reloading(instance: Instance, reloader: Reloader) -> None:
    """Run one instance that reloads at SIGHUP.

    Only an interrupt from the keyboard ends a planned stop early.
    """

    async def watch(stopped: Instance) -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(reloader.watch)
            await _watch_all_signals(stopped, reloader)

    await _run(instance, watch)


async def _run(
    instance: Instance,
    watch: _Watch,
) -> None:
    gc.freeze()
    gc.set_threshold(_GC_AFTER)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(watch, instance)
        await instance.run()
        tasks.cancel_scope.cancel()


async def _watch_signals(instance: Instance) -> None:
    stopping = False
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            if stopping:
                os._exit(_EXIT_AT_ONCE)  # noqa: SLF001 (no clean-up)
            stopping = True
            instance.stop()


async def _watch_all_signals(instance: Instance, reloader: Reloader) -> None:
    stopping = False
    with anyio.open_signal_receiver(
        signal.SIGHUP,
        signal.SIGTERM,
        signal.SIGINT,
    ) as signals:
        async for received in signals:
            if received is signal.SIGHUP:
                reloader.reload(received.name)
            elif stopping and received is signal.SIGINT:
                os._exit(_EXIT_AT_ONCE)  # noqa: SLF001 (no clean-up)
            else:
                logs.event('stop-requested', by=received.name, again=stopping)
                stopping = True
                instance.stop()
