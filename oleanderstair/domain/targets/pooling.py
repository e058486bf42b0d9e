"""Shares load reports inside a data centre while reads run short.

An instance whose reads of a near target are used up asks its neighbours,
and these tell it what they read themselves and what answers carry. Nothing
is sent while each has reads enough. A told report counts as read when it
was, and never against what this instance found out itself.
"""

import typing

from oleanderstair import clock
from oleanderstair.domain import actions, events, messages, world
from oleanderstair.domain.fleet import members as living
from oleanderstair.domain.tables import (
    load_reports,
    members,
    pool,
    registry,
)

YOUNG_MS: typing.Final = 25
"""Up to what age a report spares a read; neighbours change within 150 ms."""

SHORT_MS: typing.Final[clock.Millis] = 1000
"""How long reads count as short; after it the used ones are back."""

DENIED: typing.Final = 15
"""From how many reads denied in that time they count as short."""

ASK_MS: typing.Final[clock.Millis] = 500
"""How often peers are asked, so that one lost message does no harm."""

WANTED_MS: typing.Final[clock.Millis] = 1200
"""How long an ask holds: two periods, and a late message."""

BATCH_MS: typing.Final[clock.Millis] = 3
"""How long a report waits for others; the reads of a call take about that."""

SPACING_MS: typing.Final[clock.Millis] = 2.5
"""The least time between messages of reports on average: 400 a second."""

MOST_LOADS: typing.Final = 16
"""How many reports a message holds: about 1 KB."""

SLEPT_MS: typing.Final[clock.Millis] = 250
"""After what time without a tick messages have waited; a few ticks."""

_ASKS_KEPT: typing.Final = 4
_MOST_SLOWNESS: typing.Final = 1000
_OLDEST_MS: typing.Final[clock.Millis] = 500
_COUNTER: typing.Final = 'pooled-reports'


def note_short(
    state: world.World,
    entry: registry.Entry,
    now_ms: clock.Millis,
) -> None:
    """Note that a read of a target was wanted and none was left."""
    if entry.data_centre == state.identity.data_centre:
        known = state.pool.denied_at_ms
        state.pool.denied_at_ms = (*known, now_ms)[-DENIED:]


def is_short(state: world.World, now_ms: clock.Millis) -> bool:
    """Return whether many reads of near targets were denied of late."""
    denied_at_ms = state.pool.denied_at_ms
    if len(denied_at_ms) < DENIED:
        return False
    return now_ms - denied_at_ms[0] <= SHORT_MS


def spares_read(
    state: world.World,
    target_id: str,
    now_ms: clock.Millis,
) -> bool:
    """Return whether a report is young enough while reads are short."""
    if not is_short(state, now_ms):
        return False
    known = load_reports.load_of(state.loads, target_id)
    age_ms = now_ms - known.reported_at_ms
    return known.report is not None and age_ms <= YOUNG_MS


def ask(state: world.World, now_ms: clock.Millis) -> list[actions.Action]:
    """Ask the neighbours for reports now and then while reads are short."""
    table = state.pool
    if not is_short(state, now_ms) or now_ms - table.asked_at_ms < ASK_MS:
        return []
    table.asked_at_ms = now_ms
    table.asks += 1
    table.asked_at_ms_by_number[table.asks] = now_ms
    table.asked_at_ms_by_number.pop(table.asks - _ASKS_KEPT, None)
    return [
        _send(row, messages.LoadsWanted(table.asks))
        for row in living.neighbours(state)
    ]


def on_reported(
    state: world.World,
    target_id: str,
    is_read: bool,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Have a target's own word told to the neighbours that want it.

    What an answer carries goes with the next reports that were read.
    """
    table = state.pool
    if not table.wish_by_peer or not _is_near(state, target_id):
        return []
    table.untold.pop(target_id, None)
    table.untold[target_id] = None
    if len(table.untold) > MOST_LOADS:
        table.untold.pop(next(iter(table.untold)))
    if table.is_due or not is_read:
        return []
    table.is_due = True
    next_ms = table.told_at_ms + SPACING_MS * len(table.wish_by_peer)
    after_ms = max(BATCH_MS, next_ms - now_ms)
    return [actions.Schedule(events.LoadsDue(), after_ms)]


def on_loads_due(
    state: world.World,
    event: events.LoadsDue,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Tell the neighbours that want them what targets reported."""
    table = state.pool
    table.is_due = False
    table.told_at_ms = now_ms
    _forget_wishes(state, now_ms)
    found = (_compose(state, target_id, now_ms) for target_id in table.untold)
    loads = tuple(told for told in found if told is not None)
    table.untold.clear()
    if not loads:
        return []
    return [
        _send(
            row,
            messages.LoadsTold(
                table.wish_by_peer[row.incarnation].number,
                loads,
            ),
        )
        for row in living.neighbours(state)
        if row.incarnation in table.wish_by_peer
    ]


def on_peer(
    state: world.World,
    event: events.PeerHeard,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Note that a neighbour wants reports, or take those it tells."""
    heard = event.message
    if isinstance(heard, messages.LoadsWanted):
        if _is_neighbour(state, event.sender):
            _forget_wishes(state, now_ms)
            wish = pool.Wish(heard.number, now_ms)
            state.pool.wish_by_peer[event.sender] = wish
        return []
    if not isinstance(heard, messages.LoadsTold):
        return []
    if not _is_in_time(state, event.sender, heard, now_ms):
        return [actions.Count(_COUNTER, 'late', len(heard.loads))]
    kept = sum(
        _take(state, event.sender, told, now_ms)
        for told in heard.loads[:MOST_LOADS]
    )
    return [
        actions.Count(_COUNTER, 'kept', kept),
        actions.Count(_COUNTER, 'not-kept', len(heard.loads) - kept),
    ]


def _is_in_time(
    state: world.World,
    sender: str,
    heard: messages.LoadsTold,
    now_ms: clock.Millis,
) -> bool:
    """Return whether told ages can be right.

    They leave out the time under way, which has no bound where a connection
    stood still or this instance slept. It is less than since the ask.
    """
    table = state.pool
    asked_at_ms = table.asked_at_ms_by_number.get(heard.number)
    if asked_at_ms is None or now_ms - asked_at_ms > WANTED_MS:
        return False
    if now_ms - state.members.last_tick_ms > SLEPT_MS:
        return False
    return _is_neighbour(state, sender)


def _take(
    state: world.World,
    sender: str,
    told: messages.ToldLoad,
    now_ms: clock.Millis,
) -> bool:
    """Keep a told report where it is newer than what is known.

    The calls that were dispatched since it are none of those it counts.
    """
    entry = state.registry.entry_by_id.get(told.target_id)
    if entry is None or entry.born_ms != told.born_ms or not _is_sane(told):
        return False
    known = load_reports.load_of(state.loads, told.target_id)
    reported_at_ms = now_ms - told.age_ms
    if now_ms < known.silent_until_ms:
        return False
    if reported_at_ms <= known.reported_at_ms:
        return False
    later = (
        sent_ms for sent_ms in known.sent_at_ms if sent_ms > reported_at_ms
    )
    report = load_reports.Report(
        told.running,
        told.waiting,
        told.slots,
        told.slowness,
    )
    load_reports.put_load(
        state.loads,
        known._replace(
            report=report,
            reported_at_ms=reported_at_ms,
            sent_at_ms=tuple(later),
            told_by=sender,
        ),
    )
    return True


def _is_sane(told: messages.ToldLoad) -> bool:
    counts = (told.running, told.waiting, told.slots - 1)
    return (
        min(counts) >= 0
        and 0 < told.slowness <= _MOST_SLOWNESS
        and 0 <= told.age_ms <= _OLDEST_MS
    )


def _compose(
    state: world.World,
    target_id: str,
    now_ms: clock.Millis,
) -> messages.ToldLoad | None:
    """Return the target's own word, with what was sent there since."""
    entry = state.registry.entry_by_id.get(target_id)
    known = load_reports.load_of(state.loads, target_id)
    age_ms = now_ms - known.reported_at_ms
    if entry is None or known.report is None or known.told_by:
        return None
    if age_ms > YOUNG_MS:
        return None
    return messages.ToldLoad(
        target_id,
        entry.born_ms,
        known.report.running + known.sent_since,
        known.report.waiting,
        known.report.slots,
        round(known.report.slowness, 3),
        round(age_ms, 1),
    )


def _forget_wishes(state: world.World, now_ms: clock.Millis) -> None:
    table = state.pool
    table.wish_by_peer = {
        incarnation: wish
        for incarnation, wish in table.wish_by_peer.items()
        if now_ms - wish.at_ms <= WANTED_MS
    }


def _is_near(state: world.World, target_id: str) -> bool:
    entry = state.registry.entry_by_id.get(target_id)
    if entry is None:
        return False
    return entry.data_centre == state.identity.data_centre


def _is_neighbour(state: world.World, incarnation: str) -> bool:
    row = state.members.by_incarnation.get(incarnation)
    if row is None or not row.lives:
        return False
    return row.data_centre == state.identity.data_centre


def _send(row: members.Member, told: messages.Message) -> actions.Action:
    return actions.SendPeer(row.incarnation, row.peer_address, told)
