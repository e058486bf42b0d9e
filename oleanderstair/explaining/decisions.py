"""Writes down the decisions of an instance that carries calls on routes.

Calls that are answered in time at the first attempt are merged into one
line a second; all others are written in full, up to a rate. What exceeds
the rate is merged with a count, so that no decision goes unsaid.
"""

import collections
import time
import typing

from oleanderstair import clock, metrics
from oleanderstair.domain import actions, events, outcomes, world
from oleanderstair.domain.calls import retry_budget
from oleanderstair.domain.targets import rate_limits
from oleanderstair.explaining import beliefs, lines, sinks, trails

LINES_PER_S: typing.Final = 100
"""Lines a second that are written in full, on the long run."""

BURST_LINES: typing.Final = 400
"""Lines that may be written in full at once."""

_NO_ROOM: typing.Final = frozenset(
    (outcomes.Reason.OVERLOADED, outcomes.Reason.NO_TARGET)
)
"""The reasons whose lines say which targets have room."""

_MERGE_MS: typing.Final[clock.Millis] = 1000
_MS_PER_S: typing.Final = 1000

WallClock: typing.TypeAlias = typing.Callable[[], float]
"""Return the time of day in seconds since 1970."""

_Describe: typing.TypeAlias = typing.Callable[
    [clock.Millis, typing.Any],
    None,
]


class DecisionLog:
    """The open trails of an instance, and what waits to be merged."""

    def __init__(
        self,
        state: world.World,
        sink: sinks.Sink,
        wall: WallClock,
        counts: metrics.Metrics | None = None,
    ) -> None:
        """Write the decisions taken on ``state`` to ``sink``.

        Calls are counted in ``counts`` by route, outcome and reason.
        """
        self._counts = counts or metrics.create()
        self._state = state
        self._sink = sink
        self._wall = wall
        self._trail_by_call: dict[int, trails.Trail] = {}
        self._held_ms_by_call: dict[int, clock.Millis] = {}
        self._merged: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self._merged_at_ms = clock.NEVER_MS
        self._said_dropped = 0
        self._beliefs = beliefs.Beliefs(state, self._say)
        self._room: float = BURST_LINES
        self._room_at_ms = clock.NEVER_MS
        self._describe_event: dict[type[events.Event], _Describe] = {
            events.CallReceived: self._on_call,
            events.AttemptEnded: self._on_ended,
            events.CallerLeft: self._on_left,
            events.CallerHalfClosed: self._on_half_closed,
            events.HedgeDue: self._on_hedge_due,
            events.HomeReplied: self._on_peer_replied,
            events.StoreFailed: self._beliefs.on_store_failed,
            events.StoreRead: self._beliefs.on_store_told,
            events.StoreChanged: self._beliefs.on_store_told,
            events.HistoryLost: self._beliefs.on_history_lost,
            events.Tick: self._on_tick,
        }
        self._describe_action: dict[type[actions.Action], _Describe] = {
            actions.Dispatch: self._on_dispatch,
            actions.CancelAttempt: self._on_cancel,
            actions.Relay: self._on_relay,
            actions.ForwardHome: self._on_forward,
            actions.RelayHome: self._on_relay_peer_answer,
            actions.Refuse: self._on_refuse,
            actions.Schedule: self._on_schedule,
        }

    def observe(
        self,
        now_ms: clock.Millis,
        event: events.Event,
        done: typing.Sequence[actions.Action],
    ) -> None:
        """Take what was decided at an event."""
        describe = self._describe_event.get(type(event))
        if describe is not None:
            describe(now_ms, event)
        for action in done:
            describe = self._describe_action.get(type(action))
            if describe is not None:
                describe(now_ms, action)

    def reject(
        self,
        request_id: str,
        reason: str,
        detail: str,
        now_ms: clock.Millis,
    ) -> None:
        """Take a request that never became a call."""
        fields: lines.Fields = (
            ('id', request_id or None),
            ('reason', reason),
            ('detail', detail),
        )
        self._say_or_merge(now_ms, 'rejected', reason, fields)

    def leave(
        self,
        request_id: str,
        where: str,
        after_ms: clock.Millis,
        now_ms: clock.Millis,
    ) -> None:
        """Take a request whose caller left before it became a call."""
        fields: lines.Fields = (
            ('id', request_id or None),
            ('where', where),
            ('after_ms', after_ms),
        )
        self._say_or_merge(now_ms, 'caller-left', where, fields)

    def cut_reader(
        self,
        unread_bytes: int,
        stopped_ms: clock.Millis,
        now_ms: clock.Millis,
    ) -> None:
        """Take a caller that was cut off as it read nothing of its answer."""
        fields: lines.Fields = (
            ('unread_bytes', unread_bytes),
            ('stopped_ms', stopped_ms),
        )
        self._say_or_merge(now_ms, 'reader-cut', 'memory', fields)

    def give_answer_up(
        self,
        target_id: str,
        cause: str,
        size: int,
        now_ms: clock.Millis,
    ) -> None:
        """Take an answer that was too large, or gave way to others."""
        fields: lines.Fields = (
            ('target', target_id),
            ('cause', cause),
            ('bytes', size),
        )
        self._say_or_merge(now_ms, 'answer-given-up', cause, fields)

    def limit_client(
        self,
        limit: str,
        client: str,
        held_bytes: int,
        now_ms: clock.Millis,
    ) -> None:
        """Take a client that exceeded a limit, or gave way to others."""
        fields: lines.Fields = (
            ('limit', limit),
            ('client', client),
            ('held_bytes', held_bytes),
        )
        self._say_or_merge(now_ms, 'client-limited', limit, fields)

    def close_unanswered(
        self,
        why: str,
        count: int,
        now_ms: clock.Millis,
    ) -> None:
        """Take a connection that ended before its requests were answered."""
        fields: lines.Fields = (('why', why), ('requests', count))
        self._say_or_merge(now_ms, 'closed-unanswered', why, fields)

    def hold(self, call_id: int, held_ms: clock.Millis) -> None:
        """Take how long a call that comes next was held at a start."""
        self._held_ms_by_call[call_id] = held_ms

    # Calls

    def _on_call(
        self,
        now_ms: clock.Millis,
        event: events.CallReceived,
    ) -> None:
        held_ms = self._held_ms_by_call.pop(event.call_id, 0)
        trail = trails.open_trail(self._state, event, now_ms, held_ms)
        self._trail_by_call[event.call_id] = trail
        self._note_stage(trail, event.call_id, now_ms)

    def _on_ended(
        self,
        now_ms: clock.Millis,
        event: events.AttemptEnded,
    ) -> None:
        trail = self._trail_by_call.get(event.call_id)
        if trail is None:
            return
        sent = trail.sent_by_attempt.get(event.attempt_id)
        trails.note_ended(trail, event, now_ms)
        self._note_stage(trail, event.call_id, now_ms)
        if sent is not None:
            self._beliefs.note_target(now_ms, sent.target_id)

    def _on_left(
        self,
        now_ms: clock.Millis,
        event: events.CallerLeft,
    ) -> None:
        trail = self._trail_by_call.get(event.call_id)
        if trail is not None:
            waited: lines.Fields = (('after_ms', now_ms - trail.started_ms),)
            trail.entries.append(trails.Entry(now_ms, 'caller-left', waited))

    def _on_half_closed(
        self,
        now_ms: clock.Millis,
        event: events.CallerHalfClosed,
    ) -> None:
        # A call that goes on ends with a line of its own.
        if event.call_id not in self._state.routed.call_by_id:
            self._on_left(now_ms, events.CallerLeft(event.call_id))

    def _on_hedge_due(
        self,
        now_ms: clock.Millis,
        event: events.HedgeDue,
    ) -> None:
        trail = self._trail_by_call.get(event.call_id)
        if trail is not None:
            trails.note_hedge_due(trail, self._state, event, now_ms)

    def _on_dispatch(
        self,
        now_ms: clock.Millis,
        action: actions.Dispatch,
    ) -> None:
        trail = self._trail_by_call.get(action.call_id)
        if trail is None:
            return
        if rate_limits.limit_of(self._state, action.target_id) is not None:
            why = trails.why_sent(trail)
            label = f'target={action.target_id} why={why}'
            self._counts.count('sends-to-limited', label)
        trails.note_sent(trail, self._state, action, now_ms)

    def _on_forward(
        self, now_ms: clock.Millis, action: actions.ForwardHome
    ) -> None:
        trail = self._trail_by_call.get(action.call_id)
        if trail is not None:
            trails.note_forwarded(trail, action, now_ms)

    def _on_peer_replied(
        self, now_ms: clock.Millis, event: events.HomeReplied
    ) -> None:
        trail = self._trail_by_call.get(event.call_id)
        if trail is not None:
            trails.note_peer_replied(trail, event, now_ms)

    def _on_relay_peer_answer(
        self, now_ms: clock.Millis, action: actions.RelayHome
    ) -> None:
        trail = self._trail_by_call.pop(action.call_id, None)
        if trail is None:
            return
        after_ms = now_ms - trail.started_ms
        self._count(trail, 'ran', 'forwarded')
        self._counts.observe('answer-ms', f'route={trail.route}', after_ms)
        fields: lines.Fields = (
            ('after_ms', after_ms),
            ('late_ms', max(after_ms - trail.aim_ms, 0) or None),
        )
        trail.entries.append(trails.Entry(now_ms, 'answered-by-peer', fields))
        self._write(trail, now_ms, 'answered-by-peer')

    def _on_cancel(
        self,
        now_ms: clock.Millis,
        action: actions.CancelAttempt,
    ) -> None:
        trail = self._trail_by_call.get(action.call_id)
        if trail is not None:
            trails.note_cancelled(trail, action, now_ms)

    def _on_relay(self, now_ms: clock.Millis, action: actions.Relay) -> None:
        trail = self._trail_by_call.pop(action.call_id, None)
        if trail is None:
            return
        after_ms = now_ms - trail.started_ms
        status = _status_in(trail)
        self._count(trail, 'ran', str(status))
        self._counts.observe('answer-ms', f'route={trail.route}', after_ms)
        late_ms = max(after_ms - trail.aim_ms, 0)
        if (
            not late_ms
            and not trail.from_peer
            and trail.sends == 1
            and status < outcomes.MIN_ERROR_STATUS
        ):
            self._merged['served', trail.route] += 1
            return
        fields: lines.Fields = (
            ('status', status),
            ('attempt', action.attempt_id),
            ('after_ms', after_ms),
            ('late_ms', late_ms or None),
            *trails.winner_of(trail, action.attempt_id),
            *trails.hedging_of(trail),
        )
        trail.entries.append(trails.Entry(now_ms, 'answered', fields))
        self._write(trail, now_ms, 'answered')

    def _on_refuse(self, now_ms: clock.Millis, action: actions.Refuse) -> None:
        trail = self._trail_by_call.pop(action.call_id, None)
        if trail is None:
            return
        self._count(trail, action.outcome.value, action.reason.value)
        fields: lines.Fields = (
            ('outcome', action.outcome.value),
            ('reason', action.reason.value),
            ('after_ms', now_ms - trail.started_ms),
            ('sends', trail.sends),
            *self._budget(trail, now_ms),
            *trails.hedging_of(trail),
            *self._room_for(trail, action.reason, now_ms),
            ('working', _working(trail) or None),
            ('retry_after_ms', action.retry_after_ms or None),
        )
        trail.entries.append(trails.Entry(now_ms, 'refused', fields))
        self._write(trail, now_ms, f'refused-{action.reason.value}')

    def _on_schedule(
        self,
        now_ms: clock.Millis,
        action: actions.Schedule,
    ) -> None:
        planned = action.event
        if isinstance(planned, events.PatienceOver):
            trail = self._trail_by_call.get(planned.call_id)
            if trail is not None:
                self._note_stage(trail, planned.call_id, now_ms)
        elif isinstance(planned, events.HedgeDue):
            trail = self._trail_by_call.get(planned.call_id)
            if trail is not None:
                trails.note_hedge_planned(trail, self._state, planned, now_ms)

    def _budget(
        self,
        trail: trails.Trail,
        now_ms: clock.Millis,
    ) -> lines.Fields:
        if not trail.sends:
            return ()
        left = retry_budget.remaining_attempts(
            self._state,
            trail.service,
            retry_budget.IDEMPOTENT_RETRY_SHARE,
            now_ms,
        )
        return (('repeats_left', left),)

    def _room_for(
        self,
        trail: trails.Trail,
        reason: outcomes.Reason,
        now_ms: clock.Millis,
    ) -> lines.Fields:
        # All targets are gone through, so only for a line that is written.
        if reason not in _NO_ROOM or self._room < 1:
            return ()
        return (
            *trails.room_for(self._state, trail.service, now_ms),
            *trails.limited_for(self._state, trail.service, now_ms),
            *trails.evacuated_for(self._state, trail.service),
        )

    def _count(self, trail: trails.Trail, outcome: str, why: str) -> None:
        label = f'route={trail.route} outcome={outcome} reason={why}'
        self._counts.count('calls', label)

    def _note_stage(
        self,
        trail: trails.Trail,
        call_id: int,
        now_ms: clock.Millis,
    ) -> None:
        trails.note_stage(trail, self._state, call_id, now_ms)

    # Writing

    def _on_tick(self, now_ms: clock.Millis, event: events.Tick) -> None:
        if now_ms - self._merged_at_ms >= _MERGE_MS:
            self._merged_at_ms = now_ms
            self._say_merged(now_ms)
        self._sink.flush()

    def _say_merged(self, now_ms: clock.Millis) -> None:
        self._beliefs.note_peers(now_ms)
        for (kind, route), count in self._merged.items():
            fields: lines.Fields = (('route', route or None), ('count', count))
            self._say(now_ms, f'{kind}-merged', fields)
        self._merged.clear()
        dropped = self._sink.dropped - self._said_dropped
        if dropped:
            self._said_dropped = self._sink.dropped
            self._say(now_ms, 'lines-dropped', (('count', dropped),))

    def _write(
        self,
        trail: trails.Trail,
        now_ms: clock.Millis,
        kind: str,
    ) -> None:
        if not self._takes_room(len(trail.entries), now_ms):
            self._merged[kind, trail.route] += 1
            return
        for entry in trail.entries:
            named = (('id', trail.request_id or None), *entry.fields)
            self._say(entry.at_ms, entry.kind, named, now_ms)

    def _say_or_merge(
        self,
        now_ms: clock.Millis,
        kind: str,
        why: str,
        fields: lines.Fields,
    ) -> None:
        """Write a line on a request that is no call, or count it."""
        if self._takes_room(1, now_ms):
            self._say(now_ms, kind, fields)
        else:
            self._merged[f'{kind}-{why}', ''] += 1

    def _takes_room(self, count: int, now_ms: clock.Millis) -> bool:
        passed_s = max(now_ms - self._room_at_ms, 0) / _MS_PER_S
        more = passed_s * LINES_PER_S
        self._room = min(self._room + more, BURST_LINES)
        self._room_at_ms = now_ms
        if self._room < count:
            return False
        self._room -= count
        return True

    def _say(
        self,
        at_ms: clock.Millis,
        kind: str,
        fields: lines.Fields,
        now_ms: clock.Millis | None = None,
    ) -> None:
        past_ms = 0 if now_ms is None else now_ms - at_ms
        at_s = self._wall() - past_ms / _MS_PER_S
        stamped = (('at', f'{at_s:.4f}'), *fields)
        self._sink.put(lines.write(kind, stamped))


def create(
    state: world.World,
    sink: sinks.Sink,
    counts: metrics.Metrics,
) -> DecisionLog:
    """Create a log of the decisions on ``state``, by the time of day."""
    return DecisionLog(state, sink, time.time, counts)


def _working(trail: trails.Trail) -> str:
    return ','.join(sent.target_id for sent in trail.sent_by_attempt.values())


def _status_in(trail: trails.Trail) -> int:
    for entry in reversed(trail.entries):
        if entry.kind == 'attempt-ended':
            return int(dict(entry.fields).get('status') or 0)
    return 0
