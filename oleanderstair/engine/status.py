"""The status of an instance, its targets and its peers, for operators."""

import typing

from oleanderstair import clock
from oleanderstair.domain import world
from oleanderstair.domain.configuration import note_acceptance
from oleanderstair.domain.fleet import peer_liveness
from oleanderstair.domain.tables import catalogue, targets


class Status(note_acceptance.NoteAcceptance):
    """The status of one instance, and the note states of the fleet."""

    instance: str
    incarnation: str
    region: str
    data_centre: str
    phase: str
    note: int
    note_digest: str
    listed: int
    heard: int
    services: int
    targets: int
    leaving_targets: int
    ejected_targets: int
    calls_in_flight: int


class TargetRow(typing.TypedDict):
    """The state of one target as known to this instance."""

    target: str
    service: str
    data_centre: str
    address: str
    state: str
    why: str
    slots: int
    in_flight: int
    latency_ms: float
    reported_in_flight: int | None
    report_age_ms: int | None
    known: dict[str, object]


class InstanceRow(typing.TypedDict):
    """One instance as known to the reporting instance."""

    instance: str
    incarnation: str
    data_centre: str
    callers: str
    listed: bool
    leaving: bool
    confirmed: bool
    note: int
    heard_age_ms: int | None


def describe(state: world.World, now_ms: clock.Millis) -> Status:
    """Return the status of the reporting instance."""
    in_force = state.catalogue.in_force
    rows = describe_targets(state, now_ms)
    states = [row['state'] for row in rows]
    own = state.identity
    return Status(
        instance=own.instance_id,
        incarnation=own.incarnation,
        region=own.region,
        data_centre=own.data_centre,
        phase=state.instances.phase.value,
        note=in_force.number,
        note_digest=in_force.digest,
        listed=len(state.instances.listed_by_id),
        heard=len(peer_liveness.live_peers(state, now_ms)),
        services=len(in_force.service_by_name),
        targets=len(rows),
        leaving_targets=states.count('leaving'),
        ejected_targets=states.count('ejected'),
        calls_in_flight=len(state.calls.call_by_id),
        **note_acceptance.report_acceptance(state, now_ms),
    )


def describe_targets(
    state: world.World,
    now_ms: clock.Millis,
) -> list[TargetRow]:
    """Return a row for each target of the note in force, ordered by id."""
    by_id = state.catalogue.in_force.target_by_id
    return [
        _describe_target(state, by_id[target_id], now_ms)
        for target_id in sorted(by_id)
    ]


def describe_instances(
    state: world.World,
    now_ms: clock.Millis,
) -> list[InstanceRow]:
    """Return a row for each known peer, and for each other listed instance."""
    listed = state.instances.listed_by_id
    peers = state.instances.peer_by_incarnation
    rows = [
        InstanceRow(
            instance=peer.instance_id,
            incarnation=peer.incarnation,
            data_centre=peer.data_centre,
            callers=peer.caller_address,
            listed=peer.instance_id in listed,
            leaving=peer.leaving,
            confirmed=peer.confirmed,
            note=peer.note_number,
            heard_age_ms=_age_ms(peer.heard_at_ms, now_ms),
        )
        for peer in peers.values()
    ]
    known_ids = {peer.instance_id for peer in peers.values()}
    known_ids.add(state.identity.instance_id)
    rows.extend(
        InstanceRow(
            instance=entry.instance_id,
            incarnation='',
            data_centre=entry.data_centre,
            callers=entry.caller_address,
            listed=True,
            leaving=entry.leaving,
            confirmed=False,
            note=0,
            heard_age_ms=None,
        )
        for entry in listed.values()
        if entry.instance_id not in known_ids
    )
    return sorted(rows, key=lambda row: (row['instance'], row['incarnation']))


def _describe_target(
    state: world.World,
    target: catalogue.Target,
    now_ms: clock.Millis,
) -> TargetRow:
    condition = targets.condition_of(state.targets, target.target_id)
    reported_age_ms = _age_ms(condition.reported_at_ms, now_ms)
    return TargetRow(
        target=target.target_id,
        service=target.service,
        data_centre=target.data_centre,
        address=target.address,
        state=_target_state(state, condition, now_ms),
        why=condition.leaving_why if condition.leaving else '',
        slots=target.slots,
        in_flight=condition.in_flight,
        latency_ms=round(condition.latency_ms, 1),
        reported_in_flight=(
            None if reported_age_ms is None else condition.reported_in_flight
        ),
        report_age_ms=reported_age_ms,
        known=condition._asdict(),
    )


def _target_state(
    state: world.World,
    condition: targets.Condition,
    now_ms: clock.Millis,
) -> str:
    if condition.leaving:
        return 'leaving'
    if condition.ejected_until_ms > now_ms:
        return 'ejected'
    if condition.target_id in state.targets.ramp_by_id:
        return 'ramping'
    if condition.full_until_ms > now_ms:
        return 'full'
    return 'serving'


def _age_ms(at_ms: clock.Millis, now_ms: clock.Millis) -> int | None:
    if at_ms == clock.NEVER_MS:
        return None
    return int(now_ms - at_ms)
