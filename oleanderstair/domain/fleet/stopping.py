"""The planned stop of this instance.

Callers may hold its address from an answer that was given before the stop,
or by a peer that has not heard of it yet. So it serves new calls until all
those answers have run out, then refuses them as not run, and ends once the
last call in flight has ended, at its deadline at the latest.
"""

import typing

from oleanderstair import clock
from oleanderstair.domain import actions, events, world
from oleanderstair.domain.fleet import live
from oleanderstair.domain.tables import instances

_LAST_REFUSALS_MS: typing.Final = 500
"""How long a stopping instance goes on refusing after its last call."""

_LONGEST_TICKS: typing.Final = 2
"""How many ticks' time a stopping instance has listened by one late tick."""


def on_stop(
    state: world.World,
    event: events.StopRequested,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Leave the address answers and begin to finish what is in flight."""
    table = state.instances
    if table.stopping_since_ms != clock.NEVER_MS:
        return []
    table.stopping_since_ms = now_ms
    # One that was never confirmed is in no answer, and claims nothing.
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


def refuses(state: world.World, now_ms: clock.Millis) -> bool:
    """Return whether a stopping instance takes no new call any more."""
    if state.instances.phase is not instances.Phase.STOPPING:
        return False
    known_ms = live.silence_ms(state)
    valid_ms = state.policy.answer_validity_ms
    stopped_ms = now_ms - state.instances.stopping_since_ms
    return stopped_ms >= known_ms + valid_ms


def on_tick(
    state: world.World,
    event: events.Tick,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """End the process once nothing is in flight and answers ran out.

    Callers that come back on a kept connection are told before that.
    """
    table = state.instances
    if table.stopping_since_ms == clock.NEVER_MS:
        return []
    # While the process is held up, nobody who comes back is told.
    longest_ms = _LONGEST_TICKS * state.policy.tick_ms
    listened_ms = min(now_ms - table.stop_seen_at_ms, longest_ms)
    table.stop_seen_at_ms = now_ms
    if state.calls.call_by_id or _may_be_called(state, now_ms):
        table.quiet_ms = 0
        return []
    table.quiet_ms += listened_ms
    named = table.phase is instances.Phase.STOPPING
    if named and table.quiet_ms < _LAST_REFUSALS_MS:
        return []
    return [actions.Exit()]


def _may_be_called(state: world.World, now_ms: clock.Millis) -> bool:
    """Return whether answers may still name a stopping instance."""
    named = state.instances.phase is instances.Phase.STOPPING
    return named and not refuses(state, now_ms)
