"""Signals to a process that runs an instance."""

import os
import signal

import anyio
import pytest

from oleanderstair import running


class Instance:
    """An instance that receives SIGTERM as soon as it runs."""

    def __init__(self):
        self.stops = 0
        self.stopped = anyio.Event()

    async def run(self):
        os.kill(os.getpid(), signal.SIGTERM)
        await self.stopped.wait()

    def stop(self):
        self.stops += 1
        self.stopped.set()


class Reloader:
    """A reloader without changes."""

    def reload(self, actor):
        """Do nothing."""

    async def watch(self):
        await anyio.sleep_forever()


@pytest.fixture
def unhandled():
    """Collect the signals that were not handled for an instance."""
    received = []
    previous = signal.signal(
        signal.SIGTERM,
        lambda number, frame: received.append(number),
    )
    yield received
    signal.signal(signal.SIGTERM, previous)


@pytest.mark.parametrize('reloads', [False, True])
def test_signal_at_the_start_causes_a_planned_stop(unhandled, reloads):
    async def scenario():
        instance = Instance()
        with anyio.move_on_after(5):
            if reloads:
                await running.run_reloading_instance(instance, Reloader())
            else:
                await running.run_instance(instance)
        assert instance.stops == 1
        assert not unhandled

    anyio.run(scenario)
