"""Steps the decision code at each event and performs its actions.

A fault in one event or task is logged, counted and contained: the others
go on, and a call that is never settled is told ``unknown``.
"""

import asyncio
import typing

import anyio
import anyio.abc

from oleanderstair import audit, clock, logs, metrics
from oleanderstair.domain import actions, events, stepping, world
from oleanderstair.engine import attempting, exchanges, pending, settling

_SWEEP_MS: typing.Final = 1000

Perform: typing.TypeAlias = typing.Callable[[typing.Any], None]
Read: typing.TypeAlias = typing.Callable[
    [typing.Any],
    typing.Awaitable[events.Event],
]


class Recorder(typing.Protocol):
    """Keep the events of an instance for replay."""

    def record(
        self,
        now_ms: clock.Millis,
        event: events.Event,
        done: typing.Sequence[actions.Action],
    ) -> None:
        """Keep ``event``, handled at ``now_ms``, and what was decided."""

    def export(self) -> bytes:
        """Return the trace as it stands."""


class Observer(typing.Protocol):
    """Look at what was decided; it must not fail and must not wait."""

    def observe(
        self,
        now_ms: clock.Millis,
        event: events.Event,
        done: typing.Sequence[actions.Action],
    ) -> None:
        """Take ``event``, handled at ``now_ms``, and what was decided."""


class Core:
    """One instance's world, its pending calls, and what performs actions."""

    def __init__(
        self,
        state: world.World,
        step: stepping.Step,
        sides: attempting.Sides,
        tasks: anyio.abc.TaskGroup,
    ) -> None:
        """Run I/O for ``state`` as tasks of ``tasks``."""
        self.state = state
        self.sides: attempting.Sides = sides
        self.metrics = metrics.create()
        self.trail = audit.create()
        self.pending = pending.create()
        self.exit = anyio.Event()
        self.recorder: Recorder | None = None
        self.observer: Observer | None = None
        self.tasks = tasks
        self.settling = settling.create(self.pending, self.metrics)
        self.attempts = attempting.create(self, tasks)
        self._step = step
        self._swept_at_ms = clock.NEVER_MS
        self._perform_by_action: dict[type[actions.Action], Perform] = {
            actions.Dispatch: self.attempts.dispatch,
            actions.CancelAttempt: self.attempts.cancel,
            actions.CloseIdle: self.attempts.close_idle,
            actions.Relay: self.settling.relay,
            actions.Refuse: self.settling.refuse,
            actions.Schedule: self._schedule,
            actions.Audit: self.trail.record,
            actions.Count: self._count,
            actions.Observe: self._observe,
            actions.Exit: self._exit,
        }

    def perform_by(
        self,
        performs: typing.Mapping[type[actions.Action], Perform],
    ) -> None:
        """Perform further kinds of action."""
        self._perform_by_action.update(performs)

    def handle(self, event: events.Event) -> None:
        """Step the decision code and perform what it asks for."""
        now_ms = self.sides.clock.now_ms()
        try:
            wanted = self._step(self.state, event, now_ms)
        except Exception as error:
            self._keep(now_ms, event, [])
            self.report_fault(type(event).__name__, error)
            return
        self._keep(now_ms, event, wanted)
        for action in wanted:
            self._perform(action)

    async def call(
        self,
        received: events.CallReceived,
        request: exchanges.Request,
    ) -> pending.Reply:
        """Carry one call and return what its caller is told."""
        owed = pending.PendingCall(
            received,
            request,
            self.sides.clock.now_ms(),
        )
        self.pending.call_by_id[received.call_id] = owed
        self.handle(received)
        await owed.replied.wait()
        assert owed.reply is not None  # noqa: S101 (set before the event)
        self.measure(owed, owed.reply)
        return owed.reply

    def leave(self, call_id: int) -> None:
        """Note that the caller of a call has gone."""
        if call_id in self.pending.call_by_id:
            self.metrics.count('caller-left')
            self.handle(events.CallerLeft(call_id))

    def report_fault(self, where: str, error: Exception) -> None:
        """Log and count a fault that was contained."""
        self.metrics.count('faults', where)
        logs.event('fault', where=where, cause=repr(error))

    async def run_ticks(self) -> None:
        """Tick until cancelled."""
        while True:
            self.handle(events.Tick())
            try:
                self._sweep_due()
            except Exception as error:
                self.report_fault('sweep', error)
            await anyio.sleep(clock.to_seconds(self.state.policy.tick_ms))

    def sweep(self, now_ms: clock.Millis) -> None:
        """Do what is due about once a second."""
        self.sides.connections.close_aged()
        self.settling.settle_overdue(now_ms)

    def measure(
        self,
        owed: pending.PendingCall,
        reply: pending.Reply,
    ) -> None:
        """Observe the time that the system added to a call."""
        added_ms = self.sides.clock.now_ms() - owed.arrived_ms - owed.target_ms
        label = f'{self.service_of(owed)}/{reply.outcome.value}'
        self.metrics.observe('added-ms', label, max(added_ms, 0))

    def service_of(self, owed: pending.PendingCall) -> str:
        """Return the service under which a call is counted."""
        return 'all'

    def start(self, read: Read) -> Perform:
        """Return what performs an action by a read that ends as an event."""

        async def run(action: actions.Action) -> None:
            try:
                event = await read(action)
            except Exception as error:
                self.report_fault(type(action).__name__, error)
                return
            self.end_read(event)

        def perform(action: actions.Action) -> None:
            self.tasks.start_soon(run, action)

        return perform

    def end_read(self, event: events.Event) -> None:
        """Count a read and handle what it brought."""
        self.note_read(event)
        self.handle(event)

    def note_read(self, event: events.Event) -> None:
        """Count a read that ended."""
        self.metrics.count('reads', type(event).__name__)

    def _keep(
        self,
        now_ms: clock.Millis,
        event: events.Event,
        wanted: list[actions.Action],
    ) -> None:
        if self.recorder is not None:
            self.recorder.record(now_ms, event, wanted)
        if self.observer is not None:
            self._show(self.observer, now_ms, event, wanted)

    def _show(
        self,
        observer: Observer,
        now_ms: clock.Millis,
        event: events.Event,
        wanted: list[actions.Action],
    ) -> None:
        try:
            observer.observe(now_ms, event, wanted)
        except Exception as error:
            self.report_fault('observer', error)

    def _sweep_due(self) -> None:
        now_ms = self.sides.clock.now_ms()
        if now_ms - self._swept_at_ms >= _SWEEP_MS:
            self._swept_at_ms = now_ms
            self.sweep(now_ms)

    def _schedule(self, action: actions.Schedule) -> None:
        asyncio.get_running_loop().call_later(
            clock.to_seconds(action.after_ms),
            self.handle,
            action.event,
        )

    # Seeing it

    def _count(self, action: actions.Count) -> None:
        self.metrics.count(action.name, action.label, action.amount)

    def _observe(self, action: actions.Observe) -> None:
        self.metrics.observe(action.name, action.label, action.span_ms)

    def _exit(self, action: actions.Exit) -> None:
        if self.exit.is_set():
            return
        logs.event('stopped', instance=self.state.identity.incarnation)
        self.exit.set()

    def _perform(self, action: actions.Action) -> None:
        try:
            self._perform_by_action[type(action)](action)
        except Exception as error:
            self.report_fault(type(action).__name__, error)
