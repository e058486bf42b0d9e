"""Keyed calls and their answers on the way to and from their home."""

import typing

from oleanderstair import clock
from oleanderstair.domain import events, messages, outcomes
from oleanderstair.domain.calls import fingerprints
from oleanderstair.engine import exchanges, headers, pending

TextFields: typing.TypeAlias = tuple[tuple[str, str], ...]


def to_message(
    owed: pending.PendingCall,
    home: str,
    budget_ms: clock.Millis,
) -> messages.KeyedCall:
    """Return the message that brings a pending call to its home."""
    received = owed.received
    return messages.KeyedCall(
        correlation=received.call_id,
        home=home,
        service=received.service,
        method=received.method,
        path=received.path,
        key=received.key,
        budget_ms=budget_ms,
        depth=received.depth,
        headers=_to_text(owed.request.headers),
        body=owed.request.body,
    )


def to_event(
    message: messages.KeyedCall,
    call_id: int,
    sender: str,
    now_ms: clock.Millis,
) -> events.CallReceived:
    """Return the event of a keyed call that arrived at its home."""
    return events.CallReceived(
        call_id=call_id,
        service=message.service,
        method=message.method,
        path=message.path,
        deadline_ms=now_ms + message.budget_ms,
        key=message.key,
        depth=message.depth,
        fingerprint=fingerprints.of_call(
            message.service,
            message.method,
            message.path,
            message.body,
        ),
        from_peer=sender,
    )


def to_request(message: messages.KeyedCall) -> exchanges.Request:
    """Return what a keyed call sends to its target."""
    return exchanges.Request(
        message.method.encode(),
        message.path.encode(),
        _to_bytes(message.headers),
        message.body,
    )


def to_answer_message(
    asker: str,
    message: messages.KeyedCall,
    reply: pending.Reply,
) -> messages.KeyedAnswer:
    """Return the message that brings a reply back to the asking peer."""
    answer = reply.answer or exchanges.Answer(0, [], b'')
    return messages.KeyedAnswer(
        correlation=message.correlation,
        home=message.home,
        outcome=reply.outcome.value,
        reason=reply.reason.value if reply.reason else '',
        retry_after_ms=reply.retry_after_ms,
        status=answer.status,
        headers=_to_text(answer.headers),
        body=answer.body,
        asker=asker,
    )


def to_answer(message: messages.KeyedAnswer) -> exchanges.Answer | None:
    """Return the target's answer where the home relays one."""
    if not message.status:
        return None
    return exchanges.Answer(
        message.status,
        _to_bytes(message.headers),
        message.body,
    )


def to_home_reply(
    sender: str,
    message: messages.KeyedAnswer,
) -> events.HomeReplied | None:
    """Return the event of a home's answer, or None where it is malformed.

    A reason of a newer release counts as one that this release knows.
    """
    try:
        outcome = outcomes.Outcome(message.outcome)
    except ValueError:
        return None
    try:
        reason = outcomes.Reason(message.reason) if message.reason else None
    except ValueError:
        reason = outcomes.Reason.HOME_LOST
    ran = outcome is outcomes.Outcome.RAN
    if ran != (reason is None) or ran != bool(message.status):
        return None
    return events.HomeReplied(
        call_id=message.correlation,
        outcome=outcome,
        reason=reason,
        retry_after_ms=message.retry_after_ms,
        home=sender,
    )


def _to_text(fields: headers.AnyFields) -> TextFields:
    return tuple(
        (name.decode('latin-1'), field.decode('latin-1'))
        for name, field in fields
    )


def _to_bytes(fields: TextFields) -> headers.Fields:
    return [
        (name.encode('latin-1'), field.encode('latin-1'))
        for name, field in fields
    ]
