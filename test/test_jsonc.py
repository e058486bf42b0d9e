"""JSON with comments is parsed to the same value as by json5."""

import importlib.resources

import json5
import pytest

from oleanderstair import jsonc, settings


@pytest.mark.parametrize(
    'text',
    [
        '{"a": "// no comment", /* "b": 1 */ "c": [1, 2,], } // end',
        r'{"a": "\"/* still text */,]", "b": {}}',
        "{a: 'json5'}",
        importlib.resources.files('oleanderstair')
        .joinpath(settings.DEFAULTS_FILE_NAME)
        .read_text(encoding='utf-8'),
    ],
)
def test_text_has_the_same_value_as_by_json5(text):
    assert jsonc.loads(text) == json5.loads(text)


@pytest.mark.parametrize('text', ['{', '{"a": 1 "b": 2}'])
def test_fault_is_reported_with_its_line(text):
    with pytest.raises(ValueError, match='<string>:1'):
        jsonc.loads(text)
