"""A configuration of many routes goes to all instances by small links."""

import zlib

import msgspec
import pytest

from oleanderstair.domain import messages
from oleanderstair.domain.fleet import codec
from test import fleets


def many_routes(count=400):
    made = [
        fleets.ROUTE._replace(
            name=f'r-{number * 7919:x}',
            prefix=f'/{number * 104729:x}/',
        )
        for number in range(count)
    ]
    routing = fleets.routing(9)._replace(routes_by_host={'h': tuple(made)})
    return messages.StoreState(0, 1, 9, routing, (), (), 0)


def test_many_routes_take_a_fraction_of_their_size():
    told = many_routes()
    plain = len(msgspec.msgpack.encode(told))
    encoded = codec.encode(told)
    assert len(encoded) < plain / 4
    assert codec.decode(encoded).ok_value == told


def test_small_messages_stay_as_they_are():
    encoded = codec.encode(messages.StoreAsk(3, 4))
    assert encoded[0] == codec.WIRE_VERSION
    assert codec.decode(encoded).ok_value == messages.StoreAsk(3, 4)


@pytest.mark.parametrize('cut', [1, 2, 40, -1])
def test_what_is_cut_short_is_an_error(cut):
    assert codec.decode(codec.encode(many_routes())[:cut]).is_err()


def test_what_would_fill_memory_is_an_error():
    bomb = zlib.compress(bytes(codec.LARGEST_BYTES + 1))
    prefix = bytes([codec.COMPRESSED_VERSION])
    assert len(bomb) < 100_000
    assert codec.decode(prefix + bomb).is_err()


def test_noise_in_place_of_a_compressed_message_is_an_error():
    prefix = bytes([codec.COMPRESSED_VERSION])
    for noise in (b'', b'x', zlib.compress(b'noise'), bytes(500)):
        assert codec.decode(prefix + noise).is_err()
