"""HTTP/1.1 exchanges with targets over a pool of connections.

A connection carries one exchange at a time.
"""

import math
import typing

import msgspec

from oleanderstair import clock
from oleanderstair.domain import events, lost_connections
from oleanderstair.engine import (
    answers,
    byte_ledger,
    headers,
    reading_turns,
    target_connections,
)

CONNECT_TIMEOUT_MS: typing.Final = 1000
"""Timeout for opening a connection; allows for one retransmitted packet."""

DEFAULT_IDLE_TIMEOUT_MS: typing.Final = 4000
"""Idle timeout for targets that send no Keep-Alive timeout; common servers
close idle connections after 5 s."""

MAX_IDLE_PER_TARGET: typing.Final = 8
"""Maximum number of idle connections to a target: two for each of 4 slots."""

MAX_OPEN_PER_TARGET: typing.Final = 16
"""Maximum number of open connections to a target if no note sets it."""

MAX_ANSWER_BYTES: typing.Final = 4_194_304
"""Maximum size of an answer, which is buffered completely before its relay."""

_STALE_IDLE_SHARE: typing.Final = 0.5
"""Idle timeout for a target after a stale connection, as a share of the idle
time of that connection."""

_MAX_STALE_ENTRIES: typing.Final = 4096
"""Maximum number of entries in ``stale_idle_ms_by_target``."""

_KEEP_ALIVE_MARGIN_MS: typing.Final = 500
"""Margin before the target's Keep-Alive timeout in which a connection is not
used."""

_MS_PER_S: typing.Final = 1000
_UNAVAILABLE: typing.Final = 503
"""HTTP status with which a target sheds a call."""

_TIMEOUT_PARAMETER: typing.Final = b'timeout='
"""Parameter of Keep-Alive with the idle timeout in s."""

Answer: typing.TypeAlias = answers.Answer


class Request(typing.NamedTuple):
    """A request to a target."""

    method: bytes
    path: bytes
    headers: headers.Fields
    body: bytes


class ExchangeResult(typing.NamedTuple):
    """The result of an exchange.

    ``answer`` is set if the verdict is ANSWERED or SHED. ``crashed`` is true if
    the connection was lost during the exchange (``AnswerFault.is_lost``) and
    the target may have received the request, ``unanswered`` if it ended before
    the first byte of the answer. ``stale`` is true if the target had probably
    ended a reused connection before it received the request. ``memory_short``
    is true if this instance had no memory for the request or the answer.
    ``excess_bytes`` is the size of what came if the answer was too large, or
    had to give way to others.
    """

    verdict: events.Verdict
    answer: Answer | None = None
    crashed: bool = False
    cause: str = ''
    unanswered: bool = False
    stale: bool = False
    memory_short: bool = False
    excess_bytes: int = 0


JudgeAnswer: typing.TypeAlias = typing.Callable[[Answer], events.Verdict | None]
"""Return the verdict of a complete answer; None if it belongs to another
request."""


class Destination(typing.NamedTuple):
    """The target of an exchange and its timeout.

    ``fresh`` requires a new connection or one with a recent answer.
    ``silence_ms`` is the timeout. ``born_ms`` is the start time of the target,
    0 if it isn't known. The bytes of the answer are counted in ``holding``,
    or for the target if the request belongs to no call. ``max_answer_bytes``
    limits the body of the answer, in addition to the limit of the pool.
    """

    target_id: str
    address: str
    fresh: bool
    silence_ms: clock.Millis
    born_ms: int = 0
    holding: byte_ledger.Holding | None = None
    max_answer_bytes: int = MAX_ANSWER_BYTES


OnAnswer: typing.TypeAlias = typing.Callable[[Destination, Answer], None]
"""Handle each complete answer, including those to other requests."""

OnExcess: typing.TypeAlias = typing.Callable[
    [Destination, ExchangeResult], None
]
"""Handle the result of an exchange whose answer was too large."""

ServiceOf: typing.TypeAlias = typing.Callable[[str], str]
"""Return the service of a target."""


class _IdleConnection(typing.NamedTuple):
    connection: target_connections.Connection
    timeout_ms: clock.Millis
    born_ms: int

    def is_usable(self) -> bool:
        """Return whether the connection may carry a request.

        It may if it is usable and its idle timeout has not passed.
        """
        idle_ms = self.connection.idle_s() * _MS_PER_S
        return idle_ms < self.timeout_ms and self.connection.is_usable()


class ConnectionPool(msgspec.Struct):
    """A pool of connections to targets.

    ``in_use_by_target`` is the number of connections in use.
    ``max_open_per_target`` is the maximum number of those and idle ones. An
    exchange that requires a fresh connection may use one that received an
    answer in the last ``max_fresh_idle_ms``. ``allows_unframed`` allows
    answers that end with their connection. ``stale_idle_ms_by_target`` is a
    shorter idle timeout for targets that silently dropped a connection.
    ``on_answer`` is called with each complete answer and the destination of
    its request, and ``on_excess`` with each exchange whose answer was too
    large. ``ledger`` counts answers, by the service that ``service_of`` returns
    for a target, and limits the bodies that a target has at a time.
    """

    max_answer_bytes: int = MAX_ANSWER_BYTES
    allows_unframed: bool = False
    max_fresh_idle_ms: clock.Millis = 0
    max_open_per_target: int = MAX_OPEN_PER_TARGET
    on_answer: OnAnswer | None = None
    on_excess: OnExcess | None = None
    service_of: ServiceOf = str
    ledger: byte_ledger.ByteLedger | None = None
    turns: reading_turns.ReadingTurns = msgspec.field(
        default_factory=reading_turns.create,
    )
    idle_by_target: dict[str, list[_IdleConnection]] = msgspec.field(
        default_factory=dict,
    )
    in_use_by_target: dict[str, int] = msgspec.field(default_factory=dict)
    stale_idle_ms_by_target: dict[str, clock.Millis] = msgspec.field(
        default_factory=dict,
    )

    async def exchange(
        self,
        destination: Destination,
        request: Request,
        judge: JudgeAnswer | None = None,
    ) -> ExchangeResult:
        """Send ``request`` and read the whole answer within the timeout.

        NOT_SENT means that no connection could be used and no byte was sent.
        ``judge`` returns the verdict of a complete answer; the default is
        ``verdict_of``, which reads the ``call-outcome`` field.
        """
        if not self._reserve(destination.target_id):
            return ExchangeResult(
                events.Verdict.NOT_SENT, cause='connection limit'
            )
        if not self._begin_send(destination, request):
            self._release(destination.target_id)
            return ExchangeResult(
                events.Verdict.NOT_SENT, cause='byte limit', memory_short=True
            )
        judge = judge or verdict_of
        connection: target_connections.Connection | None = None
        result = ExchangeResult(events.Verdict.CANCELLED)
        expected = self._expected_answer(destination, request, judge)
        try:
            connection = await self._connect(destination)
            outcome = await connection.send_request(
                _encode_request(request), expected
            )
            result = self._check_stale(
                destination, connection, _result_of(outcome, judge)
            )
        except target_connections.ConnectError as error:
            return ExchangeResult(events.Verdict.NOT_SENT, cause=str(error))
        finally:
            self._stop_counting(destination, request, expected)
            self._return_connection(destination, connection, result)
        return result

    def begin_on_idle_connection(
        self,
        destination: Destination,
        request: Request,
        judge: JudgeAnswer,
        on_end: typing.Callable[[ExchangeResult], None],
    ) -> target_connections.Cancel | None:
        """Start an exchange on an idle connection without a task.

        Return a function that cancels it, or None, with nothing sent, if there
        is no usable idle connection. ``on_end`` is called exactly once with the
        result, after this method has returned, and also after a cancel.
        """
        if not self.idle_by_target.get(destination.target_id):
            return None
        if not self._has_room(destination, request):
            return None
        encoded = _encode_request(request)
        if not self._reserve(destination.target_id):
            return None
        connection = self._take_idle_connection(destination)
        if connection is None:
            self._release(destination.target_id)
            return None

        expected = self._expected_answer(destination, request, judge)

        def finish(outcome: target_connections.ExchangeOutcome) -> None:
            self._stop_counting(destination, request, expected)
            result = self._check_stale(
                destination, connection, _result_of(outcome, judge)
            )
            self._return_connection(destination, connection, result)
            on_end(result)

        cancel = connection.begin_request(encoded, expected, finish)
        self._begin_send(destination, request)
        return cancel

    def close_idle(self, target_id: str) -> None:
        """Close all idle connections to a target."""
        for entry in self.idle_by_target.pop(target_id, []):
            entry.connection.close()

    def close_expired(self) -> None:
        """Close idle connections that are past their timeout or unusable."""
        for target_id, idle in tuple(self.idle_by_target.items()):
            usable = [entry for entry in idle if entry.is_usable()]
            for entry in idle:
                if entry not in usable:
                    entry.connection.close()
            if usable:
                self.idle_by_target[target_id] = usable
            else:
                self.idle_by_target.pop(target_id)

    def _has_room(self, destination: Destination, request: Request) -> bool:
        return self.ledger is None or self.ledger.may_send(
            destination.target_id, len(request.body)
        )

    def _begin_send(self, destination: Destination, request: Request) -> bool:
        """Count a body sent to a target; return False if it doesn't fit."""
        return self.ledger is None or self.ledger.begin_send(
            destination.target_id, len(request.body)
        )

    def _stop_counting(
        self,
        destination: Destination,
        request: Request,
        expected: target_connections.ExpectedAnswer,
    ) -> None:
        """Count neither the body that was sent nor an answer to no call."""
        if self.ledger is not None:
            self.ledger.end_send(destination.target_id, len(request.body))
        if destination.holding is None and expected.read is not None:
            expected.read.holding.release()

    def _reserve(self, target_id: str) -> bool:
        in_use = self.in_use_by_target.get(target_id, 0)
        if in_use >= self.max_open_per_target:
            return False
        self.in_use_by_target[target_id] = in_use + 1
        return True

    async def _connect(
        self, destination: Destination
    ) -> target_connections.Connection:
        connection = self._take_idle_connection(destination)
        if connection is not None:
            return connection
        self._close_surplus_idle(destination.target_id)
        return await target_connections.connect(
            destination.address,
            answers.create(self.allows_unframed),
            self.turns,
            min(CONNECT_TIMEOUT_MS, destination.silence_ms),
        )

    def _take_idle_connection(
        self, destination: Destination
    ) -> target_connections.Connection | None:
        idle = self.idle_by_target.get(destination.target_id, [])
        while idle:
            entry = idle[-1]
            idle_ms = entry.connection.idle_s() * _MS_PER_S
            if destination.fresh and idle_ms >= self.max_fresh_idle_ms:
                return None
            idle.pop()
            # A restarted target doesn't have the connection any more.
            if entry.is_usable() and entry.born_ms == destination.born_ms:
                return entry.connection
            entry.connection.close()
        return None

    def _close_surplus_idle(self, target_id: str) -> None:
        """Close the oldest idle connection if a new one exceeds the maximum."""
        idle = self.idle_by_target.get(target_id, [])
        if (
            idle
            and self._connection_count(target_id) > self.max_open_per_target
        ):
            idle.pop(0).connection.close()

    def _connection_count(self, target_id: str) -> int:
        idle = self.idle_by_target.get(target_id, [])
        return self.in_use_by_target.get(target_id, 0) + len(idle)

    def _release(self, target_id: str) -> None:
        remaining_count = self.in_use_by_target[target_id] - 1
        if remaining_count:
            self.in_use_by_target[target_id] = remaining_count
        else:
            self.in_use_by_target.pop(target_id)

    def _expected_answer(
        self,
        destination: Destination,
        request: Request,
        judge: JudgeAnswer,
    ) -> target_connections.ExpectedAnswer:
        def is_for_other_request(answer: Answer) -> bool:
            if self.on_answer is not None:
                self.on_answer(destination, answer)
            return judge(answer) is None

        return target_connections.ExpectedAnswer(
            request.method,
            is_for_other_request,
            destination.silence_ms,
            min(self.max_answer_bytes, destination.max_answer_bytes),
            self._begin_read(destination),
        )

    def _begin_read(
        self, destination: Destination
    ) -> byte_ledger.AnswerRead | None:
        holding = destination.holding
        if holding is None and self.ledger is not None:
            holding = byte_ledger.Holding(self.ledger, destination.target_id)
        if holding is None:
            return None
        return holding.begin_read(self.service_of(destination.target_id))

    def _check_stale(
        self,
        destination: Destination,
        connection: target_connections.Connection,
        result: ExchangeResult,
    ) -> ExchangeResult:
        """Return the result, marked as stale if the connection probably was.

        If so, the other idle connections to the target are closed. If it was
        idle for long, later ones get a shorter idle timeout.
        """
        if not result.unanswered:
            return result
        lost = lost_connections.LostConnection(
            is_reused=connection.uses > 1,
            idle_ms=connection.idle_before_use_s * _MS_PER_S,
            since_written_ms=connection.since_written_s() * _MS_PER_S,
            is_unreceived=connection.is_request_unreceived,
        )
        may_be_crash = lost_connections.may_be_crash(lost)
        result = result._replace(crashed=result.crashed and may_be_crash)
        if not lost_connections.is_stale(lost):
            return result
        if lost_connections.shows_idle_timeout(lost):
            self._shorten_idle_timeout(destination.target_id, lost.idle_ms)
        self.close_idle(destination.target_id)
        return result._replace(stale=True)

    def _shorten_idle_timeout(
        self, target_id: str, idle_ms: clock.Millis
    ) -> None:
        idle_ms_by_target = self.stale_idle_ms_by_target
        while len(idle_ms_by_target) >= _MAX_STALE_ENTRIES:
            idle_ms_by_target.pop(next(iter(idle_ms_by_target)))
        idle_ms_by_target[target_id] = max(
            idle_ms * _STALE_IDLE_SHARE, lost_connections.STALE_MIN_IDLE_MS
        )

    def _return_connection(
        self,
        destination: Destination,
        connection: target_connections.Connection | None,
        result: ExchangeResult,
    ) -> None:
        if result.excess_bytes and self.on_excess is not None:
            self.on_excess(destination, result)
        target_id = destination.target_id
        self._release(target_id)
        if connection is None:
            return
        idle = self.idle_by_target.setdefault(target_id, [])
        timeout_ms = min(
            _idle_timeout_of(result.answer),
            self.stale_idle_ms_by_target.get(target_id, math.inf),
        )
        is_kept = timeout_ms > 0 and connection.is_usable()
        is_below_max = (
            self._connection_count(target_id) < self.max_open_per_target
        )
        if is_kept and is_below_max and len(idle) < MAX_IDLE_PER_TARGET:
            idle.append(
                _IdleConnection(connection, timeout_ms, destination.born_ms)
            )
            return
        connection.close()
        if result.verdict is events.Verdict.SILENT and connection.uses > 1:
            # The other idle connections may be dead as well.
            self.close_idle(target_id)


def create(
    max_answer_bytes: int = MAX_ANSWER_BYTES,
    takes_unframed: bool = False,
    proof_ms: clock.Millis = 0,
) -> ConnectionPool:
    """Create an empty connection pool.

    ``takes_unframed`` allows answers that end with their connection.
    ``proof_ms`` is the maximum idle time of a connection that counts as fresh.
    """
    return ConnectionPool(max_answer_bytes, takes_unframed, proof_ms)


def is_relayed_refusal(answer: Answer) -> bool:
    """Return whether a target shed the call by relaying a refusal.

    Only this system sends ``call-reason``. The target therefore relays the
    refusal that a nested call got after its own retries.
    """
    return (
        verdict_of(answer) is events.Verdict.SHED
        and headers.find_field(answer.headers, headers.REASON) != b''
    )


def verdict_of(answer: Answer) -> events.Verdict:
    """Return SHED if the target states that the call did not run.

    That is a status of 503 with ``call-outcome: not-run``; any other answer is
    ANSWERED.
    """
    if answer.status != _UNAVAILABLE:
        return events.Verdict.ANSWERED
    if headers.find_field(answer.headers, headers.OUTCOME) == b'not-run':
        return events.Verdict.SHED
    return events.Verdict.ANSWERED


def _result_of(
    outcome: target_connections.ExchangeOutcome, judge: JudgeAnswer
) -> ExchangeResult:
    if outcome is None:
        return ExchangeResult(events.Verdict.SILENT)
    if isinstance(outcome, target_connections.Cancelled):
        return ExchangeResult(events.Verdict.CANCELLED)
    if isinstance(outcome, answers.AnswerFault):
        return ExchangeResult(
            events.Verdict.BROKEN,
            crashed=outcome.is_lost,
            cause=outcome.cause,
            unanswered=outcome.is_unanswered,
            memory_short=outcome.is_memory_short,
            excess_bytes=outcome.excess_bytes,
        )
    verdict = judge(outcome)
    if verdict is None or verdict is events.Verdict.BROKEN:
        return ExchangeResult(
            events.Verdict.BROKEN, cause='answer to another request'
        )
    return ExchangeResult(verdict, outcome)


def _encode_request(request: Request) -> target_connections.EncodedRequest:
    lines = [b'%b %b HTTP/1.1' % (request.method, request.path)]
    lines.extend(b'%b: %b' % field for field in request.headers)
    head = b'\r\n'.join([*lines, b'', b''])
    return target_connections.EncodedRequest(head, request.body)


def _idle_timeout_of(answer: Answer | None) -> clock.Millis:
    """Return the idle timeout after an answer; up to 0 to close the connection.

    A Keep-Alive timeout below the margin gives a negative result.
    """
    if answer is None:
        return 0
    for part in headers.find_field(answer.headers, headers.KEEP_ALIVE).split(
        b','
    ):
        name, _, value = part.strip().lower().partition(_TIMEOUT_PARAMETER)
        seconds = headers.parse_count(value.strip())
        if not name and seconds is not None:
            return seconds * _MS_PER_S - _KEEP_ALIVE_MARGIN_MS
    return DEFAULT_IDLE_TIMEOUT_MS
