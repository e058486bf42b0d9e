"""Callers that keep a connection until the instance ends it."""

import contextlib
import dataclasses
import itertools
import math
import random
import socket
import typing

import anyio
import anyio.abc
import httpcore
from anyio.streams import buffered

from oleanderstair.emulator import load_targets, published
from oleanderstair.engine import asgi, headers
from oleanderstair.platform import dialect
from soak import bounds, checks, record

_PAUSE_S: typing.Final = 0.04
_PATIENCE_S: typing.Final = 1
"""How long after its deadline a call is waited for."""

_BODY_BYTES: typing.Final = 20_000
_KEPT_CALLS: typing.Final = 40
_SLOW_SHARE: typing.Final = 0.2
"""The share of calls to stock whose answer is large and read slowly."""

_SLOW_BYTES: typing.Final = 600_000
_SLOW_PAUSE_S: typing.Final = 0.02
"""The pause after each part of an answer of up to 64 KB that is read slowly."""

_RECEIVE_BUFFER: typing.Final = (socket.SOL_SOCKET, socket.SO_RCVBUF, 65_536)
"""A buffer that is smaller than an answer that is read slowly."""

_MOVE_PAUSE_S: typing.Final = 0.2
_PAUSED_SHARE: typing.Final = 0.06
_PAUSES_MS: typing.Final = (800, 2000, 3500)
"""The share of lookups and orders whose answer comes in pieces, and how long
that takes."""

_PAIRED_SHARE: typing.Final = 0.06
"""The share of lookups right behind which another call is sent."""

_PARTED_SHARE: typing.Final = 0.3
_PARTS: typing.Final = 4
_PART_PAUSE_S: typing.Final = 0.08
"""The share of orders whose body is sent in parts, and the pause after each."""

_MAX_HEAD_BYTES: typing.Final = 65_536
_ENDED: typing.Final = (
    anyio.EndOfStream,
    anyio.IncompleteRead,
    anyio.BrokenResourceError,
)


class Entry(typing.Protocol):
    """An instance as callers know it."""

    name: str
    life: int


@dataclasses.dataclass(slots=True)
class Caller:
    """Makes one call after another, most of them on one connection.

    ``version`` tells the newest configuration that the store confirmed.
    ``slow_rng`` draws which answers are large and read slowly, ``habit_rng``
    the other ways to send a call and to have it answered.
    """

    name: str
    rng: random.Random
    seen: record.Record
    entries: typing.Sequence[Entry]
    address_by_name: dict[str, str]
    version: typing.Callable[[], int]
    slow_rng: random.Random
    habit_rng: random.Random
    whole_s: float = 0
    numbers: typing.Iterator[int] = dataclasses.field(
        default_factory=itertools.count,
    )

    async def keep_calling(self) -> None:
        """Call until cancelled; leave a connection when it ends."""
        while True:
            entry = self.rng.choice(self.entries)
            async with httpcore.AsyncConnectionPool(
                max_connections=1, socket_options=[_RECEIVE_BUFFER]
            ) as pool:
                await self._stay(pool, entry)

    async def _stay(
        self,
        pool: httpcore.AsyncConnectionPool,
        entry: Entry,
    ) -> None:
        for _ in range(_KEPT_CALLS):
            made = self._draw_call(entry)
            if made.habit == 'paired':
                calls = await self._call_pair([made, self._behind(made)])
            else:
                calls = [await self._call(pool, made)]
            self.seen.calls.extend(
                call._replace(lives=(call.lives[0], entry.life))
                for call in calls
            )
            await anyio.sleep(_PAUSE_S)
            if not calls[-1].status:
                await anyio.sleep(_MOVE_PAUSE_S)
                return

    async def _call(
        self,
        pool: httpcore.AsyncConnectionPool,
        made: record.Call,
    ) -> record.Call:
        is_parted = made.habit == 'parted'
        self.whole_s = math.inf if is_parted else made.sent_s
        with anyio.CancelScope(deadline=made.due_s + _PATIENCE_S):
            made = await self._ask(pool, made)
        return made._replace(ended_s=anyio.current_time(), whole_s=self.whole_s)

    async def _ask(
        self,
        pool: httpcore.AsyncConnectionPool,
        made: record.Call,
    ) -> record.Call:
        sent = self._note(made)
        parted = made.habit == 'parted'
        try:
            async with pool.stream(
                sent.method,
                f'http://{self.address_by_name[made.instance]}{sent.path}',
                headers=_fields(made),
                content=self._send_parts(sent.body) if parted else sent.body,
            ) as answer:
                return await _read_answer(answer, made)
        except httpcore.ConnectError:
            return made._replace(end='not-sent')
        except (httpcore.NetworkError, httpcore.ProtocolError):
            return made._replace(end=checks.CUT)

    async def _send_parts(self, body: bytes) -> typing.AsyncIterator[bytes]:
        """Yield a body in parts; the last has been sent when it is asked on."""
        size = -(-len(body) // _PARTS)
        for at in range(0, len(body), size):
            yield body[at : at + size]
            await anyio.sleep(_PART_PAUSE_S if at + size < len(body) else 0)
        self.whole_s = anyio.current_time()

    async def _call_pair(self, calls: list[record.Call]) -> list[record.Call]:
        """Send two calls in one piece, and read their answers in turn."""
        address = self.address_by_name[calls[0].instance]
        host, _, port = address.rpartition(':')
        try:
            stream = await anyio.connect_tcp(host, int(port))
        except OSError:
            now_s = anyio.current_time()
            return [
                call._replace(end='not-sent', ended_s=now_s) for call in calls
            ]
        async with stream:
            answers = buffered.BufferedByteReceiveStream(stream)
            with contextlib.suppress(anyio.BrokenResourceError):
                await stream.send(b''.join(map(self._encode, calls)))
            return [await _read_next(answers, call) for call in calls]

    def _encode(self, made: record.Call) -> bytes:
        sent = self._note(made)
        lines = [f'{sent.method} {sent.path} HTTP/1.1'.encode()]
        lines.extend(b'%b: %b' % field for field in _fields(made))
        return b'\r\n'.join((*lines, b'', sent.body))

    def _note(self, made: record.Call) -> record.Sent:
        sent = _sent(made)
        self.seen.sent_by_id[made.request_id] = sent
        return sent

    def _draw_call(self, entry: Entry) -> record.Call:
        """Return the next call, before it is sent."""
        route, version = self._draw()
        made = record.Call(
            request_id=f'{self.name}-{next(self.numbers)}',
            route=route,
            once=route == 'order',
            instance=entry.name,
            lives=(entry.life, entry.life),
            sent_s=anyio.current_time(),
            ended_s=0,
            status=0,
            end=checks.GAVE_UP,
            version=version,
            fill=self._draw_fill(route),
        )
        return self._draw_habit(made)

    def _draw_habit(self, made: record.Call) -> record.Call:
        if self.habit_rng.random() < _PAUSED_SHARE:
            if made.route in {'lookup', 'order'}:
                made = made._replace(
                    pause_ms=self.habit_rng.choice(_PAUSES_MS),
                    deadline_ms=bounds.PAUSED_DEADLINE_MS,
                )
        drawn = self.habit_rng.random()
        if made.route == 'lookup' and drawn < _PAIRED_SHARE:
            return made._replace(habit='paired')
        if made.route == 'order' and drawn < _PARTED_SHARE:
            return made._replace(habit='parted')
        return made

    def _behind(self, first: record.Call) -> record.Call:
        return first._replace(
            request_id=f'{self.name}-{next(self.numbers)}',
            pause_ms=0,
            deadline_ms=bounds.PAUSED_DEADLINE_MS,
            habit='behind',
        )

    def _draw(self) -> tuple[str, int]:
        route = self.rng.choice(('lookup', 'stock', 'order', 'version'))
        if route == 'version':
            return route, self.version()
        return route, 0

    def _draw_fill(self, route: str) -> int:
        is_slow = route == 'stock' and self.slow_rng.random() < _SLOW_SHARE
        return _SLOW_BYTES if is_slow else 0


async def _read_answer(
    answer: httpcore.Response, made: record.Call
) -> record.Call:
    """Return the call with its answer; pause after each part of a large one."""
    parts = []
    async for part in answer.aiter_stream():
        parts.append(part)
        await anyio.sleep(_SLOW_PAUSE_S if made.fill else 0)
    return _answered(made, answer.status, answer.headers, b''.join(parts))


async def _read_next(
    answers: buffered.BufferedByteReceiveStream, made: record.Call
) -> record.Call:
    """Return the call with the next answer on its connection, if it comes."""
    with anyio.CancelScope(deadline=made.due_s + _PATIENCE_S):
        try:
            made = await _read_one(answers, made)
        except _ENDED:
            made = made._replace(end=checks.CUT)
    return made._replace(ended_s=anyio.current_time())


async def _read_one(
    answers: buffered.BufferedByteReceiveStream, made: record.Call
) -> record.Call:
    head = await answers.receive_until(b'\r\n\r\n', _MAX_HEAD_BYTES)
    first, *rows = head.split(b'\r\n')
    parted = [row.partition(b':') for row in rows]
    fields = [(name.lower(), field.strip()) for name, _, field in parted]
    length = int(dict(fields).get(b'content-length', 0))
    body = await answers.receive_exactly(length) if length else b''
    return _answered(made, int(first.split()[1]), fields, body)


def _answered(
    made: record.Call, status: int, fields: asgi.HeaderList, body: bytes
) -> record.Call:
    found = headers.index_fields(fields).field_by_name
    return made._replace(
        end='answered',
        status=status,
        answered_id=found.get(dialect.REQUEST_ID, b'').decode('latin-1'),
        signed=load_targets.SIGNATURE in found,
        body=body,
    )


def _fields(made: record.Call) -> asgi.HeaderList:
    return [
        (headers.HOST, published.HOST.encode()),
        (dialect.REQUEST_ID, made.request_id.encode()),
        (dialect.DEADLINE_MS, str(made.deadline_ms).encode()),
    ]


def _sent(made: record.Call) -> record.Sent:
    if made.version:
        return record.Sent('GET', f'/v{made.version}/probe', b'')
    asked = 'of=these'
    if made.pause_ms:
        asked = f'{asked}&pause={made.pause_ms}'
    if made.once:
        unit = made.request_id.encode()
        body = unit * (_BODY_BYTES // len(unit))
        return record.Sent('POST', f'/order/one?{asked}', body)
    if made.fill:
        asked = f'{asked}&fill={made.fill}'
    return record.Sent('GET', f'/{made.route}/some?{asked}', b'')
