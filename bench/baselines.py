"""Policies of plain proxies, to measure the gateway against.

They have no queue, budget, hedges or ramps: a call goes to the target that
a chooser names, and to another one where it was shed or may run again.
"""

import typing

from oleanderstair import clock
from oleanderstair.domain import actions, events, gateway, outcomes, world
from oleanderstair.domain.configuration import routing
from oleanderstair.domain.tables import load_reports, registry, routes

_READ_BOUND_MS: typing.Final = 500
_WAIT_MS: typing.Final = 20
_NO_REPORT: typing.Final = load_reports.Report(0, 0, 1, 100)


class Call(typing.NamedTuple):
    """A call under way: the targets to choose from, and its one attempt."""

    received: events.CallReceived
    route: routes.Route
    candidates: tuple[registry.Entry, ...]
    awaited: frozenset[str] = frozenset()
    round: int = 0
    attempt: actions.Dispatch | None = None
    tried_ids: tuple[str, ...] = ()
    may_have_run: bool = False


class Chooser(typing.Protocol):
    """Name the target of a call among those that were drawn for it."""

    @property
    def sample(self) -> int:
        """Return how many targets report before a dispatch; 0 asks none."""

    @property
    def is_wide(self) -> bool:
        """Return whether targets that were not asked may be chosen."""

    def cost_of(
        self,
        found: registry.Entry,
        report: load_reports.Report,
        in_flight: int,
    ) -> float:
        """Return what the least of is chosen."""


class Random:
    """Any target, whatever its load."""

    sample = 0
    is_wide = True

    def cost_of(
        self,
        found: registry.Entry,
        report: load_reports.Report,
        in_flight: int,
    ) -> float:
        """Return the same for all; the order of the draw decides."""
        return 0


class Least:
    """The target with the fewest own calls in flight."""

    sample = 0
    is_wide = True

    def cost_of(
        self,
        found: registry.Entry,
        report: load_reports.Report,
        in_flight: int,
    ) -> float:
        """Return the own calls in flight at the target."""
        return in_flight


class Reports:
    """The target that would answer soonest by the reports at hand."""

    def __init__(self, sample: int, is_wide: bool) -> None:
        """Ask ``sample`` targets for each dispatch."""
        self.sample = sample
        self.is_wide = is_wide

    def cost_of(
        self,
        found: registry.Entry,
        report: load_reports.Report,
        in_flight: int,
    ) -> float:
        """Return how many times its usual time a call would take."""
        busy = report.running + report.queued + in_flight
        return report.slowness * (1 + busy / max(report.slots, 1))


class Baseline:
    """One instance of a plain proxy; the store is followed as the gateway's."""

    def __init__(self, chooser: Chooser) -> None:
        """Choose targets by ``chooser``."""
        self.chooser = chooser
        self._call_by_id: dict[int, Call] = {}
        self._report_by_id: dict[str, load_reports.Report] = {}
        self._in_flight_by_id: dict[str, int] = {}
        self._attempts = 0

    def step(
        self,
        state: world.World,
        event: events.Event,
        now_ms: clock.Millis,
    ) -> list[actions.Action]:
        """Carry calls; leave all else to the gateway."""
        match event:
            case events.CallReceived():
                return self._on_call(state, event, now_ms)
            case events.LoadRead():
                return self._on_load(state, event, now_ms)
            case events.SampleDue():
                return self._on_sample_due(state, event, now_ms)
            case events.AttemptEnded():
                return self._on_ended(state, event, now_ms)
            case events.CallDue() | events.CallerLeft():
                return self._on_due(event.call_id)
        return gateway.step(state, event, now_ms)

    def _on_call(
        self,
        state: world.World,
        event: events.CallReceived,
        now_ms: clock.Millis,
    ) -> list[actions.Action]:
        in_force = state.routes.in_force
        if in_force is None:
            return [_refuse(event, outcomes.Reason.UNCONFIRMED)]
        route = routing.find_route(in_force, event.host, event.path)
        if route is None:
            return [_refuse(event, outcomes.Reason.NO_ROUTE)]
        left_ms = min(event.deadline_ms - now_ms, route.timeout_ms)
        due = actions.Schedule(events.CallDue(event.call_id), left_ms)
        call = Call(event, route, ())
        return [due, *self._begin(state, call, now_ms)]

    def _begin(
        self,
        state: world.World,
        call: Call,
        now_ms: clock.Millis,
    ) -> list[actions.Action]:
        service = call.route.parts[0].service
        found = [
            entry
            for entry in state.registry.entry_by_id.values()
            if _may_take(entry, service, call.tried_ids)
        ]
        own = state.identity.data_centre
        near = [entry for entry in found if entry.data_centre == own] or found
        state.rng.shuffle(near)
        asked = near[: self.chooser.sample]
        call = call._replace(
            candidates=tuple(near if self.chooser.is_wide else asked),
            awaited=frozenset(entry.target_id for entry in asked),
            round=call.round + 1,
        )
        self._call_by_id[call.received.call_id] = call
        if not asked:
            return self._send(state, call, now_ms)
        return [
            *(_read(entry) for entry in asked),
            actions.Schedule(
                events.SampleDue(call.received.call_id, call.round),
                _WAIT_MS,
            ),
        ]

    def _on_load(
        self,
        state: world.World,
        event: events.LoadRead,
        now_ms: clock.Millis,
    ) -> list[actions.Action]:
        if event.report is not None:
            self._report_by_id[event.target_id] = event.report
        done: list[actions.Action] = []
        for call in tuple(self._call_by_id.values()):
            if event.target_id in call.awaited:
                left = call.awaited - {event.target_id}
                call = call._replace(awaited=left)
                self._call_by_id[call.received.call_id] = call
                if not left:
                    done.extend(self._send(state, call, now_ms))
        return done

    def _on_sample_due(
        self,
        state: world.World,
        event: events.SampleDue,
        now_ms: clock.Millis,
    ) -> list[actions.Action]:
        call = self._call_by_id.get(event.call_id)
        if call is None or not call.awaited or call.round != event.round:
            return []
        return self._send(state, call._replace(awaited=frozenset()), now_ms)

    def _send(
        self,
        state: world.World,
        call: Call,
        now_ms: clock.Millis,
    ) -> list[actions.Action]:
        chosen = min(call.candidates, key=self._cost_of, default=None)
        call_id = call.received.call_id
        if chosen is None:
            self._call_by_id.pop(call_id)
            return [_refuse(call.received, outcomes.Reason.NO_TARGET)]
        self._attempts += 1
        left_ms = call.received.deadline_ms - now_ms
        attempt = actions.Dispatch(
            call_id=call_id,
            attempt_id=self._attempts,
            target_id=chosen.target_id,
            address=chosen.address,
            fresh=False,
            silence_ms=left_ms,
            budget_ms=left_ms,
        )
        self._count(chosen.target_id, 1)
        self._call_by_id[call_id] = call._replace(
            attempt=attempt,
            tried_ids=(*call.tried_ids, chosen.target_id),
        )
        return [attempt]

    def _on_ended(
        self,
        state: world.World,
        event: events.AttemptEnded,
        now_ms: clock.Millis,
    ) -> list[actions.Action]:
        call = self._call_by_id.get(event.call_id)
        if call is None or call.attempt is None:
            return []
        self._count(call.attempt.target_id, -1)
        if event.verdict is events.Verdict.ANSWERED:
            self._call_by_id.pop(event.call_id)
            return [actions.Relay(event.call_id, event.attempt_id)]
        ran = event.verdict not in events.PROVEN_NOT_RUN
        call = call._replace(
            attempt=None,
            may_have_run=call.may_have_run or ran,
        )
        again = call.route.idempotent or not call.may_have_run
        if again and len(call.tried_ids) < call.route.max_attempts:
            return self._begin(state, call, now_ms)
        self._call_by_id.pop(event.call_id)
        return [_refuse(call.received, _reason_of(call))]

    def _on_due(self, call_id: int) -> list[actions.Action]:
        call = self._call_by_id.pop(call_id, None)
        if call is None:
            return []
        refused = _refuse(call.received, outcomes.Reason.TIMEOUT)
        if call.attempt is None:
            return [refused]
        self._count(call.attempt.target_id, -1)
        cancelled = actions.CancelAttempt(call_id, call.attempt.attempt_id)
        return [
            refused._replace(outcome=outcomes.Outcome.UNKNOWN),
            cancelled,
        ]

    def _cost_of(self, found: registry.Entry) -> float:
        return self.chooser.cost_of(
            found,
            self._report_by_id.get(found.target_id, _NO_REPORT),
            self._in_flight_by_id.get(found.target_id, 0),
        )

    def _count(self, target_id: str, more: int) -> None:
        known = self._in_flight_by_id.get(target_id, 0)
        self._in_flight_by_id[target_id] = known + more


def _read(entry: registry.Entry) -> actions.Action:
    return actions.ReadLoad(
        entry.target_id,
        entry.address,
        '/health',
        _READ_BOUND_MS,
    )


def _may_take(
    entry: registry.Entry,
    service: str,
    tried_ids: tuple[str, ...],
) -> bool:
    if entry.leaving or entry.service != service:
        return False
    return entry.target_id not in tried_ids


def _refuse(
    received: events.CallReceived,
    reason: outcomes.Reason,
) -> actions.Refuse:
    outcome = outcomes.Outcome.NOT_RUN
    return actions.Refuse(received.call_id, outcome, reason)


def _reason_of(call: Call) -> outcomes.Reason:
    if call.may_have_run:
        return outcomes.Reason.TARGET_LOST
    return outcomes.Reason.TARGET_REFUSED


class Fleet:
    """Steps each instance of a fleet by a baseline of its own."""

    def __init__(self, chooser: Chooser) -> None:
        """Choose targets by ``chooser``, which keeps no state."""
        self._chooser = chooser
        self._baseline_by_incarnation: dict[str, Baseline] = {}

    def step(
        self,
        state: world.World,
        event: events.Event,
        now_ms: clock.Millis,
    ) -> list[actions.Action]:
        """Step the baseline of the instance that ``state`` is of."""
        incarnation = state.identity.incarnation
        found = self._baseline_by_incarnation.get(incarnation)
        if found is None:
            found = Baseline(self._chooser)
            self._baseline_by_incarnation[incarnation] = found
        return found.step(state, event, now_ms)
