"""The platform's list of instances, and whether this one may take calls."""

import typing

from oleanderstair import clock
from oleanderstair.domain import actions, events, outcomes, world
from oleanderstair.domain.fleet import confirming, live, stopping
from oleanderstair.domain.tables import instances

COUNT_WINDOW_MINUTES: typing.Final = 60

_REVIEW_MS: typing.Final = 1000
_MINUTE_MS: typing.Final = 60_000


def on_instances(
    state: world.World,
    event: events.InstancesRead,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Take the platform's list of instances."""
    table = state.instances
    state.reads.failures_by_name.pop('instances', None)
    before = table.listed_by_id
    table.listed_by_id = {entry.instance_id: entry for entry in event.entries}
    if before.keys() != table.listed_by_id.keys():
        table.listed_since_ms = now_ms
    table.listed_at_ms = now_ms
    _count(state, now_ms)
    return []


def on_tick(
    state: world.World,
    event: events.Tick,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Forget the dead, and confirm this instance once it may serve."""
    table = state.instances
    if now_ms - table.reviewed_at_ms >= _REVIEW_MS:
        table.reviewed_at_ms = now_ms
        _review(state, now_ms)
    if table.phase is not instances.Phase.UNCONFIRMED:
        return []
    verdict = confirming.judge(state, now_ms)
    table.waits_for = verdict.waits_for
    if verdict.waits_for:
        return []
    table.phase = instances.Phase.SERVING
    return [
        actions.Audit(
            'instance',
            state.identity.incarnation,
            verdict.confirmed_by,
            f'confirmed at note {state.catalogue.in_force.number}',
        ),
    ]


def refusal(
    state: world.World,
    now_ms: clock.Millis,
) -> outcomes.Reason | None:
    """Return why this instance may not take a new call now, if so."""
    table = state.instances
    if table.phase is instances.Phase.UNCONFIRMED:
        return outcomes.Reason.UNCONFIRMED
    if stopping.refuses(state, now_ms):
        return outcomes.Reason.STOPPING
    return None


def _review(state: world.World, now_ms: clock.Millis) -> None:
    live.forget_silent(state, now_ms)
    table = state.instances
    heard = (peer.largest_count for peer in live.heard_peers(state, now_ms))
    table.largest_count = max(table.own_largest_count, *heard, 1)


def _count(state: world.World, now_ms: clock.Millis) -> None:
    """Keep the largest recent count of listed instances.

    A list that shrinks in a partition must not raise any share of a budget.
    """
    table = state.instances
    minute = int(now_ms // _MINUTE_MS)
    listed = max(len(table.listed_by_id), 1)
    counts = table.count_by_minute
    counts[minute] = max(counts.get(minute, 1), listed)
    for old in list(counts):
        if old <= minute - COUNT_WINDOW_MINUTES:
            counts.pop(old)
    table.own_largest_count = max(counts.values())
    table.largest_count = max(table.largest_count, table.own_largest_count)
