"""Passes each event to the decision code and performs its actions.

An exception in one event or task is logged and counted, and does not affect
the others. A call that is never settled gets the outcome ``unknown``.
"""

import asyncio
import typing

import anyio
import anyio.abc

from oleanderstair import audit, clock, logs, metrics
from oleanderstair.domain import actions, events, stepping, world
from oleanderstair.engine import (
    attempting,
    byte_ledger,
    exchanges,
    pending,
    settling,
)

_MAINTENANCE_INTERVAL_MS: typing.Final = 1000

ActionHandler: typing.TypeAlias = typing.Callable[[typing.Any], None]
Read: typing.TypeAlias = typing.Callable[
    [typing.Any],
    typing.Awaitable[events.Event],
]
ReadFailure: typing.TypeAlias = typing.Callable[
    [typing.Any, Exception],
    events.Event,
]
"""Return the event of a read whose action ended with an exception."""


class Recorder(typing.Protocol):
    """Records the events of an instance for a replay."""

    def record(
        self,
        now_ms: clock.Millis,
        event: events.Event,
        decided_actions: typing.Sequence[actions.Action],
    ) -> None:
        """Record ``event``, handled at ``now_ms``, and its actions."""

    def export(self) -> bytes:
        """Return the trace recorded so far."""


class Observer(typing.Protocol):
    """Inspects decisions; an implementation must not raise or block."""

    def observe(
        self,
        now_ms: clock.Millis,
        event: events.Event,
        decided_actions: typing.Sequence[actions.Action],
    ) -> None:
        """Inspect ``event``, handled at ``now_ms``, and its actions."""


class Runtime:
    """The state and pending calls of one instance, and its action handlers."""

    def __init__(
        self,
        state: world.World,
        step: stepping.Step,
        dependencies: attempting.AttemptDependencies,
        tasks: anyio.abc.TaskGroup,
    ) -> None:
        """Run the I/O for ``state`` in the task group ``tasks``."""
        self.state = state
        self.sides: attempting.AttemptDependencies = dependencies
        self.metrics = metrics.create()
        self.audit_trail = audit.create()
        self.pending = pending.create()
        self.exit = anyio.Event()
        self.recorder: Recorder | None = None
        self.observer: Observer | None = None
        self.ledger: byte_ledger.ByteLedger | None = None
        self.tasks = tasks
        self.settling = settling.create(self.pending, self.metrics)
        self.attempts = attempting.create(self, tasks)
        self._step = step
        self._maintained_at_ms = clock.NEVER_MS
        self._handler_by_action: dict[type[actions.Action], ActionHandler] = {
            actions.Dispatch: self.attempts.dispatch,
            actions.CancelAttempt: self.attempts.cancel,
            actions.CloseIdle: self.attempts.close_idle,
            actions.Relay: self.settling.relay,
            actions.Refuse: self.settling.refuse,
            actions.Schedule: self._schedule,
            actions.Audit: self.audit_trail.record,
            actions.Count: self._count,
            actions.Observe: self._observe,
            actions.Exit: self._exit,
        }

    def add_action_handlers(
        self,
        handler_by_action: typing.Mapping[type[actions.Action], ActionHandler],
    ) -> None:
        """Register handlers for further types of action."""
        self._handler_by_action.update(handler_by_action)

    def handle(self, event: events.Event) -> None:
        """Pass an event to the decision code and perform its actions."""
        now_ms = self.sides.clock.now_ms()
        try:
            decided_actions = self._step(self.state, event, now_ms)
        except Exception as error:
            self._record_step(now_ms, event, [])
            self.report_fault(type(event).__name__, error)
            return
        self._record_step(now_ms, event, decided_actions)
        for action in decided_actions:
            self._perform(action)

    def report_excess(
        self,
        destination: exchanges.Destination,
        ended: exchanges.ExchangeResult,
    ) -> None:
        """Log and count an answer that was too large, or gave way to others."""
        cause = ended.cause.replace(' ', '-')
        self.metrics.count('answers-given-up', f'cause={cause}')
        self.log_excess(destination.target_id, cause, ended.excess_bytes)

    def log_excess(self, target_id: str, cause: str, size: int) -> None:
        """Log an answer that was given up after ``size`` bytes."""
        logs.log_event(
            'answer-given-up', target=target_id, cause=cause, bytes=size
        )

    async def run_call(
        self,
        received: events.CallReceived,
        request: exchanges.Request,
        holding: byte_ledger.Holding | None = None,
    ) -> pending.Reply:
        """Run one call and return the reply for its caller."""
        pending_call = pending.PendingCall(
            received,
            request,
            self.sides.clock.now_ms(),
            holding=holding,
        )
        self.pending.call_by_id[received.call_id] = pending_call
        self.handle(received)
        await pending_call.replied.wait()
        assert pending_call.reply is not None  # noqa: S101 (set by then)
        self.observe_added_time(pending_call, pending_call.reply)
        return pending_call.reply

    def report_caller_left(self, call_id: int) -> None:
        """Handle the disconnect of a caller; ignore a call that is settled."""
        if call_id in self.pending.call_by_id:
            self.metrics.count('caller-left')
            self.handle(events.CallerLeft(call_id))

    def report_fault(self, where: str, error: Exception) -> None:
        """Log and count an exception that was caught."""
        self.metrics.count('faults', where)
        logs.log_event('fault', where=where, cause=repr(error))

    async def run_ticks(self) -> None:
        """Handle a tick in each tick interval until cancelled."""
        while True:
            self.handle(events.Tick())
            try:
                self._run_due_maintenance()
            except Exception as error:
                self.report_fault('sweep', error)
            await anyio.sleep(clock.to_seconds(self.state.policy.tick_ms))

    def run_maintenance(self, now_ms: clock.Millis) -> None:
        """Close expired connections and settle overdue calls."""
        self.sides.connections.close_expired()
        self.settling.settle_overdue(now_ms)

    def observe_added_time(
        self,
        pending_call: pending.PendingCall,
        reply: pending.Reply,
    ) -> None:
        """Record how long a call took in addition to its time at targets."""
        added_ms = (
            self.sides.clock.now_ms()
            - pending_call.arrived_ms
            - pending_call.target_time_ms
        )
        label = f'{self.service_label_of(pending_call)}/{reply.outcome.value}'
        self.metrics.observe('added-ms', label, max(added_ms, 0))

    def service_label_of(self, pending_call: pending.PendingCall) -> str:
        """Return the service label of a call in metrics: ``all`` by default."""
        return 'all'

    def handler_for_read(
        self, read: Read, failure_of: ReadFailure
    ) -> ActionHandler:
        """Return a handler that runs ``read`` as a task.

        The event that ``read`` returns is handled at its end. If it raises,
        that is logged and the event of ``failure_of`` is handled, so that no
        read ends without one.
        """

        async def run_read(action: actions.Action) -> None:
            try:
                event = await read(action)
            except Exception as error:
                self.report_fault(type(action).__name__, error)
                event = failure_of(action, error)
            self.finish_read(event)

        def start_read(action: actions.Action) -> None:
            self.tasks.start_soon(run_read, action)

        return start_read

    def finish_read(self, event: events.Event) -> None:
        """Count a finished read and handle its event."""
        self.count_read(event)
        self.handle(event)

    def count_read(self, event: events.Event) -> None:
        """Count a finished read by the type of its event."""
        self.metrics.count('reads', type(event).__name__)

    def _record_step(
        self,
        now_ms: clock.Millis,
        event: events.Event,
        decided_actions: list[actions.Action],
    ) -> None:
        if self.recorder is not None:
            self.recorder.record(now_ms, event, decided_actions)
        if self.observer is not None:
            self._notify_observer(self.observer, now_ms, event, decided_actions)

    def _notify_observer(
        self,
        observer: Observer,
        now_ms: clock.Millis,
        event: events.Event,
        decided_actions: list[actions.Action],
    ) -> None:
        try:
            observer.observe(now_ms, event, decided_actions)
        except Exception as error:
            self.report_fault('observer', error)

    def _run_due_maintenance(self) -> None:
        now_ms = self.sides.clock.now_ms()
        if now_ms - self._maintained_at_ms >= _MAINTENANCE_INTERVAL_MS:
            self._maintained_at_ms = now_ms
            self.run_maintenance(now_ms)

    def _schedule(self, action: actions.Schedule) -> None:
        asyncio.get_running_loop().call_later(
            clock.to_seconds(action.after_ms),
            self.handle,
            action.event,
        )

    # Metrics and exit

    def _count(self, action: actions.Count) -> None:
        self.metrics.count(action.name, action.label, action.amount)

    def _observe(self, action: actions.Observe) -> None:
        self.metrics.observe(action.name, action.label, action.span_ms)

    def _exit(self, action: actions.Exit) -> None:
        if self.exit.is_set():
            return
        logs.log_event('stopped', instance=self.state.identity.incarnation)
        self.exit.set()

    def _perform(self, action: actions.Action) -> None:
        try:
            self._handler_by_action[type(action)](action)
        except Exception as error:
            self.report_fault(type(action).__name__, error)
