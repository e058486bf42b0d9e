"""Marks the known red tests and prints how much of the matrix ran."""

import pathlib

import pytest

from test import matrix

KNOWN_RED = pathlib.Path(__file__).parent.parent / 'KNOWN-RED.txt'
FIELDS = ('test', 'command and seed', 'seen', 'issue')


def read_known_red(text: str) -> dict[str, str]:
    """Return what was seen by test id; an entry has four fields.

    Raises ``pytest.UsageError`` for an entry of another shape.
    """
    seen_by_test = {}
    for line in text.splitlines():
        if not line.strip() or line.startswith('#'):
            continue
        fields = [field.strip() for field in line.split(' | ')]
        if len(fields) != len(FIELDS) or not all(fields):
            raise pytest.UsageError(
                f'KNOWN-RED.txt: {line}: not {FIELDS} split by " | "',
            )
        seen_by_test[fields[0]] = ' '.join(fields[2:])
    return seen_by_test


def pytest_collection_modifyitems(config, items):
    """Expect exactly the listed tests to fail; a mended one is an error."""
    if not KNOWN_RED.exists():
        return
    seen_by_test = read_known_red(KNOWN_RED.read_text(encoding='utf-8'))
    for found in items:
        seen = seen_by_test.pop(found.nodeid, None)
        if seen is not None:
            found.add_marker(pytest.mark.xfail(strict=True, reason=seen))
    whole = config.args == config.getini('testpaths')
    if whole and seen_by_test:
        raise pytest.UsageError(
            f'KNOWN-RED.txt names no test: {sorted(seen_by_test)}',
        )


def pytest_terminal_summary(terminalreporter):
    """Print the number of matrix cells that ran and that cannot occur."""
    counted = matrix.COUNTS
    if counted.ran:
        terminalreporter.write_line(
            f'fault matrix: {counted.ran} cells run,'
            f' {counted.pairs} pairs and orders run,'
            f' {len(matrix.REASON_BY_IMPOSSIBLE_CELL)} cannot occur',
        )
