"""Prints tables for people and JSON for programs."""

import sys
import typing

import cappa
import msgspec

EXIT_NO: typing.Final = 1
"""The exit code where a command ran and its answer is no."""

EXIT_WRONG_USE: typing.Final = 2
"""The exit code where a command could not run as it was given."""

AsJson: typing.TypeAlias = typing.Annotated[
    bool,
    cappa.Arg(long='--json', help='Print JSON in place of a table.'),
]
Row: typing.TypeAlias = typing.Mapping[str, object]


def show(
    rows: typing.Sequence[Row],
    as_json: bool,
    left_out: typing.Collection[str] = (),
) -> None:
    """Print rows as a table, ``left_out`` aside, or as one JSON list."""
    if as_json:
        line(msgspec.json.encode(rows).decode())
        return
    shown = [
        {name: cell for name, cell in row.items() if name not in left_out}
        for row in rows
    ]
    for text in format_table(shown):
        line(text)


def line(text: str) -> None:
    """Print one line at once."""
    sys.stdout.write(f'{text}\n')
    sys.stdout.flush()


def format_table(rows: typing.Sequence[Row]) -> list[str]:
    """Return the lines of a table with a heading."""
    if not rows:
        return ['(none)']
    names = list(rows[0])
    cells = [names, *([_cell(row[name]) for name in names] for row in rows)]
    widths = [
        max(len(texts[column]) for texts in cells)
        for column in range(len(names))
    ]
    return [
        '  '.join(
            text.ljust(width) for text, width in zip(texts, widths, strict=True)
        ).rstrip()
        for texts in cells
    ]


def _cell(entry: object) -> str:
    if entry is None or entry == '':
        return '-'
    if isinstance(entry, bool):
        return 'yes' if entry else 'no'
    if isinstance(entry, list):
        return ','.join(str(part) for part in entry) or '-'
    if isinstance(entry, dict):
        return ' '.join(f'{name}={part}' for name, part in entry.items())
    return str(entry)
