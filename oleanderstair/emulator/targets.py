"""Targets that serve with slots and service times, or fail on demand."""

import dataclasses
import enum
import itertools
import typing

import anyio

from oleanderstair import clock
from oleanderstair.engine import asgi, headers, listener, probes

_OK: typing.Final = 200
_FAILED: typing.Final = 500
_UNAVAILABLE: typing.Final = 503
_CUT: typing.Final = b'HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\ncut'


class Behaviour(enum.Enum):
    """What a target does with a call that it takes."""

    SERVE = 'serve'
    SLOW = 'slow'
    FAIL_FAST = 'fail-fast'
    CRASH = 'crash'
    SILENT = 'silent'
    CUT_SHORT = 'cut-short'


@dataclasses.dataclass(slots=True)
class Target:
    """One target; tests and demos change its fields while it runs.

    It serves ``slots`` calls at once, queues up to ``queue_limit`` and
    sheds the rest with an authoritative not-run. The first ``cold_calls``
    after a start take ``cold_factor`` times as long. A client that goes
    away, or a deadline that passes, frees the slot.
    """

    target_id: str
    slots: int = 4
    queue_limit: int = 0
    service_ms: clock.Millis = 2
    behaviour: Behaviour = Behaviour.SERVE
    slow_factor: float = 20
    cold_calls: int = 0
    cold_factor: float = 10
    leaving: bool = False
    claims_healthy: bool = True
    reported_in_flight: int | None = None
    incarnation: str = '1'
    in_flight: int = 0
    most_in_flight: int = 0
    over_slot_calls: int = 0
    leaving_calls: int = 0
    probe_reads: int = 0
    served_by_key: dict[str, int] = dataclasses.field(default_factory=dict)
    served: int = 0
    cancelled: int = 0
    late: int = 0

    free: anyio.CapacityLimiter = dataclasses.field(init=False)

    def __post_init__(self) -> None:
        """Open the slots."""
        self.free = anyio.CapacityLimiter(self.slots)

    async def __call__(
        self,
        scope: asgi.Scope,
        receive: asgi.Receive,
        send: asgi.Send,
    ) -> None:
        """Answer one request as the behaviour says."""
        if scope['path'] == probes.HEALTH_PATH:
            await self._answer_health(send)
        elif scope['path'] == probes.LOAD_PATH:
            await self._answer_load(send)
        elif self.in_flight >= self.slots + self.queue_limit:
            self.over_slot_calls += 1
            await self._shed(send)
        elif self.leaving:
            self.leaving_calls += 1
            await self._shed(send)
        else:
            await self._take(scope, send)

    async def _answer_health(self, send: asgi.Send) -> None:
        self.probe_reads += 1
        document = {
            'healthy': self.claims_healthy,
            'leaving': self.leaving,
            'incarnation': self.incarnation,
        }
        await asgi.respond_json(send, _OK, document)

    async def _answer_load(self, send: asgi.Send) -> None:
        self.probe_reads += 1
        claimed = self.reported_in_flight
        document = {
            'in_flight': self.in_flight if claimed is None else claimed,
            'queued': max(self.in_flight - self.slots, 0),
        }
        await asgi.respond_json(send, _OK, document)

    async def _take(self, scope: asgi.Scope, send: asgi.Send) -> None:
        self.in_flight += 1
        self.most_in_flight = max(self.most_in_flight, self.in_flight)
        work = anyio.CancelScope()
        limit_ms = headers.parse_count(
            headers.find_field(scope['headers'], headers.DEADLINE_MS),
        )
        if limit_ms and self.behaviour is not Behaviour.SILENT:
            work.deadline = anyio.current_time() + clock.to_seconds(limit_ms)
        try:
            with listener.watch_disconnect(scope, work.cancel), work:
                await self._run(scope, send)
        finally:
            self.in_flight -= 1
        if work.cancelled_caught:
            await self._give_up(scope, send)

    async def _run(self, scope: asgi.Scope, send: asgi.Send) -> None:
        async with self.free:
            key = headers.find_field(scope['headers'], headers.KEY).decode(
                'latin-1'
            )
            self.served += 1
            if key:
                self.served_by_key[key] = self.served_by_key.get(key, 0) + 1
            await self._behave(scope, send, key)

    async def _behave(
        self,
        scope: asgi.Scope,
        send: asgi.Send,
        key: str,
    ) -> None:
        transport = listener.protocol_of(scope).transport
        if self.behaviour is Behaviour.SILENT:
            await anyio.sleep_forever()
        elif self.behaviour is Behaviour.CRASH:
            transport.abort()
        elif self.behaviour is Behaviour.CUT_SHORT:
            transport.write(_CUT)
            transport.close()
        elif self.behaviour is Behaviour.FAIL_FAST:
            await asgi.respond_json(send, _FAILED, {'error': 'fails fast'})
        else:
            await anyio.sleep(clock.to_seconds(self._next_service_ms()))
            document = {'target': self.target_id, 'key': key}
            await asgi.respond_json(send, _OK, document, self._notices())

    def _next_service_ms(self) -> clock.Millis:
        span_ms = self.service_ms
        if self.behaviour is Behaviour.SLOW:
            span_ms *= self.slow_factor
        if self.cold_calls:
            self.cold_calls -= 1
            span_ms *= self.cold_factor
        return span_ms

    def _notices(self) -> asgi.HeaderList:
        return [(headers.LEAVING, b'1')] if self.leaving else []

    async def _give_up(self, scope: asgi.Scope, send: asgi.Send) -> None:
        if listener.protocol_of(scope).transport.is_closing():
            self.cancelled += 1
            return
        self.late += 1
        await asgi.respond_json(send, _UNAVAILABLE, {'error': 'too late'})

    async def _shed(self, send: asgi.Send) -> None:
        await asgi.respond_json(
            send,
            _UNAVAILABLE,
            {'error': 'no free slot'},
            [
                (headers.OUTCOME, b'not-run'),
                (headers.RETRY_AFTER, b'1'),
                *self._notices(),
            ],
        )


def create_many(
    service: str,
    count: int,
    slots: int,
    service_ms: clock.Millis,
) -> dict[str, Target]:
    """Create the targets of a service by id, as ``service-01`` and on."""
    numbers = itertools.islice(itertools.count(1), count)
    ids = [f'{service}-{number:02}' for number in numbers]
    return {
        target_id: Target(target_id, slots=slots, service_ms=service_ms)
        for target_id in ids
    }
