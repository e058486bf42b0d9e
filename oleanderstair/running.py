"""Runs an instance until a planned stop, whatever steers it."""

import gc
import os
import signal
import typing

import anyio

EXIT_WRONG_USE: typing.Final = 2
_EXIT_AT_ONCE: typing.Final = 1


class Instance(typing.Protocol):
    """An instance that runs until it is stopped."""

    async def run(self) -> None:
        """Serve until the planned stop is complete."""

    def stop(self) -> None:
        """Begin the planned stop."""


async def run(instance: Instance) -> None:
    """Run one instance; a second signal ends it at once."""
    gc.freeze()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_watch_signals, instance)
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
