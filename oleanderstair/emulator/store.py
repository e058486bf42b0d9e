"""The platform's store over HTTP: pages, watches, a history that ends."""

import base64
import dataclasses
import enum
import typing
import urllib.parse

import anyio
import msgspec

from oleanderstair import clock
from oleanderstair.engine import asgi
from oleanderstair.platform import documents

_OK: typing.Final = 200
_NOT_FOUND: typing.Final = 404
_HISTORY_GONE: typing.Final = 410
_UNAVAILABLE: typing.Final = 503
_POLL_MS: typing.Final = 10


class Copy(typing.NamedTuple):
    """What the store held at a moment."""

    item_by_key: dict[str, documents.Item]
    history: list[documents.Item]
    revision: int


class Fault(enum.Enum):
    """What is wrong with the store."""

    NONE = 'none'
    DOWN = 'down'
    SLOW = 'slow'
    SILENT = 'silent'
    GARBLED = 'garbled'


Query: typing.TypeAlias = dict[str, list[str]]
Document: typing.TypeAlias = dict[str, typing.Any]


@dataclasses.dataclass(slots=True)
class Store:
    """Items by key; tests change its fields while it runs.

    ``page_items`` bounds a page, ``known_from`` is the oldest revision
    after which changes are still known. ``era`` counts the starts from a copy.
    """

    item_by_key: dict[str, documents.Item] = dataclasses.field(
        default_factory=dict,
    )
    history: list[documents.Item] = dataclasses.field(default_factory=list)
    revision: int = 1
    known_from: int = 1
    era: int = 1
    page_items: int = 500
    fault: Fault = Fault.NONE
    slow_ms: clock.Millis = 200
    calls: int = 0

    def put(self, key: str, held: object) -> int:
        """Hold a document, or bytes as they are; return the revision."""
        body = held if isinstance(held, bytes) else msgspec.json.encode(held)
        self.revision += 1
        written = documents.Item(
            key,
            self.revision,
            base64.b64encode(body).decode(),
        )
        self.item_by_key[key] = written
        self.history.append(written)
        return self.revision

    def remove(self, key: str) -> int:
        """Hold nothing under a key any more; return the revision."""
        self.item_by_key.pop(key, None)
        self.revision += 1
        self.history.append(documents.Item(key, self.revision, deleted=True))
        return self.revision

    def forget_history(self) -> None:
        """Answer 410 to watches from before now."""
        self.history.clear()
        self.known_from = self.revision

    def copy(self) -> Copy:
        """Return what the store holds now."""
        return Copy(dict(self.item_by_key), list(self.history), self.revision)

    def restore(self, kept: Copy) -> None:
        """Hold what a copy holds, and lose everything written since."""
        self.item_by_key = dict(kept.item_by_key)
        self.history = list(kept.history)
        self.revision = kept.revision
        self.known_from = min(self.known_from, self.revision)
        self.era += 1

    async def __call__(
        self,
        scope: asgi.Scope,
        receive: asgi.Receive,
        send: asgi.Send,
    ) -> None:
        """Answer one call."""
        self.calls += 1
        query = urllib.parse.parse_qs(scope['query_string'].decode())
        if self.fault is Fault.SILENT:
            await anyio.sleep_forever()
        if self.fault is Fault.SLOW:
            await anyio.sleep(clock.to_seconds(self.slow_ms))
        if self.fault is Fault.DOWN:
            await self._respond(send, _UNAVAILABLE)
        elif self.fault is Fault.GARBLED:
            await self._respond(send, _OK, {'items': 0, 'events': 0})
        else:
            await self._answer(scope['path'], query, send)

    async def _answer(self, path: str, query: Query, send: asgi.Send) -> None:
        prefix = query.get('prefix', [''])[0]
        after = query.get('after', [''])[0]
        if path == '/-/kv-key':
            await self._answer_key(query['key'][0], send)
        elif path == '/-/kv-range':
            await self._respond(send, _OK, self._page(prefix, after))
        elif path == '/-/kv-watch':
            bound_ms = int(query['wait_ms'][0])
            await self._answer_watch(prefix, int(after), bound_ms, send)
        else:
            await self._respond(send, _NOT_FOUND)

    async def _respond(
        self, send: asgi.Send, status: int, document: Document | None = None
    ) -> None:
        fields = [(documents.STORE_ERA, str(self.era).encode())]
        if document is None:
            await asgi.respond(send, status, fields, b'')
        else:
            await asgi.respond_json(send, status, document, fields)

    async def _answer_key(self, key: str, send: asgi.Send) -> None:
        held = self.item_by_key.get(key)
        if held is None:
            await self._respond(send, _NOT_FOUND)
            return
        document = {**_document(held), 'at_revision': self.revision}
        await self._respond(send, _OK, document)

    def _page(self, prefix: str, after: str) -> Document:
        held = [
            item
            for key, item in sorted(self.item_by_key.items())
            if key.startswith(prefix) and key > after
        ]
        listed = held[: self.page_items]
        return {
            'items': [_document(item) for item in listed],
            'has_more': len(held) > len(listed),
            'at_revision': self.revision,
        }

    async def _answer_watch(
        self,
        prefix: str,
        after: int,
        bound_ms: clock.Millis,
        send: asgi.Send,
    ) -> None:
        with anyio.move_on_after(clock.to_seconds(bound_ms)):
            await self._wait_for_news(prefix, after)
        # Read with the revision, or a change just before the end is skipped.
        news = self._news_after(prefix, after)
        if self._is_forgotten(after):
            await self._respond(send, _HISTORY_GONE)
            return
        document = {
            'events': [_document(item) for item in news],
            'at_revision': self.revision,
        }
        await self._respond(send, _OK, document)

    def _is_forgotten(self, after: int) -> bool:
        """Return whether the store doesn't have a revision, or not since it."""
        return not self.known_from <= after <= self.revision

    async def _wait_for_news(self, prefix: str, after: int) -> None:
        while not self._is_forgotten(after) and not self._news_after(
            prefix, after
        ):
            await anyio.sleep(clock.to_seconds(_POLL_MS))

    def _news_after(self, prefix: str, after: int) -> list[documents.Item]:
        return [
            item
            for item in self.history
            if item.revision > after and item.key.startswith(prefix)
        ]


def create() -> Store:
    """Create a store that holds nothing."""
    return Store()


def _document(item: documents.Item) -> Document:
    if item.deleted:
        return {'key': item.key, 'revision': item.revision, 'deleted': True}
    return {'key': item.key, 'value': item.value, 'revision': item.revision}
