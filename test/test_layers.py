"""Rooms of the decision code: no import runs back up."""

import ast
import pathlib

import pytest

import oleanderstair

PACKAGE = pathlib.Path(oleanderstair.__file__).parent
ORDER = (
    'tables',
    'fleet',
    'configuration',
    'targets',
    'admission',
    'calls',
    'proof',
)


def _imported_rooms(path: pathlib.Path) -> set[str]:
    found = set()
    for node in ast.walk(ast.parse(path.read_text(encoding='utf-8'))):
        if isinstance(node, ast.ImportFrom) and node.module:
            parts = node.module.split('.')
            if parts[:2] == ['oleanderstair', 'domain']:
                found.update(parts[2:3])
    return found


@pytest.mark.parametrize('room', ORDER)
def test_no_import_of_a_later_room(room: str) -> None:
    later = set(ORDER[ORDER.index(room) + 1 :])
    for path in (PACKAGE / 'domain' / room).glob('*.py'):
        assert not _imported_rooms(path) & later, path.name


def test_the_domain_imports_no_shell() -> None:
    for path in (PACKAGE / 'domain').rglob('*.py'):
        text = path.read_text(encoding='utf-8')
        for outer in ('engine', 'platform', 'ui', 'emulator'):
            assert f'from oleanderstair.{outer}' not in text, path.name
            assert f'from oleanderstair import {outer}' not in text, path.name
