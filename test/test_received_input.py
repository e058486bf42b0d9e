"""Parts of received bytes: no part holds the ends of two messages."""

import pytest

from oleanderstair.engine import received_input

GET = b'GET / HTTP/1.1\r\nhost: a\r\n\r\n'


def take_all(received, body_bytes=None):
    parts = []
    while received:
        parts.append(received.take(body_bytes))
    return parts


def test_requests_in_one_read_are_taken_one_by_one():
    received = received_input.ReceivedInput()
    received.add(GET * 3)
    assert take_all(received) == [GET, GET, GET]


@pytest.mark.parametrize(
    ('first', 'second'),
    [
        (b'\r', b'\n\r\n'),
        (b'\r\n', b'\r\n'),
        (b'\r\n\r', b'\n'),
        (b'\n', b'\n'),
        (b'\n', b'\r\n'),
        (b'\n\r', b'\n'),
    ],
)
def test_blank_line_that_comes_in_two_reads_ends_a_part(first, second):
    # Where it was overlooked, the next request would be parsed with this one.
    received = received_input.ReceivedInput()
    received.add(b'GET / HTTP/1.1%b' % first)
    take_all(received)
    received.add(second + GET)
    assert received.take(None) == second
    assert received.peek() == GET


def test_body_of_known_length_ends_a_part_at_its_end():
    received = received_input.ReceivedInput()
    received.add(b'a\r\n\r\nb%b' % GET)
    assert received.take(6) == b'a\r\n\r\nb'
    assert received.peek() == GET
    assert received.take(1000) == GET


def test_each_part_has_at_least_one_byte():
    received = received_input.ReceivedInput()
    received.add(b'\n' * 7)
    assert b''.join(take_all(received)) == b'\n' * 7


def test_line_ends_between_requests_are_dropped():
    received = received_input.ReceivedInput()
    received.add(b'\r\n\n%b' % GET)
    received.skip_line_ends()
    assert received.take(None) == GET
    received.add(b'\r\n' * 9)
    received.skip_line_ends()
    assert not received
    assert received.peek() == b''
