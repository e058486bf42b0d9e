"""Lists the addresses of instances that a caller may connect to."""

import typing

from oleanderstair import clock
from oleanderstair.domain import world
from oleanderstair.domain.calls import key_epochs
from oleanderstair.domain.fleet import peer_liveness
from oleanderstair.domain.tables import instances

MAX_ADDRESSES: typing.Final = 8
"""The maximum number of addresses in an answer."""

MIN_REMOTE_ADDRESSES: typing.Final = 2
"""How many of these are kept for other data centres, if there are any."""


class Address(typing.TypedDict):
    """The address of an instance and the prefix for keys bound to it.

    ``key_prefix`` is empty while the instance takes no new keys.
    """

    address: str
    data_centre: str
    key_prefix: str


class AddressAnswer(typing.TypedDict):
    """Addresses in order of preference, and how long they may be used."""

    addresses: list[Address]
    valid_ms: int


def list_addresses(
    state: world.World,
    data_centre: str,
    now_ms: clock.Millis,
) -> AddressAnswer:
    """Return up to ``MAX_ADDRESSES`` addresses, those of ``data_centre`` first.

    Addresses of the same preference are in random order. An instance is
    listed if it has a confirmed note, sent a message recently and is not
    leaving; the list is empty if there is no such instance.
    """
    listed = [_address_of(peer) for peer in _usable_peers(state, now_ms)]
    if state.instances.phase is instances.Phase.SERVING:
        listed.append(_own_address(state))
    state.address_rng.shuffle(listed)
    local = [entry for entry in listed if entry['data_centre'] == data_centre]
    outside = [entry for entry in listed if entry['data_centre'] != data_centre]
    kept = local[: MAX_ADDRESSES - min(len(outside), MIN_REMOTE_ADDRESSES)]
    return AddressAnswer(
        addresses=[*kept, *outside][:MAX_ADDRESSES],
        valid_ms=state.policy.answer_validity_ms,
    )


def key_prefix(incarnation: str, epoch: int) -> str:
    """Return the prefix that binds a key to an instance and an epoch.

    Return an empty string if ``epoch`` is ``NO_EPOCH``, that is while the
    instance takes no new keys.
    """
    if epoch == key_epochs.NO_EPOCH:
        return ''
    return f'{incarnation}.{epoch}.'


def _usable_peers(
    state: world.World,
    now_ms: clock.Millis,
) -> list[instances.Peer]:
    listed = state.instances.listed_by_id
    return [
        peer
        for peer in peer_liveness.live_peers(state, now_ms)
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
        key_prefix=key_prefix(
            own.incarnation, key_epochs.prefix_epoch(state.keys)
        ),
    )
