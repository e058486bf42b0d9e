"""A configuration service and an instance list that can lag or fail."""

import dataclasses
import enum
import typing
import urllib.parse

import anyio
import msgspec

from oleanderstair import clock
from oleanderstair.domain.configuration import notes, note_values
from oleanderstair.engine import asgi, http_platform

_OK: typing.Final = 200
_NOT_FOUND: typing.Final = 404
_UNAVAILABLE: typing.Final = 503
_VALUES_PREFIX: typing.Final = '/values/'
_POLL_MS: typing.Final = 20


class Fault(enum.Enum):
    """What is wrong with the platform."""

    NONE = 'none'
    DOWN = 'down'
    STALE = 'stale'
    MALFORMED = 'malformed'
    TOO_LARGE = 'too-large'
    SLOW = 'slow'
    SILENT = 'silent'


@dataclasses.dataclass(slots=True)
class Platform:
    """Published values and instances; tests change its fields while it runs."""

    body_by_name: dict[str, bytes] = dataclasses.field(default_factory=dict)
    listed: list[dict[str, typing.Any]] = dataclasses.field(
        default_factory=list,
    )
    fault: Fault = Fault.NONE
    slow_ms: clock.Millis = 500
    stale_body_by_name: dict[str, bytes] = dataclasses.field(
        default_factory=dict,
    )
    reads: int = 0
    last_number: int = 0
    last_digest: str = ''

    @property
    def down(self) -> bool:
        """Return whether every read fails."""
        return self.fault is Fault.DOWN

    @down.setter
    def down(self, is_down: bool) -> None:
        self.fault = Fault.DOWN if is_down else Fault.NONE

    def freeze(self) -> None:
        """Serve what is published now, whatever is published later."""
        self.stale_body_by_name = dict(self.body_by_name)
        self.fault = Fault.STALE

    def publish(self, note: dict[str, typing.Any]) -> int:
        """Publish a note after the last one and return its number."""
        numbered = {
            'number': self.last_number + 1,
            'parent': self.last_digest,
            **note,
        }
        body = msgspec.json.encode(numbered)
        self.last_number += 1
        self.last_digest = notes.body_digest(body)
        self.body_by_name[note_values.note_value_name(self.last_number)] = body
        self.body_by_name[note_values.HEAD_NAME] = msgspec.json.encode(
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
        faulty = _BODY_BY_FAULT.get(self.fault)
        if self.fault is Fault.SLOW:
            await anyio.sleep(clock.to_seconds(self.slow_ms))
        if self.fault is Fault.SILENT:
            await _wait_for_the_client(receive)
        elif self.down:
            await asgi.respond(send, _UNAVAILABLE, [], b'')
        elif faulty:
            await _respond_whole(send, faulty)
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
        body = self._served().get(name)
        if body is None:
            await asgi.respond(send, _NOT_FOUND, [], b'')
            return
        await _respond_whole(send, body)

    def _served(self) -> dict[str, bytes]:
        if self.fault is Fault.STALE:
            return self.stale_body_by_name
        return self.body_by_name

    async def _wait_for_change(
        self,
        name: str,
        digest: str,
        wait_ms: clock.Millis,
    ) -> None:
        with anyio.move_on_after(clock.to_seconds(wait_ms)):
            while notes.body_digest(self._served().get(name, b'')) == digest:
                await anyio.sleep(clock.to_seconds(_POLL_MS))


async def _respond_whole(send: asgi.Send, body: bytes) -> None:
    length = (b'content-length', str(len(body)).encode())
    await asgi.respond(send, _OK, [length], body)


async def _wait_for_the_client(receive: asgi.Receive) -> None:
    while True:
        message = await receive()
        if message['type'] == 'http.disconnect':
            return


_BODY_BY_FAULT: typing.Final = {
    Fault.MALFORMED: b'{"number": ',
    Fault.TOO_LARGE: b' ' * (http_platform.MAX_VALUE_BYTES + 1),
}


def create() -> Platform:
    """Create a platform that has published nothing."""
    return Platform()
