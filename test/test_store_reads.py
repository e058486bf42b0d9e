"""Paged reads of the store over sockets, with duplicated answers.

Answers of the store have no id, so on a reused connection a duplicate of the
previous page could be taken for the next page.
"""

import base64
import json

import anyio

from oleanderstair import clock
from oleanderstair.domain import events
from oleanderstair.emulator import published
from oleanderstair.platform import store
from test import raw


def page_of(*names, has_more):
    entry = json.dumps(published.entry('10.0.0.1:80')).encode()
    document = {
        'items': [
            {
                'key': f'servers/{name}',
                'revision': 4,
                'value': base64.b64encode(entry).decode(),
            }
            for name in names
        ],
        'has_more': has_more,
        'at_revision': 9,
    }
    body = json.dumps(document).encode()
    head = b'HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n' % len(body)
    return head + body


class RepeatingStore(raw.RawTarget):
    """Sends the previous answer again before the next one, per connection."""

    def __init__(self, *pages):
        super().__init__(*pages, kept=True)

    async def _converse(self, stream):
        sent = b''
        async with stream:
            while True:
                self.requests.append(await stream.receive())
                if sent:
                    await stream.send(sent)
                sent = self.replies.pop(0)
                await stream.send(sent)


def test_duplicate_of_a_page_is_not_taken_for_the_next():
    async def scene():
        pages = (
            page_of('a', 'b', has_more=True),
            page_of('c', 'd', has_more=False),
        )
        with anyio.fail_after(10):
            async with raw.running(RepeatingStore(*pages)) as served:
                reader = store.create(served.address, clock.create_monotonic())
                return await reader.read(1000)

    store_read = anyio.run(scene)
    assert isinstance(store_read, events.StoreRead)
    target_ids = [entry.target_id for entry in store_read.registry.entries]
    assert target_ids == ['a', 'b', 'c', 'd']
