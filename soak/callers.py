"""Callers that keep a connection until the instance ends it."""

import dataclasses
import itertools
import random
import socket
import typing

import anyio
import httpcore

from oleanderstair import clock
from oleanderstair.emulator import load_targets, published
from oleanderstair.engine import headers
from oleanderstair.platform import dialect
from soak import bounds, checks, record

_PAUSE_S: typing.Final = 0.04
_PATIENCE_S: typing.Final = clock.to_seconds(bounds.DEADLINE_MS) + 1
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


class Entry(typing.Protocol):
    """An instance as callers know it."""

    name: str
    life: int


@dataclasses.dataclass(slots=True)
class Caller:
    """Makes one call after another, most of them on one connection.

    ``version`` tells the newest configuration that the store confirmed.
    ``slow_rng`` draws which answers are large and read slowly.
    """

    name: str
    rng: random.Random
    seen: record.Record
    entries: typing.Sequence[Entry]
    address_by_name: dict[str, str]
    version: typing.Callable[[], int]
    slow_rng: random.Random
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
            made = await self._call(pool, entry)
            self.seen.calls.append(made)
            await anyio.sleep(_PAUSE_S)
            if not made.status:
                await anyio.sleep(_MOVE_PAUSE_S)
                return

    async def _call(
        self,
        pool: httpcore.AsyncConnectionPool,
        entry: Entry,
    ) -> record.Call:
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
            end='gave-up',
            version=version,
            fill=self._draw_fill(route),
        )
        with anyio.move_on_after(_PATIENCE_S):
            made = await self._ask(pool, made)
        return made._replace(
            ended_s=anyio.current_time(),
            lives=(made.lives[0], entry.life),
        )

    async def _ask(
        self,
        pool: httpcore.AsyncConnectionPool,
        made: record.Call,
    ) -> record.Call:
        sent = _sent(made)
        self.seen.sent_by_id[made.request_id] = sent
        try:
            async with pool.stream(
                sent.method,
                f'http://{self.address_by_name[made.instance]}{sent.path}',
                headers=[
                    (headers.HOST, published.HOST.encode()),
                    (dialect.REQUEST_ID, made.request_id.encode()),
                    (dialect.DEADLINE_MS, str(bounds.DEADLINE_MS).encode()),
                ],
                content=sent.body,
            ) as answer:
                return await _read_answer(answer, made)
        except httpcore.ConnectError:
            return made._replace(end='not-sent')
        except (httpcore.NetworkError, httpcore.ProtocolError):
            return made._replace(end=checks.CUT)

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
    found = headers.index_fields(answer.headers).field_by_name
    return made._replace(
        end='answered',
        status=answer.status,
        answered_id=found.get(dialect.REQUEST_ID, b'').decode('latin-1'),
        signed=load_targets.SIGNATURE in found,
        body=b''.join(parts),
    )


def _sent(made: record.Call) -> record.Sent:
    if made.version:
        return record.Sent('GET', f'/v{made.version}/probe', b'')
    if made.once:
        unit = made.request_id.encode()
        body = unit * (_BODY_BYTES // len(unit))
        return record.Sent('POST', '/order/one?of=these', body)
    path = f'/{made.route}/some?of=these'
    if made.fill:
        path = f'{path}&fill={made.fill}'
    return record.Sent('GET', path, b'')
