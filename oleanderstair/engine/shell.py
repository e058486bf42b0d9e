"""Steps the decision code at each event and performs its actions."""

import dataclasses
import typing

import anyio
import anyio.abc

from oleanderstair import audit, clock, logs, metrics
from oleanderstair.domain import (
    actions,
    balancer,
    events,
    fingerprints,
    messages,
    outcomes,
    world,
)
from oleanderstair.engine import (
    exchanges,
    headers,
    peers,
    pending,
    platform,
    probes,
)

_NO_REASON: typing.Final = ''


class Recorder(typing.Protocol):
    """Keep the events of an instance for replay."""

    def record(self, now_ms: clock.Millis, event: events.Event) -> None:
        """Keep ``event``, which is handled at ``now_ms``."""


@dataclasses.dataclass(slots=True)
class Ports:
    """The outgoing sides of the shell."""

    clock: clock.Clock
    connections: exchanges.Connections
    configuration: platform.Configuration
    instance_list: platform.InstanceList
    endpoints: probes.TargetEndpoints
    link: peers.Link


class Shell:
    """One instance's world, its pending calls, and its outgoing sides."""

    def __init__(
        self,
        state: world.World,
        ports: Ports,
        tasks: anyio.abc.TaskGroup,
    ) -> None:
        """Run I/O for ``state`` as tasks of ``tasks``."""
        self.state = state
        self.ports = ports
        self.metrics = metrics.create()
        self.trail = audit.create()
        self.pending = pending.create()
        self.exit = anyio.Event()
        self.recorder: Recorder | None = None
        self._tasks = tasks
        self._perform_by_action: dict[
            type[actions.Action],
            typing.Callable[[typing.Any], None],
        ] = {
            actions.Dispatch: self._start(self._dispatch),
            actions.CancelAttempt: self._cancel_attempt,
            actions.Relay: self._relay,
            actions.RelayRecorded: self._relay_recorded,
            actions.RelayHome: self._relay_home,
            actions.Refuse: self._refuse,
            actions.ForwardHome: self._forward_home,
            actions.DropRecorded: self._drop_recorded,
            actions.CloseIdle: self._start(self._close_idle),
            actions.ReadValue: self._start(self._read_value),
            actions.WatchValue: self._start(self._watch_value),
            actions.ReadInstances: self._start(self._read_instances),
            actions.Probe: self._start(self._probe),
            actions.SendPeer: self._send_peer,
            actions.Audit: self.trail.record,
            actions.Count: self._count,
            actions.Observe: self._observe,
            actions.Exit: self._exit,
        }

    def handle(self, event: events.Event) -> None:
        """Step the decision code and perform what it asks for."""
        now_ms = self.ports.clock.now_ms()
        if self.recorder is not None:
            self.recorder.record(now_ms, event)
        for action in balancer.step(self.state, event, now_ms):
            self._perform_by_action[type(action)](action)

    async def call(
        self,
        received: events.CallReceived,
        request: exchanges.Request,
        origin: pending.PeerOrigin | None = None,
    ) -> pending.Reply:
        """Carry one call and return what its caller is told."""
        owed = pending.PendingCall(
            received,
            request,
            self.ports.clock.now_ms(),
            origin,
        )
        self.pending.call_by_id[received.call_id] = owed
        self.handle(received)
        try:
            await owed.replied.wait()
        except anyio.get_cancelled_exc_class():
            self.handle(events.CallerLeft(received.call_id))
            raise
        assert owed.reply is not None  # noqa: S101 (set before the event)
        self._measure(owed, owed.reply)
        return owed.reply

    async def run_ticks(self) -> None:
        """Tick until cancelled."""
        while True:
            self.handle(events.Tick())
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

    async def _dispatch(self, action: actions.Dispatch) -> None:
        owed = self.pending.call_by_id[action.call_id]
        ended = exchanges.Ended(events.Verdict.CANCELLED)
        with anyio.CancelScope() as scope:
            owed.scope_by_attempt[action.attempt_id] = scope
            started_ms = self.ports.clock.now_ms()
            ended = await self.ports.connections.exchange(
                action.target_id,
                action.address,
                owed.request,
                action.fresh,
                action.silence_ms,
            )
            owed.target_ms = self.ports.clock.now_ms() - started_ms
        owed.scope_by_attempt.pop(action.attempt_id, None)
        if ended.answer is not None:
            owed.answer_by_attempt[action.attempt_id] = ended.answer
        self.handle(
            events.AttemptEnded(
                call_id=action.call_id,
                attempt_id=action.attempt_id,
                verdict=ended.verdict,
                status=ended.answer.status if ended.answer else 0,
                leaving=_says_leaving(ended.answer),
                crashed=ended.crashed,
                answer_bytes=len(ended.answer.body) if ended.answer else 0,
            ),
        )

    def _cancel_attempt(self, action: actions.CancelAttempt) -> None:
        owed = self.pending.call_by_id.get(action.call_id)
        scope = owed and owed.scope_by_attempt.get(action.attempt_id)
        if scope:
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
        owed = self.pending.call_by_id.pop(call_id)
        owed.reply = reply
        owed.replied.set()

    def _drop_recorded(self, action: actions.DropRecorded) -> None:
        self.pending.recorded_by_call_id.pop(action.call_id, None)

    async def _close_idle(self, action: actions.CloseIdle) -> None:
        await self.ports.connections.close_idle(action.target_id)

    # Keyed calls and their homes

    def _forward_home(self, action: actions.ForwardHome) -> None:
        owed = self.pending.call_by_id[action.call_id]
        message = messages.KeyedCall(
            correlation=action.call_id,
            home=action.home,
            service=owed.received.service,
            method=owed.received.method,
            path=owed.received.path,
            key=owed.received.key,
            budget_ms=action.budget_ms,
            depth=owed.received.depth,
            headers=tuple(
                (name.decode('latin-1'), field.decode('latin-1'))
                for name, field in owed.request.headers
            ),
            body=owed.request.body,
        )
        self.ports.link.send(action.address, message)

    async def _serve_peer(
        self,
        sender: str,
        message: messages.KeyedCall,
    ) -> None:
        peer = self.state.instances.peer_by_incarnation.get(sender)
        if peer is None or message.home != self.state.identity.incarnation:
            self.metrics.count('peer-dropped', 'keyed-call')
            return
        now_ms = self.ports.clock.now_ms()
        received = events.CallReceived(
            call_id=self.pending.claim_id(),
            service=message.service,
            method=message.method,
            path=message.path,
            deadline_ms=now_ms + message.budget_ms,
            key=message.key,
            depth=message.depth,
            fingerprint=fingerprints.of_call(
                message.service,
                message.method,
                message.path,
                message.body,
            ),
            from_peer=sender,
        )
        request = exchanges.Request(
            message.method.encode(),
            message.path.encode(),
            [
                (name.encode('latin-1'), field.encode('latin-1'))
                for name, field in message.headers
            ],
            message.body,
        )
        origin = pending.PeerOrigin(
            sender,
            peer.peer_address,
            message.correlation,
        )
        reply = await self.call(received, request, origin)
        self.ports.link.send(
            peer.peer_address,
            _keyed_answer(sender, message, reply),
        )

    def _take_home_answer(
        self,
        sender: str,
        message: messages.KeyedAnswer,
    ) -> None:
        owed = self.pending.call_by_id.get(message.correlation)
        replied = _home_reply(sender, message)
        addressed = message.asker == self.state.identity.incarnation
        if owed is None or replied is None or not addressed:
            self.metrics.count('peer-dropped', 'keyed-answer')
            return
        owed.home_answer = exchanges.Answer(
            message.status,
            [
                (name.encode('latin-1'), field.encode('latin-1'))
                for name, field in message.headers
            ],
            message.body,
        )
        self.handle(replied)

    # Platform, targets and peers

    async def _read_value(self, action: actions.ReadValue) -> None:
        try:
            body = await self.ports.configuration.get(action.name)
        except platform.PlatformError as error:
            self.handle(events.ReadFailed(action.name, str(error)))
            return
        self.handle(events.ValueRead(action.name, body))

    async def _watch_value(self, action: actions.WatchValue) -> None:
        try:
            body = await self.ports.configuration.watch(
                action.name,
                action.digest,
                action.bound_ms,
            )
        except platform.PlatformError as error:
            self.handle(events.ReadFailed(action.name, str(error)))
            return
        self.handle(events.ValueRead(action.name, body))

    async def _read_instances(self, action: actions.ReadInstances) -> None:
        try:
            entries = await self.ports.instance_list.read()
        except platform.PlatformError as error:
            self.handle(events.ReadFailed('instances', str(error)))
            return
        self.handle(events.InstancesRead(entries))

    async def _probe(self, action: actions.Probe) -> None:
        started_ms = self.ports.clock.now_ms()
        report = await self.ports.endpoints.read(
            action.address,
            action.bound_ms,
        )
        took_ms = self.ports.clock.now_ms() - started_ms
        self.handle(events.ProbeEnded(action.target_id, report, took_ms))

    def _send_peer(self, action: actions.SendPeer) -> None:
        sent = self.ports.link.send(action.address, action.message)
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

    def _start(
        self,
        work: typing.Callable[
            [typing.Any],
            typing.Coroutine[typing.Any, typing.Any, None],
        ],
    ) -> typing.Callable[[typing.Any], None]:
        def perform(action: actions.Action) -> None:
            self._tasks.start_soon(work, action)

        return perform


def _keyed_answer(
    asker: str,
    message: messages.KeyedCall,
    reply: pending.Reply,
) -> messages.KeyedAnswer:
    answer = reply.answer or exchanges.Answer(0, [], b'')
    return messages.KeyedAnswer(
        correlation=message.correlation,
        home=message.home,
        outcome=reply.outcome.value,
        reason=reply.reason.value if reply.reason else _NO_REASON,
        retry_after_ms=reply.retry_after_ms,
        status=answer.status,
        headers=tuple(
            (name.decode('latin-1'), field.decode('latin-1'))
            for name, field in answer.headers
        ),
        body=answer.body,
        asker=asker,
    )


def _says_leaving(answer: exchanges.Answer | None) -> bool:
    return bool(answer and headers.find(answer.headers, headers.LEAVING))


def _home_reply(
    sender: str,
    message: messages.KeyedAnswer,
) -> events.HomeReplied | None:
    """Return the event of an answer, or None where it makes no sense."""
    try:
        outcome = outcomes.Outcome(message.outcome)
    except ValueError:
        return None
    try:
        reason = outcomes.Reason(message.reason) if message.reason else None
    except ValueError:
        reason = outcomes.Reason.HOME_LOST
    answered = reason is None
    ran = outcome is outcomes.Outcome.RAN
    if sender != message.home or answered != ran or ran != bool(message.status):
        return None
    return events.HomeReplied(
        call_id=message.correlation,
        outcome=outcome,
        reason=reason,
        retry_after_ms=message.retry_after_ms,
        home=sender,
    )
