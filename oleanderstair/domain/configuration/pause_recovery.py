"""Keeps an instance from dispatching on stale state after a process pause.

A late tick indicates that the process was paused. From then on nothing is
dispatched until a peer or the configuration service has answered a request
that was sent after the pause. A nonce proves that the answer belongs to such a
request. Dispatching also waits for a limited time until the note that the
answer reports is in force here. After that each target gets one call at a time
until it has answered a call or a probe.
"""

import typing

from oleanderstair import clock
from oleanderstair.domain import actions, events, messages, world
from oleanderstair.domain.configuration import note_values
from oleanderstair.domain.fleet import heartbeats
from oleanderstair.domain.tables import instances, targets

MAX_CATCH_UP_MS: typing.Final[clock.Millis] = 2000
"""The longest that dispatching waits for the reported note to be in force."""

BACKLOG_WINDOW_MS: typing.Final[clock.Millis] = 5000
"""How long after a pause messages that peers sent during it may arrive."""


def is_state_stale(state: world.World, now_ms: clock.Millis) -> bool:
    """Return whether the state is too old to dispatch calls.

    True if the last tick is more than ``max_tick_age_ms`` ago, if no request
    sent after the last pause has been answered yet, or, for
    ``MAX_CATCH_UP_MS`` after such an answer, if the note that it reported is
    not in force here.
    """
    check = state.instances.resume_check
    age_ms = now_ms - state.instances.last_tick_at_ms
    if age_ms > state.policy.max_tick_age_ms:
        return True
    if not check.is_verified:
        return True
    behind = state.catalogue.in_force.number < check.note_number
    return behind and now_ms - check.verified_at_ms < MAX_CATCH_UP_MS


def may_predate_resume(
    state: world.World,
    sender: str,
    now_ms: clock.Millis,
) -> bool:
    """Return whether a peer may have sent a call before the pause ended.

    True within ``BACKLOG_WINDOW_MS`` after the pause, until a reply with the
    current nonce has arrived from the peer ``sender``. Messages from a peer
    arrive in order, so after that reply everything it sent during the pause
    has been received. False for an empty ``sender``, which means that the call
    came from a caller directly.
    """
    check = state.instances.resume_check
    if not sender or now_ms - check.resumed_at_ms > BACKLOG_WINDOW_MS:
        return False
    return sender not in check.verified_by


def is_target_unchecked(state: world.World, target_id: str) -> bool:
    """Return whether a target has not been checked since the last pause.

    False if it has answered a call or a probe that was sent after the pause,
    or if there was no pause.
    """
    condition = targets.condition_of(state.targets, target_id)
    return condition.checked_at_ms < state.instances.resume_check.resumed_at_ms


def on_tick(
    state: world.World,
    event: events.Tick,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Record the tick; after a pause, invalidate the state with a new nonce.

    A tick more than ``max_tick_age_ms`` after the last one indicates a pause.
    The head is requested until an answer with the new nonce has arrived.
    """
    table = state.instances
    paused_ms = now_ms - table.last_tick_at_ms
    had_tick = table.last_tick_at_ms != clock.NEVER_MS
    table.last_tick_at_ms = now_ms
    if not had_tick or paused_ms <= state.policy.max_tick_age_ms:
        return _request_head(state, now_ms)
    nonce = heartbeats.renew_nonce(state)
    table.resume_check = instances.ResumeCheck(
        nonce, is_verified=False, resumed_at_ms=now_ms
    )
    state.facts.heartbeat_at_ms = clock.NEVER_MS
    return [
        actions.Audit(
            'instance',
            state.identity.incarnation,
            'clock',
            f'woke up after {int(paused_ms)} ms',
        ),
        *_request_head(state, now_ms),
    ]


def on_peer(
    state: world.World,
    event: events.PeerHeard,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Confirm the state by a reply with the current nonce.

    The nonce proves that the reply was sent after the pause.
    """
    message = event.message
    if not isinstance(message, (messages.Heartbeat, messages.Pulse)):
        return []
    check = state.instances.resume_check
    if not message.reply or message.nonce != check.nonce:
        return []
    state.instances.resume_check = check._replace(
        verified_by=check.verified_by | {event.sender},
    )
    _confirm_state(state, message.state.note_number, now_ms)
    return []


def on_value(
    state: world.World,
    event: events.ValueRead,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Confirm the state by a head that was requested with the current nonce."""
    if event.nonce and event.nonce == state.instances.resume_check.nonce:
        _confirm_state(state, state.catalogue.highest_read, now_ms)
    return []


def on_attempt_ended(
    state: world.World,
    event: events.AttemptEnded,
    target_id: str,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Mark a target as checked if it answered a call after the pause."""
    answered = event.verdict is events.Verdict.ANSWERED
    if not answered or not is_target_unchecked(state, target_id):
        return []
    call = state.calls.call_by_id[event.call_id]
    sent_at_ms = max(attempt.started_at_ms for attempt in call.attempts)
    if sent_at_ms >= state.instances.resume_check.resumed_at_ms:
        _mark_checked(state, target_id, now_ms)
    return []


def on_probe_ended(
    state: world.World,
    event: events.ProbeEnded,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Mark a target as checked if it answered a probe after the pause."""
    sent_at_ms = now_ms - event.took_ms
    fresh = sent_at_ms >= state.instances.resume_check.resumed_at_ms
    if event.report is not None and fresh:
        if is_target_unchecked(state, event.target_id):
            _mark_checked(state, event.target_id, now_ms)
    return []


def _request_head(
    state: world.World,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Read the head every ``value_read_ms`` until the state is confirmed.

    Peers need no extra request, as each heartbeat carries the nonce.
    """
    check = state.instances.resume_check
    if (
        check.is_verified
        or now_ms - check.asked_at_ms < state.policy.value_read_ms
    ):
        return []
    state.instances.resume_check = check._replace(asked_at_ms=now_ms)
    return [actions.ReadValue(note_values.HEAD_NAME, check.nonce)]


def _confirm_state(
    state: world.World,
    note_number: int,
    now_ms: clock.Millis,
) -> None:
    check = state.instances.resume_check
    if check.is_verified:
        return
    state.instances.resume_check = check._replace(
        is_verified=True,
        verified_at_ms=now_ms,
        note_number=note_number,
    )


def _mark_checked(
    state: world.World,
    target_id: str,
    now_ms: clock.Millis,
) -> None:
    condition = targets.condition_of(state.targets, target_id)
    targets.put_condition(
        state.targets,
        condition._replace(checked_at_ms=now_ms),
    )
