"""Requests that offer another protocol keep their body and their successors."""

import pytest

from oleanderstair.engine import request_parsing

OFFER = b'connection: upgrade, http2-settings\r\nupgrade: h2c\r\n'
LENGTH = b'content-length: 4\r\n\r\ntwig'
CHUNKED = b'transfer-encoding: chunked\r\n\r\n2\r\ntw\r\n2\r\nig\r\n0\r\n\r\n'
PLAIN = b'GET /next HTTP/1.1\r\nhost: a\r\n\r\n'


class Requests:
    """Collects the requests that a parser reports."""

    def __init__(self):
        self.whole = []
        self._current = None

    def on_message_begin(self):
        self._current = {'url': b'', 'names': [], 'body': b''}

    def on_url(self, url):
        self._current['url'] += url

    def on_header(self, name, value):
        self._current['names'].append(name)

    def on_headers_complete(self):
        """Nothing to do."""

    def on_body(self, body):
        self._current['body'] += body

    def on_message_complete(self):
        self.whole.append((self._current['url'], self._current['body']))


# The body was dropped, and the request ran without it.
@pytest.mark.parametrize('piece_bytes', [1, 7, 1000])
@pytest.mark.parametrize(
    ('method', 'rest', 'body'),
    [
        (b'POST', LENGTH, b'twig'),
        (b'POST', CHUNKED, b'twig'),
        (b'GET', b'\r\n', b''),
    ],
)
def test_request_with_an_upgrade_keeps_its_body(
    method, rest, body, piece_bytes
):
    seen = Requests()
    parser = request_parsing.create(seen)
    sent = b'%b / HTTP/1.1\r\nhost: a\r\n%b%b' % (method, OFFER, rest)
    stream = sent + PLAIN + sent
    for start in range(0, len(stream), piece_bytes):
        parser.feed_data(stream[start : start + piece_bytes])
        assert not parser.should_upgrade()
    assert seen.whole == [(b'/', body), (b'/next', b''), (b'/', body)]
    assert parser.should_keep_alive()


@pytest.mark.parametrize(
    ('received', 'count'),
    [
        (b'', 0),
        (b'GET / HTTP/1.1\r\n\r\n' * 3, 3),
        (b'GET / HTTP/1.1\r\n\r\nGET / HTTP/1.1\r\n', 1),
        (b'POST / HTTP/1.1\r\ncontent-length: 2\r\n\r\na', 0),
        (b'GET / HTTP/1.1\r\n\r\nnothing of the kind', 1),
    ],
)
def test_whole_requests_are_counted(received, count):
    assert request_parsing.count_requests(received) == count
