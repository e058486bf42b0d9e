"""How many calls this instance may have at a target that comes back.

A ramp gives out whole slots, one token each, so that the fleet's sum is
exact. Each token belongs to one listed instance by rendezvous hash, dead
or cut off as it may be, which keeps the sum in a partition. After a window
without enough evidence the tokens pass on to others; the end of a window
stays unused, so that calls of the old owner finish first.
"""

import hashlib
import typing

from oleanderstair import clock
from oleanderstair.domain import world
from oleanderstair.domain.tables import catalogue, targets

_WAITS_PER_WINDOW: typing.Final = 2
_USED_SHARE_OF_WINDOW: typing.Final = 0.8


class Share(typing.Protocol):
    """Return the slots of a ramping target that this instance may use."""

    def __call__(
        self,
        state: world.World,
        target: catalogue.Target,
        ramp: targets.Ramp,
        now_ms: clock.Millis,
    ) -> int:
        """Return a number of calls in flight, at most the target's slots."""


def slots_of_stage(
    state: world.World,
    target: catalogue.Target,
    stage: int,
) -> int:
    """Return the slots that a stage opens; stage 0 is the canary."""
    return max(target.slots * stage // state.policy.ramp_stages, 1)


def share_fleet(
    state: world.World,
    target: catalogue.Target,
    ramp: targets.Ramp,
    now_ms: clock.Millis,
) -> int:
    """Divide the slots of the stage over the instances of the fleet."""
    window_ms = _WAITS_PER_WINDOW * ramp.wait_ms
    window, used = divmod((now_ms - ramp.stage_since_ms) / window_ms, 1)
    if used > _USED_SHARE_OF_WINDOW:
        return 0
    count = slots_of_stage(state, target, ramp.stage)
    round_name = f'{target.target_id}/{ramp.generation}/{int(window)}'
    owner_ids = _owner_ids(state)
    return sum(
        _owner(owner_ids, f'{round_name}/{token}') == state.identity.instance_id
        for token in range(count)
    )


def share_alone(
    state: world.World,
    target: catalogue.Target,
    ramp: targets.Ramp,
    now_ms: clock.Millis,
) -> int:
    """Open the slots of the stage here, whatever other instances do."""
    return slots_of_stage(state, target, ramp.stage)


def share_all(
    state: world.World,
    target: catalogue.Target,
    ramp: targets.Ramp,
    now_ms: clock.Millis,
) -> int:
    """Open all slots at once."""
    return target.slots


def _owner_ids(state: world.World) -> list[str]:
    table = state.instances
    listed = [
        entry.instance_id
        for entry in table.listed_by_id.values()
        if not entry.leaving
    ]
    heard = [
        peer.instance_id
        for peer in table.peer_by_incarnation.values()
        if not peer.leaving and peer.instance_id not in table.listed_by_id
    ]
    return sorted({state.identity.instance_id, *listed, *heard})


def _owner(owner_ids: list[str], token_name: str) -> str:
    return max(
        owner_ids,
        key=lambda owner_id: hashlib.blake2b(
            f'{token_name}/{owner_id}'.encode(),
            digest_size=8,  # noqa: WPS432 (64 bits)
        ).digest(),
    )


SHARE_BY_NAME: typing.Final[dict[str, Share]] = {
    'fleet': share_fleet,
    'alone': share_alone,
    'none': share_all,
}
