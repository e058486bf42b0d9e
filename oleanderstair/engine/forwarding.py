"""Converts forwarded calls and their answers from and to peer messages."""

import typing

from oleanderstair import clock
from oleanderstair.domain import actions, events, messages, outcomes
from oleanderstair.domain.calls import fingerprints
from oleanderstair.domain.fleet import codec
from oleanderstair.engine import exchanges, headers, pending

MAX_BODY_BYTES: typing.Final = codec.MAX_MESSAGE_BYTES // 10 * 9
"""The maximum size of a body in a message; the rest is for its headers."""

TextHeaders: typing.TypeAlias = tuple[tuple[str, str], ...]


def build_call_message(
    pending_call: pending.PendingCall,
    action: actions.ForwardHome,
) -> messages.KeyedCall:
    """Return the message that forwards a pending call."""
    received = pending_call.received
    return messages.KeyedCall(
        correlation=received.call_id,
        home=action.home,
        service=action.service or received.service,
        method=received.method,
        path=received.path,
        key=received.key,
        budget_ms=action.budget_ms,
        depth=received.depth,
        headers=_decode_fields(pending_call.request.headers),
        body=pending_call.request.body,
        host=received.host,
        request_id=received.request_id,
        configuration=action.configuration,
        max_attempts=action.max_attempts,
    )


def build_unsent_event(call_id: int, home: str) -> events.HomeReplied:
    """Return the event for a call on a route that could not be forwarded."""
    return events.HomeReplied(
        call_id=call_id,
        outcome=outcomes.Outcome.NOT_RUN,
        reason=outcomes.Reason.STOPPING,
        home=home,
    )


def build_received_event(
    message: messages.KeyedCall,
    call_id: int,
    sender: str,
    now_ms: clock.Millis,
) -> events.CallReceived:
    """Return the event for a forwarded call that was received."""
    return events.CallReceived(
        call_id=call_id,
        service=message.service,
        method=message.method,
        path=message.path,
        deadline_ms=now_ms + message.budget_ms,
        key=message.key,
        depth=message.depth,
        fingerprint=fingerprints.request_fingerprint(
            message.host or message.service,
            message.method,
            message.path,
            message.body,
        ),
        from_peer=sender,
        host=message.host,
        request_id=message.request_id,
        configuration=message.configuration,
        max_attempts=message.max_attempts,
    )


def build_target_request(message: messages.KeyedCall) -> exchanges.Request:
    """Return the request of a forwarded call to its target."""
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
    """Return the message with the reply for the forwarding peer.

    An answer that is too large for a message is replaced by the outcome
    ``unknown``, so that nobody takes it for complete or repeats the call.
    """
    if reply.answer and len(reply.answer.body) > MAX_BODY_BYTES:
        reply = pending.Reply(
            outcomes.Outcome.UNKNOWN, outcomes.Reason.TARGET_LOST
        )
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
