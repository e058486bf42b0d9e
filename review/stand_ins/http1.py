"""Reads and writes HTTP/1.1 messages on asyncio streams."""

import asyncio
import typing

MAX_HEAD_BYTES = 65_536


class Message(typing.NamedTuple):
    """A message: its first line, its fields by lower-case name, its body."""

    first: str
    fields: dict[str, str]
    body: bytes

    @property
    def status(self) -> int:
        """Return the status of an answer."""
        return int(self.first.split(' ')[1])


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Return a message without its body, None at the end of the stream."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise ConnectionError('the head is cut short') from error
        return None
    lines = head.decode('latin-1').split('\r\n')
    fields = {}
    for line in lines[1:]:
        name, colon, value = line.partition(':')
        if colon:
            fields[name.strip().lower()] = value.strip()
    return Message(lines[0], fields, b'')


async def read_body(reader: asyncio.StreamReader, head: Message) -> bytes:
    """Return the body that follows a head, by its length or its chunks."""
    if 'chunked' in head.fields.get('transfer-encoding', ''):
        chunks = []
        while True:
            size = int((await reader.readuntil(b'\r\n')).strip(), 16)
            chunk = await reader.readexactly(size + 2)
            if not size:
                return b''.join(chunks)
            chunks.append(chunk[:-2])
    length = int(head.fields.get('content-length', '0'))
    return await reader.readexactly(length)


def encode(first: str, fields: dict[str, str], body: bytes = b'') -> bytes:
    """Return the bytes of a message; the length of its body is added."""
    lines = [first, *(f'{name}: {value}' for name, value in fields.items())]
    lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join([*lines, '', '']).encode('latin-1') + body
