"""Keeps an instance that was paused from acting on old knowledge.

A late tick shows a pause. From then on nothing is dispatched until a peer
or the configuration service has answered a message that was sent after the
wake-up, as its nonce proves, and the note that it knows is in force here.
Then each target takes one call at a time until it has answered one.
"""

import typing

from oleanderstair import clock
from oleanderstair.domain import actions, events, messages, world
from oleanderstair.domain.configuration import spread
from oleanderstair.domain.fleet import gossip
from oleanderstair.domain.tables import instances, targets

CATCH_UP_MS: typing.Final[clock.Millis] = 2000
BACKLOG_MS: typing.Final[clock.Millis] = 5000


def is_stale(state: world.World, now_ms: clock.Millis) -> bool:
    """Return whether this instance knows too little to dispatch anything."""
    wake = state.instances.wake
    age_ms = now_ms - state.instances.last_tick_ms
    if age_ms > state.policy.max_tick_age_ms:
        return True
    if not wake.proven:
        return True
    behind = state.catalogue.in_force.number < wake.note_number
    return behind and now_ms - wake.proven_at_ms < CATCH_UP_MS


def may_be_late(
    state: world.World,
    sender: str,
    now_ms: clock.Millis,
) -> bool:
    """Return whether a peer's call may have waited through the pause.

    Messages of a peer keep their order, so that its answer to a nonce
    shows that what it had sent before has all been read.
    """
    wake = state.instances.wake
    if not sender or now_ms - wake.woke_at_ms > BACKLOG_MS:
        return False
    return sender not in wake.proven_by


def is_unchecked(state: world.World, target_id: str) -> bool:
    """Return whether a target has not answered since the wake-up."""
    condition = targets.condition_of(state.targets, target_id)
    return condition.checked_at_ms < state.instances.wake.woke_at_ms


def on_tick(
    state: world.World,
    event: events.Tick,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Note that this instance is awake; after a pause, ask what changed."""
    table = state.instances
    slept_ms = now_ms - table.last_tick_ms
    started = table.last_tick_ms != clock.NEVER_MS
    table.last_tick_ms = now_ms
    if not started or slept_ms <= state.policy.max_tick_age_ms:
        return _ask(state, now_ms)
    nonce = gossip.renew_nonce(state)
    table.wake = instances.Wake(nonce, proven=False, woke_at_ms=now_ms)
    state.facts.heartbeat_at_ms = clock.NEVER_MS
    return [
        actions.Audit(
            'instance',
            state.identity.incarnation,
            'clock',
            f'woke up after {int(slept_ms)} ms',
        ),
        *_ask(state, now_ms),
    ]


def on_peer(
    state: world.World,
    event: events.PeerHeard,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Take a peer's answer to a nonce as proof of a live exchange."""
    message = event.message
    if not isinstance(message, (messages.Heartbeat, messages.Pulse)):
        return []
    wake = state.instances.wake
    if not message.reply or message.nonce != wake.nonce:
        return []
    state.instances.wake = wake._replace(
        proven_by=wake.proven_by | {event.sender},
    )
    _prove(state, message.state.note_number, now_ms)
    return []


def on_value(
    state: world.World,
    event: events.ValueRead,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Take a head that was asked for after the wake-up as proof."""
    if event.nonce and event.nonce == state.instances.wake.nonce:
        _prove(state, state.catalogue.highest_read, now_ms)
    return []


def on_attempt_ended(
    state: world.World,
    event: events.AttemptEnded,
    target_id: str,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Take a target's answer as a check, if it was asked after a wake-up."""
    answered = event.verdict is events.Verdict.ANSWERED
    if not answered or not is_unchecked(state, target_id):
        return []
    call = state.calls.call_by_id[event.call_id]
    asked_at_ms = max(attempt.started_at_ms for attempt in call.attempts)
    if asked_at_ms >= state.instances.wake.woke_at_ms:
        _check(state, target_id, now_ms)
    return []


def on_probe_ended(
    state: world.World,
    event: events.ProbeEnded,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Take a report that was asked for after the wake-up as a check."""
    asked_at_ms = now_ms - event.took_ms
    fresh = asked_at_ms >= state.instances.wake.woke_at_ms
    if event.report is not None and fresh:
        if is_unchecked(state, event.target_id):
            _check(state, event.target_id, now_ms)
    return []


def _ask(
    state: world.World,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Ask the service until somebody has answered; peers are asked anyway."""
    wake = state.instances.wake
    if wake.proven or now_ms - wake.asked_at_ms < state.policy.value_read_ms:
        return []
    state.instances.wake = wake._replace(asked_at_ms=now_ms)
    return [actions.ReadValue(spread.HEAD_NAME, wake.nonce)]


def _prove(
    state: world.World,
    note_number: int,
    now_ms: clock.Millis,
) -> None:
    wake = state.instances.wake
    if wake.proven:
        return
    state.instances.wake = wake._replace(
        proven=True,
        proven_at_ms=now_ms,
        note_number=note_number,
    )


def _check(
    state: world.World,
    target_id: str,
    now_ms: clock.Millis,
) -> None:
    condition = targets.condition_of(state.targets, target_id)
    targets.put_condition(
        state.targets,
        condition._replace(checked_at_ms=now_ms),
    )
