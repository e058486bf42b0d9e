"""Calls of the harness at its targets, from dispatch to their end."""

import typing

from oleanderstair import clock
from oleanderstair.domain import actions, events
from oleanderstair.emulator import harness_parts

_FAILED: typing.Final = 500


class Host(typing.Protocol):
    """What calls at targets need of the harness."""

    instance_by_id: dict[str, harness_parts.Instance]
    target_by_id: dict[str, harness_parts.Target]
    runs: list[harness_parts.Run]
    on_run: list[typing.Callable[[harness_parts.Run], None]]

    def after(
        self,
        delay_ms: clock.Millis,
        work: typing.Callable[[], None],
    ) -> None:
        """Run ``work`` once ``delay_ms`` have passed."""

    def later(
        self,
        delay_ms: clock.Millis,
        instance_id: str,
        event: events.Event,
    ) -> None:
        """Give an event to an instance after a time."""

    def find(self, name: str) -> harness_parts.Instance:
        """Return an instance by its incarnation, or its id."""

    @property
    def clock(self) -> clock.VirtualClock:
        """Return the clock of the harness."""


class TargetCalls:
    """The calls under way at the targets of a harness."""

    def __init__(self, host: Host) -> None:
        """Run calls for the instances of ``host``."""
        self._host = host

    def dispatch(self, instance_id: str, action: actions.Dispatch) -> None:
        state = self._host.instance_by_id[instance_id].state
        call = state.calls.call_by_id[action.call_id]
        incarnation = state.identity.incarnation
        self._host.after(
            harness_parts.HOP_MS,
            lambda: self._arrive(incarnation, action, call.received),
        )
        self._host.later(
            action.silence_ms,
            incarnation,
            _ended(action, events.Verdict.SILENT),
        )

    def _arrive(
        self,
        instance_id: str,
        action: actions.Dispatch,
        received: events.CallReceived,
    ) -> None:
        target = self._host.target_by_id[action.target_id]
        running = (instance_id, action.attempt_id)
        if target.behaviour is harness_parts.Behaviour.UNREACHABLE:
            ended = _ended(action, events.Verdict.NOT_SENT)
            self._host.later(
                harness_parts.HOP_MS, instance_id, ended._replace(crashed=True)
            )
        elif len(target.running) < target.slots:
            self._run(instance_id, target, action, received)
        elif len(target.waiting) < target.queue_limit:
            target.waiting.append(
                (
                    running,
                    lambda: self._run(instance_id, target, action, received),
                ),
            )
        else:
            target.shed += 1
            ended = _ended(action, events.Verdict.SHED)._replace(
                retry_after_ms=harness_parts.SHED_RETRY_AFTER_MS,
                passed_on=target.passes_on,
            )
            self._host.later(
                harness_parts.HOP_MS,
                instance_id,
                ended._replace(leaving=target.leaving),
            )

    def _run(
        self,
        instance_id: str,
        target: harness_parts.Target,
        action: actions.Dispatch,
        received: events.CallReceived,
    ) -> None:
        running = (instance_id, action.attempt_id)
        target.running.add(running)
        target.most_running = max(target.most_running, len(target.running))
        started = harness_parts.Run(
            self._host.clock.now_ms(),
            target.target_id,
            received.key,
            received.fingerprint,
            received.path,
            instance_id,
            received.call_id,
        )
        self._host.runs.append(started)
        for notice in self._host.on_run:
            notice(started)
        if received.path in target.crashing_paths:
            self.crash(target.target_id)
            return
        ended = _ended(action, events.Verdict.ANSWERED)
        served_ms = target.service_time(received)
        if target.behaviour is harness_parts.Behaviour.FAIL_FAST:
            ended = ended._replace(status=_FAILED)
            served_ms = harness_parts.HOP_MS
        if target.behaviour is harness_parts.Behaviour.SILENT:
            served_ms = harness_parts.SILENT_MS
        self._host.after(
            served_ms,
            lambda: self._finish(instance_id, target, running, ended),
        )

    def _finish(
        self,
        instance_id: str,
        target: harness_parts.Target,
        running: tuple[str, int],
        ended: events.AttemptEnded,
    ) -> None:
        if running not in target.running:
            return
        target.running.discard(running)
        self._host.later(
            harness_parts.HOP_MS,
            instance_id,
            ended._replace(leaving=target.leaving),
        )
        self._take_waiting(target)

    def _take_waiting(self, target: harness_parts.Target) -> None:
        if target.waiting and len(target.running) < target.slots:
            _, start = target.waiting.pop(0)
            start()

    def crash(self, target_id: str) -> None:
        """Reset every exchange of a target; it stays unreachable."""
        target = self._host.target_by_id[target_id]
        target.behaviour = harness_parts.Behaviour.UNREACHABLE
        lost = sorted(target.running)
        target.running.clear()
        target.waiting.clear()
        for instance_id, attempt_id in lost:
            self._host.later(
                harness_parts.HOP_MS,
                instance_id,
                events.AttemptEnded(
                    self._call_of(instance_id, attempt_id),
                    attempt_id,
                    events.Verdict.BROKEN,
                    crashed=True,
                ),
            )

    def _call_of(self, instance_id: str, attempt_id: int) -> int:
        table = self._host.find(instance_id).state.calls
        for call in table.call_by_id.values():
            if any(found.attempt_id == attempt_id for found in call.attempts):
                return call.call_id
        return 0

    def cancel(self, instance_id: str, action: actions.CancelAttempt) -> None:
        state = self._host.instance_by_id[instance_id].state
        running = (state.identity.incarnation, action.attempt_id)
        for target in self._host.target_by_id.values():
            target.waiting = [
                entry for entry in target.waiting if entry[0] != running
            ]
            if running in target.running:
                target.running.discard(running)
                self._take_waiting(target)
        self._host.later(
            0,
            instance_id,
            events.AttemptEnded(
                action.call_id,
                action.attempt_id,
                events.Verdict.CANCELLED,
            ),
        )


def _ended(
    action: actions.Dispatch,
    verdict: events.Verdict,
) -> events.AttemptEnded:
    return events.AttemptEnded(action.call_id, action.attempt_id, verdict)
