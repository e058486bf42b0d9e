"""Backs off from targets that request it, for the requested time.

During the back-off this instance sends the target neither calls nor reads of
its load. Calls that the target refused are retried elsewhere at once.
"""

from oleanderstair import clock
from oleanderstair.domain import actions, events, world
from oleanderstair.domain.tables import load_reports


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
    if left_ms(load, now_ms):
        return []
    requested_text = (
        '' if backoff_ms == event.rest_ms else f' of {event.rest_ms:.0f}'
    )
    why = f'rests for {backoff_ms:.0f}{requested_text} ms'
    return [actions.Audit('target', event.target_id, 'answer', why)]


def left_ms(load: load_reports.Load, now_ms: clock.Millis) -> clock.Millis:
    """Return the ms until a target's back-off ends, 0 if there is none."""
    return max(load.backoff_until_ms - now_ms, 0)
