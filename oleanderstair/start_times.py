"""Records when an instance reached each phase of its start.

Imported before everything else, so it imports little itself.
"""

import os
import time
import typing

LISTENING: typing.Final = 'listening'
IMPORTED: typing.Final = 'imported'
CONFIGURED: typing.Final = 'configured'
STARTED: typing.Final = 'started'
ROUTES: typing.Final = 'routes'
FIRST_ANSWER: typing.Final = 'first-answer'

_STAT_PATH: typing.Final = '/proc/self/stat'
_START_TICKS_FIELD: typing.Final = 19
"""Index of the start of the process among the fields after its name."""

_MS_PER_S: typing.Final = 1000


class Mark(typing.NamedTuple):
    """When a phase was reached.

    ``after_ms`` is the time since the start of the process, ``cpu_ms`` the
    processor time that it has used.
    """

    after_ms: float
    cpu_ms: float


class StartTimes:
    """The phases that were reached so far, in order."""

    def __init__(self, process_started_ms: float) -> None:
        """Count from ``process_started_ms``, in ms since the boot."""
        self._process_started_ms = process_started_ms
        self.mark_by_phase: dict[str, Mark] = {}

    def mark(self, phase: str) -> bool:
        """Record that ``phase`` is reached now.

        Return False, and change nothing, if it was reached before.
        """
        if phase in self.mark_by_phase:
            return False
        self.mark_by_phase[phase] = Mark(
            _since_boot_ms() - self._process_started_ms,
            time.process_time() * _MS_PER_S,
        )
        return True

    def as_log_fields(self) -> dict[str, str]:
        """Return both times of each phase as fields of a log line, in ms."""
        fields = {}
        for phase, mark in self.mark_by_phase.items():
            name = phase.replace('-', '_')
            fields[f'{name}_ms'] = f'{mark.after_ms:.0f}'
            fields[f'{name}_cpu_ms'] = f'{mark.cpu_ms:.0f}'
        return fields


def create() -> StartTimes:
    """Create the record of this process, without any phase yet."""
    return StartTimes(_read_process_start_ms())


def _since_boot_ms() -> float:
    return time.clock_gettime(time.CLOCK_BOOTTIME) * _MS_PER_S


def _read_process_start_ms() -> float:
    """Return when this process started, or the present time if unknown."""
    try:
        with open(_STAT_PATH, encoding='utf-8') as stat_file:
            fields = stat_file.read().rpartition(')')[2].split()
    except OSError:
        return _since_boot_ms()
    ticks = int(fields[_START_TICKS_FIELD])
    return ticks / os.sysconf('SC_CLK_TCK') * _MS_PER_S
