"""Policies that choose the target of a call; the settings select one."""

import typing

from oleanderstair import clock
from oleanderstair.domain import world
from oleanderstair.domain.targets import conditions, occupancy, ramps, shares
from oleanderstair.domain.tables import calls, services, targets

_MAX_COMPARED: typing.Final = 3
"""How many free targets are compared by their load score when borrowing."""

_MAX_EXAMINED: typing.Final = 6
"""How many random targets are first examined for a call."""


class ChoicePolicy(typing.Protocol):
    """A policy that chooses the target of a call."""

    def __call__(
        self,
        state: world.World,
        call: calls.Call,
        now_ms: clock.Millis,
    ) -> str | None:
        """Return the id of the chosen target, None if none may be used."""


def choose_target(
    state: world.World,
    call: calls.Call,
    now_ms: clock.Millis,
) -> str | None:
    """Choose a target by the policy in force.

    Ramping targets that need evidence come first.
    """
    for target_id in ramps.targets_needing_evidence(state, call):
        if _is_free(state, call, target_id, now_ms):
            return target_id
    return CHOICE_BY_NAME[state.policy.choice](state, call, now_ms)


def choose_by_share(
    state: world.World,
    call: calls.Call,
    now_ms: clock.Millis,
) -> str | None:
    """Choose a free slot of this instance's share, otherwise borrow one.

    Slow targets are skipped within the share.
    """
    share = shares.own_share(state, call.received.service, now_ms)
    own_target_ids = [
        target_id
        for target_id in _draw_targets(state, tuple(share.slots_by_target))
        if _is_free(state, call, target_id, now_ms)
        and _in_flight(state, target_id) < share.slots_by_target[target_id]
        and not occupancy.is_slow(state, target_id, now_ms)
    ]
    if own_target_ids:
        return min(
            own_target_ids,
            key=lambda target_id: occupancy.load_score(
                state, target_id, now_ms
            ),
        )
    return _choose_borrowed(state, call, share.borrowable_target_ids, now_ms)


def choose_by_sample(
    state: world.World,
    call: calls.Call,
    now_ms: clock.Millis,
) -> str | None:
    """Choose the least loaded target of a small sample, without shares."""
    share = shares.own_share(state, call.received.service, now_ms)
    return _choose_borrowed(state, call, share.borrowable_target_ids, now_ms)


def choose_random(
    state: world.World,
    call: calls.Call,
    now_ms: clock.Millis,
) -> str | None:
    """Choose a random target among those that may receive the call."""
    candidates = _free_targets(state, call, now_ms)
    return state.rng.choice(candidates) if candidates else None


def choose_round_robin(
    state: world.World,
    call: calls.Call,
    now_ms: clock.Millis,
) -> str | None:
    """Choose the next of the targets that may receive the call, in turn."""
    candidates = _free_targets(state, call, now_ms)
    state.targets.round_robin_turn += 1
    return (
        candidates[state.targets.round_robin_turn % len(candidates)]
        if candidates
        else None
    )


def choose_least_in_flight(
    state: world.World,
    call: calls.Call,
    now_ms: clock.Millis,
) -> str | None:
    """Choose the target with the fewest calls of this instance in flight."""
    candidates = _free_targets(state, call, now_ms)
    return min(
        candidates,
        key=lambda target_id: (
            _in_flight(state, target_id),
            state.rng.random(),
        ),
        default=None,
    )


CHOICE_BY_NAME: typing.Final[dict[str, ChoicePolicy]] = {
    'slots': choose_by_share,
    'sample': choose_by_sample,
    'random': choose_random,
    'round-robin': choose_round_robin,
    'least': choose_least_in_flight,
}


def _choose_borrowed(
    state: world.World,
    call: calls.Call,
    target_ids: typing.Sequence[str],
    now_ms: clock.Millis,
) -> str | None:
    """Return the least loaded of a few free targets, None if none is free.

    All targets are examined if none of the first is free. Return None while
    borrowing is paused.
    """
    if not _may_borrow(state, call, now_ms):
        return None
    drawn = state.rng.sample(target_ids, min(_MAX_EXAMINED, len(target_ids)))
    free = [
        target_id
        for target_id in drawn
        if _is_free(state, call, target_id, now_ms)
    ]
    if not free:
        free = _free_targets(state, call, now_ms)
    return min(
        free[:_MAX_COMPARED],
        key=lambda target_id: occupancy.load_score(state, target_id, now_ms),
        default=None,
    )


def _draw_targets(
    state: world.World,
    target_ids: typing.Sequence[str],
) -> typing.Sequence[str]:
    """Return at most ``_MAX_EXAMINED`` targets, which bounds the cost."""
    if len(target_ids) <= _MAX_EXAMINED:
        return target_ids
    return state.rng.sample(target_ids, _MAX_EXAMINED)


def _free_targets(
    state: world.World,
    call: calls.Call,
    now_ms: clock.Millis,
) -> list[str]:
    """Return the free borrowable targets, none while borrowing is paused."""
    if not _may_borrow(state, call, now_ms):
        return []
    share = shares.own_share(state, call.received.service, now_ms)
    return [
        target_id
        for target_id in share.borrowable_target_ids
        if _is_free(state, call, target_id, now_ms)
    ]


def _may_borrow(
    state: world.World,
    call: calls.Call,
    now_ms: clock.Millis,
) -> bool:
    """Return whether slots beyond the share may be used now."""
    load = services.load_of(state.services, call.received.service)
    return now_ms >= load.borrow_after_ms


def _is_free(
    state: world.World,
    call: calls.Call,
    target_id: str,
    now_ms: clock.Millis,
) -> bool:
    """Return whether a target was not tried and may receive a call."""
    if target_id in call.tried_target_ids:
        return False
    return conditions.may_receive(state, target_id, now_ms)


def _in_flight(state: world.World, target_id: str) -> int:
    return targets.condition_of(state.targets, target_id).in_flight
