"""Exchanges with targets: one at a time on a connection, our own table."""

import math
import typing

import msgspec

from oleanderstair import clock
from oleanderstair.domain import events
from oleanderstair.engine import answers, headers, streams

CONNECT_BOUND_MS: typing.Final = 1000
"""How long a connection may take to open; one lost packet is sent again."""

IDLE_BOUND_MS: typing.Final = 4000
"""How long one is kept whose target tells no time; servers close at 5 s."""

IDLE_PER_TARGET: typing.Final = 8
"""How many idle connections to a target are kept, two for each of 4 slots."""

OPEN_PER_TARGET: typing.Final = 16
"""How many connections to a target may be open where no note says it."""

MAX_ANSWER_BYTES: typing.Final = 4_194_304
"""How large an answer may be, as it is held whole until it is relayed."""

STALE_MS: typing.Final = 100
"""How soon a request on a connection that its target forgot is reset."""

STALE_FROM_MS: typing.Final = 200
"""How long a connection has rested at least that its target forgot."""

_STALE_SHARE: typing.Final = 0.5
"""What part of the rest after which one was forgotten is allowed next."""

_CAPS_LIMIT: typing.Final = 4096
"""For how many targets it is remembered how soon they forget."""

_KEEP_ALIVE_MARGIN_MS: typing.Final = 500
"""How long before a target would close a connection it is used no more."""

_MS_PER_S: typing.Final = 1000
_UNAVAILABLE: typing.Final = 503
"""The status by which a target sheds a call, as HTTP has it."""

_TIMEOUT: typing.Final = b'timeout='
"""The parameter of Keep-Alive that tells the s a connection may stay idle."""

Answer: typing.TypeAlias = answers.Answer


class Request(typing.NamedTuple):
    """A call as it goes to a target."""

    method: bytes
    path: bytes
    headers: headers.Fields
    body: bytes


class Ended(typing.NamedTuple):
    """How an exchange ended, with its answer where there is one."""

    verdict: events.Verdict
    answer: Answer | None = None
    crashed: bool = False
    what: str = ''
    unanswered: bool = False
    stale: bool = False


Judge: typing.TypeAlias = typing.Callable[[Answer], events.Verdict | None]
"""Tell what a whole answer proves; None where it is another request's."""


class Place(typing.NamedTuple):
    """Where an exchange goes and how long it may take there.

    ``born_ms`` is the start of the target, 0 where that isn't known.
    """

    target_id: str
    address: str
    fresh: bool
    silence_ms: clock.Millis
    born_ms: int = 0


Listen: typing.TypeAlias = typing.Callable[[Place, Answer], None]
"""Take each whole answer, also one to another request."""


class _Idle(typing.NamedTuple):
    connection: streams.Connection
    bound_ms: clock.Millis
    born_ms: int

    def is_usable(self) -> bool:
        """Return whether the target surely keeps the connection."""
        idle_ms = self.connection.idle_s() * _MS_PER_S
        return idle_ms < self.bound_ms and self.connection.is_usable()


class Connections(msgspec.Struct):
    """Open connections: how many by target, and which are idle.

    An exchange that wants a fresh one takes one that was answered on in the
    last ``proof_ms`` too. ``takes_unframed`` says whether an answer may end
    with its connection. ``forgets_ms_by_target`` is after what rest a target
    is expected to forget a connection without a word. Each answer is told to
    ``listen``, with the place that its request went to.
    """

    max_answer_bytes: int = MAX_ANSWER_BYTES
    takes_unframed: bool = False
    proof_ms: clock.Millis = 0
    open_limit: int = OPEN_PER_TARGET
    listen: Listen | None = None
    idle_by_target: dict[str, list[_Idle]] = msgspec.field(
        default_factory=dict,
    )
    open_by_target: dict[str, int] = msgspec.field(default_factory=dict)
    forgets_ms_by_target: dict[str, clock.Millis] = msgspec.field(
        default_factory=dict,
    )

    async def exchange(
        self,
        place: Place,
        request: Request,
        judge: Judge | None = None,
    ) -> Ended:
        """Send ``request`` and read the whole answer within the bound.

        NOT_SENT means that no connection could be had, so no byte left.
        ``judge`` tells what a whole answer proves; without it, the product's
        own outcome field does.
        """
        if not self._claim(place.target_id):
            return Ended(events.Verdict.NOT_SENT, what='connection limit')
        judge = judge or verdict_of
        connection: streams.Connection | None = None
        ended = Ended(events.Verdict.CANCELLED)
        try:
            connection = await self._connect(place)
            had = await connection.ask(
                _written(request),
                self._expected(place, request, judge),
            )
            ended = self._note_stale(place, connection, _ended(had, judge))
        except streams.CannotConnect as error:
            return Ended(events.Verdict.NOT_SENT, what=str(error))
        finally:
            self._give_back(place, connection, ended)
        return ended

    def begin_kept(
        self,
        place: Place,
        request: Request,
        judge: Judge,
        take: typing.Callable[[Ended], None],
    ) -> streams.Cancel | None:
        """Exchange on a kept connection without a task.

        Return what cancels it; None, with nothing sent, where there is no
        such connection. ``take`` is told the end once, after this has
        returned, and after a cancel too.
        """
        if not self.idle_by_target.get(place.target_id):
            return None
        written = _written(request)
        if not self._claim(place.target_id):
            return None
        kept = self._take_idle(place)
        if kept is None:
            self._release(place.target_id)
            return None

        def end(had: streams.Outcome) -> None:
            ended = self._note_stale(place, kept, _ended(had, judge))
            self._give_back(place, kept, ended)
            take(ended)

        expected = self._expected(place, request, judge)
        return kept.begin(written, expected, end)

    def close_idle(self, target_id: str) -> None:
        """Close the idle connections to a target."""
        for entry in self.idle_by_target.pop(target_id, []):
            entry.connection.close()

    def close_aged(self) -> None:
        """Close idle connections that may be about to be closed on us."""
        for target_id, idle in tuple(self.idle_by_target.items()):
            kept = [entry for entry in idle if entry.is_usable()]
            for entry in idle:
                if entry not in kept:
                    entry.connection.close()
            if kept:
                self.idle_by_target[target_id] = kept
            else:
                self.idle_by_target.pop(target_id)

    def _claim(self, target_id: str) -> bool:
        busy = self.open_by_target.get(target_id, 0)
        if busy >= self.open_limit:
            return False
        self.open_by_target[target_id] = busy + 1
        return True

    async def _connect(self, place: Place) -> streams.Connection:
        kept = self._take_idle(place)
        if kept is not None:
            return kept
        self._make_room(place.target_id)
        return await streams.connect(
            place.address,
            answers.create(self.max_answer_bytes, self.takes_unframed),
            min(CONNECT_BOUND_MS, place.silence_ms),
        )

    def _take_idle(self, place: Place) -> streams.Connection | None:
        idle = self.idle_by_target.get(place.target_id, [])
        while idle:
            entry = idle[-1]
            idle_ms = entry.connection.idle_s() * _MS_PER_S
            if place.fresh and idle_ms >= self.proof_ms:
                return None
            idle.pop()
            # A later start of the target knows nothing of it.
            if entry.is_usable() and entry.born_ms == place.born_ms:
                return entry.connection
            entry.connection.close()
        return None

    def _make_room(self, target_id: str) -> None:
        """Close the oldest idle connection where a new one is one too many."""
        idle = self.idle_by_target.get(target_id, [])
        if idle and self._held(target_id) > self.open_limit:
            idle.pop(0).connection.close()

    def _held(self, target_id: str) -> int:
        idle = self.idle_by_target.get(target_id, [])
        return self.open_by_target.get(target_id, 0) + len(idle)

    def _release(self, target_id: str) -> None:
        left = self.open_by_target[target_id] - 1
        if left:
            self.open_by_target[target_id] = left
        else:
            self.open_by_target.pop(target_id)

    def _expected(
        self,
        place: Place,
        request: Request,
        judge: Judge,
    ) -> streams.Expected:
        def is_other(answer: Answer) -> bool:
            if self.listen is not None:
                self.listen(place, answer)
            return judge(answer) is None

        return streams.Expected(request.method, is_other, place.silence_ms)

    def _note_stale(
        self,
        place: Place,
        connection: streams.Connection,
        ended: Ended,
    ) -> Ended:
        """Tell whether a connection was likely forgotten by its target.

        The others that rested as long go with it, and none rests so long
        any more.
        """
        rested_ms = connection.rested_s * _MS_PER_S
        soon = connection.written_s() * _MS_PER_S <= STALE_MS
        is_kept = connection.uses > 1 and rested_ms >= STALE_FROM_MS
        if not (ended.unanswered and is_kept and soon):
            return ended
        caps = self.forgets_ms_by_target
        while len(caps) >= _CAPS_LIMIT:
            caps.pop(next(iter(caps)))
        caps[place.target_id] = max(rested_ms * _STALE_SHARE, STALE_FROM_MS)
        self.close_idle(place.target_id)
        return ended._replace(stale=True, crashed=False)

    def _give_back(
        self,
        place: Place,
        connection: streams.Connection | None,
        ended: Ended,
    ) -> None:
        target_id = place.target_id
        self._release(target_id)
        if connection is None:
            return
        idle = self.idle_by_target.setdefault(target_id, [])
        bound_ms = min(
            _idle_bound_ms(ended.answer),
            self.forgets_ms_by_target.get(target_id, math.inf),
        )
        is_kept = bound_ms > 0 and connection.is_usable()
        has_room = self._held(target_id) < self.open_limit
        if is_kept and has_room and len(idle) < IDLE_PER_TARGET:
            idle.append(_Idle(connection, bound_ms, place.born_ms))
            return
        connection.close()
        if ended.verdict is events.Verdict.SILENT and connection.uses > 1:
            # The others may have gone silent with it.
            self.close_idle(target_id)


def create(
    max_answer_bytes: int = MAX_ANSWER_BYTES,
    takes_unframed: bool = False,
    proof_ms: clock.Millis = 0,
) -> Connections:
    """Create an empty table of connections."""
    return Connections(max_answer_bytes, takes_unframed, proof_ms)


def is_passed_on(answer: Answer) -> bool:
    """Return whether a shed answer is a refusal of this system itself.

    Only this system names a reason, so the target passes on what a nested
    call was told after its own retries.
    """
    return (
        verdict_of(answer) is events.Verdict.SHED
        and headers.find(answer.headers, headers.REASON) != b''
    )


def verdict_of(answer: Answer) -> events.Verdict:
    """Return SHED where the target itself says that it did not run."""
    if answer.status != _UNAVAILABLE:
        return events.Verdict.ANSWERED
    if headers.find(answer.headers, headers.OUTCOME) == b'not-run':
        return events.Verdict.SHED
    return events.Verdict.ANSWERED


def _ended(had: streams.Outcome, judge: Judge) -> Ended:
    if had is None:
        return Ended(events.Verdict.SILENT)
    if isinstance(had, streams.Cancelled):
        return Ended(events.Verdict.CANCELLED)
    if isinstance(had, answers.Fault):
        return Ended(
            events.Verdict.BROKEN,
            crashed=had.is_lost,
            what=had.what,
            unanswered=had.is_unanswered,
        )
    verdict = judge(had)
    if verdict is None or verdict is events.Verdict.BROKEN:
        return Ended(events.Verdict.BROKEN, what='answer to another request')
    return Ended(verdict, had)


def _written(request: Request) -> bytes:
    lines = [b'%b %b HTTP/1.1' % (request.method, request.path)]
    lines.extend(b'%b: %b' % field for field in request.headers)
    return b'\r\n'.join([*lines, b'', request.body])


def _idle_bound_ms(answer: Answer | None) -> clock.Millis:
    """Return how long to keep the connection of an answer, 0 for not."""
    if answer is None:
        return 0
    for part in headers.find(answer.headers, headers.KEEP_ALIVE).split(b','):
        name, _, told = part.strip().lower().partition(_TIMEOUT)
        seconds = headers.read_count(told.strip())
        if not name and seconds is not None:
            return seconds * _MS_PER_S - _KEEP_ALIVE_MARGIN_MS
    return IDLE_BOUND_MS
