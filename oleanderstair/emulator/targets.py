"""Targets that serve with slots and service times, or fail on demand."""

import dataclasses
import enum
import itertools
import random
import typing

import anyio

from oleanderstair import clock
from oleanderstair.engine import asgi, headers, probes

_OK: typing.Final = 200
_FAILED: typing.Final = 500
_UNAVAILABLE: typing.Final = 503


class Behaviour(enum.Enum):
    """What a target does with a call."""

    SERVE = 'serve'
    FAIL_FAST = 'fail-fast'
    CRASH = 'crash'
    SILENT = 'silent'
    CUT_SHORT = 'cut-short'


@dataclasses.dataclass(slots=True)
class Target:
    """One target; tests and demos change its fields while it runs.

    It serves ``slots`` calls at once, queues up to ``queue_limit`` and
    sheds the rest with an authoritative not-run.
    """

    target_id: str
    slots: int = 4
    queue_limit: int = 0
    service_ms: clock.Millis = 2
    rng: random.Random = dataclasses.field(
        default_factory=lambda: random.Random(1),
    )
    behaviour: Behaviour = Behaviour.SERVE
    leaving: bool = False
    reported_in_flight: int | None = None
    incarnation: str = '1'
    in_flight: int = 0
    most_in_flight: int = 0
    over_slot_calls: int = 0
    probe_reads: int = 0
    served_by_key: dict[str, int] = dataclasses.field(default_factory=dict)
    served: int = 0
    cancelled: int = 0
    free: anyio.Condition = dataclasses.field(default_factory=anyio.Condition)

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
        else:
            await self._answer_call(scope, receive, send)

    async def _answer_health(self, send: asgi.Send) -> None:
        self.probe_reads += 1
        document = {
            'healthy': True,
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

    async def _answer_call(
        self,
        scope: asgi.Scope,
        receive: asgi.Receive,
        send: asgi.Send,
    ) -> None:
        if self.in_flight >= self.slots + self.queue_limit:
            self.over_slot_calls += 1
            await self._shed(send)
            return
        self.in_flight += 1
        self.most_in_flight = max(self.most_in_flight, self.in_flight)
        try:
            await self._run(scope, receive, send)
        except anyio.get_cancelled_exc_class():
            self.cancelled += 1
            raise
        finally:
            self.in_flight -= 1

    async def _run(
        self,
        scope: asgi.Scope,
        receive: asgi.Receive,
        send: asgi.Send,
    ) -> None:
        key = headers.find(scope['headers'], headers.KEY).decode('latin-1')
        self.served += 1
        if key:
            self.served_by_key[key] = self.served_by_key.get(key, 0) + 1
        if self.behaviour is Behaviour.SILENT:
            await anyio.sleep_forever()
        if self.behaviour is Behaviour.CRASH:
            raise ConnectionError('crashed on demand')
        if self.behaviour is Behaviour.FAIL_FAST:
            await asgi.respond_json(send, _FAILED, {'error': 'fails fast'})
            return
        await anyio.sleep(clock.to_seconds(self.service_ms))
        document = {'target': self.target_id, 'key': key}
        await asgi.respond_json(send, _OK, document)

    async def _shed(self, send: asgi.Send) -> None:
        await asgi.respond_json(
            send,
            _UNAVAILABLE,
            {'error': 'no free slot'},
            [(headers.OUTCOME, b'not-run'), (headers.RETRY_AFTER, b'1')],
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
