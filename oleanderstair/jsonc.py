"""Parses JSON with comments and trailing commas.

Text that is not valid in this form is passed to the json5 library. It accepts
more and reports the line of a fault, but parsing the settings with it takes
longer than the rest of a start.
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
    """Parse ``text``.

    Raise ``ValueError`` with the line and column of a fault.
    """
    plain = _TRAILING_COMMA.sub(_keep_string, _COMMENT.sub(_keep_string, text))
    try:
        return msgspec.json.decode(plain)
    except msgspec.DecodeError:
        return importlib.import_module('json5').loads(text)


def _keep_string(matched: re.Match[str]) -> str:
    return matched.group(1) or ''
