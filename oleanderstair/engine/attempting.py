"""Starts, cancels and finishes the attempts of calls at targets."""

import typing

import anyio
import anyio.abc

from oleanderstair import clock, logs, metrics
from oleanderstair.domain import actions, events
from oleanderstair.engine import dialects, exchanges, pending


class AttemptDependencies(typing.Protocol):
    """The clock and the clients that attempts use."""

    @property
    def clock(self) -> clock.Clock:
        """Return the clock of the instance."""

    @property
    def connections(self) -> exchanges.ConnectionPool:
        """Return the connection pool for targets."""

    @property
    def dialect(self) -> dialects.Dialect:
        """Return the header fields and verdicts used with targets."""


class AttemptHost(typing.Protocol):
    """The part of the runtime that attempts use."""

    sides: AttemptDependencies
    pending: pending.PendingTable
    metrics: metrics.Metrics

    def handle(self, event: events.Event) -> None:
        """Pass an event to the decision code and perform its actions."""

    def report_fault(self, where: str, error: Exception) -> None:
        """Log and count an exception that was caught."""


class AttemptRunner:
    """Runs the attempts for the calls of one instance."""

    def __init__(self, host: AttemptHost, tasks: anyio.abc.TaskGroup) -> None:
        """Run attempts for ``host`` in the task group ``tasks``."""
        self._host = host
        self._tasks = tasks

    def dispatch(self, action: actions.Dispatch) -> None:
        """Start an attempt; its end is handled as an ``AttemptEnded`` event."""
        pending_call = self._host.pending.call_by_id.get(action.call_id)
        try:
            if pending_call is not None and self._begin_on_idle_connection(
                action, pending_call
            ):
                return
        except Exception as error:
            # Nothing was sent yet, so the attempt goes on as a task.
            self._host.report_fault('exchange', error)
        # Registered before the task runs, so that a cancel always finds it.
        scope = anyio.CancelScope()
        self._host.pending.cancel_by_attempt[action.attempt_id] = scope.cancel
        self._tasks.start_soon(self._run_attempt, action, scope)

    def _begin_on_idle_connection(
        self,
        action: actions.Dispatch,
        pending_call: pending.PendingCall,
    ) -> bool:
        """Start an attempt on an idle connection without a task.

        Return False, with nothing sent, if there is no usable connection.
        """
        started_ms = self._host.sides.clock.now_ms()
        judge = _AnswerJudge(self._host.sides.dialect, pending_call)

        def finish(result: exchanges.ExchangeResult) -> None:
            self._finish_attempt(
                action, pending_call, judge, result, started_ms
            )

        cancel = self._host.sides.connections.begin_on_idle_connection(
            _destination_of(action, pending_call),
            self._build_request(action, pending_call),
            judge.verdict_of,
            finish,
        )
        if cancel is None:
            return False
        self._host.pending.cancel_by_attempt[action.attempt_id] = cancel
        self._count_start(pending_call, started_ms)
        return True

    async def _run_attempt(
        self,
        action: actions.Dispatch,
        scope: anyio.CancelScope,
    ) -> None:
        pending_call = self._host.pending.call_by_id.get(action.call_id)
        started_ms = self._host.sides.clock.now_ms()
        result = exchanges.ExchangeResult(events.Verdict.CANCELLED)
        judge = _AnswerJudge(self._host.sides.dialect, pending_call)
        if pending_call is None:
            result = exchanges.ExchangeResult(
                events.Verdict.NOT_SENT, cause='call already settled'
            )
        else:
            self._count_start(pending_call, started_ms)
            with scope:
                result = await self._exchange(action, pending_call, judge)
        self._finish_attempt(action, pending_call, judge, result, started_ms)

    def _finish_attempt(
        self,
        action: actions.Dispatch,
        pending_call: pending.PendingCall | None,
        judge: '_AnswerJudge',
        result: exchanges.ExchangeResult,
        started_ms: clock.Millis,
    ) -> None:
        if pending_call is not None:
            pending_call.target_time_ms += (
                self._host.sides.clock.now_ms() - started_ms
            )
            if result.answer is not None:
                pending_call.answer_by_attempt[action.attempt_id] = (
                    result.answer
                )
        self._host.pending.cancel_by_attempt.pop(action.attempt_id, None)
        self._report_end(action, result, pending_call)
        self._host.handle(_build_ended_event(action, result, judge))

    async def _exchange(
        self,
        action: actions.Dispatch,
        pending_call: pending.PendingCall,
        judge: '_AnswerJudge',
    ) -> exchanges.ExchangeResult:
        try:
            return await self._host.sides.connections.exchange(
                _destination_of(action, pending_call),
                self._build_request(action, pending_call),
                judge.verdict_of,
            )
        except Exception as error:
            self._host.report_fault('exchange', error)
            return exchanges.ExchangeResult(
                events.Verdict.BROKEN, cause=repr(error)
            )

    def _build_request(
        self,
        action: actions.Dispatch,
        pending_call: pending.PendingCall,
    ) -> exchanges.Request:
        dependencies = self._host.sides
        until_deadline_ms = (
            pending_call.received.deadline_ms - dependencies.clock.now_ms()
        )
        remaining_ms = min(until_deadline_ms, action.budget_ms)
        fields = dependencies.dialect.fields_for(
            pending_call, action, remaining_ms
        )
        return pending_call.request._replace(headers=fields)

    def _count_start(
        self,
        pending_call: pending.PendingCall,
        now_ms: clock.Millis,
    ) -> None:
        service = pending_call.received.service
        pending_call.attempts += 1
        if pending_call.attempts > 1:
            self._host.metrics.count('further-attempts', service)
            return
        self._host.metrics.observe(
            'queue-ms', service, now_ms - pending_call.arrived_ms
        )

    def _report_end(
        self,
        action: actions.Dispatch,
        result: exchanges.ExchangeResult,
        pending_call: pending.PendingCall | None,
    ) -> None:
        self._host.metrics.count('attempts', result.verdict.value)
        if result.cause:
            logs.log_event(
                'attempt-failed',
                id=pending_call.received.request_id if pending_call else '',
                call=action.call_id,
                attempt=action.attempt_id,
                target=action.target_id,
                verdict=result.verdict.value,
                cause=result.cause,
                crashed=result.crashed,
                unanswered=result.unanswered,
                stale=result.stale,
            )

    def cancel(self, action: actions.CancelAttempt) -> None:
        """Cancel an attempt and close its connection."""
        cancel = self._host.pending.cancel_by_attempt.get(action.attempt_id)
        if cancel is not None:
            cancel()

    def close_idle(self, action: actions.CloseIdle) -> None:
        """Close the idle connections to a target."""
        self._host.sides.connections.close_idle(action.target_id)


class _AnswerJudge:
    """Judges the complete answers to an attempt; caches the newest result."""

    def __init__(
        self,
        dialect: dialects.Dialect,
        pending_call: pending.PendingCall | None,
    ) -> None:
        self.judgement: dialects.Judgement | None = None
        self._dialect = dialect
        self._pending_call = pending_call
        self._answer: exchanges.Answer | None = None

    def verdict_of(self, answer: exchanges.Answer) -> events.Verdict | None:
        if self._pending_call is None:
            return None
        if answer is not self._answer:
            self._answer = answer
            self.judgement = self._dialect.judge(self._pending_call, answer)
        if self.judgement is None or self.judgement.is_for_other_request:
            return None
        return self.judgement.verdict


def create(host: AttemptHost, tasks: anyio.abc.TaskGroup) -> AttemptRunner:
    """Create the runner of attempts for ``host``."""
    return AttemptRunner(host, tasks)


def _destination_of(
    action: actions.Dispatch, pending_call: pending.PendingCall
) -> exchanges.Destination:
    return exchanges.Destination(
        action.target_id,
        action.address,
        action.fresh,
        action.silence_ms,
        action.born_ms,
        pending_call.holding,
    )


def _build_ended_event(
    action: actions.Dispatch,
    result: exchanges.ExchangeResult,
    judge: _AnswerJudge,
) -> events.AttemptEnded:
    answer = result.answer
    judgement = judge.judgement
    if answer is None or judgement is None:
        return events.AttemptEnded(
            action.call_id,
            action.attempt_id,
            result.verdict,
            crashed=result.crashed,
            unanswered=result.unanswered,
            stale=result.stale,
            memory_short=result.memory_short,
        )
    return events.AttemptEnded(
        action.call_id,
        action.attempt_id,
        result.verdict,
        answer.status,
        judgement.retry_after_ms,
        leaving=judgement.leaving,
        answer_bytes=len(answer.body),
        passed_on=judgement.passed_on,
        load=judgement.load,
        misdirected=judgement.misdirected,
    )
