"""Runs an instance and handles its signals until a planned stop."""

import functools
import gc
import os
import signal
import typing

import anyio

from oleanderstair import logs

EXIT_WRONG_USE: typing.Final = 2
_EXIT_FORCED: typing.Final = 1
_GC_THRESHOLD: typing.Final = 20_000
"""How many more allocations than deallocations trigger a collection."""


class Instance(typing.Protocol):
    """An instance that runs until it is stopped."""

    async def run(self) -> None:
        """Serve until the planned stop is complete."""

    def stop(self) -> None:
        """Begin the planned stop."""


class Reloader(typing.Protocol):
    """Applies changed settings to a running instance."""

    def reload(self, actor: str) -> None:
        """Reload the settings; ``actor`` names the cause."""

    async def watch(self) -> None:
        """Reload the settings whenever they change, until cancelled."""


_BackgroundTask: typing.TypeAlias = typing.Callable[
    [],
    typing.Coroutine[typing.Any, typing.Any, None],
]
_Signals: typing.TypeAlias = typing.AsyncIterator[signal.Signals]


async def run_instance(instance: Instance) -> None:
    """Run an instance until SIGTERM or SIGINT requests a planned stop.

    A second signal ends the process immediately.
    """
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        await _run_with_tasks(
            instance,
            functools.partial(_stop_on_signals, signals, instance),
        )


async def run_reloading_instance(
    instance: Instance, reloader: Reloader
) -> None:
    """Run an instance that reloads its settings at SIGHUP.

    SIGTERM or SIGINT requests a planned stop. Only a SIGINT during the stop
    ends the process immediately.
    """
    with anyio.open_signal_receiver(
        signal.SIGHUP,
        signal.SIGTERM,
        signal.SIGINT,
    ) as signals:
        await _run_with_tasks(
            instance,
            functools.partial(_handle_signals, signals, instance, reloader),
            reloader.watch,
        )


async def _run_with_tasks(
    instance: Instance, *background_tasks: _BackgroundTask
) -> None:
    """Run an instance, with ``background_tasks`` until it ends.

    The signal receiver must be open before the call, so that no early signal
    is lost. Objects that exist now are excluded from garbage collection.
    """
    gc.freeze()
    gc.set_threshold(_GC_THRESHOLD)
    gc.enable()
    async with anyio.create_task_group() as tasks:
        for background_task in background_tasks:
            tasks.start_soon(background_task)
        await instance.run()
        tasks.cancel_scope.cancel()


async def _stop_on_signals(signals: _Signals, instance: Instance) -> None:
    is_stopping = False
    async for _ in signals:
        if is_stopping:
            os._exit(_EXIT_FORCED)  # noqa: SLF001 (no clean-up)
        is_stopping = True
        instance.stop()


async def _handle_signals(
    signals: _Signals,
    instance: Instance,
    reloader: Reloader,
) -> None:
    is_stopping = False
    async for received in signals:
        if received is signal.SIGHUP:
            reloader.reload(received.name)
        elif is_stopping and received is signal.SIGINT:
            os._exit(_EXIT_FORCED)  # noqa: SLF001 (no clean-up)
        else:
            logs.log_event(
                'stop-requested', by=received.name, again=is_stopping
            )
            is_stopping = True
            instance.stop()
