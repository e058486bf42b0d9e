"""Parses the answers of one connection, which has one request at a time.

An answer to another request is skipped if its framing gives its end. Bytes
that arrive without a request in progress make the connection unusable.
"""

import typing

import httptools

from oleanderstair.domain import byte_budgets
from oleanderstair.engine import headers

MAX_FRAMING_BYTES: typing.Final = 65_536
"""Maximum size of heads, trailers and chunk framing together, in addition to
16 bytes for each body byte; four times the usual limit of servers for a head.
"""

MAX_FIELDS: typing.Final = 256
"""Maximum number of fields of an answer, including trailers."""

MAX_ANSWERS_PER_REQUEST: typing.Final = 32
"""Maximum number of answers read for one request, including interim answers
and answers to other requests."""

_FRAMING_BYTES_PER_BODY_BYTE: typing.Final = 16
"""Allowed framing per body byte: a chunk of one byte with a padded size."""

_MAX_BODIES_PER_REQUEST: typing.Final = 2
"""Limit for the bodies read for one request together, as a multiple of the
maximum body size: one late answer to another request, and the request's own."""

_USUAL_HEAD_BYTES: typing.Final = 8192
"""Up to this size a head, with its fields, is part of what a connection takes
and is not counted."""

_MIN_STATUS: typing.Final = 100
_MIN_FINAL_STATUS: typing.Final = 200
_MIN_UNDEFINED_STATUS: typing.Final = 600
_UNDEFINED_STATUS: typing.Final = 'status code out of range'
_BODILESS_STATUSES: typing.Final = frozenset((204, 304))
_HEAD: typing.Final = b'HEAD'
_FRAMING_FIELDS: typing.Final = frozenset(
    (headers.CONTENT_LENGTH, headers.TRANSFER_ENCODING),
)


class Answer(typing.NamedTuple):
    """A complete answer of a target."""

    status: int
    headers: headers.Fields
    body: bytes


TOO_LARGE: typing.Final = 'answer too large'
"""The cause of the fault of an answer whose body exceeds the maximum."""


class AnswerFault(typing.NamedTuple):
    """Why a request gets no valid answer on its connection.

    ``is_lost`` is true if the connection ended or switched protocols, or if
    the bytes are invalid before a status line was read. ``is_unanswered`` is
    true if the connection ended before the first byte of an answer, and
    ``is_memory_short`` if this instance had no memory to read the answer.
    ``excess_bytes`` is the size of what came if that was too much.
    """

    cause: str
    is_lost: bool = True
    is_unanswered: bool = False
    is_memory_short: bool = False
    excess_bytes: int = 0


IsForOtherRequest: typing.TypeAlias = typing.Callable[[Answer], bool]
"""Return whether a complete answer belongs to another request."""


class AnswerReader:
    """Parses the bytes of a connection into the answer to its request.

    ``is_unusable`` is true once the connection must not carry another request.
    ``piece_count`` is the number of pieces of bodies in the bytes fed last.
    """

    def __init__(self, takes_unframed: bool) -> None:
        """Expect no answer yet.

        ``takes_unframed`` allows bodies that end with their connection.
        """
        self.outcome: Answer | AnswerFault | None = None
        self.is_expecting = False
        self.is_unusable = False
        self.has_begun = False
        self._max_bytes = 0
        self._takes_unframed = takes_unframed
        self._method = b''
        self._is_for_other_request: IsForOtherRequest = (
            _is_never_for_other_request
        )
        self._parser = httptools.HttpResponseParser(self)
        self._fields: headers.Fields = []
        # One buffer: a list of small pieces takes many times their bytes.
        self._body = bytearray()
        self._head_bytes = 0
        self._declared_bytes = 0
        self._status = 0
        self._has_status = False
        self._is_in_body = False
        self._answer_count = 0
        self._total_body_bytes = 0
        self.received_bytes = 0
        self.piece_count = 0

    def expect(
        self,
        method: bytes,
        is_for_other_request: IsForOtherRequest,
        max_bytes: int,
    ) -> None:
        """Prepare for the answer to a request that is about to be written.

        Its body has up to ``max_bytes``.
        """
        self._max_bytes = max_bytes
        self.outcome = None
        self.is_expecting = True
        self.has_begun = False
        self._method = method
        self._is_for_other_request = is_for_other_request
        self._answer_count = 0
        self._total_body_bytes = 0
        self.received_bytes = 0
        # The end of the connection must not complete the previous answer.
        self._forget_answer()

    def release(self) -> None:
        """Drop the answer, and what recognised it, after its delivery.

        An idle connection would hold them until its next answer.
        """
        self.outcome = None
        self._forget_answer()
        self._is_for_other_request = _is_never_for_other_request

    def answer_bytes(self) -> int:
        """Return what the unfinished answer takes, as declared or received.

        A head of more than the usual size counts as well.
        """
        head_bytes = max(self._head_bytes - _USUAL_HEAD_BYTES, 0)
        return max(self._declared_bytes, len(self._body)) + head_bytes

    def has_declared_length(self) -> bool:
        """Return whether the length of the body is known."""
        return self._declared_bytes > 0

    def received_body_bytes(self) -> int:
        """Return how much of the body was received."""
        return len(self._body)

    def feed(self, chunk: bytes) -> None:
        """Parse received bytes; set ``outcome`` to the answer or to a fault."""
        if not self.is_expecting:
            self.is_unusable = True
        self.received_bytes += len(chunk)
        self.piece_count = 0
        try:
            self._parser.feed_data(chunk)
        except httptools.HttpParserError as error:
            self._fail(AnswerFault(repr(error), is_lost=not self._has_status))
        except httptools.HttpParserUpgrade:
            self._fail(AnswerFault('the target switched protocols'))
        framing_bytes = self.received_bytes - self._total_body_bytes
        allowed_bytes = self._total_body_bytes * _FRAMING_BYTES_PER_BODY_BYTE
        if framing_bytes > MAX_FRAMING_BYTES + allowed_bytes:
            self.abandon('head, trailers or chunk framing too large')
        elif self._total_body_bytes > self._max_bytes * _MAX_BODIES_PER_REQUEST:
            self.abandon('bodies of answers to other requests too large')

    def abandon(self, cause: str) -> None:
        """Fail the request, as its answer is too large, without waiting."""
        excess_bytes = max(self.received_bytes, 1)
        self._fail(AnswerFault(cause, is_lost=False, excess_bytes=excess_bytes))

    def end_of_stream(self, error: Exception | None) -> None:
        """Handle the end of the connection; ``error`` is None if clean."""
        is_body_by_close = error is None and self._ends_with_connection()
        if self.is_expecting and is_body_by_close:
            self._finish_answer()
        cause = repr(error) if error else 'the connection ended'
        self._fail(AnswerFault(cause, is_unanswered=not self.received_bytes))

    # The parser's callbacks

    def on_message_begin(self) -> None:
        """Begin an answer; without a request the connection is unusable."""
        if not self.is_expecting:
            self.is_unusable = True
        self.has_begun = True
        self._answer_count += 1
        if self._answer_count > MAX_ANSWERS_PER_REQUEST:
            self.abandon('too many answers to one request')
        self._forget_answer()

    def on_status(self, phrase: bytes) -> None:
        """Record that the status line was read."""
        self._has_status = True

    def on_header(self, name: bytes, field: bytes) -> None:
        """Store a header field."""
        self._head_bytes += byte_budgets.head_bytes(len(name) + len(field), 1)
        if len(self._fields) < MAX_FIELDS:
            self._fields.append((name, field.rstrip(b' \t')))
        else:
            self.abandon('too many fields')

    def on_headers_complete(self) -> None:
        """Read the status; a final answer to HEAD is complete here.

        A status below 100 is none: its answer isn't an interim one either.
        """
        self._status = self._parser.get_status_code()
        if self._status < _MIN_STATUS:
            self._fail(AnswerFault(_UNDEFINED_STATUS, is_lost=False))
            return
        if self._method == _HEAD and self._status >= _MIN_FINAL_STATUS:
            # The parser expects a body, which an answer to HEAD doesn't have.
            self.is_unusable = True
            self._finish_answer()
            return
        self._is_in_body = True
        if self._status not in _BODILESS_STATUSES:
            self._declare_body()

    def on_body(self, body: bytes) -> None:
        """Store a part of the body, or fail the request if it is too large."""
        self._total_body_bytes += len(body)
        self.piece_count += 1
        if not self.is_expecting:
            return
        if len(self._body) + len(body) <= self._max_bytes:
            self._body += body
        else:
            self.abandon(TOO_LARGE)

    def on_message_complete(self) -> None:
        """Finish a final answer; skip an interim one."""
        self._is_in_body = False
        if self._status < _MIN_FINAL_STATUS:
            return
        if not self._parser.should_keep_alive():
            self.is_unusable = True
        self._finish_answer()

    def _finish_answer(self) -> None:
        if not self.is_expecting:
            return
        answer = Answer(self._status, self._fields, bytes(self._body))
        error_text = self._find_answer_error(answer)
        if error_text:
            self._fail(AnswerFault(error_text, is_lost=False))
        elif not self._is_for_other_request(answer):
            self.outcome = answer
            self.is_expecting = False
        self._body = bytearray()

    def _find_answer_error(self, answer: Answer) -> str:
        if answer.status >= _MIN_UNDEFINED_STATUS:
            return _UNDEFINED_STATUS
        if not headers.is_free_of_control_characters(answer.headers):
            return 'control character in header'
        if self._takes_unframed or self._has_framing():
            return ''
        return 'answer without Content-Length or Transfer-Encoding'

    def _fail(self, fault: AnswerFault) -> None:
        self.is_unusable = True
        if self.is_expecting:
            self.outcome = fault
            self.is_expecting = False

    def _declare_body(self) -> None:
        """Fail the request at once if its answer has a body too large."""
        declared = headers.find_field(self._fields, headers.CONTENT_LENGTH)
        # The parser has checked that it is a number of at most 64 bits.
        size = int(declared) if declared.isdigit() else 0
        if size <= self._max_bytes:
            self._declared_bytes = size
        else:
            self.abandon(TOO_LARGE)

    def _forget_answer(self) -> None:
        self._fields = []
        self._body = bytearray()
        self._head_bytes = 0
        self._declared_bytes = 0
        self._status = 0
        self._has_status = False
        self._is_in_body = False

    def _ends_with_connection(self) -> bool:
        if not self._is_in_body or self._status < _MIN_FINAL_STATUS:
            return False
        return not self._has_framing()

    def _has_framing(self) -> bool:
        if self._method == _HEAD or self._status in _BODILESS_STATUSES:
            return True
        return any(name.lower() in _FRAMING_FIELDS for name, _ in self._fields)


def create(takes_unframed: bool) -> AnswerReader:
    """Create the parser of a new connection."""
    return AnswerReader(takes_unframed)


def _is_never_for_other_request(answer: Answer) -> bool:
    return False
