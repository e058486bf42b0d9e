"""Reads JSON with comments and trailing commas.

The json5 library reads more, and tells where a fault lies, but takes longer
than the rest of a start; it is asked only for what is no such JSON.
"""

import importlib
import re
import typing

import msgspec

_STRING: typing.Final = r'("(?:\\.|[^"\\])*")'
_COMMENT: typing.Final = re.compile(
    rf'{_STRING}|//[^\n]*|/\*.*?\*/',
    re.DOTALL,
)
_TRAILING_COMMA: typing.Final = re.compile(rf'{_STRING}|,(?=\s*[}}\]])')


def loads(text: str) -> typing.Any:
    """Return what ``text`` holds.

    Raises ``ValueError`` that tells the line and column of a fault.
    """
    plain = _TRAILING_COMMA.sub(_keep_string, _COMMENT.sub(_keep_string, text))
    try:
        return msgspec.json.decode(plain)
    except msgspec.DecodeError:
        return importlib.import_module('json5').loads(text)


def _keep_string(found: re.Match[str]) -> str:
    return found.group(1) or ''
