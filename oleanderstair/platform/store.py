"""Reads and watches the platform's store over HTTP."""

import typing
import urllib.parse

import msgspec
import result

from oleanderstair import clock, errors, logs
from oleanderstair.domain import events
from oleanderstair.domain.tables import (
    operator_state,
    registry,
    revisions,
    routes,
)
from oleanderstair.engine import answers, exchanges, headers
from oleanderstair.platform import documents

_OK: typing.Final = 200
_GONE: typing.Final = 410
_MAX_READS: typing.Final = 3
"""How often a read begins again because the store is restored meanwhile."""

_DESTINATION_ID: typing.Final = 'store'


class StoreError(Exception):
    """A request to the store failed; the message gives the reason."""


class _TooLargeError(StoreError):
    """The answer of the store exceeds the maximum size."""


class _Response(typing.NamedTuple):
    """A response of the store.

    ``era`` rises each time the store is restored from a copy, after which
    revisions go back. It is 0 if the store doesn't tell it, and wraps around
    like that of a combined revision.
    """

    status: int
    body: bytes
    era: int


class _Page(msgspec.Struct):
    items: list[documents.Item]
    has_more: bool
    at_revision: int


class _Changes(msgspec.Struct):
    events: list[documents.Item]
    at_revision: int


class HttpStore:
    """A client of the store's HTTP interface."""

    def __init__(self, address: str, time_source: clock.Clock) -> None:
        """Read the store at ``address``, a host and port."""
        self._address = address
        self._clock = time_source
        self._connections = exchanges.create()

    async def read(
        self,
        bound_ms: clock.Millis,
    ) -> events.StoreRead | events.StoreFailed:
        """Read all items of the store, in pages.

        Log and return ``StoreFailed`` if a page takes longer than ``bound_ms``
        or can't be read. Revisions have the era of the store in their high
        bits.
        """
        try:
            pages = await self._read_all_pages(bound_ms)
        except StoreError as error:
            logs.log_event('store-failed', call='read', why=str(error))
            return events.StoreFailed(str(error))
        read = self._store_read_of(pages)
        logs.log_event(
            'store-read',
            era=revisions.era_of(read.registry.revision),
            revision=revisions.within_era(read.registry.revision),
            configuration=read.routing.number if read.routing else 0,
            targets=len(read.registry.entries),
        )
        return read

    async def watch(
        self,
        after_revision: int,
        bound_ms: clock.Millis,
        slack_ms: clock.Millis,
    ) -> events.StoreChanged | events.HistoryLost | events.StoreFailed:
        """Wait up to ``bound_ms`` for changes after ``after_revision``.

        Log and return ``StoreFailed`` if the request fails or there is no
        answer ``slack_ms`` after that. Return ``HistoryLost`` if the store no
        longer has all of the changes, if they are too large for one answer, or
        if it was restored since.
        """
        after = revisions.within_era(after_revision)
        path = f'/-/kv-watch?prefix=&after={after}&wait_ms={int(bound_ms)}'
        try:
            response = await self._get(path, bound_ms + slack_ms)
            return self._watched_of(response, after_revision)
        except _TooLargeError:
            # A read gets the same changes in pages.
            logs.log_event('store-changes-too-large', after=after)
            return events.HistoryLost()
        except StoreError as error:
            logs.log_event('store-failed', call='watch', why=str(error))
            return events.StoreFailed(str(error))

    def _watched_of(
        self, response: _Response, after_revision: int
    ) -> events.StoreChanged | events.HistoryLost:
        if response.status == _GONE:
            return events.HistoryLost()
        changes = _decode_changes(response)
        known_era = revisions.era_of(after_revision)
        if response.era < known_era:
            raise StoreError(f'a response of the past era {response.era}')
        if response.era > known_era:
            return events.HistoryLost()
        return self._store_changed_of(changes)

    async def _read_all_pages(self, bound_ms: clock.Millis) -> list[_Page]:
        for _ in range(_MAX_READS):
            pages = await self._read_pages(bound_ms)
            eras = {revisions.era_of(page.at_revision) for page in pages}
            if len(eras) == 1:
                return pages
        raise StoreError('it was restored while it was read')

    async def _read_pages(self, bound_ms: clock.Millis) -> list[_Page]:
        pages: list[_Page] = []
        after = ''
        while True:
            path = f'/-/kv-range?prefix=&after={after}'
            page = _decode_page(await self._get(path, bound_ms))
            pages.append(page)
            if not page.has_more or not page.items:
                return pages
            after = urllib.parse.quote(page.items[-1].key, safe='')

    def _store_read_of(self, pages: list[_Page]) -> events.StoreRead:
        items = [item for page in pages for item in page.items]
        target_items = [item for item in items if documents.is_target(item)]
        entries = self._entries_of(target_items)
        readable_ids = {entry.target_id for entry in entries}
        published = _newest_configuration(items)
        return events.StoreRead(
            published.routing,
            events.RegistryRead(
                # Pages are not a snapshot. A watch from the first page's
                # revision returns what changed while the others were read.
                pages[0].at_revision,
                entries,
                frozenset(map(documents.target_id_of, target_items))
                - readable_ids,
            ),
            published.refused,
            _evacuations_of(items, deleted=False),
            published.limit_by_service,
        )

    def _store_changed_of(self, changes: _Changes) -> events.StoreChanged:
        newest = {changed.key: changed for changed in changes.events}
        target_items = [
            changed
            for changed in newest.values()
            if documents.is_target(changed)
        ]
        published = _newest_configuration(changes.events)
        return events.StoreChanged(
            published.routing,
            events.RegistryChanged(
                changes.at_revision,
                self._entries_of(target_items),
                tuple(
                    registry.RemovedEntry(
                        documents.target_id_of(removed),
                        removed.revision,
                    )
                    for removed in target_items
                    if removed.deleted
                ),
            ),
            published.refused,
            _evacuations_of(newest.values(), deleted=False),
            _evacuations_of(newest.values(), deleted=True),
            published.limit_by_service,
        )

    def _entries_of(
        self,
        target_items: list[documents.Item],
    ) -> tuple[registry.Entry, ...]:
        now_ms = self._clock.now_ms()
        decoded_entries = (
            _value_or_log(documents.read_target(item, now_ms), item)
            for item in target_items
            if not item.deleted
        )
        return tuple(entry for entry in decoded_entries if entry is not None)

    async def _get(
        self,
        path: str,
        bound_ms: clock.Millis,
    ) -> _Response:
        # Answers have no id. On a reused connection a delayed duplicate of
        # the previous answer would be taken for the answer to this request.
        destination = exchanges.Destination(
            _DESTINATION_ID,
            self._address,
            fresh=True,
            silence_ms=bound_ms,
        )
        fields = [(headers.HOST, self._address.encode())]
        request = exchanges.Request(b'GET', path.encode(), fields, b'')
        exchange = await self._connections.exchange(
            destination, request, _accept_any
        )
        self._connections.close_idle(_DESTINATION_ID)
        if exchange.answer is None:
            if exchange.cause == answers.TOO_LARGE:
                raise _TooLargeError(exchange.cause)
            raise StoreError(exchange.cause or 'no answer in time')
        answer = exchange.answer
        return _Response(answer.status, answer.body, _era_of(answer))


def create(address: str, time_source: clock.Clock) -> HttpStore:
    """Create a client of the store at ``address``."""
    return HttpStore(address, time_source)


_Document = typing.TypeVar('_Document')
_Read = typing.TypeVar('_Read')


def _accept_any(answer: exchanges.Answer) -> events.Verdict:
    return events.Verdict.ANSWERED


def _era_of(answer: exchanges.Answer) -> int:
    """Return the era of the store, 0 if the response doesn't tell it."""
    field = headers.find_field(answer.headers, documents.STORE_ERA).strip()
    if not field:
        return 0
    era = headers.parse_count(field)
    if era is None:
        raise StoreError('its era is not a number')
    return revisions.era_of(revisions.combine(era, 0))


def _decode_page(response: _Response) -> _Page:
    """Decode a page, with revisions that rise over eras."""
    page = _decode(response, _Page)
    page.at_revision = _combine(response, page.at_revision)
    _combine_all(response, page.items)
    return page


def _decode_changes(response: _Response) -> _Changes:
    """Decode the changes of a watch, with revisions that rise over eras."""
    changes = _decode(response, _Changes)
    changes.at_revision = _combine(response, changes.at_revision)
    _combine_all(response, changes.events)
    return changes


def _combine_all(response: _Response, items: list[documents.Item]) -> None:
    for item in items:
        item.revision = _combine(response, item.revision)


def _combine(response: _Response, revision: int) -> int:
    if not 0 <= revision <= revisions.MAX_REVISION:
        raise StoreError(f'its revision {revision} is out of range')
    return revisions.combine(response.era, revision)


def _decode(response: _Response, kind: type[_Document]) -> _Document:
    if response.status != _OK:
        raise StoreError(f'status {response.status}')
    try:
        return msgspec.json.decode(response.body, type=kind)
    except (ValueError, RecursionError) as error:
        raise StoreError(str(error)) from error


class _PublishedConfiguration(typing.NamedTuple):
    """The newest valid configuration, and a newer one if it was refused."""

    routing: routes.Routing | None = None
    refused: routes.RefusedConfiguration | None = None
    limit_by_service: dict[str, operator_state.SlowStartLimit] | None = None


def _newest_configuration(
    items: list[documents.Item],
) -> _PublishedConfiguration:
    """Return the last valid configuration, and the last refused after it."""
    newest = _PublishedConfiguration()
    for item in items:
        if not documents.is_configuration(item):
            continue
        read = documents.read_configuration(item)
        routing = _value_or_log(read, item)
        if routing is None:
            why = read.unwrap_err().message
            number = documents.configuration_number_of(item)
            newest = newest._replace(
                refused=routes.RefusedConfiguration(number, why)
            )
        else:
            newest = _PublishedConfiguration(
                routing,
                limit_by_service=documents.read_slow_start_limits(item),
            )
    return newest


def _evacuations_of(
    items: typing.Iterable[documents.Item], deleted: bool
) -> tuple[operator_state.Evacuation, ...]:
    """Return the evacuations among items, or those that were taken back."""
    return tuple(
        documents.evacuation_of(item)
        for item in items
        if documents.is_evacuation(item) and item.deleted is deleted
    )


def _value_or_log(
    read: result.Result[_Read, errors.Problem],
    item: documents.Item,
) -> _Read | None:
    """Return the decoded value; log a problem and return None instead."""
    if isinstance(read, result.Ok):
        return read.ok_value
    logs.log_event(
        'value-refused',
        key=item.key,
        revision=item.revision,
        why=read.err_value.message,
    )
    return None
