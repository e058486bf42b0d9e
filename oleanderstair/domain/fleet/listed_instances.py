"""The platform's list of instances, and whether this instance accepts calls."""

import typing

from oleanderstair import clock
from oleanderstair.domain import actions, events, outcomes, world
from oleanderstair.domain.fleet import (
    answer_expiry_stop,
    peer_liveness,
    startup_confirmation,
)
from oleanderstair.domain.tables import instances

COUNT_WINDOW_MINUTES: typing.Final = 60
"""The time for which the largest count of listed instances is kept."""

_REVIEW_PERIOD_MS: typing.Final = 1000
_MINUTE_MS: typing.Final = 60_000


def on_instances(
    state: world.World,
    event: events.InstancesRead,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Store the platform's list of instances."""
    table = state.instances
    state.reads.failures_by_name.pop('instances', None)
    before = table.listed_by_id
    table.listed_by_id = {entry.instance_id: entry for entry in event.entries}
    if before.keys() != table.listed_by_id.keys():
        table.list_stable_since_ms = now_ms
    table.listed_at_ms = now_ms
    _count_listed(state, now_ms)
    return []


def on_tick(
    state: world.World,
    event: events.Tick,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Remove silent peers, and start to serve once confirmed."""
    table = state.instances
    if now_ms - table.reviewed_at_ms >= _REVIEW_PERIOD_MS:
        table.reviewed_at_ms = now_ms
        _review_peers(state, now_ms)
    if table.phase is not instances.Phase.UNCONFIRMED:
        return []
    confirmation = startup_confirmation.check_confirmation(state, now_ms)
    table.waits_for = confirmation.waits_for
    if confirmation.waits_for:
        return []
    table.phase = instances.Phase.SERVING
    return [
        actions.Audit(
            'instance',
            state.identity.incarnation,
            confirmation.confirmed_by,
            f'confirmed at note {state.catalogue.in_force.number}',
        ),
    ]


def refusal_reason(
    state: world.World,
    now_ms: clock.Millis,
) -> outcomes.Reason | None:
    """Return why this instance must refuse new calls, None if it accepts."""
    table = state.instances
    if table.phase is instances.Phase.UNCONFIRMED:
        return outcomes.Reason.UNCONFIRMED
    if answer_expiry_stop.is_refusing_calls(state, now_ms):
        return outcomes.Reason.STOPPING
    return None


def _review_peers(state: world.World, now_ms: clock.Millis) -> None:
    """Remove silent peers and update the largest instance count."""
    peer_liveness.remove_silent_peers(state, now_ms)
    table = state.instances
    peer_counts = (
        peer.largest_count for peer in peer_liveness.live_peers(state, now_ms)
    )
    table.largest_count = max(table.own_largest_count, *peer_counts, 1)


def _count_listed(state: world.World, now_ms: clock.Millis) -> None:
    """Update the largest recent count of listed instances.

    The maximum is used so that a list that shrinks in a network partition
    doesn't raise the share of a budget.
    """
    table = state.instances
    minute = int(now_ms // _MINUTE_MS)
    listed_count = max(len(table.listed_by_id), 1)
    count_by_minute = table.count_by_minute
    count_by_minute[minute] = max(count_by_minute.get(minute, 1), listed_count)
    for old_minute in list(count_by_minute):
        if old_minute <= minute - COUNT_WINDOW_MINUTES:
            count_by_minute.pop(old_minute)
    table.own_largest_count = max(count_by_minute.values())
    table.largest_count = max(table.largest_count, table.own_largest_count)
