"""A configuration service and an instance list that can lag or fail."""

import dataclasses
import typing
import urllib.parse

import anyio
import msgspec

from oleanderstair import clock
from oleanderstair.domain import notes, spread
from oleanderstair.engine import asgi

_OK: typing.Final = 200
_NOT_FOUND: typing.Final = 404
_UNAVAILABLE: typing.Final = 503
_VALUES_PREFIX: typing.Final = '/values/'
_POLL_MS: typing.Final = 20


@dataclasses.dataclass(slots=True)
class Platform:
    """Published values and instances; tests change its fields while it runs."""

    body_by_name: dict[str, bytes] = dataclasses.field(default_factory=dict)
    listed: list[dict[str, typing.Any]] = dataclasses.field(
        default_factory=list,
    )
    down: bool = False
    reads: int = 0
    last_number: int = 0
    last_digest: str = ''

    def publish(self, note: dict[str, typing.Any]) -> int:
        """Publish a note after the last one and return its number."""
        numbered = {
            'number': self.last_number + 1,
            'parent': self.last_digest,
            **note,
        }
        body = msgspec.json.encode(numbered)
        self.last_number += 1
        self.last_digest = notes.digest(body)
        self.body_by_name[spread.note_name(self.last_number)] = body
        self.body_by_name[spread.HEAD_NAME] = msgspec.json.encode(
            {'number': self.last_number, 'digest': self.last_digest},
        )
        return self.last_number

    async def __call__(
        self,
        scope: asgi.Scope,
        receive: asgi.Receive,
        send: asgi.Send,
    ) -> None:
        """Answer one read."""
        self.reads += 1
        if self.down:
            await asgi.respond(send, _UNAVAILABLE, [], b'')
        elif scope['path'] == '/instances':
            await asgi.respond_json(send, _OK, self.listed)
        else:
            await self._answer_value(scope, send)

    async def _answer_value(self, scope: asgi.Scope, send: asgi.Send) -> None:
        name = scope['path'].removeprefix(_VALUES_PREFIX)
        query = urllib.parse.parse_qs(scope['query_string'].decode())
        known = query.get('digest')
        if known:
            wait_ms = int(query['wait_ms'][0])
            await self._wait_for_change(name, known[0], wait_ms)
        body = self.body_by_name.get(name)
        if body is None:
            await asgi.respond(send, _NOT_FOUND, [], b'')
            return
        length = (b'content-length', str(len(body)).encode())
        await asgi.respond(send, _OK, [length], body)

    async def _wait_for_change(
        self,
        name: str,
        digest: str,
        wait_ms: clock.Millis,
    ) -> None:
        with anyio.move_on_after(clock.to_seconds(wait_ms)):
            while notes.digest(self.body_by_name.get(name, b'')) == digest:
                await anyio.sleep(clock.to_seconds(_POLL_MS))


def create() -> Platform:
    """Create a platform that has published nothing."""
    return Platform()
