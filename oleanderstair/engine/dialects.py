"""The header conventions between this system and targets.

A dialect defines the header fields of a request and how the verdict of an
answer is read. The default dialect is here; that of the platform is in
``platform``.
"""

import typing

from oleanderstair import clock
from oleanderstair.domain import actions, events
from oleanderstair.domain.tables import load_reports
from oleanderstair.engine import exchanges, headers, pending


class Judgement(typing.NamedTuple):
    """The verdict on an attempt, and the state of its target, by an answer.

    ``leaving`` is true if the target is shutting down, ``misdirected`` if
    another target has the address. ``load`` is the load report in the answer.
    ``passed_on`` is true if the target relays the refusal of a nested call. If
    ``is_for_other_request`` is true, the other fields do not apply.
    """

    verdict: events.Verdict
    retry_after_ms: clock.Millis = 0
    leaving: bool = False
    passed_on: bool = False
    load: load_reports.Report | None = None
    misdirected: bool = False
    is_for_other_request: bool = False


class TargetNotice(typing.NamedTuple):
    """The state of a target according to an answer to any call.

    ``leaving`` is true if the target is shutting down. ``rest_ms`` is the time
    for which it accepts no new calls, 0 if it accepts them. ``limit_per_s`` is
    the number of requests per second that it accepts from all instances
    together, None if it names no limit.
    """

    leaving: bool = False
    rest_ms: clock.Millis = 0
    limit_per_s: float | None = None


class Dialect(typing.Protocol):
    """Defines the header fields for targets and interprets their answers."""

    def fields_for(
        self,
        pending_call: pending.PendingCall,
        dispatch: actions.Dispatch,
        remaining_ms: clock.Millis,
    ) -> headers.Fields:
        """Return the header fields for one attempt of a call."""

    def judge(
        self,
        pending_call: pending.PendingCall,
        answer: exchanges.Answer,
    ) -> Judgement:
        """Return the result of a complete answer for a call."""


class _DefaultDialect:
    def fields_for(
        self,
        pending_call: pending.PendingCall,
        dispatch: actions.Dispatch,
        remaining_ms: clock.Millis,
    ) -> headers.Fields:
        received = pending_call.received
        return headers.build_target_fields(
            pending_call.request.headers,
            received.service,
            received.depth,
            remaining_ms,
        )

    def judge(
        self,
        pending_call: pending.PendingCall,
        answer: exchanges.Answer,
    ) -> Judgement:
        return Judgement(
            exchanges.verdict_of(answer),
            headers.parse_retry_after_ms(answer.headers),
            leaving=bool(headers.find_field(answer.headers, headers.LEAVING)),
            passed_on=exchanges.is_relayed_refusal(answer),
        )


def create_default() -> Dialect:
    """Create the default dialect, with the ``call-*`` header fields."""
    return _DefaultDialect()
