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
"""How many addresses of an answer are reserved for other data centres.

They go to the caller's data centre if the others have fewer instances.
"""


class Address(typing.TypedDict):
    """The address of an instance and the prefix for keys bound to it.

    ``key_prefix`` is empty for the answering instance while it accepts no new
    keys. For a peer it is the prefix of its open epoch, also while that accepts
    no new keys, since peers send no more than their open epoch.
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

    The addresses of that data centre are in random order, and so are those
    of the others. An instance is included if it has a confirmed note, sent a
    message recently and is not leaving. The list is empty if there is none.
    """
    found = [_address_of(peer) for peer in _usable_peers(state, now_ms)]
    if state.instances.phase is instances.Phase.SERVING:
        found.append(_own_address(state))
    state.address_rng.shuffle(found)
    local = [entry for entry in found if entry['data_centre'] == data_centre]
    remote = [entry for entry in found if entry['data_centre'] != data_centre]
    kept = local[: MAX_ADDRESSES - min(len(remote), MIN_REMOTE_ADDRESSES)]
    return AddressAnswer(
        addresses=[*kept, *remote][:MAX_ADDRESSES],
        valid_ms=state.policy.answer_validity_ms,
    )


def key_prefix(incarnation: str, epoch: int) -> str:
    """Return the prefix that binds a key to an instance and an epoch.

    Return an empty string if ``epoch`` is ``NO_EPOCH``.
    """
    if epoch == key_epochs.NO_EPOCH:
        return ''
    return f'{incarnation}.{epoch}.'


def _usable_peers(
    state: world.World,
    now_ms: clock.Millis,
) -> list[instances.Peer]:
    """Return the live and confirmed peers that are not leaving.

    A peer is left out if it announced that it is leaving, or if the platform's
    instance list says so.
    """
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
