"""What was decided about one call, kept until it is known to matter."""

import dataclasses
import typing

from oleanderstair import clock
from oleanderstair.domain import actions, events, world
from oleanderstair.domain.tables import load_reports, routed
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


@dataclasses.dataclass(slots=True)
class Trail:
    """The decisions on one call so far."""

    request_id: str
    started_ms: clock.Millis
    route: str = ''
    service: str = ''
    aim_ms: clock.Millis = 0
    entries: list[Entry] = dataclasses.field(default_factory=list)
    sent_by_attempt: dict[int, Sent] = dataclasses.field(default_factory=dict)
    sends: int = 0
    last_verdict: str = ''
    stage: routed.Stage | None = None


def open_trail(
    state: world.World,
    received: events.CallReceived,
    now_ms: clock.Millis,
) -> Trail:
    """Begin the trail of a call by what admitted it."""
    trail = Trail(received.request_id, now_ms)
    call = state.routed.call_by_id.get(received.call_id)
    in_force = state.routes.in_force
    if call is not None:
        trail.route = call.route.name
        trail.aim_ms = call.route.aim_ms
        trail.service = call.service
    fields = (
        ('route', trail.route or None),
        ('service', trail.service or None),
        *_terms(call),
        ('host', None if trail.route else received.host),
        ('path', None if trail.route else received.path),
        ('left_ms', received.deadline_ms - now_ms),
        ('due_in_ms', call.due_at_ms - now_ms if call else None),
        ('configuration', in_force.number if in_force else 0),
        ('registry', state.registry.revision),
        ('targets', len(state.registry.ids_by_service.get(trail.service, ()))),
    )
    trail.entries.append(Entry(now_ms, 'call', fields))
    return trail


def _terms(call: routed.RoutedCall | None) -> lines.Fields:
    if call is None:
        return ()
    runs = 'again' if call.route.idempotent else 'once'
    return (('runs', runs), ('most_sends', call.route.max_attempts))


def note_stage(
    trail: Trail,
    call: routed.RoutedCall | None,
    now_ms: clock.Millis,
) -> None:
    """Note that a call waits where it did not wait before."""
    if call is None or call.stage is trail.stage:
        return
    trail.stage = call.stage
    if call.stage is routed.Stage.SAMPLING:
        fields: lines.Fields = (
            ('compared', ','.join(call.sample)),
            ('reads', len(call.awaited)),
        )
        trail.entries.append(Entry(now_ms, 'sampled', fields))
    elif call.stage is not routed.Stage.SENT:
        waits: lines.Fields = (('due_in_ms', call.due_at_ms - now_ms),)
        trail.entries.append(Entry(now_ms, call.stage.value, waits))


def note_sent(
    trail: Trail,
    state: world.World,
    action: actions.Dispatch,
    now_ms: clock.Millis,
) -> None:
    """Note an attempt, why it is made, and what named its target."""
    known = load_reports.load_of(state.loads, action.target_id)
    told = known.report is not None
    fields = (
        ('attempt', action.attempt_id),
        ('target', action.target_id),
        ('why', _why_sent(trail)),
        ('report', _text_of(known.report)),
        ('report_age_ms', now_ms - known.reported_at_ms if told else None),
        ('own_in_flight', known.in_flight),
        ('left_ms', action.budget_ms),
    )
    trail.sends += 1
    trail.sent_by_attempt[action.attempt_id] = Sent(action.target_id, now_ms)
    trail.entries.append(Entry(now_ms, 'sent', fields))


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


def _why_sent(trail: Trail) -> str:
    if trail.sent_by_attempt:
        return 'hedge'
    return f'retry-after-{trail.last_verdict}' if trail.sends else 'first'


def _text_of(report: load_reports.Report | None) -> str | None:
    if report is None:
        return None
    counts = f'{report.running}+{report.waiting}/{report.slots}'
    return f'{counts}@{report.slowness:.2f}'
