"""What was decided about one call, kept until it is known to matter."""

import collections
import typing

import msgspec

from oleanderstair import clock
from oleanderstair.domain import actions, events, world
from oleanderstair.domain.calls import retry_budget, slot_use
from oleanderstair.domain.configuration import routing
from oleanderstair.domain.tables import load_reports, revisions, routed, routes
from oleanderstair.domain.targets import (
    evacuations,
    slot_estimates,
    slow_start_limits,
    slot_shortage,
    outlier_detection,
    rate_limits,
)
from oleanderstair.explaining import lines


class Entry(typing.NamedTuple):
    """One decision, not yet written; ``at_ms`` is on the instance's clock."""

    at_ms: clock.Millis
    kind: str
    fields: lines.Fields


class Sent(typing.NamedTuple):
    """An attempt under way."""

    target_id: str
    at_ms: clock.Millis


class Trail(msgspec.Struct):
    """The decisions on one call so far.

    ``started_ms`` is when it arrived, and ``held_ms`` how long it was kept
    until its instance knew what is in force. ``hedge`` is why none of
    ``hedge_looks`` led to a second attempt; ``hedge_sends`` counts the sends
    after which a hedge was last planned, and ``hedge_attempts`` are the
    attempts that were hedges. ``from_peer`` is the instance that
    forwarded the call, empty if none did.
    """

    request_id: str
    started_ms: clock.Millis
    held_ms: clock.Millis = 0
    route: str = ''
    service: str = ''
    aim_ms: clock.Millis = 0
    entries: list[Entry] = msgspec.field(default_factory=list)
    sent_by_attempt: dict[int, Sent] = msgspec.field(default_factory=dict)
    sends: int = 0
    last_verdict: str = ''
    stage: routed.Stage | None = None
    from_peer: str = ''
    hedge: str = ''
    hedge_looks: int = 0
    hedge_sends: int = 0
    hedge_attempts: set[int] = msgspec.field(default_factory=set)


def open_trail(
    state: world.World,
    received: events.CallReceived,
    now_ms: clock.Millis,
    held_ms: clock.Millis = 0,
) -> Trail:
    """Begin the trail of a call by what admitted it."""
    trail = Trail(received.request_id, now_ms - held_ms, held_ms)
    trail.from_peer = received.from_peer
    call = state.routed.call_by_id.get(received.call_id)
    in_force = state.routes.in_force
    if call is not None:
        _name_route(trail, call.route, call.service)
    elif in_force is not None:
        _name_refused(trail, in_force, received)
    fields = (
        ('route', trail.route or None),
        ('service', trail.service or None),
        *_terms(call),
        ('host', None if trail.route else received.host),
        ('path', None if trail.route else received.path),
        ('held_ms', held_ms or None),
        ('from_peer', received.from_peer or None),
        ('left_ms', received.deadline_ms - now_ms),
        ('due_in_ms', call.due_at_ms - now_ms if call else None),
        ('configuration', in_force.number if in_force else 0),
        ('registry', revisions.within_era(state.registry.revision)),
        ('targets', len(state.registry.ids_by_service.get(trail.service, ()))),
    )
    trail.entries.append(Entry(now_ms, 'call', fields))
    return trail


def _name_refused(
    trail: Trail,
    in_force: routes.Routing,
    received: events.CallReceived,
) -> None:
    """Name the route of a call that was refused as it came."""
    route = routing.find_route(in_force, received.host, received.path)
    if route is not None:
        only = route.parts[0].service if len(route.parts) == 1 else ''
        _name_route(trail, route, only)


def _name_route(trail: Trail, route: routes.Route, service: str) -> None:
    trail.route = route.name
    trail.aim_ms = route.aim_ms
    trail.service = service


def _terms(call: routed.RoutedCall | None) -> lines.Fields:
    if call is None:
        return ()
    runs = 'again' if call.route.idempotent else 'once'
    return (('runs', runs), ('most_sends', call.route.max_attempts))


def note_stage(
    trail: Trail,
    state: world.World,
    call_id: int,
    now_ms: clock.Millis,
) -> None:
    """Note that a call waits where it did not wait before."""
    call = state.routed.call_by_id.get(call_id)
    if call is None or call.stage is trail.stage:
        return
    trail.stage = call.stage
    if call.stage is routed.Stage.SAMPLING:
        fields: lines.Fields = (
            ('compared', ','.join(call.sampled_target_ids)),
            ('reads', len(call.awaited_target_ids)),
        )
        trail.entries.append(Entry(now_ms, 'sampled', fields))
    elif call.stage is routed.Stage.QUEUED:
        due: lines.Fields = (('due_in_ms', call.due_at_ms - now_ms),)
        # Where all reports are fresh, targets are compared in the same step.
        compared = (
            '' if _was_sampled(trail) else ','.join(call.sampled_target_ids)
        )
        at_once: lines.Fields = (('compared', compared or None),)
        queued = (*due, *at_once, *_line_of(state, call))
        trail.entries.append(Entry(now_ms, 'queued', queued))


def _was_sampled(trail: Trail) -> bool:
    return any(entry.kind == 'sampled' for entry in trail.entries)


def _line_of(state: world.World, call: routed.RoutedCall) -> lines.Fields:
    """Return who else waits for the service of a call, by rank."""
    waiting_ids = state.routed.queued_ids_by_service.get(call.service, ())
    others = [
        other
        for other in map(state.routed.call_by_id.get, waiting_ids)
        if other is not None and other.call_id != call.call_id
    ]
    counts = collections.Counter(other.route.rank for other in others)
    by_rank = ','.join(f'{rank}:{counts[rank]}' for rank in sorted(counts))
    return (
        ('rank', call.route.rank),
        ('others', len(others)),
        ('others_by_rank', by_rank or None),
    )


def room_for(
    state: world.World,
    service: str,
    now_ms: clock.Millis,
) -> lines.Fields:
    """Return which targets of a service have room, and how many calls wait."""
    target_ids = state.registry.ids_by_service.get(service, ())
    waiting_ids = state.routed.queued_ids_by_service.get(service, ())
    trusted = [
        known
        for known in target_ids
        if not outlier_detection.is_ejected(
            load_reports.load_of(state.loads, known), now_ms
        )
    ]
    with_room = slot_estimates.targets_with_free_slot(state, trusted, now_ms)
    slow = [
        known
        for known in with_room
        if slot_estimates.reported_slowness(state, known)
        > slot_use.MAX_NORMAL_SLOWNESS
    ]
    return (
        ('targets', len(target_ids)),
        ('with_room', len(with_room)),
        ('slow_of_them', len(slow)),
        ('barred', len(target_ids) - len(trusted)),
        ('waiting', len(waiting_ids)),
    )


def limited_for(
    state: world.World,
    service: str,
    now_ms: clock.Millis,
) -> lines.Fields:
    """Return how many targets' rate limits allow no call from here now.

    Also return how many targets are in slow start.
    """
    target_ids = state.registry.ids_by_service.get(service, ())
    limited_count = sum(
        rate_limits.permit_wait_ms(state, known, now_ms) > 0
        for known in target_ids
    )
    cold_count = sum(
        slow_start_limits.is_cold(state, known, now_ms) for known in target_ids
    )
    return (('limited', limited_count or None), ('cold', cold_count or None))


def evacuated_for(state: world.World, service: str) -> lines.Fields:
    """Return how many targets are in data centres closed by evacuations."""
    entries = state.registry.entry_by_id
    count = sum(
        evacuations.is_closed(state, entries[known].data_centre)
        for known in state.registry.ids_by_service.get(service, ())
    )
    return (('evacuated', count or None),)


def note_hedge_due(
    trail: Trail,
    state: world.World,
    event: events.HedgeDue,
    now_ms: clock.Millis,
) -> None:
    """Note that a second attempt was looked at and is not made now."""
    call = state.routed.call_by_id.get(event.call_id)
    if call is None or call.send_count != event.sends:
        return
    trail.hedge_looks += 1
    if trail.hedge:
        return
    if call.stage is routed.Stage.HEDGING:
        trail.hedge = 'reports-awaited'
        return
    if call.hedge_held_back_by:
        trail.hedge = call.hedge_held_back_by
        return
    is_short = slot_shortage.has_shortage(state, call.service, now_ms)
    trail.hedge = 'room-short' if is_short else 'too-late'


def note_hedge_planned(
    trail: Trail,
    state: world.World,
    event: events.HedgeDue,
    now_ms: clock.Millis,
) -> None:
    """Note why a second attempt is put off, where it is not the first plan."""
    if trail.hedge_sends != event.sends:
        trail.hedge_sends = event.sends
        return
    call = state.routed.call_by_id.get(event.call_id)
    if call is not None and call.hedge_held_back_by:
        trail.hedge = call.hedge_held_back_by
        return
    fits = retry_budget.may_hedge(state, trail.service, now_ms)
    trail.hedge = 'no-quiet-target' if fits else 'no-budget'


def hedging_of(trail: Trail) -> lines.Fields:
    """Return why a call had no second attempt, where one was looked at."""
    if trail.sends != 1 or not trail.hedge:
        return ()
    return (('hedge', trail.hedge), ('hedge_looks', trail.hedge_looks))


def winner_of(trail: Trail, attempt_id: int) -> lines.Fields:
    """Return which answer of a hedged call was relayed, first or hedge."""
    if not trail.hedge_attempts:
        return ()
    winner = 'hedge' if attempt_id in trail.hedge_attempts else 'first'
    return (('won', winner),)


def note_sent(
    trail: Trail,
    state: world.World,
    action: actions.Dispatch,
    now_ms: clock.Millis,
) -> None:
    """Note an attempt, why it is made, and what named its target."""
    known = load_reports.load_of(state.loads, action.target_id)
    told = known.report is not None
    limit = rate_limits.limit_of(state, action.target_id)
    fields = (
        ('attempt', action.attempt_id),
        ('target', action.target_id),
        ('why', why_sent(trail)),
        ('first_ms', _first_attempt_ms(trail, now_ms)),
        ('limit_per_s', limit.per_s if limit else None),
        (
            'cold',
            slow_start_limits.is_cold(state, action.target_id, now_ms) or None,
        ),
        ('report', _text_of(known.report)),
        ('report_age_ms', now_ms - known.reported_at_ms if told else None),
        ('own_in_flight', known.in_flight),
        ('left_ms', action.budget_ms),
    )
    if trail.sent_by_attempt:
        trail.hedge_attempts.add(action.attempt_id)
    trail.sends += 1
    trail.sent_by_attempt[action.attempt_id] = Sent(action.target_id, now_ms)
    trail.entries.append(Entry(now_ms, 'sent', fields))


def note_forwarded(
    trail: Trail, action: actions.ForwardHome, now_ms: clock.Millis
) -> None:
    """Note that a call goes to a peer, as no target is reached."""
    fields: lines.Fields = (
        ('peer', action.home),
        ('budget_ms', action.budget_ms),
        ('most_sends', action.max_attempts),
    )
    trail.entries.append(Entry(now_ms, 'forwarded', fields))


def note_peer_replied(
    trail: Trail, event: events.HomeReplied, now_ms: clock.Millis
) -> None:
    """Note what a peer said of a forwarded call."""
    fields: lines.Fields = (
        ('peer', event.home),
        ('outcome', event.outcome.value),
        ('reason', event.reason.value if event.reason else None),
    )
    trail.entries.append(Entry(now_ms, 'peer-replied', fields))


def note_ended(
    trail: Trail,
    event: events.AttemptEnded,
    now_ms: clock.Millis,
) -> None:
    """Note how an attempt ended."""
    sent = trail.sent_by_attempt.pop(event.attempt_id, None)
    verdict = 'misdirected' if event.misdirected else event.verdict.value
    trail.last_verdict = verdict
    fields = (
        ('attempt', event.attempt_id),
        ('target', sent.target_id if sent else None),
        ('verdict', verdict),
        ('status', event.status or None),
        ('took_ms', now_ms - sent.at_ms if sent else None),
        ('crashed', event.crashed or None),
        ('leaving', event.leaving or None),
        ('report', _text_of(event.load)),
    )
    trail.entries.append(Entry(now_ms, 'attempt-ended', fields))


def note_cancelled(
    trail: Trail,
    action: actions.CancelAttempt,
    now_ms: clock.Millis,
) -> None:
    """Note that an attempt is given up."""
    sent = trail.sent_by_attempt.pop(action.attempt_id, None)
    fields: lines.Fields = (
        ('attempt', action.attempt_id),
        ('target', sent.target_id if sent else None),
        ('took_ms', now_ms - sent.at_ms if sent else None),
    )
    trail.entries.append(Entry(now_ms, 'cancelled', fields))


def _first_attempt_ms(
    trail: Trail, now_ms: clock.Millis
) -> clock.Millis | None:
    """Return for how long the attempt that is hedged now has run."""
    sent_at_ms = [sent.at_ms for sent in trail.sent_by_attempt.values()]
    return now_ms - min(sent_at_ms) if sent_at_ms else None


def why_sent(trail: Trail) -> str:
    """Return why the next attempt of a call is made."""
    if trail.sent_by_attempt:
        return 'hedge'
    return f'retry-after-{trail.last_verdict}' if trail.sends else 'first'


def _text_of(report: load_reports.Report | None) -> str | None:
    if report is None:
        return None
    counts = f'{report.running}+{report.queued}/{report.slots}'
    return f'{counts}@{report.slowness:.2f}'
