"""Converts keyed calls and their answers from and to peer messages.

The home of a key is the instance that the key is bound to.
"""

import typing

from oleanderstair import clock
from oleanderstair.domain import events, messages, outcomes
from oleanderstair.domain.calls import fingerprints
from oleanderstair.engine import exchanges, headers, pending

TextHeaders: typing.TypeAlias = tuple[tuple[str, str], ...]


def build_call_message(
    pending_call: pending.PendingCall,
    home: str,
    budget_ms: clock.Millis,
) -> messages.KeyedCall:
    """Return the message that forwards a pending call to its home."""
    received = pending_call.received
    return messages.KeyedCall(
        correlation=received.call_id,
        home=home,
        service=received.service,
        method=received.method,
        path=received.path,
        key=received.key,
        budget_ms=budget_ms,
        depth=received.depth,
        headers=_decode_fields(pending_call.request.headers),
        body=pending_call.request.body,
    )


def build_received_event(
    message: messages.KeyedCall,
    call_id: int,
    sender: str,
    now_ms: clock.Millis,
) -> events.CallReceived:
    """Return the event for a keyed call that its home has received."""
    return events.CallReceived(
        call_id=call_id,
        service=message.service,
        method=message.method,
        path=message.path,
        deadline_ms=now_ms + message.budget_ms,
        key=message.key,
        depth=message.depth,
        fingerprint=fingerprints.request_fingerprint(
            message.service,
            message.method,
            message.path,
            message.body,
        ),
        from_peer=sender,
    )


def build_target_request(message: messages.KeyedCall) -> exchanges.Request:
    """Return the request of a keyed call to its target."""
    return exchanges.Request(
        message.method.encode(),
        message.path.encode(),
        _encode_fields(message.headers),
        message.body,
    )


def build_answer_message(
    asker: str,
    message: messages.KeyedCall,
    reply: pending.Reply,
) -> messages.KeyedAnswer:
    """Return the message with the reply for the forwarding peer."""
    answer = reply.answer or exchanges.Answer(0, [], b'')
    return messages.KeyedAnswer(
        correlation=message.correlation,
        home=message.home,
        outcome=reply.outcome.value,
        reason=reply.reason.value if reply.reason else '',
        retry_after_ms=reply.retry_after_ms,
        status=answer.status,
        headers=_decode_fields(answer.headers),
        body=answer.body,
        asker=asker,
    )


def read_target_answer(
    message: messages.KeyedAnswer,
) -> exchanges.Answer | None:
    """Return the target's answer, or None if the message relays none."""
    if not message.status:
        return None
    return exchanges.Answer(
        message.status,
        _encode_fields(message.headers),
        message.body,
    )


def build_home_reply_event(
    sender: str,
    message: messages.KeyedAnswer,
) -> events.HomeReplied | None:
    """Return the event for a home's answer, or None if it is malformed.

    An unknown reason, which a newer release may send, is read as HOME_LOST.
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


def _decode_fields(fields: headers.AnyFields) -> TextHeaders:
    return tuple(
        (name.decode('latin-1'), field.decode('latin-1'))
        for name, field in fields
    )


def _encode_fields(fields: TextHeaders) -> headers.Fields:
    return [
        (name.encode('latin-1'), field.encode('latin-1'))
        for name, field in fields
    ]
