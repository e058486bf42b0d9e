"""Messages between instances are encoded, compressed and decoded."""

import zlib

import pytest

from oleanderstair.domain import messages
from oleanderstair.domain.fleet import codec
from test import fleets


def large_state():
    routing = fleets.large_routing(5, 300)
    return messages.StoreState(4, 6, 5, routing, (), (), 0, pushed=True)


def test_a_large_state_is_compressed():
    frame = codec.encode(large_state())
    assert frame[0] == codec.COMPRESSED_VERSION
    assert codec.decode(frame).ok_value == large_state()


def compress(packed):
    return b'%c%b' % (codec.COMPRESSED_VERSION, zlib.compress(packed))


# Guards against one malformed message that takes a process down.
@pytest.mark.parametrize(
    'frame',
    [
        codec.encode(large_state())[:-20],
        b'\x02no zlib stream',
        bytes([codec.COMPRESSED_VERSION]),
        compress(bytes(codec.MAX_MESSAGE_BYTES + 1)),
        compress(b'no msgpack'),
        compress(b''),
    ],
    ids=['cut', 'no-stream', 'empty', 'too-large', 'no-message', 'nothing'],
)
def test_a_malformed_compressed_frame_is_an_error(frame):
    assert codec.decode(frame).is_err()
