"""Puts evacuations in force and ends them, also over restores of the store.

After the end of one, each instance waits for a random time before it sends
calls to that data centre again, so that the load of the fleet returns over
``RETURN_SPREAD_MS``.
"""

import typing

from oleanderstair import clock
from oleanderstair.domain import actions, messages, world
from oleanderstair.domain.tables import (
    load_reports,
    operator_state,
    revisions,
)

RETURN_SPREAD_MS: typing.Final[clock.Millis] = 3000
"""The time after an evacuation over which instances return. Targets that are
started again are slow for about as long."""

KEPT_AFTER_RESTORE_MS: typing.Final[clock.Millis] = 10_000
"""How long an evacuation that a restore of the store has lost stays in force;
the operator requests it again within seconds."""

WITHHELD_AFTER_RESTORE_MS: typing.Final[clock.Millis] = 5000
"""How long a revoked evacuation that a restore has brought back is withheld.

An unstable store may delay an evacuation by this time at most.
"""

MAX_REMEMBERED_DATA_CENTRES: typing.Final = 256
"""The maximum number of ended evacuations in memory."""


def replace_evacuations(
    state: world.World,
    message: messages.OperatorState,
    source: str,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Put the evacuations as of a newer revision of the store in force.

    An evacuation from an earlier era of the store that is missing stays for a
    while, and one that was revoked in an earlier era is withheld for a while:
    a copy from which the store was restored may explain either. Return an
    audit entry for each change.
    """
    table = state.operator_state
    before = table.evacuation_by_data_centre
    withheld_before = table.withheld_by_data_centre
    after: dict[str, operator_state.Evacuation] = {}
    from_copy = {
        evacuation
        for evacuation in message.evacuations
        if not evacuation.left_ms and _is_from_copy(table, evacuation)
    }
    table.withheld_by_data_centre = {}
    for evacuation in message.evacuations:
        if evacuation.left_ms:
            _keep(state, evacuation, after, now_ms)
        elif evacuation in from_copy:
            _withhold(
                table,
                withheld_before,
                evacuation,
                now_ms + WITHHELD_AFTER_RESTORE_MS,
            )
        else:
            after[evacuation.data_centre] = evacuation
    for held in message.withheld:
        if before.get(held.data_centre) == held._replace(left_ms=0):
            after[held.data_centre] = before[held.data_centre]
        elif held.data_centre not in after:
            left_ms = min(held.left_ms, WITHHELD_AFTER_RESTORE_MS)
            _withhold(table, withheld_before, held, now_ms + left_ms)
    for known in before.values():
        if revisions.era_of(known.revision) < revisions.era_of(
            message.revision
        ):
            _keep(
                state,
                known._replace(left_ms=KEPT_AFTER_RESTORE_MS),
                after,
                now_ms,
            )
    table.revision = message.revision
    return _change(state, after, source, now_ms)


def merge_kept(
    state: world.World,
    evacuations: typing.Iterable[operator_state.Evacuation],
    source: str,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Adopt evacuations that a peer has kept over a restore of the store.

    An instance that was started since knows only what the store holds.
    """
    after = dict(state.operator_state.evacuation_by_data_centre)
    for evacuation in evacuations:
        if evacuation.left_ms:
            _keep(state, evacuation, after, now_ms)
    return _change(state, after, source, now_ms)


def end_evacuations(
    state: world.World,
    ended: typing.Iterable[operator_state.Evacuation],
    source: str,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """End evacuations that are in force or withheld."""
    after = dict(state.operator_state.evacuation_by_data_centre)
    for revoked in ended:
        after.pop(revoked.data_centre, None)
        state.operator_state.withheld_by_data_centre.pop(
            revoked.data_centre, None
        )
    return _change(state, after, source, now_ms)


def apply_due_changes(
    state: world.World, now_ms: clock.Millis
) -> list[actions.Action]:
    """Apply what a restore of the store has deferred, and open data centres."""
    table = state.operator_state
    after = dict(table.evacuation_by_data_centre)
    for data_centre, until_ms in table.kept_until_ms_by_data_centre.items():
        if now_ms >= until_ms:
            after.pop(data_centre, None)
    for data_centre, held in tuple(table.withheld_by_data_centre.items()):
        if now_ms >= held.until_ms:
            table.withheld_by_data_centre.pop(data_centre)
            after[data_centre] = held.evacuation
    done: list[actions.Action] = []
    if after != table.evacuation_by_data_centre:
        done = _change(state, after, 'restore', now_ms)
    for returning, at_ms in tuple(table.returns_at_ms_by_data_centre.items()):
        if now_ms >= at_ms:
            table.returns_at_ms_by_data_centre.pop(returning)
            done.append(_audit(returning, 'evacuation', 'gets calls again'))
    _close(state)
    return done


def evacuations_to_send(
    table: operator_state.OperatorStateTable, now_ms: clock.Millis
) -> tuple[operator_state.Evacuation, ...]:
    """Return the evacuations in force, with the ms left of those kept."""
    kept = table.kept_until_ms_by_data_centre
    return tuple(
        evacuation._replace(
            left_ms=max(kept[data_centre] - now_ms, 1)
            if data_centre in kept
            else 0
        )
        for data_centre, evacuation in table.evacuation_by_data_centre.items()
    )


def withheld_to_send(
    table: operator_state.OperatorStateTable, now_ms: clock.Millis
) -> tuple[operator_state.Evacuation, ...]:
    """Return the withheld evacuations, with the ms until they are in force."""
    return tuple(
        held.evacuation._replace(left_ms=max(held.until_ms - now_ms, 1))
        for held in table.withheld_by_data_centre.values()
    )


def _is_from_copy(
    table: operator_state.OperatorStateTable,
    evacuation: operator_state.Evacuation,
) -> bool:
    """Return whether only a restore has brought an evacuation back.

    This is assumed of one that was revoked in an earlier era of the store and
    is in the first known state of this era with a revision up to that of the
    revoked one. A later change in this era is a request of the operator.
    """
    revoked = table.revoked_revision_by_data_centre.get(evacuation.data_centre)
    known = table.evacuation_by_data_centre.get(evacuation.data_centre)
    if revoked is None or known is not None:
        return False
    era = revisions.era_of(evacuation.revision)
    if revisions.era_of(revoked) >= era:
        return False
    held = table.withheld_by_data_centre.get(evacuation.data_centre)
    is_held = held is not None and held.evacuation == evacuation
    if revisions.era_of(table.revision) == era and not is_held:
        return False
    return revisions.within_era(evacuation.revision) <= revisions.within_era(
        revoked
    )


def _withhold(
    table: operator_state.OperatorStateTable,
    withheld_before: dict[str, operator_state.WithheldEvacuation],
    evacuation: operator_state.Evacuation,
    until_ms: clock.Millis,
) -> None:
    """Withhold an evacuation, at most until it was withheld before."""
    evacuation = evacuation._replace(left_ms=0)
    known = withheld_before.get(evacuation.data_centre)
    if known is not None and known.evacuation == evacuation:
        until_ms = min(until_ms, known.until_ms)
    table.withheld_by_data_centre[evacuation.data_centre] = (
        operator_state.WithheldEvacuation(evacuation, until_ms)
    )


def _keep(
    state: world.World,
    evacuation: operator_state.Evacuation,
    after: dict[str, operator_state.Evacuation],
    now_ms: clock.Millis,
) -> None:
    """Keep an evacuation that is missing since a restore of the store.

    It is not kept if it has ended here, or beyond the time at which it was to
    end before.
    """
    table = state.operator_state
    data_centre = evacuation.data_centre
    revoked = table.revoked_revision_by_data_centre.get(data_centre, 0)
    is_withheld = data_centre in table.withheld_by_data_centre
    if data_centre in after or is_withheld or evacuation.revision <= revoked:
        return
    after[data_centre] = evacuation._replace(left_ms=0)
    left_ms = min(evacuation.left_ms, KEPT_AFTER_RESTORE_MS)
    table.kept_until_ms_by_data_centre.setdefault(data_centre, now_ms + left_ms)


def _change(
    state: world.World,
    after: dict[str, operator_state.Evacuation],
    source: str,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Put evacuations in force; return an audit entry for each change."""
    table = state.operator_state
    before = table.evacuation_by_data_centre
    table.evacuation_by_data_centre = after
    kept = table.kept_until_ms_by_data_centre
    for data_centre in tuple(kept):
        is_same = before.get(data_centre) in {None, after.get(data_centre)}
        if data_centre not in after or not is_same:
            kept.pop(data_centre)
    if not state.policy.evacuation_bound_ms:
        # They are known in case that changed settings call for them.
        return []
    began = sorted(after.keys() - before.keys())
    ended = sorted(before.keys() - after.keys())
    for data_centre in began:
        table.returns_at_ms_by_data_centre.pop(data_centre, None)
    _close(state)
    done = [
        _audit(name, source, f'evacuated {_since(after[name])}')
        for name in began
    ]
    for name in ended:
        _end(state, before[name], now_ms)
        done.append(_audit(name, source, 'no longer evacuated'))
    return done


def _end(
    state: world.World,
    ended: operator_state.Evacuation,
    now_ms: clock.Millis,
) -> None:
    """Schedule the return to a data centre; its load reports are outdated.

    The return is at once if a service has targets nowhere else.
    """
    table = state.operator_state
    data_centre = ended.data_centre
    table.revoked_revision_by_data_centre.pop(data_centre, None)
    table.revoked_revision_by_data_centre[data_centre] = ended.revision
    table.ended_at_ms_by_data_centre.pop(data_centre, None)
    table.ended_at_ms_by_data_centre[data_centre] = now_ms
    _drop_oldest(table)
    entries = [
        entry
        for entry in state.registry.entry_by_id.values()
        if entry.data_centre == data_centre
    ]
    for returning in entries:
        _forget_report(state, returning.target_id)
    table.closed_data_centres |= {data_centre}
    open_services = {
        entry.service
        for entry in state.registry.entry_by_id.values()
        if entry.data_centre not in table.closed_data_centres
    }
    if open_services.issuperset(known.service for known in entries):
        delay_ms = RETURN_SPREAD_MS * state.rng.random()
        table.returns_at_ms_by_data_centre[data_centre] = now_ms + delay_ms
    _close(state)


def _forget_report(state: world.World, target_id: str) -> None:
    """Drop what was reported and measured of a target's load."""
    known = state.loads.load_by_id.get(target_id)
    if known is not None:
        load_reports.put_load(
            state.loads,
            known._replace(
                report=None,
                reported_at_ms=clock.NEVER_MS,
                sent_since_report=0,
                latency_ratio=1.0,
                latency_ratio_at_ms=clock.NEVER_MS,
            ),
        )


def _close(state: world.World) -> None:
    """Derive which data centres are closed."""
    table = state.operator_state
    closed = frozenset[str]()
    if state.policy.evacuation_bound_ms:
        closed = frozenset(
            (
                *table.evacuation_by_data_centre,
                *table.returns_at_ms_by_data_centre,
            )
        )
    if closed != table.closed_data_centres:
        table.closed_data_centres = closed


def _drop_oldest(table: operator_state.OperatorStateTable) -> None:
    for remembered in (
        table.revoked_revision_by_data_centre,
        table.ended_at_ms_by_data_centre,
    ):
        while len(remembered) > MAX_REMEMBERED_DATA_CENTRES:
            remembered.pop(next(iter(remembered)))


def _since(evacuation: operator_state.Evacuation) -> str:
    era = revisions.era_of(evacuation.revision)
    revision = revisions.within_era(evacuation.revision)
    return f'since revision {revision} of era {era}'


def _audit(data_centre: str, source: str, why: str) -> actions.Action:
    return actions.Audit('data-centre', data_centre, source, why)
