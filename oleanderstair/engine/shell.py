"""Steps the decision code at each event and performs its actions.

A fault in one event or task is logged, counted and contained: the others
go on, and a call that is never settled is told ``unknown``.
"""

import typing

import anyio
import anyio.abc

from oleanderstair import audit, clock, logs, metrics
from oleanderstair.domain import actions, balancer, events, messages, world
from oleanderstair.engine import (
    attempting,
    exchanges,
    keyed,
    peers,
    pending,
    ports,
    settling,
)

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


class Shell:
    """One instance's world, its pending calls, and its outgoing sides."""

    def __init__(
        self,
        state: world.World,
        outgoing: ports.Ports,
        tasks: anyio.abc.TaskGroup,
    ) -> None:
        """Run I/O for ``state`` as tasks of ``tasks``."""
        self.state = state
        self.ports = outgoing
        self.metrics = metrics.create()
        self.trail = audit.create()
        self.pending = pending.create()
        self.exit = anyio.Event()
        self.recorder: Recorder | None = None
        self._tasks = tasks
        self._swept_at_ms = clock.NEVER_MS
        self._settling = settling.create(self.pending, self.metrics)
        self._attempts = attempting.create(self, tasks)
        self._keyed = keyed.create(self, tasks)
        self._perform_by_action: dict[type[actions.Action], Perform] = {
            actions.Dispatch: self._attempts.dispatch,
            actions.CancelAttempt: self._attempts.cancel,
            actions.Relay: self._settling.relay,
            actions.RelayRecorded: self._settling.relay_recorded,
            actions.RelayHome: self._settling.relay_home,
            actions.Refuse: self._settling.refuse,
            actions.ForwardHome: self._keyed.forward,
            actions.DropRecorded: self._settling.drop_recorded,
            actions.CloseIdle: self._attempts.close_idle,
            actions.ReadValue: self._start(outgoing.read_value),
            actions.WatchValue: self._start(outgoing.watch_value),
            actions.ReadInstances: self._start(outgoing.read_instances),
            actions.Probe: self._start(outgoing.probe),
            actions.SendPeer: self._send_peer,
            actions.Audit: self.trail.record,
            actions.Count: self._count,
            actions.Observe: self._observe,
            actions.Exit: self._exit,
        }

    def handle(self, event: events.Event) -> None:
        """Step the decision code and perform what it asks for."""
        now_ms = self.ports.clock.now_ms()
        try:
            wanted = balancer.step(self.state, event, now_ms)
        except Exception as error:
            self._keep(now_ms, event, [])
            self.report_fault(type(event).__name__, error)
            return
        self._keep(now_ms, event, wanted)
        for action in wanted:
            self._perform(action)

    def _keep(
        self,
        now_ms: clock.Millis,
        event: events.Event,
        wanted: list[actions.Action],
    ) -> None:
        if self.recorder is not None:
            self.recorder.record(now_ms, event, wanted)

    async def call(
        self,
        received: events.CallReceived,
        request: exchanges.Request,
    ) -> pending.Reply:
        """Carry one call and return what its caller is told."""
        owed = pending.PendingCall(
            received,
            request,
            self.ports.clock.now_ms(),
        )
        self.pending.call_by_id[received.call_id] = owed
        self.handle(received)
        await owed.replied.wait()
        assert owed.reply is not None  # noqa: S101 (set before the event)
        self._measure(owed, owed.reply)
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
                await self._sweep()
            except Exception as error:
                self.report_fault('sweep', error)
            await anyio.sleep(clock.to_seconds(self.state.policy.tick_ms))

    async def run_peers(self) -> None:
        """Take what peers send until cancelled."""
        while True:
            try:
                self._take(await self.ports.link.receive())
            except Exception as error:
                self.report_fault('peers', error)
                await anyio.sleep(clock.to_seconds(self.state.policy.tick_ms))

    def _take(self, heard: peers.Heard) -> None:
        if isinstance(heard.message, messages.KeyedCall):
            self._keyed.take(heard.sender, heard.message)
        elif isinstance(heard.message, messages.KeyedAnswer):
            self._keyed.take_answer(heard.sender, heard.message)
        else:
            self.handle(events.PeerHeard(heard.sender, heard.message))

    async def _sweep(self) -> None:
        now_ms = self.ports.clock.now_ms()
        if now_ms - self._swept_at_ms < _SWEEP_MS:
            return
        self._swept_at_ms = now_ms
        await self.ports.connections.close_aged()
        self._settling.settle_overdue(now_ms)

    def _send_peer(self, action: actions.SendPeer) -> None:
        sent = self.ports.link.send(
            action.address,
            action.message,
            action.incarnation,
        )
        kind = type(action.message).__name__
        self.metrics.count('peer-messages', kind)
        self.metrics.count('peer-bytes', kind, sent)

    # Seeing it

    def _count(self, action: actions.Count) -> None:
        self.metrics.count(action.name, action.label, action.amount)

    def _observe(self, action: actions.Observe) -> None:
        self.metrics.observe(action.name, action.label, action.span_ms)

    def _exit(self, action: actions.Exit) -> None:
        logs.event('stopped', instance=self.state.identity.incarnation)
        self.exit.set()

    def _note_read(self, event: events.Event) -> None:
        kind = type(event).__name__
        self.metrics.count('reads', kind)
        if isinstance(event, events.ProbeEnded):
            found = 'failed' if event.report is None else 'answered'
            self.metrics.observe('probe-ms', found, event.took_ms)

    def _measure(
        self,
        owed: pending.PendingCall,
        reply: pending.Reply,
    ) -> None:
        added_ms = self.ports.clock.now_ms() - owed.arrived_ms - owed.target_ms
        service = owed.received.service
        # A name that no note has added is the caller's own invention.
        if service not in self.state.catalogue.in_force.service_by_name:
            service = 'unknown'
        label = f'{service}/{reply.outcome.value}'
        self.metrics.observe('added-ms', label, max(added_ms, 0))

    def _perform(self, action: actions.Action) -> None:
        try:
            self._perform_by_action[type(action)](action)
        except Exception as error:
            self.report_fault(type(action).__name__, error)

    def _start(self, read: Read) -> Perform:
        async def run(action: actions.Action) -> None:
            try:
                event = await read(action)
            except Exception as error:
                self.report_fault(type(action).__name__, error)
                return
            self._note_read(event)
            self.handle(event)

        def perform(action: actions.Action) -> None:
            self._tasks.start_soon(run, action)

        return perform
