"""What is known of the load of each target, aged and shared."""

from oleanderstair import clock
from oleanderstair.domain import actions, events, messages, world
from oleanderstair.domain.tables import targets


def estimate(
    state: world.World,
    target_id: str,
    now_ms: clock.Millis,
) -> float:
    """Return the calls that a target is thought to have in flight."""
    condition = targets.condition_of(state.targets, target_id)
    return condition.in_flight + condition.reported_in_flight


def on_probe_ended(
    state: world.World,
    event: events.ProbeEnded,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Learn from a target's health and load report."""
    if event.report is None:
        return []
    condition = targets.condition_of(state.targets, event.target_id)
    targets.put_condition(
        state.targets,
        condition._replace(
            reported_in_flight=event.report.in_flight,
            reported_at_ms=now_ms,
        ),
    )
    return []


def on_fact(
    state: world.World,
    event: events.FactAdopted,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Take a peer's word on the load of a target."""
    if not isinstance(event.fact.body, messages.TargetLoad):
        return []
    return []


def on_tick(
    state: world.World,
    event: events.Tick,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Tell the peers of the load that this instance sees."""
    return []
