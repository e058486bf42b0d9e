"""Reads and watches the platform's store over HTTP."""

import typing

import anyio
import httpcore
import msgspec
import result

from oleanderstair import clock, errors, logs
from oleanderstair.domain import events
from oleanderstair.domain.tables import registry, routes
from oleanderstair.platform import documents

_OK: typing.Final = 200
_NOT_FOUND: typing.Final = 404
_HISTORY_GONE: typing.Final = 410
_READ_BOUND_MS: typing.Final = 3000
_WATCH_SLACK_MS: typing.Final = 2000
_CONNECTIONS: typing.Final = 2


class StoreError(Exception):
    """The store did not give what was asked for; the text says why."""


class _Page(msgspec.Struct):
    items: list[documents.Item]
    has_more: bool
    at_revision: int


class _Changes(msgspec.Struct):
    events: list[documents.Item]
    at_revision: int


class HttpStore:
    """The store at an address."""

    def __init__(self, address: str, told: clock.Clock) -> None:
        """Read the store at ``address``, host and port."""
        self._address = address
        self._clock = told
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=_CONNECTIONS,
            keepalive_expiry=clock.to_seconds(_READ_BOUND_MS),
        )

    async def read(self) -> events.StoreRead | events.StoreFailed:
        """Return all that the store holds."""
        try:
            routing = await self._read_configuration()
            found = await self._read_targets()
        except StoreError as error:
            return events.StoreFailed(str(error))
        return events.StoreRead(routing, found)

    async def watch(
        self,
        after_revision: int,
        bound_ms: clock.Millis,
    ) -> events.StoreChanged | events.HistoryLost | events.StoreFailed:
        """Wait up to ``bound_ms`` for a change after a revision."""
        path = (
            f'/-/kv-watch?prefix=&after={after_revision}'
            f'&wait_ms={int(bound_ms)}'
        )
        try:
            status, body = await self._get(path, bound_ms + _WATCH_SLACK_MS)
            if status == _HISTORY_GONE:
                return events.HistoryLost()
            changes = _decode(status, body, _Changes)
        except StoreError as error:
            return events.StoreFailed(str(error))
        return self._changed(changes)

    async def _read_configuration(self) -> routes.Routing | None:
        path = f'/-/kv-key?key={documents.CONFIGURATION_KEY}'
        status, body = await self._get(path, _READ_BOUND_MS)
        if status == _NOT_FOUND:
            return None
        return _logged(
            documents.read_configuration(
                _decode(status, body, documents.Item),
            ),
        )

    async def _read_targets(self) -> events.RegistryRead:
        entries: list[registry.Entry] = []
        first_revision = 0
        after = ''
        while True:
            page = await self._read_page(after)
            # Pages are no snapshot: what changes meanwhile is watched for.
            first_revision = first_revision or page.at_revision
            for listed in page.items:
                entry = self._target(listed)
                if entry is not None:
                    entries.append(entry)
            if not page.has_more or not page.items:
                return events.RegistryRead(first_revision, tuple(entries))
            after = page.items[-1].key

    async def _read_page(self, after: str) -> _Page:
        path = f'/-/kv-range?prefix={documents.TARGET_PREFIX}&after={after}'
        status, body = await self._get(path, _READ_BOUND_MS)
        return _decode(status, body, _Page)

    def _changed(self, changes: _Changes) -> events.StoreChanged:
        configurations = [
            _logged(documents.read_configuration(published))
            for published in changes.events
            if published.key == documents.CONFIGURATION_KEY
        ]
        readable = [found for found in configurations if found is not None]
        told = [
            listed
            for listed in changes.events
            if listed.key.startswith(documents.TARGET_PREFIX)
        ]
        entries = [self._target(found) for found in told if not found.deleted]
        return events.StoreChanged(
            readable[-1] if readable else None,
            events.RegistryChanged(
                changes.at_revision,
                tuple(entry for entry in entries if entry is not None),
                tuple(
                    events.GoneEntry(
                        documents.target_id_of(ended),
                        ended.revision,
                    )
                    for ended in told
                    if ended.deleted
                ),
            ),
        )

    def _target(self, listed: documents.Item) -> registry.Entry | None:
        return _logged(documents.read_target(listed, self._clock.now_ms()))

    async def _get(
        self,
        path: str,
        bound_ms: clock.Millis,
    ) -> tuple[int, bytes]:
        try:
            with anyio.fail_after(clock.to_seconds(bound_ms)):
                response = await self._pool.request(
                    'GET',
                    f'http://{self._address}{path}',
                )
        except TimeoutError as late:
            raise StoreError('no answer in time') from late
        except (httpcore.NetworkError, httpcore.ProtocolError) as error:
            raise StoreError(repr(error)) from error
        return response.status, response.content


def create(address: str, told: clock.Clock) -> HttpStore:
    """Create a reader of the store at ``address``."""
    return HttpStore(address, told)


_Document = typing.TypeVar('_Document')
_Read = typing.TypeVar('_Read')


def _decode(status: int, body: bytes, kind: type[_Document]) -> _Document:
    if status != _OK:
        raise StoreError(f'status {status}')
    try:
        return msgspec.json.decode(body, type=kind)
    except msgspec.MsgspecError as error:
        raise StoreError(str(error)) from error


def _logged(read: result.Result[_Read, errors.Problem]) -> _Read | None:
    """Return what was read; what could not be is logged and left out."""
    if isinstance(read, result.Ok):
        return read.ok_value
    logs.event('value-refused', why=read.err_value.message)
    return None
