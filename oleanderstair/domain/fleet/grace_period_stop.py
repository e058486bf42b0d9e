"""Planned stop of an instance that is killed after a grace period.

Callers may still hold its address from earlier answers. So a stopping
instance accepts calls that can end within the grace period, closes each
connection after its answer, and refuses longer calls. The process exits
shortly before the supervisor would kill it.

The supervisor counts the grace period from its signal, which a paused process
handles only when it runs again. So the kill may come at any time from one grace
period after the last tick before the signal was handled, or before the pause.
"""

import typing

from oleanderstair import clock
from oleanderstair.domain import actions, events, world
from oleanderstair.domain.tables import instances

EXIT_MARGIN_MS: typing.Final = 300
"""The process exits this long before the kill, even with calls in flight."""

IDLE_EXIT_MARGIN_MS: typing.Final = 500
"""An instance without calls in flight exits this long before the kill."""

RETRY_AFTER_MS: typing.Final = 50
"""The delay before a refused call may be retried at another instance."""

MIN_PAUSE_MS: typing.Final = EXIT_MARGIN_MS
"""The time between two ticks above which this process was paused."""

MAX_SIGNAL_DELAY_MS: typing.Final = 500
"""How long after a pause a signal that came during it is handled at the
latest."""

_MS_PER_S: typing.Final = 1000

_ACCEPT_ALL_SHARE: typing.Final = 0.5
"""The share of the grace period, from its start, in which no call is refused
because of the stop."""

_ACCEPT_ALL_MAX_MS: typing.Final[clock.Millis] = 3000
"""The longest such time. Callers that hold the address have asked for a new
one by then, and a call that comes later may not be cut off at the end."""


def on_stop(
    state: world.World,
    event: events.StopRequested,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Begin the planned stop; the address is no longer given to callers."""
    table = state.instances
    if is_stopping(state):
        return []
    table.stopping_since_ms = now_ms
    table.stop_requested_from_ms = _earliest_request_ms(state, now_ms)
    # The address of an unconfirmed instance was never given to callers, so it
    # keeps its phase and doesn't wait for late calls.
    if table.phase is not instances.Phase.UNCONFIRMED:
        table.phase = instances.Phase.STOPPING
    return [
        actions.Audit(
            'instance',
            state.identity.incarnation,
            'operator',
            'planned stop',
        ),
    ]


def is_call_refused(
    state: world.World,
    due_at_ms: clock.Millis,
    now_ms: clock.Millis,
) -> bool:
    """Return whether a call must be refused because of a planned stop.

    That is in the second half of the grace period, or 3 s after its start if
    that is earlier, if the call may last until ``due_at_ms`` and that is later
    than the earliest exit of the process.
    """
    if not is_stopping(state):
        return False
    grace_ms = state.policy.stop_grace_s * _MS_PER_S
    accept_all_ms = min(grace_ms * _ACCEPT_ALL_SHARE, _ACCEPT_ALL_MAX_MS)
    if now_ms < state.instances.stop_requested_from_ms + accept_all_ms:
        return False
    return due_at_ms > _earliest_kill_ms(state) - EXIT_MARGIN_MS


def is_stopping(state: world.World) -> bool:
    """Return whether the planned stop of this instance has begun."""
    return state.instances.stopping_since_ms != clock.NEVER_MS


def remaining_ms(state: world.World, now_ms: clock.Millis) -> clock.Millis:
    """Return the time to the latest kill of a stopping instance, in ms."""
    return _latest_kill_ms(state) - now_ms


def on_tick(
    state: world.World,
    event: events.Tick,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Exit when no call is in flight, and at the latest before the kill.

    An instance whose address callers may hold waits for late calls until
    ``IDLE_EXIT_MARGIN_MS`` before the earliest time of the kill. Calls in
    flight may end until the latest time.
    """
    _record_tick(state, now_ms)
    if not is_stopping(state):
        return []
    if remaining_ms(state, now_ms) <= EXIT_MARGIN_MS:
        return [actions.Exit()]
    if state.routed.call_by_id:
        return []
    min_remaining_ms = _earliest_kill_ms(state) - now_ms
    is_advertised = state.instances.phase is instances.Phase.STOPPING
    if is_advertised and min_remaining_ms > IDLE_EXIT_MARGIN_MS:
        return []
    return [actions.Exit()]


def _record_tick(state: world.World, now_ms: clock.Millis) -> None:
    """Record the tick, and a pause of this process before it."""
    table = state.instances
    last_tick_at_ms = table.last_tick_at_ms
    table.last_tick_at_ms = now_ms
    if last_tick_at_ms == clock.NEVER_MS:
        return
    if now_ms - last_tick_at_ms > MIN_PAUSE_MS:
        table.last_pause = instances.Pause(last_tick_at_ms, now_ms)


def _earliest_request_ms(
    state: world.World, now_ms: clock.Millis
) -> clock.Millis:
    """Return the earliest time at which a stop handled now was requested.

    This process ran at its last tick, unless that was the first one after a
    pause during which the signal may have come.
    """
    table = state.instances
    if table.last_tick_at_ms == clock.NEVER_MS:
        return now_ms
    if now_ms - table.last_pause.until_ms <= MAX_SIGNAL_DELAY_MS:
        return table.last_pause.from_ms
    return table.last_tick_at_ms


def _earliest_kill_ms(state: world.World) -> clock.Millis:
    grace_ms = state.policy.stop_grace_s * _MS_PER_S
    return state.instances.stop_requested_from_ms + grace_ms


def _latest_kill_ms(state: world.World) -> clock.Millis:
    grace_ms = state.policy.stop_grace_s * _MS_PER_S
    return state.instances.stopping_since_ms + grace_ms
