"""Prints tables for people and JSON for programs."""

import sys
import typing

import cappa
import msgspec

AsJson: typing.TypeAlias = typing.Annotated[
    bool,
    cappa.Arg(long='--json', help='Print JSON in place of a table.'),
]
Row: typing.TypeAlias = typing.Mapping[str, object]


def show(rows: typing.Sequence[Row], as_json: bool) -> None:
    """Print rows as a table, or as one JSON list."""
    if as_json:
        sys.stdout.write(f'{msgspec.json.encode(rows).decode()}\n')
        return
    for line in format_table(rows):
        sys.stdout.write(f'{line}\n')


def format_table(rows: typing.Sequence[Row]) -> list[str]:
    """Return the lines of a table with a heading."""
    if not rows:
        return ['(none)']
    names = list(rows[0])
    cells = [names, *([str(row[name]) for name in names] for row in rows)]
    widths = [
        max(len(line[column]) for line in cells) for column in range(len(names))
    ]
    return [
        '  '.join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in cells
    ]
