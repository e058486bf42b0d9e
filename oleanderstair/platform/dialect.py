"""The header fields exchanged with callers and targets of the platform."""

import typing

from oleanderstair import clock
from oleanderstair.domain import actions, events
from oleanderstair.domain.tables import load_reports
from oleanderstair.engine import dialects, exchanges, headers, pending

REQUEST_ID: typing.Final = b'request-id'
DEADLINE_MS: typing.Final = b'deadline-ms'
EXPECTED_TARGET: typing.Final = b'target-instance'
SERVER_LOAD: typing.Final = b'server-load'
NOT_RUN: typing.Final = b'not-executed'
SERVER_LEAVING: typing.Final = b'server-leaving'
SERVER_LIMIT: typing.Final = b'server-limit'
SLOW_START_MS: typing.Final = b'slow-start-ms'

_MISDIRECTED: typing.Final = 421
_UNAVAILABLE: typing.Final = 503
_TRUE_VALUE: typing.Final = b'1'
_SLOWNESS_UNIT: typing.Final = 100
"""The reported slowness of a target at its usual speed."""

_MIN_LOAD_FIGURES: typing.Final = 3
_SINGLE_FIELDS: typing.Final = frozenset((REQUEST_ID, DEADLINE_MS))
"""The fields that a request may contain only once."""

_SET_BY_INSTANCE: typing.Final = frozenset((DEADLINE_MS, EXPECTED_TARGET))
"""The fields that replace those of the caller's request."""


class PlatformDialect:
    """Writes and reads the platform's header fields of calls and answers."""

    def fields_for(
        self,
        pending_call: pending.PendingCall,
        dispatch: actions.Dispatch,
        remaining_ms: clock.Millis,
    ) -> headers.Fields:
        """Return the header fields to send to a target with a call."""
        forwarded = [
            (name, field)
            for name, field in pending_call.request.headers
            if name not in _SET_BY_INSTANCE
        ]
        return [
            (headers.HOST, pending_call.received.host.encode()),
            (DEADLINE_MS, str(max(int(remaining_ms), 1)).encode()),
            (EXPECTED_TARGET, dispatch.target_id.encode()),
            *forwarded,
        ]

    def judge(
        self,
        pending_call: pending.PendingCall,
        answer: exchanges.Answer,
    ) -> dialects.Judgement:
        """Classify a target's answer to a call.

        The verdict is BROKEN if the answer does not carry the request id of
        the call, SHED if the target states that it did not run the call, and
        ANSWERED otherwise. A late copy of a load report is an answer to
        another request: reads share the connections and have no request id.
        """
        fields = headers.index_fields(answer.headers).field_by_name
        answered_id = fields.get(REQUEST_ID, b'').decode('latin-1')
        load = read_load_report(fields)
        if answered_id != pending_call.received.request_id:
            return dialects.Judgement(
                events.Verdict.BROKEN,
                is_for_other_request=bool(answered_id) or load is not None,
            )
        misdirected = answer.status == _MISDIRECTED
        if misdirected or NOT_RUN in fields:
            return dialects.Judgement(
                events.Verdict.SHED,
                load=load,
                misdirected=misdirected,
            )
        return dialects.Judgement(
            events.Verdict.ANSWERED,
            load=load,
        )

    def find_fault(self, field_index: headers.FieldIndex) -> str:
        """Return a fault in the fields of a request, or an empty string.

        The request id and the host are required. The request id and the
        deadline must not be repeated.
        """
        repeated = field_index.repeated_names & _SINGLE_FIELDS
        if repeated:
            return f'{min(repeated).decode()} came more than once'
        for needed in (headers.HOST, REQUEST_ID):
            if not field_index.field_by_name.get(needed):
                return f'{needed.decode()} is missing'
        return ''

    def request_id_of(self, fields: dict[bytes, bytes]) -> str:
        """Return the request id that the caller set, or an empty string."""
        return fields.get(REQUEST_ID, b'').decode('latin-1')

    def remaining_ms_of(self, fields: dict[bytes, bytes]) -> int | None:
        """Return the ms until the caller's deadline.

        Return None if the field is missing, malformed or 0.
        """
        return headers.parse_count(fields.get(DEADLINE_MS, b'')) or None


def create() -> PlatformDialect:
    """Create the platform's dialect."""
    return PlatformDialect()


def read_target_notice(
    answer: exchanges.Answer,
) -> dialects.TargetNotice | None:
    """Return what an answer announces about its target, or None.

    A target may announce that it is leaving, limit its requests per second
    or, with status 503, state for how long it accepts no calls. A malformed
    limit is ignored. Status 421 means that the call reached another target
    than intended, so the answer is ignored.
    """
    if answer.status == _MISDIRECTED:
        return None
    leaving = (
        headers.find_field(answer.headers, SERVER_LEAVING).strip()
        == _TRUE_VALUE
    )
    rest_ms: clock.Millis | None = None
    if answer.status == _UNAVAILABLE:
        retry_after = headers.find_field(answer.headers, headers.RETRY_AFTER)
        rest_ms = headers.parse_duration_ms(retry_after.strip())
    limit_per_s = headers.parse_decimal(
        headers.find_field(answer.headers, SERVER_LIMIT).strip()
    )
    if leaving or rest_ms or limit_per_s is not None:
        return dialects.TargetNotice(leaving, rest_ms or 0, limit_per_s)
    return None


def read_load_report(fields: dict[bytes, bytes]) -> load_reports.Report | None:
    """Return the load report in the fields of an answer.

    The field holds counts separated by commas: running calls, queued calls,
    slots and, optionally, the target's slowness, which is 100 at its usual
    speed. Return None if the field is missing or malformed. The remaining ms
    of a slow start are in a field of their own; they are None if malformed.
    """
    figures = fields.get(SERVER_LOAD, b'').split(b',')
    counts = [headers.parse_count(figure.strip()) for figure in figures]
    valid_counts = [count for count in counts if count is not None]
    if (
        len(valid_counts) != len(counts)
        or len(valid_counts) < _MIN_LOAD_FIGURES
    ):
        return None
    running, queued, slots, *optional = valid_counts
    slowness = optional[0] / _SLOWNESS_UNIT if optional else 1.0
    slow_start_ms = headers.parse_decimal(
        fields.get(SLOW_START_MS, b'0').strip()
    )
    return load_reports.Report(running, queued, slots, slowness, slow_start_ms)
