"""JSON with comments is read as the json5 library reads it."""

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
        .joinpath(settings.DEFAULTS_NAME)
        .read_text(encoding='utf-8'),
    ],
)
def test_text_means_the_same_as_by_json5(text):
    assert jsonc.loads(text) == json5.loads(text)


@pytest.mark.parametrize('text', ['{', '{"a": 1 "b": 2}'])
def test_fault_is_told_with_its_line(text):
    with pytest.raises(ValueError, match='<string>:1'):
        jsonc.loads(text)
