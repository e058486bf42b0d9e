"""Reads the platform: the newest note and the list of instances."""

import typing

from oleanderstair import clock
from oleanderstair.domain import actions, events, spread, world

_LIST: typing.Final = 'instances'


def on_tick(
    state: world.World,
    event: events.Tick,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Ask for the head and the list when they are due."""
    due: list[actions.Action] = []
    if _is_due(state, spread.HEAD_NAME, state.policy.value_read_ms, now_ms):
        due.append(actions.ReadValue(spread.HEAD_NAME))
    if _is_due(state, _LIST, state.policy.list_read_ms, now_ms):
        due.append(actions.ReadInstances())
    return due


def _is_due(
    state: world.World,
    name: str,
    period_ms: clock.Millis,
    now_ms: clock.Millis,
) -> bool:
    read_at_ms = state.reads.read_at_ms_by_name.get(name, clock.NEVER_MS)
    if now_ms - read_at_ms < period_ms:
        return False
    state.reads.read_at_ms_by_name[name] = now_ms
    return True
