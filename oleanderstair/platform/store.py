"""Reads and watches the platform's store over HTTP."""

import typing
import urllib.parse

import msgspec
import result

from oleanderstair import clock, errors, logs
from oleanderstair.domain import events
from oleanderstair.domain.tables import registry, routes
from oleanderstair.engine import exchanges, headers
from oleanderstair.platform import documents

_OK: typing.Final = 200
_HISTORY_GONE: typing.Final = 410
_STORE: typing.Final = 'store'


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
        self._connections = exchanges.create()

    async def read(
        self,
        bound_ms: clock.Millis,
    ) -> events.StoreRead | events.StoreFailed:
        """Return all that the store holds; each page within ``bound_ms``."""
        try:
            return self._whole(await self._read_pages(bound_ms))
        except StoreError as error:
            logs.event('store-failed', call='read', why=str(error))
            return events.StoreFailed(str(error))

    async def watch(
        self,
        after_revision: int,
        bound_ms: clock.Millis,
        slack_ms: clock.Millis,
    ) -> events.StoreChanged | events.HistoryLost | events.StoreFailed:
        """Wait up to ``bound_ms`` for a change after a revision.

        It has failed where no answer has come ``slack_ms`` later.
        """
        path = (
            f'/-/kv-watch?prefix=&after={after_revision}'
            f'&wait_ms={int(bound_ms)}'
        )
        try:
            status, body = await self._get(path, bound_ms + slack_ms)
            if status == _HISTORY_GONE:
                return events.HistoryLost()
            changes = _decode(status, body, _Changes)
        except StoreError as error:
            logs.event('store-failed', call='watch', why=str(error))
            return events.StoreFailed(str(error))
        return self._changed(changes)

    async def _read_pages(self, bound_ms: clock.Millis) -> list[_Page]:
        pages: list[_Page] = []
        after = ''
        while True:
            path = f'/-/kv-range?prefix=&after={after}'
            status, body = await self._get(path, bound_ms)
            page = _decode(status, body, _Page)
            pages.append(page)
            if not page.has_more or not page.items:
                return pages
            after = urllib.parse.quote(page.items[-1].key, safe='')

    def _whole(self, pages: list[_Page]) -> events.StoreRead:
        found = [listed for page in pages for listed in page.items]
        told = [listed for listed in found if documents.is_target(listed)]
        entries = self._targets(told)
        readable = {entry.target_id for entry in entries}
        published = _configuration(found)
        return events.StoreRead(
            published.routing,
            events.RegistryRead(
                # Pages are no snapshot: later changes are watched for.
                pages[0].at_revision,
                entries,
                frozenset(map(documents.target_id_of, told)) - readable,
            ),
            published.refused,
        )

    def _changed(self, changes: _Changes) -> events.StoreChanged:
        newest = {changed.key: changed for changed in changes.events}
        told = [
            changed
            for changed in newest.values()
            if documents.is_target(changed)
        ]
        published = _configuration(changes.events)
        return events.StoreChanged(
            published.routing,
            events.RegistryChanged(
                changes.at_revision,
                self._targets(told),
                tuple(
                    registry.Gone(
                        documents.target_id_of(ended),
                        ended.revision,
                    )
                    for ended in told
                    if ended.deleted
                ),
            ),
            published.refused,
        )

    def _targets(
        self,
        told: list[documents.Item],
    ) -> tuple[registry.Entry, ...]:
        now_ms = self._clock.now_ms()
        read = (
            _logged(documents.read_target(listed, now_ms), listed)
            for listed in told
            if not listed.deleted
        )
        return tuple(entry for entry in read if entry is not None)

    async def _get(
        self,
        path: str,
        bound_ms: clock.Millis,
    ) -> tuple[int, bytes]:
        # Answers bear no id: on a connection that was used before, a late copy
        # of the last one would be taken for this.
        place = exchanges.Place(
            _STORE,
            self._address,
            fresh=True,
            silence_ms=bound_ms,
        )
        fields = [(headers.HOST, self._address.encode())]
        request = exchanges.Request(b'GET', path.encode(), fields, b'')
        ended = await self._connections.exchange(place, request, _take_any)
        self._connections.close_idle(_STORE)
        if ended.answer is None:
            raise StoreError(ended.what or 'no answer in time')
        return ended.answer.status, ended.answer.body


def create(address: str, told: clock.Clock) -> HttpStore:
    """Create a reader of the store at ``address``."""
    return HttpStore(address, told)


_Document = typing.TypeVar('_Document')
_Read = typing.TypeVar('_Read')


def _take_any(answer: exchanges.Answer) -> events.Verdict:
    return events.Verdict.ANSWERED


def _decode(status: int, body: bytes, kind: type[_Document]) -> _Document:
    if status != _OK:
        raise StoreError(f'status {status}')
    try:
        return msgspec.json.decode(body, type=kind)
    except msgspec.MsgspecError as error:
        raise StoreError(str(error)) from error


class _Published(typing.NamedTuple):
    """The newest readable configuration, and the newest if that isn't."""

    routing: routes.Routing | None = None
    refused: routes.Refused | None = None


def _configuration(found: list[documents.Item]) -> _Published:
    """Return the newest configuration among items, if any."""
    newest = _Published()
    for published in found:
        if not documents.is_configuration(published):
            continue
        read = documents.read_configuration(published)
        routing = _logged(read, published)
        if routing is None:
            why = read.unwrap_err().message
            number = documents.number_of(published)
            newest = newest._replace(refused=routes.Refused(number, why))
        else:
            newest = _Published(routing)
    return newest


def _logged(
    read: result.Result[_Read, errors.Problem],
    listed: documents.Item,
) -> _Read | None:
    """Return what was read; what could not be is logged and left out."""
    if isinstance(read, result.Ok):
        return read.ok_value
    logs.event(
        'value-refused',
        key=listed.key,
        revision=listed.revision,
        why=read.err_value.message,
    )
    return None
