"""The address answer: which instances a caller should use."""

import typing

from oleanderstair import clock
from oleanderstair.domain import world
from oleanderstair.domain.calls import epochs
from oleanderstair.domain.fleet import live
from oleanderstair.domain.tables import instances

ADDRESS_LIMIT: typing.Final = 8
MIN_REMOTE_ADDRESSES: typing.Final = 2
"""How many addresses of other data centres an answer leaves room for."""


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
    """Return a few live addresses, those of ``data_centre`` first, shuffled.

    Only instances that are confirmed, heard recently and not leaving are
    named; the answer is empty where there is none.
    """
    found = [_address_of(peer) for peer in _usable_peers(state, now_ms)]
    if state.instances.phase is instances.Phase.SERVING:
        found.append(_own_address(state))
    state.address_rng.shuffle(found)
    local = [entry for entry in found if entry['data_centre'] == data_centre]
    outside = [entry for entry in found if entry['data_centre'] != data_centre]
    kept = local[: ADDRESS_LIMIT - min(len(outside), MIN_REMOTE_ADDRESSES)]
    return AddressAnswer(
        addresses=[*kept, *outside][:ADDRESS_LIMIT],
        valid_ms=state.policy.answer_validity_ms,
    )


def key_prefix(incarnation: str, epoch: int) -> str:
    """Return the prefix that binds a key to its home and epoch.

    It is empty where the home takes no new keys at the moment.
    """
    if epoch == epochs.NO_EPOCH:
        return ''
    return f'{incarnation}.{epoch}.'


def _usable_peers(
    state: world.World,
    now_ms: clock.Millis,
) -> list[instances.Peer]:
    listed = state.instances.listed_by_id
    return [
        peer
        for peer in live.heard_peers(state, now_ms)
        if peer.confirmed
        and not peer.leaving
        and not (
            peer.instance_id in listed and listed[peer.instance_id].leaving
        )
    ]


def _address_of(peer: instances.Peer) -> Address:
    return Address(
        address=peer.caller_address,
        data_centre=peer.data_centre,
        key_prefix=key_prefix(peer.incarnation, peer.epoch),
    )


def _own_address(state: world.World) -> Address:
    own = state.identity
    return Address(
        address=own.caller_address,
        data_centre=own.data_centre,
        key_prefix=key_prefix(own.incarnation, epochs.prefix_epoch(state.keys)),
    )
