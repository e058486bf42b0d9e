"""Signals of a process that runs one instance."""

import os
import signal

import anyio
import pytest

from oleanderstair import running


class Instance:
    """Get a signal as soon as it says that it has started."""

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
    """Reload nothing."""

    def reload(self, actor):
        """Do nothing."""

    async def watch(self):
        await anyio.sleep_forever()


@pytest.fixture
def uncaught():
    """Count signals that no handler of an instance has taken."""
    taken = []
    before = signal.signal(
        signal.SIGTERM,
        lambda number, frame: taken.append(number),
    )
    yield taken
    signal.signal(signal.SIGTERM, before)


@pytest.mark.parametrize('reloads', [False, True])
def test_signal_at_the_start_is_a_planned_stop(uncaught, reloads):
    async def scenario():
        instance = Instance()
        with anyio.move_on_after(5):
            if reloads:
                await running.run_reloading(instance, Reloader())
            else:
                await running.run(instance)
        assert instance.stops == 1
        assert not uncaught

    anyio.run(scenario)
