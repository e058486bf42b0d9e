"""Brings returning and new targets back slowly, fleet-wide."""

from oleanderstair import clock
from oleanderstair.domain import actions, events, messages, world
from oleanderstair.domain.tables import catalogue


def allowance(
    state: world.World,
    target: catalogue.Target,
    now_ms: clock.Millis,
) -> int:
    """Return how many calls this instance may have in flight at a target."""
    return target.slots


def on_attempt_ended(
    state: world.World,
    event: events.AttemptEnded,
    target_id: str,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Count an attempt as evidence for or against the ramp's stage."""
    return []


def on_fact(
    state: world.World,
    event: events.FactAdopted,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Take a peer's word on how far a target has come back."""
    if not isinstance(event.fact.body, messages.RampState):
        return []
    return []


def on_tick(
    state: world.World,
    event: events.Tick,
    now_ms: clock.Millis,
) -> list[actions.Action]:
    """Step ramps up or back as their evidence says."""
    return []
