"""Reading of request bodies, whatever the pieces in which they come."""

import tracemalloc

import anyio
import pytest

from oleanderstair.engine import asgi

SIZE = 50_000


def receive_pieces(count):
    pieces = iter(range(count - 1, -1, -1))

    async def receive():
        return {'body': b'x', 'more_body': next(pieces) > 0, 'type': ''}

    return receive


def read_pieces(**limits):
    async def scenario():
        return await asgi.read_body(
            receive_pieces(SIZE), bound_ms=None, **limits
        )

    return anyio.run(scenario)


def test_body_in_pieces_of_one_byte_takes_little_more_than_its_size():
    # The pieces were kept apart, and joining them took 80 bytes for each.
    tracemalloc.start()
    try:
        assert read_pieces(max_bytes=SIZE) == b'x' * SIZE
        _, peak_bytes = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert peak_bytes < 10 * SIZE


def test_body_that_grows_too_large_is_not_read_on():
    with pytest.raises(asgi.BodyTooLarge):
        read_pieces(max_bytes=SIZE - 1)


def test_body_that_is_not_held_is_not_read_on():
    sizes = []

    def may_grow(size):
        sizes.append(size)
        return size < 3

    with pytest.raises(asgi.BodyNotHeld):
        read_pieces(max_bytes=SIZE, may_grow=may_grow)
    assert sizes == [1, 2, 3]
