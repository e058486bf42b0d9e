"""One line of key=value pairs: how it is written, and read again."""

import re
import typing

Field: typing.TypeAlias = str | float | bool | None
Fields: typing.TypeAlias = tuple[tuple[str, Field], ...]

LONGEST_FIELD: typing.Final = 200
"""Characters of a field that are written; callers choose some of them."""

_NEEDS_QUOTES: typing.Final = re.compile(r'[^\x21\x23-\x3c\x3e-\x5b\x5d-\x7e]')
_PAIR: typing.Final = re.compile(
    r'([a-z][a-z0-9_-]*)=("(?:[^"\\]|\\.)*"|[^\s"=\\]*)(?:\s+|$)',
)
_START: typing.Final = re.compile(r'(?:^|\s)(event=)')


class Line(typing.NamedTuple):
    """A line as it was read; ``source`` is what stood before it."""

    source: str
    kind: str
    field_by_name: dict[str, str]


def write(kind: str, fields: typing.Iterable[tuple[str, Field]]) -> str:
    """Return a line without its end; fields that are None are left out."""
    pairs = [f'event={kind}']
    pairs.extend(
        f'{name}={_quote(_text_of(field))}'
        for name, field in fields
        if field is not None
    )
    return ' '.join(pairs)


def read(text: str) -> Line | None:
    """Return the line in ``text``, None where it is of another format."""
    start = _START.search(text)
    if start is None:
        return None
    position = start.start(1)
    found: dict[str, str] = {}
    while position < len(text):
        pair = _PAIR.match(text, position)
        if pair is None:
            return None
        name, written = pair.groups()
        found[name] = _unquote(written)
        position = pair.end()
    return Line(text[: start.start()].strip(), found.pop('event'), found)


def _text_of(field: Field) -> str:
    if isinstance(field, bool):
        return 'yes' if field else 'no'
    if isinstance(field, float):
        return f'{field:.1f}'
    return str(field)[:LONGEST_FIELD]


def _quote(text: str) -> str:
    if text and _NEEDS_QUOTES.search(text) is None:
        return text
    # Nothing that a caller sends may end a line or forge a pair.
    escaped = text.encode('unicode_escape').decode('ascii')
    return '"{0}"'.format(escaped.replace('"', r'\"'))


def _unquote(written: str) -> str:
    if not written.startswith('"'):
        return written
    inner = written[1:-1].encode('ascii', 'backslashreplace')
    return inner.decode('unicode_escape', 'replace')
