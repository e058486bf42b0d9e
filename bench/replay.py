"""Replays a trace through the decision code on a virtual clock."""

import functools
import typing

from bench import traces
from oleanderstair import clock
from oleanderstair.domain import actions, events, outcomes
from oleanderstair.emulator import harness

SETTLE_MS: typing.Final = 15000
_TAIL_MS: typing.Final = 2500
_US_PER_MS: typing.Final = 1000
_FAILED: typing.Final = 500
_PLACES: typing.Final = ('trnava', 'nitra', 'senec', 'pezinok')
_PATH_BY_KIND: typing.Final = {
    'i': '/listings',
    'o': '/stock',
    'd': '/calendar',
}
_RULES: typing.Final = (
    {'path_prefix': '/listings', 'call_class': 'interactive'},
    {'path_prefix': '/stock', 'call_class': 'ordinary'},
    {'path_prefix': '/calendar', 'call_class': 'deferrable'},
)
_BEHAVIOUR_BY_FAULT: typing.Final = {
    'fail-fast': harness.Behaviour.FAIL_FAST,
    'unreachable': harness.Behaviour.UNREACHABLE,
    'serve': harness.Behaviour.SERVE,
}
_Running: typing.TypeAlias = tuple[str, int]


class Answered(typing.NamedTuple):
    """What became of one call of the trace; times in ms."""

    call: traces.Call
    latency_ms: clock.Millis
    outcome: outcomes.Outcome | None
    reason: outcomes.Reason | None
    failed: bool


class Replay(typing.NamedTuple):
    """A finished run of a trace."""

    trace: traces.Trace
    answered: list[Answered]
    shed: int
    shed_by_target: dict[str, int]
    runs: int
    dispatches: int
    attempts_beyond_first: int
    probe_times_ms: list[clock.Millis]


class Bench(harness.Harness):
    """A harness in which connections can go silent, and answers fail."""

    def __init__(self, seed: int) -> None:
        """Start with every connection alive."""
        super().__init__(seed)
        self.dead_idle: set[tuple[str, str]] = set()
        self.failed_attempts: set[_Running] = set()
        self.failed_calls: set[int] = set()
        self.dispatches = 0
        self.repeated = 0
        self.probe_times_ms: list[clock.Millis] = []
        self._perform_by_action[actions.CloseIdle] = self._close_idle

    def silence_connections(self, target_id: str) -> None:
        """Let every open connection to a target go silent."""
        self.dead_idle.update(
            (instance_id, target_id) for instance_id in self.instance_by_id
        )

    def _step(self, instance: harness.Instance, event: events.Event) -> None:
        if isinstance(event, events.AttemptEnded) and event.status >= _FAILED:
            own = instance.state.identity.instance_id
            self.failed_attempts.add((own, event.attempt_id))
        super()._step(instance, event)
        instance.action_log.clear()

    def _dispatch(self, instance_id: str, action: actions.Dispatch) -> None:
        self.dispatches += 1
        table = self.instance_by_id[instance_id].state.calls
        call = table.call_by_id[action.call_id]
        self.repeated += len(call.tried_target_ids) > 1
        dead = (instance_id, action.target_id) in self.dead_idle
        if not dead or action.fresh:
            super()._dispatch(instance_id, action)
            return
        self.later(
            action.silence_ms,
            instance_id,
            events.AttemptEnded(
                action.call_id,
                action.attempt_id,
                events.Verdict.SILENT,
            ),
        )

    def _close_idle(self, instance_id: str, action: actions.CloseIdle) -> None:
        self.dead_idle.discard((instance_id, action.target_id))

    def _relay(self, instance_id: str, action: typing.Any) -> None:
        if isinstance(action, actions.Relay):
            if (instance_id, action.attempt_id) in self.failed_attempts:
                self.failed_calls.add(action.call_id)
        super()._relay(instance_id, action)

    def _probe(self, instance_id: str, action: actions.Probe) -> None:
        self.probe_times_ms.append(self.clock.now_ms())
        super()._probe(instance_id, action)


def run(
    trace: traces.Trace,
    seed: int,
    limits: typing.Mapping[str, typing.Any],
) -> Replay:
    """Replay ``trace`` with the policy ``limits`` and one seed."""
    made = _set_up(trace, seed, limits)
    made.run_for(SETTLE_MS)
    made.probe_times_ms.clear()
    made.dispatches = 0
    start_ms = made.clock.now_ms()
    id_by_index: dict[int, int] = {}
    for index, call in enumerate(trace.calls):
        made.after(
            call.at_us / _US_PER_MS,
            functools.partial(_send, made, trace, index, id_by_index),
        )
    for fault in trace.faults:
        made.after(fault.at_ms, functools.partial(_break, made, fault, trace))
    span_ms = trace.calls[-1].at_us / _US_PER_MS
    made.run_for(span_ms + _TAIL_MS)
    return _collect(made, trace, id_by_index, start_ms)


def _set_up(
    trace: traces.Trace,
    seed: int,
    limits: typing.Mapping[str, typing.Any],
) -> Bench:
    made = Bench(seed)
    members = [
        harness.Target(_target_id(number), trace.slots)
        for number in range(trace.targets)
    ]
    for target in members:
        target.queue_limit = trace.target_queue
        target.service_time = functools.partial(_work_ms, trace, 1)
        made.add_target(target)
        target.crashing_paths = {
            _path(trace, index)
            for index, call in enumerate(trace.calls)
            if call.crashes
        }
    made.publish(
        harness.first_note(
            {trace.service: members},
            rules=_RULES,
            deadline_ms=trace.deadline_ms,
        ),
    )
    for number in range(trace.instances):
        made.add_instance(
            f'entry-{number}',
            _PLACES[number % len(_PLACES)],
            confirm_without_peers=True,
            **limits,
        )
    return made


def _target_id(number: int) -> str:
    return f'target-{number:03}'


def _path(trace: traces.Trace, index: int) -> str:
    prefix = _PATH_BY_KIND[trace.calls[index].kind]
    if trace.calls[index].crashes:
        return f'{prefix}?call=crashes'
    return f'{prefix}?call={index}'


def _work_ms(
    trace: traces.Trace,
    factor: float,
    received: events.CallReceived,
) -> clock.Millis:
    index = int(received.path.rpartition('=')[2])
    return factor * trace.calls[index].work_us / _US_PER_MS


def _send(
    made: Bench,
    trace: traces.Trace,
    index: int,
    id_by_index: dict[int, int],
) -> None:
    call = trace.calls[index]
    path = _path(trace, index)
    id_by_index[index] = made.call(
        f'entry-{call.instance}',
        service=trace.service,
        method='GET' if call.idempotent else 'POST',
        path=path,
        fingerprint=path if call.crashes else f'call-{index}',
        budget_ms=trace.deadline_ms,
    )


def _break(made: Bench, fault: traces.Fault, trace: traces.Trace) -> None:
    target = made.target_by_id[_target_id(fault.target)]
    if fault.what == 'slow':
        target.service_time = functools.partial(_work_ms, trace, fault.amount)
    elif fault.what == 'report':
        target.reported_in_flight = int(fault.amount)
    elif fault.what == 'silent-connections':
        made.silence_connections(target.target_id)
    elif fault.what == 'unreachable':
        made.crash(target.target_id)
    else:
        target.behaviour = _BEHAVIOUR_BY_FAULT[fault.what]


def _collect(
    made: Bench,
    trace: traces.Trace,
    id_by_index: dict[int, int],
    start_ms: clock.Millis,
) -> Replay:
    answered = []
    for index, call in enumerate(trace.calls):
        call_id = id_by_index[index]
        told = made.told_by_call.get(call_id)
        meant_ms = start_ms + call.at_us / _US_PER_MS
        answered.append(
            Answered(
                call=call,
                latency_ms=told.at_ms - meant_ms if told else float('inf'),
                outcome=told.outcome if told else None,
                reason=told.reason if told else None,
                failed=call_id in made.failed_calls,
            ),
        )
    shed_by_target = {
        target_id: target.shed
        for target_id, target in made.target_by_id.items()
    }
    return Replay(
        trace=trace,
        answered=answered,
        shed=sum(shed_by_target.values()),
        shed_by_target=shed_by_target,
        runs=len(made.runs),
        dispatches=made.dispatches,
        attempts_beyond_first=made.repeated,
        probe_times_ms=made.probe_times_ms,
    )
