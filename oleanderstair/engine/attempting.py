"""Attempts at targets: starts, cancels and ends them."""

import typing

import anyio
import anyio.abc

from oleanderstair import clock, logs, metrics
from oleanderstair.domain import actions, events
from oleanderstair.engine import dialects, exchanges, pending


class Sides(typing.Protocol):
    """The sides of an instance that attempts use."""

    @property
    def clock(self) -> clock.Clock:
        """Return the clock that all decisions go by."""

    @property
    def connections(self) -> exchanges.Connections:
        """Return the connections to targets."""

    @property
    def dialect(self) -> dialects.Dialect:
        """Return what is said to targets beside the call."""


class Host(typing.Protocol):
    """What attempts need of the shell."""

    sides: Sides
    pending: pending.PendingTable
    metrics: metrics.Metrics

    def handle(self, event: events.Event) -> None:
        """Step the decision code and perform what it asks for."""

    def report_fault(self, where: str, error: Exception) -> None:
        """Log and count a fault that was contained."""


class Attempts:
    """The attempts under way for the calls of one shell."""

    def __init__(self, host: Host, tasks: anyio.abc.TaskGroup) -> None:
        """Run attempts for ``host`` as tasks of ``tasks``."""
        self._host = host
        self._tasks = tasks

    def dispatch(self, action: actions.Dispatch) -> None:
        """Start an attempt; it reports its end as an event."""
        owed = self._host.pending.call_by_id.get(action.call_id)
        try:
            if owed is not None and self._begin_kept(action, owed):
                return
        except Exception as error:
            # Nothing was written, and the task reports its own end.
            self._host.report_fault('exchange', error)
        # The scope stands before the task runs, so no cancel comes too early.
        scope = anyio.CancelScope()
        self._host.pending.cancel_by_attempt[action.attempt_id] = scope.cancel
        self._tasks.start_soon(self._attempt, action, scope)

    def _begin_kept(
        self,
        action: actions.Dispatch,
        owed: pending.PendingCall,
    ) -> bool:
        """Attempt on a kept connection, without a task."""
        started_ms = self._host.sides.clock.now_ms()
        judge = _Judge(self._host.sides.dialect, owed)

        def take(ended: exchanges.Ended) -> None:
            self._end(action, owed, judge, ended, started_ms)

        cancel = self._host.sides.connections.begin_kept(
            _place_of(action),
            self._request_of(action, owed),
            judge.verdict_of,
            take,
        )
        if cancel is None:
            return False
        self._host.pending.cancel_by_attempt[action.attempt_id] = cancel
        self._note_start(owed, started_ms)
        return True

    async def _attempt(
        self,
        action: actions.Dispatch,
        scope: anyio.CancelScope,
    ) -> None:
        owed = self._host.pending.call_by_id.get(action.call_id)
        started_ms = self._host.sides.clock.now_ms()
        ended = exchanges.Ended(events.Verdict.CANCELLED)
        judge = _Judge(self._host.sides.dialect, owed)
        if owed is None:
            ended = exchanges.Ended(events.Verdict.NOT_SENT, what='call gone')
        else:
            self._note_start(owed, started_ms)
            with scope:
                ended = await self._exchange(action, owed, judge)
        self._end(action, owed, judge, ended, started_ms)

    def _end(
        self,
        action: actions.Dispatch,
        owed: pending.PendingCall | None,
        judge: '_Judge',
        ended: exchanges.Ended,
        started_ms: clock.Millis,
    ) -> None:
        if owed is not None:
            owed.target_ms += self._host.sides.clock.now_ms() - started_ms
            if ended.answer is not None:
                owed.answer_by_attempt[action.attempt_id] = ended.answer
        self._host.pending.cancel_by_attempt.pop(action.attempt_id, None)
        self._note_attempt(action, ended, owed)
        self._host.handle(_attempt_ended(action, ended, judge))

    async def _exchange(
        self,
        action: actions.Dispatch,
        owed: pending.PendingCall,
        judge: '_Judge',
    ) -> exchanges.Ended:
        try:
            return await self._host.sides.connections.exchange(
                _place_of(action),
                self._request_of(action, owed),
                judge.verdict_of,
            )
        except Exception as error:
            self._host.report_fault('exchange', error)
            return exchanges.Ended(events.Verdict.BROKEN, what=repr(error))

    def _request_of(
        self,
        action: actions.Dispatch,
        owed: pending.PendingCall,
    ) -> exchanges.Request:
        sides = self._host.sides
        left_ms = owed.received.deadline_ms - sides.clock.now_ms()
        remaining_ms = min(left_ms, action.budget_ms)
        fields = sides.dialect.fields_for(owed, action, remaining_ms)
        return owed.request._replace(headers=fields)

    def _note_start(
        self,
        owed: pending.PendingCall,
        now_ms: clock.Millis,
    ) -> None:
        service = owed.received.service
        owed.attempts += 1
        if owed.attempts > 1:
            self._host.metrics.count('further-attempts', service)
            return
        self._host.metrics.observe(
            'queue-ms', service, now_ms - owed.arrived_ms
        )

    def _note_attempt(
        self,
        action: actions.Dispatch,
        ended: exchanges.Ended,
        owed: pending.PendingCall | None,
    ) -> None:
        self._host.metrics.count('attempts', ended.verdict.value)
        if ended.what:
            logs.event(
                'attempt-failed',
                id=owed.received.request_id if owed else '',
                call=action.call_id,
                attempt=action.attempt_id,
                target=action.target_id,
                verdict=ended.verdict.value,
                cause=ended.what,
            )

    def cancel(self, action: actions.CancelAttempt) -> None:
        """Abandon an attempt and close its connection."""
        cancel = self._host.pending.cancel_by_attempt.get(action.attempt_id)
        if cancel is not None:
            cancel()

    def close_idle(self, action: actions.CloseIdle) -> None:
        """Close the idle connections to a target."""
        self._host.sides.connections.close_idle(action.target_id)


class _Judge:
    """What the newest whole answer to a call proves, judged once."""

    def __init__(
        self,
        dialect: dialects.Dialect,
        owed: pending.PendingCall | None,
    ) -> None:
        self.judged: dialects.Judgement | None = None
        self._dialect = dialect
        self._owed = owed
        self._answer: exchanges.Answer | None = None

    def verdict_of(self, answer: exchanges.Answer) -> events.Verdict | None:
        if self._owed is None:
            return None
        if answer is not self._answer:
            self._answer = answer
            self.judged = self._dialect.judge(self._owed, answer)
        if self.judged is None or self.judged.other:
            return None
        return self.judged.verdict


def create(host: Host, tasks: anyio.abc.TaskGroup) -> Attempts:
    """Create the attempts of a shell, none under way."""
    return Attempts(host, tasks)


def _place_of(action: actions.Dispatch) -> exchanges.Place:
    return exchanges.Place(
        action.target_id,
        action.address,
        action.fresh,
        action.silence_ms,
        action.born_ms,
    )


def _attempt_ended(
    action: actions.Dispatch,
    ended: exchanges.Ended,
    judge: _Judge,
) -> events.AttemptEnded:
    answer = ended.answer
    judged = judge.judged
    if answer is None or judged is None:
        return events.AttemptEnded(
            action.call_id,
            action.attempt_id,
            ended.verdict,
            crashed=ended.crashed,
            unanswered=ended.unanswered,
            stale=ended.stale,
        )
    return events.AttemptEnded(
        action.call_id,
        action.attempt_id,
        ended.verdict,
        answer.status,
        judged.retry_after_ms,
        leaving=judged.leaving,
        answer_bytes=len(answer.body),
        passed_on=judged.passed_on,
        load=judged.load,
        misdirected=judged.misdirected,
    )
