"""Backs off from targets that request it, for the requested time.

During the back-off this instance sends the target neither calls nor reads of
its load. Calls that the target refused are retried elsewhere at once.
"""

import typing

from oleanderstair import clock
from oleanderstair.domain import actions, events, world
from oleanderstair.domain.tables import load_reports

RETURN_SPREAD_SHARE: typing.Final = 0.25
"""Jitter of the retry time sent to callers, as a share of the wait.

It keeps refused callers from returning all at once.
"""


def on_target_told(
    state: world.World,
    event: events.TargetTold,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Back off from a target for the time that it requests, up to a limit.

    A request by another incarnation of the target is ignored. Only the first
    request of a back-off is audited.
    """
    entry = state.registry.entry_by_id.get(event.target_id)
    if not event.rest_ms or entry is None or entry.born_ms != event.born_ms:
        return []
    load = load_reports.load_of(state.loads, event.target_id)
    backoff_ms = min(event.rest_ms, state.policy.rest_limit_ms)
    until_ms = max(load.backoff_until_ms, now_ms + backoff_ms)
    load_reports.put_load(state.loads, load._replace(backoff_until_ms=until_ms))
    if is_in_backoff(load, now_ms):
        return []
    requested_text = (
        '' if backoff_ms == event.rest_ms else f' of {event.rest_ms:.0f}'
    )
    why = f'rests for {backoff_ms:.0f}{requested_text} ms'
    return [actions.Audit('target', event.target_id, 'answer', why)]


def is_in_backoff(load: load_reports.Load, now_ms: clock.Millis) -> bool:
    """Return whether a target has requested a back-off that still lasts."""
    return now_ms < load.backoff_until_ms


def backoff_left_ms(
    state: world.World,
    service: str,
    now_ms: clock.Millis,
) -> clock.Millis:
    """Return the ms until the first target of a service ends its back-off.

    Targets that are leaving are not considered. Return 0 if a target is not
    in back-off, or if there is none. Otherwise jitter is added, so that
    callers don't return all at once.
    """
    ends_ms = [
        load_reports.load_of(state.loads, target_id).backoff_until_ms
        for target_id in state.registry.ids_by_service.get(service, ())
        if not state.registry.entry_by_id[target_id].leaving
    ]
    left_ms = min(ends_ms, default=now_ms) - now_ms
    if left_ms <= 0:
        return 0
    return left_ms * (1 + RETURN_SPREAD_SHARE * state.rng.random())
