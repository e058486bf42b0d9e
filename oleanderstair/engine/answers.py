"""Reads the answers of one connection, of which one at a time is awaited.

An answer to another request is left out where its end is certain. What
comes when nothing is awaited belongs to no request, and spoils the
connection.
"""

import typing

import httptools

from oleanderstair.engine import headers

MAX_FRAMING_BYTES: typing.Final = 65_536
"""What heads, trailers and chunk framing may hold beside a body; four times
what servers commonly allow for a head."""

MAX_FIELDS: typing.Final = 256
"""How many fields an answer may have, its trailers among them."""

MAX_MESSAGES: typing.Final = 32
"""How many answers may come for one request: interim ones, and others'."""

TRICKLE_GRACE_MS: typing.Final = 3000
"""How long an answer may be slow from its first byte on: a packet that is
lost twice comes within it."""

LEAST_BYTES_PER_S: typing.Final = 256
"""How fast an answer has to come then; any usable link is faster."""

_FRAMING_PER_BODY_BYTE: typing.Final = 16
"""The framing of a chunk of one byte, with a padded size."""

_BODIES: typing.Final = 2
"""How many bodies of the largest size may come: a late one and its own."""

_FIRST_FINAL: typing.Final = 200
_FIRST_UNDEFINED: typing.Final = 600
_NO_BODY: typing.Final = frozenset((204, 304))
_HEAD: typing.Final = b'HEAD'
_FRAMING: typing.Final = frozenset(
    (headers.CONTENT_LENGTH, headers.TRANSFER_ENCODING),
)


class Answer(typing.NamedTuple):
    """A whole answer of a target."""

    status: int
    headers: headers.Fields
    body: bytes


class Fault(typing.NamedTuple):
    """Why an answer can't be had any more.

    ``is_lost`` is true where the connection ended or its bytes are none of
    an HTTP answer, from the first on, and ``is_unanswered`` where it ended
    before any byte came.
    """

    what: str
    is_lost: bool = True
    is_unanswered: bool = False


IsOther: typing.TypeAlias = typing.Callable[[Answer], bool]
"""Tell whether a whole answer belongs to another request."""


class Reader:
    """Feeds bytes to a parser and keeps the answer that is awaited."""

    def __init__(self, max_bytes: int, takes_unframed: bool) -> None:
        """Bound bodies; take those that end with their connection or not."""
        self.outcome: Answer | Fault | None = None
        self.is_awaited = False
        self.is_spoiled = False
        self.has_begun = False
        self._max_bytes = max_bytes
        self._takes_unframed = takes_unframed
        self._method = b''
        self._is_other: IsOther = _is_never_other
        self._parser = httptools.HttpResponseParser(self)
        self._fields: headers.Fields = []
        self._chunks: list[bytes] = []
        self._size = 0
        self._status = 0
        self._has_status = False
        self._messages = 0
        self._body_bytes = 0
        self.received_bytes = 0

    def expect(self, method: bytes, is_other: IsOther) -> None:
        """Await the answer to a request that is about to be written."""
        self.outcome = None
        self.is_awaited = True
        self.has_begun = False
        self._method = method
        self._is_other = is_other
        self._messages = 0
        self._body_bytes = 0
        self.received_bytes = 0

    def feed(self, chunk: bytes) -> None:
        """Read what arrived; ``outcome`` is set once the answer is had."""
        if not self.is_awaited:
            self.is_spoiled = True
        self.received_bytes += len(chunk)
        try:
            self._parser.feed_data(chunk)
        except httptools.HttpParserError as error:
            self._fail(Fault(repr(error), is_lost=not self._has_status))
        except httptools.HttpParserUpgrade:
            self._fail(Fault('the protocol was switched'))
        framing_bytes = self.received_bytes - self._body_bytes
        allowed = self._body_bytes * _FRAMING_PER_BODY_BYTE
        if framing_bytes > MAX_FRAMING_BYTES + allowed:
            self.give_up('head, trailers or framing without end')
        elif self._body_bytes > self._max_bytes * _BODIES:
            self.give_up('answers to others without end')

    def give_up(self, what: str) -> None:
        """Take no more of an answer, which its target still sends."""
        self._fail(Fault(what, is_lost=False))

    def end(self, error: Exception | None) -> None:
        """Note that nothing more will come, cleanly where ``error`` is None."""
        is_body_by_close = error is None and self._size_known_at_end()
        if self.is_awaited and is_body_by_close:
            self._conclude()
        what = repr(error) if error else 'the connection ended'
        self._fail(Fault(what, is_unanswered=not self.received_bytes))

    # The parser's callbacks

    def on_message_begin(self) -> None:
        """Open an answer; one that nobody awaits spoils the connection."""
        if not self.is_awaited:
            self.is_spoiled = True
        self.has_begun = True
        self._messages += 1
        if self._messages > MAX_MESSAGES:
            self.give_up('too many answers to one request')
        self._fields = []
        self._chunks = []
        self._size = 0
        self._status = 0
        self._has_status = False

    def on_status(self, phrase: bytes) -> None:
        """Note that the first line was read."""
        self._has_status = True

    def on_header(self, name: bytes, field: bytes) -> None:
        """Keep a header field."""
        if len(self._fields) < MAX_FIELDS:
            self._fields.append((name, field.rstrip(b' \t')))
        else:
            self.give_up('too many fields')

    def on_headers_complete(self) -> None:
        """Read the status; the answer to HEAD has no more than this."""
        self._status = self._parser.get_status_code()
        if self._method == _HEAD and self._status >= _FIRST_FINAL:
            # The parser goes on to await a body that will not come.
            self.is_spoiled = True
            self._conclude()

    def on_body(self, body: bytes) -> None:
        """Keep a part of the body, within the bound."""
        self._size += len(body)
        self._body_bytes += len(body)
        if self._size <= self._max_bytes:
            self._chunks.append(body)
        else:
            self.give_up('answer too large')

    def on_message_complete(self) -> None:
        """Take a final answer; interim ones are left out."""
        if self._status < _FIRST_FINAL:
            return
        if not self._parser.should_keep_alive():
            self.is_spoiled = True
        self._conclude()

    def _conclude(self) -> None:
        if not self.is_awaited:
            return
        answer = Answer(self._status, self._fields, b''.join(self._chunks))
        fault = self._fault_of(answer)
        if fault:
            self._fail(Fault(fault, is_lost=False))
        elif not self._is_other(answer):
            self.outcome = answer
            self.is_awaited = False

    def _fault_of(self, answer: Answer) -> str:
        if answer.status >= _FIRST_UNDEFINED:
            return 'status out of range'
        if not headers.are_clean(answer.headers):
            return 'control character in header'
        if self._takes_unframed or self._is_framed():
            return ''
        return 'answer without a length'

    def _fail(self, fault: Fault) -> None:
        self.is_spoiled = True
        if self.is_awaited:
            self.outcome = fault
            self.is_awaited = False

    def _size_known_at_end(self) -> bool:
        return self._status >= _FIRST_FINAL and not self._is_framed()

    def _is_framed(self) -> bool:
        if self._method == _HEAD or self._status in _NO_BODY:
            return True
        return any(name.lower() in _FRAMING for name, _ in self._fields)


def create(max_bytes: int, takes_unframed: bool) -> Reader:
    """Create the reader of a new connection."""
    return Reader(max_bytes, takes_unframed)


def _is_never_other(answer: Answer) -> bool:
    return False
