"""Chooses the target of a call among those that may receive it."""

import typing

from oleanderstair import clock
from oleanderstair.domain import world
from oleanderstair.domain.targets import conditions, occupancy, ramps, shares
from oleanderstair.domain.tables import calls, services, targets

_SAMPLE_SIZE: typing.Final = 3
_DRAWS: typing.Final = 6


class Choice(typing.Protocol):
    """Pick a target for a call."""

    def __call__(
        self,
        state: world.World,
        call: calls.Call,
        now_ms: clock.Millis,
    ) -> str | None:
        """Return the id of the chosen target, or None where none is free."""


def choose(
    state: world.World,
    call: calls.Call,
    now_ms: clock.Millis,
) -> str | None:
    """Pick a target for a call by the choice that the policy names."""
    for target_id in ramps.wanting_evidence(state, call):
        if _is_free(state, call, target_id, now_ms):
            return target_id
    return CHOICE_BY_NAME[state.policy.choice](state, call, now_ms)


def choose_by_share(
    state: world.World,
    call: calls.Call,
    now_ms: clock.Millis,
) -> str | None:
    """Pick a free slot of this instance's share, or else borrow one."""
    share = shares.share_of(state, call.received.service, now_ms)
    own = [
        target_id
        for target_id in _draw(state, tuple(share.slots_by_target))
        if _is_free(state, call, target_id, now_ms)
        and _in_flight(state, target_id) < share.slots_by_target[target_id]
        and not occupancy.is_slow(state, target_id, now_ms)
    ]
    if own:
        return min(
            own,
            key=lambda found: occupancy.score(state, found, now_ms),
        )
    return _borrow(state, call, share.others, now_ms)


def choose_by_sample(
    state: world.World,
    call: calls.Call,
    now_ms: clock.Millis,
) -> str | None:
    """Pick the least loaded of a small sample, without shares."""
    share = shares.share_of(state, call.received.service, now_ms)
    return _borrow(state, call, share.others, now_ms)


def choose_random(
    state: world.World,
    call: calls.Call,
    now_ms: clock.Millis,
) -> str | None:
    """Pick any free target, whatever its occupancy."""
    found = _candidates(state, call, now_ms)
    return state.rng.choice(found) if found else None


def choose_in_turn(
    state: world.World,
    call: calls.Call,
    now_ms: clock.Millis,
) -> str | None:
    """Pick the free targets one after the other."""
    found = _candidates(state, call, now_ms)
    state.targets.turn += 1
    return found[state.targets.turn % len(found)] if found else None


def choose_least_in_flight(
    state: world.World,
    call: calls.Call,
    now_ms: clock.Millis,
) -> str | None:
    """Pick the one with the fewest calls in flight from this instance."""
    found = _candidates(state, call, now_ms)
    return min(
        found,
        key=lambda target_id: (
            _in_flight(state, target_id),
            state.rng.random(),
        ),
        default=None,
    )


CHOICE_BY_NAME: typing.Final[dict[str, Choice]] = {
    'slots': choose_by_share,
    'sample': choose_by_sample,
    'random': choose_random,
    'round-robin': choose_in_turn,
    'least': choose_least_in_flight,
}


def _borrow(
    state: world.World,
    call: calls.Call,
    others: typing.Sequence[str],
    now_ms: clock.Millis,
) -> str | None:
    if not _may_borrow(state, call, now_ms):
        return None
    drawn = state.rng.sample(others, min(_DRAWS, len(others)))
    free = [found for found in drawn if _is_free(state, call, found, now_ms)]
    if not free:
        free = _candidates(state, call, now_ms)
    return min(
        free[:_SAMPLE_SIZE],
        key=lambda found: occupancy.score(state, found, now_ms),
        default=None,
    )


def _draw(
    state: world.World,
    target_ids: typing.Sequence[str],
) -> typing.Sequence[str]:
    """Return at most a few targets, so that the cost of a call is bounded."""
    if len(target_ids) <= _DRAWS:
        return target_ids
    return state.rng.sample(target_ids, _DRAWS)


def _candidates(
    state: world.World,
    call: calls.Call,
    now_ms: clock.Millis,
) -> list[str]:
    if not _may_borrow(state, call, now_ms):
        return []
    share = shares.share_of(state, call.received.service, now_ms)
    return [
        target_id
        for target_id in share.others
        if _is_free(state, call, target_id, now_ms)
    ]


def _may_borrow(
    state: world.World,
    call: calls.Call,
    now_ms: clock.Millis,
) -> bool:
    load = services.load_of(state.services, call.received.service)
    return now_ms >= load.spill_after_ms


def _is_free(
    state: world.World,
    call: calls.Call,
    target_id: str,
    now_ms: clock.Millis,
) -> bool:
    if target_id in call.tried_target_ids:
        return False
    return conditions.may_receive(state, target_id, now_ms)


def _in_flight(state: world.World, target_id: str) -> int:
    return targets.condition_of(state.targets, target_id).in_flight
