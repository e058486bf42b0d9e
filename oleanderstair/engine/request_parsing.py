"""Parses the requests of a connection, and reads bodies beside an upgrade.

The parser of httptools stops after the head of a request that offers another
protocol. No offer is accepted here, so the body belongs to the request as if
none had been made (RFC 9110, 7.8).
"""

import contextlib
import typing

import httptools

from oleanderstair.engine import headers

_FRAMING_FIELDS: typing.Final = frozenset(
    (headers.CONTENT_LENGTH, headers.TRANSFER_ENCODING)
)


class Callbacks(typing.Protocol):
    """What is called with the parts of requests."""

    def on_message_begin(self) -> None:
        """Begin a request."""

    def on_url(self, url: bytes) -> None:
        """Add a part of the request target."""

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a field of the head or of the trailer."""

    def on_headers_complete(self) -> None:
        """Handle the end of the head."""

    def on_body(self, body: bytes) -> None:
        """Add a part of the body."""

    def on_message_complete(self) -> None:
        """Handle the end of the request."""


class RequestParser:
    """Parses requests; one that offers another protocol is an ordinary one."""

    def __init__(self, callbacks: Callbacks) -> None:
        """Pass the parts of requests to ``callbacks``."""
        self._callbacks = callbacks
        self._parser = httptools.HttpRequestParser(self)
        self._head_parser = self._parser
        self._framing: headers.Fields = []
        self._is_reading_head = False
        self._is_framing_only = False
        self._remaining_bytes: int | None = None

    @property
    def remaining_body_bytes(self) -> int | None:
        """Return what is missing of a body of known length, else None."""
        return self._remaining_bytes

    def feed_data(self, chunk: bytes) -> None:
        """Parse received bytes; raise ``HttpParserError`` if invalid."""
        rest = chunk
        while rest:
            try:
                self._parser.feed_data(rest)
            except httptools.HttpParserUpgrade as upgrade:
                rest = rest[upgrade.args[0] :]
                self._begin_body()
            else:
                return

    def get_method(self) -> bytes:
        """Return the method of the request."""
        return self._head_parser.get_method()

    def get_http_version(self) -> str:
        """Return the protocol version of the request, such as ``1.1``."""
        return self._head_parser.get_http_version()

    def should_keep_alive(self) -> bool:
        """Return whether the connection may carry another request."""
        return self._head_parser.should_keep_alive()

    def should_upgrade(self) -> bool:
        """Return False, as no offer of another protocol is accepted."""
        return False

    # The callbacks of the parser

    def on_message_begin(self) -> None:
        """Begin a request, unless only its framing is parsed again."""
        if self._is_framing_only:
            return
        self._head_parser = self._parser
        self._framing = []
        self._remaining_bytes = None
        self._is_reading_head = True
        self._callbacks.on_message_begin()

    def on_url(self, url: bytes) -> None:
        """Pass on a part of the request target."""
        if not self._is_framing_only:
            self._callbacks.on_url(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Pass on a field, and keep those that frame the body."""
        if self._is_framing_only:
            return
        if self._is_reading_head and name.lower() in _FRAMING_FIELDS:
            self._framing.append((name, value))
        self._callbacks.on_header(name, value)

    def on_headers_complete(self) -> None:
        """Pass on the end of the head."""
        self._is_reading_head = False
        if self._is_framing_only:
            self._is_framing_only = False
        else:
            self._remaining_bytes = _declared_bytes_of(self._framing)
            self._callbacks.on_headers_complete()

    def on_body(self, body: bytes) -> None:
        """Pass on a part of the body."""
        if self._remaining_bytes is not None:
            self._remaining_bytes -= len(body)
        self._callbacks.on_body(body)

    def on_message_complete(self) -> None:
        """Pass on the end of the request, unless only its head was read."""
        if not self._parser.should_upgrade():
            self._callbacks.on_message_complete()

    def _begin_body(self) -> None:
        """Go on with a new parser, which gets the framing of the request."""
        self._parser = httptools.HttpRequestParser(self)
        self._is_framing_only = True
        lines = [b'POST / HTTP/1.1']
        lines.extend(b'%b: %b' % field for field in self._framing)
        self._parser.feed_data(b'\r\n'.join([*lines, b'', b'']))


class _RequestCounter:
    """Counts the requests that end, and keeps nothing of them."""

    def __init__(self) -> None:
        self.count = 0

    def on_message_begin(self) -> None:
        """Ignore the begin of a request."""

    def on_url(self, url: bytes) -> None:
        """Ignore the request target."""

    def on_header(self, name: bytes, value: bytes) -> None:
        """Ignore a field."""

    def on_headers_complete(self) -> None:
        """Ignore the end of a head."""

    def on_body(self, body: bytes) -> None:
        """Ignore a part of a body."""

    def on_message_complete(self) -> None:
        """Count a request."""
        self.count += 1


def create(callbacks: Callbacks) -> RequestParser:
    """Create the parser of a new connection."""
    return RequestParser(callbacks)


def count_requests(received: bytes) -> int:
    """Return how many whole requests some unparsed bytes have."""
    counter = _RequestCounter()
    with contextlib.suppress(httptools.HttpParserError):
        RequestParser(counter).feed_data(received)
    return counter.count


def _declared_bytes_of(framing: headers.Fields) -> int | None:
    """Return the length of a body; None if it is chunked or there is none.

    The parser has refused a length that is no number, and a second one.
    """
    field_by_name = {name.lower(): field for name, field in framing}
    if headers.TRANSFER_ENCODING in field_by_name:
        return None
    declared = field_by_name.get(headers.CONTENT_LENGTH)
    return None if declared is None else int(declared)
