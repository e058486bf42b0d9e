"""Computes how many slots of a ramping target this instance may use.

Each open slot of the target is a token. Rendezvous hashing assigns each token
to one instance, so that the fleet as a whole never exceeds the open slots.
Listed instances get tokens even if they have failed or are unreachable, which
keeps the sum correct during a partition. If a stage still lacks evidence at
the end of a time window, its tokens are assigned anew, so that other instances
can collect it. The last part of a window is not used, so that the calls of the
previous owner end before the next owner begins.
"""

import hashlib
import typing

from oleanderstair import clock
from oleanderstair.domain import world
from oleanderstair.domain.tables import catalogue, targets

_WAITS_PER_WINDOW: typing.Final = 2
"""The length of a time window, in minimum times of the stage."""

_USED_SHARE_OF_WINDOW: typing.Final = 0.8
"""The share of a window in which its tokens may be used."""


class SharePolicy(typing.Protocol):
    """A policy that decides how many open slots this instance may use."""

    def __call__(
        self,
        state: world.World,
        target: catalogue.Target,
        ramp: targets.Ramp,
        now_ms: clock.Millis,
    ) -> int:
        """Return the maximum number of calls in flight from this instance."""


def stage_slot_count(
    state: world.World,
    target: catalogue.Target,
    stage: int,
) -> int:
    """Return the open slots of a stage, at least one.

    Stage 0 opens a single slot: the canary.
    """
    return max(target.slots * stage // state.policy.ramp_stages, 1)


def divide_stage_slots(
    state: world.World,
    target: catalogue.Target,
    ramp: targets.Ramp,
    now_ms: clock.Millis,
) -> int:
    """Return this instance's part of the slots that the stage opens.

    Return 0 in the last part of a time window.
    """
    window_ms = _WAITS_PER_WINDOW * ramp.wait_ms
    window, elapsed_share = divmod(
        (now_ms - ramp.stage_since_ms) / window_ms, 1
    )
    if elapsed_share > _USED_SHARE_OF_WINDOW:
        return 0
    slot_count = stage_slot_count(state, target, ramp.stage)
    window_key = f'{target.target_id}/{ramp.generation}/{int(window)}'
    owner_ids = _token_owner_ids(state)
    return sum(
        _token_owner(owner_ids, f'{window_key}/{token}')
        == state.identity.instance_id
        for token in range(slot_count)
    )


def use_all_stage_slots(
    state: world.World,
    target: catalogue.Target,
    ramp: targets.Ramp,
    now_ms: clock.Millis,
) -> int:
    """Return all slots of the stage, without regard to other instances."""
    return stage_slot_count(state, target, ramp.stage)


def use_all_target_slots(
    state: world.World,
    target: catalogue.Target,
    ramp: targets.Ramp,
    now_ms: clock.Millis,
) -> int:
    """Return all slots of the target: no slow start."""
    return target.slots


def _token_owner_ids(state: world.World) -> list[str]:
    """Return the sorted ids of the instances that tokens are assigned to.

    These are all listed instances, peers that are not listed yet, and this
    instance; those that are leaving are excluded.
    """
    table = state.instances
    listed_ids = [
        entry.instance_id
        for entry in table.listed_by_id.values()
        if not entry.leaving
    ]
    unlisted_ids = [
        peer.instance_id
        for peer in table.peer_by_incarnation.values()
        if not peer.leaving and peer.instance_id not in table.listed_by_id
    ]
    return sorted({state.identity.instance_id, *listed_ids, *unlisted_ids})


def _token_owner(owner_ids: list[str], token_key: str) -> str:
    return max(
        owner_ids,
        key=lambda owner_id: hashlib.blake2b(
            f'{token_key}/{owner_id}'.encode(),
            digest_size=8,  # noqa: WPS432 (64 bits)
        ).digest(),
    )


SHARE_POLICY_BY_NAME: typing.Final[dict[str, SharePolicy]] = {
    'fleet': divide_stage_slots,
    'alone': use_all_stage_slots,
    'none': use_all_target_slots,
}
