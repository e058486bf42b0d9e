"""A caller that does what the callers' page asks of one."""

import collections
import dataclasses
import itertools
import random
import typing

import anyio
import httpcore
import msgspec

from oleanderstair import clock
from oleanderstair.domain.calls import addresses
from oleanderstair.engine import caller_app, headers

_PAUSE_MS: typing.Final = 5
_CONNECTIONS: typing.Final = 64
_MS_PER_S: typing.Final = 1000
_PATIENCE_MS: typing.Final = 12_000
"""How long a caller waits at most: more than the longest deadline it states."""


class Told(typing.NamedTuple):
    """What one answer stated."""

    status: int
    outcome: str
    reason: str
    body: bytes


@dataclasses.dataclass(slots=True)
class Caller:
    """Asks an instance for the addresses and spreads calls over them.

    Its calls state ``deadline_ms``, or none where that is 0.
    """

    ask_at: list[str]
    rng: random.Random
    pool: httpcore.AsyncConnectionPool
    known: list[addresses.Address] = dataclasses.field(default_factory=list)
    asked_at_s: float = 0
    deadline_ms: int = 0
    valid_ms: int = 0
    count_by_outcome: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter,
    )
    nonces: typing.Iterator[int] = dataclasses.field(
        default_factory=itertools.count,
    )

    async def ask(self) -> list[addresses.Address]:
        """Return the addresses that an instance names now."""
        for address in (
            *(entry['address'] for entry in self.known),
            *self.ask_at,
        ):
            url = f'http://{address}{caller_app.ADDRESSES_PATH}'
            try:
                answer = await self.pool.request('GET', url)
            except (httpcore.NetworkError, httpcore.ProtocolError):
                continue
            found = msgspec.json.decode(
                answer.content,
                type=addresses.AddressAnswer,
            )
            if found['addresses']:
                self.known = found['addresses']
                self.valid_ms = found['valid_ms']
                self.asked_at_s = anyio.current_time()
                return self.known
        return []

    async def look_up(self, service: str) -> Told:
        """Make one idempotent call at an address of the caller's choice."""
        entry = self.rng.choice(await self._valid())
        return await self.call(entry['address'], service, 'GET')

    async def call(
        self,
        address: str,
        service: str,
        method: str,
        key: str = '',
    ) -> Told:
        """Make one call and count its outcome."""
        fields = [(headers.SERVICE, service.encode())]
        if key:
            fields.append((headers.KEY, key.encode()))
        if self.deadline_ms:
            told = str(self.deadline_ms).encode()
            fields.append((headers.DEADLINE_MS, told))
        try:
            answer = await self.pool.request(
                method,
                f'http://{address}/listings',
                headers=fields,
            )
        except httpcore.ConnectError:
            # Nothing was sent, so another address may be asked.
            self.count_by_outcome['not-sent'] += 1
            self.known = []
            return Told(0, 'not-sent', '', b'')
        except (httpcore.NetworkError, httpcore.ProtocolError) as error:
            self.count_by_outcome['cut-off'] += 1
            return Told(0, 'cut-off', repr(error), b'')
        fields_told = headers.index_fields(answer.headers).field_by_name
        outcome = fields_told.get(headers.OUTCOME, b'').decode()
        reason = fields_told.get(headers.REASON, b'').decode()
        self.count_by_outcome[f'{outcome} {reason}'.strip()] += 1
        if reason == 'stopping':
            self.known = []
        return Told(answer.status, outcome, reason, answer.content)

    async def keep_calling(self, services: typing.Sequence[str]) -> None:
        """Make lookups one after another until cancelled."""
        for service in itertools.cycle(services):
            # Without a bound it would wait for instances that have ended.
            patience_s = clock.to_seconds(_PATIENCE_MS)
            with anyio.move_on_after(patience_s, shield=True):
                await self.look_up(service)
            await anyio.sleep(clock.to_seconds(_PAUSE_MS))

    async def _valid(self) -> list[addresses.Address]:
        age_ms = (anyio.current_time() - self.asked_at_s) * _MS_PER_S
        if self.known and age_ms < self.valid_ms:
            return self.known
        while not await self.ask():
            await anyio.sleep(clock.to_seconds(_PAUSE_MS))
        return self.known


def create(
    ask_at: list[str],
    pool: httpcore.AsyncConnectionPool,
    seed: int = 1,
    deadline_ms: int = 0,
) -> Caller:
    """Create a caller that knows where to ask for addresses."""
    return Caller(
        ask_at,
        random.Random(seed),
        pool,
        deadline_ms=deadline_ms,
    )


def pool() -> httpcore.AsyncConnectionPool:
    """Create the kept connections of some callers.

    They don't expire: the library closes an expired connection also where a
    request was assigned to it just before the process was held up. Those
    that an instance has closed are found when a connection is next chosen.
    """
    return httpcore.AsyncConnectionPool(max_connections=_CONNECTIONS)
