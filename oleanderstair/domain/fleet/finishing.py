"""The planned stop of an instance that is killed after a grace time.

Callers may hold its address from older answers, so it serves new calls as
long as it can still end them, tells each connection to close, and refuses
what it could not end. It ends shortly before it would be killed.
"""

import typing

from oleanderstair import clock
from oleanderstair.domain import actions, events, world
from oleanderstair.domain.tables import instances

EXIT_MARGIN_MS: typing.Final = 300
"""How long before the kill the process ends, whatever is in flight."""

QUIET_MARGIN_MS: typing.Final = 500
"""How long before the kill an instance with nothing in flight ends."""

RETRY_AFTER_MS: typing.Final = 50
"""When a call that a stopping instance refused may come elsewhere."""

_S_TO_MS: typing.Final = 1000
_ACCEPT_SHARE: typing.Final = 0.5


def on_stop(
    state: world.World,
    event: events.StopRequested,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Leave the address answers and begin to finish what is in flight."""
    table = state.instances
    if is_stopping(state):
        return []
    table.stopping_since_ms = now_ms
    # One that knows no configuration is in no answer.
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


def refuses(
    state: world.World,
    due_at_ms: clock.Millis,
    now_ms: clock.Millis,
) -> bool:
    """Return whether a call that may last until ``due_at_ms`` is too long.

    In the first half of the grace time every call is taken.
    """
    if not is_stopping(state):
        return False
    stopped_at_ms = state.instances.stopping_since_ms
    grace_ms = state.policy.stop_grace_s * _S_TO_MS
    if now_ms < stopped_at_ms + grace_ms * _ACCEPT_SHARE:
        return False
    return due_at_ms > stopped_at_ms + grace_ms - EXIT_MARGIN_MS


def is_stopping(state: world.World) -> bool:
    """Return whether the planned stop of this instance has begun."""
    return state.instances.stopping_since_ms != clock.NEVER_MS


def on_tick(
    state: world.World,
    event: events.Tick,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """End the process when it is quiet, and before it is killed anyway."""
    if not is_stopping(state):
        return []
    stopped_ms = now_ms - state.instances.stopping_since_ms
    left_ms = state.policy.stop_grace_s * _S_TO_MS - stopped_ms
    if left_ms <= EXIT_MARGIN_MS:
        return [actions.Exit()]
    if state.routed.call_by_id:
        return []
    named = state.instances.phase is instances.Phase.STOPPING
    if named and left_ms > QUIET_MARGIN_MS:
        return []
    return [actions.Exit()]
