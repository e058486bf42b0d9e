"""The address answer: which instances a caller should use."""

import typing

from oleanderstair import clock
from oleanderstair.domain import epochs, world
from oleanderstair.domain.tables import instances


class Address(typing.TypedDict):
    """One address of the system and the key prefix of its instance."""

    address: str
    data_centre: str
    key_prefix: str


class AddressAnswer(typing.TypedDict):
    """The addresses a caller may use, best first, and for how long."""

    addresses: list[Address]
    valid_ms: int


def answer(
    state: world.World,
    data_centre: str,
    now_ms: clock.Millis,
) -> AddressAnswer:
    """Return live addresses, those of ``data_centre`` first, shuffled."""
    own = []
    if state.instances.phase is instances.Phase.SERVING:
        own = [_own_address(state)]
    others = [
        Address(
            address=peer.caller_address,
            data_centre=peer.data_centre,
            key_prefix=key_prefix(peer.incarnation, peer.epoch),
        )
        for peer in state.instances.peer_by_incarnation.values()
        if peer.confirmed and not peer.leaving
    ]
    found = own + others
    state.rng.shuffle(found)
    found.sort(key=lambda entry: entry['data_centre'] != data_centre)
    return AddressAnswer(
        addresses=found,
        valid_ms=state.policy.answer_validity_ms,
    )


def key_prefix(incarnation: str, epoch: int) -> str:
    """Return the prefix that binds a key to its home and epoch.

    It is empty where the home takes no new keys at the moment.
    """
    if epoch == epochs.NO_EPOCH:
        return ''
    return f'{incarnation}.{epoch}.'


def _own_address(state: world.World) -> Address:
    own = state.identity
    return Address(
        address=own.caller_address,
        data_centre=own.data_centre,
        key_prefix=key_prefix(own.incarnation, epochs.prefix_epoch(state.keys)),
    )
