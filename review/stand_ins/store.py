"""The platform's store: items, pages and watches, as PROTOCOL.md has them.

Names are those that deploy/wire.toml gives them.
"""

import asyncio
import base64
import json
import urllib.parse

from . import http1

PAGE_ITEMS = 500


class Store:
    """Items by key, and the history of their changes."""

    def __init__(self) -> None:
        """Hold nothing, at revision 1."""
        self.address = ''
        self.revision = 1
        self.calls = 0
        self._item_by_key: dict[str, dict] = {}
        self._history: list[dict] = []
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None

    async def start(self, host: str) -> None:
        """Listen on a free port of ``host``."""
        self._server = await asyncio.start_server(self._serve, host, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'{host}:{port}'

    def put(self, key: str, document: object) -> int:
        """Hold a document; return the revision of the change."""
        value = base64.b64encode(json.dumps(document).encode()).decode()
        item = {'key': key, 'value': value, 'revision': self.revision + 1}
        self._item_by_key[key] = item
        return self._note(item)

    def remove(self, key: str) -> int:
        """Hold nothing under a key; return the revision of the change."""
        self._item_by_key.pop(key, None)
        return self._note(
            {'key': key, 'revision': self.revision + 1, 'deleted': True}
        )

    def _note(self, change: dict) -> int:
        self.revision += 1
        self._history.append(change)
        self._changed.set()
        self._changed = asyncio.Event()
        return self.revision

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                head = await http1.read_head(reader)
                if head is None:
                    return
                self.calls += 1
                status, document = await self._answer(head.first.split(' ')[1])
                writer.write(
                    http1.encode(
                        f'HTTP/1.1 {status} {"OK" if status == 200 else "No"}',
                        {'Content-Type': 'application/json', 'Store-Era': '1'},
                        json.dumps(document).encode(),
                    )
                )
                await writer.drain()
        except (ConnectionError, OSError, asyncio.CancelledError):
            return
        finally:
            writer.close()

    async def _answer(self, target: str) -> tuple[int, dict]:
        parts = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(parts.query))
        prefix = query.get('prefix', '')
        if parts.path == '/-/kv-key':
            item = self._item_by_key.get(query['key'])
            if item is None:
                return 404, {}
            return 200, {**item, 'at_revision': self.revision}
        if parts.path == '/-/kv-range':
            return 200, self._page(prefix, query.get('after', ''))
        if parts.path == '/-/kv-watch':
            wait_s = int(query['wait_ms']) / 1000
            return 200, await self._watch(prefix, int(query['after']), wait_s)
        return 404, {}

    def _page(self, prefix: str, after: str) -> dict:
        keys = sorted(
            key
            for key in self._item_by_key
            if key.startswith(prefix) and key > after
        )
        return {
            'items': [self._item_by_key[key] for key in keys[:PAGE_ITEMS]],
            'has_more': len(keys) > PAGE_ITEMS,
            'at_revision': self.revision,
        }

    async def _watch(self, prefix: str, after: int, wait_s: float) -> dict:
        end_s = asyncio.get_running_loop().time() + wait_s
        while True:
            news = [
                change
                for change in self._history
                if change['revision'] > after
                and change['key'].startswith(prefix)
            ]
            left_s = end_s - asyncio.get_running_loop().time()
            if news or left_s <= 0:
                return {'events': news, 'at_revision': self.revision}
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except TimeoutError:
                pass
