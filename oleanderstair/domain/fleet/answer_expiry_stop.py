"""Planned stop of an instance, without a limit on its duration.

Callers may hold the address from an address answer given before the stop, or
given by a peer that has not yet received the stop. So a stopping instance
accepts calls until all those answers have expired. Then it refuses calls as
not run, and exits after the last call in flight, which ends at its deadline
at the latest.
"""

import typing

from oleanderstair import clock
from oleanderstair.domain import actions, events, world
from oleanderstair.domain.fleet import peer_liveness
from oleanderstair.domain.tables import instances

_IDLE_BEFORE_EXIT_MS: typing.Final = 500
"""How long an instance still listens after its last call, to refuse late
calls on kept connections."""

_MAX_COUNTED_TICKS: typing.Final = 2
"""The most time that one tick adds to the idle time, in tick periods."""


def on_stop(
    state: world.World,
    event: events.StopRequested,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Begin the planned stop; the address is no longer given to callers."""
    table = state.instances
    if table.stopping_since_ms != clock.NEVER_MS:
        return []
    table.stopping_since_ms = now_ms
    # The address of an unconfirmed instance was never given to callers, so it
    # keeps its phase and doesn't wait for answers to expire.
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


def is_refusing_calls(state: world.World, now_ms: clock.Millis) -> bool:
    """Return whether this instance refuses new calls because it is stopping.

    That is once all answers that may contain its address have expired.
    """
    if state.instances.phase is not instances.Phase.STOPPING:
        return False
    propagation_ms = peer_liveness.max_silence_ms(state)
    valid_ms = state.policy.answer_validity_ms
    stopping_ms = now_ms - state.instances.stopping_since_ms
    return stopping_ms >= propagation_ms + valid_ms


def on_tick(
    state: world.World,
    event: events.Tick,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Exit once no call is in flight and all answers have expired.

    Before that, late callers on kept connections get a refusal.
    """
    table = state.instances
    if table.stopping_since_ms == clock.NEVER_MS:
        return []
    # No call is refused while the process is paused, so a long time between
    # two ticks doesn't count as listening.
    max_listened_ms = _MAX_COUNTED_TICKS * state.policy.tick_ms
    listened_ms = min(now_ms - table.stop_checked_at_ms, max_listened_ms)
    table.stop_checked_at_ms = now_ms
    if state.calls.call_by_id or _may_callers_hold_address(state, now_ms):
        table.stop_idle_ms = 0
        return []
    table.stop_idle_ms += listened_ms
    is_advertised = table.phase is instances.Phase.STOPPING
    if is_advertised and table.stop_idle_ms < _IDLE_BEFORE_EXIT_MS:
        return []
    return [actions.Exit()]


def _may_callers_hold_address(state: world.World, now_ms: clock.Millis) -> bool:
    """Return whether callers may hold the address of this stopping instance.

    They may until the last address answer that contains it has expired.
    False if the instance is not stopping.
    """
    is_advertised = state.instances.phase is instances.Phase.STOPPING
    return is_advertised and not is_refusing_calls(state, now_ms)
