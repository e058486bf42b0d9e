"""An ordinary caller and the platform's questions, beside a disruption."""

import asyncio
import time

from review.stage import callers, instances

WINDOW_S = 3
"""StabilityWindowS: the process hangs if nothing is answered for so long."""

MAX_OWN_LAG_S = 1
"""A program that was itself late for longer can't judge a hang."""

CALL_INTERVAL_S = 0.25
CALL_DEADLINE_MS = 1500
READINESS_WAIT_S = 1


class Watch:
    """When the instance answered last, and the longest time without that.

    ``own_lag_s`` is the longest time for which this program itself was late.
    """

    def __init__(self) -> None:
        """Begin now."""
        self.answered_s = time.monotonic()
        self.longest_s = 0.0
        self.own_lag_s = 0.0
        self.count_by_end: dict[str, int] = {}

    def note(self, what: str, answer: callers.Answer) -> None:
        """Take the end of a question to the instance."""
        end = f'{what} {answer.status or answer.why}'
        self.count_by_end[end] = self.count_by_end.get(end, 0) + 1
        if answer.status:
            self.measure()
            self.answered_s = time.monotonic()

    def judge(self) -> int:
        """Return the exit code: 1 for a hang, 2 if this program was late."""
        if self.longest_s < WINDOW_S:
            return 0
        return 2 if self.own_lag_s > MAX_OWN_LAG_S else 1

    def measure(self) -> float:
        """Return for how long nothing has been answered."""
        silent_s = time.monotonic() - self.answered_s
        self.longest_s = max(self.longest_s, silent_s)
        return silent_s


async def act(instance: instances.Instance, watch: Watch) -> None:
    """Send calls on ``/lookup/`` and questions until cancelled."""
    async with asyncio.TaskGroup() as tasks:
        number = 0
        while True:
            tasks.create_task(_call(instance, watch, number))
            if not number % 4:
                tasks.create_task(_question(instance, watch))
            number += 1
            slept_s = time.monotonic()
            await asyncio.sleep(CALL_INTERVAL_S)
            lag_s = time.monotonic() - slept_s - CALL_INTERVAL_S
            watch.own_lag_s = max(watch.own_lag_s, lag_s)


async def _call(
    instance: instances.Instance, watch: Watch, number: int
) -> None:
    """Send an ordinary call."""
    request = callers.encode_request(
        '/lookup/a', f'call-{number}', CALL_DEADLINE_MS
    )
    watch.note(
        'call',
        await callers.ask(instance.front, request, CALL_DEADLINE_MS / 1000),
    )


async def _question(instance: instances.Instance, watch: Watch) -> None:
    """Ask for the readiness, as the platform does each second."""
    request = b'GET /-/ready HTTP/1.1\r\nHost: platform\r\n\r\n'
    answer = await callers.ask(instance.readiness, request, READINESS_WAIT_S)
    watch.note('readiness', answer)
