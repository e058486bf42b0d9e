"""What happened at instances and targets, as the outcome checks read it."""

import typing

import msgspec

from oleanderstair import clock
from oleanderstair.domain import actions, events, world
from oleanderstair.domain.calls import rules
from oleanderstair.domain.proof import evidence


class Record(msgspec.Struct):
    """The steps of one or more instances; targets' runs where known."""

    receipt_by_call: dict[evidence.CallAt, evidence.Receipt] = msgspec.field(
        default_factory=dict,
    )
    answers: list[evidence.Acted] = msgspec.field(default_factory=list)
    dispatches: list[evidence.Acted] = msgspec.field(default_factory=list)
    ending_by_attempt: dict[evidence.CallAt, events.AttemptEnded] = (
        msgspec.field(
            default_factory=dict,
        )
    )
    home_reply_by_call: dict[evidence.CallAt, events.HomeReplied] = (
        msgspec.field(
            default_factory=dict,
        )
    )
    left_calls: set[evidence.CallAt] = msgspec.field(default_factory=set)
    sightings: list[evidence.Sighting] = msgspec.field(default_factory=list)
    readings: list[evidence.Reading] = msgspec.field(default_factory=list)
    holdings: list[evidence.Holding] = msgspec.field(default_factory=list)
    stop_by_instance: dict[str, clock.Millis] = msgspec.field(
        default_factory=dict,
    )
    exit_by_instance: dict[str, clock.Millis] = msgspec.field(
        default_factory=dict,
    )
    start_by_instance: dict[str, clock.Millis] = msgspec.field(
        default_factory=dict,
    )
    death_by_instance: dict[str, clock.Millis] = msgspec.field(
        default_factory=dict,
    )
    runs: list[evidence.Run] = msgspec.field(default_factory=list)
    cuts: list[evidence.Cut] = msgspec.field(default_factory=list)
    ended_at_ms: clock.Millis = 0
    note_by_instance: dict[str, evidence.Holding] = msgspec.field(
        default_factory=dict,
    )
    _target_ids: dict[str, frozenset[str]] = msgspec.field(
        default_factory=dict,
    )

    def on_step(
        self,
        state: world.World,
        event: events.Event,
        done: typing.Sequence[actions.Action],
        now_ms: clock.Millis,
    ) -> None:
        """Keep what a step of an instance shows."""
        instance = state.identity.incarnation
        self.ended_at_ms = max(self.ended_at_ms, now_ms)
        self.start_by_instance.setdefault(instance, now_ms)
        self._keep_event(state, event, now_ms)
        self._keep_note(state, now_ms)
        for action in done:
            self._keep_action(state, action, now_ms)

    def reaches(
        self,
        speaker: str,
        hearer: str,
        from_ms: clock.Millis,
        until_ms: clock.Millis,
    ) -> bool:
        """Return whether ``hearer`` could hear ``speaker`` all the time."""
        if speaker == hearer:
            return True
        return not any(
            cut.from_ms < until_ms
            and cut.until_ms > from_ms
            and _parts(cut, speaker, hearer)
            for cut in self.cuts
        )

    def _keep_event(
        self,
        state: world.World,
        event: events.Event,
        now_ms: clock.Millis,
    ) -> None:
        instance = state.identity.incarnation
        match event:
            case events.CallReceived():
                self._keep_receipt(state, event, now_ms)
            case events.CallerLeft():
                self.left_calls.add((instance, event.call_id))
            case events.HomeReplied():
                place = (instance, event.call_id)
                self.home_reply_by_call.setdefault(place, event)
            case events.StopRequested():
                self.stop_by_instance.setdefault(instance, now_ms)
            case events.AttemptEnded():
                self._keep_ending(instance, event, now_ms)
            case events.ProbeEnded():
                self._keep_report(instance, event, now_ms)

    def _keep_report(
        self,
        instance: str,
        event: events.ProbeEnded,
        now_ms: clock.Millis,
    ) -> None:
        if event.report is None:
            return
        leaving = event.report.leaving
        self.sightings.append(
            evidence.Sighting(now_ms, instance, event.target_id, leaving),
        )

    def _keep_receipt(
        self,
        state: world.World,
        event: events.CallReceived,
        now_ms: clock.Millis,
    ) -> None:
        instance = state.identity.incarnation
        service = state.catalogue.in_force.service_by_name.get(event.service)
        idempotent = service is not None and rules.is_idempotent(
            service,
            event,
        )
        self.receipt_by_call[(instance, event.call_id)] = evidence.Receipt(
            now_ms,
            instance,
            event,
            idempotent,
        )

    def _keep_ending(
        self,
        instance: str,
        event: events.AttemptEnded,
        now_ms: clock.Millis,
    ) -> None:
        place = (instance, event.attempt_id)
        self.ending_by_attempt.setdefault(place, event)
        if not event.leaving:
            return
        for dispatched in self.dispatches:
            if (dispatched.instance, dispatched.action.attempt_id) == place:
                target_id = dispatched.action.target_id
                self.sightings.append(
                    evidence.Sighting(
                        now_ms, instance, target_id, leaving=True
                    ),
                )

    def _keep_note(self, state: world.World, now_ms: clock.Millis) -> None:
        instance = state.identity.incarnation
        in_force = state.catalogue.in_force
        before = self.note_by_instance.get(instance)
        now = evidence.Holding(
            now_ms, instance, in_force.number, in_force.digest
        )
        if before is not None and before[2:] == now[2:]:
            return
        self.note_by_instance[instance] = now
        self.holdings.append(now)
        known = self._target_ids.get(instance, frozenset())
        listed = frozenset(in_force.target_by_id)
        self._target_ids[instance] = listed
        self.sightings.extend(
            evidence.Sighting(now_ms, instance, target_id, target_id in known)
            for target_id in sorted(known ^ listed)
        )

    def _keep_action(
        self,
        state: world.World,
        action: actions.Action,
        now_ms: clock.Millis,
    ) -> None:
        instance = state.identity.incarnation
        acted = evidence.Acted(now_ms, instance, action)
        if isinstance(action, evidence.ANSWERS):
            self.answers.append(acted)
        elif isinstance(action, actions.Dispatch):
            self.dispatches.append(acted)
        elif isinstance(action, actions.Exit):
            self.exit_by_instance.setdefault(instance, now_ms)
        elif isinstance(action, actions.Probe):
            self._keep_probe(state, action, now_ms)

    def _keep_probe(
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
        self.readings.append(
            evidence.Reading(
                now_ms,
                state.identity.incarnation,
                service.name,
                service.probe_budget_per_s,
            ),
        )


def create() -> Record:
    """Create a record in which nothing has happened."""
    return Record()


def _parts(cut: evidence.Cut, speaker: str, hearer: str) -> bool:
    if cut.one_way:
        return speaker in cut.group
    return (speaker in cut.group) != (hearer in cut.group)
