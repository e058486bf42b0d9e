"""Steps the decision code at each event and performs its actions.

A fault in one event or task is logged, counted and contained: the others
go on, and a call that is never settled is told ``unknown``.
"""

import typing

import anyio
import anyio.abc

from oleanderstair import audit, clock, logs, metrics
from oleanderstair.domain import (
    actions,
    balancer,
    events,
    messages,
    outcomes,
    world,
)
from oleanderstair.engine import (
    exchanges,
    forwarding,
    headers,
    pending,
    ports,
)

_SWEEP_MS: typing.Final = 1000
_OVERDUE_MS: typing.Final = 2000

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
        self._perform_by_action: dict[type[actions.Action], Perform] = {
            actions.Dispatch: self._dispatch,
            actions.CancelAttempt: self._cancel_attempt,
            actions.Relay: self._relay,
            actions.RelayRecorded: self._relay_recorded,
            actions.RelayHome: self._relay_home,
            actions.Refuse: self._refuse,
            actions.ForwardHome: self._forward_home,
            actions.DropRecorded: self._drop_recorded,
            actions.CloseIdle: self._close_idle,
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
            await self._sweep()
            await anyio.sleep(clock.to_seconds(self.state.policy.tick_ms))

    async def run_peers(self) -> None:
        """Take what peers send until cancelled."""
        while True:
            heard = await self.ports.link.receive()
            if isinstance(heard.message, messages.KeyedCall):
                self._tasks.start_soon(
                    self._serve_peer,
                    heard.sender,
                    heard.message,
                )
            elif isinstance(heard.message, messages.KeyedAnswer):
                self._take_home_answer(heard.sender, heard.message)
            else:
                self.handle(events.PeerHeard(heard.sender, heard.message))

    # Calls

    def _dispatch(self, action: actions.Dispatch) -> None:
        # The scope stands before the task runs, so no cancel comes too early.
        scope = anyio.CancelScope()
        self.pending.scope_by_attempt[action.attempt_id] = scope
        self._tasks.start_soon(self._attempt, action, scope)

    async def _attempt(
        self,
        action: actions.Dispatch,
        scope: anyio.CancelScope,
    ) -> None:
        owed = self.pending.call_by_id.get(action.call_id)
        started_ms = self.ports.clock.now_ms()
        ended = exchanges.Ended(events.Verdict.CANCELLED)
        if owed is None:
            ended = exchanges.Ended(events.Verdict.NOT_SENT, what='call gone')
        else:
            with scope:
                ended = await self._exchange(action, owed)
            owed.target_ms += self.ports.clock.now_ms() - started_ms
            if ended.answer is not None:
                owed.answer_by_attempt[action.attempt_id] = ended.answer
        self.pending.scope_by_attempt.pop(action.attempt_id, None)
        self._note_attempt(action, ended)
        self.handle(_attempt_ended(action, ended))

    async def _exchange(
        self,
        action: actions.Dispatch,
        owed: pending.PendingCall,
    ) -> exchanges.Ended:
        place = exchanges.Place(
            action.target_id,
            action.address,
            action.fresh,
            action.silence_ms,
        )
        received = owed.received
        request = owed.request._replace(
            headers=headers.for_target(
                owed.request.headers,
                received.service,
                received.depth,
                received.deadline_ms - self.ports.clock.now_ms(),
            ),
        )
        try:
            return await self.ports.connections.exchange(place, request)
        except Exception as error:
            self.report_fault('exchange', error)
            return exchanges.Ended(events.Verdict.BROKEN, what=repr(error))

    def _note_attempt(
        self,
        action: actions.Dispatch,
        ended: exchanges.Ended,
    ) -> None:
        self.metrics.count('attempts', ended.verdict.value)
        if ended.what:
            logs.event(
                'attempt-failed',
                call=action.call_id,
                target=action.target_id,
                verdict=ended.verdict.value,
                cause=ended.what,
            )

    def _cancel_attempt(self, action: actions.CancelAttempt) -> None:
        scope = self.pending.scope_by_attempt.get(action.attempt_id)
        if scope is not None:
            scope.cancel()

    def _relay(self, action: actions.Relay) -> None:
        owed = self.pending.call_by_id[action.call_id]
        answer = owed.answer_by_attempt[action.attempt_id]
        if action.record:
            self.pending.recorded_by_call_id[action.call_id] = answer
        self._reply(
            action.call_id,
            pending.Reply(outcomes.Outcome.RAN, answer=answer),
        )

    def _relay_recorded(self, action: actions.RelayRecorded) -> None:
        answer = self.pending.recorded_by_call_id[action.source_call_id]
        self._reply(
            action.call_id,
            pending.Reply(outcomes.Outcome.RAN, answer=answer),
        )

    def _relay_home(self, action: actions.RelayHome) -> None:
        owed = self.pending.call_by_id[action.call_id]
        self._reply(
            action.call_id,
            pending.Reply(outcomes.Outcome.RAN, answer=owed.home_answer),
        )

    def _refuse(self, action: actions.Refuse) -> None:
        self.metrics.count('refused', action.reason.value)
        self._reply(
            action.call_id,
            pending.Reply(
                action.outcome,
                action.reason,
                action.retry_after_ms,
                action.detail,
            ),
        )

    def _reply(self, call_id: int, reply: pending.Reply) -> None:
        owed = self.pending.call_by_id.pop(call_id, None)
        if owed is None:
            self.metrics.count('late-replies')
            return
        owed.reply = reply
        owed.replied.set()

    def _drop_recorded(self, action: actions.DropRecorded) -> None:
        self.pending.recorded_by_call_id.pop(action.call_id, None)

    def _close_idle(self, action: actions.CloseIdle) -> None:
        self._tasks.start_soon(
            self.ports.connections.close_idle,
            action.target_id,
        )

    async def _sweep(self) -> None:
        now_ms = self.ports.clock.now_ms()
        if now_ms - self._swept_at_ms < _SWEEP_MS:
            return
        self._swept_at_ms = now_ms
        await self.ports.connections.close_aged()
        overdue = [
            call_id
            for call_id, owed in self.pending.call_by_id.items()
            if owed.received.deadline_ms + _OVERDUE_MS < now_ms
        ]
        for late_id in overdue:
            self.metrics.count('overdue')
            self._reply(late_id, _NEVER_SETTLED)

    # Keyed calls and their homes

    def _forward_home(self, action: actions.ForwardHome) -> None:
        owed = self.pending.call_by_id[action.call_id]
        owed.home = action.home
        message = forwarding.to_message(owed, action.home, action.budget_ms)
        self.ports.link.send(action.address, message, action.home)

    async def _serve_peer(
        self,
        sender: str,
        message: messages.KeyedCall,
    ) -> None:
        peer = self.state.instances.peer_by_incarnation.get(sender)
        if peer is None or message.home != self.state.identity.incarnation:
            self.metrics.count('peer-dropped', 'keyed-call')
            return
        received = forwarding.to_event(
            message,
            self.pending.claim_id(),
            sender,
            self.ports.clock.now_ms(),
        )
        try:
            request = forwarding.to_request(message)
        except ValueError as error:
            self.report_fault('keyed-call', error)
            return
        reply = await self.call(received, request)
        self.ports.link.send(
            peer.peer_address,
            forwarding.to_answer_message(sender, message, reply),
        )

    def _take_home_answer(
        self,
        sender: str,
        message: messages.KeyedAnswer,
    ) -> None:
        owed = self.pending.call_by_id.get(message.correlation)
        event = forwarding.to_home_reply(sender, message)
        addressed = message.asker == self.state.identity.incarnation
        if owed is None or event is None or not addressed:
            self.metrics.count('peer-dropped', 'keyed-answer')
            return
        try:
            owed.home_answer = forwarding.to_answer(message)
        except ValueError as error:
            self.report_fault('keyed-answer', error)
            return
        self.handle(event)

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

    def _measure(
        self,
        owed: pending.PendingCall,
        reply: pending.Reply,
    ) -> None:
        added_ms = self.ports.clock.now_ms() - owed.arrived_ms - owed.target_ms
        label = f'{owed.received.service}/{reply.outcome.value}'
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
            self.handle(event)

        def perform(action: actions.Action) -> None:
            self._tasks.start_soon(run, action)

        return perform


_NEVER_SETTLED: typing.Final = pending.Reply(
    outcomes.Outcome.UNKNOWN,
    outcomes.Reason.TARGET_LOST,
    detail='the call was not settled in time',
)


def _attempt_ended(
    action: actions.Dispatch,
    ended: exchanges.Ended,
) -> events.AttemptEnded:
    answer = ended.answer
    if answer is None:
        return events.AttemptEnded(
            action.call_id,
            action.attempt_id,
            ended.verdict,
            crashed=ended.crashed,
        )
    return events.AttemptEnded(
        action.call_id,
        action.attempt_id,
        ended.verdict,
        answer.status,
        headers.read_retry_after_ms(answer.headers),
        leaving=bool(headers.find(answer.headers, headers.LEAVING)),
        answer_bytes=len(answer.body),
    )
