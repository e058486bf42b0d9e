"""Chooses the target of a call among those that may receive it."""

import typing

from oleanderstair import clock
from oleanderstair.domain import conditions, occupancy, world
from oleanderstair.domain.tables import calls, targets

_SAMPLE_SIZE: typing.Final = 2


class Choice(typing.Protocol):
    """Pick one of the candidates for a call."""

    def __call__(
        self,
        state: world.World,
        candidate_ids: typing.Sequence[str],
        now_ms: clock.Millis,
    ) -> str:
        """Return the id of the chosen target; there is at least one."""


def candidates(
    state: world.World,
    call: calls.Call,
    now_ms: clock.Millis,
) -> list[str]:
    """Return the targets that may receive a call, untried ones first."""
    in_force = state.catalogue.in_force
    ids = in_force.target_ids_by_service.get(call.received.service, ())
    usable = [
        target_id
        for target_id in ids
        if conditions.may_receive(state, target_id, now_ms)
    ]
    untried = [
        target_id
        for target_id in usable
        if target_id not in call.tried_target_ids
    ]
    return untried or usable


def choose_random(
    state: world.World,
    candidate_ids: typing.Sequence[str],
    now_ms: clock.Millis,
) -> str:
    """Pick any candidate, whatever its occupancy."""
    return state.rng.choice(candidate_ids)


def choose_by_free_slots(
    state: world.World,
    candidate_ids: typing.Sequence[str],
    now_ms: clock.Millis,
) -> str:
    """Pick the less loaded of a small sample."""
    size = min(_SAMPLE_SIZE, len(candidate_ids))
    sample = state.rng.sample(list(candidate_ids), size)
    return min(
        sample, key=lambda found: occupancy.estimate(state, found, now_ms)
    )


def choose_in_turn(
    state: world.World,
    candidate_ids: typing.Sequence[str],
    now_ms: clock.Millis,
) -> str:
    """Pick the candidates one after the other."""
    state.targets.turn += 1
    return candidate_ids[state.targets.turn % len(candidate_ids)]


def choose_least_in_flight(
    state: world.World,
    candidate_ids: typing.Sequence[str],
    now_ms: clock.Millis,
) -> str:
    """Pick the one with the fewest calls in flight from this instance."""
    table = state.targets
    return min(
        candidate_ids,
        key=lambda found: (
            targets.condition_of(table, found).in_flight,
            state.rng.random(),
        ),
    )


CHOICE_BY_NAME: typing.Final[dict[str, Choice]] = {
    'random': choose_random,
    'round-robin': choose_in_turn,
    'least': choose_least_in_flight,
    'slots': choose_by_free_slots,
}
