"""Outcomes of calls, reasons for refusals and their HTTP responses."""

import enum
import http
import typing

MIN_ERROR_STATUS: typing.Final = 500
"""The lowest HTTP status that counts as a failure of the target."""


class Outcome(enum.Enum):
    """Whether a call ran at a target.

    UNKNOWN means that it may have run.
    """

    RAN = 'ran'
    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'


class Reason(enum.Enum):
    """Why an instance refused a call."""

    UNCONFIRMED = 'unconfirmed'
    CONFIGURATION_REFUSED = 'configuration-refused'
    STOPPING = 'stopping'
    PAUSED = 'paused'
    NO_SERVICE = 'no-service'
    NO_ROUTE = 'no-route'
    NO_TARGET = 'no-target'
    BAD_REQUEST = 'bad-request'
    TOO_LARGE = 'too-large'
    TOO_SLOW = 'too-slow'
    UNBOUND_KEY = 'unbound-key'
    KEY_REFUSED = 'key-refused'
    KEY_TABLE_FULL = 'key-table-full'
    KEY_FORGOTTEN = 'key-forgotten'
    KEY_MISMATCH = 'key-mismatch'
    HOME_LOST = 'home-lost'
    OVERLOADED = 'overloaded'
    NOT_ADMITTED = 'not-admitted'
    DEADLINE = 'deadline'
    CRASHES_TARGETS = 'crashes-targets'
    SUSPECTED = 'suspected'
    TARGET_REFUSED = 'target-refused'
    TARGET_LOST = 'target-lost'
    TIMEOUT = 'timeout'
    ISOLATED = 'isolated'


class RefusalResponse(typing.NamedTuple):
    """The HTTP status of a reason, and what the caller can do."""

    status: http.HTTPStatus
    remedy: str


_UNAVAILABLE = http.HTTPStatus.SERVICE_UNAVAILABLE
_BAD_REQUEST = http.HTTPStatus.BAD_REQUEST
_BAD_GATEWAY = http.HTTPStatus.BAD_GATEWAY

NOT_RUN_STATUSES: typing.Final = frozenset(
    (
        http.HTTPStatus.REQUEST_TIMEOUT,
        http.HTTPStatus.MISDIRECTED_REQUEST,
        http.HTTPStatus.TOO_MANY_REQUESTS,
        _UNAVAILABLE,
    ),
)
"""The statuses by which callers conclude that a call did not and won't run."""

RESPONSE_BY_REASON: typing.Final[typing.Mapping[Reason, RefusalResponse]] = {
    Reason.UNCONFIRMED: RefusalResponse(
        _UNAVAILABLE,
        'use another address; this instance has no confirmed note yet',
    ),
    Reason.CONFIGURATION_REFUSED: RefusalResponse(
        _UNAVAILABLE,
        'call again later; the published configuration cannot be read',
    ),
    Reason.STOPPING: RefusalResponse(
        _UNAVAILABLE,
        'ask for the addresses again; this instance is stopping',
    ),
    Reason.PAUSED: RefusalResponse(
        _UNAVAILABLE,
        'use another address; this instance was paused and must catch up',
    ),
    Reason.NO_SERVICE: RefusalResponse(
        http.HTTPStatus.NOT_FOUND,
        'name a service that a release note has added',
    ),
    Reason.NO_ROUTE: RefusalResponse(
        http.HTTPStatus.NOT_FOUND,
        'use a host and path that the configuration has a route for',
    ),
    Reason.NO_TARGET: RefusalResponse(
        _UNAVAILABLE,
        'call again later; no target of the service can take calls now',
    ),
    Reason.BAD_REQUEST: RefusalResponse(
        _BAD_REQUEST,
        'correct the request as the body says',
    ),
    Reason.TOO_LARGE: RefusalResponse(
        http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
        'send a smaller request',
    ),
    Reason.TOO_SLOW: RefusalResponse(
        http.HTTPStatus.REQUEST_TIMEOUT,
        'send the whole request without pausing',
    ),
    Reason.UNBOUND_KEY: RefusalResponse(
        _BAD_REQUEST,
        'start the key with a prefix from the address answer',
    ),
    Reason.KEY_REFUSED: RefusalResponse(
        http.HTTPStatus.CONFLICT,
        'this key was refused before; call again with a new key',
    ),
    Reason.KEY_TABLE_FULL: RefusalResponse(
        _UNAVAILABLE,
        'call again with a key of another prefix',
    ),
    Reason.KEY_FORGOTTEN: RefusalResponse(
        http.HTTPStatus.CONFLICT,
        'the record of this key is gone; look the order up',
    ),
    Reason.KEY_MISMATCH: RefusalResponse(
        http.HTTPStatus.UNPROCESSABLE_ENTITY,
        'this key was used for another request; look that order up',
    ),
    Reason.HOME_LOST: RefusalResponse(
        _BAD_GATEWAY,
        'send the same key again, or look the order up',
    ),
    Reason.OVERLOADED: RefusalResponse(
        _UNAVAILABLE,
        'call again after the time in retry-after',
    ),
    Reason.NOT_ADMITTED: RefusalResponse(
        _UNAVAILABLE,
        'call again after the time in retry-after; more urgent calls go first',
    ),
    Reason.DEADLINE: RefusalResponse(
        http.HTTPStatus.GATEWAY_TIMEOUT,
        'allow more time or call again after the time in retry-after',
    ),
    Reason.TIMEOUT: RefusalResponse(
        http.HTTPStatus.GATEWAY_TIMEOUT,
        'allow more time; the call may have run',
    ),
    Reason.CRASHES_TARGETS: RefusalResponse(
        http.HTTPStatus.UNPROCESSABLE_ENTITY,
        'do not send this request again; it made targets fail',
    ),
    Reason.SUSPECTED: RefusalResponse(
        _UNAVAILABLE,
        'change the request; targets crashed that ran it',
    ),
    Reason.TARGET_REFUSED: RefusalResponse(
        _UNAVAILABLE,
        'call again after the time in retry-after',
    ),
    Reason.TARGET_LOST: RefusalResponse(
        _BAD_GATEWAY,
        'send the same key again, or look the order up',
    ),
    Reason.ISOLATED: RefusalResponse(
        _UNAVAILABLE,
        'use another address; this instance reaches no target',
    ),
}


def refusal_status(outcome: Outcome, reason: Reason) -> http.HTTPStatus:
    """Return the HTTP status of a refusal.

    A status of ``NOT_RUN_STATUSES`` is replaced by 502 if the call may have run
    or may still run.
    """
    status = RESPONSE_BY_REASON[reason].status
    if status in NOT_RUN_STATUSES and outcome is not Outcome.NOT_RUN:
        return _BAD_GATEWAY
    return status
