"""A record of events, actions and runs, as input of the outcome checks."""

import typing

import msgspec

from oleanderstair import clock
from oleanderstair.domain import actions, events, world
from oleanderstair.domain.calls import call_rules
from oleanderstair.domain.proof import evidence


class Record(msgspec.Struct):
    """The events and actions of instances, and the runs at targets.

    Runs are recorded in tests only; a trace has none.
    """

    receipt_by_call: dict[evidence.CallRef, evidence.Receipt] = msgspec.field(
        default_factory=dict,
    )
    answers: list[evidence.TimedAction] = msgspec.field(default_factory=list)
    dispatches: list[evidence.TimedAction] = msgspec.field(default_factory=list)
    ending_by_attempt: dict[evidence.CallRef, events.AttemptEnded] = (
        msgspec.field(
            default_factory=dict,
        )
    )
    home_reply_by_call: dict[evidence.CallRef, events.HomeReplied] = (
        msgspec.field(
            default_factory=dict,
        )
    )
    abandoned_calls: set[evidence.CallRef] = msgspec.field(default_factory=set)
    leaving_reports: list[evidence.LeavingReport] = msgspec.field(
        default_factory=list
    )
    probes: list[evidence.TimedProbe] = msgspec.field(default_factory=list)
    adopted_notes: list[evidence.AdoptedNote] = msgspec.field(
        default_factory=list
    )
    stop_at_ms_by_instance: dict[str, clock.Millis] = msgspec.field(
        default_factory=dict,
    )
    exit_at_ms_by_instance: dict[str, clock.Millis] = msgspec.field(
        default_factory=dict,
    )
    start_at_ms_by_instance: dict[str, clock.Millis] = msgspec.field(
        default_factory=dict,
    )
    crash_at_ms_by_instance: dict[str, clock.Millis] = msgspec.field(
        default_factory=dict,
    )
    runs: list[evidence.Run] = msgspec.field(default_factory=list)
    partitions: list[evidence.Partition] = msgspec.field(default_factory=list)
    ended_at_ms: clock.Millis = 0
    note_by_instance: dict[str, evidence.AdoptedNote] = msgspec.field(
        default_factory=dict,
    )
    _target_ids_by_instance: dict[str, frozenset[str]] = msgspec.field(
        default_factory=dict,
    )

    def record_step(
        self,
        state: world.World,
        event: events.Event,
        taken: typing.Sequence[actions.Action],
        now_ms: clock.Millis,
    ) -> None:
        """Record an event of an instance and the actions taken on it."""
        instance = state.identity.incarnation
        self.ended_at_ms = max(self.ended_at_ms, now_ms)
        self.start_at_ms_by_instance.setdefault(instance, now_ms)
        self._record_event(state, event, now_ms)
        self._record_note(state, now_ms)
        for action in taken:
            self._record_action(state, action, now_ms)

    def can_reach(
        self,
        sender: str,
        receiver: str,
        from_ms: clock.Millis,
        until_ms: clock.Millis,
    ) -> bool:
        """Return whether the sender could reach the receiver all the time.

        True if no recorded partition separated them within the given time.
        """
        if sender == receiver:
            return True
        return not any(
            partition.from_ms < until_ms
            and partition.until_ms > from_ms
            and _separates(partition, sender, receiver)
            for partition in self.partitions
        )

    def _record_event(
        self,
        state: world.World,
        event: events.Event,
        now_ms: clock.Millis,
    ) -> None:
        instance = state.identity.incarnation
        match event:
            case events.CallReceived():
                self._record_receipt(state, event, now_ms)
            case events.CallerLeft():
                self.abandoned_calls.add((instance, event.call_id))
            case events.HomeReplied():
                ref = (instance, event.call_id)
                self.home_reply_by_call.setdefault(ref, event)
            case events.StopRequested():
                self.stop_at_ms_by_instance.setdefault(instance, now_ms)
            case events.AttemptEnded():
                self._record_attempt_end(instance, event, now_ms)
            case events.ProbeEnded():
                self._record_report(instance, event, now_ms)

    def _record_report(
        self,
        instance: str,
        event: events.ProbeEnded,
        now_ms: clock.Millis,
    ) -> None:
        if event.report is None:
            return
        leaving = event.report.leaving
        self.leaving_reports.append(
            evidence.LeavingReport(now_ms, instance, event.target_id, leaving),
        )

    def _record_receipt(
        self,
        state: world.World,
        event: events.CallReceived,
        now_ms: clock.Millis,
    ) -> None:
        instance = state.identity.incarnation
        service = state.catalogue.in_force.service_by_name.get(event.service)
        idempotent = service is not None and call_rules.is_idempotent(
            service,
            event,
        )
        self.receipt_by_call[(instance, event.call_id)] = evidence.Receipt(
            now_ms,
            instance,
            event,
            idempotent,
        )

    def _record_attempt_end(
        self,
        instance: str,
        event: events.AttemptEnded,
        now_ms: clock.Millis,
    ) -> None:
        ref = (instance, event.attempt_id)
        self.ending_by_attempt.setdefault(ref, event)
        if not event.leaving:
            return
        for dispatched in self.dispatches:
            if (dispatched.instance, dispatched.action.attempt_id) == ref:
                target_id = dispatched.action.target_id
                self.leaving_reports.append(
                    evidence.LeavingReport(
                        now_ms, instance, target_id, leaving=True
                    ),
                )

    def _record_note(self, state: world.World, now_ms: clock.Millis) -> None:
        instance = state.identity.incarnation
        in_force = state.catalogue.in_force
        previous = self.note_by_instance.get(instance)
        current = evidence.AdoptedNote(
            now_ms, instance, in_force.number, in_force.digest
        )
        if previous is not None and previous[2:] == current[2:]:
            return
        self.note_by_instance[instance] = current
        self.adopted_notes.append(current)
        known_ids = self._target_ids_by_instance.get(instance, frozenset())
        listed_ids = frozenset(in_force.target_by_id)
        self._target_ids_by_instance[instance] = listed_ids
        self.leaving_reports.extend(
            evidence.LeavingReport(
                now_ms, instance, target_id, target_id in known_ids
            )
            for target_id in sorted(known_ids ^ listed_ids)
        )

    def _record_action(
        self,
        state: world.World,
        action: actions.Action,
        now_ms: clock.Millis,
    ) -> None:
        instance = state.identity.incarnation
        timed = evidence.TimedAction(now_ms, instance, action)
        if isinstance(action, evidence.ANSWERS):
            self.answers.append(timed)
        elif isinstance(action, actions.Dispatch):
            self.dispatches.append(timed)
        elif isinstance(action, actions.Exit):
            self.exit_at_ms_by_instance.setdefault(instance, now_ms)
        elif isinstance(action, actions.Probe):
            self._record_probe(state, action, now_ms)

    def _record_probe(
        self,
        state: world.World,
        action: actions.Probe,
        now_ms: clock.Millis,
    ) -> None:
        in_force = state.catalogue.in_force
        target = in_force.target_by_id.get(action.target_id)
        if target is None:
            return
        service = in_force.service_by_name[target.service]
        self.probes.append(
            evidence.TimedProbe(
                now_ms,
                state.identity.incarnation,
                service.name,
                service.probe_budget_per_s,
            ),
        )


def create() -> Record:
    """Create an empty record."""
    return Record()


def _separates(
    partition: evidence.Partition, sender: str, receiver: str
) -> bool:
    if partition.one_way:
        return sender in partition.group
    return (sender in partition.group) != (receiver in partition.group)
